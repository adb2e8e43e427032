"""Reports by node, and the one view of what several servers say."""

from __future__ import annotations

import pytest

from driftstair.configuration.messages import NodeReport, RefusedChange
from driftstair.control import reports
from driftstair.control.merge import merge
from driftstair.control.reports import FORGET_S, NodeReports, ReportError
from driftstair.control.status import FORMAT, LogStatus, NodeStatus, RevisionStatus, ServerStatus


def test_a_later_generation_replaces_an_earlier_one_and_never_the_other_way() -> None:
    kept = NodeReports(0.0, 5, "d5")
    kept.on_report(1.0, NodeReport("a", 2, 5, "d5"))
    kept.on_report(2.0, NodeReport("a", 1, 4, "d4"))
    (node,) = kept.nodes(3.0, 5)
    assert (node.generation, node.revision, node.heard_ms_ago, node.behind_ms) == (2, 5, 2_000, 0)
    kept.on_report(4.0, NodeReport("a", 3, 2, "x"))
    (node,) = kept.nodes(4.0, 5)
    assert (node.generation, node.revision) == (3, 2)


def test_a_node_lags_since_the_first_revision_that_it_lacks() -> None:
    kept = NodeReports(0.0, 5, "d5")
    kept.on_report(1.0, NodeReport("a", 5, 5, "d5"))
    kept.on_committed(10.0, 6, "d6")
    kept.on_committed(20.0, 7, "d7")
    kept.on_report(25.0, NodeReport("b", 1, 6, "else"))
    kept.on_report(25.0, NodeReport("c", 1, 2, "d2"))
    nodes = {one.node: one for one in kept.nodes(30.0, 7)}
    assert [nodes[name].behind_ms for name in "abc"] == [20_000, 10_000, 30_000]
    assert [nodes[name].differs for name in "abc"] == [False, True, False]


def test_nodes_that_are_silent_are_forgotten_and_counted() -> None:
    kept = NodeReports(0.0, 1, "")
    kept.on_report(0.0, NodeReport("a", 1, 1, ""))
    kept.on_report(100.0, NodeReport("b", 1, 1, ""))
    kept.on_report(200.0, NodeReport("a", 1, 1, ""))
    assert [one.node for one in kept.nodes(100.0 + FORGET_S, 1)] == ["a"]
    assert kept.forgotten == 1


def test_reports_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reports, "NODES_MAX", 2)
    kept = NodeReports(0.0, 1, "")
    many = tuple(RefusedChange(number, "route/r", "x" * 5_000) for number in range(500))
    kept.on_report(0.0, NodeReport("a", 1, 1, "", many))
    kept.on_report(0.0, NodeReport("b", 1, 1, ""))
    with pytest.raises(ReportError, match="2 nodes are known"):
        kept.on_report(0.0, NodeReport("c", 1, 1, ""))
    refused = kept.nodes(0.0, 1)[0].refused
    assert len(refused) == reports.REFUSED_MAX
    assert refused[-1].revision == 499
    assert len(refused[0].reason) == reports.REASON_CHARACTERS_MAX


@pytest.mark.parametrize("report", [
    NodeReport("", 1, 1, ""), NodeReport("a\n", 1, 1, ""), NodeReport("a" * 200, 1, 1, ""),
    NodeReport("a", 1, -1, ""), NodeReport("a", 1, 1, "0" * 17),
])  # fmt: skip
def test_a_report_that_is_none_changes_nothing(report: NodeReport) -> None:
    kept = NodeReports(0.0, 1, "")
    with pytest.raises(ReportError):
        kept.on_report(0.0, report)
    assert kept.nodes(0.0, 1) == ()


def test_milestones_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reports, "MILESTONES_MAX", 3)
    kept = NodeReports(0.0, 1, "")
    for revision in range(2, 10):
        kept.on_committed(float(revision), revision, "")
    kept.on_report(10.0, NodeReport("a", 1, 1, ""))
    assert kept.nodes(10.0, 9)[0].behind_ms == 10_000  # as long as this server knows


def _status(
    number: int, committed: int, leader: int | None, *nodes: NodeStatus, age_ms: int = 0
) -> ServerStatus:
    revisions = range(max(1, committed - 2), committed + 1)
    return ServerStatus(
        format=FORMAT, server=f"c{number}", number=number, count=3, leader=leader, age_ms=age_ms, digest="",
        resources=0, log=LogStatus(0, committed, 10), watches=0, watches_ahead=0,
        recent=tuple(RevisionStatus(one, f"set-{one}", 0, 1) for one in revisions), nodes=nodes, forgotten=1,
        forget_after_s=300,
    )  # fmt: skip


def _node(name: str, revision: int, heard_ms_ago: int, generation: int = 1, *refused: int) -> NodeStatus:
    sets = tuple(RefusedChange(one, "drain/a", "why") for one in refused)
    return NodeStatus(name, generation, revision, "", heard_ms_ago, 5_000 - revision, False, sets)


def test_servers_views_are_merged_by_the_latest_report_of_each_node() -> None:
    view = merge([
        ("a:1", _status(0, 5, 1, _node("n1", 3, 100), _node("n2", 5, 100, 1, 5))),
        ("b:1", _status(1, 5, 1, _node("n1", 5, 50), _node("n2", 2, 10, 0))),
        ("c:1", _status(2, 3, 0, _node("n3", 2, 10), age_ms=9_000)),
        ("d:1", "can't be asked: Connection refused"),
    ])  # fmt: skip
    assert (view.leader, view.committed, view.nodes) == ("b:1", 5, 3)
    assert [(one.revision, one.in_force, one.refused) for one in view.revisions] == [
        (5, 1, 1), (4, 2, 0), (3, 2, 0), (2, 3, 0), (1, 3, 0),
    ]  # fmt: skip
    assert [one.node for one in view.lagging] == ["n3"]
    assert [one.node for one in view.refusing] == ["n2"]
    assert [one.problem[:5] for one in view.servers] == ["", "", "", "can't"]
    assert [one.is_leader for one in view.servers] == [False, True, False, False]


def test_no_server_that_answers_is_a_view_too() -> None:
    view = merge([("a:1", "no answer")])
    assert (view.leader, view.committed, view.nodes, view.revisions) == (None, 0, 0, ())
