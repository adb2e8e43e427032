"""A client that has left: nothing begins for it any more, on whatever path its request waits. What is out
when it ends its sending is still answered, since a close and a half-close look alike when they arrive."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest
from rig import (
    PATIENCE,
    Client,
    LateDials,
    Message,
    Rig,
    Server,
    answer,
    configuration,
    grade,
    request,
    run,
    says,
    silent,
    status,
    until,
)

from driftstair.limits.limiting_module import COPY_TIMER_TOKEN
from driftstair.net import client_connection
from driftstair.net.system import LONG_AGO, SOCKET_SYSTEM
from lichenspring import interface as api
from lichenspring.balance import DEFERRED_TOKEN
from lichenspring.interface import Result


@pytest.fixture(autouse=True)
def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """No grace for what begins just after, so that no test has to wait for it to be over."""
    monkeypatch.setattr(client_connection, "DISCONNECT_GRACE_S", 0.0)


class Holding:
    """A script that answers when it is let."""

    def __init__(self, reply: bytes = b"") -> None:
        self.release = asyncio.Event()
        self.reply = reply or answer()

    async def __call__(self, _: Message, writer: asyncio.StreamWriter) -> None:
        await self.release.wait()
        writer.write(self.reply)


async def leave(rig: Rig, client: Client, also: Callable[[], object] = lambda: True) -> None:
    """The client closes, and the node has been told."""
    (connection,) = [one for one in rig.front._connections if one._request_number]
    client.writer.close()
    await until(lambda: connection._half_closed and also())


async def over(rig: Rig) -> None:
    await until(lambda: not rig.node._open_requests and not rig.front._connections)


def test_one_that_left_while_it_waited_to_be_taken_in_is_not_sent_on() -> None:
    """The node stands at a full table, or still: the client's request and its end come in one read."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.front._pause()
            for end in (socket.SHUT_WR, None):
                gone = socket.create_connection(rig.address)
                gone.sendall(request())
                if end is None:
                    gone.close()
                else:
                    gone.shutdown(end)  # it would read an answer
                rig.front._resume()
                if end is not None:
                    with gone:
                        gone.settimeout(PATIENCE)
                        reply = await asyncio.get_running_loop().run_in_executor(None, gone.recv, 1 << 10)
                        assert reply.startswith(b"HTTP/1.1 503 ")
                await over(rig)
                rig.front._pause()
            assert not server.seen

    run(test())


def test_what_is_pipelined_behind_is_not_sent_on_once_the_client_has_left() -> None:
    async def test() -> None:
        held = Holding()
        async with Server("s-1", held) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request("order", body=b"first") + request("order", body=b"second"))
            await until(lambda: server.seen)
            (connection,) = rig.front._connections
            assert connection._paused  # its end stays unread with the kernel
            client.writer.close()
            await until(lambda: connection.has_disconnected())
            held.release.set()
            await over(rig)
            assert [one.body for one in server.seen] == [b"first"]

    run(test())


def test_a_half_closed_client_gets_the_answer_that_is_out_and_a_refusal_of_the_rest() -> None:
    async def test() -> None:
        held = Holding()
        async with Server("s-1", held) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request("order", body=b"first") + request("order", body=b"second"))
            await until(lambda: server.seen)
            client.writer.write_eof()
            (connection,) = rig.front._connections
            await until(lambda: connection.has_disconnected())
            held.release.set()
            assert [status(await client.read()) for _ in range(2)] == [200, 503]
            assert await client.ended() == b""
            assert len(server.seen) == 1

    run(test())


def test_one_that_leaves_while_its_attempt_is_dialed_is_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """Both orders: the node reads of the end before the connection is up, or only after."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            for told in (True, False):
                rig.node._pools.system = dials = LateDials()
                client = await rig.client()
                client.writer.write(request())
                await asyncio.wait_for(dials.begun.wait(), PATIENCE)
                if told:
                    await leave(rig, client)
                else:
                    (connection,) = rig.front._connections
                    connection._transport.pause_reading()  # type: ignore[union-attr]
                    client.writer.close()
                    await until(lambda: connection.has_disconnected())  # noqa: B023
                    connection._disconnected_at = None
                dials.up.set()
                if not told:
                    await until(lambda: not rig.node._open_requests)
                    connection._transport.resume_reading()  # type: ignore[union-attr]
                await over(rig)
                results = {one.result for one in rig.spy.outcomes()}
                assert results <= {Result.NOT_SENT, Result.CANCELLED}
                for pool in rig.node._pools._pools.values():
                    pool.drop_idle()
            assert not server.seen

    run(test())


@pytest.mark.parametrize("how", ["500", "turned away", "reset"])
def test_after_a_failure_nothing_more_is_sent_for_one_that_has_left(how: str) -> None:
    replies = {"500": answer(500), "turned away": answer(503, X_Not_Run="1"), "reset": b"HTTP/1.1 2"}

    async def test() -> None:
        held = Holding(replies[how])

        async def script(message: Message, writer: asyncio.StreamWriter) -> None:
            await held(message, writer)
            if how == "reset":
                await writer.drain()
                writer.transport.abort()

        async with (
            Server("s-1", script) as one,
            Server("s-2", script) as two,
            Rig(configuration(one, two)) as rig,
        ):
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: one.seen or two.seen)
            await leave(rig, client)
            held.release.set()
            await over(rig)
            assert len(one.seen) + len(two.seen) == 1

    run(test())


def test_one_that_leaves_while_it_waits_in_the_module_is_not_sent_on() -> None:
    """For its key's turn, or for the end of a back-off: whatever the module says then."""

    async def test() -> None:
        held = Holding()
        document = configuration()
        in_turn = {"OneAtATime": True, "LateShare": 0.5}
        document["settings"]["Grades"][0] = grade("page", "repeatable", aim_ms=1000) | in_turn
        async with Server("s-1", held) as server:
            document["known"]["servers"] = [server.entry()]
            async with Rig(document) as rig:
                first, second = await rig.client(), await rig.client()
                first.writer.write(request(X_Key="k"))
                await until(lambda: server.seen)
                second.writer.write(request(X_Key="k"))
                await until(lambda: len(rig.node._open_requests) == 2)
                waiting = max(rig.node._open_requests)
                (connection,) = [one for one in rig.front._connections if one._request_number == waiting]
                second.writer.close()
                await until(lambda: waiting not in rig.node._open_requests)
                await until(lambda: connection not in rig.front._connections)
                assert any(isinstance(one, api.ClientGone) for one in rig.spy.events)
                held.release.set()
                assert status(await first.read()) == 200
                third = await rig.client()
                assert status(await third.ask(request(X_Key="k"))) == 200  # the turn was passed on
                assert len(server.seen) == 2

    run(test())


