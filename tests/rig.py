"""A real node on loopback sockets, with small servers, a discovery service and clients scripted by a test."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import socket
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from contextlib import AsyncExitStack, suppress
from itertools import count
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

import uvloop

from driftstair.config import load
from driftstair.daemon import build_node
from driftstair.net.frontend import Frontend
from driftstair.net.node import Node
from driftstair.net.system import SOCKET_SYSTEM, ProtocolFactory, SocketSystem
from driftstair.settings import Config
from lichenspring import interface as api

SYSTEM = SOCKET_SYSTEM  # used by the nodes in this process
TIMEOUT_S = 20.0  # only a failing test waits so long


def run(test: Coroutine[Any, Any, None]) -> None:
    run_for(test, TIMEOUT_S * 2)


def run_for(test: Coroutine[Any, Any, None], timeout_s: float) -> None:
    """Only a failing test runs into `timeout_s`."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(test, timeout_s))


PORTS = range(10_000, 32_000)  # below those that the system gives to outgoing connections
PORTS_PER_WORKER = 1_000  # of the test processes that run beside one another
_ports: Iterator[int] = iter(())


def free_port() -> int:
    """A port that nobody listens on, and that nobody else of the suite is given."""
    global _ports
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
    first = PORTS.start + worker * PORTS_PER_WORKER % len(PORTS)
    while True:
        port = next(_ports, None)
        if port is None:
            _ports = iter(range(first, first + PORTS_PER_WORKER))
            continue
        with socket.socket() as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


async def until(condition: Callable[[], object]) -> None:
    """Polls until a condition holds that has no notification."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.002)


async def open_read_pipe(path: Path) -> int:
    """Opens a named pipe for writing, once a process has opened it for reading. Returns the descriptor."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            with suppress(OSError):  # ENXIO: nobody reads
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            await asyncio.sleep(0.002)


class Message(NamedTuple):
    first: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    first, *lines = head.rstrip().split("\r\n")
    headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def answer(status: int = 200, body: bytes = b"frame", **headers: str) -> bytes:
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body


Script = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


