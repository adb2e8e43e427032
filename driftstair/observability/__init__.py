"""Observability of a node: counters by reason, which are always kept, and a log of typed events as JSON
lines, which is loaded only if the service file has `[events]`."""
