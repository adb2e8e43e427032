"""What the nodes of one tier know of each other, by datagrams between them; off unless the service file has
`[tier]`.

`membership` decides who lives (no clock, no socket, no chance of its own); `wire` is the form of a datagram,
`replay` keeps old ones out, `history` writes down what a process came to hold, `peer_config` is what the
platform says of the peers, and `service` alone does I/O.
"""
