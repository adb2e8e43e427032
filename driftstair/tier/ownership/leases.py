"""All tasks of one process: its part as a voter, and the leases that it wants or holds. Times are ns.

Who should have a task is told by rendezvous hashing over the living: the first in rank asks at once, a few
others wait longer by rank, so that rivals are rare and a crash moves only what its node held. Whoever has a
lease keeps it while it lives; rank decides no more than who asks first.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random
from typing import Any, NamedTuple

from driftstair.tier.ownership.acceptor import Acceptor, Running
from driftstair.tier.ownership.messages import (
    Accepted,
    Message,
    OutgoingMessages,
    Prepare,
    Promise,
    Propose,
    Refused,
    Release,
    Terms,
)
from driftstair.tier.ownership.proposer import Proposer

MAX_VOTERS = 7
TERMS = Terms()
STAGGER = 700_000_000  # ns that each further rank waits before it asks
RANKS_MOST = 4
PERSIST_RETRY_NS = 1_000_000_000  # ns after a write that failed
NEVER = 1 << 62


class LeaseChange(NamedTuple):
    """This process has a lease from now on, or (`token` 0) has it no more."""

    task: str
    token: int
    was: int
    over: int  # ns: since when it has it no more


@dataclass(slots=True)
class Task:
    name: str
    key: int
    proposer: Proposer
    since: int  # ns: since when nobody is known to have it
    rank: int = 0
    had: int = 0  # token of the lease that was told of


def task_key(name: str) -> int:
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def voter_numbers(count: int) -> tuple[int, ...]:
    """The first numbers: the same whatever number beyond them joins or goes."""
    return tuple(range(min(count, MAX_VOTERS)))


def rank_nodes(key: int, numbers: Iterable[int]) -> list[int]:
    """Who should have a task, the first first (Thaler and Ravishankar, 1998)."""
    return sorted(
        numbers, key=lambda number: blake2b(f"{key}/{number}".encode(), digest_size=8).digest(), reverse=True
    )


class Leases:
    """`living`: numbers that this node holds alive, its own among them; `kept`: the token on its disk, None
    where it has none."""

    def __init__(
        self, tasks: Iterable[str], own: int, generation: int, count: int, now: int, random: Random,
        living: Callable[[], list[int]], terms: Terms = TERMS, kept: int | None = None,
    ) -> None:  # fmt: skip
        self.voters = voter_numbers(count)
        self.acceptor = Acceptor(terms, generation, now, kept) if own in self.voters else None
        self._held: dict[tuple[int, int], tuple[int, Prepare | Propose]] = {}  # until a token is on the disk
        self._keeping = False
        self._keep_at = now
        self.wake_at = now
        self._own, self._generation = own, generation
        self._terms = terms
        self._living = living
        self._leaving = False
        self._alive: list[int] = []  # those that ranks were told by
        self._random = random
        # No voters that were started with this node say anything any sooner.
        self._speaks_at = now + terms.waited()
        self.tasks: dict[str, Task] = {}
        self._keys: dict[int, Task] = {}
        self._used = 0  # the greatest token of tasks that are no more: one that comes back begins above
        for name in tasks:
            self.add(now, name)

    def add(self, now: int, name: str) -> None:
        """There is this work from now on, as all nodes find for themselves."""
        if name not in self.tasks:
            key = task_key(name)
            proposer = Proposer(key, self._own, self._generation, self.voters, self._terms, self._random)
            proposer.floor(self._used)
            self.tasks[name] = self._keys[key] = Task(name, key, proposer, max(now, self._speaks_at))
            self._alive = []
            self.wake_at = now

    def remove(self, now: int, name: str) -> tuple[OutgoingMessages, list[LeaseChange]]:
        """There is no such work any more."""
        task = self.tasks.get(name)
        if task is None:
            return [], []
        letters, changes = self._released(now, task, -1), self._changes(now)
        self._used = max(self._used, task.proposer.next_token())
        del self.tasks[name], self._keys[task.key]
        return letters, changes

    def token(self, now: int, task: str) -> int:
        """To act with; 0: not this node's to do."""
        one = self.tasks.get(task)
        return 0 if one is None else one.proposer.token(now)

    def tick(self, now: int) -> tuple[OutgoingMessages, list[LeaseChange]]:
        letters: OutgoingMessages = []
        living = self._living()
        if living != self._alive:
            self._alive = living
            for task in self.tasks.values():
                order = rank_nodes(task.key, living)[:RANKS_MOST]
                task.rank = order.index(self._own) if self._own in order else RANKS_MOST
        alive = set(living)
        for task in self.tasks.values():
            proposer = task.proposer
            owner = self._owner(now, task)
            if owner in alive:
                task.since = max(task.since, now)
            if proposer.token(now):
                proposer.wanted = not self._leaving
            else:
                turn = task.rank < RANKS_MOST and now - task.since >= task.rank * STAGGER
                proposer.wanted = turn and not self._leaving
            letters += self._deliver(now, proposer.tick(now))
        self._set_wake(now)
        return letters, self._changes(now)

    def _owner(self, now: int, task: Task) -> int:
        """Of the lease that runs, as far as this node knows; -1: none."""
        if task.proposer.token(now):
            return self._own
        lease = self._lease(now, task)
        return -1 if lease is None else lease.owner

    def _lease(self, now: int, task: Task) -> Running | None:
        """As it runs here, where this node is a voter."""
        return None if self.acceptor is None else self.acceptor.lease(now, task.key)

    def _set_wake(self, now: int) -> None:
        # Its wishes follow who lives, so it looks every now and then in any case.
        self.wake_at = min(
            (max(now + 1_000_000, one.proposer.due(now)) for one in self.tasks.values()), default=NEVER
        )
        if self.tasks:
            self.wake_at = min(self.wake_at, now + STAGGER // 2)

    def _changes(self, now: int) -> list[LeaseChange]:
        out = []
        for task in self.tasks.values():
            token = task.proposer.token(now)
            if token != task.had:
                out.append(LeaseChange(task.name, token, task.had, task.proposer.over_at(now)))
                task.had = token
        return out

    def _deliver(self, now: int, letters: OutgoingMessages) -> OutgoingMessages:
        """What is for this node itself needs no datagram."""
        out: OutgoingMessages = []
        waiting = list(letters)
        while waiting:
            to, message = waiting.pop(0)
            if to == self._own:
                waiting += self._take(now, self._own, self._generation, message)
            else:
                out.append((to, message))
        return out

    def heard(
        self, now: int, sender: int, generation: int, message: Message
    ) -> tuple[OutgoingMessages, list[LeaseChange]]:
        letters = self._deliver(now, self._take(now, sender, generation, message))
        if isinstance(message, Release) and message.heir == self._own:
            asked, changes = self.tick(now)
            return letters + asked, changes
        self._set_wake(now)
        return letters, self._changes(now)

    def _take(self, now: int, sender: int, generation: int, message: Message) -> OutgoingMessages:
        if isinstance(message, Release) and message.heir == self._own and message.task in self._keys:
            heir = self._keys[message.task]
            heir.since = now - RANKS_MOST * STAGGER
            heir.proposer.free(now)
        if isinstance(message, Prepare | Propose | Release):
            return self._decide(now, sender, generation, message)
        task = self._keys.get(message.task)
        if task is None or sender not in self.voters:
            return []
        match message:
            case Promise():
                return task.proposer.promised(now, sender, message)
            case Accepted():
                task.proposer.accepted(now, sender, message)
            case Refused():
                task.proposer.refused(now, sender, message)
        return []

    def _decide(
        self, now: int, sender: int, generation: int, message: Prepare | Propose | Release
    ) -> OutgoingMessages:
        if self.acceptor is None:
            return []
        answer: Promise | Accepted | Refused | None = None
        match message:
            case Prepare():
                answer = self.acceptor.prepare(now, sender, generation, message)
            case Propose():
                answer = self.acceptor.propose(now, sender, generation, message)
            case Release():
                self.acceptor.release(now, sender, generation, message)
        if answer is None and not isinstance(message, Release) and self.pending_token():
            self._held[sender, message.task] = generation, message
        return [] if answer is None else [(sender, answer)]

    # What is on the disk before it is promised.

    def pending_token(self) -> int:
        """The token that has to be on the disk; 0: none."""
        acceptor = self.acceptor
        if acceptor is None or acceptor.kept is None or acceptor.pending_token <= acceptor.kept:
            return 0
        return acceptor.pending_token

    def token_to_persist(self, now: int) -> int:
        """To be written now, and told of by `token_persisted` or `persist_failed`; 0: nothing, or a write is
        under way."""
        if self._keeping or now < self._keep_at or not self.pending_token():
            return 0
        self._keeping = True
        return self.pending_token()

    def token_persisted(self, now: int, token: int) -> tuple[OutgoingMessages, list[LeaseChange]]:
        """It is on the disk: who asked meanwhile is answered."""
        self._keeping = False
        if self.acceptor is None or self.acceptor.kept is None:
            return [], []
        self.acceptor.kept = max(self.acceptor.kept, token)
        held, self._held = self._held, {}
        letters: OutgoingMessages = []
        for (sender, _), (generation, message) in held.items():
            letters += self._deliver(now, self._decide(now, sender, generation, message))
        self._set_wake(now)
        return letters, self._changes(now)

    def persist_failed(self, now: int) -> None:
        """The disk takes nothing: this member promises nothing, and tries again some time later."""
        self._keeping = False
        self._keep_at = now + PERSIST_RETRY_NS
        self._held.clear()

    def report(self, now: int) -> dict[str, Any]:
        """Per task: the owner as this node knows (none where it is no voter and has it not itself),
        the token, and s that are left of the lease."""
        out: dict[str, Any] = {}
        for task in self.tasks.values():
            own = task.proposer.token(now)
            lease = self._lease(now, task)
            out[task.name] = {
                "owner": self._own if own else None if lease is None else lease.owner,
                "token": own or (0 if lease is None else lease.token), "own": bool(own),
                "left_s": None if lease is None else round((lease.until - now) / 1e9, 3),
            }  # fmt: skip
        return out

    def silent(self, now: int) -> bool:
        """Whether it is a voter, and says nothing yet."""
        return self.acceptor is not None and self.acceptor.silent(now)

    def floor(self, task: str, token: int) -> None:
        """What bears the effect knows a greater token: this node's lease is none, its next is above."""
        one = self.tasks.get(task)
        if one is not None:
            one.proposer.floor(token)

    def release(self, now: int, task: str, heir: int = -1) -> tuple[OutgoingMessages, list[LeaseChange]]:
        return self._released(now, self.tasks[task], heir), self._changes(now)

    def _released(self, now: int, task: Task, heir: int) -> OutgoingMessages:
        letters = task.proposer.release(now, heir)
        if letters and heir >= 0 and heir not in self.voters:
            letters = [*letters, (heir, letters[0][1])]
        return self._deliver(now, letters)

    def leave(self, now: int) -> tuple[OutgoingMessages, list[LeaseChange]]:
        """All that it holds, each to the next in rank."""
        self._leaving = True
        letters: OutgoingMessages = []
        for task in self.tasks.values():
            heirs = [number for number in rank_nodes(task.key, self._living()) if number != self._own]
            letters += self._released(now, task, heirs[0] if heirs else -1)
            task.proposer.wanted = False
        return letters, self._changes(now)
