"""Explores every order of events in a small system: three replicas, two of which (the writers) may lead.
Everything that can happen to messages, processes and disks happens one step at a time.

- No lease decides who leads: a writer may begin to lead at any moment, with any of its tokens in any order.
  So two replicas may lead at once, and one that was paused continues as if nothing had happened.
- A message stays in flight until it is delivered. One that is never delivered was lost; one that is
  delivered late was delayed or overtaken. `duplicates` are deliveries that leave the message in flight.
- Each write to a disk completes in a step of its own. A crash loses what is not written; before it, any
  number of the pending writes may have reached the disk.
- `retransmissions` are messages that a leader sends again because no answer came.

Two states are the same if they agree in everything that a later step can depend on.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.control.replication import followers
from driftstair.control.replication.actions import (
    Action,
    EntryCommitted,
    Persist,
    ProposalCommitted,
    ReplicaRegressed,
    Send,
    SnapshotInstalled,
    StoredLog,
)
from driftstair.control.replication.consensus import Consensus
from driftstair.control.replication.leader import Leader, Phase
from driftstair.control.replication.log import EntryLog
from driftstair.control.replication.messages import (
    Append,
    Appended,
    Mismatch,
    Prepare,
    Promise,
    Refusal,
    ReplicationMessage,
    SnapshotPart,
    SnapshotProgress,
)
from driftstair.control.replication.replica import ReplicationFaultError
from driftstair.control.replication.stored import StoredLogBuilder

REPLICA_NUMBERS = (0, 1, 2)
NOW_NS = 0  # no time passes: what time-outs would cause are steps here


class InvariantViolation(Exception):
    """An invariant was violated."""


class IdOnlyState:
    """A configuration state that only knows ids and is cheap to copy."""

    __slots__ = ("ids", "revision")

    def __init__(self, revision: int = 0, ids: tuple[tuple[str, int], ...] = ()) -> None:
        self.revision, self.ids = revision, ids

    def load(self, resources: tuple[Resource, ...]) -> None:
        assert not resources

    def finish_restore(self, revision: int, recent_ids: tuple[tuple[str, int], ...]) -> None:
        self.revision, self.ids = revision, tuple(recent_ids)

    def __len__(self) -> int:
        return 0

    def apply(self, logged_change_set: LoggedChangeSet) -> None:
        assert logged_change_set.revision == self.revision + 1
        self.revision = logged_change_set.revision
        self.ids = (*self.ids, (logged_change_set.change_set.id, logged_change_set.revision))

    def revision_of(self, change_set_id: str) -> int | None:
        return dict(self.ids).get(change_set_id)

    def recent_ids(self) -> tuple[tuple[str, int], ...]:
        return self.ids

    def resources(self) -> Iterator[Resource]:
        return iter(())

    def resource(self, key: ResourceKey) -> None:
        return None


class Envelope(NamedTuple):
    """A message with its sender and receiver."""

    source: int
    to: int
    message: ReplicationMessage


class CommittedSet(NamedTuple):
    """A committed change set. `token` is that of the leader that counted the majority."""

    revision: int
    id: str
    token: int


@dataclass(frozen=True)
class Bounds:
    """Limits on what may happen in one run."""

    tokens: tuple[tuple[int, ...], ...] = ((1, 3), (2, 4))  # of each writer
    puts: tuple[str, ...] = ()  # ids of change sets, in the order in which clients propose them
    crashes: int = 0
    duplicates: int = 0
    retransmissions: int = 0
    disk_restores: int = 0  # crashes after which the disk is replaced by an earlier copy
    synchronous_writes: bool = False  # without crashes, a slow disk is equivalent to a slow message
    kept_entries: int = 1_000
    append_entries_max: int = 1  # in one Append
    # Whether leaders report acknowledged positions; matters only for restored old disks.
    reports_acknowledged: bool = False
    checks_disks: bool = True  # whether committed entries must be on the disks of a majority


class Machine:
    """A replica, its disk and its pending writes. Machines are immutable: a step creates another one."""

    def __init__(
        self, consensus: Consensus, disk: StoredLog, pending_writes: tuple[Persist, ...] = (),
        older_disks: tuple[StoredLog, ...] = (),
    ) -> None:  # fmt: skip
        self.consensus, self.disk = consensus, disk
        self.pending_writes, self.older_disks = pending_writes, older_disks
        self.state_number = -1  # equal machines have equal numbers
        ids = {(entry.revision, entry.change_set.id) for entry in disk.entries}
        if disk.snapshot is not None:
            ids |= {(revision, id_) for id_, revision in disk.snapshot.recent_ids}
        self.ids_on_disk = frozenset(ids)
        replica, leadership = consensus.replica, consensus.leadership
        self.promised_token = replica.promised_token
        self.phase = Phase.RESIGNED if leadership is None else leadership.phase
        self.token = 0 if leadership is None else leadership.token  # of its leadership
        self.base_revision = replica.log.base.revision
        self.log_ids = {entry.revision: entry.change_set.id for entry in replica.log.entries}

    def is_active(self, token: int) -> bool:
        """Whether it leads with this token, or is about to."""
        return self.token == token and self.phase is not Phase.RESIGNED


class Transition(NamedTuple):
    """The effect of one step on a machine, and what others can observe of it."""

    machine: Machine
    sent_messages: tuple[int, ...] = ()  # numbers of envelopes
    committed: tuple[tuple[int, str], ...] = ()  # revision and id, in order
    # Reported as committed: to a client, by a disk or by a snapshot.
    reported: tuple[tuple[int, str], ...] = ()
    regressions: int = 0
    fault: str = ""


class SystemState(NamedTuple):
    """Everything that a later step can depend on."""

    machines: tuple[Machine, ...]
    in_flight: frozenset[int]
    tokens: tuple[tuple[int, ...], ...]
    puts: tuple[str, ...]
    crashes: int
    duplicates: int
    retransmissions: int
    disk_restores: int
    committed: tuple[CommittedSet, ...]  # in the order of revisions

    def key(self) -> Any:
        """Identifies the state; equal machines are represented by equal numbers."""
        return tuple(machine.state_number for machine in self.machines), *self[1:]


Step = tuple[Any, ...]


class StateSpace:
    """All system states within the bounds. The effect of a step on a machine is computed once and cached."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.envelopes: list[Envelope] = []
        self.regressions = 0
        self._envelope_numbers: dict[Envelope, int] = {}
        self._machines: dict[Any, Machine] = {}
        self._transitions: dict[tuple[int, Step], Transition] = {}
        self._no_effect: dict[tuple[int, int, int], bool] = {}

    def start(self) -> SystemState:
        """The initial state: empty disks and no messages."""
        disk = StoredLog()
        machines = (
            self._intern(Machine(self._start_consensus(number, disk), disk), number)
            for number in REPLICA_NUMBERS
        )
        bounds = self.bounds
        return SystemState(
            tuple(machines), frozenset(), bounds.tokens, bounds.puts, bounds.crashes, bounds.duplicates,
            bounds.retransmissions, bounds.disk_restores, (),
        )  # fmt: skip

    def _start_consensus(self, number: int, disk: StoredLog) -> Consensus:
        state = IdOnlyState()
        if disk.snapshot is not None:
            state = IdOnlyState(disk.snapshot.position.revision, tuple(disk.snapshot.recent_ids))
        for entry in disk.entries:
            if state.revision < entry.revision <= disk.committed:
                state.apply(entry.to_logged_change_set())
        return Consensus(number, len(REPLICA_NUMBERS), NOW_NS, disk, state, self.bounds.kept_entries)  # type: ignore

    def _intern(self, machine: Machine, own_number: int) -> Machine:
        interned = self._machines.setdefault((own_number, machine_key(machine)), machine)
        if interned is machine:
            machine.state_number = len(self._machines)
        return interned

    def _intern_envelope(self, envelope: Envelope) -> int:
        number = self._envelope_numbers.setdefault(envelope, len(self.envelopes))
        if number == len(self.envelopes):
            self.envelopes.append(envelope)
        return number

    # Possible steps.

    def possible_steps(self, system: SystemState) -> Iterator[Step]:
        """Generates all steps that are possible in a state."""
        for envelope_number in system.in_flight:
            yield "deliver", envelope_number
            if system.duplicates:
                yield "repeat", envelope_number
        for number, machine in enumerate(system.machines):
            if machine.pending_writes:
                yield "write", number
            if system.crashes:
                for written_count in range(len(machine.pending_writes) + 1):
                    yield "crash", number, written_count
            if system.disk_restores:
                for disk_index in range(len(machine.older_disks)):
                    yield "restore", number, disk_index
        for writer, tokens in enumerate(system.tokens):
            machine = system.machines[writer]
            for token in tokens:
                if token > machine.promised_token:
                    yield "lead", writer, token
            if system.puts and machine.phase is Phase.LEADING:
                yield "put", writer, system.puts[0]
            if system.retransmissions and machine.phase in (Phase.PREPARING, Phase.LEADING):
                for follower in REPLICA_NUMBERS:
                    if follower != writer:
                        yield "resend", writer, follower

    def apply(self, system: SystemState, step: Step) -> SystemState:
        """Returns the state after a step. Raises InvariantViolation."""
        kind = step[0]
        in_flight = system.in_flight
        if kind in ("deliver", "repeat"):
            number = self.envelopes[step[1]].to
            transition = self._transition(system.machines[number], ("deliver", step[1]), number)
            if kind == "repeat":
                system = system._replace(duplicates=system.duplicates - 1)
            else:
                in_flight = in_flight - {step[1]}
        else:
            number = step[1]
            transition = self._transition(system.machines[number], (kind, *step[2:]), number)
            system = self._consume_budget(system, step)
        machines = (*system.machines[:number], transition.machine, *system.machines[number + 1 :])
        in_flight = in_flight.union(transition.sent_messages) if transition.sent_messages else in_flight
        if in_flight:
            in_flight = frozenset(
                envelope_number
                for envelope_number in in_flight
                if not self._has_no_effect(machines, envelope_number)
            )
        self.regressions += transition.regressions
        committed = self._check_invariants(machines, system.committed, transition)
        return system._replace(machines=machines, in_flight=in_flight, committed=committed)

    @staticmethod
    def _consume_budget(system: SystemState, step: Step) -> SystemState:
        match step:
            case ("crash", *_):
                return system._replace(crashes=system.crashes - 1)
            case ("restore", *_):
                return system._replace(disk_restores=system.disk_restores - 1)
            case ("resend", *_):
                return system._replace(retransmissions=system.retransmissions - 1)
            case ("put", *_):
                return system._replace(puts=system.puts[1:])
            case ("lead", writer, token):
                tokens = list(system.tokens)
                tokens[writer] = tuple(other for other in tokens[writer] if other != token)
                return system._replace(tokens=tuple(tokens))
        return system

    def _has_no_effect(self, machines: tuple[Machine, ...], number: int) -> bool:
        """Whether delivering a message can have no effect, whatever happens before; it is then dropped."""
        envelope = self.envelopes[number]
        source, to = machines[envelope.source], machines[envelope.to]
        key = number, source.state_number, to.state_number
        no_effect = self._no_effect.get(key)
        if no_effect is None:
            no_effect = self._no_effect[key] = has_no_effect(envelope.message, envelope.source, source, to)
        return no_effect

    # Effect of a step on one machine.

    def _transition(self, machine: Machine, step: Step, own_number: int) -> Transition:
        key = machine.state_number, step
        transition = self._transitions.get(key)
        if transition is None:
            transition = self._transitions[key] = self._compute_transition(machine, step, own_number)
        return transition

    def _compute_transition(self, machine: Machine, step: Step, own_number: int) -> Transition:
        match step:
            case ("crash", written_count):
                disk, older_disks = machine.disk, machine.older_disks
                for persist in machine.pending_writes[:written_count]:
                    disk, older_disks = self._apply_write(disk, older_disks, persist)
                return self._restart(own_number, disk, older_disks)
            case ("restore", disk_index):
                return self._restart(
                    own_number, machine.older_disks[disk_index], machine.older_disks[:disk_index]
                )
        consensus = copy_consensus(machine.consensus)
        disk, older_disks, pending_writes = machine.disk, machine.older_disks, machine.pending_writes
        if step[0] == "write":
            disk, older_disks = self._apply_write(disk, older_disks, pending_writes[0])
            pending_writes = pending_writes[1:]
        try:
            actions = self._run_step(consensus, step, machine)
            if self.bounds.synchronous_writes:
                while persists := [action for action in actions if isinstance(action, Persist)]:
                    disk, older_disks = self._apply_write(disk, older_disks, persists[0])
                    actions.remove(persists[0])
                    actions += consensus.on_persisted(NOW_NS, persists[0].sequence)
        except ReplicationFaultError as error:
            return Transition(machine, fault=str(error))
        return self._to_transition(own_number, consensus, actions, disk, older_disks, pending_writes)

    def _run_step(self, consensus: Consensus, step: Step, machine: Machine) -> list[Action]:
        match step:
            case ("deliver", number):
                envelope = self.envelopes[number]
                return consensus.on_message(NOW_NS, envelope.source, envelope.message)
            case ("write",):
                return consensus.on_persisted(NOW_NS, machine.pending_writes[0].sequence)
            case ("lead", token):
                return consensus.lead(NOW_NS, token)
            case ("put", id_):
                return consensus.propose(NOW_NS, ChangeSet(id_))
            case ("resend", follower):
                leadership = consensus.leadership
                assert leadership is not None
                if leadership.phase is Phase.LEADING:
                    return leadership._send_next(NOW_NS, follower)
                sent = leadership._send_prepares(NOW_NS)
                return [action for action in sent if isinstance(action, Send) and action.to == follower]
        raise AssertionError(step)

    def _to_transition(
        self, own_number: int, consensus: Consensus, actions: list[Action], disk: StoredLog,
        older_disks: tuple[StoredLog, ...], pending_writes: tuple[Persist, ...],
    ) -> Transition:  # fmt: skip
        sent_messages, committed, reported, regressions = [], [], [], 0
        for action in actions:
            match action:
                case Send(to, message):
                    sent_messages.append(self._intern_envelope(Envelope(own_number, to, message)))
                case Persist():
                    pending_writes = (*pending_writes, action)
                case EntryCommitted(logged_change_set):
                    committed.append((logged_change_set.revision, logged_change_set.change_set.id))
                case SnapshotInstalled(snapshot):
                    reported += [(revision, id_) for id_, revision in snapshot.recent_ids]
                case ProposalCommitted(id_, revision):
                    reported.append((revision, id_))
                case ReplicaRegressed():
                    regressions += 1
        machine = self._intern(Machine(consensus, disk, pending_writes, older_disks), own_number)
        return Transition(machine, tuple(sent_messages), tuple(committed), tuple(reported), regressions)

    def _apply_write(
        self, disk: StoredLog, older_disks: tuple[StoredLog, ...], persist: Persist
    ) -> tuple[StoredLog, tuple[StoredLog, ...]]:
        builder = StoredLogBuilder(disk)
        for record in persist.records:
            builder.add(record)
        return builder.build(), (*older_disks, disk) if self.bounds.disk_restores else ()

    def _restart(self, own_number: int, disk: StoredLog, older_disks: tuple[StoredLog, ...]) -> Transition:
        consensus = self._start_consensus(own_number, disk)
        reported = tuple((revision, id_) for id_, revision in consensus.replica.state.recent_ids())
        return Transition(
            self._intern(Machine(consensus, disk, (), older_disks), own_number), reported=reported
        )

    # Invariants.

    def _check_invariants(
        self, machines: tuple[Machine, ...], known_committed: tuple[CommittedSet, ...], transition: Transition
    ) -> tuple[CommittedSet, ...]:
        """Returns the committed change sets after the transition. Raises InvariantViolation."""
        if transition.fault:
            raise InvariantViolation(transition.fault)
        for revision, id_ in transition.committed:
            if revision <= len(known_committed):
                _check_reported(known_committed, revision, id_)
                continue
            if revision != len(known_committed) + 1 or any(
                committed_set.id == id_ for committed_set in known_committed
            ):
                raise InvariantViolation(f"{id_} is committed at {revision} after {known_committed}")
            known_committed = (*known_committed, CommittedSet(revision, id_, transition.machine.token))
            holders = [
                number for number, machine in enumerate(machines) if (revision, id_) in machine.ids_on_disk
            ]
            if self.bounds.checks_disks and 2 * len(holders) <= len(REPLICA_NUMBERS):
                raise InvariantViolation(f"{id_} is committed at {revision}, on the disks of {holders}")
        for revision, id_ in transition.reported:
            _check_reported(known_committed, revision, id_)
        if transition.machine.phase is Phase.LEADING:
            _check_leader(transition.machine, known_committed)
        return known_committed


