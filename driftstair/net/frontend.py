"""The listening socket: which clients are taken in, which connections make room, and the node's end."""

from __future__ import annotations

import asyncio
import errno
import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from driftstair.admission.body_progress import BodyProgress
from driftstair.admission.connection_table import CloseMode, ConnectionLimits, ConnectionTable
from driftstair.net.body_stream import STREAM_STALL_S_MAX, BodyBudget
from driftstair.net.client_connection import ClientConnection
from driftstair.net.loop_monitor import LoopMonitor
from driftstair.net.node import Node
from driftstair.net.request_guard import ProcessState
from driftstair.net.system import SOCKET_SYSTEM, Listener, System
from driftstair.observability.reasons import CloseReason
from driftstair.settings import Config

if TYPE_CHECKING:
    from driftstair.operations.drain import Drain

log = logging.getLogger(__name__)

BACKLOG = 1024
ACCEPTS = 16  # in one turn of the loop, so that a flood of connections leaves turns for the others
LOOK = 0.02  # s until the next look at a full table, while clients wait for a place in it
WANT_LASTS = 3  # accepts in a row that fail: a want of a moment costs no client its connection
FULL_PAUSE = 0.05  # s until the next look at the listening socket, where no descriptor was left
SWEEP = 0.1  # s
DRAIN_LOOK = 0.02  # s
BESIDE = 4.0  # s for which a process that has taken over counts on another one beside it
HELD_BESIDE = 0.6  # part of the connections that clients may hold, for that time


