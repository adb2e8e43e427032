"""Simulates control replicas in virtual time: messages are lost, delayed and duplicated, links are cut,
processes are killed and paused, disks are full, slow or replaced by old copies. One seed determines
everything.

Invariants are checked at every event (`CommitHistory`): each revision has one content, each id is committed
once, each replica applies revisions without gaps, and each answer to a client is true.
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
    EntryCommitted,
    Persist,
    ProposalCommitted,
    ProposalRefused,
    ReplicaRegressed,
    Send,
    SnapshotInstalled,
    StoredLog,
)
from driftstair.control.replication.core import ControlReplica
from driftstair.control.replication.messages import ReplicationMessage, decode, encode
from driftstair.control.replication.stored import StoredLogBuilder

SECOND_NS = 1_000_000_000
MILLISECOND_NS = 1_000_000


class InvariantViolation(AssertionError):
    """An invariant was violated."""


@dataclass
class CommitHistory:
    """Everything that was ever committed on any replica, and everything acknowledged to clients."""

    change_sets: dict[int, ChangeSet] = field(default_factory=dict)
    revisions_by_id: dict[str, int] = field(default_factory=dict)
    acknowledged_revisions: dict[str, int] = field(default_factory=dict)  # as answered to clients, by id

    def on_committed(self, logged_change_set: LoggedChangeSet) -> None:
        """Checks that the revision and the id were not committed differently before."""
        known_change_set = self.change_sets.setdefault(
            logged_change_set.revision, logged_change_set.change_set
        )
        if known_change_set != logged_change_set.change_set:
            raise InvariantViolation(
                f"revision {logged_change_set.revision} is {known_change_set.id} "
                f"and {logged_change_set.change_set.id}"
            )
        first_revision = self.revisions_by_id.setdefault(
            logged_change_set.change_set.id, logged_change_set.revision
        )
        if first_revision != logged_change_set.revision:
            raise InvariantViolation(
                f"{logged_change_set.change_set.id} is committed at {first_revision} "
                f"and {logged_change_set.revision}"
            )

    def on_acknowledged(self, change_set_id: str, revision: int) -> None:
        """Checks that a change set acknowledged to a client is committed at that revision."""
        if self.change_sets.get(revision, ChangeSet("")).id != change_set_id:
            raise InvariantViolation(
                f"{change_set_id} was acknowledged as {revision} and isn't committed there"
            )
        self.acknowledged_revisions[change_set_id] = revision


class Node:
    """A simulated machine. Its disk outlives its process."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.replica: ControlReplica | None = None
        self.process_number = 0  # number of starts; events of earlier processes are ignored
        self.disk = StoredLogBuilder()
        self.pending_writes: list[Persist] = []
        self.is_writing = False
        self.is_disk_full = False
        self.paused_until_ns = 0
        self.applied_revision = 0  # last revision that its process passed to watchers

    @property
    def running_replica(self) -> ControlReplica:
        """The replica of a process that is known to run."""
        assert self.replica is not None
        return self.replica


