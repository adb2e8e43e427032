"""Machines, listening sockets and the links between them, in memory.

A link delays and keeps order; it has no bandwidth. A machine may vanish: nothing reaches it and nothing
leaves it, open connections stay open and silent (RFC 9293 names no time after which TCP must tell), and what
was sent meanwhile arrives when the machine is back. A process that is killed resets its connections.
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from driftstair.rehearsal.sim.datagrams import SimulatedDatagrams
from driftstair.rehearsal.sim.loop import ProcessLoop
from driftstair.rehearsal.sim.scheduler import SECOND, Event, Scheduler
from driftstair.rehearsal.sim.stream import Endpoint

Address = tuple[str, int]

SYN_AGAIN = SECOND  # ns until a lost request for a connection is sent again (RFC 6298: 1 s at first)
FIRST_PORT = 40_000


@dataclass(frozen=True, slots=True)
class Link:
    """How long a segment takes one way, and how it is cut up."""

    delay: int = 300_000  # ns
    jitter: float = 0.2  # up to so much of the delay on top, drawn for each segment
    segment: int = 16 << 10  # bytes that arrive at once at most
    split: float = 0.02  # share of segments that come in two parts, so that every reader meets split messages

    def __post_init__(self) -> None:
        if self.delay < 0 or self.jitter < 0 or self.segment < 1 or not 0 <= self.split <= 1:
            raise ValueError(f"no such link: {self!r}")


def error(number: int) -> OSError:
    """The error of the operating system of that number, in its own class."""
    return OSError(number, os.strerror(number))


class Machine:
    """One host: its addresses, its descriptors, and whether the network reaches it."""

    def __init__(self, network: Network, name: str, host: str, descriptors: int = 1 << 20) -> None:
        self.network = network
        self.name = name
        self.host = host
        self.descriptors_most = descriptors
        self.descriptors = 0  # in use
        self.descriptors_peak = 0
        self.reachable = True
        self.listeners: dict[int, Listener] = {}
        self.endpoints: dict[Endpoint, None] = {}
        self.datagrams: dict[int, SimulatedDatagrams] = {}  # UDP sockets by port
        self._next_port = FIRST_PORT

    def take_descriptor(self) -> None:
        if self.descriptors >= self.descriptors_most:
            raise error(errno.EMFILE)
        self.descriptors += 1
        self.descriptors_peak = max(self.descriptors_peak, self.descriptors)

    def free_port(self) -> int:
        self._next_port += 1
        return self._next_port

    def listen(self, loop: ProcessLoop, address: Address, backlog: int) -> Listener:
        host, port = address
        if self.network.machine(host) is not self:
            raise error(errno.EADDRNOTAVAIL)
        port = port or self.free_port()
        if port in self.listeners:
            raise error(errno.EADDRINUSE)
        self.take_descriptor()
        listener = self.listeners[port] = Listener(self, loop, (host, port), backlog)
        return listener

    def vanish(self) -> None:
        """Cut off: nothing in, nothing out, and nobody is told."""
        self.reachable = False

    def come_back(self) -> None:
        """Reachable again. What either side has sent meanwhile arrives now, in order."""
        self.reachable = True
        # Of all machines: this one's process may have died meanwhile, and its peers are still to learn of it.
        for machine in self.network.machines():
            for endpoint in list(machine.endpoints):
                peer = endpoint.peer
                if peer is not None and self in (machine, peer.machine):
                    endpoint.send_held()
        self.network.send_held_to(self)

    def reset_all(self) -> None:
        """The process is gone: its sockets with it, and whoever is connected gets a reset."""
        for listener in list(self.listeners.values()):
            listener.close()
        for endpoint in list(self.endpoints):
            endpoint.vanish_with_process()
        self.datagrams.clear()
        self.descriptors = 0


class Listener:
    """A listening socket with its accept queue."""

    def __init__(self, machine: Machine, loop: ProcessLoop, address: Address, backlog: int) -> None:
        self.address = address
        self.backlog = backlog
        self._machine = machine
        self._loop = loop
        self._queue: deque[Endpoint] = deque()
        self._ready: Callable[[], None] | None = None
        self._called = False
        self._open = True

    def has_room(self) -> bool:
        return len(self._queue) < self.backlog

    def enqueue(self, endpoint: Endpoint) -> None:
        self._queue.append(endpoint)
        self._call()

    def resume(self, ready: Callable[[], None]) -> None:
        """Call `ready` in each turn of the loop in which a connection waits (level-triggered)."""
        self._ready = ready
        self._call()

    def pause(self) -> None:
        self._ready = None

    def _call(self) -> None:
        if self._ready is not None and self._queue and not self._called:
            self._called = True
            self._loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._called = False
        if self._ready is not None and self._queue:
            self._ready()
            self._call()

    def accept(self) -> Endpoint:
        if not self._queue:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        self._machine.take_descriptor()
        endpoint = self._queue.popleft()
        endpoint.counted = True
        return endpoint

    async def adopt(self, factory: Callable[[], asyncio.BaseProtocol], accepted: Endpoint) -> None:
        accepted.attach(self._loop, factory())

    def close(self) -> None:
        if not self._open:
            return
        self._open = False
        self._ready = None
        del self._machine.listeners[self.address[1]]
        self._machine.descriptors -= 1
        while self._queue:
            self._queue.popleft().vanish_with_process()


class Network:
    """All machines; every draw of chance on the network comes from one seed."""

    def __init__(self, scheduler: Scheduler, seed: int, link: Link | None = None) -> None:
        self.scheduler = scheduler
        self.link = link or Link()
        self.random = Random(seed)
        self.kernel = ProcessLoop(scheduler, "network", self._failed)  # type: ignore[abstract]
        self.between: Callable[[Machine, Machine], Link | None] = lambda one, other: None
        self.fate: Callable[[Machine, Machine, bytes], list[tuple[float, bytes]]] = (
            lambda source, target, data: [(0.0, data)]
        )  # of a datagram: what arrives, and how many s later than usual
        self._machines: dict[str, Machine] = {}
        self._held: list[tuple[Machine, Callable[[], None]]] = []  # requests for a connection

    def _failed(self, message: str, problem: BaseException | None) -> None:
        raise RuntimeError(f"the simulated network itself failed: {message}") from problem

    def add(self, name: str, host: str, descriptors: int = 1 << 20) -> Machine:
        if host in self._machines:
            raise ValueError(f"address {host} is taken by {self._machines[host].name}")
        machine = self._machines[host] = Machine(self, name, host, descriptors)
        return machine

    def machines(self) -> list[Machine]:
        return list(self._machines.values())

    def machine(self, host: str) -> Machine | None:
        return self._machines.get(host)

    def delay(self, source: Machine, target: Machine) -> int:
        link = self.between(source, target) or self.link
        return int(link.delay * (1.0 + link.jitter * self.random.random()))

    async def dial(
        self,
        loop: ProcessLoop,
        source: Machine,
        factory: Callable[[], asyncio.BaseProtocol],
        address: Address,
    ) -> asyncio.BaseProtocol:
        """A connection to `address`; raises OSError as the operating system does, or waits for as long as
        nothing answers."""
        source.take_descriptor()
        dial = Dial(self, loop, source, address)
        try:
            endpoint = await dial.established
        except BaseException:
            # Also when the caller gives up: an answer that comes later is reset.
            dial.give_up()
            raise
        protocol = factory()
        endpoint.attach(loop, protocol)
        return protocol

    def happen(self, when: int, what: Callable[..., object], *args: object) -> None:
        """At a time (ns), in no process."""
        self.scheduler.at(when, self.kernel, Event(what, args))

    def hold(self, target: Machine, send: Callable[[], None]) -> None:
        self._held.append((target, send))

    def send_held_to(self, machine: Machine) -> None:
        held, self._held = self._held, []
        for target, send in held:
            if target is machine:
                send()
            else:
                self._held.append((target, send))


class Dial:
    """One attempt to open a connection: SYN there, SYN and ACK back (RFC 9293, 3.5)."""

    def __init__(self, network: Network, loop: ProcessLoop, source: Machine, address: Address) -> None:
        self.established: asyncio.Future[Endpoint] = loop.create_future()
        self._network = network
        self._loop = loop
        self._source = source
        self._address = address
        self._over = False
        self._server: Endpoint | None = None
        self._send()

    def _send(self) -> None:
        if self._over or self._loop.dead:
            return
        network, target = self._network, self._network.machine(self._address[0])
        if target is None or not target.reachable or not self._source.reachable:
            self._again()  # lost, and nobody says so
            return
        network.happen(network.scheduler.now + network.delay(self._source, target), self._arrive, target)

    def _again(self) -> None:
        self._network.happen(self._network.scheduler.now + SYN_AGAIN, self._send)

    def _arrive(self, target: Machine) -> None:
        network = self._network
        if self._over or self._loop.dead:
            return
        if not target.reachable:
            self._again()
            return
        listener = target.listeners.get(self._address[1])
        back = network.scheduler.now + network.delay(target, self._source)
        if listener is None:
            network.happen(back, self._refused)
        elif not listener.has_room():
            self._again()  # a full accept queue drops it, and the kernel sends it again
        else:
            client = Endpoint(network, self._source, (self._source.host, self._source.free_port()))
            server = Endpoint(network, target, self._address)
            client.counted = True
            client.join(server)
            self._server = server
            listener.enqueue(server)
            network.happen(back, self._answered, client)

    def _answered(self, client: Endpoint) -> None:
        # A process that stands still has given it up, but could not say so yet.
        if self._over or self._loop.dead or self.established.done():
            client.counted = False  # its descriptor went back when it was given up
            client.vanish_with_process()
        elif not self._source.reachable:
            self._network.hold(self._source, lambda: self._answered(client))
        else:
            self.established.set_result(client)

    def _refused(self) -> None:
        if not self._over and not self._loop.dead and not self.established.done():
            self.established.set_exception(error(errno.ECONNREFUSED))

    def give_up(self) -> None:
        if not self._over:
            self._over = True
            self._source.descriptors -= 1
            done = self.established
            if done.done() and not done.cancelled() and done.exception() is None:
                client = done.result()
                client.counted = False
                client.vanish_with_process()
