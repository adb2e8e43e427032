"""A model, without I/O, of how a render box processes requests. Times are in seconds, work in core-seconds.

Running requests share the cores evenly (processor sharing: Kleinrock, Queueing Systems II, 4.4). The work
that each of them has received so far is kept in one number, `_work_per_job`, so that the cost of an arrival
or a completion does not grow with the number of running requests. A request first waits for other services,
which holds a slot and no core, and then needs its work done. Requests without a slot wait in a queue of
limited length; beyond that they are rejected. A box that has just started is cold, one with too many requests
is less efficient, and one that was overloaded for some time jams.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from heapq import heappop, heappush
from math import exp, inf, sqrt
from random import Random

TICK_S = 0.1  # between updates of warmth, load and jam, while these change without an event
EPSILON = 1e-12


@dataclass(frozen=True, slots=True)
class Jam:
    """When an overloaded box jams, how much slower it is then, and when the jam ends."""

    threshold: float  # requests beyond the cores, in multiples of the square root of the cores
    averaging_s: float  # of the number of requests
    slow_factor: float
    rest_averaging_s: float  # of the busy fraction
    rest_busy: float  # busy fraction below which the jam ends
    duration_max_s: float


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one box, as drawn for one run."""

    cores: int
    speed: float
    slots: int
    queue_max: int  # requests
    cold_share: float
    cold_time_s: float
    thrash: float
    thrash_at: float
    connections_max: int
    connection_tax: float
    key_gain: float
    key_memory_s: float
    keys_max: int
    report_interval_s: float
    report_delay_s: float
    report_noise: float
    jam: Jam | None = None

    @property
    def capacity(self) -> float:
        """Core-seconds of work per second when warm."""
        return self.cores * self.speed


class Job:
    """A request, or other work of the box (`has_slot` is False). `tag` identifies it to the caller."""

    __slots__ = ("cancelled", "finish", "has_slot", "key", "tag", "wait_s", "work")

    def __init__(self, tag: object, work: float, wait_s: float, key: bytes, has_slot: bool) -> None:
        self.tag = tag
        self.work = work
        self.wait_s = wait_s
        self.key = key
        self.has_slot = has_slot
        self.finish = inf
        self.cancelled = False


