"""Versioned configuration: resources, change sets, and the state that results from applying them.

Nothing in this package reads a clock, a file or a socket. Design: docs/design/configuration.md.
"""
