"""What configuration by the change costs a node: a request with [control] on, and the loop while it applies.

    python benchmarks/node_configuration.py [--requests N] [--rounds N] [--routes N] [--tenants N] [--no-hold]

`request`: CPU of a request of the daemon without a service file, with one route in its file, and with the
same route from a control server; bursts alternate, so that the ratio says more than each figure. `hold`: how
long single turns of the loop last in this process while a snapshot of so many routes and tenants is taken in
and proved, while change sets of several sizes are, and while a file of that state is read; a probe asks for
each turn. `memory`: of a daemon with that state in force. Loopback only. Not part of CI.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import uvloop
from request import ROOT, Box, Client, node_document, resident_mb

sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "tests"))
sys.path.insert(0, str(ROOT / "tests" / "node_configuration"))

CONNECTIONS = 1  # with more, one turn of the loop serves several requests, and more of them on a busy machine
ROUTE_CONTENT = {"match": {"class": ["page"]}, "timeout": {"total": "900ms"}, "admit": {"in_flight": 400}}
FILE_ROUTE = (
    '[[route]]\nname = "pages"\nmatch = { class = "page" }\ntimeout = { total = "900ms" }\n'
    "admit = { in_flight = 400 }\n"
)


class ControlServerThread:
    """A scripted control server on the event loop of its own thread. It uses no CPU of the daemon."""

    def __init__(self, routes: int = 1, tenants: int = 0) -> None:
        """Starts the server. By default it has the one route that requests use, otherwise a snapshot of so
        many routes and tenants."""
        self.address = ""
        self._sizes = (routes, tenants)
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self.reported = threading.Event()  # set when the daemon reports the last revision in force
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait()

    def _run(self) -> None:
        from control_server import ROUTE as ROUTE_KIND
        from control_server import ChangeLog, ControlServer, change

        async def serve() -> None:
            log, server = ChangeLog(), ControlServer()
            if self._sizes == (1, 0):
                log.put(change(ROUTE_KIND, "pages", ROUTE_CONTENT))
                server.initial_messages = [log.changes(), log.freshness()]
            else:
                log = make_log(*self._sizes)
                server.initial_messages = [*snapshot_parts(log), log.freshness()]
            await server.listen()
            self.address = server.address
            self._ready.set()
            while True:
                await asyncio.sleep(0.5)
                if server._watches and not server._watches[-1].is_closing():
                    server.send_bytes(b"\n")
                if server.reports and server.reports[-1].revision == log.state.revision:
                    self.reported.set()

        self._loop.run_until_complete(serve())


class Daemon:
    """A node with clients of its own. Its CPU time is the scheduler's, in ns, from /proc/PID/schedstat."""

    def __init__(self, name: str, process: subprocess.Popen[str], address: tuple[str, int]) -> None:
        self.name = name
        self.process = process
        self.address = address
        self.clients: list[Client] = []
        self.cpu_us: list[float] = []  # per request, for each burst
        self.served = 0

    @staticmethod
    async def start(name: str, service: str, addresses: list[str], folder: Path) -> Daemon:
        """Starts a node that knows the servers at these addresses. `service`: text of its service file, empty
        for none."""
        config = folder / f"{name}.json"
        config.write_text(json.dumps(node_document(addresses)))
        service_file = folder / f"{name}.toml"
        service_file.write_text(service)
        service_options = ("--service", str(service_file)) if service else ()
        process = subprocess.Popen(
            [sys.executable, "-m", "driftstair", *service_options], cwd=ROOT, stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "BALANCER_CONFIG": str(config)},
        )  # fmt: skip
        assert process.stderr is not None
        while "serving on" not in (line := process.stderr.readline()):
            assert line, "the daemon ended"
        host, port = line.split()[-1].rsplit(":", 1)
        return Daemon(name, process, (host, int(port)))

    def cpu_ns(self) -> int:
        """Returns the CPU time that the process has used so far."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0])

    async def burst(self, requests: int) -> None:
        """Sends so many requests, and records their CPU time and how many were served."""
        loop = asyncio.get_running_loop()
        if not self.clients or any(client.transport.is_closing() for client in self.clients):
            self.clients = [
                (await loop.create_connection(Client, *self.address))[1] for _ in range(CONNECTIONS)
            ]
        Client.unsent, Client.sent_count, Client.statuses, Client.latencies_s = requests, 0, {}, []
        Client.all_answered = loop.create_future()
        cpu_before_ns = self.cpu_ns()
        for client in self.clients:
            client.send_request()
        await asyncio.wait_for(Client.all_answered, 120)
        self.cpu_us.append((self.cpu_ns() - cpu_before_ns) / requests / 1e3)
        self.served += Client.statuses.get(b"200", 0)

    async def instructions(self, requests: int) -> float:
        """Returns the instructions per request outside the kernel, as perf(1) counts them. The count
        differs by about 0.1% between runs, whatever else the machine does. nan if perf is missing or not
        permitted to count."""
        command = ["perf", "stat", "-x,", "-e", "instructions:u", "-p", str(self.process.pid)]
        try:
            perf = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        except OSError:
            return math.nan
        await asyncio.sleep(0.5)  # until perf counts
        await self.burst(requests)
        perf.send_signal(signal.SIGINT)
        last_line = perf.communicate()[1].strip().splitlines()[-1]
        count = last_line.split(",")[0]
        return round(int(count) / requests) if count.isdigit() else math.nan


async def measure_requests(requests: int, rounds: int) -> list[dict[str, Any]]:
    """Compares daemons that run at the same time. Bursts alternate between them, so that other load of the
    machine affects all of them alike."""
    control = ControlServerThread()
    services = {
        "no service file": "",
        "one route of the file": "version = 1\n" + FILE_ROUTE,
        "the same route from control": f'version = 1\n[control]\nservers = ["{control.address}"]\n',
    }
    loop = asyncio.get_running_loop()
    boxes = [await loop.create_server(Box, "127.0.0.1", 0) for _ in range(2)]
    addresses = [":".join(map(str, box.sockets[0].getsockname())) for box in boxes]
    daemons: list[Daemon] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for name, service in services.items():
                daemons.append(await Daemon.start(name, service, addresses, Path(folder)))
            await asyncio.to_thread(control.reported.wait, 30.0)
            await asyncio.sleep(1.0)
            for daemon in daemons:
                await daemon.burst(requests)  # warms up
                daemon.cpu_us.clear()
                daemon.served = 0
            for round_number in range(rounds):
                first_daemon = round_number % len(daemons)
                for daemon in daemons[first_daemon:] + daemons[:first_daemon]:
                    await daemon.burst(requests)
            served = [round(daemon.served / requests / rounds, 4) for daemon in daemons]
            instructions = [await daemon.instructions(10 * requests) for daemon in daemons]
            memory_mb = [round(resident_mb(daemon.process.pid), 1) for daemon in daemons]
        finally:
            for daemon in daemons:
                daemon.process.kill()
                daemon.process.wait()
    base_cpu_us = daemons[1].cpu_us
    return [
        {
            "what": daemon.name, "cpu_us_median": round(statistics.median(daemon.cpu_us), 1),
            "ratio_median": round(
                statistics.median(
                    cpu_us / base_us for cpu_us, base_us in zip(daemon.cpu_us, base_cpu_us, strict=True)
                ), 4
            ),
            "ratio_of_sums": round(sum(daemon.cpu_us) / sum(base_cpu_us), 4),
            "ratio_of_least": round(min(daemon.cpu_us) / min(base_cpu_us), 4),
            "instructions": instruction_count,
            "ratio_of_instructions": round(instruction_count / instructions[1], 4),
            "served": served_fraction, "rss_mb": rss_mb,
        }
        for daemon, rss_mb, instruction_count, served_fraction in zip(
            daemons, memory_mb, instructions, served, strict=True
        )
    ]  # fmt: skip


async def measure_memory(routes: int, tenants: int) -> list[dict[str, Any]]:
    """Measures the daemon's resident memory with a single route and with a whole configuration in force."""
    rows = []
    for sizes in ((1, 0), (routes, tenants)):
        control = await asyncio.to_thread(ControlServerThread, *sizes)
        service = f'version = 1\n[control]\nservers = ["{control.address}"]\n'
        with tempfile.TemporaryDirectory() as folder:
            daemon = await Daemon.start("daemon", service, [], Path(folder))
            try:
                start_s = time.monotonic()
                peak_mb = 0.0
                while not control.reported.is_set() and time.monotonic() - start_s < 300:
                    await asyncio.sleep(0.1)
                    peak_mb = max(peak_mb, resident_mb(daemon.process.pid))
                took_s = time.monotonic() - start_s
                await asyncio.sleep(2.0)
                rows.append({
                    "what": f"memory with {sizes[0]} routes and {sizes[1]} tenants",
                    "took_s": round(took_s, 1), "rss_mb": round(resident_mb(daemon.process.pid), 1),
                    "peak_mb": round(peak_mb, 1),
                })  # fmt: skip
            finally:
                daemon.process.kill()
                daemon.process.wait()
    return rows


