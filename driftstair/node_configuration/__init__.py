"""The node's side of configuration by the change: watch, state on disk, application, reports.

Nothing here is imported without `[control]` in the service file. Design: docs/design/configuration.md.
"""