async def serves(_: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(answer())


def sends(data: bytes, close: bool = False, abort: bool = False) -> Script:
    async def script(_: Message, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        if close:
            writer.close()
        if abort:
            writer.transport.abort()

    return script


async def silent(_: Message, __: asyncio.StreamWriter) -> None:
    pass


class Server:
    """A server whose script answers each request."""

    def __init__(self, name: str, script: Script = serves) -> None:
        self.name = name
        self.script = script
        self.seen: list[Message] = []
        self.connections = 0
        self.open = 0
        self.state = "Ready"
        self.started_ms = 0
        self.address = ""
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Server:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.open += 1
        try:
            while True:
                message = await read_message(reader)
                self.seen.append(message)
                await self.script(message, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.open -= 1
            writer.close()

    def entry(self) -> dict[str, Any]:
        return {
            "id": self.name, "addr": self.address, "zone": "room", "kind": "box", "cell": 0,
            "state": self.state, "weight": 1.0, "started_ms": self.started_ms,
        }  # fmt: skip


class Discovery:
    """Accepts watches and keeps them open."""

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.open = 0
        self.reply = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.address = ""
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Discovery:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        self.drop()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = await read_message(reader)
        writer.write(self.reply)
        self._writers.append(writer)
        self.targets.append(message.first)
        self.open += 1
        with suppress(OSError):
            await reader.read()
        self.open -= 1

    def push_bytes(self, data: bytes) -> None:
        self._writers[-1].write(b"%x\r\n%s\r\n" % (len(data), data))

    def push(self, version: int, *servers: Server, full: bool = False) -> None:
        entries = [server.entry() for server in servers]
        self.push_bytes(json.dumps({"version": version, "full": full, "servers": entries}).encode() + b"\n")

    def close(self) -> None:
        """Closes the latest watch after its pending data."""
        self._writers[-1].close()

    def drop(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()


def grade(name: str, semantics: str, deadline_ms: int = 10_000, aim_ms: int = 10_000) -> dict[str, Any]:
    return {
        "Aim": aim_ms * 10**6, "Deadline": deadline_ms * 10**6, "Group": "all", "LateShare": 0.0,
        "MemorySpan": 5 * 10**9, "Name": name, "Semantics": semantics, "Stream": False, "Worth": 1.0,
    }  # fmt: skip


SETTINGS: dict[str, Any] = {
    "Contract": {"AskWithin": 10**10, "Cold": 10**9, "ColdShare": 0.5},
    "Feedback": {"Fields": ["load_share", "depth"], "How": "answers"},
    "Grades": [grade("page", "repeatable"), grade("order", "once")],
    "Kinds": ["box"], "Zones": ["room"], "Tenants": [], "MembershipMode": "on_request",
    "Limits": {
        "DialTimeout": 5 * 10**9, "IdleClose": 30 * 10**9, "MaxRetryAfter": 1_500_000_000, "OpenCap": 20000,
        "RetryAfter": True, "SendCap": 5,
    },
    "PeersTotal": 1, "WorthBy": "request",
}  # fmt: skip


def configuration(*servers: Server, discovery: str = "127.0.0.1:9", **limits: Any) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    settings["Limits"].update(limits)
    return {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings,
        "known": {"version": 7, "full": True, "servers": [server.entry() for server in servers]},
    }  # fmt: skip


class EventRecorder:
    """Wraps a node's balancer and records its events. A test may override its decisions."""

    def __init__(self, node: Node) -> None:
        self.events: list[api.Event] = []
        self.override: Callable[[api.Event], list[api.Action] | None] = lambda event: None
        self._balancer = node._balancer
        node._balancer = self  # type: ignore[assignment]

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        done = self.override(event)
        return self._balancer.handle(now, event) if done is None else done

    def outcomes(self) -> list[api.Outcome]:
        return [event for event in self.events if isinstance(event, api.Outcome)]

    def lists(self, kind: api.ListKind) -> list[api.ServerList]:
        return [event for event in self.events if isinstance(event, api.ServerList) and event.kind is kind]


class Rig:
    """A node that runs in this process."""

    def __init__(self, document: dict[str, Any], service: str | None = None) -> None:
        self._document = document
        self._service = service  # the text of a service file
        self._stack = AsyncExitStack()
        self.config: Config
        self.node: Node
        self.frontend: Frontend
        self.spy: EventRecorder
        self.address: tuple[str, int]

    async def __aenter__(self) -> Rig:
        with TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_text(json.dumps(self._document))
            self.config = load({"BALANCER_CONFIG": str(path)})
        limits = None
        if self._service is not None:
            from driftstair.service.service_file import ServiceFile

            limits = ServiceFile("service.toml", self._service).table(self.config, 541)
        self.node, self.frontend = build_node(self.config, SYSTEM, limits)
        self.node.guard.strict = True
        self.spy = EventRecorder(self.node)
        self.node._balancer.start = self.spy._balancer.start  # type: ignore[method-assign]
        self.address = self.frontend.listen()
        self.node.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.frontend.stop(0.0, 0.0)
        assert not self.node.metrics.violations
        self.node.servers.discovery.close()

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(*self.address, limit=1 << 20))

    def watch(self) -> None:
        """Opens the watch now; the module would open it only within seconds."""
        self.node._execute(api.Watch())


class LateDials(SocketSystem):
    """Delays all dials after the first `before` ones until `up` is set."""

    def __init__(self, before: int = 0) -> None:
        self.before = before
        self.begun = asyncio.Event()
        self.up = asyncio.Event()

    async def dial(self, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
        protocol = await super().dial(factory, address)
        self.before -= 1
        if self.before < 0:
            self.begun.set()
            await self.up.wait()
        return protocol


class FailingDials(SocketSystem):
    """Lets the first dials fail as connect(2) and socket(2) may."""

    def __init__(self, error: int, times: int) -> None:
        self.error = error
        self.times = times

    async def dial(self, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
        self.times -= 1
        if self.times >= 0:
            raise OSError(self.error, os.strerror(self.error))
        return await super().dial(factory, address)


class LoopBlocker(asyncio.Protocol):
    """Blocks the loop when it reads: timers that become due meanwhile run before any socket is read again."""

    def __init__(self, action: Callable[[], None]) -> None:
        self._action = action

    def data_received(self, data: bytes) -> None:
        self._action()


request_numbers = count(1)


def request(
    kind: str = "", method: str = "", target: str = "/api", body: bytes = b"", **headers: str
) -> bytes:
    """A request with a body is of a class that is unsafe to repeat, as the class determines the method."""
    kind = kind or ("order" if body else "page")
    method = method or ("GET" if kind == "page" else "POST")
    given = {"Host": "service.internal", "X-Request-Id": f"{next(request_numbers):016x}", "X-Class": kind}
    given |= {name.replace("_", "-"): value for name, value in headers.items()}
    if body or method != "GET":
        given["Content-Length"] = str(len(body))
    lines = "".join(f"{name}: {value}\r\n" for name, value in given.items() if value)
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


class Client:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def read(self) -> Message:
        async with asyncio.timeout(TIMEOUT_S):
            return await read_message(self.reader)

    async def ask(self, data: bytes) -> Message:
        self.writer.write(data)
        return await self.read()

    async def ended(self) -> bytes:
        """The bytes received until the node closes the connection."""
        async with asyncio.timeout(TIMEOUT_S):
            try:
                return await self.reader.read()
            except OSError:
                return b""


def status(message: Message) -> int:
    return int(message.first.split(" ")[1])
