"""A soak test: a few dozen real daemons on the loopback interface, under overlapping faults from a seed.

    python -m benchmarks.soak --seeds 20            # seeds 1 to 20, one after the other
    python -m benchmarks.soak --seed 7 --keep DIR   # a single run; its logs and records are kept

The module `judge` checks a run from outside, by what clients, servers and discovery recorded. The request
guard of each daemon (`driftstair.net.request_guard`) checks it from inside. The module `planted` runs daemons
with a deliberate defect, to test that the soak test detects it.
"""
