"""One view of what all control servers say: who is where, who lags. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from driftstair.control.status import NodeStatus, RevisionStatus, ServerStatus

RECENT_MAX = 10  # revisions in a view


class ServerView(msgspec.Struct, frozen=True):
    """One server, or why it can't be asked."""

    address: str
    problem: str = ""
    server: str = ""
    number: int = -1
    is_leader: bool = False
    committed: int = 0
    oldest: int = 0
    log_bytes: int = 0
    age_ms: int = 0
    disk: str = ""
    watches: int = 0
    forgotten: int = 0


class RevisionView(msgspec.Struct, frozen=True):
    """In how many nodes a revision is in force; `refused` of them hold it without its own changes."""

    revision: int
    change_set_id: str
    created_ms: int
    changes: int
    in_force: int
    refused: int


class StatusView(msgspec.Struct, frozen=True):
    """What `driftstair control status` shows."""

    leader: str | None  # the address of whoever most servers take for it
    committed: int
    nodes: int
    servers: tuple[ServerView, ...]
    revisions: tuple[RevisionView, ...]  # the latest first
    lagging: tuple[NodeStatus, ...]  # the one behind for longest first
    refusing: tuple[NodeStatus, ...]  # nodes with refused sets
    differing: tuple[NodeStatus, ...]  # same revision as a server, another content
    forget_after_s: int


Answer = tuple[str, ServerStatus | str]  # an address, and its status or why there is none


def merge(answers: Sequence[Answer]) -> StatusView:
    """The latest that any server knows: of nodes by generation and then by the time of the report."""
    known = [(address, status) for address, status in answers if isinstance(status, ServerStatus)]
    committed = max((status.log.committed for _, status in known), default=0)
    nodes = _latest_reports([status for _, status in known])
    behind = [node for node in nodes if node.revision < committed]
    revisions = {one.revision: one for _, status in known for one in status.recent}
    recent = sorted(revisions.values(), key=lambda one: -one.revision)[:RECENT_MAX]
    return StatusView(
        leader=_leader(known),
        committed=committed,
        nodes=len(nodes),
        servers=tuple(_server_view(address, status) for address, status in answers),
        revisions=tuple(_revision_view(one, nodes) for one in recent),
        lagging=tuple(sorted(behind, key=lambda node: (-node.behind_ms, node.node))),
        refusing=tuple(node for node in nodes if node.refused),
        differing=tuple(node for node in nodes if node.differs),
        forget_after_s=max((status.forget_after_s for _, status in known), default=0),
    )


def _latest_reports(statuses: Sequence[ServerStatus]) -> list[NodeStatus]:
    latest: dict[str, NodeStatus] = {}
    for status in statuses:
        for node in status.nodes:
            known = latest.get(node.node)
            if known is None or _rank(node) > _rank(known):
                latest[node.node] = node
    return [latest[name] for name in sorted(latest)]


def _rank(node: NodeStatus) -> tuple[int, int]:
    return node.generation, -node.heard_ms_ago


def _leader(known: Sequence[tuple[str, ServerStatus]]) -> str | None:
    """As most servers that hear one say; its address, or its number where it was not asked."""
    votes = [status.leader for _, status in known if status.leader is not None and not status.age_ms]
    if not votes:
        return None
    number = max(sorted(set(votes)), key=votes.count)
    return next((address for address, status in known if status.number == number), f"server {number}")


def _server_view(address: str, status: ServerStatus | str) -> ServerView:
    if isinstance(status, str):
        return ServerView(address, status)
    return ServerView(
        address=address,
        server=status.server,
        number=status.number,
        is_leader=status.leader == status.number,
        committed=status.log.committed,
        oldest=status.log.oldest,
        log_bytes=status.log.bytes,
        age_ms=status.age_ms,
        disk=status.log.problem,
        watches=status.watches,
        forgotten=status.forgotten,
    )


def _revision_view(one: RevisionStatus, nodes: Sequence[NodeStatus]) -> RevisionView:
    reached = [node for node in nodes if node.revision >= one.revision]
    refused = sum(any(set_.revision == one.revision for set_ in node.refused) for node in reached)
    return RevisionView(
        one.revision, one.change_set_id, one.created_ms, one.changes, len(reached) - refused, refused
    )