def _check_reported(known_committed: tuple[CommittedSet, ...], revision: int, id_: str) -> None:
    """Checks that an id reported as committed is the committed one."""
    if revision > len(known_committed) or known_committed[revision - 1].id != id_:
        raise InvariantViolation(
            f"revision {revision} is reported as {id_}, and committed are {known_committed}"
        )


def _check_leader(machine: Machine, known_committed: tuple[CommittedSet, ...]) -> None:
    """Checks that a leader has everything that was committed under tokens up to its own."""
    for committed_set in known_committed:
        must_be_in_log = (
            committed_set.token <= machine.token and committed_set.revision > machine.base_revision
        )
        if must_be_in_log and machine.log_ids.get(committed_set.revision) != committed_set.id:
            raise InvariantViolation(
                f"the leader of {machine.token} lacks {committed_set}: {machine.log_ids}"
            )


def has_no_effect(message: ReplicationMessage, sender: int, source: Machine, to: Machine) -> bool:
    """Whether a message can have no effect at its receiver any more.

    Tokens are used once and message numbers only rise, so an outdated message stays outdated.
    """
    match message:
        case Promise(token=token):
            return not to.is_active(token) or to.phase is not Phase.PREPARING
        case Refusal(token=token):
            return not to.is_active(token)
        case Appended(token=token) | Mismatch(token=token) | SnapshotProgress(token=token):
            leadership = to.consensus.leadership
            if leadership is None or not to.is_active(token):
                return True
            follower = leadership.followers[sender]
            if message.number == follower.last_message_number and follower.awaits_answer:
                return False
            if isinstance(message, Appended):
                return message.revision <= follower.acknowledged_position.revision
            return True
        case Prepare(token=token):
            return not source.is_active(token) and to.promised_token >= token
        case Append(token=token) | SnapshotPart(token=token):
            return not source.is_active(token) and to.promised_token > token
    return False