def measure_look_ups() -> list[dict[str, Any]]:
    """Measures the look-ups of one request alone, the least of many rounds, so that neither sockets nor
    other load of the machine are in the figure."""
    from control_server import ROUTE as ROUTE_KIND
    from control_server import ChangeLog, change
    from harness import SETTINGS, node_context

    from driftstair.limits.request_table import FileRequestTable
    from driftstair.limits.routes import RouteQuery
    from driftstair.node_configuration.in_force import ConfigurationInForce
    from driftstair.node_configuration.request_tables import CombinedTable, RequestTables
    from driftstair.node_configuration.tenant_limits import TenantLimiter, TenantUsage
    from driftstair.service.load import parse

    class AdmittedRequest:
        tenant: TenantUsage | None = None

    in_force = ConfigurationInForce(node_context())
    for _ in in_force.apply_steps(
        ChangeLog().put(change(ROUTE_KIND, "pages", ROUTE_CONTENT)), lambda keys: None
    ):
        pass
    tables = RequestTables(lambda: in_force, 5)
    file_table = FileRequestTable(parse("version = 1\n" + FILE_ROUTE, "f").service, SETTINGS)
    combined = CombinedTable(FileRequestTable(parse("version = 1\n", "f").service, SETTINGS), tables)
    tenants, request = TenantLimiter(tables.tenants.find), AdmittedRequest()
    queries = [
        RouteQuery("page", f"t{number % 20}", "GET", "/api", {}, f"k{number}") for number in range(997)
    ]
    least_us = {"one route of the file": float("inf"), "the same route from control": float("inf")}
    for _ in range(200):
        start_s = time.perf_counter()
        for query in queries:
            file_table.find(query)
        middle_s = time.perf_counter()
        for query in queries:
            combined.find(query)
            tenants.admit(0, request, query.tenant)
        end_s = time.perf_counter()
        for name, took_s in zip(least_us, (middle_s - start_s, end_s - middle_s), strict=True):
            least_us[name] = min(least_us[name], took_s / len(queries) * 1e6)
    return [
        {"what": f"look-ups, {name}", "us_least": round(time_us, 3)} for name, time_us in least_us.items()
    ]


