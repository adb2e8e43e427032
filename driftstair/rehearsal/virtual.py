"""Runs rehearsals in virtual time: each node is the daemon's own `serve` on a simulated machine."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

from driftstair.config import parse_document
from driftstair.daemon import serve
from driftstair.rehearsal.platform import Peers
from driftstair.rehearsal.runner import Rehearsal
from driftstair.rehearsal.scenario import Scenario
from driftstair.rehearsal.seeds import seed_for
from driftstair.rehearsal.sim.loop import ProcessLoop, set_running_loop
from driftstair.rehearsal.sim.network import Link, Network
from driftstair.rehearsal.sim.scheduler import Deadlock, Runaway, Scheduler
from driftstair.rehearsal.sim.stream import Endpoint
from driftstair.rehearsal.sim.system import SimulatedSystem
from driftstair.rehearsal.tier.histories import Event, to_run_time
from driftstair.rehearsal.tier.links import Links
from driftstair.rehearsal.tier.service import budget_tables
from driftstair.service.service_file import ServiceFile
from driftstair.settings import Config

EPOCH_NS = 1_767_225_600_000_000_000  # wall clock at the start: 2026-01-01 00:00 UTC
LISTEN_PORT = 3000
PEER_PORT = 3001
FOREVER_NS = 1 << 62
TRACE_FRAMES_MAX = 12  # innermost frames of a crash that are reported
GC_THRESHOLDS = (50_000, 20, 50)  # with the defaults, collections that free nothing take a sixth of the time
PROCESS_START_S = 0.0005  # from the start of a process to its first instruction


class SimulatedMachine:
    """The simulated machine of a fake; implements `fakes.place.FakeMachine`."""

    def __init__(self, environment: VirtualEnvironment, name: str, host: str) -> None:
        self.name = name
        self.host = host
        self._environment = environment
        self._machine = environment.network.add(name, host)
        self.restart()

    def restart(self) -> None:
        environment = self._environment
        self.loop = environment.new_loop(self.name, environment.on_fake_failure)
        self.system = SimulatedSystem(self._machine, self.loop)

    def now(self) -> int:
        return self._environment.scheduler.now

    def unix_ms(self, at: int) -> int:
        return (self._environment.scheduler.epoch_ns + at) // 1_000_000

    def reset(self, transport: asyncio.Transport) -> None:
        cast(Endpoint, transport).reset()

    def die(self) -> None:
        self._machine.reset_all()
        self.loop.kill()

    def vanish(self) -> None:
        self._machine.vanish()

    def come_back(self) -> None:
        self._machine.come_back()


class SimulatedNode:
    """A node's simulated machine and the daemon on it; implements `environment.NodeProcess`."""

    def __init__(
        self, environment: VirtualEnvironment, name: str, host: str, descriptor_limit: int,
        on_exit: Callable[[str, str], None],
    ) -> None:  # fmt: skip
        self.name = name
        self.running = False
        self.loop: ProcessLoop | None = None
        self.machine = environment.network.add(name, host, descriptor_limit)
        self._environment = environment
        self._on_exit = on_exit
        self._document: dict[str, Any] = {}

    def address(self) -> tuple[str, int]:
        return self.machine.host, LISTEN_PORT

    def start(self, document: dict[str, Any]) -> None:
        environment = self._environment
        self._document = document
        self.running = True
        self.loop = loop = environment.new_loop(self.name, self._on_crash)
        clock_rate, wall_offset_ns = environment.clock(self.name)
        system = SimulatedSystem(self.machine, loop, wall_offset_ns, clock_rate)
        # The daemon runs in a turn of its own process, not in that of the process that starts it.
        loop.call_later(PROCESS_START_S, self._start_daemon, loop, system)

    def _start_daemon(self, loop: ProcessLoop, system: SimulatedSystem) -> None:
        config = parse_document({}, self._document)
        task = loop.create_task(
            serve(config, self._reload_configuration, system, service=self._environment.service)
        )
        task.add_done_callback(lambda done: self._on_daemon_exit(loop, done))

    def _reload_configuration(self) -> Config:
        return parse_document({}, self._document)

    def _on_daemon_exit(self, loop: ProcessLoop, task: asyncio.Task[int]) -> None:
        if task.cancelled() or loop.dead:
            return
        exception = task.exception()
        self._stop()
        if exception is not None:
            self._on_exit(self.name, f"{type(exception).__name__}: {exception}")
        else:
            status = task.result()
            self._on_exit(self.name, f"status {status}" if status else "")

    def _on_crash(self, message: str, exception: BaseException | None) -> None:
        self._environment.record_crash(self.name, message, exception)

    def _stop(self) -> None:
        self.running = False
        self.machine.reset_all()
        if self.loop is not None:
            self.loop.kill()

    def kill(self) -> None:
        self._stop()

    def terminate(self) -> None:
        assert self.loop is not None
        if not self.loop.deliver_signal(signal.SIGTERM):
            self._stop()
            self._on_exit(self.name, "ended by SIGTERM")

    def reload(self, document: dict[str, Any]) -> None:
        assert self.loop is not None
        self._document = document
        if not self.loop.deliver_signal(signal.SIGHUP):
            self._stop()
            self._on_exit(self.name, "ended by SIGHUP")

    def vanish(self) -> None:
        self.machine.vanish()

    def come_back(self) -> None:
        self.machine.come_back()

    def suspend(self) -> None:
        if self.loop is not None:
            self.loop.suspend()

    def resume(self) -> None:
        if self.loop is not None:
            self.loop.resume()

    def open_descriptors(self) -> int:
        return self.machine.descriptors_in_use


