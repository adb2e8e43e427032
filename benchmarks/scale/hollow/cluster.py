"""A cluster of hollow nodes in several worker processes, with its interface for measurements."""

from __future__ import annotations

import asyncio
import tempfile
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path
from statistics import median

import msgspec

from benchmarks.scale.hollow import orders
from benchmarks.scale.hollow.clock import dilated_ns
from benchmarks.scale.hollow.plan import Address, Plan
from benchmarks.scale.hollow.record import MemberObservation
from benchmarks.scale.hollow.record import read_observations as read_records
from benchmarks.scale.worker_process import WorkerProcess

MEMORY_BYTES_MAX = 10 << 30  # of all workers; less than half of a machine with 23 GB
MEMORY_FILE_SYSTEM = Path("/dev/shm")
"""Where nodes persist their files: on a disk, hundreds of nodes would wait for each other's syncs."""
MEMORY_CHECK_INTERVAL_S = 0.5  # in real time


class OutOfMemory(Exception):
    """The workers exceed MEMORY_BYTES_MAX."""


class Totals(msgspec.Struct, frozen=True):
    """Of all nodes, over some seconds of their clock; rates are a node's mean."""

    seconds: float
    bytes_in: float
    bytes_out: float
    datagrams_in: float
    datagrams_out: float
    worst_second: int  # bytes sent by one node in one second
    worst_mean: float  # bytes sent, mean over nodes, in the second with the most
    cpu: float  # share of a core, mean over nodes
    memory: float  # bytes for each node, beyond the memory of empty processes
    late: tuple[float, float, float]  # timer lateness in s: median, 99th percentile, worst
    stood_still: int
    suspicions: int
    deaths: int
    unsent: int
    facts: float
    dropped: int
    thrown: dict[str, int]
    held_back: int
    spent: float  # tokens a second, over all nodes
    steps: int
    long_steps: int
    longest_step: float  # s


def combine_figures(parts: list[orders.Figures], empty: list[int]) -> Totals:
    """Combines the figures of all workers. `empty` holds the bytes of each worker before it had nodes."""
    nodes = sum(part.nodes for part in parts)
    seconds = sum(part.seconds for part in parts) / len(parts)
    thrown: Counter[str] = Counter()
    for part in parts:
        thrown.update(part.thrown)

    def rate(amounts: Iterable[float]) -> float:
        return sum(amounts) / nodes / seconds

    by_second = zip(*(part.means for part in parts), strict=False)
    weights = [part.nodes / nodes for part in parts]
    means = [sum(a * b for a, b in zip(second, weights, strict=True)) for second in by_second]
    return Totals(
        seconds, rate(part.bytes_in for part in parts), rate(part.bytes_out for part in parts),
        rate(part.datagrams_in for part in parts), rate(part.datagrams_out for part in parts),
        max(part.worst_second for part in parts), max(means, default=0.0), rate(part.cpu for part in parts),
        sum(part.resident - empty_bytes for part, empty_bytes in zip(parts, empty, strict=True)) / nodes,
        (
            median(part.late[0] for part in parts), max(part.late[1] for part in parts),
            max(part.late[2] for part in parts),
        ),
        sum(part.stood_still for part in parts), sum(part.suspicions for part in parts),
        sum(part.deaths for part in parts), sum(part.unsent for part in parts),
        sum(part.facts * part.nodes for part in parts) / nodes, sum(part.dropped for part in parts),
        dict(thrown), sum(part.held_back for part in parts),
        sum(part.spent for part in parts) / seconds, sum(part.steps for part in parts),
        sum(part.long_steps for part in parts), max(part.longest_step for part in parts),
    )  # fmt: skip


