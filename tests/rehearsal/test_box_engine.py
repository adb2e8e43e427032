"""The model of a box: shared cores, slots, the queue, cold starts, keys, jams and delayed reports."""

from __future__ import annotations

from dataclasses import replace
from math import inf
from random import Random

import pytest

from driftstair.rehearsal.fakes.engine import Engine, Figures, Jam

FIGURES = Figures(
    cores=2, speed=1.0, slots=8, queue_max=2, cold_share=0.25, cold_time_s=20.0, thrash=0.0, thrash_at=100.0,
    connections_max=10, connection_tax=0.0, key_gain=0.5, key_memory_s=5.0, keys_max=3, report_interval_s=1.0,
    report_delay_s=0.5, report_noise=0.0,
)  # fmt: skip


def make_engine(cold: bool = False, **changes: object) -> Engine:
    return Engine(replace(FIGURES, **changes), 0.0, cold, Random(1))  # type: ignore[arg-type]


def completion_times(engine: Engine, until: float) -> dict[object, float]:
    """When each request was completed, rounded to 0.01 s."""
    times: dict[object, float] = {}
    now = 0.0
    while now < until:
        now = round(now + 0.001, 6)
        engine.advance_to(now)
        for job in engine.take_done():
            times[job.tag] = round(now, 2)
    return times


def test_requests_up_to_the_number_of_cores_run_at_full_speed() -> None:
    engine = make_engine()
    for name in ("a", "b"):
        assert engine.arrive(0.0, name, 0.4, 0.0, b"")
    assert completion_times(engine, 1.0) == {"a": 0.4, "b": 0.4}


def test_more_requests_than_cores_share_the_cores_evenly() -> None:
    engine = make_engine()
    for name in ("a", "b", "c", "d"):
        engine.arrive(0.0, name, 0.4, 0.0, b"")
    assert completion_times(engine, 2.0) == dict.fromkeys("abcd", 0.8)


def test_a_later_request_slows_down_the_running_ones_from_its_arrival() -> None:
    engine = make_engine(cores=1)
    engine.arrive(0.0, "a", 0.4, 0.0, b"")
    engine.arrive(0.2, "b", 0.4, 0.0, b"")
    assert completion_times(engine, 2.0) == {"a": 0.6, "b": 0.8}


def test_a_request_that_waits_for_other_services_holds_a_slot_and_no_core() -> None:
    engine = make_engine(cores=1, slots=2)
    engine.arrive(0.0, "waits", 0.1, 0.5, b"")
    engine.arrive(0.0, "works", 0.4, 0.0, b"")
    engine.arrive(0.0, "third", 0.1, 0.0, b"")  # gets a slot when "works" is done
    assert (engine.request_count(), engine.queue_length()) == (3, 1)
    assert completion_times(engine, 2.0) == {"works": 0.4, "third": 0.5, "waits": 0.6}


def test_a_request_is_rejected_when_slots_and_queue_are_full() -> None:
    engine = make_engine(slots=2, queue_max=1)
    assert [engine.arrive(0.0, name, 1.0, 0.0, b"") is not None for name in "abcd"] == [True] * 3 + [False]


def test_cancelling_drops_a_waiting_request_and_not_a_running_one() -> None:
    engine = make_engine(slots=1, queue_max=2)
    first = engine.arrive(0.0, "a", 0.4, 0.0, b"")
    second = engine.arrive(0.0, "b", 0.4, 0.0, b"")
    assert first and second
    engine.cancel(0.1, first)
    engine.cancel(0.1, second)
    assert completion_times(engine, 2.0) == {"a": 0.4}


def test_a_cold_box_warms_up_linearly() -> None:
    engine = make_engine(cold=True)
    assert engine.warmth(0.0) == pytest.approx(0.25)
    assert engine.warmth(10.0) == pytest.approx(0.625)
    assert engine.warmth(30.0) == 1.0
    engine.arrive(0.0, "a", 0.25, 0.0, b"")
    assert (
        0.9 < completion_times(engine, 2.0)["a"] <= 1.0
    )  # a quarter of the speed at first, then a little more


def test_a_recently_served_key_takes_less_work_until_it_is_forgotten() -> None:
    engine = make_engine()
    assert engine.estimate(1.0, b"video", 0.0) == 1.0
    engine.arrive(0.0, "a", 1.0, 0.0, b"video")
    assert engine.estimate(1.0, b"video", 1.0) == 0.5
    assert engine.estimate(1.0, b"video", 5.1) == 1.0
    for name in (b"x", b"y", b"z"):
        engine.arrive(1.0, name, 0.1, 0.0, name)
    assert engine.estimate(1.0, b"video", 1.0) == 1.0  # only the last three keys are remembered


