"""No attempt starts for a client that has left, wherever its request waits. An attempt in flight at the
client's FIN is still answered, as a close and a half-close can't be told apart."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import pytest
from rig import (
    TIMEOUT_S,
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
    sends,
    silent,
    status,
    until,
)

from driftstair.limits.limiting_module import COPY_TIMER_TOKEN
from driftstair.net import client_connection
from driftstair.net.system import LONG_AGO_NS, SOCKET_SYSTEM
from lichenspring import interface as api
from lichenspring.balance import DEFERRED_TOKEN
from lichenspring.interface import Result


@pytest.fixture(autouse=True)
def no_disconnect_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disables the grace period, so that the tests need not wait for its end."""
    monkeypatch.setattr(client_connection, "DISCONNECT_GRACE_S", 0.0)


class DelayedAnswer:
    """A script that answers once it is released."""

    def __init__(self, reply: bytes = b"") -> None:
        self.release = asyncio.Event()
        self.reply = reply or answer()

    async def __call__(self, _: Message, writer: asyncio.StreamWriter) -> None:
        await self.release.wait()
        writer.write(self.reply)


async def close_client(rig: Rig, client: Client, also: Callable[[], object] = lambda: True) -> None:
    """Closes the client and waits until the node has noticed."""
    (connection,) = [one for one in rig.frontend._connections if one._request_number]
    client.writer.close()
    await until(lambda: connection._half_closed and also())


async def all_closed(rig: Rig) -> None:
    await until(lambda: not rig.node._open_requests and not rig.frontend._connections)


def test_a_request_of_a_client_that_left_before_the_accept_is_not_sent() -> None:
    """While the node is stalled or its table is full, a client's request and FIN arrive in one read."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            rig.frontend._pause()
            for end in (socket.SHUT_WR, None):
                client_socket = socket.create_connection(rig.address)
                client_socket.sendall(request())
                if end is None:
                    client_socket.close()
                else:
                    client_socket.shutdown(end)  # it still reads an answer
                rig.frontend._resume()
                if end is not None:
                    with client_socket:
                        client_socket.settimeout(TIMEOUT_S)
                        reply = await asyncio.get_running_loop().run_in_executor(
                            None, client_socket.recv, 1 << 10
                        )
                        assert reply.startswith(b"HTTP/1.1 503 ")
                await all_closed(rig)
                rig.frontend._pause()
            assert not server.seen

    run(test())


def test_pipelined_requests_are_not_sent_once_the_client_has_left() -> None:
    async def test() -> None:
        reply = DelayedAnswer()
        async with Server("s-1", reply) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request("order", body=b"first") + request("order", body=b"second"))
            await until(lambda: server.seen)
            (connection,) = rig.frontend._connections
            assert connection._paused  # its FIN stays unread in the kernel
            client.writer.close()
            await until(lambda: connection.has_disconnected())
            reply.release.set()
            await all_closed(rig)
            assert [one.body for one in server.seen] == [b"first"]

    run(test())


def test_a_half_closed_client_gets_its_pending_answer_and_refusals_of_the_rest() -> None:
    async def test() -> None:
        reply = DelayedAnswer()
        async with Server("s-1", reply) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request("order", body=b"first") + request("order", body=b"second"))
            await until(lambda: server.seen)
            client.writer.write_eof()
            (connection,) = rig.frontend._connections
            await until(lambda: connection.has_disconnected())
            reply.release.set()
            assert [status(await client.read()) for _ in range(2)] == [200, 503]
            assert await client.ended() == b""
            assert len(server.seen) == 1

    run(test())


def test_no_request_is_written_for_a_client_that_leaves_during_the_dial(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The node may read the FIN before the connection is up, or only after."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            for fin_first in (True, False):
                rig.node._pools.system = dials = LateDials()
                client = await rig.client()
                client.writer.write(request())
                await asyncio.wait_for(dials.begun.wait(), TIMEOUT_S)
                if fin_first:
                    await close_client(rig, client)
                else:
                    (connection,) = rig.frontend._connections
                    connection._transport.pause_reading()  # type: ignore[union-attr]
                    client.writer.close()
                    await until(lambda: connection.has_disconnected())  # noqa: B023
                    connection._disconnected_at = None
                dials.up.set()
                if not fin_first:
                    await until(lambda: not rig.node._open_requests)
                    connection._transport.resume_reading()  # type: ignore[union-attr]
                await all_closed(rig)
                results = {one.result for one in rig.spy.outcomes()}
                assert results <= {Result.NOT_SENT, Result.CANCELLED}
                for pool in rig.node._pools._pools.values():
                    pool.drop_idle()
            assert not server.seen

    run(test())


@pytest.mark.parametrize("failure", ["500", "not run", "reset"])
def test_no_retry_is_sent_for_a_client_that_has_left(failure: str) -> None:
    answers = {"500": answer(500), "not run": answer(503, X_Not_Run="1"), "reset": b"HTTP/1.1 2"}

    async def test() -> None:
        reply = DelayedAnswer(answers[failure])

        async def script(message: Message, writer: asyncio.StreamWriter) -> None:
            await reply(message, writer)
            if failure == "reset":
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
            await close_client(rig, client)
            reply.release.set()
            await all_closed(rig)
            assert len(one.seen) + len(two.seen) == 1

    run(test())


def test_a_request_of_a_client_that_leaves_while_it_waits_in_the_module_is_not_sent() -> None:
    """A request that waits for its key's turn is dropped, whatever the module decides later."""

    async def test() -> None:
        reply = DelayedAnswer()
        document = configuration()
        in_turn = {"OneAtATime": True, "LateShare": 0.5}
        document["settings"]["Grades"][0] = grade("page", "repeatable", aim_ms=1000) | in_turn
        async with Server("s-1", reply) as server:
            document["known"]["servers"] = [server.entry()]
            async with Rig(document) as rig:
                first, second = await rig.client(), await rig.client()
                first.writer.write(request(X_Key="k"))
                await until(lambda: server.seen)
                second.writer.write(request(X_Key="k"))
                await until(lambda: len(rig.node._open_requests) == 2)
                waiting = max(rig.node._open_requests)
                (connection,) = [one for one in rig.frontend._connections if one._request_number == waiting]
                second.writer.close()
                await until(lambda: waiting not in rig.node._open_requests)
                await until(lambda: connection not in rig.frontend._connections)
                assert any(isinstance(one, api.ClientGone) for one in rig.spy.events)
                reply.release.set()
                assert status(await first.read()) == 200
                third = await rig.client()
                assert status(await third.ask(request(X_Key="k"))) == 200  # the turn was released
                assert len(server.seen) == 2

    run(test())


