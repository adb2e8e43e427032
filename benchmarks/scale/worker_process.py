"""A process that carries out orders from its standard input: a JSON line each, and an answer to each."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Generic, TypeVar

import msgspec

from benchmarks.scale.rows import ROOT

ANSWER_WITHIN = 300.0  # s: only a worker that has failed takes so long
LINE_MOST = 16 << 20  # bytes of an order or an answer

Answer = TypeVar("Answer")


class WorkerProcess(Generic[Answer]):
    """One worker, and its orders one after the other."""

    def __init__(self, process: asyncio.subprocess.Process, answers: Callable[[bytes], Answer]) -> None:
        self._process = process
        self._decode = answers

    @classmethod
    async def launch(
        cls, module: str, *words: str, answers: Callable[[bytes], Answer]
    ) -> WorkerProcess[Answer]:
        """`answers`: what an answer's line decodes to."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *words, cwd=ROOT, stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE, limit=LINE_MOST,
        )  # fmt: skip
        return cls(process, answers)

    async def ask(self, order: msgspec.Struct) -> Answer:
        """Raises RuntimeError where the worker has ended, TimeoutError where it does not answer."""
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(msgspec.json.encode(order) + b"\n")
        line = await asyncio.wait_for(self._process.stdout.readline(), ANSWER_WITHIN)
        if not line:
            raise RuntimeError("a worker has ended")
        return self._decode(line)

    def resident(self) -> int:
        """Bytes in memory."""
        try:
            text = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0
        return next((int(line.split()[1]) << 10 for line in text.splitlines() if line.startswith("VmRSS")), 0)

    async def end(self) -> None:
        """Whatever it does."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
