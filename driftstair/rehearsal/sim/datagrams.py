"""UDP sockets of simulated machines. A datagram that reaches no socket is dropped without an error."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

from driftstair.rehearsal.sim.scheduler import SECOND

if TYPE_CHECKING:
    from driftstair.rehearsal.sim.loop import ProcessLoop
    from driftstair.rehearsal.sim.network import Address, Machine

RECEIVE_QUEUE_MAX = 256  # datagrams that wait for a process that does not read; any more are dropped


class SimulatedDatagrams:
    """A UDP socket; implements `driftstair.net.system.DatagramSocket`."""

    def __init__(
        self, machine: Machine, loop: ProcessLoop, address: Address,
        on_datagram: Callable[[bytes, Address], None], bytes_max: int,
    ) -> None:  # fmt: skip
        from driftstair.rehearsal.sim.network import os_error

        port = address[1] or machine.allocate_port()
        if port in machine.datagrams:
            raise os_error(errno.EADDRINUSE)
        machine.take_descriptor()
        self.address = address[0], port
        self.send_errors = 0
        self.receive_errors = 0
        self._machine = machine
        self._loop = loop
        self._on_datagram = on_datagram
        self._bytes_max = bytes_max
        self._queued = 0
        machine.datagrams[port] = self

    def send(self, data: bytes, address: Address) -> None:
        """Sends a datagram. An unknown address counts as a send error."""
        network, source = self._machine.network, self._machine
        target = network.machine(address[0])
        if target is None:
            self.send_errors += 1
            return
        for extra_delay_s, payload in network.datagram_deliveries(source, target, data):
            arrival = (
                network.scheduler.now + network.draw_delay_ns(source, target) + int(extra_delay_s * SECOND)
            )
            network.schedule(arrival, _deliver, source, target, address[1], self.address, payload)

    def enqueue(self, data: bytes, source: Address) -> None:
        """Queues a datagram from the network for the process."""
        if self._queued < RECEIVE_QUEUE_MAX:
            self._queued += 1
            self._loop.call_soon(self._pass_on, data[: self._bytes_max + 1], source)

    def _pass_on(self, data: bytes, source: Address) -> None:
        self._queued -= 1
        if self._machine.datagrams.get(self.address[1]) is self:
            self._on_datagram(data, source)

    def close(self) -> None:
        """Closes the socket and gives its descriptor back."""
        if self._machine.datagrams.pop(self.address[1], None) is not None:
            self._machine.descriptors_in_use -= 1


def _deliver(source: Machine, target: Machine, port: int, sender: Address, data: bytes) -> None:
    if source.reachable and target.reachable and (datagram_socket := target.datagrams.get(port)) is not None:
        datagram_socket.enqueue(data, sender)