class Cluster:
    """Runs workers from the beginning to the end of an `async with` block; `start` starts their nodes."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self._workers: list[WorkerProcess[orders.Answer]] = []
        self._empty: list[int] = []
        self._addresses: list[Address] = []
        self._folder = tempfile.TemporaryDirectory(
            dir=MEMORY_FILE_SYSTEM if MEMORY_FILE_SYSTEM.is_dir() else None
        )

    async def __aenter__(self) -> Cluster:
        try:
            await self._launch()
        except BaseException:
            await self._end_workers()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._end_workers()

    async def _end_workers(self) -> None:
        await asyncio.gather(*(worker.kill() for worker in self._workers))
        self._folder.cleanup()

    async def _launch(self) -> None:
        decoder = msgspec.json.Decoder[orders.Answer](orders.Answer)
        for _ in range(self.plan.processes):
            self._workers.append(
                await WorkerProcess.launch(
                    "benchmarks.scale.hollow.worker", str(self.plan.dilation), decode_answer=decoder.decode
                )
            )
        answers = await asyncio.gather(*(
            worker.send(orders.Prepare(self.plan, index, self._folder.name))
            for index, worker in enumerate(self._workers)
        ))  # fmt: skip
        by_number: dict[int, Address] = {}
        for index, answer in enumerate(answers):
            assert isinstance(answer, orders.Bound)
            self._empty.append(answer.resident)
            by_number.update(zip(self.plan.node_numbers(index), answer.addresses, strict=True))
        self._addresses = [by_number[number] for number in range(self.plan.count)]

    async def _send_to_all(self, order: orders.Order) -> list[orders.Answer]:
        return list(await asyncio.gather(*(worker.send(order) for worker in self._workers)))

    async def _send_to_owners(
        self, order: type[orders.Kill | orders.Revive | orders.Restart], node_numbers: list[int]
    ) -> int:
        """Sends an order to the workers that have the given nodes. Returns the time on the nodes' clock at
        which the last worker had carried it out."""
        by_worker: dict[int, list[int]] = {}
        for number in node_numbers:
            by_worker.setdefault(number % self.plan.processes, []).append(number)
        answers = await asyncio.gather(*(
            self._workers[index].send(order(numbers)) for index, numbers in by_worker.items()
        ))  # fmt: skip
        return max(
            (answer.at for answer in answers if isinstance(answer, orders.Done)), default=self.now_ns()
        )

    def now_ns(self) -> int:
        """Returns the time of the nodes' clock."""
        return dilated_ns(self.plan.dilation)

    def resident_bytes(self) -> int:
        """Returns the resident memory of all workers."""
        return sum(worker.resident_bytes() for worker in self._workers)

    async def start(self) -> None:
        """Starts all nodes at once. Raises OutOfMemory."""
        starting = asyncio.ensure_future(self._send_to_all(orders.Start(self._addresses)))
        while not starting.done():
            await asyncio.wait((starting,), timeout=MEMORY_CHECK_INTERVAL_S)
            self._check_memory()
        starting.result()
        await self._send_to_all(orders.Go())

    def _check_memory(self) -> None:
        if self.resident_bytes() > MEMORY_BYTES_MAX:
            raise OutOfMemory(f"{self.resident_bytes() >> 20} MB in {self.plan.processes} processes")

    async def wait(self, seconds: float) -> None:
        """Waits for so many seconds of the nodes' clock. Raises OutOfMemory."""
        end_ns = self.now_ns() + int(seconds * 1e9)
        while (remaining_s := (end_ns - self.now_ns()) / 1e9 * self.plan.dilation) > 0:
            await asyncio.sleep(min(remaining_s, MEMORY_CHECK_INTERVAL_S * 4))
            self._check_memory()

    async def sample(self) -> Totals:
        """Returns the figures of all nodes since the last sample."""
        parts = [
            part for part in await self._send_to_all(orders.Sample()) if isinstance(part, orders.Figures)
        ]
        return combine_figures(parts, self._empty)

    async def kill(self, numbers: list[int]) -> int:
        """Makes nodes crash; returns the time on the nodes' clock."""
        return await self._send_to_owners(orders.Kill, numbers)

    async def revive(self, numbers: list[int]) -> int:
        """Starts crashed nodes again; returns the time on the nodes' clock."""
        return await self._send_to_owners(orders.Revive, numbers)

    async def restart(self, numbers: list[int]) -> int:
        """Begins planned restarts of nodes; returns the time on the nodes' clock."""
        return await self._send_to_owners(orders.Restart, numbers)

    async def set_region_cut(self, is_cut: bool) -> None:
        """Begins or ends the loss of all datagrams between regions."""
        await self._send_to_all(orders.Cut(is_cut))

    async def count_disagreements(self, gone: Iterable[int] = ()) -> int:
        """Returns the number of pairs of a node and a member of which the node has a wrong view; nodes in
        `gone` have ended."""
        running = sorted(set(range(self.plan.count)) - set(gone))
        answers = await self._send_to_all(orders.Disagree(running))
        return sum(answer.wrong for answer in answers if isinstance(answer, orders.Pairs))

    async def wait_until_agreed(
        self, gone: Iterable[int] = (), timeout_s: float = 120.0, poll_interval_s: float = 1.0
    ) -> float | None:
        """Waits until all nodes have a correct view of all members. Returns the seconds on the nodes' clock,
        with the precision of the poll interval, or None after the timeout."""
        began_ns = self.now_ns()
        while self.now_ns() - began_ns < timeout_s * 1e9:
            if await self.count_disagreements(gone) == 0:
                return (self.now_ns() - began_ns) / 1e9
            await self.wait(poll_interval_s)
        return None

    async def start_recording(self) -> None:
        """Starts recording the nodes' observations of members."""
        await self._send_to_all(orders.Record(True))

    async def stop_recording(self) -> Iterator[MemberObservation]:
        """Stops recording; returns the observations, which are ordered by time for each observer."""
        return await self._collect_observations(orders.Record(False))

    async def read_recording(self) -> Iterator[MemberObservation]:
        """Returns the observations since the last call and goes on recording, without a gap."""
        return await self._collect_observations(orders.Record(True))

    async def _collect_observations(self, order: orders.Record) -> Iterator[MemberObservation]:
        """Sends an order that has each worker write what it has recorded; returns what was written."""
        await self._send_to_all(order)
        files = Path(self._folder.name).glob("records-*")
        return (observation for file in files for observation in read_records(file))

    def recorded_nodes(self) -> list[int]:
        """Returns the numbers of the nodes whose observations are recorded."""
        return [number for number in range(self.plan.count) if self.plan.is_recorded(number)]
