"""Admission of client connections: a policy without I/O, driven by one clock.

`return_statistics.py` estimates how long clients stay idle before their next request, `arrival_statistics.py`
estimates the arrival rate and the service time, and `connection_table.py` uses both to decide which
connection to close for a new one and which to keep after a response. `body_progress.py` limits how slowly a
request body may arrive.
`driftstair.net.frontend` owns the sockets: it reports events and closes the connections that this package
names.
"""

from driftstair.admission.connection_table import ConnectionLimits, ConnectionTable

__all__ = ["ConnectionLimits", "ConnectionTable"]
