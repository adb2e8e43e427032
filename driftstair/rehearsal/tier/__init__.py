"""The network between nodes in a rehearsal, what may befall it, and checkers of what the nodes came to hold.

`links` decides the fate of each datagram, the same in both environments; `relay` applies it on real sockets,
`histories` reads what the processes wrote, and `checks` judges it; `stage` is the runner's part of it.
"""
