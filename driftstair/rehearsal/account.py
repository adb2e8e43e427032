"""Accounts for the outcome of every client request and its worth. No I/O; times are ns since the start of the
run.

Service is the worth answered within the wanted time divided by the worth requested. A client's retries belong
to its first try, and the latency counts from the first try.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field

SERVED = "served"
LATE = "late"  # answered after the wanted time
REFUSED = "refused"  # the last try was refused
FAILED = "failed"  # the last try was answered with a failure
GAVE_UP = "gave up"  # no answer until the client stopped waiting
UNREACHABLE = "unreachable"  # no node accepted a connection
CUT_OFF = "cut off"  # the run ended before the request
LOSS_REASONS = (LATE, REFUSED, FAILED, GAVE_UP, UNREACHABLE, CUT_OFF)


@dataclass(slots=True)
class Tally:
    """Figures of one group of requests. A request is a first try with its retries."""

    requests: int = 0
    worth: float = 0.0
    served: int = 0
    worth_served: float = 0.0
    lost: Counter[str] = field(default_factory=Counter)  # requests by reason
    worth_lost: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    latencies: list[int] = field(default_factory=list)  # ns, including late answers
    tries: int = 0

    def service(self) -> float:
        """Returns the share of worth that was answered in time; 1.0 if there was none."""
        return self.worth_served / self.worth if self.worth else 1.0

    def percentile(self, fraction: float) -> float | None:
        """Returns a percentile of the latencies of all answered requests in ms; None if there are none."""
        if not self.latencies:
            return None
        sorted_latencies = sorted(self.latencies)
        return sorted_latencies[min(len(sorted_latencies) - 1, int(fraction * len(sorted_latencies)))] / 1e6


@dataclass(slots=True)
class Second:
    """Figures of one second of the run, by when requests began."""

    worth: float = 0.0
    worth_served: float = 0.0
    requests: int = 0
    lost: Counter[str] = field(default_factory=Counter)


class Account:
    """The figures of a run: in total, by class, tenant and phase, and for each second."""

    def __init__(self) -> None:
        self.origin_ns = 0  # start of the first second
        self.total = Tally()
        self.by_class: dict[str, Tally] = {}
        self.by_tenant: dict[str, Tally] = {}
        self.by_phase: dict[str, Tally] = {}
        self.seconds: dict[int, Second] = {}

    def record_outcome(
        self, kind: str, tenant: str, phase: str, began_ns: int, worth: float, outcome: str, latency_ns: int,
        tries: int,
    ) -> None:  # fmt: skip
        """Records the outcome of a request once its last try is over. `latency_ns` counts from its beginning;
        0 if unanswered."""
        tallies = (
            self.total,
            self.by_class.setdefault(kind, Tally()),
            self.by_tenant.setdefault(tenant, Tally()),
            self.by_phase.setdefault(phase, Tally()),
        )
        for tally in tallies:
            tally.requests += 1
            tally.worth += worth
            tally.tries += tries
            if latency_ns:
                tally.latencies.append(latency_ns)
            if outcome == SERVED:
                tally.served += 1
                tally.worth_served += worth
            else:
                tally.lost[outcome] += 1
                tally.worth_lost[outcome] += worth
        second = self.seconds.setdefault((began_ns - self.origin_ns) // 1_000_000_000, Second())
        second.requests += 1
        second.worth += worth
        if outcome == SERVED:
            second.worth_served += worth
        else:
            second.lost[outcome] += 1
