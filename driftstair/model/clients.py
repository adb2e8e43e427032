"""All clients, and the front that distributes their requests over the nodes.

Arrivals are open-loop: they do not depend on answers. A failed try is repeated after a back-off, as often as
the scenario's clients do; latency and deadline count from the first try. The figures are those of the kit's
`fakes.clients`.
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

IDLE_POLL_NS = 50_000_000  # until the next look at the load, while it is 0


class Front:
    """Distributes requests at random by the nodes' weights, and detects a dead node only after a delay."""

    def __init__(
        self, nodes: list[Node], weights: list[float], detection_delay_ns: int, clock: Clock, random: Random
    ) -> None:
        self._nodes = nodes
        self._cumulative_weights = list(accumulate(weights))
        self._down_nodes: dict[str, int] = {}  # nodes held to be down: the generation that died
        self._detection_delay_ns = detection_delay_ns
        self._clock = clock
        self._random = random

    def pick(self) -> Node | None:
        """Draws a node; None if only nodes that are held to be down were drawn."""
        for _ in range(4 * len(self._nodes)):
            index = bisect_right(
                self._cumulative_weights, self._random.random() * self._cumulative_weights[-1]
            )
            node = self._nodes[min(index, len(self._nodes) - 1)]
            if node.name not in self._down_nodes:
                return node
        return None

    def node_dies(self, node: Node) -> None:
        self._clock.call_later(self._detection_delay_ns, self._mark_down, node, node.generation)

    def node_starts(self, node: Node) -> None:
        self._down_nodes.pop(node.name, None)

    def _mark_down(self, node: Node, generation: int) -> None:
        if node.generation == generation:
            self._down_nodes[node.name] = generation


class ClientRequest:
    """A request of a client: the first try and all retries."""

    __slots__ = (
        "began_ns", "deadline_ns", "honours_retry_after", "key", "key_name", "kind", "number", "open",
        "phase", "tenant", "tries", "wait_s", "why", "work",
    )  # fmt: skip

    def __init__(
        self, number: int, kind: RequestClass, tenant: int, key: int, phase: str, began_ns: int
    ) -> None:
        self.number = number
        self.kind = kind
        self.tenant = tenant
        self.key = splitmix64(key + 1) or 1
        self.key_name = b"%d" % key
        self.phase = phase
        self.began_ns = began_ns
        self.deadline_ns = began_ns + kind.given_up_ns
        self.honours_retry_after = True
        self.tries = 0
        self.open = True
        self.why = account.UNREACHABLE  # how the latest try ended
        self.work = self.wait_s = 0.0


