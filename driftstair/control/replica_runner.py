"""Runs a replica: carries out its actions on disk and network, and drives its timer and its proposals."""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.state import ConfigurationState
from driftstair.control.disk_writer import DiskWriter
from driftstair.control.http import HttpError, Request
from driftstair.control.peer_link import PeerLink
from driftstair.control.puts import ProposalOutcome
from driftstair.control.replication.actions import (
    Action,
    Conflict,
    EntryCommitted,
    InvalidChangeSet,
    NoMajority,
    NotLeader,
    Persist,
    ProposalCommitted,
    ProposalRefused,
    RefusalReason,
    ReplicaRegressed,
    Send,
    SnapshotInstalled,
    StoredLog,
)
from driftstair.control.replication.core import GENERATION_COUNT, ControlReplica
from driftstair.control.replication.messages import (
    MESSAGE_BYTES_MAX,
    ReplicationMessage,
    ReplicationMessageError,
    decode,
    encode,
)
from driftstair.control.replication.proposals import LEADER_ID_PREFIX
from driftstair.control.replication.replica import ReplicationFaultError
from driftstair.control.settings import ServerSettings
from driftstair.control.storage import ReplicaStorage

log = logging.getLogger(__name__)

REPLICATION_BYTES_MAX = 2 * MESSAGE_BYTES_MAX  # a request holds 1 MiB of messages, or a longer one
LEADER_CONTACT_FRESH_MS = 3_000  # after the last contact with a leader with a majority; some heartbeats
TICK_DELAY_MIN_S = 0.001  # timers of the loop are in whole ms; a shorter one would fire at once, repeatedly
SHUTDOWN_TIMEOUT_S = 1.0  # for the last messages and the last write