# Copies that share what does not change.


def shallow_copy(original: Any) -> Any:
    """Does the same as copy.copy, but faster."""
    clone = object.__new__(type(original))
    clone.__dict__.update(original.__dict__)
    return clone


def copy_consensus(original: Consensus) -> Consensus:
    """Copies a Consensus so that steps on the copy don't change the original."""
    clone: Consensus = shallow_copy(original)
    replica = clone.replica = shallow_copy(original.replica)
    replica.log = EntryLog(replica.log.base, list(replica.log.entries))
    replica.state = copy.copy(replica.state)
    replica._unsynced_entries = list(replica._unsynced_entries)
    replica._pending_replies = dict(replica._pending_replies)
    if replica._incoming_snapshot is not None:
        replica._incoming_snapshot = copy.deepcopy(replica._incoming_snapshot)
    if original.leadership is not None:
        clone.leadership = copy_leader(original.leadership, clone)
    return clone


def copy_leader(original: Leader, consensus: Consensus) -> Leader:
    """Copies a leadership for the copied Consensus."""
    clone: Leader = shallow_copy(original)
    clone._replica = consensus.replica
    clone.followers = {number: copy.copy(follower) for number, follower in original.followers.items()}
    clone._promised_by = set(original._promised_by)
    proposals = clone.proposals = shallow_copy(original.proposals)
    proposals._state = consensus.replica.state
    proposals._uncommitted_revisions = dict(proposals._uncommitted_revisions)
    proposals._last_changes = dict(proposals._last_changes)
    proposals._deadlines_ns = dict(proposals._deadlines_ns)
    return clone


