"""How a render box works off requests: a model without I/O. Times are seconds, work is core-seconds.

Requests in work share the cores evenly (processor sharing: Kleinrock, Queueing Systems II, 4.4); what all of
them have been given so far is one figure, `_given`, so that an arrival or an end costs no more with many in
work. Each first waits on others, holding a slot and no core, then wants its work done. Beyond the slots
requests wait in a room of fixed size, and beyond that they are turned away. A box that starts is cold, one
that holds too many is less efficient, and one that has had far too much for a while jams.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from heapq import heappop, heappush
from math import exp, inf, sqrt
from random import Random

TICK = 0.1  # s between two looks at warmth, load and jam while anything changes by time alone
EPSILON = 1e-12


@dataclass(frozen=True, slots=True)
class Jam:
    at: float
    over: float  # s
    slower: float
    rest: float  # s
    below: float
    most: float  # s


@dataclass(frozen=True, slots=True)
class Figures:
    """One box, as drawn for one run."""

    cores: int
    speed: float
    slots: int
    room: int  # requests that may wait for a slot
    cold_share: float
    cold_time: float
    thrash: float
    thrash_at: float
    connections_most: int
    connection_tax: float
    key_gain: float
    key_memory: float
    keys_most: int
    report_every: float
    report_late: float
    report_noise: float
    jam: Jam | None = None

    @property
    def capacity(self) -> float:
        """Core-seconds of work a second, when warm."""
        return self.cores * self.speed


class Job:
    __slots__ = ("cancelled", "finish", "has_slot", "key", "name", "waits", "work")

    def __init__(self, name: object, work: float, waits: float, key: bytes, has_slot: bool) -> None:
        self.name = name
        self.work = work
        self.waits = waits
        self.key = key
        self.has_slot = has_slot
        self.finish = inf
        self.cancelled = False


class Engine:
    def __init__(self, figures: Figures, started: float, cold: bool, random: Random) -> None:
        self.figures = figures
        self.started = started if cold else started - figures.cold_time
        self.connections = 0
        self.slow = 1.0  # a fault's factor
        self.jams = 0
        self._random = random
        self._now = started
        self._given = 0.0  # work that each job in work has been given since the start
        self._rate = 0.0  # of that, a second
        self._order = 0
        self._working: list[tuple[float, int, Job]] = []  # by the `_given` at which they are done
        self._waiting_on_others: list[tuple[float, int, Job]] = []
        self._room: deque[Job] = deque()
        self._in_slots = 0
        self._done: list[Job] = []
        self._keys: OrderedDict[bytes, float] = OrderedDict()
        self._next_tick = started + TICK
        self._mean_held = 0.0  # over the jam's time
        self._mean_busy = 0.0  # over the jam's rest
        self._jam_began = 0.0
        self._jam_over = False  # once a run
        self._busy_since_report = 0.0
        self._last_report = started
        self._next_report = started + figures.report_every * random.random()
        self._reports: deque[tuple[float, float, int]] = deque([(started, 0.0, 0)])
        self._settle()

    # What it tells.

    def warmth(self, now: float) -> float:
        figures = self.figures
        if figures.cold_time <= 0:
            return 1.0
        age = min(1.0, max(0.0, (now - self.started) / figures.cold_time))
        return figures.cold_share + (1.0 - figures.cold_share) * age

    def held(self) -> int:
        """Requests in work or waiting."""
        return self._in_slots + len(self._room)

    def waiting(self) -> int:
        return len(self._room)

    def busy(self) -> float:
        """Part of the cores in use now."""
        return min(1.0, len(self._working) / self.figures.cores)

    def is_jammed(self) -> bool:
        return self._jam_began > 0.0 and not self._jam_over

    def report(self, now: float) -> tuple[float, int]:
        """Cores in use and requests waiting, as the box tells them: late, and a little noisy."""
        late = now - self.figures.report_late
        reports = self._reports
        while len(reports) > 1 and reports[1][0] <= late:
            reports.popleft()
        _, busy, waiting = reports[0]
        noise = 1.0 + self.figures.report_noise * self._random.uniform(-1.0, 1.0)
        return min(1.0, busy * noise), max(0, round(waiting * noise))

    def estimate(self, work: float, key: bytes, now: float) -> float:
        """The work that a request with this key would take here."""
        met = self._keys.get(key) if key else None
        lately = met is not None and now - met <= self.figures.key_memory
        return work * (1.0 - self.figures.key_gain) if lately else work

    # What comes to it. Each call first brings the box up to its time.

    def arrive(self, now: float, name: object, work: float, waits: float, key: bytes) -> Job | None:
        """None: turned away, there is no room. `work` is already what `estimate` says."""
        self.advance_to(now)
        if self._in_slots >= self.figures.slots and len(self._room) >= self.figures.room:
            return None
        job = Job(name, work, waits, key, has_slot=True)
        if self._in_slots < self.figures.slots:
            self._begin(job)
        else:
            self._room.append(job)
        if key:
            self._keys[key] = now
            self._keys.move_to_end(key)
            if len(self._keys) > self.figures.keys_most:
                self._keys.popitem(last=False)
        self._settle()
        return job

    def burden(self, now: float, work: float) -> None:
        """Work that no request asked for, such as a handshake."""
        if work > 0:
            self.advance_to(now)
            self._work_on(Job(None, work, 0.0, b"", has_slot=False))
            self._settle()

    def cancel(self, now: float, job: Job) -> None:
        """Its client is gone: it is dropped if it has not begun; begun work goes on."""
        if job in self._room:
            self.advance_to(now)
            if job in self._room:
                self._room.remove(job)
                self._settle()

    def set_slow(self, now: float, factor: float) -> None:
        self.advance_to(now)
        self.slow = factor
        self._settle()

    def take_done(self) -> list[Job]:
        done, self._done = self._done, []
        return done

    # Time.

    def due(self) -> float:
        """When something happens next without a further arrival; inf: nothing."""
        when = self._next_report
        if self._working:
            when = min(when, self._now + max(0.0, self._working[0][0] - self._given) / self._rate)
        if self._waiting_on_others:
            when = min(when, self._waiting_on_others[0][0])
        if self._ticks():
            when = min(when, self._next_tick)
        return when

    def _ticks(self) -> bool:
        return self.held() > 0 or self.is_jammed() or self._mean_held > 1e-3

    def advance_to(self, now: float) -> None:
        while (when := self.due()) <= now:
            self._pass(when)
            self._happen(when)
            self._settle()
        self._pass(now)

    def _pass(self, until: float) -> None:
        passed = until - self._now
        if passed <= 0:
            return
        self._now = until
        if self._working:
            self._given += self._rate * passed
            self._busy_since_report += self.busy() * passed

    def _happen(self, when: float) -> None:
        while self._waiting_on_others and self._waiting_on_others[0][0] <= when:
            self._work_on(heappop(self._waiting_on_others)[2])
        while self._working and self._working[0][0] <= self._given + EPSILON:
            job = heappop(self._working)[2]
            if job.has_slot:
                self._in_slots -= 1
                self._done.append(job)
                if self._room:
                    self._begin(self._room.popleft())
        if when >= self._next_report:
            span = max(EPSILON, when - self._last_report)
            self._reports.append((when, self._busy_since_report / span, len(self._room)))
            self._busy_since_report = 0.0
            self._last_report = when
            self._next_report = when + self.figures.report_every
        if when >= self._next_tick:
            self._look(when)
            self._next_tick = when + TICK

    def _begin(self, job: Job) -> None:
        self._in_slots += 1
        if job.waits > 0:
            self._order += 1
            heappush(self._waiting_on_others, (self._now + job.waits, self._order, job))
        else:
            self._work_on(job)

    def _work_on(self, job: Job) -> None:
        self._order += 1
        heappush(self._working, (self._given + job.work, self._order, job))

    def _settle(self) -> None:
        """How fast each job in work gets on, from now until something changes."""
        figures = self.figures
        count = max(1, len(self._working))
        rate = figures.speed * self.warmth(self._now) * min(1.0, figures.cores / count) / self.slow
        crowd = self.held() / figures.cores - figures.thrash_at
        if crowd > 0:
            rate /= 1.0 + figures.thrash * crowd
        rate *= 1.0 - figures.connection_tax * min(1.0, self.connections / figures.connections_most)
        if self.is_jammed() and figures.jam is not None:
            rate /= figures.jam.slower
        self._rate = max(rate, 1e-9)

    def _look(self, now: float) -> None:
        """Whether the box jams, or comes out of it: once a run, as long as nothing restarts it."""
        jam = self.figures.jam
        if jam is None:
            return
        self._mean_held += (1.0 - exp(-TICK / jam.over)) * (self.held() - self._mean_held)
        self._mean_busy += (1.0 - exp(-TICK / jam.rest)) * (self.busy() - self._mean_busy)
        figures = self.figures
        most = min(figures.cores + jam.at * sqrt(figures.cores), 0.7 * (figures.slots + figures.room))
        if not self._jam_began and self._mean_held > most:
            self._jam_began = now
            self._mean_busy = 1.0  # it is rest from now on that counts
            self.jams += 1
        elif self.is_jammed() and (self._mean_busy < jam.below or now - self._jam_began > jam.most):
            self._jam_over = True
