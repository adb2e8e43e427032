"""Measurements behind the figures of the capacity page: `python -m benchmarks.scale --help`."""
