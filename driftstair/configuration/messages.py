"""The documents between control servers and nodes: one JSON object a line, the kind under `type`.

A watch answers with `Changes` while the log reaches back to the node's revision, else with a snapshot in
parts and then `Changes` from the snapshot's revision on. An empty line is a heartbeat.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.resources import Resource

LINE_BYTES_MAX = 512 << 10  # one change set of the greatest size and some more
PART_BYTES_MAX = 16 << 10  # contents in one part of a snapshot, unless one resource is longer


class MessageError(Exception):
    """A line that is no message; the text says what and where."""


class Changes(msgspec.Struct, frozen=True, tag="changes"):
    """The change sets after `base_revision`, in order and without gaps."""

    base_revision: int
    change_sets: tuple[LoggedChangeSet, ...]


class SnapshotPart(msgspec.Struct, frozen=True, tag="snapshot"):
    """Resources in the order of their keys. Each is at least as new as `revision`; once the last part and
    all changes after `revision` are applied, the state is that of the last change."""

    revision: int
    first: bool  # what came of another snapshot before is void
    last: bool
    resources: tuple[Resource, ...]


class Freshness(msgspec.Struct, frozen=True, tag="freshness"):
    """What the control server knows of itself: sent when it changes, and with each 15th heartbeat."""

    revision: int  # the greatest that it knows to be committed
    age_ms: int  # since it last heard from a leader with a majority; 0 while it does
    digest: str = ""  # of its state at that revision, 16 hexadecimal digits; left out: it is not told


WatchMessage = Changes | SnapshotPart | Freshness


class RefusedChange(msgspec.Struct, frozen=True):
    """A change set that a node can't apply: its resources keep the content that they had there."""

    revision: int
    resource: str  # KIND/NAME of the first resource at fault
    reason: str


class NodeReport(msgspec.Struct, frozen=True):
    """What is in force in one process of a node."""

    node: str
    generation: int  # of the process: a later one's report replaces an earlier one's
    revision: int
    digest: str  # of the state as received, 16 hexadecimal digits
    refused: tuple[RefusedChange, ...] = ()


Message = TypeVar("Message")

_watch_decoder: msgspec.json.Decoder[WatchMessage] = msgspec.json.Decoder(WatchMessage)
_report_decoder: msgspec.json.Decoder[NodeReport] = msgspec.json.Decoder(NodeReport)


def encode(message: WatchMessage | NodeReport) -> bytes:
    """One line, without its end."""
    return msgspec.json.encode(message)


def decode_watch_message(line: bytes) -> WatchMessage:
    """Raises MessageError."""
    return _decode(_watch_decoder, line)


def decode_report(document: bytes) -> NodeReport:
    """Raises MessageError."""
    return _decode(_report_decoder, document)


def _decode(decoder: msgspec.json.Decoder[Message], document: bytes) -> Message:
    if len(document) > LINE_BYTES_MAX:
        raise MessageError(f"longer than {LINE_BYTES_MAX:,} bytes")
    try:
        return decoder.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise MessageError(str(problem)) from None