class Frontend:
    """The listening socket and all connections that came from it."""

    def __init__(
        self, node: Node, config: Config, limits: ConnectionLimits, system: System = SOCKET_SYSTEM
    ) -> None:
        self.node = node
        self.config = config
        self.now = system.monotonic_ns
        self.peer_close_probe = system.peer_close_probe
        self.accepted_age = system.accepted_age
        self.data_age_probe = system.data_age_probe
        self.unread_probe = system.unread_probe
        self.unread_bytes = system.unread_bytes
        self.monitor = LoopMonitor(system.monotonic_ns, node.note_loop_stall)
        self._system = system
        self.closing = False  # answers end their connections
        self.stopping = False  # `/up` sends clients elsewhere
        self.drain: Drain | None = None  # operators have taken the node out of service
        self._handed_over = False  # another process of this node takes the clients
        self._ended = False  # what is begun from now on would not be finished
        self._limits = limits
        self.places: ConnectionTable[ClientConnection] = ConnectionTable(limits, ClientConnection.has_unread)
        self.budget = BodyBudget(config.memory_bytes_max)  # for bodies that are held until they are whole
        self.bodies: dict[ClientConnection, BodyProgress] = {}  # that are on their way from clients
        self.flows: dict[ClientConnection, float] = {}  # long answers, and since when each stands still
        self._loop = asyncio.get_running_loop()
        self._listener: Listener | None = None
        self._accepting = False
        self._sweep_put_off = False  # the latest one was
        self._accept_failures = 0  # in a row, for want of descriptors or memory
        self._looks_again = False
        self._open = 0
        self._connections: set[ClientConnection] = set()
        self._tasks: dict[asyncio.Task[None], None] = {}

    def listen(self, listener: Listener | None = None, later: bool = False) -> tuple[str, int]:
        """Raises OSError. `listener`: one that stands already; `later`: another process takes its clients
        until `hand_over` says that it does not."""
        self._handed_over = later
        self._listener = listener or self._system.listen(self.config.listen, BACKLOG)
        self._resume()
        self.monitor.start()
        self._loop.call_later(SWEEP, self._sweep)
        return self._listener.address

    # Accepting. The loop is only asked for new connections while there is a place for them: at a full
    # table they wait in the kernel's queue, and a socket that stays readable costs nothing.

    def _pause(self) -> None:
        if self._accepting and self._listener is not None:
            self._accepting = False
            self._listener.pause()

    def _resume(self) -> None:
        if not self._accepting and self._listener is not None and not self._handed_over:
            self._accepting = True
            self._listener.resume(self._accept)

    def _accept(self) -> None:
        listener = self._listener
        if listener is None or self._handed_over:
            return
        for _ in range(ACCEPTS):
            if self._open >= self.places.limits.connections_max and not self._make_room():
                self._pause()
                self._look_again()  # soon: the usual clients wait in the same queue
                return
            try:
                accepted = listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as problem:
                if problem.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self._accept_failures += 1
                    if self._accept_failures >= WANT_LASTS:
                        # Without one idle connection less, those that wait would do so until a client leaves.
                        self._make_room(forced=True)
                    self._pause()
                    self._loop.call_later(FULL_PAUSE, self._resume)
                    return
                continue  # that one client is gone already
            self._accept_failures = 0
            self._open += 1
            task = self._loop.create_task(self._enter(listener, accepted))
            self._tasks[task] = None
            task.add_done_callback(self._entered)

    def _entered(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)

    async def _enter(self, listener: Listener, accepted: Any) -> None:
        try:
            await listener.adopt(lambda: ClientConnection(self), accepted)
        except Exception as problem:
            log.warning("a client was lost as it came: %r", problem)
            accepted.close()
            self._left()

    def _make_room(self, forced: bool = False) -> bool:
        """Close the connection that is worth least; a client whose request crosses that asks anew."""
        found = self.places.make_room(self._loop.time(), forced)
        if found is not None:
            self._end(*found)
        return found is not None

    def _end(self, connection: ClientConnection, how: CloseMode) -> None:
        if how is CloseMode.ABORT:
            connection.abort(CloseReason.TOO_SLOW)
        elif how is CloseMode.TIME_OUT:
            connection.time_out()
        else:
            connection.close(CloseReason.IDLE)

    def _left(self) -> None:
        self._open -= 1
        if self._open < self.places.limits.connections_max:
            self._resume()

    def _sweep(self) -> None:
        """Guards against clients that say nothing, stop half way, send slowly or keep what they don't use."""
        if self.monitor.has_just_stalled() and not self._sweep_put_off:
            # What they sent meanwhile is to be read first: nobody is late for what the node did not read.
            # Once: a node that is held up again and again still has to let go of those that say nothing.
            self._sweep_put_off = True
            self._loop.call_later(LOOK, self._sweep)
            return
        self._sweep_put_off = False
        for connection, how in self.places.take_expired(self._loop.time()):
            self._end(connection, how)
        now = self._loop.time()
        for connection in [one for one, pace in self.bodies.items() if pace.is_too_slow(now)]:
            connection.time_out()
        for connection in [one for one, since in self.flows.items() if now - since > STREAM_STALL_S_MAX]:
            connection.abort(CloseReason.SLOW_READER)
        self._thin_out()
        if self.drain is not None:
            self._apply_drain(self.drain)
        if self._handed_over and self._listener is not None:
            # Clients may hold so many connections at a node, both processes together. Guards against idle
            # ones here that leave them none to reach the other process by.
            for connection in [one for one in self._connections if one.activity() == "IDLE"]:
                connection.close_if_unused()
        self._loop.call_later(SWEEP, self._sweep)

    def _apply_drain(self, drain: Drain) -> None:
        """Guards against clients that keep what they have for as long as it stays open."""
        from driftstair.operations.drain import ConnectionActivity, DrainAction

        now = self._loop.time()
        for connection in list(self._connections):
            way = drain.action_for(ConnectionActivity[connection.activity()], now - connection.since, now)
            if way is DrainAction.CLOSE:
                connection.close_if_unused()  # what it has sent meanwhile is read first, and looked at again
            elif way is DrainAction.REFUSE:
                connection.refuse()

    def _thin_out(self) -> None:
        for connection in self.places.take_surplus_idle(self._loop.time()):
            connection.close(CloseReason.IDLE)

    # What the connections tell.

    def on_connect(self, connection: ClientConnection) -> None:
        """It is up."""
        self._connections.add(connection)
        self.places.add(connection, self._loop.time())
        self._thin_out()

    def on_disconnect(self, connection: ClientConnection) -> None:
        """It has ended, whoever ended it."""
        self._connections.discard(connection)
        self.bodies.pop(connection, None)
        self.flows.pop(connection, None)
        self.places.remove(connection, self._loop.time())
        self._left()

    def on_idle(self, connection: ClientConnection) -> None:
        """All that it has brought is answered."""
        self.places.mark_idle(connection, self._loop.time())
        self._thin_out()

    def on_head_bytes(self, connection: ClientConnection) -> None:
        """A request has begun, and its head is not whole."""
        self.places.mark_reading(connection, self._loop.time())

    def on_body_bytes(self, connection: ClientConnection, size: int) -> None:
        """Bytes of a body have come, its framing among them."""
        now = self._loop.time()
        pace = self.bodies.get(connection)
        if pace is None:
            pace = self.bodies[connection] = BodyProgress(now)
        pace.receive(now, size)
        self.places.mark_receiving_body(connection, now)

    def on_body_end(self, connection: ClientConnection) -> None:
        """No more of a body is waited for."""
        self.bodies.pop(connection, None)

    def on_answer_taken(self, connection: ClientConnection) -> None:
        """A part of a long answer has been taken."""
        self.flows[connection] = self._loop.time()

    def on_request(self, connection: ClientConnection) -> None:
        """A whole request, or the head of a long one, is served from now on."""
        self.places.mark_busy(connection, self._loop.time())

    def keeps_alive(self, connection: ClientConnection) -> bool:
        """Whether the answer that is ready keeps the connection."""
        full = self.places.is_full()
        kept = self.places.should_keep(connection, self._loop.time())
        return kept and not self.closing and not full and self.drain is None

    def is_up(self) -> bool:
        """Whether clients should come here: to this process, or to the one that takes over."""
        return self.node.can_serve() and self.drain is None and (self._handed_over or not self.stopping)

    def refuses(self) -> bool:
        """Whether the process is about to end, or operators have emptied the node, and that long ago."""
        return self._ended or (self.drain is not None and self.drain.refuses(self._loop.time()))

    def counters(self) -> dict[str, int]:
        return {
            "client_connections": self._open, "closed_early": self.places.closed_early,
            "streams_up": len(self.bodies), "streams_down": len(self.flows),
        }  # fmt: skip

    def on_last_answer(self, connection: ClientConnection, rejected: bool) -> None:
        """Its answer, which is written, tells the client to go; `rejected`: by a 4xx."""
        now = self._loop.time()
        (self.places.mark_lingering if rejected else self.places.mark_leaving)(connection, now)
        crowded_out = self.places.take_excess_lingering(now)
        if crowded_out is not None:
            crowded_out.abort(CloseReason.TOO_SLOW)

    def _look_again(self) -> None:
        if not self._looks_again:
            self._looks_again = True
            self._loop.call_later(LOOK, self._look)

    def _look(self) -> None:
        self._looks_again = False
        self._resume()

    # The end.

    def hand_over(self, away: bool) -> None:
        """Another process of this node takes new clients, or takes them no more. Those that have connections
        here are told to leave with their next answers."""
        self._handed_over = away
        self.closing = away or self.stopping
        if away:
            self._pause()
        else:
            # Until it has learned how many connections clients want, and while they hold some at the other
            # process too: guards against idle ones here that leave them none to ask by.
            self.places.limits = replace(
                self._limits,
                platform_connections_max=int(self._limits.platform_connections_max * HELD_BESIDE),
            )
            self._loop.call_later(BESIDE, setattr, self.places, "limits", self._limits)
            self._resume()

    async def stop(self, serve_on: float, within: float, since: int = 0) -> None:
        """Serve on for a while, since clients go on coming; then finish what is held, and end. `serve_on`
        and `within` count, in s, from `since` (monotonic ns; 0: now), when the process was told to end."""
        self.stopping = self.places.is_stopping = True
        self.node.guard.state = ProcessState.STOPPING
        passed = (self.now() - since) / 1e9 if since else 0.0
        end = self._loop.time() + within - passed
        await asyncio.sleep(max(0.0, serve_on - passed))
        self.closing = True
        for _ in range(BACKLOG // ACCEPTS):
            self._accept()  # what waits in the kernel's queue would be reset with the socket
        self._pause()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        await asyncio.gather(*self._tasks)
        await asyncio.sleep(DRAIN_LOOK)  # what those just taken in have sent already is read first
        for connection in self.places.connections_without_request():
            connection.close_if_unused()
        while self._connections and self._loop.time() < end:
            await asyncio.sleep(DRAIN_LOOK)
        self.node.guard.state = ProcessState.ENDED
        self._ended = True  # before anything is answered: the next request may be here already
        self.node.fail_all()
        await asyncio.sleep(DRAIN_LOOK)
