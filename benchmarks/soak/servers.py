"""The fake servers of a run. They answer with all framings of HTTP/1.1, inject the faults that are set, and
record each attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from random import Random
from time import monotonic
from typing import Any

from benchmarks.soak.faults import FaultKind
from benchmarks.soak.platform import HOST
from benchmarks.soak.records import AttemptRecord, Records
from driftstair.net.system import data_age
from driftstair.rehearsal import ports

SERVICE_TIME_RANGE_S = (0.004, 0.06)
SECOND_ANSWER_DELAY_RANGE_S = (0.001, 0.02)  # after the first answer
LONG_BODY_BYTES = 300_000
PIECE_BYTES = 16 << 10
FRAMINGS = ("length", "length", "length", "chunked", "interim", "until-close", "long")
SLOW_ANSWER_SHARE = 0.02  # of the answers: long ones that are written slowly
SLOW_BODY_BYTES_RANGE = (90_000, 200_000)
SLOW_BODY_RANGE_S = (0.5, 2.0)  # from the head to the last byte
SLOW_PIECES_RANGE = (1, 20)  # one piece: a late body
ANSWER_FAULTS = (
    FaultKind.ERRORS, FaultKind.FULL, FaultKind.RESETS, FaultKind.CUT, FaultKind.HANG, FaultKind.SPOILT,
)  # fmt: skip
IDLE_END_RANGE_S = (0.01, 0.6)  # for which a connection is idle before the server ends it (IDLE_ENDS)
MALFORMED_ANSWERS = (
    b"\x00\xff noise\r\n\r\n",
    b"HTTP/1.1 two hundred\r\n\r\n",
    b"HTTP/1.1 200 X\r\nContent-Length: -3\r\n\r\nabc",
    b"HTTP/1.1 200 X\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
    b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
    b"HTTP/1.1 200 X\r\nContent-Length: 3221225472\r\n\r\n" + b"." * 1000,
    b"HTTP/1.1 200 X\r\n" + b"X-Head: without end\r\n" * 2000,
    b"HTTP/1.1 200 X\r\nContent-Length: 60\r\n\r\nless than that",
)
"""Answers that are malformed or don't end. The connection stays open after them."""


