"""The watch of configuration: which server, when, from where; and reports on a kept connection."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from contextlib import suppress
from random import Random

import pytest
from control_server import ControlServer
from rig import run, until

from driftstair.configuration.messages import Freshness, NodeReport, encode
from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.hosts import parse_address
from driftstair.net import watch as net_watch
from driftstair.net.backoff import Backoff
from driftstair.net.system import SOCKET_SYSTEM
from driftstair.node_configuration import client, reporter
from driftstair.node_configuration.client import ConfigurationWatch, SnapshotCursor, WatchPosition
from driftstair.node_configuration.reporter import Reporter
from driftstair.node_configuration.servers import AVOIDED_S, ServerChoice

DEAD = ("127.0.0.1", 1)
PRESENT = encode(Freshness(0, 0)) + b"\n"


class Receiver:
    """Notes what comes."""

    def __init__(self) -> None:
        self.at = WatchPosition(0, None)
        self.lines: list[bytes] = []
        self.ended = 0
        self.takes = True

    def position(self) -> WatchPosition:
        return self.at

    def on_watch_line(self, line: bytes) -> bool:
        self.lines.append(line)
        return self.takes

    def on_watch_ended(self) -> None:
        self.ended += 1


@pytest.fixture(autouse=True)
def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "PAUSE_FIRST_S", 0.01)
    monkeypatch.setattr(client, "PAUSE_MAX_S", 0.02)
    monkeypatch.setattr(reporter, "INTERVAL_S", 0.02)
    monkeypatch.setattr(reporter, "SPREAD_S", 0.0)


def watch_of(receiver: Receiver, *servers: ControlServer, seed: int = 1) -> ConfigurationWatch:
    addresses = [parse_address(server.address) for server in servers] or [DEAD]
    return ConfigurationWatch(addresses, "node 1", receiver, SOCKET_SYSTEM, seed)


def test_a_watch_goes_on_from_the_applied_revision_and_from_the_last_part_of_a_snapshot() -> None:
    async def test() -> None:
        receiver = Receiver()
        async with ControlServer() as server:
            watch = watch_of(receiver, server)
            watch.start()
            await until(lambda: server.queries)
            assert server.queries[0] == {"watch": "1", "from": "0", "node": "node 1"}
            key = ResourceKey(ResourceKind.TENANT, "a/ü&b")
            receiver.at = WatchPosition(7, SnapshotCursor(41, key))
            server.say_bytes(b"\n" + PRESENT)
            await until(lambda: receiver.lines)
            assert receiver.lines == [PRESENT.strip()] and watch.server == parse_address(server.address)
            server.cut()
            await until(lambda: len(server.queries) == 2)
            assert server.queries[1] == {
                "watch": "1", "from": "7", "node": "node 1", "snapshot": "41", "after": "tenant/a/ü&b",
            }  # fmt: skip
            assert receiver.ended == 1
            watch.stop()

    run(test())


@pytest.mark.parametrize("how", ["status", "garbage", "long", "end", "mute", "silent", "cut"])
def test_a_watch_that_fails_is_one_line_and_another_server_is_tried(
    how: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(client, "ANSWER_S", 0.05 if how == "mute" else 5.0)
    monkeypatch.setattr(client, "SILENCE_TIMEOUT_S", 0.05 if how == "silent" else 5.0)

    async def test() -> None:
        receiver = Receiver()
        async with ControlServer() as bad, ControlServer() as good:
            bad.head = {
                "status": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "garbage": b"\x00\x01\r\n",
                "end": bad.head + b"0\r\n\r\n", "mute": b"",
            }.get(how, bad.head)  # fmt: skip
            watch = watch_of(receiver, bad, good)
            watch._choice.avoid(asyncio.get_running_loop().time(), parse_address(good.address))
            watch.start()
            await until(lambda: bad.queries)
            watch._choice._avoided_at.clear()
            if how == "long":
                bad.say_bytes(b"x" * (client.LINE_BYTES_MAX + 1))
            elif how == "silent":
                bad.say_bytes(PRESENT)
            elif how == "cut":
                bad.cut()
            await until(lambda: good.queries)
            assert len(bad.queries) == 1
            watch.stop()

    with caplog.at_level(logging.WARNING):
        run(test())
    ended = [record.getMessage() for record in caplog.records if "watch ended" in record.getMessage()]
    assert len(ended) == 1 and ended[0].startswith("watch ended: 127.0.0.1:"), ended


def test_nodes_that_lose_their_server_spread_over_the_others_and_over_time() -> None:
    servers = [("127.0.0.1", port) for port in range(7)]
    chosen: Counter[tuple[str, int]] = Counter()
    tenths: Counter[int] = Counter()
    for seed in range(3_100):
        choice = ServerChoice(servers, Random(seed))
        choice.avoid(100.0, servers[0])
        chosen[choice.next(100.0 + AVOIDED_S / 2)] += 1
        tenths[int(Backoff(1.0, 8.0, seed, jitter=1.0).pause() * 10)] += 1
    assert chosen[servers[0]] == 0
    assert all(400 < chosen[server] < 640 for server in servers[1:])  # 517 each, were it even
    assert all(220 < tenths[tenth] < 400 for tenth in range(10))  # 310 each
    choice = ServerChoice(servers, Random(1))
    choice.avoid(0.0, servers[0])
    assert servers[0] in {choice.next(AVOIDED_S + 1.0) for _ in range(200)}  # after a while it counts again


def test_a_stale_server_is_left_where_there_is_another_and_kept_where_there_is_none() -> None:
    async def test() -> None:
        receiver = Receiver()
        async with ControlServer() as first, ControlServer() as second:
            watch = watch_of(receiver, first, second)
            watch.start()
            await until(lambda: first.queries or second.queries)
            left, kept = (first, second) if first.queries else (second, first)
            left.say_bytes(PRESENT)
            await until(lambda: receiver.lines)
            assert watch.leave("is stale")
            await until(lambda: kept.queries)
            kept.say_bytes(PRESENT)
            await until(lambda: len(receiver.lines) == 2)
            assert not watch.leave("is stale too")
            assert watch.server == parse_address(kept.address) and len(left.queries) == 1
            watch.stop()

    run(test())


def test_a_watch_that_is_read_no_further_is_not_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a node that builds a great snapshot and takes the server for a dead one meanwhile."""
    monkeypatch.setattr(client, "SILENCE_TIMEOUT_S", 0.05)

    async def test() -> None:
        receiver = Receiver()
        async with ControlServer() as server:
            watch = watch_of(receiver, server)
            watch.start()
            await until(lambda: server.queries)
            receiver.takes = False
            server.say_bytes(PRESENT)
            await until(lambda: receiver.lines)
            server.say_bytes(PRESENT)
            await asyncio.sleep(0.2)
            assert len(receiver.lines) == 1 and not receiver.ended
            receiver.takes = True
            watch.resume()
            await until(lambda: len(receiver.lines) == 2)
            watch.stop()

    run(test())
    assert net_watch.LATE_READ_GRACE_S < 0.05


