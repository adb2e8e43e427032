"""Processes, clocks and a network that exist in memory only, in virtual time.

`scheduler` holds the one queue of events and the clock; `loop` gives each simulated process an asyncio event
loop of its own on that queue; `network` has machines, listening sockets and byte streams between them;
`system` hands all of it to the daemon through the seam of `driftstair.net.system`.
"""
