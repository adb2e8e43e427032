"""The node's side of dynamic configuration: the watch, application, persistence on disk, and reports.

Nothing in this package is imported unless the service file has a `[control]` table.
Design: docs/design/configuration.md.
"""