def test_a_fault_slows_the_box_down_from_its_beginning() -> None:
    engine = make_engine(cores=1)
    engine.arrive(0.0, "a", 0.4, 0.0, b"")
    engine.set_slowdown(0.2, 4.0)
    assert completion_times(engine, 2.0) == {"a": 1.0}


def test_too_many_requests_or_connections_reduce_the_capacity() -> None:
    crowded = make_engine(cores=1, thrash=1.0, thrash_at=1.0)
    for name in "abc":
        crowded.arrive(0.0, name, 0.1, 0.0, b"")
    assert completion_times(crowded, 5.0)["a"] > 0.3
    taxed = make_engine(connection_tax=0.5)
    taxed.connections = 10
    taxed.arrive(0.0, "a", 0.4, 0.0, b"")
    assert completion_times(taxed, 2.0) == {"a": 0.8}


def test_a_handshake_takes_work_and_no_slot() -> None:
    engine = make_engine(cores=1)
    engine.arrive(0.0, "a", 0.2, 0.0, b"")
    engine.add_overhead(0.0, 0.2)
    assert engine.request_count() == 1
    assert completion_times(engine, 1.0) == {"a": 0.4}


def test_a_report_is_delayed_and_covers_the_previous_period() -> None:
    engine = make_engine()
    engine.arrive(0.0, "a", 3.0, 0.0, b"")
    first = engine._next_report
    engine.advance_to(first + 0.4)
    assert engine.report(first + 0.4) == (0.0, 0)  # the report from before the request
    engine.advance_to(first + 0.6)
    assert engine.report(first + 0.6)[0] == pytest.approx(0.5)  # one of two cores


def test_the_noise_of_reports_stays_within_its_bound() -> None:
    engine = make_engine(report_noise=0.1)
    engine.arrive(0.0, "a", 3.0, 0.0, b"")
    engine.advance_to(2.5)
    reports = {engine.report(2.5)[0] for _ in range(200)}
    assert len(reports) > 10 and 0.45 <= min(reports) < max(reports) <= 0.55


JAM = Jam(
    threshold=2.0, averaging_s=1.0, slow_factor=3.0, rest_averaging_s=1.0, rest_busy=0.3, duration_max_s=10.0
)


def test_an_overloaded_box_jams_until_its_load_has_been_low() -> None:
    engine = make_engine(queue_max=40, jam=JAM)
    for index in range(8):
        engine.arrive(0.0, index, 1.0, 0.0, b"")  # work for four seconds
    engine.advance_to(0.5)
    assert not engine.is_jammed()  # overloaded for too short a time
    engine.advance_to(1.5)
    assert engine.is_jammed()
    engine.advance_to(6.0)
    assert engine.request_count() == 8  # without the jam all would be done
    engine.advance_to(20.0)
    assert engine.request_count() == 0 and not engine.is_jammed() and engine.jam_count == 1


def test_a_short_burst_causes_no_jam() -> None:
    engine = make_engine(queue_max=40, jam=JAM)
    for index in range(10):
        engine.arrive(0.0, index, 0.05, 0.0, b"")
    engine.advance_to(5.0)
    assert engine.jam_count == 0


def test_the_next_event_of_an_idle_box_is_its_next_report() -> None:
    engine = make_engine()
    assert engine.next_event() == engine._next_report
    engine.arrive(0.0, "a", 0.1, 0.0, b"")
    assert engine.next_event() < inf
    engine.advance_to(5.0)
    assert engine.next_event() == engine._next_report


def test_completed_work_stays_within_the_capacity_and_all_requests_complete() -> None:
    """The cores do no more work than they can, for any order of arrivals."""
    random = Random(3)
    engine = make_engine(slots=20, queue_max=30)
    now = work_done = 0.0
    open_work: dict[int, float] = {}
    for name in range(500):
        now += random.expovariate(8.0)
        work = random.uniform(0.05, 0.3)
        if engine.arrive(now, name, work, random.uniform(0, 0.2), b""):
            open_work[name] = work
        for job in engine.take_done():
            work_done += open_work.pop(job.tag)  # type: ignore[arg-type]
    assert work_done <= now * FIGURES.cores
    engine.advance_to(now + 60)
    assert {job.tag for job in engine.take_done()} == set(open_work)