class VirtualEnvironment:
    """The simulated machines and the network of one rehearsal; implements `environment.Environment`."""

    def __init__(self, scenario: Scenario) -> None:
        self.scheduler = Scheduler(EPOCH_NS)
        net = scenario.network
        outside = Link(int(net.client_ms * 1e6), net.jitter)
        inside = Link(int(net.inside_ms * 1e6), net.jitter)
        self.network = Network(self.scheduler, seed_for(scenario.seed, "network"), inside)
        self.network.link_between = (
            lambda source, target: outside if "clients" in (source.name, target.name) else None
        )
        self.rehearsal: Rehearsal | None = None
        self._descriptor_limit = scenario.nodes.descriptors
        self._host_count = 0
        self._nodes: list[SimulatedNode] = []
        self.service: ServiceFile | None = None
        if scenario.nodes.service is not None:
            self.service = ServiceFile(scenario.nodes.service)
        self._tier = scenario.nodes.tier
        self.clock = scenario.nodes.clock
        self._budgets = budget_tables(scenario.nodes)
        self._histories: dict[str, list[dict[str, Any]]] = {}  # recorded events, by node
        self._loops: list[ProcessLoop] = []

    def new_loop(self, name: str, on_crash: Callable[[str, BaseException | None], None]) -> ProcessLoop:
        loop = ProcessLoop(self.scheduler, name, on_crash)  # type: ignore[abstract]
        self._loops.append(loop)
        return loop

    def close(self) -> None:
        """Ends all processes of the run, so that no warning about their tasks follows at garbage
        collection."""
        for loop in self._loops:
            loop.kill()

    def _next_host(self) -> str:
        self._host_count += 1
        return f"10.{self._host_count >> 16 & 255}.{self._host_count >> 8 & 255}.{self._host_count & 255}"

    def fake_machine(self, name: str) -> SimulatedMachine:
        return SimulatedMachine(self, name, self._next_host())

    def node(self, name: str, on_exit: Callable[[str, str], None]) -> SimulatedNode:
        node = SimulatedNode(self, name, self._next_host(), self._descriptor_limit, on_exit)
        self._nodes.append(node)
        return node

    def connect_peers(self, links: Links) -> None:
        from driftstair.rehearsal.tier.inside import TierFile

        assert self._tier is not None
        numbers = {node.machine: number for number, node in enumerate(self._nodes)}
        self.network.datagram_deliveries = lambda source, target, data: links.deliver(
            numbers[source], numbers[target], data
        )
        period = int(self._tier.period_ms * 1e6)
        self.service = TierFile(
            self.service, period, lambda name: self._histories.setdefault(name, []), self._budgets,
            self._tier.judge, self._tier.liars,
        )  # fmt: skip

    def peers(self, name: str) -> Peers:
        addresses = {node.name: f"{node.machine.host}:{PEER_PORT}" for node in self._nodes}
        return Peers(addresses[name], list(addresses.values()))

    def histories(self) -> list[list[Event]]:
        return [to_run_time(events, self.clock(name)[0]) for name, events in self._histories.items()]

    def find_deadlock(self) -> str:
        """Describes a node that runs although no event is left for it; empty if there is none."""
        for node in self._nodes:
            loop = node.loop
            if (
                not node.running
                or loop is None
                or node.machine.descriptors_in_use
                or loop.suspended_handles is not None
            ):
                continue
            if not self.scheduler.has_work(loop):
                tasks = ", ".join(loop.pending_tasks()) or "nothing"
                return f"{node.name} runs, but can never go on: it waits in {tasks}"
        return ""

    def finish(self) -> None:
        self.scheduler.stop()

    def on_fake_failure(self, message: str, exception: BaseException | None) -> None:
        """Ends the run: an exception in a fake is a fault of the rehearsal kit, not of the daemon."""
        raise RuntimeError(f"the rehearsal kit itself failed: {message}") from exception

    def record_crash(self, node: str, message: str, exception: BaseException | None) -> None:
        assert self.rehearsal is not None
        description = f"{type(exception).__name__}: {exception}" if exception is not None else message
        self.rehearsal.record_crash(node, description, stack_frames(exception))


