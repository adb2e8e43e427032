"""Fake servers of a run: they answer in all framings, fail as they are told, and record each attempt."""

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

SERVICE = (0.004, 0.06)  # s
SECOND_AFTER = (0.001, 0.02)  # s behind an answer
LONG = 300_000  # bytes
IN_PIECES = 16 << 10  # bytes
FRAMINGS = ("length", "length", "length", "chunked", "interim", "until-close", "long")
OWN_WORD = (
    FaultKind.ERRORS, FaultKind.FULL, FaultKind.RESETS, FaultKind.CUT, FaultKind.HANG, FaultKind.SPOILT,
)  # fmt: skip
IDLE_END = (0.01, 0.6)  # s at rest after which a connection is ended by a server that does so
SPOILT = (
    b"\x00\xff noise\r\n\r\n",
    b"HTTP/1.1 two hundred\r\n\r\n",
    b"HTTP/1.1 200 X\r\nContent-Length: -3\r\n\r\nabc",
    b"HTTP/1.1 200 X\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc",
    b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
    b"HTTP/1.1 200 X\r\nContent-Length: 3221225472\r\n\r\n" + b"." * 1000,
    b"HTTP/1.1 200 X\r\n" + b"X-Head: without end\r\n" * 2000,
    b"HTTP/1.1 200 X\r\nContent-Length: 60\r\n\r\nless than that",
)
"""Answers that can't be read, or don't end. The connection stays open."""


class FakeServer:
    def __init__(self, number: int, records: Records, random: Random, tokens: count[int]) -> None:
        self.name = f"s-{number}"
        self.state = "Ready"
        self.changed_at = 0.0  # when it last did, s
        self.faults: dict[FaultKind, float] = {}  # in force, and the share of requests that each befalls
        self._held = ports.reserve_tcp()  # also while nobody listens: another run would take it
        self.port = self._held.number
        self._records = records
        self._random = random
        self._tokens = tokens
        self._server: asyncio.Server | None = None
        self._forgotten = 0  # how many times it has let go of its connections
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)

    def stop(self) -> None:
        """New connections are refused; those that stand go on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def end(self) -> None:
        """For good."""
        self.stop()
        self._held.release()

    def forget(self) -> None:
        """Nothing is said any more on the connections that stand."""
        self._forgotten += 1

    def entry(self) -> dict[str, Any]:
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
        forgotten = self._forgotten
        try:
            while await self._next_head(reader, writer) and await self._one(reader, writer, forgotten):
                pass
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError, RuntimeError):
            pass  # the last one is uvloop's of a write to what has ended
        finally:
            writer.close()

    async def _next_head(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Waits for one; False: this server has ended the connection meanwhile, which was at rest."""
        if self._random.random() >= self.faults.get(FaultKind.IDLE_ENDS, 0.0):
            return True
        with suppress(TimeoutError):
            async with asyncio.timeout(self._random.uniform(*IDLE_END)):
                # Looks without taking: a StreamReader has no call for that.
                while not reader._buffer and not reader.at_eof():  # type: ignore[attr-defined]
                    await reader._wait_for_data("a look")  # type: ignore[attr-defined]
            return True
        if self._random.random() < 0.5:
            writer.transport.abort()
        return False

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forgotten: int) -> bool:
        """One request; whether the connection goes on. `forgotten`: as it was when the connection came."""
        head = await reader.readuntil(b"\r\n\r\n")
        began = monotonic() - (data_age(writer.get_extra_info("socket")) or 0) / 1e9
        lines = head.decode().split("\r\n")[1:]
        fields = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines if line)}
        attempt = self._record(fields, began)
        await self._read_body(reader, fields)
        attempt.whole = monotonic()
        fault = next((one for one in OWN_WORD if self._random.random() < self.faults.get(one, 0.0)), None)
        if fault is FaultKind.HANG or forgotten != self._forgotten:
            await reader.read()
            return False
        await asyncio.sleep(self._random.uniform(*SERVICE))
        if fault is FaultKind.RESETS:
            writer.transport.abort()
            return False
        if fault is FaultKind.SPOILT:
            writer.write(self._random.choice(SPOILT))
            await reader.read()
            return False
        if fault is FaultKind.ERRORS:
            writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            return True
        if fault is FaultKind.FULL:
            attempt.not_run = True
            writer.write(b"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        cut = fault is FaultKind.CUT
        return await self._serve_it(fields.get("x-request-id", ""), writer, attempt, cut)

    async def _read_body(self, reader: asyncio.StreamReader, fields: dict[str, str]) -> None:
        if fields.get("transfer-encoding") != "chunked":
            await reader.readexactly(int(fields.get("content-length", "0")))
            return
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
        await reader.readuntil(b"\r\n")

    def _record(self, fields: dict[str, str], began: float) -> AttemptRecord:
        told = fields.get("x-deadline")
        attempt = AttemptRecord(self.name, began, None if told is None else int(told.removesuffix("u")) / 1e6)
        request = self._records.requests.get(fields.get("x-request-id", ""))
        if request is None:
            self._records.strangers.append(f"{self.name}: {fields}")
        else:
            request.attempts.append(attempt)
        return attempt

    async def _serve_it(
        self, identity: str, writer: asyncio.StreamWriter, attempt: AttemptRecord, cut: bool
    ) -> bool:
        body = f"{identity}/{next(self._tokens)}".encode()
        framing = self._random.choice(FRAMINGS)
        if framing == "long":
            body += b"." * LONG
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
        if cut:
            attempt.cut = True
            writer.write(data[: len(data) // 2])
            await asyncio.sleep(0.001)
            writer.transport.abort()
            return False
        writer.write(data)
        await writer.drain()
        if framing == "until-close":
            return False
        if self._random.random() < self.faults.get(FaultKind.SECOND_ANSWERS, 0.0):
            self._later(lambda: writer.write(data))
        return True

    def _later(self, what: Callable[[], None]) -> None:
        async def after() -> None:
            await asyncio.sleep(self._random.uniform(*SECOND_AFTER))
            with suppress(OSError, RuntimeError):
                what()

        task = asyncio.get_running_loop().create_task(after())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
