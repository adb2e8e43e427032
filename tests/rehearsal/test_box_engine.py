"""How the fake box works: shared cores, slots, a waiting room, cold starts, keys, jams, late reports."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from random import Random

import pytest

from driftstair.rehearsal.fakes.engine import Engine, Figures, Jam

FIGURES = Figures(
    cores=2, speed=1.0, slots=8, room=2, cold_share=0.25, cold_time=20.0, thrash=0.0, thrash_at=100.0,
    connections_most=10, connection_tax=0.0, key_gain=0.5, key_memory=5.0, keys_most=3, report_every=1.0,
    report_late=0.5, report_noise=0.0,
)  # fmt: skip


def box(cold: bool = False, **changes: object) -> Engine:
    return Engine(replace(FIGURES, **changes), 0.0, cold, Random(1))  # type: ignore[arg-type]


def finished(engine: Engine, until: float) -> dict[object, float]:
    """When each was done, to a hundredth of a second."""
    out: dict[object, float] = {}
    now = 0.0
    while now < until:
        now = round(now + 0.001, 6)
        engine.advance_to(now)
        for job in engine.take_done():
            out[job.name] = round(now, 2)
    return out


def test_as_many_as_cores_are_worked_on_at_full_speed() -> None:
    engine = box()
    for name in ("a", "b"):
        assert engine.arrive(0.0, name, 0.4, 0.0, b"")
    assert finished(engine, 1.0) == {"a": 0.4, "b": 0.4}


def test_more_share_the_cores_evenly() -> None:
    engine = box()
    for name in ("a", "b", "c", "d"):
        engine.arrive(0.0, name, 0.4, 0.0, b"")
    assert finished(engine, 2.0) == dict.fromkeys("abcd", 0.8)


def test_one_that_comes_later_slows_the_others_down_from_then_on() -> None:
    engine = box(cores=1)
    engine.arrive(0.0, "a", 0.4, 0.0, b"")
    engine.arrive(0.2, "b", 0.4, 0.0, b"")
    assert finished(engine, 2.0) == {"a": 0.6, "b": 0.8}


def test_waiting_on_others_holds_a_slot_and_no_core() -> None:
    engine = box(cores=1, slots=2)
    engine.arrive(0.0, "waits", 0.1, 0.5, b"")
    engine.arrive(0.0, "works", 0.4, 0.0, b"")
    engine.arrive(0.0, "third", 0.1, 0.0, b"")  # no slot until "works" is done
    assert (engine.held(), engine.waiting()) == (3, 1)
    assert finished(engine, 2.0) == {"works": 0.4, "third": 0.5, "waits": 0.6}


def test_beyond_slots_and_waiting_room_a_request_is_turned_away() -> None:
    engine = box(slots=2, room=1)
    assert [engine.arrive(0.0, name, 1.0, 0.0, b"") is not None for name in "abcd"] == [True] * 3 + [False]


def test_what_waits_is_dropped_with_its_client_and_what_has_begun_goes_on() -> None:
    engine = box(slots=1, room=2)
    first = engine.arrive(0.0, "a", 0.4, 0.0, b"")
    second = engine.arrive(0.0, "b", 0.4, 0.0, b"")
    assert first and second
    engine.cancel(0.1, first)
    engine.cancel(0.1, second)
    assert finished(engine, 2.0) == {"a": 0.4}


def test_a_cold_box_warms_evenly() -> None:
    engine = box(cold=True)
    assert engine.warmth(0.0) == pytest.approx(0.25)
    assert engine.warmth(10.0) == pytest.approx(0.625)
    assert engine.warmth(30.0) == 1.0
    engine.arrive(0.0, "a", 0.25, 0.0, b"")
    assert 0.9 < finished(engine, 2.0)["a"] <= 1.0  # a quarter of the speed, and a little more as it warms


def test_a_key_met_lately_takes_less_work_and_is_forgotten() -> None:
    engine = box()
    assert engine.estimate(1.0, b"video", 0.0) == 1.0
    engine.arrive(0.0, "a", 1.0, 0.0, b"video")
    assert engine.estimate(1.0, b"video", 1.0) == 0.5
    assert engine.estimate(1.0, b"video", 5.1) == 1.0
    for name in (b"x", b"y", b"z"):
        engine.arrive(1.0, name, 0.1, 0.0, name)
    assert engine.estimate(1.0, b"video", 1.0) == 1.0  # it remembers only three


def test_a_fault_slows_it_down_from_then_on() -> None:
    engine = box(cores=1)
    engine.arrive(0.0, "a", 0.4, 0.0, b"")
    engine.set_slow(0.2, 4.0)
    assert finished(engine, 2.0) == {"a": 1.0}


def test_too_many_held_and_a_full_table_cost_capacity() -> None:
    crowded = box(cores=1, thrash=1.0, thrash_at=1.0)
    for name in "abc":
        crowded.arrive(0.0, name, 0.1, 0.0, b"")
    assert finished(crowded, 5.0)["a"] > 0.3
    taxed = box(connection_tax=0.5)
    taxed.connections = 10
    taxed.arrive(0.0, "a", 0.4, 0.0, b"")
    assert finished(taxed, 2.0) == {"a": 0.8}


def test_a_handshake_is_work_without_a_slot() -> None:
    engine = box(cores=1)
    engine.arrive(0.0, "a", 0.2, 0.0, b"")
    engine.burden(0.0, 0.2)
    assert engine.held() == 1
    assert finished(engine, 1.0) == {"a": 0.4}


def test_a_report_is_late_and_tells_the_period_before() -> None:
    engine = box()
    engine.arrive(0.0, "a", 3.0, 0.0, b"")
    first = engine._next_report
    engine.advance_to(first + 0.4)
    assert engine.report(first + 0.4) == (0.0, 0)  # what it told before it had anything
    engine.advance_to(first + 0.6)
    assert engine.report(first + 0.6)[0] == pytest.approx(0.5)  # one of two cores


def test_noise_stays_within_its_bound() -> None:
    engine = box(report_noise=0.1)
    engine.arrive(0.0, "a", 3.0, 0.0, b"")
    engine.advance_to(2.5)
    told = {engine.report(2.5)[0] for _ in range(200)}
    assert len(told) > 10 and 0.45 <= min(told) < max(told) <= 0.55


JAM = Jam(at=2.0, over=1.0, slower=3.0, rest=1.0, below=0.3, most=10.0)


def test_a_box_that_had_far_too_much_jams_until_it_has_rested() -> None:
    engine = box(room=40, jam=JAM)
    for index in range(8):
        engine.arrive(0.0, index, 1.0, 0.0, b"")  # four seconds' work
    engine.advance_to(0.5)
    assert not engine.is_jammed()  # only for a while
    engine.advance_to(1.5)
    assert engine.is_jammed()
    engine.advance_to(6.0)
    assert engine.held() == 8  # it would have been done
    engine.advance_to(20.0)
    assert engine.held() == 0 and not engine.is_jammed() and engine.jams == 1


def test_a_short_burst_does_not_jam_it() -> None:
    engine = box(room=40, jam=JAM)
    for index in range(10):
        engine.arrive(0.0, index, 0.05, 0.0, b"")
    engine.advance_to(5.0)
    assert engine.jams == 0


def test_a_box_that_rests_has_nothing_due_but_its_reports() -> None:
    engine = box()
    assert engine.due() == engine._next_report
    engine.arrive(0.0, "a", 0.1, 0.0, b"")
    assert engine.due() < inf
    engine.advance_to(5.0)
    assert engine.due() == engine._next_report


def test_all_work_that_is_done_was_asked_for() -> None:
    """The cores give no more than they have, whatever comes when."""
    random = Random(3)
    engine = box(slots=20, room=30)
    now = done = 0.0
    given: dict[int, float] = {}
    for name in range(500):
        now += random.expovariate(8.0)
        work = random.uniform(0.05, 0.3)
        if engine.arrive(now, name, work, random.uniform(0, 0.2), b""):
            given[name] = work
        for job in engine.take_done():
            done += given.pop(job.name)  # type: ignore[arg-type]
    assert done <= now * FIGURES.cores
    engine.advance_to(now + 60)
    assert {job.name for job in engine.take_done()} == set(given)
