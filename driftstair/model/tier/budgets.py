"""The fleet's budget in the modelled tier, compared with fixed shares and with shares set by gossip.

All nodes learn of a crash a fixed time after it. Each strategy is a detector of `world`, so that links,
stalls and crashes are the same for all. A node requests tokens at random times, at the rate of its demand.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from driftstair.model.tier.world import NEVER, NS_PER_S, Host, Link, World
from driftstair.tier.shared.budget import BudgetSpec
from driftstair.tier.shared.core import SendItems, SharedState

DATAGRAM_HEADER_BYTES = 45  # approximate size without the items
GOSSIP_PERIOD_NS = NS_PER_S // 4


class Lending:
    """The shipped core, in which nodes lend their shares. `alive`: the nodes that all nodes hold alive."""

    def __init__(
        self, host: Host, generation: int, spec: BudgetSpec, count: int, seed: int, alive: set[int]
    ) -> None:
        self.host, self.generation, self.count, self.name = host, generation, count, spec.name
        random = Random(f"{seed}/{host.number}/{generation}")
        self.core = SharedState(
            (spec,), random, lambda: [number for number in alive if number != host.number]
        )

    def start(self) -> None:
        self.core.open(self.host.now(), self.host.number, 100 + self.generation, self.count)

    def wake(self) -> None:
        self._execute(self.core.wake(self.host.now()))

    def wake_at(self) -> int:
        return self.core.wake_at

    def receive(self, datagram: Any) -> None:
        self._execute(self.core.on_datagram(self.host.now(), *datagram))

    def spend(self) -> bool:
        """Spends a token, if the node has one."""
        budget = self.core.budgets[self.name]
        if not budget.spend(self.host.now()):
            return False
        budget.record_spent()
        return True

    def held_shares(self) -> int:
        """Returns how many shares of the budget the node holds now."""
        return self.core.budgets[self.name].escrow.held_shares(self.host.now())

    def dead(self) -> set[int]:
        return set()

    def _execute(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SendItems):
                datagram = (self.host.number, 100 + self.generation, action.items)
                self.host.send(action.to, datagram, DATAGRAM_HEADER_BYTES + len(action.items))


class Fixed:
    """Each node has an equal share of the budget and lends none of it."""

    def __init__(
        self, host: Host, generation: int, spec: BudgetSpec, count: int, seed: int, alive: set[int]
    ) -> None:
        self.host = host
        self._per_s = spec.per_s / count
        self._max_tokens = self._per_s * spec.burst_ns / 1e9
        self._tokens = 0.0
        self._refilled_at_ns = 0

    def start(self) -> None:
        self._refilled_at_ns = self.host.now()

    def wake(self) -> None: ...

    def wake_at(self) -> int:
        return NEVER

    def receive(self, datagram: Any) -> None: ...

    def dead(self) -> set[int]:
        return set()

    def spend(self) -> bool:
        now = self.host.now()
        self._tokens = min(self._max_tokens, self._tokens + self._per_s * (now - self._refilled_at_ns) / 1e9)
        self._refilled_at_ns = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Gossip(Fixed):
    """Each node gossips its demand, and takes a share of the budget in proportion to its part of all known
    demand. Demand that was noted more than `RETENTION_NS` ago counts as none."""

    RETENTION_NS = 3 * NS_PER_S

    def __init__(
        self, host: Host, generation: int, spec: BudgetSpec, count: int, seed: int, alive: set[int]
    ) -> None:
        super().__init__(host, generation, spec, count, seed, alive)
        self._spec = spec
        self._random = Random(f"{seed}/{host.number}/{generation}")
        self._alive = alive
        self._demand_per_s = 0.0
        self._requested_tokens = 0
        self._demand_by_node: dict[int, tuple[int, float]] = {}  # time in ns, tokens a second
        self._next_wake_ns = 0

    def start(self) -> None:
        super().start()
        self._next_wake_ns = self.host.now() + GOSSIP_PERIOD_NS

    def wake_at(self) -> int:
        return self._next_wake_ns

    def wake(self) -> None:
        now, own = self.host.now(), self.host.number
        self._next_wake_ns = now + GOSSIP_PERIOD_NS
        self._demand_per_s += 0.3 * (
            self._requested_tokens * NS_PER_S / GOSSIP_PERIOD_NS - self._demand_per_s
        )
        self._requested_tokens = 0
        self._demand_by_node[own] = now, self._demand_per_s
        others = [number for number in self._alive if number != own]
        rows = sorted(self._demand_by_node.items(), key=lambda row: -row[1][0])[:20]
        for to in self._random.sample(others, min(3, len(others))):
            self.host.send(to, rows, DATAGRAM_HEADER_BYTES + 10 * len(rows))
        recent_rates = [
            rate for noted_ns, rate in self._demand_by_node.values() if noted_ns > now - self.RETENTION_NS
        ]
        share = self._demand_per_s / sum(recent_rates) if sum(recent_rates) > 0 else 0.0
        self._per_s = self._spec.per_s * share
        self._max_tokens = max(1.0, self._per_s * self._spec.burst_ns / 1e9)

    def receive(self, datagram: Any) -> None:
        for number, (noted_ns, rate) in datagram:
            if noted_ns > self._demand_by_node.get(number, (-1, 0.0))[0]:
                self._demand_by_node[number] = noted_ns, rate

    def spend(self) -> bool:
        self._requested_tokens += 1
        return super().spend()


STRATEGIES: dict[str, Callable[..., Any]] = {"lending": Lending, "fixed": Fixed, "gossip": Gossip}


@dataclass(slots=True)
class Fleet:
    """All nodes and the tokens that they spent. `strategy` is a key of `STRATEGIES`; `demand` has the
    tokens a second that each node requests."""

    strategy: str
    count: int
    seed: int
    spec: BudgetSpec
    demand: dict[int, float]
    link: Link = field(default_factory=Link)
    detection_delay_s: float = 5.0  # from a crash until all nodes know of it
    world: World = field(init=False)
    alive: set[int] = field(init=False)
    spent: list[tuple[int, int]] = field(init=False, default_factory=list)  # time in ns, node

    def __post_init__(self) -> None:
        self.alive = set(range(self.count))

        def make(host: Host, generation: int) -> Any:
            return STRATEGIES[self.strategy](host, generation, self.spec, self.count, self.seed, self.alive)

        self.world = World(self.count, self.seed, make, self.link)
        for number in range(self.count):
            self.world.start(number)
        for number in self.demand:
            self._request_token(number)

    def _request_token(self, number: int) -> None:
        host, per_s = self.world.hosts[number], self.demand.get(number, 0.0)
        spender: Any = host.detector
        if spender is not None and not host.stopped and spender.spend():
            self.spent.append((self.world.now, number))
        if per_s > 0:
            self.world.call_later(self.world.random.expovariate(per_s), self._request_token, number)

    def crash(self, numbers: list[int]) -> None:
        """Crashes these nodes, whose demand ends."""
        for number in numbers:
            self.world.crash(number)
            self.demand.pop(number, None)
            self.world.call_later(self.detection_delay_s, self.alive.discard, number)

    def cut(self, nodes: set[int]) -> None:
        """Separates these nodes from all others, in both directions."""
        self.world.cut = lambda source, target: (source in nodes) != (target in nodes)

    def used_fraction(self, seconds: float, rate_per_s: float | None = None) -> float:
        """Runs for `seconds`, and returns the fraction of the budget that was spent in them.

        `rate_per_s`: tokens a second that count as the whole budget; by default the budget's own rate.
        """
        spent_before = len(self.spent)
        self.world.run(seconds)
        return (len(self.spent) - spent_before) / ((rate_per_s or self.spec.per_s) * seconds)

    def max_overspend(self) -> float:
        """Returns the most tokens by which any window of length t exceeds per_s x t."""
        per_ns = self.spec.per_s / 1e9
        min_balance = float("inf")
        overspend = 0.0
        for index, (time_ns, _) in enumerate(self.spent):
            # `index` tokens were spent before this one.
            min_balance = min(min_balance, index - per_ns * time_ns)
            overspend = max(overspend, index + 1 - per_ns * time_ns - min_balance)
        return overspend
