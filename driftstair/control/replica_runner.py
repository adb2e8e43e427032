"""A replica on a machine: its actions carried out on disk and network, its timer, outcomes of proposals."""

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
from driftstair.control.puts import Outcome
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

REPLICATION_BYTES_MAX = 2 * MESSAGE_BYTES_MAX  # of one request: messages of 1 MiB together, or one long one
FRESH_MS = 3_000  # since the last contact with a leader that has a majority: some of its heartbeats
TICK_S_MIN = 0.001  # s; the loop's timers are of whole ms, and a shorter one would be due at once, and again
LEAVE_S_MAX = 1.0  # s at the end for the last messages and the last write


class ReplicaRunner:
    """Reads the folder on construction; raises StorageError, OSError. Runs once `start` is called."""

    def __init__(self, settings: ServerSettings) -> None:
        self.on_committed: Callable[[LoggedChangeSet], None] = lambda _: None
        self.on_restored: Callable[[], None] = lambda: None
        self.on_resigned: Callable[[], None] = lambda: None
        self.on_fault: Callable[[str], None] = lambda _: None  # the process has to end
        self._led_token = 0  # of the leadership here whose own empty set is committed; 0: none is
        self._settings = settings
        self._own = settings.own_number
        self._loop = asyncio.get_running_loop()
        self._folder = Path(settings.folder)
        storage = ReplicaStorage(self._folder, self._own)
        if storage.cut_bytes:
            log.warning("the log ended in a write that was cut off: %d bytes cut", storage.cut_bytes)
        self._disk = DiskWriter(storage, self._on_persisted, lambda why: self.on_fault(why))
        self._replica = ControlReplica(
            self._own, settings.count, _generation(storage.stored), time.monotonic_ns(), Random(),
            storage.stored,
        )  # fmt: skip
        self._links: dict[int, PeerLink] = {}
        self._proposals: dict[str, asyncio.Future[Outcome]] = {}
        self._has_started = False
        self._timer: asyncio.TimerHandle | None = None
        self._leader_logged: int | None = None

    def start(self) -> None:
        for number, address in enumerate(self._settings.peers):
            if number != self._own:
                target = f"/replication?from={self._own}&to={number}&of={self._settings.count}"
                self._links[number] = PeerLink(address, target)
        self._has_started = True
        self._disk.start()
        self._tick()

    async def close(self) -> None:
        """Hands leadership on, and ends once that was sent or after `LEAVE_S_MAX`."""
        if self._timer is not None:
            self._timer.cancel()
        if self._has_started:
            self._do(self._replica.leave(time.monotonic_ns()))
            with suppress(TimeoutError):
                async with asyncio.timeout(LEAVE_S_MAX):
                    await asyncio.gather(*(link.drained() for link in self._links.values()))
        for link in self._links.values():
            link.close()
        self._disk.close()

    # What watchers, puts and the status are served from.

    @property
    def committed(self) -> int:
        return self._replica.committed_revision

    @property
    def oldest(self) -> int:
        return self._replica.compacted_revision

    @property
    def state(self) -> ConfigurationState:
        return self._replica.state

    @property
    def is_leader(self) -> bool:
        """Whether proposals can be checked here: all that earlier leaders left is committed or gone."""
        return self._replica.is_leader and self._led_token == self._replica.promised_token

    @property
    def leader(self) -> int | None:
        return self._replica.leader

    @property
    def leader_address(self) -> tuple[str, int] | None:
        leader = self._replica.leader
        return None if leader is None or leader == self._own else self._settings.peers[leader]

    @property
    def disk_problem(self) -> str:
        """Why the disk takes nothing now; empty: it does."""
        return self._disk.problem

    @property
    def disk_bytes(self) -> int:
        """Of all files in the folder."""
        with suppress(OSError):
            return sum(entry.stat().st_size for entry in os.scandir(self._folder) if entry.is_file())
        return 0

    def entries(self, after: int, most: int) -> list[LoggedChangeSet]:
        return self._replica.committed_entries(after, most)

    def age_ms(self) -> int:
        age_ms = (time.monotonic_ns() - self._replica.last_contact_ns) // 1_000_000
        return age_ms if age_ms > FRESH_MS else 0

    # What comes in.

    def propose(self, change_set: ChangeSet) -> asyncio.Future[Outcome]:
        outcome: asyncio.Future[Outcome] = self._loop.create_future()
        self._proposals[change_set.id] = outcome
        self._do(self._replica.propose(time.monotonic_ns(), change_set))
        return outcome

    def receive(self, request: Request) -> None:
        """Takes in a `POST /replication`: all of its messages, or none of them with an HttpError."""
        sender = self._sender(request)
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
            self._do(actions)

    def _sender(self, request: Request) -> int:
        """Raises HttpError where the other server's `peers` can't be this one's."""
        count = self._settings.count
        numbers = {name: request.query.get(name, "") for name in ("from", "to", "of")}
        if not all(text.isascii() and text.isdigit() and len(text) < 3 for text in numbers.values()):
            raise HttpError(400, f"replication: wants from, to and of, not {str(request.query)[:80]}")
        sender, receiver, of = (int(text) for text in numbers.values())
        if of != count or receiver != self._own or sender >= count or sender == self._own:
            found = f"server {sender} of {of} wrote to server {receiver}"
            raise HttpError(
                409, f"replication: {found}, this is {self._own} of {count}; the same `peers` on all would do"
            )
        return sender

    def _tick(self) -> None:
        self._timer = None
        self._do(self._replica.tick(time.monotonic_ns()))

    def _on_persisted(self, sequence: int) -> None:
        self._do(self._replica.on_persisted(time.monotonic_ns(), sequence))

    # Actions.

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            self._do_one(action)
        if self._led_token and not self.is_leader:
            self._led_token = 0
            self.on_resigned()
        self._log_leader()
        self._set_timer()

    def _do_one(self, action: Action) -> None:
        match action:
            case Send(to, message):
                link = self._links.get(to)
                if link is not None:
                    link.send(encode(message))
            case Persist():
                self._disk.add(action)
            case EntryCommitted(logged):
                if logged.change_set.id == f"{LEADER_ID_PREFIX}{self._replica.promised_token}":
                    self._led_token = self._replica.promised_token
                self.on_committed(logged)
            case SnapshotInstalled():
                log.info("the state of revision %d came from another server", self.committed)
                self.on_restored()
            case ProposalCommitted(change_set_id, revision):
                self._settle(change_set_id, Outcome(revision))
            case ProposalRefused(change_set_id, reason):
                self._settle(change_set_id, _refusal(reason))
            case ReplicaRegressed(replica, acknowledged, found):
                log.warning(
                    "server %d has revision %d and once had %d: an old copy of its disk; it is caught up",
                    replica, found, acknowledged,
                )  # fmt: skip

    def _settle(self, change_set_id: str, outcome: Outcome) -> None:
        future = self._proposals.pop(change_set_id, None)
        if future is not None and not future.done():
            future.set_result(outcome)

    def _set_timer(self) -> None:
        delay_s = max(TICK_S_MIN, (self._replica.wake_at_ns - time.monotonic_ns()) / 1e9)
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._tick)

    def _log_leader(self) -> None:
        leader = self._replica.leader
        if leader != self._leader_logged:
            self._leader_logged = leader
            log.info("leader: %s", "none is known" if leader is None else f"server {leader}")


def _generation(stored: StoredLog) -> int:
    """Of this process: above those of all tokens on the disk, also where the machine's clock was set back."""
    return max(time.time_ns() // 1_000_000_000, stored.lease_token // GENERATION_COUNT + 1)


def _refusal(reason: RefusalReason) -> Outcome:
    match reason:
        case NotLeader(leader):
            return Outcome(0, 503, f"this server does not lead; leader: {leader}")
        case NoMajority():
            return Outcome(
                0, 503, "no majority; not known whether it is committed: put it again with the same id"
            )
        case Conflict(resource, revision):
            return Outcome(0, 409, f"{resource}: expected_revision: revision {revision} changed it last")
        case InvalidChangeSet(why):
            return Outcome(0, 400, why)
