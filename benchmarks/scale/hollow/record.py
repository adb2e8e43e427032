"""What hollow nodes came to hold of members, kept in memory and written to one file a worker at the end."""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.scale.hollow.clock import dilated_ns
from driftstair.tier.history import History

STATES = ("alive", "suspect", "dead", "left")


class Held(NamedTuple):
    """`observer` holds `member` in that state from `at` on (ns, the nodes' clock)."""

    at: int
    observer: int
    member: int
    state: str
    told: bool  # others hear of it; else it is held so only since nobody answers the observer


class Records:
    """Of all nodes of a worker."""

    def __init__(self) -> None:
        self.is_on = False
        self.stood_still = 0
        self.suspicions = 0
        self.deaths = 0
        self._rows = array("q")

    def note(self, held: Held) -> None:
        self._rows.extend((held.at, held.observer, held.member, STATES.index(held.state), held.told))

    def write(self, path: Path) -> None:
        """All rows; none is kept."""
        with open(path, "wb") as file:
            self._rows.tofile(file)
        self._rows = array("q")


def read(path: Path) -> Iterator[Held]:
    rows = array("q")
    rows.frombytes(path.read_bytes())
    for index in range(0, len(rows), len(Held._fields)):
        at, observer, member, state, told = rows[index : index + len(Held._fields)]
        yield Held(at, observer, member, STATES[state], bool(told))


class RecordedHistory(History):
    """In the place of a node's history on the disk."""

    def __init__(self, records: Records, noted: bool, dilation: float) -> None:
        """`noted`: whether more than counts is kept of what this node holds. Times are by the clock of all
        nodes, as each has a clock of its own."""
        self._records = records
        self._noted = noted
        self._dilation = dilation

    def write(self, t_ns: int, node: int, generation: int, event: str, **fields: Any) -> None:
        records = self._records
        if event == "stood-still":
            records.stood_still += 1
        elif event == "member" and records.is_on and fields["member"] != node:
            state: str = fields["state"]
            records.suspicions += state == "suspect"
            records.deaths += state == "dead" and fields["told"]
            if self._noted:
                records.note(Held(dilated_ns(self._dilation), node, fields["member"], state, fields["told"]))

    def close(self) -> None:
        """There is no file."""