def test_a_half_closed_client_gets_no_refusal_of_a_request_that_may_have_run() -> None:
    """A refusal tells the client that a retry is harmless."""

    async def test() -> None:
        reply = DelayedAnswer(answer(500))
        async with (
            Server("s-1", reply) as one,
            Server("s-2", reply) as two,
            Rig(configuration(one, two)) as rig,
        ):
            client = await rig.client()
            client.writer.write(request("order", body=b"once"))
            await until(lambda: one.seen or two.seen)
            client.writer.write_eof()
            (connection,) = rig.frontend._connections
            await until(lambda: connection._half_closed)
            reply.release.set()
            assert status(await client.read()) == 502
            assert len(one.seen) + len(two.seen) == 1

    run(test())


def test_a_client_that_has_just_half_closed_is_served(monkeypatch: pytest.MonkeyPatch) -> None:
    """Simple clients send a request, half-close, and wait for the answer."""
    monkeypatch.setattr(client_connection, "DISCONNECT_GRACE_S", TIMEOUT_S)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request())
            client.writer.write_eof()
            assert status(await client.read()) == 200
            assert await client.ended() == b"" and len(server.seen) == 1

    run(test())


def test_the_kernel_reports_how_long_ago_the_peer_closed() -> None:
    async def test() -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(asyncio.Protocol, *listener.getsockname())
        peer, _ = listener.accept()
        transport.pause_reading()
        close_age_ns = SOCKET_SYSTEM.peer_close_probe(transport)
        assert close_age_ns() is None
        peer.sendall(b"unread")
        assert close_age_ns() is None
        peer.close()
        await until(lambda: close_age_ns() is not None)
        age_ns = close_age_ns()
        assert age_ns is not None and 0 <= age_ns < TIMEOUT_S * 1e9 < LONG_AGO_NS
        transport.abort()
        listener.close()

    run(test())


def timer_count(rig: Rig, token: int) -> int:
    return sum(isinstance(one, api.Timer) and one.token == token for one in rig.spy.events)


def test_no_retry_is_sent_for_a_client_that_leaves_during_the_back_off() -> None:
    async def test() -> None:
        text = 'version = 1\n[[route]]\nname = "r"\nretry = { attempts = 3, backoff = "200ms" }\n'
        fails = sends(answer(500))
        async with (
            Server("s-1", fails) as one,
            Server("s-2", fails) as two,
            Rig(configuration(one, two), text) as rig,
        ):
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: rig.spy.outcomes())
            client.writer.close()
            await all_closed(rig)
            await until(lambda: timer_count(rig, DEFERRED_TOKEN))  # the back-off has ended
            assert len(one.seen) + len(two.seen) == 1

    run(test())


def test_no_second_copy_is_sent_for_a_client_that_has_left() -> None:
    async def test() -> None:
        reply = DelayedAnswer()
        text = 'version = 1\n[[route]]\nname = "r"\nmatch = { class = "page" }\ncopy = { after = "200ms" }\n'
        async with (
            Server("s-1", reply) as one,
            Server("s-2", reply) as two,
            Rig(configuration(one, two), text) as rig,
        ):
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: one.seen or two.seen)
            await close_client(rig, client)
            await until(lambda: timer_count(rig, COPY_TIMER_TOKEN))
            reply.release.set()
            await all_closed(rig)
            assert len(one.seen) + len(two.seen) == 1

    run(test())


HALF_CLOSE_DELAY_S = 1.0  # from a request to its client's half-close


def test_a_late_half_close_is_not_dated_to_the_request() -> None:
    """The kernel dates a FIN by the last data; an earlier query that found no FIN gives a later bound."""

    async def test() -> None:
        async with Server("s-1", silent) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request())
            await until(lambda: server.seen)
            (connection,) = rig.frontend._connections
            await asyncio.sleep(HALF_CLOSE_DELAY_S)
            assert connection.disconnected_for() == 0
            client.writer.write_eof()
            await until(connection.disconnected_for)
            assert connection.disconnected_for() < HALF_CLOSE_DELAY_S / 2 * 1e9

    run(test())
