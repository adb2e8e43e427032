"""A budget of the fleet in the modelled tier, beside fixed parts and averages by gossip.

Who lives is told to all, so late after a crash; each way of sharing is a detector of `world`, so that links,
stalls and crashes are the same. A node wants tokens as they come, by chance, at its part of the demand.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from driftstair.model.tier.world import NEVER, SECOND, Host, Link, World
from driftstair.tier.shared.budget import BudgetSpec
from driftstair.tier.shared.core import SendItems, SharedState

HEAD = 45  # bytes of a datagram beside its items, about
GOSSIP = SECOND // 4


class Lending:
    """The shipped core. `alive`: the numbers that are held alive by all."""

    def __init__(
        self, host: Host, generation: int, spec: BudgetSpec, count: int, seed: int, alive: set[int]
    ) -> None:
        self.host, self.generation, self.count, self.name = host, generation, count, spec.name
        random = Random(f"{seed}/{host.number}/{generation}")
        self.core = SharedState((spec,), random, lambda: [one for one in alive if one != host.number])

    def start(self) -> None:
        self.core.open(self.host.now(), self.host.number, 100 + self.generation, self.count)

    def wake(self) -> None:
        self._do(self.core.wake(self.host.now()))

    def wake_at(self) -> int:
        return self.core.wake_at

    def take(self, datagram: Any) -> None:
        self._do(self.core.on_datagram(self.host.now(), *datagram))

    def spend(self) -> bool:
        budget = self.core.budgets[self.name]
        if not budget.spend(self.host.now()):
            return False
        budget.record_spent()
        return True

    def held(self) -> int:
        return self.core.budgets[self.name].escrow.held_shares(self.host.now())

    def dead(self) -> set[int]:
        return set()

    def _do(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SendItems):
                datagram = (self.host.number, 100 + self.generation, action.items)
                self.host.send(action.to, datagram, HEAD + len(action.items))


class Fixed:
    """Each node has its part, and no other."""

    def __init__(
        self, host: Host, generation: int, spec: BudgetSpec, count: int, seed: int, alive: set[int]
    ) -> None:
        self.host = host
        self._per_s = spec.per_s / count
        self._most = self._per_s * spec.burst_ns / 1e9
        self._tokens = 0.0
        self._at = 0

    def start(self) -> None:
        self._at = self.host.now()

    def wake(self) -> None: ...

    def wake_at(self) -> int:
        return NEVER

    def take(self, datagram: Any) -> None: ...

    def dead(self) -> set[int]:
        return set()

    def spend(self) -> bool:
        now = self.host.now()
        self._tokens = min(self._most, self._tokens + self._per_s * (now - self._at) / 1e9)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Gossip(Fixed):
    """Each tells what it wants, and takes the part of the budget that its own is of all it has heard of. What
    is not heard of for a while counts as nothing."""

    KEPT = 3 * SECOND

    def __init__(
        self, host: Host, generation: int, spec: BudgetSpec, count: int, seed: int, alive: set[int]
    ) -> None:
        super().__init__(host, generation, spec, count, seed, alive)
        self._spec = spec
        self._random = Random(f"{seed}/{host.number}/{generation}")
        self._alive = alive
        self._wanted = 0.0
        self._noted = 0
        self._told: dict[int, tuple[int, float]] = {}  # by node: said when, tokens a second
        self._next = 0

    def start(self) -> None:
        super().start()
        self._next = self.host.now() + GOSSIP

    def wake_at(self) -> int:
        return self._next

    def wake(self) -> None:
        now, own = self.host.now(), self.host.number
        self._next = now + GOSSIP
        self._wanted += 0.3 * (self._noted * SECOND / GOSSIP - self._wanted)
        self._noted = 0
        self._told[own] = now, self._wanted
        others = [one for one in self._alive if one != own]
        rows = sorted(self._told.items(), key=lambda one: -one[1][0])[:20]
        for to in self._random.sample(others, min(3, len(others))):
            self.host.send(to, rows, HEAD + 10 * len(rows))
        fresh = [rate for at, rate in self._told.values() if at > now - self.KEPT]
        part = self._wanted / sum(fresh) if sum(fresh) > 0 else 0.0
        self._per_s = self._spec.per_s * part
        self._most = max(1.0, self._per_s * self._spec.burst_ns / 1e9)

    def take(self, datagram: Any) -> None:
        for number, (at, rate) in datagram:
            if at > self._told.get(number, (-1, 0.0))[0]:
                self._told[number] = at, rate

    def spend(self) -> bool:
        self._noted += 1
        return super().spend()


WAYS: dict[str, Callable[..., Any]] = {"lending": Lending, "fixed": Fixed, "gossip": Gossip}


@dataclass(slots=True)
class Fleet:
    """`demand`: by node, tokens a second that it wants."""

    way: str
    count: int
    seed: int
    spec: BudgetSpec
    demand: dict[int, float]
    link: Link = field(default_factory=Link)
    late: float = 5.0  # s after a crash until all know
    world: World = field(init=False)
    alive: set[int] = field(init=False)
    spent: list[tuple[int, int]] = field(init=False, default_factory=list)  # ns, by whom

    def __post_init__(self) -> None:
        self.alive = set(range(self.count))

        def make(host: Host, generation: int) -> Any:
            return WAYS[self.way](host, generation, self.spec, self.count, self.seed, self.alive)

        self.world = World(self.count, self.seed, make, self.link)
        for number in range(self.count):
            self.world.start(number)
        for number in self.demand:
            self._want(number)

    def _want(self, number: int) -> None:
        host, per_s = self.world.hosts[number], self.demand.get(number, 0.0)
        spender: Any = host.detector
        if spender is not None and not host.stopped and spender.spend():
            self.spent.append((self.world.now, number))
        if per_s > 0:
            self.world.after(self.world.random.expovariate(per_s), self._want, number)

    def crash(self, numbers: list[int]) -> None:
        for number in numbers:
            self.world.crash(number)
            self.demand.pop(number, None)
            self.world.after(self.late, self.alive.discard, number)

    def cut(self, some: set[int]) -> None:
        """These reach the others no more, nor the others them."""
        self.world.cut = lambda source, target: (source in some) != (target in some)

    def use(self, seconds: float, of: float | None = None) -> float:
        """The part of the budget that is spent from now on."""
        began = len(self.spent)
        self.world.run(seconds)
        return (len(self.spent) - began) / ((of or self.spec.per_s) * seconds)

    def most_over(self) -> float:
        """The most by which any window goes over per_s x t: tokens."""
        per_ns = self.spec.per_s / 1e9
        least = float("inf")
        over = 0.0
        for number, (at, _) in enumerate(self.spent):
            least = min(least, number - per_ns * at)  # spent before this one
            over = max(over, number + 1 - per_ns * at - least)
        return over
