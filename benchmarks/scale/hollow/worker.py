"""A process with hollow nodes, which carries out orders from standard input and feeds its nodes outcomes and
demand.

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
from benchmarks.scale.hollow.plan import FAILING_SERVER, Address, Plan, host_of
from benchmarks.scale.hollow.record import Records
from benchmarks.scale.hollow.steps import StepTimes
from benchmarks.scale.hollow.system import Network
from driftstair.tier.membership.members import Member, State

LINE_BYTES_MAX = 16 << 20  # one order
TICK_S = 0.05  # on the nodes' clock
TICKS_PER_S = round(1 / TICK_S)
START_SPREAD_S = 1.0  # over which the starts of the nodes' clocks are spread
DRAIN_S = 1.0  # between the announcement of a planned end and the end
RESTART_DELAY_S = 1.0  # until the next process of a restarted node starts


def resident_bytes() -> int:
    """Returns the current resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def is_view_correct(member: Member, runs: bool) -> bool:
    """Whether a node's view of a member is correct. `runs` says whether the member runs."""
    if runs:
        return member.state is State.ALIVE
    return member.state in (State.DEAD, State.LEFT)


class Traffic:
    """The bytes that nodes send in each second."""

    def __init__(self) -> None:
        self.worst_bytes = 0  # of one node in one second
        self.means: list[float] = []
        self._before: list[int] = []

    def add_second(self, sent_bytes: list[int]) -> None:
        """Adds one second, given the bytes that each node has sent so far. Has to be called once a second."""
        if self._before:
            second_bytes = [after - before for after, before in zip(sent_bytes, self._before, strict=True)]
            self.worst_bytes = max(self.worst_bytes, *second_bytes)
            self.means.append(sum(second_bytes) / len(second_bytes))
        self._before = sent_bytes

    def reset(self) -> None:
        """Starts a new sample."""
        self.worst_bytes, self.means = 0, []