def test_what_may_have_run_is_not_answered_as_refused_to_one_that_may_still_be_there() -> None:
    """A refusal says that trying again is harmless."""

    async def test() -> None:
        held = Holding(answer(500))
        async with (
            Server("s-1", held) as one,
            Server("s-2", held) as two,
            Rig(configuration(one, two)) as rig,
        ):
            client = await rig.client()
            client.writer.write(request("order", body=b"once"))
            await until(lambda: one.seen or two.seen)
            client.writer.write_eof()
            (connection,) = rig.front._connections
            await until(lambda: connection._half_closed)
            held.release.set()
            assert status(await client.read()) == 502
            assert len(one.seen) + len(two.seen) == 1

    run(test())


def test_a_client_that_has_only_just_ended_its_sending_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """The usual way of simple clients: the request, then the end, then the wait."""
    monkeypatch.setattr(client_connection, "DISCONNECT_GRACE_S", PATIENCE)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request())
            client.writer.write_eof()
            assert status(await client.read()) == 200
            assert await client.ended() == b"" and len(server.seen) == 1

    run(test())


def test_the_kernel_tells_how_long_a_peer_has_been_gone() -> None:
    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(asyncio.Protocol, *listener.getsockname())
        peer, _ = listener.accept()
        transport.pause_reading()
        departed = SOCKET_SYSTEM.peer_close_probe(transport)
        assert departed() is None
        peer.sendall(b"unread")
        assert departed() is None
        peer.close()
        await until(lambda: departed() is not None)
        ago = departed()
        assert ago is not None and 0 <= ago < PATIENCE * 1e9 < LONG_AGO
        transport.abort()
        listener.close()

    run(test())


def timers(rig: Rig, token: int) -> int:
    return sum(isinstance(one, api.Timer) and one.token == token for one in rig.spy.events)


def test_one_that_leaves_during_a_back_off_is_not_sent_on() -> None:
    async def test() -> None:
        text = 'version = 1\n[[route]]\nname = "r"\nretry = { attempts = 3, backoff = "200ms" }\n'
        fails = says(answer(500))
        async with (
            Server("s-1", fails) as one,
            Server("s-2", fails) as two,
            Rig(configuration(one, two), text) as rig,
        ):
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: rig.spy.outcomes())
            client.writer.close()
            await over(rig)
            await until(lambda: timers(rig, DEFERRED_TOKEN))  # the back-off is over
            assert len(one.seen) + len(two.seen) == 1

    run(test())


def test_no_second_copy_is_sent_for_one_that_has_left() -> None:
    async def test() -> None:
        held = Holding()
        text = 'version = 1\n[[route]]\nname = "r"\nmatch = { class = "page" }\ncopy = { after = "200ms" }\n'
        async with (
            Server("s-1", held) as one,
            Server("s-2", held) as two,
            Rig(configuration(one, two), text) as rig,
        ):
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: one.seen or two.seen)
            await leave(rig, client)
            await until(lambda: timers(rig, COPY_TIMER_TOKEN))
            held.release.set()
            await over(rig)
            assert len(one.seen) + len(two.seen) == 1

    run(test())


SILENT = 1.0  # s between a request and its client's end


def test_a_client_that_has_just_left_has_not_left_with_its_request() -> None:
    """The kernel dates an end by the last data; a look that found none tells that it came later."""

    async def test() -> None:
        async with Server("s-1", silent) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: server.seen)
            (connection,) = rig.front._connections
            await asyncio.sleep(SILENT)
            assert connection.disconnected_for() == 0
            client.writer.write_eof()
            await until(connection.disconnected_for)
            assert connection.disconnected_for() < SILENT / 2 * 1e9

    run(test())
