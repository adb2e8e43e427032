"""One process of watchers: carries out orders from its standard input.

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
from benchmarks.scale.hollow.worker import resident
from benchmarks.scale.watched import orders
from benchmarks.scale.watched.node import Notes, Watcher
from benchmarks.scale.worker_process import LINE_MOST
from driftstair.hosts import parse_address
from driftstair.node_configuration.service import ControlOptions

TICK = 0.05  # s between two looks at how late timers come


class Worker:
    """The watchers of one process."""

    def __init__(self, order: orders.Begin) -> None:
        folder = Path(order.folder)
        self.notes = Notes()
        self.notes_file = folder / f"notes-{order.numbers[0]}"
        servers = [parse_address(one) for one in order.servers]
        kept = set(order.on_disk)
        self.watchers = {
            number: Watcher(number, ControlOptions(servers, folder if number in kept else None), self.notes)
            for number in order.numbers
        }
        self._late = 0.0
        self._began, self._cpu, self._bytes = time.monotonic(), time.process_time(), (0, 0)

    async def start(self) -> None:
        await asyncio.gather(*(watcher.start() for watcher in self.watchers.values()))
        gc.collect()
        gc.freeze()  # as the daemon does once it serves

    async def restart(self, number: int) -> None:
        await self.watchers[number].stop()
        await self.watchers[number].start()

    async def watch_lateness(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(TICK)
            self._late = max(self._late, time.monotonic() - began - TICK)

    def sample(self) -> orders.Figures:
        now, cpu = time.monotonic(), time.process_time()
        systems = [watcher.system for watcher in self.watchers.values()]
        total = sum(one.bytes_in for one in systems), sum(one.bytes_out for one in systems)
        running = [one.configuration for one in self.watchers.values() if one.configuration is not None]
        revisions = [one.applier.current.revision for one in running] or [0]
        out = orders.Figures(
            watchers=len(self.watchers), seconds=now - self._began, cpu=cpu - self._cpu, resident=resident(),
            bytes_in=total[0] - self._bytes[0], bytes_out=total[1] - self._bytes[1], least=min(revisions),
            greatest=max(revisions), refused=sum(len(one.applier.current.refusals) for one in running),
            reports=sum(one.reporter.accepted_reports for one in running), late=self._late,
            longest_step=max((one.applier.slicer.longest_step_ns for one in running), default=0) / 1e9,
        )  # fmt: skip
        self._began, self._cpu, self._bytes, self._late = now, cpu, total, 0.0
        return out


def _say(answer: orders.Answer) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
    sys.stdout.buffer.flush()


async def serve() -> None:
    """Until the last order, or the end of the input."""
    reader = asyncio.StreamReader(limit=LINE_MOST)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    decode = msgspec.json.Decoder[orders.Order](orders.Order).decode
    first = decode(await reader.readline())
    assert isinstance(first, orders.Begin)
    base_config()
    before = resident()
    worker = Worker(first)
    await worker.start()
    looking = asyncio.create_task(worker.watch_lateness())
    _say(orders.Done(before))
    while line := await reader.readline():
        order = decode(line)
        if isinstance(order, orders.Stop):
            worker.notes.write(worker.notes_file)
            _say(orders.Done())
            break
        if isinstance(order, orders.Restart):
            await worker.restart(order.number)
            _say(orders.Done())
        elif isinstance(order, orders.Sample):
            _say(worker.sample())
    looking.cancel()


def main() -> None:
    logging.basicConfig(stream=open("/dev/null", "w"), level=logging.INFO)  # noqa: SIM115
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())


if __name__ == "__main__":
    main()
