"""One process of hollow nodes: carries out orders from its standard input, and keeps its nodes busy.

python -m benchmarks.scale.hollow.worker DILATION
"""

from __future__ import annotations

import asyncio
import gc
import logging
import resource
import socket
import sys
import time
from collections import Counter
from pathlib import Path

import msgspec

from benchmarks.scale.hollow import orders
from benchmarks.scale.hollow.clock import dilated_ns, loop_factory
from benchmarks.scale.hollow.node import FEEDS_PER_S, HollowNode, base_config, write_member_list
from benchmarks.scale.hollow.plan import FAILING, Address, Plan, host_of
from benchmarks.scale.hollow.record import Records
from benchmarks.scale.hollow.steps import Steps
from benchmarks.scale.hollow.system import Links
from driftstair.tier.membership.members import Member, State

LINE_MOST = 16 << 20  # bytes of an order
TICK = 0.05  # s of the nodes' clock
TICKS_PER_S = round(1 / TICK)
START_SPREAD = 1.0  # s over which the nodes' clocks begin to run
LEAVING = 1.0  # s between the word of a planned end and the end: a drain
DOWN = 1.0  # s until the next process of the node starts


def resident() -> int:
    """Bytes of this process in memory now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def is_held_right(member: Member, runs: bool) -> bool:
    """Whether a node holds a member as it is."""
    if runs:
        return member.state is State.ALIVE
    return member.state in (State.DEAD, State.LEFT)


class Traffic:
    """Bytes that nodes sent, second by second."""

    def __init__(self) -> None:
        self.worst = 0  # of one node in one second
        self.means: list[float] = []
        self._before: list[int] = []

    def take(self, sent: list[int]) -> None:
        """Bytes out of each node so far; to be called once a second."""
        if self._before:
            spent = [now - before for now, before in zip(sent, self._before, strict=True)]
            self.worst = max(self.worst, *spent)
            self.means.append(sum(spent) / len(spent))
        self._before = sent

    def begin_anew(self) -> None:
        self.worst, self.means = 0, []


class Worker:
    """The nodes of one process."""

    def __init__(self, plan: Plan, worker: int, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._records = Records()
        self._record_file = folder / f"records-{worker}"
        self._links = Links()
        self._steps = Steps()
        self._addresses: list[Address] = []
        self.nodes = [
            HollowNode(number, plan, folder, self._links, self._records, self._steps)
            for number in plan.numbers_of(worker)
        ]  # fmt: skip
        self._by_number = {node.number: node for node in self.nodes}
        self._tasks: set[asyncio.Task[None]] = set()
        self._traffic = Traffic()
        self._late: list[float] = []
        self._began = time.monotonic()
        self._cpu = time.process_time()
        self._before = self._totals()

    def bind(self) -> list[socket.socket]:
        """Holds a port for each node until it starts: two that ask one after the other may get the same."""
        held = []
        for node in self.nodes:
            one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            one.bind((host_of(node.number), 0))
            held.append(one)
        return held

    # Orders.

    def start(self, held: list[socket.socket], addresses: list[Address]) -> None:
        """`held`: what has a node's port until now."""
        self._addresses = addresses
        self._links.numbers = {(one.host, one.port): number for number, one in enumerate(addresses)}
        logging.disable(logging.INFO)  # a line for each member of a list that is known anyway
        for node, own in zip(self.nodes, held, strict=True):
            if self._plan.persisted:
                write_member_list(node.member_list(), self._plan, node.number)
            own.close()
            node.start(addresses, held=True)
            node.member_list().unlink(missing_ok=True)
        logging.disable(logging.NOTSET)
        gc.collect()
        gc.freeze()  # as the daemon does once it serves

    def go(self) -> None:
        loop = asyncio.get_running_loop()
        for index, node in enumerate(self.nodes):
            loop.call_later(START_SPREAD * index / len(self.nodes), node.release)
        self._spawn(self._tick())

    async def kill(self, numbers: list[int]) -> None:
        await asyncio.gather(*(self._by_number[number].kill() for number in numbers))

    def revive(self, numbers: list[int]) -> None:
        for number in numbers:
            self._by_number[number].start(self._addresses)

    def restart(self, numbers: list[int]) -> None:
        for number in numbers:
            self._spawn(self._restart(self._by_number[number]))

    async def _restart(self, node: HollowNode) -> None:
        node.leave()
        await asyncio.sleep(LEAVING)
        await node.close()
        await asyncio.sleep(DOWN)
        node.start(self._addresses)

    def cut(self, regions: bool) -> None:
        self._links.regions_cut = regions

    def record(self, on: bool) -> None:
        if self._records.is_on:
            self._records.write(self._record_file)
        self._records.is_on = on

    def disagree(self, running: list[int]) -> orders.Pairs:
        up, wrong, looked_at = set(running), 0, 0
        for node in self.nodes:
            if node.tier is not None:
                members = node.tier.core.members
                looked_at += len(members)
                wrong += sum(not is_held_right(one, number in up) for number, one in members.items())
        return orders.Pairs(wrong, looked_at)

    def sample(self) -> orders.Figures:
        now, cpu, totals = time.monotonic(), time.process_time(), self._totals()
        seconds = (now - self._began) / self._plan.dilation
        spent = totals - self._before
        late = sorted(self._late) or [0.0]
        running = [node.tier for node in self.nodes if node.tier is not None]
        shared = [tier.sharing.core for tier in running if tier.sharing is not None]
        judges = [core.outlier_detector for core in shared if core.outlier_detector is not None]
        thrown: Counter[str] = Counter()
        for tier in running:
            thrown.update(tier._dropped)
        for core in shared:
            thrown.update({f"shared_{why}": number for why, number in core.discarded.items()})
        out = orders.Figures(
            nodes=len(self.nodes), seconds=seconds, cpu=cpu - self._cpu, resident=resident(),
            bytes_in=spent["bytes_in"], bytes_out=spent["bytes_out"], datagrams_in=spent["datagrams_in"],
            datagrams_out=spent["datagrams_out"], worst_second=self._traffic.worst,
            means=self._traffic.means, late=[late[len(late) // 2], late[len(late) * 99 // 100], late[-1]],
            stood_still=self._records.stood_still, suspicions=self._records.suspicions,
            deaths=self._records.deaths, unsent=spent["unsent"],
            facts=sum(len(one._facts) for one in judges) / max(1, len(judges)),
            dropped=sum(one._facts.dropped for one in judges),
            thrown={why: number for why, number in thrown.items() if number},
            held_back=sum(FAILING in one.out for one in judges), spent=spent["tokens"],
            steps=self._steps.count, long_steps=self._steps.long, longest_step=self._steps.longest / 1e9,
        )  # fmt: skip
        self._begin_anew()
        return out

    def _begin_anew(self) -> None:
        self._traffic.begin_anew()
        self._late.clear()
        self._steps.begin_anew()
        self._records.stood_still = self._records.suspicions = self._records.deaths = 0
        self._began, self._cpu, self._before = time.monotonic(), time.process_time(), self._totals()

    def _totals(self) -> Counter[str]:
        out: Counter[str] = Counter()
        for node in self.nodes:
            meter = node.meter()
            out.update(
                bytes_in=meter.bytes_in, bytes_out=meter.bytes_out, datagrams_in=meter.datagrams_in,
                datagrams_out=meter.datagrams_out, unsent=meter.unsent, tokens=node.spent,
            )  # fmt: skip
        return out

    # Time.

    def _spawn(self, what: asyncio._CoroutineLike[None]) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            print(f"a worker's task failed: {problem!r}", file=sys.stderr, flush=True)

    async def _tick(self) -> None:
        """Feeds a part of the nodes at each tick, and looks at traffic and lateness."""
        turns = TICKS_PER_S // FEEDS_PER_S
        count = 0
        while True:
            wanted = dilated_ns(self._plan.dilation) / 1e9 + TICK
            await asyncio.sleep(TICK)
            self._late.append(dilated_ns(self._plan.dilation) / 1e9 - wanted)
            for node in self.nodes[count % turns :: turns]:
                node.feed()
            count += 1
            if count % TICKS_PER_S == 0:
                self._traffic.take([node.meter().bytes_out for node in self.nodes])

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(node.kill() for node in self.nodes if node.runs()))


async def carry_out(worker: Worker, order: orders.Order, dilation: float) -> orders.Answer:
    """Any order to nodes that run."""
    match order:
        case orders.Go():
            worker.go()
        case orders.Kill(numbers):
            await worker.kill(numbers)
        case orders.Revive(numbers):
            worker.revive(numbers)
        case orders.Restart(numbers):
            worker.restart(numbers)
        case orders.Cut(regions):
            worker.cut(regions)
        case orders.Record(on):
            worker.record(on)
        case orders.Disagree(running):
            return worker.disagree(running)
        case orders.Sample():
            return worker.sample()
    return orders.Done(dilated_ns(dilation))


def _say(answer: orders.Answer) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
    sys.stdout.buffer.flush()


async def serve(dilation: float) -> None:
    """Until the last order, or the end of the input."""
    reader = asyncio.StreamReader(limit=LINE_MOST)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    decode = msgspec.json.Decoder[orders.Order](orders.Order).decode
    first = decode(await reader.readline())
    assert isinstance(first, orders.Prepare)
    base_config()  # made once in a process, and so not a node's own
    before = resident()
    worker = Worker(first.plan, first.worker, Path(first.folder))
    held = worker.bind()
    _say(orders.Bound([Address(*one.getsockname()) for one in held], before))
    while line := await reader.readline():
        order = decode(line)
        if isinstance(order, orders.Stop):
            break
        if isinstance(order, orders.Start):
            worker.start(held, order.addresses)
            _say(orders.Done(dilated_ns(dilation)))
        else:
            _say(await carry_out(worker, order, dilation))
    await worker.close()


def main() -> None:
    dilation = float(sys.argv[1])
    # The daemon's lines, formatted as there; where they go nobody reads them.
    logging.basicConfig(
        stream=open("/dev/null", "w"), level=logging.INFO,  # noqa: SIM115
        format="%(levelname)s %(name)s: %(message)s",
    )  # fmt: skip
    with asyncio.Runner(loop_factory=loop_factory(dilation)) as runner:
        runner.run(serve(dilation))


if __name__ == "__main__":
    main()
