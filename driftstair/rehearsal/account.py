"""What became of every first try, and what it was worth. No I/O; times are ns since the start of the run.

Service is the worth answered within its wanted time over the worth asked for; a client's retries belong to
its first try, and the time counts from that.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

SERVED = "served"
LATE = "late"  # an answer came, after the wanted time
REFUSED = "refused"  # turned away, the last time it asked
FAILED = "failed"  # answered with a failure, the last time it asked
GAVE_UP = "gave up"  # no answer in its time
UNREACHABLE = "unreachable"  # no node took it
CUT_OFF = "cut off"  # the run ended first
REASONS = (LATE, REFUSED, FAILED, GAVE_UP, UNREACHABLE, CUT_OFF)


@dataclass(slots=True)
class Tally:
    """Of one group of first tries."""

    asked: int = 0
    worth: float = 0.0
    served: int = 0
    worth_served: float = 0.0
    lost: Counter[str] = field(default_factory=Counter)  # first tries, by reason
    worth_lost: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    latencies: list[int] = field(default_factory=list)  # ns, of answers, late ones too
    tries: int = 0

    def service(self) -> float:
        return self.worth_served / self.worth if self.worth else 1.0

    def percentile(self, part: float) -> float | None:
        """In ms, of all that were answered; None if none was."""
        if not self.latencies:
            return None
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(part * len(ordered)))] / 1e6


@dataclass(slots=True)
class Second:
    """One second of the run, by when first tries began."""

    worth: float = 0.0
    worth_served: float = 0.0
    asked: int = 0
    lost: Counter[str] = field(default_factory=Counter)


class Account:
    def __init__(self) -> None:
        self.origin = 0  # ns at which the first second begins
        self.whole = Tally()
        self.by_class: dict[str, Tally] = {}
        self.by_tenant: dict[str, Tally] = {}
        self.by_phase: dict[str, Tally] = {}
        self.seconds: dict[int, Second] = {}

    def close(
        self, kind: str, tenant: str, phase: str, began: int, worth: float, outcome: str, latency: int,
        tries: int,
    ) -> None:  # fmt: skip
        """One first try and all that followed it are over. `latency`: ns from its beginning; 0 if
        unanswered."""
        tallies = (
            self.whole,
            self.by_class.setdefault(kind, Tally()),
            self.by_tenant.setdefault(tenant, Tally()),
            self.by_phase.setdefault(phase, Tally()),
        )
        for tally in tallies:
            tally.asked += 1
            tally.worth += worth
            tally.tries += tries
            if latency:
                tally.latencies.append(latency)
            if outcome == SERVED:
                tally.served += 1
                tally.worth_served += worth
            else:
                tally.lost[outcome] += 1
                tally.worth_lost[outcome] += worth
        second = self.seconds.setdefault((began - self.origin) // 1_000_000_000, Second())
        second.asked += 1
        second.worth += worth
        if outcome == SERVED:
            second.worth_served += worth
        else:
            second.lost[outcome] += 1
