"""All clients together: arrivals that wait for nobody, connections that are kept, and retries of their
own."""

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
from driftstair.rehearsal.fakes.place import Place
from driftstair.rehearsal.fakes.workload import Choice, Kind, Workload, zipf
from lichenspring.subset import splitmix64

NOBODY_ASKS = 0.05  # s until the next look, while the load is none
IDLE_LOOK = 1.0  # s
CLOSE_AFTER = 2  # times the grace of an answer: then nobody waits at its connection


@dataclass(frozen=True, slots=True)
class ClientFigures:
    """Times in s."""

    retries: int
    try_share: float
    backoff: float
    honour: float
    mark_retries: bool
    connections_most: int  # to one node
    idle: float
    answer_grace: float
    hold_share: float = 0.0


class Ask:
    """A first try and all that follows it."""

    __slots__ = (
        "began", "due", "holds", "honours", "key", "kind", "open", "phase", "tenant", "tries",
        "why",
    )  # fmt: skip

    def __init__(self, kind: Kind, tenant: str, key: bytes, phase: str, began: int, honours: bool) -> None:
        self.kind = kind
        self.tenant = tenant
        self.key = key
        self.phase = phase
        self.began = began
        self.due = began + kind.given_up
        self.honours = honours
        self.holds = False  # on a connection of its own, which it keeps for nothing
        self.tries = 0
        self.open = True
        self.why = account.UNREACHABLE


class Try:
    """One request on the wire."""

    __slots__ = ("again", "ask", "connection", "live", "node", "patience", "request", "timer", "until")

    def __init__(self, ask: Ask, request: bytes, node: str, patience: int, until: int) -> None:
        self.ask = ask
        self.request = request
        self.node = node
        self.patience = patience  # ns
        self.until = until
        self.again = False
        self.live = True
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None


