"""Measurements that produce the figures of the capacity page: `python -m benchmarks.scale --help`."""
