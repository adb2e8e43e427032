"""A clock that jumps, nodes that send one another datagrams, and what befalls both."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, Protocol

from driftstair.tier.membership.members import State

MS = 1_000_000  # ns
SECOND = 1_000 * MS
NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Link:
    """Of all datagrams, one way."""

    low: int = MS  # ns that one is on its way, at least
    high: int = 20 * MS  # and at most
    loss: float = 0.0
    duplicate: float = 0.0


class Detector(Protocol):
    """One generation of a node. What it does comes back through the calls that it was made with."""

    def start(self) -> None: ...

    def wake(self) -> None: ...

    def wake_at(self) -> int:
        """ns."""

    def take(self, datagram: Any) -> None: ...

    def dead(self) -> set[int]:
        """The numbers that it holds dead."""


Make = Callable[["Host", int], Detector]
"""A detector on a host, for its generation of that number (from 0)."""


@dataclass(slots=True)
class Host:
    """A node's machine."""

    world: World
    number: int
    detector: Detector | None = None
    generation: int = -1
    stopped: bool = False
    slow: float = 0.0  # s that a datagram waits before it is read
    inbox: list[Any] = field(default_factory=list)
    bytes_out: int = 0
    datagrams_out: int = 0
    due: int = NEVER  # ns: when it is woken next

    def now(self) -> int:
        return self.world.now

    def send(self, to: int, datagram: Any, size: int) -> None:
        self.bytes_out += size
        self.datagrams_out += 1
        self.world.carry(self.number, to, datagram)

    def held(self, number: int, state: State, told: bool = True) -> None:
        """`told`: whether other nodes hear of it."""
        self.world.note(self.number, number, state, told)


class World:
    """`cut(source, target)`: whether a link carries nothing now. `note` hears each change of a view."""

    def __init__(self, count_: int, seed: int, make: Make, link: Link) -> None:
        self.now = 0
        self.random = Random(seed)
        self.link = link
        self.links: dict[tuple[int, int], Link] = {}
        self.cut: Callable[[int, int], bool] = lambda source, target: False
        self.note: Callable[[int, int, State, bool], None] = lambda observer, number, state, told: None
        self.hosts = [Host(self, number) for number in range(count_)]
        self._make = make
        self._order = count()
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    # What befalls nodes.

    def start(self, number: int) -> None:
        host = self.hosts[number]
        host.generation += 1
        host.stopped = False
        host.inbox.clear()
        host.due = NEVER
        host.detector = self._make(host, host.generation)
        host.detector.start()
        self._wake_later(host)

    def crash(self, number: int) -> None:
        self.hosts[number].detector = None

    def stop(self, number: int) -> None:
        """As SIGSTOP: what arrives waits in the socket."""
        self.hosts[number].stopped = True

    def go_on(self, number: int) -> None:
        host = self.hosts[number]
        host.stopped = False
        waiting, host.inbox = host.inbox, []
        for datagram in waiting:
            self._read(host, host.generation, datagram)
        host.due = self.now
        self._woken(host, host.generation, self.now)

    def runs(self, number: int) -> bool:
        return self.hosts[number].detector is not None

    # Time.

    def at(self, when: int, what: Callable[..., None], *args: Any) -> None:
        heappush(self._queue, (when, next(self._order), what, args))

    def after(self, seconds: float, what: Callable[..., None], *args: Any) -> None:
        self.at(self.now + int(seconds * SECOND), what, *args)

    def run(self, seconds: float) -> None:
        """So long from now."""
        until = self.now + int(seconds * SECOND)
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, what, args = heappop(queue)
            what(*args)
        self.now = until

    def _wake_later(self, host: Host) -> None:
        detector = host.detector
        if detector is not None and (wanted := max(self.now, detector.wake_at())) < host.due:
            host.due = wanted
            self.at(wanted, self._woken, host, host.generation, wanted)

    def _woken(self, host: Host, generation: int, due: int) -> None:
        if host.generation != generation or host.due != due:
            return  # it has been woken earlier, or is another process
        host.due = NEVER
        detector = host.detector
        if detector is not None and not host.stopped:
            if detector.wake_at() <= self.now:
                detector.wake()
            self._wake_later(host)

    # Datagrams.

    def carry(self, source: int, target: int, datagram: Any) -> None:
        link = self.links.get((source, target), self.link)
        if self.cut(source, target) or not 0 <= target < len(self.hosts):
            return
        for _ in range(2 if link.duplicate and self.random.random() < link.duplicate else 1):
            if link.loss and self.random.random() < link.loss:
                continue
            delay = self.random.randint(link.low, link.high) + int(self.hosts[target].slow * SECOND)
            self.at(self.now + delay, self._arrive, target, datagram)

    def _arrive(self, target: int, datagram: Any) -> None:
        host = self.hosts[target]
        if host.stopped:
            host.inbox.append(datagram)
        else:
            self._read(host, host.generation, datagram)

    def _read(self, host: Host, generation: int, datagram: Any) -> None:
        detector = host.detector
        if detector is not None and host.generation == generation:
            detector.take(datagram)
            self._wake_later(host)
