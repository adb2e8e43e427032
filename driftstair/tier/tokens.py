"""The greatest token that this node as a voter may have promised, on a disk that lasts.

Two slots of fixed size are written in turn, each with its number and a checksum, and synced before anything
is promised by them: a torn write spoils one slot, and the other has what was promised before. Weighed: a file
replaced as a whole, which costs a second sync for its folder; a log, which has to be cut short.
"""

from __future__ import annotations

import os
import struct
from hashlib import blake2b
from pathlib import Path

MAGIC = b"dst1"
FIELDS = struct.Struct(">4sQQ")  # what it is, the number of the write, the token
SUM = 12  # bytes
SLOT = 512  # bytes: a sector, so that no write touches the other slot's
SIZE = FIELDS.size + SUM


class TokensError(Exception):
    """A file that tells nothing, though something was written there; the text says why."""


def _slot(count: int, token: int) -> bytes:
    body = FIELDS.pack(MAGIC, count, token)
    return body + blake2b(body, digest_size=SUM).digest()


def _read_slot(data: bytes) -> tuple[int, int] | None:
    body, sum_ = data[: FIELDS.size], data[FIELDS.size : SIZE]
    if len(data) < SIZE or blake2b(body, digest_size=SUM).digest() != sum_:
        return None
    magic, count, token = FIELDS.unpack(body)
    return (count, token) if magic == MAGIC else None


class TokenFile:
    """Of one node. Times don't come into it. Raises TokensError, OSError."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._count = 0
        self.token = 0
        try:
            data = path.read_bytes()[: 2 * SLOT]
        except FileNotFoundError:
            return
        found = [one for one in (_read_slot(data[:SLOT]), _read_slot(data[SLOT:])) if one is not None]
        if not found:
            if data.strip(b"\0"):
                raise TokensError("neither of its two slots is whole")
            return
        self._count = max(found)[0]
        self.token = max(token for _, token in found)

    def keep(self, token: int) -> None:
        """On the disk when it returns. Raises OSError; then what was there is there still."""
        count = self._count + 1
        new = not self._path.exists()
        file = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            data, at = _slot(count, token), SLOT * (count % 2)
            while data:
                written = os.pwrite(file, data, at)
                data, at = data[written:], at + written
            os.fsync(file)
        finally:
            os.close(file)
        if new:
            folder = os.open(self._path.parent, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        self._count, self.token = count, token
