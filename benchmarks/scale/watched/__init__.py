"""Hollow watchers: the node's side of configuration, many in one process, with real control servers."""
