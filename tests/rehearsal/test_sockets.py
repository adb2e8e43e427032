"""Scenarios with daemon processes and real sockets: figures differ from virtual time, the rules do not."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import tomli_w
from stage import Run, small_scenario
from test_rehearse_command import run_driftstair

SERVICE_TOLERANCE = 0.05  # between virtual time and sockets in a calm scenario

# On a slow computer a process may stall for longer than the default graces, which must not count as a break.
LONG_GRACES = {"rules": {"answer_grace_ms": 2000.0, "drain_grace_s": 3.0}}


def run_on_sockets(tree: dict[str, Any], folder: Path) -> dict[str, Any]:
    path = folder / "scenario.toml"
    path.write_text(tomli_w.dumps(tree))
    completed = run_driftstair("rehearse", str(path), "--sockets", "--json", "-")
    assert completed.returncode in (0, 1), completed.stderr
    report: dict[str, Any] = json.loads(completed.stdout)
    return report


def test_a_calm_scenario_is_served_alike_on_sockets_and_in_virtual_time(tmp_path: Path) -> None:
    """The load is low, so that a slow computer gives the same verdict."""
    tree = small_scenario(load={"rate": 40.0, "keys": 100}, seconds=4.0, **LONG_GRACES)
    socket_report, virtual_run = run_on_sockets(tree, tmp_path), Run(tree)
    assert socket_report["verdict"]["rules_kept"] and not socket_report["verdict"]["crashes"]
    assert socket_report["scenario"]["hash"] == virtual_run.report["scenario"]["hash"]
    assert abs(socket_report["service"] - virtual_run.service) <= SERVICE_TOLERANCE
    # The same seed gives the same arrivals, up to the moment of the last one.
    assert abs(socket_report["asked"] - virtual_run.report["asked"]) <= 0.15 * virtual_run.report["asked"]


def test_processes_are_killed_restarted_and_reloaded_on_sockets(tmp_path: Path) -> None:
    tree = small_scenario(
        {"kind": "node-dies", "nodes": ["n0"], "at_s": 1.0, "for_s": 1.0},
        {"kind": "list-moves", "at_s": 2.2},
        {"kind": "node-restarts", "nodes": ["n1"], "at_s": 2.5},
        {"kind": "box-dies", "boxes": ["s-01"], "at_s": 1.5},
        {"kind": "replace", "boxes": ["s-02"], "at_s": 1.0},
        load={"rate": 40.0, "keys": 100},
        seconds=6.0,
        **LONG_GRACES,
    )
    report = run_on_sockets(tree, tmp_path)
    assert report["verdict"]["rules_kept"], report["breaks"]
    assert report["verdict"]["crashes"] == 0, report["crashes"]
    events = [entry["what"] for entry in report["events"]]
    for event in ("n0 dies", "n0 starts again", "n1 is told to end", "n1 has ended", "n1 starts again",
                 "box s-01 dies", "box s-02 drains"):  # fmt: skip
        assert event in events
    assert any("discovery is at" in line["text"] for line in report["log"])


def test_a_box_that_vanishes_on_sockets_is_silent_and_comes_back(tmp_path: Path) -> None:
    tree = small_scenario(
        {"kind": "box-vanishes", "boxes": ["s-01"], "at_s": 1.0},
        load={"rate": 40.0, "keys": 100},
        seconds=4.0,
        **LONG_GRACES,
    )
    report = run_on_sockets(tree, tmp_path)
    assert report["verdict"]["rules_kept"], report["breaks"]
    assert report["boxes"]["s-01"]["handled"] > 0
