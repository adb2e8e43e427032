"""The connection table as a policy: which connections are kept, the order of closing, and floods."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import Phase, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from driftstair.admission.arrival_statistics import ArrivalStatistics
from driftstair.admission.connection_table import CloseMode, ConnectionLimits, ConnectionTable, State
from driftstair.admission.return_statistics import BUCKET_COUNT, BUCKET_ENDS_S, ReturnStatistics, bucket_of


class SimulatedFrontEnd:
    """A front end without sockets: clients connect, send requests and return on a simulated clock."""

    def __init__(self, limits: ConnectionLimits) -> None:
        self.table: ConnectionTable[str] = ConnectionTable(limits)
        self.now = 0.0
        self.displaced: list[str] = []  # with requests, closed to make room or told to close
        self.aborted = 0
        self.accept_queue: list[str] = []  # in the accept queue
        self.served = 0

    def connect(self, name: str) -> bool:
        if len(self.table) >= self.table.limits.connections_max:
            closed = self.table.make_room(self.now)
            if closed is None:
                return False
            if closed[1] is CloseMode.ABORT:
                self.aborted += 1
            else:
                self.displaced.append(closed[0])
        self.table.add(name, self.now)
        self._close_surplus_idle()
        return True

    def serve_request(self, name: str, service_time: float = 0.0) -> None:
        self.table.mark_busy(name, self.now)
        self.now += service_time
        self.served += 1
        if self.table.should_keep(name, self.now):
            self.table.mark_idle(name, self.now)
        else:
            self.displaced.append(name)
            self.table.mark_leaving(name, self.now)
            self.table.remove(name, self.now)
        self._close_surplus_idle()

    def _close_surplus_idle(self) -> None:
        self.displaced += self.table.take_surplus_idle(self.now)

    def sweep(self) -> None:
        for name, _ in self.table.take_expired(self.now):
            self.table.remove(name, self.now)
        self._close_surplus_idle()


def test_nothing_is_closed_early_while_there_is_room() -> None:
    front = SimulatedFrontEnd(ConnectionLimits(1000, platform_connections_max=600))
    for step in range(400):
        assert front.connect(f"c{step}")
        front.serve_request(f"c{step}")
        front.now += 0.01
        front.sweep()
    assert not front.displaced and front.table.idle_count() == 400


def test_idle_clients_with_one_request_are_told_to_close_when_room_is_short() -> None:
    """Guards against idle connections using up the platform's limit: 90 to 105 of 128 connections were held,
    each for half a second and a sweep, by clients that never returned, and a third of the requests found
    none."""
    front = SimulatedFrontEnd(ConnectionLimits(189, platform_connections_max=128))
    for step in range(3000):
        assert front.connect(f"c{step}")
        front.serve_request(f"c{step}")
        front.now += 1 / 300
        held = len(front.table)
        # After the first second there is room for the arrivals of the next 50 ms.
        assert step < 300 or held <= 128 - 300 / 20
    assert front.table.arrivals.required_free(front.now) > 15


@pytest.mark.parametrize("away", [0.05, 1.0])
def test_returning_clients_are_kept_before_others(away: float) -> None:
    """Mixed clients: the table distinguishes them by the number of their requests and by their idle time."""
    front = SimulatedFrontEnd(ConnectionLimits(120, platform_connections_max=80))
    due_times = {f"r{index}": 0.0 for index in range(20)}
    for name in due_times:
        front.connect(name)
    displaced_returning = 0
    for step in range(4000):
        front.now += 0.005
        for name, due in due_times.items():
            if due <= front.now:
                if front.table.state(name) is None:
                    displaced_returning += front.now > 5.0
                    front.connect(name)
                front.serve_request(name)
                due_times[name] = front.now + away
        front.connect(f"once{step}")
        front.serve_request(f"once{step}")
    returns = 20 * (front.now - 5.0) / away
    # A returning client is closed only after its first request, when it looks like the others.
    assert displaced_returning < 0.05 * returns


@hypothesis_settings(
    max_examples=15, deadline=None, derandomize=True, phases=[Phase.explicit, Phase.generate]
)
@given(
    connections_max=st.sampled_from([30, 50, 400]),
    flood=st.integers(20, 400),
    heads=st.booleans(),
    away=st.floats(0.05, 0.8),
    seed=st.integers(0, 99),
)
def test_an_active_client_is_never_displaced_by_a_silent_one(
    connections_max: int, flood: int, heads: bool, away: float, seed: int
) -> None:
    """Hundreds of silent connections and partial heads per second, against ten clients at a normal rate."""
    front, random = (
        SimulatedFrontEnd(ConnectionLimits(connections_max, platform_connections_max=connections_max // 2)),
        Random(seed),
    )
    due = {f"r{index}": random.random() * away for index in range(10)}
    for name in due:
        front.connect(name)
        front.serve_request(name)
    for _ in range(600):
        front.now += 0.01
        for _ in range(int(flood * 0.01 + random.random())):
            name = f"silent{random.random()}"
            if front.connect(name) and heads:
                front.table.mark_reading(name, front.now)
        for name, at in due.items():
            if at <= front.now:
                front.serve_request(name)  # fails if the client was displaced
                due[name] = front.now + away
        front.sweep()
    assert not front.displaced
    assert flood * 2.0 < connections_max or front.aborted > 0


def test_order_of_closing() -> None:
    front = SimulatedFrontEnd(ConnectionLimits(7))
    table = front.table
    for name in ("idle", "busy", "head", "head too", "silent", "leaves", "rejected"):
        front.connect(name)
    front.serve_request("idle")
    table.mark_busy("busy", front.now)
    table.mark_reading("head", front.now)
    table.mark_reading("head too", front.now)
    table.mark_busy("leaves", front.now)
    table.mark_leaving("leaves", front.now)
    table.mark_lingering("rejected", front.now)
    order = []
    for later in (0.0, 0.12, 0.2, 0.0, 0.0):
        front.now += later
        order.append(table.make_room(front.now))
    gone = ("rejected", "silent", "leaves", "head", "head too")
    assert order == [(name, CloseMode.ABORT) for name in gone]
    assert table.make_room(front.now, forced=True) == ("idle", CloseMode.CLOSE)
    # A connection with an open request is never closed.
    assert table.make_room(front.now, forced=True) is None
    assert table.state("busy") is State.BUSY


def test_the_time_limit_of_a_new_connection_runs_from_connecting() -> None:
    """Guards against expiry in order of the first byte: a later connection whose head began sooner stood
    first and kept the older one for another second."""
    front = SimulatedFrontEnd(ConnectionLimits(10))
    front.connect("early")
    front.now = 1.0
    front.connect("late")
    front.table.mark_reading("late", 1.1)
    front.table.mark_reading("early", 1.9)
    assert front.table.take_expired(2.75) == [("early", CloseMode.TIME_OUT)]


def test_changed_client_behaviour_is_learned() -> None:
    """First all clients return at once, then none does: the worth has to follow within seconds."""
    front = SimulatedFrontEnd(ConnectionLimits(100, platform_connections_max=60))
    for step in range(600):
        front.now += 0.005
        name = f"r{step % 15}"
        if front.table.state(name) is None:
            front.connect(name)
        front.serve_request(name)
    assert not front.displaced
    worth = front.table.returns[2].worth(0.1)[5]
    for step in range(2000):
        front.now += 0.005
        front.connect(f"c{step}")
        front.serve_request(f"c{step}")
    assert front.table.returns[0].worth(0.1)[5] < worth / 20
    assert len(front.table) < 60


@pytest.mark.parametrize("connections_max", [50, 50_000])
def test_work_for_an_event_is_bounded_at_any_size(
    connections_max: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    front = SimulatedFrontEnd(ConnectionLimits(connections_max))
    for index in range(connections_max * 9 // 10):
        front.connect(f"c{index}")
        front.serve_request(f"c{index}")
    move_count = [0]
    original = ReturnStatistics.record_full_bucket
    monkeypatch.setattr(
        ReturnStatistics,
        "record_full_bucket",
        lambda self, bucket: (move_count.__setitem__(0, move_count[0] + 1), original(self, bucket)),
    )
    front.now += 20.0
    left = [f"c{index}" for index in range(connections_max) if front.table.state(f"c{index}") is State.IDLE]
    assert len(left) > 20
    for name in left[-20:]:
        move_count[0] = 0
        front.serve_request(name)
        assert move_count[0] <= 32 * 4 + BUCKET_COUNT


def test_a_stopping_node_closes_nothing_early() -> None:
    """Clients may find no other node while the others restart too, so they keep their connections."""
    front = SimulatedFrontEnd(ConnectionLimits(40, platform_connections_max=20))
    front.table.is_stopping = True
    for index in range(30):
        front.connect(f"c{index}")
        front.serve_request(f"c{index}")
    assert not front.displaced


# Statistics.


@pytest.mark.parametrize("mean", [0.03, 0.4, 3.0])
@pytest.mark.parametrize("closed_after", [None, 1.0])
def test_the_survival_estimate_is_accurate_under_censoring(mean: float, closed_after: float | None) -> None:
    """A connection closed while idle shows only that its client had not returned yet."""
    returns, random = ReturnStatistics(), Random(7)
    for _ in range(4000):
        away = random.expovariate(1 / mean)
        seen = away if closed_after is None else min(away, closed_after)
        last = bucket_of(seen)
        for bucket in range(last):
            returns.record_full_bucket(bucket)
        returns.record_end(seen, last, returned=seen == away)
    for age in (0.5 * mean, mean, 2 * mean):
        if closed_after is None or age < closed_after:
            expected = 2.718281828 ** (-age / mean)
            assert returns.survival(age) == pytest.approx(expected, abs=0.05)


def test_the_worth_of_a_client_that_always_returns_rises_as_it_waits() -> None:
    returns = ReturnStatistics()
    for _ in range(500):
        last = bucket_of(2.0)
        for bucket in range(last):
            returns.record_full_bucket(bucket)
        returns.record_end(2.0, last, returned=True)
    worth = returns.worth(0.1)
    # So the newest is closed first, not the oldest.
    assert worth[bucket_of(1.5)] > 1.5 * worth[bucket_of(0.1)]


def test_bucket_of_an_age() -> None:
    assert [bucket_of(end * 0.999) for end in BUCKET_ENDS_S] == list(range(BUCKET_COUNT))
    assert bucket_of(1e9) == BUCKET_COUNT - 1


def test_only_connections_with_requests_reserve_room() -> None:
    asking, silent = ArrivalStatistics(), ArrivalStatistics()
    for index in range(200):
        asking.record_first_request(index * 0.01, 0.001)
        silent.record_silent()
    assert asking.required_free(2.0) > 5 and silent.required_free(2.0) == 0.0
    assert asking.worth() > 50 * silent.worth()
    assert asking.grace() < silent.grace()  # active clients were seen to send at once
