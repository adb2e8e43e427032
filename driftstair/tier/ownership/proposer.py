"""Whoever wants a lease: asks the voters for promises, then for the lease, and makes it longer in time.

Its lease counts from when it *sent* what the voters accepted, so it is over before any voter's record of
it. `token(now)` is what it may act with; what bears the effect compares it, since between a look at a clock
and an act a process may stand still for as long as it likes. Times are monotonic ns.
"""

from __future__ import annotations

from enum import IntEnum
from random import Random

from driftstair.tier.ownership.messages import (
    Accepted,
    OutgoingMessages,
    Prepare,
    Promise,
    Propose,
    Refused,
    Release,
    Terms,
    first_token,
    next_token_above,
)

WITHIN = 400_000_000  # ns: for the voters' answers to one question
KEEN = 1_000_000_000  # ns in which an heir asks again soon
LEAST_PAUSE, MOST_PAUSE = 100_000_000, 1_600_000_000  # ns between two attempts


class Phase(IntEnum):
    IDLE = 0
    PREPARING = 1
    PROPOSING = 2


class Proposer:
    """One task's, in one process."""

    def __init__(
        self, task: int, own: int, generation: int, voters: tuple[int, ...], terms: Terms, random: Random
    ) -> None:  # fmt: skip
        self.task = task
        self.wanted = False
        self._own = own
        self._voters = voters
        self._terms = terms
        self._random = random
        self._next = first_token(generation, own)  # the token of the next attempt
        self._phase = Phase.IDLE
        self._asked = 0  # the token that is asked for
        self._seq = 0
        self._sent_at = 0
        self._answers: set[int] = set()
        self._refusals: set[int] = set()
        self._token = 0  # of the lease held; 0: none
        self._until = 0  # its end
        self._over_at = 0  # when the last lease was over for whoever asks
        self._pause_until = 0
        self._failures = 0
        self._keen_until = 0

    # What it holds.

    def token(self, now: int) -> int:
        """Of its lease; 0: it has none. Some time before its end it is over for whoever asks."""
        return self._token if self._token and now < self._until - self._terms.margin else 0

    def holds(self, now: int) -> bool:
        return self._token != 0 and now < self._until

    def over_at(self, now: int) -> int:
        """ns: since when it has none. A process that stood still looks late, but knows this all the same."""
        return min(now, self._until - self._terms.margin) if self._token else self._over_at

    # What it does.

    def tick(self, now: int) -> OutgoingMessages:
        self._lapse(now)
        if self._phase is not Phase.IDLE and now - self._sent_at >= WITHIN:
            self._give_up(now)
        if self._phase is not Phase.IDLE:
            return []
        if self._token:
            if self.wanted and now >= self._until - self._terms.lease // 2 and now >= self._pause_until:
                return self._propose(now)
            return []
        if not self.wanted or now < self._pause_until:
            return []
        self._phase, self._asked, self._sent_at = Phase.PREPARING, self._next, now
        self._answers, self._refusals = set(), set()
        return self._all(Prepare(self.task, self._asked))

    def _lapse(self, now: int) -> None:
        """A lease that is over is not made longer: what comes after it is another, with its own token."""
        if self._token and now >= self._until - self._terms.margin:
            self._token, self._phase = 0, Phase.IDLE
            self._over_at = self._until - self._terms.margin

    def _propose(self, now: int) -> OutgoingMessages:
        self._phase, self._sent_at = Phase.PROPOSING, now
        self._answers, self._refusals = set(), set()
        self._seq += 1
        return self._all(Propose(self.task, self._asked, self._seq))

    def _all(self, message: Prepare | Propose | Release) -> OutgoingMessages:
        return [(number, message) for number in self._voters]

    def _give_up(self, now: int) -> None:
        """This attempt; a lease that is held runs on."""
        self._phase = Phase.IDLE
        self._failures += 1
        most = min(MOST_PAUSE, LEAST_PAUSE << min(self._failures, 10))
        if now < self._keen_until:
            most = LEAST_PAUSE // 2
        self._pause_until = now + int(self._random.uniform(most / 4, most))
        self._next = next_token_above(self._next, self._asked)

    def promised(self, now: int, member: int, answer: Promise) -> OutgoingMessages:
        if self._phase is not Phase.PREPARING or answer.token != self._asked:
            return []
        self._answers.add(member)
        return self._propose(now) if self._enough(self._answers) else []

    def accepted(self, now: int, member: int, answer: Accepted) -> bool:
        """Whether it owns the task by this, and did not before."""
        self._lapse(now)
        if self._phase is not Phase.PROPOSING or (answer.token, answer.seq) != (self._asked, self._seq):
            return False
        self._answers.add(member)
        if not self._enough(self._answers):
            return False
        self._phase, self._failures = Phase.IDLE, 0
        new = not self._token
        self._token, self._until = self._asked, self._sent_at + self._terms.lease
        self._next = next_token_above(self._next, self._asked)
        if self.token(now) == 0:
            self._token = 0  # the answers took too long
            return False
        return new

    def refused(self, now: int, member: int, answer: Refused) -> None:
        self.floor(answer.known)
        if self._phase is Phase.IDLE or answer.token != self._asked:
            return
        self._refusals.add(member)
        if len(self._refusals) > len(self._voters) - self._majority():
            self._give_up(now)
            if answer.owner >= 0 and not self._token and now >= self._keen_until:
                self._pause_until = max(self._pause_until, now + min(answer.left, self._terms.lease))

    def floor(self, token: int) -> None:
        """Its next attempt is above this: of the voters, or of what bears the effect."""
        if token >= self._next:
            self._next = next_token_above(self._next, token)

    def next_token(self) -> int:
        """Greater than all that it has asked for."""
        return self._next

    def release(self, now: int, heir: int = -1) -> OutgoingMessages:
        """It acts no more with it from here on."""
        if not self._token:
            return []
        held, self._token, self._phase = self._token, 0, Phase.IDLE
        self._over_at = min(now, self._until - self._terms.margin)
        self._pause_until = now + self._terms.lease
        return self._all(Release(self.task, held, heir))

    def free(self, now: int) -> None:
        """The owner wants this one next: no reason to wait any longer. The voters may hear of it later."""
        self._pause_until = min(self._pause_until, now)
        self._keen_until = now + KEEN
        self._failures = 0

    def due(self, now: int) -> int:
        """ns at which it wants to be called; far off where nothing is wanted."""
        times = []
        if self._phase is not Phase.IDLE:
            times.append(self._sent_at + WITHIN)
        if self._token:
            times.append(self._until - self._terms.margin)
            if self._phase is Phase.IDLE and self.wanted:
                times.append(max(self._until - self._terms.lease // 2, self._pause_until))
        elif self.wanted and self._phase is Phase.IDLE:
            times.append(self._pause_until)
        return min(times, default=1 << 62)

    def _majority(self) -> int:
        return len(self._voters) // 2 + 1

    def _enough(self, members: set[int]) -> bool:
        return len(members) >= self._majority()
