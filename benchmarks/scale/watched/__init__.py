"""Hollow watchers: the node's side of configuration, many in a process, before real control servers."""
