"""The lines that watches receive, encoded once for all watches at the same position.

A line is stored as a chunk of an HTTP response. No clock, no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, NamedTuple, Protocol, TypeVar

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.messages import PART_BYTES_MAX, Changes, SnapshotPart, encode
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.configuration.state import ConfigurationState
from driftstair.control.http import encode_chunk

LINE_BYTES_TARGET = 64 << 10  # of change sets in one line; exceeded only by a single longer set
LINE_ENTRIES_MAX = 1_000
CHANGES_CACHE_BYTES = 16 << 20
PARTS_CACHE_BYTES = 64 << 20  # a whole snapshot of 21,000 routes and 220,000 tenants takes some 30 MB
SHARED_SNAPSHOT_LAG_REVISIONS = 200  # how old the revision of a new snapshot may be, to share cached parts
ENCODING_OVERHEAD_BYTES = 64  # estimate for a change or a set, besides names and contents


class ChangeSource(Protocol):
    """The committed log and the state that watches are served from."""

    @property
    def committed(self) -> int:
        """The last revision known to be committed, which is that of `state`."""

    @property
    def oldest(self) -> int:
        """The log holds the changes after this revision."""

    @property
    def state(self) -> ConfigurationState:
        """The state at revision `committed`."""
        ...

    def entries(self, after: int, count_max: int) -> list[LoggedChangeSet]:
        """Up to `count_max` committed change sets after a revision, in order. `after` is at least
        `oldest`."""

    def age_ms(self) -> int:
        """The time since the last contact with a leader that has a majority; 0 while there is one."""


Key = TypeVar("Key")
Line = TypeVar("Line", "ChangesLine", "PartLine")


class ChangesLine(NamedTuple):
    """A line of change sets."""

    chunk: bytes
    last_revision: int
    is_full: bool  # later change sets go into another line


class PartLine(NamedTuple):
    """A line with a part of a snapshot."""

    chunk: bytes
    last_key: ResourceKey | None  # None: the part is empty
    is_last: bool


class _LineCache(Generic[Key, Line]):
    """An LRU cache of lines, limited in bytes."""

    def __init__(self, bytes_max: int) -> None:
        self._bytes_max = bytes_max
        self._bytes = 0
        self._lines: OrderedDict[Key, Line] = OrderedDict()

    def get(self, key: Key) -> Line | None:
        line = self._lines.get(key)
        if line is not None:
            self._lines.move_to_end(key)
        return line

    def put(self, key: Key, line: Line) -> None:
        replaced = self._lines.pop(key, None)
        self._bytes += len(line.chunk) - (0 if replaced is None else len(replaced.chunk))
        self._lines[key] = line
        while self._bytes > self._bytes_max and len(self._lines) > 1:
            _, evicted = self._lines.popitem(last=False)
            self._bytes -= len(evicted.chunk)


class ChangesLines:
    """Encodes `Changes` messages from the log."""

    def __init__(self, source: ChangeSource) -> None:
        self._source = source
        self._cache: _LineCache[int, ChangesLine] = _LineCache(CHANGES_CACHE_BYTES)
        self.encoded_count = 0  # lines since the start

    def line_after(self, revision: int) -> ChangesLine | None:
        """The line that begins after a revision; None if the log no longer holds the changes after it, or
        if there are none."""
        committed = self._source.committed
        if not self._source.oldest <= revision < committed:
            return None
        line = self._cache.get(revision)
        if line is None or not (line.is_full or line.last_revision == committed):
            line = self._encode(revision)
            self._cache.put(revision, line)
        return line

    def _encode(self, revision: int) -> ChangesLine:
        entries = self._source.entries(revision, LINE_ENTRIES_MAX)
        size, count = 0, 0
        for entry in entries:
            size += _estimated_bytes(entry.change_set)
            if count and size > LINE_BYTES_TARGET:
                break
            count += 1
        included = entries[:count]
        self.encoded_count += 1
        is_full = count < len(entries) or count == LINE_ENTRIES_MAX
        chunk = encode_chunk(encode(Changes(revision, tuple(included))))
        return ChangesLine(chunk, included[-1].revision, is_full)


def _estimated_bytes(change_set: ChangeSet) -> int:
    changes = sum(
        ENCODING_OVERHEAD_BYTES + len(change.name) + len(bytes(change.content))
        for change in change_set.changes
    )
    return ENCODING_OVERHEAD_BYTES + len(change_set.id) + changes


class SnapshotLines:
    """Encodes `SnapshotPart` messages from the current state. Snapshots of the same revision share cached
    parts. A part may contain later changes, which the log repeats after the snapshot."""

    def __init__(self, source: ChangeSource, part_bytes: int) -> None:
        self._source = source
        self._part_bytes = min(part_bytes, PART_BYTES_MAX)
        self._cache: _LineCache[tuple[int, ResourceKey | None], PartLine] = _LineCache(PARTS_CACHE_BYTES)
        self._shared_revision = 0
        self.encoded_count = 0  # parts since the start

    def new_snapshot_revision(self) -> int:
        """The revision of a snapshot that begins now: that of an earlier snapshot, as long as it is recent
        and the log holds the changes after it."""
        committed = self._source.committed
        oldest = max(self._source.oldest, committed - SHARED_SNAPSHOT_LAG_REVISIONS)
        if not 0 < oldest <= self._shared_revision <= committed:
            self._shared_revision = committed
        return self._shared_revision

    def can_resume(self, revision: int) -> bool:
        """Whether this server can send the rest of a snapshot of that revision."""
        return self._source.oldest <= revision <= self._source.committed

    def part_after(self, revision: int, after: ResourceKey | None) -> PartLine:
        """The part that begins after a key; None: the first part."""
        line = self._cache.get((revision, after))
        if line is None:
            line = self._encode(revision, after)
            self._cache.put((revision, after), line)
        return line

    def _encode(self, revision: int, after: ResourceKey | None) -> PartLine:
        included: list[Resource] = []
        size, is_last = 0, True
        for resource in self._source.state.resources(after):
            size += ENCODING_OVERHEAD_BYTES + len(resource.name) + len(bytes(resource.content))
            if included and size > self._part_bytes:
                is_last = False
                break
            included.append(resource)
        self.encoded_count += 1
        message = SnapshotPart(revision, after is None, is_last, tuple(included))
        return PartLine(encode_chunk(encode(message)), included[-1].key if included else None, is_last)
