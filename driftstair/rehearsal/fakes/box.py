"""A fake render box: an HTTP/1.1 server in front of the engine, with one listening address for each node.

With an address for each node the box knows which node sent a request, on real sockets too; the protocol
allows a different `addr` for each node. The box passes its observations to `note`, for the rule checker.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from math import ceil, inf
from random import Random
from typing import cast

from driftstair.rehearsal import wire
from driftstair.rehearsal.cold import ColdBudget, ColdRule
from driftstair.rehearsal.fakes.engine import Engine, Figures, Job
from driftstair.rehearsal.fakes.http1 import Message, MessageReader, WireError, response
from driftstair.rehearsal.fakes.place import Acceptor, FakeMachine
from driftstair.rehearsal.fakes.workload import Task, Workload

ObservationSink = Callable[[wire.Observation], None]
EarliestSendTime = Callable[[int, str, str, int], int]
"""The earliest time at which a node can have sent what a box received. Arguments: the time of arrival, the
box, the node, and when the connection was established."""

NOT_RUN = b"X-Not-Run: 1"
IDLE_CHECK_S = 2.0  # between two checks for idle connections


@dataclass(frozen=True, slots=True)
class BoxKind:
    """Properties of all boxes of a kind, in addition to the engine's figures."""

    name: str
    handshake_core_s: float
    idle_timeout_s: float
    error_share: float
    drops_waiting: bool  # a waiting request is dropped when its client leaves


