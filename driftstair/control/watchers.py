"""The watches of a control server. They get changes as they are committed, snapshots in parts, and
heartbeats.

A watch has a position in the log instead of a queue: pending changes are read from the log when its
connection is writable. So a slow reader costs a bounded buffer. A connection that has not been writable for
`STALL_TIMEOUT_S` is closed, and its node connects again and continues from its own revision.
"""

from __future__ import annotations

import asyncio
import logging

from driftstair.configuration.messages import Freshness, encode
from driftstair.configuration.resources import NAME_BYTES_MAX, ResourceKey
from driftstair.control.http import HEARTBEAT_CHUNK, HttpError, Request, encode_chunk
from driftstair.control.http_server import HttpConnection
from driftstair.control.lines import ChangesLines, ChangeSource, SnapshotLines
from driftstair.control.token_bucket import TokenBucket

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 2.0  # between two heartbeats of a watch
HEARTBEAT_SLOTS = 20  # watches are spread over these ticks, so that not all are written to at once
HEARTBEATS_PER_FRESHNESS = 15  # every fifteenth heartbeat of a watch is a `Freshness` message
COALESCE_S = 0.05  # changes after a line are collected for this time: at most twenty lines a second
STALL_TIMEOUT_S = 10.0  # during which the connection was not writable
SNAPSHOT_BURST_BYTES = 64 << 10  # of a snapshot sent without delay: some 200 routes, which arrive at once
REVISION_MAX = (1 << 63) - 1


class Watchers:
    """All watches of one server."""

    def __init__(self, source: ChangeSource, snapshot_bytes_per_s: int) -> None:
        self.source = source
        self.snapshot_bytes_per_s = snapshot_bytes_per_s
        self.changes = ChangesLines(source)
        self.snapshots = SnapshotLines(source, snapshot_bytes_per_s)
        self._loop = asyncio.get_running_loop()
        self._slots: list[dict[Watch, None]] = [{} for _ in range(HEARTBEAT_SLOTS)]
        self._slot = 0
        self._tick_timer = self._loop.call_later(HEARTBEAT_INTERVAL_S / HEARTBEAT_SLOTS, self._tick)
        self._flush_timer: asyncio.TimerHandle | None = None
        self._flushed_s = -COALESCE_S
        self._was_fresh = True

    def __len__(self) -> int:
        return sum(map(len, self._slots))

    def count_ahead(self) -> int:
        """The number of watches of nodes at a revision that this server does not know to be committed."""
        committed = self.source.committed
        return sum(watch.position > committed for slot in self._slots for watch in slot)

    def start_watch(self, connection: HttpConnection, request: Request) -> None:
        """Starts a watch on a connection. Raises HttpError."""
        watch = Watch(self, connection, *_parse_query(request.query))
        slot = min(self._slots, key=len)
        slot[watch] = None
        connection.begin_stream()
        connection.on_closed = watch.on_connection_closed
        connection.on_writable = watch.send_pending
        connection.write(self.freshness_chunk())
        watch.send_pending()

    def remove(self, watch: Watch) -> None:
        """Removes a watch that has ended."""
        for slot in self._slots:
            slot.pop(watch, None)

    def on_committed(self) -> None:
        """New changes were committed, or the state was replaced."""
        if self._flush_timer is None:
            wait_s = self._flushed_s + COALESCE_S - self._loop.time()
            self._flush_timer = self._loop.call_later(max(0.0, wait_s), self._flush)

    def _flush(self) -> None:
        self._flush_timer = None
        self._flushed_s = self._loop.time()
        for slot in self._slots:
            for watch in list(slot):
                watch.send_pending()

    def freshness_chunk(self) -> bytes:
        """A `Freshness` message with the revision, age and digest of this server."""
        digest = f"{self.source.state.digest:016x}"
        return encode_chunk(encode(Freshness(self.source.committed, self.source.age_ms(), digest)))

    def _tick(self) -> None:
        self._tick_timer = self._loop.call_later(HEARTBEAT_INTERVAL_S / HEARTBEAT_SLOTS, self._tick)
        self._slot = (self._slot + 1) % HEARTBEAT_SLOTS
        freshness = self.freshness_chunk()
        is_fresh = self.source.age_ms() == 0
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            for slot in self._slots:
                for watch in list(slot):
                    watch.send_if_writable(freshness)
        for watch in list(self._slots[self._slot]):
            watch.send_heartbeat(freshness)

    def close(self) -> None:
        """Stops the timers and aborts the connections of all watches."""
        self._tick_timer.cancel()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        for slot in self._slots:
            for watch in list(slot):
                watch.connection.abort()


