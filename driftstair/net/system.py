"""What the node takes from the machine it runs on: clocks, listening sockets and connections.

One seam, so that the same node serves real sockets and, in the rehearsal kit, a network that exists in
memory and a clock that jumps (the way of `trio`'s clock and network, which tests replace). Timers and tasks
come from the running asyncio loop; chance comes from the seed of the configuration.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

RECEIVES = 64 << 10
"""Bytes that a socket takes in ahead, and so what one read brings at most, about: what the node has to hold
for a slow reader."""

TCP_INFO_SIZE, MILLISECONDS = 104, struct.Struct("=I")
LAST_DATA_SENT_AT, LAST_DATA_RECV_AT = 44, 52
"""Of Linux's tcp_info (tcp(7), linux/tcp.h): how many ms ago data were sent last, where none have been the
connection came up, and how many ms ago data came last."""
COUNT = struct.Struct("=i")  # what FIONREAD fills in (tty_ioctl(4), tcp(7): SIOCINQ)
LONG_AGO = 1 << 60  # ns

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


class Listener(Protocol):
    """A listening socket. An accepted connection is held by `adopt`, or closed."""

    address: tuple[str, int]

    def resume(self, ready: Callable[[], None]) -> None:
        """Call `ready` in each turn of the loop in which a connection waits."""

    def pause(self) -> None:
        """Leave connections in the accept queue."""

    def accept(self) -> Any:
        """The next connection; raises BlockingIOError if none waits, and OSError as accept(2) does."""

    async def adopt(self, factory: ProtocolFactory, accepted: Any) -> None:
        """Give an accepted connection its protocol. On an error the caller closes it."""

    def close(self) -> None: ...


class DatagramSocket(Protocol):
    """A UDP socket."""

    address: tuple[str, int]
    send_errors: int  # datagrams that the machine would not take
    receive_errors: int  # errors that reading brought: what another machine has refused

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Or not at all: whatever the machine says against it, the datagram is lost."""

    def close(self) -> None: ...


