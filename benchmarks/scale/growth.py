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

from benchmarks.scale.daemons import process_cpu_s
from benchmarks.scale.rows import ROOT, Figure, Row, Status
from benchmarks.soak.platform import HOST, NS_PER_MS, configuration, settings
from driftstair.rehearsal import ports

USUAL_SERVERS, GROWTH_FACTOR = 200, 16
REQUESTS_PER_S = 40.0  # of one node
DURATION_S = 30.0
CHANGE_INTERVAL_S = 2.0  # between two changes of the server list
CHANGED_SHARE = 1 / 200  # of the servers, in each change
SERVICE_TIME_S = (0.02, 0.12)  # least and greatest
POLL_INTERVAL_S = 0.1  # between two counts of descriptors
KEY_COUNT = 1000
LATENESS_MAX_S = 0.25  # of this process's own event loop
MEGABYTE = 1e6  # bytes
SERVER_PORT = 0  # any; one socket listens for all servers, each of which has its own address in 127.0.0.0/8
READY_TIMEOUT_S = 30.0
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Bound:
    """An upper bound: `factor` times the usual figure, plus `constant`, plus `per_thousand` for each 1,000
    servers."""

    factor: float
    constant: float
    per_thousand: float = 0.0

    def allowed(self, usual: float, servers: int) -> float:
        """Returns the greatest allowed figure."""
        return self.factor * usual + self.constant + self.per_thousand * servers / 1000


BOUNDS = {
    "cpu_s": Bound(1.4, 0.02, 0.12),
    "peak_mb": Bound(1.5, 8.0, 4.0),
    "descriptors": Bound(2.0, 40.0),
    "connections": Bound(2.5, 40.0),
    "list_kb": Bound(2.0, 64.0, 500.0),
}
SERVED_SHARE_MIN = 0.85  # relative to the share served at the usual size


def register(commands: Any) -> None:
    """Adds the subcommand `growth`."""
    parser: argparse.ArgumentParser = commands.add_parser("growth", help=__doc__)
    parser.add_argument(
        "--usual", type=int, default=USUAL_SERVERS, metavar="SERVERS", help=f"({USUAL_SERVERS})"
    )
    parser.add_argument("--times", type=int, default=GROWTH_FACTOR, help=f"({GROWTH_FACTOR})")
    parser.add_argument("--nodes", type=int, nargs="+", default=[1, 12], help="daemons (1 and 12)")
    parser.add_argument(
        "--for", dest="for_s", type=float, default=DURATION_S, metavar="S", help=f"({DURATION_S:g})"
    )
    parser.set_defaults(measure=measure)


@dataclass(slots=True)
class RunObservations:
    """The observations of one run, over all daemons."""

    connections: int = 0
    list_bytes: int = 0
    requests: int = 0
    served: int = 0
    lateness_max_s: float = 0.0  # of this process's event loop
    descriptors: list[int] = field(default_factory=list)  # maximum for each daemon


