"""A model of the tier's datagrams: failure detectors over links that delay, lose and cut, without sockets.

`world` has the links, stalls, crashes and restarts. `swim` runs the shipped core in it; `heartbeats` and
`accrual` are two other detectors for comparison that the daemon never uses. `measure` takes the detection
times and the false verdicts of each. `budgets` and `ownership` run the shared budgets and the leases.
"""
