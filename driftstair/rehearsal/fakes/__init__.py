"""Fakes of everything that a node communicates with: render boxes, the box list, clients and the front layer.

`engine` and `http1` do no I/O. The others use the operating system through the same interface as the daemon
(`driftstair.net.system`), so that they run on the simulated network and on loopback sockets, and record what
they see as observations of `wire`.
"""