class ReplicaRunner:
    """Reads the folder on construction, which raises StorageError and OSError. Runs once `start` is
    called."""

    def __init__(self, settings: ServerSettings) -> None:
        self.on_committed: Callable[[LoggedChangeSet], None] = lambda _: None
        self.on_restored: Callable[[], None] = lambda: None
        self.on_resigned: Callable[[], None] = lambda: None
        self.on_fault: Callable[[str], None] = lambda _: None  # the process has to stop
        self._leading_token = 0  # of an own leadership whose empty change set is committed; 0: none
        self._settings = settings
        self._own_number = settings.own_number
        self._loop = asyncio.get_running_loop()
        self._folder = Path(settings.folder)
        storage = ReplicaStorage(self._folder, self._own_number)
        if storage.cut_bytes:
            log.warning("the log ended in a write that was cut off: %d bytes cut", storage.cut_bytes)
        self._disk_writer = DiskWriter(storage, self._on_persisted, lambda why: self.on_fault(why))
        self._replica = ControlReplica(
            self._own_number, settings.count, _process_generation(storage.stored), time.monotonic_ns(),
            Random(), storage.stored,
        )  # fmt: skip
        self._peer_links: dict[int, PeerLink] = {}
        self._proposals: dict[str, asyncio.Future[ProposalOutcome]] = {}
        self._has_started = False
        self._timer: asyncio.TimerHandle | None = None
        self._logged_leader: int | None = None

    def start(self) -> None:
        """Connects to the other servers and starts writing and ticking."""
        for number, address in enumerate(self._settings.peers):
            if number != self._own_number:
                target = f"/replication?from={self._own_number}&to={number}&of={self._settings.count}"
                self._peer_links[number] = PeerLink(address, target)
        self._has_started = True
        self._disk_writer.start()
        self._tick()

    async def close(self) -> None:
        """Hands leadership over and stops once those messages are sent, or after `SHUTDOWN_TIMEOUT_S`."""
        if self._timer is not None:
            self._timer.cancel()
        if self._has_started:
            self._execute(self._replica.leave(time.monotonic_ns()))
            with suppress(TimeoutError):
                async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                    await asyncio.gather(*(link.wait_until_idle() for link in self._peer_links.values()))
        for link in self._peer_links.values():
            link.close()
        self._disk_writer.close()

    # The view of watchers, puts and the status.

    @property
    def committed(self) -> int:
        """The last revision known to be committed."""
        return self._replica.committed_revision

    @property
    def oldest(self) -> int:
        """The log holds the changes after this revision."""
        return self._replica.compacted_revision

    @property
    def state(self) -> ConfigurationState:
        """The state at revision `committed`."""
        return self._replica.state

    @property
    def is_leader(self) -> bool:
        """Whether this server leads and can check proposals. It can once its own empty change set is
        committed, as then every entry of earlier leaders is either committed or discarded."""
        return self._replica.is_leader and self._leading_token == self._replica.promised_token

    @property
    def leader(self) -> int | None:
        """The number of the leader, as far as this server knows."""
        return self._replica.leader

    @property
    def leader_address(self) -> tuple[str, int] | None:
        """The address of the leader; None if this server leads or no leader is known."""
        leader = self._replica.leader
        return None if leader is None or leader == self._own_number else self._settings.peers[leader]

    @property
    def disk_problem(self) -> str:
        """Why writes fail at present; empty: they succeed."""
        return self._disk_writer.problem

    @property
    def disk_bytes(self) -> int:
        """The size of all files in the folder; 0 if it can't be read."""
        with suppress(OSError):
            return sum(entry.stat().st_size for entry in os.scandir(self._folder) if entry.is_file())
        return 0

    def entries(self, after: int, count_max: int) -> list[LoggedChangeSet]:
        """Up to `count_max` committed change sets after a revision, in order. `after` is at least
        `oldest`."""
        return self._replica.committed_entries(after, count_max)

    def age_ms(self) -> int:
        """The time since the last contact with a leader that has a majority; 0 while there is one."""
        age_ms = (time.monotonic_ns() - self._replica.last_contact_ns) // 1_000_000
        return age_ms if age_ms > LEADER_CONTACT_FRESH_MS else 0

    # Input.

    def propose(self, change_set: ChangeSet) -> asyncio.Future[ProposalOutcome]:
        """Proposes a change set. The outcome may be known immediately."""
        outcome: asyncio.Future[ProposalOutcome] = self._loop.create_future()
        self._proposals[change_set.id] = outcome
        self._execute(self._replica.propose(time.monotonic_ns(), change_set))
        return outcome

    def receive(self, request: Request) -> None:
        """Handles `POST /replication`. Raises HttpError; if a message is malformed, none of them is
        handled."""
        sender = self._check_sender(request)
        messages: list[ReplicationMessage] = []
        for index, line in enumerate(request.body.split(b"\n")):
            try:
                messages.append(decode(line))
            except ReplicationMessageError as problem:
                raise HttpError(400, f"replication of server {sender}, line {index}: {problem}") from None
        for message in messages:
            try:
                actions = self._replica.on_message(time.monotonic_ns(), sender, message)
            except ReplicationFaultError as problem:
                self.on_fault(f"server {sender}: {problem}")
                raise HttpError(503, f"replication of server {sender}: {problem}") from None
            self._execute(actions)

    def _check_sender(self, request: Request) -> int:
        """The number of the sender. Raises HttpError if its `peers` differ from those of this server."""
        count = self._settings.count
        numbers = {name: request.query.get(name, "") for name in ("from", "to", "of")}
        if not all(text.isascii() and text.isdigit() and len(text) < 3 for text in numbers.values()):
            raise HttpError(400, f"replication: wants from, to and of, not {str(request.query)[:80]}")
        sender, receiver, sender_count = (int(text) for text in numbers.values())
        if (
            sender_count != count
            or receiver != self._own_number
            or sender >= count
            or sender == self._own_number
        ):
            description = f"server {sender} of {sender_count} wrote to server {receiver}"
            raise HttpError(
                409,
                f"replication: {description}, this is {self._own_number} of {count}; "
                f"the same `peers` on all would do",
            )
        return sender

    def _tick(self) -> None:
        self._timer = None
        self._execute(self._replica.tick(time.monotonic_ns()))

    def _on_persisted(self, sequence: int) -> None:
        self._execute(self._replica.on_persisted(time.monotonic_ns(), sequence))

    # Actions.

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            self._execute_action(action)
        if self._leading_token and not self.is_leader:
            self._leading_token = 0
            self.on_resigned()
        self._log_leader()
        self._set_timer()

    def _execute_action(self, action: Action) -> None:
        match action:
            case Send(to, message):
                link = self._peer_links.get(to)
                if link is not None:
                    link.send(encode(message))
            case Persist():
                self._disk_writer.add(action)
            case EntryCommitted(logged):
                if logged.change_set.id == f"{LEADER_ID_PREFIX}{self._replica.promised_token}":
                    self._leading_token = self._replica.promised_token
                self.on_committed(logged)
            case SnapshotInstalled():
                log.info("the state of revision %d came from another server", self.committed)
                self.on_restored()
            case ProposalCommitted(change_set_id, revision):
                self._complete_proposal(change_set_id, ProposalOutcome(revision))
            case ProposalRefused(change_set_id, reason):
                self._complete_proposal(change_set_id, _refusal_outcome(reason))
            case ReplicaRegressed(replica, acknowledged, reported):
                log.warning(
                    "server %d has revision %d and once had %d: an old copy of its disk; it is caught up",
                    replica, reported, acknowledged,
                )  # fmt: skip

    def _complete_proposal(self, change_set_id: str, outcome: ProposalOutcome) -> None:
        future = self._proposals.pop(change_set_id, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _set_timer(self) -> None:
        delay_s = max(TICK_DELAY_MIN_S, (self._replica.wake_at_ns - time.monotonic_ns()) / 1e9)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._tick)

    def _log_leader(self) -> None:
        leader = self._replica.leader
        if leader != self._logged_leader:
            self._logged_leader = leader
            log.info("leader: %s", "none is known" if leader is None else f"server {leader}")


def _process_generation(stored: StoredLog) -> int:
    """The generation of this process. It exceeds those of all tokens on the disk, even if the clock of the
    machine was set back."""
    return max(time.time_ns() // 1_000_000_000, stored.lease_token // GENERATION_COUNT + 1)


def _refusal_outcome(reason: RefusalReason) -> ProposalOutcome:
    match reason:
        case NotLeader(leader):
            return ProposalOutcome(0, 503, f"this server does not lead; leader: {leader}")
        case NoMajority():
            return ProposalOutcome(
                0, 503, "no majority; not known whether it is committed: put it again with the same id"
            )
        case Conflict(resource, revision):
            return ProposalOutcome(
                0, 409, f"{resource}: expected_revision: revision {revision} changed it last"
            )
        case InvalidChangeSet(why):
            return ProposalOutcome(0, 400, why)
