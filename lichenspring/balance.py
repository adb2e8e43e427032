"""All decisions of the balancer. Its events, actions and settings are in interface.py, the breaker of one
class in breaker.py, and which servers a node of many goes to in subset.py, beside this file.

The ordinary path of a request: its class's adaptive circuit breaker admits or refuses it at once; its key
names two servers and the one with fewer of this node's own requests in flight gets it. The rest is what
that leaves open: servers that fail, start, drain or leave, further attempts, and the list of servers.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from math import ceil, inf, log
from random import Random

from lichenspring import interface as api
from lichenspring.breaker import (
    CENSORED,
    PERIOD,
    RETAINED_WEIGHT,
    SECOND,
    TARGET,
    Breaker,
    InFlight,
    pooled_tail,
)
from lichenspring.interface import NEVER_RAN, Group, ListKind, ListMode, Repeat, Result, ServerState
from lichenspring.subset import HELD, members, parts, splitmix64

# Admission, beside the breaker's own.
IDLE_BELOW = 0.6  # mean part of cores in use, by report: below it the target is the aim itself
START_PER_SERVER = HELD  # requests in flight, of all nodes together: the cap until a window tells
TOLD_WEIGHT = 1 / 16  # part of the newest report in the mean part of cores in use
TOLD_LEAST = 8  # reports; fewer say nothing
TOLD_LOW = 0.2  # of it: what little is in use tells little of how much more would be
CARRIED_WEIGHT = 0.25  # part of a window in the mean of requests in flight that late reports belong to
LEAST_PER_SERVER = 0.3  # of a class, likewise, are always let in: without samples no cap could rise again
# Without an attempt, whatever the caps say: only one tells of better servers.
PROBE_INTERVAL_NS = 5 * SECOND // 2
UNANSWERED_WEIGHT = 0.08  # part of the newest attempt in the share that goes unanswered: the last dozen or so
WORTH_ABOVE = 1.2  # times the worth for its work: a class whose threshold binds the lesser ones too
WORTH_MORE = 2.0  # times the worth for its work: a class that the lesser ones leave room for
RESERVE = 0.8  # part of such a class's threshold that they may fill
RESUBMITTED_PART = 0.5  # of its cap, for a client's marked retry: its aim is part gone
OVER_SHARE_PART = 0.5  # of its cap, for a tenant beyond its share
SHARE_SLACK = 1.2  # times its share against the others' requests, before a tenant counts as beyond it
SHARE_BURST = 20.0  # requests that a tenant's share may save up

# Servers.
TABLE_SIZE = 2039  # slots, a prime: a key's walk reaches every one
STRIDE = 701  # from a slot of a server that is not this node's to the next
HOT = 0.5  # of a server's fair share of this node's requests: a key above it goes to more than two
KEY_MEMORY = 6.0  # requests for each server are remembered: at a small share of traffic that takes long
FULL_WEIGHT = 0.2  # part of the newest outcome in a server's share of full answers
FULL_FADES = 0.95  # of that share, each period: an avoided server brings no news
FULL_THRESHOLD = 0.5  # of it: goes only to a server that is not, while there is one
FULL_LOAD_PENALTY = 2.0  # a server always full is compared as with so many more requests in flight
BUSY_ABOVE = 0.7  # part of its cores in use: above it a server counts as with up to one more in flight
PACE_WEIGHT = 0.05  # part of the newest response time in a server's pace
KIND_WEIGHT = 0.1  # part of the newest report in what the servers of a kind are held to be busy
KIND_REPORTS = 3  # fewer say nothing
KIND_GAIN = 0.3  # of the way, in logarithms, that a kind's share goes in a window to where all are as busy
KIND_LEAST = 0.1  # share
DRAWS = 12  # tries to find two servers that may be used before any usable one is taken
BAD = 0.7  # share of failures that a bad server is held to have
PROOF = log(10.0)  # odds for that, against its being like all others, at which it is left out (Page, 1954)
OFTEN, SLOW = 0.5, 0.25  # weight of an outcome of a server seen often, and of a time-out of one that answers
ANSWERS = SECOND // 2  # a server that did so lately does
FLEET_WEIGHT = 0.02  # the same for all servers together: the last fifty outcomes or so
FLEET_LEAST, FLEET_MOST = 0.02, 0.5  # that share lies between: what fails everywhere is no server's fault
EJECT_PART = 1 / 4  # of the list at most: more leaves the others with more than they can carry
UNREACHABLE_PART = 3 / 4  # the same where connections fail: that is no sign of load
ANSWERED_LATELY = 2 * SECOND  # a failed connection is no failure of a server that did
EJECT_TIME = 2 * SECOND  # doubles with each failed trial
COLD_CAUTION = 0.8  # of what a warm server takes: a cold server's keys are cold too and cost more
COLD_MOST = 1.6  # the same where its own report says that it has room: far from pushed over
RATE_FALLS = 0.05  # part of the way to a lower rate of warm servers that a window goes
COLD_BURST = 2.0  # requests that a cold server's budget may save up
FALL_PART = 0.54  # of the multiple at which a cold server falls: warm ones may be overdriven, and chance adds
IDLE_SURE = SECOND // 4  # a connection that idled for less is no worse than a new one
LOST_WEIGHT = 0.2  # part of the newest attempt in the shares that idle, new and other connections lose
LOST_ABOVE = 0.5  # four in a row: idle connections are dropped unseen
LOST_TIMES_NEW = 2.0  # and so much above the share of the others: what they lose too is not for idling
CONNECT_LEAST = 0.1  # share of new connections that fail; one below it is none
CONNECT_COUNTS = 8.0  # where all fail, a server without an idle one counts as with so many more in flight
TRUST_DOUBLES = 10 * SECOND  # the time after which idle connections are trusted for twice as long again

# Further attempts.
RETRY_BUDGET = 0.1  # further attempts earned by each first one
RETRY_BURST = 10.0  # that may be saved up
WRITE_HELD = 150 * SECOND // 1000  # between the clock and a write: a repeat has its window less this
RETRY_LEAST = 0.5  # of what is usual for the class: with less time left no further attempt is made

# The list.
ASK_SPREAD = 0.5  # of the time within which to ask: many nodes starting at once spread their calls
ASK_SPREAD_MOST = 5 * SECOND  # what has changed by its start counts as told to a node 6 s later
ASK_FIRST_PAUSE = SECOND  # doubles with each failed call
ASK_MOST = 2 * SECOND  # as far as this: what discovery has once it is back counts as told 6 s later
ASK_LEAST = SECOND // 2  # after a call that was waited for so long that its pause is over
AGAIN_SOON = SECOND // 10  # after a watch that had been answered; doubles where they end again and again
WATCH_STANDS = SECOND  # a watch that ended sooner after its answer is one that ends again and again
DOUBLINGS = 4  # of that pause and of an ejection, at most

TICK_TOKEN, ASK_TOKEN, DEFERRED_TOKEN = 1, 2, 3


@dataclass(slots=True, eq=False)
class Backend:
    """What this node knows of one server."""

    entry: api.Server
    tokens: float
    refilled: int
    in_flight: int = 0
    idle: list[int] = field(default_factory=list)  # since when each connection is idle
    fullness: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    """Share of full answers, lately, by class: a server may have room for some and turn others away."""
    busy: float = 0.0  # part of its cores in use, as last reported
    pace: float = 1.0  # its response times over what is usual for their class
    answered: int = 0  # when it last did
    failure_log_odds: float = 0.0  # the logarithm of the odds that it is bad; 0: no sign
    ejected_until: int = 0
    doublings: int = 0
    trial: bool = False

    def forgive(self) -> None:
        self.failure_log_odds = 0.0
        self.ejected_until = 0
        self.doublings = 0
        self.trial = False


@dataclass(slots=True, eq=False)
class Attempt:
    backend: Backend
    sent: int
    idle: int  # for how long its connection had been; 0: a new one
    result: Result | None = None


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that is unanswered or has attempts out."""

    request: api.Request
    kind: api.RequestClass
    expires: int
    useful_until: int  # an answer after the aim that is worth nothing is not waited for
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False
    waits: bool = False  # backs off before its next attempt

    def is_over(self) -> bool:
        return self.closed and all(attempt.result is not None for attempt in self.attempts)

    def may_have_run(self) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.result not in NEVER_RAN]

    def may_refuse(self) -> bool:
        """A refusal says that trying again is harmless."""
        if self.kind.repeat is Repeat.SAFE or not self.may_have_run():
            return True
        return self.kind.repeat is Repeat.KEYED and self.kind.group is Group.ALL and self.request.key != 0

    def may_send_to(self, server: api.Server, now: int) -> bool:
        """No effect twice: a keyed request stays with those that drop its repeats, while they do."""
        if self.kind.repeat is Repeat.SAFE:
            return True
        return all(self._drops_repeat(server, earlier, now) for earlier in self.may_have_run())

    def repeats_dropped_for(self, now: int) -> int:
        """How long a further attempt may still be written, however long its connection takes; 0: no limit."""
        if self.kind.repeat is not Repeat.KEYED:
            return 0
        window = self.kind.window - WRITE_HELD
        return min((one.sent + window - now for one in self.may_have_run()), default=0)

    def _drops_repeat(self, server: api.Server, earlier: Attempt, now: int) -> bool:
        # Without a key no server can know the repeat.
        if self.kind.repeat is not Repeat.KEYED or not self.request.key:
            return False
        if now - earlier.sent >= self.kind.window - WRITE_HELD:
            return False
        if self.kind.group is Group.ZONE:
            return server.zone == earlier.backend.entry.zone
        return self.kind.group is Group.ALL or server.cell == earlier.backend.entry.cell


