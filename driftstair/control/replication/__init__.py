"""The replicated log of change sets: the decisions of one replica, without clock, file or socket.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with one difference: a lease decides which replica may
become leader, and the lease's fencing token is the ballot (Raft's term). Leases and clocks decide only who
leads; what is committed never depends on them. A server drives `core.ControlReplica`.
"""