def test_every_way_to_another_server_is_shorter_than_the_time_a_change_has() -> None:
    silence, answer, pause = client.SILENCE_TIMEOUT_S, client.ANSWER_S, 1.0  # s; the first pause
    assert silence + pause + client.DIAL_TIMEOUT_S + answer < 14.0


def report(revision: int) -> NodeReport:
    return NodeReport("node 1", 5, revision, f"{revision:016x}")


def test_reports_go_on_one_connection_and_again_to_another_server() -> None:
    async def test() -> None:
        async with ControlServer() as one, ControlServer() as other:
            server, revision = one, 1
            sender = Reporter(
                lambda: report(revision), lambda: parse_address(server.address), SOCKET_SYSTEM, 1
            )
            sender.start()
            sender.changed()
            await until(lambda: one.reports)
            revision = 2
            for _ in range(50):
                sender.changed()  # in one turn: one report
            await until(lambda: len(one.reports) == 2)
            await asyncio.sleep(0.1)
            assert [told.revision for told in one.reports] == [1, 2] and one.report_connections == 1
            server = other
            sender.changed()
            await until(lambda: other.reports)
            assert other.reports[0] == report(2)
            sender.stop()

    run(test())


def test_a_report_that_is_not_taken_goes_again_and_a_dead_server_is_no_trouble() -> None:
    async def test() -> None:
        async with ControlServer() as server:
            address = DEAD
            sender = Reporter(lambda: report(3), lambda: address, SOCKET_SYSTEM, 1)
            sender.start()
            sender.changed()
            await asyncio.sleep(0.05)
            server.report_status = 503
            address = parse_address(server.address)
            await until(lambda: server.reports)
            server.report_status = 204
            await until(lambda: sender.sent)
            assert server.reports[-1] == report(3)
            sender.stop()
            with suppress(asyncio.CancelledError):
                assert sender._task is not None
                await sender._task

    run(test())


def test_reports_are_a_second_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.undo()
    assert reporter.INTERVAL_S >= 1.0


def test_what_has_not_changed_is_said_again_so_that_no_control_server_forgets_the_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(reporter, "UNCHANGED_S", 0.02)

    async def test() -> None:
        async with ControlServer() as server:
            sender = Reporter(lambda: report(4), lambda: parse_address(server.address), SOCKET_SYSTEM, 1)
            sender.start()
            await until(lambda: len(server.reports) == 3)
            assert server.report_connections == 1
            sender.stop()

    run(test())
