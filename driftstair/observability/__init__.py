"""What a node tells of itself: counts by reason, which are always kept, and a log of typed events as lines of
JSON, which is loaded only where the service file has `[events]`."""