class FakeServer:
    """A server that answers requests, with faults."""

    def __init__(self, number: int, records: Records, random: Random, answer_numbers: count[int]) -> None:
        self.name = f"s-{number}"
        self.state = "Ready"
        self.changed_at = 0.0  # when the state last changed
        self.fault_shares: dict[FaultKind, float] = {}  # faults in force; the share of requests of each
        # The port stays reserved while nothing listens on it, or another run could take it.
        self._reserved_port = ports.reserve_tcp()
        self.port = self._reserved_port.number
        self._records = records
        self._random = random
        self._answer_numbers = answer_numbers
        self._server: asyncio.Server | None = None
        self._abandon_count = 0  # how many times it has abandoned its connections
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)

    def stop(self) -> None:
        """Stops to listen, so that new connections are refused. Open connections are served further."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Stops to listen and releases the port."""
        self.stop()
        self._reserved_port.release()

    def abandon_connections(self) -> None:
        """Sends nothing more on the connections that are open now."""
        self._abandon_count += 1

    def list_entry(self) -> dict[str, Any]:
        """The server's entry in discovery's list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "room",
            "kind": "plain",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        abandon_count = self._abandon_count
        try:
            while await self._wait_for_request(reader, writer) and await self._handle_request(
                reader, writer, abandon_count
            ):
                pass
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, RuntimeError):
            pass  # uvloop raises RuntimeError for a write on a connection that has ended
        finally:
            writer.close()

    async def _wait_for_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Waits for the next request. Returns False if the server has ended the idle connection instead
        (IDLE_ENDS)."""
        if self._random.random() >= self.fault_shares.get(FaultKind.IDLE_ENDS, 0.0):
            return True
        with suppress(TimeoutError):
            async with asyncio.timeout(self._random.uniform(*IDLE_END_RANGE_S)):
                # Waits for data without consuming it, for which StreamReader has no public method.
                while not reader._buffer and not reader.at_eof():  # type: ignore[attr-defined]
                    await reader._wait_for_data("_wait_for_request")  # type: ignore[attr-defined]
            return True
        if self._random.random() < 0.5:
            writer.transport.abort()
        return False

    async def _handle_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, abandon_count: int
    ) -> bool:
        """Handles one request; returns whether the connection continues. `abandon_count`: its value when the
        connection was accepted."""
        header = await reader.readuntil(b"\r\n\r\n")
        started_at = monotonic() - (data_age(writer.get_extra_info("socket")) or 0) / 1e9
        lines = header.decode().split("\r\n")[1:]
        fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines if line)}
        attempt = self._record_attempt(fields, started_at)
        await self._read_body(reader, fields)
        attempt.received_at = monotonic()
        fault = next(
            (kind for kind in ANSWER_FAULTS if self._random.random() < self.fault_shares.get(kind, 0.0)), None
        )
        if fault is FaultKind.HANG or abandon_count != self._abandon_count:
            await reader.read()
            return False
        await asyncio.sleep(self._random.uniform(*SERVICE_TIME_RANGE_S))
        if fault is FaultKind.RESETS:
            writer.transport.abort()
            return False
        if fault is FaultKind.SPOILT:
            writer.write(self._random.choice(MALFORMED_ANSWERS))
            await reader.read()
            return False
        if fault is FaultKind.ERRORS:
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            return True
        if fault is FaultKind.FULL:
            attempt.not_run = True
            writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        is_cut = fault is FaultKind.CUT
        return await self._send_answer(fields.get("x-request-id", ""), writer, attempt, is_cut)

    async def _read_body(self, reader: asyncio.StreamReader, fields: dict[str, str]) -> None:
        if fields.get("transfer-encoding") != "chunked":
            await reader.readexactly(int(fields.get("content-length", "0")))
            return
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
        await reader.readuntil(b"\r\n")

    def _record_attempt(self, fields: dict[str, str], started_at: float) -> AttemptRecord:
        deadline = fields.get("x-deadline")
        attempt = AttemptRecord(
            self.name, started_at, None if deadline is None else int(deadline.removesuffix("u")) / 1e6
        )
        request = self._records.requests.get(fields.get("x-request-id", ""))
        if request is None:
            self._records.unknown_requests.append(f"{self.name}: {fields}")
        else:
            request.attempts.append(attempt)
        return attempt

    async def _send_answer(
        self, request_id: str, writer: asyncio.StreamWriter, attempt: AttemptRecord, is_cut: bool
    ) -> bool:
        """Sends an answer with a random framing; returns whether the connection continues."""
        body = f"{request_id}/{next(self._answer_numbers)}".encode()
        if not is_cut and self._random.random() < SLOW_ANSWER_SHARE:
            return await self._send_slowly(writer, attempt, body)
        framing = self._random.choice(FRAMINGS)
        if framing == "long":
            body += b"." * LONG_BODY_BYTES
        if framing in ("chunked", "interim"):
            data = b"HTTP/1.1 100 Continue\r\n\r\n" if framing == "interim" else b""
            half = len(body) // 2
            data += b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
            data += b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:]))
            data += b"0\r\n\r\n"
        elif framing == "until-close":
            data = b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n" + body
        else:
            data = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if is_cut:
            attempt.answer_cut = True
            writer.write(data[: len(data) // 2])
            await asyncio.sleep(0.001)
            writer.transport.abort()
            return False
        writer.write(data)
        await writer.drain()
        if framing == "until-close":
            return False
        if self._random.random() < self.fault_shares.get(FaultKind.SECOND_ANSWERS, 0.0):
            self._call_later(lambda: writer.write(data))
        return True

    async def _send_slowly(self, writer: asyncio.StreamWriter, attempt: AttemptRecord, body: bytes) -> bool:
        """Sends a long answer in pieces over some time; returns whether the connection continues."""
        body += b"." * self._random.randint(*SLOW_BODY_BYTES_RANGE)
        is_chunked = self._random.random() < 0.5
        pieces = self._random.randint(*SLOW_PIECES_RANGE)
        pause_s = self._random.uniform(*SLOW_BODY_RANGE_S) / pieces
        size = -(-len(body) // pieces)
        framing = b"Transfer-Encoding: chunked" if is_chunked else b"Connection: close"
        attempt.long_answer_at = monotonic()
        try:
            writer.write(b"HTTP/1.1 200 X\r\n" + framing + b"\r\n\r\n")
            for at in range(0, len(body), size):
                await asyncio.sleep(pause_s)
                part = body[at : at + size]
                if writer.is_closing():
                    raise ConnectionResetError
                writer.write(b"%x\r\n%s\r\n" % (len(part), part) if is_chunked else part)
                await writer.drain()
            writer.write(b"0\r\n\r\n" if is_chunked else b"")
        except (OSError, RuntimeError):
            attempt.left_at = monotonic()
            return False
        return is_chunked

    def _call_later(self, callback: Callable[[], None]) -> None:
        """Calls back after the delay of a second answer."""

        async def call_after_delay() -> None:
            await asyncio.sleep(self._random.uniform(*SECOND_ANSWER_DELAY_RANGE_S))
            with suppress(OSError, RuntimeError):
                callback()

        task = asyncio.get_running_loop().create_task(call_after_delay())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