def machine_key(machine: Machine) -> Any:
    """Everything that later steps depend on. Numbers of writes are relative to the synced ones."""
    replica = machine.consensus.replica
    synced_sequence = replica.synced_sequence
    leadership = machine.consensus.leadership
    incoming_snapshot = replica._incoming_snapshot
    return (
        machine.disk, machine.older_disks, tuple(persist.records for persist in machine.pending_writes),
        replica.promised_token, replica.followed_token, replica.log.base, tuple(replica.log.entries),
        replica.committed_revision, replica.leader, replica.synced_revision,
        replica.acknowledged_positions, replica.acknowledged_source,
        replica._persisted_commit_revision, replica.last_sequence - synced_sequence,
        tuple(
            (unsynced.sequence - synced_sequence, unsynced.revision)
            for unsynced in replica._unsynced_entries
        ),
        frozenset(
            (key, reply.sequence - synced_sequence, reply.message)
            for key, reply in replica._pending_replies.items()
        ),
        None if incoming_snapshot is None
        else (incoming_snapshot.token, incoming_snapshot.position, incoming_snapshot.next_part),
        None if leadership is None else leader_key(leadership, synced_sequence),
    )  # fmt: skip


def leader_key(leader: Leader, synced_sequence: int) -> Any:
    """Everything of a leadership that later steps depend on."""
    if leader.phase is Phase.RESIGNED:
        return leader.token, leader.phase
    return (
        leader.token, leader.phase, frozenset(leader._promised_by),
        leader._own_promise_sequence - synced_sequence if leader.phase is Phase.PROMISING else 0,
        tuple(
            (follower.next_revision, follower.acknowledged_position, follower.last_message_number,
             follower.awaits_answer, follower.sent_committed_revision, follower.next_snapshot_part,
             follower.regressed_message_number)
            for follower in leader.followers.values()
        ),
        tuple(leader.proposals._uncommitted_revisions.items()), tuple(leader.proposals._deadlines_ns),
        leader._outgoing_snapshot,
    )  # fmt: skip


