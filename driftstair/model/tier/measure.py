"""How soon and how wrongly a modelled tier judges: plays with one seed, plain figures out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, cast

from driftstair.model.tier.swim import Swim
from driftstair.model.tier.world import SECOND, Detector, Host, Link, World
from driftstair.tier.membership.members import State


class Change(NamedTuple):
    """What a node came to hold of a member."""

    at: int  # ns
    observer: int
    member: int
    state: State
    told: bool  # else it holds so for itself alone


MakeOf = Callable[[int, int], Callable[[Host, int], Detector]]
"""For so many nodes and a seed: how a generation of a node is made."""


def swim(count: int, seed: int, period: float = 1.0) -> Callable[[Host, int], Detector]:
    return lambda host, generation: Swim(host, generation, count, period, seed)


@dataclass(slots=True)
class Tier:
    """A modelled tier with what its nodes came to hold."""

    count: int
    seed: int
    link: Link = field(default_factory=Link)
    make: MakeOf = swim
    world: World = field(init=False)
    events: list[Change] = field(init=False, default_factory=list)

    def __post_init__(self) -> None:
        self.world = World(self.count, self.seed, self.make(self.count, self.seed), self.link)
        self.world.note = self._note

    def _note(self, observer: int, member: int, state: State, told: bool) -> None:
        self.events.append(Change(self.world.now, observer, member, state, told))

    def start(self, within: float = 1.0) -> None:
        for number in range(self.count):
            self.world.after(within * self.world.random.random(), self.world.start, number)
        self.world.run(within)

    def cores(self) -> list[Swim]:
        return [cast(Swim, host.detector) for host in self.world.hosts if host.detector is not None]

    def agreed(self) -> bool:
        views = [node.view() for node in self.cores()]
        return all(view == views[0] for view in views)

    def all_alive(self) -> bool:
        ranks = [rank for node in self.cores() for rank in node.view().values()]
        return all(rank is not None and rank[2] == State.ALIVE for rank in ranks)

    def until(self, what: Callable[[], bool], most: float, step: float = 0.05) -> float:
        """s until something is so; raises AssertionError if that takes longer than `most`."""
        began = self.world.now
        while not what():
            if self.world.now - began > most * SECOND:
                raise AssertionError(f"not so after {most} s")
            self.world.run(step)
        return (self.world.now - began) / SECOND

    def join(self, most: float = 60.0) -> float:
        """s until everyone holds everyone alive."""
        return self.until(self.all_alive, most)

    def deaths(self, since: int = 0, of: set[int] | None = None) -> list[Change]:
        """Who came to hold whom dead, and told it; `of`: only these members, left out: all that run."""
        return [
            one for one in self.events if one.state is State.DEAD and one.told and one.at >= since
            and (self.world.runs(one.member) if of is None else one.member in of)
        ]  # fmt: skip

    def suspicions(self, since: int = 0, by: set[int] | None = None) -> list[Change]:
        """Who came to suspect whom; `by`: only these observers."""
        return [
            one for one in self.events if one.state is State.SUSPECT and one.at >= since
            and (by is None or one.observer in by)
        ]  # fmt: skip


@dataclass(frozen=True, slots=True)
class Detection:
    """s from a crash until somebody, half, and all of those that run hold the node dead; inf: not in time."""

    first: float
    half: float
    last: float
    wrong: int  # views that held a node dead which ran


def detection(tier: Tier, victim: int, watch: float) -> Detection:
    """Crashes a node and watches for so many s."""
    world = tier.world
    began = world.now
    world.crash(victim)
    world.run(watch)
    first: dict[int, float] = {}
    for one in tier.events:
        if one.at >= began and one.member == victim and one.state is State.DEAD and one.observer != victim:
            first.setdefault(one.observer, (one.at - began) / SECOND)
    others = sum(1 for host in world.hosts if host.detector is not None)
    times = sorted(first.values()) + [float("inf")] * (others - len(first))
    return Detection(times[0], times[len(times) // 2], times[-1], len(tier.deaths(began)))


@dataclass(frozen=True, slots=True)
class Rest:
    """Of a tier in which nobody crashes."""

    wrong: int  # views that held a node dead which ran
    suspected: int  # views that suspected one
    bytes_s: float  # a node
    datagrams_s: float
    busiest: int  # datagrams that one node sent in one second, the most


def rest(tier: Tier, seconds: int) -> Rest:
    world = tier.world
    began = world.now
    sent = sum(host.bytes_out for host in world.hosts)
    told = sum(host.datagrams_out for host in world.hosts)
    busiest = 0
    for _ in range(seconds):
        before = [host.datagrams_out for host in world.hosts]
        world.run(1.0)
        sent_now = [host.datagrams_out - one for host, one in zip(world.hosts, before, strict=True)]
        busiest = max(busiest, *sent_now)
    nodes = tier.count * seconds
    return Rest(
        len(tier.deaths(began)), len(tier.suspicions(began)),
        (sum(host.bytes_out for host in world.hosts) - sent) / nodes,
        (sum(host.datagrams_out for host in world.hosts) - told) / nodes, busiest,
    )  # fmt: skip
