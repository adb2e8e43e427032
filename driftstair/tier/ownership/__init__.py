"""Leases on fleet-wide tasks: each task has at most one owner at a time.

Every module here is a pure state machine without a clock, a socket or a source of randomness. `acceptor` is
one of the voters that decide on leases, and `proposer` is a node that wants a lease. `leases` combines both
roles for all tasks of one process, and `messages` defines what they send to each other.
"""
