"""Checks of membership histories of a tier, given the faults that the nodes were subjected to.

Faults are reported by whoever injected them, with one exception: a process that recorded a stall of its own
is excused for that time, since nobody else knows about it on a busy machine.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from driftstair.rehearsal.tier.histories import FOREVER, Process, Rank

NS_PER_S = 1_000_000_000


@dataclass(frozen=True, slots=True)
class Span:
    """Time in ns during which a node did not run, was stopped, or was separated from others by link faults in
    one or both directions."""

    node: int
    begin: int
    end: int
    down: bool = False  # the process did not run
    apart: frozenset[int] | None = None  # nodes it was separated from; None: all

    def excuses(self, other: int, settle: int) -> tuple[int, int]:
        """Returns the time in ns during which this node and the other may hold wrong views of each other: the
        fault and a settling time after its end."""
        concerned = self.apart is None or other in self.apart
        return (self.begin if concerned else self.end), self.end + settle


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the checks, in seconds."""

    wrongly: float = 0.0  # how long a running, reachable node may be held dead
    settle: float = 10.0  # time after a fault's end in which its effects may still show
    death: float = 10.0  # time after a node's end until all hold it dead


@dataclass(frozen=True, slots=True)
class Finding:
    """One violated check. `node` holds the view, `member` is the node that the view is about."""

    rule: str
    at: int  # ns
    node: int
    member: int
    evidence: str


@dataclass(slots=True)
class RunRecord:
    """The processes of a run and the faults on its nodes. `until`: end of the run in ns."""

    processes: list[Process]
    faults: list[Span] = field(default_factory=list)
    until: int = FOREVER

    def __post_init__(self) -> None:
        self.faults = self.faults + [
            Span(process.node, begin, end) for process in self.processes for begin, end in process.stood_still
        ]

    def faults_of(self, node: int) -> list[Span]:
        """Returns the faults on one node."""
        return [fault for fault in self.faults if fault.node == node]


def check(record: RunRecord, bounds: Bounds) -> list[Finding]:
    """Returns all findings on membership views."""
    return [
        *find_wrongly_dead(record, bounds), *find_missed_deaths(record, bounds),
        *find_disagreement(record, bounds),
        *find_old_claims(record),
    ]  # fmt: skip


def find_wrongly_dead(record: RunRecord, bounds: Bounds) -> list[Finding]:
    """Reports reachable, running nodes that were held dead for longer than the bound."""
    findings = []
    members = {item.node for item in record.processes}
    settle = int(bounds.settle * NS_PER_S)
    for process in record.processes:
        for member in members - {process.node}:
            excused = [(0, process.began + settle)]
            excused += [fault.excuses(process.node, settle) for fault in record.faults_of(member)]
            excused += [fault.excuses(member, settle) for fault in record.faults_of(process.node)]
            for begin, end, change in process.spans(member, "dead", record.until):
                for remaining in _subtract_spans(begin, end, excused):
                    if remaining[1] - remaining[0] > bounds.wrongly * NS_PER_S:
                        findings.append(Finding(
                            "a node that runs is held dead", remaining[0], process.node, member,
                            f"for {(remaining[1] - remaining[0]) / NS_PER_S:.2f} s: {change.why}",
                        ))  # fmt: skip
    return findings


def find_missed_deaths(record: RunRecord, bounds: Bounds) -> list[Finding]:
    """Reports nodes that did not run and were not held dead or gone by every other node within the bound."""
    findings = []
    death_ns = int(bounds.death * NS_PER_S)
    settle = int(bounds.settle * NS_PER_S)
    for outage in record.faults:
        deadline = outage.begin + death_ns
        if not outage.down or deadline >= min(outage.end, record.until):
            continue
        for process in record.processes:
            if process.node == outage.node or process.began + settle > deadline or process.ended < deadline:
                continue
            spans = [fault.excuses(outage.node, settle) for fault in record.faults_of(process.node)]
            if any(begin < deadline < end for begin, end in spans):
                continue
            state = process.state(outage.node, deadline)
            if state not in ("dead", "left", "unknown"):
                findings.append(Finding(
                    "a dead node is not held dead", deadline, process.node, outage.node,
                    f"held {state} {bounds.death:g} s after its end",
                ))  # fmt: skip
    return findings


def find_disagreement(record: RunRecord, bounds: Bounds) -> list[Finding]:
    """Once all faults have been over for the settling time, reports running nodes whose views differ, and
    running nodes that are not held alive."""
    now = record.until
    last_fault_end = max((fault.end for fault in record.faults if fault.end < now), default=0)
    if now < last_fault_end + bounds.settle * NS_PER_S:
        return []
    running = [
        candidate for candidate in _latest_processes(record.processes)
        if candidate.ended >= now
        and not any(span.begin <= now < span.end for span in record.faults_of(candidate.node))
    ]  # fmt: skip
    findings = []
    for member in sorted({item.node for item in record.processes}):
        views: dict[Rank | None, list[int]] = {}
        for process in running:
            latest = process.latest_changes().get(member)
            views.setdefault(latest.rank if latest else None, []).append(process.node)
        if len(views) > 1:
            description = "; ".join(f"{rank} by {nodes}" for rank, nodes in views.items())
            findings.append(Finding("views differ when all is over", now, -1, member, description))
    for process in running:
        for member, change in process.latest_changes().items():
            if change.state != "alive" and any(other.node == member for other in running):
                findings.append(Finding(
                    "a node that runs is not held alive when all is over", now, process.node, member,
                    f"{change.state}: {change.why}",
                ))  # fmt: skip
    return findings


def find_old_claims(record: RunRecord) -> list[Finding]:
    """Reports views whose rank fell: a process's view of a member may only rise, so an old generation or a
    refuted claim never comes back."""
    findings = []
    for process in record.processes:
        highest: dict[int, Rank] = {}
        for change in process.view_changes:
            if not change.told:
                continue
            before = highest.get(change.member)
            if before is not None and change.rank < before:
                findings.append(Finding(
                    "an old claim replaced a newer one", change.at, process.node, change.member,
                    f"{change.rank} after {before}",
                ))  # fmt: skip
            highest[change.member] = max(change.rank, before or change.rank)
    return findings


def _latest_processes(processes: list[Process]) -> list[Process]:
    """Returns the latest process of each node."""
    latest: dict[int, Process] = {}
    for process in processes:
        if process.node not in latest or process.began >= latest[process.node].began:
            latest[process.node] = process
    return list(latest.values())


def _subtract_spans(begin: int, end: int, excused: list[tuple[int, int]]) -> list[tuple[int, int]]:
    """Returns the parts of a time span that lie outside the excused spans."""
    remaining = [(begin, end)]
    for low, high in excused:
        remaining = [
            part for span in remaining
            for part in ((span[0], min(span[1], low)), (max(span[0], high), span[1]))
            if part[0] < part[1]
        ]  # fmt: skip
    return remaining
