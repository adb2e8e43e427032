"""A render box on the wire: the engine's work behind an HTTP/1.1 server, one listening address for each node.

An address of its own for each node tells the box who sends, on real sockets too; the protocol allows that
`addr` differs from one node to the next. What it sees goes to `note` as evidence for the rules.
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
from driftstair.rehearsal.fakes.place import Acceptor, Place
from driftstair.rehearsal.fakes.workload import Task, Workload

Note = Callable[[wire.Observation], None]
Left = Callable[[int, str, str, int], int]
"""The earliest that what came (at, to box, from node, by a connection that old) can have left the node."""

NOT_RUN = b"X-Not-Run: 1"
IDLE_LOOK = 2.0  # s between two looks at idle connections


@dataclass(frozen=True, slots=True)
class BoxKind:
    """What is the same for all boxes of a kind and stands beside the engine's figures."""

    name: str
    handshake: float  # core-seconds
    idle: float  # s
    error_share: float
    drops_waiting: bool  # what waits is dropped when its client is gone


class Box:
    """One box with one name. A restart is the same box with a new process; a replacement is another Box."""

    def __init__(
        self, name: str, kind: BoxKind, figures: Figures, place: Place, nodes: list[str], workload: Workload,
        cold_rule: ColdRule, note: Note, left: Left, seed: int, numbers: count[int],
    ) -> None:  # fmt: skip
        self.name = name
        self.kind = kind
        self.figures = figures
        self.place = place
        self.workload = workload
        self.note = note
        self._left = left
        # Shares of answers that are errors, lost to a reset, never sent, by the fault that wants it so: of
        # several that meet on one box the greatest of each holds.
        self.answer_faults: dict[object, tuple[float, float, float]] = {}
        self.started = -1  # ns; below 0: long before the run
        self.running = False
        self.draining = False
        self.fallen = False
        self.engine: Engine
        self.addresses: dict[str, tuple[str, int]] = {}
        self.open = 0  # connections
        self.handled = 0
        self.turned_away = 0
        self._nodes = nodes
        self._cold_rule = cold_rule
        self._budget: ColdBudget | None = None
        self._random = Random(seed)
        self._numbers = numbers
        self._acceptors: list[Acceptor] = []
        self._connections: dict[BoxConnection, None] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = inf

    def start(self, cold: bool, addresses: dict[str, tuple[str, int]] | None = None) -> None:
        """Its process comes up, at these addresses or at ones that are free."""
        now = self.place.now()
        self.running, self.draining, self.fallen = True, False, False
        self.started = now if cold else -1
        self.engine = Engine(self.figures, now / 1e9, cold, self._random)
        cold_time = int(self.figures.cold_time * 1e9)
        self._budget = None
        if cold and cold_time:
            self._budget = ColdBudget(
                self._cold_rule, now, self.figures.capacity, self.figures.cold_share, cold_time
            )
        for node in self._nodes:
            wanted = (addresses or {}).get(node) or self.addresses.get(node, (self.place.host, 0))
            acceptor = Acceptor(self.place, wanted, lambda node=node: BoxConnection(self, node))  # type: ignore[misc]
            self._acceptors.append(acceptor)
            self.addresses[node] = acceptor.address
        share = self.figures.cold_share if cold else 1.0
        self.note(wire.BoxUp(now, self.name, self.figures.capacity, share, cold_time))
        self.place.loop.call_later(IDLE_LOOK, self._look_at_idle)
        self._rearm()

    def stop(self, why: str) -> None:
        """Its process is gone, and all its connections with it."""
        if not self.running:
            return
        self.running = False
        self.note(wire.BoxDown(self.place.now(), self.name, why))
        for acceptor in self._acceptors:
            acceptor.close()
        self._acceptors.clear()
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = inf
        for connection in list(self._connections):
            connection.drop()
        self._connections.clear()
        self.open = 0
        self.place.die()

    def drain(self) -> None:
        self.draining = True

    def set_slow(self, factor: float) -> None:
        if self.running:
            self.engine.set_slow(self.place.now() / 1e9, factor)
            self._rearm()

    # Requests.

    def came(self, connection: BoxConnection) -> None:
        self._connections[connection] = None
        self.open += 1
        self.engine.connections = self.open
        self.engine.burden(self.place.now() / 1e9, self.kind.handshake)
        self._rearm()

    def left(self, connection: BoxConnection) -> None:
        if self._connections.pop(connection, self) is None:
            self.open -= 1
            self.engine.connections = self.open

    def is_full(self) -> bool:
        return self.open > self.figures.connections_most

    def begin(self, connection: BoxConnection, message: Message, node: str) -> None:
        """A whole request has come."""
        now = self.place.now()
        fields = message.fields
        request = fields.get(b"x-request-id", b"")
        number = next(self._numbers)
        left = self._left(message.began, self.name, node, connection.since)
        self.note(wire.Sending(message.began, number, request, self.name, node, left))
        task = self.workload.task(request, fields.get(b"x-class", b""))
        if task is None:
            # What no client sent in this form; the checker has seen it as well.
            self.note(wire.NotRun(now, number))
            connection.answer(response(400, (NOT_RUN,)))
            return
        key = fields.get(b"x-key", b"")
        work = self.engine.estimate(task.work, key, now / 1e9)
        self.note(wire.Sent(now, number, request, self.name, node, work))
        if self._budget is not None and not self._budget.add_arrival(now, work):
            self.fallen = True
            self.stop("pushed over")
            return
        job = None
        if not self.is_full() and not self.draining:
            job = self.engine.arrive(now / 1e9, (connection, number, request, task), work, task.waits, key)
        if job is None:
            self.turned_away += 1
            self.note(wire.NotRun(now, number))
            connection.answer(response(503, (NOT_RUN, self._load(now))))
        else:
            connection.job = job
        self._rearm()

    def forsake(self, job: Job) -> None:
        """The connection that it came by is gone."""
        if self.running and self.kind.drops_waiting:
            self.engine.cancel(self.place.now() / 1e9, job)
            self._rearm()

    def _load(self, now: int) -> bytes:
        busy, waiting = self.engine.report(now / 1e9)
        return b"X-Load: load_share=%.3f,depth=%d" % (busy, waiting)

    # The engine's time.

    def _rearm(self) -> None:
        if not self.running:
            return
        due = self.engine.due()
        if due >= self._timer_at or due == inf:
            return  # an earlier look does no harm
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = due
        now = self.place.now()
        # Rounded up, and never at once: what is due by less than a moment would be looked at without end.
        wait = max(1, ceil(due * 1e9) - now) / 1e9
        self._timer = self.place.loop.call_later(wait, self._due)

    def _due(self) -> None:
        self._timer, self._timer_at = None, inf
        if not self.running:
            return
        now = self.place.now()
        self.engine.advance_to(now / 1e9)
        for job in self.engine.take_done():
            self._finish(now, job)
        self._rearm()

    def _finish(self, now: int, job: Job) -> None:
        connection, number, request, task = cast("tuple[BoxConnection, int, bytes, Task]", job.name)
        self.handled += 1
        if connection.job is not job:
            return  # its connection is gone; the work was done all the same
        connection.job = None
        errors, resets, swallowed = self.kind.error_share, 0.0, 0.0
        for fault in self.answer_faults.values():
            errors, resets, swallowed = max(errors, fault[0]), max(resets, fault[1]), max(swallowed, fault[2])
        if errors and self._random.random() < errors:
            connection.answer(response(500, (self._load(now),)))
            return
        token = b"%s/%d" % (self.name.encode(), number)
        self.note(wire.Ran(now, number, request, token))
        if resets or swallowed:
            chance = self._random.random()
            if chance < resets:
                connection.drop()
                return
            if chance < resets + swallowed:
                return
        body = token + b"\n" + b"." * (task.body - len(token))
        connection.answer(response(200, (self._load(now), b"Content-Type: text/vtt"), body))

    def _look_at_idle(self) -> None:
        if not self.running:
            return
        before = self.place.now() - int(self.kind.idle * 1e9)
        for connection in list(self._connections):
            if connection.rests_since is not None and connection.rests_since <= before:
                connection.close()
        self.place.loop.call_later(IDLE_LOOK, self._look_at_idle)


