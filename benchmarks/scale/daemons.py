"""Runs real daemons as one cluster on loopback, and reads their counts over the operators' interface."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.scale.hollow.node import BUDGET_BURST_NS, BUDGET_NAME
from benchmarks.scale.hollow.plan import BUDGET_TOKENS_PER_S, SECOND_NS, host_of, zone_of
from benchmarks.scale.rows import ROOT
from driftstair.rehearsal import load, platform, ports
from driftstair.tier.command import RequestError, fetch_report

READY_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.25
HOST = "127.0.0.1"
CLUSTER_KEY = "the key of a cluster of real nodes"


class Counts(NamedTuple):
    """The counts and the resource usage of one daemon so far."""

    bytes_in: int
    bytes_out: int
    datagrams_in: int
    datagrams_out: int
    cpu_s: float
    resident_bytes: int
    alive: int  # members that it considers alive
    facts_discarded: int


class Daemons:
    """Runs `count` daemons from the beginning to the end of an `async with` block, with the addresses and
    settings that hollow nodes have."""

    def __init__(self, folder: Path, count: int) -> None:
        self.count = count
        self._folder = folder
        self._reserved_sockets = ExitStack()
        self._processes: list[asyncio.subprocess.Process] = []
        self._operator_ports: list[int] = []

    async def __aenter__(self) -> Daemons:
        key = self._folder / "key"
        key.write_text(CLUSTER_KEY)
        key.chmod(0o600)
        service_file = self._folder / "service.toml"
        service_file.write_text(
            f'version = 1\n[tier]\nkey = "{key}"\nperiod = "1s"\nfolder = "{self._folder}"\njudge = true\n'
            f'[tier.permits]\n[tier.budgets.{BUDGET_NAME}]\nper_s = {BUDGET_TOKENS_PER_S * self.count}\n'
            f'burst = "{BUDGET_BURST_NS // SECOND_NS}s"\n'
        )  # fmt: skip
        peers = []
        for number in range(self.count):
            reserved_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._reserved_sockets.callback(reserved_socket.close)
            reserved_socket.bind((host_of(number), 0))
            peers.append("{}:{}".format(*reserved_socket.getsockname()))
        self._reserved_sockets.close()
        reserved_ports = [ports.reserve_tcp() for _ in range(self.count)]
        self._operator_ports = [port.number for port in reserved_ports]
        for port in reserved_ports:
            port.release()
        try:
            for number in range(self.count):
                await self._launch(number, service_file, peers)
        except BaseException:
            await self._kill_all()
            raise
        return self

    async def _launch(self, number: int, service: Path, peers: list[str]) -> None:
        known_servers: dict[str, Any] = {"version": 1, "full": True, "servers": []}
        document = platform.document(
            load.load("calm", {"seed": 1}), f"n{number}", (HOST, 0), (HOST, 9), number + 1, known_servers,
            platform.Peers(peers[number], peers),
        )  # fmt: skip
        document["settings"] |= {"PeersTotal": self.count, "MyZone": zone_of(number)}
        document["settings"]["Limits"]["Peers"] = True
        path = self._folder / f"n{number}.json"
        path.write_text(json.dumps(document))
        self._processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable, "-m", "driftstair", "--service", str(service), cwd=ROOT,
                env={**os.environ, "BALANCER_CONFIG": str(path),
                     "BALANCER_OPS": f"{HOST}:{self._operator_ports[number]}"},
                stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
        )  # fmt: skip

    async def __aexit__(self, *_: object) -> None:
        await self._kill_all()

    async def _kill_all(self) -> None:
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in self._processes))

    async def counts(self) -> list[Counts]:
        """Returns the counts of each daemon. Raises RequestError."""
        return [await asyncio.to_thread(self._read_counts, number) for number in range(self.count)]

    def _read_counts(self, number: int) -> Counts:
        report = fetch_report(HOST, self._operator_ports[number])
        counts = report["counts"]
        alive = sum(member["state"] == "alive" for member in report["members"])
        pid = self._processes[number].pid
        return Counts(
            counts["bytes_in"], counts["bytes_out"], counts["in"], counts["out"], process_cpu_s(pid),
            process_resident_bytes(pid), alive, sum(report["shared"]["counts"].values()),
        )  # fmt: skip

    async def wait_until_joined(self) -> None:
        """Waits until each daemon considers all others alive. Raises TimeoutError."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    if all(counts.alive == self.count - 1 for counts in await self.counts()):
                        return
                except RequestError:
                    pass  # a daemon does not listen yet
                await asyncio.sleep(POLL_INTERVAL_S)


def process_cpu_s(pid: int) -> float:
    """Returns the seconds of processor time that a process has used. Raises OSError."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def process_resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes. Raises OSError."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
