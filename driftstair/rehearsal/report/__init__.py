"""What a rehearsal found: `build` makes the report, plain data with a version; the others show it."""
