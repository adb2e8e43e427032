"""What long answers cost: throughput through a node against straight from the server, and the node's memory
while many clients read slowly.

Uses loopback only, with a bounded number of answers and a bounded time. Compare the figures of one run with
each other only: they depend on the machine.

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

ANSWER_BYTES = 16 << 20
ROUND_COUNT = 12
SLOW_READERS = 100  # clients that stop reading in the middle of an answer
CHUNK = b"x" * (1 << 16)


async def send_answer(_: Message, writer: asyncio.StreamWriter) -> None:
    """Answers a request of the test server."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
    for _ in range(ANSWER_BYTES // len(CHUNK)):
        writer.write(CHUNK)
        await writer.drain()


async def fetch(
    address: tuple[str, int], byte_count: int = ANSWER_BYTES
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Sends a request and reads so many bytes of the answer's body."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 18)
    writer.write(request())
    await reader.readuntil(b"\r\n\r\n")
    remaining = byte_count
    while remaining:
        remaining -= len(await reader.read(min(remaining, 1 << 18)))
    return reader, writer


async def rate_mb_s(address: tuple[str, int]) -> float:
    """Returns the throughput in MB per second of answers that are fetched one after the other."""
    start_s = time.perf_counter()
    for _ in range(ROUND_COUNT):
        _, writer = await fetch(address)
        writer.close()
    return ROUND_COUNT * ANSWER_BYTES / (time.perf_counter() - start_s) / 1e6


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def measure() -> dict[str, Any]:
    """Starts a server and a node, and returns all figures."""
    with socket.socket() as probe_socket:
        probe_socket.bind(("127.0.0.1", 0))
        port = probe_socket.getsockname()[1]
    async with Server("s-1", send_answer) as server:
        document = configuration(server) | {"listen": f"127.0.0.1:{port}"}
        with tempfile.TemporaryDirectory() as folder:
            config_file = Path(folder, "config.json")
            config_file.write_text(json.dumps(document))
            node = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "driftstair", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
                env={**os.environ, "BALANCER_CONFIG": str(config_file)},
            )  # fmt: skip
            try:
                assert node.stderr is not None
                while b"serving on" not in (line := await asyncio.wait_for(node.stderr.readline(), 20)):
                    assert line, "the node ended"
                host, _, server_port = server.address.rpartition(":")
                direct_mb_s = await rate_mb_s((host, int(server_port)))
                through_mb_s = await rate_mb_s(("127.0.0.1", port))
                mb_before = resident_mb(node.pid)
                slow_connections = [await fetch(("127.0.0.1", port), 1 << 16) for _ in range(SLOW_READERS)]
                await asyncio.sleep(1.0)  # until all buffers on the way are full
                mb_during = resident_mb(node.pid)
                for _, writer in slow_connections:
                    writer.transport.abort()
            finally:
                node.kill()
                await node.wait()
    return {
        "direct_mb_s": round(direct_mb_s), "through_mb_s": round(through_mb_s),
        "part": round(through_mb_s / direct_mb_s, 2),
        "rss_before_mb": round(mb_before, 1), "rss_slow_readers_mb": round(mb_during, 1),
        "kb_a_slow_reader": round((mb_during - mb_before) * 1024 / SLOW_READERS),
    }  # fmt: skip


def main() -> None:
    """Runs the benchmark and prints its figures."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--json", action="store_true")
    figures = asyncio.run(measure())
    if parser.parse_args().json:
        print(json.dumps(figures))
    else:
        print("\n".join(f"{name:24}{value}" for name, value in figures.items()))


if __name__ == "__main__":
    main()
