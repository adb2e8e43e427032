"""Small stand-ins for the platform: servers, discovery and clients on loopback, and the program's processes,
started with the commands of the deploy file. Everything is written to a record."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SLACK_S = 0.05  # each time limit is 50 ms longer (PROTOCOL, the rules on sockets)
NS_PER_MS = 1_000_000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, NOT_RUN, BROKEN = 0, 2, 3  # the last one is made a 1 by run.sh, which any failure of Python would be


class CannotRunError(Exception):
    """The case can't be played here; the text says why."""


class Record:
    """The file `record.txt` of a case: lines with the time since its start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 - open for the whole run
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def deploy_run() -> str:
    """The command that starts a node, from the deploy file."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return str(tomllib.load(file)["run"])


def node_settings(nodes: int = 1, deadline_ms: int = 3000, aim_ms: int = 1000) -> dict[str, Any]:
    """Settings like those of the operators' site: one safe class, discovery that is asked."""
    return {
        "Contract": {"AskWithin": 10 * 10**9, "Cold": 10**9, "ColdShare": 0.5},
        "Feedback": {"Fields": [], "How": "answers"},
        "Grades": [
            {
                "Aim": aim_ms * NS_PER_MS,
                "Deadline": deadline_ms * NS_PER_MS,
                "Group": "all",
                "LateShare": 0.0,
                "MemorySpan": 5 * 10**9,
                "Name": "track-fetch",
                "Semantics": "repeatable",
                "Stream": False,
                "Worth": 1.0,
            }
        ],
        "Kinds": ["plain-six"],
        "Zones": ["kigali-room"],
        "Tenants": [],
        "MembershipMode": "on_request",
        "Limits": {
            "DialTimeout": 300 * NS_PER_MS,
            "IdleClose": 30 * 10**9,
            "MaxRetryAfter": 1_500_000_000,
            "OpenCap": 20_000,
            "RetryAfter": True,
            "SendCap": 5,
        },
        "PeersTotal": nodes,
        "WorthBy": "request",
    }


class Box:
    """A server: answers each request after `work_s` with the request's id."""

    def __init__(self, name: str, record: Record, work_s: float = 0.02) -> None:
        self.name = name
        self.port = 0
        self.state = "Ready"
        self.ran: list[tuple[float, str]] = []  # when a request was complete, and its id
        self._record = record
        self._work_s = work_s
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "kigali-room",
            "kind": "plain-six",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head, _ = await read_message(reader)
                request_id = head.get("x-request-id", "")
                self.ran.append((time.monotonic(), request_id))
                self._record(f"{self.name} ran {request_id}")
                await asyncio.sleep(self._work_s)
                body = request_id.encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[dict[str, str], bytes]:
    """The headers, with the first line under the empty name, and the body."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    head = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
    head[""] = lines[0]
    return head, await reader.readexactly(int(head.get("content-length", "0")))


class Discovery:
    """Answers lists and watches, tells changes on open watches, and an empty line every 2 s. While `is_busy`,
    too many callers are there: a call waits for `BUSY_WAIT_S` and ends with 503; open watches go on."""

    BUSY_WAIT_S = 3.0  # the site's timeout_ms

    def __init__(self, boxes: list[Box], record: Record) -> None:
        self.is_busy = False
        self.address = ""
        self._boxes = boxes
        self._record = record
        self._version = 1
        self._watches: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    def document(self) -> dict[str, Any]:
        return {"version": self._version, "full": True, "servers": [box.entry() for box in self._boxes]}

    def change(self, box: Box, state: str) -> None:
        """Tells a server's new state on all open watches."""
        box.state = state
        self._version += 1
        text = (
            json.dumps({"version": self._version, "full": False, "servers": [box.entry()]}).encode() + b"\n"
        )
        self._record(f"discovery tells {len(self._watches)} watches: {box.name} is {state}")
        for writer in self._watches:
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head, _ = await read_message(reader)
            self._record(f"discovery is called: {head['']}")
            if self.is_busy:
                await asyncio.sleep(self.BUSY_WAIT_S)
                self._record("discovery answers 503: it waited too long")
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                await writer.drain()
                writer.close()
                return
            text = json.dumps(self.document()).encode() + b"\n"
            if "watch=1" not in head[""]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                await writer.drain()
                return
            if f"from={self._version}&" in head[""] or f"from={self._version} " in head[""]:
                text = b"\n"  # it has this version
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            self._record(f"discovery answers with version {self._version}")
            self._watches.add(writer)
            try:
                while not writer.is_closing() and not reader.at_eof():
                    await asyncio.sleep(2.0)
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
            finally:
                self._watches.discard(writer)


