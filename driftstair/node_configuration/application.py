"""Applies the configuration received from a watch: in order, in short time slices, a whole state at a time.

A single task does all the work, so that two applications never overlap. A configuration that is replaced as
a whole (by a snapshot, or because the platform's configuration has changed) is built beside the one in force
and then replaces it in one step.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Generator, Iterable
from typing import TypeVar

import msgspec

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.messages import (
    Changes,
    Freshness,
    MessageError,
    SnapshotPart,
    decode_watch_message,
)
from driftstair.configuration.resources import Resource
from driftstair.configuration.state import RevisionGapError
from driftstair.net.system import System
from driftstair.node_configuration.client import ConfigurationWatch, WatchPosition
from driftstair.node_configuration.disk import StateOnDisk
from driftstair.node_configuration.effects import Effects
from driftstair.node_configuration.in_force import ConfigurationInForce, NodeContext
from driftstair.node_configuration.persistence import ConfigurationStore
from driftstair.node_configuration.reception import SnapshotCollector, check_change_set, check_order
from driftstair.node_configuration.slices import TimeSlicer
from driftstair.node_configuration.whole_configuration import PreviousConfiguration, build_steps

log = logging.getLogger(__name__)

INBOX_BYTES_MAX = 256 << 10  # of unprocessed lines; reading from the connection pauses at this size
# A control server that has not heard from a leader for longer is stale: another server may be current.
LEADER_SILENCE_MAX_MS = 10_000


Result = TypeVar("Result")


class ConfigurationApplier:
    """Receives the lines of a watch (`client.LineReceiver`). `current` is the configuration in force."""

    def __init__(
        self, system: System, context: NodeContext, effects: Effects, store: ConfigurationStore | None
    ) -> None:
        self.current = ConfigurationInForce(context)
        self.slicer = TimeSlicer(system.monotonic_ns, self._on_turn_end)
        self.disk = StateOnDisk(store, lambda: self.current)
        self.is_loaded = asyncio.Event()  # set once the state on disk is in force
        self.watch: ConfigurationWatch | None = None
        self._context = context
        self._is_validated = True  # against `_context`
        self._effects = effects
        self._inbox: deque[bytes] = deque()
        self._inbox_bytes = 0
        self._is_new_watch = True
        self._work_available = asyncio.Event()
        # Includes change sets whose application has started: a new watch continues from this revision.
        self._received_revision = 0
        self._collector: SnapshotCollector | None = None
        self._server_freshness = Freshness(0, 0)  # the last one that the watched server sent
        self._conflicting_revision: int | None = None  # at which a server has different content
        self._has_changed = False  # in this turn of the event loop

    # Input from the watch.

    def position(self) -> WatchPosition:
        """The position from which the next watch continues."""
        collector = self._collector
        base = 0 if self._conflicting_revision is not None else self._received_revision
        if collector is None:
            return WatchPosition(base, None)
        if collector.has_all_parts:
            return WatchPosition(self._received_revision, None)
        return WatchPosition(base, collector.cursor())

    def on_watch_line(self, line: bytes) -> bool:
        """Queues a line; whether the watch may deliver more now."""
        if self._is_new_watch:
            self._is_new_watch = False
            self._effects.on_watch_started()
        self._inbox.append(line)
        self._inbox_bytes += len(line)
        self._work_available.set()
        return self._inbox_bytes < INBOX_BYTES_MAX

    def on_watch_ended(self) -> None:
        """Discards the queued lines: the next watch delivers them again."""
        self._is_new_watch = True
        self._inbox.clear()
        self._inbox_bytes = 0
        self._server_freshness = Freshness(0, 0)

    def revalidate(self, context: NodeContext) -> None:
        """The platform's configuration or the service file has been replaced: validates everything again."""
        if context != self.current.context or self.current.refusals:
            self._context = context
            self._is_validated = False
            self._work_available.set()

    # The task.

    async def run(self) -> None:
        """Processes all input until the task is cancelled."""
        self.slicer.start_slice()
        while True:
            if not self._is_validated:
                await self._revalidate_received()
            elif self._inbox:
                line = self._inbox.popleft()
                self._inbox_bytes -= len(line)
                await self._process_line(line)
                await self.slicer.after_step()
            else:
                self._on_turn_end()
                if self.watch is not None:
                    self.watch.resume_reading()
                self._work_available.clear()
                await self._work_available.wait()
                self.slicer.start_slice()

    def _on_turn_end(self) -> None:
        if self._has_changed:
            self._has_changed = False
            self._effects.on_turn_end(self.current)

    async def _process_line(self, line: bytes) -> None:
        assert self.watch is not None
        try:
            message = decode_watch_message(line)
            await self.slicer.after_step()
            if isinstance(message, Changes):
                await self._on_changes(message)
            elif isinstance(message, SnapshotPart):
                await self._on_snapshot_part(message)
            else:
                self._on_freshness(message)
        except (MessageError, RevisionGapError) as error:
            self._reject_watch(f"bad line: {error}")
        except Exception:
            # Without this, the task would end: the node would keep its watch and apply nothing any more.
            log.exception("a line of the watch could not be processed")
            self._reject_watch("internal error of this node")

    def _reject_watch(self, reason: str) -> None:
        """Ends the watch; the next one delivers again what has not been applied."""
        collector = self._collector
        state = self.current.state if collector is None or not collector.has_all_parts else collector.state
        self._received_revision = state.revision
        assert self.watch is not None
        self.watch.reject(reason)

    async def _on_changes(self, changes: Changes) -> None:
        if (
            self._conflicting_revision is not None
            and self._collector is None
            and changes.base_revision == 0
        ):  # fmt: skip
            # All changes from the beginning of the log are equivalent to a snapshot.
            self._collector = SnapshotCollector(0)
            self._collector.finish()
            self._collector.complete_revision = self._conflicting_revision + 1
            self._received_revision = 0
        collector = self._collector
        if collector is not None and not collector.has_all_parts:
            collector = self._collector = None  # this server sends changes instead of the rest of a snapshot
        check_order(changes, self._received_revision)
        self._received_revision += len(changes.change_sets)
        for logged in changes.change_sets:
            entry = await self._run_steps(check_change_set(logged))
            if collector is None:
                await self._apply_change_set(entry)
            else:
                for _ in collector.state.apply_in_steps(entry):
                    await self.slicer.after_step()
            await self.slicer.after_step()
        await self._finish_collection()
        self._compare_digests()

    async def _run_steps(self, steps: Generator[None, None, Result]) -> Result:
        """Runs a generator to its end in time slices; returns its result."""
        while True:
            try:
                next(steps)
            except StopIteration as end:
                result: Result = end.value
                return result
            await self.slicer.after_step()

    async def _apply_change_set(self, logged: LoggedChangeSet) -> None:
        """Puts one change set in force, or refuses it."""
        async with self.disk.change_set_lock:
            applied = await self._run_steps(self.current.apply_steps(logged, self._effects.on_switched))
            self._has_changed = True
            self.disk.on_applied(logged, applied)
        if applied.refusal is None:
            self._effects.on_applied(applied.changed_keys)
        else:
            _log_refusals(self.current, [logged.revision])

    async def _on_snapshot_part(self, part: SnapshotPart) -> None:
        if part.first:
            self._start_collection(part)
        collector = self._collector
        if collector is None:
            raise MessageError("a part of a snapshot whose first part has not come")
        collector.check_part(part)
        if part.resources:
            collector.last_key = part.resources[-1].key
        await self.slicer.after_step()
        for resource in part.resources:
            collector.load(resource)
            await self.slicer.after_step()
        if not part.last:
            # Further parts are read from later states, which the digest of this one does not describe.
            self._server_freshness = msgspec.structs.replace(self._server_freshness, digest="")
        else:
            collector.finish()
            collector.complete_revision = max(collector.complete_revision, self._server_freshness.revision)
            self._received_revision = collector.revision
            await self._finish_collection()
            self._compare_digests()

    def _start_collection(self, part: SnapshotPart) -> None:
        """Raises MessageError for a snapshot that is older than the configuration in force."""
        least_revision = (
            self.current.revision if self._conflicting_revision is None else self._conflicting_revision + 1
        )
        if part.revision < least_revision:
            raise MessageError(
                f"a snapshot of revision {part.revision} where {least_revision} or later is wanted"
            )
        self._collector = SnapshotCollector(part.revision)

    async def _finish_collection(self) -> None:
        """Puts the collected state in force, if it is complete."""
        collector = self._collector
        if collector is None or not collector.is_complete:
            return
        self._collector = None
        state, previous = collector.state, self._previous()
        if self._conflicting_revision is not None:
            # Revisions of another log: what they deleted here is not what they delete there.
            previous = previous._replace(refused_deletions=())
        self._conflicting_revision = None
        await self._put_in_force(state.resources(), state.revision, previous)
        log.info("a whole configuration is in force: revision %d", self.current.revision)
        for _ in state.release_in_steps():
            await self.slicer.after_step()

    async def _put_in_force(
        self,
        resources: Iterable[Resource],
        revision: int,
        previous: PreviousConfiguration,
        is_on_disk: bool = False,
    ) -> None:
        """Builds a whole configuration beside the one in force, then replaces that in one step."""
        built = await self._run_steps(build_steps(resources, revision, self._context, previous))
        replaced, self.current = self.current, built
        self._has_changed = True
        self._effects.on_replaced()
        if not is_on_disk:
            self.disk.on_replaced()
        _log_refusals(built, built.refusals)
        for _ in replaced.release_steps():
            await self.slicer.after_step()

    def _previous(self) -> PreviousConfiguration:
        """What is kept of the configuration in force in place of what is refused."""
        return PreviousConfiguration(self.current.state.resource, self.current.refused_deletions())

    async def _revalidate_received(self) -> None:
        """Validates all received resources, refused ones included, against the new context."""
        self._is_validated = True
        judged = self.current
        await self._put_in_force(judged.received_resources(), judged.revision, self._previous())
        log.info("revision %d is judged anew: %d sets refused", judged.revision, len(self.current.refusals))

    # Freshness of the watched server.

    def _on_freshness(self, freshness: Freshness) -> None:
        assert self.watch is not None
        self._server_freshness = freshness
        least_revision = (
            self._received_revision if self._conflicting_revision is None else self._conflicting_revision + 1
        )
        if freshness.age_ms > LEADER_SILENCE_MAX_MS:
            self.watch.switch_server(f"has heard from no leader for {freshness.age_ms // 1000} s")
        elif freshness.revision < least_revision:
            self.watch.switch_server(f"is at revision {freshness.revision} where {least_revision} is wanted")
        else:
            self.watch.on_server_current()
            self._compare_digests()

    def _compare_digests(self) -> None:
        """Detects a server that has different content at the same revision: either the server or this node
        was restored from an old copy."""
        freshness, current = self._server_freshness, self.current
        if (
            self._collector is not None
            or self._conflicting_revision is not None
            or freshness.revision != current.revision
        ):
            return
        digest = f"{current.received_digest():016x}"
        if not freshness.digest or freshness.digest == digest or self.watch is None:
            return
        self._conflicting_revision = current.revision
        reason = (
            f"revision {current.revision} has other content there ({freshness.digest}, here {digest}): what "
            f"is in force stays, and a whole snapshot of a higher revision is taken"
        )
        if not self.watch.switch_server(reason):
            self.watch.reject(reason)

    # The disk.

    async def load(self) -> None:
        """Puts the state on disk in force."""
        loaded = await self.disk.read(self.slicer)
        if loaded is not None:
            state = loaded.complete_state()
            await self._put_in_force(state.resources(), state.revision, loaded.previous(), is_on_disk=True)
            self._received_revision = self.current.revision
            self._on_turn_end()
            log.info("revision %d is in force, from the disk", self.current.revision)
            for _ in state.release_in_steps():
                await self.slicer.after_step()
        self.disk.start(is_on_disk=loaded is not None)
        self.is_loaded.set()


def _log_refusals(in_force: ConfigurationInForce, revisions: Iterable[int]) -> None:
    for revision in revisions:
        report = in_force.refusals[revision].report()
        log.warning(
            "revision %d is refused here: %s: %s; its resources keep what they had",
            revision, report.resource, report.reason,
        )  # fmt: skip
