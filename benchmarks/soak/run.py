"""Executes a run: starts daemons, fake servers and clients, injects the planned faults, and collects what was
observed."""

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

from benchmarks.soak.clients import LISTEN_AFTER_DEADLINE_S, Client
from benchmarks.soak.daemons import Daemon
from benchmarks.soak.faults import NODE_FAULTS, SERVER_FAULTS, Fault, FaultKind, Plan
from benchmarks.soak.judge import Judge, RuleParameters, Violation
from benchmarks.soak.platform import (
    DRAIN_GRACE_MS,
    LONGEST_DEADLINE_S,
    REPEAT_WINDOW_MS,
    REQUEST_KINDS,
    configuration,
    settings,
)
from benchmarks.soak.records import NodeRecord, Records, Span
from benchmarks.soak.registry import Registry
from benchmarks.soak.servers import FakeServer
from benchmarks.soak.shim import ShimOptions, build_shim, shim_environment

NEW_CLIENTS_AFTER_SIGTERM_RANGE_S = (0.1, 0.3)  # in which the front still sends new connections to the node
RESTART_DELAY_RANGE_S = (0.1, 1.0)  # between the end of a process and the start of the next one
LAG_CHECK_INTERVAL_S = 0.02
HOUR_S = 3600.0
CROWD_CONNECTIONS = 400  # a node of a run accepts fewer than 300 client connections
RELOADS_IN_SUCCESSION = 4
RELOAD_PAUSE_RANGE_S = (0.005, 0.15)
MAX_CONCURRENT_STARTS = 6  # processes
RULE_PARAMETERS = RuleParameters(DRAIN_GRACE_MS / 1000, REPEAT_WINDOW_MS / 1000)


@dataclass(slots=True)
class Outcome:
    """The result of a run."""

    plan: Plan
    violations: list[Violation]
    request_count: int
    answers_by_status: dict[int, int] = field(default_factory=dict)  # status 0: requests without an answer
    attempt_count: int = 0
    max_lag_s: float = 0.0  # by which the observer's event loop was late
    records: Records = field(default_factory=lambda: Records([]))