class Clients:
    """`serves(node)` tells whether the node's process runs at all: what a client can't know and its network
    does. `load` is what a runner turns."""

    def __init__(
        self, place: Place, front: FrontLayer, workload: Workload, figures: ClientFigures, tenants: Choice,
        tenant_names: list[str], keys: int, key_skew: float, load: Load, ledger: account.Account,
        note: Callable[[wire.Observation], None], serves: Callable[[str], bool], seed: int,
    ) -> None:  # fmt: skip
        self.place = place
        self.front = front
        self.figures = figures
        self.note = note
        self.load = load
        self.ledger = ledger
        self.serves = serves
        self.in_flight: dict[str, int] = {}  # requests on the wire, by node
        self.asks_open = 0
        self.running = False
        self._asks: dict[Ask, None] = {}
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
        self.running = True
        self._next_arrival = self.place.now()
        self.place.loop.call_later(0.0, self._arrive)
        self.place.loop.call_later(IDLE_LOOK, self._look_at_idle)

    def stop(self) -> None:
        """No new first tries; what is open goes on."""
        self.running = False

    def cut_off(self) -> None:
        """The run ends now: what is open has no answer."""
        for ask in list(self._asks):
            ask.why = account.CUT_OFF
            self._close(ask, 0)

    # Arrivals.

    def _arrive(self) -> None:
        """All whose time has come: a loop that counts in whole milliseconds, as real ones do, would else
        bring fewer than are due."""
        if not self.running:
            return
        now = self.place.now()
        while self._next_arrival <= now:
            rate = self.load.rate(now)
            if rate <= 0:
                self._next_arrival = now + int(NOBODY_ASKS * 1e9)
                break
            self._next_arrival += int(-log(1.0 - self._random.random()) / rate * 1e9)
            self._ask(now)
        wait = max(0, self._next_arrival - now)
        self.place.loop.call_later(wait / 1e9, self._arrive)

    def _ask(self, now: int) -> None:
        random = self._random
        kind = self.load.draw(random)
        tenant = self._tenant_names[self._tenants.draw(random)]
        key = b"video-%d" % self._keys.draw(random)
        ask = Ask(kind, tenant, key, self.load.phase, now, random.random() < self.figures.honour)
        # No draw where nobody holds: what was drawn before there were such clients stays as it was.
        ask.holds = self.figures.hold_share > 0 and random.random() < self.figures.hold_share
        self.asks_open += 1
        self._asks[ask] = None
        self._try(ask)

    def _try(self, ask: Ask) -> None:
        if not ask.open:
            return
        now = self.place.now()
        left = ask.due - now
        if left <= 0:
            self._close(ask, 0)
            return
        ask.tries += 1
        node = self.front.pick()
        if node is None:
            ask.why = account.UNREACHABLE
            self._again(ask, 0.0, ran=False)
            return
        # The last try gets what is left; the ones before leave time for another.
        patience = left if ask.tries > self.figures.retries else min(
            left, int(ask.kind.given_up * self.figures.try_share)
        )  # fmt: skip
        self._last_id += 1
        request = b"%016x" % splitmix64(self._ids + self._last_id)
        one = Try(ask, request, node, patience, now + patience)
        one.timer = self.place.loop.call_later(patience / 1e9, self._time_is_up, one)
        self._pool(node).carry(one)

    def _pool(self, node: str) -> Pool:
        pool = self._pools.get(node)
        if pool is None:
            pool = self._pools[node] = Pool(self, node)
        return pool

    def send(self, one: Try, connection: Connection) -> None:
        """On a connection that is up and free."""
        now = self.place.now()
        ask = one.ask
        left = one.until - now
        one.connection = connection
        self.in_flight[one.node] = self.in_flight.get(one.node, 0) + 1
        retry = b"X-Retry: 1\r\n" if ask.tries > 1 and self.figures.mark_retries else b""
        safe = ask.kind.effect == "safe"
        keyed = b"Idempotency-Key: k-%s\r\n" % one.request if ask.kind.effect == "keyed" else b""
        body = b"" if safe else b"caption of " + ask.key
        length = b"" if safe else b"Content-Length: %d\r\n" % len(body)
        connection.write(
            b"%s /api HTTP/1.1\r\nHost: captions\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: %s\r\n"
            b"X-Key: %s\r\nX-Deadline: %du\r\n%s%s%s\r\n%s"
            % (
                b"GET" if safe else b"POST", one.request, ask.kind.name.encode(), ask.tenant.encode(),
                ask.key, left // 1000, retry, keyed, length, body,
            )
        )  # fmt: skip
        self.note(wire.Asked(now, one.request, one.node, ask.kind.name, left, connection.since, one.again))

    # What becomes of a try.

    def answered(self, one: Try, status: int, fields: dict[bytes, bytes], body: bytes) -> None:
        now = self.place.now()
        token = body.partition(b"\n")[0] if status == 200 else b""
        self.note(wire.Answered(now, one.request, status, token))
        self._left_wire(one)
        if not one.live:
            return  # it has given up on it, and may be asking anew
        self._over(one)
        ask = one.ask
        if status == 200:
            latency = now - ask.began
            ask.why = account.SERVED if latency <= ask.kind.wanted else account.LATE
            self._close(ask, latency)
        elif status in (429, 503):
            ask.why = account.REFUSED
            self._again(ask, _seconds(fields.get(b"retry-after", b"")), ran=False)
        else:
            ask.why = account.FAILED
            self._again(ask, 0.0, ran=True)

    def cut(self, one: Try, how: str) -> None:
        """Its connection ended first."""
        now = self.place.now()
        self.note(wire.Cut(now, one.request, how))
        self._left_wire(one)
        if not one.live:
            return
        if self.serves(one.node) and not one.again and one.until > now:
            # The node closed the connection between two requests, and this one crossed that.
            one.again = True
            one.connection = None
            self._pool(one.node).carry(one)
            return
        self._over(one)
        one.ask.why = account.FAILED
        self._again(one.ask, 0.0, ran=True)

    def unreachable(self, one: Try) -> None:
        """No connection came up."""
        if one.live:
            self._over(one)
            one.ask.why = account.UNREACHABLE
            self._again(one.ask, 0.0, ran=False)

    def _time_is_up(self, one: Try) -> None:
        if not one.live:
            return
        self._over(one)
        one.ask.why = account.GAVE_UP
        connection = one.connection
        if connection is not None:
            # Its answer may still be on the way; nobody waits for longer than that.
            grace = CLOSE_AFTER * self.figures.answer_grace
            self.place.loop.call_later(grace, self._leave, one, connection)
        self._again(one.ask, 0.0, ran=True)

    def _leave(self, one: Try, connection: Connection) -> None:
        if connection.current is one:
            self.note(wire.LeftOff(self.place.now(), one.request))
            self._left_wire(one)
            connection.current = None
            connection.close()

    def _over(self, one: Try) -> None:
        one.live = False
        if one.timer is not None:
            one.timer.cancel()

    def _left_wire(self, one: Try) -> None:
        self.in_flight[one.node] -= 1

    def _again(self, ask: Ask, wait_asked: float, ran: bool) -> None:
        """After a try without an answer that could be used. `ran`: it may have run."""
        now = self.place.now()
        if ask.tries > self.figures.retries or (ran and ask.kind.effect == "unsafe"):
            self._close(ask, 0)
            return
        wait = self.figures.backoff * 2 ** (ask.tries - 1) * self._random.uniform(0.5, 1.5)
        if ask.honours:
            wait = max(wait, wait_asked)
        if now + int(wait * 1e9) >= ask.due:
            self._close(ask, 0)
            return
        self.place.loop.call_later(wait, self._try, ask)

    def _close(self, ask: Ask, latency: int) -> None:
        if not ask.open:
            return
        ask.open = False
        self.asks_open -= 1
        del self._asks[ask]
        self.ledger.record_outcome(
            ask.kind.name, ask.tenant, ask.phase, ask.began, ask.kind.worth, ask.why, latency, ask.tries
        )

    def _look_at_idle(self) -> None:
        before = self.place.now() - int(self.figures.idle * 1e9)
        for pool in self._pools.values():
            pool.close_idle(before)
        self.place.loop.call_later(IDLE_LOOK, self._look_at_idle)


def _seconds(text: bytes) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


