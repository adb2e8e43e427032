"""Runs real control servers on loopback and puts changes to them."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.scale.daemons import process_cpu_s, process_resident_bytes
from benchmarks.scale.rows import ROOT
from driftstair.rehearsal import ports

HOST = "127.0.0.1"
READY_TIMEOUT_S = 60.0
ANSWER_TIMEOUT_S = 5.0  # for one answer, after which the next server is tried
PUT_TIMEOUT_S = 60.0  # for a put over all tries, after which it counts as failed
RETRY_INTERVAL_S = 0.2


class Usage(NamedTuple):
    """The resource usage of all servers so far."""

    cpu_s: float  # includes the servers that were killed
    resident_bytes: int  # of the running server with the most


class ControlServers:
    """Runs `count` servers, one of them the leader, from the beginning to the end of an `async with`
    block."""

    def __init__(self, folder: Path, count: int) -> None:
        self.count = count
        self._folder = folder
        self._ports: list[int] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._killed_cpu_s = 0.0  # of the servers that were killed

    @property
    def addresses(self) -> list[str]:
        """The addresses of all servers as HOST:PORT."""
        return [f"{HOST}:{port}" for port in self._ports]

    async def __aenter__(self) -> ControlServers:
        reserved_ports = [ports.reserve_tcp() for _ in range(self.count)]
        self._ports = [port.number for port in reserved_ports]
        for port in reserved_ports:
            port.release()
        try:
            await self._start()
        except BaseException:
            await self._kill_all()
            raise
        return self

    async def _start(self) -> None:
        for number in range(self.count):
            self._processes.append(await self._launch(number))
        async with asyncio.timeout(READY_TIMEOUT_S):
            while await self.leader() is None:
                self._check_processes()
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _check_processes(self) -> None:
        """Raises RuntimeError if a server has ended."""
        for number, process in enumerate(self._processes):
            if process.returncode is not None:
                log_tail = (self._folder / f"control-{number}.log").read_text()[-500:]
                raise RuntimeError(f"control server {number} has ended: {log_tail}")

    async def _launch(self, number: int) -> asyncio.subprocess.Process:
        folder = self._folder / f"control-{number}"
        folder.mkdir(exist_ok=True)
        peers = ", ".join(f'"{address}"' for address in self.addresses)
        settings_file = self._folder / f"control-{number}.toml"
        settings_file.write_text(
            f'version = 1\nname = "c{number}"\nlisten = "{self.addresses[number]}"\nfolder = "{folder}"\n'
            f"peers = [{peers}]\nnumber = {number}\n"
        )
        log = open(self._folder / f"control-{number}.log", "ab")  # noqa: SIM115
        try:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-m", "driftstair", "control", "serve", str(settings_file), cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.DEVNULL, stderr=log,
            )  # fmt: skip
        finally:
            log.close()

    async def __aexit__(self, *_: object) -> None:
        await self._kill_all()

    async def _kill_all(self) -> None:
        for process in self._processes:
            if process.returncode is None:
                process.kill()
        await asyncio.gather(*(process.wait() for process in self._processes))

    async def kill(self, number: int) -> None:
        """Ends a server by SIGKILL."""
        self._killed_cpu_s += process_cpu_s(self._processes[number].pid)
        self._processes[number].kill()
        await self._processes[number].wait()

    def usage(self) -> Usage:
        """Returns the resource usage so far."""
        pids = [process.pid for process in self._processes if process.returncode is None]
        return Usage(
            self._killed_cpu_s + sum(map(process_cpu_s, pids)),
            max(map(process_resident_bytes, pids), default=0),
        )

    async def leader(self) -> int | None:
        """Returns the number of the leader according to the first server that answers and knows one."""
        for port in self._ports:
            try:
                status, body = await send_request(port, "GET", "/configuration/status")
            except (OSError, TimeoutError, ValueError):
                continue
            if status == 200 and (leader_number := json.loads(body)["leader"]) is not None:
                return int(leader_number)
        return None

    async def put(self, change_set: dict[str, Any], first_server: int = 0) -> tuple[int, float]:
        """Commits a change set; returns its revision and the seconds until the answer. Tries the servers in
        turn, beginning with number `first_server`. Raises TimeoutError, and ValueError for a change set that
        is refused."""
        body, began_s, server_index = json.dumps(change_set).encode(), time.monotonic(), first_server
        while time.monotonic() - began_s < PUT_TIMEOUT_S:
            port, server_index = self._ports[server_index % self.count], server_index + 1
            try:
                status, answer = await send_request(port, "POST", "/configuration/changes", body)
            except (OSError, TimeoutError, ValueError):
                continue
            if status == 200:
                return int(json.loads(answer)["revision"]), time.monotonic() - began_s
            if status < 500:
                raise ValueError(f"status {status}: {answer[:300]!r}")
            await asyncio.sleep(RETRY_INTERVAL_S)
        raise TimeoutError(f"not committed within {PUT_TIMEOUT_S:.0f} s")


async def send_request(port: int, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Sends a request and returns the status and body of the answer. Raises OSError, TimeoutError, and
    ValueError for an answer that is not valid HTTP."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            request_head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
            writer.write(f"{request_head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            try:
                response_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            except (asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
                raise ValueError(str(error)) from None
            lines = response_head.split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
            body_bytes = int(headers.get("content-length", "0"))
            return int(lines[0].split(" ")[1]), await reader.readexactly(body_bytes)
        except asyncio.IncompleteReadError as error:
            raise ValueError(str(error)) from None
        finally:
            writer.close()