class Worker:
    """The hollow nodes of this process."""

    def __init__(self, plan: Plan, worker: int, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._records = Records()
        self._record_file = folder / f"records-{worker}"
        self._network = Network()
        self._steps = StepTimes()
        self._addresses: list[Address] = []
        self.nodes = [
            HollowNode(number, plan, folder, self._network, self._records, self._steps)
            for number in plan.node_numbers(worker)
        ]  # fmt: skip
        self._by_number = {node.number: node for node in self.nodes}
        self._tasks: set[asyncio.Task[None]] = set()
        self._traffic = Traffic()
        self._lateness_s: list[float] = []
        self._began_s = time.monotonic()
        self._cpu_s = time.process_time()
        self._before = self._totals()

    def reserve_ports(self) -> list[socket.socket]:
        """Reserves a port for each node until it starts; without that the system could give two nodes the
        same port."""
        reserved = []
        for node in self.nodes:
            reserved_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            reserved_socket.bind((host_of(node.number), 0))
            reserved.append(reserved_socket)
        return reserved

    # The methods up to `sample` carry out one order each.

    def start(self, reserved: list[socket.socket], addresses: list[Address]) -> None:
        """Starts all nodes with stopped clocks. `reserved` holds the sockets that reserve their ports."""
        self._addresses = addresses
        self._network.numbers = {
            (address.host, address.port): number for number, address in enumerate(addresses)
        }
        logging.disable(logging.INFO)  # suppresses a line for each member of the initial list
        for node, reserved_socket in zip(self.nodes, reserved, strict=True):
            if self._plan.persisted:
                write_member_list(node.member_list_path(), self._plan, node.number)
            reserved_socket.close()
            node.start(addresses, clock_stopped=True)
            node.member_list_path().unlink(missing_ok=True)
        logging.disable(logging.NOTSET)
        gc.collect()
        gc.freeze()  # as the daemon does when it begins to serve

    def start_clocks(self) -> None:
        """Starts the nodes' clocks, spread over START_SPREAD_S, and the feeding of nodes."""
        loop = asyncio.get_running_loop()
        for index, node in enumerate(self.nodes):
            loop.call_later(START_SPREAD_S * index / len(self.nodes), node.start_clock)
        self._spawn(self._tick())

    async def kill(self, numbers: list[int]) -> None:
        """Makes nodes crash."""
        await asyncio.gather(*(self._by_number[number].kill() for number in numbers))

    def revive(self, numbers: list[int]) -> None:
        """Starts crashed nodes again."""
        for number in numbers:
            self._by_number[number].start(self._addresses)

    def restart(self, numbers: list[int]) -> None:
        """Begins planned restarts of nodes."""
        for number in numbers:
            self._spawn(self._restart(self._by_number[number]))

    async def _restart(self, node: HollowNode) -> None:
        node.leave()
        await asyncio.sleep(DRAIN_S)
        await node.close()
        await asyncio.sleep(RESTART_DELAY_S)
        node.start(self._addresses)

    def set_region_cut(self, is_cut: bool) -> None:
        """Begins or ends the loss of all datagrams between regions."""
        self._network.are_regions_cut = is_cut

    def record(self, is_on: bool) -> None:
        """Starts recording observations, or writes those recorded so far."""
        if self._records.is_recording:
            self._records.write(self._record_file)
        self._records.is_recording = is_on

    def count_disagreements(self, running: list[int]) -> orders.Pairs:
        """Counts the pairs of a node and a member of which the node has a wrong view."""
        running_numbers, wrong, looked_at = set(running), 0, 0
        for node in self.nodes:
            if node.tier is not None:
                members = node.tier.core.members
                looked_at += len(members)
                wrong += sum(
                    not is_view_correct(member, number in running_numbers)
                    for number, member in members.items()
                )
        return orders.Pairs(wrong, looked_at)

    def sample(self) -> orders.Figures:
        """Returns the figures since the last sample."""
        now_s, cpu_s, totals = time.monotonic(), time.process_time(), self._totals()
        seconds = (now_s - self._began_s) / self._plan.dilation
        differences = totals - self._before
        lateness_s = sorted(self._lateness_s) or [0.0]
        running = [node.tier for node in self.nodes if node.tier is not None]
        shared = [tier.sharing.core for tier in running if tier.sharing is not None]
        detectors = [core.outlier_detector for core in shared if core.outlier_detector is not None]
        thrown: Counter[str] = Counter()
        for tier in running:
            thrown.update(tier._dropped)
        for core in shared:
            thrown.update({f"shared_{why}": number for why, number in core.discarded.items()})
        figures = orders.Figures(
            nodes=len(self.nodes), seconds=seconds, cpu=cpu_s - self._cpu_s, resident=resident_bytes(),
            bytes_in=differences["bytes_in"], bytes_out=differences["bytes_out"],
            datagrams_in=differences["datagrams_in"],
            datagrams_out=differences["datagrams_out"], worst_second=self._traffic.worst_bytes,
            means=self._traffic.means,
            late=[lateness_s[len(lateness_s) // 2], lateness_s[len(lateness_s) * 99 // 100], lateness_s[-1]],
            stood_still=self._records.stood_still, suspicions=self._records.suspicions,
            deaths=self._records.deaths, unsent=differences["unsent"],
            facts=sum(len(detector._facts) for detector in detectors) / max(1, len(detectors)),
            dropped=sum(detector._facts.evicted_count for detector in detectors),
            thrown={why: number for why, number in thrown.items() if number},
            held_back=sum(FAILING_SERVER in detector.held_back for detector in detectors),
            spent=differences["tokens"],
            steps=self._steps.count, long_steps=self._steps.long_count,
            longest_step=self._steps.longest_ns / 1e9,
        )  # fmt: skip
        self._begin_sample()
        return figures

    def _begin_sample(self) -> None:
        self._traffic.reset()
        self._lateness_s.clear()
        self._steps.reset()
        self._records.stood_still = self._records.suspicions = self._records.deaths = 0
        self._began_s, self._cpu_s, self._before = time.monotonic(), time.process_time(), self._totals()

    def _totals(self) -> Counter[str]:
        totals: Counter[str] = Counter()
        for node in self.nodes:
            meter = node.meter()
            totals.update(
                bytes_in=meter.bytes_in, bytes_out=meter.bytes_out, datagrams_in=meter.datagrams_in,
                datagrams_out=meter.datagrams_out, unsent=meter.unsent, tokens=node.tokens_spent,
            )  # fmt: skip
        return totals

    # Background tasks.

    def _spawn(self, coroutine: asyncio._CoroutineLike[None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            print(f"a worker's task failed: {error!r}", file=sys.stderr, flush=True)

    async def _tick(self) -> None:
        """Feeds a part of the nodes at each tick, and records traffic and timer lateness."""
        feed_ticks = TICKS_PER_S // FEEDS_PER_S
        tick_count = 0
        while True:
            due_s = dilated_ns(self._plan.dilation) / 1e9 + TICK_S
            await asyncio.sleep(TICK_S)
            self._lateness_s.append(dilated_ns(self._plan.dilation) / 1e9 - due_s)
            for node in self.nodes[tick_count % feed_ticks :: feed_ticks]:
                node.feed()
            tick_count += 1
            if tick_count % TICKS_PER_S == 0:
                self._traffic.add_second([node.meter().bytes_out for node in self.nodes])

    async def close(self) -> None:
        """Ends all tasks and nodes."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(node.kill() for node in self.nodes if node.is_running()))


async def carry_out(worker: Worker, order: orders.Order, dilation: float) -> orders.Answer:
    """Carries out an order to running nodes."""
    match order:
        case orders.Go():
            worker.start_clocks()
        case orders.Kill(numbers):
            await worker.kill(numbers)
        case orders.Revive(numbers):
            worker.revive(numbers)
        case orders.Restart(numbers):
            worker.restart(numbers)
        case orders.Cut(is_cut):
            worker.set_region_cut(is_cut)
        case orders.Record(is_on):
            worker.record(is_on)
        case orders.Disagree(running):
            return worker.count_disagreements(running)
        case orders.Sample():
            return worker.sample()
    return orders.Done(dilated_ns(dilation))


def _send_answer(answer: orders.Answer) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
    sys.stdout.buffer.flush()


async def serve(dilation: float) -> None:
    """Carries out orders until the last one or the end of the input."""
    reader = asyncio.StreamReader(limit=LINE_BYTES_MAX)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    decode = msgspec.json.Decoder[orders.Order](orders.Order).decode
    first = decode(await reader.readline())
    assert isinstance(first, orders.Prepare)
    base_config()  # cached once for the process, so its memory must not count as that of nodes
    resident_before = resident_bytes()
    worker = Worker(first.plan, first.worker, Path(first.folder))
    reserved = worker.reserve_ports()
    _send_answer(
        orders.Bound(
            [Address(*reserved_socket.getsockname()) for reserved_socket in reserved], resident_before
        )
    )
    while line := await reader.readline():
        order = decode(line)
        if isinstance(order, orders.Stop):
            break
        if isinstance(order, orders.Start):
            worker.start(reserved, order.addresses)
            _send_answer(orders.Done(dilated_ns(dilation)))
        else:
            _send_answer(await carry_out(worker, order, dilation))
    await worker.close()


def main() -> None:
    """Runs the worker with the dilation from the command line."""
    dilation = float(sys.argv[1])
    # Log lines are formatted as in the daemon, so that they cost the same, and then discarded.
    logging.basicConfig(
        stream=open("/dev/null", "w"), level=logging.INFO,  # noqa: SIM115
        format="%(levelname)s %(name)s: %(message)s",
    )  # fmt: skip
    with asyncio.Runner(loop_factory=loop_factory(dilation)) as runner:
        runner.run(serve(dilation))


if __name__ == "__main__":
    main()
