"""The hunt finds a planted bug within a stated budget, makes it small, and writes what replays."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import pytest
from test_rehearse_command import command

from driftstair.net.node import Node
from driftstair.net.server_directory import ServerDirectory
from driftstair.rehearsal import hunt as kit
from driftstair.rehearsal import virtual
from driftstair.rehearsal.hunt import Finding, draw, file_text, hunt, judge, shrink
from driftstair.rehearsal.load import load, parse
from driftstair.rehearsal.scenario import Scenario

BUDGET = 30


def plant(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a watch has broken, the node sends a request's answer nowhere, now and then."""
    failed, answer = ServerDirectory._on_watch_failed, Node._answer

    def watch_failed(self: ServerDirectory) -> None:
        self.planted = True  # type: ignore[attr-defined]
        failed(self)

    def swallows(self: Node, number: int, *answered: Any) -> None:
        if not (getattr(self.servers, "planted", False) and number % 10 == 0):
            answer(self, number, *answered)

    monkeypatch.setattr(ServerDirectory, "_on_watch_failed", watch_failed)
    monkeypatch.setattr(Node, "_answer", swallows)
    # The watchdog would answer at the deadline.
    monkeypatch.setattr(Node, "_on_overdue", lambda *_: None)


def test_it_finds_a_planted_bug_and_makes_it_small(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    plant(monkeypatch)
    result = hunt(seed=3, budget=BUDGET)
    assert result.runs <= BUDGET
    assert result.found.way == result.drawn.way == "rule 1"
    assert "no final answer" in result.found.evidence
    # Only what ends a watch can bring it about, and little of that is needed.
    assert len(result.tree["fault"]) == 1
    assert result.tree["fault"][0]["kind"] in ("list-outage", "list-moves", "node-vanishes")
    # What was written replays to the same.
    path = tmp_path / "found.toml"
    path.write_text(file_text(result))
    assert load(str(path)).name == result.tree["name"]
    assert judge(tomllib.loads(path.read_text())) == result.found
    monkeypatch.undo()
    assert not judge(result.tree).is_grave()


def test_the_same_seed_draws_the_same_and_all_that_it_draws_can_be_played() -> None:
    assert [draw(5, index) for index in range(40)] == [draw(5, index) for index in range(40)]
    assert draw(5, 1) != draw(6, 1)
    for index in range(200):
        parse(draw(5, index), "drawn")


def test_every_smaller_scenario_can_be_played() -> None:
    for index in range(60):
        for tree in kit.smaller(draw(1, index)):
            parse(tree, "smaller")


def test_a_broken_rule_is_worse_than_any_loss_and_a_crash_is_worst() -> None:
    order = [
        Finding("service", 0.1, 0, ""), Finding("service", 0.9, 0, ""), Finding("rule 3", 0.0, 1, ""),
        Finding("stuck", 0.0, 0, ""), Finding("crash KeyError", 0.0, 0, ""),
    ]  # fmt: skip
    assert sorted(order, key=Finding.badness) == order


def test_shrinking_keeps_the_way_it_fails_and_stays_within_its_budget() -> None:
    tree = {
        "seconds": 16.0, "load": {"rate": 160.0}, "boxes": {"count": 8}, "nodes": {"count": 3},
        "fault": [{"kind": kind, "at_s": 1.0, "for_s": 4.0} for kind in ("a", "culprit", "b", "c")],
    }  # fmt: skip
    spent = [0]

    def fails(candidate: dict[str, Any]) -> Finding:
        spent[0] += 1
        kinds = [one["kind"] for one in candidate["fault"]]
        if "culprit" not in kinds:
            return Finding("service", 0.0, 0, "")
        # With few boxes it fails in another way, which is no smaller case of this one.
        return Finding("rule 3" if candidate["boxes"]["count"] >= 4 else "rule 1", 0.0, 1, "")

    small, found, runs = shrink(tree, Finding("rule 3", 0.0, 1, ""), 200, fails)
    assert runs == spent[0] < 200
    assert [one["kind"] for one in small["fault"]] == ["culprit"]
    assert (small["boxes"]["count"], small["nodes"]["count"], found.way) == (4, 1, "rule 3")
    spent[0] = 0
    shrink(tree, Finding("rule 3", 0.0, 1, ""), 5, fails)
    assert spent[0] == 5


def test_a_loss_of_service_is_made_smaller_only_while_nearly_as_much_is_lost() -> None:
    tree = {
        "seconds": 8.0,
        "load": {"rate": 80.0},
        "boxes": {"count": 4},
        "nodes": {"count": 2},
        "fault": [],
    }

    def loses(candidate: dict[str, Any]) -> Finding:
        return Finding("service", 0.5 if candidate["load"]["rate"] >= 40 else 0.3, 0, "")

    small, found, _ = shrink(tree, Finding("service", 0.5, 0, ""), 100, loses)
    assert small["load"]["rate"] == 40.0 and found.lost == 0.5


def test_any_number_of_jobs_finds_the_same(tmp_path: Path) -> None:
    found = []
    for jobs in ("1", "3"):
        path = tmp_path / f"{jobs}.toml"
        done = command("rehearse", "hunt", "--budget", "4", "--seed", "2", "--jobs", jobs, "--out", str(path),
                       "--json", "-")  # fmt: skip
        assert done.returncode in (0, 1), done.stderr
        found.append((json.loads(done.stdout), path.read_text()))
    assert found[0] == found[1]
    assert found[0][0]["format"] == "driftstair.rehearsal.hunt/1"


def test_a_failure_of_the_kit_is_a_finding_and_no_end(monkeypatch: pytest.MonkeyPatch) -> None:
    played = virtual.run_scenario

    def play(scenario: Scenario, **more: Any) -> Any:
        if scenario.name == "hunt-5-1":
            raise RuntimeError("the kit failed") from KeyError("s-03")
        return played(scenario, **more)

    monkeypatch.setattr(virtual, "run_scenario", play)
    result = hunt(seed=5, budget=8)
    assert result.runs > 2 and not result.found.is_the_kits()
    ((tree, found),) = result.kits
    assert (tree["name"], found.way) == ("hunt-5-1", "kit KeyError")
    assert "s-03" in file_text(result, tree, found)


def test_where_the_kit_fails_on_all_that_is_what_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(virtual, "run_scenario", lambda scenario: 1 // 0)
    result = hunt(seed=5, budget=4)
    assert result.found.way == "kit ZeroDivisionError" and len(result.kits) == result.runs
