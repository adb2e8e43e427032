"""The client side: framing, bad input, forwarding, slow readers, and faults of the module."""

from __future__ import annotations

import asyncio
import socket

import pytest
from rig import (
    Message,
    Rig,
    Server,
    answer,
    configuration,
    request,
    run,
    says,
    silent,
    status,
    until,
)

from driftstair.net import front
from lichenspring import interface as api


def test_a_request_goes_on_as_protocol_says() -> None:
    async def test() -> None:
        async with (
            Server("s-1", says(answer(X_Load="depth=2,load_share=0.61", Content_Type="image/png"))) as server,
            Rig(configuration(server)) as rig,
        ):
            client = await rig.client()
            sent = request(
                "order", target="/api?a=b&c=%20d", body=b"\x00subtitle\xff", X_Deadline="1500000u",
                Idempotency_Key="5c0f", X_Key="7f3a", X_Retry="1", Accept="image/png",
            )  # fmt: skip
            got = await client.ask(sent)
            assert (got.body, got.headers["content-type"]) == (b"frame", "image/png")
            (seen,) = server.seen
            assert seen.first == "POST /api?a=b&c=%20d HTTP/1.1"
            assert seen.body == b"\x00subtitle\xff"
            assert seen.headers["x-request-id"] == "9b1f03aa5c7e2d41"
            assert (seen.headers["idempotency-key"], seen.headers["accept"]) == ("5c0f", "image/png")
            assert 0 < int(seen.headers["x-deadline"].removesuffix("u")) < 1_500_000
            (event,) = [event for event in rig.spy.events if isinstance(event, api.Request)]
            assert (event.class_index, event.resubmitted) == (1, True)
            assert event.key not in (0, 0x7F3A) and event.time_left < 1_500_000_000
            assert rig.spy.outcomes()[0].report == (0.61, 2.0)  # in the order of the settings

    run(test())


def test_get_has_no_body_and_an_absent_deadline_is_the_classs() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            head = "GET /api HTTP/1.1\r\nX-Request-Id: 1\r\nX-Class: page\r\n\r\n"
            assert (await client.ask(head.encode())).body == b"frame"
            assert "content-length" not in server.seen[0].headers
            (event,) = [event for event in rig.spy.events if isinstance(event, api.Request)]
            assert 9_000_000_000 < event.time_left <= 10_000_000_000
            assert event.key == 0

    run(test())


