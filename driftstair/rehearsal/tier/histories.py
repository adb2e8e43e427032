"""What the processes of a tier came to hold, by time: read from their histories."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from driftstair.tier import history

Event = dict[str, Any]
Rank = tuple[int, int, int]
STATES = {"alive": 0, "suspect": 1, "dead": 2, "left": 3}
FOREVER = 1 << 62
TIMES = ("t_ns", "until_ns", "over_ns")  # of events, by their process's clock


@dataclass(frozen=True, slots=True)
class Held:
    """One change of a view. Times in ns."""

    at: int
    member: int
    state: str
    rank: Rank  # generation, incarnation, state
    told: bool
    why: str


@dataclass(slots=True)
class Process:
    """One process of a node, from its start to its last line."""

    node: int
    began: int
    ended: int = FOREVER  # ns: where it has said so itself, or the next process of its node began
    held: list[Held] = field(default_factory=list)
    stood_still: list[tuple[int, int]] = field(default_factory=list)  # ns, by its own word

    def state(self, member: int, at: int) -> str:
        """What it held of a member at a time; "unknown" before anything was heard."""
        found = "unknown"
        for one in self.held:
            if one.at > at:
                break
            if one.member == member:
                found = one.state
        return found

    def spans(self, member: int, state: str, until: int) -> list[tuple[int, int, Held]]:
        """When it held a member so, and what began it."""
        out: list[tuple[int, int, Held]] = []
        since: Held | None = None
        for one in self.held:
            if one.member != member:
                continue
            if since is None and one.state == state:
                since = one
            elif since is not None and one.state != state:
                out.append((since.at, one.at, since))
                since = None
        if since is not None:
            out.append((since.at, min(until, self.ended), since))
        return out

    def last(self) -> dict[int, Held]:
        return {one.member: one for one in self.held}


class Generations:
    """The processes of one node, from its events as they come. What precedes a first start is left out."""

    def __init__(self) -> None:
        self.processes: list[Process] = []

    def take(self, event: Event) -> None:
        out = self.processes
        if event["event"] == "start":
            if out and out[-1].ended == FOREVER:
                out[-1].ended = event["t_ns"]  # it was killed, some time before
            out.append(Process(event["node"], event["t_ns"]))
        elif not out:
            return
        elif event["event"] == "end":
            out[-1].ended = event["t_ns"]
        elif event["event"] == "stood-still":
            out[-1].stood_still.append((event["t_ns"] - event["late_ns"], event["t_ns"]))
        elif event["event"] == "member":
            state = event["state"]
            rank = (event["member_life"], event["incarnation"], STATES[state])
            out[-1].held.append(
                Held(event["t_ns"], event["member"], state, rank, event["told"], event["why"])
            )


def processes(events: list[Event]) -> list[Process]:
    """Of one node's history."""
    generations = Generations()
    for event in events:
        generations.take(event)
    return generations.processes


class Following:
    """Reads on in a folder of histories that grow: each look costs what is new. Raises HistoryError."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._read: dict[Path, int] = {}  # bytes of whole lines
        self._generations: dict[Path, Generations] = {}

    def processes(self) -> list[Process]:
        for path in self._folder.glob("*.jsonl"):
            before = self._read.get(path, 0)
            if path.stat().st_size > before:
                self._read_on(path, before)
        return [one for path in sorted(self._generations) for one in self._generations[path].processes]

    def _read_on(self, path: Path, before: int) -> None:
        with path.open("rb") as file:
            file.seek(before)
            new = file.read()
        whole = new[: new.rfind(b"\n") + 1]
        generations = self._generations.setdefault(path, Generations())
        for line in whole.decode().splitlines():
            generations.take(history.read_line(line))
        self._read[path] = before + len(whole)


def of_the_run(events: list[Event], rate: float, origin: int = 0) -> list[Event]:
    """Written by a clock that runs at `rate`: with times (ns) from `origin` on by one that runs true."""
    if rate == 1.0 and not origin:
        return events
    return [
        event | {key: int(event[key] / rate) - origin for key in TIMES if key in event} for event in events
    ]


def read_events(
    folder: Path, origin: int = 0, rate: Callable[[str], float] = lambda name: 1.0
) -> list[list[Event]]:
    """The same as they were written, each node's; `rate` of its clock, by its name."""
    return [
        of_the_run(history.read(path), rate(path.stem), origin) for path in sorted(folder.glob("*.jsonl"))
    ]
