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
CHANGES_PER_DAY, SPEED_UP, DAY_S = 1_800, 100, 86_400.0
DURATION_S = 60.0
ROUTES = 100  # in force before the changes begin
RESTARTED_SHARE = 0.01  # share of the watchers, restarted one after the other
EVERYWHERE_TIMEOUT_S = 60.0  # after the last put
# The limit and the target for the time until a change is in force everywhere.
GOAL_S, AIM_S = 14.0, 2.0
# A node may spend so many bytes a second and so many percent of a core on control.
BYTES_PER_S_MAX, CPU_PERCENT_MAX = 3_000.0, 1.1
LATENESS_MAX_S = 0.1  # of a worker's timers, above which the row is marked as late
POLL_INTERVAL_S = 0.5


class Put(NamedTuple):
    """One change set, sent at `sent_ns` and committed `commit_s` seconds later."""

    revision: int
    sent_ns: int
    commit_s: float


class InForce(NamedTuple):
    """From `at_ns` on, a watcher has a revision in force."""

    at_ns: int
    watcher: int
    revision: int


@dataclass(slots=True)
class Delays:
    """Seconds from the put until a change is in force: for each pair of a change and a watcher, and for each
    change until the last watcher has it."""

    pair_delays_s: list[float] = field(default_factory=list)
    change_delays_s: list[float] = field(default_factory=list)
    missing_pairs: int = 0  # pairs that never had the change in force


def compute_delays(puts: Iterable[Put], records: Iterable[InForce], watchers: int) -> Delays:
    """Computes the delays. A watcher with a later revision in force also has the earlier ones in force, as
    revisions are applied in order."""
    records_by_watcher: dict[int, list[InForce]] = {}
    for record in sorted(records):
        records_by_watcher.setdefault(record.watcher, []).append(record)
    delays = Delays()
    for put in puts:
        delays_s = [
            delay_s
            for watcher_records in records_by_watcher.values()
            if (delay_s := _delay_s(watcher_records, put)) is not None
        ]  # fmt: skip
        delays.pair_delays_s += delays_s
        delays.missing_pairs += watchers - len(delays_s)
        if len(delays_s) == watchers:
            delays.change_delays_s.append(max(delays_s))
    delays.pair_delays_s.sort()
    delays.change_delays_s.sort()
    return delays


def _delay_s(records: list[InForce], put: Put) -> float | None:
    first_record = next(
        (record for record in records if record.revision >= put.revision and record.at_ns >= put.sent_ns),
        None,
    )
    return None if first_record is None else (first_record.at_ns - put.sent_ns) / 1e9


def percentile(times: list[float], fraction: float) -> float | None:
    """Returns the time that the given fraction of all times does not exceed, or None if there are none."""
    return round(times[min(len(times) - 1, int(fraction * len(times)))], 3) if times else None


def route_change(number: int, in_flight: int) -> dict[str, Any]:
    """Returns a change of a small route."""
    content = {"match": {"path": f"/service-{number}"}, "admit": {"in_flight": in_flight}}
    return {"kind": "route", "name": f"service-{number}", "content": content}


