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

REPLICAS = (0, 1, 2)
NOW = 0  # no time passes: what time would do are steps here


class Violation(Exception):
    """Something that must never happen did."""


class TinyState:
    """A state that knows ids alone, and is cheap to copy."""

    __slots__ = ("ids", "revision")

    def __init__(self, revision: int = 0, ids: tuple[tuple[str, int], ...] = ()) -> None:
        self.revision, self.ids = revision, ids

    def load(self, resources: tuple[Resource, ...]) -> None:
        assert not resources

    def finish_restore(self, revision: int, recent_ids: tuple[tuple[str, int], ...]) -> None:
        self.revision, self.ids = revision, tuple(recent_ids)

    def __len__(self) -> int:
        return 0

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

    revision: int
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
    writes_at_once: bool = False  # where nothing crashes, a slow disk is a slow message
    kept_entries: int = 1_000
    entries_most: int = 1  # in one Append
    tells_acknowledged: bool = False  # leaders tell what others acknowledged: matters for old disks alone
    checks_disks: bool = True  # that what is committed is on the disks of a majority


class Machine:
    """A replica, its disk and what is on the way there. Never changed: a step makes another one."""

    def __init__(
        self, consensus: Consensus, disk: StoredLog, pending: tuple[Persist, ...] = (),
        older_disks: tuple[StoredLog, ...] = (),
    ) -> None:  # fmt: skip
        self.consensus, self.disk = consensus, disk
        self.pending, self.older_disks = pending, older_disks
        self.number = -1  # equal machines have equal numbers
        ids = {(entry.revision, entry.change_set.id) for entry in disk.entries}
        if disk.snapshot is not None:
            ids |= {(revision, id_) for id_, revision in disk.snapshot.recent_ids}
        self.on_disk = frozenset(ids)
        replica, leadership = consensus.replica, consensus.leadership
        self.promised = replica.promised
        self.phase = Phase.RESIGNED if leadership is None else leadership.phase
        self.token = 0 if leadership is None else leadership.token  # of its leadership
        self.base = replica.log.base.revision
        self.log_ids = {entry.revision: entry.change_set.id for entry in replica.log.entries}

    def is_active(self, token: int) -> bool:
        """Whether it leads with a token, or is about to."""
        return self.token == token and self.phase is not Phase.RESIGNED


class Transition(NamedTuple):
    """What one step does to a machine, and what all can see of it."""

    machine: Machine
    sent: tuple[int, ...] = ()  # letters
    committed: tuple[tuple[int, str], ...] = ()  # revision and id, in order
    claimed: tuple[tuple[int, str], ...] = ()  # said to be committed: to a client, by a disk, by a snapshot
    regressions: int = 0
    fault: str = ""


class World(NamedTuple):
    """All that a later step depends on."""

    machines: tuple[Machine, ...]
    air: frozenset[int]
    tokens: tuple[tuple[int, ...], ...]
    puts: tuple[str, ...]
    crashes: int
    repeats: int
    resends: int
    restores: int
    committed: tuple[CommittedSet, ...]  # in the order of revisions

    def key(self) -> Any:
        return tuple(machine.number for machine in self.machines), *self[1:]


Step = tuple[Any, ...]


