"""Long request bodies that a server reads slowly."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest
import rig as rig_module
from rig import Message, Rig, Server, answer, configuration, request, run, status
from test_process import program

from driftstair.admission import body_progress
from driftstair.net.body_stream import Stream
from driftstair.net.system import SocketSystem

BODY = b"x" * (2 << 20)
SMALL_BUFFER_BYTES = 8 << 10
FINAL_ANSWER_ALLOWANCE_S = 0.55  # after the client's time, by the platform's pages


class SmallBuffers(SocketSystem):
    """Connections to servers whose kernel takes little of what the server has not read."""

    def configure_connection(self, transport: asyncio.Transport) -> Callable[[], bool]:
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        return super().configure_connection(transport)


class SlowReader(Server):
    """A server that reads bodies at a limited rate, and answers `answers_after_s` s after the last byte."""

    def __init__(
        self, name: str, bytes_per_s: float, answers_after_s: float = 0.0, small_buffers: bool = True
    ) -> None:
        super().__init__(name)
        self.small_buffers = small_buffers  # of its sockets
        self.bytes_per_s = bytes_per_s
        self.answers_after_s = answers_after_s

    async def __aenter__(self) -> SlowReader:
        listening_socket = socket.socket()
        if self.small_buffers:
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        listening_socket.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._serve, sock=listening_socket, limit=SMALL_BUFFER_BYTES
        )
        host, port = listening_socket.getsockname()
        self.address = f"{host}:{port}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.lower().partition("content-length: ")[2].split("\r\n")[0] or "0")
            begun_at, received, tail = loop.time(), 0, b""
            while received < length or (not length and not tail.endswith(b"0\r\n\r\n")):
                data = await reader.read(1 << 14)
                if not data:
                    return
                received, tail = received + len(data), tail[-8:] + data[-8:]
                await asyncio.sleep(max(0.0, begun_at + received / self.bytes_per_s - loop.time()))
            self.seen.append(Message(head, {}, b""))
            await asyncio.sleep(self.answers_after_s)
            writer.write(answer())
            await reader.read()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


def test_a_slow_server_does_not_get_a_fully_received_request_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last bytes of a body may be parsed when the server makes room for them, not when they are read."""
    monkeypatch.setattr(body_progress, "SILENCE_S_MAX", 0.3)
    monkeypatch.setattr(rig_module, "SYSTEM", SmallBuffers())

    async def test() -> None:
        async with SlowReader("s-1", 20e6, answers_after_s=0.8) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            got = await client.ask(request(body=BODY))
            assert status(got) == 200 and len(server.seen) == 1
            assert not rig.frontend.uploads

    run(test())


def test_a_client_that_stops_in_a_request_sent_ahead_gets_408(monkeypatch: pytest.MonkeyPatch) -> None:
    """The begin of its body is parsed once the request before it has been answered."""
    monkeypatch.setattr(body_progress, "SILENCE_S_MAX", 0.3)

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request() + request(body=b"x" * 1000, X_Pad="p" * 6000)[:-500])
            assert status(await client.read()) == 200
            assert status(await client.read()) == 408
            assert await client.ended() == b""

    run(test())


@dataclass(frozen=True, slots=True)
class UploadCase:
    """One upload: its size, how fast its server reads it, and how long its client waits."""

    size: int
    bytes_per_s: float
    patience_s: float
    memory_mb: int = 192
    is_chunked: bool = False


