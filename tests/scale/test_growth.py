"""What the measurement of growth says of its figures, and one small run of it."""

from __future__ import annotations

import asyncio

import uvloop

from benchmarks.scale.growth import BOUNDS, Bound, judged, one_run
from benchmarks.scale.rows import Status

USUAL = {
    "cpu_s": 1.0, "peak_mb": 30.0, "descriptors": 60.0, "connections": 40.0, "list_kb": 40.0,
    "share_served": 1.0, "late_s": 0.01,
}  # fmt: skip


def test_a_bound_grows_with_the_servers() -> None:
    assert Bound(1.4, 0.02, 0.12).allows(1.0, 3200) == 1.4 + 0.02 + 0.12 * 3.2


def test_a_row_is_sound_within_all_bounds_and_names_what_is_over() -> None:
    assert judged(1, 200, USUAL, {}).status is Status.SOUND
    row = judged(1, 3200, USUAL, USUAL)
    assert row.status is Status.SOUND and row.figures["peak_mb_allowed"] == 45.0 + 8.0 + 12.8
    for name in BOUNDS:
        row = judged(1, 3200, USUAL | {name: 1e9}, USUAL)
        assert row.status is Status.FAILED and row.note == f"over: {name}"
    row = judged(1, 3200, USUAL | {"share_served": 0.84}, USUAL)
    assert row.status is Status.FAILED and "share_served" in row.note
    assert judged(1, 3200, USUAL | {"late_s": 1.0}, USUAL).status is Status.LATE


def test_a_small_run_measures_each_figure() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        figures = runner.run(one_run(servers=20, nodes=1, fleet_size=20, seconds=2.0))
    assert set(figures) == set(USUAL)
    assert figures["share_served"] > 0.5 and figures["list_kb"] > 1 and figures["connections"] >= 1
