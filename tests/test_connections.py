"""Connections to servers: which are pooled, which are closed, and how many there may be."""

from __future__ import annotations

import asyncio
import errno
import gc
import os

import pytest
from rig import (
    Client,
    FailingDials,
    Message,
    Rig,
    Server,
    answer,
    configuration,
    request,
    run,
    sends,
    serves,
    silent,
    status,
    until,
)

from driftstair.hosts import parse_list
from driftstair.net import reuse_delay
from driftstair.net.identifiers import digest
from lichenspring import interface as api
from lichenspring.interface import Result


def change(*servers: Server, full: bool = False):  # type: ignore[no-untyped-def]
    return parse_list({"version": 9, "full": full, "servers": [server.entry() for server in servers]})


async def ask_at_once(rig: Rig, count: int) -> list[int]:
    clients = [await rig.client() for _ in range(count)]
    return [status(got) for got in await asyncio.gather(*(client.ask(request()) for client in clients))]


def test_most_recently_used_connection_is_reused_first(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(reuse_delay, "REUSE_DELAY_MIN_NS", 0)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            assert await ask_at_once(rig, 2) == [200, 200]
            assert server.connections == 2
            (pool,) = rig.node._pools._pools.values()
            latest = pool.idle[-1]
            client = await rig.client()
            for _ in range(5):
                assert status(await client.ask(request())) == 200
            assert server.connections == 2
            assert pool.idle[-1] is latest

    run(test())


def test_connection_waits_for_reuse_delay_and_is_checked_for_unread_data(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a second copy of an answer that is unread when the connection is reused: the next client
    would be served with the other client's answer."""
    monkeypatch.setattr(reuse_delay, "REUSE_DELAY_MIN_NS", 10**12)

    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def note(message: Message, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            writer.write(answer(body=message.body))

        async with Server("s-1", note) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            assert (await client.ask(request(body=b"one"))).body == b"one"
            assert (await client.ask(request(body=b"two"))).body == b"two"
            assert server.connections == 2  # the reuse delay of the first one has not passed
            monkeypatch.setattr(reuse_delay, "REUSE_DELAY_MIN_NS", 0)
            (pool,) = rig.node._pools._pools.values()
            # The loop does not get to read the copies before the connections are checked.
            for connection in pool.idle:
                connection.data_received = lambda data: None  # type: ignore[method-assign]
            peers = [writer.get_extra_info("socket") for writer in writers]
            for peer in peers:
                os.write(peer.fileno(), answer(body=b"copy"))
            assert [one.has_no_unread_data() for one in pool.idle] == [False, False]
            assert pool.take() is None and not pool.idle
            assert (await client.ask(request(body=b"three"))).body == b"three"
            assert server.connections == 3

    run(test())


@pytest.mark.parametrize("reply", [answer(Connection="close"), answer().replace(b"HTTP/1.1", b"HTTP/1.0")])
def test_connection_ended_by_server_is_not_pooled(reply: bytes) -> None:
    async def test() -> None:
        async with Server("s-1", sends(reply)) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            for count in (1, 2):
                assert status(await client.ask(request())) == 200
                assert server.connections == count
            await until(lambda: rig.node._pools.sockets == 0)

    run(test())


def test_idle_connections_are_closed_before_the_servers_idle_timeout() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server, IdleClose=200_000_000)) as rig:
            client = await rig.client()
            assert status(await client.ask(request())) == 200
            await until(lambda: server.open == 0)
            assert rig.node._pools.sockets == 0

    run(test())


def test_idle_connection_closed_by_server_is_removed() -> None:
    async def test() -> None:
        writers: list[asyncio.StreamWriter] = []

        async def note(message: Message, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            await serves(message, writer)

        async with Server("s-1", note) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            assert status(await client.ask(request())) == 200
            writers[0].close()
            await until(lambda: rig.node._pools.sockets == 0)
            assert status(await client.ask(request("order"))) == 200

    run(test())


def test_close_idle_connections_action_closes_idle_ones_only() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            assert await ask_at_once(rig, 2) == [200, 200]
            server.script = silent
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: len(server.seen) == 3)
            rig.node._execute(api.CloseIdleConnections(digest("s-1")))
            await until(lambda: server.open == 1)

    run(test())


@pytest.mark.parametrize("state", ["Terminating", "Gone", "absent"])
def test_leaving_server_gets_no_new_requests_and_finishes_open_ones(state: str) -> None:
    release = asyncio.Event()

    async def waits(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer(body=b"late"))

    async def test() -> None:
        async with Server("s-1") as server, Server("s-2") as other, Rig(configuration(server)) as rig:
            assert await ask_at_once(rig, 3) == [200, 200, 200]
            server.script = waits
            client = await rig.client()
            client.writer.write(request("order"))
            await until(lambda: len(server.seen) == 4)
            server.state = state
            rig.node.servers.on_list(change(other, full=True) if state == "absent" else change(server, other))
            await until(lambda: server.open == 1)  # the idle ones are closed
            assert set(await ask_at_once(rig, 4)) == {200}
            assert (len(server.seen), len(other.seen)) == (4, 4)
            release.set()
            assert (await client.read()).body == b"late"
            await until(lambda: server.open == 0)
            assert rig.spy.outcomes()[-1].result is Result.OK

    run(test())


@pytest.mark.parametrize("moved", [False, True])
def test_restarted_or_moved_server_gets_new_connections(moved: bool) -> None:
    async def test() -> None:
        async with Server("s-1") as server, Server("s-1") as later, Rig(configuration(server)) as rig:
            client = await rig.client()
            assert status(await client.ask(request())) == 200
            if moved:
                server.address = later.address
            else:
                server.started_ms = 1_700_000_000_000
            rig.node.servers.on_list(change(server))
            await until(lambda: server.open == 0)
            assert status(await client.ask(request())) == 200
            assert (server.connections, later.connections) == ((1, 1) if moved else (2, 0))

    run(test())


def test_lack_of_descriptors_is_not_a_server_failure_and_closes_idle_connections() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Server("s-2") as other, Rig(configuration(server)) as rig:
            rig.node._pools._sockets_max = 2
            assert await ask_at_once(rig, 2) == [200, 200]
            rig.node.servers.on_list(change(server, other))
            rig.node._pools._sockets_max = 1
            server.script = other.script = silent
            clients = [await rig.client() for _ in range(3)]
            for client in clients:
                client.writer.write(request("order"))
            await until(lambda: [one for one in rig.spy.outcomes() if one.result is Result.NOT_SENT])
            assert not [one for one in rig.spy.outcomes() if one.result is Result.CONNECT_FAILED]
            # An idle connection within its reuse delay is closed for a dial and not reused; both count until
            # its transport is gone, a turn of the loop later.
            await until(lambda: rig.node._pools.sockets <= 2)

    run(test())


def test_ended_connections_are_freed_without_garbage_collection() -> None:
    """Guards against reference cycles between connections and their parsers, which kept hundreds of closed
    connections in memory until a garbage collection."""

    async def test() -> None:
        once = sends(answer(Connection="close"))
        async with Server("s-1", once) as server, Rig(configuration(server)) as rig:
            gc.collect()
            gc.disable()
            try:
                # The decision module opens a watch at a random time in its first seconds, and no server
                # answers it here. The watch is opened now, so that its parser can't appear during the count.
                rig.node.servers.watch()
                for _ in range(20):
                    client = await rig.client()
                    assert status(await client.ask(request())) == 200
                    client.writer.close()
                await until(lambda: not rig.frontend._connections and not rig.node._pools.sockets)
                await asyncio.sleep(0)
                left = [type(one).__name__ for one in gc.get_objects()]
                assert left.count("HttpRequestParser") == left.count("HttpResponseParser") == 0
                assert left.count("ClientConnection") + left.count("Connection") <= 2
            finally:
                gc.enable()

    run(test())


def misdelivered_answers(delay_s: float, requests: int) -> int:
    """Number of answers delivered to the wrong request, with three clients and one server that writes each
    answer again after `delay_s` seconds."""
    misdelivered = 0

    async def answers_twice(message: Message, writer: asyncio.StreamWriter) -> None:
        body = message.headers["x-request-id"].encode()
        writer.write(answer(body=body))
        await asyncio.sleep(delay_s)
        writer.write(answer(body=body))

    async def ask(client: Client) -> None:
        nonlocal misdelivered
        for turn in range(requests):
            data = request()
            got = await client.ask(data)
            misdelivered += status(got) == 200 and got.body not in data
            await asyncio.sleep(turn % 10 / 1000)

    async def test() -> None:
        async with Server("s-1", answers_twice) as server, Rig(configuration(server)) as rig:
            clients = [await rig.client() for _ in range(3)]
            await asyncio.gather(*map(ask, clients))

    run(test())
    return misdelivered


@pytest.mark.parametrize("delay_ms", [6, 10, 20])
def test_late_second_answer_is_not_delivered_to_the_next_client(delay_ms: int) -> None:
    assert misdelivered_answers(delay_ms / 1000, requests=60) == 0


def test_reuse_delay_grows_with_unsolicited_bytes_and_decays() -> None:
    reuse = reuse_delay.ReuseDelay()
    second = 1_000_000_000
    assert reuse.current_ns(0) == reuse_delay.REUSE_DELAY_MIN_NS
    reuse.on_unsolicited_bytes(second, 100_000_000)
    assert reuse.current_ns(second) == 400_000_000
    reuse.on_unsolicited_bytes(2 * second, 1_000_000)  # a shorter lateness does not reduce the delay
    assert reuse.current_ns(2 * second) == 400_000_000
    reuse.on_unsolicited_bytes(3 * second, 3600 * second)
    assert reuse.current_ns(3 * second) == reuse_delay.REUSE_DELAY_MAX_NS
    faded = [reuse.current_ns(3 * second + fades * reuse_delay.DECAY_HALF_LIFE_NS) for fades in (1, 2, 1000)]
    assert faded == [
        reuse_delay.REUSE_DELAY_MAX_NS // 2,
        reuse_delay.REUSE_DELAY_MAX_NS // 4,
        reuse_delay.REUSE_DELAY_MIN_NS,
    ]


@pytest.mark.parametrize("error", ["ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "ENOMEM", "EAGAIN", "EMFILE"])
def test_dial_with_transient_error_is_retried(error: str) -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.node._pools.system = FailingDials(getattr(errno, error), 2)
            client = await rig.client()
            assert status(await client.ask(request())) == 200
            assert [one.result for one in rig.spy.outcomes()] == [Result.OK]

    run(test())


@pytest.mark.parametrize(
    ("error", "result"),
    [
        ("ENOBUFS", Result.NOT_SENT),
        ("EADDRNOTAVAIL", Result.NOT_SENT),
        ("ENOMEM", Result.NOT_SENT),
        ("EAGAIN", Result.NOT_SENT),
        ("ENFILE", Result.NOT_SENT),
        ("ENETUNREACH", Result.CONNECT_FAILED),
        ("EHOSTUNREACH", Result.CONNECT_FAILED),
        ("ETIMEDOUT", Result.CONNECT_FAILED),
        ("ECONNREFUSED", Result.CONNECT_FAILED),
    ],
)
def test_local_dial_errors_are_not_server_failures(error: str, result: Result) -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.node._pools.system = FailingDials(getattr(errno, error), 1000)
            client = await rig.client()
            assert status(await client.ask(request())) == 503
            assert {one.result for one in rig.spy.outcomes()} == {result}
            assert rig.node._pools.sockets == 0

    run(test())
