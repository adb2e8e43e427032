"""The network between nodes on real sockets: one UDP socket of the kit stands for every peer at every node.

At node i, peer j is 127.FIRST.i.j, an address of loopback, and what arrives from j comes from there, as the
protocol page promises. All these addresses are one socket, which reads the address that a datagram was sent
to (IP_PKTINFO, ip(7)) and names the one that it sends from. Weighed: a socket for each ordered pair, 40,000
of them for 200 nodes; a relay for each node, which could not tell two senders apart.
"""

from __future__ import annotations

import asyncio
import socket
import struct

from driftstair.rehearsal.tier.links import Links

PKTINFO = 8  # IP_PKTINFO, linux/in.h
INFO = struct.Struct("=I4s4s")  # struct in_pktinfo: interface, address to send from, address sent to
FIRST = 101
NODES_MOST = 250
SIZE_MOST = 2048
TURN_MOST = 256
BUFFER = 4 << 20


class Relay:
    """`ports`: where each node listens for its peers, by number."""

    def __init__(self, links: Links, ports: list[int]) -> None:
        if len(ports) > NODES_MOST:
            raise ValueError(f"{len(ports)} nodes: a relay serves {NODES_MOST} at most")
        self._loop = asyncio.get_running_loop()
        self._links = links
        self._ports = ports
        self._numbers = {port: number for number, port in enumerate(ports)}
        self.strangers = 0  # datagrams from no node
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_IP, PKTINFO, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        self._socket.bind(("0.0.0.0", 0))
        self._port = int(self._socket.getsockname()[1])
        self._loop.add_reader(self._socket, self._ready)

    def peers(self, own: int) -> list[str]:
        """The addresses that node `own` is told."""
        return [
            f"127.0.0.1:{port}" if number == own else f"127.{FIRST}.{own}.{number}:{self._port}"
            for number, port in enumerate(self._ports)
        ]

    def _ready(self) -> None:
        for _ in range(TURN_MOST):
            try:
                data, extra, _, source = self._socket.recvmsg(SIZE_MOST, socket.CMSG_SPACE(INFO.size))
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP: a node is not there
            sent_to = b""
            for level, kind, value in extra:
                if level == socket.IPPROTO_IP and kind == PKTINFO:
                    sent_to = INFO.unpack(value)[2]
            self._take(data, source, sent_to)

    def _take(self, data: bytes, source: tuple[str, int], sent_to: bytes) -> None:
        number = self._numbers.get(source[1]) if source[0] == "127.0.0.1" else None
        if number is None or len(sent_to) != 4 or sent_to[0] != 127 or sent_to[1:3] != bytes((FIRST, number)):
            self.strangers += 1
            return
        target = sent_to[3]
        if target >= len(self._ports):
            return
        for late, what in self._links.pass_on(number, target, data):
            if late:
                self._loop.call_later(late, self.send, number, target, what)
            else:
                self.send(number, target, what)

    def send(self, source: int, target: int, data: bytes) -> None:
        """As if `source` had sent it to `target`."""
        if self._socket.fileno() < 0:
            return
        info = INFO.pack(0, bytes((127, FIRST, target, source)), bytes(4))
        try:
            self._socket.sendmsg(
                [data], [(socket.IPPROTO_IP, PKTINFO, info)], 0, ("127.0.0.1", self._ports[target])
            )
        except OSError:
            self._links.lost += 1

    def close(self) -> None:
        self._loop.remove_reader(self._socket)
        self._socket.close()
