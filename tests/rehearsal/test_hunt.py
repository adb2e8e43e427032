"""Tests of the hunt: it finds a planted defect within its budget, shrinks it, and writes a file that replays
it."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest
from test_rehearse_command import run_driftstair

from driftstair.net.node import Node
from driftstair.net.server_directory import ServerDirectory
from driftstair.rehearsal import hunt as hunt_module
from driftstair.rehearsal import virtual
from driftstair.rehearsal.hunt import Finding, draw_scenario, evaluate, file_text, hunt, shrink
from driftstair.rehearsal.load import load, parse
from driftstair.rehearsal.scenario import Scenario

BUDGET = 30


def plant_lost_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Plants a defect: after a watch has failed, the node drops every tenth answer."""
    on_watch_failed, send_answer = ServerDirectory._on_watch_failed, Node._answer

    def mark_watch_failed(self: ServerDirectory) -> None:
        self.planted = True  # type: ignore[attr-defined]
        on_watch_failed(self)

    def drop_some_answers(self: Node, number: int, *arguments: Any) -> None:
        if not (getattr(self.servers, "planted", False) and number % 10 == 0):
            send_answer(self, number, *arguments)

    monkeypatch.setattr(ServerDirectory, "_on_watch_failed", mark_watch_failed)
    monkeypatch.setattr(Node, "_answer", drop_some_answers)
    # Otherwise the watchdog would answer at the deadline.
    monkeypatch.setattr(Node, "_on_overdue", lambda *_: None)


def test_hunt_finds_and_shrinks_a_planted_defect(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    plant_lost_answers(monkeypatch)
    result = hunt(seed=3, budget=BUDGET)
    assert result.runs <= BUDGET
    assert result.finding.failure == result.drawn_finding.failure == "rule 1"
    assert "no final answer" in result.finding.evidence
    # Only faults that end a watch cause the failure, and one of them is enough.
    assert len(result.scenario["fault"]) == 1
    assert result.scenario["fault"][0]["kind"] in ("list-outage", "list-moves", "node-vanishes")
    # The written file replays to the same finding.
    path = tmp_path / "found.toml"
    path.write_text(file_text(result))
    assert load(str(path)).name == result.scenario["name"]
    assert evaluate(tomllib.loads(path.read_text())) == result.finding
    monkeypatch.undo()
    assert not evaluate(result.scenario).is_serious()


def test_draws_repeat_for_a_seed_and_are_valid_scenarios() -> None:
    assert [draw_scenario(5, index) for index in range(40)] == [
        draw_scenario(5, index) for index in range(40)
    ]
    assert draw_scenario(5, 1) != draw_scenario(6, 1)
    for index in range(200):
        parse(draw_scenario(5, index), "drawn")


def test_shrink_candidates_are_valid_scenarios() -> None:
    for index in range(60):
        for tree in hunt_module.shrink_candidates(draw_scenario(1, index)):
            parse(tree, "smaller")


def test_findings_are_ordered_by_severity() -> None:
    order = [
        Finding("service", 0.1, 0, ""), Finding("service", 0.9, 0, ""), Finding("rule 3", 0.0, 1, ""),
        Finding("stuck", 0.0, 0, ""), Finding("crash KeyError", 0.0, 0, ""),
    ]  # fmt: skip
    assert sorted(order, key=Finding.severity) == order


def test_shrinking_keeps_the_kind_of_failure_and_the_budget() -> None:
    tree = {
        "seconds": 16.0, "load": {"rate": 160.0}, "boxes": {"count": 8}, "nodes": {"count": 3},
        "fault": [{"kind": kind, "at_s": 1.0, "for_s": 4.0} for kind in ("a", "culprit", "b", "c")],
    }  # fmt: skip
    spent = [0]

    def evaluate_candidate(candidate: dict[str, Any]) -> Finding:
        spent[0] += 1
        kinds = [fault["kind"] for fault in candidate["fault"]]
        if "culprit" not in kinds:
            return Finding("service", 0.0, 0, "")
        # With fewer boxes it fails in another way, so such a candidate does not count as smaller.
        return Finding("rule 3" if candidate["boxes"]["count"] >= 4 else "rule 1", 0.0, 1, "")

    small, finding, runs = shrink(tree, Finding("rule 3", 0.0, 1, ""), 200, evaluate_candidate)
    assert runs == spent[0] < 200
    assert [fault["kind"] for fault in small["fault"]] == ["culprit"]
    assert (small["boxes"]["count"], small["nodes"]["count"], finding.failure) == (4, 1, "rule 3")
    spent[0] = 0
    shrink(tree, Finding("rule 3", 0.0, 1, ""), 5, evaluate_candidate)
    assert spent[0] == 5


def test_a_loss_of_service_shrinks_only_while_nearly_as_much_is_lost() -> None:
    tree = {
        "seconds": 8.0,
        "load": {"rate": 80.0},
        "boxes": {"count": 4},
        "nodes": {"count": 2},
        "fault": [],
    }

    def evaluate_candidate(candidate: dict[str, Any]) -> Finding:
        return Finding("service", 0.5 if candidate["load"]["rate"] >= 40 else 0.3, 0, "")

    small, finding, _ = shrink(tree, Finding("service", 0.5, 0, ""), 100, evaluate_candidate)
    assert small["load"]["rate"] == 40.0 and finding.lost == 0.5


def test_the_result_does_not_depend_on_the_number_of_jobs(tmp_path: Path) -> None:
    results = []
    for jobs in ("1", "3"):
        path = tmp_path / f"{jobs}.toml"
        completed = run_driftstair("rehearse", "hunt", "--budget", "4", "--seed", "2", "--jobs", jobs,
                       "--out", str(path),
                       "--json", "-")  # fmt: skip
        assert completed.returncode in (0, 1), completed.stderr
        results.append((json.loads(completed.stdout), path.read_text()))
    assert results[0] == results[1]
    assert results[0][0]["format"] == "driftstair.rehearsal.hunt/1"


def test_a_kit_failure_is_recorded_and_does_not_end_the_hunt(monkeypatch: pytest.MonkeyPatch) -> None:
    real_play = virtual.run_scenario

    def failing_play(scenario: Scenario, **options: Any) -> Any:
        if scenario.name == "hunt-5-1":
            raise RuntimeError("the kit failed") from KeyError("s-03")
        return real_play(scenario, **options)

    monkeypatch.setattr(virtual, "run_scenario", failing_play)
    result = hunt(seed=5, budget=8)
    assert result.runs > 2 and not result.finding.is_kit_failure()
    ((tree, finding),) = result.kit_failures
    assert (tree["name"], finding.failure) == ("hunt-5-1", "kit KeyError")
    assert "s-03" in file_text(result, tree, finding)


def test_a_kit_failure_on_every_scenario_is_the_result(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(virtual, "run_scenario", lambda scenario: 1 // 0)
    result = hunt(seed=5, budget=4)
    assert result.finding.failure == "kit ZeroDivisionError" and len(result.kit_failures) == result.runs
