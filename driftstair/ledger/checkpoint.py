"""A checkpoint says how far a ledger was read and verified, so that the next opening reads only what follows.

    n3.checkpoint    one JSON document, replaced atomically by the process that holds the ledger's lock

A checkpoint saves reading and grants no trust: `Store` uses it only if nothing before it has changed. Earlier
segments have to have the sizes and change times (`st_ctime`, which no system call sets) that they had when it
was made, and the newest segment's lines up to it have to lead to its digest. Otherwise, and without a
checkpoint, the whole ledger is read.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from hashlib import blake2b
from pathlib import Path
from typing import NamedTuple

from driftstair.files import FileError, parse_text, read_text, replace_json
from driftstair.ledger.book import Head

FORMAT = "driftstair.checkpoint/1"
FIELD_TYPES = (int, int, str, int, str, int, bool, str)


class Checkpoint(NamedTuple):
    """A verified place in a ledger, at the end of a line."""

    segment: int  # number of the segment, from 1
    offset: int  # bytes of that segment before the place
    earlier_stamp: str  # `stamp_of` the segments before that one
    head: Head


def stamp_of(segments: Sequence[Path]) -> str:
    """Returns a digest of the segments' sizes and change times. Raises OSError."""
    digest = blake2b(digest_size=16)
    for path in segments:
        status = path.stat()
        digest.update(f"{status.st_size} {status.st_ctime_ns}\n".encode())
    return digest.hexdigest()


def write_checkpoint(path: Path, checkpoint: Checkpoint) -> None:
    """Replaces the file. Raises OSError."""
    head = checkpoint.head
    fields = [*checkpoint[:3], head.number, head.digest.hex(), head.at, head.ended, head.closed_period]
    replace_json(path, {"format": FORMAT, "sum": _checksum(fields), "checkpoint": fields})


def read_checkpoint(path: Path) -> Checkpoint | None:
    """Returns None if there is no file or it can't be used."""
    try:
        document = parse_text(read_text(str(path)), json.loads)
    except (FileError, ValueError):
        return None
    if not isinstance(document, dict) or document.get("format") != FORMAT:
        return None
    fields = document.get("checkpoint")
    if not isinstance(fields, list) or document.get("sum") != _checksum(fields):
        return None
    if tuple(type(value) for value in fields) != FIELD_TYPES:
        return None
    segment, offset, earlier_stamp, number, digest, at, ended, closed_period = fields
    head = Head(number, bytes.fromhex(digest), at, ended, closed_period)
    return Checkpoint(segment, offset, earlier_stamp, head)


def _checksum(fields: object) -> str:
    return blake2b(json.dumps(fields).encode(), digest_size=16).hexdigest()
