"""The status documents of control servers, and their decoding. No I/O."""

from __future__ import annotations

import msgspec

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.messages import RefusedChange

FORMAT = "driftstair control status 1"


class RevisionStatus(msgspec.Struct, frozen=True):
    """A change set that was committed lately."""

    revision: int
    change_set_id: str
    created_ms: int  # Unix time, by the clock of the server that received it
    changes: int


class NodeStatus(msgspec.Struct, frozen=True):
    """The last report of a node to one server."""

    node: str
    generation: int
    revision: int
    digest: str
    heard_ms_ago: int
    behind_ms: int  # since this server saw the first revision committed that the node lacks; 0: lacks none
    differs: bool  # the digest differs from that of this server at the same revision
    refused: tuple[RefusedChange, ...] = ()


class LogStatus(msgspec.Struct, frozen=True):
    """The log of one server."""

    oldest: int  # the log holds the changes after this revision
    committed: int
    bytes: int  # on disk, including the snapshot
    problem: str = ""  # why writes to disk fail at present


class ServerStatus(msgspec.Struct, frozen=True):
    """`GET /configuration/status`: one server as it is."""

    format: str
    server: str  # the name of the server
    number: int
    count: int  # the number of all servers
    leader: int | None
    age_ms: int  # since the last contact with a leader that has a majority; 0 while there is one
    digest: str
    resources: int
    log: LogStatus
    watches: int
    watches_ahead: int  # of nodes at a revision that this server does not have yet
    recent: tuple[RevisionStatus, ...]
    nodes: tuple[NodeStatus, ...]
    forgotten: int  # nodes since the start that did not report for `forget_after_s`
    forget_after_s: int


class LogPage(msgspec.Struct, frozen=True):
    """`GET /configuration/log?from=N`: change sets after N, as many as fit into a page."""

    oldest: int
    committed: int
    change_sets: tuple[LoggedChangeSet, ...]


class StatusError(Exception):
    """An answer is not a valid status document; the text is the reason."""


_status_decoder: msgspec.json.Decoder[ServerStatus] = msgspec.json.Decoder(ServerStatus)
_log_page_decoder: msgspec.json.Decoder[LogPage] = msgspec.json.Decoder(LogPage)


def decode_status(document: bytes) -> ServerStatus:
    """Decodes the status of a server. Raises StatusError."""
    try:
        status = _status_decoder.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise StatusError(f"gives no status: {problem}") from None
    if status.format != FORMAT:
        raise StatusError(f"gives no {FORMAT!r}, but {status.format[:40]!r}")
    return status


def decode_log_page(document: bytes) -> LogPage:
    """Decodes a page of the log. Raises StatusError."""
    try:
        return _log_page_decoder.decode(document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise StatusError(f"gives no page of the log: {problem}") from None
