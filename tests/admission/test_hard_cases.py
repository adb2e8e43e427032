"""The connection table under client behaviour that a simple rule such as LRU handles badly."""

from __future__ import annotations

from random import Random

import pytest
from test_places import SimulatedFrontEnd

from driftstair.admission.connection_table import ConnectionLimits


def reconnect_share(
    front: SimulatedFrontEnd, clients: int, away: float, seconds: float, settled: float
) -> float:
    """Each client sends a request every `away` s. Returns the share of requests after `settled` s that needed
    a new connection."""
    random = Random(1)
    next_request_at = {f"r{index}": random.random() * away for index in range(clients)}
    requests = reconnects = 0
    while front.now < seconds:
        front.now += 0.01
        for name, due_at in next_request_at.items():
            if due_at > front.now:
                continue
            is_settled = front.now > settled
            requests += is_settled
            if front.table.state(name) is None:
                reconnects += is_settled
                if not front.connect(name):
                    continue
            front.serve_request(name)
            next_request_at[name] = front.now + away
        front.sweep()
    return reconnects / requests


@pytest.mark.parametrize(
    ("clients", "connections_max", "platform_connections_max"), [(100, 200, 0), (40, 120, 80)]
)
def test_clients_that_return_after_two_seconds_keep_their_connections_while_there_is_room(
    clients: int, connections_max: int, platform_connections_max: int
) -> None:
    """Closing the connections early would double the handshakes."""
    assert (
        reconnect_share(
            SimulatedFrontEnd(ConnectionLimits(connections_max, platform_connections_max)),
            clients,
            2.0,
            20.0,
            settled=4.0,
        )
        == 0.0
    )


def test_some_connections_are_reused_when_clients_outnumber_the_table() -> None:
    """Under LRU the connection closed would always be the next one needed: none would ever be reused."""
    assert reconnect_share(SimulatedFrontEnd(ConnectionLimits(60)), 120, 2.0, 40.0, settled=20.0) < 0.9


def test_a_burst_after_silence_is_accepted() -> None:
    """Connections with one request fill the table; 25 s later, 60 clients connect at once."""
    front = SimulatedFrontEnd(ConnectionLimits(100, platform_connections_max=80))
    for index in range(300):
        front.now += 0.02
        front.connect(f"a{index}")
        front.serve_request(f"a{index}")
    for _ in range(250):
        front.now += 0.1
        front.sweep()
    accepted = sum(front.connect(f"b{index}") for index in range(60))
    assert accepted == 60


def test_short_lived_connections_do_not_displace_reused_ones() -> None:
    """Clients that open a connection per request must not displace the forty that keep theirs."""
    front, random = SimulatedFrontEnd(ConnectionLimits(150, platform_connections_max=100)), Random(2)
    next_request_at = {f"r{index}": random.random() for index in range(40)}
    requests = reconnects = 0
    for step in range(3000):
        front.now += 0.005
        front.connect(f"x{step}")
        front.serve_request(f"x{step}")
        for name, due_at in next_request_at.items():
            if due_at <= front.now:
                is_settled = front.now > 5.0
                requests += is_settled
                if front.table.state(name) is None:
                    reconnects += is_settled
                    front.connect(name)
                front.serve_request(name)
                next_request_at[name] = front.now + 0.5
        front.sweep()
    assert reconnects < 0.05 * requests
