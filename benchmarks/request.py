"""What a request costs the daemon on real sockets: CPU time of its process for each request served.

    python benchmarks/request.py [--tree DIR ...] [--requests N] [--rounds N] [--json]

Busy connections of one client, two boxes that answer at once with 2 KB. With several trees (checkouts of
other builds, each run with this interpreter) the rounds alternate between them, so that the ratio of their
medians says more than each figure. Loopback only; bounded in requests. Not part of CI.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop

HERE = Path(__file__).resolve().parents[1]
BODY = b"." * 2048
ANSWER = b"HTTP/1.1 200 OK\r\nX-Load: load_share=0.3,depth=0\r\nContent-Length: 2048\r\n\r\n" + BODY


class Box(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self.transport.write(ANSWER)


class Client(asyncio.Protocol):
    """Asks again as soon as it is answered."""

    left = 0
    number = 0
    done: asyncio.Future[None]
    statuses: dict[bytes, int] = {}  # noqa: RUF012
    took: list[float] = []  # noqa: RUF012 - s

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.got = b""

    def ask(self) -> None:
        cls = Client
        if cls.left <= 0:
            return
        cls.left -= 1
        cls.number += 1
        self.asked = time.perf_counter()
        self.transport.write(
            b"GET /api HTTP/1.1\r\nHost: captions\r\nX-Request-Id: %016x\r\nX-Class: page\r\nX-Key: k%d\r\n"
            b"X-Tenant: t%d\r\nX-Deadline: 5000m\r\n\r\n" % (cls.number, cls.number % 997, cls.number % 20)
        )

    def data_received(self, data: bytes) -> None:
        self.got += data
        head, end, body = self.got.partition(b"\r\n\r\n")
        if not end or (head.startswith(b"HTTP/1.1 200") and len(body) < len(BODY)):
            return
        self.got = b""
        status = head[9:12]
        Client.took.append(time.perf_counter() - self.asked)
        Client.statuses[status] = Client.statuses.get(status, 0) + 1
        if Client.left <= 0 and sum(Client.statuses.values()) >= Client.number:
            if not Client.done.done():
                Client.done.set_result(None)
        else:
            self.ask()

    def connection_lost(self, exc: Exception | None) -> None:
        pass


def document(addresses: list[str]) -> dict[str, Any]:
    second = 10**9
    grade = {
        "Aim": second, "Deadline": 5 * second, "Group": "all", "LateShare": 0.0, "MemorySpan": 0,
        "Name": "page", "Semantics": "repeatable", "Stream": False, "Worth": 1.0,
    }  # fmt: skip
    return {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": [
            {"id": f"s-{index}", "addr": address, "zone": "room", "kind": "box", "cell": 0, "state": "Ready",
             "weight": 1.0, "started_ms": 0} for index, address in enumerate(addresses)]},
        "settings": {
            "Contract": {"AskWithin": 100 * second, "Cold": second, "ColdShare": 0.5},
            "Feedback": {"Fields": ["load_share", "depth"], "How": "answers"}, "Grades": [grade],
            "Kinds": ["box"], "Zones": ["room"], "Tenants": [], "MembershipMode": "on_request",
            "Limits": {"DialTimeout": second, "IdleClose": 30 * second, "MaxRetryAfter": second,
                       "OpenCap": 20000, "RetryAfter": True, "SendCap": 5},
            "PeersTotal": 1, "WorthBy": "request",
        },
    }  # fmt: skip


def cpu_of(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_of(pid: int) -> float:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


async def one_round(tree: Path, requests: int, connections: int, service: str = "") -> dict[str, float]:
    loop = asyncio.get_running_loop()
    boxes = [await loop.create_server(Box, "127.0.0.1", 0) for _ in range(2)]
    addresses = [":".join(map(str, box.sockets[0].getsockname())) for box in boxes]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(document(addresses)))
        process = subprocess.Popen(
            [sys.executable, "-m", "driftstair", *(("--service", service) if service else ())],
            cwd=tree, stderr=subprocess.PIPE, text=True,
            env={**os.environ, "BALANCER_CONFIG": str(path)},
        )  # fmt: skip
        try:
            assert process.stderr is not None
            while "serving on" not in (line := process.stderr.readline()):
                assert line, "the daemon ended"
            host, port = line.split()[-1].rsplit(":", 1)
            clients = [(await loop.create_connection(Client, host, int(port)))[1] for _ in range(connections)]
            figures = {}
            for phase, number in (("warm", requests // 5), ("measured", requests)):
                Client.left, Client.number, Client.statuses, Client.took = number, 0, {}, []
                Client.done = loop.create_future()
                cpu, began = cpu_of(process.pid), time.monotonic()
                for client in clients:
                    client.ask()
                await asyncio.wait_for(Client.done, 120)
                took = time.monotonic() - began
                figures[phase] = (cpu_of(process.pid) - cpu, took, Client.statuses.get(b"200", 0))
            cpu, took, served = figures["measured"]
            return {
                "cpu_us": cpu / requests * 1e6, "per_s": requests / took, "served": served / requests,
                "rss_mb": memory_of(process.pid),
                "p99_ms": sorted(Client.took)[int(0.99 * len(Client.took))] * 1e3,
            }  # fmt: skip
        finally:
            process.kill()
            process.wait()
            for box in boxes:
                box.close()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", type=Path, action="append")
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    trees = options.tree or [HERE]
    found: list[list[dict[str, float]]] = [[] for _ in trees]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        for _ in range(options.rounds):
            for index, tree in enumerate(trees):
                found[index].append(runner.run(one_round(tree, options.requests, options.connections)))
    rows = [
        {
            key: round((min if key == "cpu_us" else statistics.median)(one[key] for one in rounds), 3)
            for key in rounds[0]
        }
        for rounds in found
    ]
    if options.json:
        print(json.dumps(rows, indent=1))
        return 0
    for index, row in enumerate(rows):
        ratio = row["cpu_us"] / rows[0]["cpu_us"]
        print(
            f"build {index}: {row['cpu_us']:.0f} us of CPU a request ({ratio:.3f} of build 0), "
            f"{row['per_s']:.0f} requests/s, {row['served']:.1%} served, {row['rss_mb']:.1f} MB resident"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
