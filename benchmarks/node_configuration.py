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
from request import HERE, Box, Client, document, memory_of

sys.path.insert(0, str(HERE))
sys.path.insert(0, str(HERE / "tests"))
sys.path.insert(0, str(HERE / "tests" / "node_configuration"))

CONNECTIONS = 1  # more would be served several a turn, the more the busier the machine is
ROUTE = {"match": {"class": ["page"]}, "timeout": {"total": "900ms"}, "admit": {"in_flight": 400}}
ROUTE_OF_THE_FILE = (
    '[[route]]\nname = "pages"\nmatch = { class = "page" }\ntimeout = { total = "900ms" }\n'
    "admit = { in_flight = 400 }\n"
)


class ControlInAThread:
    """A scripted control server on a loop of its own: it costs the daemon's process nothing."""

    def __init__(self, routes: int = 1, tenants: int = 0) -> None:
        """One route for requests, or a snapshot of so many."""
        self.address = ""
        self._sizes = (routes, tenants)
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self.reported = threading.Event()  # the daemon has it in force
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait()

    def _run(self) -> None:
        from control_server import ROUTE as KIND
        from control_server import ChangeLog, ControlServer, change

        async def serve() -> None:
            log, server = ChangeLog(), ControlServer()
            if self._sizes == (1, 0):
                log.put(change(KIND, "pages", ROUTE))
                server.initial_messages = [log.changes(), log.freshness()]
            else:
                log = a_log(*self._sizes)
                server.initial_messages = [*snapshot_of(log), log.freshness()]
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
    """A node under its own load. CPU by the scheduler's account, in ns: /proc/PID/schedstat."""

    def __init__(self, name: str, process: subprocess.Popen[str], address: tuple[str, int]) -> None:
        self.name = name
        self.process = process
        self.address = address
        self.clients: list[Client] = []
        self.cpu_us: list[float] = []  # a request, of each burst
        self.served = 0

    @staticmethod
    async def start(name: str, service: str, addresses: list[str], folder: Path) -> Daemon:
        config = folder / f"{name}.json"
        config.write_text(json.dumps(document(addresses)))
        file = folder / f"{name}.toml"
        file.write_text(service)
        options = ("--service", str(file)) if service else ()
        process = subprocess.Popen(
            [sys.executable, "-m", "driftstair", *options], cwd=HERE, stderr=subprocess.PIPE, text=True,
            env={**os.environ, "BALANCER_CONFIG": str(config)},
        )  # fmt: skip
        assert process.stderr is not None
        while "serving on" not in (line := process.stderr.readline()):
            assert line, "the daemon ended"
        host, port = line.split()[-1].rsplit(":", 1)
        return Daemon(name, process, (host, int(port)))

    def cpu_ns(self) -> int:
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0])

    async def burst(self, requests: int) -> None:
        loop = asyncio.get_running_loop()
        if not self.clients or any(client.transport.is_closing() for client in self.clients):
            self.clients = [
                (await loop.create_connection(Client, *self.address))[1] for _ in range(CONNECTIONS)
            ]
        Client.left, Client.number, Client.statuses, Client.took = requests, 0, {}, []
        Client.done = loop.create_future()
        before = self.cpu_ns()
        for client in self.clients:
            client.ask()
        await asyncio.wait_for(Client.done, 120)
        self.cpu_us.append((self.cpu_ns() - before) / requests / 1e3)
        self.served += Client.statuses.get(b"200", 0)

    async def instructions(self, requests: int) -> float:
        """Of a request, outside the kernel, by perf(1): the same from run to run within some 0.1%, whatever
        else the machine does. nan where perf is not there or may not count."""
        command = ["perf", "stat", "-x,", "-e", "instructions:u", "-p", str(self.process.pid)]
        try:
            counting = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        except OSError:
            return math.nan
        await asyncio.sleep(0.5)  # until it counts
        await self.burst(requests)
        counting.send_signal(signal.SIGINT)
        last = counting.communicate()[1].strip().splitlines()[-1]
        count = last.split(",")[0]
        return round(int(count) / requests) if count.isdigit() else math.nan


