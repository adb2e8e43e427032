"""Reports of rehearsals: `build` makes the report as versioned plain data; the other modules show it."""
