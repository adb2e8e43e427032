"""What a hollow node takes from the machine: a slow clock, metered sockets, a disk that may be none."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from benchmarks.scale.hollow.clock import dilated_ns
from benchmarks.scale.hollow.plan import NS, region_of
from driftstair.net.udp_socket import UdpSocket


@dataclass(slots=True)
class Meter:
    """What went through a node's socket; UDP payload."""

    bytes_in: int = 0
    bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0
    unsent: int = 0


@dataclass(slots=True)
class Links:
    """The network between all nodes, as the senders in one process see it."""

    numbers: dict[tuple[str, int], int] = field(default_factory=dict)  # by address
    regions_cut: bool = False

    def carries(self, sender: int, address: tuple[str, int]) -> bool:
        """Whether a datagram from that node to that address is sent at all."""
        return not self.regions_cut or region_of(sender) == region_of(self.numbers[address])


class MeteredDatagrams(UdpSocket):
    """The shipped socket, which counts, and drops what the network does not carry."""

    def __init__(
        self, number: int, meter: Meter, links: Links, address: tuple[str, int],
        received: Callable[[bytes, tuple[str, int]], None], most: int,
    ) -> None:  # fmt: skip
        def metered(data: bytes, source: tuple[str, int]) -> None:
            meter.bytes_in += len(data)
            meter.datagrams_in += 1
            received(data, source)

        self._number = number
        self._meter = meter
        self._links = links
        super().__init__(address, metered, most)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        self._meter.bytes_out += len(data)
        self._meter.datagrams_out += 1
        if self._links.carries(self._number, address):
            before = self.send_errors
            super().send(data, address)
            self._meter.unsent += self.send_errors - before


class HollowSystem:
    """`driftstair.net.system.System` for one process of a hollow node, as far as control parts use it.
    `generation`: of the node's process; its wall clock stands, a second later for each generation. `held`:
    its monotonic clock stands until `release`."""

    def __init__(
        self, number: int, generation: int, dilation: float, wall_ns: int, links: Links, held: bool
    ) -> None:
        self.meter = Meter()
        self._behind = 0  # ns, of the clock of all nodes
        self._held_at = dilated_ns(dilation) if held else None
        self.writes = False  # whether what is persisted is written
        self._number = number
        self._dilation = dilation
        self._wall_ns = wall_ns + generation * NS
        self._links = links
        self._socket: MeteredDatagrams | None = None

    def monotonic_ns(self) -> int:
        return dilated_ns(self._dilation) - self._behind if self._held_at is None else self._held_at

    def release(self) -> None:
        """The monotonic clock runs from now on."""
        if self._held_at is not None:
            self._behind = dilated_ns(self._dilation) - self._held_at
            self._held_at = None

    def time_ns(self) -> int:
        return self._wall_ns

    def open_datagram_socket(
        self, address: tuple[str, int], received: Callable[[bytes, tuple[str, int]], None], most: int
    ) -> MeteredDatagrams:
        """Raises OSError."""
        self._socket = MeteredDatagrams(self._number, self.meter, self._links, address, received, most)
        return self._socket

    def unplug(self) -> None:
        """The socket is closed whatever the node does."""
        if self._socket is not None:
            self._socket.close()

    async def run_blocking(self, what: Callable[[], None]) -> None:
        if self.writes:
            await asyncio.to_thread(what)

    # Hollow nodes have no request path.

    def listen(self, address: tuple[str, int], backlog: int) -> Any:
        raise NotImplementedError

    async def dial(self, factory: Callable[[], asyncio.BaseProtocol], address: tuple[str, int]) -> Any:
        raise NotImplementedError

    def configure_connection(self, transport: asyncio.Transport) -> Callable[[], bool]:
        raise NotImplementedError

    def peer_close_probe(self, transport: asyncio.Transport) -> Callable[[], int | None]:
        raise NotImplementedError

    def unread_probe(self, transport: asyncio.Transport) -> Callable[[], bool]:
        raise NotImplementedError

    def unread_bytes(self, transport: asyncio.Transport) -> int:
        raise NotImplementedError

    def accepted_age(self, transport: asyncio.Transport) -> int:
        raise NotImplementedError

    def data_age_probe(self, transport: asyncio.Transport) -> Callable[[], int]:
        raise NotImplementedError
