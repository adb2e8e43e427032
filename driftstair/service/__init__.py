"""The service file: the settings that the platform's configuration does not hold. `schema` defines its
tables, `load` reads and validates it.

Each subsystem adds its table to `schema.Service`; only this package knows the format of the file. Nothing
here is imported unless a service file is used.
"""