class Universe:
    """All worlds within the bounds. What a step does to a machine is worked out once."""

    def __init__(self, bounds: Bounds) -> None:
        self.bounds = bounds
        self.letters: list[Letter] = []
        self.regressions = 0
        self._letter_numbers: dict[Letter, int] = {}
        self._machines: dict[Any, Machine] = {}
        self._transitions: dict[tuple[int, Step], Transition] = {}
        self._dead: dict[tuple[int, int, int], bool] = {}

    def start(self) -> World:
        disk = StoredLog()
        machines = (self._interned(Machine(self._started(number, disk), disk), number) for number in REPLICAS)
        bounds = self.bounds
        return World(
            tuple(machines), frozenset(), bounds.tokens, bounds.puts, bounds.crashes, bounds.repeats,
            bounds.resends, bounds.restores, (),
        )  # fmt: skip

    def _started(self, number: int, disk: StoredLog) -> Consensus:
        state = TinyState()
        if disk.snapshot is not None:
            state = TinyState(disk.snapshot.position.revision, tuple(disk.snapshot.recent_ids))
        for entry in disk.entries:
            if state.revision < entry.revision <= disk.committed:
                state.apply(entry.logged())
        return Consensus(number, len(REPLICAS), NOW, disk, state, self.bounds.kept_entries)  # type: ignore

    def _interned(self, machine: Machine, own: int) -> Machine:
        known = self._machines.setdefault((own, machine_key(machine)), machine)
        if known is machine:
            machine.number = len(self._machines)
        return known

    def _letter(self, letter: Letter) -> int:
        number = self._letter_numbers.setdefault(letter, len(self.letters))
        if number == len(self.letters):
            self.letters.append(letter)
        return number

    # Steps that are possible.

    def steps(self, world: World) -> Iterator[Step]:
        for letter in world.air:
            yield "deliver", letter
            if world.repeats:
                yield "repeat", letter
        for number, machine in enumerate(world.machines):
            if machine.pending:
                yield "write", number
            if world.crashes:
                for written in range(len(machine.pending) + 1):
                    yield "crash", number, written
            if world.restores:
                for place in range(len(machine.older_disks)):
                    yield "restore", number, place
        for writer, tokens in enumerate(world.tokens):
            machine = world.machines[writer]
            for token in tokens:
                if token > machine.promised:
                    yield "lead", writer, token
            if world.puts and machine.phase is Phase.LEADING:
                yield "put", writer, world.puts[0]
            if world.resends and machine.phase in (Phase.PREPARING, Phase.LEADING):
                for follower in REPLICAS:
                    if follower != writer:
                        yield "resend", writer, follower

    def after(self, world: World, step: Step) -> World:
        """The world in which this was done. Raises Violation."""
        kind = step[0]
        air = world.air
        if kind in ("deliver", "repeat"):
            number = self.letters[step[1]].to
            change = self._transition(world.machines[number], ("deliver", step[1]), number)
            if kind == "repeat":
                world = world._replace(repeats=world.repeats - 1)
            else:
                air = air - {step[1]}
        else:
            number = step[1]
            change = self._transition(world.machines[number], (kind, *step[2:]), number)
            world = self._spent(world, step)
        machines = (*world.machines[:number], change.machine, *world.machines[number + 1 :])
        air = air.union(change.sent) if change.sent else air
        if air:
            air = frozenset(letter for letter in air if not self._is_dead(machines, letter))
        self.regressions += change.regressions
        committed = self._checked(machines, world.committed, change)
        return world._replace(machines=machines, air=air, committed=committed)

    @staticmethod
    def _spent(world: World, step: Step) -> World:
        match step:
            case ("crash", *_):
                return world._replace(crashes=world.crashes - 1)
            case ("restore", *_):
                return world._replace(restores=world.restores - 1)
            case ("resend", *_):
                return world._replace(resends=world.resends - 1)
            case ("put", *_):
                return world._replace(puts=world.puts[1:])
            case ("lead", writer, token):
                tokens = list(world.tokens)
                tokens[writer] = tuple(one for one in tokens[writer] if one != token)
                return world._replace(tokens=tuple(tokens))
        return world

    def _is_dead(self, machines: tuple[Machine, ...], number: int) -> bool:
        """Whether a letter can have no effect any more, whatever comes: it needs no further steps."""
        letter = self.letters[number]
        source, to = machines[letter.source], machines[letter.to]
        key = number, source.number, to.number
        dead = self._dead.get(key)
        if dead is None:
            dead = self._dead[key] = is_dead(letter.message, letter.source, source, to)
        return dead

    # What a step does to one machine.

    def _transition(self, machine: Machine, step: Step, own: int) -> Transition:
        key = machine.number, step
        found = self._transitions.get(key)
        if found is None:
            found = self._transitions[key] = self._worked_out(machine, step, own)
        return found

    def _worked_out(self, machine: Machine, step: Step, own: int) -> Transition:
        match step:
            case ("crash", written):
                disk, older = machine.disk, machine.older_disks
                for persist in machine.pending[:written]:
                    disk, older = self._written(disk, older, persist)
                return self._restarted(own, disk, older)
            case ("restore", place):
                return self._restarted(own, machine.older_disks[place], machine.older_disks[:place])
        consensus = copy_consensus(machine.consensus)
        disk, older, pending = machine.disk, machine.older_disks, machine.pending
        if step[0] == "write":
            disk, older = self._written(disk, older, pending[0])
            pending = pending[1:]
        try:
            actions = self._actions(consensus, step, machine)
            if self.bounds.writes_at_once:
                while persists := [one for one in actions if isinstance(one, Persist)]:
                    disk, older = self._written(disk, older, persists[0])
                    actions.remove(persists[0])
                    actions += consensus.on_persisted(NOW, persists[0].sequence)
        except ReplicationFaultError as problem:
            return Transition(machine, fault=str(problem))
        return self._transition_of(own, consensus, actions, disk, older, pending)

    def _actions(self, consensus: Consensus, step: Step, machine: Machine) -> list[Action]:
        match step:
            case ("deliver", number):
                letter = self.letters[number]
                return consensus.on_message(NOW, letter.source, letter.message)
            case ("write",):
                return consensus.on_persisted(NOW, machine.pending[0].sequence)
            case ("lead", token):
                return consensus.lead(NOW, token)
            case ("put", id_):
                return consensus.propose(NOW, ChangeSet(id_))
            case ("resend", follower):
                leadership = consensus.leadership
                assert leadership is not None
                if leadership.phase is Phase.LEADING:
                    return leadership._send_next(NOW, follower)
                sent = leadership._prepare(NOW)
                return [one for one in sent if isinstance(one, Send) and one.to == follower]
        raise AssertionError(step)

    def _transition_of(
        self, own: int, consensus: Consensus, actions: list[Action], disk: StoredLog,
        older: tuple[StoredLog, ...], pending: tuple[Persist, ...],
    ) -> Transition:  # fmt: skip
        sent, committed, claimed, regressions = [], [], [], 0
        for action in actions:
            match action:
                case Send(to, message):
                    sent.append(self._letter(Letter(own, to, message)))
                case Persist():
                    pending = (*pending, action)
                case Committed(logged):
                    committed.append((logged.revision, logged.change_set.id))
                case Restored(snapshot):
                    claimed += [(revision, id_) for id_, revision in snapshot.recent_ids]
                case ProposalCommitted(id_, revision):
                    claimed.append((revision, id_))
                case ReplicaRegressed():
                    regressions += 1
        machine = self._interned(Machine(consensus, disk, pending, older), own)
        return Transition(machine, tuple(sent), tuple(committed), tuple(claimed), regressions)

    def _written(
        self, disk: StoredLog, older: tuple[StoredLog, ...], persist: Persist
    ) -> tuple[StoredLog, tuple[StoredLog, ...]]:
        builder = StoredLogBuilder(disk)
        for record in persist.records:
            builder.add(record)
        return builder.result(), (*older, disk) if self.bounds.restores else ()

    def _restarted(self, own: int, disk: StoredLog, older: tuple[StoredLog, ...]) -> Transition:
        consensus = self._started(own, disk)
        claimed = tuple((revision, id_) for id_, revision in consensus.replica.state.recent_ids())
        return Transition(self._interned(Machine(consensus, disk, (), older), own), claimed=claimed)

    # What must hold.

    def _checked(
        self, machines: tuple[Machine, ...], known: tuple[CommittedSet, ...], change: Transition
    ) -> tuple[CommittedSet, ...]:
        """What is committed now. Raises Violation."""
        if change.fault:
            raise Violation(change.fault)
        for revision, id_ in change.committed:
            if revision <= len(known):
                _check_same(known, revision, id_)
                continue
            if revision != len(known) + 1 or any(one.id == id_ for one in known):
                raise Violation(f"{id_} is committed at {revision} after {known}")
            known = (*known, CommittedSet(revision, id_, change.machine.token))
            holders = [place for place, one in enumerate(machines) if (revision, id_) in one.on_disk]
            if self.bounds.checks_disks and 2 * len(holders) <= len(REPLICAS):
                raise Violation(f"{id_} is committed at {revision}, on the disks of {holders}")
        for revision, id_ in change.claimed:
            _check_same(known, revision, id_)
        if change.machine.phase is Phase.LEADING:
            _check_leader(change.machine, known)
        return known


