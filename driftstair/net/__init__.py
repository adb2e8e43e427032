"""The node on its sockets: clients, servers and discovery."""
