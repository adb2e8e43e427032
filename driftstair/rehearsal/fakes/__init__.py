"""Fakes for all that a node meets: render boxes, the box list, clients and the front layer before it.

`engine` and `http1` are pure. The others speak through the same seam as the daemon
(`driftstair.net.system`), so they stand on the simulated network and on loopback sockets alike, and note
what they see as `wire` has it.
"""
