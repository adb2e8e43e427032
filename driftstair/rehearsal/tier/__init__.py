"""The network between nodes in a rehearsal, what may befall it, and checkers of what the nodes came to hold.

`links` decides the fate of each datagram, the same on both grounds; `relay` carries them out on real sockets,
`histories` reads what the processes wrote, and `checks` judges it; `stage` is the director's part of it.
"""