class Engine:
    """The state of one box from the start of its process at `started`."""

    def __init__(self, figures: Figures, started: float, cold: bool, random: Random) -> None:
        self.figures = figures
        self.started = started if cold else started - figures.cold_time_s
        self.connections = 0
        self.slowdown = 1.0  # factor of faults
        self.jam_count = 0
        self._random = random
        self._now = started
        self._work_per_job = 0.0  # done for each running job since the start
        self._rate = 0.0  # increase of `_work_per_job` per second
        self._last_sequence = 0
        self._working: list[
            tuple[float, int, Job]
        ] = []  # by the value of `_work_per_job` at which they are done
        self._waiting: list[tuple[float, int, Job]] = []
        self._queue: deque[Job] = deque()
        self._slots_in_use = 0
        self._done: list[Job] = []
        self._keys: OrderedDict[bytes, float] = OrderedDict()
        self._next_tick = started + TICK_S
        self._mean_requests = 0.0  # averaged over `Jam.averaging_s`
        self._mean_busy = 0.0  # averaged over `Jam.rest_averaging_s`
        self._jam_began = 0.0
        self._jam_ended = False  # a box jams at most once
        self._busy_since_report = 0.0
        self._last_report = started
        self._next_report = started + figures.report_interval_s * random.random()
        self._reports: deque[tuple[float, float, int]] = deque([(started, 0.0, 0)])
        self._update_rate()

    # State.

    def warmth(self, now: float) -> float:
        """The fraction of its full speed that the box has reached."""
        figures = self.figures
        if figures.cold_time_s <= 0:
            return 1.0
        age = min(1.0, max(0.0, (now - self.started) / figures.cold_time_s))
        return figures.cold_share + (1.0 - figures.cold_share) * age

    def request_count(self) -> int:
        """The number of running and waiting requests."""
        return self._slots_in_use + len(self._queue)

    def queue_length(self) -> int:
        """The number of requests that wait for a slot."""
        return len(self._queue)

    def busy_fraction(self) -> float:
        """The fraction of the cores in use."""
        return min(1.0, len(self._working) / self.figures.cores)

    def is_jammed(self) -> bool:
        """Whether the box is in a jam now."""
        return self._jam_began > 0.0 and not self._jam_ended

    def report(self, now: float) -> tuple[float, int]:
        """The fraction of busy cores and the queue length as the box reports them: delayed, and with
        noise."""
        reported_until = now - self.figures.report_delay_s
        reports = self._reports
        while len(reports) > 1 and reports[1][0] <= reported_until:
            reports.popleft()
        _, reported_busy, reported_queue = reports[0]
        noise = 1.0 + self.figures.report_noise * self._random.uniform(-1.0, 1.0)
        return min(1.0, reported_busy * noise), max(0, round(reported_queue * noise))

    def estimate(self, work: float, key: bytes, now: float) -> float:
        """The work of a request with this key on this box: less if it served the key recently."""
        last_served = self._keys.get(key) if key else None
        is_recent = last_served is not None and now - last_served <= self.figures.key_memory_s
        return work * (1.0 - self.figures.key_gain) if is_recent else work

    # Input. Each call first advances the box to `now`.

    def arrive(self, now: float, tag: object, work: float, wait_s: float, key: bytes) -> Job | None:
        """Accepts a request, or rejects it (None) if the queue is full. `work` is the result of
        `estimate`."""
        self.advance_to(now)
        if self._slots_in_use >= self.figures.slots and len(self._queue) >= self.figures.queue_max:
            return None
        job = Job(tag, work, wait_s, key, has_slot=True)
        if self._slots_in_use < self.figures.slots:
            self._start(job)
        else:
            self._queue.append(job)
        if key:
            self._keys[key] = now
            self._keys.move_to_end(key)
            if len(self._keys) > self.figures.keys_max:
                self._keys.popitem(last=False)
        self._update_rate()
        return job

    def add_overhead(self, now: float, work: float) -> None:
        """Adds work that belongs to no request, such as a handshake."""
        if work > 0:
            self.advance_to(now)
            self._run(Job(None, work, 0.0, b"", has_slot=False))
            self._update_rate()

    def cancel(self, now: float, job: Job) -> None:
        """Drops a request whose client has left, if it still waits for a slot; a running one goes on."""
        if job in self._queue:
            self.advance_to(now)
            if job in self._queue:
                self._queue.remove(job)
                self._update_rate()

    def set_slowdown(self, now: float, factor: float) -> None:
        """Sets the factor by which the box is slower than normal, from now on."""
        self.advance_to(now)
        self.slowdown = factor
        self._update_rate()

    def take_done(self) -> list[Job]:
        """The requests completed since the last call."""
        done, self._done = self._done, []
        return done

    # Time.

    def next_event(self) -> float:
        """When the state next changes without a further arrival; inf if never."""
        event_time = self._next_report
        if self._working:
            event_time = min(
                event_time, self._now + max(0.0, self._working[0][0] - self._work_per_job) / self._rate
            )
        if self._waiting:
            event_time = min(event_time, self._waiting[0][0])
        if self._needs_tick():
            event_time = min(event_time, self._next_tick)
        return event_time

    def _needs_tick(self) -> bool:
        return self.request_count() > 0 or self.is_jammed() or self._mean_requests > 1e-3

    def advance_to(self, now: float) -> None:
        """Processes all events up to `now`."""
        while (event_time := self.next_event()) <= now:
            self._advance_clock(event_time)
            self._process_events(event_time)
            self._update_rate()
        self._advance_clock(now)

    def _advance_clock(self, until: float) -> None:
        elapsed = until - self._now
        if elapsed <= 0:
            return
        self._now = until
        if self._working:
            self._work_per_job += self._rate * elapsed
            self._busy_since_report += self.busy_fraction() * elapsed

    def _process_events(self, event_time: float) -> None:
        while self._waiting and self._waiting[0][0] <= event_time:
            self._run(heappop(self._waiting)[2])
        while self._working and self._working[0][0] <= self._work_per_job + EPSILON:
            job = heappop(self._working)[2]
            if job.has_slot:
                self._slots_in_use -= 1
                self._done.append(job)
                if self._queue:
                    self._start(self._queue.popleft())
        if event_time >= self._next_report:
            period = max(EPSILON, event_time - self._last_report)
            self._reports.append((event_time, self._busy_since_report / period, len(self._queue)))
            self._busy_since_report = 0.0
            self._last_report = event_time
            self._next_report = event_time + self.figures.report_interval_s
        if event_time >= self._next_tick:
            self._update_jam(event_time)
            self._next_tick = event_time + TICK_S

    def _start(self, job: Job) -> None:
        self._slots_in_use += 1
        if job.wait_s > 0:
            self._last_sequence += 1
            heappush(self._waiting, (self._now + job.wait_s, self._last_sequence, job))
        else:
            self._run(job)

    def _run(self, job: Job) -> None:
        self._last_sequence += 1
        heappush(self._working, (self._work_per_job + job.work, self._last_sequence, job))

    def _update_rate(self) -> None:
        """Sets the speed of the running jobs, which holds until the next event."""
        figures = self.figures
        count = max(1, len(self._working))
        rate = figures.speed * self.warmth(self._now) * min(1.0, figures.cores / count) / self.slowdown
        excess = self.request_count() / figures.cores - figures.thrash_at
        if excess > 0:
            rate /= 1.0 + figures.thrash * excess
        rate *= 1.0 - figures.connection_tax * min(1.0, self.connections / figures.connections_max)
        if self.is_jammed() and figures.jam is not None:
            rate /= figures.jam.slow_factor
        self._rate = max(rate, 1e-9)

    def _update_jam(self, now: float) -> None:
        """Starts or ends a jam. There is at most one between two starts of the box."""
        jam = self.figures.jam
        if jam is None:
            return
        self._mean_requests += (1.0 - exp(-TICK_S / jam.averaging_s)) * (
            self.request_count() - self._mean_requests
        )
        self._mean_busy += (1.0 - exp(-TICK_S / jam.rest_averaging_s)) * (
            self.busy_fraction() - self._mean_busy
        )
        figures = self.figures
        requests_max = min(
            figures.cores + jam.threshold * sqrt(figures.cores), 0.7 * (figures.slots + figures.queue_max)
        )
        if not self._jam_began and self._mean_requests > requests_max:
            self._jam_began = now
            self._mean_busy = 1.0  # only the load after the start of the jam counts
            self.jam_count += 1
        elif self.is_jammed() and (
            self._mean_busy < jam.rest_busy or now - self._jam_began > jam.duration_max_s
        ):
            self._jam_ended = True