class SearchResult(NamedTuple):
    """The result of a search."""

    states: int
    is_complete: bool  # no state within the bounds is left unexplored
    committed_max: int
    regressions: int  # steps in which a restored old disk was detected
    violation: str
    path: tuple[str, ...]  # the steps that led to the violation


def explore(bounds: Bounds, states_max: int) -> SearchResult:
    """Explores the states within the bounds in breadth-first order, until `states_max` have been seen."""
    with bounds_applied(bounds):
        return _explore(StateSpace(bounds), states_max)


@contextmanager
def bounds_applied(bounds: Bounds) -> Iterator[None]:
    """Applies the bounds that are set in the replication code itself."""
    # One Append carries as many entries as the bounds allow, so that a follower can have a part of the
    # log.
    original_append_entries_max, followers.APPEND_ENTRIES_MAX = (
        followers.APPEND_ENTRIES_MAX,
        bounds.append_entries_max,
    )
    original_acknowledged_positions = Leader.acknowledged_positions
    if not bounds.reports_acknowledged:
        Leader.acknowledged_positions = lambda self: ()  # type: ignore
    try:
        yield
    finally:
        followers.APPEND_ENTRIES_MAX = original_append_entries_max
        Leader.acknowledged_positions = original_acknowledged_positions  # type: ignore


