"""Suspicion timeouts (Lifeguard's LHA-Suspicion): long while a single node suspects the member, shorter with
each further node that could not reach it either."""

from __future__ import annotations

from math import ceil, log

MAX_CONFIRMATIONS = 3  # further reporters that shorten the timeout to its minimum (Lifeguard's K)
MAX_TIMEOUT_FACTOR = 6  # the longest timeout in multiples of the shortest (Lifeguard's beta)
SOLE_WITNESS_TIMEOUT_FACTOR = 3  # likewise where no other node could confirm


def min_timeout_ns(
    period_ns: int, gossip_interval_ns: int, fanout: int, live: int, round_trip_ns: int
) -> int:
    """The time for a suspicion to reach its subject and for the refutation to reach every node, plus half a
    probe period. Each gossip interval multiplies the nodes that know an update by about fanout + 1."""
    rounds = ceil(log(max(2, live), fanout + 1))
    return period_ns // 2 + 2 * (rounds * gossip_interval_ns + round_trip_ns)


class Suspicion:
    """This node's suspicion of one member in one incarnation."""

    __slots__ = ("_expected_confirmations", "_extended_until_ns", "_min_timeout_ns", "reporters", "since_ns")

    def __init__(self, now_ns: int, reporter: int, min_timeout_ns: int, possible_confirmations: int) -> None:
        """`possible_confirmations`: nodes other than this one and the suspect that could confirm it."""
        self.since_ns = now_ns
        self.reporters = {reporter}
        self._min_timeout_ns = min_timeout_ns
        self._expected_confirmations = max(0, min(MAX_CONFIRMATIONS, possible_confirmations))
        self._extended_until_ns = 0

    def confirm(self, reporter: int) -> bool:
        """Returns whether this is a new reporter that shortens the timeout."""
        if reporter in self.reporters or len(self.reporters) > MAX_CONFIRMATIONS:
            return False
        self.reporters.add(reporter)
        return True

    def deadline_ns(self) -> int:
        """When the suspect is declared dead unless it has refuted the suspicion."""
        return max(self._timeout_deadline_ns(), self._extended_until_ns)

    def _timeout_deadline_ns(self) -> int:
        if not self._expected_confirmations:
            return self.since_ns + SOLE_WITNESS_TIMEOUT_FACTOR * self._min_timeout_ns
        max_timeout_ns = MAX_TIMEOUT_FACTOR * self._min_timeout_ns
        confirmations = min(len(self.reporters) - 1, self._expected_confirmations)
        reduction = (
            (max_timeout_ns - self._min_timeout_ns)
            * log(confirmations + 1)
            / log(self._expected_confirmations + 1)
        )
        return self.since_ns + max(self._min_timeout_ns, max_timeout_ns - int(reduction))

    def extend(self, heard_at_ns: int) -> bool:
        """The suspect was heard at `heard_at_ns`. Returns whether that extends the deadline, which never goes
        beyond the longest timeout."""
        until_ns = min(
            heard_at_ns + self._min_timeout_ns, self.since_ns + MAX_TIMEOUT_FACTOR * self._min_timeout_ns
        )
        is_later = until_ns > self.deadline_ns()
        self._extended_until_ns = max(self._extended_until_ns, until_ns)
        return is_later

    def restart(self, now_ns: int) -> None:
        """Restarts the timeout, as this node could not receive a refutation until now."""
        self.since_ns = now_ns
        self._extended_until_ns = 0
