"""Small rehearsals for tests: few boxes, little load, a few seconds of virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from driftstair.rehearsal import wire
from driftstair.rehearsal.load import parse
from driftstair.rehearsal.report import build
from driftstair.rehearsal.runner import Rehearsal
from driftstair.rehearsal.virtual import run_scenario

SMALL_SCENARIO: dict[str, Any] = {
    "version": 1, "name": "small", "seconds": 6.0, "load": {"rate": 80.0, "keys": 100}, "nodes": {"count": 2},
    "boxes": {"count": 4, "grace_s": 2.0},
    "list": {"notice_s": 0.3, "silent_notice_s": 3.0, "ask_within_s": 1.0},
}  # fmt: skip


def small_scenario(*faults: dict[str, Any], **tables: Any) -> dict[str, Any]:
    """The tables of a small scenario with these faults, by default from 2 s to 4 s. `tables` replace its
    own."""
    return SMALL_SCENARIO | tables | {"fault": [{"at_s": 2.0, "for_s": 2.0} | fault for fault in faults]}


class Run:
    """A finished rehearsal in virtual time, its report and its observations. `prepare` is called before its
    start."""

    def __init__(self, tree: dict[str, Any], prepare: Callable[[Rehearsal], None] = lambda _: None) -> None:
        self.recorded: list[wire.Observation] = []

        def watch(rehearsal: Rehearsal) -> None:
            check = rehearsal.checker.note

            def note(observation: wire.Observation) -> None:
                self.recorded.append(observation)
                check(observation)

            rehearsal.checker.note = note  # type: ignore[method-assign]
            prepare(rehearsal)

        self.rehearsal, self.log, self.event_count = run_scenario(parse(tree, "test"), prepare=watch)
        self.report = build.build(self.rehearsal, self.log, "virtual")
        self.service: float = self.report["service"]
        self.breaks = self.rehearsal.checker.breaks
        self.crashes = self.rehearsal.crashes
        self.began = self.rehearsal.began_ns

    def observations(
        self, observation_type: type, begin_s: float = 0.0, end_s: float = 1e9, **fields: Any
    ) -> list[Any]:
        """The observations of a type with these field values, between two times in s after the clients'
        start."""
        return [
            observation for observation in self.recorded
            if isinstance(observation, observation_type)
            and begin_s <= (observation.at - self.began) / 1e9 < end_s
            and all(getattr(observation, name) == value for name, value in fields.items())
        ]  # fmt: skip

    def passed(self) -> bool:
        """Whether the run ended as planned, with no rule broken and no crash."""
        return not self.breaks and not self.crashes and self.report["ended"] == "whole"

    def broken_rules(self) -> set[int]:
        """The numbers of the rules that were broken."""
        return {broken.rule for broken in self.breaks}
