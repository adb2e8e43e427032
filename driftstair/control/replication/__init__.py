"""The replicated log of change sets: one replica's decisions, without clock, file or socket.

The algorithm is Raft's (Ongaro and Ousterhout, 2014) with one difference: who asks to lead is decided by a
lease, whose fencing token is the ballot (Raft's term). Leases and clocks decide who leads, never what is
committed. `core.ControlReplica` is what a server drives.
"""
