"""What a cluster of hollow nodes is: its size, its layout, and what its nodes run."""

from __future__ import annotations

import msgspec

ZONES, REGIONS = 8, 4
FIRST_OCTETS = "127.77"  # all of 127.0.0.0/8 is loopback; each node has an address of its own
SERVERS = 20  # whose outcomes a node reports
FAILING = 7  # the one of them that fails
BUSY_EVERY = 10  # of so many nodes one wants more of the shared budget than its part
PER_S = 2.0  # tokens a second and node in the shared budget
NS = 1_000_000_000


class Plan(msgspec.Struct, frozen=True):
    """`dilation`: real seconds for a second of the nodes' clock, timers and rates alike (time dilation), so
    that more nodes than this machine could run in real time keep pace. `persisted`: nodes start with a list
    of all members, as after a restart; `on_disk`: what they persist is written, else it goes nowhere."""

    count: int
    processes: int
    period: int = NS  # ns, of probes
    dilation: float = 1.0
    persisted: bool = True
    on_disk: bool = False
    judge: bool = True
    budgets: bool = True
    permits: bool = True
    feed: bool = True  # outcomes and demand, in a request path's place
    failing: bool = True  # one server fails for all nodes
    seed: int = 1
    noted_of: int = 1  # of so many nodes it is noted what one holds of members: notes take memory
    wall_ns: int = 1_764_633_600 * NS  # of all nodes' wall clocks at the start

    def numbers_of(self, worker: int) -> range:
        """The nodes in a worker process: every so many-th, so that zones are spread evenly."""
        return range(worker, self.count, self.processes)

    def notes(self, number: int) -> bool:
        """Whether it is noted what this node holds of members."""
        return (number // self.processes) % self.noted_of == 0


PARTS = ("judge", "budgets", "permits", "feed", "failing")
"""Fields of a plan that may be off."""


class Address(msgspec.Struct, frozen=True, array_like=True):
    host: str
    port: int


def host_of(number: int) -> str:
    """A loopback address of a node's own."""
    return f"{FIRST_OCTETS}.{number >> 8}.{number & 0xFF}"


def zone_of(number: int) -> int:
    return number % ZONES


def region_of(number: int) -> int:
    """A region has two zones."""
    return zone_of(number) * REGIONS // ZONES