class LoopProbe:
    """Measures turns of the event loop by a callback that schedules itself again at once: in wall-clock
    time, and in CPU time of the thread, which other processes do not affect."""

    def __init__(self) -> None:
        self.turns_ms: list[float] = []
        self.turns_cpu_ms: list[float] = []
        self._running = False

    def start(self) -> None:
        """Starts to measure, with no turns so far."""
        self.turns_ms, self.turns_cpu_ms = [], []
        self._running = True
        self._last_s, self._last_cpu_s = time.perf_counter(), time.thread_time()
        asyncio.get_running_loop().call_soon(self._turn)

    def _turn(self) -> None:
        now_s, now_cpu_s = time.perf_counter(), time.thread_time()
        self.turns_ms.append((now_s - self._last_s) * 1e3)
        self.turns_cpu_ms.append((now_cpu_s - self._last_cpu_s) * 1e3)
        self._last_s, self._last_cpu_s = now_s, now_cpu_s
        if self._running:
            asyncio.get_running_loop().call_soon(self._turn)

    def stop(self, what: str, took_s: float, steps: int) -> dict[str, Any]:
        """Ends the measurement and returns its row."""
        self._running = False
        turns_ms, turns_cpu_ms = sorted(self.turns_ms), sorted(self.turns_cpu_ms)
        p99_index = int(0.99 * len(turns_ms))
        return {
            "what": what, "took_s": round(took_s, 2), "steps": steps, "turns": len(turns_ms),
            "turn_ms_p99": round(turns_ms[p99_index], 3), "turn_ms_max": round(turns_ms[-1], 3),
            "cpu_ms_p99": round(turns_cpu_ms[p99_index], 3), "cpu_ms_max": round(turns_cpu_ms[-1], 3),
            "turns_over_2_ms": sum(duration_ms > 2.0 for duration_ms in turns_ms),
            "cpu_over_2_ms": sum(duration_ms > 2.0 for duration_ms in turns_cpu_ms),
        }  # fmt: skip


def make_log(routes: int, tenants: int) -> Any:
    """Returns a log of change sets of up to 500 resources each."""
    from control_server import ROUTE as ROUTE_KIND
    from control_server import TENANT, ChangeLog, change

    log = ChangeLog()
    resources = [
        *((ROUTE_KIND, f"r{index:05d}", index) for index in range(routes)),
        *((TENANT, f"tenant-{index:06d}", index) for index in range(tenants)),
    ]
    for first in range(0, len(resources), 500):
        batch = resources[first : first + 500]
        log.put(
            *(change(kind, name, resource_content(kind is ROUTE_KIND, index)) for kind, name, index in batch)
        )
    return log


