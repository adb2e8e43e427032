"""Stand-ins of the review's cases: clients, servers, discovery, and the program's processes. Standard library
only."""
