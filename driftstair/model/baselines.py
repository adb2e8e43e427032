"""Published and simple load-balancing policies with the decision module's interface, for comparison.

No daemon uses them. None refuses a request that a server could take; each sends one attempt for a request and
answers with its result.
"""

from __future__ import annotations

from collections.abc import Callable
from math import exp
from random import Random

from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.interface import ListKind, ListMode, Result, ServerState

LATENCY_DECAY_NS = 10_000_000_000  # a latency of this age has the weight 1/e (peak EWMA, Finagle)


class BasePolicy:
    """Common to all policies: the server list, one attempt for each request, and the attempts in flight."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = Random(seed)
        self.ready: list[api.ServerId] = []
        self.in_flight: dict[api.ServerId, int] = {}  # this node's own attempts, by server
        self._settings = settings
        self._entries: dict[api.ServerId, api.Server] = {}
        self._server_by_request: dict[int, api.ServerId] = {}
        self._list_retry_delay_ns = settings.ask_within // 4

    def start(self, now: int) -> list[api.Action]:
        if self._settings.list_mode is ListMode.PUSHED:
            return []
        return [api.SetTimer(now + int(self._settings.ask_within * self.random.random() / 2), 1)]

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            return self._on_request(now, event)
        if isinstance(event, api.Outcome):
            return self._on_outcome(now, event)
        if isinstance(event, api.ServerList):
            return self._on_server_list(now, event)
        return [api.Watch()] if isinstance(event, api.Timer) else []

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        """Chooses one of the servers in `ready`, which is not empty."""
        raise NotImplementedError

    def record_outcome(self, now: int, outcome: api.Outcome) -> None:
        """Called when an attempt has ended."""

    def _on_request(self, now: int, request: api.Request) -> list[api.Action]:
        if not self.ready:
            return [api.Refuse(request.id, 0)]
        server = self.pick(now, request)
        self.in_flight[server] = self.in_flight.get(server, 0) + 1
        self._server_by_request[request.id] = server
        return [api.Send(request.id, server, 0)]

    def _on_outcome(self, now: int, outcome: api.Outcome) -> list[api.Action]:
        server = self._server_by_request.pop(outcome.request, None)
        if server is not None:
            self.in_flight[server] -= 1
            self.record_outcome(now, outcome)
        if outcome.closed:
            return []
        if outcome.result in api.NEVER_RAN:
            return [api.Refuse(outcome.request, 0)]
        return [api.Fail(outcome.request)]

    def _on_server_list(self, now: int, update: api.ServerList) -> list[api.Action]:
        if update.kind is ListKind.FAILED:
            return [api.SetTimer(now + int(self._list_retry_delay_ns * (0.5 + self.random.random())), 1)]
        if update.kind is not ListKind.DELTA:
            self._entries.clear()
        for server in update.servers:
            self._entries[server.id] = server
        ready = sorted(server.id for server in self._entries.values() if server.state is ServerState.READY)
        self.ready = ready
        return []


class RandomChoice(BasePolicy):
    """Chooses a server at random."""

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        return self.random.choice(self.ready)


class RoundRobin(BasePolicy):
    """Chooses the servers in turn."""

    counter = 0

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        self.counter += 1
        return self.ready[self.counter % len(self.ready)]


class LeastRequests(BasePolicy):
    """Chooses the server with the fewest attempts of this node in flight; ties are broken at random."""

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        start = self.random.randrange(len(self.ready))
        return min(self.ready[start:] + self.ready[:start], key=lambda server: self.in_flight.get(server, 0))


class TwoChoices(BasePolicy):
    """Chooses the less loaded of two servers drawn at random (Mitzenmacher, 2001)."""

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        first, second = self.random.choice(self.ready), self.random.choice(self.ready)
        return first if self.in_flight.get(first, 0) <= self.in_flight.get(second, 0) else second


class PeakEwma(BasePolicy):
    """Of two servers drawn at random, chooses the one with the lower product of latency and (1 + attempts in
    flight). The latency is a mean that rises at once and decays slowly, as in Finagle."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self._latency: dict[api.ServerId, tuple[float, int]] = {}

    def record_outcome(self, now: int, outcome: api.Outcome) -> None:
        elapsed_ns = float(outcome.elapsed)
        if outcome.result not in (Result.OK, Result.TIMEOUT):
            elapsed_ns = max(elapsed_ns, float(self._settings.classes[0].aim))
        previous_ns, updated_at_ns = self._latency.get(outcome.server, (elapsed_ns, now))
        decay = exp((updated_at_ns - now) / LATENCY_DECAY_NS)
        self._latency[outcome.server] = (
            max(elapsed_ns, decay * previous_ns + (1.0 - decay) * elapsed_ns),
            now,
        )

    def pick(self, now: int, request: api.Request) -> api.ServerId:
        return min(self.random.choice(self.ready), self.random.choice(self.ready), key=self._cost)

    def _cost(self, server: api.ServerId) -> float:
        return self._latency.get(server, (0.0, 0))[0] * (1 + self.in_flight.get(server, 0))


POLICIES: dict[str, Callable[[api.Settings, int], api.DecisionModule]] = {
    "module": Balancer, "random": RandomChoice, "round-robin": RoundRobin, "least-requests": LeastRequests,
    "two-choices": TwoChoices, "peak-ewma": PeakEwma,
}  # fmt: skip
