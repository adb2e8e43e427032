"""Which servers a node goes to, where many nodes share the traffic: each then meets a server so seldom that
it can't know any. Its events, actions and settings are in interface.py, beside this file.

Nodes are taken in rounds, and each round deals all servers out anew, in an order of its own (deterministic
subsetting: Site Reliability Engineering, ch. 20, with an order by hash in place of a shuffle, so that a
server more or less moves only the ends of a part). So every server has as many nodes as any other, and nodes
of different rounds that have one server in common have few others.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import log2

from lichenspring.interface import ServerId

SECOND = 1_000_000_000  # ns
HELD = 10.0  # requests in flight, of all nodes together, of a server that works at full pace
MEETS_WITHIN = 2.0  # s, in which a node is to meet a server then: half of that goes by until most nodes have
LEAST = 12  # servers of a part: the two candidates of a key, and enough to go elsewhere
NODES_PER_ROUND = 32  # nodes, a power of two: there are so many parts at most
MASK = (1 << 64) - 1


def splitmix64(value: int) -> int:
    """A well spread 64-bit hash of a whole number, alike on every node."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def parts(nodes: int, answers_within: float, servers: int) -> int:
    """Into how many parts the servers are dealt, a power of two: parts of fewer hold those of more. At full
    pace a server answers `HELD` requests in `answers_within` (ns), and each node sends its part of them."""
    seldom = nodes * answers_within / SECOND / (HELD * MEETS_WITHIN)
    most = servers / LEAST
    return 1 << int(log2(max(1.0, min(seldom, most, NODES_PER_ROUND))))


def members(servers: Sequence[ServerId], node: int, count: int) -> set[ServerId]:
    """The servers of one node, by its number, out of `count` parts."""
    # The nodes of a round by turns, so that a part of few holds those of many: by its last bits, the
    # lowest first.
    part = sum((node >> bit & 1) * (count >> bit + 1) for bit in range(count.bit_length() - 1))
    salt = splitmix64(node // NODES_PER_ROUND + 1)
    order = sorted(servers, key=lambda one: splitmix64(int.from_bytes(one, "little") ^ salt))
    return set(order[part * len(order) // count : (part + 1) * len(order) // count])
