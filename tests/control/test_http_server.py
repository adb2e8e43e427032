"""The HTTP server of a control server: limits, malformed input and persistent connections."""

from __future__ import annotations

import asyncio

import pytest
from control_rig import RunningHttpServer, captured_log, exchange, read_answer
from rig import run, until

from driftstair.control import http_server
from driftstair.control.http import HEAD_BYTES_MAX, HttpError, Request, Response, json_response
from driftstair.control.http_server import HttpConnection


async def echo(_: HttpConnection, request: Request) -> Response:
    """Answers with the path, the query and the size of the body."""
    if request.path == "/missing":
        raise HttpError(404, "no such path")
    if request.path == "/fails":
        raise RuntimeError("a fault of the server's own")
    return json_response(200, {"path": request.path, "query": request.query, "bytes": len(request.body)})


MALFORMED = {
    "not HTTP": (b"\x16\x03\x01 hello\r\n\r\n", b" 400 ", "no HTTP/1.1 request"),
    "a head without end": (b"GET /" + b"a" * (HEAD_BYTES_MAX + 1), b" 413 ", "a head of more than"),
    "too many headers": (
        b"GET / HTTP/1.1\r\n" + b"".join(b"X-%d: y\r\n" % number for number in range(2_000)) + b"\r\n",
        b" 413 ", "a head of more than",
    ),
    "a header without end": (b"GET / HTTP/1.1\r\nX: " + b"a" * (HEAD_BYTES_MAX + 1), b" 413 ", "a head of"),
    "a body that is too long": (
        b"POST /a HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + b"a" * 2000,
        b" 413 ", "/a: a body of more than",
    ),
    "a chunked body that is too long": (
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + (b"200\r\n" + b"a" * 512 + b"\r\n") * 3,
        b" 413 ", "/a: a body of more than",
    ),
    "a target that is not UTF-8": (b"GET /%ff HTTP/1.1\r\n\r\n", b" 400 ", "no target"),
    "a malformed query": (b"GET /a?b&c HTTP/1.1\r\n\r\n", b" 400 ", "no target"),
    "two requests at once": (b"GET /a HTTP/1.1\r\n\r\n" * 2, b" 400 ", "a request before the one before it"),
    "another protocol": (
        b"GET /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
        b" 400 ", "no HTTP/1.1 request",
    ),
    "no such path": (b"GET /missing HTTP/1.1\r\n\r\n", b" 404 ", "no such path"),
}  # fmt: skip


@pytest.mark.parametrize("case", MALFORMED)
def test_malformed_input_is_logged_in_one_line_and_its_connection_is_closed(case: str) -> None:
    """Guards against tracebacks, connections that hang, and a server that no longer serves the next
    client."""
    data, status, message = MALFORMED[case]

    async def test() -> None:
        async with RunningHttpServer(echo) as server:
            with captured_log() as captured:
                answer = await exchange(server.address, data)
            assert status in answer.split(b"\r\n")[0]
            assert not captured.tracebacks()
            (warning,) = captured.warnings()
            assert message in warning
            assert "127.0.0.1:" in warning
            assert (await exchange(server.address, b"GET /a HTTP/1.0\r\n\r\n")).startswith(b"HTTP/1.1 200")

    run(test())


def test_a_persistent_connection_serves_several_requests() -> None:
    async def test() -> None:
        async with RunningHttpServer(echo) as server:
            reader, writer = await asyncio.open_connection(*server.address)
            for size in (0, 3, 1_000):
                writer.write(b"POST /a%%2Fb?c=d HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size + b"x" * size)
                answer = await read_answer(reader)
                assert answer.is_open
                assert answer.document == {"path": "/a/b", "query": {"c": "d"}, "bytes": size}
            writer.close()

    run(test())


def test_a_request_may_arrive_byte_by_byte() -> None:
    async def test() -> None:
        async with RunningHttpServer(echo) as server:
            reader, writer = await asyncio.open_connection(*server.address)
            for byte in b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nxy":
                writer.write(bytes((byte,)))
                await asyncio.sleep(0)
            assert (await read_answer(reader)).document["bytes"] == 2
            writer.close()

    run(test())


def test_an_incomplete_request_is_logged() -> None:
    async def test() -> None:
        async with RunningHttpServer(echo) as server:
            with captured_log() as captured:
                assert await exchange(server.address, b"GET /a HTT", close_sending=True) == b""
            assert [message.split(": ")[1] for message in captured.warnings()] == ["half a request"]

    run(test())


def test_a_request_that_does_not_end_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "REQUEST_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with RunningHttpServer(echo) as server:
            with captured_log() as captured:
                assert await exchange(server.address, b"GET /a HTTP/1.1\r\n") == b""
            assert "was not whole" in captured.warnings()[0]

    run(test())


def test_connections_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "CONNECTIONS_MAX", 2)

    async def test() -> None:
        async with RunningHttpServer(echo) as server:
            connections = [await asyncio.open_connection(*server.address) for _ in range(2)]
            await until(lambda: len(server.http._connections) == 2)
            assert await exchange(server.address, b"GET /a HTTP/1.1\r\n\r\n") == b""
            assert server.http.refused_connections == 1
            connections[0][1].close()
            await until(lambda: len(server.http._connections) == 1)
            assert b" 200 " in await exchange(server.address, b"GET /a HTTP/1.0\r\n\r\n")
            connections[1][1].close()

    run(test())


def test_an_exception_in_a_handler_is_answered_and_logged() -> None:
    async def test() -> None:
        async with RunningHttpServer(echo) as server:
            with captured_log() as captured:
                answer = await exchange(server.address, b"GET /fails HTTP/1.0\r\n\r\n")
            assert b" 500 " in answer
            assert len(captured.tracebacks()) == 1

    run(test())
