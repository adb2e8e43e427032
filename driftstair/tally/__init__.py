"""Periodic counts of a node's requests and their results, as lines of its log: `benchmarks/losses.py` adds up
the lines of all nodes. Loaded only if the service file has `[tally]`."""
