"""One of the voters: for each task it keeps the greatest token it heard of and the lease that runs.

While a lease runs here nobody else's is taken, and a promise to another is not given either: so an owner's
renewals meet no rival, and two owners at once would need two majorities with no voter in common. A process
that starts does not know what the one before it has accepted, and keeps silent for as long as a lease can
last; then nothing of that matters. So nothing has to be on a disk for there to be one owner (PaxosLease,
Trencseni and others, 2012; the refusal of promises while a lease runs is ours).

That tokens rise across restarts is another matter. Where a folder outlives the process, no token is promised
before one as great is on the disk, and a voter begins above that: so tokens rise whatever restarts and
whatever clocks say, while a majority keeps its disks. Without a folder, what a voter forgot it makes up by a
floor: the first token of its own generation, as generations rise by the clock. Where a majority restarts and
clocks disagree as well, a token may fall then; what bears the effect refuses that.
"""

from __future__ import annotations

from dataclasses import dataclass

from driftstair.tier.ownership.messages import (
    NUMBERS,
    Accepted,
    Prepare,
    Promise,
    Propose,
    Refused,
    Release,
    Terms,
    first_token,
    reserve_tokens,
)

MAX_TASKS = 4096


@dataclass(slots=True)
class Running:
    owner: int
    generation: int
    token: int
    until: int  # ns, by this member's clock


class Acceptor:
    """`generation` of its process; `started` in ns; `kept`: the token on its disk, None where it has none."""

    def __init__(self, terms: Terms, generation: int, started: int, kept: int | None = None) -> None:
        self.floor = max(first_token(generation, NUMBERS - 1), kept or 0)
        self.kept = kept
        self.pending_token = 0  # a token that has to be on the disk before it says more
        self.running: dict[int, Running] = {}  # by task
        self.known: dict[int, int] = {}  # by task: the greatest token promised or accepted
        self._terms = terms
        self._silent_until = started + terms.waited()

    def silent(self, now: int) -> bool:
        return now < self._silent_until

    def lease(self, now: int, task: int) -> Running | None:
        """That runs now."""
        one = self.running.get(task)
        if one is not None and one.until <= now:
            del self.running[task]
            return None
        return one

    def prepare(self, now: int, sender: int, generation: int, asked: Prepare) -> Promise | Refused | None:
        """None: it says nothing."""
        speaks, refusal = self._may(now, sender, generation, asked)
        return Promise(asked.task, asked.token) if speaks else refusal

    def propose(self, now: int, sender: int, generation: int, asked: Propose) -> Accepted | Refused | None:
        speaks, refusal = self._may(now, sender, generation, asked)
        if not speaks:
            return refusal
        self.running[asked.task] = Running(sender, generation, asked.token, now + self._terms.waited())
        return Accepted(asked.task, asked.token, asked.seq)

    def _may(
        self, now: int, sender: int, generation: int, asked: Prepare | Propose
    ) -> tuple[bool, Refused | None]:
        """Whether it agrees, and then knows the token; else what it says, None for nothing."""
        if self.silent(now) or self._full(asked.task):
            return False, None
        refusal = self._refusal(now, sender, generation, asked.task, asked.token)
        if refusal is not None or not self._is_kept(asked.token):
            return False, refusal
        self.known[asked.task] = asked.token
        return True, None

    def _is_kept(self, token: int) -> bool:
        if self.kept is None or token <= self.kept:
            return True
        self.pending_token = max(self.pending_token, reserve_tokens(token))
        return False

    def _refusal(self, now: int, sender: int, generation: int, task: int, token: int) -> Refused | None:
        known = max(self.floor, self.known.get(task, 0))
        lease = self.lease(now, task)
        if lease is not None and (lease.owner, lease.generation) != (sender, generation):
            return Refused(task, token, known, lease.owner, lease.until - now)
        return Refused(task, token, known) if token < known else None

    def release(self, now: int, sender: int, generation: int, told: Release) -> None:
        """One that comes after the next grant, or from another, changes nothing."""
        lease = self.lease(now, told.task)
        if lease is not None and (lease.owner, lease.generation, lease.token) == (
            sender,
            generation,
            told.token,
        ):
            del self.running[told.task]

    def _full(self, task: int) -> bool:
        return task not in self.known and len(self.known) >= MAX_TASKS
