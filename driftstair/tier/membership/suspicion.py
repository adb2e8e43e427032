"""How long a suspect has to refute (Lifeguard's LHA-Suspicion): long where one node alone says so, shorter
with each other node that could not reach it either."""

from __future__ import annotations

from math import ceil, log

CONFIRMED_BY = 3  # further nodes that bring the time down to the least (the paper's K)
MOST_TIMES = 6  # the most is so many times the least (the paper's beta)
ALONE_TIMES = 3  # with nobody who could confirm


def least(period: int, spread: int, fan: int, living: int, round_trip: int) -> int:
    """ns: a suspicion spreads to its subject, the refutation to all, and half a probe's period passes.
    News reaches about (fan + 1) times as many nodes each `spread` (ns)."""
    rounds = ceil(log(max(2, living), fan + 1))
    return period // 2 + 2 * (rounds * spread + round_trip)


class Suspicion:
    """Of one member, in one incarnation, as this node holds it."""

    __slots__ = ("_could", "_deferred", "_least", "by", "since")

    def __init__(self, now: int, by: int, least: int, could: int) -> None:
        """`could`: nodes beside this one and the suspect that could confirm it."""
        self.since = now
        self.by = {by}
        self._least = least
        self._could = max(0, min(CONFIRMED_BY, could))
        self._deferred = 0

    def confirm(self, by: int) -> bool:
        """Whether this is a further voice that counts."""
        if by in self.by or len(self.by) > CONFIRMED_BY:
            return False
        self.by.add(by)
        return True

    def end(self) -> int:
        """ns at which the suspect is dead, unless it has refuted."""
        return max(self._end(), self._deferred)

    def _end(self) -> int:
        if not self._could:
            return self.since + ALONE_TIMES * self._least
        most = MOST_TIMES * self._least
        voices = min(len(self.by) - 1, self._could)
        shorter = (most - self._least) * log(voices + 1) / log(self._could + 1)
        return self.since + max(self._least, most - int(shorter))

    def defer(self, heard: int) -> bool:
        """The suspect was heard at `heard` (ns): whether that gives it more time. Not beyond the most."""
        until = min(heard + self._least, self.since + MOST_TIMES * self._least)
        later = until > self.end()
        self._deferred = max(self._deferred, until)
        return later

    def anew(self, now: int) -> None:
        """This node could not hear a refutation until now."""
        self.since = now
        self._deferred = 0
