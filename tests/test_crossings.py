"""Moments in which two things meet: an end and an answer, a signal and a request, a close and bytes on their
way. Each crossing is brought about by an event, never hoped for."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from contextlib import ExitStack
from pathlib import Path
from time import monotonic_ns, sleep

import pytest
from rig import (
    TIMEOUT_S,
    Client,
    LateDials,
    LoopBlocker,
    Message,
    Rig,
    Server,
    answer,
    configuration,
    grade,
    request,
    run,
    silent,
    status,
    until,
)
from test_process import program

from driftstair.net.connection_pools import Pool
from driftstair.net.identifiers import digest
from driftstair.net.server_connection import Connection
from lichenspring.interface import Result

MS = 1_000_000
CROWD = 20  # requests, of which some fall to each of two servers


def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_sent() -> None:
    """Servers drop a repeat for a while only: from then on it would be done a second time."""

    async def fails(_: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(500))

    async def test() -> None:
        document = configuration()
        document["settings"]["Grades"].append(grade("pay", "by_key", aim_ms=2000) | {"MemorySpan": 260 * MS})
        async with Server("s-1", fails) as one, Server("s-2", fails) as two:
            document["known"]["servers"] = [one.entry(), two.entry()]
            async with Rig(document) as rig:
                rig.node._pools.system = dials = LateDials(1)
                client = await rig.client()
                client.writer.write(request("pay", method="POST", Idempotency_Key="5c0f", X_Key="k"))
                await asyncio.wait_for(dials.begun.wait(), TIMEOUT_S)
                over = monotonic_ns() + 260 * MS
                await until(lambda: monotonic_ns() > over)
                dials.up.set()
                assert status(await client.read()) in (502, 503)
                assert len(one.seen) + len(two.seen) == 1
                assert [one.result for one in rig.spy.outcomes()] == [Result.ERROR, Result.NOT_SENT]

    run(test())


@pytest.mark.parametrize(("kind", "expected"), [("page", 200), ("order", 502)])
def test_an_idle_connection_that_its_server_resets_as_a_request_is_written(
    kind: str, expected: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It may have run, whatever the odds: only a class that may be repeated goes on to another server."""
    writers: list[asyncio.StreamWriter] = []

    async def keeps(_: Message, writer: asyncio.StreamWriter) -> None:
        writers.append(writer)
        writer.write(answer())

    async def test() -> None:
        async with (
            Server("s-1", keeps) as one,
            Server("s-2", keeps) as two,
            Rig(configuration(one, two)) as rig,
        ):
            client = await rig.client()
            assert status(await client.ask(request("page"))) == 200
            (used,) = writers
            pools = rig.node._pools
            (idle,) = [pool for pool in pools._pools.values() if pool.idle]
            await until(lambda: pools.now() > idle.idle[0].idle_since + 6 * MS)  # it rests for a moment
            taken = Pool.take

            def take(pool: Pool) -> Connection | None:
                connection = taken(pool)
                if pool is idle and not crossed:
                    assert connection is not None and connection.is_quiet()
                    used.transport.abort()  # in its next turn, after this write
                    crossed.append(len(rig.spy.outcomes()))
                return connection

            monkeypatch.setattr(Pool, "take", take)
            crossed: list[int] = []
            while not crossed:  # a young node spreads its requests
                got = status(await client.ask(request(kind, body=b"x" if kind == "order" else b"")))
            assert got == expected
            results = [one.result for one in rig.spy.outcomes()][crossed[0] :]
            assert results == [Result.RESET, *([Result.OK] if kind == "page" else [])]

    run(test())


