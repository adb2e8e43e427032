"""Who may hold a connection: the table of a node's clients as a policy without I/O, on one clock.

`return_statistics.py` learns how long clients that come back stay away, `arrival_statistics.py` how many
come and what they bring, and `connection_table.py` decides with both which connection makes room for another,
and which is kept after an answer.
Sockets belong to `driftstair.net.frontend`, which tells what happens and closes what it is told to close.
"""

from driftstair.admission.connection_table import ConnectionLimits, ConnectionTable

__all__ = ["ConnectionLimits", "ConnectionTable"]
