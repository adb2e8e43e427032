"""A real daemon and what it stands before, as processes on loopback."""

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
from benchmarks.scale.origin import listed
from benchmarks.scale.rows import ROOT

PATIENCE = 90.0  # s: a start with all that the files allow takes a tenth of it
KEY = b"k" * 32  # of the cluster
LINE_MOST = 1 << 20  # bytes of a line of the daemon's log
ASK_WITHIN = documents.SECOND // 2  # ns, in which a node that starts asks for the list


@dataclass(slots=True)
class Told:
    """How much a node is told."""

    servers: int = documents.SERVERS_EACH
    routes: int = documents.ROUTES_EACH
    tenants: int = documents.TENANTS_EACH
    nodes: int = documents.NODES_EACH
    known: int = documents.SERVERS_EACH  # servers that stand in its configuration already
    configured_routes: int = 0  # by a control server; then the service file has none
    configured_tenants: int = 0
    judges: bool = False  # whether the cluster's outlier detection stands round its decisions


@dataclass(slots=True)
class Daemon:
    """The process and what it has logged."""

    process: asyncio.subprocess.Process
    began: float
    lines: list[str] = field(default_factory=list)
    address: tuple[str, int] = ("", 0)
    started_s: float = 0.0  # from the start of the process until it served
    ended: bool = False  # it has closed its log
    _news: asyncio.Event = field(default_factory=asyncio.Event)

    async def read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            text = line.decode(errors="replace").rstrip()
            self.lines.append(text)
            if "serving on" in text:
                host, _, port = text.split()[-1].rpartition(":")
                self.address, self.started_s = (host, int(port)), perf_counter() - self.began
            self._news.set()
        self.ended = True
        self._news.set()

    async def until(self, there: Callable[[], object]) -> None:
        """Until something holds that lines tell of. Raises TimeoutError, or EOFError once it has ended."""
        async with asyncio.timeout(PATIENCE):
            while not there():
                if self.ended:
                    raise EOFError(f"the daemon ended: {self.lines[-1:]}")
                self._news.clear()
                await self._news.wait()

    def count(self, text: str) -> int:
        """Lines so far that hold a text."""
        return sum(text in line for line in self.lines)

    def hang_up(self) -> None:
        self.process.send_signal(signal.SIGHUP)

    def cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self, status: str = "VmRSS") -> float:
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(text.split(f"{status}:")[1].split()[0]) * KIB / MB


@dataclass(slots=True)
class Stage:
    """A daemon in its surroundings."""

    folder: Path
    told: Told
    origin: asyncio.subprocess.Process
    servers: list[str]
    discovery: str
    daemon: Daemon

    def say(self, what: str) -> None:
        """Have discovery tell its watchers of a `change`, or the `whole` list."""
        assert self.origin.stdin is not None
        self.origin.stdin.write(what.encode() + b"\n")

    def write_service(self, total_ms: int) -> None:
        """The service file with one route changed."""
        write_service(self.folder, self.told, total_ms)


def service_path(folder: Path) -> Path:
    return folder / "service.toml"


def write_service(folder: Path, told: Told, total_ms: int = 900, control: str = "") -> None:
    """`control`: the address of a control server that has the routes."""
    text = documents.service_file(0 if control else told.routes, total_ms)
    if control:
        text += f'[control]\nservers = ["{control}"]\n'
    if told.judges:
        key = folder / "key"
        key.write_bytes(KEY)
        key.chmod(0o600)
        text = text.replace("\n", f'\n[tier]\nkey = "{key}"\njudge = true\n', 1)
    service_path(folder).write_text(text)


def _configuration(told: Told, servers: list[str], discovery: str) -> dict[str, Any]:
    out = documents.platform(told.tenants, peers=documents.NODES_EACH if told.judges else 0, nodes=told.nodes)
    out["known"] = {"version": 0, "full": True, "servers": listed(told.known, servers)}
    out["discovery"] = discovery
    out["settings"]["Contract"]["AskWithin"] = ASK_WITHIN
    return out


async def _start_daemon(folder: Path) -> Daemon:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "driftstair", "--service", str(service_path(folder)), cwd=ROOT,
        env={**os.environ, "BALANCER_CONFIG": str(folder / "config.json")},
        stderr=asyncio.subprocess.PIPE, limit=LINE_MOST,
    )  # fmt: skip
    return Daemon(process, perf_counter())


@asynccontextmanager
async def stage(folder: Path, told: Told) -> AsyncIterator[Stage]:
    """A daemon that serves, and discovery and servers for it; all end with the block. Raises EOFError where
    the daemon refuses what it is told."""
    origin = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.scale.origin", str(told.servers), str(told.configured_routes),
        str(told.configured_tenants), cwd=ROOT,
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
    )  # fmt: skip
    daemon = None
    try:
        assert origin.stdout is not None
        where = json.loads(await origin.stdout.readline())
        folder.joinpath("config.json").write_text(
            json.dumps(_configuration(told, where["servers"], where["discovery"]))
        )
        write_service(folder, told, control=where.get("control", ""))
        daemon = await _start_daemon(folder)
        reading = asyncio.create_task(daemon.read())
        await daemon.until(lambda: daemon is not None and daemon.address[1])
        yield Stage(folder, told, origin, where["servers"], where["discovery"], daemon)
    finally:
        for process in (origin, None if daemon is None else daemon.process):
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        if daemon is not None:
            await reading
