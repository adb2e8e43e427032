"""UDP sockets of the operating system."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

DATAGRAMS_PER_TURN_MAX = 32  # read in one turn of the loop
READ_PAUSE_S = 0.004  # after that many datagrams; other work runs meanwhile, and the kernel drops a flood


class UdpSocket:
    """Reads at most DATAGRAMS_PER_TURN_MAX / READ_PAUSE_S datagrams a second, which bounds a flood."""

    def __init__(
        self, address: tuple[str, int], on_datagram: Callable[[bytes, tuple[str, int]], None], bytes_max: int
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._on_datagram = on_datagram
        self._bytes_max = bytes_max
        self._resume_timer: asyncio.TimerHandle | None = None
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
        self._loop.add_reader(self._socket, self._on_readable)

    def _on_readable(self) -> None:
        for _ in range(DATAGRAMS_PER_TURN_MAX):
            try:
                data, source = self._socket.recvfrom(self._bytes_max + 1)
            except BlockingIOError:
                return
            except OSError:
                self.receive_errors += 1  # an ICMP error for a datagram sent before
                continue
            self._on_datagram(data, source[:2])
            if self._socket.fileno() < 0:
                return  # closed by the callback
        self._loop.remove_reader(self._socket)
        self._resume_timer = self._loop.call_later(
            READ_PAUSE_S, self._loop.add_reader, self._socket, self._on_readable
        )

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            self._socket.sendto(data, address)
        except OSError:  # a full buffer, no route, or an ICMP error
            self.send_errors += 1

    def close(self) -> None:
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket)
            self._socket.close()
