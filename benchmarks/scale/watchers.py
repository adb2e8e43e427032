"""`watchers`: changes played before hollow watchers and real control servers: until in force everywhere."""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from array import array
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec

from benchmarks.scale.control_servers import ControlServers
from benchmarks.scale.rows import Figure, Row, Status
from benchmarks.scale.watched import orders
from benchmarks.scale.worker_process import WorkerProcess

WATCHERS, PROCESSES, SERVERS = 3_100, 8, 7
CHANGES_A_DAY, TIMES, DAY = 1_800, 100, 86_400.0
SECONDS = 60.0
ROUTES = 100  # in force before the changes begin
RESTARTED = 0.01  # of the watchers, one after the other
EVERYWHERE_WITHIN = 60.0  # s after the last put
GOAL_S, AIM_S = 14.0, 2.0
BYTES_MOST, CPU_MOST = 3_000.0, 1.1  # a second, and percent of a core, that a node may spend on control
LATE_MOST = 0.1  # s that a worker's timers may come late before the row is marked
LOOK = 0.5  # s


class Put(NamedTuple):
    """One change set: asked for at `at` (ns), answered `committed` s later."""

    revision: int
    at: int
    committed: float


class InForce(NamedTuple):
    """A watcher has a revision in force from then on (ns)."""

    at: int
    watcher: int
    revision: int


@dataclass(slots=True)
class Spread:
    """s from the put: of each pair of a change and a watcher, and of each change until the last watcher."""

    pairs: list[float] = field(default_factory=list)
    everywhere: list[float] = field(default_factory=list)
    missing: int = 0  # pairs


def spread(puts: Iterable[Put], notes: Iterable[InForce], watchers: int) -> Spread:
    """A later revision in force has the earlier ones in force too, as they are applied in order."""
    by_watcher: dict[int, list[InForce]] = {}
    for note in sorted(notes):
        by_watcher.setdefault(note.watcher, []).append(note)
    out = Spread()
    for put in puts:
        times = [
            time
            for rows in by_watcher.values()
            if (time := _first(rows, put)) is not None
        ]  # fmt: skip
        out.pairs += times
        out.missing += watchers - len(times)
        if len(times) == watchers:
            out.everywhere.append(max(times))
    out.pairs.sort()
    out.everywhere.sort()
    return out


def _first(rows: list[InForce], put: Put) -> float | None:
    found = next((row for row in rows if row.revision >= put.revision and row.at >= put.at), None)
    return None if found is None else (found.at - put.at) / 1e9


def part(times: list[float], of: float) -> float | None:
    """The time by which so many of all had it."""
    return round(times[min(len(times) - 1, int(of * len(times)))], 3) if times else None


def route(number: int, in_flight: int) -> dict[str, Any]:
    """A change of a small route."""
    content = {"match": {"path": f"/service-{number}"}, "admit": {"in_flight": in_flight}}
    return {"kind": "route", "name": f"service-{number}", "content": content}


class Run:
    """One run: servers, watchers and the changes put."""

    def __init__(self, found: argparse.Namespace, folder: Path, servers: ControlServers) -> None:
        self._found = found
        self._folder = folder
        self._servers = servers
        self._random = Random(found.seed)
        self._workers: list[WorkerProcess[orders.Answer]] = []
        self._empty: list[int] = []
        self.puts: list[Put] = []
        self.failed_puts: list[str] = []
        self.restarted = self._random.sample(range(found.count), max(1, round(RESTARTED * found.count)))

    async def start(self) -> None:
        """All watchers run and have the first routes in force."""
        first = [route(number, 5) for number in range(self._found.routes)]
        revision, _ = await self._servers.put({"id": "first", "changes": first})
        decode = msgspec.json.Decoder[orders.Answer](orders.Answer).decode
        processes, count = self._found.processes, self._found.count
        for _ in range(processes):
            self._workers.append(
                await WorkerProcess.launch("benchmarks.scale.watched.worker", answers=decode)
            )
        answers = await asyncio.gather(*(
            worker.ask(
                orders.Begin(
                    list(range(index, count, processes)), self._servers.addresses, str(self._folder),
                    self.restarted,
                )
            )
            for index, worker in enumerate(self._workers)
        ))  # fmt: skip
        self._empty = [one.resident for one in answers if isinstance(one, orders.Done)]
        await self.everywhere(revision, EVERYWHERE_WITHIN * 2)

    async def end(self) -> None:
        await asyncio.gather(*(worker.end() for worker in self._workers))

    async def sample(self) -> list[orders.Figures]:
        answers = await asyncio.gather(*(worker.ask(orders.Sample()) for worker in self._workers))
        return [one for one in answers if isinstance(one, orders.Figures)]

    async def everywhere(self, revision: int, within: float) -> bool:
        """Whether it is in force at all watchers in time."""
        ends = time.monotonic() + within
        while time.monotonic() < ends:
            if min(one.least for one in await self.sample()) >= revision:
                return True
            await asyncio.sleep(LOOK)
        return False

    async def play(self) -> None:
        """The changes at their rate, a server killed in the middle, watchers restarted all along."""
        rate = CHANGES_A_DAY * self._found.times / DAY
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._restart())
            if self._found.kill != "none":
                group.create_task(self._kill())
            for number in range(int(rate * self._found.for_s)):
                await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
                group.create_task(self._put(number))

    async def _put(self, number: int) -> None:
        changed = route(self._random.randrange(self._found.routes), 6 + number)
        at = time.monotonic_ns()
        try:
            found = await self._servers.put(
                {"id": f"change-{number}", "changes": [changed]}, self._random.randrange(self._servers.count)
            )
        except (TimeoutError, ValueError) as problem:
            self.failed_puts.append(str(problem))
            return
        self.puts.append(Put(found[0], at, found[1]))

    async def _kill(self) -> None:
        await asyncio.sleep(self._found.for_s / 2)
        leader = await self._servers.leader() or 0
        victim = leader if self._found.kill == "leader" else (leader + 1) % self._servers.count
        await self._servers.kill(victim)

    async def _restart(self) -> None:
        pause = self._found.for_s / len(self.restarted)
        for number in self.restarted:
            await asyncio.sleep(pause)
            await self._workers[number % self._found.processes].ask(orders.Restart(number))

    async def notes(self) -> list[InForce]:
        await asyncio.gather(*(worker.ask(orders.Stop()) for worker in self._workers))
        rows = array("q")
        for file in self._folder.glob("notes-*"):
            rows.frombytes(file.read_bytes())
        width = len(InForce._fields)
        return [InForce(*rows[index : index + width]) for index in range(0, len(rows), width)]

    def memory(self, parts: list[orders.Figures]) -> float:
        """MB a watcher, beside an empty process."""
        spent = sum(one.resident for one in parts) - sum(self._empty)
        return spent / int(self._found.count) / 1e6


