"""Rehearsals on real sockets: a daemon process for each node, the fakes in this process, all on loopback.

The machine's own time and noise come into it, so figures vary from run to run; the rules do not. What a real
network can't be made to do without privileges is played as near as sockets allow: a box that vanishes stops
reading and accepting and keeps its connections open; a node that vanishes is stopped by SIGSTOP.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import uvloop

from driftstair.net.system import (
    SOCKET_SYSTEM,
    ProtocolFactory,
    SocketListener,
    SocketSystem,
    bind_listening_socket,
)
from driftstair.rehearsal import ports
from driftstair.rehearsal import scenario as model
from driftstair.rehearsal.platform import Peers
from driftstair.rehearsal.ports import HOST, Port
from driftstair.rehearsal.report.build import LogLine
from driftstair.rehearsal.runner import Rehearsal
from driftstair.rehearsal.scenario import Scenario
from driftstair.rehearsal.tier.clocked import CLOCK_VARIABLE
from driftstair.rehearsal.tier.histories import Event, read_events
from driftstair.rehearsal.tier.links import Links
from driftstair.rehearsal.tier.relay import RelayProcess
from driftstair.rehearsal.tier.service import budget_tables
from driftstair.rehearsal.tier.stage import TIER_KEY

LINE = re.compile(r"(DEBUG|INFO|WARNING|ERROR|CRITICAL) (\S+): (.*)")
TRACE_MOST = 12  # lines of a crash that are kept
ENDS_WITHIN = 3.0  # s for processes at the end of a run
LOOK = 0.05  # s

LIAR = "driftstair.rehearsal.tier.liar"
CLOCKED = "driftstair.rehearsal.tier.clocked"


class Veil(asyncio.Protocol):
    """Between a fake's connection and its socket: while the machine is cut off nothing is read, and what
    is written or closed waits."""

    def __init__(self, place: LoopbackPlace, protocol: asyncio.Protocol) -> None:
        self._place = place
        self._protocol = protocol
        self._held: list[Callable[[], None]] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._place.veils[self] = None
        self._protocol.connection_made(cast(asyncio.BaseTransport, VeiledTransport(self)))

    def data_received(self, data: bytes) -> None:
        if self._place.vanished:  # read before the cut
            self._held.append(lambda: self._protocol.data_received(data))
        else:
            self._protocol.data_received(data)

    def eof_received(self) -> bool | None:
        return self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._place.veils.pop(self, None)
        self._protocol.connection_lost(exc)

    def do(self, what: Callable[[], None]) -> None:
        if self._place.vanished:
            self._held.append(what)
        else:
            what()

    def drop(self) -> None:
        assert self.transport is not None
        self.transport.pause_reading()

    def lift(self) -> None:
        assert self.transport is not None
        held, self._held = self._held, []
        for what in held:
            what()
        if not self.transport.is_closing():
            self.transport.resume_reading()


class VeiledTransport:
    """What a fake asks of a transport."""

    def __init__(self, veil: Veil) -> None:
        assert veil.transport is not None
        self._veil = veil
        self._real = veil.transport
        self.is_closing = self._real.is_closing
        self.get_extra_info = self._real.get_extra_info

    def write(self, data: bytes) -> None:
        self._veil.do(lambda: self._real.write(data))

    def close(self) -> None:
        self._veil.do(self._real.close)

    def abort(self) -> None:
        self._veil.do(self._real.abort)


class PlaceListener(SocketListener):
    def __init__(self, place: LoopbackPlace, address: tuple[str, int], backlog: int) -> None:
        super().__init__(bind_listening_socket(address, backlog))
        self._place = place
        self._ready: Callable[[], None] = lambda: None

    def resume(self, ready: Callable[[], None]) -> None:
        self._ready = ready
        super().resume(ready)

    def go_on(self) -> None:
        super().resume(self._ready)

    async def adopt(self, factory: ProtocolFactory, accepted: socket.socket) -> None:
        await super().adopt(lambda: Veil(self._place, cast(asyncio.Protocol, factory())), accepted)

    def close(self) -> None:
        self._place.listeners.pop(self, None)
        super().close()


class PlaceSystem(SocketSystem):
    """The seam for a fake whose machine may vanish."""

    def __init__(self, place: LoopbackPlace) -> None:
        self._place = place

    def listen(self, address: tuple[str, int], backlog: int) -> PlaceListener:
        listener = PlaceListener(self._place, address, backlog)
        self._place.listeners[listener] = None
        return listener

    async def dial(self, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
        return await SOCKET_SYSTEM.dial(factory, address)


class LoopbackPlace:
    """A fake's place in this process."""

    def __init__(self, name: str, loop: asyncio.AbstractEventLoop, origin: int) -> None:
        self.name = name
        self.host = HOST
        self.loop = loop
        self.system = PlaceSystem(self)
        self.listeners: dict[PlaceListener, None] = {}
        self.veils: dict[Veil, None] = {}
        self.vanished = False
        self._origin = origin
        self._wall = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() - self._origin

    def unix_ms(self, at: int) -> int:
        return (at + self._origin + self._wall) // 1_000_000

    def reset(self, transport: asyncio.Transport) -> None:
        own = transport.get_extra_info("socket")
        if own is not None and own.fileno() >= 0:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()

    def die(self) -> None:
        """The fake has closed its listeners and reset its connections itself."""

    def restart(self) -> None:
        self.vanished = False

    def vanish(self) -> None:
        self.vanished = True
        for listener in self.listeners:
            listener.pause()
        for veil in self.veils:
            veil.drop()

    def come_back(self) -> None:
        self.vanished = False
        for listener in self.listeners:
            listener.go_on()
        for veil in list(self.veils):
            veil.lift()


