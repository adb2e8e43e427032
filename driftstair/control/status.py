"""What control servers say of themselves and of nodes: the documents, and their reading. No I/O."""

from __future__ import annotations

import msgspec

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.messages import RefusedChange

FORMAT = "driftstair control status 1"


class RevisionStatus(msgspec.Struct, frozen=True):
    """A change set that was committed lately."""

    revision: int
    change_set_id: str
    created_ms: int  # Unix time, by the clock of the server that took it
    changes: int


class NodeStatus(msgspec.Struct, frozen=True):
    """The last report of a node to one server."""

    node: str
    generation: int
    revision: int
    digest: str
    heard_ms_ago: int
    behind_ms: int  # since the first revision that it lacks was committed, as far as this server saw; 0: none
    differs: bool  # the server's state of that revision has another digest
    refused: tuple[RefusedChange, ...] = ()


class LogStatus(msgspec.Struct, frozen=True):
    """The log of one server."""

    oldest: int  # changes after this revision are in it
    committed: int
    bytes: int  # on disk, with the snapshot
    problem: str = ""  # why the disk takes nothing now


class ServerStatus(msgspec.Struct, frozen=True):
    """`GET /configuration/status`: one server as it is."""

    format: str
    server: str  # its name
    number: int
    count: int  # of all servers
    leader: int | None
    age_ms: int  # since a leader with a majority was heard; 0 while there is one
    digest: str
    resources: int
    log: LogStatus
    watches: int
    watches_ahead: int  # of nodes at a revision that this server does not know
    recent: tuple[RevisionStatus, ...]
    nodes: tuple[NodeStatus, ...]
    forgotten: int  # nodes, ever, that were not heard of for `forget_after_s`
    forget_after_s: int


class LogPage(msgspec.Struct, frozen=True):
    """`GET /configuration/log?from=N`: change sets after N, as many as fit into a page."""

    oldest: int
    committed: int
    change_sets: tuple[LoggedChangeSet, ...]


class StatusError(Exception):
    """An answer that is none of these documents."""


_status_decoder: msgspec.json.Decoder[ServerStatus] = msgspec.json.Decoder(ServerStatus)
_log_page_decoder: msgspec.json.Decoder[LogPage] = msgspec.json.Decoder(LogPage)


def decode_status(document: bytes) -> ServerStatus:
    """Raises StatusError."""
    try:
        found = _status_decoder.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise StatusError(f"gives no status: {problem}") from None
    if found.format != FORMAT:
        raise StatusError(f"gives no {FORMAT!r}, but {found.format[:40]!r}")
    return found


def decode_log_page(document: bytes) -> LogPage:
    """Raises StatusError."""
    try:
        return _log_page_decoder.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise StatusError(f"gives no page of the log: {problem}") from None
