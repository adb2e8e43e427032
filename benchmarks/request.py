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

ROOT = Path(__file__).resolve().parents[1]
BODY = b"." * 2048
RESPONSE = b"HTTP/1.1 200 OK\r\nX-Load: load_share=0.3,depth=0\r\nContent-Length: 2048\r\n\r\n" + BODY


class Box(asyncio.Protocol):
    """A server connection that answers each request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self.transport.write(RESPONSE)


class Client(asyncio.Protocol):
    """A connection that sends the next request as soon as it has an answer.

    The class attributes count the requests of all connections in a burst.
    """

    unsent = 0
    sent_count = 0
    all_answered: asyncio.Future[None]
    statuses: dict[bytes, int] = {}  # noqa: RUF012
    latencies_s: list[float] = []  # noqa: RUF012

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.received = b""

    def send_request(self) -> None:
        """Sends the next request of the burst, if one is left."""
        cls = Client
        if cls.unsent <= 0:
            return
        cls.unsent -= 1
        cls.sent_count += 1
        self.sent_at_s = time.perf_counter()
        self.transport.write(
            b"GET /api HTTP/1.1\r\nHost: captions\r\nX-Request-Id: %016x\r\nX-Class: page\r\nX-Key: k%d\r\n"
            b"X-Tenant: t%d\r\nX-Deadline: 5000m\r\n\r\n"
            % (cls.sent_count, cls.sent_count % 997, cls.sent_count % 20)
        )

    def data_received(self, data: bytes) -> None:
        self.received += data
        head, end, body = self.received.partition(b"\r\n\r\n")
        if not end or (head.startswith(b"HTTP/1.1 200") and len(body) < len(BODY)):
            return
        self.received = b""
        status = head[9:12]
        Client.latencies_s.append(time.perf_counter() - self.sent_at_s)
        Client.statuses[status] = Client.statuses.get(status, 0) + 1
        if Client.unsent <= 0 and sum(Client.statuses.values()) >= Client.sent_count:
            if not Client.all_answered.done():
                Client.all_answered.set_result(None)
        else:
            self.send_request()

    def connection_lost(self, exc: Exception | None) -> None:
        pass


def node_document(addresses: list[str]) -> dict[str, Any]:
    """Returns the configuration of a node that knows the servers at these addresses."""
    ns_per_s = 10**9
    request_class = {
        "Aim": ns_per_s, "Deadline": 5 * ns_per_s, "Group": "all", "LateShare": 0.0, "MemorySpan": 0,
        "Name": "page", "Semantics": "repeatable", "Stream": False, "Worth": 1.0,
    }  # fmt: skip
    return {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": [
            {"id": f"s-{number}", "addr": address, "zone": "room", "kind": "box", "cell": 0, "state": "Ready",
             "weight": 1.0, "started_ms": 0} for number, address in enumerate(addresses)]},
        "settings": {
            "Contract": {"AskWithin": 100 * ns_per_s, "Cold": ns_per_s, "ColdShare": 0.5},
            "Feedback": {"Fields": ["load_share", "depth"], "How": "answers"}, "Grades": [request_class],
            "Kinds": ["box"], "Zones": ["room"], "Tenants": [], "MembershipMode": "on_request",
            "Limits": {"DialTimeout": ns_per_s, "IdleClose": 30 * ns_per_s, "MaxRetryAfter": ns_per_s,
                       "OpenCap": 20000, "RetryAfter": True, "SendCap": 5},
            "PeersTotal": 1, "WorthBy": "request",
        },
    }  # fmt: skip


def process_cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


async def run_round(tree: Path, requests: int, connections: int, service: str = "") -> dict[str, float]:
    """Starts a daemon of the tree, sends it a burst to warm up and then the measured one, and returns its
    figures. `service`: path of the service file, empty for none."""
    loop = asyncio.get_running_loop()
    boxes = [await loop.create_server(Box, "127.0.0.1", 0) for _ in range(2)]
    addresses = [":".join(map(str, box.sockets[0].getsockname())) for box in boxes]
    with tempfile.TemporaryDirectory() as folder:
        config_file = Path(folder, "config.json")
        config_file.write_text(json.dumps(node_document(addresses)))
        process = subprocess.Popen(
            [sys.executable, "-m", "driftstair", *(("--service", service) if service else ())],
            cwd=tree, stderr=subprocess.PIPE, text=True,
            env={**os.environ, "BALANCER_CONFIG": str(config_file)},
        )  # fmt: skip
        try:
            assert process.stderr is not None
            while "serving on" not in (line := process.stderr.readline()):
                assert line, "the daemon ended"
            host, port = line.split()[-1].rsplit(":", 1)
            clients = [(await loop.create_connection(Client, host, int(port)))[1] for _ in range(connections)]
            figures = {}
            for phase, request_count in (("warm", requests // 5), ("measured", requests)):
                Client.unsent, Client.sent_count, Client.statuses, Client.latencies_s = (
                    request_count,
                    0,
                    {},
                    [],
                )
                Client.all_answered = loop.create_future()
                cpu_s, start_s = process_cpu_s(process.pid), time.monotonic()
                for client in clients:
                    client.send_request()
                await asyncio.wait_for(Client.all_answered, 120)
                duration_s = time.monotonic() - start_s
                figures[phase] = (
                    process_cpu_s(process.pid) - cpu_s,
                    duration_s,
                    Client.statuses.get(b"200", 0),
                )
            cpu_s, duration_s, served = figures["measured"]
            return {
                "cpu_us": cpu_s / requests * 1e6, "per_s": requests / duration_s, "served": served / requests,
                "rss_mb": resident_mb(process.pid),
                "p99_ms": sorted(Client.latencies_s)[int(0.99 * len(Client.latencies_s))] * 1e3,
            }  # fmt: skip
        finally:
            process.kill()
            process.wait()
            for box in boxes:
                box.close()


def main() -> int:
    """Runs rounds of all trees in turn, and prints a row for each tree."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--tree", type=Path, action="append")
    parser.add_argument("--requests", type=int, default=20_000)
    parser.add_argument("--connections", type=int, default=64)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    trees = options.tree or [ROOT]
    results: list[list[dict[str, float]]] = [[] for _ in trees]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        for _ in range(options.rounds):
            for index, tree in enumerate(trees):
                results[index].append(runner.run(run_round(tree, options.requests, options.connections)))
    rows = [
        {
            key: round(
                (min if key == "cpu_us" else statistics.median)(
                    figures[key] for figures in figures_of_rounds
                ),
                3,
            )
            for key in figures_of_rounds[0]
        }
        for figures_of_rounds in results
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