def snapshot_parts(log: Any) -> list[Any]:
    """Returns a snapshot of the log, in parts of 100 resources."""
    parts: list[Any] = log.snapshot(*[100] * ((len(log.state) - 1) // 100))
    return parts


def resource_content(is_route: bool, number: int) -> dict[str, Any]:
    """Returns the content of a route or a tenant."""
    if not is_route:
        return {"per_s": float(10 + number % 5), "in_flight": 20}
    return {
        "match": {"class": ["page"], "path": f"/service-{number % 1000}/v{number // 1000}/*"},
        "timeout": {"total": "900ms"}, "admit": {"in_flight": 50 + number % 7}, "retry": {"attempts": 2},
    }  # fmt: skip


async def measure_loop_turns(routes: int, tenants: int, folder: Path) -> list[dict[str, Any]]:
    """Measures turns of the loop while a node applies a snapshot, change sets of several sizes and a
    SIGHUP, and while it starts from disk."""
    from control_server import ROUTE as ROUTE_KIND
    from control_server import change
    from harness import NodeHarness, node_context, with_class

    from driftstair.configuration.messages import encode

    log = make_log(routes, tenants)
    snapshot_lines = [encode(part) for part in snapshot_parts(log)]
    probe, rows = LoopProbe(), []
    node = NodeHarness(folder=folder)
    applier = node.applier
    await applier.load()
    apply_task = asyncio.get_running_loop().create_task(applier.run())

    async def apply_lines(lines: list[bytes], revision: int, description: str) -> None:
        steps, start_s = applier.slicer.steps, time.perf_counter()
        probe.start()
        for line in lines:
            while not applier.on_watch_line(line):
                await asyncio.sleep(0)
                if applier._inbox_bytes < (64 << 10):
                    break
        while applier.current.revision != revision:
            await asyncio.sleep(0)
        took_s = time.perf_counter() - start_s
        rows.append(probe.stop(description, took_s, applier.slicer.steps - steps))
        assert not applier.current.refusals, next(iter(applier.current.refusals.values()))

    await apply_lines(
        snapshot_lines, log.state.revision, f"a snapshot of {routes} routes and {tenants} tenants"
    )
    for count in (1, 10, 100, 1_000):
        changes = [
            change(ROUTE_KIND, f"r{index:05d}", resource_content(True, index) | {"retry": {"attempts": 3}})
            for index in range(min(count, routes))
        ]
        log.put(*changes)
        base_revision = log.state.revision - 1
        await apply_lines(
            [encode(log.changes(base_revision))],
            base_revision + 1,
            f"one set of {len(changes)} changed routes",
        )
    start_s, steps = time.perf_counter(), applier.slicer.steps
    probe.start()
    applier.revalidate(node_context(with_class("late")))
    configuration_before = applier.current
    while applier.current is configuration_before:
        await asyncio.sleep(0)
    rows.append(probe.stop("SIGHUP", time.perf_counter() - start_s, applier.slicer.steps - steps))
    assert node.store is not None
    await node.store.stop()
    apply_task.cancel()
    restarted_node = NodeHarness(folder=folder)
    start_s = time.perf_counter()
    probe.start()
    await restarted_node.applier.load()
    rows.append(
        probe.stop("a start from disk", time.perf_counter() - start_s, restarted_node.applier.slicer.steps)
    )
    assert restarted_node.store is not None
    await restarted_node.store.stop()
    return rows


def main() -> int:
    """Runs all measurements and prints their rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=1_000, help="in a burst")
    parser.add_argument("--rounds", type=int, default=40, help="bursts")
    parser.add_argument("--routes", type=int, default=21_000)
    parser.add_argument("--tenants", type=int, default=220_000)
    parser.add_argument("--no-hold", action="store_true", help="requests alone")
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(
        loop_factory=uvloop.new_event_loop
    ) as runner:  # fmt: skip
        request_rows = runner.run(measure_requests(options.requests, options.rounds))
        hold_rows = [] if options.no_hold else runner.run(
            measure_loop_turns(options.routes, options.tenants, Path(folder))
        )  # fmt: skip
        memory_rows = [] if options.no_hold else runner.run(measure_memory(options.routes, options.tenants))
    rows = {"request": request_rows, "look_up": measure_look_ups(), "hold": hold_rows, "memory": memory_rows}
    if options.json:
        print(json.dumps(rows, indent=1))
        return 0
    for row in (row for group_rows in rows.values() for row in group_rows):
        print(", ".join(f"{key} {value}" for key, value in row.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
