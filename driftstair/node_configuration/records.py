"""The records of a node's file: header, resources, what is kept of refused ones, its end, and changes since.

Resources are as received, each at least as new as the header's revision; the changes before the end make them
the state of the end's revision, as in a snapshot of a watch.

A file of another format is refused by its header, so a program never guesses at an older one's records.
"""

from __future__ import annotations

import msgspec

from driftstair.configuration.messages import Changes
from driftstair.configuration.resources import Resource

FORMAT = "driftstair.node_configuration/1"


class RecordError(Exception):
    """Records that make no state; the text says why."""


class Header(msgspec.Struct, frozen=True, tag="header"):
    """The first record of a file."""

    format: str
    revision: int


class StoredResources(msgspec.Struct, frozen=True, tag="resources"):
    """Some of the resources, in no order."""

    resources: tuple[Resource, ...]


class KeptResources(msgspec.Struct, frozen=True, tag="kept"):
    """What stays in force in place of changes that were refused."""

    resources: tuple[Resource, ...]


class SnapshotEnd(msgspec.Struct, frozen=True, tag="end"):
    """All records of the snapshot are there."""

    revision: int
    digest: str  # of the state as received


Record = Header | StoredResources | KeptResources | SnapshotEnd | Changes

_decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    return msgspec.json.encode(record)


def check_header(payload: bytes) -> None:
    """Raises RecordError for a file of another format."""
    try:
        record = decode_record(payload)
    except RecordError:
        record = None
    if not isinstance(record, Header) or record.format != FORMAT:
        found = record.format if isinstance(record, Header) else "another one"
        raise RecordError(f"its format is {found[:60]}, where {FORMAT} would do")


def decode_record(payload: bytes) -> Record:
    """Raises RecordError."""
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise RecordError(f"no record: {problem}") from None
