"""The faults of a run. They are drawn from its seed, independently of one another, so that they overlap."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from random import Random

FAULT_FREE_MARGIN_S = 1.0  # at the start and at the end of a run; no fault begins in it


class FaultKind(Enum):
    """The kinds of faults; the values are their names in reports and in `--only`."""

    STALL = "stall"  # a node's process is stopped and resumed
    LONG_STALL = "long-stall"  # the same, for some seconds
    TERMINATE = "terminate"  # SIGTERM, and a new process once the old one has ended
    KILL = "kill"  # SIGKILL, and a new process
    RELOAD = "reload"  # SIGHUP with a configuration that has another address of discovery
    RELOADS = "reloads"  # several reloads in quick succession
    DISCOVERY_DOWN = "discovery-down"
    DISCOVERY_MUTE = "discovery-mute"  # discovery accepts calls and sends nothing
    DISCOVERY_SLOW = "discovery-slow"  # discovery answers calls one at a time, each after a delay
    WATCHES_END = "watches-end"  # discovery closes all watches
    WATCHES_SILENT = "watches-silent"  # discovery sends nothing more on the open watches
    DRAIN = "drain"  # a server drains, and is ready again at the end
    ERRORS = "errors"  # a server answers 500
    FULL = "full"  # a server refuses requests without running them
    RESETS = "resets"  # a server resets connections with a request in flight
    CUT = "cut"  # a server resets connections in the middle of an answer
    HANG = "hang"  # a server doesn't answer
    REFUSE = "refuse"  # a server does not listen
    SECOND_ANSWERS = "second-answers"  # a server sends an answer again some milliseconds later
    SPOILT = "spoilt"  # a server sends answers that are malformed or never end
    IDLE_ENDS = "idle-ends"  # a server closes or resets idle connections at random moments
    FORGETS = "forgets"  # a server sends nothing more on any of its open connections
    CROWD = "crowd"  # hundreds of idle clients connect to a node
    SYSTEM_CALLS = "system-calls"  # a share of a node's system calls fails, from the start of its process
    CLOCK = "clock"  # a node's wall clock is wrong, and steps while the process runs


NODE_FAULTS = (
    FaultKind.STALL, FaultKind.TERMINATE, FaultKind.KILL, FaultKind.RELOAD, FaultKind.SYSTEM_CALLS,
    FaultKind.CLOCK, FaultKind.LONG_STALL, FaultKind.RELOADS, FaultKind.CROWD,
)  # fmt: skip
DISCOVERY_FAULTS = (
    FaultKind.DISCOVERY_DOWN, FaultKind.DISCOVERY_MUTE, FaultKind.DISCOVERY_SLOW, FaultKind.WATCHES_END,
    FaultKind.WATCHES_SILENT,
)  # fmt: skip
SERVER_FAULTS = (
    FaultKind.DRAIN, FaultKind.ERRORS, FaultKind.FULL, FaultKind.RESETS, FaultKind.CUT, FaultKind.HANG,
    FaultKind.REFUSE, FaultKind.SECOND_ANSWERS, FaultKind.SPOILT, FaultKind.IDLE_ENDS, FaultKind.FORGETS,
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a run."""

    kind: FaultKind
    at_s: float  # from the start of the run
    duration_s: float
    target: int  # the number of a node or of a server; -1: all of them, or discovery
    share: float = 1.0  # of the requests or calls that fail

    def __str__(self) -> str:
        target = "" if self.target < 0 else f" {self.target}"
        share = "" if self.share == 1.0 else f" ({self.share:.2f})"
        return f"{self.at_s:6.2f} s  {self.kind.value}{target} for {self.duration_s:.2f} s{share}"


@dataclass(frozen=True, slots=True)
class RunSize:
    """The size of a run."""

    nodes: int = 24
    servers: int = 12
    clients: int = 60
    duration_s: float = 10.0
    idle_before_s: float = 0.0  # before the clients begin, not part of `duration_s`


