"""The shipped lease core in the modelled tier.

There is no failure detector: all nodes learn of a crash a fixed time after it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

from driftstair.model.tier.world import NS_PER_S, Host, Link, World
from driftstair.tier.ownership.leases import LeaseChange, Leases


class LeaseNode:
    """One generation of a node, as a detector of the modelled tier."""

    def __init__(self, host: Host, generation: int, fleet: Fleet) -> None:
        self.host, self.generation, self.fleet = host, fleet.next_generation(), fleet
        random = Random(f"{fleet.seed}/{host.number}/{generation}")
        self.core = Leases(
            fleet.tasks, host.number, self.generation, fleet.count, host.now(), random,
            lambda: sorted(fleet.alive | {host.number}),
        )  # fmt: skip

    def start(self) -> None:
        self.wake()

    def wake(self) -> None:
        self._execute(*self.core.tick(self.host.now()))

    def wake_at(self) -> int:
        return self.core.wake_at

    def receive(self, datagram: Any) -> None:
        self._execute(*self.core.on_message(self.host.now(), *datagram))

    def leave(self) -> None:
        self._execute(*self.core.leave(self.host.now()))

    def dead(self) -> set[int]:
        return set()

    def _execute(self, messages: list[tuple[int, Any]], changes: list[LeaseChange]) -> None:
        for to, message in messages:
            self.host.send(to, (self.host.number, self.generation, message), 60)
        for change in changes:
            self.fleet.record_change(self.host, change)


@dataclass(slots=True)
class LeaseRecord:
    """A lease that a node held. `begin` and `end` are in ns; `end` is 0 while the lease lasts."""

    task: str
    node: int
    token: int
    begin: int
    end: int = 0


@dataclass(slots=True)
class Fleet:
    """All nodes, and the leases that they held."""

    count: int
    seed: int
    tasks: tuple[str, ...] = ("work",)
    link: Link = field(default_factory=Link)
    detection_delay_s: float = 4.0  # from a crash until all nodes know of it
    world: World = field(init=False)
    alive: set[int] = field(init=False)
    leases: list[LeaseRecord] = field(init=False, default_factory=list)
    _last_generation: int = field(init=False, default=100)

    def __post_init__(self) -> None:
        self.alive = set(range(self.count))
        self.world = World(
            self.count, self.seed, lambda host, generation: LeaseNode(host, generation, self), self.link
        )
        for number in range(self.count):
            self.world.start(number)

    def next_generation(self) -> int:
        """Returns the generation of a process that starts now: a later process has a greater one."""
        self._last_generation += 1
        return self._last_generation

    def record_change(self, host: Host, change: LeaseChange) -> None:
        if change.previous_token:
            lease = next(
                lease
                for lease in self.leases
                if (lease.token, lease.task) == (change.previous_token, change.task)
            )
            lease.end = self.world.now
        if change.token:
            self.leases.append(LeaseRecord(change.task, host.number, change.token, self.world.now))

    def crash(self, number: int) -> None:
        self.world.crash(number)
        for lease in self.leases:
            if lease.node == number and not lease.end:
                lease.end = self.world.now
        self.world.call_later(self.detection_delay_s, self._announce_death, number)

    def _announce_death(self, number: int) -> None:
        if not self.world.is_running(number):
            self.alive.discard(number)

    def start(self, number: int) -> None:
        self.alive.add(number)
        self.world.start(number)

    def owners(self, task: str = "work") -> list[int]:
        """Returns the nodes that hold the task's lease now, each by its own clock."""
        return [
            host.number for host in self.world.hosts if host.detector is not None
            and host.detector.core.token(self.world.now, task)  # type: ignore[attr-defined]
        ]  # fmt: skip

    def until_owned(self, max_s: float, task: str = "work") -> float:
        """Runs until the task has an owner, and returns the s that took."""
        start_ns = self.world.now
        while not self.owners(task):
            if self.world.now - start_ns > max_s * NS_PER_S:
                raise AssertionError(f"no owner after {max_s} s")
            self.world.run(0.02)
        return (self.world.now - start_ns) / NS_PER_S
