"""The relay in a process of its own, and histories that are read on in."""

from __future__ import annotations

import json
import socket
from pathlib import Path

import pytest

from driftstair.rehearsal.tier.histories import HistoryFollower, processes, read_events
from driftstair.rehearsal.tier.links import Fault, Links
from driftstair.rehearsal.tier.relay import RelayProcess


def test_datagrams_come_from_the_peer_that_sent_them_and_cuts_reach_the_relay() -> None:
    nodes = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
    for one in nodes:
        one.bind(("127.0.0.1", 0))
        one.settimeout(30.0)
    links = Links(seed=3)
    relay = RelayProcess(links, [one.getsockname()[1] for one in nodes])
    try:
        told = [
            [(host, int(port)) for host, port in (peer.rsplit(":", 1) for peer in relay.peer_addresses(own))]
            for own in range(3)
        ]

        def pass_on(source: int, target: int, data: bytes) -> None:
            nodes[source].sendto(data, told[source][target])
            assert nodes[target].recvfrom(64) == (data, told[target][source])

        pass_on(0, 1, b"one")
        pass_on(2, 1, b"two")
        fault = Fault(cut=True)
        links.begin([(0, 1)], fault)
        links.end([(0, 1)], fault)
        links.begin([(0, 1)], fault)
        came, sent = 0, 0
        while came == sent:  # until the cut is there
            nodes[0].sendto(b"cut", told[0][1])
            nodes[2].sendto(b"mark", told[2][1])
            sent += 1
            while nodes[1].recvfrom(64)[0] != b"mark":
                came += 1
        pass_on(1, 0, b"back")  # one way only
    finally:
        for one in nodes:
            one.close()
        relay.close()
    assert (links.carried, links.lost) == (3 + 2 * sent, 1)


def test_more_nodes_than_a_relay_serves_are_refused() -> None:
    with pytest.raises(ValueError, match="251 nodes"):
        RelayProcess(Links(1), list(range(1, 252)))


def test_following_reads_what_a_whole_reading_does_also_over_half_a_line(tmp_path: Path) -> None:
    def line(at: int, event: str, **fields: object) -> str:
        return json.dumps({"t_ns": at, "node": 0, "life": 7, "event": event, **fields}) + "\n"

    about = {"member": 1, "state": "alive", "incarnation": 0, "member_life": 3, "told": True, "why": ""}
    dead = about | {"state": "dead"}
    text = line(1, "start", nodes=2) + line(2, "member", **about) + line(3, "member", **dead)
    path, following = tmp_path / "n0.jsonl", HistoryFollower(tmp_path)
    assert following.processes() == []
    for end in range(0, len(text) + 1, 7):
        path.write_text(text[:end])
        following.processes()
    path.write_text(text)
    assert following.processes() == [one for events in read_events(tmp_path) for one in processes(events)]
    assert [held.state for held in following.processes()[0].view_changes] == ["alive", "dead"]
