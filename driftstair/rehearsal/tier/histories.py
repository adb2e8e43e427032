"""Membership views of the processes of a tier over time, read from their histories."""

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
TIME_FIELDS = ("t_ns", "until_ns", "over_ns")  # fields of events in the time of the process's clock


@dataclass(frozen=True, slots=True)
class ViewChange:
    """One change of a process's view of a member; `at` in ns."""

    at: int
    member: int
    state: str
    rank: Rank  # generation, incarnation, state
    told: bool
    why: str


@dataclass(slots=True)
class Process:
    """One process of a node, from its start to its last event."""

    node: int
    began: int
    ended: int = FOREVER  # ns: its recorded end, or the start of the node's next process
    view_changes: list[ViewChange] = field(default_factory=list)
    stood_still: list[tuple[int, int]] = field(default_factory=list)  # ns, as it recorded itself

    def state(self, member: int, at: int) -> str:
        """Returns the state held for a member at a time; "unknown" before anything was received about it."""
        state_then = "unknown"
        for change in self.view_changes:
            if change.at > at:
                break
            if change.member == member:
                state_then = change.state
        return state_then

    def spans(self, member: int, state: str, until: int) -> list[tuple[int, int, ViewChange]]:
        """Returns the time spans in which a member was held in a state, each with the change that began
        it."""
        spans: list[tuple[int, int, ViewChange]] = []
        first_change: ViewChange | None = None
        for change in self.view_changes:
            if change.member != member:
                continue
            if first_change is None and change.state == state:
                first_change = change
            elif first_change is not None and change.state != state:
                spans.append((first_change.at, change.at, first_change))
                first_change = None
        if first_change is not None:
            spans.append((first_change.at, min(until, self.ended), first_change))
        return spans

    def latest_changes(self) -> dict[int, ViewChange]:
        """Returns the latest view change of each member."""
        return {change.member: change for change in self.view_changes}


class Generations:
    """Collects the processes of one node from its events in order. Events before the first start are
    ignored."""

    def __init__(self) -> None:
        self.processes: list[Process] = []

    def add_event(self, event: Event) -> None:
        """Takes the node's next event."""
        processes = self.processes
        if event["event"] == "start":
            if processes and processes[-1].ended == FOREVER:
                processes[-1].ended = event["t_ns"]  # killed at an unknown earlier time
            processes.append(Process(event["node"], event["t_ns"]))
        elif not processes:
            return
        elif event["event"] == "end":
            processes[-1].ended = event["t_ns"]
        elif event["event"] == "stood-still":
            processes[-1].stood_still.append((event["t_ns"] - event["late_ns"], event["t_ns"]))
        elif event["event"] == "member":
            state = event["state"]
            rank = (event["member_life"], event["incarnation"], STATES[state])
            processes[-1].view_changes.append(
                ViewChange(event["t_ns"], event["member"], state, rank, event["told"], event["why"])
            )


def processes(events: list[Event]) -> list[Process]:
    """Returns the processes in the history of one node."""
    generations = Generations()
    for event in events:
        generations.add_event(event)
    return generations.processes


class HistoryFollower:
    """Follows a folder of growing histories: each call reads only what was appended. Raises HistoryError."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._bytes_read: dict[Path, int] = {}  # bytes of complete lines
        self._generations: dict[Path, Generations] = {}

    def processes(self) -> list[Process]:
        """Returns the processes of all nodes as far as their histories are complete lines."""
        for path in self._folder.glob("*.jsonl"):
            read_before = self._bytes_read.get(path, 0)
            if path.stat().st_size > read_before:
                self._read_new(path, read_before)
        return [
            process for path in sorted(self._generations) for process in self._generations[path].processes
        ]

    def _read_new(self, path: Path, read_before: int) -> None:
        with path.open("rb") as file:
            file.seek(read_before)
            new_bytes = file.read()
        complete_lines = new_bytes[: new_bytes.rfind(b"\n") + 1]
        generations = self._generations.setdefault(path, Generations())
        for line in complete_lines.decode().splitlines():
            generations.add_event(history.read_line(line))
        self._bytes_read[path] = read_before + len(complete_lines)


def to_run_time(events: list[Event], rate: float, origin: int = 0) -> list[Event]:
    """Converts events written by a clock of the given rate: times (ns) become those of a true clock, counted
    from `origin`."""
    if rate == 1.0 and not origin:
        return events
    return [
        event | {key: int(event[key] / rate) - origin for key in TIME_FIELDS if key in event}
        for event in events
    ]


def read_events(
    folder: Path, origin: int = 0, rate: Callable[[str], float] = lambda name: 1.0
) -> list[list[Event]]:
    """Reads the histories of a folder, one list for each node, with times converted by the `rate` of the
    node's clock."""
    return [
        to_run_time(history.read(path), rate(path.stem), origin) for path in sorted(folder.glob("*.jsonl"))
    ]