def test_an_answer_and_the_deadline_in_one_turn_are_one_answer() -> None:
    """Whichever is taken first, the client hears once, and the connection is none for the next request."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with ExitStack() as stack:
            box = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            server = Server("s-1")
            server.address = f"127.0.0.1:{box.getsockname()[1]}"
            async with Rig(configuration(server)) as rig:
                client = await rig.client()
                client.writer.write(request(X_Deadline="300m"))
                there, _ = await loop.run_in_executor(None, box.accept)
                stack.enter_context(there)
                await loop.run_in_executor(None, there.recv, 1 << 12)
                (held,) = rig.node._open_requests.values()

                def crosses() -> None:
                    there.sendall(answer())
                    sleep(max(0, held.parsed.deadline + 5 * MS - monotonic_ns()) / 1e9)

                near, far = socket.socketpair()
                stack.enter_context(far)
                await loop.create_connection(lambda: LoopBlocker(crosses), sock=near)
                far.send(b"now")
                first = status(await client.read())
                assert first in (200, 502, 503, 504)
                await until(lambda: not rig.node._open_requests)
                if first != 200:
                    assert not any(pool.idle for pool in rig.node._pools._pools.values())
                client.writer.write(request(target="/nowhere"))
                assert status(await client.read()) == 404  # no second answer stands between
                assert len(rig.spy.outcomes()) == 1

    run(test())


# The end of a process.


def test_a_request_that_is_whole_only_once_the_node_has_ended_all_is_refused_and_not_begun() -> None:
    """It was sent on, the process ended 20 ms later, and nobody answered it."""

    async def test() -> None:
        async with Server("s-1", silent) as server, Rig(configuration(server)) as rig:
            with socket.create_connection(rig.address) as late:
                late.settimeout(TIMEOUT_S)
                data = request("order", body=b"late")
                late.sendall(data[:-1])
                await until(lambda: rig.front.uploads)
                ends = rig.node.fail_all

                def ends_then() -> None:
                    ends()
                    late.sendall(data[-1:])  # between the last answers and the end of the process

                rig.node.fail_all = ends_then  # type: ignore[method-assign]
                await rig.front.stop(0.0, 0.0)
                got = await asyncio.get_running_loop().run_in_executor(None, late.recv, 1 << 12)
                assert got.startswith(b"HTTP/1.1 503 ")
                rig.node.fail_all = ends  # type: ignore[method-assign]
            assert not server.seen

    run(test())


def test_what_waits_in_the_accept_queue_as_the_node_is_told_to_end_is_served() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.front._pause()
            waiting = [socket.create_connection(rig.address) for _ in range(5)]
            for one in waiting:
                one.sendall(request("order", body=b"queued"))
            stopping = asyncio.create_task(rig.front.stop(0.0, TIMEOUT_S))
            for one in waiting:
                with one:
                    one.settimeout(TIMEOUT_S)
                    got = await asyncio.get_running_loop().run_in_executor(None, one.recv, 1 << 12)
                    assert got.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in got
            await stopping
            assert len(server.seen) == 5

    run(test())


def test_signals_that_cross_a_shutdown_change_nothing_about_it(tmp_path: Path) -> None:
    """SIGTERM, then SIGHUP with a file that is no configuration, then SIGTERM again, under a held request."""
    release = asyncio.Event()

    async def waits(message: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with Server("s-1", waits) as server, program(configuration(server), tmp_path) as node:
            holds, other = await node.client(), await node.client()
            holds.writer.write(request("order", body=b"held"))
            await until(lambda: server.seen)
            node.process.send_signal(signal.SIGTERM)
            stderr = node.process.stderr
            assert stderr is not None
            while b"stopping" not in await asyncio.wait_for(stderr.readline(), TIMEOUT_S):
                pass
            (tmp_path / "config.json").write_text("{")
            node.process.send_signal(signal.SIGHUP)
            while b"not used" not in await asyncio.wait_for(stderr.readline(), TIMEOUT_S):
                pass
            node.process.send_signal(signal.SIGTERM)
            assert await other.ended() == b""  # at rest: closed, and nothing said
            release.set()
            got = await holds.read()
            assert (got.body, got.headers["connection"]) == (b"held", "close")
            assert await asyncio.wait_for(node.process.wait(), TIMEOUT_S) == 0

    run(test())


def test_bytes_on_a_connection_that_is_told_to_go_are_not_sent_on() -> None:
    """After `Connection: close` and the end of sending nothing could be answered any more."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.front.closing = True
            client: Client = await rig.client()
            got = await client.ask(request("order", body=b"first"))
            assert got.headers["connection"] == "close"
            client.writer.write(request("order", body=b"second"))
            assert await client.ended() == b""
            (connection,) = rig.front._connections
            await until(lambda: connection._discarded_bytes)
            client.writer.close()
            await until(lambda: not rig.front._connections)
            assert [one.body for one in server.seen] == [b"first"]

    run(test())


def dialing(rig: Rig) -> int:
    return sum(len(pool.dialing) for pool in rig.node._pools._pools.values())


