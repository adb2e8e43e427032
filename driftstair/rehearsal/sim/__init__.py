"""Simulates processes, clocks and a network in memory, in virtual time.

`scheduler` holds the clock and the single event queue; `loop` gives each simulated process its own asyncio
event loop on that queue; `network` has machines, listening sockets and the links between them, `stream` the
byte streams and `datagrams` the UDP sockets; `system` offers all of it to the daemon through the interface
`driftstair.net.system.System`.
"""
