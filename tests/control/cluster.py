"""Control replicas in virtual time: messages are lost, late and repeated, links are cut, processes are killed
and paused, disks are full, slow or old. All by one seed.

What holds at every moment is checked as it happens (`Ledger`): one content a revision, each id once,
each replica's applied sequence without gaps, no answer to a client that isn't true.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.resources import ResourceKind
from driftstair.control.replication.actions import (
    Action,
    Committed,
    Persist,
    ProposalCommitted,
    ProposalRefused,
    ReplicaRegressed,
    Restored,
    Send,
    StoredLog,
)
from driftstair.control.replication.core import ControlReplica
from driftstair.control.replication.messages import ReplicationMessage, decode, encode
from driftstair.control.replication.stored import StoredLogBuilder

SECOND = 1_000_000_000
MILLISECOND = 1_000_000


class Violation(AssertionError):
    """Something that must never happen did."""


@dataclass
class Ledger:
    """What was committed anywhere, ever."""

    sets: dict[int, ChangeSet] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)
    acknowledged: dict[str, int] = field(default_factory=dict)  # what clients were told

    def on_committed(self, logged: LoggedChangeSet) -> None:
        known = self.sets.setdefault(logged.revision, logged.change_set)
        if known != logged.change_set:
            raise Violation(f"revision {logged.revision} is {known.id} and {logged.change_set.id}")
        first = self.revisions.setdefault(logged.change_set.id, logged.revision)
        if first != logged.revision:
            raise Violation(f"{logged.change_set.id} is committed at {first} and {logged.revision}")

    def on_acknowledged(self, change_set_id: str, revision: int) -> None:
        if self.sets.get(revision, ChangeSet("")).id != change_set_id:
            raise Violation(f"{change_set_id} was acknowledged as {revision} and isn't committed there")
        self.acknowledged[change_set_id] = revision


class Node:
    """A machine: its disk outlives its process."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.replica: ControlReplica | None = None
        self.process = 0  # counts starts; what an earlier one began is void
        self.disk = StoredLogBuilder()
        self.pending: list[Persist] = []
        self.is_writing = False
        self.is_full = False
        self.paused_until = 0
        self.applied = 0  # the last revision that its process handed to watchers

    @property
    def running(self) -> ControlReplica:
        assert self.replica is not None
        return self.replica


