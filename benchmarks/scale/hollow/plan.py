"""The plan of a cluster of hollow nodes: its size, its layout, and the parts that its nodes run."""

from __future__ import annotations

import msgspec

ZONE_COUNT, REGION_COUNT = 8, 4
ADDRESS_PREFIX = "127.77"  # each node has its own address, as all of 127.0.0.0/8 is loopback
SERVER_COUNT = 20  # whose outcomes a node reports
FAILING_SERVER = 7  # number of the server that fails
BUSY_NODE_STRIDE = 10  # one node in so many demands more than its part of the shared budget
BUDGET_TOKENS_PER_S = 2.0  # of the shared budget, for each node
SECOND_NS = 1_000_000_000


class Plan(msgspec.Struct, frozen=True):
    """`dilation`: real seconds for a second of the nodes' clock, timers and rates alike (time dilation), so
    that more nodes than this machine could run in real time keep pace. `persisted`: nodes start with a list
    of all members, as after a restart; `on_disk`: what they persist is written, else it goes nowhere."""

    count: int
    processes: int
    period: int = SECOND_NS  # ns between probes
    dilation: float = 1.0
    persisted: bool = True
    on_disk: bool = False
    judge: bool = True
    budgets: bool = True
    permits: bool = True
    feed: bool = True  # whether outcomes and demand are simulated, as there is no request path
    failing: bool = True  # whether one server fails for all nodes
    seed: int = 1
    noted_of: int = 1  # one node in so many records its view of members, to limit memory
    wall_ns: int = 1_764_633_600 * SECOND_NS  # ns, all nodes' wall clock at the start

    def node_numbers(self, worker: int) -> range:
        """Returns the numbers of the nodes in a worker process, interleaved so that zones are spread
        evenly."""
        return range(worker, self.count, self.processes)

    def is_recorded(self, number: int) -> bool:
        """Whether this node's observations of members are recorded."""
        return (number // self.processes) % self.noted_of == 0


OPTIONAL_PARTS = ("judge", "budgets", "permits", "feed", "failing")
"""Fields of a plan that may be switched off."""


class Address(msgspec.Struct, frozen=True, array_like=True):
    host: str
    port: int


def host_of(number: int) -> str:
    """Returns the loopback address of a node."""
    return f"{ADDRESS_PREFIX}.{number >> 8}.{number & 0xFF}"


def zone_of(number: int) -> int:
    """Returns the zone of a node."""
    return number % ZONE_COUNT


def region_of(number: int) -> int:
    """Returns the region of a node; a region consists of two zones."""
    return zone_of(number) * REGION_COUNT // ZONE_COUNT
