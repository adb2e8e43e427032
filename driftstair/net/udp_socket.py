"""A UDP socket of the node's machine."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

TURN_MOST = 32  # datagrams read in one turn of the loop
REST = 0.004  # s that a socket with more than these rests: others have their turns, the kernel drops a flood


class UdpSocket:
    """Reads at most TURN_MOST / REST datagrams a second, so that a flood costs bounded time."""

    def __init__(
        self, address: tuple[str, int], received: Callable[[bytes, tuple[str, int]], None], most: int
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._received = received
        self._most = most
        self._rest: asyncio.TimerHandle | None = None
        self.send_errors = 0
        self.receive_errors = 0
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            self._socket.setblocking(False)
            self._socket.bind(address)
        except OSError:
            self._socket.close()
            raise
        self.address: tuple[str, int] = self._socket.getsockname()[:2]
        self._loop.add_reader(self._socket, self._ready)

    def _ready(self) -> None:
        for _ in range(TURN_MOST):
            try:
                data, source = self._socket.recvfrom(self._most + 1)
            except BlockingIOError:
                return
            except OSError:
                self.receive_errors += 1  # an ICMP of a datagram sent before
                continue
            self._received(data, source[:2])
            if self._socket.fileno() < 0:
                return  # closed on what came
        self._loop.remove_reader(self._socket)
        self._rest = self._loop.call_later(REST, self._loop.add_reader, self._socket, self._ready)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError:  # a full buffer, no route, or what another machine has refused
            self.send_errors += 1

    def close(self) -> None:
        if self._rest is not None:
            self._rest.cancel()
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket)
            self._socket.close()
