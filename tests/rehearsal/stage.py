"""Small rehearsals for tests: few boxes, little load, seconds of virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from driftstair.rehearsal import wire
from driftstair.rehearsal.load import parse
from driftstair.rehearsal.report import build
from driftstair.rehearsal.runner import Rehearsal
from driftstair.rehearsal.virtual import play

SMALL: dict[str, Any] = {
    "version": 1, "name": "small", "seconds": 6.0, "load": {"rate": 80.0, "keys": 100}, "nodes": {"count": 2},
    "boxes": {"count": 4, "grace_s": 2.0},
    "list": {"notice_s": 0.3, "silent_notice_s": 3.0, "ask_within_s": 1.0},
}  # fmt: skip


def small(*faults: dict[str, Any], **tables: Any) -> dict[str, Any]:
    return SMALL | tables | {"fault": [{"at_s": 2.0, "for_s": 2.0} | one for one in faults]}


class Run:
    """What a rehearsal left, and what crossed the wire in it."""

    def __init__(self, tree: dict[str, Any], prepare: Callable[[Rehearsal], None] = lambda _: None) -> None:
        self.wire: list[wire.Observation] = []

        def watch(rehearsal: Rehearsal) -> None:
            judge = rehearsal.checker.note

            def note(observation: wire.Observation) -> None:
                self.wire.append(observation)
                judge(observation)

            rehearsal.checker.note = note  # type: ignore[method-assign]
            prepare(rehearsal)

        self.rehearsal, self.log, self.events = play(parse(tree, "test"), prepare=watch)
        self.report = build.build(self.rehearsal, self.log, "virtual")
        self.service: float = self.report["service"]
        self.breaks = self.rehearsal.checker.breaks
        self.crashes = self.rehearsal.crashes
        self.began = self.rehearsal.began_ns

    def seen(self, kind: type, begin: float = 0.0, end: float = 1e9, **fields: Any) -> list[Any]:
        """Observations of a kind between two times of the run, in s from when clients came."""
        return [
            one for one in self.wire
            if isinstance(one, kind) and begin <= (one.at - self.began) / 1e9 < end
            and all(getattr(one, name) == value for name, value in fields.items())
        ]  # fmt: skip

    def kept(self) -> bool:
        return not self.breaks and not self.crashes and self.report["ended"] == "whole"

    def rules(self) -> set[int]:
        return {one.rule for one in self.breaks}