def stack_frames(exception: BaseException | None) -> list[str]:
    """The frames of an exception as module, line and function, without paths of this computer."""
    if exception is None:
        return []
    frames = traceback.extract_tb(exception.__traceback__)[-TRACE_FRAMES_MAX:]
    return [f"{_module(frame.filename)}:{frame.lineno} {frame.name}" for frame in frames]


def _module(path: str) -> str:
    parts = Path(path).parts
    for root in ("driftstair", "lichenspring"):
        if root in parts:
            return "/".join(parts[len(parts) - 1 - parts[::-1].index(root) :])
    return parts[-1]


class LogCapture(logging.Handler):
    """Collects the daemon's log lines with the node that wrote them. An exception that the daemon caught and
    logged counts as a crash too."""

    def __init__(self, environment: VirtualEnvironment, lines: list[tuple[int, str, str, str]]) -> None:
        super().__init__(logging.INFO)
        self._environment = environment
        self._lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        loop = asyncio._get_running_loop()
        node = loop.name if isinstance(loop, ProcessLoop) else "?"
        text = record.getMessage()
        self._lines.append((self._environment.scheduler.now, node, record.levelname, text))
        if record.exc_info and record.exc_info[1] is not None:
            self._environment.record_crash(node, text, record.exc_info[1])


def run_scenario(
    scenario: Scenario, tick: Callable[[float], None] = lambda _: None,
    is_interrupted: Callable[[], bool] = lambda: False, prepare: Callable[[Rehearsal], None] = lambda _: None,
) -> tuple[Rehearsal, list[tuple[int, str, str, str]], int]:  # fmt: skip
    """Runs a scenario in virtual time. Returns the finished rehearsal, the nodes' log lines (ns, node, level,
    text) and the number of events. `is_interrupted` is polled at intervals; `prepare` is called with the
    rehearsal before it starts."""
    environment = VirtualEnvironment(scenario)
    environment.scheduler.is_interrupted = is_interrupted
    lines: list[tuple[int, str, str, str]] = []
    log_capture = LogCapture(environment, lines)
    logger = logging.getLogger("driftstair")
    logger_settings = logger.level, logger.propagate
    logger.addHandler(log_capture)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    previous_loop = asyncio._get_running_loop()
    gc_thresholds = gc.get_threshold()
    gc.set_threshold(*GC_THRESHOLDS)
    set_running_loop(None)
    try:
        rehearsal = Rehearsal(scenario, environment, tick)
        environment.rehearsal = rehearsal
        prepare(rehearsal)
        machine = cast(SimulatedMachine, rehearsal.clients_machine)
        machine.loop.call_soon(rehearsal.start)
        try:
            environment.scheduler.run(FOREVER_NS, set_running_loop)
        except Deadlock as exception:
            rehearsal.stop_deadlocked(f"{exception}; waiting: {_describe_pending_tasks(environment)}")
        except Runaway as exception:
            rehearsal.stop_deadlocked(str(exception))
        if is_interrupted():
            rehearsal.interrupt()
    finally:
        set_running_loop(cast(Any, previous_loop))
        environment.close()
        gc.set_threshold(*gc_thresholds)
        logger.removeHandler(log_capture)
        logger.setLevel(logger_settings[0])
        logger.propagate = logger_settings[1]
    return rehearsal, lines, environment.scheduler.event_count


def _describe_pending_tasks(environment: VirtualEnvironment) -> str:
    tasks = [
        f"{node.name} in {task}"
        for node in environment._nodes
        if node.loop
        for task in node.loop.pending_tasks()
    ]
    return ", ".join(tasks) or "no node"