def _check_same(known: tuple[CommittedSet, ...], revision: int, id_: str) -> None:
    if revision > len(known) or known[revision - 1].id != id_:
        raise Violation(f"revision {revision} is {id_} here, and committed are {known}")


def _check_leader(machine: Machine, known: tuple[CommittedSet, ...]) -> None:
    """Whoever leads has all that was committed under tokens up to its own."""
    for one in known:
        is_due = one.token <= machine.token and one.revision > machine.base
        if is_due and machine.log_ids.get(one.revision) != one.id:
            raise Violation(f"the leader of {machine.token} lacks {one}: {machine.log_ids}")


def is_dead(message: ReplicationMessage, sender: int, source: Machine, to: Machine) -> bool:
    """Tokens are used once, numbers only rise: what is outdated stays so."""
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
            if message.number == follower.number and follower.is_waiting:
                return False
            if isinstance(message, Appended):
                return message.revision <= follower.acknowledged.revision
            return True
        case Prepare(token=token):
            return not source.is_active(token) and to.promised >= token
        case Append(token=token) | SnapshotPart(token=token):
            return not source.is_active(token) and to.promised > token
    return False


# Copies that share what doesn't change.


def shallow(old: Any) -> Any:
    """As copy.copy, faster."""
    new = object.__new__(type(old))
    new.__dict__.update(old.__dict__)
    return new


