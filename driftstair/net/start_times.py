"""When servers started, on the monotonic clock.

Discovery tells starts as wall time. A node's own wall clock may be off by an hour when it starts, and it
steps: so it is read once, and then held against what the lists themselves prove. No server has started in the
future, and a start that is news on a watch that was heard all along is not old. One that does not fit counts
as now: taken for colder than it is, a server is spared; taken for warmer, it could be pushed over. Pure; its
clock is handed in.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

MS = 1_000_000  # ns
AHEAD_LEAST = 1000 * MS  # by which a start has to lie ahead for the clock to count as behind: machines differ
NOTICE_MOST = 60_000 * MS  # within which discovery tells of a start; platforms name up to half of that


class Start(NamedTuple):
    told_ms: int  # Unix time
    at: int  # monotonic ns


@dataclass(slots=True)
class StartTimes:
    """One node's view. `to_monotonic`: what leads from its wall clock to the monotonic one, ns."""

    to_monotonic: int
    _starts: dict[str, Start] = field(default_factory=dict)

    def translate(self, now: int, server: str, told_ms: int, heard_at: int) -> int:
        """The start of a server, monotonic ns, the same each time; 0 stands for long ago. `heard_at`: when
        discovery was heard last before it told this; 0: not in this process."""
        if not told_ms:
            self._starts.pop(server, None)
            return 0
        known = self._starts.get(server)
        if known is None or known.told_ms != told_ms:
            known = Start(told_ms, self._dated(now, told_ms, heard_at) or 1)
            self._starts[server] = known
        return known.at

    def forget_others(self, servers: set[str]) -> None:
        """Only these are listed."""
        self._starts = {name: start for name, start in self._starts.items() if name in servers}

    def _dated(self, now: int, told_ms: int, heard_at: int) -> int:
        at = told_ms * MS + self.to_monotonic
        is_news = heard_at > 0
        if at > now + AHEAD_LEAST or (is_news and at < heard_at - NOTICE_MOST):
            self.to_monotonic += now - at  # the wall clock was off by about that
            return now
        return min(at, now)
