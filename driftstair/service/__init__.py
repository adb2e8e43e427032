"""The service file: all that the platform does not tell. `schema` has its tables, `load` reads and checks it.

Later subsystems add their tables to `schema.Service`; this is the one place that knows the file. Nothing
here is imported unless a service file is used.
"""
