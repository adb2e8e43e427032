"""The lines of watches, each encoded once for all watches that stand at the same place.

Lines are chunks of an HTTP answer already. No clock, no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, NamedTuple, Protocol, TypeVar

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.messages import PART_BYTES_MAX, Changes, SnapshotPart, encode
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.configuration.state import ConfigurationState
from driftstair.control.http import encode_chunk

LINE_BYTES = 64 << 10  # of change sets in one line, unless one set is longer
LINE_ENTRIES_MAX = 1_000
CHANGES_CACHE_BYTES = 16 << 20
PARTS_CACHE_BYTES = 64 << 20  # a whole snapshot of 21,000 routes and 220,000 tenants takes some 30 MB
SHARED_SNAPSHOT_LAG = 200  # revisions that a new snapshot may begin behind the last one, to share its parts
OVERHEAD_BYTES = 64  # of a change or a set in a line, beyond names and contents; an estimate


class ChangeSource(Protocol):
    """What a watch is served from."""

    @property
    def committed(self) -> int:
        """The greatest revision that is known to be committed; the state is that of this one."""

    @property
    def oldest(self) -> int:
        """Changes after this revision are in the log."""

    @property
    def state(self) -> ConfigurationState: ...

    def entries(self, after: int, most: int) -> list[LoggedChangeSet]:
        """Committed ones, in order; `after` is `oldest` at least."""

    def age_ms(self) -> int:
        """How long ago a leader with a majority was heard; 0 while there is one."""


Key = TypeVar("Key")
Line = TypeVar("Line", "ChangesLine", "PartLine")


class ChangesLine(NamedTuple):
    chunk: bytes
    last_revision: int
    is_full: bool  # another one begins behind it, however many more there are


class PartLine(NamedTuple):
    chunk: bytes
    last_key: ResourceKey | None  # None: no resource was left
    is_last: bool


class _LineCache(Generic[Key, Line]):
    """The lines that were used last, up to so many bytes."""

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
        old = self._lines.pop(key, None)
        self._bytes += len(line.chunk) - (0 if old is None else len(old.chunk))
        self._lines[key] = line
        while self._bytes > self._bytes_max and len(self._lines) > 1:
            _, dropped = self._lines.popitem(last=False)
            self._bytes -= len(dropped.chunk)


class ChangesLines:
    """`Changes` from the log."""

    def __init__(self, source: ChangeSource) -> None:
        self._source = source
        self._cache: _LineCache[int, ChangesLine] = _LineCache(CHANGES_CACHE_BYTES)
        self.encoded = 0  # lines, ever

    def after(self, revision: int) -> ChangesLine | None:
        """The line behind a revision; None if the log does not reach back to it or nothing is behind it."""
        committed = self._source.committed
        if not self._source.oldest <= revision < committed:
            return None
        line = self._cache.get(revision)
        if line is None or not (line.is_full or line.last_revision == committed):
            line = self._encode(revision)
            self._cache.put(revision, line)
        return line

    def _encode(self, revision: int) -> ChangesLine:
        found = self._source.entries(revision, LINE_ENTRIES_MAX)
        size, count = 0, 0
        for entry in found:
            size += _estimated_bytes(entry.change_set)
            if count and size > LINE_BYTES:
                break
            count += 1
        chosen = found[:count]
        self.encoded += 1
        is_full = count < len(found) or count == LINE_ENTRIES_MAX
        chunk = encode_chunk(encode(Changes(revision, tuple(chosen))))
        return ChangesLine(chunk, chosen[-1].revision, is_full)


def _estimated_bytes(change_set: ChangeSet) -> int:
    changes = sum(OVERHEAD_BYTES + len(one.name) + len(bytes(one.content)) for one in change_set.changes)
    return OVERHEAD_BYTES + len(change_set.id) + changes


class SnapshotLines:
    """`SnapshotPart`s of the state as it is: a part of an older one holds for watches that began later, as
    long as they began at the same revision."""

    def __init__(self, source: ChangeSource, part_bytes: int) -> None:
        self._source = source
        self._part_bytes = min(part_bytes, PART_BYTES_MAX)
        self._cache: _LineCache[tuple[int, ResourceKey | None], PartLine] = _LineCache(PARTS_CACHE_BYTES)
        self._shared_revision = 0
        self.encoded = 0  # parts, ever

    def new_revision(self) -> int:
        """The revision of a snapshot that begins now: an earlier one's, while the log goes on from there."""
        committed = self._source.committed
        oldest = max(self._source.oldest, committed - SHARED_SNAPSHOT_LAG)
        if not 0 < oldest <= self._shared_revision <= committed:
            self._shared_revision = committed
        return self._shared_revision

    def can_resume(self, revision: int) -> bool:
        """Whether the rest of a snapshot of that revision can come from here."""
        return self._source.oldest <= revision <= self._source.committed

    def part(self, revision: int, after: ResourceKey | None) -> PartLine:
        """The part behind a key; None: the first one."""
        line = self._cache.get((revision, after))
        if line is None:
            line = self._encode(revision, after)
            self._cache.put((revision, after), line)
        return line

    def _encode(self, revision: int, after: ResourceKey | None) -> PartLine:
        chosen: list[Resource] = []
        size, is_last = 0, True
        for resource in self._source.state.resources(after):
            size += OVERHEAD_BYTES + len(resource.name) + len(bytes(resource.content))
            if chosen and size > self._part_bytes:
                is_last = False
                break
            chosen.append(resource)
        self.encoded += 1
        part = SnapshotPart(revision, after is None, is_last, tuple(chosen))
        return PartLine(encode_chunk(encode(part)), chosen[-1].key if chosen else None, is_last)
