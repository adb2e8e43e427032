"""What configuration by the change costs a node: a request with [control] on, and the loop while it applies.

    python benchmarks/node_configuration.py [--requests N] [--rounds N] [--routes N] [--tenants N] [--json]

`request`: CPU of a request of the daemon without a service file, with one route in its file, and with the
same route from a control server; rounds alternate, so that the ratio says more than each figure. `hold`: how
long single turns of the loop last in this process while a snapshot of so many routes and tenants is taken in
and proved, while change sets of several sizes are, and while a file of that state is read; a probe asks for
each turn. Loopback only. Not part of CI.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import uvloop
from request import HERE, one_round

sys.path.insert(0, str(HERE))
sys.path.insert(0, str(HERE / "tests"))
sys.path.insert(0, str(HERE / "tests" / "node_configuration"))

ROUTE = {"match": {"class": ["page"]}, "timeout": {"total": "900ms"}, "admit": {"in_flight": 400}}
ROUTE_OF_THE_FILE = (
    '[[route]]\nname = "pages"\nmatch = { class = "page" }\ntimeout = { total = "900ms" }\n'
    "admit = { in_flight = 400 }\n"
)


class ControlInAThread:
    """A scripted control server on a loop of its own: it costs the daemon's process nothing."""

    def __init__(self) -> None:
        self.address = ""
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait()

    def _run(self) -> None:
        from control_server import ROUTE as KIND
        from control_server import ControlServer, Log, change

        async def serve() -> None:
            log = Log()
            log.put(change(KIND, "pages", ROUTE))
            server = ControlServer()
            await server.listen()
            server.begin = [log.changes(), log.freshness()]
            self.address = server.address
            self._ready.set()
            while True:
                await asyncio.sleep(2.0)
                if server._watches:
                    server.say_bytes(b"\n")

        self._loop.run_until_complete(serve())


def request_rows(requests: int, rounds: int) -> list[dict[str, Any]]:
    control = ControlInAThread()
    with tempfile.TemporaryDirectory() as folder:
        texts = {
            "no service file": "",
            "one route of the file": "version = 1\n" + ROUTE_OF_THE_FILE,
            "the same route from control": f'version = 1\n[control]\nservers = ["{control.address}"]\n',
        }
        files = {}
        for number, (name, text) in enumerate(texts.items()):
            path = Path(folder, f"{number}.toml")
            path.write_text(text)
            files[name] = str(path) if text else ""
        found: dict[str, list[dict[str, float]]] = {name: [] for name in texts}
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            for _ in range(rounds):
                for name, file in files.items():
                    found[name].append(runner.run(one_round(HERE, requests, 64, file)))
    rows = []
    for name, each in found.items():
        cpu = [one["cpu_us"] for one in each]
        rows.append({
            "what": name, "cpu_us_least": round(min(cpu), 1),
            "cpu_us_median": round(statistics.median(cpu), 1), "served": min(one["served"] for one in each),
            "rss_mb": round(max(one["rss_mb"] for one in each), 1),
        })  # fmt: skip
    for key in ("least", "median"):
        for row in rows:
            row[f"ratio_{key}"] = round(row[f"cpu_us_{key}"] / rows[1][f"cpu_us_{key}"], 4)
    return rows


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
    from control_server import TENANT, Log, change

    log = Log()
    kinds = [
        *((ROUTES, f"r{index:05d}", index) for index in range(routes)),
        *((TENANT, f"tenant-{index:06d}", index) for index in range(tenants)),
    ]
    for first in range(0, len(kinds), 500):
        some = kinds[first : first + 500]
        log.put(*(change(kind, name, content(kind is ROUTES, index)) for kind, name, index in some))
    return log


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
    from harness import Harness, given, with_class

    from driftstair.configuration.messages import encode

    log = a_log(routes, tenants)
    size = len(log.state)
    parts = [encode(part) for part in log.snapshot(*[100] * ((size - 1) // 100))]
    probe, rows = Probe(), []
    node = Harness(folder=folder)
    application = node.application
    await application.load()
    working = asyncio.get_running_loop().create_task(application.run())

    async def feed(lines: list[bytes], revision: int, what: str) -> None:
        steps, began = application.slices.steps, time.perf_counter()
        probe.start()
        for line in lines:
            while not application.on_watch_line(line):
                await asyncio.sleep(0)
                if application._inbox_bytes < (64 << 10):
                    break
        while application.current.revision != revision:
            await asyncio.sleep(0)
        took_s = time.perf_counter() - began
        rows.append(probe.stop(what, took_s, application.slices.steps - steps))
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
    began, steps = time.perf_counter(), application.slices.steps
    probe.start()
    application.judge_anew(given(with_class("late")))
    before = application.current
    while application.current is before:
        await asyncio.sleep(0)
    rows.append(probe.stop("SIGHUP", time.perf_counter() - began, application.slices.steps - steps))
    assert node.store is not None
    await node.store.stop()
    working.cancel()
    again = Harness(folder=folder)
    began = time.perf_counter()
    probe.start()
    await again.application.load()
    rows.append(probe.stop("a start from disk", time.perf_counter() - began, again.application.slices.steps))
    assert again.store is not None
    await again.store.stop()
    return rows


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--routes", type=int, default=21_000)
    parser.add_argument("--tenants", type=int, default=220_000)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, asyncio.Runner(
        loop_factory=uvloop.new_event_loop
    ) as runner:  # fmt: skip
        hold = runner.run(hold_rows(options.routes, options.tenants, Path(folder)))
    rows = {"request": request_rows(options.requests, options.rounds), "hold": hold}
    if options.json:
        print(json.dumps(rows, indent=1))
        return 0
    for row in (*rows["request"], *rows["hold"]):
        print(", ".join(f"{key} {value}" for key, value in row.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