class Run:
    """One run, with its daemons, fake servers and discovery."""

    def __init__(self, plan: Plan, planted: str, folder: Path) -> None:
        """`planted`: the name of a defect of the daemons; empty: none; `folder`: for their files."""
        self._plan = plan
        self._folder = folder
        self._random = Random(f"run/{plan.seed}")
        size = plan.size
        self.records = Records([NodeRecord() for _ in range(size.nodes)])
        answer_numbers: count[int] = count(1)
        self._servers = [
            FakeServer(number, self.records, Random(f"server/{plan.seed}/{number}"), answer_numbers)
            for number in range(size.servers)
        ]
        self._registry = Registry(self._servers, size.nodes, self.records, plan.lists_are_pushed)
        shim = (
            build_shim(folder)
            if plan.faults_of_kind(FaultKind.SYSTEM_CALLS) or plan.faults_of_kind(FaultKind.CLOCK)
            else None
        )
        self._daemons = [
            Daemon(number, folder, self.records.nodes[number], planted, self._environment(number, shim))
            for number in range(size.nodes)
        ]
        self._settings = settings(size.nodes, plan.lists_are_pushed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_over = False

    def _environment(self, number: int, shim: Path | None) -> dict[str, str]:
        """The variables of a node's processes that load the shim and set its options."""
        call_faults = [
            fault for fault in self._plan.faults_of_kind(FaultKind.SYSTEM_CALLS) if fault.target == number
        ]
        clock_faults = [
            fault for fault in self._plan.faults_of_kind(FaultKind.CLOCK) if fault.target == number
        ]
        if shim is None or not (call_faults or clock_faults):
            return {}
        self.records.nodes[number].system_calls_fail = bool(call_faults)
        clock_offset_s = self._random.choice((-HOUR_S, HOUR_S, 7.0, -7.0)) if clock_faults else 0.0
        options = ShimOptions(
            seed=self._plan.seed * 1000 + number + 1,
            calls=call_faults[0].share if call_faults else 0.0,
            await_listen=1.0,
            clock_off=clock_offset_s,
            clock_step=-2 * clock_offset_s,
            step_after=clock_faults[0].at_s if clock_faults else 0.0,
        )
        return shim_environment(shim, options)

    async def execute(self) -> None:
        """Executes the run from the start of the daemons to their end."""
        async with AsyncExitStack() as stack:
            stack.callback(self._clean_up)
            for server in self._servers:
                await server.start()
                stack.callback(server.close)
            await self._registry.start()
            stack.callback(self._registry.stop)
            start_limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
            await asyncio.gather(*(self._start_daemon(daemon, start_limit) for daemon in self._daemons))
            self._start_task(self._record_lags())
            await asyncio.sleep(self._plan.size.idle_before_s)
            start_at = monotonic()
            for fault in self._plan.faults:
                self._start_task(self._inject_fault(fault, start_at + fault.at_s))
            request_numbers: count[int] = count((self._plan.seed + 1) << 32)
            end_at = start_at + self._plan.size.duration_s
            clients = [
                Client(
                    self.records,
                    Random(f"client/{self._plan.seed}/{number}"),
                    request_numbers,
                    self._choose_node,
                    end_at,
                )
                for number in range(self._plan.size.clients)
            ]
            longest_turn_s = max(kind.deadline_ms for kind in REQUEST_KINDS) / 1000 + LISTEN_AFTER_DEADLINE_S
            async with asyncio.timeout(self._plan.size.duration_s + longest_turn_s + 20.0):
                await asyncio.gather(*(client.run() for client in clients))
            self._is_over = True
            await self._shut_down()

    def _clean_up(self) -> None:
        """Cancels all tasks and kills all processes, also after an error."""
        for task in self._tasks:
            task.cancel()
        for daemon in self._daemons:
            daemon.close()

    async def _shut_down(self) -> None:
        """Waits for the faults in progress, then terminates all daemons."""
        async with asyncio.timeout(LONGEST_DEADLINE_S + 10.0):
            for task in list(self._tasks):
                if not task.done() and task.get_name() == "fault":
                    await asyncio.wait([task])
            await asyncio.gather(*(daemon.terminate(0.0) for daemon in self._daemons))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.set_name("lag" if coroutine.__name__ == "_record_lags" else "fault")
        self._tasks.add(task)

    async def _record_lags(self) -> None:
        """Records how late this process itself is; the times in the records may be late by as much."""
        expected_at = monotonic() + LAG_CHECK_INTERVAL_S
        while True:
            await asyncio.sleep(max(0.0, expected_at - monotonic()))
            lag_s = monotonic() - expected_at
            if lag_s > LAG_CHECK_INTERVAL_S / 2:
                self.records.lags.add(expected_at, lag_s)
            expected_at = monotonic() + LAG_CHECK_INTERVAL_S

    async def _start_daemon(self, daemon: Daemon, start_limit: asyncio.Semaphore | None = None) -> None:
        server_list = self._registry.server_list()
        for server in self._servers:
            if server.state == "Ready":
                daemon.record.record_ready(server.name, monotonic())
        daemon.configuration = configuration(
            f"n{daemon.number}", daemon.listen_address(),
            self._registry.address(daemon.number, daemon.discovery_index), self._random.getrandbits(60),
            server_list, self._settings,
        )  # fmt: skip
        if start_limit is None:
            await daemon.start()
        else:
            async with start_limit:
                await daemon.start()

    def _choose_node(self) -> tuple[int, tuple[str, int]] | None:
        """Returns the number and the address of a node that accepts clients; None: there is none."""
        candidates = [daemon for daemon in self._daemons if daemon.accepts_clients]
        if not candidates:
            return None
        daemon = self._random.choice(candidates)
        return daemon.number, daemon.address()

    # Faults.

    async def _inject_fault(self, fault: Fault, at: float) -> None:
        await asyncio.sleep(max(0.0, at - monotonic()))
        if fault.kind in NODE_FAULTS:
            await self._inject_node_fault(fault, self._daemons[fault.target])
        elif fault.kind in SERVER_FAULTS:
            await self._inject_server_fault(fault, self._servers[fault.target])
        else:
            await self._inject_discovery_fault(fault)

    async def _inject_node_fault(self, fault: Fault, daemon: Daemon) -> None:
        if fault.kind in (FaultKind.SYSTEM_CALLS, FaultKind.CLOCK):
            return  # the shim injects these
        if fault.kind in (FaultKind.STALL, FaultKind.LONG_STALL):
            await daemon.stall(fault.duration_s)
            return
        if fault.kind in (FaultKind.RELOAD, FaultKind.RELOADS):
            for _ in range(1 if fault.kind is FaultKind.RELOAD else RELOADS_IN_SUCCESSION):
                other_index = 1 - daemon.discovery_index
                daemon.reload(other_index, self._registry.address(daemon.number, other_index))
                await asyncio.sleep(self._random.uniform(*RELOAD_PAUSE_RANGE_S))
            return
        if fault.kind is FaultKind.CROWD:
            await self._connect_crowd(daemon, fault.duration_s)
            return
        if daemon.is_ending():
            return
        if fault.kind is FaultKind.TERMINATE:
            await daemon.terminate(self._random.uniform(*NEW_CLIENTS_AFTER_SIGTERM_RANGE_S))
        else:
            await daemon.kill()
        await asyncio.sleep(self._random.uniform(*RESTART_DELAY_RANGE_S))
        if not self._is_over:
            await self._start_daemon(daemon)

    async def _connect_crowd(self, daemon: Daemon, duration_s: float) -> None:
        """Connects clients that send nothing, more than the node has descriptors for."""
        span = Span(monotonic(), float("inf"))
        daemon.record.crowds.append(span)
        idle_sockets = []
        for _ in range(CROWD_CONNECTIONS):
            with suppress(OSError):
                idle_socket = socket.socket()
                idle_socket.setblocking(False)
                idle_sockets.append(idle_socket)
                idle_socket.connect_ex(daemon.address())
        await asyncio.sleep(duration_s)
        for idle_socket in idle_sockets:
            idle_socket.close()
        span.end = monotonic()

    async def _inject_server_fault(self, fault: Fault, server: FakeServer) -> None:
        if fault.kind is FaultKind.DRAIN:
            self._registry.change_state(server, "Terminating")
            await asyncio.sleep(fault.duration_s)
            self._registry.change_state(server, "Ready")
        elif fault.kind is FaultKind.REFUSE:
            server.stop()
            await asyncio.sleep(fault.duration_s)
            await server.start()
        elif fault.kind is FaultKind.FORGETS:
            server.abandon_connections()
        else:
            server.fault_shares[fault.kind] = fault.share
            await asyncio.sleep(fault.duration_s)
            server.fault_shares.pop(fault.kind, None)

    async def _inject_discovery_fault(self, fault: Fault) -> None:
        registry = self._registry
        if fault.kind is FaultKind.WATCHES_END:
            registry.end_watches()
        elif fault.kind is FaultKind.WATCHES_SILENT:
            registry.silence_watches()
        elif fault.kind is FaultKind.DISCOVERY_DOWN:
            registry.go_down()
            await asyncio.sleep(fault.duration_s)
            await registry.come_up()
        elif fault.kind is FaultKind.DISCOVERY_MUTE:
            registry.set_mute(True)
            await asyncio.sleep(fault.duration_s)
            registry.set_mute(False)
        else:
            registry.is_slow = True
            await asyncio.sleep(fault.duration_s)
            registry.is_slow = False

    def outcome(self) -> Outcome:
        """Reads the event logs and checks the records against the rules."""
        for daemon in self._daemons:
            daemon.read_event_logs()
        answers_by_status: dict[int, int] = {}
        for request in self.records.requests.values():
            status = request.answers[0].status if request.answers else 0
            answers_by_status[status] = answers_by_status.get(status, 0) + 1
        return Outcome(
            self._plan, Judge(self.records, RULE_PARAMETERS).violations(), len(self.records.requests),
            answers_by_status, sum(len(request.attempts) for request in self.records.requests.values()),
            max(self.records.lags.lags_s, default=0.0), self.records,
        )  # fmt: skip


def execute_plan(plan: Plan, planted: str = "", keep_folder: Path | None = None) -> Outcome:
    """Executes a run. `planted`: the name of a defect; empty: none. `keep_folder`: a folder in which a folder
    with this run's logs is created; without it no logs are kept."""
    import uvloop

    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = Path(temporary_folder)
        if keep_folder is not None:
            folder = keep_folder / f"seed-{plan.seed}"
            shutil.rmtree(folder, ignore_errors=True)
            folder.mkdir()
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            run = Run(plan, planted, folder)
            runner.run(run.execute())
        return run.outcome()
