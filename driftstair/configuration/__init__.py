"""Versioned configuration: resources, change sets and the state that they add up to.

Nothing in this package reads a clock, a file or a socket. Design: docs/design/configuration.md.
"""