class Process:
    """A process of the program in a process group of its own; its log goes to the record."""

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.lines: list[str] = []
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self, command: str, environment: dict[str, str]) -> None:
        kept = {key: value for key, value in os.environ.items() if not key.startswith(("BALANCER", "DRIFT"))}
        self._record(f"{self.name} is started: {command}")
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env={**kept, **environment},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        self._reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self._process is not None and self._process.stderr is not None
        while line := (await self._process.stderr.readline()).decode("utf-8", "replace").rstrip():
            self.lines.append(line)
            self._record(f"{self.name}: {line}")
        self._record(f"{self.name} ended with status {await self._process.wait()}")

    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def until_logged(self, text: str, timeout_s: float = 30.0) -> None:
        end = time.monotonic() + timeout_s
        while not any(text in line for line in self.lines):
            if self._process is not None and not self.is_running():
                raise CannotRunError(f"{self.name} ended: {self.lines[-3:]}")
            if time.monotonic() > end:
                raise CannotRunError(f"{self.name} did not say {text!r} within {timeout_s:g} s")
            await asyncio.sleep(0.02)

    def send(self, number: int) -> None:
        if self.is_running():
            assert self._process is not None
            self._record(f"{self.name} gets {signal.Signals(number).name}")
            self._process.send_signal(number)

    async def ended(self, timeout_s: float = 20.0) -> int:
        assert self._process is not None
        return await asyncio.wait_for(self._process.wait(), timeout_s)

    async def close(self) -> None:
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                os.killpg(self._process.pid, signal.SIGKILL)
            await self._process.wait()
        if self._reading is not None:
            with suppress(asyncio.CancelledError):
                await asyncio.wait_for(self._reading, 5.0)


class Node(Process):
    """One process of a node, started with the deploy file's `run`."""

    def __init__(
        self, name: str, record: Record, folder: Path, document: dict[str, Any], service: str
    ) -> None:
        super().__init__(name, record)
        self.operators = str(document.get("ops", ""))
        self.listen = str(document["listen"])
        self._configuration = folder / f"{name}.json"
        self._configuration.write_text(json.dumps(document))
        self._environment = {"BALANCER_CONFIG": str(self._configuration)}
        if service:
            service_file = folder / f"{name}.toml"
            service_file.write_text(service)
            self._environment["DRIFTSTAIR_SERVICE"] = str(service_file)

    async def serve(self, temporary: Path, timeout_s: float = 30.0) -> None:
        """Returns once it serves. `temporary`: its TMPDIR."""
        await self.start(deploy_run(), {**self._environment, "TMPDIR": str(temporary)})
        await self.until_logged("serving on", timeout_s)

    async def call(self, method: str, path: str) -> tuple[int, bytes]:
        """An operators' call."""
        host, port = self.operators.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n".encode())
        try:
            head, body = await asyncio.wait_for(read_message(reader), 5.0)
        finally:
            writer.close()
        return int(head[""].split()[1]), body

    async def until_ready(self, timeout_s: float = 20.0) -> None:
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            with suppress(OSError, asyncio.IncompleteReadError):
                if (await self.call("GET", "/control/ready"))[0] == 200:
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} was not ready within {timeout_s:g} s")


def node_document(name: str, discovery: Discovery, settings: dict[str, Any], seed: int) -> dict[str, Any]:
    """What a node is told by the platform."""
    return {
        "name": name,
        "listen": f"{HOST}:{free_port()}",
        "ops": f"{HOST}:{free_port()}",
        "discovery": discovery.address,
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
        "known": discovery.document(),
    }


class Ask:
    """One request of a client and what became of it."""

    def __init__(self, number: int) -> None:
        self.id = f"{number:016x}"
        self.sent_at = 0.0  # when its last byte was handed to the kernel; 0: the connection was refused
        self.ended_at = 0.0
        self.status = 0  # 0: none
        self.outcome = ""
        self.is_kept = False  # sent on a connection that the node had served before


