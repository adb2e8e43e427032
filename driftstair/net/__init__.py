"""Network I/O of a node: connections to clients, to servers and to discovery."""
