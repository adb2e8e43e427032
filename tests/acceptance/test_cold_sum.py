"""24 processes before cold servers under a burst: what all of them together send to one stays within what the
settings allow, and chance (N + 2 x root of N + 2)."""

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
QUIET, BURST = 120.0, 360.0  # requests a second, of all clients
QUIET_FOR, BURST_FOR = 4.0, 5.0  # s
WINDOW = 1.5  # s in which a cold server falls
MULTIPLE, COLD_SHARE, COLD_TIME = 3.0, 0.15, 20.0  # s
WORK = 0.02  # s
STARTS_WITHIN = 180.0  # s that only a test that has failed takes


@dataclass
class Arrivals:
    """When requests came to one server (s), which does each in the same time."""

    times: list[float] = field(default_factory=list)

    async def __call__(self, _: Message, writer: asyncio.StreamWriter) -> None:
        self.times.append(asyncio.get_running_loop().time())
        await asyncio.sleep(WORK)
        writer.write(answer())

    def within(self, end: float) -> int:
        """Requests in the window that ends at a time."""
        return bisect_right(self.times, end) - bisect_right(self.times, end - WINDOW)


@dataclass
class Load:
    """Clients of one process: each request takes a connection that is free, or a new one."""

    node: Program
    free: list[Client] = field(default_factory=list)
    served: int = 0

    async def ask(self) -> None:
        client = self.free.pop() if self.free else await self.node.client()
        self.served += status(await client.ask(request())) == 200
        self.free.append(client)


async def offer(loads: list[Load], rate: float, seconds: float, random: Random) -> None:
    """Requests at times of chance, whatever becomes of those before, each at a process of chance."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    due = loop.time()
    async with asyncio.TaskGroup() as asked:
        while (due := due + random.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            asked.create_task(random.choice(loads).ask())


def allowed(started: float, at: float, warm_most: int) -> float:
    """Requests that the settings allow a cold server in the window that ends at a time."""
    age = max(0.0, at - WINDOW / 2 - started)
    warmth = COLD_SHARE + (1.0 - COLD_SHARE) * age / COLD_TIME
    return MULTIPLE * warmth * warm_most


def test_no_cold_server_gets_more_from_all_processes_than_the_settings_allow(tmp_path: Path) -> None:
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
                "Cold": int(COLD_TIME * 1e9), "ColdShare": COLD_SHARE, "FallMultiple": MULTIPLE,
            }  # fmt: skip
            registry.servers = servers[:WARM]
            loads = [Load(one) for one in await nodes(stack, document, tmp_path, PROCESSES)]
            await until(lambda: len(registry.told) == PROCESSES)
            await offer(loads, QUIET, QUIET_FOR, random)
            for one in servers[WARM:]:
                one.started_ms = int(time() * 1000)
            started = loop.time()
            registry.change(*servers)
            await offer(loads, BURST, BURST_FOR, random)
            warm_most = max(one.within(at) for one in warm for at in one.times)
            for one in cold:
                assert one.times  # they are not left out
                for at in one.times:
                    most = allowed(started, at, warm_most)
                    assert one.within(at) <= most + 2.0 * sqrt(most) + 2.0
            assert all(one.served for one in loads)

    run_for(test(), STARTS_WITHIN)
