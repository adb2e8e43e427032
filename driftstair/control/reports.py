"""What nodes report to have in force, kept by node. No clock, no I/O; times in s come in."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from driftstair.configuration.messages import NodeReport
from driftstair.configuration.resources import NAME_BYTES_MAX
from driftstair.control.status import NodeStatus

NODES_MAX = 8_192  # twice the 3,100 nodes of two years and room for replaced ones until they are forgotten
FORGET_S = 300  # s without a report; a node reports each minute
REFUSED_MAX = 64  # refused change sets that are kept of a node, the latest
REASON_CHARACTERS_MAX = 300
MILESTONES_MAX = 8_192  # revisions whose time and digest are kept: over four days of 1,800 a day


class ReportError(Exception):
    """A report that is not taken; the text says why."""


class _Milestone(NamedTuple):
    at_s: float  # when this server learned that the revision was committed
    digest: str


class _Kept(NamedTuple):
    report: NodeReport
    heard_s: float


class NodeReports:
    """Reports by node, and when each revision came to be."""

    def __init__(self, now_s: float, revision: int, digest: str) -> None:
        self.forgotten = 0
        self._kept: OrderedDict[str, _Kept] = OrderedDict()  # the one longest silent first
        self._milestones: OrderedDict[int, _Milestone] = OrderedDict()
        self._begin_s = now_s
        self.on_committed(now_s, revision, digest)

    def on_committed(self, now_s: float, revision: int, digest: str) -> None:
        """The server's state is of this revision now."""
        self._milestones[revision] = _Milestone(now_s, digest)
        if len(self._milestones) > MILESTONES_MAX:
            self._milestones.popitem(last=False)

    def on_report(self, now_s: float, report: NodeReport) -> None:
        """A report of an earlier process of the node than the one that is known is passed over.
        Raises ReportError."""
        if not 0 < len(report.node.encode()) <= NAME_BYTES_MAX or not report.node.isprintable():
            raise ReportError(f"node: wants 1 to {NAME_BYTES_MAX} bytes of printable text")
        if report.revision < 0 or len(report.digest) > 16:
            raise ReportError("revision or digest: wants 0 or more, and 16 hexadecimal digits")
        known = self._kept.get(report.node)
        if known is not None and known.report.generation > report.generation:
            return
        self.forget(now_s)
        if known is None and len(self._kept) >= NODES_MAX:
            raise ReportError(f"node: {NODES_MAX:,} nodes are known already")
        self._kept[report.node] = _Kept(_bounded(report), now_s)
        self._kept.move_to_end(report.node)

    def forget(self, now_s: float) -> None:
        """Drops nodes that have been silent for FORGET_S."""
        while self._kept:
            node, kept = next(iter(self._kept.items()))
            if now_s - kept.heard_s < FORGET_S:
                return
            del self._kept[node]
            self.forgotten += 1

    def nodes(self, now_s: float, committed: int) -> tuple[NodeStatus, ...]:
        """All that are known, by name."""
        self.forget(now_s)
        return tuple(self._status(now_s, committed, self._kept[node]) for node in sorted(self._kept))

    def _status(self, now_s: float, committed: int, kept: _Kept) -> NodeStatus:
        report = kept.report
        behind_s = 0.0
        if report.revision < committed:
            missing = self._milestones.get(report.revision + 1)
            behind_s = now_s - (self._begin_s if missing is None else missing.at_s)
        own = self._milestones.get(report.revision)
        return NodeStatus(
            node=report.node,
            generation=report.generation,
            revision=report.revision,
            digest=report.digest,
            heard_ms_ago=int((now_s - kept.heard_s) * 1e3),
            behind_ms=int(behind_s * 1e3),
            differs=own is not None and own.digest != report.digest,
            refused=report.refused,
        )


def _bounded(report: NodeReport) -> NodeReport:
    """With the latest refused sets alone, and reasons of some words."""
    refused = tuple(
        type(one)(one.revision, one.resource[:NAME_BYTES_MAX], one.reason[:REASON_CHARACTERS_MAX])
        for one in report.refused[-REFUSED_MAX:]
    )
    return NodeReport(report.node, report.generation, report.revision, report.digest, refused)
