"""Merges the statuses of all control servers into one view. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from driftstair.control.status import NodeStatus, RevisionStatus, ServerStatus

RECENT_REVISIONS_MAX = 10  # shown in a view


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

    leader: str | None  # the address of the server that most servers name as leader
    committed: int
    nodes: int
    servers: tuple[ServerView, ...]
    revisions: tuple[RevisionView, ...]  # newest first
    lagging: tuple[NodeStatus, ...]  # longest lag first
    refusing: tuple[NodeStatus, ...]  # nodes that refused change sets
    differing: tuple[NodeStatus, ...]  # at the same revision as a server, with different content
    forget_after_s: int


ServerAnswer = tuple[str, ServerStatus | str]  # address, and status or the reason why there is none


def merge(answers: Sequence[ServerAnswer]) -> StatusView:
    """Merges the latest data of all servers. The report of a node with the greatest generation counts, and of
    those the most recent one."""
    answered = [(address, status) for address, status in answers if isinstance(status, ServerStatus)]
    committed = max((status.log.committed for _, status in answered), default=0)
    nodes = _latest_reports([status for _, status in answered])
    lagging_nodes = [node for node in nodes if node.revision < committed]
    revisions = {revision.revision: revision for _, status in answered for revision in status.recent}
    recent = sorted(revisions.values(), key=lambda revision: -revision.revision)[:RECENT_REVISIONS_MAX]
    return StatusView(
        leader=_leader(answered),
        committed=committed,
        nodes=len(nodes),
        servers=tuple(_server_view(address, status) for address, status in answers),
        revisions=tuple(_revision_view(revision, nodes) for revision in recent),
        lagging=tuple(sorted(lagging_nodes, key=lambda node: (-node.behind_ms, node.node))),
        refusing=tuple(node for node in nodes if node.refused),
        differing=tuple(node for node in nodes if node.differs),
        forget_after_s=max((status.forget_after_s for _, status in answered), default=0),
    )


def _latest_reports(statuses: Sequence[ServerStatus]) -> list[NodeStatus]:
    latest: dict[str, NodeStatus] = {}
    for status in statuses:
        for node in status.nodes:
            previous = latest.get(node.node)
            if previous is None or _recency(node) > _recency(previous):
                latest[node.node] = node
    return [latest[name] for name in sorted(latest)]


def _recency(node: NodeStatus) -> tuple[int, int]:
    return node.generation, -node.heard_ms_ago


def _leader(answered: Sequence[tuple[str, ServerStatus]]) -> str | None:
    """The leader that most servers in contact with one name: its address, or its number if it did not
    answer."""
    votes = [status.leader for _, status in answered if status.leader is not None and not status.age_ms]
    if not votes:
        return None
    number = max(sorted(set(votes)), key=votes.count)
    return next((address for address, status in answered if status.number == number), f"server {number}")


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


def _revision_view(revision: RevisionStatus, nodes: Sequence[NodeStatus]) -> RevisionView:
    reached = [node for node in nodes if node.revision >= revision.revision]
    refused = sum(
        any(refused_change.revision == revision.revision for refused_change in node.refused)
        for node in reached
    )
    return RevisionView(
        revision.revision,
        revision.change_set_id,
        revision.created_ms,
        revision.changes,
        len(reached) - refused,
        refused,
    )
