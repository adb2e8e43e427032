"""The listening socket: accepts clients, closes connections to make room, and shuts the node down."""

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
from driftstair.net.turns import TurnQueue
from driftstair.observability.reasons import CloseReason
from driftstair.settings import Config

if TYPE_CHECKING:
    from driftstair.operations.drain import Drain

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
ACCEPTS_PER_TURN = 16  # limits how long a flood of connections delays other events
RETRY_INTERVAL_S = 0.02  # while clients wait for a full connection table, or a sweep is postponed
ACCEPT_FAILURES_MAX = 3  # successive; a shortage of a moment closes no client's connection
ACCEPT_PAUSE_S = 0.05  # after an accept failed for lack of descriptors or memory
SWEEP_INTERVAL_S = 0.1
STOP_POLL_INTERVAL_S = 0.02
LATE_REQUESTS_AFTER_S = 0.65  # after SIGTERM; the platform's 0.7 s, less what a request takes to arrive
LONGEST_ANSWER_AGE_S_MAX = 60.0
STREAM_FINISH_S_MAX = 30.0  # for answers on their way when the process ends; SIGKILL comes long before
OVERLAP_S = 4.0  # after a takeover, for which the old process may still hold clients' connections
OVERLAP_SHARE = 0.6  # of the connections that clients may hold, during the overlap


