"""Discrete-event simulation of hosts that exchange datagrams: virtual time, links, stalls and crashes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, Protocol

from driftstair.tier.membership.members import State

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
NEVER = 1 << 62  # ns; later than any event


@dataclass(frozen=True, slots=True)
class Link:
    """Delays and faults of a link, in one direction."""

    min_delay_ns: int = NS_PER_MS
    max_delay_ns: int = 20 * NS_PER_MS
    loss: float = 0.0  # probability, for each datagram
    duplicate: float = 0.0


class Detector(Protocol):
    """One generation of a node. It sends datagrams and reports state changes through its `Host`."""

    def start(self) -> None: ...

    def wake(self) -> None: ...

    def wake_at(self) -> int:
        """Returns the time of the next wake-up in ns."""

    def receive(self, datagram: Any) -> None: ...

    def dead(self) -> set[int]:
        """Returns the numbers of the members that it holds dead."""


DetectorFactory = Callable[["Host", int], Detector]
"""Creates the detector of a host's generation; generations are numbered from 0."""


@dataclass(slots=True)
class Host:
    """The machine of a node. `detector` is None while the node is not running."""

    world: World
    number: int
    detector: Detector | None = None
    generation: int = -1
    stopped: bool = False
    read_delay_s: float = 0.0  # additional delay of each datagram before it is read
    inbox: list[Any] = field(default_factory=list)
    bytes_out: int = 0
    datagrams_out: int = 0
    wake_due_ns: int = NEVER  # time of the next scheduled wake-up

    def now(self) -> int:
        return self.world.now

    def send(self, to: int, datagram: Any, size: int) -> None:
        self.bytes_out += size
        self.datagrams_out += 1
        self.world.send_datagram(self.number, to, datagram)

    def report_state(self, number: int, state: State, announced: bool = True) -> None:
        """Reports a change of this node's view. `announced`: whether other nodes are told of it."""
        self.world.on_state_change(self.number, number, state, announced)


class World:
    """All hosts and the event queue.

    `cut(source, target)` tells whether a link currently drops all datagrams. `on_state_change` is called for
    each change of a view.
    """

    def __init__(self, host_count: int, seed: int, make: DetectorFactory, link: Link) -> None:
        self.now = 0
        self.random = Random(seed)
        self.link = link
        self.links: dict[tuple[int, int], Link] = {}
        self.cut: Callable[[int, int], bool] = lambda source, target: False
        self.on_state_change: Callable[[int, int, State, bool], None] = (
            lambda observer, number, state, announced: None
        )
        self.hosts = [Host(self, number) for number in range(host_count)]
        self._make = make
        self._sequence = count()
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    # Starts, crashes and stalls.

    def start(self, number: int) -> None:
        """Starts a new generation of the node."""
        host = self.hosts[number]
        host.generation += 1
        host.stopped = False
        host.inbox.clear()
        host.wake_due_ns = NEVER
        host.detector = self._make(host, host.generation)
        host.detector.start()
        self._wake_later(host)

    def crash(self, number: int) -> None:
        self.hosts[number].detector = None

    def stop(self, number: int) -> None:
        """Pauses the process, as SIGSTOP does: datagrams that arrive wait in the socket."""
        self.hosts[number].stopped = True

    def resume(self, number: int) -> None:
        """Continues a paused process, which first reads the datagrams that arrived meanwhile."""
        host = self.hosts[number]
        host.stopped = False
        datagrams, host.inbox = host.inbox, []
        for datagram in datagrams:
            self._read(host, host.generation, datagram)
        host.wake_due_ns = self.now
        self._on_wake(host, host.generation, self.now)

    def is_running(self, number: int) -> bool:
        return self.hosts[number].detector is not None

    # Virtual time.

    def call_at(self, time_ns: int, callback: Callable[..., None], *args: Any) -> None:
        heappush(self._queue, (time_ns, next(self._sequence), callback, args))

    def call_later(self, seconds: float, callback: Callable[..., None], *args: Any) -> None:
        self.call_at(self.now + int(seconds * NS_PER_S), callback, *args)

    def run(self, seconds: float) -> None:
        """Runs all events of the next `seconds`."""
        end_ns = self.now + int(seconds * NS_PER_S)
        queue = self._queue
        while queue and queue[0][0] <= end_ns:
            self.now, _, callback, args = heappop(queue)
            callback(*args)
        self.now = end_ns

    def _wake_later(self, host: Host) -> None:
        detector = host.detector
        if detector is not None and (wake_due_ns := max(self.now, detector.wake_at())) < host.wake_due_ns:
            host.wake_due_ns = wake_due_ns
            self.call_at(wake_due_ns, self._on_wake, host, host.generation, wake_due_ns)

    def _on_wake(self, host: Host, generation: int, wake_due_ns: int) -> None:
        if host.generation != generation or host.wake_due_ns != wake_due_ns:
            return  # superseded by an earlier wake-up, or meant for a previous process
        host.wake_due_ns = NEVER
        detector = host.detector
        if detector is not None and not host.stopped:
            if detector.wake_at() <= self.now:
                detector.wake()
            self._wake_later(host)

    # Datagrams.

    def send_datagram(self, source: int, target: int, datagram: Any) -> None:
        link = self.links.get((source, target), self.link)
        if self.cut(source, target) or not 0 <= target < len(self.hosts):
            return
        for _ in range(2 if link.duplicate and self.random.random() < link.duplicate else 1):
            if link.loss and self.random.random() < link.loss:
                continue
            delay = self.random.randint(link.min_delay_ns, link.max_delay_ns) + int(
                self.hosts[target].read_delay_s * NS_PER_S
            )
            self.call_at(self.now + delay, self._arrive, target, datagram)

    def _arrive(self, target: int, datagram: Any) -> None:
        host = self.hosts[target]
        if host.stopped:
            host.inbox.append(datagram)
        else:
            self._read(host, host.generation, datagram)

    def _read(self, host: Host, generation: int, datagram: Any) -> None:
        detector = host.detector
        if detector is not None and host.generation == generation:
            detector.receive(datagram)
            self._wake_later(host)