@pytest.mark.parametrize(
    "case",
    [
        UploadCase(6_000_000, 0.8e6, 0.6),
        UploadCase(9_000_000, 1.6e6, 0.4),
        UploadCase(5_000_000, 0.4e6, 1.0),
        UploadCase(6_000_000, 0.8e6, 0.6, is_chunked=True),
        UploadCase(6_000_000, 0.8e6, 0.6, memory_mb=32),
        UploadCase(2_000_000, 0.8e6, 0.6),
        # Of unknown length and longer than what is read ahead: its end may be in the client's machine.
        UploadCase(9_000_000, 0.8e6, 0.6, memory_mb=32, is_chunked=True),
        UploadCase(16_000_000, 1e6, 1.0, memory_mb=64, is_chunked=True),
        UploadCase(32_000_000, 1e6, 1.0, is_chunked=True),
    ],
)
def test_a_large_request_that_its_server_reads_slowly_is_answered_in_time(
    case: UploadCase, tmp_path: Path
) -> None:
    """Its time counts from the last byte that the client's machine has taken."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with SlowReader("s-1", case.bytes_per_s, small_buffers=False) as server:
            document = configuration(server)
            document["limits"]["memory_mb"] = case.memory_mb
            async with program(document, tmp_path) as node:
                client_socket = socket.socket()
                client_socket.setblocking(False)
                await loop.sock_connect(client_socket, node.address)
                deadline_ms = int(case.patience_s * 1000)
                await loop.sock_sendall(client_socket, encode_upload(case, X_Deadline=f"{deadline_ms}m"))
                written_at = loop.time()
                first = await loop.sock_recv(client_socket, 12)
                answered_after_s = loop.time() - written_at
                client_socket.close()
        assert first[9:] in (b"200", b"502", b"503", b"504")
        assert answered_after_s <= case.patience_s + FINAL_ANSWER_ALLOWANCE_S

    run(test())


def test_large_requests_in_chunks_at_once_are_answered_in_time(tmp_path: Path) -> None:
    """Guards against 504s that come seconds late: their ends stay unread at the clients' machines, while the
    memory for reading ahead is shared by all of them."""
    case = UploadCase(16_000_000, 1e6, 1.0, memory_mb=96, is_chunked=True)
    deadline_ms = int(case.patience_s * 1000)

    def exchange(address: tuple[str, int], number: int) -> tuple[bytes, float]:
        with socket.create_connection(address) as client:
            client.sendall(encode_upload(case, X_Deadline=f"{deadline_ms}m", X_Request_Id=f"long-{number}"))
            written_at = time.monotonic()
            return client.recv(12)[9:], time.monotonic() - written_at

    async def test() -> None:
        async with SlowReader("s-1", case.bytes_per_s, small_buffers=False) as server:
            document = configuration(server)
            document["limits"]["memory_mb"] = case.memory_mb
            async with program(document, tmp_path) as node:
                results = await asyncio.gather(
                    *(asyncio.to_thread(exchange, node.address, number) for number in range(4))
                )
        for got, answered_after_s in results:
            assert got in (b"200", b"502", b"503", b"504")
            assert answered_after_s <= case.patience_s + FINAL_ANSWER_ALLOWANCE_S

    run(test())


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_client_that_writes_slowly_is_not_answered_before_it_has_written_all(
    is_chunked: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its server is slower still, and there is no memory to read ahead."""
    monkeypatch.setattr(rig_module, "SYSTEM", SmallBuffers())

    async def test() -> None:
        async with SlowReader("s-1", 0.3e6) as server, Rig(configuration(server)) as rig:
            rig.frontend.budget.bytes_left = 0
            client = await rig.client()
            data = encode_upload(UploadCase(1_500_000, 0.3e6, 0.8, is_chunked=is_chunked), X_Deadline="800m")
            was_paused = False
            for at in range(0, len(data), 20_000):
                client.writer.write(data[at : at + 20_000])
                await client.writer.drain()
                await asyncio.sleep(0.05)
                assert not client.reader._buffer  # type: ignore[attr-defined]
                was_paused |= any(connection._paused for connection in rig.frontend._connections)
            await client.read()
            assert was_paused

    run(test())


@pytest.mark.parametrize("is_chunked", [True, False])
def test_a_client_that_pauses_in_a_body_has_its_time_from_its_last_byte(
    is_chunked: bool, tmp_path: Path
) -> None:
    """Guards against a 504 while its server, which needs most of that time, still reads."""

    async def test() -> None:
        data = encode_upload(UploadCase(3_000_000, 1e6, 2.9, is_chunked=is_chunked), X_Deadline="2900m")
        async with (
            SlowReader("s-1", 1e6, small_buffers=False) as server,
            program(configuration(server), tmp_path) as node,
        ):
            client = await node.client()
            client.writer.write(data[:2_400_000])
            await client.writer.drain()
            await asyncio.sleep(1.5)
            client.writer.write(data[2_400_000:])
            assert status(await client.read()) == 200

    run(test())


def test_an_upload_is_not_dated_by_a_body_before_it_on_the_connection(tmp_path: Path) -> None:
    """Guards against a 504 at once: the parser's pauses in a body that is read whole are not its server's."""

    async def test() -> None:
        case = UploadCase(2_000_000, 1e9, 1.0)
        async with (
            SlowReader("s-1", 1e9, answers_after_s=1.6, small_buffers=False) as slow,
            program(configuration(slow), tmp_path) as node,
        ):
            client = await node.client()
            head = request("order", method="POST", Transfer_Encoding="chunked", X_Deadline="5000m")
            pieces = b"1\r\nx\r\n" * 50_000  # more than is parsed in one turn
            client.writer.write(head.replace(b"Content-Length: 0\r\n", b"") + pieces + b"0\r\n\r\n")
            assert status(await client.read()) == 200
            began_at = asyncio.get_running_loop().time()
            client.writer.write(encode_upload(case, X_Deadline="1000m"))
            assert status(await client.read()) == 504
            assert asyncio.get_running_loop().time() - began_at >= case.patience_s - 0.1

    run(test())


def encode_upload(case: UploadCase, **headers: str) -> bytes:
    body = b"x" * case.size
    if not case.is_chunked:
        return request(body=body, **headers)
    head = request("order", method="POST", Transfer_Encoding="chunked", **headers)
    head = head.replace(b"Content-Length: 0\r\n", b"")
    parts = [body[at : at + 60_000] for at in range(0, len(body), 60_000)]
    return head + b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


@pytest.mark.parametrize("is_chunked", [True, False])
def test_a_stream_that_makes_room_while_its_data_are_parsed_gets_no_more_within_the_parser(
    is_chunked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A write to the server may block, and make room for reading ahead, within the parser's callback."""
    put = Stream.put

    def put_and_make_room(self: Stream, data: bytes) -> None:
        put(self, data)
        self.on_writable()

    monkeypatch.setattr(Stream, "put", put_and_make_room)

    async def test() -> None:
        async with SlowReader("s-1", 1e9, small_buffers=False) as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            data = encode_upload(UploadCase(1_500_000, 1e9, 10.0, is_chunked=is_chunked))
            assert status(await client.ask(data)) == 200

    run(test())