class Box:
    """One box with one name. A restarted box is the same Box with a new process; a replacement is another
    Box."""

    def __init__(
        self, name: str, kind: BoxKind, figures: Figures, machine: FakeMachine, nodes: list[str],
        workload: Workload, cold_rule: ColdRule, note: ObservationSink, earliest_send_time: EarliestSendTime,
        seed: int, attempt_numbers: count[int],
    ) -> None:  # fmt: skip
        self.name = name
        self.kind = kind
        self.figures = figures
        self.machine = machine
        self.workload = workload
        self.note = note
        self._earliest_send_time = earliest_send_time
        # By fault: the shares of answers that are errors, are lost to a reset, or are never sent. If several
        # faults affect one box, the greatest of each share applies.
        self.answer_faults: dict[object, tuple[float, float, float]] = {}
        self.started = -1  # ns; negative: long before the run
        self.running = False
        self.draining = False
        self.overloaded = False
        self.engine: Engine
        self.addresses: dict[str, tuple[str, int]] = {}
        self.open_connections = 0
        self.handled = 0
        self.turned_away = 0
        self._nodes = nodes
        self._cold_rule = cold_rule
        self._budget: ColdBudget | None = None
        self._random = Random(seed)
        self._attempt_numbers = attempt_numbers
        self._acceptors: list[Acceptor] = []
        self._connections: dict[BoxConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = inf

    def start(self, cold: bool, addresses: dict[str, tuple[str, int]] | None = None) -> None:
        """Starts the box's process, on the given addresses or on free ones."""
        now = self.machine.now()
        self.running, self.draining, self.overloaded = True, False, False
        self.started = now if cold else -1
        self.engine = Engine(self.figures, now / 1e9, cold, self._random)
        cold_time_ns = int(self.figures.cold_time_s * 1e9)
        self._budget = None
        if cold and cold_time_ns:
            self._budget = ColdBudget(
                self._cold_rule, now, self.figures.capacity, self.figures.cold_share, cold_time_ns
            )
        for node in self._nodes:
            address = (addresses or {}).get(node) or self.addresses.get(node, (self.machine.host, 0))
            acceptor = Acceptor(self.machine, address, lambda node=node: BoxConnection(self, node))  # type: ignore[misc]
            self._acceptors.append(acceptor)
            self.addresses[node] = acceptor.address
        share = self.figures.cold_share if cold else 1.0
        self.note(wire.BoxUp(now, self.name, self.figures.capacity, share, cold_time_ns))
        self.machine.loop.call_later(IDLE_CHECK_S, self._close_idle_connections)
        self._set_timer()

    def stop(self, reason: str) -> None:
        """Ends the box's process and resets all its connections."""
        if not self.running:
            return
        self.running = False
        self.note(wire.BoxDown(self.machine.now(), self.name, reason))
        for acceptor in self._acceptors:
            acceptor.close()
        self._acceptors.clear()
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = inf
        for connection in list(self._connections):
            connection.reset()
        self._connections.clear()
        self.open_connections = 0
        self.machine.die()

    def drain(self) -> None:
        """Rejects new requests from now on."""
        self.draining = True

    def set_slowdown(self, factor: float) -> None:
        """Sets the factor by which the box is slower than normal."""
        if self.running:
            self.engine.set_slowdown(self.machine.now() / 1e9, factor)
            self._set_timer()

    # Connections and requests.

    def add_connection(self, connection: BoxConnection) -> None:
        """Registers a new connection, which costs a handshake."""
        self._connections[connection] = None
        self.open_connections += 1
        self.engine.connections = self.open_connections
        self.engine.add_overhead(self.machine.now() / 1e9, self.kind.handshake_core_s)
        self._set_timer()

    def remove_connection(self, connection: BoxConnection) -> None:
        """Removes a closed connection."""
        if self._connections.pop(connection, self) is None:
            self.open_connections -= 1
            self.engine.connections = self.open_connections

    def is_full(self) -> bool:
        """Whether the box has more connections than it accepts requests on."""
        return self.open_connections > self.figures.connections_max

    def begin(self, connection: BoxConnection, message: Message, node: str) -> None:
        """Starts or rejects a request that has arrived as a whole."""
        now = self.machine.now()
        fields = message.fields
        request = fields.get(b"x-request-id", b"")
        attempt_number = next(self._attempt_numbers)
        sent_at = self._earliest_send_time(message.began_at, self.name, node, connection.connected_at)
        self.note(wire.AttemptStarted(message.began_at, attempt_number, request, self.name, node, sent_at))
        task = self.workload.task(request, fields.get(b"x-class", b""))
        if task is None:
            # No client sent the request in this form; the checker has recorded it too.
            self.note(wire.AttemptNotRun(now, attempt_number))
            connection.answer(response(400, (NOT_RUN,)))
            return
        key = fields.get(b"x-key", b"")
        work = self.engine.estimate(task.work, key, now / 1e9)
        self.note(wire.AttemptReceived(now, attempt_number, request, self.name, node, work))
        if self._budget is not None and not self._budget.add_arrival(now, work):
            self.overloaded = True
            self.stop("pushed over")
            return
        job = None
        if not self.is_full() and not self.draining:
            job = self.engine.arrive(
                now / 1e9, (connection, attempt_number, request, task), work, task.wait_s, key
            )
        if job is None:
            self.turned_away += 1
            self.note(wire.AttemptNotRun(now, attempt_number))
            connection.answer(response(503, (NOT_RUN, self._load_header(now))))
        else:
            connection.job = job
        self._set_timer()

    def cancel_job(self, job: Job) -> None:
        """The connection of a request was lost: drops it if it still waits and the kind of box does so."""
        if self.running and self.kind.drops_waiting:
            self.engine.cancel(self.machine.now() / 1e9, job)
            self._set_timer()

    def _load_header(self, now: int) -> bytes:
        busy_fraction, queue_length = self.engine.report(now / 1e9)
        return b"X-Load: load_share=%.3f,depth=%d" % (busy_fraction, queue_length)

    # The engine's time.

    def _set_timer(self) -> None:
        if not self.running:
            return
        next_event_s = self.engine.next_event()
        if next_event_s >= self._timer_at or next_event_s == inf:
            return  # a timer that fires early is harmless
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = next_event_s
        now = self.machine.now()
        # Rounded up, and at least 1 ns: a timer that fires just before the event would be set again without
        # end.
        wait = max(1, ceil(next_event_s * 1e9) - now) / 1e9
        self._timer = self.machine.loop.call_later(wait, self._on_timer)

    def _on_timer(self) -> None:
        self._timer, self._timer_at = None, inf
        if not self.running:
            return
        now = self.machine.now()
        self.engine.advance_to(now / 1e9)
        for job in self.engine.take_done():
            self._finish(now, job)
        self._set_timer()

    def _finish(self, now: int, job: Job) -> None:
        connection, attempt_number, request, task = cast("tuple[BoxConnection, int, bytes, Task]", job.tag)
        self.handled += 1
        if connection.job is not job:
            return  # the connection was lost, but the work was done
        connection.job = None
        errors, resets, lost = self.kind.error_share, 0.0, 0.0
        for fault in self.answer_faults.values():
            errors, resets, lost = max(errors, fault[0]), max(resets, fault[1]), max(lost, fault[2])
        if errors and self._random.random() < errors:
            connection.answer(response(500, (self._load_header(now),)))
            return
        token = b"%s/%d" % (self.name.encode(), attempt_number)
        self.note(wire.AttemptServed(now, attempt_number, request, token))
        if resets or lost:
            draw = self._random.random()
            if draw < resets:
                connection.reset()
                return
            if draw < resets + lost:
                return
        body = token + b"\n" + b"." * (task.body_bytes - len(token))
        connection.answer(response(200, (self._load_header(now), b"Content-Type: text/vtt"), body))

    def _close_idle_connections(self) -> None:
        if not self.running:
            return
        idle_before = self.machine.now() - int(self.kind.idle_timeout_s * 1e9)
        for connection in list(self._connections):
            if connection.idle_since is not None and connection.idle_since <= idle_before:
                connection.close()
        self.machine.loop.call_later(IDLE_CHECK_S, self._close_idle_connections)


class BoxConnection(asyncio.Protocol):
    """A connection from a node, on which the box processes one request at a time."""

    def __init__(self, box: Box, node: str) -> None:
        self.job: Job | None = None
        self.idle_since: int | None = None
        self.connected_at = 0
        self._box = box
        self._node = node
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None
        self._pipelined: list[Message] = []
        self._is_busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if not self._box.running:
            self._transport.abort()
            return
        self.connected_at = self.idle_since = self._box.machine.now()
        self._box.add_connection(self)

    def data_received(self, data: bytes) -> None:
        now = self._box.machine.now()
        self.idle_since = None
        try:
            messages = self._reader.feed(data, now)
        except WireError as exception:
            self._box.note(
                wire.UnexpectedMessage(
                    now, self._node, f"box {self._box.name} was sent what it can't read: {exception}"
                )
            )
            self.close()
            return
        for message in messages:
            if self._is_busy or self._pipelined:
                self._pipelined.append(message)
            else:
                self._begin(message)

    def _begin(self, message: Message) -> None:
        self._is_busy = True
        self._box.begin(self, message, self._node)

    def answer(self, data: bytes) -> None:
        self._is_busy = False
        self.idle_since = self._box.machine.now()
        if self._transport is not None:
            self._transport.write(data)
        if self._pipelined:
            self._begin(self._pipelined.pop(0))

    def eof_received(self) -> bool:
        return False  # a node cancels an attempt by closing the connection or its sending side

    def connection_lost(self, exc: Exception | None) -> None:
        job, self.job = self.job, None
        self._transport = None
        if job is not None:
            self._box.cancel_job(job)
        self._box.remove_connection(self)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """Resets the connection, also when the process ends."""
        self.job = None
        if self._transport is not None:
            self._box.machine.reset(self._transport)