@pytest.mark.parametrize("connections", ["that stand", "that come up"])
def test_requests_that_are_read_in_one_turn_with_a_drain_do_not_go_to_that_server(connections: str) -> None:
    """A list counts as told since it came, however long the loop stood still: requests that had come before
    it were read first, and those of them that fell to a server that drains were written to it; as were those
    whose connections had come up."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with Server("s-1") as drained, Server("s-2") as other:
            with socket.create_server(("127.0.0.1", 0)) as source, ExitStack() as stack:
                address = f"127.0.0.1:{source.getsockname()[1]}"
                async with Rig(configuration(drained, other, discovery=address)) as rig:
                    clients = []
                    for _ in range(CROWD):
                        near = await loop.run_in_executor(None, socket.create_connection, rig.address)
                        clients.append(stack.enter_context(near))

                    async def answers() -> None:
                        for one in clients:
                            one.setblocking(False)
                            assert (await loop.sock_recv(one, 4096)).startswith(b"HTTP/1.1 200")

                    if connections == "that stand":
                        for one in clients:
                            one.sendall(request())
                        await answers()
                    rig.watch()
                    watch = stack.enter_context((await loop.run_in_executor(None, source.accept))[0])
                    watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
                    await until(
                        lambda: rig.node.servers.discovery._watch
                        and rig.node.servers.discovery._watch.answered
                    )
                    late = LateDials()
                    if connections == "that come up":
                        rig.node._pools.system = late
                        for one in clients:
                            one.sendall(request())
                        await until(lambda: dialing(rig) == CROWD)
                    drained.state = "Terminating"
                    line = json.dumps({"version": 8, "full": False, "servers": [drained.entry()]}).encode()
                    seen = len(drained.seen)

                    def stands_still() -> None:
                        if connections == "that stand":
                            for one in clients:
                                one.sendall(request())
                        watch.sendall(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))
                        sleep(0.02)
                        late.up.set()

                    near, far = socket.socketpair()
                    stack.enter_context(far)
                    await loop.create_connection(lambda: LoopBlocker(stands_still), sock=near)
                    far.send(b"now")
                    await answers()
                    assert len(drained.seen) == seen and rig.node.servers.ready == {digest("s-2")}

    run(test())


@pytest.mark.parametrize("why", ["rejected by a server", "the process ends", "its id is taken"])
def test_what_was_read_behind_an_answer_that_ends_the_connection_is_answered(why: str) -> None:
    """A client sends two requests at once. The first one's answer is one that ends connections."""

    async def rejects(message: Message, writer: asyncio.StreamWriter) -> None:
        first = message.headers["x-key"] == "first"
        writer.write(answer(404) if first and why == "rejected by a server" else answer())

    async def test() -> None:
        async with Server("s-1", rejects) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            if why == "its id is taken":
                (taken,) = [request()]
                rig.node._open_request_ids.add(taken.split(b"X-Request-Id: ")[1].split(b"\r\n")[0])
                client.writer.write(taken + request(X_Key="second"))
            else:
                client.writer.write(request(X_Key="first") + request(X_Key="second"))
            rig.front.closing = why == "the process ends"
            first, second = await client.read(), await client.read()
            expected = {"rejected by a server": 404, "the process ends": 200, "its id is taken": 409}
            assert status(first) == expected[why] and status(second) == 200
            assert second.headers.get("connection") == ("close" if rig.front.closing else None)

    run(test())


class FailsUntold:
    """A transport whose writes are with the kernel; its connection fails before the loop tells of that."""

    def __init__(self, transport: asyncio.Transport, connection: Connection) -> None:
        self._transport = transport
        self._connection = connection

    def __getattr__(self, name: str) -> object:
        return getattr(self._transport, name)

    def get_write_buffer_size(self) -> int:
        return 1

    def write(self, data: bytes) -> None:
        self._transport.write(data)
        asyncio.get_running_loop().call_soon(self._connection.connection_lost, OSError(110, "timed out"))


@pytest.mark.parametrize(("kind", "attempts"), [("order", 1), ("page", 2)])
def test_a_request_whose_last_bytes_may_be_with_the_kernel_may_have_run(
    kind: str, attempts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its write was cut short, the rest went out a moment later, and the connection fails before the loop
    tells of that: nothing proves that the server never had it whole."""
    made = Connection.connection_made

    def fails(self: Connection, transport: asyncio.BaseTransport) -> None:
        made(self, transport)
        assert self._transport is not None
        self._transport = FailsUntold(self._transport, self)  # type: ignore[assignment]

    async def test() -> None:
        monkeypatch.setattr(Connection, "connection_made", fails)
        async with Server("s-1") as one, Server("s-2") as two, Rig(configuration(one, two)) as rig:
            client = await rig.client()
            got = status(await client.ask(request(kind, body=b"once" if kind == "order" else b"")))
            assert got == (502 if kind == "order" else 503)
            await until(lambda: len(one.seen) + len(two.seen) == attempts)
            assert [one.result for one in rig.spy.outcomes()] == [Result.RESET] * attempts

    run(test())
