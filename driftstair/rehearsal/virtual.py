"""Rehearsals in virtual time: each node is the shipped daemon's own `serve`, on a simulated machine."""

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
from driftstair.rehearsal.sim.loop import ProcessLoop, enter
from driftstair.rehearsal.sim.network import Link, Network
from driftstair.rehearsal.sim.scheduler import Deadlock, Runaway, Scheduler
from driftstair.rehearsal.sim.stream import Endpoint
from driftstair.rehearsal.sim.system import SimulatedSystem
from driftstair.rehearsal.tier.histories import Event, to_run_time
from driftstair.rehearsal.tier.links import Links
from driftstair.rehearsal.tier.service import budget_tables
from driftstair.service.service_file import ServiceFile
from driftstair.settings import Config

EPOCH = 1_767_225_600_000_000_000  # ns: the wall clock starts at 2026-01-01 00:00 UTC
PORT = 3000
PEER_PORT = 3001
FOREVER = 1 << 62
TRACE_MOST = 12  # frames of a crash that are kept
COLLECTED = (50_000, 20, 50)  # the collector else takes a sixth of the time, for what is no garbage
STARTED = 0.0005  # s that a process needs before it runs


class SimulatedPlace:
    """A fake's machine."""

    def __init__(self, environment: VirtualEnvironment, name: str, host: str) -> None:
        self.name = name
        self.host = host
        self._environment = environment
        self._machine = environment.network.add(name, host)
        self.restart()

    def restart(self) -> None:
        environment = self._environment
        self.loop = environment.new_loop(self.name, environment.fake_failed)
        self.system = SimulatedSystem(self._machine, self.loop)

    def now(self) -> int:
        return self._environment.scheduler.now

    def unix_ms(self, at: int) -> int:
        return (self._environment.scheduler.epoch + at) // 1_000_000

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
    """A node's machine, and the daemon on it."""

    def __init__(
        self, environment: VirtualEnvironment, name: str, host: str, descriptors: int,
        ended: Callable[[str, str], None],
    ) -> None:  # fmt: skip
        self.name = name
        self.running = False
        self.loop: ProcessLoop | None = None
        self.machine = environment.network.add(name, host, descriptors)
        self._environment = environment
        self._ended = ended
        self._document: dict[str, Any] = {}

    def address(self) -> tuple[str, int]:
        return self.machine.host, PORT

    def start(self, document: dict[str, Any]) -> None:
        environment = self._environment
        self._document = document
        self.running = True
        self.loop = loop = environment.new_loop(self.name, self._crash)
        rate, off = environment.clock(self.name)
        system = SimulatedSystem(self.machine, loop, off, rate)
        # Only in its next turn: the process that starts it is another.
        loop.call_later(STARTED, self._main, loop, system)

    def _main(self, loop: ProcessLoop, system: SimulatedSystem) -> None:
        config = parse_document({}, self._document)
        task = loop.create_task(serve(config, self._reread, system, service=self._environment.service))
        task.add_done_callback(lambda done: self._over(loop, done))

    def _reread(self) -> Config:
        return parse_document({}, self._document)

    def _over(self, loop: ProcessLoop, task: asyncio.Task[int]) -> None:
        if task.cancelled() or loop.dead:
            return
        problem = task.exception()
        self._stop()
        if problem is not None:
            self._ended(self.name, f"{type(problem).__name__}: {problem}")
        else:
            status = task.result()
            self._ended(self.name, f"status {status}" if status else "")

    def _crash(self, message: str, problem: BaseException | None) -> None:
        self._environment.crashed(self.name, message, problem)

    def _stop(self) -> None:
        self.running = False
        self.machine.reset_all()
        if self.loop is not None:
            self.loop.kill()

    def kill(self) -> None:
        self._stop()

    def terminate(self) -> None:
        assert self.loop is not None
        if not self.loop.signal(signal.SIGTERM):
            self._stop()
            self._ended(self.name, "ended by SIGTERM")

    def reload(self, document: dict[str, Any]) -> None:
        assert self.loop is not None
        self._document = document
        if not self.loop.signal(signal.SIGHUP):
            self._stop()
            self._ended(self.name, "ended by SIGHUP")

    def vanish(self) -> None:
        self.machine.vanish()

    def come_back(self) -> None:
        self.machine.come_back()

    def stand_still(self) -> None:
        if self.loop is not None:
            self.loop.stand_still()

    def go_on(self) -> None:
        if self.loop is not None:
            self.loop.go_on()

    def descriptors(self) -> int:
        return self.machine.descriptors