class Cluster:
    def __init__(self, count: int, seed: int, kept_entries: int = 8, loss: float = 0.0) -> None:
        self.random = Random(seed)
        self.count, self.kept_entries, self.loss = count, kept_entries, loss
        self.now = 0
        self.ledger = Ledger()
        self.nodes = [Node(number) for number in range(count)]
        self.offsets = [self.random.randrange(7200) * SECOND for _ in range(count)]
        self.cut: set[frozenset[int]] = set()  # links that carry nothing
        self.answers: list[ProposalCommitted | ProposalRefused] = []
        self.regressed: list[ReplicaRegressed] = []
        self.restored = 0  # snapshots installed
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_number = 0
        for number in range(count):
            self.start(number)

    # Processes.

    def start(self, number: int) -> None:
        node = self.nodes[number]
        assert node.replica is None
        node.process += 1
        stored = self._read_disk(node)
        node.replica = ControlReplica(
            number, self.count, 1_000_000 + node.process + self.now // SECOND, self._clock(number),
            Random(self.random.random()), stored, self.kept_entries,
        )  # fmt: skip
        node.applied = node.replica.committed
        self._wake(node)

    def _read_disk(self, node: Node) -> StoredLog:
        return node.disk.result()

    def kill(self, number: int) -> None:
        """What isn't synced is lost, and all that it would have said."""
        node = self.nodes[number]
        node.process += 1
        node.replica = None
        node.pending, node.is_writing, node.paused_until = [], False, 0

    def pause(self, number: int, duration: int) -> None:
        self.nodes[number].paused_until = self.now + duration

    def copy_disk(self, number: int) -> StoredLog:
        return self.nodes[number].disk.result()

    def restore_disk(self, number: int, copy: StoredLog) -> None:
        """Of a process that isn't running."""
        assert self.nodes[number].replica is None
        self.nodes[number].disk = StoredLogBuilder(copy)

    def isolate(self, group: set[int]) -> None:
        """The group and the others don't hear each other."""
        others = set(range(self.count)) - group
        self.cut = {frozenset((one, other)) for one in group for other in others}

    # Time.

    def _clock(self, number: int) -> int:
        return self.now + self.offsets[number]

    def at(self, delay: int, do: Callable[[], None]) -> None:
        self._event_number += 1
        heapq.heappush(self._events, (self.now + delay, self._event_number, do))

    def run(self, duration: int, until: Callable[[], bool] = lambda: False) -> bool:
        """Whether `until` came true; stops there."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            self.now, _, do = heapq.heappop(self._events)
            do()
            if until():
                return True
        self.now = end
        return until()

    def _in_process(self, node: Node, do: Callable[[ControlReplica], list[Action]], delay: int = 0) -> None:
        """Later, unless the process has ended then; a paused one does it when it goes on."""
        process = node.process

        def run() -> None:
            if node.process != process or node.replica is None:
                return
            if self.now < node.paused_until:
                self.at(node.paused_until - self.now, run)
                return
            self._do(node, do(node.replica))
            self._check(node)

        self.at(delay, run)

    def _wake(self, node: Node) -> None:
        replica = node.running

        def tick(running: ControlReplica) -> list[Action]:
            if self._clock(node.number) < running.wake_at_ns:
                return []
            return running.tick(self._clock(node.number))

        delay = replica.wake_at_ns - self._clock(node.number)
        delay = min(max(delay, 20 * MILLISECOND), 100 * MILLISECOND)
        self._in_process(node, tick, delay)
        self.at(delay + 1, self._wake_again(node, node.process))

    def _wake_again(self, node: Node, process: int) -> Callable[[], None]:
        def again() -> None:
            if node.process == process and node.replica is not None:
                self._wake(node)

        return again

    # Actions.

    def _do(self, node: Node, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(to, message):
                    self._send(node.number, to, message)
                case Persist():
                    node.pending.append(action)
                    self._write(node)
                case Committed(logged):
                    if logged.revision != node.applied + 1:
                        raise Violation(f"{node.number} applies {logged.revision} after {node.applied}")
                    node.applied = logged.revision
                    self.ledger.on_committed(logged)
                case Restored(snapshot):
                    self.restored += 1
                    node.applied = snapshot.position.revision
                case ProposalCommitted(id_, revision):
                    self.ledger.on_acknowledged(id_, revision)
                    self.answers.append(action)
                case ProposalRefused():
                    self.answers.append(action)
                case ReplicaRegressed():
                    self.regressed.append(action)

    def _check(self, node: Node) -> None:
        replica = node.running
        if replica.committed != node.applied:
            raise Violation(f"{node.number} is at {replica.committed}, told of {node.applied}")

    def _send(self, source: int, to: int, message: ReplicationMessage) -> None:
        document = encode(message)
        copies = 1 + (self.random.random() < self.loss / 2)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay = int(self.random.expovariate(1 / (3 * MILLISECOND)))
            self.at(delay, lambda: self._deliver(source, to, document))

    def _deliver(self, source: int, to: int, document: bytes) -> None:
        if frozenset((source, to)) in self.cut:
            return
        node = self.nodes[to]
        clock = self._clock
        self._in_process(node, lambda replica: replica.on_message(clock(to), source, decode(document)))

    def _write(self, node: Node) -> None:
        """One after the other, each with all that waits then; a full disk is tried again."""
        if node.is_writing or not node.pending:
            return
        node.is_writing = True
        process, waiting = node.process, len(node.pending)

        def done() -> None:
            if node.process != process:
                return
            if node.is_full:
                self.at(100 * MILLISECOND, done)
                return
            persists, node.pending = node.pending[:waiting], node.pending[waiting:]
            for persist in persists:
                for record in persist.records:
                    node.disk.add(record)
            node.is_writing = False
            self._write(node)
            clock, last = self._clock, persists[-1].sequence
            self._in_process(node, lambda r: r.on_persisted(clock(node.number), last))

        self.at(int(self.random.expovariate(1 / (2 * MILLISECOND))), done)

    # Clients.

    def leaders(self) -> list[int]:
        return [node.number for node in self.nodes if node.replica is not None and node.replica.is_leader]

    def leader(self, within: int = 60 * SECOND) -> int:
        """Runs until there is one."""
        assert self.run(within, lambda: bool(self.leaders())), "nobody leads"
        return self.leaders()[0]

    def propose(self, number: int, change_set: ChangeSet) -> None:
        clock = self._clock
        self._in_process(self.nodes[number], lambda r: r.propose(clock(number), change_set))

    def put(self, change_set: ChangeSet, within: int = 60 * SECOND) -> int:
        """As a client does: again under the same id until it is committed."""
        end = self.now + within
        while self.now < end:
            leaders = self.leaders()
            if leaders:
                self.propose(leaders[-1], change_set)
            if self.run(SECOND, lambda: change_set.id in self.ledger.acknowledged):
                return self.ledger.acknowledged[change_set.id]
        raise AssertionError(f"{change_set.id} wasn't committed in {within / SECOND} s")

    def heal(self) -> None:
        """All links, processes and disks work from now on."""
        self.cut, self.loss = set(), 0.0
        for node in self.nodes:
            node.is_full, node.paused_until = False, 0
            if node.replica is None:
                self.start(node.number)

    def settle(self, within: int = 120 * SECOND) -> None:
        """Healed, all replicas come to the same state, with all that was ever committed."""
        self.heal()
        self.put(change_set(f"last.{self.now}"), within)
        newest = max(self.ledger.sets)

        def same() -> bool:
            return all(node.running.committed >= newest for node in self.nodes)

        if not self.run(within, same):
            raise Violation(f"{[node.running.committed for node in self.nodes]} of {newest}")
        states = {
            (node.running.state.revision, node.running.state.digest)
            for node in self.nodes
            if node.running.committed == newest
        }
        if len(states) > 1:
            raise Violation(f"states differ: {states}")


def change_set(id_: str, name: str = "", value: int = 0, expected: int | None = None) -> ChangeSet:
    """One that puts a tenant, or an empty one."""
    if not name:
        return ChangeSet(id_)
    content = msgspec.Raw(b'{"v":%d}' % value)
    return ChangeSet(id_, (Change(ResourceKind.TENANT, name, content, expected),))
