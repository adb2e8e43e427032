"""UDP sockets of simulated machines. A datagram that finds nobody is lost, and nobody is told."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

from driftstair.rehearsal.sim.scheduler import SECOND

if TYPE_CHECKING:
    from driftstair.rehearsal.sim.loop import ProcessLoop
    from driftstair.rehearsal.sim.network import Address, Machine

QUEUE_MOST = 256  # datagrams that wait for a process that does not read; the rest are lost


class SimulatedDatagrams:
    def __init__(
        self, machine: Machine, loop: ProcessLoop, address: Address,
        received: Callable[[bytes, Address], None], most: int,
    ) -> None:  # fmt: skip
        from driftstair.rehearsal.sim.network import error

        port = address[1] or machine.free_port()
        if port in machine.datagrams:
            raise error(errno.EADDRINUSE)
        machine.take_descriptor()
        self.address = address[0], port
        self.send_errors = 0
        self.receive_errors = 0
        self._machine = machine
        self._loop = loop
        self._received = received
        self._most = most
        self._waiting = 0
        machine.datagrams[port] = self

    def send(self, data: bytes, address: Address) -> None:
        network, source = self._machine.network, self._machine
        target = network.machine(address[0])
        if target is None:
            self.send_errors += 1
            return
        for late, what in network.fate(source, target, data):
            when = network.scheduler.now + network.delay(source, target) + int(late * SECOND)
            network.happen(when, _arrive, source, target, address[1], self.address, what)

    def arrive(self, data: bytes, source: Address) -> None:
        if self._waiting < QUEUE_MOST:
            self._waiting += 1
            self._loop.call_soon(self._read, data[: self._most + 1], source)

    def _read(self, data: bytes, source: Address) -> None:
        self._waiting -= 1
        if self._machine.datagrams.get(self.address[1]) is self:
            self._received(data, source)

    def close(self) -> None:
        if self._machine.datagrams.pop(self.address[1], None) is not None:
            self._machine.descriptors -= 1


def _arrive(source: Machine, target: Machine, port: int, sender: Address, data: bytes) -> None:
    if source.reachable and target.reachable and (own := target.datagrams.get(port)) is not None:
        own.arrive(data, sender)