class DaemonProcess:
    """One node: the shipped daemon in a process of its own."""

    def __init__(self, environment: SocketEnvironment, name: str, ended: Callable[[str, str], None]) -> None:
        self.name = name
        self.running = False
        self._environment = environment
        self._ended = ended
        self._held = ports.tcp()
        self._port = self._held.number
        self._process: asyncio.subprocess.Process | None = None
        self._generation = 0
        self._trace: list[str] | None = None

    def address(self) -> tuple[str, int]:
        return HOST, self._port

    def _path(self) -> Path:
        return self._environment.folder / f"{self.name}.json"

    def _write(self, document: dict[str, Any]) -> None:
        """Replaced whole, as the platform does."""
        new = self._path().with_suffix(".new")
        new.write_text(json.dumps(document))
        new.replace(self._path())

    def start(self, document: dict[str, Any]) -> None:
        self._write(document)
        self.running = True
        self._generation += 1
        self._program = "driftstair"
        if self.name in self._environment.liars:
            self._program = LIAR
        elif self._environment.clock(self.name) != (1.0, 0):
            self._program = CLOCKED
        self._environment.do(self._run(self._generation))

    async def _run(self, generation: int) -> None:
        environment = {
            **{key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")},
            "BALANCER_CONFIG": str(self._path()), "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": f"{HOST}:{self._port}",
            CLOCK_VARIABLE: "{},{}".format(*self._environment.clock(self.name)),
        }  # fmt: skip
        self._environment.give(self.name)
        service = self._environment.service
        options = ["--service", service] if service else []
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", self._program, *options, env=environment, stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL, cwd=self._environment.root,
        )  # fmt: skip
        if generation != self._generation or not self.running:
            process.kill()
        self._process = process
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self._log(line.decode("utf-8", "replace").rstrip("\n"))
        status = await process.wait()
        self._trace_over()
        if generation == self._generation and self.running:
            self.running = False
            self._ended(self.name, f"status {status}" if status else "")

    def _log(self, line: str) -> None:
        """A line of its log. A traceback there is a failure of the daemon, also if it served on."""
        found = LINE.fullmatch(line)
        if found:
            self._trace_over()
            level, _, text = found.groups()
            self._environment.log.append((self._environment.now(), self.name, level, text))
            if level in ("ERROR", "CRITICAL"):
                self._trace = [text]
        elif self._trace is not None:
            self._trace.append(line.strip())
        elif line.startswith("Traceback"):
            self._trace = ["", line]

    def _trace_over(self) -> None:
        trace, self._trace = self._trace, None
        if trace and any(line.startswith("Traceback") for line in trace):
            frames = [line for line in trace if line.startswith("File ")][-TRACE_MOST:]
            self._environment.crashed(
                self.name, f"{trace[0]} {trace[-1]}".strip(), [_frame(one) for one in frames]
            )

    def kill(self) -> None:
        self.running = False
        if self._process is not None and self._process.returncode is None:
            self._process.kill()

    def give_up(self) -> None:
        """Its address, for good."""
        self._held.release()

    def _signal(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def terminate(self) -> None:
        self._signal(signal.SIGTERM)

    def reload(self, document: dict[str, Any]) -> None:
        self._write(document)
        self._signal(signal.SIGHUP)

    def vanish(self) -> None:
        self._signal(signal.SIGSTOP)

    def come_back(self) -> None:
        self._signal(signal.SIGCONT)

    stand_still = vanish
    go_on = come_back

    def descriptors(self) -> int:
        if self._process is None or not self.running:
            return 0
        try:
            return len(os.listdir(f"/proc/{self._process.pid}/fd"))
        except OSError:
            return 0


def _frame(line: str) -> str:
    """`File "/a/b/driftstair/net/node.py", line 3, in take` without the machine's path."""
    found = re.fullmatch(r'File "(.*)", line (\d+), in (.*)', line)
    if not found:
        return line
    path = found[1]
    at = max(path.rfind("/driftstair/"), path.rfind("/lichenspring/"))
    return f"{path[at + 1 :] if at >= 0 else Path(path).name}:{found[2]} {found[3]}"


class SocketEnvironment:
    def __init__(self, folder: Path, nodes: model.Nodes) -> None:
        service, tier = nodes.service, nodes.tier
        self._budgets = budget_tables(nodes)
        self.liars = () if tier is None else tier.liars
        self.clock = nodes.clock
        self.folder = folder
        self._tier = tier
        self._relay: RelayProcess | None = None
        self._peer_held: list[Port] = []
        self.service = str(Path(service).resolve()) if service else None
        self.root = Path(__file__).resolve().parents[2]
        self.log: list[LogLine] = []
        self.loop = asyncio.get_running_loop()
        self.over = asyncio.Event()
        self.rehearsal: Rehearsal | None = None
        self.nodes: list[DaemonProcess] = []
        self._origin = time.monotonic_ns()
        self._tasks: dict[asyncio.Task[None], None] = {}

    def now(self) -> int:
        return time.monotonic_ns() - self._origin

    def do(self, what: Any) -> None:
        task = self.loop.create_task(what)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def place(self, name: str) -> LoopbackPlace:
        return LoopbackPlace(name, self.loop, self._origin)

    def node(self, name: str, ended: Callable[[str, str], None]) -> DaemonProcess:
        node = DaemonProcess(self, name, ended)
        self.nodes.append(node)
        return node

    def join(self, links: Links) -> None:
        """A [tier] table beside what the service file says, and a folder for histories."""
        assert self._tier is not None
        histories, key, service = self.folder / "histories", self.folder / "key", self.folder / "tier.toml"
        histories.mkdir()
        key.write_bytes(TIER_KEY)
        key.chmod(0o600)
        base = "version = 1\n" if self.service is None else Path(self.service).read_text(encoding="utf-8")
        period = f"{self._tier.period_ms:g}ms"
        table = f'[tier]\nkey = "{key}"\nperiod = "{period}"\nhistory = "{histories}"\n'
        table += f"judge = {str(self._tier.judge).lower()}\n{self._budgets}"
        service.write_text(f"{base}\n{table}", encoding="utf-8")
        self.service = str(service)
        self._peer_held = ports.udp(len(self.nodes))
        self._relay = RelayProcess(links, [one.number for one in self._peer_held])

    def peers(self, name: str) -> Peers:
        assert self._relay is not None
        number = [node.name for node in self.nodes].index(name)
        return Peers(f"{HOST}:{self._peer_held[number].number}", self._relay.peer_addresses(number))

    def give(self, name: str) -> None:
        """The port for this node's peers to its process, which starts now."""
        if self._peer_held:
            self._peer_held[[node.name for node in self.nodes].index(name)].release()

    def histories(self) -> list[list[Event]]:
        return read_events(self.folder / "histories", self._origin, lambda name: self.clock(name)[0])

    def stuck(self) -> str:
        return ""  # a process that waits for ever looks like one that waits

    def finish(self) -> None:
        self.over.set()

    def crashed(self, node: str, what: str, trace: list[str]) -> None:
        assert self.rehearsal is not None
        self.rehearsal.record_crash(node, what, trace)

    async def clean_up(self) -> None:
        for node in self.nodes:
            node.come_back()
            node.kill()
            node.give_up()
        for held in self._peer_held:
            held.release()
        if self._relay is not None:
            self._relay.close()
        tasks = list(self._tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=ENDS_WITHIN)


async def _play(
    scenario: Scenario, tick: Callable[[float], None], interrupted: Callable[[], bool], folder: Path
) -> tuple[Rehearsal, list[LogLine]]:
    environment = SocketEnvironment(folder, scenario.nodes)
    rehearsal = Rehearsal(scenario, cast(Any, environment), tick)
    environment.rehearsal = rehearsal
    failures: list[BaseException] = []

    def failed(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """A bug of the kit is none of the daemon: the run ends with it."""
        problem = context.get("exception") or RuntimeError(str(context.get("message")))
        failures.append(problem)
        environment.finish()

    environment.loop.set_exception_handler(failed)
    try:
        rehearsal.start()
        while not environment.over.is_set():
            if interrupted():
                rehearsal.interrupt()
            try:
                async with asyncio.timeout(LOOK):
                    await environment.over.wait()
            except TimeoutError:
                continue
    finally:
        await environment.clean_up()
    if failures:
        raise RuntimeError("the rehearsal kit itself failed") from failures[0]
    return rehearsal, environment.log


def play(
    scenario: Scenario, tick: Callable[[float], None] = lambda _: None,
    interrupted: Callable[[], bool] = lambda: False,
) -> tuple[Rehearsal, list[LogLine]]:  # fmt: skip
    """One run in real time: the rehearsal as it ended, and the nodes' log lines."""
    with (
        tempfile.TemporaryDirectory(prefix="driftstair-") as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        return runner.run(_play(scenario, tick, interrupted, Path(folder)))
