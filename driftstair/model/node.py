"""One node: the decision module, and round it the connections and timers that the daemon keeps for it.

The same events in and actions out as in `driftstair/net/node.py`. Not held: parsing, its own CPU, bodies.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from driftstair.model.clock import Clock
from driftstair.model.server import Server
from lichenspring import interface as api
from lichenspring.interface import ListKind, Result

if TYPE_CHECKING:
    from driftstair.model.clients import Ask

TRANSIT = 5_000_000  # ns, as the daemon's: a final answer sets out so much before the client's deadline
IDLE_PART = 0.9  # of the servers' idle limit, likewise


class Surroundings(Protocol):
    """What a node meets."""

    clock: Clock
    settings: api.Settings
    dial_timeout: int  # ns
    dial_trips: float  # there and back, before a request can be sent
    descriptors: int
    handshakes: int

    def inside(self) -> int:
        """ns, one way between a node and a server."""

    def watch(self, node: Node) -> None: ...

    def server(self, server: api.ServerId) -> Server | None: ...


class Request:
    """One try of a client, at the node that took it."""

    __slots__ = ("answered", "ask", "closed", "deadline", "number", "out", "sent")

    def __init__(self, number: int, ask: Ask, deadline: int, answered: Callable[[int, int], None]) -> None:
        self.number = number
        self.ask = ask
        self.deadline = deadline
        self.answered = answered  # with the status, and for how long to stay away
        self.closed = False
        self.sent = 0
        self.out: dict[int, Attempt] = {}


class Attempt:
    __slots__ = (
        "connected", "done", "generation", "index", "node", "request", "sent_at", "server", "written",
    )  # fmt: skip

    def __init__(self, node: Node, request: Request, index: int, server: Server) -> None:
        self.node = node
        self.request = request
        self.index = index
        self.server = server
        self.generation = server.generation
        self.sent_at = node.clock.now
        self.done: bool = False
        self.connected = self.written = False

    def answered(self, result: Result, report: tuple[float, ...]) -> None:
        """The server has; the word is on its way."""
        self.node.clock.after(self.node.world.inside(), self.node.ended, self, result, report)

    def lost(self, result: Result) -> None:
        self.node.clock.after(self.node.world.inside(), self.node.ended, self, result, ())


class Node:
    def __init__(self, name: str, world: Surroundings) -> None:
        self.name = name
        self.world = world
        self.clock = world.clock
        self.running = False
        self.generation = 0
        self.known: dict[api.ServerId, api.Server] = {}  # outlives a restart, and may be old
        self.sockets = self.taken = self.refused = self.attempts = 0
        self.open: dict[int, Request] = {}
        self.module: api.DecisionModule
        self._idle: dict[api.ServerId, list[int]] = {}  # since when each idle connection is, by server
        self._generations: dict[api.ServerId, int] = {}  # of the server's process, that they lead to
        self._events: deque[api.Event] = deque()
        self._telling = False
        self._numbers = 0

    # Start and stop.

    def start(self, module: api.DecisionModule) -> None:
        self.running = True
        self.generation += 1
        self.module = module
        self.open = {}
        self._idle, self._generations = {}, {}
        self.sockets = 0
        self._events.clear()
        self._act_on(module.start(self.clock.now))
        self.listed(ListKind.CACHED, tuple(self.known.values()))
        self.clock.after(1_000_000_000, self._sweep, self.generation)

    def stop(self) -> None:
        """Killed: what it held is cut, and its connections are gone."""
        self.running = False
        self.generation += 1
        for request in list(self.open.values()):
            for attempt in request.out.values():
                self._leave(attempt)
            if not request.closed:
                request.closed = True
                request.answered(0, 0)
        for identity, idle in self._idle.items():
            for _ in idle:
                self._hang_up(identity)
        self.open, self._idle = {}, {}

    # The module.

    def tell(self, event: api.Event) -> None:
        self._events.append(event)
        if self._telling:
            return  # no event comes in the midst of another one's actions
        self._telling = True
        try:
            while self._events:
                self._act_on(self.module.handle(self.clock.now, self._events.popleft()))
        finally:
            self._telling = False

    def _act_on(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.Refuse):
                self.refused += 1
                self._answer(action.request, 503, action.retry_after)
            elif isinstance(action, api.Fail):
                self._answer(action.request, 502, 0)
            elif isinstance(action, api.SetTimer):
                self.clock.at(action.at, self._wake, self.generation, action.token)
            elif isinstance(action, api.CloseIdleConnections):
                for _ in self._idle.pop(action.server, ()):
                    self._hang_up(action.server)
            else:
                self.world.watch(self)

    def _wake(self, generation: int, token: int) -> None:
        if generation == self.generation:
            self.tell(api.Timer(token))

    def listed(self, kind: ListKind, servers: tuple[api.Server, ...]) -> None:
        if kind is ListKind.FULL:
            self.known = {}
        for server in servers:
            if server.state is api.ServerState.GONE:
                self.known.pop(server.id, None)
            else:
                self.known[server.id] = server
        self.tell(api.ServerList(kind, servers))

    # Requests.

    def take(self, ask: Ask, patience: int, again: bool, answered: Callable[[int, int], None]) -> None:
        self._numbers += 1
        self.taken += 1
        now = self.clock.now
        request = Request(self._numbers, ask, now + patience, answered)
        left = patience - TRANSIT
        if left <= 0:
            answered(504, 0)
            return
        self.open[request.number] = request
        self.clock.at(request.deadline, self._overdue, self.generation, request)
        self.tell(api.Request(request.number, left, ask.kind.index, ask.tenant, ask.key, again))

    def _overdue(self, generation: int, request: Request) -> None:
        if generation == self.generation and not request.closed:
            self._finish(request, 504, 0)
            self.tell(api.ClientGone(request.number))
            for attempt in list(request.out.values()):
                self.ended(attempt, Result.CANCELLED, ())

    def _answer(self, number: int, status: int, wait: int) -> None:
        request = self.open.get(number)
        if request is not None and not request.closed:
            self._finish(request, status, wait)

    def _finish(self, request: Request, status: int, wait: int) -> None:
        request.closed = True
        if not request.out:
            self.open.pop(request.number, None)
        request.answered(status, wait)

    # Attempts.

    def _send(self, action: api.Send) -> None:
        request = self.open.get(action.request)
        server = self.world.server(action.server)
        index = request.sent if request is not None else 0
        if request is None or request.closed or server is None or index >= self.world.settings.max_attempts:
            closed = request is None or request.closed
            self.tell(api.Outcome(action.request, closed, Result.NOT_SENT, 0, action.server, index, ()))
            return
        request.sent += 1
        self.attempts += 1
        now, world = self.clock.now, self.world
        attempt = Attempt(self, request, index, server)
        request.out[index] = attempt
        latest = request.deadline - TRANSIT
        expires = min(latest, now + action.time_out) if action.time_out else latest
        idle = self._idle.get(action.server)
        if idle:
            idle.pop()
            attempt.connected = attempt.written = True
            self.clock.after(world.inside(), server.arrive, attempt)
        elif self.sockets >= world.descriptors:
            self.ended(attempt, Result.NOT_SENT, ())
            return
        else:
            trips = int(2 * world.dial_trips * world.inside())
            self.clock.after(trips, self._dialed, attempt)
            self.clock.at(min(expires, now + world.dial_timeout), self._expire, attempt, True)
        self.clock.at(expires, self._expire, attempt, False)

    def _dialed(self, attempt: Attempt) -> None:
        server = attempt.server
        if attempt.done or server.vanished:
            return
        if not server.running:
            self.ended(attempt, Result.CONNECT_FAILED, ())
            return
        attempt.connected = attempt.written = True
        attempt.generation = server.generation
        self.sockets += 1
        self.world.handshakes += 1
        server.accept()
        self.clock.after(self.world.inside(), server.arrive, attempt)

    def _expire(self, attempt: Attempt, dialing: bool) -> None:
        if not attempt.done and not (dialing and attempt.connected):
            self.ended(attempt, Result.TIMEOUT if attempt.written else Result.CONNECT_FAILED, ())

    def ended(self, attempt: Attempt, result: Result, report: tuple[float, ...]) -> None:
        if attempt.done or not self.running or self.open.get(attempt.request.number) is not attempt.request:
            return
        attempt.done = True
        request, server = attempt.request, attempt.server
        now = self.clock.now
        del request.out[attempt.index]
        if result in (Result.OK, Result.ERROR, Result.FULL) and attempt.connected:
            if attempt.generation == server.generation:
                if self._generations.get(server.id) != server.generation:
                    self._generations[server.id] = server.generation
                    self._idle[server.id] = []
                self._idle.setdefault(server.id, []).append(now)
            else:
                self.sockets -= 1
        else:
            self._leave(attempt)
        if result is Result.OK and not request.closed:
            self._finish(request, 200, 0)
        if request.closed and not request.out:
            self.open.pop(request.number, None)
        self.tell(
            api.Outcome(
                request.number,
                request.closed,
                result,
                now - attempt.sent_at,
                server.id,
                attempt.index,
                report,
            )
        )

    # Connections.

    def _leave(self, attempt: Attempt) -> None:
        attempt.done = True
        if attempt.connected:
            self.sockets -= 1
            attempt.server.hang_up(attempt.generation)
        attempt.server.forsake(attempt)

    def _hang_up(self, identity: api.ServerId) -> None:
        self.sockets -= 1
        server = self.world.server(identity)
        if server is not None:
            server.hang_up(self._generations.get(identity, -1))

    def server_died(self, server: Server) -> None:
        self.sockets -= len(self._idle.pop(server.id, ()))

    def _sweep(self, generation: int) -> None:
        """Connections that have rested too long are closed."""
        if generation != self.generation:
            return
        before = self.clock.now - int(IDLE_PART * self.world.settings.idle_close)
        for identity, idle in self._idle.items():
            while idle and idle[0] <= before:
                del idle[0]
                self._hang_up(identity)
        self.clock.after(1_000_000_000, self._sweep, generation)
