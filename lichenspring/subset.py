"""Which servers a node uses if many nodes share the traffic: with all servers, each node would see a server
too seldom to learn anything about it. Its events, actions and settings are in interface.py.

Nodes are grouped in rounds, and each round distributes all servers anew, in an order of its own
(deterministic subsetting: Site Reliability Engineering, ch. 20, with an order by hash instead of a shuffle,
so that adding or removing a server only moves the ends of a subset). So every server has the same number of
nodes, and nodes of different rounds that share one server share few others.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import log2

from lichenspring.interface import ServerId

SECOND = 1_000_000_000  # in ns
REQUESTS_PER_SERVER = 10.0  # in flight, of all nodes together, at full load
# Between the requests of a node to a server at full load; most nodes need half of it to notice a change.
CONTACT_INTERVAL_S = 2.0
MIN_SUBSET_SIZE = 12  # servers: the two candidates of a key, and enough alternatives
NODES_PER_ROUND = 32  # nodes, a power of two; also the largest number of subsets
MASK_64 = (1 << 64) - 1


def splitmix64(value: int) -> int:
    """A well distributed 64-bit hash of an integer, the same on every node."""
    value = (value + 0x9E3779B97F4A7C15) & MASK_64
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK_64
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK_64
    return value ^ (value >> 31)


def subset_count(nodes: int, answers_within: float, servers: int) -> int:
    """Number of subsets that the servers are divided into, a power of two: a subset of a smaller count
    contains those of a larger one. At full load a server handles `REQUESTS_PER_SERVER` requests in
    `answers_within` (ns), and each node sends its part of them."""
    by_contact = nodes * answers_within / SECOND / (REQUESTS_PER_SERVER * CONTACT_INTERVAL_S)
    by_size = servers / MIN_SUBSET_SIZE
    return 1 << int(log2(max(1.0, min(by_contact, by_size, NODES_PER_ROUND))))


def subset_of(servers: Sequence[ServerId], node: int, count: int) -> set[ServerId]:
    """The servers of a node, by its number, out of `count` subsets."""
    # Bit-reversed order of the nodes in a round, so that a subset of a smaller count contains those of a
    # larger one.
    part = sum((node >> bit & 1) * (count >> bit + 1) for bit in range(count.bit_length() - 1))
    salt = splitmix64(node // NODES_PER_ROUND + 1)
    order = sorted(servers, key=lambda server: splitmix64(int.from_bytes(server, "little") ^ salt))
    return set(order[part * len(order) // count : (part + 1) * len(order) // count])
