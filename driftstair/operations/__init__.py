"""What operators do to a node in service: servers taken out and put back, the node emptied, the program
replaced.

Pure parts, each with no I/O and its clock handed in: `calls` (what a call means), `server_overrides`
(servers as listed, as taken out and as shown to the decision module), `drain` (when an emptied node lets go
of its clients), `state` (what outlives the process, as bytes). I/O: `operator_server` (the second listener),
`handover` (from an old process to a new one).

Only imported where the platform names an address for operators' calls.
"""