def copy_consensus(old: Consensus) -> Consensus:
    new: Consensus = shallow(old)
    replica = new.replica = shallow(old.replica)
    replica.log = EntryLog(replica.log.base, list(replica.log.entries))
    replica.state = copy.copy(replica.state)
    replica._unsynced = list(replica._unsynced)
    replica._held = dict(replica._held)
    if replica._incoming is not None:
        replica._incoming = copy.deepcopy(replica._incoming)
    if old.leadership is not None:
        new.leadership = copy_leader(old.leadership, new)
    return new


def copy_leader(old: Leader, consensus: Consensus) -> Leader:
    new: Leader = shallow(old)
    new._replica = consensus.replica
    new.followers = {number: copy.copy(one) for number, one in old.followers.items()}
    new._promises = set(old._promises)
    proposals = new.proposals = shallow(old.proposals)
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
    regressions: int  # steps in which an old disk was noticed
    violation: str
    path: tuple[str, ...]  # the steps to it


def explore(bounds: Bounds, states_most: int) -> Search:
    """All worlds within the bounds, nearest first, until there are so many."""
    with bounded(bounds):
        return _explore(Universe(bounds), states_most)


@contextmanager
def bounded(bounds: Bounds) -> Iterator[None]:
    """What of the bounds is set in the log itself."""
    # In one Append goes as much as the bounds say, so that a follower can have a part of it.
    entries_most, followers.APPEND_ENTRIES_MAX = followers.APPEND_ENTRIES_MAX, bounds.entries_most
    tell = Leader.acknowledged
    if not bounds.tells_acknowledged:
        Leader.acknowledged = lambda self: ()  # type: ignore
    try:
        yield
    finally:
        followers.APPEND_ENTRIES_MAX = entries_most
        Leader.acknowledged = tell  # type: ignore


def _explore(universe: Universe, states_most: int) -> Search:
    start = universe.start()
    frontier: list[tuple[World, Any]] = [(start, None)]
    seen = {hash(start.key())}
    most_committed = 0
    while frontier:
        following: list[tuple[World, Any]] = []
        for world, path in frontier:
            for step in universe.steps(world):
                try:
                    new = universe.after(world, step)
                except Violation as problem:
                    steps = _unrolled(universe, (step, path))
                    return Search(len(seen), False, most_committed, universe.regressions, str(problem), steps)
                key = hash(new.key())
                if key not in seen:
                    seen.add(key)
                    following.append((new, (step, path)))
            if len(seen) >= states_most:
                return Search(len(seen), False, most_committed, universe.regressions, "", ())
        frontier = following
        most_committed = max([most_committed, *(len(world.committed) for world, _ in following)])
    return Search(len(seen), True, most_committed, universe.regressions, "", ())


def _unrolled(universe: Universe, path: Any) -> tuple[str, ...]:
    steps = []
    while path is not None:
        step, path = path
        is_letter = step[0] in ("deliver", "repeat")
        steps.append(f"{step[0]} {universe.letters[step[1]]}" if is_letter else " ".join(map(str, step)))
    return tuple(reversed(steps))


def walk(bounds: Bounds, seeds: range, steps_most: int) -> Search:
    """Orders by chance, deeper than a search comes: the states met in all of them."""
    with bounded(bounds):
        universe = Universe(bounds)
        seen: set[int] = set()
        most_committed = 0
        for seed in seeds:
            random = Random(seed)
            world, path = universe.start(), None
            for _ in range(steps_most):
                # Letters in the order in which they were first sent: sets have none that lasts.
                steps = sorted(universe.steps(world), key=lambda step: tuple(map(str, step)))
                if not steps:
                    break
                step = random.choice(steps)
                path = (step, path)
                try:
                    world = universe.after(world, step)
                except Violation as problem:
                    found = _unrolled(universe, path)
                    return Search(len(seen), False, most_committed, universe.regressions, str(problem), found)
                seen.add(hash(world.key()))
            most_committed = max(most_committed, len(world.committed))
        return Search(len(seen), False, most_committed, universe.regressions, "", ())
