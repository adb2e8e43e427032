"""Every order of a small world: three replicas, two of them writers that may lead, and everything that can
happen to messages, processes and disks, one step at a time.

- Who leads is not asked of a lease: a writer may begin to lead at any moment, with the tokens that it has, in
  any order. So two may lead at once, and one that was paused goes on as if nothing had happened.
- A message stays in the air until it is delivered: one that never is was lost, one that is late was paused or
  overtaken. `repeats` are deliveries that leave it in the air.
- A write to the disk is done in a step of its own. A crash loses what is not written; before it any number of
  the writes under way may have reached the disk.
- `resends` are messages that a leader sends again since no answer came.

States are told apart by all that a later step can depend on.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.control.replication import followers
from driftstair.control.replication.actions import (
    Action,
    Committed,
    Persist,
    ProposalCommitted,
    ReplicaRegressed,
    Restored,
    Send,
    StoredLog,
)
from driftstair.control.replication.consensus import Consensus
from driftstair.control.replication.leader import Leader, Phase
from driftstair.control.replication.log import EntryLog
from driftstair.control.replication.messages import ReplicationMessage
from driftstair.control.replication.replica import ReplicationFaultError
from driftstair.control.replication.stored import StoredLogBuilder

REPLICAS = (0, 1, 2)
NOW = 0  # no time passes: what time would do are steps here


class Violation(Exception):
    """Something that must never happen did."""


class TinyState:
    """A state that knows ids alone, and is cheap to copy."""

    __slots__ = ("ids", "revision")

    def __init__(self, revision: int = 0, ids: tuple[tuple[str, int], ...] = ()) -> None:
        self.revision, self.ids = revision, ids

    @staticmethod
    def restore(
        revision: int, resources: tuple[Resource, ...], recent_ids: tuple[tuple[str, int], ...] = ()
    ) -> TinyState:
        return TinyState(revision, tuple(recent_ids))

    def apply(self, logged: LoggedChangeSet) -> None:
        assert logged.revision == self.revision + 1
        self.revision = logged.revision
        self.ids = (*self.ids, (logged.change_set.id, logged.revision))

    def revision_of(self, change_set_id: str) -> int | None:
        return dict(self.ids).get(change_set_id)

    def recent_ids(self) -> tuple[tuple[str, int], ...]:
        return self.ids

    def resources(self) -> Iterator[Resource]:
        return iter(())

    def resource(self, key: ResourceKey) -> None:
        return None


class Letter(NamedTuple):
    source: int
    to: int
    message: ReplicationMessage


class CommittedSet(NamedTuple):
    """`token`: of the leader that counted the majority."""

    id: str
    token: int


@dataclass(frozen=True)
class Bounds:
    """How much may happen in one world."""

    tokens: tuple[tuple[int, ...], ...] = ((1, 3), (2, 4))  # by writer
    puts: tuple[str, ...] = ()  # ids of change sets, in the order in which clients put them
    crashes: int = 0
    repeats: int = 0
    resends: int = 0
    restores: int = 0  # crashes after which the disk is one that it was earlier
    kept_entries: int = 1_000
    entries_most: int = 1  # in one Append
    checks_disks: bool = True  # that what is committed is on the disks of a majority


@dataclass
class Machine:
    """A replica, its disk and what is on the way there."""

    consensus: Consensus
    disk: StoredLog = field(default_factory=StoredLog)
    pending: tuple[Persist, ...] = ()
    older_disks: tuple[StoredLog, ...] = ()
    key: Any = None

    def copy(self) -> Machine:
        return Machine(copy_consensus(self.consensus), self.disk, self.pending, self.older_disks)


class World:
    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.machines = [
            Machine(self._started(number, StoredLog())) for number in REPLICAS
        ]
        self.air: frozenset[Letter] = frozenset()
        self.tokens = bounds.tokens
        self.puts = bounds.puts
        self.crashes, self.repeats = bounds.crashes, bounds.repeats
        self.resends, self.restores = bounds.resends, bounds.restores
        self.committed: dict[int, CommittedSet] = {}
        self.regressions = 0

    def _started(self, number: int, disk: StoredLog) -> Consensus:
        ids: tuple[tuple[str, int], ...] = ()
        state = TinyState()
        if disk.snapshot is not None:
            state = TinyState(disk.snapshot.position.revision, tuple(disk.snapshot.recent_ids))
        for entry in disk.entries:
            if state.revision < entry.revision <= disk.committed:
                state.apply(entry.logged())
        del ids
        return Consensus(number, len(REPLICAS), NOW, disk, state, self.bounds.kept_entries)  # type: ignore

    # Copies and keys.

    def after(self, step: tuple[Any, ...]) -> World:
        """The world in which this was done. Raises Violation."""
        new = copy.copy(self)
        new.machines = list(self.machines)
        new.committed = dict(self.committed)
        getattr(new, f"do_{step[0]}")(*step[1:])
        return new

    def touch(self, number: int) -> Machine:
        """A copy of its own of what is to change."""
        machine = self.machines[number] = self.machines[number].copy()
        return machine

    def key(self) -> Any:
        for machine in self.machines:
            if machine.key is None:
                machine.key = machine_key(machine)
        return (
            tuple(machine.key for machine in self.machines), self.air, self.tokens, self.puts, self.crashes,
            self.repeats, self.resends, self.restores, tuple(self.committed.items()),
        )  # fmt: skip

    # Steps.

    def steps(self) -> Iterator[tuple[Any, ...]]:
        for letter in self.air:
            yield "deliver", letter, False
            if self.repeats:
                yield "deliver", letter, True
        for number, machine in enumerate(self.machines):
            if machine.pending:
                yield "write", number
            if self.crashes:
                for written in range(len(machine.pending) + 1):
                    yield "crash", number, written
            if self.restores:
                for place in range(len(machine.older_disks)):
                    yield "restore", number, place
        for writer, tokens in enumerate(self.tokens):
            for token in tokens:
                if token > self.machines[writer].consensus.replica.promised:
                    yield "lead", writer, token
            yield from self._steps_of_leader(writer)

    def _steps_of_leader(self, writer: int) -> Iterator[tuple[Any, ...]]:
        leadership = self.machines[writer].consensus.leadership
        if leadership is None:
            return
        if self.puts and leadership.phase is Phase.LEADING:
            yield "put", writer
        if self.resends and leadership.phase in (Phase.PREPARING, Phase.LEADING):
            for follower in leadership.followers:
                yield "resend", writer, follower

    def do_deliver(self, letter: Letter, again: bool) -> None:
        if again:
            self.repeats -= 1
        else:
            self.air = self.air - {letter}
        machine = self.touch(letter.to)
        self._run(letter.to, lambda: machine.consensus.on_message(NOW, letter.source, letter.message))

    def do_write(self, number: int) -> None:
        machine = self.touch(number)
        persist = machine.pending[0]
        self._write_first(machine)
        self._run(number, lambda: machine.consensus.on_persisted(NOW, persist.sequence))

    def _write_first(self, machine: Machine) -> None:
        builder = StoredLogBuilder(machine.disk)
        for record in machine.pending[0].records:
            builder.add(record)
        if self.restores:
            machine.older_disks = (*machine.older_disks, machine.disk)
        machine.disk, machine.pending = builder.result(), machine.pending[1:]

    def do_crash(self, number: int, written: int) -> None:
        self.crashes -= 1
        machine = self.touch(number)
        for _ in range(written):
            self._write_first(machine)
        self._restart(number, machine)

    def do_restore(self, number: int, place: int) -> None:
        self.restores -= 1
        machine = self.touch(number)
        machine.disk, machine.older_disks = machine.older_disks[place], machine.older_disks[:place]
        self._restart(number, machine)

    def _restart(self, number: int, machine: Machine) -> None:
        machine.pending = ()
        machine.consensus = self._started(number, machine.disk)
        for id_, revision in machine.consensus.replica.state.recent_ids():
            self._check_committed(revision, id_)

    def do_lead(self, writer: int, token: int) -> None:
        mine = tuple(one for one in self.tokens[writer] if one != token)
        self.tokens = (*self.tokens[:writer], mine, *self.tokens[writer + 1 :])
        machine = self.touch(writer)
        self._run(writer, lambda: machine.consensus.lead(NOW, token))

    def do_put(self, writer: int) -> None:
        id_, self.puts = self.puts[0], self.puts[1:]
        machine = self.touch(writer)
        self._run(writer, lambda: machine.consensus.propose(NOW, ChangeSet(id_)))

    def do_resend(self, writer: int, follower: int) -> None:
        self.resends -= 1
        leadership = self.touch(writer).consensus.leadership
        assert leadership is not None
        if leadership.phase is Phase.LEADING:
            self._run(writer, lambda: leadership._send_next(NOW, follower))
        else:
            sent = leadership._prepare(NOW)
            self._run(writer, lambda: [one for one in sent if isinstance(one, Send) and one.to == follower])

    # What follows of a step.

    def _run(self, number: int, do: Callable[[], list[Action]]) -> None:
        machine = self.machines[number]
        try:
            actions = do()
        except ReplicationFaultError as problem:
            raise Violation(f"replica {number}: {problem}") from None
        for action in actions:
            match action:
                case Send(to, message):
                    self.air = self.air | {Letter(number, to, message)}
                case Persist():
                    machine.pending = (*machine.pending, action)
                case Committed(logged):
                    self._on_committed(machine, logged)
                case Restored(snapshot):
                    for id_, revision in snapshot.recent_ids:
                        self._check_committed(revision, id_)
                case ProposalCommitted(id_, revision):
                    if revision not in self.committed or self.committed[revision].id != id_:
                        raise Violation(f"{id_} was acknowledged as {revision}: {self.committed}")
                case ReplicaRegressed():
                    self.regressions += 1
        self._check_leader(machine)

    def _on_committed(self, machine: Machine, logged: LoggedChangeSet) -> None:
        revision, id_ = logged.revision, logged.change_set.id
        if revision in self.committed:
            self._check_committed(revision, id_)
            return
        if any(known.id == id_ for known in self.committed.values()):
            raise Violation(f"{id_} is committed twice: {self.committed}, and at {revision}")
        leadership = machine.consensus.leadership
        assert leadership is not None  # whoever hears of a commit heard it of a leader
        self.committed[revision] = CommittedSet(id_, leadership.token)
        if self.bounds.checks_disks:
            holders = [number for number in REPLICAS if self._has_on_disk(number, revision, id_)]
            if 2 * len(holders) <= len(REPLICAS):
                raise Violation(f"{id_} is committed at {revision}, on the disks of {holders}")

    def _has_on_disk(self, number: int, revision: int, id_: str) -> bool:
        disk = self.machines[number].disk
        if disk.snapshot is not None and (id_, revision) in disk.snapshot.recent_ids:
            return True
        return any((entry.revision, entry.change_set.id) == (revision, id_) for entry in disk.entries)

    def _check_committed(self, revision: int, id_: str) -> None:
        known = self.committed.get(revision)
        if known is None or known.id != id_:
            raise Violation(f"revision {revision} is {id_} here, and committed as {known}")

    def _check_leader(self, machine: Machine) -> None:
        """Whoever leads has all that was committed under tokens up to its own."""
        leadership = machine.consensus.leadership
        if leadership is None or leadership.phase is not Phase.LEADING:
            return
        log = machine.consensus.replica.log
        ids = {entry.revision: entry.change_set.id for entry in log.entries}
        for revision, known in self.committed.items():
            if known.token > leadership.token or revision <= log.base.revision:
                continue
            if ids.get(revision) != known.id:
                raise Violation(f"leader of {leadership.token} lacks revision {revision}, {known.id}: {ids}")


# Copies that share what doesn't change.


def copy_consensus(old: Consensus) -> Consensus:
    new = copy.copy(old)
    replica = new.replica = copy.copy(old.replica)
    replica.log = EntryLog(replica.log.base, list(replica.log.entries))
    replica.state = copy.copy(replica.state)
    replica._unsynced = list(replica._unsynced)
    replica._held = dict(replica._held)
    replica._incoming = copy.deepcopy(replica._incoming)
    if old.leadership is not None:
        new.leadership = copy_leader(old.leadership, new)
    return new


def copy_leader(old: Leader, consensus: Consensus) -> Leader:
    new = copy.copy(old)
    new._replica = consensus.replica
    new.followers = {number: copy.copy(one) for number, one in old.followers.items()}
    new._promises = set(old._promises)
    proposals = new.proposals = copy.copy(old.proposals)
    proposals._state = consensus.replica.state
    proposals._revisions = dict(proposals._revisions)
    proposals._changes = dict(proposals._changes)
    proposals._deadlines = dict(proposals._deadlines)
    return new


def machine_key(machine: Machine) -> Any:
    """All that its later steps depend on. Numbers of writes count from those that are done."""
    replica = machine.consensus.replica
    synced = replica.synced
    leadership = machine.consensus.leadership
    incoming = replica._incoming
    return (
        machine.disk, machine.older_disks, tuple(one.records for one in machine.pending),
        replica.promised, replica.followed, replica.log.base, tuple(replica.log.entries), replica.committed,
        replica.leader, replica.synced_revision, replica.acknowledged, replica.acknowledged_by,
        replica._committed_on_disk, replica.sequence - synced,
        tuple((one.sequence - synced, one.revision) for one in replica._unsynced),
        frozenset((key, held.sequence - synced, held.message) for key, held in replica._held.items()),
        None if incoming is None else (incoming.token, incoming.position, incoming.wanted_part),
        None if leadership is None else leader_key(leadership, synced),
    )  # fmt: skip


def leader_key(leader: Leader, synced: int) -> Any:
    if leader.phase is Phase.RESIGNED:
        return leader.token, leader.phase
    return (
        leader.token, leader.phase, frozenset(leader._promises),
        leader._own_promise - synced if leader.phase is Phase.PROMISING else 0,
        tuple(
            (one.next_revision, one.acknowledged, one.number, one.is_waiting, one.told_committed, one.part,
             one.regressed_number)
            for one in leader.followers.values()
        ),
        tuple(leader.proposals._revisions.items()), tuple(leader.proposals._deadlines),
        leader._outgoing,
    )  # fmt: skip


class Search(NamedTuple):
    states: int
    is_whole: bool  # no state within the bounds is left
    most_committed: int
    violation: str
    path: tuple[tuple[Any, ...], ...]  # the steps to it


def explore(bounds: Bounds, states_most: int) -> Search:
    """All worlds within the bounds, nearest first, until there are so many."""
    # In one Append goes as much as the bounds say, so that a follower can have a part of it.
    before, followers.APPEND_ENTRIES_MAX = followers.APPEND_ENTRIES_MAX, bounds.entries_most
    try:
        return _explore(World(bounds), states_most)
    finally:
        followers.APPEND_ENTRIES_MAX = before


def _explore(start: World, states_most: int) -> Search:
    frontier: list[tuple[World, Any]] = [(start, None)]
    seen = {hash(start.key())}
    most_committed = 0
    while frontier:
        following: list[tuple[World, Any]] = []
        for world, path in frontier:
            for step in world.steps():
                try:
                    new = world.after(step)
                except Violation as problem:
                    return Search(len(seen), False, most_committed, str(problem), _unrolled((step, path)))
                key = hash(new.key())
                if key not in seen:
                    seen.add(key)
                    following.append((new, (step, path)))
                    most_committed = max(most_committed, len(new.committed))
            if len(seen) >= states_most:
                return Search(len(seen), False, most_committed, "", ())
        frontier = following
    return Search(len(seen), True, most_committed, "", ())


def _unrolled(path: Any) -> tuple[tuple[Any, ...], ...]:
    steps = []
    while path is not None:
        step, path = path
        steps.append(step)
    return tuple(reversed(steps))
