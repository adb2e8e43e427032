"""Runs rehearsals on real sockets: a daemon process for each node, the fakes in this process, all on
loopback.

Times depend on the computer and its load, so that figures vary from run to run; the rules do not. Faults of
the network that need privileges are approximated with sockets: a box that vanishes stops reading and
accepting and keeps its connections open; a node that vanishes is stopped by SIGSTOP.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import uvloop

from driftstair.net.system import (
    LINGER_RESET,
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

LOG_LINE = re.compile(r"(DEBUG|INFO|WARNING|ERROR|CRITICAL) (\S+): (.*)")
TRACE_FRAMES_MAX = 12  # innermost frames of a crash that are reported
CLEANUP_TIMEOUT_S = 3.0  # for the tasks of killed processes at the end of a run
POLL_INTERVAL_S = 0.05

LIAR_MODULE = "driftstair.rehearsal.tier.liar"
CLOCKED_MODULE = "driftstair.rehearsal.tier.clocked"


class OutageProtocol(asyncio.Protocol):
    """Wraps the protocol of a fake's connection. While the machine is cut off nothing is read, and writes and
    closes are deferred."""

    def __init__(self, machine: LoopbackMachine, protocol: asyncio.Protocol) -> None:
        self._machine = machine
        self._protocol = protocol
        self._deferred: list[Callable[[], None]] = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._machine.connections[self] = None
        self._protocol.connection_made(cast(asyncio.BaseTransport, OutageTransport(self)))

    def data_received(self, data: bytes) -> None:
        if self._machine.vanished:  # read before the machine was cut off
            self._deferred.append(lambda: self._protocol.data_received(data))
        else:
            self._protocol.data_received(data)

    def eof_received(self) -> bool | None:
        return self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        self._machine.connections.pop(self, None)
        self._protocol.connection_lost(exc)

    def run_or_defer(self, action: Callable[[], None]) -> None:
        """Performs an action of the fake, or defers it while the machine is cut off."""
        if self._machine.vanished:
            self._deferred.append(action)
        else:
            action()

    def pause_reading(self) -> None:
        """Stops reading when the machine is cut off."""
        assert self.transport is not None
        self.transport.pause_reading()

    def resume(self) -> None:
        """Performs the deferred actions and reads again when the machine comes back."""
        assert self.transport is not None
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            action()
        if not self.transport.is_closing():
            self.transport.resume_reading()


class OutageTransport:
    """The methods of a transport that the fakes use, deferred while the machine is cut off."""

    def __init__(self, connection: OutageProtocol) -> None:
        assert connection.transport is not None
        self._connection = connection
        self._real = connection.transport
        self.is_closing = self._real.is_closing
        self.get_extra_info = self._real.get_extra_info

    def write(self, data: bytes) -> None:
        self._connection.run_or_defer(lambda: self._real.write(data))

    def close(self) -> None:
        self._connection.run_or_defer(self._real.close)

    def abort(self) -> None:
        self._connection.run_or_defer(self._real.abort)


class OutageListener(SocketListener):
    """A listening socket of a fake; it can be paused while the machine is cut off."""

    def __init__(self, machine: LoopbackMachine, address: tuple[str, int], backlog: int) -> None:
        super().__init__(bind_listening_socket(address, backlog))
        self._machine = machine
        self._on_ready: Callable[[], None] = lambda: None

    def resume(self, on_ready: Callable[[], None]) -> None:
        self._on_ready = on_ready
        super().resume(on_ready)

    def resume_accepting(self) -> None:
        """Accepts connections again after a pause."""
        super().resume(self._on_ready)

    async def adopt(self, factory: ProtocolFactory, accepted: socket.socket) -> None:
        await super().adopt(
            lambda: OutageProtocol(self._machine, cast(asyncio.Protocol, factory())), accepted
        )

    def close(self) -> None:
        self._machine.listeners.pop(self, None)
        super().close()


class OutageSystem(SocketSystem):
    """The operating system for a fake whose machine may vanish."""

    def __init__(self, machine: LoopbackMachine) -> None:
        self._machine = machine

    def listen(self, address: tuple[str, int], backlog: int) -> OutageListener:
        listener = OutageListener(self._machine, address, backlog)
        self._machine.listeners[listener] = None
        return listener

    async def dial(self, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
        return await SOCKET_SYSTEM.dial(factory, address)


class LoopbackMachine:
    """The machine of a fake, on loopback in this process; implements `fakes.place.FakeMachine`."""

    def __init__(self, name: str, loop: asyncio.AbstractEventLoop, origin: int) -> None:
        self.name = name
        self.host = HOST
        self.loop = loop
        self.system = OutageSystem(self)
        self.listeners: dict[OutageListener, None] = {}
        self.connections: dict[OutageProtocol, None] = {}
        self.vanished = False
        self._origin = origin
        self._wall = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return time.monotonic_ns() - self._origin

    def unix_ms(self, at: int) -> int:
        return (at + self._origin + self._wall) // 1_000_000

    def reset(self, transport: asyncio.Transport) -> None:
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        transport.abort()

    def die(self) -> None:
        """Does nothing: the fake has closed its listeners and reset its connections itself."""

    def restart(self) -> None:
        self.vanished = False

    def vanish(self) -> None:
        self.vanished = True
        for listener in self.listeners:
            listener.pause()
        for connection in self.connections:
            connection.pause_reading()

    def come_back(self) -> None:
        self.vanished = False
        for listener in self.listeners:
            listener.resume_accepting()
        for connection in list(self.connections):
            connection.resume()


class DaemonProcess:
    """A node: the daemon in a process of its own; implements `environment.NodeProcess`."""

    def __init__(
        self, environment: SocketEnvironment, name: str, on_exit: Callable[[str, str], None]
    ) -> None:
        self.name = name
        self.running = False
        self._environment = environment
        self._on_exit = on_exit
        self._reserved_port = ports.reserve_tcp()
        self._port = self._reserved_port.number
        self._process: asyncio.subprocess.Process | None = None
        self._generation = 0
        self._traceback: list[str] | None = None

    def address(self) -> tuple[str, int]:
        return HOST, self._port

    def _configuration_path(self) -> Path:
        return self._environment.folder / f"{self.name}.json"

    def _write_configuration(self, document: dict[str, Any]) -> None:
        """Replaces the configuration file atomically, as the platform does."""
        new = self._configuration_path().with_suffix(".new")
        new.write_text(json.dumps(document))
        new.replace(self._configuration_path())

    def start(self, document: dict[str, Any]) -> None:
        self._write_configuration(document)
        self.running = True
        self._generation += 1
        self._module = "driftstair"
        if self.name in self._environment.liars:
            self._module = LIAR_MODULE
        elif self._environment.clock(self.name) != (1.0, 0):
            self._module = CLOCKED_MODULE
        self._environment.start_task(self._run_process(self._generation))

    async def _run_process(self, generation: int) -> None:
        environment = {
            **{key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")},
            "BALANCER_CONFIG": str(self._configuration_path()), "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": f"{HOST}:{self._port}",
            CLOCK_VARIABLE: "{},{}".format(*self._environment.clock(self.name)),
        }  # fmt: skip
        self._environment.release_peer_port(self.name)
        service = self._environment.service
        options = ["--service", service] if service else []
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", self._module, *options, env=environment, stderr=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL, cwd=self._environment.root,
        )  # fmt: skip
        if generation != self._generation or not self.running:
            process.kill()
        self._process = process
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self._handle_log_line(line.decode("utf-8", "replace").rstrip("\n"))
        status = await process.wait()
        self._report_traceback()
        if generation == self._generation and self.running:
            self.running = False
            self._on_exit(self.name, f"status {status}" if status else "")

    def _handle_log_line(self, line: str) -> None:
        """Collects a line of the daemon's log. A traceback counts as a crash, even if the daemon
        continues."""
        match = LOG_LINE.fullmatch(line)
        if match:
            self._report_traceback()
            level, _, text = match.groups()
            self._environment.log.append((self._environment.now(), self.name, level, text))
            if level in ("ERROR", "CRITICAL"):
                self._traceback = [text]
        elif self._traceback is not None:
            self._traceback.append(line.strip())
        elif line.startswith("Traceback"):
            self._traceback = ["", line]

    def _report_traceback(self) -> None:
        traceback, self._traceback = self._traceback, None
        if traceback and any(line.startswith("Traceback") for line in traceback):
            frames = [line for line in traceback if line.startswith("File ")][-TRACE_FRAMES_MAX:]
            self._environment.record_crash(
                self.name,
                f"{traceback[0]} {traceback[-1]}".strip(),
                [_format_frame(frame) for frame in frames],
            )

    def kill(self) -> None:
        self.running = False
        if self._process is not None and self._process.returncode is None:
            self._process.kill()

    def release_port(self) -> None:
        """Releases the reserved port at the end of the run."""
        self._reserved_port.release()

    def _signal(self, number: int) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def terminate(self) -> None:
        self._signal(signal.SIGTERM)

    def reload(self, document: dict[str, Any]) -> None:
        self._write_configuration(document)
        self._signal(signal.SIGHUP)

    def vanish(self) -> None:
        self._signal(signal.SIGSTOP)

    def come_back(self) -> None:
        self._signal(signal.SIGCONT)

    suspend = vanish
    resume = come_back

    def open_descriptors(self) -> int:
        if self._process is None or not self.running:
            return 0
        try:
            return len(os.listdir(f"/proc/{self._process.pid}/fd"))
        except OSError:
            return 0


def _format_frame(line: str) -> str:
    """Formats a traceback line such as `File "/a/b/driftstair/net/node.py", line 3, in take` without the path
    of this computer."""
    match = re.fullmatch(r'File "(.*)", line (\d+), in (.*)', line)
    if not match:
        return line
    path = match[1]
    at = max(path.rfind("/driftstair/"), path.rfind("/lichenspring/"))
    return f"{path[at + 1 :] if at >= 0 else Path(path).name}:{match[2]} {match[3]}"


class SocketEnvironment:
    """The processes and fakes of one rehearsal on loopback; implements `environment.Environment`."""

    def __init__(self, folder: Path, nodes: model.Nodes) -> None:
        service, tier = nodes.service, nodes.tier
        self._budgets = budget_tables(nodes)
        self.liars = () if tier is None else tier.liars
        self.clock = nodes.clock
        self.folder = folder
        self._tier = tier
        self._relay: RelayProcess | None = None
        self._peer_ports: list[Port] = []
        self.service = str(Path(service).resolve()) if service else None
        self.root = Path(__file__).resolve().parents[2]
        self.log: list[LogLine] = []
        self.loop = asyncio.get_running_loop()
        self.finished = asyncio.Event()
        self.rehearsal: Rehearsal | None = None
        self.nodes: list[DaemonProcess] = []
        self._origin = time.monotonic_ns()
        self._tasks: dict[asyncio.Task[None], None] = {}

    def now(self) -> int:
        return time.monotonic_ns() - self._origin

    def start_task(self, coroutine: Any) -> None:
        """Runs a coroutine as a task and keeps a reference to it."""
        task = self.loop.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def fake_machine(self, name: str) -> LoopbackMachine:
        return LoopbackMachine(name, self.loop, self._origin)

    def node(self, name: str, on_exit: Callable[[str, str], None]) -> DaemonProcess:
        node = DaemonProcess(self, name, on_exit)
        self.nodes.append(node)
        return node

    def connect_peers(self, links: Links) -> None:
        """Starts the relay between nodes, and adds a [tier] table with a folder for histories to the service
        file."""
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
        self._peer_ports = ports.reserve_udp(len(self.nodes))
        self._relay = RelayProcess(links, [port.number for port in self._peer_ports])

    def peers(self, name: str) -> Peers:
        assert self._relay is not None
        number = [node.name for node in self.nodes].index(name)
        return Peers(f"{HOST}:{self._peer_ports[number].number}", self._relay.peer_addresses(number))

    def release_peer_port(self, name: str) -> None:
        """Releases the node's reserved peer port to its process, which starts now."""
        if self._peer_ports:
            self._peer_ports[[node.name for node in self.nodes].index(name)].release()

    def histories(self) -> list[list[Event]]:
        return read_events(self.folder / "histories", self._origin, lambda name: self.clock(name)[0])

    def find_deadlock(self) -> str:
        return ""  # from outside, a deadlocked process looks like a waiting one

    def finish(self) -> None:
        self.finished.set()

    def record_crash(self, node: str, description: str, frames: list[str]) -> None:
        assert self.rehearsal is not None
        self.rehearsal.record_crash(node, description, frames)

    async def clean_up(self) -> None:
        """Ends all processes and releases all ports."""
        for node in self.nodes:
            node.come_back()
            node.kill()
            node.release_port()
        for port in self._peer_ports:
            port.release()
        if self._relay is not None:
            self._relay.close()
        tasks = list(self._tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=CLEANUP_TIMEOUT_S)


