"""Accounts for the bytes that connections hold in this process, and limits what is read at too many.

What is not read stays in the kernel, so that the other side waits. Bodies that are held until they are
complete have a budget of their own (`BodyBudget`). No I/O.
"""

from __future__ import annotations

from enum import Enum

READ_BYTES_MAX = 256 << 10  # in one read, while there is room
READ_BYTES_UNDER_PRESSURE = 4 << 10
PROCESS_MEMORY_BYTES = 32 << 20  # reserved for the process itself
SHARE_BYTES_MIN = 512 << 10


class BufferKind(Enum):
    """What bytes are held for; the values are their names in the counters."""

    INPUT = "input"  # read from clients, to be parsed once what is ahead of them is answered
    ANSWERS = "answers"  # not yet taken by clients that read slowly


MEMORY_SHARES = {BufferKind.INPUT: 0.1, BufferKind.ANSWERS: 0.2}
"""Of the memory that the process itself does not need."""


class BufferAccount:
    """The bytes held for all connections of a process, by kind."""

    def __init__(self, memory_bytes_max: int) -> None:
        free_bytes = max(0, memory_bytes_max - PROCESS_MEMORY_BYTES)
        self._limits = {
            kind: max(SHARE_BYTES_MIN, int(share * free_bytes)) for kind, share in MEMORY_SHARES.items()
        }
        self._bytes = dict.fromkeys(BufferKind, 0)
        self._peaks = dict.fromkeys(BufferKind, 0)
        # One buffer for all reads, as each is copied out before the next one.
        self.view = memoryview(bytearray(READ_BYTES_MAX))
        self._next_read = self.view
        self.is_under_pressure = False  # too much of any kind is held

    def change(self, kind: BufferKind, difference: int) -> None:
        """`difference` more bytes of a kind are held."""
        held_bytes = self._bytes[kind] = self._bytes[kind] + difference
        if held_bytes > self._peaks[kind]:
            self._peaks[kind] = held_bytes
        self.is_under_pressure = any(self.is_over(each) for each in BufferKind)
        self._next_read = self.view[:READ_BYTES_UNDER_PRESSURE] if self.is_under_pressure else self.view

    def is_over(self, kind: BufferKind) -> bool:
        """Whether more bytes of a kind are held than its share of the memory."""
        return self._bytes[kind] > self._limits[kind]

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next read of any connection goes: small while too much is held."""
        return self._next_read

    def read_bytes_max(self) -> int:
        """How much the next read of any connection takes at most."""
        return len(self._next_read)

    def counters(self) -> dict[str, int]:
        return {f"buffered.{kind.value}": self._bytes[kind] for kind in BufferKind} | {
            f"buffered_peak.{kind.value}": self._peaks[kind] for kind in BufferKind
        }


class HeldBytes:
    """What one connection holds of one kind."""

    __slots__ = ("_account", "_kind", "size")

    def __init__(self, account: BufferAccount, kind: BufferKind) -> None:
        self._account = account
        self._kind = kind
        self.size = 0

    def set(self, size: int) -> None:
        if size != self.size:
            self._account.change(self._kind, size - self.size)
            self.size = size
