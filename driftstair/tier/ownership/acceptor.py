"""A voter: it stores, for each task, the highest token that it has promised or accepted and the lease that
runs.

While a lease runs at a voter, the voter accepts no lease of another node and gives no promise to another
node. An owner's renewals therefore have no rival, and two owners at the same time would need two majorities
without a common voter. A process that starts does not know what its predecessor accepted, so it sends no
answers for as long as a lease can last; after that time all those leases have ended. One owner at a time thus
needs no state on disk (PaxosLease, Trencseni and others, 2012; the refusal of promises while a lease runs is
an addition to it).

Tokens have to rise across restarts as well. Where a folder outlives the process, a voter promises a token
only after a token at least as high is on disk, and a restarted voter begins above the stored one. So tokens
rise through all restarts and whatever the clocks say, while a majority keeps its disks. Without a folder, a
voter replaces what it forgot by a floor: the first token of its own generation, since generations rise with
the clock. If a majority restarts and clocks disagree as well, a token may fall; the resource that checks the
tokens refuses such a token.
"""

from __future__ import annotations

from dataclasses import dataclass

from driftstair.tier.ownership.messages import (
    NODE_NUMBERS,
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
class RunningLease:
    """A lease that this voter has accepted."""

    owner: int
    generation: int
    token: int
    until_ns: int  # by this voter's clock


class Acceptor:
    """The state of one voter for all tasks.

    `generation` is that of its process, which started at `started_ns`. `persisted_token` is the token on its
    disk, or None where the voter has no disk.
    """

    def __init__(
        self, terms: Terms, generation: int, started_ns: int, persisted_token: int | None = None
    ) -> None:
        self.token_floor = max(first_token(generation, NODE_NUMBERS - 1), persisted_token or 0)
        self.persisted_token = persisted_token
        self.pending_token = 0  # a token that has to be on disk before the voter answers again
        self.running_leases: dict[int, RunningLease] = {}  # by task
        self.highest_tokens: dict[int, int] = {}  # by task: the highest token promised or accepted
        self._terms = terms
        self._silent_until_ns = started_ns + terms.voter_lease_ns()

    def is_silent(self, now: int) -> bool:
        """Whether leases that the previous process accepted may still run, so that this voter must not
        answer."""
        return now < self._silent_until_ns

    def running_lease(self, now: int, task: int) -> RunningLease | None:
        """The lease on a task that runs now; forgets one that has ended."""
        lease = self.running_leases.get(task)
        if lease is not None and lease.until_ns <= now:
            del self.running_leases[task]
            return None
        return lease

    def on_prepare(
        self, now: int, sender: int, generation: int, message: Prepare
    ) -> Promise | Refused | None:
        """The answer to a `Prepare`; None if the voter sends none."""
        agrees, refusal = self._agree(now, sender, generation, message)
        return Promise(message.task, message.token) if agrees else refusal

    def on_propose(
        self, now: int, sender: int, generation: int, message: Propose
    ) -> Accepted | Refused | None:
        """The answer to a `Propose`; None if the voter sends none. An accepted lease runs from now on."""
        agrees, refusal = self._agree(now, sender, generation, message)
        if not agrees:
            return refusal
        self.running_leases[message.task] = RunningLease(
            sender, generation, message.token, now + self._terms.voter_lease_ns()
        )
        return Accepted(message.task, message.token, message.seq)

    def _agree(
        self, now: int, sender: int, generation: int, message: Prepare | Propose
    ) -> tuple[bool, Refused | None]:
        """Whether the voter agrees, in which case it has recorded the token; otherwise the refusal to send,
        or None to send nothing."""
        if self.is_silent(now) or self._is_task_table_full(message.task):
            return False, None
        refusal = self._refusal(now, sender, generation, message.task, message.token)
        if refusal is not None or not self._is_persisted(message.token):
            return False, refusal
        self.highest_tokens[message.task] = message.token
        return True, None

    def _is_persisted(self, token: int) -> bool:
        """Whether the token may be promised; if not, requests that a token above it be written."""
        if self.persisted_token is None or token <= self.persisted_token:
            return True
        self.pending_token = max(self.pending_token, reserve_tokens(token))
        return False

    def _refusal(self, now: int, sender: int, generation: int, task: int, token: int) -> Refused | None:
        """The refusal because of another's lease or a higher token; None if there is no reason to refuse."""
        highest_token = max(self.token_floor, self.highest_tokens.get(task, 0))
        lease = self.running_lease(now, task)
        if lease is not None and (lease.owner, lease.generation) != (sender, generation):
            return Refused(task, token, highest_token, lease.owner, lease.until_ns - now)
        return Refused(task, token, highest_token) if token < highest_token else None

    def on_release(self, now: int, sender: int, generation: int, message: Release) -> None:
        """Ends the lease. A release that arrives after the next grant, or from another node, has no
        effect."""
        lease = self.running_lease(now, message.task)
        if lease is not None and (lease.owner, lease.generation, lease.token) == (
            sender,
            generation,
            message.token,
        ):
            del self.running_leases[message.task]

    def _is_task_table_full(self, task: int) -> bool:
        return task not in self.highest_tokens and len(self.highest_tokens) >= MAX_TASKS
