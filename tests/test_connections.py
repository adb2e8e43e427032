"""Connections to servers: which are kept, which are closed, and how many there may be."""

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


def test_connections_are_used_again_the_latest_first(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_connection_rests_after_an_answer_and_is_looked_at_before_it_is_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A second copy of an answer came behind it, and was with the kernel when the next request went out: its
    client was served with the other one's answer."""
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
            assert server.connections == 2  # the first one rests
            monkeypatch.setattr(reuse_delay, "REUSE_DELAY_MIN_NS", 0)
            (pool,) = rig.node._pools._pools.values()
            # Both are sent at once, before the loop can see what has come with them.
            for connection in pool.idle:
                connection.data_received = lambda data: None  # type: ignore[method-assign]
            peers = [writer.get_extra_info("socket") for writer in writers]
            for peer in peers:
                os.write(peer.fileno(), answer(body=b"copy"))
            assert [one.is_quiet() for one in pool.idle] == [False, False]
            assert pool.take() is None and not pool.idle
            assert (await client.ask(request(body=b"three"))).body == b"three"
            assert server.connections == 3

    run(test())


@pytest.mark.parametrize("reply", [answer(Connection="close"), answer().replace(b"HTTP/1.1", b"HTTP/1.0")])
def test_a_connection_that_the_server_ends_is_not_kept(reply: bytes) -> None:
    async def test() -> None:
        async with Server("s-1", sends(reply)) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            for count in (1, 2):
                assert status(await client.ask(request())) == 200
                assert server.connections == count
            await until(lambda: rig.node._pools.sockets == 0)

    run(test())


def test_idle_connections_are_dropped_before_the_servers_limit() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server, IdleClose=200_000_000)) as rig:
            client = await rig.client()
            assert status(await client.ask(request())) == 200
            await until(lambda: server.open == 0)
            assert rig.node._pools.sockets == 0

    run(test())


def test_a_connection_that_the_server_closes_while_idle_is_forgotten() -> None:
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


def test_hang_up_closes_idle_connections_only() -> None:
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
def test_a_server_that_leaves_gets_nothing_new_and_finishes_what_it_has(state: str) -> None:
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
def test_a_restarted_or_moved_server_inherits_no_connection(moved: bool) -> None:
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


def test_want_of_descriptors_is_no_fault_of_a_server_and_idle_ones_make_room() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Server("s-2") as other, Rig(configuration(server)) as rig:
            rig.node._pools._sockets_most = 2
            assert await ask_at_once(rig, 2) == [200, 200]
            rig.node.servers.on_list(change(server, other))
            rig.node._pools._sockets_most = 1
            server.script = other.script = silent
            clients = [await rig.client() for _ in range(3)]
            for client in clients:
                client.writer.write(request("order"))
            await until(lambda: [one for one in rig.spy.outcomes() if one.result is Result.NOT_SENT])
            assert not [one for one in rig.spy.outcomes() if one.result is Result.CONNECT_FAILED]
            # An idle one used less than `REST` ago is closed for a dial and not used again; both count
            # until its transport is gone, a turn of the loop later.
            await until(lambda: rig.node._pools.sockets <= 2)

    run(test())


def test_connections_that_have_ended_are_freed_at_once() -> None:
    """Each was held by its own parser until the collector came, hundreds at a time: memory that never went
    back, on days on which connections are ever new."""

    async def test() -> None:
        once = sends(answer(Connection="close"))
        async with Server("s-1", once) as server, Rig(configuration(server)) as rig:
            gc.collect()
            gc.disable()
            try:
                # The module asks for the list at a random time of its first seconds, and here nobody answers:
                # where that fell into this test, the parser of a watch that never came up was left over.
                rig.node.servers.watch()
                for _ in range(20):
                    client = await rig.client()
                    assert status(await client.ask(request())) == 200
                    client.writer.close()
                await until(lambda: not rig.front._connections and not rig.node._pools.sockets)
                await asyncio.sleep(0)
                left = [type(one).__name__ for one in gc.get_objects()]
                assert left.count("HttpRequestParser") == left.count("HttpResponseParser") == 0
                assert left.count("ClientConnection") + left.count("Connection") <= 2
            finally:
                gc.enable()

    run(test())


def wrong_answers(late: float, requests: int) -> int:
    """Answers that were given to another request, of three clients before one server that writes each of its
    answers a second time, so late (s)."""
    wrong = 0

    async def twice(message: Message, writer: asyncio.StreamWriter) -> None:
        body = message.headers["x-request-id"].encode()
        writer.write(answer(body=body))
        await asyncio.sleep(late)
        writer.write(answer(body=body))

    async def ask(client: Client) -> None:
        nonlocal wrong
        for turn in range(requests):
            data = request()
            got = await client.ask(data)
            wrong += status(got) == 200 and got.body not in data
            await asyncio.sleep(turn % 10 / 1000)

    async def test() -> None:
        async with Server("s-1", twice) as server, Rig(configuration(server)) as rig:
            clients = [await rig.client() for _ in range(3)]
            await asyncio.gather(*map(ask, clients))

    run(test())
    return wrong


@pytest.mark.parametrize("late_ms", [6, 10, 20])
def test_a_second_answer_that_comes_late_is_not_given_to_the_next_client(late_ms: int) -> None:
    assert wrong_answers(late_ms / 1000, requests=60) == 0


def test_the_rest_follows_what_comes_unasked_and_fades() -> None:
    rest = reuse_delay.ReuseDelay()
    second = 1_000_000_000
    assert rest.current_ns(0) == reuse_delay.REUSE_DELAY_MIN_NS
    rest.on_unsolicited_bytes(second, 100_000_000)
    assert rest.current_ns(second) == 400_000_000
    rest.on_unsolicited_bytes(2 * second, 1_000_000)  # an earlier one tells nothing against the late one
    assert rest.current_ns(2 * second) == 400_000_000
    rest.on_unsolicited_bytes(3 * second, 3600 * second)
    assert rest.current_ns(3 * second) == reuse_delay.REUSE_DELAY_MAX_NS
    faded = [rest.current_ns(3 * second + fades * reuse_delay.DECAY_HALF_LIFE_NS) for fades in (1, 2, 1000)]
    assert faded == [
        reuse_delay.REUSE_DELAY_MAX_NS // 2,
        reuse_delay.REUSE_DELAY_MAX_NS // 4,
        reuse_delay.REUSE_DELAY_MIN_NS,
    ]


@pytest.mark.parametrize("error", ["ENOBUFS", "EADDRNOTAVAIL", "ENETUNREACH", "ENOMEM", "EAGAIN", "EMFILE"])
def test_a_dial_that_fails_for_a_moment_is_made_again(error: str) -> None:
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
def test_what_this_machine_lacks_is_not_held_against_a_server(error: str, result: Result) -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.node._pools.system = FailingDials(getattr(errno, error), 1000)
            client = await rig.client()
            assert status(await client.ask(request())) == 503
            assert {one.result for one in rig.spy.outcomes()} == {result}
            assert rig.node._pools.sockets == 0

    run(test())
