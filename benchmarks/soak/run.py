"""One run: daemons, fakes and faults for some seconds, and what was seen."""

from __future__ import annotations

import asyncio
import shutil
import socket
import tempfile
from collections.abc import Coroutine
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

from benchmarks.soak.clients import WAITS_ON, Client
from benchmarks.soak.daemons import Daemon
from benchmarks.soak.faults import OF_NODES, OF_SERVERS, Fault, FaultKind, Plan
from benchmarks.soak.judge import Judge, Terms, Violation
from benchmarks.soak.platform import (
    DRAIN_GRACE_MS,
    KINDS,
    LONGEST_DEADLINE_S,
    WINDOW_MS,
    configuration,
    settings,
)
from benchmarks.soak.records import NodeRecord, Records, Span
from benchmarks.soak.registry import Registry
from benchmarks.soak.servers import FakeServer
from benchmarks.soak.shim import Options, build, environment

FRONT_NOTICES = (0.1, 0.3)  # s after SIGTERM in which new connections go on coming
AWAY = (0.1, 1.0)  # s between the end of a process and the next one
LAG_LOOK = 0.02  # s
HOUR = 3600.0
CROWD = 400  # connections: clients may hold under 300 at a node of a run
RELOADS = 4  # in a row
BETWEEN_RELOADS = (0.005, 0.15)  # s
STARTS_AT_ONCE = 6  # processes
TERMS = Terms(DRAIN_GRACE_MS / 1000, WINDOW_MS / 1000)


@dataclass(slots=True)
class Outcome:
    plan: Plan
    violations: list[Violation]
    requests: int
    answers: dict[int, int] = field(default_factory=dict)  # by status
    attempts: int = 0
    lag_most: float = 0.0  # s for which the observer was late
    records: Records = field(default_factory=lambda: Records([]))