@dataclass(frozen=True, slots=True)
class Plan:
    """A run to execute, drawn from a seed."""

    seed: int
    size: RunSize
    lists_are_pushed: bool  # server lists are pushed to the nodes; False: the nodes request them
    faults: tuple[Fault, ...] = field(default_factory=tuple)

    def faults_of_kind(self, kind: FaultKind) -> list[Fault]:
        """Returns the faults of a kind, in the order of their start."""
        return [fault for fault in self.faults if fault.kind is kind]


DURATION_RANGES_S = {
    FaultKind.STALL: (0.2, 1.2),
    FaultKind.LONG_STALL: (1.2, 4.0),
    FaultKind.DISCOVERY_DOWN: (0.5, 4.0),
    FaultKind.DISCOVERY_MUTE: (0.5, 3.0),
    FaultKind.DISCOVERY_SLOW: (2.0, 4.0),
    FaultKind.DRAIN: (2.0, 6.0),
    FaultKind.HANG: (0.5, 3.0),
    FaultKind.REFUSE: (0.3, 2.0),
}
DEFAULT_DURATION_RANGE_S = (1.0, 4.0)
SHARE_RANGES = {
    FaultKind.ERRORS: (0.1, 0.6),
    FaultKind.FULL: (0.1, 0.6),
    FaultKind.RESETS: (0.05, 0.4),
    FaultKind.CUT: (0.05, 0.3),
    FaultKind.HANG: (0.2, 1.0),
    FaultKind.SECOND_ANSWERS: (0.2, 0.8),
    FaultKind.SPOILT: (0.05, 0.4),
    FaultKind.IDLE_ENDS: (0.1, 0.8),
    FaultKind.SYSTEM_CALLS: (0.01, 0.05),
}
STALLS_PER_NODE = 1.5
OTHER_FAULTS_PER_NODE = 0.5  # all node faults but short stalls
FAULTS_PER_SERVER = 1.25
MAX_DISCOVERY_FAULTS = 3


def _deal_kinds(random: Random, kinds: tuple[FaultKind, ...], count: int) -> list[FaultKind]:
    """Draws `count` kinds without replacement, starting over when all have been drawn. Each kind comes once
    before any comes again, so that few seeds cover all kinds."""
    dealt_kinds: list[FaultKind] = []
    while len(dealt_kinds) < count:
        dealt_kinds += random.sample(kinds, len(kinds))
    return dealt_kinds[:count]


def draw_plan(seed: int, size: RunSize, kinds: frozenset[FaultKind] = frozenset(FaultKind)) -> Plan:
    """Draws the plan of a run. Faults of other kinds than `kinds` are drawn and discarded, so the other
    faults of a seed stay the same."""
    random = Random(f"soak/{seed}")
    faults: list[Fault] = []

    def add_fault(kind: FaultKind, target: int) -> None:
        at_s = random.uniform(FAULT_FREE_MARGIN_S, size.duration_s - FAULT_FREE_MARGIN_S)
        duration_s = random.uniform(*DURATION_RANGES_S.get(kind, DEFAULT_DURATION_RANGE_S))
        share = random.uniform(*SHARE_RANGES.get(kind, (1.0, 1.0)))
        if kind in kinds:
            faults.append(Fault(kind, at_s, duration_s, target, share))

    for _ in range(int(size.nodes * STALLS_PER_NODE)):
        add_fault(FaultKind.STALL, random.randrange(size.nodes))
    for kind in _deal_kinds(random, NODE_FAULTS[1:], int(size.nodes * OTHER_FAULTS_PER_NODE)):
        add_fault(kind, random.randrange(size.nodes))
    for kind in _deal_kinds(random, SERVER_FAULTS, int(size.servers * FAULTS_PER_SERVER)):
        add_fault(kind, random.randrange(size.servers))
    for _ in range(random.randint(1, MAX_DISCOVERY_FAULTS)):
        add_fault(random.choice(DISCOVERY_FAULTS), -1)
    return Plan(seed, size, random.random() < 0.5, tuple(sorted(faults, key=lambda fault: fault.at_s)))
