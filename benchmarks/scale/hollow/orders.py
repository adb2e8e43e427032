"""The orders of the measuring process to a worker, and the answers to them, each as one line of JSON."""

from __future__ import annotations

import msgspec

from benchmarks.scale.hollow.plan import Address, Plan


class Prepare(msgspec.Struct, tag=True):
    """The first order: bind an address for each of the worker's nodes."""

    plan: Plan
    worker: int
    folder: str  # for the nodes' persistent files and for records


class Start(msgspec.Struct, tag=True):
    """All nodes of the worker, with clocks that stand: while some start, none finds others dead."""

    addresses: list[Address]  # of all nodes, by number


class Go(msgspec.Struct, tag=True):
    """All have started in all workers: clocks run, from moments that are spread over a period, as nodes of a
    cluster don't have their periods at one time."""


class Kill(msgspec.Struct, tag=True):
    """Sockets are closed and all state is dropped; nobody is told."""

    numbers: list[int]


class Revive(msgspec.Struct, tag=True):
    """Killed nodes start again, with the member list that they had."""

    numbers: list[int]


class Restart(msgspec.Struct, tag=True):
    """A planned end, and a start thereafter."""

    numbers: list[int]


class Cut(msgspec.Struct, tag=True):
    """Whether datagrams between regions are dropped by their sender."""

    regions: bool


class Sample(msgspec.Struct, tag=True):
    """Figures since the last sample."""


class Disagree(msgspec.Struct, tag=True):
    """Pairs of a node and a member that it holds otherwise than it is."""

    running: list[int]  # members that run; all others have ended


class Record(msgspec.Struct, tag=True):
    """Begin to note what nodes hold of members, or write what was noted to the worker's file."""

    on: bool


class Stop(msgspec.Struct, tag=True):
    """The last order."""


Order = Prepare | Start | Go | Kill | Revive | Restart | Cut | Sample | Disagree | Record | Stop


class Bound(msgspec.Struct, tag=True):
    """Answer to Prepare."""

    addresses: list[Address]  # in the order of the worker's numbers
    resident: int  # bytes of the process before it has nodes


class Figures(msgspec.Struct, tag=True):
    """Answer to Sample. Bytes are UDP payload; times are the nodes'."""

    nodes: int
    seconds: float
    cpu: float  # s of processor time
    resident: int  # bytes
    bytes_in: int
    bytes_out: int
    datagrams_in: int
    datagrams_out: int
    worst_second: int  # bytes sent by one node in one second
    means: list[float]  # bytes sent, mean over nodes, for each second
    late: list[float]  # lateness of the loop's timer in s: median, 99th percentile, worst
    stood_still: int  # times that a node detected a pause of its own process
    suspicions: int
    deaths: int
    unsent: int
    facts: float  # entries of shared state, mean over nodes
    dropped: int  # facts dropped from full stores
    thrown: dict[str, int]
    held_back: int  # nodes that send no requests to the failing server
    spent: int  # tokens taken from the shared budget
    steps: int  # timers and datagrams that nodes handled
    long_steps: int  # steps of over 2 ms of processor time
    longest_step: float  # s


class Pairs(msgspec.Struct, tag=True):
    """Answer to Disagree."""

    wrong: int
    looked_at: int


class Done(msgspec.Struct, tag=True):
    """Answer to all others. `at`: the nodes' clock when it was carried out, ns."""

    at: int


Answer = Bound | Figures | Pairs | Done
