"""The system interface of hollow nodes: a dilated clock, metered sockets, and disk writes that can be
disabled."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, cast

from benchmarks.scale.hollow.clock import dilated_ns
from benchmarks.scale.hollow.plan import SECOND_NS, region_of
from driftstair.net.system import Result
from driftstair.net.udp_socket import UdpSocket


@dataclass(slots=True)
class Meter:
    """The traffic of a node's socket; bytes are UDP payload."""

    bytes_in: int = 0
    bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0
    unsent: int = 0


@dataclass(slots=True)
class Network:
    """The network between all nodes, for the senders in one process."""

    numbers: dict[tuple[str, int], int] = field(default_factory=dict)  # node numbers by address
    are_regions_cut: bool = False

    def delivers(self, sender: int, address: tuple[str, int]) -> bool:
        """Whether the network delivers datagrams from this node to this address."""
        return not self.are_regions_cut or region_of(sender) == region_of(self.numbers[address])


class MeteredUdpSocket(UdpSocket):
    """The real socket, which counts traffic and drops datagrams that the network does not deliver."""

    def __init__(
        self, number: int, meter: Meter, network: Network, address: tuple[str, int],
        on_datagram: Callable[[bytes, tuple[str, int]], None], bytes_max: int,
    ) -> None:  # fmt: skip
        def count_datagram(data: bytes, source: tuple[str, int]) -> None:
            meter.bytes_in += len(data)
            meter.datagrams_in += 1
            on_datagram(data, source)

        self._number = number
        self._meter = meter
        self._network = network
        super().__init__(address, count_datagram, bytes_max)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        self._meter.bytes_out += len(data)
        self._meter.datagrams_out += 1
        if self._network.delivers(self._number, address):
            errors_before = self.send_errors
            super().send(data, address)
            self._meter.unsent += self.send_errors - errors_before


class HollowSystem:
    """The part of `driftstair.net.system.System` that control parts use, for one process of a hollow node.
    The wall clock stands still, one second later for each `generation` of the node's process. With
    `clock_stopped` the monotonic clock stands still until `start_clock`."""

    def __init__(
        self,
        number: int,
        generation: int,
        dilation: float,
        wall_ns: int,
        network: Network,
        clock_stopped: bool,
    ) -> None:
        self.meter = Meter()
        self._clock_lag_ns = 0  # behind the clock that all nodes share
        self._stopped_at_ns = dilated_ns(dilation) if clock_stopped else None
        self.writes_enabled = False  # whether blocking functions, which write files, are run
        self._number = number
        self._dilation = dilation
        self._wall_ns = wall_ns + generation * SECOND_NS
        self._network = network
        self._socket: MeteredUdpSocket | None = None

    def monotonic_ns(self) -> int:
        """Returns the node's monotonic time."""
        return (
            dilated_ns(self._dilation) - self._clock_lag_ns
            if self._stopped_at_ns is None
            else self._stopped_at_ns
        )

    def start_clock(self) -> None:
        """Starts the monotonic clock."""
        if self._stopped_at_ns is not None:
            self._clock_lag_ns = dilated_ns(self._dilation) - self._stopped_at_ns
            self._stopped_at_ns = None

    def time_ns(self) -> int:
        """Returns the node's wall-clock time."""
        return self._wall_ns

    def open_datagram_socket(
        self, address: tuple[str, int], on_datagram: Callable[[bytes, tuple[str, int]], None], bytes_max: int
    ) -> MeteredUdpSocket:
        """Opens the node's metered UDP socket. Raises OSError."""
        self._socket = MeteredUdpSocket(
            self._number, self.meter, self._network, address, on_datagram, bytes_max
        )
        return self._socket

    def close_socket(self) -> None:
        """Closes the socket, whatever state the node is in."""
        if self._socket is not None:
            self._socket.close()

    async def run_blocking(self, function: Callable[[], Result]) -> Result:
        """Runs a function that blocks outside the event loop, or not at all if writes are disabled; their
        results are not used."""
        return await asyncio.to_thread(function) if self.writes_enabled else cast(Result, None)

    # Hollow nodes have no request path, so the remaining methods are never called.

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
