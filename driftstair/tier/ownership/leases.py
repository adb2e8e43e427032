"""The leases of one process for all tasks: its role as a voter, and the leases that it wants or holds. Times
are in ns.

Rendezvous hashing over the living nodes ranks the candidates for a task. The first in rank asks at once and a
few others ask later by their rank, so that rivals are rare and a crash moves only the tasks of the crashed
node. An owner keeps its lease while it lives; the rank only decides who asks first.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from random import Random
from typing import Any, NamedTuple

from driftstair.tier.ownership.acceptor import Acceptor, RunningLease
from driftstair.tier.ownership.local_delivery import deliver_local
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
RANK_DELAY_NS = 700_000_000  # each further rank waits this much longer before it asks for a lease
MAX_RANKS = 4
PERSIST_RETRY_NS = 1_000_000_000  # after a failed write
NEVER = 1 << 62


class LeaseChange(NamedTuple):
    """This process has a lease on `task` from now on, or, with `token` 0, no longer has one.

    `ended_at_ns` is since when the process has had no lease, where it has lost one.
    """

    task: str
    token: int
    previous_token: int
    ended_at_ns: int


@dataclass(slots=True)
class Task:
    """A task as this process sees it."""

    name: str
    key: int
    proposer: Proposer
    free_since_ns: int  # since when no owner is known
    rank: int = 0
    reported_token: int = 0  # token of the lease in the last `LeaseChange`


def task_key(name: str) -> int:
    """The number that stands for a task in messages."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")


def voter_numbers(count: int) -> tuple[int, ...]:
    """The numbers of the voters: the lowest ones, which stay the same if nodes beyond them join or leave."""
    return tuple(range(min(count, MAX_VOTERS)))


def rank_nodes(key: int, numbers: Iterable[int]) -> list[int]:
    """The nodes in the order in which they should have a task, by rendezvous hashing (Thaler and Ravishankar,
    1998)."""
    return sorted(
        numbers, key=lambda number: blake2b(f"{key}/{number}".encode(), digest_size=8).digest(), reverse=True
    )