async def request_rows(requests: int, rounds: int) -> list[dict[str, Any]]:
    """Bursts alternate between daemons that run side by side: what else the machine does hits all alike."""
    control = ControlInAThread()
    texts = {
        "no service file": "",
        "one route of the file": "version = 1\n" + ROUTE_OF_THE_FILE,
        "the same route from control": f'version = 1\n[control]\nservers = ["{control.address}"]\n',
    }
    loop = asyncio.get_running_loop()
    boxes = [await loop.create_server(Box, "127.0.0.1", 0) for _ in range(2)]
    addresses = [":".join(map(str, box.sockets[0].getsockname())) for box in boxes]
    daemons: list[Daemon] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for name, text in texts.items():
                daemons.append(await Daemon.start(name, text, addresses, Path(folder)))
            await asyncio.to_thread(control.reported.wait, 30.0)
            await asyncio.sleep(1.0)
            for daemon in daemons:
                await daemon.burst(requests)  # warms up
                daemon.cpu_us.clear()
                daemon.served = 0
            for number in range(rounds):
                place = number % len(daemons)
                for daemon in daemons[place:] + daemons[:place]:
                    await daemon.burst(requests)
            served = [round(daemon.served / requests / rounds, 4) for daemon in daemons]
            instructions = [await daemon.instructions(10 * requests) for daemon in daemons]
            memory = [round(memory_of(daemon.process.pid), 1) for daemon in daemons]
        finally:
            for daemon in daemons:
                daemon.process.kill()
                daemon.process.wait()
    base = daemons[1].cpu_us
    return [
        {
            "what": daemon.name, "cpu_us_median": round(statistics.median(daemon.cpu_us), 1),
            "ratio_median": round(
                statistics.median(its / of for its, of in zip(daemon.cpu_us, base, strict=True)), 4
            ),
            "ratio_of_sums": round(sum(daemon.cpu_us) / sum(base), 4),
            "ratio_of_least": round(min(daemon.cpu_us) / min(base), 4),
            "instructions": counted, "ratio_of_instructions": round(counted / instructions[1], 4),
            "served": part, "rss_mb": rss,
        }
        for daemon, rss, counted, part in zip(daemons, memory, instructions, served, strict=True)
    ]  # fmt: skip


async def memory_rows(routes: int, tenants: int) -> list[dict[str, Any]]:
    """The daemon's resident memory with a whole configuration in force, and without one."""
    rows = []
    for sizes in ((1, 0), (routes, tenants)):
        control = await asyncio.to_thread(ControlInAThread, *sizes)
        service = f'version = 1\n[control]\nservers = ["{control.address}"]\n'
        with tempfile.TemporaryDirectory() as folder:
            daemon = await Daemon.start("daemon", service, [], Path(folder))
            try:
                began = time.monotonic()
                peak = 0.0
                while not control.reported.is_set() and time.monotonic() - began < 300:
                    await asyncio.sleep(0.1)
                    peak = max(peak, memory_of(daemon.process.pid))
                took_s = time.monotonic() - began
                await asyncio.sleep(2.0)
                rows.append({
                    "what": f"memory with {sizes[0]} routes and {sizes[1]} tenants",
                    "took_s": round(took_s, 1), "rss_mb": round(memory_of(daemon.process.pid), 1),
                    "peak_mb": round(peak, 1),
                })  # fmt: skip
            finally:
                daemon.process.kill()
                daemon.process.wait()
    return rows


def look_up_rows() -> list[dict[str, Any]]:
    """What a request's look-ups take, the least of many tries: without what sockets and machine add."""
    from control_server import ROUTE as KIND
    from control_server import ChangeLog, change
    from harness import SETTINGS, node_context

    from driftstair.limits.request_table import FileRequestTable
    from driftstair.limits.routes import RouteQuery
    from driftstair.node_configuration.in_force import ConfigurationInForce
    from driftstair.node_configuration.request_tables import CombinedTable, RequestTables
    from driftstair.node_configuration.tenant_limits import TenantLimiter, TenantUsage
    from driftstair.service.load import parse

    class Admitted:
        tenant: TenantUsage | None = None

    in_force = ConfigurationInForce(node_context())
    for _ in in_force.apply_steps(ChangeLog().put(change(KIND, "pages", ROUTE)), lambda keys: None):
        pass
    tables = RequestTables(lambda: in_force, 5)
    of_the_file = FileRequestTable(parse("version = 1\n" + ROUTE_OF_THE_FILE, "f").service, SETTINGS)
    combined = CombinedTable(FileRequestTable(parse("version = 1\n", "f").service, SETTINGS), tables)
    tenants, request = TenantLimiter(tables.tenants.find), Admitted()
    asked = [RouteQuery("page", f"t{n % 20}", "GET", "/api", {}, f"k{n}") for n in range(997)]
    rows = {"one route of the file": float("inf"), "the same route from control": float("inf")}
    for _ in range(200):
        began = time.perf_counter()
        for one in asked:
            of_the_file.find(one)
        middle = time.perf_counter()
        for one in asked:
            combined.find(one)
            tenants.admit(0, request, one.tenant)
        end = time.perf_counter()
        for name, took_s in zip(rows, (middle - began, end - middle), strict=True):
            rows[name] = min(rows[name], took_s / len(asked) * 1e6)
    return [{"what": f"look-ups, {name}", "us_least": round(us, 3)} for name, us in rows.items()]


