"""The same scenarios with daemons as processes and real sockets: other figures, the same rules."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import tomli_w
from stage import Run, small
from test_rehearse_command import run_driftstair

BOUND = 0.05  # of service, between virtual time and sockets on a calm scenario

# What a slow machine adds is no break: a process may stand still for longer than sockets are allowed to take.
PATIENT = {"rules": {"answer_grace_ms": 2000.0, "drain_grace_s": 3.0}}


def on_sockets(tree: dict[str, Any], folder: Path) -> dict[str, Any]:
    path = folder / "scenario.toml"
    path.write_text(tomli_w.dumps(tree))
    done = run_driftstair("rehearse", str(path), "--sockets", "--json", "-")
    assert done.returncode in (0, 1), done.stderr
    found: dict[str, Any] = json.loads(done.stdout)
    return found


def test_calm_is_served_alike_in_both_ways(tmp_path: Path) -> None:
    """At little load, so that a slow machine gives the same verdict."""
    tree = small(load={"rate": 40.0, "keys": 100}, seconds=4.0, **PATIENT)
    real, virtual = on_sockets(tree, tmp_path), Run(tree)
    assert real["verdict"]["rules_kept"] and not real["verdict"]["crashes"]
    assert real["scenario"]["hash"] == virtual.report["scenario"]["hash"]
    assert abs(real["service"] - virtual.service) <= BOUND
    # The same seed asks for the same, up to the moment at which the last of it falls.
    assert abs(real["asked"] - virtual.report["asked"]) <= 0.15 * virtual.report["asked"]


def test_processes_die_restart_and_reload_on_sockets(tmp_path: Path) -> None:
    tree = small(
        {"kind": "node-dies", "nodes": ["n0"], "at_s": 1.0, "for_s": 1.0},
        {"kind": "list-moves", "at_s": 2.2},
        {"kind": "node-restarts", "nodes": ["n1"], "at_s": 2.5},
        {"kind": "box-dies", "boxes": ["s-01"], "at_s": 1.5},
        {"kind": "replace", "boxes": ["s-02"], "at_s": 1.0},
        load={"rate": 40.0, "keys": 100},
        seconds=6.0,
        **PATIENT,
    )
    found = on_sockets(tree, tmp_path)
    assert found["verdict"]["rules_kept"], found["breaks"]
    assert found["verdict"]["crashes"] == 0, found["crashes"]
    happened = [one["what"] for one in found["events"]]
    for what in ("n0 dies", "n0 starts again", "n1 is told to end", "n1 has ended", "n1 starts again",
                 "box s-01 dies", "box s-02 drains"):  # fmt: skip
        assert what in happened
    assert any("discovery is at" in line["text"] for line in found["log"])


def test_a_box_that_vanishes_on_sockets_is_silent_and_comes_back(tmp_path: Path) -> None:
    tree = small(
        {"kind": "box-vanishes", "boxes": ["s-01"], "at_s": 1.0},
        load={"rate": 40.0, "keys": 100},
        seconds=4.0,
        **PATIENT,
    )
    found = on_sockets(tree, tmp_path)
    assert found["verdict"]["rules_kept"], found["breaks"]
    assert found["boxes"]["s-01"]["handled"] > 0
