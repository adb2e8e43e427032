"""Daemons of the program in one cluster on loopback, each asked for its counts as an operator would."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.scale.hollow.node import BUDGET, BURST
from benchmarks.scale.hollow.plan import NS, PER_S, host_of, zone_of
from benchmarks.scale.rows import ROOT
from driftstair.rehearsal import load, platform, ports
from driftstair.tier.command import AskError, ask

READY_WITHIN = 120.0  # s
LOOK = 0.25  # s
HOST = "127.0.0.1"
KEY = "the key of a cluster of real nodes"


class Counts(NamedTuple):
    """Of one daemon so far."""

    bytes_in: int
    bytes_out: int
    datagrams_in: int
    datagrams_out: int
    cpu: float  # s
    resident: int  # bytes
    alive: int  # members that it holds alive
    facts_thrown: int


class Daemons:
    """`async with`: all run, with the tables of the hollow nodes' plan; they end with the block."""

    def __init__(self, folder: Path, count: int) -> None:
        self.count = count
        self._folder = folder
        self._held = ExitStack()
        self._processes: list[asyncio.subprocess.Process] = []
        self._desks: list[int] = []

    async def __aenter__(self) -> Daemons:
        key = self._folder / "key"
        key.write_text(KEY)
        key.chmod(0o600)
        service = self._folder / "service.toml"
        service.write_text(
            f'version = 1\n[tier]\nkey = "{key}"\nperiod = "1s"\nfolder = "{self._folder}"\njudge = true\n'
            f'[tier.permits]\n[tier.budgets.{BUDGET}]\nper_s = {PER_S * self.count}\n'
            f'burst = "{BURST // NS}s"\n'
        )  # fmt: skip
        peers = []
        for number in range(self.count):
            one = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self._held.callback(one.close)
            one.bind((host_of(number), 0))
            peers.append("{}:{}".format(*one.getsockname()))
        self._held.close()
        desks = [ports.reserve_tcp() for _ in range(self.count)]
        self._desks = [desk.number for desk in desks]
        for desk in desks:
            desk.release()
        try:
            for number in range(self.count):
                await self._launch(number, service, peers)
        except BaseException:
            await self._end()
            raise
        return self

    async def _launch(self, number: int, service: Path, peers: list[str]) -> None:
        known: dict[str, Any] = {"version": 1, "full": True, "servers": []}
        document = platform.document(
            load.load("calm", {"seed": 1}), f"n{number}", (HOST, 0), (HOST, 9), number + 1, known,
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
                     "BALANCER_OPS": f"{HOST}:{self._desks[number]}"},
                stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
            )
        )  # fmt: skip

    async def __aexit__(self, *_: object) -> None:
        await self._end()

    async def _end(self) -> None:
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in self._processes))

    async def counts(self) -> list[Counts]:
        """Of each. Raises AskError."""
        return [await asyncio.to_thread(self._counts, number) for number in range(self.count)]

    def _counts(self, number: int) -> Counts:
        report = ask(HOST, self._desks[number])
        counts = report["counts"]
        alive = sum(one["state"] == "alive" for one in report["members"])
        pid = self._processes[number].pid
        return Counts(
            counts["bytes_in"], counts["bytes_out"], counts["in"], counts["out"], cpu_of(pid),
            resident_of(pid), alive, sum(report["shared"]["counts"].values()),
        )  # fmt: skip

    async def joined(self) -> None:
        """Until each holds all others alive. Raises TimeoutError."""
        async with asyncio.timeout(READY_WITHIN):
            while True:
                try:
                    if all(one.alive == self.count - 1 for one in await self.counts()):
                        return
                except AskError:
                    pass  # not yet there
                await asyncio.sleep(LOOK)


def cpu_of(pid: int) -> float:
    """s of processor time that a process has used. Raises OSError."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_of(pid: int) -> int:
    """Bytes in memory. Raises OSError."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
