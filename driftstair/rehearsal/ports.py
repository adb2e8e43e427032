"""Reserves loopback ports for processes that are started later.

If each port is requested from the kernel and given back at once, the same port may be returned twice: among
200 from its range of 28,000 this happens in every second run. Each port is therefore held until the process
that is to use it starts.
"""

from __future__ import annotations

import socket

HOST = "127.0.0.1"


class Port:
    """A reserved port, held until `release`. A TCP port stays held while another process listens on it (both
    sockets use SO_REUSEADDR, socket(7)), so that it is still free after a restart of that process; a UDP port
    has to be released before the process binds it."""

    def __init__(self, kind: socket.SocketKind) -> None:
        self._socket = socket.socket(socket.AF_INET, kind)
        if kind is socket.SOCK_STREAM:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((HOST, 0))
        self.number = int(self._socket.getsockname()[1])

    def release(self) -> None:
        """Gives the port back."""
        self._socket.close()


def reserve_tcp() -> Port:
    """Reserves a TCP port."""
    return Port(socket.SOCK_STREAM)


def reserve_udp(count: int) -> list[Port]:
    """Reserves distinct UDP ports."""
    return [Port(socket.SOCK_DGRAM) for _ in range(count)]