class System(Protocol):
    """Times are whole nanoseconds."""

    def monotonic_ns(self) -> int: ...

    def time_ns(self) -> int: ...

    def listen(self, address: tuple[str, int], backlog: int) -> Listener:
        """Raises OSError."""

    async def dial(self, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
        """A connection; raises OSError, and waits for as long as nothing answers."""

    def open_datagram_socket(
        self, address: tuple[str, int], received: Callable[[bytes, tuple[str, int]], None], most: int
    ) -> DatagramSocket:
        """A UDP socket; `received` is called with each datagram and where it came from, one of more than
        `most` bytes as `most` + 1 of them. Raises OSError."""

    def configure_connection(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Set up a connection that came up for requests one at a time. What is returned tells whether it is
        quiet: nothing has come, nor its end, that the loop has not read yet."""

    def peer_close_probe(self, transport: asyncio.Transport) -> Callable[[], int | None]:
        """What is returned tells for how long (ns) at most a connection's peer has closed it or ended its
        sending, whether or not the loop has read so far; None while it has not."""

    def data_age_probe(self, transport: asyncio.Transport) -> Callable[[], int]:
        """What is returned tells how long ago (ns) the newest data came on a connection, whether or not they
        were read at once, as exactly as the system's ticks are; 0 where it does not tell."""

    def accepted_age(self, transport: asyncio.Transport) -> int:
        """How long ago (ns) an accepted connection on which nothing has been sent came up, however long it
        waited to be accepted; 0 where the system does not tell."""

    def unread_probe(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """What is returned tells whether data or the peer's end of sending wait on a connection that the loop
        has not read; not on one that was reset."""

    def unread_bytes(self, transport: asyncio.Transport) -> int:
        """How many bytes wait on a connection that the loop has not read; 0 where it does not tell."""

    async def run_blocking(self, what: Callable[[], None]) -> None:
        """Do what waits for a disk, off the loop's turn."""


class SocketListener:
    def __init__(self, own: socket.socket) -> None:
        self._loop = asyncio.get_running_loop()
        self._socket = own
        self.address: tuple[str, int] = own.getsockname()[:2]

    def resume(self, ready: Callable[[], None]) -> None:
        self._loop.add_reader(self._socket, ready)

    def pause(self) -> None:
        self._loop.remove_reader(self._socket)

    def accept(self) -> socket.socket:
        return self._socket.accept()[0]

    async def adopt(self, factory: ProtocolFactory, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await self._loop.connect_accepted_socket(factory, accepted)

    def fileno(self) -> int:
        return self._socket.fileno()

    def close(self) -> None:
        self._socket.close()


def bind_listening_socket(address: tuple[str, int], backlog: int, shared: bool = False) -> socket.socket:
    """A listening socket; raises OSError. `shared`: other processes may listen on the same address."""
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    own = socket.socket(family, socket.SOCK_STREAM)
    try:
        own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            own.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVES)  # for what is accepted too
        own.setblocking(False)
        own.bind((host, port))
        own.listen(backlog)
    except OSError:
        own.close()
        raise
    return own


def _tcp_age(own: socket.socket, place: int) -> int | None:
    """One of the ages (ns) in the kernel's tcp_info; None where it does not tell."""
    try:
        told = own.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        if told[0]:  # the connection's state: some systems under the process fill nothing in
            return int(MILLISECONDS.unpack_from(told, place)[0]) * 1_000_000
    except (OSError, struct.error):
        pass
    return None


def data_age(own: socket.socket) -> int | None:
    """How long ago (ns) data came last on a connection, by the kernel; None where it does not tell."""
    return _tcp_age(own, LAST_DATA_RECV_AT)


class SocketSystem:
    """Real clocks and sockets."""

    monotonic_ns = staticmethod(time.monotonic_ns)
    time_ns = staticmethod(time.time_ns)

    def listen(self, address: tuple[str, int], backlog: int) -> SocketListener:
        return SocketListener(bind_listening_socket(address, backlog))

    async def dial(self, factory: ProtocolFactory, address: tuple[str, int]) -> asyncio.BaseProtocol:
        _, protocol = await asyncio.get_running_loop().create_connection(factory, *address)
        return protocol

    def open_datagram_socket(
        self, address: tuple[str, int], received: Callable[[bytes, tuple[str, int]], None], most: int
    ) -> DatagramSocket:
        from driftstair.net.udp_socket import UdpSocket  # only a tier sends any

        return UdpSocket(address, received, most)

    def configure_connection(self, transport: asyncio.Transport) -> Callable[[], bool]:
        own = transport.get_extra_info("socket")
        poll = select.poll()
        poll.register(own.fileno(), select.POLLIN)
        with suppress(OSError):  # it may be broken already
            own.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVES)
        return lambda: not poll.poll(0)

    def peer_close_probe(self, transport: asyncio.Transport) -> Callable[[], int | None]:
        own = transport.get_extra_info("socket")
        poll = select.poll()
        poll.register(own.fileno(), select.POLLRDHUP)

        def departed() -> int | None:
            found = poll.poll(0)
            if not found or not found[0][1] & (select.POLLRDHUP | select.POLLHUP | select.POLLERR):
                return None
            # An end comes behind the last data. That it came alone, and later, can't be seen.
            age = data_age(own)
            return LONG_AGO if age is None else age

        return departed

    def accepted_age(self, transport: asyncio.Transport) -> int:
        return _tcp_age(transport.get_extra_info("socket"), LAST_DATA_SENT_AT) or 0

    def unread_probe(self, transport: asyncio.Transport) -> Callable[[], bool]:
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

        def waits() -> bool:
            found = poll.poll(0)
            return bool(found) and found[0][1] == select.POLLIN  # an error or a hang-up is told beside it

        return waits

    def data_age_probe(self, transport: asyncio.Transport) -> Callable[[], int]:
        own = transport.get_extra_info("socket")

        return lambda: data_age(own) or 0

    def unread_bytes(self, transport: asyncio.Transport) -> int:
        waiting = bytearray(COUNT.size)
        try:
            fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, waiting)
        except OSError:
            return 0
        return int(COUNT.unpack(waiting)[0])

    async def run_blocking(self, what: Callable[[], None]) -> None:
        await asyncio.to_thread(what)


SOCKET_SYSTEM = SocketSystem()
