"""Stand-ins for the cases 6 to 10: discovery, servers, clients and the processes of a node, all on loopback.

Each follows the operators' protocol page. Times are of this process's monotonic clock, in s.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
RUN_LIMIT_S = 110.0
START_LIMIT_S = 25.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_GRACE_S = 1.05  # Contract.StopSendingWithin below, and 50 ms for real sockets


class CannotRunError(Exception):
    """The case could not be played; the text says why."""


def run_command() -> str:
    """The command of the deploy file that starts one node."""
    with open(ROOT / "deploy/balancer.toml", "rb") as file:
        return str(tomllib.load(file)["run"])


_given_ports: set[int] = set()


def free_port() -> int:
    """A port that nobody listens on, below those that the system gives to outgoing connections."""
    random = Random()
    for _ in range(1000):
        port = random.randrange(18_000, 32_000)
        with socket.socket() as probe, suppress(OSError):
            if port not in _given_ports:
                probe.bind(("127.0.0.1", port))
                _given_ports.add(port)
                return port
    raise CannotRunError("no free port")


class Record:
    """What was sent, answered and run, a line each, for `record.txt`."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = [f"TROUBLE={int(TROUBLE)}"]

    def note(self, text: str) -> float:
        now = time.monotonic()
        self.lines.append(f"{now - self.began:9.4f} {text}")
        return now

    def write(self, folder: Path) -> None:
        (folder / "record.txt").write_text("\n".join(self.lines) + "\n")


class Message(NamedTuple):
    """An HTTP message with a body of a known length."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader, on_first: Callable[[], None] | None = None) -> Message:
    """Reads a message. `on_first` is called when its first byte has come."""
    first_byte = await reader.readexactly(1)
    if on_first is not None:
        on_first()
    head = (first_byte + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    headers = {name.lower(): text for name, text in (line.split(": ", 1) for line in lines)}
    return Message(first, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


class Server:
    """A server that answers each request with 200 after some work, and notes the first byte of each."""

    def __init__(self, name: str, record: Record, work_s: Callable[[Message], float]) -> None:
        self.name = name
        self.seen: list[tuple[float, Message]] = []  # time of the first byte, and the request
        self._record = record
        self._work_s = work_s
        self._server: asyncio.Server | None = None
        self.port = 0
        self.state = "Ready"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        began: list[float] = []
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                began.clear()
                message = await read_message(reader, lambda: began.append(time.monotonic()))
                self.seen.append((began[0], message))
                request_id = message.headers.get("x-request-id", "-")
                self._record.note(f"server {self.name} runs {request_id}: {message.first}")
                await asyncio.sleep(self._work_s(message))
                body = f"{self.name} {request_id}".encode()
                head = f"HTTP/1.1 200 OK\r\nX-Load: load_share=0.2,depth=0\r\nContent-Length: {len(body)}"
                writer.write(head.encode() + b"\r\n\r\n" + body)
                await writer.drain()
        writer.close()

    def entry(self, state: str = "") -> dict[str, Any]:
        return {
            "id": self.name, "addr": f"127.0.0.1:{self.port}", "zone": "room", "kind": "box", "cell": 0,
            "state": state or self.state, "weight": 1.0, "started_ms": 0,
        }  # fmt: skip


class Discovery:
    """Watches with a first line after `delay_s(number of the call)`, then changes and empty lines."""

    def __init__(self, servers: list[Server], record: Record, delay_s: Callable[[int], float]) -> None:
        self._servers = servers
        self._record = record
        self._delay_s = delay_s
        self.version = 7
        self.calls: list[float] = []
        self.answered: list[int] = []  # numbers of the calls whose first line is written
        self.has_too_many_callers = False  # calls are turned away; open watches go on
        self._open: dict[int, asyncio.StreamWriter] = {}
        self._tick_waiters: list[asyncio.Future[None]] = []
        self._ticker: asyncio.Task[None] | None = None
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self._ticker = asyncio.get_running_loop().create_task(self._tick())

    def _line(self, full: bool, servers: list[Server]) -> bytes:
        document = {"version": self.version, "full": full, "servers": [one.entry() for one in servers]}
        text = json.dumps(document, separators=(",", ":")).encode() + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = -1
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            message = await read_message(reader)
            number = len(self.calls)
            self.calls.append(self._record.note(f"discovery call {number}: {message.first}"))
            await asyncio.sleep(self._delay_s(number))
            if self.has_too_many_callers:
                self._record.note(f"discovery turns call {number} away")
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(self._line(True, self._servers))
            self._record.note(f"discovery answers call {number} with version {self.version}")
            self.answered.append(number)
            self._open[number] = writer
            while await reader.read(1024):  # until the node ends the watch
                pass
        self._open.pop(number, None)
        writer.close()

    async def _tick(self) -> None:
        """An empty line every 2 s on all watches."""
        while True:
            await asyncio.sleep(2.0)
            for writer in self._open.values():
                if not writer.is_closing():
                    writer.write(b"1\r\n\n\r\n")
            for waiter in self._tick_waiters:
                waiter.set_result(None)
            self._tick_waiters.clear()

    async def next_tick(self) -> None:
        """Returns when the watches have just been sent an empty line."""
        waiter = asyncio.get_running_loop().create_future()
        self._tick_waiters.append(waiter)
        await waiter

    def change(self, server: Server, state: str) -> tuple[float, list[int]]:
        """Tells all open watches of a server's new state. Returns when, and the calls of those watches."""
        self.version += 1
        server.state = state
        told = []
        for number, writer in self._open.items():
            if not writer.is_closing():
                writer.write(self._line(False, [server]))
                told.append(number)
        return self._record.note(f"discovery tells the watches {told}: {server.name} is {state}"), told


