"""A modelled server: the rehearsal kit's engine, with connections, faults, and the overload of a cold server.

Reused from the kit are `fakes.engine` (cores, queue, warm-up, key memory, jams) and `cold` (the load at which
a cold server crashes). HTTP and the bytes of a body are not modelled.
"""

from __future__ import annotations

from hashlib import blake2b
from math import inf
from random import Random
from typing import TYPE_CHECKING

from driftstair.model.clock import Clock
from driftstair.rehearsal.cold import ColdBudget, ColdRule
from driftstair.rehearsal.fakes.box import BoxKind
from driftstair.rehearsal.fakes.engine import Engine, Figures, Job
from lichenspring.interface import Result, ServerId

if TYPE_CHECKING:
    from driftstair.model.node import Attempt

NS_PER_S = 1_000_000_000


class Server:
    """The server at one name. A restart is the same server with a new generation."""

    def __init__(
        self, name: str, number: int, kind: BoxKind, kind_index: int, figures: Figures, clock: Clock,
        cold_rule: ColdRule, seed: int,
    ) -> None:  # fmt: skip
        self.name = name
        self.id: ServerId = blake2b(name.encode(), digest_size=8).digest()
        self.cell = number // 4
        self.kind = kind
        self.kind_index = kind_index
        self.figures = figures
        self.answer_faults: dict[object, tuple[float, float, float]] = {}
        self.started = -1  # ns; below 0: it started long before the run
        self.running = self.draining = self.crashed_cold = False
        self.vanished = False
        self.generation = 0
        self.open_connections = 0
        self.machine = self  # what the kit's faults cut off from the network
        self.completed = self.rejected = 0
        self.attempts_while_faulty = 0  # attempts that arrived while a fault made answers fail
        self.engine: Engine
        self._clock = clock
        self._cold_rule = cold_rule
        self._random = Random(seed)
        self._cold_budget: ColdBudget | None = None
        self._wake_at_s = inf
        self._jobs: dict[Attempt, Job] = {}

    def start(self, cold: bool) -> None:
        now = self._clock.now
        self.running, self.draining, self.crashed_cold = True, False, False
        self.generation += 1
        self.started = now if cold else -1
        self.open_connections = 0
        self.engine = Engine(self.figures, now / 1e9, cold, self._random)
        cold_time = int(self.figures.cold_time_s * 1e9)
        self._cold_budget = None
        if cold and cold_time:
            share, capacity = self.figures.cold_share, self.figures.capacity
            self._cold_budget = ColdBudget(self._cold_rule, now, capacity, share, cold_time)
        self._wake_at_s = inf
        self._schedule_wake()

    def stop(self) -> None:
        """Ends the process: the connections of its requests are reset."""
        if not self.running:
            return
        self.running = False
        self.generation += 1
        jobs, self._jobs = self._jobs, {}
        for attempt in jobs:
            attempt.on_connection_lost(Result.RESET)

    def vanish(self) -> None:
        """Cuts the server off: nothing reaches it, and it answers nothing."""
        self.vanished = True

    def come_back(self) -> None:
        """Ends the cut."""
        self.vanished = False

    def drain(self) -> None:
        """Begins to reject new requests."""
        self.draining = True

    def set_slowdown(self, factor: float) -> None:
        if self.running:
            self.engine.set_slowdown(self._clock.now / 1e9, factor)
            self._schedule_wake()

    # Connections.

    def accept(self) -> None:
        """A node opens a connection; its handshake costs CPU time."""
        self.open_connections += 1
        self.engine.connections = self.open_connections
        self.engine.add_overhead(self._clock.now / 1e9, self.kind.handshake_core_s)
        self._schedule_wake()

    def close_connection(self, generation: int) -> None:
        if generation == self.generation and self.running:
            self.open_connections -= 1
            self.engine.connections = self.open_connections

    # Requests.

    def arrive(self, attempt: Attempt) -> None:
        """The last byte of a request has arrived."""
        if not self.running or attempt.generation != self.generation:
            attempt.on_connection_lost(Result.RESET)
            return
        if attempt.done or self.vanished:
            return
        now = self._clock.now
        self.attempts_while_faulty += bool(self.answer_faults)
        client_request = attempt.request.client_request
        work = self.engine.estimate(client_request.work, client_request.key_name, now / 1e9)
        if self._cold_budget is not None and not self._cold_budget.add_arrival(now, work, attempt.node.name):
            self.crashed_cold = True
            self.stop()
            attempt.on_connection_lost(Result.RESET)
            return
        job = None
        if self.open_connections <= self.figures.connections_max and not self.draining:
            job = self.engine.arrive(now / 1e9, attempt, work, client_request.wait_s, client_request.key_name)
        if job is None:
            self.rejected += 1
            attempt.on_response(Result.FULL, self._report(now))
        else:
            self._jobs[attempt] = job
        self._schedule_wake()

    def abandon(self, attempt: Attempt) -> None:
        """The node no longer waits for the answer: the job is dropped if it has not started."""
        job = self._jobs.pop(attempt, None)
        if job is not None and self.kind.drops_waiting:
            self.engine.cancel(self._clock.now / 1e9, job)
            self._schedule_wake()

    def _report(self, now: int) -> tuple[float, ...]:
        busy, waiting = self.engine.report(now / 1e9)
        return busy, float(waiting)

    # The engine's virtual time.

    def _schedule_wake(self) -> None:
        wake_at_s = self.engine.next_event()
        if wake_at_s < self._wake_at_s:  # waking too early is harmless
            self._wake_at_s = wake_at_s
            self._clock.call_at(
                max(self._clock.now + 1, int(wake_at_s * 1e9) + 1), self._on_wake, self.generation, wake_at_s
            )

    def _on_wake(self, generation: int, wake_at_s: float) -> None:
        if generation == self.generation and wake_at_s == self._wake_at_s:
            self._wake_at_s = inf
            self.advance()

    def advance(self) -> None:
        """Advances the engine to the current time, and answers the requests that are done."""
        now = self._clock.now
        self.engine.advance_to(now / 1e9)
        for job in self.engine.take_done():
            self._finish(now, job)
        self._schedule_wake()

    def _finish(self, now: int, job: Job) -> None:
        attempt: Attempt = job.tag  # type: ignore[assignment]
        self.completed += 1
        if self._jobs.pop(attempt, None) is None or self.vanished:
            return  # no node waits for the answer, but the work was done
        errors, resets, dropped = self.kind.error_share, 0.0, 0.0
        for fault in self.answer_faults.values():
            errors, resets, dropped = max(errors, fault[0]), max(resets, fault[1]), max(dropped, fault[2])
        if errors and self._random.random() < errors:
            attempt.on_response(Result.ERROR, self._report(now))
            return
        draw = self._random.random() if resets or dropped else 1.0
        if draw < resets:
            attempt.on_connection_lost(Result.RESET)
        elif draw >= resets + dropped:
            attempt.on_response(Result.OK, self._report(now))
