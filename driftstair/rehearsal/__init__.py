"""The rehearsal kit: past faults played against the daemon on one machine, judged by the four rules.

The daemon under rehearsal is the shipped one. `sim` gives it a clock that jumps and a network in memory, or
`sockets` starts it as processes on loopback; `fakes` plays the boxes, the box list, the clients and the
front layer round it; `scenario` reads what is to happen; `rules` judges what crossed the wire; `report`
tells. Nothing here is imported by the daemon.
"""
