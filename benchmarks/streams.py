"""What long answers cost: throughput through a node against straight from the server, and the node's memory
while many clients read slowly. Loopback only, bounded in count and time; figures are ratios of one run.

    python benchmarks/streams.py [--json]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from rig import Message, Server, configuration, request  # noqa: E402

SIZE = 16 << 20  # bytes of an answer
ROUNDS = 12
READERS = 100  # slow ones, each in the midst of an answer
PIECE = b"x" * (1 << 16)


async def stream(_: Message, writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
    for _ in range(SIZE // len(PIECE)):
        writer.write(PIECE)
        await writer.drain()


async def fetch(
    address: tuple[str, int], amount: int = SIZE
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await asyncio.open_connection(*address, limit=1 << 18)
    writer.write(request())
    await reader.readuntil(b"\r\n\r\n")
    left = amount
    while left:
        left -= len(await reader.read(min(left, 1 << 18)))
    return reader, writer


async def rate(address: tuple[str, int]) -> float:
    """MB a second, one answer after the other."""
    began = time.perf_counter()
    for _ in range(ROUNDS):
        _, writer = await fetch(address)
        writer.close()
    return ROUNDS * SIZE / (time.perf_counter() - began) / 1e6


def resident(pid: int) -> float:
    """MB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def measure() -> dict[str, Any]:
    with socket.socket() as own:
        own.bind(("127.0.0.1", 0))
        port = own.getsockname()[1]
    async with Server("s-1", stream) as server:
        document = configuration(server) | {"listen": f"127.0.0.1:{port}"}
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_text(json.dumps(document))
            node = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "driftstair", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
                env={**os.environ, "BALANCER_CONFIG": str(path)},
            )  # fmt: skip
            try:
                assert node.stderr is not None
                while b"serving on" not in (line := await asyncio.wait_for(node.stderr.readline(), 20)):
                    assert line, "the node ended"
                host, _, number = server.address.rpartition(":")
                direct = await rate((host, int(number)))
                through = await rate(("127.0.0.1", port))
                before = resident(node.pid)
                slow = [await fetch(("127.0.0.1", port), 1 << 16) for _ in range(READERS)]
                await asyncio.sleep(1.0)  # until all buffers between are full
                during = resident(node.pid)
                for _, writer in slow:
                    writer.transport.abort()
            finally:
                node.kill()
                await node.wait()
    return {
        "direct_mb_s": round(direct), "through_mb_s": round(through), "part": round(through / direct, 2),
        "rss_before_mb": round(before, 1), "rss_slow_readers_mb": round(during, 1),
        "kb_a_slow_reader": round((during - before) * 1024 / READERS),
    }  # fmt: skip


def main() -> None:
    options = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    options.add_argument("--json", action="store_true")
    found = asyncio.run(measure())
    if options.parse_args().json:
        print(json.dumps(found))
    else:
        print("\n".join(f"{name:24}{value}" for name, value in found.items()))


if __name__ == "__main__":
    main()