class Probe:
    """Measures turns of the loop, from one call to the next one that is made at once: by the wall clock, and
    by the thread's CPU, which other processes of the machine are not in."""

    def __init__(self) -> None:
        self.turns_ms: list[float] = []
        self.turns_cpu_ms: list[float] = []
        self._running = False

    def start(self) -> None:
        self.turns_ms, self.turns_cpu_ms = [], []
        self._running = True
        self._last, self._last_cpu = time.perf_counter(), time.thread_time()
        asyncio.get_running_loop().call_soon(self._turn)

    def _turn(self) -> None:
        now, now_cpu = time.perf_counter(), time.thread_time()
        self.turns_ms.append((now - self._last) * 1e3)
        self.turns_cpu_ms.append((now_cpu - self._last_cpu) * 1e3)
        self._last, self._last_cpu = now, now_cpu
        if self._running:
            asyncio.get_running_loop().call_soon(self._turn)

    def stop(self, what: str, took_s: float, steps: int) -> dict[str, Any]:
        self._running = False
        turns, cpu = sorted(self.turns_ms), sorted(self.turns_cpu_ms)
        place = int(0.99 * len(turns))
        return {
            "what": what, "took_s": round(took_s, 2), "steps": steps, "turns": len(turns),
            "turn_ms_p99": round(turns[place], 3), "turn_ms_max": round(turns[-1], 3),
            "cpu_ms_p99": round(cpu[place], 3), "cpu_ms_max": round(cpu[-1], 3),
            "turns_over_2_ms": sum(one > 2.0 for one in turns),
            "cpu_over_2_ms": sum(one > 2.0 for one in cpu),
        }  # fmt: skip


def a_log(routes: int, tenants: int) -> Any:
    from control_server import ROUTE as ROUTES
    from control_server import TENANT, ChangeLog, change

    log = ChangeLog()
    kinds = [
        *((ROUTES, f"r{index:05d}", index) for index in range(routes)),
        *((TENANT, f"tenant-{index:06d}", index) for index in range(tenants)),
    ]
    for first in range(0, len(kinds), 500):
        some = kinds[first : first + 500]
        log.put(*(change(kind, name, content(kind is ROUTES, index)) for kind, name, index in some))
    return log


def snapshot_of(log: Any) -> list[Any]:
    """In parts of 100 resources."""
    parts: list[Any] = log.snapshot(*[100] * ((len(log.state) - 1) // 100))
    return parts


def content(is_route: bool, index: int) -> dict[str, Any]:
    if not is_route:
        return {"per_s": float(10 + index % 5), "in_flight": 20}
    return {
        "match": {"class": ["page"], "path": f"/service-{index % 1000}/v{index // 1000}/*"},
        "timeout": {"total": "900ms"}, "admit": {"in_flight": 50 + index % 7}, "retry": {"attempts": 2},
    }  # fmt: skip


async def hold_rows(routes: int, tenants: int, folder: Path) -> list[dict[str, Any]]:
    from control_server import ROUTE as ROUTES
    from control_server import change
    from harness import NodeHarness, node_context, with_class

    from driftstair.configuration.messages import encode

    log = a_log(routes, tenants)
    parts = [encode(part) for part in snapshot_of(log)]
    probe, rows = Probe(), []
    node = NodeHarness(folder=folder)
    application = node.applier
    await application.load()
    working = asyncio.get_running_loop().create_task(application.run())

    async def feed(lines: list[bytes], revision: int, what: str) -> None:
        steps, began = application.slicer.steps, time.perf_counter()
        probe.start()
        for line in lines:
            while not application.on_watch_line(line):
                await asyncio.sleep(0)
                if application._inbox_bytes < (64 << 10):
                    break
        while application.current.revision != revision:
            await asyncio.sleep(0)
        took_s = time.perf_counter() - began
        rows.append(probe.stop(what, took_s, application.slicer.steps - steps))
        assert not application.current.refusals, next(iter(application.current.refusals.values()))

    await feed(parts, log.state.revision, f"a snapshot of {routes} routes and {tenants} tenants")
    for count in (1, 10, 100, 1_000):
        changes = [
            change(ROUTES, f"r{index:05d}", content(True, index) | {"retry": {"attempts": 3}})
            for index in range(min(count, routes))
        ]
        log.put(*changes)
        base = log.state.revision - 1
        await feed([encode(log.changes(base))], base + 1, f"one set of {len(changes)} changed routes")
    began, steps = time.perf_counter(), application.slicer.steps
    probe.start()
    application.revalidate(node_context(with_class("late")))
    before = application.current
    while application.current is before:
        await asyncio.sleep(0)
    rows.append(probe.stop("SIGHUP", time.perf_counter() - began, application.slicer.steps - steps))
    assert node.store is not None
    await node.store.stop()
    working.cancel()
    again = NodeHarness(folder=folder)
    began = time.perf_counter()
    probe.start()
    await again.applier.load()
    rows.append(probe.stop("a start from disk", time.perf_counter() - began, again.applier.slicer.steps))
    assert again.store is not None
    await again.store.stop()
    return rows


def main() -> int:
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
        request = runner.run(request_rows(options.requests, options.rounds))
        hold = [] if options.no_hold else runner.run(
            hold_rows(options.routes, options.tenants, Path(folder))
        )  # fmt: skip
        memory = [] if options.no_hold else runner.run(memory_rows(options.routes, options.tenants))
    rows = {"request": request, "look_up": look_up_rows(), "hold": hold, "memory": memory}
    if options.json:
        print(json.dumps(rows, indent=1))
        return 0
    for row in (one for each in rows.values() for one in each):
        print(", ".join(f"{key} {value}" for key, value in row.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
