"""All clients together, and the front that deals their requests out among the nodes.

Arrivals wait for nobody. A try that brings no answer is tried again after a wait, as often as the scenario's
clients do; its time counts from the first one. The figures are those of the kit's `fakes.clients`.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from itertools import accumulate
from math import log
from random import Random

from driftstair.model.clock import Clock
from driftstair.model.node import Node
from driftstair.rehearsal import account
from driftstair.rehearsal.fakes.clients import ClientFigures, Load
from driftstair.rehearsal.fakes.workload import RequestClass, WeightedChoice, Workload, zipf
from lichenspring.subset import splitmix64

NOBODY_ASKS = 50_000_000  # ns until the next look, while the load is none


class Front:
    """Deals out requests at random by the nodes' weights, and notices a dead node only after a while."""

    def __init__(
        self, nodes: list[Node], weights: list[float], notice: int, clock: Clock, random: Random
    ) -> None:
        self._nodes = nodes
        self._sums = list(accumulate(weights))
        self._gone: dict[str, int] = {}  # held to be gone, by the generation that was noticed
        self._notice = notice
        self._clock = clock
        self._random = random

    def pick(self) -> Node | None:
        for _ in range(4 * len(self._nodes)):
            place = bisect_right(self._sums, self._random.random() * self._sums[-1])
            node = self._nodes[min(place, len(self._nodes) - 1)]
            if node.name not in self._gone:
                return node
        return None

    def node_dies(self, node: Node) -> None:
        self._clock.after(self._notice, self._drop, node, node.generation)

    def node_starts(self, node: Node) -> None:
        self._gone.pop(node.name, None)

    def _drop(self, node: Node, generation: int) -> None:
        if node.generation == generation:
            self._gone[node.name] = generation


class Ask:
    """A first try and all that follows it."""

    __slots__ = (
        "began", "due", "honours", "key", "key_name", "kind", "number", "open", "phase", "tenant", "tries",
        "waits", "why", "work",
    )  # fmt: skip

    def __init__(
        self, number: int, kind: RequestClass, tenant: int, key: int, phase: str, began: int
    ) -> None:
        self.number = number
        self.kind = kind
        self.tenant = tenant
        self.key = splitmix64(key + 1) or 1
        self.key_name = b"%d" % key
        self.phase = phase
        self.began = began
        self.due = began + kind.given_up_ns
        self.honours = True
        self.tries = 0
        self.open = True
        self.why = account.UNREACHABLE
        self.work = self.waits = 0.0


class Clients:
    def __init__(
        self, clock: Clock, front: Front, workload: Workload, figures: ClientFigures, tenants: WeightedChoice,
        tenant_names: list[str], keys: int, key_skew: float, load: Load, ledger: account.Account,
        way: Callable[[], int], seed: int,
    ) -> None:  # fmt: skip
        self.open: dict[int, Ask] = {}
        self.tries = self.refusals = self.first = 0
        self._clock = clock
        self._front = front
        self._workload = workload
        self._figures = figures
        self._tenants = tenants
        self._tenant_names = tenant_names
        self._keys = zipf(keys, key_skew)
        self._load = load
        self._ledger = ledger
        self._way = way  # ns, one way between a client and a node
        # What arrives does not depend on what becomes of it: runs of one seed share arrivals.
        self._random, self._later = Random(seed), Random(splitmix64(seed))
        self._running = False

    def start(self) -> None:
        self._running = True
        self._arrive()

    def stop(self) -> None:
        self._running = False

    def cut_off(self) -> None:
        for ask in list(self.open.values()):
            ask.why = account.CUT_OFF
            self._close(ask, 0)

    def _arrive(self) -> None:
        if not self._running:
            return
        rate = self._load.rate(self._clock.now)
        if rate <= 0:
            self._clock.after(NOBODY_ASKS, self._arrive)
            return
        self._ask()
        self._clock.after(int(-log(1.0 - self._random.random()) / rate * 1e9), self._arrive)

    def _ask(self) -> None:
        random = self._random
        kind = self._load.draw(random)
        tenant = self._tenants.draw(random)
        key = self._keys.draw(random)
        self.first += 1
        ask = Ask(self.first, kind, tenant, key, self._load.phase, self._clock.now)
        ask.honours = random.random() < self._figures.retry_after_share
        task = self._workload.task(b"%016x" % random.getrandbits(64), kind.name.encode())
        assert task is not None
        ask.work, ask.waits = task.work, task.wait_s
        self.open[ask.number] = ask
        self._try(ask)

    def _try(self, ask: Ask) -> None:
        if not ask.open:
            return
        now = self._clock.now
        left = ask.due - now
        if left <= 0:
            self._close(ask, 0)
            return
        ask.tries += 1
        self.tries += 1
        node = self._front.pick()
        # The last try gets what is left; the ones before leave time for another.
        last = ask.tries > self._figures.retries
        patience = left if last else min(left, int(ask.kind.given_up_ns * self._figures.try_share))
        if node is None:
            self._again(ask, account.UNREACHABLE, 0, ran=False)
            return
        self._clock.after(self._way(), self._come, ask, ask.tries, node, now + patience)

    def _come(self, ask: Ask, number: int, node: Node, until: int) -> None:
        if not node.running:
            self._again(ask, account.UNREACHABLE, 0, ran=False)
            return
        again = number > 1 and self._figures.mark_retries
        way = self._way()

        def answered(status: int, wait: int) -> None:
            self._clock.after(way, self._told, ask, number, status, wait)

        node.take(ask, max(0, until - self._clock.now), again, answered)

    def _told(self, ask: Ask, number: int, status: int, wait: int) -> None:
        if not ask.open or number != ask.tries:
            return
        if status == 200:
            latency = self._clock.now - ask.began
            ask.why = account.SERVED if latency <= ask.kind.wanted_ns else account.LATE
            self._close(ask, latency)
        elif status == 503:
            self.refusals += 1
            self._again(ask, account.REFUSED, wait, ran=False)
        elif status == 504:
            self._again(ask, account.GAVE_UP, 0, ran=True)
        else:
            self._again(ask, account.FAILED, 0, ran=True)

    def _again(self, ask: Ask, why: str, wait_asked: int, ran: bool) -> None:
        ask.why = why
        now = self._clock.now
        if ask.tries > self._figures.retries or (ran and ask.kind.effect == "unsafe"):
            self._close(ask, 0)
            return
        wait = int(self._figures.backoff_s * 2 ** (ask.tries - 1) * self._later.uniform(0.5, 1.5) * 1e9)
        if ask.honours:
            wait = max(wait, wait_asked)
        if now + wait >= ask.due:
            self._close(ask, 0)
            return
        self._clock.after(wait, self._try, ask)

    def _close(self, ask: Ask, latency: int) -> None:
        if not ask.open:
            return
        ask.open = False
        del self.open[ask.number]
        tenant = self._tenant_names[ask.tenant]
        self._ledger.close(
            ask.kind.name, tenant, ask.phase, ask.began, ask.kind.worth, ask.why, latency, ask.tries
        )