class Frontend:
    """The listening socket and all connections accepted from it."""

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
        self.reset_on_close = system.reset_on_close
        self.monitor = LoopMonitor(system.monotonic_ns, node.note_loop_stall)
        self._system = system
        self.closing = False  # answers close their connections
        self.stopping = False  # `/up` answers 503
        self.drain: Drain | None = None  # set while operators have taken the node out of service
        self._ends_at = 0.0  # loop time at which the process has to be done; 0: it is not stopping
        self._late_requests_from = 0.0  # loop time from which SIGKILL loses what is unanswered then
        self._longest_answer = (0.0, 0.0)  # s from a request to the end of its streamed answer; loop time
        self._handed_over = False  # another process of this node accepts the clients
        self._ended = False  # requests that start from now on would not be finished
        self._limits = limits
        self.table: ConnectionTable[ClientConnection] = ConnectionTable(limits, ClientConnection.has_unread)
        self.budget = BodyBudget(config.memory_bytes_max)  # for bodies buffered until complete
        self.uploads: dict[ClientConnection, BodyProgress] = {}  # being received from clients
        self.turns = TurnQueue()
        self.buffers = node.buffers
        self.streamed_answers: dict[ClientConnection, float] = {}  # and loop time of the last progress
        self._loop = asyncio.get_running_loop()
        self._listener: Listener | None = None
        self._accepting = False
        self._sweep_postponed = False  # whether the previous sweep was postponed
        self._accept_failures = 0  # successive, for lack of descriptors or memory
        self._retry_scheduled = False
        self._open_connections = 0
        self._connections: set[ClientConnection] = set()
        self._tasks: dict[asyncio.Task[None], None] = {}

    def listen(self, listener: Listener | None = None, is_deferred: bool = False) -> tuple[str, int]:
        """Raises OSError. `listener`: an existing one to use; `is_deferred`: another process accepts the
        clients until `hand_over(False)` is called."""
        self._handed_over = is_deferred
        self._listener = listener or self._system.listen(self.config.listen, LISTEN_BACKLOG)
        self._resume()
        self.monitor.start()
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        return self._listener.address

    # Accepting. The loop only polls the listening socket while the connection table has room. Otherwise new
    # connections wait in the kernel's queue at no cost.

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
        for _ in range(ACCEPTS_PER_TURN):
            if self._open_connections >= self.table.limits.connections_max and not self._evict_one():
                self._pause()
                self._schedule_retry()  # soon, as regular clients wait in the same queue
                return
            try:
                accepted = listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as problem:
                if problem.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self._accept_failures += 1
                    if self._accept_failures >= ACCEPT_FAILURES_MAX:
                        # Otherwise the clients in the queue would wait until another one leaves.
                        self._evict_one(forced=True)
                    self._pause()
                    self._loop.call_later(ACCEPT_PAUSE_S, self._resume)
                    return
                continue  # this client has already left
            self._accept_failures = 0
            self._open_connections += 1
            task = self._loop.create_task(self._adopt(listener, accepted))
            self._tasks[task] = None
            task.add_done_callback(self._on_adopted)

    def _on_adopted(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)

    async def _adopt(self, listener: Listener, accepted: Any) -> None:
        try:
            await listener.adopt(lambda: ClientConnection(self), accepted)
        except Exception as problem:
            log.warning("a client was lost as it came: %r", problem)
            accepted.close()
            self._on_closed()

    def _evict_one(self, forced: bool = False) -> bool:
        """Closes the least valuable connection. A client whose request crosses the close retries it."""
        evicted = self.table.make_room(self._loop.time(), forced)
        if evicted is not None:
            self._close_in_mode(*evicted)
        return evicted is not None

    def _close_in_mode(self, connection: ClientConnection, mode: CloseMode) -> None:
        if mode is CloseMode.ABORT:
            connection.abort(CloseReason.TOO_SLOW)
        elif mode is CloseMode.TIME_OUT:
            connection.time_out()
        else:
            connection.close(CloseReason.IDLE)

    def _on_closed(self) -> None:
        self._open_connections -= 1
        if self._open_connections < self.table.limits.connections_max:
            self._resume()

    def _sweep(self) -> None:
        """Closes connections of clients that send nothing, stall, send slowly or hold unused connections."""
        if self.monitor.has_just_stalled() and not self._sweep_postponed:
            # Data received during the stall must be read first, as the clients did not cause the delay. Only
            # once, so that a node with repeated stalls still closes silent connections.
            self._sweep_postponed = True
            self._loop.call_later(RETRY_INTERVAL_S, self._sweep)
            return
        self._sweep_postponed = False
        for connection, mode in self.table.take_expired(self._loop.time()):
            self._close_in_mode(connection, mode)
        now = self._loop.time()
        for connection in [
            uploading for uploading, progress in self.uploads.items() if progress.is_too_slow(now)
        ]:
            connection.time_out()
        for connection in [
            reader for reader, since in self.streamed_answers.items() if now - since > STREAM_STALL_S_MAX
        ]:
            connection.abort_slow_reader()
        self._close_surplus_idle()
        if self.drain is not None:
            self._apply_drain(self.drain)
        if self._handed_over and self._listener is not None:
            # A client's connection limit covers both processes of the node. Idle connections here would leave
            # clients none for the other process.
            for connection in [accepted for accepted in self._connections if accepted.activity() == "IDLE"]:
                connection.close_if_unused()
        self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _apply_drain(self, drain: Drain) -> None:
        """Closes connections during a drain, as clients would otherwise keep them open."""
        from driftstair.operations.drain import ConnectionActivity, DrainAction

        now = self._loop.time()
        for connection in list(self._connections):
            action = drain.action_for(ConnectionActivity[connection.activity()], now - connection.since, now)
            if action is DrainAction.CLOSE:
                connection.close_if_unused()  # unless there are unread data; then it is checked again
            elif action is DrainAction.REFUSE:
                connection.refuse()

    def _close_surplus_idle(self) -> None:
        for connection in self.table.take_surplus_idle(self._loop.time()):
            connection.close(CloseReason.IDLE)

    # Events of the connections.

    def on_connect(self, connection: ClientConnection) -> None:
        self._connections.add(connection)
        self.table.add(connection, self._loop.time())
        self._close_surplus_idle()

    def on_disconnect(self, connection: ClientConnection) -> None:
        """The connection has ended, whichever side closed it."""
        self._connections.discard(connection)
        self.uploads.pop(connection, None)
        self.streamed_answers.pop(connection, None)
        self.table.remove(connection, self._loop.time())
        self._on_closed()

    def on_idle(self, connection: ClientConnection) -> None:
        """All requests of the connection are answered."""
        self.table.mark_idle(connection, self._loop.time())
        self._close_surplus_idle()

    def on_head_bytes(self, connection: ClientConnection) -> None:
        """Part of a request's head has arrived."""
        self.table.mark_reading(connection, self._loop.time())

    def on_body_bytes(self, connection: ClientConnection, size: int) -> None:
        """Bytes of a body have arrived, including its framing."""
        now = self._loop.time()
        progress = self.uploads.get(connection)
        if progress is None:
            progress = self.uploads[connection] = BodyProgress(now)
        progress.receive(now, size)
        self.table.mark_receiving_body(connection, now)

    def on_body_end(self, connection: ClientConnection) -> None:
        """No more bytes of a body are expected."""
        self.uploads.pop(connection, None)

    def on_answer_progress(self, connection: ClientConnection) -> None:
        """Part of a streamed answer has been written."""
        self.streamed_answers[connection] = self._loop.time()

    def on_request(self, connection: ClientConnection) -> None:
        """A complete request, or the head of a streamed one, starts being served."""
        self.table.mark_busy(connection, self._loop.time())

    def keeps_alive(self, connection: ClientConnection) -> bool:
        """Whether the connection stays open after the answer that is ready."""
        is_full = self.table.is_full()
        is_worth_keeping = self.table.should_keep(connection, self._loop.time())
        return is_worth_keeping and not self.closing and not is_full and self.drain is None

    def is_up(self) -> bool:
        """Whether clients should use this node: this process, or the one that takes over."""
        return self.node.can_serve() and self.drain is None and (self._handed_over or not self.stopping)

    def refuses(self) -> bool:
        """Whether new requests are refused: the process is about to end, or the drain is at that stage."""
        now = self._loop.time()
        if (
            self._ends_at
            and now >= self._late_requests_from
            and now + self._longest_answer_s() > self._ends_at
        ):
            return True  # a long answer would be cut off
        return self._ended or (self.drain is not None and self.drain.refuses(now))

    def record_streamed_answer(self, duration_s: float) -> None:
        """An answer that was passed on as it came has ended, so long after its request."""
        if duration_s >= self._longest_answer_s():
            self._longest_answer = (duration_s, self._loop.time())

    def _longest_answer_s(self) -> float:
        """The longest time that a streamed answer has taken lately; 0: there was none."""
        duration_s, ended_at = self._longest_answer
        return duration_s if self._loop.time() - ended_at <= LONGEST_ANSWER_AGE_S_MAX else 0.0

    def counters(self) -> dict[str, int]:
        return {
            "client_connections": self._open_connections, "closed_early": self.table.closed_early,
            "body_budget_left": self.budget.bytes_left,
            "streams_up": len(self.uploads), "streams_down": len(self.streamed_answers),
        }  # fmt: skip

    def on_last_answer(self, connection: ClientConnection, rejected: bool) -> None:
        """Its written answer tells the client to close; `rejected`: it is a 4xx."""
        now = self._loop.time()
        (self.table.mark_lingering if rejected else self.table.mark_leaving)(connection, now)
        crowded_out = self.table.take_excess_lingering(now)
        if crowded_out is not None:
            crowded_out.abort(CloseReason.TOO_SLOW)

    def _schedule_retry(self) -> None:
        if not self._retry_scheduled:
            self._retry_scheduled = True
            self._loop.call_later(RETRY_INTERVAL_S, self._retry_accept)

    def _retry_accept(self) -> None:
        self._retry_scheduled = False
        self._resume()

    # Handover and shutdown.

    def hand_over(self, to_other_process: bool) -> None:
        """Starts or ends the service by another process of this node. `to_other_process`: the other process
        accepts new clients, and clients connected here are told to close with their next answers; otherwise
        this process accepts them."""
        self._handed_over = to_other_process
        self.closing = to_other_process or self.stopping
        if to_other_process:
            self._pause()
        else:
            # Clients still hold connections to the other process, and how many they need is not known yet.
            # Idle connections here must leave them some for requests.
            self.table.limits = replace(
                self._limits,
                platform_connections_max=int(self._limits.platform_connections_max * OVERLAP_SHARE),
            )
            self._loop.call_later(OVERLAP_S, setattr, self.table, "limits", self._limits)
            self._resume()

    async def stop(self, serve_on: float, within: float, since: int = 0) -> None:
        """Serves new clients for `serve_on` s, as they keep arriving; then finishes open requests and ends
        after `within` s at most. Both count from `since` (monotonic ns; 0: now), when it was told to stop."""
        self.stopping = self.table.is_stopping = True
        self.node.guard.state = ProcessState.STOPPING
        elapsed_s = (self.now() - since) / 1e9 if since else 0.0
        end = self._ends_at = self._loop.time() + within - elapsed_s
        self._late_requests_from = self._loop.time() + LATE_REQUESTS_AFTER_S - elapsed_s
        await asyncio.sleep(max(0.0, serve_on - elapsed_s))
        self.closing = True
        for _ in range(LISTEN_BACKLOG // ACCEPTS_PER_TURN):
            self._accept()  # closing the socket resets the connections in the kernel's queue
        self._pause()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        await asyncio.gather(*self._tasks)
        await asyncio.sleep(STOP_POLL_INTERVAL_S)  # reads what the clients just accepted have already sent
        for connection in self.table.connections_without_request():
            connection.close_if_unused()
        while self._connections and self._loop.time() < end:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        self.node.guard.state = ProcessState.ENDED
        self._ended = True  # before answering, as a next request may already be there
        self.node.fail_all()
        await asyncio.sleep(STOP_POLL_INTERVAL_S)
        # Answers that servers are still writing: whoever ends this process decides how long it may take.
        finish_by = self._loop.time() + STREAM_FINISH_S_MAX
        while self.streamed_answers and self._loop.time() < finish_by:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
