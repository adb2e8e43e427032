"""The configuration watch: choice of the server, pauses and positions. Reports on a persistent connection."""

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
from driftstair.node_configuration.servers import AVOID_S, ServerSelector

UNREACHABLE_SERVER = ("127.0.0.1", 1)
FRESHNESS_LINE = encode(Freshness(0, 0)) + b"\n"


class RecordingReceiver:
    """Records what the watch delivers."""

    def __init__(self) -> None:
        self.next_position = WatchPosition(0, None)
        self.lines: list[bytes] = []
        self.ended_count = 0
        self.accepts_more = True

    def position(self) -> WatchPosition:
        return self.next_position

    def on_watch_line(self, line: bytes) -> bool:
        self.lines.append(line)
        return self.accepts_more

    def on_watch_ended(self) -> None:
        self.ended_count += 1


@pytest.fixture(autouse=True)
def shorten_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "FIRST_PAUSE_MAX_S", 0.01)
    monkeypatch.setattr(client, "PAUSE_MAX_S", 0.02)
    monkeypatch.setattr(reporter, "REPORT_INTERVAL_MIN_S", 0.02)
    monkeypatch.setattr(reporter, "REPORT_DELAY_MAX_S", 0.0)


def create_watch(receiver: RecordingReceiver, *servers: ControlServer, seed: int = 1) -> ConfigurationWatch:
    addresses = [parse_address(server.address) for server in servers] or [UNREACHABLE_SERVER]
    return ConfigurationWatch(addresses, "node 1", receiver, SOCKET_SYSTEM, seed)


def test_a_watch_continues_after_the_applied_revision_or_the_last_received_resource_of_a_snapshot() -> None:
    async def test() -> None:
        receiver = RecordingReceiver()
        async with ControlServer() as server:
            watch = create_watch(receiver, server)
            watch.start()
            await until(lambda: server.queries)
            assert server.queries[0] == {"watch": "1", "from": "0", "node": "node 1"}
            key = ResourceKey(ResourceKind.TENANT, "a/ü&b")
            receiver.next_position = WatchPosition(7, SnapshotCursor(41, key))
            server.send_bytes(b"\n" + FRESHNESS_LINE)
            await until(lambda: receiver.lines)
            assert receiver.lines == [FRESHNESS_LINE.strip()] and watch.server == parse_address(
                server.address
            )
            server.abort_watches()
            await until(lambda: len(server.queries) == 2)
            assert server.queries[1] == {
                "watch": "1", "from": "7", "node": "node 1", "snapshot": "41", "after": "tenant/a/ü&b",
            }  # fmt: skip
            assert receiver.ended_count == 1
            watch.stop()

    run(test())


