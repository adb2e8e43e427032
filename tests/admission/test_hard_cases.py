"""The table of clients on crowds that a simple rule gets wrong."""

from __future__ import annotations

from random import Random

import pytest
from test_places import Front

from driftstair.admission.connection_table import ConnectionLimits


def crowd(front: Front, clients: int, away: float, seconds: float, settled: float) -> float:
    """All clients ask, stay away for `away` s and ask again; the part of requests, from `settled` on, that
    needed a new connection."""
    random = Random(1)
    due = {f"r{index}": random.random() * away for index in range(clients)}
    asked = dialed = 0
    while front.now < seconds:
        front.now += 0.01
        for name, at in due.items():
            if at > front.now:
                continue
            counts = front.now > settled
            asked += counts
            if front.places.state(name) is None:
                dialed += counts
                if not front.comes(name):
                    continue
            front.asks(name)
            due[name] = front.now + away
        front.sweep()
    return dialed / asked


@pytest.mark.parametrize(("clients", "most", "held"), [(100, 200, 0), (40, 120, 80)])
def test_those_that_all_come_back_after_two_seconds_keep_their_connections_where_there_is_room(
    clients: int, most: int, held: int
) -> None:
    """Closing them early would double the handshakes."""
    assert crowd(Front(ConnectionLimits(most, held)), clients, 2.0, 20.0, settled=4.0) == 0.0


def test_where_they_are_more_than_the_table_some_keep_theirs_all_the_same() -> None:
    """The least recently used would be the next to come each time: nobody would be served on a kept one."""
    assert crowd(Front(ConnectionLimits(60)), 120, 2.0, 40.0, settled=20.0) < 0.9


def test_a_burst_after_silence_finds_places() -> None:
    """Clients that asked once have filled the table; then nobody comes for half a minute, and then all do."""
    front = Front(ConnectionLimits(100, platform_connections_max=80))
    for index in range(300):
        front.now += 0.02
        front.comes(f"a{index}")
        front.asks(f"a{index}")
    for _ in range(250):
        front.now += 0.1
        front.sweep()
    taken = sum(front.comes(f"b{index}") for index in range(60))
    assert taken == 60


def test_a_tenth_of_the_clients_makes_nine_tenths_of_the_connections() -> None:
    """Four that open a connection for each request against forty that keep theirs."""
    front, random = Front(ConnectionLimits(150, platform_connections_max=100)), Random(2)
    due = {f"r{index}": random.random() for index in range(40)}
    asked = dialed = 0
    for turn in range(3000):
        front.now += 0.005
        front.comes(f"x{turn}")
        front.asks(f"x{turn}")
        for name, at in due.items():
            if at <= front.now:
                late = front.now > 5.0
                asked += late
                if front.places.state(name) is None:
                    dialed += late
                    front.comes(name)
                front.asks(name)
                due[name] = front.now + 0.5
        front.sweep()
    assert dialed < 0.05 * asked