class Clients:
    """Clients that send one request at a time on a connection, keep connections and open more when all are
    busy, and wait `patience_s` for an answer."""

    def __init__(self, address: str, record: Record, patience_s: float, listen_s: float = 0.0) -> None:
        """`listen_s`: how much longer the connection is watched for an answer that is late."""
        self.asks: list[Ask] = []
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._record = record
        self._patience_s = patience_s
        self._listen_s = listen_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._kept: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self) -> Ask:
        ask = Ask(len(self.asks) + 1)
        self.asks.append(ask)
        while self._kept:
            reader, writer = self._kept.pop()
            # A node may close a connection between two requests; the client then sends once more.
            if not await self._try(ask, reader, writer, is_kept=True):
                return ask
        try:
            reader, writer = await asyncio.open_connection(self._host, self._port)
        except OSError as problem:
            ask.outcome = f"not taken: {problem.strerror}"
            self._record(f"client {ask.id}: {ask.outcome}")
            return ask
        await self._try(ask, reader, writer, is_kept=False)
        return ask

    async def _try(
        self, ask: Ask, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_kept: bool
    ) -> bool:
        """Returns whether the request has to be sent once more: a kept connection ended without an answer."""
        deadline_ms = int(self._patience_s * 1000)
        writer.write(
            f"GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {ask.id}\r\n"
            f"X-Class: track-fetch\r\nX-Key: 7f3a9c21e0b4d6{int(ask.id, 16) % 89:02x}\r\n"
            f"X-Deadline: {deadline_ms}m\r\n\r\n".encode()
        )
        ask.sent_at, ask.is_kept = time.monotonic(), is_kept
        self._record(f"client {ask.id} sent{' on a kept connection' if is_kept else ''}")
        keeps = False
        try:
            head, body = await asyncio.wait_for(read_message(reader), self._patience_s + self._listen_s)
            ask.status = int(head[""].split()[1])
            ask.outcome = f"status {ask.status}"
            keeps = head.get("connection", "").lower() != "close"
            if ask.status == 200 and body != ask.id.encode():
                ask.outcome = f"wrong body {body[:60]!r}"
        except TimeoutError:
            ask.outcome = "no answer"
        except (OSError, asyncio.IncompleteReadError) as problem:
            if is_kept and not getattr(problem, "partial", b""):
                writer.close()
                return True
            ask.outcome = f"ended with no whole answer ({type(problem).__name__})"
        ask.ended_at = time.monotonic()
        self._record(f"client {ask.id}: {ask.outcome} after {ask.ended_at - ask.sent_at:.3f} s")
        if keeps:
            self._kept.append((reader, writer))
        else:
            writer.close()
        return False

    def send(self) -> None:
        """Asks without waiting."""
        task = asyncio.create_task(self._ask_only())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_only(self) -> None:
        await self.ask()

    async def send_for(self, seconds: float, per_s: float, until: Callable[[], bool] = lambda: False) -> None:
        """Sends at a steady rate, whatever becomes of the requests before."""
        began = time.monotonic()
        count = 0
        while time.monotonic() - began < seconds and not until():
            self.send()
            count += 1
            await asyncio.sleep(max(0.0, began + count / per_s - time.monotonic()))

    async def settled(self) -> None:
        while self._tasks:
            await asyncio.gather(*self._tasks)
        for _, writer in self._kept:
            writer.close()
        self._kept.clear()


def main(play: Callable[[Record, Path], Any], folder: Path) -> None:
    """Plays a case in a temporary folder and exits with its status."""
    import tempfile

    record = Record(folder)

    async def run(temporary: Path) -> int:
        loop = asyncio.get_running_loop()
        playing = loop.create_task(play(record, temporary))
        loop.add_signal_handler(signal.SIGTERM, playing.cancel)
        return int(await asyncio.wait_for(playing, 115.0))

    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            status = asyncio.run(run(Path(temporary)))
        except (Exception, asyncio.CancelledError) as problem:
            record(f"the case could not run: {problem!r}")
            status = NOT_RUN
    verdict = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[status]
    record(f"the rule: {verdict} (TROUBLE={int(TROUBLE)})")
    print(f"case {folder.name}: {verdict} (TROUBLE={int(TROUBLE)})")
    sys.exit(status)
