"""The watches that a control server serves: changes as they are committed, snapshots in parts, heartbeats.

A watch has a place in the log and no queue: what it has not been sent is read from the log once its
connection takes more. So a slow one costs a bounded buffer, and one that takes nothing for `STALL_S` is
closed; its node comes again from its own revision.
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

HEARTBEAT_S = 2.0  # s between two heartbeats of a watch
HEARTBEAT_SLOTS = 20  # watches are spread over so many turns, that not all are written to at once
FRESHNESS_EVERY = 15  # heartbeats
COALESCE_S = 0.05  # s that changes are gathered for after a line: twenty lines a second at most
STALL_S = 10.0  # s without room in a connection's buffer
SNAPSHOT_BURST_BYTES = 64 << 10  # of a snapshot at once: some 200 routes, which so are there at once
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
        self._ticking = self._loop.call_later(HEARTBEAT_S / HEARTBEAT_SLOTS, self._tick)
        self._flushing: asyncio.TimerHandle | None = None
        self._flushed_at = -COALESCE_S
        self._was_fresh = True

    def __len__(self) -> int:
        return sum(map(len, self._slots))

    def count_ahead(self) -> int:
        """Watches of nodes that are at a revision which this server does not know to be committed."""
        committed = self.source.committed
        return sum(watch.position > committed for slot in self._slots for watch in slot)

    def begin(self, connection: HttpConnection, request: Request) -> None:
        """Makes a connection a watch. Raises HttpError."""
        watch = Watch(self, connection, *_read_query(request.query))
        slot = min(self._slots, key=len)
        slot[watch] = None
        connection.begin_stream()
        connection.on_end = watch.end
        connection.on_writable = watch.pump
        connection.write(self.freshness_chunk())
        watch.pump()

    def remove(self, watch: Watch) -> None:
        for slot in self._slots:
            slot.pop(watch, None)

    def on_committed(self) -> None:
        """There are more changes, or another state."""
        if self._flushing is None:
            wait = self._flushed_at + COALESCE_S - self._loop.time()
            self._flushing = self._loop.call_later(max(0.0, wait), self._flush)

    def _flush(self) -> None:
        self._flushing = None
        self._flushed_at = self._loop.time()
        for slot in self._slots:
            for watch in list(slot):
                watch.pump()

    def freshness_chunk(self) -> bytes:
        """What this server knows of itself."""
        digest = f"{self.source.state.digest:016x}"
        return encode_chunk(encode(Freshness(self.source.committed, self.source.age_ms(), digest)))

    def _tick(self) -> None:
        self._ticking = self._loop.call_later(HEARTBEAT_S / HEARTBEAT_SLOTS, self._tick)
        self._slot = (self._slot + 1) % HEARTBEAT_SLOTS
        freshness = self.freshness_chunk()
        is_fresh = self.source.age_ms() == 0
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            for slot in self._slots:
                for watch in list(slot):
                    watch.tell(freshness)
        for watch in list(self._slots[self._slot]):
            watch.stay_alive(freshness)

    def close(self) -> None:
        self._ticking.cancel()
        if self._flushing is not None:
            self._flushing.cancel()
        for slot in self._slots:
            for watch in list(slot):
                watch.connection.abort()


class SnapshotCursor:
    """How far a watch is in a snapshot."""

    def __init__(self, revision: int, after: ResourceKey | None) -> None:
        self.revision = revision
        self.after = after


class Watch:
    """One node's watch. `position`: the revision up to which changes were sent."""

    def __init__(
        self, owner: Watchers, connection: HttpConnection, node: str, position: int,
        cursor: SnapshotCursor | None,
    ) -> None:  # fmt: skip
        self.connection = connection
        self.node = node
        self.position = position
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        resumed = cursor is not None and owner.snapshots.can_resume(cursor.revision)
        self._cursor = cursor if resumed else None
        self._bucket = TokenBucket(owner.snapshot_bytes_per_s, SNAPSHOT_BURST_BYTES, self._loop.time())
        self._waiting: asyncio.TimerHandle | None = None  # for tokens
        self._heartbeats = 0
        self._stalled_since: float | None = None

    def pump(self) -> None:
        """Writes what there is, as long as the connection takes it."""
        if self.connection.is_writable:
            self._stalled_since = None
        while self.connection.is_writable and self._waiting is None:
            if self._cursor is not None:
                self._send_part(self._cursor)
                continue
            if self.position >= self._owner.source.committed:
                break
            line = self._owner.changes.after(self.position)
            if line is None:
                self._cursor = SnapshotCursor(self._owner.snapshots.new_revision(), None)
                continue
            self.connection.write(line.chunk)
            self.position = line.last_revision

    def _send_part(self, cursor: SnapshotCursor) -> None:
        now_s = self._loop.time()
        wait_s = self._bucket.wait_s(now_s)
        if wait_s > 0:
            self._waiting = self._loop.call_later(wait_s, self._on_tokens)
            return
        part = self._owner.snapshots.part(cursor.revision, cursor.after)
        self._bucket.spend(now_s, len(part.chunk))
        self.connection.write(part.chunk)
        cursor.after = part.last_key
        if part.is_last:
            self._cursor = None
            self.position = cursor.revision

    def _on_tokens(self) -> None:
        self._waiting = None
        self.pump()

    def tell(self, chunk: bytes) -> None:
        if self.connection.is_writable:
            self.connection.write(chunk)

    def stay_alive(self, freshness: bytes) -> None:
        """The watch's turn in `HEARTBEAT_S`."""
        if not self.connection.is_writable:
            self._check_stall()
            return
        self._heartbeats += 1
        self.connection.write(HEARTBEAT_CHUNK if self._heartbeats % FRESHNESS_EVERY else freshness)

    def _check_stall(self) -> None:
        now_s = self._loop.time()
        self._stalled_since = self._stalled_since or now_s
        if now_s - self._stalled_since >= STALL_S:
            log.info(
                "%s: the watch of %s took nothing for %g s; closed", self.connection.peer, self.node, STALL_S
            )
            self.connection.abort()

    def end(self) -> None:
        """The connection is gone."""
        if self._waiting is not None:
            self._waiting.cancel()
        self._owner.remove(self)


def _read_query(query: dict[str, str]) -> tuple[str, int, SnapshotCursor | None]:
    """Node, revision and the snapshot to go on with. Raises HttpError."""
    node = query.get("node", "")
    if len(node.encode()) > NAME_BYTES_MAX or not node.isprintable():
        raise HttpError(400, f"node: wants at most {NAME_BYTES_MAX} bytes of printable text")
    position = read_revision(query, "from")
    if "snapshot" not in query:
        return node, position, None
    revision = read_revision(query, "snapshot")
    try:
        after = ResourceKey.parse(query["after"]) if query.get("after") else None
    except ValueError:
        raise HttpError(400, f"after: {query['after'][:80]!r} is no KIND/NAME") from None
    return node, position, SnapshotCursor(revision, after)


def read_revision(query: dict[str, str], name: str) -> int:
    """A revision out of a query; 0 if it is left out. Raises HttpError."""
    text = query.get(name, "0")
    if not (text.isascii() and text.isdigit() and len(text) <= 19 and int(text) <= REVISION_MAX):
        raise HttpError(400, f"{name}: {text[:40]!r} is no revision; a whole number would do")
    return int(text)
