"""A control replica's folder: its log, promises and snapshot in one file of records, for one process."""

from __future__ import annotations

from pathlib import Path

from driftstair.control.replication.actions import Persist, StoredLog


class StorageError(Exception):
    """The folder can't be used. One line that says what would do."""


class FolderBusyError(StorageError):
    """Another process has it: it may end."""


class ReplicaStorage:
    """Opened by construction. Raises StorageError, OSError."""

    stored: StoredLog  # what the folder held when it was opened
    cut_bytes: int  # the rest of a write that was cut off then

    def __init__(self, folder: Path) -> None:
        raise NotImplementedError

    def write(self, persist: Persist) -> None:
        """Written and synced when it returns; may be called in a thread, one at a time. Raises
        RecordWriteError (`is_full`: space would do): then nothing changed, and it is tried again later."""
        raise NotImplementedError

    def close(self) -> None:
        raise NotImplementedError
