"""The relay in its own process, and the incremental reading of histories."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import pytest

from driftstair.rehearsal.tier.histories import HistoryFollower, processes, read_events
from driftstair.rehearsal.tier.links import Fault, Links
from driftstair.rehearsal.tier.relay import RelayProcess


def test_datagrams_arrive_from_the_address_of_their_sender_and_cuts_apply_in_the_relay() -> None:
    nodes = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for node in nodes:
        node.bind(("127.0.0.1", 0))
        node.settimeout(30.0)
    links = Links(seed=3)
    relay = RelayProcess(links, [node.getsockname()[1] for node in nodes])
    try:
        addresses = [
            [(host, int(port)) for host, port in (peer.rsplit(":", 1) for peer in relay.peer_addresses(own))]
            for own in range(3)
        ]

        def send_and_receive(source: int, target: int, data: bytes) -> None:
            nodes[source].sendto(data, addresses[source][target])
            assert nodes[target].recvfrom(64) == (data, addresses[target][source])

        send_and_receive(0, 1, b"one")
        send_and_receive(2, 1, b"two")
        fault = Fault(cut=True)
        links.begin([(0, 1)], fault)
        links.end([(0, 1)], fault)
        links.begin([(0, 1)], fault)
        received, sent = 0, 0
        while received == sent:  # until the cut takes effect in the relay
            nodes[0].sendto(b"cut", addresses[0][1])
            nodes[2].sendto(b"mark", addresses[2][1])
            sent += 1
            while nodes[1].recvfrom(64)[0] != b"mark":
                received += 1
        send_and_receive(1, 0, b"back")  # the link is cut in one direction only
    finally:
        for node in nodes:
            node.close()
        relay.close()
    assert (links.carried, links.lost) == (3 + 2 * sent, 1)


def test_more_nodes_than_a_relay_supports_are_refused() -> None:
    with pytest.raises(ValueError, match="251 nodes"):
        RelayProcess(Links(1), list(range(1, 252)))


def test_incremental_reading_equals_full_reading_even_if_it_stops_within_a_line(tmp_path: Path) -> None:
    def line(at: int, event: str, **fields: object) -> str:
        return json.dumps({"t_ns": at, "node": 0, "life": 7, "event": event, **fields}) + "\n"

    alive = {"member": 1, "state": "alive", "incarnation": 0, "member_life": 3, "told": True, "why": ""}
    dead = alive | {"state": "dead"}
    text = line(1, "start", nodes=2) + line(2, "member", **alive) + line(3, "member", **dead)
    path, reader = tmp_path / "n0.jsonl", HistoryFollower(tmp_path)
    assert reader.processes() == []
    for end in range(0, len(text) + 1, 7):
        path.write_text(text[:end])
        reader.processes()
    path.write_text(text)
    assert reader.processes() == [
        process for events in read_events(tmp_path) for process in processes(events)
    ]
    assert [held.state for held in reader.processes()[0].view_changes] == ["alive", "dead"]
