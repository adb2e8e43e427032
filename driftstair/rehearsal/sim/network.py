"""Machines, listening sockets and the links between them, in memory.

A link delays segments and keeps their order; its bandwidth is unlimited. A machine may vanish: nothing
reaches it and nothing leaves it, its open connections stay open and silent (RFC 9293 sets no time after which
TCP must report this), and data sent meanwhile arrive when the machine comes back. A process that is killed
resets its connections.
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
from driftstair.rehearsal.sim.scheduler import SECOND, NetworkEvent, Scheduler
from driftstair.rehearsal.sim.stream import Endpoint

Address = tuple[str, int]

SYN_RETRANSMIT_NS = SECOND  # until a lost SYN is sent again (RFC 6298: initially 1 s)
FIRST_EPHEMERAL_PORT = 40_000


@dataclass(frozen=True, slots=True)
class Link:
    """How long a segment takes one way, and how a byte stream is cut into segments."""

    delay_ns: int = 300_000
    jitter: float = 0.2  # greatest random addition, as a fraction of the delay; drawn for each segment
    segment_bytes: int = 16 << 10  # the most that arrives at once
    split_probability: float = 0.02  # that a segment arrives in two parts; readers have to join messages

    def __post_init__(self) -> None:
        if (
            self.delay_ns < 0
            or self.jitter < 0
            or self.segment_bytes < 1
            or not 0 <= self.split_probability <= 1
        ):
            raise ValueError(f"invalid link: {self!r}")


def os_error(number: int) -> OSError:
    """An OSError of the subclass that belongs to this errno."""
    return OSError(number, os.strerror(number))


class Machine:
    """One host: its address, its sockets and descriptors, and whether the network reaches it. `descriptors`:
    the limit on open descriptors."""

    def __init__(self, network: Network, name: str, host: str, descriptors: int = 1 << 20) -> None:
        self.network = network
        self.name = name
        self.host = host
        self.descriptor_limit = descriptors
        self.descriptors_in_use = 0
        self.descriptors_peak = 0
        self.reachable = True
        self.listeners: dict[int, Listener] = {}
        self.endpoints: dict[Endpoint, None] = {}
        self.datagrams: dict[int, SimulatedDatagrams] = {}  # by port
        self._next_port = FIRST_EPHEMERAL_PORT

    def take_descriptor(self) -> None:
        """Counts a new descriptor. Raises OSError (EMFILE) at the limit."""
        if self.descriptors_in_use >= self.descriptor_limit:
            raise os_error(errno.EMFILE)
        self.descriptors_in_use += 1
        self.descriptors_peak = max(self.descriptors_peak, self.descriptors_in_use)

    def allocate_port(self) -> int:
        """The next unused port."""
        self._next_port += 1
        return self._next_port

    def listen(self, loop: ProcessLoop, address: Address, backlog: int) -> Listener:
        """Opens a listening socket; port 0 takes a free port. Raises OSError."""
        host, port = address
        if self.network.machine(host) is not self:
            raise os_error(errno.EADDRNOTAVAIL)
        port = port or self.allocate_port()
        if port in self.listeners:
            raise os_error(errno.EADDRINUSE)
        self.take_descriptor()
        listener = self.listeners[port] = Listener(self, loop, (host, port), backlog)
        return listener

    def vanish(self) -> None:
        """Cuts the machine off from the network; its peers get no notice."""
        self.reachable = False

    def come_back(self) -> None:
        """Makes the machine reachable again. Data that either side sent meanwhile arrive now, in order."""
        self.reachable = True
        # Covers the endpoints of all machines: this one's process may have died meanwhile, and its peers have
        # not been notified yet.
        for machine in self.network.machines():
            for endpoint in list(machine.endpoints):
                peer = endpoint.peer
                if peer is not None and self in (machine, peer.machine):
                    endpoint.send_undelivered()
        self.network.run_deferred(self)

    def reset_all(self) -> None:
        """Closes all sockets of a process that has ended; connected peers get a reset."""
        for listener in list(self.listeners.values()):
            listener.close()
        for endpoint in list(self.endpoints):
            endpoint.close_with_process()
        self.datagrams.clear()
        self.descriptors_in_use = 0


class Listener:
    """A listening socket with its accept queue; implements `driftstair.net.system.Listener`."""

    def __init__(self, machine: Machine, loop: ProcessLoop, address: Address, backlog: int) -> None:
        self.address = address
        self.backlog = backlog
        self._machine = machine
        self._loop = loop
        self._queue: deque[Endpoint] = deque()
        self._on_ready: Callable[[], None] | None = None
        self._is_scheduled = False
        self._open = True

    def has_room(self) -> bool:
        """Whether the accept queue takes another connection."""
        return len(self._queue) < self.backlog

    def enqueue(self, endpoint: Endpoint) -> None:
        """Adds an established connection to the accept queue."""
        self._queue.append(endpoint)
        self._schedule()

    def resume(self, on_ready: Callable[[], None]) -> None:
        """Calls `on_ready` in each turn of the loop in which a connection waits (level-triggered)."""
        self._on_ready = on_ready
        self._schedule()

    def pause(self) -> None:
        """Leaves connections in the accept queue."""
        self._on_ready = None

    def _schedule(self) -> None:
        if self._on_ready is not None and self._queue and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        if self._on_ready is not None and self._queue:
            self._on_ready()
            self._schedule()

    def accept(self) -> Endpoint:
        """The next connection. Raises BlockingIOError if none waits, and OSError without a free
        descriptor."""
        if not self._queue:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        self._machine.take_descriptor()
        endpoint = self._queue.popleft()
        endpoint.holds_descriptor = True
        return endpoint

    async def adopt(self, factory: Callable[[], asyncio.BaseProtocol], accepted: Endpoint) -> None:
        """Attaches a protocol to an accepted connection."""
        accepted.attach(self._loop, factory())

    def close(self) -> None:
        """Closes the socket; connections in the accept queue are reset."""
        if not self._open:
            return
        self._open = False
        self._on_ready = None
        del self._machine.listeners[self.address[1]]
        self._machine.descriptors_in_use -= 1
        while self._queue:
            self._queue.popleft().close_with_process()


class Network:
    """All machines and the links between them. All random numbers of the network come from one seed."""

    def __init__(self, scheduler: Scheduler, seed: int, link: Link | None = None) -> None:
        self.scheduler = scheduler
        self.link = link or Link()
        self.random = Random(seed)
        self.kernel = ProcessLoop(scheduler, "network", self._on_failure)  # type: ignore[abstract]
        self.link_between: Callable[[Machine, Machine], Link | None] = lambda source, target: None
        self.datagram_deliveries: Callable[[Machine, Machine, bytes], list[tuple[float, bytes]]] = (
            lambda source, target, data: [(0.0, data)]
        )  # for each copy of a datagram that arrives: the additional delay in s, and its bytes
        self._machines: dict[str, Machine] = {}
        self._deferred: list[tuple[Machine, Callable[[], None]]] = []  # what waits for a machine to come back

    def _on_failure(self, message: str, exception: BaseException | None) -> None:
        raise RuntimeError(f"the simulated network itself failed: {message}") from exception

    def add(self, name: str, host: str, descriptors: int = 1 << 20) -> Machine:
        """Adds a machine. Raises ValueError if its address is in use."""
        if host in self._machines:
            raise ValueError(f"address {host} is taken by {self._machines[host].name}")
        machine = self._machines[host] = Machine(self, name, host, descriptors)
        return machine

    def machines(self) -> list[Machine]:
        return list(self._machines.values())

    def machine(self, host: str) -> Machine | None:
        """The machine at an address, if there is one."""
        return self._machines.get(host)

    def draw_delay_ns(self, source: Machine, target: Machine) -> int:
        """Draws the one-way delay (ns) of one segment."""
        link = self.link_between(source, target) or self.link
        return int(link.delay_ns * (1.0 + link.jitter * self.random.random()))

    async def dial(
        self,
        loop: ProcessLoop,
        source: Machine,
        factory: Callable[[], asyncio.BaseProtocol],
        address: Address,
    ) -> asyncio.BaseProtocol:
        """Opens a connection to `address`. Raises OSError as the operating system does; waits for as long as
        nothing answers."""
        source.take_descriptor()
        dial = Dial(self, loop, source, address)
        try:
            endpoint = await dial.established
        except BaseException:
            # Also when the caller is cancelled: a SYN-ACK that arrives later is answered with a reset.
            dial.abandon()
            raise
        protocol = factory()
        endpoint.attach(loop, protocol)
        return protocol

    def schedule(self, when_ns: int, callback: Callable[..., object], *args: object) -> None:
        """Schedules a callback of the network, which belongs to no process, for a time (ns)."""
        self.scheduler.add_timer(when_ns, self.kernel, NetworkEvent(callback, args))

    def defer(self, target: Machine, callback: Callable[[], None]) -> None:
        """Keeps a callback until `target` comes back."""
        self._deferred.append((target, callback))

    def run_deferred(self, machine: Machine) -> None:
        """Runs the callbacks that were kept until `machine` came back."""
        deferred, self._deferred = self._deferred, []
        for target, callback in deferred:
            if target is machine:
                callback()
            else:
                self._deferred.append((target, callback))


class Dial:
    """One attempt to open a connection: a SYN, and a SYN-ACK in return (RFC 9293, 3.5)."""

    def __init__(self, network: Network, loop: ProcessLoop, source: Machine, address: Address) -> None:
        self.established: asyncio.Future[Endpoint] = loop.create_future()
        self._network = network
        self._loop = loop
        self._source = source
        self._address = address
        self._abandoned = False
        self._server: Endpoint | None = None
        self._send_syn()

    def _send_syn(self) -> None:
        if self._abandoned or self._loop.dead:
            return
        network, target = self._network, self._network.machine(self._address[0])
        if target is None or not target.reachable or not self._source.reachable:
            self._retransmit_later()  # the SYN is lost without an error
            return
        network.schedule(
            network.scheduler.now + network.draw_delay_ns(self._source, target), self._on_syn, target
        )

    def _retransmit_later(self) -> None:
        self._network.schedule(self._network.scheduler.now + SYN_RETRANSMIT_NS, self._send_syn)

    def _on_syn(self, target: Machine) -> None:
        network = self._network
        if self._abandoned or self._loop.dead:
            return
        if not target.reachable:
            self._retransmit_later()
            return
        listener = target.listeners.get(self._address[1])
        reply_time = network.scheduler.now + network.draw_delay_ns(target, self._source)
        if listener is None:
            network.schedule(reply_time, self._on_refusal)
        elif not listener.has_room():
            self._retransmit_later()  # a full accept queue drops the SYN
        else:
            client = Endpoint(network, self._source, (self._source.host, self._source.allocate_port()))
            server = Endpoint(network, target, self._address)
            client.holds_descriptor = True
            client.connect_to(server)
            self._server = server
            listener.enqueue(server)
            network.schedule(reply_time, self._on_syn_ack, client)

    def _on_syn_ack(self, client: Endpoint) -> None:
        # A suspended process may have cancelled the dial and not yet run the cancellation.
        if self._abandoned or self._loop.dead or self.established.done():
            client.holds_descriptor = False  # the descriptor was given back when the dial was abandoned
            client.close_with_process()
        elif not self._source.reachable:
            self._network.defer(self._source, lambda: self._on_syn_ack(client))
        else:
            self.established.set_result(client)

    def _on_refusal(self) -> None:
        if not self._abandoned and not self._loop.dead and not self.established.done():
            self.established.set_exception(os_error(errno.ECONNREFUSED))

    def abandon(self) -> None:
        """Ends the attempt for a caller that failed or was cancelled, and gives its descriptor back."""
        if not self._abandoned:
            self._abandoned = True
            self._source.descriptors_in_use -= 1
            outcome = self.established
            if outcome.done() and not outcome.cancelled() and outcome.exception() is None:
                client = outcome.result()
                client.holds_descriptor = False
                client.close_with_process()
