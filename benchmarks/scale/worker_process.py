"""A worker process that carries out orders from its standard input, each one line of JSON, and answers
each."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Generic, TypeVar

import msgspec

from benchmarks.scale.rows import ROOT

ANSWER_TIMEOUT_S = 300.0  # reached only if a worker has failed
LINE_BYTES_MAX = 16 << 20  # one order or answer

Answer = TypeVar("Answer")


class WorkerProcess(Generic[Answer]):
    """A worker process, which gets one order at a time."""

    def __init__(self, process: asyncio.subprocess.Process, decode_answer: Callable[[bytes], Answer]) -> None:
        self._process = process
        self._decode = decode_answer

    @classmethod
    async def launch(
        cls, module: str, *arguments: str, decode_answer: Callable[[bytes], Answer]
    ) -> WorkerProcess[Answer]:
        """Starts a module as a worker. `decode_answer` decodes the line of an answer."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *arguments, cwd=ROOT, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, limit=LINE_BYTES_MAX,
        )  # fmt: skip
        return cls(process, decode_answer)

    async def send(self, order: msgspec.Struct) -> Answer:
        """Sends an order and returns the answer. Raises RuntimeError if the worker has ended, and
        TimeoutError if it does not answer."""
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(msgspec.json.encode(order) + b"\n")
        line = await asyncio.wait_for(self._process.stdout.readline(), ANSWER_TIMEOUT_S)
        if not line:
            raise RuntimeError("a worker has ended")
        return self._decode(line)

    def resident_bytes(self) -> int:
        """Returns the worker's resident memory, or 0 if it has ended."""
        try:
            text = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0
        return next((int(line.split()[1]) << 10 for line in text.splitlines() if line.startswith("VmRSS")), 0)

    async def kill(self) -> None:
        """Ends the worker, whatever it is doing."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
