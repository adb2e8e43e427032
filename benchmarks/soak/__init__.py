"""A soak test: a few dozen real daemons over loopback under faults that a seed draws and lets overlap.

    python -m benchmarks.soak --seeds 20            # seeds 1 to 20, one after the other
    python -m benchmarks.soak --seed 7 --keep DIR   # one, its logs and records kept

Judged from outside by what clients, servers and discovery recorded (`judge`), and from inside by the guard of
each daemon (`driftstair.net.request_guard`). `planted` runs daemons with a defect: the test of the test.
"""