@pytest.mark.parametrize("failure", ["status", "garbage", "long", "end", "mute", "silent", "cut"])
def test_a_failed_watch_is_logged_in_one_line_and_another_server_is_watched(
    failure: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(client, "ANSWER_TIMEOUT_S", 0.05 if failure == "mute" else 5.0)
    monkeypatch.setattr(client, "SILENCE_TIMEOUT_S", 0.05 if failure == "silent" else 5.0)

    async def test() -> None:
        receiver = RecordingReceiver()
        async with ControlServer() as bad, ControlServer() as good:
            bad.response_head = {
                "status": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "garbage": b"\x00\x01\r\n",
                "end": bad.response_head + b"0\r\n\r\n", "mute": b"",
            }.get(failure, bad.response_head)  # fmt: skip
            watch = create_watch(receiver, bad, good)
            watch._selector.avoid(asyncio.get_running_loop().time(), parse_address(good.address))
            watch.start()
            await until(lambda: bad.queries)
            watch._selector._avoided_at.clear()
            if failure == "long":
                bad.send_bytes(b"x" * (client.LINE_BYTES_MAX + 1))
            elif failure == "silent":
                bad.send_bytes(FRESHNESS_LINE)
            elif failure == "cut":
                bad.abort_watches()
            await until(lambda: good.queries)
            assert len(bad.queries) == 1
            watch.stop()

    with caplog.at_level(logging.WARNING):
        run(test())
    end_messages = [record.getMessage() for record in caplog.records if "watch ended" in record.getMessage()]
    assert len(end_messages) == 1 and end_messages[0].startswith("watch ended: 127.0.0.1:"), end_messages


def test_nodes_that_lose_their_server_spread_over_other_servers_and_over_time() -> None:
    servers = [("127.0.0.1", port) for port in range(7)]
    chosen: Counter[tuple[str, int]] = Counter()
    pauses_by_tenth: Counter[int] = Counter()
    for seed in range(3_100):
        selector = ServerSelector(servers, Random(seed))
        selector.avoid(100.0, servers[0])
        chosen[selector.select(100.0 + AVOID_S / 2)] += 1
        pauses_by_tenth[int(Backoff(1.0, 8.0, seed, jitter=1.0).pause() * 10)] += 1
    assert chosen[servers[0]] == 0
    assert all(400 < chosen[server] < 640 for server in servers[1:])  # 517 each on average
    assert all(220 < pauses_by_tenth[tenth] < 400 for tenth in range(10))  # 310 each on average
    selector = ServerSelector(servers, Random(1))
    selector.avoid(0.0, servers[0])
    assert servers[0] in {selector.select(AVOID_S + 1.0) for _ in range(200)}  # avoided for a limited time


def test_a_stale_server_is_left_only_if_there_is_another_one() -> None:
    async def test() -> None:
        receiver = RecordingReceiver()
        async with ControlServer() as first, ControlServer() as second:
            watch = create_watch(receiver, first, second)
            watch.start()
            await until(lambda: first.queries or second.queries)
            stale_server, remaining_server = (first, second) if first.queries else (second, first)
            stale_server.send_bytes(FRESHNESS_LINE)
            await until(lambda: receiver.lines)
            assert watch.switch_server("is stale")
            await until(lambda: remaining_server.queries)
            remaining_server.send_bytes(FRESHNESS_LINE)
            await until(lambda: len(receiver.lines) == 2)
            assert not watch.switch_server("is stale too")
            assert watch.server == parse_address(remaining_server.address) and len(stale_server.queries) == 1
            watch.stop()

    run(test())


def test_a_watch_with_paused_reading_does_not_count_as_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    """A node that builds a large snapshot pauses reading: without an exemption, it would take the server for
    dead."""
    monkeypatch.setattr(client, "SILENCE_TIMEOUT_S", 0.05)

    async def test() -> None:
        receiver = RecordingReceiver()
        async with ControlServer() as server:
            watch = create_watch(receiver, server)
            watch.start()
            await until(lambda: server.queries)
            receiver.accepts_more = False
            server.send_bytes(FRESHNESS_LINE)
            await until(lambda: receiver.lines)
            server.send_bytes(FRESHNESS_LINE)
            await asyncio.sleep(0.2)
            assert len(receiver.lines) == 1 and not receiver.ended_count
            receiver.accepts_more = True
            watch.resume_reading()
            await until(lambda: len(receiver.lines) == 2)
            watch.stop()

    run(test())
    assert net_watch.LATE_READ_GRACE_S < 0.05


def test_changing_servers_takes_less_than_the_time_allowed_for_a_change() -> None:
    # The first pause before another watch is at most 1 s long.
    silence_s, answer_s, pause_s = client.SILENCE_TIMEOUT_S, client.ANSWER_TIMEOUT_S, 1.0
    assert silence_s + pause_s + client.DIAL_TIMEOUT_S + answer_s < 14.0


def node_report(revision: int) -> NodeReport:
    return NodeReport("node 1", 5, revision, f"{revision:016x}")


def test_reports_use_one_connection_per_server_and_are_sent_again_to_another_server() -> None:
    async def test() -> None:
        async with ControlServer() as first, ControlServer() as second:
            server, revision = first, 1
            sender = Reporter(
                lambda: node_report(revision), lambda: parse_address(server.address), SOCKET_SYSTEM, 1
            )
            sender.start()
            sender.report_soon()
            await until(lambda: first.reports)
            revision = 2
            for _ in range(50):
                sender.report_soon()  # several requests in one turn of the event loop result in one report
            await until(lambda: len(first.reports) == 2)
            await asyncio.sleep(0.1)
            assert [report.revision for report in first.reports] == [1, 2] and first.report_connections == 1
            server = second
            sender.report_soon()
            await until(lambda: second.reports)
            assert second.reports[0] == node_report(2)
            sender.stop()

    run(test())


def test_a_report_is_sent_again_after_a_failed_connection_or_a_rejection() -> None:
    async def test() -> None:
        async with ControlServer() as server:
            address = UNREACHABLE_SERVER
            sender = Reporter(lambda: node_report(3), lambda: address, SOCKET_SYSTEM, 1)
            sender.start()
            sender.report_soon()
            await asyncio.sleep(0.05)
            server.report_status = 503
            address = parse_address(server.address)
            await until(lambda: server.reports)
            server.report_status = 204
            await until(lambda: sender.accepted_reports)
            assert server.reports[-1] == node_report(3)
            sender.stop()
            with suppress(asyncio.CancelledError):
                assert sender._task is not None
                await sender._task

    run(test())


def test_reports_are_at_least_a_second_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.undo()
    assert reporter.REPORT_INTERVAL_MIN_S >= 1.0


def test_unchanged_reports_are_repeated_so_that_no_control_server_forgets_the_node(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(reporter, "REPEAT_INTERVAL_MAX_S", 0.02)

    async def test() -> None:
        async with ControlServer() as server:
            sender = Reporter(lambda: node_report(4), lambda: parse_address(server.address), SOCKET_SYSTEM, 1)
            sender.start()
            await until(lambda: len(server.reports) == 3)
            assert server.report_connections == 1
            sender.stop()

    run(test())