class Clients:
    """Starts requests at the rate of the load, retries them, and accounts for each result once."""

    def __init__(
        self, clock: Clock, front: Front, workload: Workload, figures: ClientFigures, tenants: WeightedChoice,
        tenant_names: list[str], keys: int, key_skew: float, load: Load, results: account.Account,
        network_delay_ns: Callable[[], int], seed: int,
    ) -> None:  # fmt: skip
        self.open_requests: dict[int, ClientRequest] = {}
        self.tries = self.refusals = self.first_tries = 0
        self._clock = clock
        self._front = front
        self._workload = workload
        self._figures = figures
        self._tenants = tenants
        self._tenant_names = tenant_names
        self._keys = zipf(keys, key_skew)
        self._load = load
        self._results = results
        self._network_delay_ns = network_delay_ns  # one way between a client and a node
        # Retries draw from a generator of their own, so that all runs of one seed have the same arrivals.
        self._random, self._retry_random = Random(seed), Random(splitmix64(seed))
        self._running = False

    def start(self) -> None:
        self._running = True
        self._on_arrival()

    def stop(self) -> None:
        self._running = False

    def close_all(self) -> None:
        """Closes all open requests as cut off by the end of the run."""
        for client_request in list(self.open_requests.values()):
            client_request.why = account.CUT_OFF
            self._close(client_request, 0)

    def _on_arrival(self) -> None:
        if not self._running:
            return
        rate = self._load.rate(self._clock.now)
        if rate <= 0:
            self._clock.call_later(IDLE_POLL_NS, self._on_arrival)
            return
        self._start_request()
        self._clock.call_later(int(-log(1.0 - self._random.random()) / rate * 1e9), self._on_arrival)

    def _start_request(self) -> None:
        random = self._random
        kind = self._load.draw(random)
        tenant = self._tenants.draw(random)
        key = self._keys.draw(random)
        self.first_tries += 1
        client_request = ClientRequest(self.first_tries, kind, tenant, key, self._load.phase, self._clock.now)
        client_request.honours_retry_after = random.random() < self._figures.retry_after_share
        task = self._workload.task(b"%016x" % random.getrandbits(64), kind.name.encode())
        assert task is not None
        client_request.work, client_request.wait_s = task.work, task.wait_s
        self.open_requests[client_request.number] = client_request
        self._start_try(client_request)

    def _start_try(self, client_request: ClientRequest) -> None:
        if not client_request.open:
            return
        now = self._clock.now
        remaining_ns = client_request.deadline_ns - now
        if remaining_ns <= 0:
            self._close(client_request, 0)
            return
        client_request.tries += 1
        self.tries += 1
        node = self._front.pick()
        # The last try gets all the remaining time; an earlier one leaves time for another.
        is_last = client_request.tries > self._figures.retries
        patience = (
            remaining_ns
            if is_last
            else min(remaining_ns, int(client_request.kind.given_up_ns * self._figures.try_share))
        )
        if node is None:
            self._retry(client_request, account.UNREACHABLE, 0, may_have_run=False)
            return
        self._clock.call_later(
            self._network_delay_ns(),
            self._deliver,
            client_request,
            client_request.tries,
            node,
            now + patience,
        )

    def _deliver(self, client_request: ClientRequest, try_number: int, node: Node, deadline_ns: int) -> None:
        if not node.running:
            self._retry(client_request, account.UNREACHABLE, 0, may_have_run=False)
            return
        is_retry = try_number > 1 and self._figures.mark_retries
        delay_ns = self._network_delay_ns()

        def on_answer(status: int, retry_after_ns: int) -> None:
            self._clock.call_later(
                delay_ns, self._on_answer, client_request, try_number, status, retry_after_ns
            )

        node.receive(client_request, max(0, deadline_ns - self._clock.now), is_retry, on_answer)

    def _on_answer(
        self, client_request: ClientRequest, try_number: int, status: int, retry_after_ns: int
    ) -> None:
        if not client_request.open or try_number != client_request.tries:
            return
        if status == 200:
            latency_ns = self._clock.now - client_request.began_ns
            client_request.why = (
                account.SERVED if latency_ns <= client_request.kind.wanted_ns else account.LATE
            )
            self._close(client_request, latency_ns)
        elif status == 503:
            self.refusals += 1
            self._retry(client_request, account.REFUSED, retry_after_ns, may_have_run=False)
        elif status == 504:
            self._retry(client_request, account.GAVE_UP, 0, may_have_run=True)
        else:
            self._retry(client_request, account.FAILED, 0, may_have_run=True)

    def _retry(
        self, client_request: ClientRequest, why: str, retry_after_ns: int, may_have_run: bool
    ) -> None:
        client_request.why = why
        now = self._clock.now
        if client_request.tries > self._figures.retries or (
            may_have_run and client_request.kind.effect == "unsafe"
        ):
            self._close(client_request, 0)
            return
        delay_ns = int(
            self._figures.backoff_s
            * 2 ** (client_request.tries - 1)
            * self._retry_random.uniform(0.5, 1.5)
            * 1e9
        )
        if client_request.honours_retry_after:
            delay_ns = max(delay_ns, retry_after_ns)
        if now + delay_ns >= client_request.deadline_ns:
            self._close(client_request, 0)
            return
        self._clock.call_later(delay_ns, self._start_try, client_request)

    def _close(self, client_request: ClientRequest, latency_ns: int) -> None:
        if not client_request.open:
            return
        client_request.open = False
        del self.open_requests[client_request.number]
        tenant = self._tenant_names[client_request.tenant]
        self._results.record_outcome(
            client_request.kind.name,
            tenant,
            client_request.phase,
            client_request.began_ns,
            client_request.kind.worth,
            client_request.why,
            latency_ns,
            client_request.tries,
        )
