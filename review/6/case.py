"""Long requests in chunks before servers that read slowly: their final answers come seconds too late."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.world import (
    TROUBLE,
    Case,
    Discovery,
    Record,
    Server,
    document,
    free_port,
    is_up,
    play,
    until,
)

REQUESTS = 3  # at once, each on a connection of its own
BODY_BYTES = 16_000_000
CHUNK_BYTES = 64_000
DEADLINE_S = 1.0
LATE_S = 0.55  # half a second and 50 ms after its time a request is lost
READ_BYTES_PER_S = 1_000_000  # of a server that reads slowly
RECEIVE_BUFFER_BYTES = 256 << 10  # of the servers' machines
GIVE_UP_S = 40.0


class Reader(Server):
    """A server that reads the body of a request in pieces, slowly if need be, and answers it then."""

    async def start(self) -> None:
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=listening, limit=CHUNK_BYTES)
        self.port = listening.getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request_id = head.partition("X-Request-Id: ")[2].partition("\r\n")[0]
                self._record.note(f"server {self.name} has the head of {request_id}")
                body_bytes = await self._read_chunks(reader)
                self._record.note(
                    f"server {self.name} has all {body_bytes} bytes of {request_id}, and answers"
                )
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                await writer.drain()
        self._record.note(f"server {self.name}: the connection has ended")
        writer.close()

    async def _read_chunks(self, reader: asyncio.StreamReader) -> int:
        """Reads a body in chunks. Returns its length."""
        began, total = time.monotonic(), 0
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
            total += size
            if TROUBLE:
                await asyncio.sleep(max(0.0, began + total / READ_BYTES_PER_S - time.monotonic()))
        await reader.readuntil(b"\r\n")
        return total


def send(connection: socket.socket, request_id: str) -> None:
    """Sends a whole request. Returns once its last byte is written to the connection."""
    head = (
        f"POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {request_id}\r\nX-Class: order\r\n"
        f"X-Deadline: {DEADLINE_S * 1000:.0f}m\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    connection.sendall(head.encode())
    left = BODY_BYTES
    while left:
        size = min(CHUNK_BYTES, left)
        connection.sendall(b"%x\r\n%s\r\n" % (size, b"x" * size))
        left -= size
    connection.sendall(b"0\r\n\r\n")


def exchange(record: Record, port: int, number: int) -> str:
    """Sends a request and waits for its answer. Returns what is broken, or nothing."""
    request_id = f"long-{number}"
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.settimeout(GIVE_UP_S)
        began = record.note(f"client: sends {request_id}, {BODY_BYTES} bytes in chunks")
        send(connection, request_id)
        written_at = record.note(f"client: the last byte of {request_id} is written")
        try:
            line = connection.recv(65536).partition(b"\r\n")[0].decode()
        except TimeoutError:
            line = ""
        took_s = record.note(f"client: {request_id} has {line or 'no answer'}") - written_at
    record.note(
        f"client: {request_id}: written in {written_at - began:.2f} s, answered {took_s:.3f} s after that"
    )
    if line and took_s <= DEADLINE_S + LATE_S:
        return ""
    return (
        f"{request_id} had its final answer ({line or 'none'}) {took_s:.2f} s after its last byte was "
        f"written, {DEADLINE_S + LATE_S:.2f} s are allowed"
    )


async def test(case: Case) -> list[str]:
    record = case.record
    servers = [Reader(name, record, lambda _: 0.0) for name in ("s-1", "s-2", "s-3")]
    for server in servers:
        await server.start()
    discovery = Discovery(servers, record, lambda _: 0.02)
    await discovery.start()
    port = free_port()
    node = await case.start_node("n1", document(port, discovery, servers), case.temporary)
    await node.logged("serving on")
    await until(lambda: is_up(port), "the node is up")
    exchanges = [asyncio.to_thread(exchange, record, port, number) for number in range(REQUESTS)]
    return [finding for finding in await asyncio.gather(*exchanges) if finding]


play(__file__, test)
