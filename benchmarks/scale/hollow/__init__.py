"""Hollow nodes: the shipped control parts of a node over real sockets, many in a process, no request path."""
