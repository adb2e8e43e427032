"""What a node's requests came to, second by second, as lines of its log: `benchmarks/losses.py` adds up the
lines of all nodes. Loaded only where the service file has `[tally]`."""
