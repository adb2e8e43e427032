"""The control plane: replicas that keep the log of configuration changes and serve it to nodes.

Design: docs/design/configuration.md.
"""