class Cluster:
    """Replicas with simulated clocks, links and disks, driven by one queue of events."""

    def __init__(self, replica_count: int, seed: int, kept_entries: int = 8, loss_rate: float = 0.0) -> None:
        self.random = Random(seed)
        self.replica_count, self.kept_entries, self.loss_rate = replica_count, kept_entries, loss_rate
        self.now_ns = 0
        self.history = CommitHistory()
        self.nodes = [Node(number) for number in range(replica_count)]
        self.clock_offsets_ns = [self.random.randrange(7200) * SECOND_NS for _ in range(replica_count)]
        self.cut_links: set[frozenset[int]] = set()  # links that deliver nothing
        self.answers: list[ProposalCommitted | ProposalRefused] = []
        self.regressions: list[ReplicaRegressed] = []
        self.installed_snapshots = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_number = 0
        for number in range(replica_count):
            self.start(number)

    # Processes.

    def start(self, number: int) -> None:
        """Starts a replica's process from the content of its disk."""
        node = self.nodes[number]
        assert node.replica is None
        node.process_number += 1
        stored_log = self._read_disk(node)
        node.replica = ControlReplica(
            number, self.replica_count, 1_000_000 + node.process_number + self.now_ns // SECOND_NS,
            self._clock_ns(number),
            Random(self.random.random()), stored_log, self.kept_entries,
        )  # fmt: skip
        node.applied_revision = node.replica.committed_revision
        self._schedule_tick(node)

    def _read_disk(self, node: Node) -> StoredLog:
        return node.disk.build()

    def kill(self, number: int) -> None:
        """Ends a process. Writes that are not synced and messages that depend on them are lost."""
        node = self.nodes[number]
        node.process_number += 1
        node.replica = None
        node.pending_writes, node.is_writing, node.paused_until_ns = [], False, 0

    def pause(self, number: int, duration_ns: int) -> None:
        """Stops a process for a while; its events are handled when it continues."""
        self.nodes[number].paused_until_ns = self.now_ns + duration_ns

    def copy_disk(self, number: int) -> StoredLog:
        """Returns a copy of a replica's disk."""
        return self.nodes[number].disk.build()

    def restore_disk(self, number: int, copy: StoredLog) -> None:
        """Replaces the disk of a replica whose process isn't running by an older copy."""
        assert self.nodes[number].replica is None
        self.nodes[number].disk = StoredLogBuilder(copy)

    def isolate(self, group: set[int]) -> None:
        """Cuts all links between a group of replicas and the others."""
        outsiders = set(range(self.replica_count)) - group
        self.cut_links = {frozenset((inside, outside)) for inside in group for outside in outsiders}

    # Time.

    def _clock_ns(self, number: int) -> int:
        return self.now_ns + self.clock_offsets_ns[number]

    def schedule(self, delay_ns: int, callback: Callable[[], None]) -> None:
        """Calls a function after a delay."""
        self._event_number += 1
        heapq.heappush(self._events, (self.now_ns + delay_ns, self._event_number, callback))

    def run(self, duration_ns: int, until: Callable[[], bool] = lambda: False) -> bool:
        """Runs events for a time, or until a condition holds. Returns whether it holds at the end."""
        end_ns = self.now_ns + duration_ns
        while self._events and self._events[0][0] <= end_ns:
            self.now_ns, _, callback = heapq.heappop(self._events)
            callback()
            if until():
                return True
        self.now_ns = end_ns
        return until()

    def _schedule_in_process(
        self, node: Node, handle: Callable[[ControlReplica], list[Action]], delay_ns: int = 0
    ) -> None:
        """Handles an event in a node's process after a delay, unless the process has ended by then.

        A paused process handles the event when it continues.
        """
        process_number = node.process_number

        def run() -> None:
            if node.process_number != process_number or node.replica is None:
                return
            if self.now_ns < node.paused_until_ns:
                self.schedule(node.paused_until_ns - self.now_ns, run)
                return
            self._execute(node, handle(node.replica))
            self._check_applied_revision(node)

        self.schedule(delay_ns, run)

    def _schedule_tick(self, node: Node) -> None:
        """Schedules the replica's next tick, and after it the one that follows."""
        replica = node.running_replica

        def tick(running_replica: ControlReplica) -> list[Action]:
            if self._clock_ns(node.number) < running_replica.wake_at_ns:
                return []
            return running_replica.tick(self._clock_ns(node.number))

        delay_ns = replica.wake_at_ns - self._clock_ns(node.number)
        delay_ns = min(max(delay_ns, 20 * MILLISECOND_NS), 100 * MILLISECOND_NS)
        self._schedule_in_process(node, tick, delay_ns)
        self.schedule(delay_ns + 1, self._next_tick_scheduler(node, node.process_number))

    def _next_tick_scheduler(self, node: Node, process_number: int) -> Callable[[], None]:
        def schedule_next_tick() -> None:
            if node.process_number == process_number and node.replica is not None:
                self._schedule_tick(node)

        return schedule_next_tick

    # Actions.

    def _execute(self, node: Node, actions: list[Action]) -> None:
        """Carries out the actions of a replica."""
        for action in actions:
            match action:
                case Send(to, message):
                    self._send(node.number, to, message)
                case Persist():
                    node.pending_writes.append(action)
                    self._write(node)
                case EntryCommitted(logged_change_set):
                    if logged_change_set.revision != node.applied_revision + 1:
                        raise InvariantViolation(
                            f"{node.number} applies {logged_change_set.revision} "
                            f"after {node.applied_revision}"
                        )
                    node.applied_revision = logged_change_set.revision
                    self.history.on_committed(logged_change_set)
                case SnapshotInstalled(snapshot):
                    self.installed_snapshots += 1
                    node.applied_revision = snapshot.position.revision
                case ProposalCommitted(id_, revision):
                    self.history.on_acknowledged(id_, revision)
                    self.answers.append(action)
                case ProposalRefused():
                    self.answers.append(action)
                case ReplicaRegressed():
                    self.regressions.append(action)

    def _check_applied_revision(self, node: Node) -> None:
        """Checks that the replica's committed revision is the one that watchers know."""
        replica = node.running_replica
        if replica.committed_revision != node.applied_revision:
            raise InvariantViolation(
                f"{node.number} is at {replica.committed_revision}, "
                f"but watchers are at {node.applied_revision}"
            )

    def _send(self, source: int, to: int, message: ReplicationMessage) -> None:
        """Sends a message, which may be lost, delayed or duplicated."""
        document = encode(message)
        copies = 1 + (self.random.random() < self.loss_rate / 2)
        for _ in range(copies):
            if self.random.random() < self.loss_rate:
                continue
            delay_ns = int(self.random.expovariate(1 / (3 * MILLISECOND_NS)))
            self.schedule(delay_ns, lambda: self._deliver(source, to, document))

    def _deliver(self, source: int, to: int, document: bytes) -> None:
        if frozenset((source, to)) in self.cut_links:
            return
        node = self.nodes[to]
        clock_ns = self._clock_ns
        self._schedule_in_process(
            node, lambda replica: replica.on_message(clock_ns(to), source, decode(document))
        )

    def _write(self, node: Node) -> None:
        """Writes to a disk, one write at a time, each of everything that waits at its start.

        A write to a full disk is repeated until there is space.
        """
        if node.is_writing or not node.pending_writes:
            return
        node.is_writing = True
        process_number, batch_size = node.process_number, len(node.pending_writes)

        def finish_write() -> None:
            if node.process_number != process_number:
                return
            if node.is_disk_full:
                self.schedule(100 * MILLISECOND_NS, finish_write)
                return
            persists, node.pending_writes = node.pending_writes[:batch_size], node.pending_writes[batch_size:]
            for persist in persists:
                for record in persist.records:
                    node.disk.add(record)
            node.is_writing = False
            self._write(node)
            clock_ns, last_sequence = self._clock_ns, persists[-1].sequence
            self._schedule_in_process(
                node, lambda replica: replica.on_persisted(clock_ns(node.number), last_sequence)
            )

        self.schedule(int(self.random.expovariate(1 / (2 * MILLISECOND_NS))), finish_write)

    # Clients.

    def leaders(self) -> list[int]:
        """The replicas that consider themselves the leader."""
        return [node.number for node in self.nodes if node.replica is not None and node.replica.is_leader]

    def wait_for_leader(self, timeout_ns: int = 60 * SECOND_NS) -> int:
        """Runs until a replica leads, and returns its number."""
        assert self.run(timeout_ns, lambda: bool(self.leaders())), "no replica leads"
        return self.leaders()[0]

    def propose(self, number: int, change_set: ChangeSet) -> None:
        """Proposes a change set to one replica."""
        clock_ns = self._clock_ns
        self._schedule_in_process(
            self.nodes[number], lambda replica: replica.propose(clock_ns(number), change_set)
        )

    def put(self, change_set: ChangeSet, timeout_ns: int = 60 * SECOND_NS) -> int:
        """Proposes a change set as a client does: repeatedly, under the same id, until it is committed."""
        end_ns = self.now_ns + timeout_ns
        while self.now_ns < end_ns:
            leaders = self.leaders()
            if leaders:
                self.propose(leaders[-1], change_set)
            if self.run(SECOND_NS, lambda: change_set.id in self.history.acknowledged_revisions):
                return self.history.acknowledged_revisions[change_set.id]
        raise AssertionError(f"{change_set.id} wasn't committed in {timeout_ns / SECOND_NS} s")

    def heal(self) -> None:
        """Makes all links, processes and disks work from now on."""
        self.cut_links, self.loss_rate = set(), 0.0
        for node in self.nodes:
            node.is_disk_full, node.paused_until_ns = False, 0
            if node.replica is None:
                self.start(node.number)

    def converge(self, timeout_ns: int = 120 * SECOND_NS) -> None:
        """Heals the cluster and checks that all replicas reach the same state, with everything that was
        committed."""
        self.heal()
        self.put(change_set(f"last.{self.now_ns}"), timeout_ns)
        newest_revision = max(self.history.change_sets)

        def all_caught_up() -> bool:
            return all(node.running_replica.committed_revision >= newest_revision for node in self.nodes)

        if not self.run(timeout_ns, all_caught_up):
            raise InvariantViolation(
                f"{[node.running_replica.committed_revision for node in self.nodes]} of {newest_revision}"
            )
        states = {
            (node.running_replica.state.revision, node.running_replica.state.digest)
            for node in self.nodes
            if node.running_replica.committed_revision == newest_revision
        }
        if len(states) > 1:
            raise InvariantViolation(f"states differ: {states}")


def change_set(id_: str, name: str = "", value: int = 0, expected: int | None = None) -> ChangeSet:
    """A change set that puts a tenant, or an empty one if no name is given."""
    if not name:
        return ChangeSet(id_)
    content = msgspec.Raw(b'{"v":%d}' % value)
    return ChangeSet(id_, (Change(ResourceKind.TENANT, name, content, expected),))
