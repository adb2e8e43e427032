"""Any two faults may affect the same box or node at once: the run ends as planned."""

from __future__ import annotations

from typing import Any

import pytest
from stage import Run

from driftstair.rehearsal.load import FAULT_KINDS

REQUIRED_KEYS: dict[str, dict[str, Any]] = {
    "surge": {"of_class": "paid-live"}, "silent-crowd": {"per_s": 20}, "links": {"cut": True},
}  # fmt: skip
BOX_FAULTS = ("slow-boxes", "box-dies", "box-vanishes", "box-errors", "broken-connections", "replace")


def fault_table(kind: str, at_s: float, duration_s: float) -> dict[str, Any]:
    targets = (
        {"boxes": ["s-01", "s-02"]} if kind in BOX_FAULTS else {"nodes": ["n0"]} if "node-" in kind else {}
    )
    return {"kind": kind, "at_s": at_s, "for_s": duration_s} | targets | REQUIRED_KEYS.get(kind, {})


@pytest.mark.parametrize("first", FAULT_KINDS)
def test_a_run_with_any_pair_of_faults_ends_as_planned(first: str) -> None:
    for second in FAULT_KINDS:
        nodes = {"count": 2} | ({"tier": {}} if "links" in (first, second) else {})
        run = Run(
            {
                "version": 1, "name": "pair", "seconds": 3.5, "load": {"rate": 25.0, "keys": 20},
                "nodes": nodes, "boxes": {"count": 3, "grace_s": 0.8},
                "list": {"notice_s": 0.2, "silent_notice_s": 0.5, "ask_within_s": 1.0},
                "class": [{"name": "paid-live", "share": 1, "work_ms": 60, "given_up_ms": 900}],
                "fault": [fault_table(first, 1.2, 1.0), fault_table(second, 1.6, 1.2)],
            }
        )  # fmt: skip
        assert run.report["ended"] == "whole", (first, second)
        assert not run.crashes, (first, second, run.crashes)


def test_two_replacements_of_the_same_box_replace_it_once() -> None:
    """Guards against a KeyError: the second replacement would remove a box that has been removed already."""
    run = Run(
        {
            "version": 1, "seconds": 5.0, "load": {"rate": 25.0}, "boxes": {"count": 3, "grace_s": 1.0},
            "fault": [fault_table("replace", 1.0, 0.2), fault_table("replace", 1.3, 0.2)],
        }
    )  # fmt: skip
    assert sum("drains" in event.what for event in run.rehearsal.events) == 2
    assert len(run.rehearsal.boxes) == 3
