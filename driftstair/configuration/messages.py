"""The messages between control servers and nodes: one JSON object per line, with its type under `type`.

A watch is answered with `Changes` if the log reaches back to the node's revision, else with a snapshot in
parts, followed by `Changes` from the snapshot's revision on. An empty line is a heartbeat.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.resources import Resource

LINE_BYTES_MAX = 512 << 10  # room for one change set of the greatest size with its envelope
PART_BYTES_MAX = 16 << 10  # contents in one part of a snapshot, unless a single resource is longer


class MessageError(Exception):
    """A line that is not a valid message. The text says what is wrong and where."""


class Changes(msgspec.Struct, frozen=True, tag="changes"):
    """The change sets after `base_revision`, in order and without gaps."""

    base_revision: int
    change_sets: tuple[LoggedChangeSet, ...]


class SnapshotPart(msgspec.Struct, frozen=True, tag="snapshot"):
    """Resources in the order of their keys. Each is at least as new as `revision`; once the last part and
    all changes after `revision` are applied, the state is that of the last change. A `Freshness` stands
    before the last part: the state is whole at its revision, whatever was deleted since the first part."""

    revision: int
    first: bool  # parts received of an earlier snapshot are to be discarded
    last: bool
    resources: tuple[Resource, ...]


class Freshness(msgspec.Struct, frozen=True, tag="freshness"):
    """What the control server knows of itself: sent when it changes, with each 15th heartbeat, and before the
    last part of a snapshot."""

    revision: int  # the greatest revision that the server knows to be committed
    age_ms: int  # time since it last heard from a leader with a majority; 0 while it does
    digest: str = ""  # of its state at that revision, 16 hexadecimal digits; empty: not sent


WatchMessage = Changes | SnapshotPart | Freshness


class RefusedChange(msgspec.Struct, frozen=True):
    """A change set that a node can't apply: its resources keep the content that they had there."""

    revision: int
    resource: str  # KIND/NAME of the first resource at fault
    reason: str


class NodeReport(msgspec.Struct, frozen=True):
    """What is in force in one process of a node."""

    node: str
    generation: int  # of the process: a report of a later generation replaces one of an earlier generation
    revision: int
    digest: str  # of the state as received, 16 hexadecimal digits
    refused: tuple[RefusedChange, ...] = ()


Message = TypeVar("Message")

_watch_decoder: msgspec.json.Decoder[WatchMessage] = msgspec.json.Decoder(WatchMessage)
_report_decoder: msgspec.json.Decoder[NodeReport] = msgspec.json.Decoder(NodeReport)


def encode(message: WatchMessage | NodeReport) -> bytes:
    """Encodes a message as one line, without the line feed."""
    return msgspec.json.encode(message)


def decode_watch_message(line: bytes) -> WatchMessage:
    """Decodes a line of a watch. Raises MessageError."""
    return _decode(_watch_decoder, line)


def decode_report(document: bytes) -> NodeReport:
    """Decodes a node's report. Raises MessageError."""
    return _decode(_report_decoder, document)


def _decode(decoder: msgspec.json.Decoder[Message], document: bytes) -> Message:
    if len(document) > LINE_BYTES_MAX:
        raise MessageError(f"longer than {LINE_BYTES_MAX:,} bytes")
    try:
        return decoder.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(str(error)) from None
