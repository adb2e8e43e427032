"""The network between nodes on real sockets: one UDP socket stands for every peer of every node.

With many nodes the relay runs in a process of its own. Otherwise the kit's other work, such as reading
hundreds of histories, would delay datagrams, and the nodes would suspect each other because of it.

At node i, peer j has the loopback address 127.SECOND_OCTET.i.j, and datagrams from j come from that address,
as the protocol promises. All these addresses are served by one socket, which reads the address that a
datagram was sent to (IP_PKTINFO, ip(7)) and sets the one that it sends from. The alternatives are worse: a
socket for each ordered pair means 40,000 of them for 200 nodes, and a relay for each node could not tell two
senders apart.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
import subprocess
import sys
from dataclasses import asdict
from pathlib import Path

from driftstair.rehearsal.tier.links import Fault, Links

IP_PKTINFO = 8  # linux/in.h
IN_PKTINFO = struct.Struct("=I4s4s")  # struct in_pktinfo: interface, local address, destination address
SECOND_OCTET = 101
MAX_NODES = 250
MAX_DATAGRAM_BYTES = 2048
MAX_DATAGRAMS_PER_TURN = 256
RECEIVE_BUFFER_BYTES = 4 << 20


def open_socket() -> socket.socket:
    """Opens the socket of a relay. Datagrams that arrive before it is read are queued."""
    relay_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    relay_socket.setblocking(False)
    relay_socket.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
    relay_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    relay_socket.bind(("0.0.0.0", 0))
    return relay_socket


def peer_addresses(port: int, ports: list[int], own: int) -> list[str]:
    """Returns the peer addresses for node `own`: the relay at `port` stands for all other nodes."""
    return [
        f"127.0.0.1:{listens}" if number == own else f"127.{SECOND_OCTET}.{own}.{number}:{port}"
        for number, listens in enumerate(ports)
    ]


class Relay:
    """Forwards datagrams between nodes through `links`. `ports`: the port on which each node listens for its
    peers, by number."""

    def __init__(self, links: Links, ports: list[int], relay_socket: socket.socket | None = None) -> None:
        if len(ports) > MAX_NODES:
            raise ValueError(f"{len(ports)} nodes: a relay serves {MAX_NODES} at most")
        self._loop = asyncio.get_running_loop()
        self._links = links
        self._ports = ports
        self._numbers = {port: number for number, port in enumerate(ports)}
        self.foreign_datagrams = 0  # datagrams that no node sent
        self._socket = relay_socket or open_socket()
        self._port = int(self._socket.getsockname()[1])
        self._loop.add_reader(self._socket, self._on_readable)

    def peer_addresses(self, own: int) -> list[str]:
        """Returns the peer addresses for one node."""
        return peer_addresses(self._port, self._ports, own)

    def _on_readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, ancillary, _, source = self._socket.recvmsg(
                    MAX_DATAGRAM_BYTES, socket.CMSG_SPACE(IN_PKTINFO.size)
                )
            except BlockingIOError:
                return
            except OSError:
                continue  # ICMP error: a node does not listen
            sent_to = b""
            for level, kind, value in ancillary:
                if level == socket.IPPROTO_IP and kind == IP_PKTINFO:
                    sent_to = IN_PKTINFO.unpack(value)[2]
            self._forward(data, source, sent_to)

    def _forward(self, data: bytes, source: tuple[str, int], sent_to: bytes) -> None:
        number = self._numbers.get(source[1]) if source[0] == "127.0.0.1" else None
        if (
            number is None
            or len(sent_to) != 4
            or sent_to[0] != 127
            or sent_to[1:3] != bytes((SECOND_OCTET, number))
        ):
            self.foreign_datagrams += 1
            return
        target = sent_to[3]
        if target >= len(self._ports):
            return
        for delay_s, payload in self._links.deliver(number, target, data):
            if delay_s:
                self._loop.call_later(delay_s, self.send, number, target, payload)
            else:
                self.send(number, target, payload)

    def send(self, source: int, target: int, data: bytes) -> None:
        """Sends a datagram to `target` that appears to come from `source`."""
        if self._socket.fileno() < 0:
            return
        info = IN_PKTINFO.pack(0, bytes((127, SECOND_OCTET, target, source)), bytes(4))
        try:
            self._socket.sendmsg(
                [data], [(socket.IPPROTO_IP, IP_PKTINFO, info)], 0, ("127.0.0.1", self._ports[target])
            )
        except OSError:
            self._links.lost += 1

    def close(self) -> None:
        """Stops reading and closes the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()


class RelayProcess:
    """A relay in a process of its own, which ends together with this one. Faults of `links` take effect there
    a few ms after they begin or end here. The counts of carried and lost datagrams are in `links` after
    `close`."""

    def __init__(self, links: Links, ports: list[int]) -> None:
        if len(ports) > MAX_NODES:
            raise ValueError(f"{len(ports)} nodes: a relay serves {MAX_NODES} at most")
        self._links = links
        self._ports = ports
        relay_socket = open_socket()
        self._port = int(relay_socket.getsockname()[1])
        self._process = subprocess.Popen(
            [sys.executable, "-m", "driftstair.rehearsal.tier.relay", str(relay_socket.fileno()),
             str(links.seed),
             *map(str, ports)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, pass_fds=(relay_socket.fileno(),), text=True,
            cwd=Path(__file__).resolve().parents[3],
        )  # fmt: skip
        relay_socket.close()
        links.on_change = self._send_change

    def peer_addresses(self, own: int) -> list[str]:
        """Returns the peer addresses for one node."""
        return peer_addresses(self._port, self._ports, own)

    def _send_change(self, begins: bool, pairs: list[tuple[int, int]], fault: Fault) -> None:
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps([begins, pairs, asdict(fault)]) + "\n")
        self._process.stdin.flush()

    def close(self) -> None:
        """Ends the process and takes over its counts."""
        self._links.on_change = None
        out, _ = self._process.communicate()
        self._links.carried, self._links.lost = json.loads(out)


async def _serve(relay_socket: socket.socket, seed: int, ports: list[int]) -> None:
    links, loop = Links(seed), asyncio.get_running_loop()
    relay = Relay(links, ports, relay_socket)
    input_closed, buffer = asyncio.Event(), bytearray()

    def on_input() -> None:
        data = os.read(0, 1 << 16)
        if not data:
            loop.remove_reader(0)
            input_closed.set()
        buffer.extend(data)
        while (end := buffer.find(b"\n")) >= 0:
            begins, pairs, fault = json.loads(buffer[:end])
            del buffer[: end + 1]
            fault["delay"] = tuple(fault["delay"])
            (links.begin if begins else links.end)([(one, other) for one, other in pairs], Fault(**fault))

    os.set_blocking(0, False)
    loop.add_reader(0, on_input)
    await input_closed.wait()
    relay.close()
    print(json.dumps([links.carried, links.lost]))


def main() -> None:
    """Runs a relay on an inherited socket; arguments are its descriptor, the seed and the nodes' ports."""
    descriptor, seed, *ports = map(int, sys.argv[1:])
    asyncio.run(_serve(socket.socket(fileno=descriptor), seed, ports))


if __name__ == "__main__":
    main()
