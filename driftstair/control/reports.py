"""Stores the last report of each node on the configuration in force. No clock, no I/O: callers pass times
in s."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from driftstair.configuration.messages import NodeReport
from driftstair.configuration.resources import NAME_BYTES_MAX
from driftstair.control.status import NodeStatus

NODES_MAX = 8_192  # twice the 3,100 nodes expected in two years, with room for replaced nodes
FORGET_AFTER_S = 300  # without a report; a node reports every minute
REFUSED_CHANGES_MAX = 64  # the latest refused change sets of a node
REASON_CHARACTERS_MAX = 300
COMMITTED_REVISIONS_MAX = 8_192  # revisions whose time and digest are stored: over four days of 1,800 a day


class ReportError(Exception):
    """A report is not accepted; the text is the reason."""


class _CommittedRevision(NamedTuple):
    committed_s: float  # when this server learned that the revision was committed
    digest: str


class _ReceivedReport(NamedTuple):
    report: NodeReport
    received_s: float


class NodeReports:
    """The last report of each node, and the time and digest of recent revisions."""

    def __init__(self, now_s: float, revision: int, digest: str) -> None:
        self.forgotten = 0
        self._reports: OrderedDict[str, _ReceivedReport] = OrderedDict()  # ordered by time, oldest first
        self._committed_revisions: OrderedDict[int, _CommittedRevision] = OrderedDict()
        self._started_s = now_s
        self.on_committed(now_s, revision, digest)

    def on_committed(self, now_s: float, revision: int, digest: str) -> None:
        """The state of this server is now at `revision`."""
        self._committed_revisions[revision] = _CommittedRevision(now_s, digest)
        if len(self._committed_revisions) > COMMITTED_REVISIONS_MAX:
            self._committed_revisions.popitem(last=False)

    def on_report(self, now_s: float, report: NodeReport) -> None:
        """Stores a report. It is ignored if a later process of the node has already reported.
        Raises ReportError."""
        if not 0 < len(report.node.encode()) <= NAME_BYTES_MAX or not report.node.isprintable():
            raise ReportError(f"node: wants 1 to {NAME_BYTES_MAX} bytes of printable text")
        if report.revision < 0 or len(report.digest) > 16:
            raise ReportError("revision or digest: wants 0 or more, and 16 hexadecimal digits")
        previous = self._reports.get(report.node)
        if previous is not None and previous.report.generation > report.generation:
            return
        self.forget(now_s)
        if previous is None and len(self._reports) >= NODES_MAX:
            raise ReportError(f"node: {NODES_MAX:,} nodes are known already")
        self._reports[report.node] = _ReceivedReport(_truncated(report), now_s)
        self._reports.move_to_end(report.node)

    def forget(self, now_s: float) -> None:
        """Removes nodes that have not reported for FORGET_AFTER_S."""
        while self._reports:
            node, received = next(iter(self._reports.items()))
            if now_s - received.received_s < FORGET_AFTER_S:
                return
            del self._reports[node]
            self.forgotten += 1

    def nodes(self, now_s: float, committed: int) -> tuple[NodeStatus, ...]:
        """The status of all known nodes, sorted by name."""
        self.forget(now_s)
        return tuple(self._status(now_s, committed, self._reports[node]) for node in sorted(self._reports))

    def _status(self, now_s: float, committed: int, received: _ReceivedReport) -> NodeStatus:
        report = received.report
        behind_s = 0.0
        if report.revision < committed:
            first_missing = self._committed_revisions.get(report.revision + 1)
            behind_s = now_s - (self._started_s if first_missing is None else first_missing.committed_s)
        same_revision = self._committed_revisions.get(report.revision)
        return NodeStatus(
            node=report.node,
            generation=report.generation,
            revision=report.revision,
            digest=report.digest,
            heard_ms_ago=int((now_s - received.received_s) * 1e3),
            behind_ms=int(behind_s * 1e3),
            differs=same_revision is not None and same_revision.digest != report.digest,
            refused=report.refused,
        )


def _truncated(report: NodeReport) -> NodeReport:
    """A copy with the latest refused changes only, and with shortened reasons."""
    refused = tuple(
        type(refused_change)(
            refused_change.revision,
            refused_change.resource[:NAME_BYTES_MAX],
            refused_change.reason[:REASON_CHARACTERS_MAX],
        )
        for refused_change in report.refused[-REFUSED_CHANGES_MAX:]
    )
    return NodeReport(report.node, report.generation, report.revision, report.digest, refused)
