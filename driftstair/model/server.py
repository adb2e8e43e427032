"""One server: the rehearsal kit's engine, and round it its connections, its faults and what ends it.

Reused from the kit: `fakes.engine` (cores, queue, warmth, key memory, jams) and `cold` (what pushes a cold
one over). Left out: HTTP, and the bytes of a body.
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

SECOND = 1_000_000_000


class Server:
    """What a process at one name is. A restart is the same server with a new generation."""

    def __init__(
        self, name: str, number: int, kind: BoxKind, kind_index: int, figures: Figures, clock: Clock,
        rule: ColdRule, seed: int,
    ) -> None:  # fmt: skip
        self.name = name
        self.id: ServerId = blake2b(name.encode(), digest_size=8).digest()
        self.cell = number // 4
        self.kind = kind
        self.kind_index = kind_index
        self.figures = figures
        self.answer_faults: dict[object, tuple[float, float, float]] = {}
        self.started = -1  # ns; below 0: long before the run
        self.running = self.draining = self.fallen = False
        self.vanished = False
        self.generation = 0
        self.open = 0  # connections
        self.machine = self  # what a fault cuts off
        self.handled = self.turned_away = 0
        self.tries_while_bad = 0  # attempts that came while a fault made answers fail
        self.engine: Engine
        self._clock = clock
        self._rule = rule
        self._random = Random(seed)
        self._budget: ColdBudget | None = None
        self._armed = inf
        self._held: dict[Attempt, Job] = {}

    def start(self, cold: bool) -> None:
        now = self._clock.now
        self.running, self.draining, self.fallen = True, False, False
        self.generation += 1
        self.started = now if cold else -1
        self.open = 0
        self.engine = Engine(self.figures, now / 1e9, cold, self._random)
        cold_time = int(self.figures.cold_time_s * 1e9)
        self._budget = None
        if cold and cold_time:
            share, capacity = self.figures.cold_share, self.figures.capacity
            self._budget = ColdBudget(self._rule, now, capacity, share, cold_time)
        self._armed = inf
        self._rearm()

    def stop(self) -> None:
        """Its process is gone: what it held is reset."""
        if not self.running:
            return
        self.running = False
        self.generation += 1
        held, self._held = self._held, {}
        for attempt in held:
            attempt.lost(Result.RESET)

    def vanish(self) -> None:
        self.vanished = True

    def come_back(self) -> None:
        self.vanished = False

    def drain(self) -> None:
        self.draining = True

    def set_slowdown(self, factor: float) -> None:
        if self.running:
            self.engine.set_slowdown(self._clock.now / 1e9, factor)
            self._rearm()

    # Connections.

    def accept(self) -> None:
        self.open += 1
        self.engine.connections = self.open
        self.engine.add_overhead(self._clock.now / 1e9, self.kind.handshake_core_s)
        self._rearm()

    def hang_up(self, generation: int) -> None:
        if generation == self.generation and self.running:
            self.open -= 1
            self.engine.connections = self.open

    # Requests.

    def arrive(self, attempt: Attempt) -> None:
        """The last byte of a request has come."""
        if not self.running or attempt.generation != self.generation:
            attempt.lost(Result.RESET)
            return
        if attempt.done or self.vanished:
            return
        now = self._clock.now
        self.tries_while_bad += bool(self.answer_faults)
        ask = attempt.request.ask
        work = self.engine.estimate(ask.work, ask.key_name, now / 1e9)
        if self._budget is not None and not self._budget.arrive(now, work, attempt.node.name):
            self.fallen = True
            self.stop()
            attempt.lost(Result.RESET)
            return
        job = None
        if self.open <= self.figures.connections_max and not self.draining:
            job = self.engine.arrive(now / 1e9, attempt, work, ask.waits, ask.key_name)
        if job is None:
            self.turned_away += 1
            attempt.answered(Result.FULL, self._report(now))
        else:
            self._held[attempt] = job
        self._rearm()

    def forsake(self, attempt: Attempt) -> None:
        """Nobody waits for it any more: it is dropped if it has not begun."""
        job = self._held.pop(attempt, None)
        if job is not None and self.kind.drops_waiting:
            self.engine.cancel(self._clock.now / 1e9, job)
            self._rearm()

    def _report(self, now: int) -> tuple[float, ...]:
        busy, waiting = self.engine.report(now / 1e9)
        return busy, float(waiting)

    # The engine's time.

    def _rearm(self) -> None:
        due = self.engine.next_event()
        if due < self._armed:  # an earlier look does no harm
            self._armed = due
            self._clock.at(max(self._clock.now + 1, int(due * 1e9) + 1), self._look, self.generation, due)

    def _look(self, generation: int, due: float) -> None:
        if generation == self.generation and due == self._armed:
            self._armed = inf
            self.catch_up()

    def catch_up(self) -> None:
        now = self._clock.now
        self.engine.advance_to(now / 1e9)
        for job in self.engine.take_done():
            self._finish(now, job)
        self._rearm()

    def _finish(self, now: int, job: Job) -> None:
        attempt: Attempt = job.tag  # type: ignore[assignment]
        self.handled += 1
        if self._held.pop(attempt, None) is None or self.vanished:
            return  # nobody waits for it; the work was done all the same
        errors, resets, swallowed = self.kind.error_share, 0.0, 0.0
        for fault in self.answer_faults.values():
            errors, resets, swallowed = max(errors, fault[0]), max(resets, fault[1]), max(swallowed, fault[2])
        if errors and self._random.random() < errors:
            attempt.answered(Result.ERROR, self._report(now))
            return
        chance = self._random.random() if resets or swallowed else 1.0
        if chance < resets:
            attempt.lost(Result.RESET)
        elif chance >= resets + swallowed:
            attempt.answered(Result.OK, self._report(now))