class VirtualEnvironment:
    def __init__(self, scenario: Scenario) -> None:
        self.scheduler = Scheduler(EPOCH)
        net = scenario.network
        outside = Link(int(net.client_ms * 1e6), net.jitter)
        inside = Link(int(net.inside_ms * 1e6), net.jitter)
        self.network = Network(self.scheduler, seed_for(scenario.seed, "network"), inside)
        self.network.between = lambda one, other: outside if "clients" in (one.name, other.name) else None
        self.rehearsal: Rehearsal | None = None
        self._descriptors = scenario.nodes.descriptors
        self._hosts = 0
        self._nodes: list[SimulatedNode] = []
        self.service: ServiceFile | None = None
        if scenario.nodes.service is not None:
            self.service = ServiceFile(scenario.nodes.service)
        self._tier = scenario.nodes.tier
        self.clock = scenario.nodes.clock
        self._budgets = budget_tables(scenario.nodes)
        self._written: dict[str, list[dict[str, Any]]] = {}  # by node: its history
        self._loops: list[ProcessLoop] = []

    def new_loop(self, name: str, on_crash: Callable[[str, BaseException | None], None]) -> ProcessLoop:
        loop = ProcessLoop(self.scheduler, name, on_crash)  # type: ignore[abstract]
        self._loops.append(loop)
        return loop

    def close(self) -> None:
        """No process outlives the run: nothing may be said of tasks that the collector finds later."""
        for loop in self._loops:
            loop.kill()

    def _host(self) -> str:
        self._hosts += 1
        return f"10.{self._hosts >> 16 & 255}.{self._hosts >> 8 & 255}.{self._hosts & 255}"

    def place(self, name: str) -> SimulatedPlace:
        return SimulatedPlace(self, name, self._host())

    def node(self, name: str, ended: Callable[[str, str], None]) -> SimulatedNode:
        node = SimulatedNode(self, name, self._host(), self._descriptors, ended)
        self._nodes.append(node)
        return node

    def join(self, links: Links) -> None:
        from driftstair.rehearsal.tier.inside import TierFile

        assert self._tier is not None
        numbers = {node.machine: number for number, node in enumerate(self._nodes)}
        self.network.fate = lambda source, target, data: links.deliver(numbers[source], numbers[target], data)
        period = int(self._tier.period_ms * 1e6)
        self.service = TierFile(
            self.service, period, lambda name: self._written.setdefault(name, []), self._budgets,
            self._tier.judge, self._tier.liars,
        )  # fmt: skip

    def peers(self, name: str) -> Peers:
        addresses = {node.name: f"{node.machine.host}:{PEER_PORT}" for node in self._nodes}
        return Peers(addresses[name], list(addresses.values()))

    def histories(self) -> list[list[Event]]:
        return [to_run_time(events, self.clock(name)[0]) for name, events in self._written.items()]

    def stuck(self) -> str:
        """A node that runs, and for which nothing can ever happen again."""
        for node in self._nodes:
            loop = node.loop
            if not node.running or loop is None or node.machine.descriptors or loop.held is not None:
                continue
            if not self.scheduler.has_work(loop):
                waits = ", ".join(loop.waiting()) or "nothing"
                return f"{node.name} runs, but can never go on: it waits in {waits}"
        return ""

    def finish(self) -> None:
        self.scheduler.stop()

    def fake_failed(self, message: str, problem: BaseException | None) -> None:
        """A bug of the kit is none of the daemon: the run ends with it."""
        raise RuntimeError(f"the rehearsal kit itself failed: {message}") from problem

    def crashed(self, node: str, message: str, problem: BaseException | None) -> None:
        assert self.rehearsal is not None
        what = f"{type(problem).__name__}: {problem}" if problem is not None else message
        self.rehearsal.record_crash(node, what, trace_of(problem))


def trace_of(problem: BaseException | None) -> list[str]:
    """The frames of an exception by module, line and function: no path of a machine."""
    if problem is None:
        return []
    frames = traceback.extract_tb(problem.__traceback__)[-TRACE_MOST:]
    return [f"{_module(frame.filename)}:{frame.lineno} {frame.name}" for frame in frames]


def _module(path: str) -> str:
    parts = Path(path).parts
    for root in ("driftstair", "lichenspring"):
        if root in parts:
            return "/".join(parts[len(parts) - 1 - parts[::-1].index(root) :])
    return parts[-1]


class LogCatcher(logging.Handler):
    """The daemon's log lines, with the node that wrote them. What it logs with an exception, it has caught
    itself: a failure of the daemon all the same."""

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
            self._environment.crashed(node, text, record.exc_info[1])


def play(
    scenario: Scenario, tick: Callable[[float], None] = lambda _: None,
    interrupted: Callable[[], bool] = lambda: False, prepare: Callable[[Rehearsal], None] = lambda _: None,
) -> tuple[Rehearsal, list[tuple[int, str, str, str]], int]:  # fmt: skip
    """One run in virtual time: the rehearsal as it ended, the nodes' log lines (ns, node, level, text) and
    the number of events. `interrupted` is asked now and then; `prepare` sees the rehearsal before it
    starts."""
    environment = VirtualEnvironment(scenario)
    environment.scheduler.interrupted = interrupted
    lines: list[tuple[int, str, str, str]] = []
    catcher = LogCatcher(environment, lines)
    logger = logging.getLogger("driftstair")
    kept = logger.level, logger.propagate
    logger.addHandler(catcher)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    before = asyncio._get_running_loop()
    collector = gc.get_threshold()
    gc.set_threshold(*COLLECTED)
    enter(None)
    try:
        rehearsal = Rehearsal(scenario, environment, tick)
        environment.rehearsal = rehearsal
        prepare(rehearsal)
        place = cast(SimulatedPlace, rehearsal.place)
        place.loop.call_soon(rehearsal.start)
        try:
            environment.scheduler.run(FOREVER, enter)
        except Deadlock as problem:
            rehearsal.stop_deadlocked(f"{problem}; waiting: {_all_waiting(environment)}")
        except Runaway as problem:
            rehearsal.stop_deadlocked(str(problem))
        if interrupted():
            rehearsal.interrupt()
    finally:
        enter(cast(Any, before))
        environment.close()
        gc.set_threshold(*collector)
        logger.removeHandler(catcher)
        logger.setLevel(kept[0])
        logger.propagate = kept[1]
    return rehearsal, lines, environment.scheduler.events


def _all_waiting(environment: VirtualEnvironment) -> str:
    found = [
        f"{node.name} in {task}" for node in environment._nodes if node.loop for task in node.loop.waiting()
    ]
    return ", ".join(found) or "no node"