class Leases:
    """Takes part in the leases of all tasks, as a voter if its number is among the voters'.

    `alive_nodes` gives the numbers of the nodes that this node considers alive, its own among them.
    `persisted_token` is the token on its disk, or None where it has no disk.
    """

    def __init__(
        self, tasks: Iterable[str], own_number: int, generation: int, node_count: int, now: int,
        random: Random, alive_nodes: Callable[[], list[int]], terms: Terms = TERMS,
        persisted_token: int | None = None,
    ) -> None:  # fmt: skip
        self.voters = voter_numbers(node_count)
        self.acceptor = (
            Acceptor(terms, generation, now, persisted_token) if own_number in self.voters else None
        )
        # By sender and task: the generation and the message to answer once a token is on disk.
        self._deferred_messages: dict[tuple[int, int], tuple[int, Prepare | Propose]] = {}
        self._is_persisting = False
        self._persist_at_ns = now
        self.wake_at = now
        self._own_number, self._generation = own_number, generation
        self._terms = terms
        self._alive_nodes = alive_nodes
        self._is_leaving = False
        self._ranked_nodes: list[int] = []  # the living nodes that the ranks were computed from
        self._random = random
        # Voters that started together with this node do not answer before this time.
        self._voters_answer_at_ns = now + terms.voter_lease_ns()
        self.tasks: dict[str, Task] = {}
        self._tasks_by_key: dict[int, Task] = {}
        # The highest token of tasks that were removed: a task that is added again begins above it.
        self._removed_token = 0
        for name in tasks:
            self.add_task(now, name)

    def add_task(self, now: int, name: str) -> None:
        """Takes part in a task from now on. Every node adds a task by itself when it sees the need for it."""
        if name not in self.tasks:
            key = task_key(name)
            proposer = Proposer(
                key, self._own_number, self._generation, self.voters, self._terms, self._random
            )
            proposer.raise_token_floor(self._removed_token)
            self.tasks[name] = self._tasks_by_key[key] = Task(
                name, key, proposer, max(now, self._voters_answer_at_ns)
            )
            self._ranked_nodes = []
            self.wake_at = now

    def remove_task(self, now: int, name: str) -> tuple[OutgoingMessages, list[LeaseChange]]:
        """Releases a task that no longer exists, and takes no further part in it."""
        task = self.tasks.get(name)
        if task is None:
            return [], []
        outgoing, changes = self._release(now, task, -1), self._collect_changes(now)
        self._removed_token = max(self._removed_token, task.proposer.next_token())
        del self.tasks[name], self._tasks_by_key[task.key]
        return outgoing, changes

    def token(self, now: int, task: str) -> int:
        """The token to act with; 0 if this node does not own the task."""
        known_task = self.tasks.get(task)
        return 0 if known_task is None else known_task.proposer.token(now)

    def tick(self, now: int) -> tuple[OutgoingMessages, list[LeaseChange]]:
        """Asks for leases and renews them as the time requires."""
        outgoing: OutgoingMessages = []
        alive_nodes = self._alive_nodes()
        if alive_nodes != self._ranked_nodes:
            self._ranked_nodes = alive_nodes
            for task in self.tasks.values():
                order = rank_nodes(task.key, alive_nodes)[:MAX_RANKS]
                task.rank = order.index(self._own_number) if self._own_number in order else MAX_RANKS
        alive = set(alive_nodes)
        for task in self.tasks.values():
            proposer = task.proposer
            owner = self._known_owner(now, task)
            if owner in alive:
                task.free_since_ns = max(task.free_since_ns, now)
            if proposer.token(now):
                proposer.is_wanted = not self._is_leaving
            else:
                may_ask = task.rank < MAX_RANKS and now - task.free_since_ns >= task.rank * RANK_DELAY_NS
                proposer.is_wanted = may_ask and not self._is_leaving
            outgoing += self._deliver_local(now, proposer.tick(now))
        self._set_wake(now)
        return outgoing, self._collect_changes(now)

    def _known_owner(self, now: int, task: Task) -> int:
        """The owner of the running lease as far as this node knows; -1 if it knows none."""
        if task.proposer.token(now):
            return self._own_number
        lease = self._voter_lease(now, task)
        return -1 if lease is None else lease.owner

    def _voter_lease(self, now: int, task: Task) -> RunningLease | None:
        """The running lease as this node has recorded it as a voter; None if it is not a voter."""
        return None if self.acceptor is None else self.acceptor.running_lease(now, task.key)

    def _set_wake(self, now: int) -> None:
        # Which leases a node wants depends on who is alive, so `tick` is due regularly in any case.
        self.wake_at = min(
            (max(now + 1_000_000, task.proposer.next_tick_at(now)) for task in self.tasks.values()),
            default=NEVER,
        )
        if self.tasks:
            self.wake_at = min(self.wake_at, now + RANK_DELAY_NS // 2)

    def _collect_changes(self, now: int) -> list[LeaseChange]:
        """The changes of this node's leases since the last call."""
        changes = []
        for task in self.tasks.values():
            token = task.proposer.token(now)
            if token != task.reported_token:
                changes.append(
                    LeaseChange(task.name, token, task.reported_token, task.proposer.ended_at(now))
                )
                task.reported_token = token
        return changes

    def _deliver_local(self, now: int, outgoing: OutgoingMessages) -> OutgoingMessages:
        own_number, generation = self._own_number, self._generation
        return deliver_local(
            outgoing, own_number, lambda message: self._handle(now, own_number, generation, message)
        )

    def on_message(
        self, now: int, sender: int, generation: int, message: Message
    ) -> tuple[OutgoingMessages, list[LeaseChange]]:
        """Handles a message from another node."""
        outgoing = self._deliver_local(now, self._handle(now, sender, generation, message))
        if isinstance(message, Release) and message.successor == self._own_number:
            requests, changes = self.tick(now)
            return outgoing + requests, changes
        self._set_wake(now)
        return outgoing, self._collect_changes(now)

    def _handle(self, now: int, sender: int, generation: int, message: Message) -> OutgoingMessages:
        if (
            isinstance(message, Release)
            and message.successor == self._own_number
            and message.task in self._tasks_by_key
        ):
            released_task = self._tasks_by_key[message.task]
            released_task.free_since_ns = now - MAX_RANKS * RANK_DELAY_NS
            released_task.proposer.on_named_successor(now)
        if isinstance(message, Prepare | Propose | Release):
            return self._answer_as_voter(now, sender, generation, message)
        task = self._tasks_by_key.get(message.task)
        if task is None or sender not in self.voters:
            return []
        match message:
            case Promise():
                return task.proposer.on_promise(now, sender, message)
            case Accepted():
                task.proposer.on_accepted(now, sender, message)
            case Refused():
                task.proposer.on_refused(now, sender, message)
        return []

    def _answer_as_voter(
        self, now: int, sender: int, generation: int, message: Prepare | Propose | Release
    ) -> OutgoingMessages:
        if self.acceptor is None:
            return []
        answer: Promise | Accepted | Refused | None = None
        match message:
            case Prepare():
                answer = self.acceptor.on_prepare(now, sender, generation, message)
            case Propose():
                answer = self.acceptor.on_propose(now, sender, generation, message)
            case Release():
                self.acceptor.on_release(now, sender, generation, message)
        if answer is None and not isinstance(message, Release) and self.pending_token():
            self._deferred_messages[sender, message.task] = generation, message
        return [] if answer is None else [(sender, answer)]

    # Tokens that have to be on disk before a voter promises them.

    def pending_token(self) -> int:
        """The token that has to be written to disk; 0 if there is none."""
        acceptor = self.acceptor
        if (
            acceptor is None
            or acceptor.persisted_token is None
            or acceptor.pending_token <= acceptor.persisted_token
        ):
            return 0
        return acceptor.pending_token

    def token_to_persist(self, now: int) -> int:
        """A token that the caller has to write now, reporting the result by `token_persisted` or
        `persist_failed`; 0 if there is nothing to write or a write is in progress."""
        if self._is_persisting or now < self._persist_at_ns or not self.pending_token():
            return 0
        self._is_persisting = True
        return self.pending_token()

    def token_persisted(self, now: int, token: int) -> tuple[OutgoingMessages, list[LeaseChange]]:
        """Answers the messages that waited for the token, which is on disk now."""
        self._is_persisting = False
        if self.acceptor is None or self.acceptor.persisted_token is None:
            return [], []
        self.acceptor.persisted_token = max(self.acceptor.persisted_token, token)
        deferred_messages, self._deferred_messages = self._deferred_messages, {}
        outgoing: OutgoingMessages = []
        for (sender, _), (generation, message) in deferred_messages.items():
            outgoing += self._deliver_local(now, self._answer_as_voter(now, sender, generation, message))
        self._set_wake(now)
        return outgoing, self._collect_changes(now)

    def persist_failed(self, now: int) -> None:
        """Records that the disk did not take the token: this voter promises nothing, and retries later."""
        self._is_persisting = False
        self._persist_at_ns = now + PERSIST_RETRY_NS
        self._deferred_messages.clear()

    def report(self, now: int) -> dict[str, Any]:
        """The state of each task, as JSON.

        It has the owner as this node knows it (None if it is no voter and does not own the task itself), the
        token, and the seconds that are left of the lease.
        """
        out: dict[str, Any] = {}
        for task in self.tasks.values():
            own_token = task.proposer.token(now)
            lease = self._voter_lease(now, task)
            out[task.name] = {
                "owner": self._own_number if own_token else None if lease is None else lease.owner,
                "token": own_token or (0 if lease is None else lease.token), "own": bool(own_token),
                "left_s": None if lease is None else round((lease.until_ns - now) / 1e9, 3),
            }  # fmt: skip
        return out

    def is_silent(self, now: int) -> bool:
        """Whether this node is a voter that does not answer yet."""
        return self.acceptor is not None and self.acceptor.is_silent(now)

    def raise_token_floor(self, task: str, token: int) -> None:
        """Makes this node's next token for a task higher than `token`.

        The resource that checks the tokens has reported `token`, so a lease with a lower one is void.
        """
        known_task = self.tasks.get(task)
        if known_task is not None:
            known_task.proposer.raise_token_floor(token)

    def release(self, now: int, task: str, successor: int = -1) -> tuple[OutgoingMessages, list[LeaseChange]]:
        """Releases the lease on a task, to `successor` if one is named."""
        return self._release(now, self.tasks[task], successor), self._collect_changes(now)

    def _release(self, now: int, task: Task, successor: int) -> OutgoingMessages:
        outgoing = task.proposer.release(now, successor)
        if outgoing and successor >= 0 and successor not in self.voters:
            outgoing = [*outgoing, (successor, outgoing[0][1])]
        return self._deliver_local(now, outgoing)

    def leave(self, now: int) -> tuple[OutgoingMessages, list[LeaseChange]]:
        """Releases all leases of this node, each to the next node in rank, and asks for none any more."""
        self._is_leaving = True
        outgoing: OutgoingMessages = []
        for task in self.tasks.values():
            successors = [
                number for number in rank_nodes(task.key, self._alive_nodes()) if number != self._own_number
            ]
            outgoing += self._release(now, task, successors[0] if successors else -1)
            task.proposer.is_wanted = False
        return outgoing, self._collect_changes(now)
