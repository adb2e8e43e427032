"""Reports by node, and the merged view of the statuses of several servers."""

from __future__ import annotations

import pytest

from driftstair.configuration.messages import NodeReport, RefusedChange
from driftstair.control import reports
from driftstair.control.merge import merge
from driftstair.control.reports import FORGET_AFTER_S, NodeReports, ReportError
from driftstair.control.status import FORMAT, LogStatus, NodeStatus, RevisionStatus, ServerStatus


def test_a_later_generation_replaces_an_earlier_one_and_not_vice_versa() -> None:
    node_reports = NodeReports(0.0, 5, "d5")
    node_reports.on_report(1.0, NodeReport("a", 2, 5, "d5"))
    node_reports.on_report(2.0, NodeReport("a", 1, 4, "d4"))
    (node,) = node_reports.nodes(3.0, 5)
    assert (node.generation, node.revision, node.heard_ms_ago, node.behind_ms) == (2, 5, 2_000, 0)
    node_reports.on_report(4.0, NodeReport("a", 3, 2, "x"))
    (node,) = node_reports.nodes(4.0, 5)
    assert (node.generation, node.revision) == (3, 2)


def test_the_lag_of_a_node_is_counted_from_the_first_revision_that_it_lacks() -> None:
    node_reports = NodeReports(0.0, 5, "d5")
    node_reports.on_report(1.0, NodeReport("a", 5, 5, "d5"))
    node_reports.on_committed(10.0, 6, "d6")
    node_reports.on_committed(20.0, 7, "d7")
    node_reports.on_report(25.0, NodeReport("b", 1, 6, "else"))
    node_reports.on_report(25.0, NodeReport("c", 1, 2, "d2"))
    nodes = {node.node: node for node in node_reports.nodes(30.0, 7)}
    assert [nodes[name].behind_ms for name in "abc"] == [20_000, 10_000, 30_000]
    assert [nodes[name].differs for name in "abc"] == [False, True, False]


def test_nodes_without_reports_are_forgotten_and_counted() -> None:
    node_reports = NodeReports(0.0, 1, "")
    node_reports.on_report(0.0, NodeReport("a", 1, 1, ""))
    node_reports.on_report(100.0, NodeReport("b", 1, 1, ""))
    node_reports.on_report(200.0, NodeReport("a", 1, 1, ""))
    assert [node.node for node in node_reports.nodes(100.0 + FORGET_AFTER_S, 1)] == ["a"]
    assert node_reports.forgotten == 1


def test_reports_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reports, "NODES_MAX", 2)
    node_reports = NodeReports(0.0, 1, "")
    refused_changes = tuple(RefusedChange(number, "route/r", "x" * 5_000) for number in range(500))
    node_reports.on_report(0.0, NodeReport("a", 1, 1, "", refused_changes))
    node_reports.on_report(0.0, NodeReport("b", 1, 1, ""))
    with pytest.raises(ReportError, match="2 nodes are known"):
        node_reports.on_report(0.0, NodeReport("c", 1, 1, ""))
    refused = node_reports.nodes(0.0, 1)[0].refused
    assert len(refused) == reports.REFUSED_CHANGES_MAX
    assert refused[-1].revision == 499
    assert len(refused[0].reason) == reports.REASON_CHARACTERS_MAX


@pytest.mark.parametrize("report", [
    NodeReport("", 1, 1, ""), NodeReport("a\n", 1, 1, ""), NodeReport("a" * 200, 1, 1, ""),
    NodeReport("a", 1, -1, ""), NodeReport("a", 1, 1, "0" * 17),
])  # fmt: skip
def test_an_invalid_report_changes_nothing(report: NodeReport) -> None:
    node_reports = NodeReports(0.0, 1, "")
    with pytest.raises(ReportError):
        node_reports.on_report(0.0, report)
    assert node_reports.nodes(0.0, 1) == ()


def test_stored_revisions_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reports, "COMMITTED_REVISIONS_MAX", 3)
    node_reports = NodeReports(0.0, 1, "")
    for revision in range(2, 10):
        node_reports.on_committed(float(revision), revision, "")
    node_reports.on_report(10.0, NodeReport("a", 1, 1, ""))
    assert node_reports.nodes(10.0, 9)[0].behind_ms == 10_000  # since the start of this server


def _status(
    number: int, committed: int, leader: int | None, *nodes: NodeStatus, age_ms: int = 0
) -> ServerStatus:
    revisions = range(max(1, committed - 2), committed + 1)
    return ServerStatus(
        format=FORMAT, server=f"c{number}", number=number, count=3, leader=leader, age_ms=age_ms, digest="",
        resources=0, log=LogStatus(0, committed, 10), watches=0, watches_ahead=0,
        recent=tuple(RevisionStatus(revision, f"set-{revision}", 0, 1) for revision in revisions),
        nodes=nodes, forgotten=1, forget_after_s=300,
    )  # fmt: skip


def _node(name: str, revision: int, heard_ms_ago: int, generation: int = 1, *refused: int) -> NodeStatus:
    refused_changes = tuple(RefusedChange(number, "drain/a", "why") for number in refused)
    return NodeStatus(name, generation, revision, "", heard_ms_ago, 5_000 - revision, False, refused_changes)


def test_statuses_of_servers_are_merged_by_the_latest_report_of_each_node() -> None:
    view = merge([
        ("a:1", _status(0, 5, 1, _node("n1", 3, 100), _node("n2", 5, 100, 1, 5))),
        ("b:1", _status(1, 5, 1, _node("n1", 5, 50), _node("n2", 2, 10, 0))),
        ("c:1", _status(2, 3, 0, _node("n3", 2, 10), age_ms=9_000)),
        ("d:1", "can't be asked: Connection refused"),
    ])  # fmt: skip
    assert (view.leader, view.committed, view.nodes) == ("b:1", 5, 3)
    assert [(revision.revision, revision.in_force, revision.refused) for revision in view.revisions] == [
        (5, 1, 1), (4, 2, 0), (3, 2, 0), (2, 3, 0), (1, 3, 0),
    ]  # fmt: skip
    assert [node.node for node in view.lagging] == ["n3"]
    assert [node.node for node in view.refusing] == ["n2"]
    assert [server.problem[:5] for server in view.servers] == ["", "", "", "can't"]
    assert [server.is_leader for server in view.servers] == [False, True, False, False]


def test_a_view_without_any_status_is_empty() -> None:
    view = merge([("a:1", "no answer")])
    assert (view.leader, view.committed, view.nodes, view.revisions) == (None, 0, 0, ())
