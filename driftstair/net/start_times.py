"""Start times of servers, converted to the monotonic clock.

Discovery reports start times as wall time. A node's own wall clock may be off by an hour when it starts, and
it may step. So it is read once, and then checked against what the lists prove: no server has started in
the future, and a start that is first reported on a watch that received data throughout is recent. A start
time that contradicts this counts as now: a server that is taken for colder than it is only gets less load,
one that is taken for warmer could be overloaded. No I/O; the time is passed in.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

NS_PER_MS = 1_000_000
CLOCK_SKEW_MIN_NS = 1000 * NS_PER_MS  # starts further ahead show a slow clock; less is usual between machines
REPORT_DELAY_MAX_NS = 60_000 * NS_PER_MS  # until discovery reports a start; platforms state up to half of it


class Start(NamedTuple):
    """A start of a server, as reported and on the monotonic clock."""

    started_ms: int  # Unix time
    at: int  # monotonic ns


@dataclass(slots=True)
class StartTimes:
    """One node's view. `to_monotonic`: offset from its wall clock to its monotonic clock, ns."""

    to_monotonic: int
    _starts: dict[str, Start] = field(default_factory=dict)

    def translate(self, now: int, server: str, started_ms: int, last_received_at: int) -> int:
        """The start of a server, monotonic ns, the same in each call; 0: long ago. `last_received_at`: when
        data from discovery were last received before this list; 0: not in this process."""
        if not started_ms:
            self._starts.pop(server, None)
            return 0
        start = self._starts.get(server)
        if start is None or start.started_ms != started_ms:
            start = Start(started_ms, self._convert(now, started_ms, last_received_at) or 1)
            self._starts[server] = start
        return start.at

    def retain(self, servers: set[str]) -> None:
        """Drops the servers that are no longer listed."""
        self._starts = {name: start for name, start in self._starts.items() if name in servers}

    def _convert(self, now: int, started_ms: int, last_received_at: int) -> int:
        at = started_ms * NS_PER_MS + self.to_monotonic
        is_update = last_received_at > 0
        if at > now + CLOCK_SKEW_MIN_NS or (is_update and at < last_received_at - REPORT_DELAY_MAX_NS):
            self.to_monotonic += now - at  # the wall clock was off by about this much
            return now
        return min(at, now)
