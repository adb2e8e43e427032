"""Leases in the modelled tier: the shipped core, with who lives told to all some time after a crash."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

from driftstair.model.tier.world import SECOND, Host, Link, World
from driftstair.tier.ownership.leases import LeaseChange, Leases


class Owner:
    """One generation of a node."""

    def __init__(self, host: Host, generation: int, fleet: Fleet) -> None:
        self.host, self.generation, self.fleet = host, fleet.generation(), fleet
        random = Random(f"{fleet.seed}/{host.number}/{generation}")
        self.core = Leases(
            fleet.tasks, host.number, self.generation, fleet.count, host.now(), random,
            lambda: sorted(fleet.alive | {host.number}),
        )  # fmt: skip

    def start(self) -> None:
        self.wake()

    def wake(self) -> None:
        self._do(*self.core.tick(self.host.now()))

    def wake_at(self) -> int:
        return self.core.wake_at

    def take(self, datagram: Any) -> None:
        self._do(*self.core.on_message(self.host.now(), *datagram))

    def leave(self) -> None:
        self._do(*self.core.leave(self.host.now()))

    def dead(self) -> set[int]:
        return set()

    def _do(self, letters: list[tuple[int, Any]], changes: list[LeaseChange]) -> None:
        for to, message in letters:
            self.host.send(to, (self.host.number, self.generation, message), 60)
        for one in changes:
            self.fleet.changed(self.host, one)


@dataclass(slots=True)
class Had:
    """A lease: ns; `end` 0 while it lasts."""

    task: str
    node: int
    token: int
    begin: int
    end: int = 0


@dataclass(slots=True)
class Fleet:
    count: int
    seed: int
    tasks: tuple[str, ...] = ("work",)
    link: Link = field(default_factory=Link)
    late: float = 4.0  # s after a crash until all know
    world: World = field(init=False)
    alive: set[int] = field(init=False)
    had: list[Had] = field(init=False, default_factory=list)
    _generation: int = field(init=False, default=100)

    def __post_init__(self) -> None:
        self.alive = set(range(self.count))
        self.world = World(
            self.count, self.seed, lambda host, generation: Owner(host, generation, self), self.link
        )
        for number in range(self.count):
            self.world.start(number)

    def generation(self) -> int:
        """Of a process that starts now: generations are by the clock."""
        self._generation += 1
        return self._generation

    def changed(self, host: Host, one: LeaseChange) -> None:
        if one.previous_token:
            had = next(had for had in self.had if (had.token, had.task) == (one.previous_token, one.task))
            had.end = self.world.now
        if one.token:
            self.had.append(Had(one.task, host.number, one.token, self.world.now))

    def crash(self, number: int) -> None:
        self.world.crash(number)
        for had in self.had:
            if had.node == number and not had.end:
                had.end = self.world.now
        self.world.after(self.late, self._known_dead, number)

    def _known_dead(self, number: int) -> None:
        if not self.world.runs(number):
            self.alive.discard(number)

    def start(self, number: int) -> None:
        self.alive.add(number)
        self.world.start(number)

    def owners(self, task: str = "work") -> list[int]:
        """Who may act now, by its own clock."""
        return [
            host.number for host in self.world.hosts if host.detector is not None
            and host.detector.core.token(self.world.now, task)  # type: ignore[attr-defined]
        ]  # fmt: skip

    def until_owned(self, most: float, task: str = "work") -> float:
        """s until somebody has it."""
        began = self.world.now
        while not self.owners(task):
            if self.world.now - began > most * SECOND:
                raise AssertionError(f"no owner after {most} s")
            self.world.run(0.02)
        return (self.world.now - began) / SECOND