class Client:
    """A client with one kept connection, opened anew where the node has closed it between requests."""

    def __init__(self, name: str, port: int, record: Record) -> None:
        self.name = name
        self._port = port
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._number = 0

    async def connect(self) -> None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
            self._reader = self._writer = None

    async def ask(self, class_name: str, deadline_ms: int, key: str = "") -> Message | None:
        """Sends a request of a class that is safe to repeat. None: its connection ended with no answer, also
        the second one."""
        self._number += 1
        request_id = f"{self.name}-{self._number}"
        head = (
            f"GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {request_id}\r\n"
            f"X-Class: {class_name}\r\nX-Deadline: {deadline_ms}m\r\n" + (f"X-Key: {key}\r\n" if key else "")
        )
        return await self.exchange(request_id, head.encode() + b"\r\n")

    async def exchange(self, request_id: str, data: bytes) -> Message | None:
        """Sends a request, and once more on a new connection where a kept one ends without an answer."""
        for _ in range(2):
            is_kept = self._writer is not None
            try:
                await self.connect()
                assert self._reader is not None and self._writer is not None
                self._writer.write(data)
                answer = await read_message(self._reader)
            except (OSError, asyncio.IncompleteReadError):
                self.close()
                self._record.note(f"client {self.name}: the connection ended under {request_id}")
                if is_kept:
                    continue
                return None
            self._record.note(f"client {self.name}: {request_id} is answered {answer.status}")
            if answer.headers.get("connection", "").lower() == "close":
                self.close()
            return answer
        return None


class Process:
    """A process of the project, started by a shell command from the root, with its log."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, record: Record) -> None:
        self.name = name
        self.pid = process.pid
        self.log: list[str] = []
        self._process = process
        self._record = record
        self._changed = asyncio.Event()
        self._task = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        assert self._process.stderr is not None
        while line := await self._process.stderr.readline():
            text = line.decode(errors="replace").rstrip()
            self.log.append(text)
            self._record.note(f"log {self.name}: {text}")
            self._changed.set()

    async def logged(self, text: str, limit_s: float = START_LIMIT_S) -> None:
        """Returns once a line of the log contains the text. Raises CannotRunError."""
        try:
            async with asyncio.timeout(limit_s):
                while not any(text in line for line in self.log):
                    if self._process.returncode is not None:
                        raise CannotRunError(f"{self.name} ended: {self.log[-3:]}")
                    self._changed.clear()
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self._changed.wait(), 0.5)
        except TimeoutError:
            raise CannotRunError(f"{self.name} did not log {text!r}: {self.log[-3:]}") from None

    @property
    def has_ended(self) -> bool:
        return self._process.returncode is not None

    def send(self, number: signal.Signals) -> float:
        if not self.has_ended:
            self._process.send_signal(number)
        return self._record.note(f"{number.name} to {self.name}")

    @property
    def status(self) -> int | None:
        """The exit status; None while it runs."""
        return self._process.returncode

    async def wait(self) -> None:
        await self._process.wait()


class Case:
    """One run of a case: temporary folder, record and the processes that it has started."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.record = Record()
        self.temporary = Path(tempfile.mkdtemp(prefix="r-", dir="/tmp"))
        self._processes: list[Process] = []

    async def start(self, name: str, command: str, **variables: str) -> Process:
        kept = {
            key: text for key, text in os.environ.items() if not key.startswith(("BALANCER_", "DRIFTSTAIR_"))
        }
        process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=kept | variables, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.record.note(f"start {name}: {command}")
        started = Process(name, process, self.record)
        self._processes.append(started)
        return started

    async def start_node(
        self, name: str, document: dict[str, Any], tmpdir: Path, service: Path | None = None, label: str = ""
    ) -> Process:
        """Starts a node by the deploy file's `run`."""
        label = label or name
        path = self.temporary / f"{label}.json"
        path.write_text(json.dumps(document))
        variables = {
            "BALANCER_NAME": name, "BALANCER_LISTEN": document["listen"], "BALANCER_CONFIG": str(path),
            "BALANCER_DISCOVERY": document["discovery"], "TMPDIR": str(tmpdir),
        }  # fmt: skip
        if service is not None:
            variables["DRIFTSTAIR_SERVICE"] = str(service)
        return await self.start(label, run_command(), **variables)

    async def end(self) -> None:
        for process in self._processes:
            if not process.has_ended:
                with suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGCONT)
                    os.kill(process.pid, signal.SIGKILL)
            await process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)


