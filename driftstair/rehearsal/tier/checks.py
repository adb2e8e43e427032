"""What must hold of the histories of a tier, given what befell it.

What befell it is told by whoever played it, but for one thing: a process that stood still by its own word is
excused for that while, since on a busy machine nobody else knows.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from driftstair.rehearsal.tier.histories import FOREVER, Process, Rank

SECOND = 1_000_000_000  # ns


@dataclass(frozen=True, slots=True)
class Span:
    """ns. A node that did not run, stood still, or that links kept apart from others, one way or both."""

    node: int
    begin: int
    end: int
    down: bool = False  # it did not run
    apart: frozenset[int] | None = None  # from these alone; None: from all

    def excuses(self, other: int, settle: int) -> tuple[int, int]:
        """When this node and that one may be wrong about each other: ns, and so many after its end."""
        concerned = self.apart is None or other in self.apart
        return (self.begin if concerned else self.end), self.end + settle


@dataclass(frozen=True, slots=True)
class Bounds:
    """s."""

    wrongly: float = 0.0  # that a node which runs and is reached may be held dead
    settle: float = 10.0  # after a fault's end, in which what it caused may still show
    death: float = 10.0  # after its end, until all hold a node dead


@dataclass(frozen=True, slots=True)
class Finding:
    rule: str
    at: int  # ns
    node: int  # who held it
    member: int  # of whom
    evidence: str


@dataclass(slots=True)
class Story:
    """`faults`: what befell nodes. `until`: ns, the end of it all."""

    processes: list[Process]
    faults: list[Span] = field(default_factory=list)
    until: int = FOREVER

    def __post_init__(self) -> None:
        self.faults = self.faults + [
            Span(process.node, begin, end) for process in self.processes for begin, end in process.stood_still
        ]

    def of(self, node: int) -> list[Span]:
        return [one for one in self.faults if one.node == node]


def check(story: Story, bounds: Bounds) -> list[Finding]:
    return [
        *wrongly_dead(story, bounds), *missed_deaths(story, bounds), *disagreement(story, bounds),
        *old_generations(story),
    ]  # fmt: skip


def wrongly_dead(story: Story, bounds: Bounds) -> list[Finding]:
    """A reachable, running node is not held dead, for longer than is stated."""
    out = []
    members = {one.node for one in story.processes}
    settle = int(bounds.settle * SECOND)
    for process in story.processes:
        for member in members - {process.node}:
            excused = [(0, process.began + settle)]
            excused += [one.excuses(process.node, settle) for one in story.of(member)]
            excused += [one.excuses(member, settle) for one in story.of(process.node)]
            for begin, end, held in process.spans(member, "dead", story.until):
                for lasted in _outside(begin, end, excused):
                    if lasted[1] - lasted[0] > bounds.wrongly * SECOND:
                        out.append(Finding(
                            "a node that runs is held dead", lasted[0], process.node, member,
                            f"for {(lasted[1] - lasted[0]) / SECOND:.2f} s: {held.why}",
                        ))  # fmt: skip
    return out


def missed_deaths(story: Story, bounds: Bounds) -> list[Finding]:
    """A node that does not run is held dead, or gone, by all within the stated time."""
    out = []
    within = int(bounds.death * SECOND)
    settle = int(bounds.settle * SECOND)
    for down in story.faults:
        late = down.begin + within
        if not down.down or late >= min(down.end, story.until):
            continue
        for process in story.processes:
            if process.node == down.node or process.began + settle > late or process.ended < late:
                continue
            spans = [one.excuses(down.node, settle) for one in story.of(process.node)]
            if any(begin < late < end for begin, end in spans):
                continue
            state = process.state(down.node, late)
            if state not in ("dead", "left", "unknown"):
                out.append(Finding(
                    "a dead node is not held dead", late, process.node, down.node,
                    f"held {state} {bounds.death:g} s after its end",
                ))  # fmt: skip
    return out


def disagreement(story: Story, bounds: Bounds) -> list[Finding]:
    """Once all faults have been over for the stated time, those that run hold the same of everyone, and
    nobody that runs to be anything but alive."""
    now = story.until
    over = max((one.end for one in story.faults if one.end < now), default=0)
    if now < over + bounds.settle * SECOND:
        return []
    running = [
        one for one in _latest(story.processes)
        if one.ended >= now and not any(span.begin <= now < span.end for span in story.of(one.node))
    ]  # fmt: skip
    out = []
    for member in sorted({one.node for one in story.processes}):
        views: dict[Rank | None, list[int]] = {}
        for process in running:
            last = process.last().get(member)
            views.setdefault(last.rank if last else None, []).append(process.node)
        if len(views) > 1:
            told = "; ".join(f"{rank} by {nodes}" for rank, nodes in views.items())
            out.append(Finding("views differ when all is over", now, -1, member, told))
    for process in running:
        for member, held in process.last().items():
            if held.state != "alive" and any(one.node == member for one in running):
                out.append(Finding(
                    "a node that runs is not held alive when all is over", now, process.node, member,
                    f"{held.state}: {held.why}",
                ))  # fmt: skip
    return out


def old_generations(story: Story) -> list[Finding]:
    """What a process holds of a member only rises: an old generation or a refuted claim never comes back."""
    out = []
    for process in story.processes:
        highest: dict[int, Rank] = {}
        for held in process.held:
            if not held.told:
                continue
            before = highest.get(held.member)
            if before is not None and held.rank < before:
                out.append(Finding(
                    "an old claim replaced a newer one", held.at, process.node, held.member,
                    f"{held.rank} after {before}",
                ))  # fmt: skip
            highest[held.member] = max(held.rank, before or held.rank)
    return out


def _latest(processes: list[Process]) -> list[Process]:
    latest: dict[int, Process] = {}
    for one in processes:
        if one.node not in latest or one.began >= latest[one.node].began:
            latest[one.node] = one
    return list(latest.values())


def _outside(begin: int, end: int, excused: list[tuple[int, int]]) -> list[tuple[int, int]]:
    """What is left of a span."""
    left = [(begin, end)]
    for low, high in excused:
        left = [
            part for one in left for part in ((one[0], min(one[1], low)), (max(one[0], high), one[1]))
            if part[0] < part[1]
        ]  # fmt: skip
    return left
