"""24 processes and cold servers under a burst: what all processes together send to one server stays within
the limit N of the settings, plus random variation (N + 2 x sqrt(N) + 2)."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from math import sqrt
from pathlib import Path
from random import Random
from time import time

from rig import Client, Message, Server, answer, configuration, request, run_for, status, until
from test_process import Program
from test_processes_together import Registry, nodes

PROCESSES, WARM, COLD = 24, 4, 4
QUIET_RPS, BURST_RPS = 120.0, 360.0  # of all clients
QUIET_S, BURST_S = 4.0, 5.0
WINDOW_S = 1.5  # period over which the load limit of a cold server applies
MULTIPLE, COLD_SHARE, COLD_TIME_S = 3.0, 0.15, 20.0
WORK_S = 0.02
TEST_TIMEOUT_S = 180.0  # reached only by a failing test


@dataclass
class Arrivals:
    """Arrival times (s) of the requests at one server, which takes the same time for each."""

    times: list[float] = field(default_factory=list)

    async def __call__(self, _: Message, writer: asyncio.StreamWriter) -> None:
        self.times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(WORK_S)
        writer.write(answer())

    def within(self, end: float) -> int:
        """Number of requests in the window that ends at `end`."""
        return bisect_right(self.times, end) - bisect_right(self.times, end - WINDOW_S)


@dataclass
class Load:
    """Clients of one process. Each request uses a free connection or opens a new one."""

    node: Program
    free: list[Client] = field(default_factory=list)
    served: int = 0

    async def ask(self) -> None:
        client = self.free.pop() if self.free else await self.node.client()
        self.served += status(await client.ask(request())) == 200
        self.free.append(client)


async def offer(loads: list[Load], rate: float, seconds: float, random: Random) -> None:
    """Open-loop load: requests at random times, each to a random process."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    due = loop.time()
    async with asyncio.TaskGroup() as asked:
        while (due := due + random.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            asked.create_task(random.choice(loads).ask())


def allowed(started: float, at: float, warm_most: int) -> float:
    """Requests that the settings allow for a cold server in the window that ends at `at`."""
    age = max(0.0, at - WINDOW_S / 2 - started)
    warmth = COLD_SHARE + (1.0 - COLD_SHARE) * age / COLD_TIME_S
    return MULTIPLE * warmth * warm_most


def test_load_of_all_processes_on_a_cold_server_is_within_the_settings(tmp_path: Path) -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        random = Random(53)
        warm, cold = [Arrivals() for _ in range(WARM)], [Arrivals() for _ in range(COLD)]
        async with AsyncExitStack() as stack, Registry() as registry:
            servers = [
                await stack.enter_async_context(Server(f"s-{number}", arrivals))
                for number, arrivals in enumerate((*warm, *cold))
            ]
            document = configuration(*servers[:WARM], discovery=registry.address)
            document["settings"] |= {"MembershipMode": "pushed", "PeersTotal": PROCESSES}
            document["settings"]["Contract"] |= {
                "Cold": int(COLD_TIME_S * 1e9), "ColdShare": COLD_SHARE, "FallMultiple": MULTIPLE,
            }  # fmt: skip
            registry.servers = servers[:WARM]
            loads = [Load(one) for one in await nodes(stack, document, tmp_path, PROCESSES)]
            await until(lambda: len(registry.told) == PROCESSES)
            await offer(loads, QUIET_RPS, QUIET_S, random)
            for one in servers[WARM:]:
                one.started_ms = int(time() * 1000)
            started = loop.time()
            registry.change(*servers)
            await offer(loads, BURST_RPS, BURST_S, random)
            warm_most = max(one.within(at) for one in warm for at in one.times)
            for one in cold:
                assert one.times  # cold servers get some load
                for at in one.times:
                    limit = allowed(started, at, warm_most)
                    assert one.within(at) <= limit + 2.0 * sqrt(limit) + 2.0
            assert all(one.served for one in loads)

    run_for(test(), TEST_TIMEOUT_S)
