"""Measures the detection times, false deaths and traffic of a modelled tier; each run has one seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, cast

from driftstair.model.tier.swim import Swim
from driftstair.model.tier.world import NS_PER_S, Detector, Host, Link, World
from driftstair.tier.membership.members import State


class StateChange(NamedTuple):
    """A change of the state that an observer holds of a member."""

    at: int  # ns
    observer: int
    member: int
    state: State
    announced: bool  # False: the observer does not tell other nodes


DetectorFactoryBuilder = Callable[[int, int], Callable[[Host, int], Detector]]
"""Takes the number of nodes and a seed, and returns the factory of their detectors."""


def swim_factory(count: int, seed: int, period: float = 1.0) -> Callable[[Host, int], Detector]:
    """Returns the factory of the shipped detector. `period` is in s."""
    return lambda host, generation: Swim(host, generation, count, period, seed)


@dataclass(slots=True)
class Tier:
    """A modelled tier, and all state changes that its nodes reported."""

    count: int
    seed: int
    link: Link = field(default_factory=Link)
    make: DetectorFactoryBuilder = swim_factory
    world: World = field(init=False)
    events: list[StateChange] = field(init=False, default_factory=list)

    def __post_init__(self) -> None:
        self.world = World(self.count, self.seed, self.make(self.count, self.seed), self.link)
        self.world.on_state_change = self._record_change

    def _record_change(self, observer: int, member: int, state: State, announced: bool) -> None:
        self.events.append(StateChange(self.world.now, observer, member, state, announced))

    def start(self, within: float = 1.0) -> None:
        """Starts all nodes, at random times within so many s."""
        for number in range(self.count):
            self.world.call_later(within * self.world.random.random(), self.world.start, number)
        self.world.run(within)

    def cores(self) -> list[Swim]:
        return [cast(Swim, host.detector) for host in self.world.hosts if host.detector is not None]

    def agreed(self) -> bool:
        """Whether all running nodes hold the same view."""
        views = [node.view() for node in self.cores()]
        return all(view == views[0] for view in views)

    def all_alive(self) -> bool:
        """Whether every running node holds every node alive."""
        ranks = [rank for node in self.cores() for rank in node.view().values()]
        return all(rank is not None and rank[2] == State.ALIVE for rank in ranks)

    def run_until(self, condition: Callable[[], bool], max_s: float, step: float = 0.05) -> float:
        """Runs until the condition holds and returns the s that took.

        Raises AssertionError if that takes longer than `max_s`.
        """
        start_ns = self.world.now
        while not condition():
            if self.world.now - start_ns > max_s * NS_PER_S:
                raise AssertionError(f"condition not met after {max_s} s")
            self.world.run(step)
        return (self.world.now - start_ns) / NS_PER_S

    def join(self, max_s: float = 60.0) -> float:
        """Runs until every node holds every node alive, and returns the s that took."""
        return self.run_until(self.all_alive, max_s)

    def deaths(self, since: int = 0, of: set[int] | None = None) -> list[StateChange]:
        """Returns the announced deaths of the members `of`; by default of all members that are running."""
        return [
            change for change in self.events
            if change.state is State.DEAD and change.announced and change.at >= since
            and (self.world.is_running(change.member) if of is None else change.member in of)
        ]  # fmt: skip

    def suspicions(self, since: int = 0, by: set[int] | None = None) -> list[StateChange]:
        """Returns the changes to suspect; `by`: only those of these observers."""
        return [
            change for change in self.events if change.state is State.SUSPECT and change.at >= since
            and (by is None or change.observer in by)
        ]  # fmt: skip


@dataclass(frozen=True, slots=True)
class Detection:
    """Time in s from a crash until the first, half and all of the running nodes hold the crashed node dead.

    inf: not within the observed time.
    """

    first: float
    half: float
    last: float
    false_deaths: int  # changes of a view that held a running node dead


def measure_detection(tier: Tier, victim: int, watch_s: float) -> Detection:
    """Crashes a node and observes the others for `watch_s`."""
    world = tier.world
    start_ns = world.now
    world.crash(victim)
    world.run(watch_s)
    detected_after_s: dict[int, float] = {}
    for change in tier.events:
        if (
            change.at >= start_ns
            and change.member == victim
            and change.state is State.DEAD
            and change.observer != victim
        ):
            detected_after_s.setdefault(change.observer, (change.at - start_ns) / NS_PER_S)
    observers = sum(1 for host in world.hosts if host.detector is not None)
    times_s = sorted(detected_after_s.values()) + [float("inf")] * (observers - len(detected_after_s))
    return Detection(times_s[0], times_s[len(times_s) // 2], times_s[-1], len(tier.deaths(start_ns)))


@dataclass(frozen=True, slots=True)
class IdleFigures:
    """False verdicts and traffic of a tier in which no node crashes."""

    false_deaths: int  # changes of a view that held a running node dead
    suspected: int  # changes of a view to suspect
    bytes_s: float  # sent by a node, on average
    datagrams_s: float  # sent by a node, on average
    peak_datagrams_s: int  # the most datagrams that one node sent in one second


def measure_idle(tier: Tier, seconds: int) -> IdleFigures:
    """Runs a tier without crashes for so many s."""
    world = tier.world
    start_ns = world.now
    bytes_before = sum(host.bytes_out for host in world.hosts)
    datagrams_before = sum(host.datagrams_out for host in world.hosts)
    peak_datagrams_s = 0
    for _ in range(seconds):
        counts_before = [host.datagrams_out for host in world.hosts]
        world.run(1.0)
        sent = [
            host.datagrams_out - previous for host, previous in zip(world.hosts, counts_before, strict=True)
        ]
        peak_datagrams_s = max(peak_datagrams_s, *sent)
    node_seconds = tier.count * seconds
    return IdleFigures(
        len(tier.deaths(start_ns)), len(tier.suspicions(start_ns)),
        (sum(host.bytes_out for host in world.hosts) - bytes_before) / node_seconds,
        (sum(host.datagrams_out for host in world.hosts) - datagrams_before) / node_seconds, peak_datagrams_s,
    )  # fmt: skip
