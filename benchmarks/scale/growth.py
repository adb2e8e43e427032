"""`growth`: the same traffic of a node before the usual number of servers and before sixteen times as many,
against the bounds that the operators' page sets for what a node may need more."""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

import uvloop

from benchmarks.scale.daemons import cpu_of
from benchmarks.scale.rows import ROOT, Figure, Row, Status
from benchmarks.soak.platform import HOST, MS, configuration, settings
from driftstair.rehearsal import ports

USUAL, TIMES = 200, 16
RATE = 40.0  # requests a second of one node
SECONDS = 30.0
CHANGE_EVERY = 2.0  # s between two changes of the list, of a two-hundredth of the servers each
CHANGED_PART = 1 / 200
SERVICE = (0.02, 0.12)  # s
LOOK = 0.1  # s between two looks at descriptors
KEYS = 1000
LATE_MOST = 0.25  # s by which this process's own loop may run behind
MEGABYTE = 1e6
SERVER_PORT = 0  # one socket stands for all servers: each has an address of its own in 127/8
READY_WITHIN = 30.0  # s
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Bound:
    """At most `times` the usual figure, plus `plus`, plus `per_thousand` for each thousand servers."""

    times: float
    plus: float
    per_thousand: float = 0.0

    def allows(self, usual: float, servers: int) -> float:
        return self.times * usual + self.plus + self.per_thousand * servers / 1000


BOUNDS = {
    "cpu_s": Bound(1.4, 0.02, 0.12),
    "peak_mb": Bound(1.5, 8.0, 4.0),
    "descriptors": Bound(2.0, 40.0),
    "connections": Bound(2.5, 40.0),
    "list_kb": Bound(2.0, 64.0, 500.0),
}
SHARE_LEAST = 0.85  # of the share served at the usual size


def register(commands: Any) -> None:
    parser: argparse.ArgumentParser = commands.add_parser("growth", help=__doc__)
    parser.add_argument("--usual", type=int, default=USUAL, metavar="SERVERS", help=f"({USUAL})")
    parser.add_argument("--times", type=int, default=TIMES, help=f"({TIMES})")
    parser.add_argument("--nodes", type=int, nargs="+", default=[1, 12], help="daemons (1 and 12)")
    parser.add_argument(
        "--for", dest="for_s", type=float, default=SECONDS, metavar="S", help=f"({SECONDS:g})"
    )
    parser.set_defaults(measure=measure)


@dataclass(slots=True)
class Seen:
    """Of all daemons of a run together."""

    connections: int = 0
    list_bytes: int = 0
    asked: int = 0
    served: int = 0
    late: float = 0.0  # s that this process's loop was late at most
    descriptors: list[int] = field(default_factory=list)  # the most of each daemon


class Fleet:
    """Servers, discovery and clients in this process; `servers` of them behind one listening socket."""

    def __init__(self, servers: int, seed: int) -> None:
        self.seen = Seen()
        self._random = Random(seed)
        self._states = ["Ready"] * servers
        self._version = 1
        self._watches: list[asyncio.StreamWriter] = []
        self._port = 0
        self._numbers = count(1)
        self.discovery = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "0.0.0.0", SERVER_PORT, backlog=4096)
        self._port = server.sockets[0].getsockname()[1]
        discovery = await asyncio.start_server(self._tell_all, HOST, 0)
        self.discovery = f"{HOST}:{discovery.sockets[0].getsockname()[1]}"

    def entry(self, number: int) -> dict[str, Any]:
        return {
            "id": f"server-{number:05d}",
            "addr": f"127.{1 + number // 62500}.{1 + number // 250 % 250}.{1 + number % 250}:{self._port}",
            "zone": "room",
            "kind": "plain",
            "cell": number // 8,
            "state": self._states[number],
            "weight": 1.0,
            "started_ms": 0,
        }

    def known(self) -> dict[str, Any]:
        return {"version": 1, "full": True, "servers": [self.entry(one) for one in range(len(self._states))]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.seen.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(self._random.uniform(*SERVICE))
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone")
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()

    async def _tell_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            self._tell(writer, list(range(len(self._states))), full=True)
            self._watches.append(writer)
            while True:
                await asyncio.sleep(2.0)
                writer.write(b"1\r\n\n\r\n")
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, RuntimeError):
            writer.close()

    def _tell(self, writer: asyncio.StreamWriter, servers: list[int], full: bool) -> None:
        entries = [self.entry(one) for one in servers]
        text = json.dumps({"version": self._version, "full": full, "servers": entries}).encode() + b"\n"
        self.seen.list_bytes += len(text)
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def change(self, until: float) -> None:
        """Some servers drain now and then, and those that drained before come back."""
        away: list[int] = []
        while monotonic() < until:
            await asyncio.sleep(CHANGE_EVERY)
            for one in away:
                self._states[one] = "Ready"
            new = self._random.sample(range(len(self._states)), max(1, int(len(self._states) * CHANGED_PART)))
            for one in new:
                self._states[one] = "Terminating"
            self._version += 1
            for writer in self._watches:
                self._tell(writer, [*away, *new], full=False)
            away = new

    async def offer(self, port: int, until: float) -> None:
        """Requests of one node's clients, each at a time of chance, on connections that are kept."""
        free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        pending: set[asyncio.Task[None]] = set()
        while monotonic() < until:
            await asyncio.sleep(self._random.expovariate(RATE))
            task = asyncio.get_running_loop().create_task(self._ask(port, free))
            pending.add(task)
            task.add_done_callback(pending.discard)
        if pending:
            await asyncio.wait(pending)

    async def _ask(self, port: int, free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]) -> None:
        self.seen.asked += 1
        try:
            reader, writer = free.pop() if free else await asyncio.open_connection(HOST, port)
            writer.write(
                b"GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %016x\r\nX-Class: read\r\n"
                b"X-Key: %x\r\n\r\n" % (next(self._numbers), self._random.randrange(KEYS))
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError, RuntimeError):
            return
        self.seen.served += head.startswith(b"HTTP/1.1 200")
        if b"Connection: close" in head:
            writer.close()
        else:
            free.append((reader, writer))

    async def watch(self, processes: list[asyncio.subprocess.Process]) -> None:
        """Descriptors of the daemons, and how late this loop is."""
        self.seen.descriptors = [0] * len(processes)
        while True:
            due = monotonic() + LOOK
            await asyncio.sleep(LOOK)
            self.seen.late = max(self.seen.late, monotonic() - due)
            for index, process in enumerate(processes):
                held = len(os.listdir(f"/proc/{process.pid}/fd"))
                self.seen.descriptors[index] = max(self.seen.descriptors[index], held)


