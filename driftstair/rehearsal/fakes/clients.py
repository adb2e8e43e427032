"""The fake clients: arrivals that do not wait for answers (an open-loop load), connections that are reused,
and retries by the clients."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import log
from random import Random
from typing import cast

from driftstair.rehearsal import account, wire
from driftstair.rehearsal.fakes.front import FrontLayer
from driftstair.rehearsal.fakes.http1 import MessageReader, WireError, status_of
from driftstair.rehearsal.fakes.place import FakeMachine
from driftstair.rehearsal.fakes.workload import RequestClass, WeightedChoice, Workload, zipf
from lichenspring.subset import splitmix64

ZERO_LOAD_CHECK_S = 0.05  # between two checks for load while there is none
IDLE_CHECK_S = 1.0  # between two checks for idle connections
CLOSE_GRACE_MULTIPLE = 2  # times the grace of an answer, after which the connection is closed


@dataclass(frozen=True, slots=True)
class ClientFigures:
    """How clients behave. `try_share`: the share of the given-up time that each try but the last may take;
    `retry_after_share`: the share of operations that respect Retry-After; `hold_share`: the share that use a
    connection of their own and keep it open."""

    retries: int
    try_share: float
    backoff_s: float
    retry_after_share: float
    mark_retries: bool
    connections_max: int  # to each node
    idle_timeout_s: float
    answer_grace_s: float
    hold_share: float = 0.0


class Operation:
    """A first try and its retries."""

    __slots__ = (
        "began_at", "deadline", "holds_connection", "is_open", "key", "kind", "outcome", "phase",
        "respects_retry_after", "tenant", "tries",
    )  # fmt: skip

    def __init__(
        self, kind: RequestClass, tenant: str, key: bytes, phase: str, began_at: int,
        respects_retry_after: bool,
    ) -> None:  # fmt: skip
        self.kind = kind
        self.tenant = tenant
        self.key = key
        self.phase = phase
        self.began_at = began_at
        self.deadline = began_at + kind.given_up_ns
        self.respects_retry_after = respects_retry_after
        self.holds_connection = False  # uses a connection of its own and keeps it open afterwards
        self.tries = 0
        self.is_open = True
        self.outcome = account.UNREACHABLE


class Try:
    """One request on the wire. `live` until its client has an answer or stops waiting."""

    __slots__ = (
        "connection", "expires_at", "live", "node", "operation", "patience", "request", "resent", "timer",
    )  # fmt: skip

    def __init__(
        self, operation: Operation, request: bytes, node: str, patience: int, expires_at: int
    ) -> None:
        self.operation = operation
        self.request = request
        self.node = node
        self.patience = patience
        self.expires_at = expires_at
        self.resent = False
        self.live = True
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None


class Clients:
    """All clients. `is_serving(node)` tells whether the node's process runs, which a client can't know but
    its network does. The runner changes `load` during the run."""

    def __init__(
        self, machine: FakeMachine, front: FrontLayer, workload: Workload, figures: ClientFigures,
        tenants: WeightedChoice, tenant_names: list[str], keys: int, key_skew: float, load: Load,
        ledger: account.Account,
        note: Callable[[wire.Observation], None], is_serving: Callable[[str], bool], seed: int,
    ) -> None:  # fmt: skip
        self.machine = machine
        self.front = front
        self.figures = figures
        self.note = note
        self.load = load
        self.ledger = ledger
        self.is_serving = is_serving
        self.in_flight: dict[str, int] = {}  # requests by node
        self.open_operations = 0
        self.running = False
        self._operations: dict[Operation, None] = {}
        self._workload = workload
        self._tenants = tenants
        self._tenant_names = tenant_names
        self._keys = zipf(keys, key_skew)
        self._random = Random(seed)
        self._ids = splitmix64(seed)
        self._last_id = 0
        self._next_arrival = 0  # ns
        self._pools: dict[str, Pool] = {}

    def start(self) -> None:
        """Begins the arrivals."""
        self.running = True
        self._next_arrival = self.machine.now()
        self.machine.loop.call_later(0.0, self._arrive)
        self.machine.loop.call_later(IDLE_CHECK_S, self._close_idle_connections)

    def stop(self) -> None:
        """Ends the arrivals; open operations continue."""
        self.running = False

    def cut_off(self) -> None:
        """Closes all open operations without an answer, at the end of the run."""
        for operation in list(self._operations):
            operation.outcome = account.CUT_OFF
            self._close_operation(operation, 0)

    # Arrivals.

    def _arrive(self) -> None:
        """Starts all operations that are due. Timers of a real event loop have a resolution of 1 ms, so that
        one timer for each arrival would start too few."""
        if not self.running:
            return
        now = self.machine.now()
        while self._next_arrival <= now:
            rate = self.load.rate(now)
            if rate <= 0:
                self._next_arrival = now + int(ZERO_LOAD_CHECK_S * 1e9)
                break
            self._next_arrival += int(-log(1.0 - self._random.random()) / rate * 1e9)
            self._start_operation(now)
        wait_ns = max(0, self._next_arrival - now)
        self.machine.loop.call_later(wait_ns / 1e9, self._arrive)

    def _start_operation(self, now: int) -> None:
        random = self._random
        kind = self.load.draw(random)
        tenant = self._tenant_names[self._tenants.draw(random)]
        key = b"video-%d" % self._keys.draw(random)
        operation = Operation(
            kind, tenant, key, self.load.phase, now, random.random() < self.figures.retry_after_share
        )
        # Nothing is drawn if no client holds connections, so that the option does not change the numbers that
        # other scenarios draw.
        operation.holds_connection = self.figures.hold_share > 0 and random.random() < self.figures.hold_share
        self.open_operations += 1
        self._operations[operation] = None
        self._start_try(operation)

    def _start_try(self, operation: Operation) -> None:
        if not operation.is_open:
            return
        now = self.machine.now()
        remaining = operation.deadline - now
        if remaining <= 0:
            self._close_operation(operation, 0)
            return
        operation.tries += 1
        node = self.front.pick()
        if node is None:
            operation.outcome = account.UNREACHABLE
            self._retry_or_close(operation, 0.0, may_have_run=False)
            return
        # The last try gets the remaining time; earlier ones leave time for another.
        patience = remaining if operation.tries > self.figures.retries else min(
            remaining, int(operation.kind.given_up_ns * self.figures.try_share)
        )  # fmt: skip
        self._last_id += 1
        request = b"%016x" % splitmix64(self._ids + self._last_id)
        client_try = Try(operation, request, node, patience, now + patience)
        client_try.timer = self.machine.loop.call_later(patience / 1e9, self._on_timeout, client_try)
        self._pool(node).dispatch(client_try)

    def _pool(self, node: str) -> Pool:
        pool = self._pools.get(node)
        if pool is None:
            pool = self._pools[node] = Pool(self, node)
        return pool

    def send(self, client_try: Try, connection: Connection) -> None:
        """Sends the request of a try on a free connection."""
        now = self.machine.now()
        operation = client_try.operation
        remaining = client_try.expires_at - now
        client_try.connection = connection
        self.in_flight[client_try.node] = self.in_flight.get(client_try.node, 0) + 1
        retry = b"X-Retry: 1\r\n" if operation.tries > 1 and self.figures.mark_retries else b""
        safe = operation.kind.effect == "safe"
        keyed = b"Idempotency-Key: k-%s\r\n" % client_try.request if operation.kind.effect == "keyed" else b""
        body = b"" if safe else b"caption of " + operation.key
        length = b"" if safe else b"Content-Length: %d\r\n" % len(body)
        connection.write(
            b"%s /api HTTP/1.1\r\nHost: captions\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\n"
            b"X-Key: %s\r\nX-Deadline: %du\r\n%s%s%s\r\n%s"
            % (
                b"GET" if safe else b"POST", client_try.request, operation.kind.name.encode(),
                operation.tenant.encode(), operation.key, remaining // 1000, retry, keyed, length, body,
            )
        )  # fmt: skip
        self.note(
            wire.RequestSent(
                now,
                client_try.request,
                client_try.node,
                operation.kind.name,
                remaining,
                connection.connected_at,
                client_try.resent,
            )
        )

    # The outcome of a try.

    def on_answer(self, client_try: Try, status: int, fields: dict[bytes, bytes], body: bytes) -> None:
        """A final answer arrived."""
        now = self.machine.now()
        token = body.partition(b"\n")[0] if status == 200 else b""
        self.note(wire.ResponseReceived(now, client_try.request, status, token))
        self._leave_flight(client_try)
        if not client_try.live:
            return  # the client stopped waiting, and may have retried
        self._end_try(client_try)
        operation = client_try.operation
        if status == 200:
            latency = now - operation.began_at
            operation.outcome = account.SERVED if latency <= operation.kind.wanted_ns else account.LATE
            self._close_operation(operation, latency)
        elif status in (429, 503):
            operation.outcome = account.REFUSED
            self._retry_or_close(operation, _seconds(fields.get(b"retry-after", b"")), may_have_run=False)
        else:
            operation.outcome = account.FAILED
            self._retry_or_close(operation, 0.0, may_have_run=True)

    def on_connection_ended(self, client_try: Try, reason: str) -> None:
        """The connection of a try ended before its answer."""
        now = self.machine.now()
        self.note(wire.ConnectionEnded(now, client_try.request, reason))
        self._leave_flight(client_try)
        if not client_try.live:
            return
        if self.is_serving(client_try.node) and not client_try.resent and client_try.expires_at > now:
            # The node closed the connection between two requests while this one was on its way.
            client_try.resent = True
            client_try.connection = None
            self._pool(client_try.node).dispatch(client_try)
            return
        self._end_try(client_try)
        client_try.operation.outcome = account.FAILED
        self._retry_or_close(client_try.operation, 0.0, may_have_run=True)

    def on_unreachable(self, client_try: Try) -> None:
        """No connection could be opened for a try."""
        if client_try.live:
            self._end_try(client_try)
            client_try.operation.outcome = account.UNREACHABLE
            self._retry_or_close(client_try.operation, 0.0, may_have_run=False)

    def _on_timeout(self, client_try: Try) -> None:
        if not client_try.live:
            return
        self._end_try(client_try)
        client_try.operation.outcome = account.GAVE_UP
        connection = client_try.connection
        if connection is not None:
            # The answer may still be on its way; the connection is closed after a grace.
            grace_s = CLOSE_GRACE_MULTIPLE * self.figures.answer_grace_s
            self.machine.loop.call_later(grace_s, self._close_abandoned, client_try, connection)
        self._retry_or_close(client_try.operation, 0.0, may_have_run=True)

    def _close_abandoned(self, client_try: Try, connection: Connection) -> None:
        if connection.current is client_try:
            self.note(wire.RequestAbandoned(self.machine.now(), client_try.request))
            self._leave_flight(client_try)
            connection.current = None
            connection.close()

    def _end_try(self, client_try: Try) -> None:
        client_try.live = False
        if client_try.timer is not None:
            client_try.timer.cancel()

    def _leave_flight(self, client_try: Try) -> None:
        self.in_flight[client_try.node] -= 1

    def _retry_or_close(self, operation: Operation, retry_after_s: float, may_have_run: bool) -> None:
        """Retries after a try without a usable answer, or closes the operation. `may_have_run`: a box may
        have run the request."""
        now = self.machine.now()
        if operation.tries > self.figures.retries or (may_have_run and operation.kind.effect == "unsafe"):
            self._close_operation(operation, 0)
            return
        wait_s = self.figures.backoff_s * 2 ** (operation.tries - 1) * self._random.uniform(0.5, 1.5)
        if operation.respects_retry_after:
            wait_s = max(wait_s, retry_after_s)
        if now + int(wait_s * 1e9) >= operation.deadline:
            self._close_operation(operation, 0)
            return
        self.machine.loop.call_later(wait_s, self._start_try, operation)

    def _close_operation(self, operation: Operation, latency: int) -> None:
        if not operation.is_open:
            return
        operation.is_open = False
        self.open_operations -= 1
        del self._operations[operation]
        self.ledger.record_outcome(
            operation.kind.name,
            operation.tenant,
            operation.phase,
            operation.began_at,
            operation.kind.worth,
            operation.outcome,
            latency,
            operation.tries,
        )

    def _close_idle_connections(self) -> None:
        idle_before = self.machine.now() - int(self.figures.idle_timeout_s * 1e9)
        for pool in self._pools.values():
            pool.close_idle(idle_before)
        self.machine.loop.call_later(IDLE_CHECK_S, self._close_idle_connections)


def _seconds(text: bytes) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


class Load:
    """The arrival rate and the mix of classes. Faults and phases change them during the run, each under a key
    of its own."""

    def __init__(self, rate: float, classes: list[RequestClass], shares: list[float]) -> None:
        self.phase = ""
        self._rate = rate
        self._classes = classes
        total = sum(shares)
        self._shares = [share / total for share in shares]
        self._factors: dict[object, Callable[[int], float]] = {}  # on the whole rate, by key
        self._class_factors: dict[object, dict[str, float]] = {}  # on classes, by key
        self._choice = WeightedChoice(self._shares)
        self._total_share = 1.0

    def set_factor(self, key: object, factor: Callable[[int], float] | None) -> None:
        """Sets a factor on the whole rate, as a function of the time in ns; None removes it."""
        if factor is None:
            self._factors.pop(key, None)
        else:
            self._factors[key] = factor

    def set_class_factors(self, key: object, factors: dict[str, float] | None) -> None:
        """Sets factors on the rates of some classes, without a change to the others; None removes them."""
        if factors is None:
            self._class_factors.pop(key, None)
        else:
            self._class_factors[key] = factors
        weights = []
        for request_class, share in zip(self._classes, self._shares, strict=True):
            for factors in self._class_factors.values():
                share *= factors.get(request_class.name, 1.0)
            weights.append(share)
        self._total_share = sum(weights)
        if self._total_share:
            self._choice = WeightedChoice(weights)

    def rate(self, now: int) -> float:
        """First tries per second."""
        rate = self._rate * self._total_share
        for factor in self._factors.values():
            rate *= factor(now)
        return rate

    def draw(self, random: Random) -> RequestClass:
        """Draws the class of an operation."""
        return self._classes[self._choice.draw(random)]


class Pool:
    """The connections of all clients to one node, and the tries that wait for one."""

    def __init__(self, clients: Clients, node: str) -> None:
        self.clients = clients
        self.node = node
        self.connection_count = 0  # including those being opened
        self._idle: list[Connection] = []
        self._waiting: deque[Try] = deque()
        self._tasks: dict[asyncio.Task[None], None] = {}

    def dispatch(self, client_try: Try) -> None:
        """Sends a try on an idle or a new connection; at the limit it waits."""
        while self._idle and not client_try.operation.holds_connection:
            connection = self._idle.pop()
            if not connection.closed:
                connection.send(client_try)
                return
        if self.connection_count >= self.clients.figures.connections_max:
            self._waiting.append(client_try)
            return
        self._dial(client_try)

    def _dial(self, client_try: Try) -> None:
        self.connection_count += 1
        task = self.clients.machine.loop.create_task(self._open_connection(client_try))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _open_connection(self, client_try: Try) -> None:
        clients = self.clients
        remaining = max(0.0, (client_try.expires_at - clients.machine.now()) / 1e9)
        try:
            async with asyncio.timeout(remaining):
                protocol = await clients.machine.system.dial(
                    lambda: Connection(self), clients.front.addresses[self.node]
                )
        except (OSError, TimeoutError):
            self.connection_count -= 1
            clients.on_unreachable(client_try)
            self._dial_next()
            return
        connection = cast(Connection, protocol)
        connection.is_held = client_try.operation.holds_connection
        if client_try.live and not connection.closed:
            connection.send(client_try)
        elif client_try.live:
            clients.on_unreachable(client_try)
        else:
            self.release(connection)

    def release(self, connection: Connection) -> None:
        """A connection has no request any more: gives it a waiting try, or keeps it idle."""
        if connection.closed or connection.is_held:
            return
        connection.idle_since = self.clients.machine.now()
        while self._waiting:
            client_try = self._waiting.popleft()
            if client_try.live:
                connection.send(client_try)
                return
        self._idle.append(connection)

    def remove(self, connection: Connection) -> None:
        """Removes a closed connection."""
        self.connection_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        self._dial_next()

    def _dial_next(self) -> None:
        while self._waiting and self.connection_count < self.clients.figures.connections_max:
            client_try = self._waiting.popleft()
            if client_try.live:
                self._dial(client_try)
                return

    def close_idle(self, idle_before: int) -> None:
        """Closes connections that have been idle since before a time (ns)."""
        for connection in [idle for idle in self._idle if idle.idle_since < idle_before]:
            self._idle.remove(connection)
            connection.close()


class Connection(asyncio.Protocol):
    """A connection to a node, with one request at a time."""

    def __init__(self, pool: Pool) -> None:
        self.current: Try | None = None
        self.closed = False
        self.is_held = False  # its client sends no more requests and keeps it open
        self.connected_at = 0
        self.idle_since = 0
        self._pool = pool
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.connected_at = self.idle_since = self._pool.clients.machine.now()

    def send(self, client_try: Try) -> None:
        self.current = client_try
        self._pool.clients.send(client_try, self)

    def write(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        clients = self._pool.clients
        now = clients.machine.now()
        try:
            messages = self._reader.feed(data, now)
            for message in messages:
                status = status_of(message.start_line)
                client_try, self.current = self.current, None
                if client_try is None:
                    raise WireError(f"an answer {status} that nobody asked for")
                clients.on_answer(client_try, status, message.fields, message.body)
                if message.fields.get(b"connection", b"").lower() == b"close":
                    self.close()
                else:
                    self._pool.release(self)
        except WireError as exception:
            clients.note(
                wire.UnexpectedMessage(now, self._pool.node, f"a client got what is no answer: {exception}")
            )
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        client_try, self.current = self.current, None
        self._pool.remove(self)
        if client_try is not None:
            reason = "closed" if exc is None else type(exc).__name__
            if self._reader.is_partial():
                reason += " in the midst of an answer"
            self._pool.clients.on_connection_ended(client_try, reason)

    def close(self) -> None:
        self.closed = True
        if self._transport is not None:
            self._transport.close()
