"""Durable storage for the highest token that this node may have promised as a voter.

Two slots of fixed size are written in turn, each with its write number and a checksum, and each write is
synced before the voter promises anything by it. A torn write damages one slot, and the other still has what
was promised before. The alternatives are a file that is replaced as a whole, which costs a second sync for
its folder, and a log, which has to be truncated.
"""

from __future__ import annotations

import os
import struct
from hashlib import blake2b
from pathlib import Path

MAGIC = b"dst1"
FIELDS = struct.Struct(">4sQQ")  # magic, number of the write, token
CHECKSUM_BYTES = 12
SLOT_BYTES = 512  # a sector, so that no write touches the other slot's
RECORD_BYTES = FIELDS.size + CHECKSUM_BYTES


class TokenFileError(Exception):
    """The file has data but no readable token; the text says why."""


def _encode_slot(write_number: int, token: int) -> bytes:
    body = FIELDS.pack(MAGIC, write_number, token)
    return body + blake2b(body, digest_size=CHECKSUM_BYTES).digest()


def _decode_slot(data: bytes) -> tuple[int, int] | None:
    """The write number and the token; None if the slot is empty or damaged."""
    body, checksum = data[: FIELDS.size], data[FIELDS.size : RECORD_BYTES]
    if len(data) < RECORD_BYTES or blake2b(body, digest_size=CHECKSUM_BYTES).digest() != checksum:
        return None
    magic, write_number, token = FIELDS.unpack(body)
    return (write_number, token) if magic == MAGIC else None


class TokenFile:
    """The token file of one node. Opening it raises TokenFileError and OSError."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._write_number = 0
        self.token = 0
        try:
            data = path.read_bytes()[: 2 * SLOT_BYTES]
        except FileNotFoundError:
            return
        slots = [
            slot
            for slot in (_decode_slot(data[:SLOT_BYTES]), _decode_slot(data[SLOT_BYTES:]))
            if slot is not None
        ]
        if not slots:
            if data.strip(b"\0"):
                raise TokenFileError("neither of its two slots holds a valid record")
            return
        self._write_number = max(slots)[0]
        self.token = max(token for _, token in slots)

    def write(self, token: int) -> None:
        """Writes the token, which is on disk when this returns. Raises OSError; the previous token is then
        still stored."""
        write_number = self._write_number + 1
        is_new = not self._path.exists()
        descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            data, offset = _encode_slot(write_number, token), SLOT_BYTES * (write_number % 2)
            while data:
                written = os.pwrite(descriptor, data, offset)
                data, offset = data[written:], offset + written
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        if is_new:
            folder = os.open(self._path.parent, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        self._write_number, self.token = write_number, token
