"""The records of a node's file: header, resources, resources kept in place of refused ones, end, and changes.

Resources are stored as received, each at least as new as the header's revision. Together with the changes
before the end record they make the state of the end's revision, like a snapshot of a watch.

A file of another format is rejected by its header, so a program never interprets records of an older format.
"""

from __future__ import annotations

import msgspec

from driftstair.configuration.messages import Changes
from driftstair.configuration.resources import Resource, ResourceKind

FORMAT = "driftstair.node_configuration/1"


class RecordError(Exception):
    """The records do not make a state; the message says why."""


class Header(msgspec.Struct, frozen=True, tag="header"):
    """The first record of a file."""

    format: str
    revision: int


class StoredResources(msgspec.Struct, frozen=True, tag="resources"):
    """Some of the resources, in no order."""

    resources: tuple[Resource, ...]


class StoredDeletion(msgspec.Struct, frozen=True):
    """A refused change set deletes this resource, in the log at this revision."""

    kind: ResourceKind
    name: str
    revision: int


class KeptResources(msgspec.Struct, frozen=True, omit_defaults=True, tag="kept"):
    """What stays in force in place of changes that were refused."""

    resources: tuple[Resource, ...]
    deletions: tuple[StoredDeletion, ...] = ()  # of some of them; earlier versions did not write this


class SnapshotEnd(msgspec.Struct, frozen=True, tag="end"):
    """All records of the snapshot are there."""

    revision: int
    digest: str  # of the state as received


Record = Header | StoredResources | KeptResources | SnapshotEnd | Changes

_decoder: msgspec.json.Decoder[Record] = msgspec.json.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """The payload of a record."""
    return msgspec.json.encode(record)


def check_header(payload: bytes) -> None:
    """Raises RecordError for a file of another format."""
    try:
        record = decode_record(payload)
    except RecordError:
        record = None
    if not isinstance(record, Header) or record.format != FORMAT:
        file_format = record.format if isinstance(record, Header) else "another one"
        raise RecordError(f"its format is {file_format[:60]}, where {FORMAT} would do")


def decode_record(payload: bytes) -> Record:
    """The record of a payload. Raises RecordError."""
    try:
        return _decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RecordError(f"not a valid record: {error}") from None
