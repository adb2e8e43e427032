"""A process with watchers, which carries out orders from standard input.

python -m benchmarks.scale.watched.worker
"""

from __future__ import annotations

import asyncio
import gc
import logging
import sys
import time
from pathlib import Path

import msgspec
import uvloop

from benchmarks.scale.hollow.node import base_config
from benchmarks.scale.hollow.worker import resident_bytes
from benchmarks.scale.watched import orders
from benchmarks.scale.watched.node import Notes, Watcher
from benchmarks.scale.worker_process import LINE_BYTES_MAX
from driftstair.hosts import parse_address
from driftstair.node_configuration.service import ControlOptions

TICK_S = 0.05  # between two measurements of timer lateness


class Worker:
    """The watchers of this process."""

    def __init__(self, order: orders.Begin) -> None:
        folder = Path(order.folder)
        self.notes = Notes()
        self.notes_file = folder / f"notes-{order.numbers[0]}"
        servers = [parse_address(address) for address in order.servers]
        persisting = set(order.on_disk)
        self.watchers = {
            number: Watcher(
                number, ControlOptions(servers, folder if number in persisting else None), self.notes
            )
            for number in order.numbers
        }
        self._lateness_max_s = 0.0
        self._began_s, self._cpu_s, self._bytes = time.monotonic(), time.process_time(), (0, 0)

    async def start(self) -> None:
        """Starts all watchers."""
        await asyncio.gather(*(watcher.start() for watcher in self.watchers.values()))
        gc.collect()
        gc.freeze()  # as the daemon does when it begins to serve

    async def restart(self, number: int) -> None:
        """Ends a watcher and starts it again."""
        await self.watchers[number].stop()
        await self.watchers[number].start()

    async def watch_lateness(self) -> None:
        """Records the largest lateness of the event loop's timers."""
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(TICK_S)
            self._lateness_max_s = max(self._lateness_max_s, time.monotonic() - began_s - TICK_S)

    def sample(self) -> orders.Figures:
        """Returns the figures since the last sample."""
        now_s, cpu_s = time.monotonic(), time.process_time()
        systems = [watcher.system for watcher in self.watchers.values()]
        total_bytes = sum(item.bytes_in for item in systems), sum(item.bytes_out for item in systems)
        running = [item.configuration for item in self.watchers.values() if item.configuration is not None]
        revisions = [item.applier.current.revision for item in running] or [0]
        figures = orders.Figures(
            watchers=len(self.watchers), seconds=now_s - self._began_s, cpu=cpu_s - self._cpu_s,
            resident=resident_bytes(),
            bytes_in=total_bytes[0] - self._bytes[0], bytes_out=total_bytes[1] - self._bytes[1],
            least=min(revisions),
            greatest=max(revisions), refused=sum(len(item.applier.current.refusals) for item in running),
            reports=sum(item.reporter.accepted_reports for item in running), late=self._lateness_max_s,
            longest_step=max((item.applier.slicer.longest_step_ns for item in running), default=0) / 1e9,
        )  # fmt: skip
        self._began_s, self._cpu_s, self._bytes, self._lateness_max_s = now_s, cpu_s, total_bytes, 0.0
        return figures


def _send_answer(answer: orders.Answer) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
    sys.stdout.buffer.flush()


async def serve() -> None:
    """Carries out orders until the last one or the end of the input."""
    reader = asyncio.StreamReader(limit=LINE_BYTES_MAX)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    decode = msgspec.json.Decoder[orders.Order](orders.Order).decode
    first = decode(await reader.readline())
    assert isinstance(first, orders.Begin)
    base_config()
    resident_before = resident_bytes()
    worker = Worker(first)
    await worker.start()
    lateness_task = asyncio.create_task(worker.watch_lateness())
    _send_answer(orders.Done(resident_before))
    while line := await reader.readline():
        order = decode(line)
        if isinstance(order, orders.Stop):
            worker.notes.write(worker.notes_file)
            _send_answer(orders.Done())
            break
        if isinstance(order, orders.Restart):
            await worker.restart(order.number)
            _send_answer(orders.Done())
        elif isinstance(order, orders.Sample):
            _send_answer(worker.sample())
    lateness_task.cancel()


def main() -> None:
    """Runs the worker; its log lines are formatted and discarded."""
    logging.basicConfig(stream=open("/dev/null", "w"), level=logging.INFO)  # noqa: SIM115
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())


if __name__ == "__main__":
    main()
