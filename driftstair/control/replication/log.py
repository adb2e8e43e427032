"""The entries that a replica keeps in memory: a suffix of the whole log."""

from __future__ import annotations

from dataclasses import dataclass, field

from driftstair.control.replication.messages import LogEntry, LogPosition


class CompactedError(Exception):
    """The requested entries have been compacted away; a snapshot is needed instead."""

    def __init__(self, after_revision: int, base_revision: int) -> None:
        super().__init__(
            f"entries after {after_revision} were asked for, the log begins after {base_revision}"
        )


@dataclass(slots=True)
class EntryLog:
    """A log whose first entry follows the position `base`."""

    base: LogPosition
    entries: list[LogEntry] = field(default_factory=list)

    @property
    def last_position(self) -> LogPosition:
        """The position of the last entry, or `base` if there is none."""
        return self.entries[-1].position if self.entries else self.base

    def position_at(self, revision: int) -> LogPosition | None:
        """The position of an entry; None if the log does not hold it, or no longer does."""
        index = revision - self.base.revision - 1
        if index == -1:
            return self.base
        return self.entries[index].position if 0 <= index < len(self.entries) else None

    def entries_after(self, revision: int, limit: int) -> list[LogEntry]:
        """At most `limit` entries after a revision. Raises CompactedError."""
        start_index = revision - self.base.revision
        if start_index < 0:
            raise CompactedError(revision, self.base.revision)
        return self.entries[start_index : start_index + limit]

    def append(self, entry: LogEntry) -> None:
        """Adds an entry that follows the last one."""
        self.entries.append(entry)

    def truncate_after(self, revision: int) -> None:
        """Drops all entries after a revision."""
        del self.entries[revision - self.base.revision :]

    def compact_to(self, position: LogPosition) -> None:
        """Drops all entries up to a position.

        If the log does not hold that position, all entries are dropped and the log begins there.
        """
        if self.position_at(position.revision) == position:
            del self.entries[: position.revision - self.base.revision]
        else:
            self.entries.clear()
        self.base = position
