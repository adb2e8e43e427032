"""A proposer: it asks the voters for promises, then for the lease, and renews the lease in time.

The proposer counts its lease from when it *sent* the proposal that the voters accepted, so the lease ends
before any voter's record of it. `token(now)` is the token that the process may act with. The resource that
the task changes has to compare tokens, since a process may be paused for any length of time between reading
the clock and acting. Times are monotonic ns.
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

ANSWER_TIMEOUT_NS = 400_000_000  # for the voters' answers to one message
SUCCESSOR_RETRY_NS = 1_000_000_000  # how long the successor of a released lease retries with short pauses
MIN_PAUSE_NS, MAX_PAUSE_NS = 100_000_000, 1_600_000_000  # between two attempts


class Phase(IntEnum):
    """The step of the current attempt."""

    IDLE = 0
    PREPARING = 1
    PROPOSING = 2


class Proposer:
    """The proposer of one process for one task."""

    def __init__(
        self, task: int, own_number: int, generation: int, voters: tuple[int, ...], terms: Terms,
        random: Random,
    ) -> None:  # fmt: skip
        self.task = task
        self.is_wanted = False
        self._own_number = own_number
        self._voters = voters
        self._terms = terms
        self._random = random
        self._next_token = first_token(generation, own_number)  # the token of the next attempt
        self._phase = Phase.IDLE
        self._attempt_token = 0  # the token of the current or the latest attempt
        self._seq = 0
        self._sent_at_ns = 0
        self._agreeing_voters: set[int] = set()
        self._refusing_voters: set[int] = set()
        self._token = 0  # the token of the lease; 0 while there is none
        self._until_ns = 0  # the end of the lease
        self._ended_at_ns = 0  # when callers of `token` lost the last lease
        self._pause_until_ns = 0
        self._failures = 0
        self._fast_retry_until_ns = 0

    # The lease.

    def token(self, now: int) -> int:
        """The token to act with; 0 without a lease, and also during the margin before the lease's end."""
        return self._token if self._token and now < self._until_ns - self._terms.margin_ns else 0

    def has_lease(self, now: int) -> bool:
        """Whether the lease runs, its margin included."""
        return self._token != 0 and now < self._until_ns

    def ended_at(self, now: int) -> int:
        """Since when (ns) there is no token to act with. A process that was paused calls this late, but the
        result is not later for that."""
        return min(now, self._until_ns - self._terms.margin_ns) if self._token else self._ended_at_ns

    # Attempts and messages.

    def tick(self, now: int) -> OutgoingMessages:
        """Starts, abandons or renews as the time requires."""
        self._expire(now)
        if self._phase is not Phase.IDLE and now - self._sent_at_ns >= ANSWER_TIMEOUT_NS:
            self._abandon_attempt(now)
        if self._phase is not Phase.IDLE:
            return []
        if self._token:
            if (
                self.is_wanted
                and now >= self._until_ns - self._terms.lease_ns // 2
                and now >= self._pause_until_ns
            ):
                return self._propose(now)
            return []
        if not self.is_wanted or now < self._pause_until_ns:
            return []
        self._phase, self._attempt_token, self._sent_at_ns = Phase.PREPARING, self._next_token, now
        self._agreeing_voters, self._refusing_voters = set(), set()
        return self._to_all_voters(Prepare(self.task, self._attempt_token))

    def _expire(self, now: int) -> None:
        """Drops a lease that has ended. It is never renewed: the next lease has its own token."""
        if self._token and now >= self._until_ns - self._terms.margin_ns:
            self._token, self._phase = 0, Phase.IDLE
            self._ended_at_ns = self._until_ns - self._terms.margin_ns

    def _propose(self, now: int) -> OutgoingMessages:
        self._phase, self._sent_at_ns = Phase.PROPOSING, now
        self._agreeing_voters, self._refusing_voters = set(), set()
        self._seq += 1
        return self._to_all_voters(Propose(self.task, self._attempt_token, self._seq))

    def _to_all_voters(self, message: Prepare | Propose | Release) -> OutgoingMessages:
        return [(number, message) for number in self._voters]

    def _abandon_attempt(self, now: int) -> None:
        """Ends the current attempt and pauses before the next one. A lease that is held continues."""
        self._phase = Phase.IDLE
        self._failures += 1
        longest_ns = min(MAX_PAUSE_NS, MIN_PAUSE_NS << min(self._failures, 10))
        if now < self._fast_retry_until_ns:
            longest_ns = MIN_PAUSE_NS // 2
        self._pause_until_ns = now + int(self._random.uniform(longest_ns / 4, longest_ns))
        self._next_token = next_token_above(self._next_token, self._attempt_token)

    def on_promise(self, now: int, voter: int, message: Promise) -> OutgoingMessages:
        """Counts a promise and proposes the lease once a majority has promised."""
        if self._phase is not Phase.PREPARING or message.token != self._attempt_token:
            return []
        self._agreeing_voters.add(voter)
        return self._propose(now) if self._is_majority(self._agreeing_voters) else []

    def on_accepted(self, now: int, voter: int, message: Accepted) -> bool:
        """Counts an acceptance. Returns whether it makes this process the owner, which it was not before."""
        self._expire(now)
        if self._phase is not Phase.PROPOSING or (message.token, message.seq) != (
            self._attempt_token,
            self._seq,
        ):
            return False
        self._agreeing_voters.add(voter)
        if not self._is_majority(self._agreeing_voters):
            return False
        self._phase, self._failures = Phase.IDLE, 0
        is_new = not self._token
        self._token, self._until_ns = self._attempt_token, self._sent_at_ns + self._terms.lease_ns
        self._next_token = next_token_above(self._next_token, self._attempt_token)
        if self.token(now) == 0:
            self._token = 0  # the answers arrived after the end of the lease
            return False
        return is_new

    def on_refused(self, now: int, voter: int, message: Refused) -> None:
        """Counts a refusal and abandons the attempt once no majority can agree any more."""
        self.raise_token_floor(message.highest_token)
        if self._phase is Phase.IDLE or message.token != self._attempt_token:
            return
        self._refusing_voters.add(voter)
        if len(self._refusing_voters) > len(self._voters) - self._majority_size():
            self._abandon_attempt(now)
            if message.owner >= 0 and not self._token and now >= self._fast_retry_until_ns:
                self._pause_until_ns = max(
                    self._pause_until_ns, now + min(message.remaining_ns, self._terms.lease_ns)
                )

    def raise_token_floor(self, token: int) -> None:
        """Makes the next attempt use a token above this one, which a voter or the resource reported."""
        if token >= self._next_token:
            self._next_token = next_token_above(self._next_token, token)

    def next_token(self) -> int:
        """The token of the next attempt, greater than those of all attempts so far."""
        return self._next_token

    def release(self, now: int, successor: int = -1) -> OutgoingMessages:
        """Ends the lease. The caller must not act under it from here on."""
        if not self._token:
            return []
        released_token, self._token, self._phase = self._token, 0, Phase.IDLE
        self._ended_at_ns = min(now, self._until_ns - self._terms.margin_ns)
        self._pause_until_ns = now + self._terms.lease_ns
        return self._to_all_voters(Release(self.task, released_token, successor))

    def on_named_successor(self, now: int) -> None:
        """Ends the pause, since the owner released its lease in favour of this process. The voters may learn
        of the release later, so refusals lead to short pauses for a while."""
        self._pause_until_ns = min(self._pause_until_ns, now)
        self._fast_retry_until_ns = now + SUCCESSOR_RETRY_NS
        self._failures = 0

    def next_tick_at(self, now: int) -> int:
        """When (ns) `tick` has to be called next; far in the future if the lease is not wanted."""
        times_ns = []
        if self._phase is not Phase.IDLE:
            times_ns.append(self._sent_at_ns + ANSWER_TIMEOUT_NS)
        if self._token:
            times_ns.append(self._until_ns - self._terms.margin_ns)
            if self._phase is Phase.IDLE and self.is_wanted:
                times_ns.append(max(self._until_ns - self._terms.lease_ns // 2, self._pause_until_ns))
        elif self.is_wanted and self._phase is Phase.IDLE:
            times_ns.append(self._pause_until_ns)
        return min(times_ns, default=1 << 62)

    def _majority_size(self) -> int:
        return len(self._voters) // 2 + 1

    def _is_majority(self, voters: set[int]) -> bool:
        return len(voters) >= self._majority_size()
