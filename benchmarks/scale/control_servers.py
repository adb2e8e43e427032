"""Control servers of the program on loopback, and changes put to them."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.scale.daemons import cpu_of, resident_of
from benchmarks.scale.rows import ROOT
from driftstair.rehearsal import ports

HOST = "127.0.0.1"
READY_WITHIN = 60.0  # s
CALL_WITHIN = 5.0  # s to an answer, before another server is asked
PUT_WITHIN = 60.0  # s, after which a put counts as failed
PAUSE = 0.2  # s between two tries


class Usage(NamedTuple):
    """Of all servers so far."""

    cpu: float  # s, with those that were killed
    resident: int  # bytes, of the greatest that runs


class ControlServers:
    """`async with`: `count` servers run, a leader among them; they end with the block."""

    def __init__(self, folder: Path, count: int) -> None:
        self.count = count
        self._folder = folder
        self._ports: list[int] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._ended_cpu = 0.0  # s, of those that were killed

    @property
    def addresses(self) -> list[str]:
        return [f"{HOST}:{port}" for port in self._ports]

    async def __aenter__(self) -> ControlServers:
        held = [ports.reserve_tcp() for _ in range(self.count)]
        self._ports = [one.number for one in held]
        for one in held:
            one.release()
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def _start(self) -> None:
        for number in range(self.count):
            self._processes.append(await self._launch(number))
        async with asyncio.timeout(READY_WITHIN):
            while await self.leader() is None:
                self._check()
                await asyncio.sleep(PAUSE)

    def _check(self) -> None:
        """Raises RuntimeError where one has ended."""
        for number, process in enumerate(self._processes):
            if process.returncode is not None:
                told = (self._folder / f"control-{number}.log").read_text()[-500:]
                raise RuntimeError(f"control server {number} has ended: {told}")

    async def _launch(self, number: int) -> asyncio.subprocess.Process:
        folder = self._folder / f"control-{number}"
        folder.mkdir(exist_ok=True)
        peers = ", ".join(f'"{one}"' for one in self.addresses)
        file = self._folder / f"control-{number}.toml"
        file.write_text(
            f'version = 1\nname = "c{number}"\nlisten = "{self.addresses[number]}"\nfolder = "{folder}"\n'
            f"peers = [{peers}]\nnumber = {number}\n"
        )
        errors = open(self._folder / f"control-{number}.log", "ab")  # noqa: SIM115
        try:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", "driftstair", "control", "serve", str(file), cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL, stderr=errors,
            )  # fmt: skip
        finally:
            errors.close()

    async def __aexit__(self, *_: object) -> None:
        await self._end()

    async def _end(self) -> None:
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in self._processes))

    async def kill(self, number: int) -> None:
        """SIGKILL."""
        self._ended_cpu += cpu_of(self._processes[number].pid)
        self._processes[number].kill()
        await self._processes[number].wait()

    def usage(self) -> Usage:
        pids = [one.pid for one in self._processes if one.returncode is None]
        return Usage(self._ended_cpu + sum(map(cpu_of, pids)), max(map(resident_of, pids), default=0))

    async def leader(self) -> int | None:
        """By the word of the first server that answers and knows one."""
        for port in self._ports:
            try:
                status, body = await call(port, "GET", "/configuration/status")
            except (OSError, TimeoutError, ValueError):
                continue
            if status == 200 and (found := json.loads(body)["leader"]) is not None:
                return int(found)
        return None

    async def put(self, change_set: dict[str, Any], first: int = 0) -> tuple[int, float]:
        """Committed: revision and s until its answer. Asks one server after the other. Raises TimeoutError,
        and ValueError for a set that is refused."""
        body, began, turn = json.dumps(change_set).encode(), time.monotonic(), first
        while time.monotonic() - began < PUT_WITHIN:
            port, turn = self._ports[turn % self.count], turn + 1
            try:
                status, answer = await call(port, "POST", "/configuration/changes", body)
            except (OSError, TimeoutError, ValueError):
                continue
            if status == 200:
                return int(json.loads(answer)["revision"]), time.monotonic() - began
            if status < 500:
                raise ValueError(f"status {status}: {answer[:300]!r}")
            await asyncio.sleep(PAUSE)
        raise TimeoutError(f"not committed within {PUT_WITHIN:.0f} s")


async def call(port: int, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Status and body. Raises OSError, TimeoutError, and ValueError for what is no answer."""
    async with asyncio.timeout(CALL_WITHIN):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
            writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            try:
                answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as problem:
                raise ValueError(str(problem)) from None
            lines = answer.split("\r\n")
            names = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
            size = int(names.get("content-length", "0"))
            return int(lines[0].split(" ")[1]), await reader.readexactly(size)
        except asyncio.IncompleteReadError as problem:
            raise ValueError(str(problem)) from None
        finally:
            writer.close()
