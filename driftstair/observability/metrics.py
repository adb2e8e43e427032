"""Counters of a node's events, by reason. Always kept, at one addition per event. No I/O, no clock."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from driftstair.observability.reasons import AnswerReason, CloseReason, StreamEnd, StreamStart
from lichenspring.interface import Result


@dataclass(slots=True)
class Metrics:
    """Counts since the process started; durations in ns."""

    answers: Counter[AnswerReason] = field(default_factory=Counter)
    closes: Counter[CloseReason] = field(default_factory=Counter)
    retries: Counter[Result] = field(default_factory=Counter)  # by the result of the previous attempt
    attempts_not_begun: Counter[str] = field(default_factory=Counter)  # by what prevented them
    streams_begun: Counter[StreamStart] = field(default_factory=Counter)  # answers passed on as they arrive
    streams_ended: Counter[StreamEnd] = field(default_factory=Counter)
    violations: Counter[str] = field(default_factory=Counter)  # of invariants, by name
    loop_held_ns: int = 0  # the longest stall of the event loop

    def flat(self) -> dict[str, int]:
        """All counters with name and reason in one key, as operators' tools read them."""
        counts: dict[str, int] = {"loop_held_ms": self.loop_held_ns // 1_000_000}
        for name, counter in (
            ("answers", self.answers),
            ("closes", self.closes),
            ("retries", self.retries),
            ("attempts_not_begun", self.attempts_not_begun),
            ("streams_begun", self.streams_begun),
            ("streams_ended", self.streams_ended),
            ("violations", self.violations),
        ):
            for reason, count in counter.items():
                counts[f"{name}.{reason if isinstance(reason, str) else reason.value}"] = count
        return counts