class Run:
    def __init__(self, plan: Plan, planted: str, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._random = Random(f"run/{plan.seed}")
        size = plan.size
        self.records = Records([NodeRecord() for _ in range(size.nodes)])
        tokens: count[int] = count(1)
        self._servers = [
            FakeServer(number, self.records, Random(f"server/{plan.seed}/{number}"), tokens)
            for number in range(size.servers)
        ]
        self._registry = Registry(self._servers, size.nodes, self.records, plan.pushed)
        library = build(folder) if plan.of(FaultKind.SYSTEM_CALLS) or plan.of(FaultKind.CLOCK) else None
        self._daemons = [
            Daemon(number, folder, self.records.nodes[number], planted, self._environment(number, library))
            for number in range(size.nodes)
        ]
        self._settings = settings(size.nodes, plan.pushed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._over = False

    def _environment(self, number: int, library: Path | None) -> dict[str, str]:
        """Of a node's processes: what the shim is to do in them."""
        calls = [fault for fault in self._plan.of(FaultKind.SYSTEM_CALLS) if fault.target == number]
        clocks = [fault for fault in self._plan.of(FaultKind.CLOCK) if fault.target == number]
        if library is None or not (calls or clocks):
            return {}
        self.records.nodes[number].calls_fail = bool(calls)
        off = self._random.choice((-HOUR, HOUR, 7.0, -7.0)) if clocks else 0.0
        options = Options(
            seed=self._plan.seed * 1000 + number + 1,
            calls=calls[0].share if calls else 0.0,
            await_listen=1.0,
            clock_off=off,
            clock_step=-2 * off,
            step_after=clocks[0].at if clocks else 0.0,
        )
        return environment(library, options)

    async def play(self) -> None:
        async with AsyncExitStack() as stack:
            stack.callback(self._end)
            for server in self._servers:
                await server.start()
                stack.callback(server.end)
            await self._registry.start()
            stack.callback(self._registry.stop)
            limit = asyncio.Semaphore(STARTS_AT_ONCE)
            await asyncio.gather(*(self._start(daemon, limit) for daemon in self._daemons))
            self._do(self._watch_lag())
            await asyncio.sleep(self._plan.size.quiet)
            begin = monotonic()
            for fault in self._plan.faults:
                self._do(self._befall(fault, begin + fault.at))
            numbers: count[int] = count((self._plan.seed + 1) << 32)
            until = begin + self._plan.size.seconds
            clients = [
                Client(self.records, Random(f"client/{self._plan.seed}/{one}"), numbers, self._choose, until)
                for one in range(self._plan.size.clients)
            ]
            longest = max(kind.deadline_ms for kind in KINDS) / 1000 + WAITS_ON
            async with asyncio.timeout(self._plan.size.seconds + longest + 20.0):
                await asyncio.gather(*(client.run() for client in clients))
            self._over = True
            await self._shut_down()

    def _end(self) -> None:
        """Whatever happened, no process is left."""
        for task in self._tasks:
            task.cancel()
        for daemon in self._daemons:
            daemon.end()

    async def _shut_down(self) -> None:
        async with asyncio.timeout(LONGEST_DEADLINE_S + 10.0):
            for task in list(self._tasks):
                if not task.done() and task.get_name() == "fault":
                    await asyncio.wait([task])
            await asyncio.gather(*(daemon.terminate(0.0) for daemon in self._daemons))

    def _do(self, what: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(what)
        task.set_name("lag" if what.__name__ == "_watch_lag" else "fault")
        self._tasks.add(task)

    async def _watch_lag(self) -> None:
        """How late this process itself is: what it records may be so old."""
        due = monotonic() + LAG_LOOK
        while True:
            await asyncio.sleep(max(0.0, due - monotonic()))
            late = monotonic() - due
            if late > LAG_LOOK / 2:
                self.records.lags.note(due, late)
            due = monotonic() + LAG_LOOK

    async def _start(self, daemon: Daemon, limit: asyncio.Semaphore | None = None) -> None:
        known = self._registry.known()
        for server in self._servers:
            if server.state == "Ready":
                daemon.record.told_ready(server.name, monotonic())
        daemon.document = configuration(
            f"n{daemon.number}", daemon.listen(), self._registry.address(daemon.number, daemon.place),
            self._random.getrandbits(60), known, self._settings,
        )  # fmt: skip
        if limit is None:
            await daemon.start()
        else:
            async with limit:
                await daemon.start()

    def _choose(self) -> tuple[int, tuple[str, int]] | None:
        able = [daemon for daemon in self._daemons if daemon.takes_clients]
        if not able:
            return None
        chosen = self._random.choice(able)
        return chosen.number, chosen.address()

    # Faults.

    async def _befall(self, fault: Fault, at: float) -> None:
        await asyncio.sleep(max(0.0, at - monotonic()))
        if fault.kind in OF_NODES:
            await self._befall_node(fault, self._daemons[fault.target])
        elif fault.kind in OF_SERVERS:
            await self._befall_server(fault, self._servers[fault.target])
        else:
            await self._befall_discovery(fault)

    async def _befall_node(self, fault: Fault, daemon: Daemon) -> None:
        if fault.kind in (FaultKind.SYSTEM_CALLS, FaultKind.CLOCK):
            return  # the shim plays these
        if fault.kind in (FaultKind.STALL, FaultKind.LONG_STALL):
            await daemon.stall(fault.lasts)
            return
        if fault.kind in (FaultKind.RELOAD, FaultKind.RELOADS):
            for _ in range(1 if fault.kind is FaultKind.RELOAD else RELOADS):
                place = 1 - daemon.place
                daemon.reload(place, self._registry.address(daemon.number, place))
                await asyncio.sleep(self._random.uniform(*BETWEEN_RELOADS))
            return
        if fault.kind is FaultKind.CROWD:
            await self._crowd(daemon, fault.lasts)
            return
        if daemon.is_ending():
            return
        if fault.kind is FaultKind.TERMINATE:
            await daemon.terminate(self._random.uniform(*FRONT_NOTICES))
        else:
            await daemon.kill()
        await asyncio.sleep(self._random.uniform(*AWAY))
        if not self._over:
            await self._start(daemon)

    async def _crowd(self, daemon: Daemon, lasts: float) -> None:
        """Clients that connect and say nothing, more than the node has descriptors for."""
        span = Span(monotonic(), float("inf"))
        daemon.record.crowds.append(span)
        idle = []
        for _ in range(CROWD):
            with suppress(OSError):
                own = socket.socket()
                own.setblocking(False)
                idle.append(own)
                own.connect_ex(daemon.address())
        await asyncio.sleep(lasts)
        for own in idle:
            own.close()
        span.until = monotonic()

    async def _befall_server(self, fault: Fault, server: FakeServer) -> None:
        if fault.kind is FaultKind.DRAIN:
            self._registry.change(server, "Terminating")
            await asyncio.sleep(fault.lasts)
            self._registry.change(server, "Ready")
        elif fault.kind is FaultKind.REFUSE:
            server.stop()
            await asyncio.sleep(fault.lasts)
            await server.start()
        elif fault.kind is FaultKind.FORGETS:
            server.forget()
        else:
            server.faults[fault.kind] = fault.share
            await asyncio.sleep(fault.lasts)
            server.faults.pop(fault.kind, None)

    async def _befall_discovery(self, fault: Fault) -> None:
        registry = self._registry
        if fault.kind is FaultKind.WATCHES_END:
            registry.end_watches()
        elif fault.kind is FaultKind.WATCHES_SILENT:
            registry.silence_watches()
        elif fault.kind is FaultKind.DISCOVERY_DOWN:
            registry.go_down()
            await asyncio.sleep(fault.lasts)
            await registry.come_up()
        elif fault.kind is FaultKind.DISCOVERY_MUTE:
            registry.set_mute(True)
            await asyncio.sleep(fault.lasts)
            registry.set_mute(False)
        else:
            registry.slow = True
            await asyncio.sleep(fault.lasts)
            registry.slow = False

    def outcome(self) -> Outcome:
        for daemon in self._daemons:
            daemon.read_events()
        answers: dict[int, int] = {}
        for request in self.records.requests.values():
            status = request.answers[0].status if request.answers else 0
            answers[status] = answers.get(status, 0) + 1
        return Outcome(
            self._plan, Judge(self.records, TERMS).violations(), len(self.records.requests), answers,
            sum(len(request.attempts) for request in self.records.requests.values()),
            max(self.records.lags.late, default=0.0), self.records,
        )  # fmt: skip


def play(plan: Plan, planted: str = "", keep: Path | None = None) -> Outcome:
    """`keep`: a folder that gets one of this run's logs; left out: none is kept."""
    import uvloop

    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        if keep is not None:
            folder = keep / f"seed-{plan.seed}"
            shutil.rmtree(folder, ignore_errors=True)
            folder.mkdir()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            run = Run(plan, planted, folder)
            runner.run(run.play())
        return run.outcome()
