"""What is received becomes what is in force: in order, in slices of the loop's time, a whole state at a time.

One task works through it all, so that no two applications overlap. What is replaced as a whole (a snapshot,
or all for another platform configuration) is built beside what is in force and put there at once.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Generator, Iterable
from typing import TypeVar

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
from driftstair.node_configuration.in_force import Circumstances, ConfigurationInForce, KeptContent
from driftstair.node_configuration.persistence import ConfigurationStore
from driftstair.node_configuration.reception import SnapshotCollector, check_order, checking_entry
from driftstair.node_configuration.slices import Slices

log = logging.getLogger(__name__)

INBOX_BYTES_MAX = 256 << 10  # of lines that wait: then the connection is read no further
STALE_MS = 10_000  # ms since a control server heard from a leader: another one may do better


Result = TypeVar("Result")


class Application:
    """Receives the lines of a watch (`client.LineReceiver`); `current` is in force."""

    def __init__(
        self, system: System, given: Circumstances, effects: Effects, store: ConfigurationStore | None
    ) -> None:
        self.current = ConfigurationInForce(given)
        self.slices = Slices(system.monotonic_ns, self._on_turn)
        self.disk = StateOnDisk(store, lambda: self.current)
        self.is_loaded = asyncio.Event()  # what the disk held is in force
        self.watch: ConfigurationWatch | None = None
        self._given = given
        self._is_judged = True  # by what is given now
        self._effects = effects
        self._inbox: deque[bytes] = deque()
        self._inbox_bytes = 0
        self._is_new_watch = True
        self._work = asyncio.Event()
        self._received_revision = 0  # all that was begun with included: what a new watch goes on from
        self._collector: SnapshotCollector | None = None
        self._server = Freshness(0, 0)  # what the server watched said last
        self._distrusted: int | None = None  # the revision whose content differs from a server's
        self._changed = False  # in this turn

    # What the watch brings.

    def position(self) -> WatchPosition:
        collector = self._collector
        base = 0 if self._distrusted is not None else self._received_revision
        if collector is None:
            return WatchPosition(base, None)
        if collector.has_all_parts:
            return WatchPosition(self._received_revision, None)
        return WatchPosition(base, collector.cursor())

    def on_watch_line(self, line: bytes) -> bool:
        if self._is_new_watch:
            self._is_new_watch = False
            self._effects.on_watch()
        self._inbox.append(line)
        self._inbox_bytes += len(line)
        self._work.set()
        return self._inbox_bytes < INBOX_BYTES_MAX

    def on_watch_ended(self) -> None:
        self._is_new_watch = True
        self._inbox.clear()
        self._inbox_bytes = 0
        self._server = Freshness(0, 0)

    def judge_anew(self, given: Circumstances) -> None:
        """The platform's configuration or the service file has been replaced."""
        if given != self.current.given or self.current.refusals:
            self._given = given
            self._is_judged = False
            self._work.set()

    # The task.

    async def run(self) -> None:
        """Until it is cancelled."""
        self.slices.begin()
        while True:
            if not self._is_judged:
                await self._rejudge()
            elif self._inbox:
                line = self._inbox.popleft()
                self._inbox_bytes -= len(line)
                await self._process(line)
                await self.slices.after_step()
            else:
                self._on_turn()
                if self.watch is not None:
                    self.watch.resume()
                self._work.clear()
                await self._work.wait()
                self.slices.begin()

    def _on_turn(self) -> None:
        if self._changed:
            self._changed = False
            self._effects.on_turn(self.current)

    async def _process(self, line: bytes) -> None:
        assert self.watch is not None
        try:
            message = decode_watch_message(line)
            await self.slices.after_step()
            if isinstance(message, Changes):
                await self._on_changes(message)
            elif isinstance(message, SnapshotPart):
                await self._on_part(message)
            else:
                self._on_freshness(message)
        except (MessageError, RevisionGapError) as problem:
            self._reject(f"bad line: {problem}")
        except Exception:
            # Guards against a node that watches on and applies nothing any more.
            log.exception("a line of the watch could not be worked through")
            self._reject("this node's own fault")

    def _reject(self, why: str) -> None:
        """What was not applied comes again, with another watch."""
        collector = self._collector
        state = self.current.state if collector is None or not collector.has_all_parts else collector.state
        self._received_revision = state.revision
        assert self.watch is not None
        self.watch.reject(why)

    async def _on_changes(self, changes: Changes) -> None:
        if self._distrusted is not None and self._collector is None and changes.base_revision == 0:
            self._collector = SnapshotCollector(0)  # from the log's beginning: as good as a snapshot
            self._collector.end()
            self._collector.complete_at = self._distrusted + 1
            self._received_revision = 0
        collector = self._collector
        if collector is not None and not collector.has_all_parts:
            collector = self._collector = None  # this server has the changes themselves
        check_order(changes, self._received_revision)
        self._received_revision += len(changes.change_sets)
        for logged in changes.change_sets:
            entry = await self._steps(checking_entry(logged))
            if collector is None:
                await self._apply(entry)
            else:
                for _ in collector.state.apply_in_steps(entry):
                    await self.slices.after_step()
            await self.slices.after_step()
        await self._end_collection()
        self._compare_digests()

    async def _steps(self, steps: Generator[None, None, Result]) -> Result:
        """All steps, in slices; what they return."""
        while True:
            try:
                next(steps)
            except StopIteration as end:
                result: Result = end.value
                return result
            await self.slices.after_step()

    async def _apply(self, logged: LoggedChangeSet) -> None:
        """One change set, in force or refused."""
        async with self.disk.between_sets:
            applied = await self._steps(self.current.applying(logged, self._effects.on_switched))
            self._changed = True
            self.disk.on_applied(logged, applied)
        if applied.refusal is None:
            self._effects.on_changed(applied.changed)
        else:
            _say_refused(self.current, [logged.revision])

    async def _on_part(self, part: SnapshotPart) -> None:
        if part.first:
            self._begin_collection(part)
        collector = self._collector
        if collector is None:
            raise MessageError("a part of a snapshot whose first part has not come")
        collector.check_part(part)
        if part.resources:
            collector.after = part.resources[-1].key
        await self.slices.after_step()
        for resource in part.resources:
            collector.load(resource)
            await self.slices.after_step()
        if part.last:
            collector.end()
            collector.complete_at = max(collector.complete_at, self._server.revision)
            self._received_revision = collector.revision
            await self._end_collection()
            self._compare_digests()

    def _begin_collection(self, part: SnapshotPart) -> None:
        """Raises MessageError for a snapshot that goes back."""
        least = self.current.revision if self._distrusted is None else self._distrusted + 1
        if part.revision < least:
            raise MessageError(f"a snapshot of revision {part.revision} where {least} or later is wanted")
        self._collector = SnapshotCollector(part.revision)

    async def _end_collection(self) -> None:
        collector = self._collector
        if collector is None or not collector.is_complete:
            return
        self._collector = None
        state = collector.state
        self._distrusted = None
        await self._put_in_force(state.resources(), state.revision, self.current.state.resource)
        log.info("a whole configuration is in force: revision %d", self.current.revision)
        for _ in state.release_in_steps():
            await self.slices.after_step()

    async def _put_in_force(
        self, resources: Iterable[Resource], revision: int, kept: KeptContent, is_on_disk: bool = False
    ) -> None:
        """Builds the whole beside what is in force, then puts it in its place in one step."""
        steps = ConfigurationInForce.judge(resources, revision, self._given, kept)
        before, built = self.current, await self._steps(steps)
        self.current = built
        self._changed = True
        self._effects.on_replaced()
        if not is_on_disk:
            self.disk.on_replaced()
        _say_refused(built, built.refusals)
        for _ in before.releasing():
            await self.slices.after_step()

    async def _rejudge(self) -> None:
        """All that was received, by what is given now."""
        self._is_judged = True
        before = self.current
        await self._put_in_force(before.received_resources(), before.revision, before.state.resource)
        log.info("revision %d is judged anew: %d sets refused", before.revision, len(self.current.refusals))

    # What the server watched says of itself.

    def _on_freshness(self, server: Freshness) -> None:
        assert self.watch is not None
        self._server = server
        least = self._received_revision if self._distrusted is None else self._distrusted + 1
        if server.age_ms > STALE_MS:
            self.watch.leave(f"has heard from no leader for {server.age_ms // 1000} s")
        elif server.revision < least:
            self.watch.leave(f"is at revision {server.revision} where {least} is wanted")
        else:
            self.watch.in_order()
            self._compare_digests()

    def _compare_digests(self) -> None:
        """A server with other content at one revision was restored from an old copy, or this node was."""
        server, mine = self._server, self.current
        if self._collector is not None or self._distrusted is not None or server.revision != mine.revision:
            return
        digest = f"{mine.received_digest():016x}"
        if not server.digest or server.digest == digest or self.watch is None:
            return
        self._distrusted = mine.revision
        why = (
            f"revision {mine.revision} has other content there ({server.digest}, here {digest}): what is in "
            f"force stays, and a whole snapshot of a higher revision is taken"
        )
        if not self.watch.leave(why):
            self.watch.reject(why)

    # The disk.

    async def load(self) -> None:
        """Puts in force what the disk holds."""
        loaded = await self.disk.read(self.slices)
        if loaded is not None:
            state = loaded.whole()
            await self._put_in_force(state.resources(), state.revision, loaded.kept.get, is_on_disk=True)
            self._received_revision = self.current.revision
            self._on_turn()
            log.info("revision %d is in force, from the disk", self.current.revision)
            for _ in state.release_in_steps():
                await self.slices.after_step()
        self.disk.start(is_on_disk=loaded is not None)
        self.is_loaded.set()


def _say_refused(in_force: ConfigurationInForce, revisions: Iterable[int]) -> None:
    for revision in revisions:
        report = in_force.refusals[revision].report()
        log.warning(
            "revision %d is refused here: %s: %s; its resources keep what they had",
            revision, report.resource, report.reason,
        )  # fmt: skip
