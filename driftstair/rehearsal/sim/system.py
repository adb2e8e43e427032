"""The operating system of a simulated machine, as `driftstair.net.system.System`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from driftstair.net.system import DatagramSocket, Listener, ProtocolFactory, Result, System
from driftstair.rehearsal.sim.datagrams import SimulatedDatagrams
from driftstair.rehearsal.sim.loop import ProcessLoop
from driftstair.rehearsal.sim.network import Machine
from driftstair.rehearsal.sim.stream import Endpoint


class SimulatedSystem(System):
    """Clocks, sockets and connections of one process on one machine. `wall_offset_ns`: how far this machine's
    wall clock is ahead of the others'; `clock_rate`: speed of its monotonic clock relative to virtual
    time."""

    def __init__(
        self, machine: Machine, loop: ProcessLoop, wall_offset_ns: int = 0, clock_rate: float = 1.0
    ) -> None:
        self._machine = machine
        self._loop = loop
        self._scheduler = machine.network.scheduler
        self._wall_offset_ns = wall_offset_ns
        self._clock_rate = clock_rate

    def monotonic_ns(self) -> int:
        now = self._scheduler.now
        return now if self._clock_rate == 1.0 else int(now * self._clock_rate)

    def time_ns(self) -> int:
        return self._scheduler.epoch_ns + self._scheduler.now + self._wall_offset_ns

    def listen(self, address: tuple[str, int], backlog: int) -> Listener:
        return cast(Listener, self._machine.listen(self._loop, address, backlog))

    async def dial(self, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
        return await self._machine.network.dial(self._loop, self._machine, factory, address)

    def open_datagram_socket(
        self, address: tuple[str, int], on_datagram: Callable[[bytes, tuple[str, int]], None], bytes_max: int
    ) -> DatagramSocket:
        return SimulatedDatagrams(self._machine, self._loop, address, on_datagram, bytes_max)

    def configure_connection(self, transport: asyncio.Transport) -> Callable[[], bool]:
        endpoint = cast(Endpoint, transport)
        return lambda: not endpoint.has_unread()

    def peer_close_probe(self, transport: asyncio.Transport) -> Callable[[], int | None]:
        endpoint = cast(Endpoint, transport)

        def closed_for_ns() -> int | None:
            return None if endpoint.peer_left_at is None else self._scheduler.now - endpoint.peer_left_at

        return closed_for_ns

    def unread_probe(self, transport: asyncio.Transport) -> Callable[[], bool]:
        endpoint = cast(Endpoint, transport)
        return lambda: endpoint.has_unread() and not endpoint.was_reset()

    def data_age_probe(self, transport: asyncio.Transport) -> Callable[[], int]:
        return lambda: 0  # the simulation doesn't record when data arrived

    def accepted_age(self, transport: asyncio.Transport) -> int:
        return 0  # the simulation doesn't record when a connection was established

    def unread_bytes(self, transport: asyncio.Transport) -> int:
        return cast(Endpoint, transport).unread_bytes()

    def reset_on_close(self, transport: asyncio.Transport) -> None:
        cast(Endpoint, transport).resets_on_close = True

    async def run_blocking(self, function: Callable[[], Result]) -> Result:
        """Runs the function at once: a thread would not follow virtual time."""
        return function()
