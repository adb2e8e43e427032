"""Records the hollow nodes' observations of members in memory and writes them to one file for each worker."""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.scale.hollow.clock import dilated_ns
from driftstair.tier.history import History

STATES = ("alive", "suspect", "dead", "left")


class MemberObservation(NamedTuple):
    """From `at_ns` of the nodes' clock on, `observer` considers `member` to be in `state`."""

    at_ns: int
    observer: int
    member: int
    state: str
    is_announced: bool  # whether others are informed; if not, the observer only gets no answers itself


class Records:
    """The observations and event counts of all nodes of a worker."""

    def __init__(self) -> None:
        self.is_recording = False
        self.stood_still = 0
        self.suspicions = 0
        self.deaths = 0
        self._rows = array("q")

    def add(self, observation: MemberObservation) -> None:
        """Adds an observation."""
        self._rows.extend(
            (
                observation.at_ns,
                observation.observer,
                observation.member,
                STATES.index(observation.state),
                observation.is_announced,
            )
        )

    def write(self, path: Path) -> None:
        """Writes all observations to a file and forgets them."""
        with open(path, "wb") as file:
            self._rows.tofile(file)
        self._rows = array("q")


def read_observations(path: Path) -> Iterator[MemberObservation]:
    """Reads the observations of a file."""
    rows = array("q")
    rows.frombytes(path.read_bytes())
    for index in range(0, len(rows), len(MemberObservation._fields)):
        at_ns, observer, member, state, is_announced = rows[index : index + len(MemberObservation._fields)]
        yield MemberObservation(at_ns, observer, member, STATES[state], bool(is_announced))


class RecordingHistory(History):
    """Replaces a node's history on disk; counts events and records observations."""

    def __init__(self, records: Records, is_recorded: bool, dilation: float) -> None:
        """`is_recorded` says whether this node's observations are recorded in addition to the counts. Times
        are by the clock that all nodes share, as each node also has a clock of its own."""
        self._records = records
        self._is_recorded = is_recorded
        self._dilation = dilation

    def write(self, t_ns: int, node: int, generation: int, event: str, **fields: Any) -> None:
        records = self._records
        if event == "stood-still":
            records.stood_still += 1
        elif event == "member" and records.is_recording and fields["member"] != node:
            state: str = fields["state"]
            records.suspicions += state == "suspect"
            records.deaths += state == "dead" and fields["told"]
            if self._is_recorded:
                records.add(
                    MemberObservation(
                        dilated_ns(self._dilation), node, fields["member"], state, fields["told"]
                    )
                )

    def close(self) -> None:
        """Does nothing, as there is no file."""
