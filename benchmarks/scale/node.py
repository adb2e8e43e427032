"""Runs a real daemon, with discovery and servers for it, as processes on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from time import perf_counter
from typing import Any

from benchmarks.scale import documents
from benchmarks.scale.meter import KIB, MB
from benchmarks.scale.origin import list_entries
from benchmarks.scale.rows import ROOT

LOG_TIMEOUT_S = 90.0  # a start with files of the largest allowed size takes a tenth of it
CLUSTER_KEY = b"k" * 32
LOG_LINE_BYTES_MAX = 1 << 20  # one line of the daemon's log
LIST_REQUEST_TIMEOUT_NS = documents.SECOND_NS // 2  # within which a starting node requests the server list


@dataclass(slots=True)
class InputSizes:
    """The sizes of the inputs of a node."""

    servers: int = documents.SERVERS_PER_SERVICE
    routes: int = documents.ROUTES_PER_SERVICE
    tenants: int = documents.TENANTS_PER_SERVICE
    nodes: int = documents.NODES_PER_SERVICE
    known_servers: int = documents.SERVERS_PER_SERVICE  # servers already listed in its configuration
    configured_routes: int = 0  # from a control server; if above 0 the service file has no routes
    configured_tenants: int = 0
    outlier_detection: bool = False  # whether the cluster's outlier detection wraps its decisions


@dataclass(slots=True)
class Daemon:
    """The daemon's process and its log so far."""

    process: asyncio.subprocess.Process
    spawned_s: float
    log_lines: list[str] = field(default_factory=list)
    address: tuple[str, int] = ("", 0)
    start_duration_s: float = 0.0  # from the start of the process until it served
    log_closed: bool = False  # set when the process closes its log
    _log_changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def read_log(self) -> None:
        """Reads the log until its end, and the daemon's address from the line that names it."""
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            text = line.decode(errors="replace").rstrip()
            self.log_lines.append(text)
            if "serving on" in text:
                host, _, port = text.split()[-1].rpartition(":")
                self.address, self.start_duration_s = (host, int(port)), perf_counter() - self.spawned_s
            self._log_changed.set()
        self.log_closed = True
        self._log_changed.set()

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Waits until a condition on the log holds. Raises TimeoutError, and EOFError if the daemon has
        ended."""
        async with asyncio.timeout(LOG_TIMEOUT_S):
            while not condition():
                if self.log_closed:
                    raise EOFError(f"the daemon ended: {self.log_lines[-1:]}")
                self._log_changed.clear()
                await self._log_changed.wait()

    def count_log_lines(self, text: str) -> int:
        """Returns the number of log lines so far that contain a text."""
        return sum(text in line for line in self.log_lines)

    def send_sighup(self) -> None:
        """Makes the daemon reload its files."""
        self.process.send_signal(signal.SIGHUP)

    def cpu_s(self) -> float:
        """Returns the processor time that the daemon has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self, field_name: str = "VmRSS") -> float:
        """Returns a memory field of the process's status in MB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.split(f"{field_name}:")[1].split()[0]) * KIB / MB


@dataclass(slots=True)
class Testbed:
    """A daemon, and the process with discovery and its servers."""

    folder: Path
    sizes: InputSizes
    origin: asyncio.subprocess.Process
    servers: list[str]
    discovery: str
    daemon: Daemon

    def send_command(self, command: str) -> None:
        """Makes discovery send its watchers a `change` or the `whole` list, or the control server a `put`."""
        assert self.origin.stdin is not None
        self.origin.stdin.write(command.encode() + b"\n")

    def write_service_file(self, total_ms: int) -> None:
        """Writes the service file with one route changed."""
        write_service_file(self.folder, self.sizes, total_ms)


def service_path(folder: Path) -> Path:
    """Returns the path of the service file."""
    return folder / "service.toml"


def write_service_file(folder: Path, sizes: InputSizes, total_ms: int = 900, control: str = "") -> None:
    """Writes the service file. `control` is the address of a control server, which then holds the routes."""
    text = documents.service_file_text(0 if control else sizes.routes, total_ms)
    if control:
        text += f'[control]\nservers = ["{control}"]\n'
    if sizes.outlier_detection:
        key = folder / "key"
        key.write_bytes(CLUSTER_KEY)
        key.chmod(0o600)
        text = text.replace("\n", f'\n[tier]\nkey = "{key}"\njudge = true\n', 1)
    service_path(folder).write_text(text)


def _platform_document(sizes: InputSizes, servers: list[str], discovery: str) -> dict[str, Any]:
    document = documents.platform_document(
        sizes.tenants, peers=documents.NODES_PER_SERVICE if sizes.outlier_detection else 0, nodes=sizes.nodes
    )
    document["known"] = {"version": 0, "full": True, "servers": list_entries(sizes.known_servers, servers)}
    document["discovery"] = discovery
    document["settings"]["Contract"]["AskWithin"] = LIST_REQUEST_TIMEOUT_NS
    return document


async def _start_daemon(folder: Path) -> Daemon:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "driftstair", "--service", str(service_path(folder)), cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(folder / "config.json")},
        stderr=asyncio.subprocess.PIPE, limit=LOG_LINE_BYTES_MAX,
    )  # fmt: skip
    return Daemon(process, perf_counter())


@asynccontextmanager
async def run_testbed(folder: Path, sizes: InputSizes) -> AsyncIterator[Testbed]:
    """Runs a serving daemon with discovery and servers for it until the end of the block. Raises EOFError if
    the daemon refuses its inputs."""
    origin = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.scale.origin", str(sizes.servers), str(sizes.configured_routes),
        str(sizes.configured_tenants), cwd=ROOT,
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    daemon = None
    try:
        assert origin.stdout is not None
        addresses = json.loads(await origin.stdout.readline())
        folder.joinpath("config.json").write_text(
            json.dumps(_platform_document(sizes, addresses["servers"], addresses["discovery"]))
        )
        write_service_file(folder, sizes, control=addresses.get("control", ""))
        daemon = await _start_daemon(folder)
        log_reader = asyncio.create_task(daemon.read_log())
        await daemon.wait_until(lambda: daemon is not None and daemon.address[1])
        yield Testbed(folder, sizes, origin, addresses["servers"], addresses["discovery"], daemon)
    finally:
        for process in (origin, None if daemon is None else daemon.process):
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if daemon is not None:
            await log_reader
