"""The simulated machine behind the daemon's seam (`driftstair.net.system.System`)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from driftstair.net.system import DatagramSocket, Listener, ProtocolFactory, System
from driftstair.rehearsal.sim.datagrams import SimulatedDatagrams
from driftstair.rehearsal.sim.loop import ProcessLoop
from driftstair.rehearsal.sim.network import Machine
from driftstair.rehearsal.sim.stream import Endpoint


class SimulatedSystem(System):
    """Clocks, listening and dialing of one process on one machine. `wall_offset`: ns by which this machine's
    wall clock is ahead of the others'."""

    def __init__(self, machine: Machine, loop: ProcessLoop, wall_offset: int = 0, rate: float = 1.0) -> None:
        self._machine = machine
        self._loop = loop
        self._scheduler = machine.network.scheduler
        self._wall_offset = wall_offset
        self._rate = rate

    def monotonic_ns(self) -> int:
        now = self._scheduler.now
        return now if self._rate == 1.0 else int(now * self._rate)

    def time_ns(self) -> int:
        return self._scheduler.epoch + self._scheduler.now + self._wall_offset

    def listen(self, address: tuple[str, int], backlog: int) -> Listener:
        return cast(Listener, self._machine.listen(self._loop, address, backlog))

    async def dial(self, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
        return await self._machine.network.dial(self._loop, self._machine, factory, address)

    def open_datagram_socket(
        self, address: tuple[str, int], received: Callable[[bytes, tuple[str, int]], None], most: int
    ) -> DatagramSocket:
        return SimulatedDatagrams(self._machine, self._loop, address, received, most)

    def configure_connection(self, transport: asyncio.Transport) -> Callable[[], bool]:
        endpoint = cast(Endpoint, transport)
        return lambda: not endpoint.has_unread()

    def peer_close_probe(self, transport: asyncio.Transport) -> Callable[[], int | None]:
        endpoint = cast(Endpoint, transport)

        def departed() -> int | None:
            return None if endpoint.left_at is None else self._scheduler.now - endpoint.left_at

        return departed

    def unread_probe(self, transport: asyncio.Transport) -> Callable[[], bool]:
        endpoint = cast(Endpoint, transport)
        return lambda: endpoint.has_unread() and not endpoint.was_reset()

    def data_age_probe(self, transport: asyncio.Transport) -> Callable[[], int]:
        return lambda: 0  # what a stopped process finds is not dated in this world

    def accepted_age(self, transport: asyncio.Transport) -> int:
        return 0  # likewise

    def unread_bytes(self, transport: asyncio.Transport) -> int:
        return cast(Endpoint, transport).unread_bytes()

    async def run_blocking(self, what: Callable[[], None]) -> None:
        """At once: a thread would not be in step with this world's time."""
        what()
