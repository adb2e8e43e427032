"""State that the nodes of a tier share. Each module is pure: the caller passes in the time and a random
source, and does all I/O.

`escrow` keeps a fleet budget from being overspent, even by nodes that cannot reach each other. `token_bucket`
spends from the shares that a node holds. `demand` and `budget` decide which node lends to which. `facts` and
`gossip` replicate outcome reports, and `evidence` detects failing servers from them. `core` combines all of
it in one state machine, and `wire` encodes its messages.
"""