@pytest.mark.parametrize(
    ("data", "expected", "usable"),
    [
        (request("nosuch"), 400, True),
        (request(X_Request_Id=""), 400, True),
        (request(X_Deadline="soon"), 400, True),
        (request(X_Deadline="-5m"), 400, True),
        (request(X_Deadline="5"), 400, True),
        (request(X_Deadline="0m"), 504, True),
        (request(target="/other"), 404, True),
        (request(method="DELETE"), 405, True),
        (request(body=b"x" * 65537), 413, True),
        (b"POST /api HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413, False),
        (b"hello\r\n\r\n", 400, False),
        (b"POST /api HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400, False),
        (b"POST /api HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", 400, False),
        (b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400, False),
        (b"GET /api HTTP/1.1\r\nX-Long: " + b"x" * 70000, 431, False),
    ],
)
def test_bad_input_reaches_neither_a_server_nor_the_module(data: bytes, expected: int, usable: bool) -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            assert status(await client.ask(data)) == expected
            if usable:
                assert status(await client.ask(request(target="/up", method="GET"))) == 200
            else:
                assert await client.ended() == b""
            assert not server.seen
            assert not [event for event in rig.spy.events if isinstance(event, api.Request)]

    run(test())


def test_pipelined_requests_are_answered_in_turn() -> None:
    async def echo(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with Server("s-1", echo) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            count = 40
            client.writer.write(b"".join(request(body=b"%d" % number) for number in range(count)))
            client.writer.write(request(target="/nowhere") + b"rubbish\r\n\r\n")
            assert [(await client.read()).body for _ in range(count)] == [b"%d" % n for n in range(count)]
            assert status(await client.read()) == 404
            assert status(await client.read()) == 400
            assert await client.ended() == b""

    run(test())


def test_many_pipelined_errors_do_not_pile_up_calls() -> None:
    """Guards against an answer that serves the next request from within: that would recurse."""

    async def test() -> None:
        async with Rig(configuration()) as rig:
            client = await rig.client()
            client.writer.write(b"GET / HTTP/1.1\r\n\r\n" * 3000)
            for _ in range(3000):
                assert status(await client.read()) == 404

    run(test())


def test_bytes_that_come_one_by_one_make_the_same_request() -> None:
    async def test() -> None:
        async with (
            Server("s-1", lambda message, writer: _slowly(writer, answer(body=b"whole"))) as server,
            Rig(configuration(server)) as rig,
        ):
            client = await rig.client()
            for byte in request(body=b"text"):
                client.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await client.read()).body == b"whole"
            assert server.seen[0].body == b"text"

    run(test())


async def _slowly(writer: asyncio.StreamWriter, data: bytes) -> None:
    for byte in data:
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(0)


def test_the_largest_bodies_pass_unchanged_both_ways() -> None:
    async def echo(message: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(body=message.body[::-1]))

    async def test() -> None:
        async with Server("s-1", echo) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            body = bytes(range(256)) * 256
            assert (await client.ask(request(body=body))).body == body[::-1]

    run(test())


def test_a_client_that_reads_too_slowly_gets_nothing_after_its_deadline() -> None:
    async def test() -> None:
        large = says(answer(body=b"x" * 65536))
        async with Server("s-1", large) as server, Rig(configuration(server)) as rig:
            loop = asyncio.get_running_loop()
            with socket.socket() as client:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                client.setblocking(False)
                await loop.sock_connect(client, rig.address)
                await until(lambda: rig.front._connections)
                (connection,) = rig.front._connections
                assert connection._transport is not None
                node_side = connection._transport.get_extra_info("socket")
                node_side.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                await loop.sock_sendall(client, request(X_Deadline="300m"))
                await until(lambda: connection._slow_reader is not None)
                await until(lambda: not rig.front._connections)

    run(test())


def test_a_request_that_never_comes_whole_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front, "SLOW_REQUEST", 0.05)
    monkeypatch.setattr(front, "SWEEP", 0.02)

    async def test() -> None:
        async with Rig(configuration()) as rig:
            client = await rig.client()
            client.writer.write(b"POST /api HTTP/1.1\r\nX-Cl")
            assert status(await client.read()) == 408

    run(test())


def test_up_answers_only_when_there_is_a_server() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration()) as empty, Rig(configuration(server)) as rig:
            up = request(target="/up", method="GET")
            assert status(await (await empty.client()).ask(up)) == 503
            assert status(await (await rig.client()).ask(up)) == 200
            rig.front.stopping = True
            assert status(await (await rig.client()).ask(up)) == 503

    run(test())


def test_expect_continue_is_answered() -> None:
    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            head, _, body = request(body=b"text", Expect="100-continue").partition(b"\r\n\r\n")
            assert status(await client.ask(head + b"\r\n\r\n")) == 100
            assert status(await client.ask(body)) == 200
            assert "expect" not in server.seen[0].headers

    run(test())


def test_a_fault_of_the_module_fails_its_own_request_only(caplog: pytest.LogCaptureFixture) -> None:
    def broken(event: api.Event) -> list[api.Action] | None:
        if isinstance(event, api.Request) and event.class_index == 1:
            raise ZeroDivisionError("in the module")
        return None

    async def test() -> None:
        async with Server("s-1", silent) as server, Rig(configuration(server)) as rig:
            rig.spy.instead = broken
            other, client = await rig.client(), await rig.client()
            other.writer.write(request())
            await until(lambda: server.seen)
            server.script = says(answer())
            assert status(await client.ask(request("order"))) == 502
            assert "in the module" in caplog.text and "Traceback" in caplog.text
            assert status(await client.ask(request())) == 200
            assert len(rig.node._open) == 1  # the other one is out still

    run(test())


def test_a_timer_that_the_module_failed_on_comes_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a breaker that never updates again: its tick sets the next one itself."""
    monkeypatch.setattr("driftstair.net.node.MENDED_AFTER", 1_000_000)
    failed: list[int] = []

    def broken(event: api.Event) -> list[api.Action] | None:
        if isinstance(event, api.Timer) and not failed:
            failed.append(event.token)
            raise KeyError(event.token)
        return None

    async def test() -> None:
        async with Rig(configuration()) as rig:
            rig.spy.instead = broken
            await until(lambda: failed)
            await until(lambda: rig.spy.events.count(api.Timer(failed[0])) > 1)

    run(test())
