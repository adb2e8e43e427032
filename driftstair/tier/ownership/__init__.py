"""One owner at a time for work on behalf of the fleet, each part a core without clock, socket or chance.

`acceptor` is one of the voters that decide, `proposer` whoever wants a lease; `leases` is both, for
all tasks of one process; `messages` is what they say.
"""
