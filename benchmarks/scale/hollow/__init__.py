"""Hollow nodes: the real control parts of a node over real sockets, without a request path, many in one
process."""
