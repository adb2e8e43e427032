"""A cluster of hollow nodes over several worker processes, as a measurement sees it."""

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
from benchmarks.scale.hollow.record import Held
from benchmarks.scale.hollow.record import read as read_records
from benchmarks.scale.worker_process import WorkerProcess

MEMORY_MOST = 10 << 30  # bytes of all workers: under half of a machine of 23 GB
MEMORY_DISK = Path("/dev/shm")
"""Where nodes persist: hundreds of nodes of one machine would wait for each other's syncs on its disk."""
LOOK = 0.5  # s between two looks at the memory, real time


class OutOfMemory(Exception):
    """The workers took more than MEMORY_MOST."""


class Totals(msgspec.Struct, frozen=True):
    """Of all nodes, over some seconds of their clock; rates are a node's mean."""

    seconds: float
    bytes_in: float
    bytes_out: float
    datagrams_in: float
    datagrams_out: float
    worst_second: int  # bytes out, of one node in one second
    worst_mean: float  # bytes out a node, in the worst second of all
    cpu: float  # of a core, a node
    memory: float  # bytes a node beside an empty process
    late: tuple[float, float, float]  # s: median, 99th percentile, worst
    stood_still: int
    suspicions: int
    deaths: int
    unsent: int
    facts: float
    dropped: int
    thrown: dict[str, int]
    held_back: int
    spent: float  # tokens a second of all
    steps: int
    long_steps: int
    longest_step: float  # s


def total(parts: list[orders.Figures], empty: list[int]) -> Totals:
    """`empty`: bytes of each worker before it had nodes."""
    nodes = sum(part.nodes for part in parts)
    seconds = sum(part.seconds for part in parts) / len(parts)
    thrown: Counter[str] = Counter()
    for part in parts:
        thrown.update(part.thrown)

    def rate(of: Iterable[float]) -> float:
        return sum(of) / nodes / seconds

    by_second = zip(*(part.means for part in parts), strict=False)
    weights = [part.nodes / nodes for part in parts]
    means = [sum(a * b for a, b in zip(second, weights, strict=True)) for second in by_second]
    return Totals(
        seconds, rate(part.bytes_in for part in parts), rate(part.bytes_out for part in parts),
        rate(part.datagrams_in for part in parts), rate(part.datagrams_out for part in parts),
        max(part.worst_second for part in parts), max(means, default=0.0), rate(part.cpu for part in parts),
        sum(part.resident - bare for part, bare in zip(parts, empty, strict=True)) / nodes,
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
    """`async with`: workers run from the beginning to the end of the block; `start` starts the nodes."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self._workers: list[WorkerProcess[orders.Answer]] = []
        self._empty: list[int] = []
        self._addresses: list[Address] = []
        self._folder = tempfile.TemporaryDirectory(dir=MEMORY_DISK if MEMORY_DISK.is_dir() else None)

    async def __aenter__(self) -> Cluster:
        try:
            await self._launch()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._end()

    async def _end(self) -> None:
        await asyncio.gather(*(worker.end() for worker in self._workers))
        self._folder.cleanup()

    async def _launch(self) -> None:
        decoder = msgspec.json.Decoder[orders.Answer](orders.Answer)
        for _ in range(self.plan.processes):
            self._workers.append(
                await WorkerProcess.launch(
                    "benchmarks.scale.hollow.worker", str(self.plan.dilation), answers=decoder.decode
                )
            )
        bound = await asyncio.gather(*(
            worker.ask(orders.Prepare(self.plan, index, self._folder.name))
            for index, worker in enumerate(self._workers)
        ))  # fmt: skip
        by_number: dict[int, Address] = {}
        for index, answer in enumerate(bound):
            assert isinstance(answer, orders.Bound)
            self._empty.append(answer.resident)
            by_number.update(zip(self.plan.numbers_of(index), answer.addresses, strict=True))
        self._addresses = [by_number[number] for number in range(self.plan.count)]

    async def _all(self, order: orders.Order) -> list[orders.Answer]:
        return list(await asyncio.gather(*(worker.ask(order) for worker in self._workers)))

    async def _owners(
        self, order: type[orders.Kill | orders.Revive | orders.Restart], some: list[int]
    ) -> int:
        """To those whose nodes are meant; when the last has carried it out, on the nodes' clock."""
        by_worker: dict[int, list[int]] = {}
        for number in some:
            by_worker.setdefault(number % self.plan.processes, []).append(number)
        answers = await asyncio.gather(*(
            self._workers[index].ask(order(numbers)) for index, numbers in by_worker.items()
        ))  # fmt: skip
        return max((answer.at for answer in answers if isinstance(answer, orders.Done)), default=self.now())

    def now(self) -> int:
        """ns, of the nodes' clock."""
        return dilated_ns(self.plan.dilation)

    def resident(self) -> int:
        """Bytes of all workers."""
        return sum(worker.resident() for worker in self._workers)

    async def start(self) -> None:
        """All nodes at once. Raises OutOfMemory."""
        starting = asyncio.ensure_future(self._all(orders.Start(self._addresses)))
        while not starting.done():
            await asyncio.wait((starting,), timeout=LOOK)
            self._check_memory()
        starting.result()
        await self._all(orders.Go())

    def _check_memory(self) -> None:
        if self.resident() > MEMORY_MOST:
            raise OutOfMemory(f"{self.resident() >> 20} MB in {self.plan.processes} processes")

    async def rest(self, seconds: float) -> None:
        """Lets so much of the nodes' time go by. Raises OutOfMemory."""
        end = self.now() + int(seconds * 1e9)
        while (left := (end - self.now()) / 1e9 * self.plan.dilation) > 0:
            await asyncio.sleep(min(left, LOOK * 4))
            self._check_memory()

    async def sample(self) -> Totals:
        """Since the last one."""
        parts = [part for part in await self._all(orders.Sample()) if isinstance(part, orders.Figures)]
        return total(parts, self._empty)

    async def kill(self, numbers: list[int]) -> int:
        return await self._owners(orders.Kill, numbers)

    async def revive(self, numbers: list[int]) -> int:
        return await self._owners(orders.Revive, numbers)

    async def restart(self, numbers: list[int]) -> int:
        return await self._owners(orders.Restart, numbers)

    async def cut(self, regions: bool) -> None:
        await self._all(orders.Cut(regions))

    async def disagreeing(self, gone: Iterable[int] = ()) -> int:
        """Pairs of a node and a member that it holds otherwise than it is."""
        running = sorted(set(range(self.plan.count)) - set(gone))
        answers = await self._all(orders.Disagree(running))
        return sum(one.wrong for one in answers if isinstance(one, orders.Pairs))

    async def agree(self, gone: Iterable[int] = (), within: float = 120.0, look: float = 1.0) -> float | None:
        """s of the nodes' clock until all hold all as they are, to a look; None: not `within` so many."""
        began = self.now()
        while self.now() - began < within * 1e9:
            if await self.disagreeing(gone) == 0:
                return (self.now() - began) / 1e9
            await self.rest(look)
        return None

    async def record(self) -> None:
        """Notes from now on what nodes hold of members."""
        await self._all(orders.Record(True))

    async def records(self) -> Iterator[Held]:
        """What was noted: of each observer in the order of time."""
        await self._all(orders.Record(False))
        files = Path(self._folder.name).glob("records-*")
        return (held for file in files for held in read_records(file))

    def observers(self) -> list[int]:
        """Whose notes are kept."""
        return [number for number in range(self.plan.count) if self.plan.notes(number)]