class Fleet:
    """Servers, discovery and clients in this process. All `servers` share one listening socket."""

    def __init__(self, servers: int, seed: int) -> None:
        self.observations = RunObservations()
        self._random = Random(seed)
        self._states = ["Ready"] * servers
        self._version = 1
        self._watches: list[asyncio.StreamWriter] = []
        self._port = 0
        self._numbers = count(1)
        self.discovery = ""

    async def start(self) -> None:
        """Opens the listening sockets."""
        server = await asyncio.start_server(self._serve, "0.0.0.0", SERVER_PORT, backlog=4096)
        self._port = server.sockets[0].getsockname()[1]
        discovery = await asyncio.start_server(self._serve_watch, HOST, 0)
        self.discovery = f"{HOST}:{discovery.sockets[0].getsockname()[1]}"

    def entry(self, number: int) -> dict[str, Any]:
        """Returns the entry of a server in the server list."""
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

    def server_list(self) -> dict[str, Any]:
        """Returns the server list for a node's configuration."""
        return {
            "version": 1,
            "full": True,
            "servers": [self.entry(number) for number in range(len(self._states))],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.observations.connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(self._random.uniform(*SERVICE_TIME_S))
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\ndone")
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            writer.close()

    async def _serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(RESPONSE_HEAD)
            self._send_list(writer, list(range(len(self._states))), full=True)
            self._watches.append(writer)
            while True:
                await asyncio.sleep(2.0)
                writer.write(b"1\r\n\n\r\n")
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, RuntimeError):
            writer.close()

    def _send_list(self, writer: asyncio.StreamWriter, servers: list[int], full: bool) -> None:
        entries = [self.entry(number) for number in servers]
        text = json.dumps({"version": self._version, "full": full, "servers": entries}).encode() + b"\n"
        self.observations.list_bytes += len(text)
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def change_states(self, deadline_s: float) -> None:
        """At each interval lets some servers drain, and those that drained before become ready again."""
        draining: list[int] = []
        while monotonic() < deadline_s:
            await asyncio.sleep(CHANGE_INTERVAL_S)
            for number in draining:
                self._states[number] = "Ready"
            newly_draining = self._random.sample(
                range(len(self._states)), max(1, int(len(self._states) * CHANGED_SHARE))
            )
            for number in newly_draining:
                self._states[number] = "Terminating"
            self._version += 1
            for writer in self._watches:
                self._send_list(writer, [*draining, *newly_draining], full=False)
            draining = newly_draining

    async def send_requests(self, port: int, deadline_s: float) -> None:
        """Sends the requests of one node's clients at random times on persistent connections."""
        idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        pending: set[asyncio.Task[None]] = set()
        while monotonic() < deadline_s:
            await asyncio.sleep(self._random.expovariate(REQUESTS_PER_S))
            task = asyncio.get_running_loop().create_task(self._send_request(port, idle_connections))
            pending.add(task)
            task.add_done_callback(pending.discard)
        if pending:
            await asyncio.wait(pending)

    async def _send_request(
        self, port: int, idle_connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
    ) -> None:
        self.observations.requests += 1
        try:
            reader, writer = (
                idle_connections.pop() if idle_connections else await asyncio.open_connection(HOST, port)
            )
            writer.write(
                b"GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: %016x\r\nX-Class: read\r\n"
                b"X-Key: %x\r\n\r\n" % (next(self._numbers), self._random.randrange(KEY_COUNT))
            )
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError, RuntimeError):
            return
        self.observations.served += head.startswith(b"HTTP/1.1 200")
        if b"Connection: close" in head:
            writer.close()
        else:
            idle_connections.append((reader, writer))

    async def observe_daemons(self, processes: list[asyncio.subprocess.Process]) -> None:
        """Records the descriptors of the daemons and the lateness of this event loop until cancelled."""
        self.observations.descriptors = [0] * len(processes)
        while True:
            due_s = monotonic() + POLL_INTERVAL_S
            await asyncio.sleep(POLL_INTERVAL_S)
            self.observations.lateness_max_s = max(self.observations.lateness_max_s, monotonic() - due_s)
            for index, process in enumerate(processes):
                descriptor_count = len(os.listdir(f"/proc/{process.pid}/fd"))
                self.observations.descriptors[index] = max(
                    self.observations.descriptors[index], descriptor_count
                )