class SnapshotCursor:
    """The position of a watch within a snapshot."""

    def __init__(self, revision: int, after: ResourceKey | None) -> None:
        self.revision = revision
        self.after = after


class Watch:
    """The watch of one node. `position` is the revision up to which changes were sent."""

    def __init__(
        self, watchers: Watchers, connection: HttpConnection, node: str, position: int,
        cursor: SnapshotCursor | None,
    ) -> None:  # fmt: skip
        self.connection = connection
        self.node = node
        self.position = position
        self._watchers = watchers
        self._loop = asyncio.get_running_loop()
        is_resumable = cursor is not None and watchers.snapshots.can_resume(cursor.revision)
        self._cursor = cursor if is_resumable else None
        self._bucket = TokenBucket(watchers.snapshot_bytes_per_s, SNAPSHOT_BURST_BYTES, self._loop.time())
        self._token_timer: asyncio.TimerHandle | None = None  # until the token bucket allows a part
        self._heartbeats = 0
        self._stalled_since_s: float | None = None

    def send_pending(self) -> None:
        """Sends pending changes and snapshot parts while the connection is writable."""
        if self.connection.is_writable:
            self._stalled_since_s = None
        while self.connection.is_writable and self._token_timer is None:
            if self._cursor is not None:
                self._send_part(self._cursor)
                continue
            if self.position >= self._watchers.source.committed:
                break
            line = self._watchers.changes.line_after(self.position)
            if line is None:
                self._cursor = SnapshotCursor(self._watchers.snapshots.new_snapshot_revision(), None)
                continue
            self.connection.write(line.chunk)
            self.position = line.last_revision

    def _send_part(self, cursor: SnapshotCursor) -> None:
        now_s = self._loop.time()
        wait_s = self._bucket.wait_s(now_s)
        if wait_s > 0:
            self._token_timer = self._loop.call_later(wait_s, self._on_tokens)
            return
        part = self._watchers.snapshots.part_after(cursor.revision, cursor.after)
        if part.is_last:
            # What was deleted since the first part may be in no part: the state is whole at this revision.
            self.connection.write(self._watchers.freshness_chunk())
        self._bucket.spend(now_s, len(part.chunk))
        self.connection.write(part.chunk)
        cursor.after = part.last_key
        if part.is_last:
            self._cursor = None
            self.position = cursor.revision

    def _on_tokens(self) -> None:
        self._token_timer = None
        self.send_pending()

    def send_if_writable(self, chunk: bytes) -> None:
        """Sends a chunk; skips it if the connection is not writable."""
        if self.connection.is_writable:
            self.connection.write(chunk)

    def send_heartbeat(self, freshness: bytes) -> None:
        """Sends the heartbeat that is due every `HEARTBEAT_INTERVAL_S`, or checks a stalled connection."""
        if not self.connection.is_writable:
            self._check_stall()
            return
        self._heartbeats += 1
        self.connection.write(HEARTBEAT_CHUNK if self._heartbeats % HEARTBEATS_PER_FRESHNESS else freshness)

    def _check_stall(self) -> None:
        now_s = self._loop.time()
        self._stalled_since_s = self._stalled_since_s or now_s
        if now_s - self._stalled_since_s >= STALL_TIMEOUT_S:
            log.info(
                "%s: the watch of %s took nothing for %g s; closed",
                self.connection.peer,
                self.node,
                STALL_TIMEOUT_S,
            )
            self.connection.abort()

    def on_connection_closed(self) -> None:
        """The connection has ended."""
        if self._token_timer is not None:
            self._token_timer.cancel()
        self._watchers.remove(self)


def _parse_query(query: dict[str, str]) -> tuple[str, int, SnapshotCursor | None]:
    """The node, its revision and the snapshot to resume, if any. Raises HttpError."""
    node = query.get("node", "")
    if len(node.encode()) > NAME_BYTES_MAX or not node.isprintable():
        raise HttpError(400, f"node: wants at most {NAME_BYTES_MAX} bytes of printable text")
    position = parse_revision(query, "from")
    if "snapshot" not in query:
        return node, position, None
    revision = parse_revision(query, "snapshot")
    try:
        after = ResourceKey.parse(query["after"]) if query.get("after") else None
    except ValueError:
        raise HttpError(400, f"after: {query['after'][:80]!r} is no KIND/NAME") from None
    return node, position, SnapshotCursor(revision, after)


def parse_revision(query: dict[str, str], name: str) -> int:
    """Parses a revision in a query; 0 if it is missing. Raises HttpError."""
    text = query.get(name, "0")
    if not (text.isascii() and text.isdigit() and len(text) <= 19 and int(text) <= REVISION_MAX):
        raise HttpError(400, f"{name}: {text[:40]!r} is no revision; a whole number would do")
    return int(text)