class WatcherRun:
    """One run with control servers, watchers and changes."""

    def __init__(self, options: argparse.Namespace, folder: Path, servers: ControlServers) -> None:
        self._options = options
        self._folder = folder
        self._servers = servers
        self._random = Random(options.seed)
        self._workers: list[WorkerProcess[orders.Answer]] = []
        self._empty: list[int] = []
        self.puts: list[Put] = []
        self.failed_puts: list[str] = []
        self.restarted = self._random.sample(
            range(options.count), max(1, round(RESTARTED_SHARE * options.count))
        )

    async def start(self) -> None:
        """Starts all watchers and waits until they have the first routes in force."""
        first_changes = [route_change(number, 5) for number in range(self._options.routes)]
        revision, _ = await self._servers.put({"id": "first", "changes": first_changes})
        decode = msgspec.json.Decoder[orders.Answer](orders.Answer).decode
        processes, count = self._options.processes, self._options.count
        for _ in range(processes):
            self._workers.append(
                await WorkerProcess.launch("benchmarks.scale.watched.worker", decode_answer=decode)
            )
        answers = await asyncio.gather(*(
            worker.send(
                orders.Begin(
                    list(range(index, count, processes)), self._servers.addresses, str(self._folder),
                    self.restarted,
                )
            )
            for index, worker in enumerate(self._workers)
        ))  # fmt: skip
        self._empty = [answer.resident for answer in answers if isinstance(answer, orders.Done)]
        await self.wait_until_everywhere(revision, EVERYWHERE_TIMEOUT_S * 2)

    async def end(self) -> None:
        """Ends all workers."""
        await asyncio.gather(*(worker.kill() for worker in self._workers))

    async def sample(self) -> list[orders.Figures]:
        """Returns the figures of each worker since the last sample."""
        answers = await asyncio.gather(*(worker.send(orders.Sample()) for worker in self._workers))
        return [answer for answer in answers if isinstance(answer, orders.Figures)]

    async def wait_until_everywhere(self, revision: int, timeout_s: float) -> bool:
        """Waits until a revision is in force at all watchers; returns whether this happened before the
        timeout."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if min(figures.least for figures in await self.sample()) >= revision:
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def run_changes(self) -> None:
        """Puts changes at their rate, kills a server in the middle, and restarts watchers throughout."""
        changes_per_s = CHANGES_PER_DAY * self._options.times / DAY_S
        began_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._restart())
            if self._options.kill != "none":
                group.create_task(self._kill())
            for number in range(int(changes_per_s * self._options.for_s)):
                await asyncio.sleep(max(0.0, began_s + number / changes_per_s - time.monotonic()))
                group.create_task(self._put(number))

    async def _put(self, number: int) -> None:
        change = route_change(self._random.randrange(self._options.routes), 6 + number)
        sent_ns = time.monotonic_ns()
        try:
            committed = await self._servers.put(
                {"id": f"change-{number}", "changes": [change]}, self._random.randrange(self._servers.count)
            )
        except (TimeoutError, ValueError) as error:
            self.failed_puts.append(str(error))
            return
        self.puts.append(Put(committed[0], sent_ns, committed[1]))

    async def _kill(self) -> None:
        await asyncio.sleep(self._options.for_s / 2)
        leader = await self._servers.leader() or 0
        victim = leader if self._options.kill == "leader" else (leader + 1) % self._servers.count
        await self._servers.kill(victim)

    async def _restart(self) -> None:
        interval_s = self._options.for_s / len(self.restarted)
        for number in self.restarted:
            await asyncio.sleep(interval_s)
            await self._workers[number % self._options.processes].send(orders.Restart(number))

    async def stop_and_collect(self) -> list[InForce]:
        """Stops the workers and returns what they recorded."""
        await asyncio.gather(*(worker.send(orders.Stop()) for worker in self._workers))
        rows = array("q")
        for file in self._folder.glob("notes-*"):
            rows.frombytes(file.read_bytes())
        width = len(InForce._fields)
        return [InForce(*rows[index : index + width]) for index in range(0, len(rows), width)]

    def watcher_memory_mb(self, figures: list[orders.Figures]) -> float:
        """Returns the memory of one watcher in MB, beyond that of empty processes."""
        used_bytes = sum(answer.resident for answer in figures) - sum(self._empty)
        return used_bytes / int(self._options.count) / 1e6


def register(commands: Any) -> None:
    """Adds the subcommand `watchers`."""
    parser: argparse.ArgumentParser = commands.add_parser("watchers", help=__doc__)
    parser.add_argument("--count", type=int, default=WATCHERS, help=f"({WATCHERS})")
    parser.add_argument("--processes", type=int, default=PROCESSES, help=f"of watchers ({PROCESSES})")
    parser.add_argument("--servers", type=int, default=SERVERS, help=f"({SERVERS})")
    parser.add_argument("--routes", type=int, default=ROUTES, help=f"in force before ({ROUTES})")
    parser.add_argument(
        "--times", type=float, default=SPEED_UP, help=f"the day's rate of changes ({SPEED_UP})"
    )
    parser.add_argument("--for", dest="for_s", type=float, default=DURATION_S, metavar="S", help="(60)")
    parser.add_argument("--kill", choices=("none", "leader", "other"), default="leader", help="(leader)")
    parser.add_argument("--seed", type=int, default=1, help="(1)")
    parser.set_defaults(measure=measure)


async def run_once(options: argparse.Namespace) -> Row:
    """Runs the measurement and returns its row."""
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        async with ControlServers(folder, options.servers) as servers:
            run = WatcherRun(options, folder, servers)
            try:
                await run.start()
                await run.sample()
                began_s, usage_before = time.monotonic(), servers.usage()
                await run.run_changes()
                worker_figures = await run.sample()
                elapsed_s, usage = time.monotonic() - began_s, servers.usage()
                last_revision = max((put.revision for put in run.puts), default=0)
                is_everywhere = await run.wait_until_everywhere(last_revision, EVERYWHERE_TIMEOUT_S)
                delays = compute_delays(run.puts, await run.stop_and_collect(), options.count)
            finally:
                await run.end()
    bytes_in = sum(part.bytes_in for part in worker_figures) / options.count / elapsed_s
    bytes_out = sum(part.bytes_out for part in worker_figures) / options.count / elapsed_s
    cpu_percent = 100 * sum(part.cpu for part in worker_figures) / options.count / elapsed_s
    pair_delays_s, change_delays_s = delays.pair_delays_s, delays.change_delays_s
    commit_times_s = sorted(put.commit_s for put in run.puts)
    lateness_s = max(part.late for part in worker_figures)
    figures: dict[str, Figure] = {
        "puts": len(run.puts), "puts_failed": len(run.failed_puts),
        "committed_median_s": percentile(commit_times_s, 0.5),
        "committed_worst_s": percentile(commit_times_s, 1.0),
        "in_force_median_s": percentile(pair_delays_s, 0.5), "in_force_99_s": percentile(pair_delays_s, 0.99),
        "in_force_worst_s": percentile(pair_delays_s, 1.0),
        "everywhere_median_s": percentile(change_delays_s, 0.5),
        "everywhere_99_s": percentile(change_delays_s, 0.99),
        "everywhere_worst_s": percentile(change_delays_s, 1.0),
        "pairs_missing": delays.missing_pairs, "bytes_in_s": round(bytes_in, 1),
        "bytes_out_s": round(bytes_out, 1), "cpu_percent_of_core": round(cpu_percent, 4),
        "memory_mb": round(run.watcher_memory_mb(worker_figures), 3),
        "refused": sum(part.refused for part in worker_figures),
        "late_worst_ms": round(lateness_s * 1e3, 1),
        "longest_step_ms": round(max(part.longest_step for part in worker_figures) * 1e3, 2),
        "servers_cpu_cores": round((usage.cpu_s - usage_before.cpu_s) / elapsed_s, 3),
        "server_memory_mb": round(usage.resident_bytes / 1e6, 1),
    }  # fmt: skip
    conditions: dict[str, Figure] = {
        "watchers": options.count, "processes": options.processes, "servers": options.servers,
        "routes": options.routes, "changes_per_s": round(CHANGES_PER_DAY * options.times / DAY_S, 3),
        "seconds": round(elapsed_s, 1), "killed": options.kill, "restarted": len(run.restarted),
    }  # fmt: skip
    if not is_everywhere or delays.missing_pairs or run.failed_puts:
        note = "; ".join(run.failed_puts[:2]) or "not in force everywhere"
        return Row("watchers", conditions, figures, Status.FAILED, note)
    if lateness_s > LATENESS_MAX_S:
        return Row("watchers", conditions, figures, Status.LATE, f"a loop ran {lateness_s:.2f} s late")
    return Row("watchers", conditions, figures)


def measure(options: argparse.Namespace) -> Iterator[Row]:
    """Yields the row of one run."""
    yield asyncio.run(run_once(options))