def peak_memory_mb(pid: int) -> float:
    """Returns the peak resident memory of a process in MB."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmHWM:")[1].split()[0]) * 1024 / MEGABYTE


async def run_once(servers: int, nodes: int, fleet_size: int, seconds: float) -> dict[str, float]:
    """Returns the figures of one node, as the mean over all. `fleet_size` is the number of nodes in the
    settings."""
    fleet = Fleet(servers, seed=servers + nodes)
    await fleet.start()
    node_settings = settings(fleet_size, pushed=True)
    node_settings["Contract"]["AskWithin"] = 3000 * NS_PER_MS
    processes: list[asyncio.subprocess.Process] = []
    reserved_ports = [ports.reserve_tcp() for _ in range(nodes)]
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number in range(nodes):
                path = Path(folder, f"n{number}.json")
                own_settings = node_settings | {"SelfIndex": number}
                listen = f"{HOST}:{reserved_ports[number].number}"
                path.write_text(
                    json.dumps(
                        configuration(
                            f"n{number}",
                            listen,
                            fleet.discovery,
                            number + 1,
                            fleet.server_list(),
                            own_settings,
                        )
                    )
                )
                processes.append(await start_daemon(path))
            deadline_s = monotonic() + seconds
            observer_task = asyncio.ensure_future(fleet.observe_daemons(processes))
            request_tasks = (fleet.send_requests(item.number, deadline_s) for item in reserved_ports)
            await asyncio.gather(fleet.change_states(deadline_s), *request_tasks)
            observer_task.cancel()
            cpu_s = sum(process_cpu_s(item.pid) for item in processes) / nodes
            peak_mb = sum(peak_memory_mb(item.pid) for item in processes) / nodes
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
                await process.wait()
    observations = fleet.observations
    return {
        "cpu_s": cpu_s,
        "peak_mb": peak_mb,
        "descriptors": sum(observations.descriptors) / nodes,
        "connections": observations.connections / nodes,
        "list_kb": observations.list_bytes / nodes / 1000,
        "share_served": observations.served / max(1, observations.requests),
        "late_s": observations.lateness_max_s,
    }


async def start_daemon(path: Path) -> asyncio.subprocess.Process:
    """Starts a daemon with a configuration file and waits until it serves."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "driftstair", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "BALANCER_CONFIG": str(path)},
    )  # fmt: skip
    assert process.stderr is not None
    async with asyncio.timeout(READY_TIMEOUT_S):
        while b"serving on" not in (line := await process.stderr.readline()):
            if not line:
                raise RuntimeError(f"a daemon ended: {await process.wait()}")
    asyncio.get_running_loop().create_task(discard_lines(process.stderr)).set_name("stderr")
    return process


async def discard_lines(stream: asyncio.StreamReader) -> None:
    """Reads a stream to its end, so that its writer never blocks."""
    while await stream.readline():
        pass


def measure(options: argparse.Namespace) -> Iterator[Row]:
    """Yields for each number of daemons a row for the usual number of servers and one for the larger
    number."""
    for nodes in options.nodes:
        usual: dict[str, float] = {}
        for servers in (options.usual, options.usual * options.times):
            # Keeps today's ratio of nodes to servers, from which a node's part of the servers is computed.
            fleet_size = servers
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                figures = runner.run(run_once(servers, nodes, fleet_size, options.for_s))
            yield assess_run(nodes, servers, figures, usual)
            usual = usual or figures


def assess_run(nodes: int, servers: int, figures: dict[str, float], usual: dict[str, float]) -> Row:
    """Returns the row of a run. `usual` holds the figures at the usual size; it is empty for that size
    itself, which has no bounds."""
    conditions: dict[str, Figure] = {"nodes": nodes, "servers": servers}
    row_figures: dict[str, Figure] = dict(figures)
    exceeded = []
    for name, bound in BOUNDS.items() if usual else ():
        allowed = bound.allowed(usual[name], servers)
        row_figures[f"{name}_allowed"] = allowed
        if figures[name] > allowed:
            exceeded.append(name)
    if usual and figures["share_served"] < SERVED_SHARE_MIN * usual["share_served"]:
        exceeded.append("share_served")
    if exceeded:
        return Row("growth", conditions, row_figures, Status.FAILED, f"over: {', '.join(exceeded)}")
    if figures["late_s"] > LATENESS_MAX_S:
        return Row("growth", conditions, row_figures, Status.LATE, "this process's own loop was late")
    return Row("growth", conditions, row_figures)
