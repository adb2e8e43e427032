"""The rehearsal kit: plays past faults against the daemon on one machine and judges the run by four rules.

The daemon under rehearsal is the shipped one. `sim` gives it a simulated clock and a network in memory, or
`sockets` starts it as processes on loopback. `fakes` plays the boxes, the box list, the clients and the front
layer around it. `scenario` defines what happens, `rules` judges what crossed the wire, and `report` presents
the result. The daemon imports nothing from this package.
"""
