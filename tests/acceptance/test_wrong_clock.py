"""A node whose wall clock is an hour off when it starts still treats a newly started server as cold."""

from __future__ import annotations

import asyncio

import pytest
from rig import Discovery, Rig, Server, configuration, run, until

from driftstair.net.system import SocketSystem

MS = 1_000_000
SECOND = 1000 * MS
HOUR = 3600 * SECOND


class WrongClock(SocketSystem):
    """A wall clock that is off by a fixed amount."""

    def __init__(self, off: int) -> None:
        self._off = off

    def time_ns(self) -> int:  # type: ignore[override]
        return SocketSystem.time_ns() + self._off


@pytest.mark.parametrize("off", [HOUR, -HOUR])
def test_node_with_a_wrong_clock_treats_a_new_server_as_cold(
    off: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with Discovery() as discovery, Server("s-1") as warm, Server("s-2") as fresh:
            monkeypatch.setattr("rig.SYSTEM", WrongClock(off))
            async with Rig(configuration(warm, discovery=discovery.address)) as rig:
                rig.watch()
                await until(lambda: discovery.open)
                discovery.push(8, warm, full=True)
                await until(lambda: rig.node.servers.discovery.version == 8)
                await asyncio.sleep(0)
                fresh.started_ms = SocketSystem.time_ns() // MS
                discovery.push(9, fresh)
                await until(lambda: rig.node.servers.discovery.version == 9)
                backends = rig.node._core._backends.values()
                (started,) = [one.server.started for one in backends if one.server.started]
                assert 0 <= rig.node._now() - started < 20 * SECOND

    run(test())
