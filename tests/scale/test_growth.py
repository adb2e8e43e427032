"""Tests of the assessment of growth figures, and one small run of the measurement."""

from __future__ import annotations

import asyncio

import uvloop

from benchmarks.scale.growth import BOUNDS, Bound, assess_run, run_once
from benchmarks.scale.rows import Status

USUAL_FIGURES = {
    "cpu_s": 1.0, "peak_mb": 30.0, "descriptors": 60.0, "connections": 40.0, "list_kb": 40.0,
    "share_served": 1.0, "late_s": 0.01,
}  # fmt: skip


def test_a_bound_grows_with_the_number_of_servers() -> None:
    assert Bound(1.4, 0.02, 0.12).allowed(1.0, 3200) == 1.4 + 0.02 + 0.12 * 3.2


def test_a_row_is_sound_within_all_bounds_and_names_each_exceeded_figure() -> None:
    assert assess_run(1, 200, USUAL_FIGURES, {}).status is Status.SOUND
    row = assess_run(1, 3200, USUAL_FIGURES, USUAL_FIGURES)
    assert row.status is Status.SOUND and row.figures["peak_mb_allowed"] == 45.0 + 8.0 + 12.8
    for name in BOUNDS:
        row = assess_run(1, 3200, USUAL_FIGURES | {name: 1e9}, USUAL_FIGURES)
        assert row.status is Status.FAILED and row.note == f"over: {name}"
    row = assess_run(1, 3200, USUAL_FIGURES | {"share_served": 0.84}, USUAL_FIGURES)
    assert row.status is Status.FAILED and "share_served" in row.note
    assert assess_run(1, 3200, USUAL_FIGURES | {"late_s": 1.0}, USUAL_FIGURES).status is Status.LATE


def test_a_small_run_measures_each_figure() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        figures = runner.run(run_once(servers=20, nodes=1, fleet_size=20, seconds=2.0))
    assert set(figures) == set(USUAL_FIGURES)
    assert figures["share_served"] > 0.5 and figures["list_kb"] > 1 and figures["connections"] >= 1