class Load:
    """How much is asked for, and of what: figures that a runner turns while the run goes on."""

    def __init__(self, rate: float, kinds: list[Kind], shares: list[float]) -> None:
        self.phase = ""
        self._rate = rate
        self._kinds = kinds
        total = sum(shares)
        self._shares = [share / total for share in shares]
        self._times: dict[object, Callable[[int], float]] = {}  # factors on the whole, by who set them
        self._by_class: dict[object, dict[str, float]] = {}  # factors on classes
        self._choice = Choice(self._shares)
        self._sum = 1.0

    def set_times(self, who: object, times: Callable[[int], float] | None) -> None:
        """A factor on the whole load, by the time in ns; None takes it back."""
        if times is None:
            self._times.pop(who, None)
        else:
            self._times[who] = times

    def set_classes(self, who: object, factors: dict[str, float] | None) -> None:
        """Factors on the load of some classes; the others ask as before. None takes them back."""
        if factors is None:
            self._by_class.pop(who, None)
        else:
            self._by_class[who] = factors
        weights = []
        for kind, share in zip(self._kinds, self._shares, strict=True):
            for factors in self._by_class.values():
                share *= factors.get(kind.name, 1.0)
            weights.append(share)
        self._sum = sum(weights)
        if self._sum:
            self._choice = Choice(weights)

    def rate(self, now: int) -> float:
        """First tries a second."""
        rate = self._rate * self._sum
        for times in self._times.values():
            rate *= times(now)
        return rate

    def draw(self, random: Random) -> Kind:
        return self._kinds[self._choice.draw(random)]


class Pool:
    """The connections of all clients to one node."""

    def __init__(self, clients: Clients, node: str) -> None:
        self.clients = clients
        self.node = node
        self.open = 0  # or being dialed
        self._idle: list[Connection] = []
        self._waiting: deque[Try] = deque()
        self._tasks: dict[asyncio.Task[None], None] = {}

    def carry(self, one: Try) -> None:
        while self._idle and not one.ask.holds:
            connection = self._idle.pop()
            if not connection.closed:
                connection.send(one)
                return
        if self.open >= self.clients.figures.connections_most:
            self._waiting.append(one)
            return
        self._dial(one)

    def _dial(self, one: Try) -> None:
        self.open += 1
        task = self.clients.place.loop.create_task(self._connect(one))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _connect(self, one: Try) -> None:
        clients = self.clients
        left = max(0.0, (one.until - clients.place.now()) / 1e9)
        try:
            async with asyncio.timeout(left):
                made = await clients.place.system.dial(
                    lambda: Connection(self), clients.front.addresses[self.node]
                )
        except (OSError, TimeoutError):
            self.open -= 1
            clients.unreachable(one)
            self._next()
            return
        connection = cast(Connection, made)
        connection.held = one.ask.holds
        if one.live and not connection.closed:
            connection.send(one)
        elif one.live:
            clients.unreachable(one)
        else:
            self.free(connection)

    def free(self, connection: Connection) -> None:
        if connection.closed or connection.held:
            return
        connection.idle_since = self.clients.place.now()
        while self._waiting:
            one = self._waiting.popleft()
            if one.live:
                connection.send(one)
                return
        self._idle.append(connection)

    def lost(self, connection: Connection) -> None:
        self.open -= 1
        if connection in self._idle:
            self._idle.remove(connection)
        self._next()

    def _next(self) -> None:
        while self._waiting and self.open < self.clients.figures.connections_most:
            one = self._waiting.popleft()
            if one.live:
                self._dial(one)
                return

    def close_idle(self, before: int) -> None:
        for connection in [one for one in self._idle if one.idle_since < before]:
            self._idle.remove(connection)
            connection.close()


class Connection(asyncio.Protocol):
    """One connection to a node, one request at a time."""

    def __init__(self, pool: Pool) -> None:
        self.current: Try | None = None
        self.closed = False
        self.held = False  # its client asks no more, and keeps it
        self.since = 0  # when it came up
        self.idle_since = 0
        self._pool = pool
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.since = self.idle_since = self._pool.clients.place.now()

    def send(self, one: Try) -> None:
        self.current = one
        self._pool.clients.send(one, self)

    def write(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        clients = self._pool.clients
        now = clients.place.now()
        try:
            messages = self._reader.feed(data, now)
            for message in messages:
                status = status_of(message.first)
                one, self.current = self.current, None
                if one is None:
                    raise WireError(f"an answer {status} that nobody asked for")
                clients.answered(one, status, message.fields, message.body)
                if message.fields.get(b"connection", b"").lower() == b"close":
                    self.close()
                else:
                    self._pool.free(self)
        except WireError as problem:
            clients.note(wire.Unasked(now, self._pool.node, f"a client got what is no answer: {problem}"))
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        one, self.current = self.current, None
        self._pool.lost(self)
        if one is not None:
            how = "closed" if exc is None else type(exc).__name__
            if self._reader.is_partial():
                how += " in the midst of an answer"
            self._pool.clients.cut(one, how)

    def close(self) -> None:
        self.closed = True
        if self._transport is not None:
            self._transport.close()