def register(commands: Any) -> None:
    parser: argparse.ArgumentParser = commands.add_parser("watchers", help=__doc__)
    parser.add_argument("--count", type=int, default=WATCHERS, help=f"({WATCHERS})")
    parser.add_argument("--processes", type=int, default=PROCESSES, help=f"of watchers ({PROCESSES})")
    parser.add_argument("--servers", type=int, default=SERVERS, help=f"({SERVERS})")
    parser.add_argument("--routes", type=int, default=ROUTES, help=f"in force before ({ROUTES})")
    parser.add_argument("--times", type=float, default=TIMES, help=f"the day's rate of changes ({TIMES})")
    parser.add_argument("--for", dest="for_s", type=float, default=SECONDS, metavar="S", help="(60)")
    parser.add_argument("--kill", choices=("none", "leader", "other"), default="leader", help="(leader)")
    parser.add_argument("--seed", type=int, default=1, help="(1)")
    parser.set_defaults(measure=measure)


async def one_run(found: argparse.Namespace) -> Row:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        async with ControlServers(folder, found.servers) as servers:
            run = Run(found, folder, servers)
            try:
                await run.start()
                await run.sample()
                began, before = time.monotonic(), servers.usage()
                await run.play()
                parts = await run.sample()
                passed, usage = time.monotonic() - began, servers.usage()
                last = max((put.revision for put in run.puts), default=0)
                there = await run.everywhere(last, EVERYWHERE_WITHIN)
                found_spread = spread(run.puts, await run.notes(), found.count)
            finally:
                await run.end()
    bytes_in = sum(one.bytes_in for one in parts) / found.count / passed
    bytes_out = sum(one.bytes_out for one in parts) / found.count / passed
    cpu = 100 * sum(one.cpu for one in parts) / found.count / passed
    times, everywhere = found_spread.pairs, found_spread.everywhere
    commits = sorted(put.committed for put in run.puts)
    late = max(one.late for one in parts)
    figures: dict[str, Figure] = {
        "puts": len(run.puts), "puts_failed": len(run.failed_puts),
        "committed_median_s": part(commits, 0.5), "committed_worst_s": part(commits, 1.0),
        "in_force_median_s": part(times, 0.5), "in_force_99_s": part(times, 0.99),
        "in_force_worst_s": part(times, 1.0), "everywhere_median_s": part(everywhere, 0.5),
        "everywhere_99_s": part(everywhere, 0.99), "everywhere_worst_s": part(everywhere, 1.0),
        "pairs_missing": found_spread.missing, "bytes_in_s": round(bytes_in, 1),
        "bytes_out_s": round(bytes_out, 1), "cpu_percent_of_core": round(cpu, 4),
        "memory_mb": round(run.memory(parts), 3), "refused": sum(one.refused for one in parts),
        "late_worst_ms": round(late * 1e3, 1),
        "longest_step_ms": round(max(one.longest_step for one in parts) * 1e3, 2),
        "servers_cpu_cores": round((usage.cpu - before.cpu) / passed, 3),
        "server_memory_mb": round(usage.resident / 1e6, 1),
    }  # fmt: skip
    conditions: dict[str, Figure] = {
        "watchers": found.count, "processes": found.processes, "servers": found.servers,
        "routes": found.routes, "changes_per_s": round(CHANGES_A_DAY * found.times / DAY, 3),
        "seconds": round(passed, 1), "killed": found.kill, "restarted": len(run.restarted),
    }  # fmt: skip
    if not there or found_spread.missing or run.failed_puts:
        note = "; ".join(run.failed_puts[:2]) or "not in force everywhere"
        return Row("watchers", conditions, figures, Status.FAILED, note)
    if late > LATE_MOST:
        return Row("watchers", conditions, figures, Status.LATE, f"a loop ran {late:.2f} s late")
    return Row("watchers", conditions, figures)


def measure(found: argparse.Namespace) -> Iterator[Row]:
    yield asyncio.run(one_run(found))
