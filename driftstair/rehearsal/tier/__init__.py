"""The network between the nodes of a rehearsed tier, its faults, and checkers of the nodes' histories.

`links` decides the fate of each datagram, identically in both environments; `relay` applies it on real
sockets. `histories` reads the events that the processes wrote, and `checks` judges the membership views in
them. `stage` is the runner's part.
"""
