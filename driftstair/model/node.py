"""A modelled node: the decision module, and the connections and timers that the daemon keeps for it.

The module gets the same events and returns the same actions as in `driftstair/net/node.py`. Parsing, bodies
and the node's own CPU time are not modelled.
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
    from driftstair.model.clients import ClientRequest

# As in the daemon: a final answer is sent this long before the client's deadline.
RESPONSE_TRANSIT_NS = 5_000_000
# As in the daemon: the fraction of the servers' idle limit after which a connection is closed.
IDLE_CLOSE_FRACTION = 0.9


class Environment(Protocol):
    """What a node needs of the world around it."""

    clock: Clock
    settings: api.Settings
    dial_timeout_ns: int
    connect_round_trips: float  # before a request can be sent on a new connection
    max_sockets: int  # to servers, for each node
    handshakes: int  # connections opened by all nodes

    def internal_delay_ns(self) -> int:
        """Draws the one-way network delay between a node and a server, in ns."""

    def watch(self, node: Node) -> None: ...

    def find_server(self, server: api.ServerId) -> Server | None: ...


class Request:
    """One try of a client, at the node that received it."""

    __slots__ = ("answer_callback", "client_request", "closed", "deadline", "number", "pending", "sent")

    def __init__(
        self,
        number: int,
        client_request: ClientRequest,
        deadline: int,
        answer_callback: Callable[[int, int], None],
    ) -> None:
        self.number = number
        self.client_request = client_request
        self.deadline = deadline
        self.answer_callback = answer_callback  # called with the status and the retry-after in ns
        self.closed = False
        self.sent = 0
        self.pending: dict[int, Attempt] = {}


class Attempt:
    """One attempt of a node to get a request answered by a server."""

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

    def on_response(self, result: Result, report: tuple[float, ...]) -> None:
        """The server sends its answer, which reaches the node after the network delay."""
        self.node.clock.call_later(
            self.node.world.internal_delay_ns(), self.node.end_attempt, self, result, report
        )

    def on_connection_lost(self, result: Result) -> None:
        """The connection breaks at the server, which the node sees after the network delay."""
        self.node.clock.call_later(
            self.node.world.internal_delay_ns(), self.node.end_attempt, self, result, ()
        )


class Node:
    """A node, running or not. A restart is the same node with a new generation."""

    def __init__(self, name: str, world: Environment) -> None:
        self.name = name
        self.world = world
        self.clock = world.clock
        self.running = False
        self.generation = 0
        # Kept over a restart, so it may be out of date.
        self.known_servers: dict[api.ServerId, api.Server] = {}
        self.sockets = self.received = self.refused = self.attempts = 0
        self.open_requests: dict[int, Request] = {}
        self.module: api.DecisionModule
        # By server: the time in ns since which each connection is idle.
        self._idle_connections: dict[api.ServerId, list[int]] = {}
        # The generations of the server processes that the idle connections lead to.
        self._server_generations: dict[api.ServerId, int] = {}
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._last_number = 0

    # Start and stop.

    def start(self, module: api.DecisionModule) -> None:
        self.running = True
        self.generation += 1
        self.module = module
        self.open_requests = {}
        self._idle_connections, self._server_generations = {}, {}
        self.sockets = 0
        self._events.clear()
        self._execute(module.start(self.clock.now))
        self.on_server_list(ListKind.CACHED, tuple(self.known_servers.values()))
        self.clock.call_later(1_000_000_000, self._close_expired_connections, self.generation)

    def stop(self) -> None:
        """Kills the process: its open requests are lost, and its connections close."""
        self.running = False
        self.generation += 1
        for request in list(self.open_requests.values()):
            for attempt in request.pending.values():
                self._abandon_attempt(attempt)
            if not request.closed:
                request.closed = True
                request.answer_callback(0, 0)
        for server_id, idle in self._idle_connections.items():
            for _ in idle:
                self._close_connection(server_id)
        self.open_requests, self._idle_connections = {}, {}

    # The module.

    def handle_event(self, event: api.Event) -> None:
        """Passes an event to the module and executes the actions that it returns."""
        self._events.append(event)
        if self._handling:
            return  # an event waits until all actions of the one before it are done
        self._handling = True
        try:
            while self._events:
                self._execute(self.module.handle(self.clock.now, self._events.popleft()))
        finally:
            self._handling = False

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.Refuse):
                self.refused += 1
                self._answer(action.request, 503, action.retry_after)
            elif isinstance(action, api.Fail):
                self._answer(action.request, 502, 0)
            elif isinstance(action, api.SetTimer):
                self.clock.call_at(action.at, self._on_timer, self.generation, action.token)
            elif isinstance(action, api.CloseIdleConnections):
                for _ in self._idle_connections.pop(action.server, ()):
                    self._close_connection(action.server)
            else:
                self.world.watch(self)

    def _on_timer(self, generation: int, token: int) -> None:
        if generation == self.generation:
            self.handle_event(api.Timer(token))

    def on_server_list(self, kind: ListKind, servers: tuple[api.Server, ...]) -> None:
        """Takes an answer of the server list, and passes it to the module."""
        if kind is ListKind.FULL:
            self.known_servers = {}
        for server in servers:
            if server.state is api.ServerState.GONE:
                self.known_servers.pop(server.id, None)
            else:
                self.known_servers[server.id] = server
        self.handle_event(api.ServerList(kind, servers))

    # Requests.

    def receive(
        self,
        client_request: ClientRequest,
        patience: int,
        is_retry: bool,
        answer_callback: Callable[[int, int], None],
    ) -> None:
        """Takes a request of a client. `patience`: the ns until the client gives up."""
        self._last_number += 1
        self.received += 1
        now = self.clock.now
        request = Request(self._last_number, client_request, now + patience, answer_callback)
        remaining_ns = patience - RESPONSE_TRANSIT_NS
        if remaining_ns <= 0:
            answer_callback(504, 0)
            return
        self.open_requests[request.number] = request
        self.clock.call_at(request.deadline, self._on_deadline, self.generation, request)
        self.handle_event(
            api.Request(
                request.number,
                remaining_ns,
                client_request.kind.index,
                client_request.tenant,
                client_request.key,
                is_retry,
            )
        )

    def _on_deadline(self, generation: int, request: Request) -> None:
        if generation == self.generation and not request.closed:
            self._finish(request, 504, 0)
            self.handle_event(api.ClientGone(request.number))
            for attempt in list(request.pending.values()):
                self.end_attempt(attempt, Result.CANCELLED, ())

    def _answer(self, number: int, status: int, retry_after: int) -> None:
        request = self.open_requests.get(number)
        if request is not None and not request.closed:
            self._finish(request, status, retry_after)

    def _finish(self, request: Request, status: int, retry_after: int) -> None:
        request.closed = True
        if not request.pending:
            self.open_requests.pop(request.number, None)
        request.answer_callback(status, retry_after)

    # Attempts.

    def _send(self, action: api.Send) -> None:
        request = self.open_requests.get(action.request)
        server = self.world.find_server(action.server)
        index = request.sent if request is not None else 0
        if request is None or request.closed or server is None or index >= self.world.settings.max_attempts:
            closed = request is None or request.closed
            self.handle_event(
                api.Outcome(action.request, closed, Result.NOT_SENT, 0, action.server, index, ())
            )
            return
        request.sent += 1
        self.attempts += 1
        now, world = self.clock.now, self.world
        attempt = Attempt(self, request, index, server)
        request.pending[index] = attempt
        latest = request.deadline - RESPONSE_TRANSIT_NS
        expires = min(latest, now + action.time_out) if action.time_out else latest
        idle = self._idle_connections.get(action.server)
        if idle:
            idle.pop()
            attempt.connected = attempt.written = True
            self.clock.call_later(world.internal_delay_ns(), server.arrive, attempt)
        elif self.sockets >= world.max_sockets:
            self.end_attempt(attempt, Result.NOT_SENT, ())
            return
        else:
            connect_ns = int(2 * world.connect_round_trips * world.internal_delay_ns())
            self.clock.call_later(connect_ns, self._on_connected, attempt)
            self.clock.call_at(min(expires, now + world.dial_timeout_ns), self._on_timeout, attempt, True)
        self.clock.call_at(expires, self._on_timeout, attempt, False)

    def _on_connected(self, attempt: Attempt) -> None:
        server = attempt.server
        if attempt.done or server.vanished:
            return
        if not server.running:
            self.end_attempt(attempt, Result.CONNECT_FAILED, ())
            return
        attempt.connected = attempt.written = True
        attempt.generation = server.generation
        self.sockets += 1
        self.world.handshakes += 1
        server.accept()
        self.clock.call_later(self.world.internal_delay_ns(), server.arrive, attempt)

    def _on_timeout(self, attempt: Attempt, connecting: bool) -> None:
        if not attempt.done and not (connecting and attempt.connected):
            self.end_attempt(attempt, Result.TIMEOUT if attempt.written else Result.CONNECT_FAILED, ())

    def end_attempt(self, attempt: Attempt, result: Result, report: tuple[float, ...]) -> None:
        """Records the result of an attempt, and tells the module of it."""
        if (
            attempt.done
            or not self.running
            or self.open_requests.get(attempt.request.number) is not attempt.request
        ):
            return
        attempt.done = True
        request, server = attempt.request, attempt.server
        now = self.clock.now
        del request.pending[attempt.index]
        if result in (Result.OK, Result.ERROR, Result.FULL) and attempt.connected:
            if attempt.generation == server.generation:
                if self._server_generations.get(server.id) != server.generation:
                    self._server_generations[server.id] = server.generation
                    self._idle_connections[server.id] = []
                self._idle_connections.setdefault(server.id, []).append(now)
            else:
                self.sockets -= 1
        else:
            self._abandon_attempt(attempt)
        if result is Result.OK and not request.closed:
            self._finish(request, 200, 0)
        if request.closed and not request.pending:
            self.open_requests.pop(request.number, None)
        self.handle_event(
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

    def _abandon_attempt(self, attempt: Attempt) -> None:
        attempt.done = True
        if attempt.connected:
            self.sockets -= 1
            attempt.server.close_connection(attempt.generation)
        attempt.server.abandon(attempt)

    def _close_connection(self, server_id: api.ServerId) -> None:
        self.sockets -= 1
        server = self.world.find_server(server_id)
        if server is not None:
            server.close_connection(self._server_generations.get(server_id, -1))

    def server_died(self, server: Server) -> None:
        """Drops the idle connections to a server whose process has ended."""
        self.sockets -= len(self._idle_connections.pop(server.id, ()))

    def _close_expired_connections(self, generation: int) -> None:
        """Closes connections that have been idle for too long."""
        if generation != self.generation:
            return
        cutoff_ns = self.clock.now - int(IDLE_CLOSE_FRACTION * self.world.settings.idle_close)
        for server_id, idle in self._idle_connections.items():
            while idle and idle[0] <= cutoff_ns:
                del idle[0]
                self._close_connection(server_id)
        self.clock.call_later(1_000_000_000, self._close_expired_connections, generation)