def _explore(state_space: StateSpace, states_max: int) -> SearchResult:
    start = state_space.start()
    frontier: list[tuple[SystemState, Any]] = [(start, None)]
    seen = {hash(start.key())}
    committed_max = 0
    while frontier:
        next_frontier: list[tuple[SystemState, Any]] = []
        for system, path in frontier:
            for step in state_space.possible_steps(system):
                try:
                    next_system = state_space.apply(system, step)
                except InvariantViolation as error:
                    steps = _describe_path(state_space, (step, path))
                    return SearchResult(
                        len(seen), False, committed_max, state_space.regressions, str(error), steps
                    )
                key = hash(next_system.key())
                if key not in seen:
                    seen.add(key)
                    next_frontier.append((next_system, (step, path)))
            if len(seen) >= states_max:
                return SearchResult(len(seen), False, committed_max, state_space.regressions, "", ())
        frontier = next_frontier
        committed_max = max([committed_max, *(len(system.committed) for system, _ in next_frontier)])
    return SearchResult(len(seen), True, committed_max, state_space.regressions, "", ())


def _describe_path(state_space: StateSpace, path: Any) -> tuple[str, ...]:
    """Describes the steps of a path, first step first."""
    steps = []
    while path is not None:
        step, path = path
        is_delivery = step[0] in ("deliver", "repeat")
        steps.append(
            f"{step[0]} {state_space.envelopes[step[1]]}" if is_delivery else " ".join(map(str, step))
        )
    return tuple(reversed(steps))


def explore_randomly(bounds: Bounds, seeds: range, steps_max: int) -> SearchResult:
    """Follows random orders of events to greater depth than a search reaches. Counts the states of all of
    them."""
    with bounds_applied(bounds):
        state_space = StateSpace(bounds)
        seen: set[int] = set()
        committed_max = 0
        for seed in seeds:
            random = Random(seed)
            system, path = state_space.start(), None
            for _ in range(steps_max):
                # Sorted, because the order of a set is not reproducible. Envelopes sort by
                # when they were first sent.
                steps = sorted(state_space.possible_steps(system), key=lambda step: tuple(map(str, step)))
                if not steps:
                    break
                step = random.choice(steps)
                path = (step, path)
                try:
                    system = state_space.apply(system, step)
                except InvariantViolation as error:
                    description = _describe_path(state_space, path)
                    return SearchResult(
                        len(seen), False, committed_max, state_space.regressions, str(error), description
                    )
                seen.add(hash(system.key()))
            committed_max = max(committed_max, len(system.committed))
        return SearchResult(len(seen), False, committed_max, state_space.regressions, "", ())
