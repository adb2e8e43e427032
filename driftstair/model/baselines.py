"""Published and plain ways to choose a server, behind the module's interface: yardsticks, never a daemon's.

None refuses by itself; each sends once and answers with what came of it.
"""

from __future__ import annotations

from collections.abc import Callable
from math import exp
from random import Random

from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.interface import ListKind, ListMode, Result, ServerState

DECAY = 10_000_000_000  # ns: what a response time of that age still counts for is 1/e (peak EWMA, Finagle)


class Plain:
    """What all have in common: the list, one attempt for each request, and how many are out."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = Random(seed)
        self.ready: list[api.ServerId] = []
        self.out: dict[api.ServerId, int] = {}  # requests in flight of this node's own
        self._settings = settings
        self._entries: dict[api.ServerId, api.Server] = {}
        self._sent: dict[int, api.ServerId] = {}
        self._pause = settings.ask_within // 4

    def start(self, now: int) -> list[api.Action]:
        if self._settings.list_mode is ListMode.PUSHED:
            return []
        return [api.SetTimer(now + int(self._settings.ask_within * self.random.random() / 2), 1)]

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            return self._arrive(now, event)
        if isinstance(event, api.Outcome):
            return self._settle(now, event)
        if isinstance(event, api.ServerList):
            return self._follow(now, event)
        return [api.Watch()] if isinstance(event, api.Timer) else []

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        """Of `ready`, which is not empty."""
        raise NotImplementedError

    def learn(self, now: int, outcome: api.Outcome) -> None:
        """An attempt has ended."""

    def _arrive(self, now: int, request: api.Request) -> list[api.Action]:
        if not self.ready:
            return [api.Refuse(request.id, 0)]
        server = self.pick(now, request)
        self.out[server] = self.out.get(server, 0) + 1
        self._sent[request.id] = server
        return [api.Send(request.id, server, 0)]

    def _settle(self, now: int, outcome: api.Outcome) -> list[api.Action]:
        server = self._sent.pop(outcome.request, None)
        if server is not None:
            self.out[server] -= 1
            self.learn(now, outcome)
        if outcome.closed:
            return []
        if outcome.result in api.NEVER_RAN:
            return [api.Refuse(outcome.request, 0)]
        return [api.Fail(outcome.request)]

    def _follow(self, now: int, update: api.ServerList) -> list[api.Action]:
        if update.kind is ListKind.FAILED:
            return [api.SetTimer(now + int(self._pause * (0.5 + self.random.random())), 1)]
        if update.kind is not ListKind.DELTA:
            self._entries.clear()
        for server in update.servers:
            self._entries[server.id] = server
        known = sorted(one.id for one in self._entries.values() if one.state is ServerState.READY)
        self.ready = known
        return []


class AtRandom(Plain):
    def pick(self, now: int, request: api.Request) -> api.ServerId:
        return self.random.choice(self.ready)


class RoundRobin(Plain):
    turn = 0

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        self.turn += 1
        return self.ready[self.turn % len(self.ready)]


class LeastRequests(Plain):
    """The one with the fewest of this node's own; ties at random."""

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        start = self.random.randrange(len(self.ready))
        return min(self.ready[start:] + self.ready[:start], key=lambda one: self.out.get(one, 0))


class TwoChoices(Plain):
    """The less loaded of two drawn at random (Mitzenmacher, 2001)."""

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        one, other = self.random.choice(self.ready), self.random.choice(self.ready)
        return one if self.out.get(one, 0) <= self.out.get(other, 0) else other


class PeakEwma(Plain):
    """Of two, the lower response time by the requests in flight: a mean that rises at once and decays slowly
    (Finagle's)."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._cost: dict[api.ServerId, tuple[float, int]] = {}

    def learn(self, now: int, outcome: api.Outcome) -> None:
        took = float(outcome.elapsed)
        if outcome.result not in (Result.OK, Result.TIMEOUT):
            took = max(took, float(self._settings.classes[0].aim))
        before, at = self._cost.get(outcome.server, (took, now))
        keep = exp((at - now) / DECAY)
        self._cost[outcome.server] = (max(took, keep * before + (1.0 - keep) * took), now)

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        return min(self.random.choice(self.ready), self.random.choice(self.ready), key=self._load)

    def _load(self, server: api.ServerId) -> float:
        return self._cost.get(server, (0.0, 0))[0] * (1 + self.out.get(server, 0))


POLICIES: dict[str, Callable[[api.Settings, int], api.DecisionModule]] = {
    "module": Balancer, "random": AtRandom, "round-robin": RoundRobin, "least-requests": LeastRequests,
    "two-choices": TwoChoices, "peak-ewma": PeakEwma,
}  # fmt: skip