async def _run_scenario(
    scenario: Scenario, tick: Callable[[float], None], is_interrupted: Callable[[], bool], folder: Path
) -> tuple[Rehearsal, list[LogLine]]:
    environment = SocketEnvironment(folder, scenario.nodes)
    rehearsal = Rehearsal(scenario, cast(Any, environment), tick)
    environment.rehearsal = rehearsal
    failures: list[BaseException] = []

    def on_exception(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Ends the run: an exception in a fake is a fault of the rehearsal kit, not of the daemon."""
        exception = context.get("exception") or RuntimeError(str(context.get("message")))
        failures.append(exception)
        environment.finish()

    environment.loop.set_exception_handler(on_exception)
    try:
        rehearsal.start()
        while not environment.finished.is_set():
            if is_interrupted():
                rehearsal.interrupt()
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await environment.finished.wait()
            except TimeoutError:
                continue
    finally:
        await environment.clean_up()
    if failures:
        raise RuntimeError("the rehearsal kit itself failed") from failures[0]
    return rehearsal, environment.log


def run_scenario(
    scenario: Scenario, tick: Callable[[float], None] = lambda _: None,
    is_interrupted: Callable[[], bool] = lambda: False,
) -> tuple[Rehearsal, list[LogLine]]:  # fmt: skip
    """Runs a scenario in real time. Returns the finished rehearsal and the nodes' log lines."""
    with (
        tempfile.TemporaryDirectory(prefix="driftstair-") as folder,
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        return runner.run(_run_scenario(scenario, tick, is_interrupted, Path(folder)))
