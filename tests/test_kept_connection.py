"""Persistent client connections: one answer for each document, and the connection ends on anything else."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from rig import Message, answer, read_message, run

from driftstair.net.kept_connection import Answer, CallError, PersistentConnection

ANSWER_BYTES_MAX = 1_000


async def with_replies(
    replies: list[bytes], act: Callable[[PersistentConnection, list[Message]], Awaitable[None]]
) -> None:
    """Runs `act` on a connection to a server that answers with `replies` in turn."""
    seen: list[Message] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for reply in replies:
            seen.append(await read_message(reader))
            writer.write(reply)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        host, port = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: PersistentConnection((host, port), ANSWER_BYTES_MAX), host, port
        )
        await act(connection, seen)
        connection.close()


def test_documents_are_posted_in_turn_on_one_connection() -> None:
    async def act(connection: PersistentConnection, seen: list[Message]) -> None:
        assert await connection.post("/one", b"{}") == Answer(200, b"first")
        assert await connection.post("/two", b"[]") == Answer(503, b"")
        assert [(one.first, one.body) for one in seen] == [
            ("POST /one HTTP/1.1", b"{}"), ("POST /two HTTP/1.1", b"[]")
        ]  # fmt: skip
        assert not connection.is_over

    run(with_replies([answer(200, b"first"), answer(503, b"")], act))


@pytest.mark.parametrize(
    ("reply", "why"),
    [
        (b"nothing like it\r\n\r\n", "no HTTP answer"),
        (answer(200, b"x" * ANSWER_BYTES_MAX), "more than 1,000 bytes"),
        (b"HTTP/1.1 200 OK\r\n" + b"X-More: and more\r\n" * 100, "more than 1,000 bytes"),
    ],
    ids=["not HTTP", "long body", "endless head"],
)
def test_invalid_answer_ends_the_connection_with_a_reason(reply: bytes, why: str) -> None:
    async def act(connection: PersistentConnection, _: list[Message]) -> None:
        with pytest.raises(CallError, match=why):
            await connection.post("/", b"{}")
        assert connection.is_over
        with pytest.raises(CallError, match="has ended"):
            await connection.post("/", b"{}")

    run(with_replies([reply], act))


def test_second_answer_is_not_taken_for_that_of_the_next_document() -> None:
    async def act(connection: PersistentConnection, _: list[Message]) -> None:
        assert (await connection.post("/", b"{}")).body == b"mine"
        with pytest.raises(CallError):
            await connection.post("/", b"{}")

    run(with_replies([answer(200, b"mine") + answer(200, b"nobody's")], act))


def test_answer_with_connection_close_is_the_last_one() -> None:
    async def act(connection: PersistentConnection, _: list[Message]) -> None:
        found = await connection.post("/", b"{}")
        assert found == Answer(200, b"last") and connection.is_over

    run(with_replies([answer(200, b"last", Connection="close")], act))
