"""Membership and shared state of the nodes of one tier, which exchange datagrams. Off unless the service file
has `[tier]`.

`membership` decides which members are alive, without a clock, a socket or randomness of its own. `wire` is
the datagram format, `replay` rejects replayed datagrams, `history` records the views of a process,
`peer_config` validates what the platform says of the peers, and `service` alone does I/O.
"""