@dataclass(slots=True)
class Kind:
    """What this node knows of the servers that the list puts into one group."""

    share: float = 1.0  # of the keys that hash to them, against those of the group that can do most
    busy: float = 0.0  # part of their cores in use, by their own reports
    reports: int = 0


@dataclass(slots=True)
class Turns:
    """The requests of one key that run in order: the first has the turn, the others wait."""

    entries: deque[OpenRequest] = field(default_factory=deque)
    rests_until: int = 0  # what may still run at a server is given this long


class Balancer:
    """One node's decisions: timed events in, actions out. No clock, no input or output of its own."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._breakers = [Breaker(kind.aim) for kind in settings.classes]
        self._backends: dict[api.ServerId, Backend] = {}
        self._subset: list[Backend] = []  # this node's own part of the servers, in the list's order
        self._others: list[Backend] = []  # of other nodes' parts: where no one of its own may be used
        self._parts = 1
        self._table: list[Backend] = []
        self._open: dict[int, OpenRequest] = {}
        self._caps = [0.0] * len(settings.classes)  # requests in flight at which a class is refused
        self._in_flight = InFlight()
        self._last_sent = 0  # when the newest attempt was made
        self._carried = 0.0  # its mean over the time that reports tell of
        self._told, self._reports = 0.0, 0  # mean part of cores in use, by reports of late, and their number
        self._arrivals = 0  # of all tenants
        self._shares: dict[int, tuple[float, int]] = {}  # a tenant's credit, and arrivals at its last request
        self._later: list[tuple[int, int, Callable[[int], None]]] = []  # a heap: when, number, what to do
        self._laters = 0
        self._lost_idle = self._lost_others = 0.0  # share of attempts without an answer, by connection
        self._unanswered = 0.0  # share of all attempts, over more of them: five would brake by chance
        self._connect_failures = 0.0  # share of new connections
        self._trusted_idle = self._distrusted = 0  # idle time of a connection that is trusted, and since when
        self._kinds: defaultdict[int, Kind] = defaultdict(Kind)
        self._turns: dict[int, Turns] = {}  # by key
        self._fleet_failures = 0.0
        self._retry_budget = RETRY_BURST
        self._keyed = 0  # arrivals with a key
        self._key_counts: dict[int, float] = {}  # by key, older ones fading
        self._spread: dict[int, int] = {}  # hot keys: how many servers each goes to
        self._sent = 0  # attempts to warm servers in this window
        self._rate = 0.0  # attempts per nanosecond and unit of a warm server's weight, lately
        self._watching = False
        self._failed_calls = 0
        self._answered_at = 0  # when the watch that stands was answered; 0: none stands
        self._short_watches = 0  # in a row that ended soon after they were answered
        self._asked = 0  # when the call that is not answered yet was made; 0: there is none
        self._actions: list[api.Action] = []

    # Events.

    def start(self, now: int) -> list[api.Action]:
        """First actions; the cached list follows as an event."""
        # Nodes that start together would cut together, and try together: each has its own phase.
        phase = self._jittered(PERIOD, 0.0)
        self._last_sent = now - phase * PROBE_INTERVAL_NS // PERIOD
        actions: list[api.Action] = [api.SetTimer(now + phase, TICK_TOKEN)]
        if self._settings.list_mode is ListMode.ON_REQUEST:
            spread = min(ASK_SPREAD_MOST, int(self._settings.ask_within * ASK_SPREAD))
            actions.append(api.SetTimer(now + self._jittered(spread, 0.0), ASK_TOKEN))
        return actions

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self._actions = []
        while self._later and self._later[0][0] <= now:
            heappop(self._later)[2](now)
        if isinstance(event, api.Request):
            self._arrive(now, event)
        elif isinstance(event, api.Outcome):
            self._settle(now, event)
        elif isinstance(event, api.Timer):
            self._on_timer(now, event.token)
        elif isinstance(event, api.ServerList):
            self._follow(now, event)
        elif isinstance(event, api.ClientGone):
            self._close(now, event.request)
        elif isinstance(event, api.Hedge):
            self._copy(now, event.request)
        return self._actions

    def _jittered(self, span: int, least: float) -> int:
        return int(span * self._random.uniform(least, 1.0))

    def _do_later(self, at: int, what: Callable[[int], None]) -> None:
        """With the first event from then on; where no other may come, its caller sets a timer too."""
        self._laters += 1
        heappush(self._later, (at, self._laters, what))

    def _on_timer(self, now: int, token: int) -> None:
        if token == TICK_TOKEN:
            self._in_flight.add(now, 0)
            able, pooled = self._able(now), pooled_tail(self._breakers)
            for breaker in self._breakers:
                breaker.update(self._in_flight.mean / able, START_PER_SERVER, self._is_idle(), pooled)
            self._carried += CARRIED_WEIGHT * (self._in_flight.mean - self._carried)
            self._set_caps(now)
            for backend in self._subset:
                for index in backend.fullness:
                    backend.fullness[index] *= FULL_FADES
            self._find_hot_keys()
            self._share_by_kind()
            self._measure_rate(now)
            self._actions.append(api.SetTimer(now + PERIOD, TICK_TOKEN))
        elif token == ASK_TOKEN and not self._watching:
            self._watching = True  # or about to; a failure takes it back
            self._asked = now
            self._actions.append(api.Watch())

    # The breaker.

    def _is_idle(self) -> bool:
        """By the servers' own reports: a long tail is not from crowding then. They are late, so the aim
        itself still binds."""
        told = [
            one.busy for one in self._subset if one.busy and "utilization" in self._settings.report_fields
        ]
        return bool(told) and sum(told) < IDLE_BELOW * len(told)

    def _able(self, now: int) -> float:
        """How many warm servers this node's part of the traffic has to itself. Cold ones count for what they
        take, those left out for nothing: after a release or a lost zone the list holds more than can serve,
        and a cap learned before it would fill the rest."""
        able = sum(self._warmth(now, one.entry) for one in self._subset if not one.ejected_until)
        return max(1.0, able) * self._parts / self._settings.nodes

    def _set_caps(self, now: int) -> None:
        """A class stops at its own threshold, and short of those of the classes that are worth more. All
        stop sooner where fewer than half of all attempts are answered: overdriven servers need to rest."""
        brake = min(1.0, 2.0 * (1.0 - self._unanswered))
        able = self._able(now)
        full = max(able * START_PER_SERVER, self._full())
        thresholds = [min(full, able * breaker.threshold(START_PER_SERVER)) for breaker in self._breakers]
        values = [self._value(index) for index in range(len(thresholds))]
        for index, own in enumerate(thresholds):
            above = [
                (RESERVE if value > WORTH_MORE * values[index] else 1.0) * other
                for other, value in zip(thresholds, values, strict=True)
                if value > WORTH_ABOVE * values[index]
            ]
            self._caps[index] = brake * min([own, *above])

    def _full(self) -> float:
        """Requests in flight at which the lesser classes would have all cores in use, by the servers' own
        reports: as many more as are carried now as cores are free. Each answer tells of another server, so
        a node that carries three requests at once knows their mean well. Guards against caps that grow while
        all is quiet (to the target's response time it is a long way) and let a burst in until servers jam."""
        if self._reports < TOLD_LEAST:
            return inf
        return self._carried / max(TOLD_LOW, self._told) / RESERVE

    def _admits(self, now: int, request: api.Request) -> bool:
        part = OVER_SHARE_PART if self._is_over_share(request.tenant) else 1.0
        if request.limits is not None:
            part *= request.limits.cap_fraction
        if now - self._last_sent >= PROBE_INTERVAL_NS:
            return True
        return self._has_room(now, request, part * RESUBMITTED_PART if request.resubmitted else part)

    def _has_room(self, now: int, request: api.Request, part: float = 1.0) -> bool:
        least = LEAST_PER_SERVER * len(self._subset) * self._parts / self._settings.nodes
        own = self._breakers[request.class_index].in_flight
        cap = part * self._caps[request.class_index]
        return self._in_flight.is_below(now, cap) or own.is_below(now, least)

    def _is_over_share(self, tenant: int) -> bool:
        """Measured against the other tenants' requests at this node: what part of all traffic the node
        carries does not matter, nor does the surging tenant's own."""
        if tenant >= len(self._settings.tenants):
            return False
        self._arrivals += 1
        share = min(0.99, self._settings.tenants[tenant].share)
        credit, seen = self._shares.get(tenant, (SHARE_BURST, 0))
        others = self._arrivals - 1 - seen
        credit = min(SHARE_BURST, credit + SHARE_SLACK * share / (1.0 - share) * others)
        over = credit < 1.0
        self._shares[tenant] = (credit if over else credit - 1.0, self._arrivals)
        return over

    def _value(self, index: int) -> float:
        """Worth for a unit of work."""
        worth = self._settings.classes[index].worth
        return worth if self._settings.worth_by_work else worth / max(1.0, self._breakers[index].typical)

    # Requests.

    def _arrive(self, now: int, request: api.Request) -> None:
        kind = self._settings.classes[request.class_index]
        if request.key:
            self._key_counts[request.key] = self._key_counts.get(request.key, 0) + 1
            self._keyed += 1
        expires = now + request.time_left
        entry = OpenRequest(
            request, kind, expires, expires if kind.late_worth else min(expires, now + kind.aim)
        )
        send = self._line_up if kind.in_order and request.key else self._send_first
        if not self._admits(now, request) or not send(now, entry):
            self._refuse(entry)

    def _send_first(self, now: int, entry: OpenRequest) -> bool:
        backend = self._pick(now, entry) or self._pick_untold(now)
        if backend is None:
            return False
        self._retry_budget = min(RETRY_BURST, self._retry_budget + RETRY_BUDGET)
        self._open[entry.request.id] = entry
        self._send(now, entry, backend)
        return True

    def _send(self, now: int, entry: OpenRequest, backend: Backend) -> None:
        within = entry.repeats_dropped_for(now)
        self._last_sent = now
        entry.attempts.append(Attempt(backend, now, self._connect(now, backend)))
        backend.in_flight += 1
        backend.trial = backend.ejected_until > 0
        if self._warmth(now, backend.entry) < 1.0:
            backend.tokens -= 1.0
        else:
            self._sent += 1
        self._in_flight.add(now, 1)
        self._breakers[entry.request.class_index].in_flight.add(now, 1)
        time_out, first_byte = max(1, entry.useful_until - now), 0
        limits = entry.request.limits
        if limits is not None:
            time_out, first_byte = min(time_out, limits.time_out or time_out), limits.first_byte
        self._actions.append(api.Send(entry.request.id, backend.entry.id, time_out, first_byte, within))

    def _settle(self, now: int, outcome: api.Outcome) -> None:
        entry = self._open.get(outcome.request)
        if entry is None or outcome.attempt >= len(entry.attempts):
            return
        attempt = entry.attempts[outcome.attempt]
        if attempt.result is not None:
            return
        attempt.result = outcome.result
        self._rest(now, entry, outcome.result)
        # What was lost to a dropped connection tells no more of its server than a cancelled attempt does, nor
        # does a time-out before an answer could be there: a further attempt gets what time is left.
        enough = min(self._typical(entry), TARGET * entry.kind.aim)
        hasty = outcome.result is Result.TIMEOUT and outcome.elapsed < enough
        result = Result.CANCELLED if self._note_connection(now, attempt) or hasty else outcome.result
        # Where servers report, only a report tells that one is idle again: an answer may come without one.
        if outcome.result is Result.OK and "utilization" not in self._settings.report_fields:
            attempt.backend.busy = 0.0
        self._note_report(now, attempt.backend, outcome.report)
        if outcome.result is Result.TIMEOUT and not attempt.backend.ejected_until:
            until = now + min(outcome.elapsed, entry.kind.aim)
            # A server may go on with work that nobody waits for: freed at once, it would be filled again.
            self._do_later(until, partial(self._release, attempt.backend, entry))
        else:
            self._release(attempt.backend, entry, now)
        self._judge(now, attempt.backend, result, entry.request.class_index)
        entry.closed |= outcome.closed
        again = not entry.closed and self._try_again(now, entry, outcome)
        if result is outcome.result:
            self._sample(now, entry, attempt, outcome.elapsed, again)
        if not entry.closed and not again:
            self._end(entry)
        self._forget_if_done(now, entry)

    def _typical(self, entry: OpenRequest) -> float:
        return self._breakers[entry.request.class_index].typical

    def _sample(self, now: int, entry: OpenRequest, attempt: Attempt, elapsed: int, again: bool) -> None:
        if attempt.backend.ejected_until or self._warmth(now, attempt.backend.entry) < 1.0:
            return  # it tells of that server: silent and cold ones would close the breaker for all the others
        breaker = self._breakers[entry.request.class_index]
        if attempt.result is Result.OK:
            breaker.window.answered.append(elapsed)
            attempt.backend.pace += PACE_WEIGHT * (elapsed / breaker.typical - attempt.backend.pace)
        elif attempt.result is Result.TIMEOUT:
            breaker.window.timed_out.append(elapsed)
        elif attempt.result is Result.FULL and not again:  # a fast failure, but no sign of a fast server
            breaker.window.answered.append(CENSORED * entry.kind.aim)

    def _release(self, backend: Backend, entry: OpenRequest, now: int) -> None:
        backend.in_flight -= 1
        self._in_flight.add(now, -1)
        self._breakers[entry.request.class_index].in_flight.add(now, -1)

    def _try_again(self, now: int, entry: OpenRequest, outcome: api.Outcome) -> bool:
        """True if the request needs no final answer now: it goes out again, or is out still."""
        if entry.waits or any(attempt.result is None for attempt in entry.attempts):
            return True
        limits = entry.request.limits
        if limits is None:
            return self._has_another(now, entry) and self._send_again(now, entry, outcome.result)
        wait = min(limits.backoff << min(32, len(entry.attempts) - 1), limits.max_backoff)
        wait -= int(limits.jitter * wait * self._random.random()) if wait else 0
        may = outcome.may_retry and outcome.result in limits.retry_on and self._has_another(now + wait, entry)
        if not may or not wait:
            return may and self._send_again(now, entry, outcome.result)
        entry.waits = True
        self._do_later(now + wait, partial(self._after_back_off, entry, outcome.result))
        self._actions.append(api.SetTimer(now + wait, DEFERRED_TOKEN))
        return True

    def _after_back_off(self, entry: OpenRequest, result: Result, now: int) -> None:
        entry.waits = False
        if not entry.closed and not (self._has_another(now, entry) and self._send_again(now, entry, result)):
            self._end(entry)
            self._forget_if_done(now, entry)

    def _has_another(self, now: int, entry: OpenRequest) -> bool:
        """Neither time nor number forbids another attempt."""
        limits = entry.request.limits
        most = self._settings.max_attempts
        most = most if limits is None else min(most, limits.max_attempts)
        return entry.useful_until - now > RETRY_LEAST * self._typical(entry) and len(entry.attempts) < most

    def _copy(self, now: int, request: int) -> None:
        """Never to a box that is cold: it would be sent work that another one is at already."""
        entry = self._open.get(request)
        if entry is None or entry.closed or entry.waits or entry.kind.repeat is not Repeat.SAFE:
            return
        out = sum(attempt.result is None for attempt in entry.attempts)
        backend = self._pick(now, entry, warm=True) if out == 1 and self._has_another(now, entry) else None
        if backend is not None:
            self._send(now, entry, backend)

    def _send_again(self, now: int, entry: OpenRequest, result: Result) -> bool:
        price = 0.0 if result is Result.CONNECT_FAILED else 1.0  # where nothing arrived nothing is added
        if self._retry_budget < price:
            return False
        backend = self._pick(now, entry)
        if backend is None:
            return False
        self._retry_budget -= price
        self._send(now, entry, backend)
        return True

    def _end(self, entry: OpenRequest) -> None:
        entry.closed = True
        if entry.may_refuse():
            self._refuse(entry)
        else:
            self._actions.append(api.Fail(entry.request.id))

    def _refuse(self, entry: OpenRequest) -> None:
        wait = min(entry.kind.aim, self._settings.max_retry_after) if self._settings.retry_after else 0
        self._actions.append(api.Refuse(entry.request.id, wait))

    def _close(self, now: int, request: int) -> None:
        entry = self._open.get(request)
        if entry is not None:
            entry.closed = True
            self._forget_if_done(now, entry)

    def _forget_if_done(self, now: int, entry: OpenRequest) -> None:
        if entry.is_over():
            del self._open[entry.request.id]
            if entry.request.key in self._turns:
                self._pass_turn(entry.request.key, now)

    # Order.

    def _line_up(self, now: int, entry: OpenRequest) -> bool:
        """Take the key's turn, or wait for it where it will come in time: refused now, the client may
        find another node, whose queue for this key is its own."""
        key = entry.request.key
        turns = self._turns.get(key)
        if turns is None:
            if not self._send_first(now, entry):
                return False
            self._turns[key] = turns = Turns()
        else:
            typical = int(self._typical(entry))
            ahead = sum(1 for other in turns.entries if not other.closed) * typical
            latest = entry.useful_until - typical
            if max(now, turns.rests_until) + ahead > latest:
                return False
            self._open[entry.request.id] = entry
            self._do_later(latest, partial(self._give_up_waiting, entry))
            self._actions.append(api.SetTimer(latest, DEFERRED_TOKEN))
        turns.entries.append(entry)
        return True

    def _give_up_waiting(self, entry: OpenRequest, now: int) -> None:
        if not entry.attempts and not entry.closed:
            self._end(entry)
            self._forget_if_done(now, entry)

    def _rest(self, now: int, entry: OpenRequest, result: Result) -> None:
        """An attempt without an answer may still run: the key's next request waits for a while."""
        turns = self._turns.get(entry.request.key) if entry.kind.in_order else None
        if turns is not None and result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED):
            turns.rests_until = now + self._settings.key_rest

    def _pass_turn(self, key: int, now: int) -> None:
        """Send the first that waits, once all before it are over; forget a key that nobody waits for."""
        turns = self._turns.get(key)
        while turns is not None:
            while turns.entries and turns.entries[0].is_over():
                turns.entries.popleft()
            if turns.entries and turns.entries[0].attempts:
                return
            if now < turns.rests_until:
                self._do_later(turns.rests_until, partial(self._pass_turn, key))
                self._actions.append(api.SetTimer(turns.rests_until, DEFERRED_TOKEN))
                return
            if not turns.entries:
                del self._turns[key]
                return
            first = turns.entries[0]
            if self._has_room(now, first.request) and self._send_first(now, first):
                return
            self._end(first)
            del self._open[first.request.id]

    # The choice of a server.

    def _pick(self, now: int, entry: OpenRequest, warm: bool = False) -> Backend | None:
        tried = [attempt.backend for attempt in entry.attempts]
        # After a failed connection any server with an idle one is better than the less loaded of two.
        unconnected = bool(tried) and entry.attempts[-1].result is Result.CONNECT_FAILED
        pair: list[Backend] = []
        full: list[Backend] = []
        for backend in self._candidates(entry):
            if backend in (*pair, *full, *tried) or not entry.may_send_to(backend.entry, now):
                continue
            if self._usable(now, backend) and not (warm and self._warmth(now, backend.entry) < 1.0):
                is_full = backend.fullness[entry.request.class_index] > FULL_THRESHOLD
                (full if is_full else pair).append(backend)
            if len(pair) == (DRAWS if unconnected else 2):
                break
        return min(pair or full, key=partial(self._load, now, entry.request.class_index), default=None)

    def _pick_untold(self, now: int) -> Backend | None:
        """For a node that has met no warm server, so that nothing tells what a cold one can do: now and then
        the one whose budget is least overdrawn. Guards against a fleet that starts together with all of its
        servers, and sends them nothing until they are warm."""
        if self._rate or now - self._last_sent < PROBE_INTERVAL_NS:
            return None
        able = [one for one in (*self._subset, *self._others) if not one.ejected_until]
        return max(able, key=lambda one: one.tokens) if able else None

    def _candidates(self, entry: OpenRequest) -> Iterator[Backend]:
        """Servers in the order of this request's preference; some come more than once."""
        if table := self._table:
            key = entry.request.key or self._random.getrandbits(64)
            first = self._random.randrange(self._spread_of(key) if entry.request.key else 1)
            for draw in range(first, first + DRAWS):
                place = splitmix64(key + draw)
                backend = table[place % len(table)]
                if place >> 44 < self._kinds[backend.entry.kind].share * (1 << 20):
                    yield backend
            for servers in (self._subset, self._others):
                # The head of the list would get all that finds no other.
                turn = splitmix64(key) % max(1, len(servers))
                yield from servers[turn:]
                yield from servers[:turn]

    def _find_hot_keys(self) -> None:
        total = sum(self._key_counts.values())
        fair = HOT * total / max(1, len(self._subset))
        self._spread = {key: self._spread_by(n, fair) for key, n in self._key_counts.items() if n > fair}
        keep = min(1.0, KEY_MEMORY * len(self._subset) / max(1.0, total))
        self._key_counts = {key: n * keep for key, n in self._key_counts.items() if n * keep >= 0.5}

    def _spread_by(self, count: float, fair: float) -> int:
        """A key that is more than a server's work goes to as many as it needs: all nodes send it to the
        same two, and each node's own load there is too small to tell."""
        return max(1, min(len(self._subset), 1 + ceil(count / fair)))

    def _spread_of(self, key: int) -> int:
        fair = HOT * self._keyed / max(1, len(self._subset))
        if fair >= 1.0:
            return self._spread.get(key, 1)
        # Of a node that has seen next to nothing each key may be hot. Guards against the first second of many
        # nodes: each saw a hot key once, sent it where all the others did, and what jammed then stayed so.
        return self._spread_by(self._key_counts.get(key, 1.0), fair)

    def _share_by_kind(self) -> None:
        """Where the list gives all servers the same weight they may differ all the same, and by far: a node
        sees each too seldom, but its kind often enough. Keys that a kind gives up keep their other places.
        Guards against any lasting difference between groups; wrong only if their reports mislead."""
        kinds = list(self._kinds.values())
        told = min((kind.reports for kind in kinds), default=0) >= KIND_REPORTS
        if not told or len({backend.entry.weight for backend in self._subset}) > 1:
            return
        for kind in kinds:
            kind.share /= max(KIND_LEAST, kind.busy) ** KIND_GAIN
        most = max(kind.share for kind in kinds)
        for kind in kinds:
            kind.share = max(KIND_LEAST, kind.share / most)

    def _measure_rate(self, now: int) -> None:
        warm = (backend.entry for backend in self._subset if self._warmth(now, backend.entry) >= 1.0)
        weight = sum(server.weight for server in warm)
        if weight:
            # Falls slowly: while all warm servers are overdriven they are sent little, and cold ones, whose
            # part is a part of that, would be left idle and never help.
            change = self._sent / weight / PERIOD - self._rate
            self._rate += (1 - RETAINED_WEIGHT if change > 0.0 else RATE_FALLS) * change
        self._sent = 0

    def _load(self, now: int, class_index: int, backend: Backend) -> float:
        """In requests in flight; what the server itself told adds to this node's own. Where new connections
        fail or take long, one that stands is worth a detour."""
        busy = max(0.0, backend.busy - BUSY_ABOVE) / (1.0 - BUSY_ABOVE)
        fullness = round(backend.fullness[class_index], 1)  # no trace may break ties
        load = backend.in_flight + busy + FULL_LOAD_PENALTY * fullness
        if self._connect_failures > CONNECT_LEAST and not self._standing(now, backend):
            load += CONNECT_COUNTS * self._connect_failures
        return load * backend.pace / (backend.entry.weight * self._kinds[backend.entry.kind].share)

    def _usable(self, now: int, backend: Backend) -> bool:
        if backend.ejected_until and (backend.trial or now < backend.ejected_until):
            return False
        warmth = self._warmth(now, backend.entry)
        if warmth >= 1.0:
            return True
        share = self._cold_part(backend) * warmth * self._rate * backend.entry.weight
        backend.tokens = min(COLD_BURST, backend.tokens + share * (now - backend.refilled))
        backend.refilled = now
        return backend.tokens >= 1.0

    def _cold_part(self, backend: Backend) -> float:
        """Of what a warm server takes, for its warmth, which is a lower bound: after a release cold servers
        stood at a third of their cores, while the few warm ones were overdriven with all the rest."""
        multiple = self._settings.fall_multiple
        most = min(COLD_MOST, FALL_PART * multiple) if multiple else COLD_MOST
        if not backend.busy:
            return min(most, COLD_CAUTION)  # no report has come since it started
        return min(most, max(COLD_CAUTION, COLD_CAUTION * BUSY_ABOVE / backend.busy))

    def _warmth(self, now: int, server: api.Server) -> float:
        """The part of its work that a server does at least, by the time since its start."""
        if not server.started:
            return 1.0
        age = max(0, now - server.started) / max(1, self._settings.cold_time)
        return self._settings.cold_share + (1.0 - self._settings.cold_share) * age

    # Connections.

    def _standing(self, now: int, backend: Backend) -> int:
        """The idle time of the connection that an attempt would get; 0 if it would need a new one."""
        idle = now - backend.idle[-1] + 1 if backend.idle else 0
        trusted = self._settings.idle_close
        # Where new ones fare no better, crowded servers are behind it, and handshakes crowd them more.
        if self._distrusted and max(self._connect_failures, self._lost_others) <= self._lost_idle:
            doublings = min(32.0, (now - self._distrusted) / TRUST_DOUBLES)
            trusted = min(trusted, int(self._trusted_idle * 2**doublings))
        return idle if idle <= trusted else 0

    def _connect(self, now: int, backend: Backend) -> int:
        """Connections that are not to be trusted are closed before an attempt: what is sent on one might
        be lost, and may not be sent again. Needless, it costs a handshake."""
        idle = self._standing(now, backend)
        if idle:
            backend.idle.pop()
        elif backend.idle:
            backend.idle.clear()
            self._actions.append(api.CloseIdleConnections(backend.entry.id))
        return idle

    def _note_connection(self, now: int, attempt: Attempt) -> bool:
        """True if the attempt was lost to a connection that had been dropped unseen. That guards against
        any network that forgets idle connections, by reset or silence; it is no fault of the server."""
        lost = attempt.result in (Result.RESET, Result.TIMEOUT)
        if attempt.result is Result.FULL:
            # Perhaps of connections: no server tells how many it takes. Guards against nodes that all keep
            # theirs to one that turns each of them away, for as long as they are kept.
            attempt.backend.idle.clear()
            self._actions.append(api.CloseIdleConnections(attempt.backend.entry.id))
        elif attempt.result in (Result.OK, Result.ERROR, Result.REJECTED):
            attempt.backend.idle.append(now)
        if not attempt.idle:
            failed = attempt.result is Result.CONNECT_FAILED
            self._connect_failures += LOST_WEIGHT * (failed - self._connect_failures)
        if attempt.backend.ejected_until:
            # That server is known to be silent. Guards against its trials, which a node that sees each server
            # seldom has many of, being taken for connections that were dropped: all idle ones were closed.
            return False
        self._unanswered += UNANSWERED_WEIGHT * (lost - self._unanswered)
        if attempt.idle <= IDLE_SURE:
            self._lost_others += LOST_WEIGHT * (lost - self._lost_others)
            return False
        self._lost_idle += LOST_WEIGHT * (lost - self._lost_idle)
        if not lost or self._lost_idle < max(LOST_ABOVE, LOST_TIMES_NEW * self._lost_others):
            return False
        self._trusted_idle, self._distrusted = max(IDLE_SURE, attempt.idle // 2), now
        return True

    # The health of servers.

    def _note_report(self, now: int, backend: Backend, report: tuple[float, ...]) -> None:
        values = dict(zip(self._settings.report_fields, report, strict=False))
        if "utilization" in values:
            busy = min(1.0, max(0.0, values["utilization"]))
            self._note_busy(now, backend, busy)
            if self._warmth(now, backend.entry) >= 1.0:
                self._reports += 1
                self._told += max(TOLD_WEIGHT, 1 / self._reports) * (busy - self._told)

    def _note_busy(self, now: int, backend: Backend, busy: float) -> None:
        kind = self._kinds[backend.entry.kind]
        backend.busy = busy
        if self._warmth(now, backend.entry) < 1.0:
            # It is sent little on purpose. Guards against a kind that looks idle by its cold servers: all the
            # others' keys would go to the one that is warm, and overdrive it.
            return
        kind.reports += "utilization" in self._settings.report_fields
        kind.busy += max(KIND_WEIGHT, 1 / max(1, kind.reports)) * (busy - kind.busy)

    def _judge(self, now: int, backend: Backend, result: Result, class_index: int) -> None:
        if result is Result.TIMEOUT and not backend.ejected_until:
            self._note_busy(now, backend, 1.0)  # the busiest don't answer
        # A full server answers fast and has nothing of ours: by load in flight it would look best.
        if result in (Result.OK, Result.FULL):
            full = backend.fullness[class_index]
            backend.fullness[class_index] += FULL_WEIGHT * ((result is Result.FULL) - full)
        trial, backend.trial = backend.trial, False
        if result in (Result.CANCELLED, Result.NOT_SENT, Result.FULL, Result.REJECTED):
            return
        if result is Result.CONNECT_FAILED and now - backend.answered < ANSWERED_LATELY:
            return  # it serves on standing connections: slow to connect to, not down
        backend.failure_log_odds = min(
            2 * PROOF, max(0.0, backend.failure_log_odds + self._evidence(now, backend, result))
        )
        failed = result is not Result.OK
        if not failed:
            backend.answered = now
        self._fleet_failures += FLEET_WEIGHT * (failed - self._fleet_failures)
        if trial:
            if failed:
                backend.doublings = min(DOUBLINGS, backend.doublings + 1)
                self._eject(now, backend)
            else:
                backend.forgive()
        elif failed and not backend.ejected_until and self._is_outlier(backend, result):
            self._eject(now, backend)

    def _evidence(self, now: int, backend: Backend, result: Result) -> float:
        """What an outcome says of its server: the logarithm of how much likelier it is from a bad one than
        from one like all others. A node of a large fleet sees a server once in seconds and has to go by a
        failure or two; where a tenth of all attempts fail, one alone would leave out a quarter of the list.
        """
        if result is Result.CONNECT_FAILED:
            return PROOF / 2  # no sign of load, however often it happens
        usual = min(max(FLEET_LEAST, self._fleet_failures), FLEET_MOST)
        evidence = log((1.0 - BAD) / (1.0 - usual) if result is Result.OK else BAD / usual)
        if now - backend.answered >= ANSWERED_LATELY:
            return evidence
        # A node that sees a server often can wait for more. One that answers others is slow, not down.
        slow = result is Result.TIMEOUT and now - backend.answered < ANSWERS
        return evidence * (SLOW if slow else OFTEN)

    def _is_outlier(self, backend: Backend, result: Result) -> bool:
        part = UNREACHABLE_PART if result is Result.CONNECT_FAILED else EJECT_PART
        out = sum(1 for other in self._subset if other.ejected_until)
        return backend.failure_log_odds >= PROOF and out + 1 <= part * len(self._subset)

    def _eject(self, now: int, backend: Backend) -> None:
        seldom = min(now - backend.answered, 4 * EJECT_TIME)  # a shorter time would pass without a visit
        backend.ejected_until = now + self._jittered(max(seldom, EJECT_TIME << backend.doublings), 0.5)

    # The list of servers.

    def _follow(self, now: int, update: api.ServerList) -> None:
        if update.kind is ListKind.FAILED:
            self._watching = False
            self._ask_after(now, self._pause_before_call(now))
            return
        if update.kind is not ListKind.CACHED:
            if not self._answered_at:
                self._answered_at = now
            self._watching = True
            self._failed_calls = self._asked = 0
        listed = {server.id: server for server in update.servers}
        if update.kind is not ListKind.DELTA:
            for backend in self._backends.values():
                if backend.entry.id not in listed:
                    backend.entry = backend.entry._replace(state=ServerState.GONE)
        for server in listed.values():
            self._enter(now, server)
        self._rebuild(now)
        if not self._subset and not self._watching and self._settings.list_mode is ListMode.ON_REQUEST:
            self._ask_after(now, ASK_FIRST_PAUSE)  # restarted with nothing to serve from: sooner than others

    def _pause_before_call(self, now: int) -> int:
        """After the end of a watch, or of a call that was not answered; at most."""
        if self._answered_at:
            # Discovery can be reached, and may have ended the watch in place of telling. All nodes lose
            # theirs at once then, and stand in line: a pause adds to the time in which a drain is not known.
            short = now - self._answered_at < WATCH_STANDS
            self._short_watches = min(DOUBLINGS + 1, self._short_watches + 1) if short else 0
            self._answered_at = 0
            return AGAIN_SOON << max(0, self._short_watches - 1)
        pause = min(ASK_FIRST_PAUSE << self._failed_calls, ASK_MOST, self._settings.ask_within)
        waited = now - self._asked if self._asked else 0  # a call without an answer is a pause itself
        self._failed_calls = min(DOUBLINGS, self._failed_calls + 1)
        self._asked = 0
        return max(ASK_LEAST, pause - waited)

    def _ask_after(self, now: int, pause: int) -> None:
        self._actions.append(api.SetTimer(now + self._jittered(pause, 0.5), ASK_TOKEN))

    def _enter(self, now: int, server: api.Server) -> None:
        if not 0.0 < server.weight < inf:  # no figure: as any other; one without end would fill no table
            server = server._replace(weight=1.0)
        backend = self._backends.get(server.id)
        if backend is None:
            # A random first part of a token, so that the nodes' first requests to a cold server spread.
            self._backends[server.id] = Backend(server, self._random.random(), now)
            return
        if server.started != backend.entry.started:
            backend.forgive()
            backend.tokens, backend.refilled, backend.busy = self._random.random(), now, 0.0
        backend.entry = server

    def _rebuild(self, now: int) -> None:
        # Attempts hold their server themselves: gone ones need no place here, and would fill it over months.
        kept = {key: one for key, one in self._backends.items() if one.entry.state is not ServerState.GONE}
        self._backends = kept
        ids = sorted(key for key, one in self._backends.items() if one.entry.state is ServerState.READY)
        classes = self._settings.classes
        answers_within = sum(kind.aim for kind in classes) / len(classes)
        self._parts = parts(self._settings.nodes, answers_within, len(ids))
        mine = members(ids, self._settings.number, self._parts)
        self._subset = [self._backends[key] for key in ids if key in mine]
        self._others = [self._backends[key] for key in ids if key not in mine]
        self._table = self._own_table()
        self._set_caps(now)

    def _own_table(self) -> list[Backend]:
        """The slots of all servers, those of others' servers led on to one of this node's own: nodes go the
        same way from a slot, so a key has the same servers at all that have them in common."""
        table = self._filled_table()
        if not self._others or not self._subset:
            return table
        mine = set(map(id, self._subset))
        first = next((slot for slot, backend in enumerate(table) if id(backend) in mine), None)
        if first is None:
            return self._subset  # too light for a slot
        # Backwards from a slot of its own, so that the next one is known: a stride in a table of prime size
        # comes by every slot.
        backend = table[first]
        for turn in range(1, TABLE_SIZE):
            slot = (first - turn * STRIDE) % TABLE_SIZE
            if id(table[slot]) in mine:
                backend = table[slot]
            else:
                table[slot] = backend
        return table

    def _filled_table(self) -> list[Backend]:
        """Servers take slots in turn, each in its own order, as often as its weight says: even shares,
        and a change of the list moves few keys."""
        if not self._subset:
            return []
        servers = sorted((*self._subset, *self._others), key=lambda one: one.entry.id)
        heaviest = max(backend.entry.weight for backend in servers)
        table: list[Backend | None] = [None] * TABLE_SIZE
        places = [splitmix64(int.from_bytes(backend.entry.id, "little")) for backend in servers]
        steps = [1 + splitmix64(place) % (TABLE_SIZE - 1) for place in places]
        credits = [0.0] * len(places)
        left = TABLE_SIZE
        while left:
            for index, backend in enumerate(servers):
                credits[index] += backend.entry.weight / heaviest
                if credits[index] < 1.0 or not left:
                    continue
                credits[index] -= 1.0
                while table[places[index] % TABLE_SIZE] is not None:
                    places[index] += steps[index]
                table[places[index] % TABLE_SIZE] = backend
                left -= 1
        return [backend for backend in table if backend is not None]
