"""Small stand-ins of the second review: discovery, servers, clients and a node's processes."""