def grade(name: str, semantics: str, deadline_s: float) -> dict[str, Any]:
    return {
        "Name": name, "Semantics": semantics, "Aim": 500_000_000, "Deadline": int(deadline_s * 1e9),
        "Worth": 1.0, "LateShare": 0.5, "Group": "all", "MemorySpan": 5_000_000_000, "Stream": False,
    }  # fmt: skip


def document(
    port: int, discovery: Discovery, servers: list[Server], operators: int = 0, **more: Any
) -> dict[str, Any]:
    """The configuration of a node: one server room, lists on request, as in a small deployment."""
    settings = {
        "Contract": {
            "AskWithin": 10_000_000_000, "Cold": 23_000_000_000, "ColdShare": 0.15, "Fall": 1_500_000_000,
            "FallMultiple": 3.0, "GraceToAnswer": 20_000_000, "StopSendingWithin": 1_000_000_000,
        },
        "Feedback": {"Fields": ["load_share", "depth"], "How": "answers"},
        "Grades": [grade("page", "repeatable", 3.0), grade("order", "once", 5.0)],
        "Kinds": ["box"], "Zones": ["room"], "MyZone": 0, "Tenants": [], "MembershipMode": "on_request",
        "Limits": {
            "CpuUsPerS": 1_376_163, "DialTimeout": 200_000_000, "IdleClose": 30_000_000_000,
            "MaxRetryAfter": 2_000_000_000, "OpenCap": 20_000, "Peers": False, "Probes": False,
            "MayCancel": True, "RetryAfter": True, "SecondCopies": False, "SendCap": 5, "StreamsPerConn": 1,
        },
        "PeersTotal": 1, "SelfIndex": 0, "WorthBy": "request", "Weights": "nominal", "Tick": 5_000_000,
    }  # fmt: skip
    return {
        "name": "n1", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": os.urandom(8).hex(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 3, "full": True, "servers": [one.entry() for one in servers]},
        "settings": settings,
        **({"ops": f"127.0.0.1:{operators}"} if operators else {}), **more,
    }  # fmt: skip


async def call(port: int, method: str, path: str, limit_s: float = 5.0) -> tuple[int, Any]:
    """An operator's call. Returns status 0 where there is no answer."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n".encode())
            message = await read_message(reader)
            writer.close()
            return message.status, json.loads(message.body or b"null")
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None


async def until(condition: Callable[[], Awaitable[bool]], what: str, limit_s: float = START_LIMIT_S) -> None:
    """Polls until a condition holds. Raises CannotRunError."""
    try:
        async with asyncio.timeout(limit_s):
            while not await condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        raise CannotRunError(f"not reached: {what}") from None


async def is_ready(port: int) -> bool:
    return (await call(port, "GET", "/control/ready"))[0] == 200


async def is_up(port: int) -> bool:
    """Whether the front may take the node in."""
    return (await call(port, "GET", "/up"))[0] == 200


def play(file: str, test: Callable[[Case], Awaitable[list[str]]]) -> None:
    """Plays a case, which returns what it found broken, and exits with its status."""
    folder = Path(file).resolve().parent

    async def whole() -> int:
        case = Case(folder)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                findings = await test(case)
            for finding in findings:
                case.record.note(f"BROKEN: {finding}")
            status = BROKEN if findings else HELD
        except (CannotRunError, TimeoutError, OSError) as problem:
            case.record.note(f"could not run: {problem!r}")
            status = CANNOT_RUN
        except Exception:
            case.record.note("could not run: " + traceback.format_exc())
            status = CANNOT_RUN
        finally:
            await case.end()
        case.record.note(f"exit status {status}")
        case.record.write(folder)
        print("\n".join(case.record.lines[-4:]))
        return status

    sys.exit(asyncio.run(whole()))