def peak_of(pid: int) -> float:
    """MB of resident memory at the most."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmHWM:")[1].split()[0]) * 1024 / MEGABYTE


async def one_run(servers: int, nodes: int, fleet_size: int, seconds: float) -> dict[str, float]:
    """Figures of one node, the mean over all. `fleet_size`: nodes that the settings tell of."""
    fleet = Fleet(servers, seed=servers + nodes)
    await fleet.start()
    told = settings(fleet_size, pushed=True)
    told["Contract"]["AskWithin"] = 3000 * MS
    processes: list[asyncio.subprocess.Process] = []
    held = [ports.reserve_tcp() for _ in range(nodes)]
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number in range(nodes):
                path = Path(folder, f"n{number}.json")
                own = told | {"SelfIndex": number}
                listen = f"{HOST}:{held[number].number}"
                path.write_text(
                    json.dumps(
                        configuration(f"n{number}", listen, fleet.discovery, number + 1, fleet.known(), own)
                    )
                )
                processes.append(await started(path))
            until = monotonic() + seconds
            watching = asyncio.ensure_future(fleet.watch(processes))
            offers = (fleet.offer(one.number, until) for one in held)
            await asyncio.gather(fleet.change(until), *offers)
            watching.cancel()
            cpu = sum(cpu_of(one.pid) for one in processes) / nodes
            peak = sum(peak_of(one.pid) for one in processes) / nodes
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
                await process.wait()
    seen = fleet.seen
    return {
        "cpu_s": cpu,
        "peak_mb": peak,
        "descriptors": sum(seen.descriptors) / nodes,
        "connections": seen.connections / nodes,
        "list_kb": seen.list_bytes / nodes / 1000,
        "share_served": seen.served / max(1, seen.asked),
        "late_s": seen.late,
    }


async def started(path: Path) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "driftstair", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )  # fmt: skip
    assert process.stderr is not None
    async with asyncio.timeout(READY_WITHIN):
        while b"serving on" not in (line := await process.stderr.readline()):
            if not line:
                raise RuntimeError(f"a daemon ended: {await process.wait()}")
    asyncio.get_running_loop().create_task(drain(process.stderr)).set_name("stderr")
    return process


async def drain(stream: asyncio.StreamReader) -> None:
    while await stream.readline():
        pass


def measure(found: argparse.Namespace) -> Iterator[Row]:
    for nodes in found.nodes:
        usual: dict[str, float] = {}
        for servers in (found.usual, found.usual * found.times):
            # As many nodes for each server as today: what a node's part of the servers is reckoned by.
            fleet_size = servers
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                figures = runner.run(one_run(servers, nodes, fleet_size, found.for_s))
            yield judged(nodes, servers, figures, usual)
            usual = usual or figures


def judged(nodes: int, servers: int, figures: dict[str, float], usual: dict[str, float]) -> Row:
    """`usual`: empty for the usual size, which nothing bounds."""
    conditions: dict[str, Figure] = {"nodes": nodes, "servers": servers}
    shown: dict[str, Figure] = dict(figures)
    over = []
    for name, bound in BOUNDS.items() if usual else ():
        allowed = bound.allows(usual[name], servers)
        shown[f"{name}_allowed"] = allowed
        if figures[name] > allowed:
            over.append(name)
    if usual and figures["share_served"] < SHARE_LEAST * usual["share_served"]:
        over.append("share_served")
    if over:
        return Row("growth", conditions, shown, Status.FAILED, f"over: {', '.join(over)}")
    if figures["late_s"] > LATE_MOST:
        return Row("growth", conditions, shown, Status.LATE, "this process's own loop was late")
    return Row("growth", conditions, shown)
