"""The entries that a replica keeps: a suffix of the whole log, in memory."""

from __future__ import annotations

from dataclasses import dataclass, field

from driftstair.control.replication.messages import LogEntry, LogPosition


class CompactedError(Exception):
    """The log begins behind what was asked for: a snapshot would do."""

    def __init__(self, after: int, base: int) -> None:
        super().__init__(f"entries after {after} were asked for, the log begins after {base}")


@dataclass(slots=True)
class EntryLog:
    """`base`: position of the entry before the first."""

    base: LogPosition
    entries: list[LogEntry] = field(default_factory=list)

    @property
    def last(self) -> LogPosition:
        return self.entries[-1].position if self.entries else self.base

    def position_at(self, revision: int) -> LogPosition | None:
        """None: not in this log, or not any more."""
        index = revision - self.base.revision - 1
        if index == -1:
            return self.base
        return self.entries[index].position if 0 <= index < len(self.entries) else None

    def after(self, revision: int, most: int) -> list[LogEntry]:
        """At most so many entries after a revision. Raises CompactedError."""
        start = revision - self.base.revision
        if start < 0:
            raise CompactedError(revision, self.base.revision)
        return self.entries[start : start + most]

    def append(self, entry: LogEntry) -> None:
        self.entries.append(entry)

    def cut_after(self, revision: int) -> None:
        """Drops what stands after a revision."""
        del self.entries[revision - self.base.revision :]

    def compact_to(self, position: LogPosition) -> None:
        """Drops what stands up to a position, which is in this log or ends it."""
        if self.position_at(position.revision) == position:
            del self.entries[: position.revision - self.base.revision]
        else:
            self.entries.clear()
        self.base = position