class BoxConnection(asyncio.Protocol):
    """One connection to the box; it carries one request at a time."""

    def __init__(self, box: Box, node: str) -> None:
        self.job: Job | None = None
        self.rests_since: int | None = None
        self.since = 0
        self._box = box
        self._node = node
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None
        self._waiting: list[Message] = []
        self._answering = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if not self._box.running:
            self._transport.abort()
            return
        self.since = self.rests_since = self._box.place.now()
        self._box.came(self)

    def data_received(self, data: bytes) -> None:
        now = self._box.place.now()
        self.rests_since = None
        try:
            messages = self._reader.feed(data, now)
        except WireError as problem:
            self._box.note(
                wire.Unasked(now, self._node, f"box {self._box.name} was sent what it can't read: {problem}")
            )
            self.close()
            return
        for message in messages:
            if self._answering or self._waiting:
                self._waiting.append(message)
            else:
                self._begin(message)

    def _begin(self, message: Message) -> None:
        self._answering = True
        self._box.begin(self, message, self._node)

    def answer(self, data: bytes) -> None:
        self._answering = False
        self.rests_since = self._box.place.now()
        if self._transport is not None:
            self._transport.write(data)
        if self._waiting:
            self._begin(self._waiting.pop(0))

    def eof_received(self) -> bool:
        return False  # a node gives up an attempt by closing its connection, or its sending on it

    def connection_lost(self, exc: Exception | None) -> None:
        job, self.job = self.job, None
        self._transport = None
        if job is not None:
            self._box.forsake(job)
        self._box.left(self)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def drop(self) -> None:
        """With its process, and by a reset."""
        self.job = None
        if self._transport is not None:
            self._box.place.reset(self._transport)
