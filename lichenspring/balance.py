"""All decisions of the balancer. Its events, actions and settings are in interface.py, the adaptive circuit
breaker of one class in breaker.py, and the choice of a node's subset of the servers in subset.py.

A request normally takes this path: the circuit breaker of its class admits or refuses it at once; its key
selects two servers, and the one with fewer of this node's own requests in flight gets it. The rest handles
servers that fail, start, drain or leave, further attempts, and the list of servers.
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
    CENSORED_FACTOR,
    RETAINED_WEIGHT,
    SECOND,
    TARGET_FRACTION,
    UPDATE_PERIOD_NS,
    Breaker,
    InFlight,
    pooled_tail,
)
from lichenspring.interface import NEVER_RAN, Group, ListKind, ListMode, Repeat, Result, ServerState
from lichenspring.subset import REQUESTS_PER_SERVER, splitmix64, subset_count, subset_of

# Admission, in addition to the breaker.
IDLE_UTILIZATION = 0.6  # mean reported share of cores in use below which the target is the aim itself
START_CAP_PER_SERVER = REQUESTS_PER_SERVER  # in flight over all nodes, until a window has data
REPORT_WEIGHT = 1 / 16  # of the newest report in the mean utilization
MIN_REPORTS = 8  # fewer are not used
MIN_REPORTED_UTILIZATION = 0.2  # a lower one is a poor base for extrapolation
CARRIED_LOAD_WEIGHT = 0.25  # of a window in the mean of requests in flight; as slow as the reports are late
MIN_CAP_PER_SERVER = 0.3  # of each class, over all nodes: without samples no cap could rise again
# After this time without an attempt one is always admitted: only that shows that servers recovered.
PROBE_INTERVAL_NS = 5 * SECOND // 2
UNANSWERED_WEIGHT = 0.08  # of the newest attempt in the unanswered share: covers about the last twelve
HIGHER_WORTH_RATIO = 1.2  # by worth per work: above it, a class's threshold also binds the other class
RESERVED_WORTH_RATIO = 2.0  # by worth per work: above it, the other class also leaves room for the class
LESSER_CAP_FRACTION = 0.8  # of a reserving class's threshold
RESUBMITTED_CAP_FRACTION = 0.5  # for a retry that the client marks: part of its aim is already used up
OVER_SHARE_CAP_FRACTION = 0.5  # for a tenant over its share
SHARE_TOLERANCE = 1.2  # of its share, relative to the others' requests, above which a tenant is over it
SHARE_BURST_REQUESTS = 20.0  # credit that a tenant can accumulate

# Servers.
TABLE_SIZE = 2039  # slots; a prime, so that any step visits every slot
TABLE_STRIDE = 701  # slots from one that holds a server outside the subset to the one that replaces it
HOT_KEY_FRACTION = 0.5  # of a server's even share of requests: hotter keys use more than two servers
KEY_HISTORY_PER_SERVER = 6.0  # requests; many, as a small share of the traffic fills it slowly
FULL_WEIGHT = 0.2  # of the newest outcome in a server's share of full answers
FULL_DECAY = 0.95  # per period: a server that is avoided gives no new outcomes
FULL_THRESHOLD = 0.5  # share of full answers above which a server is used only if no other is available
FULL_LOAD_PENALTY = 2.0  # requests in flight added for a server that always answers full
BUSY_UTILIZATION = 0.7  # above it, up to one request in flight is added to a server's load
LATENCY_RATIO_WEIGHT = 0.05  # of the newest response time in a server's ratio
KIND_WEIGHT = 0.1  # of the newest report in the utilization of a kind
KIND_MIN_REPORTS = 3  # fewer are not used
KIND_GAIN = 0.3  # part of the logarithmic distance to equal utilization that a kind's share moves per window
KIND_MIN_SHARE = 0.1
MAX_DRAWS = 12  # slots tried for two usable servers before any usable server is taken
BAD_FAILURES = 0.7  # assumed of a bad server
EJECT_LOG_ODDS = log(10.0)  # that a server is bad and not like the others (CUSUM test, Page, 1954)
# Weights of the evidence: for a server with frequent outcomes, and for a time-out of a server that answers
# other requests.
FREQUENT_OUTCOME_WEIGHT, SLOW_SERVER_WEIGHT = 0.5, 0.25
ANSWERING_WITHIN_NS = SECOND // 2  # since its last answer, for a server that answers other requests
FLEET_FAILURES_WEIGHT = 0.02  # of the newest outcome in the failures of all servers: covers about the last 50
FLEET_FAILURES_MIN, FLEET_FAILURES_MAX = 0.02, 0.5  # what fails everywhere is no server's fault
MAX_EJECTED_FRACTION = 1 / 4  # of the list: ejecting more would overload the rest
MAX_UNREACHABLE_FRACTION = 3 / 4  # the same for failed connections, which are no sign of load
ANSWERED_LATELY_NS = 2 * SECOND  # failed connections to a server that answered since do not count
EJECT_TIME_NS = 2 * SECOND  # doubles with each failed trial
COLD_LOAD = 0.8  # of a warm server's rate: a cold server's keys are cold too and cost more
COLD_LOAD_MAX = 1.6  # the same if its own report shows room: still far from its overload
RATE_DECREASE_WEIGHT = 0.05  # of a window with a lower rate of warm servers
COLD_BURST_REQUESTS = 2.0  # that a cold server's budget can accumulate
FALL_MULTIPLE_FRACTION = 0.54  # of fall_multiple: warm servers may be overloaded, and chance adds to it
IDLE_TRUSTED_NS = SECOND // 4  # a connection that was idle for less is no worse than a new one
LOST_WEIGHT = 0.2  # of the newest attempt in the loss shares of idle and other connections
LOST_THRESHOLD = 0.5  # four losses in a row: idle connections are dropped silently
LOST_MIN_RATIO = 2.0  # to the loss share of other connections: what they lose as well is not due to idling
CONNECT_FAILURES_MIN = 0.1  # share of new connections; a lower one is ignored
CONNECT_LOAD_PENALTY = 8.0  # in flight, added to a server without idle connections if all new ones fail
TRUST_DOUBLING_TIME_NS = 10 * SECOND  # after which the trusted idle time of connections doubles

# Further attempts.
RETRY_BUDGET_RATIO = 0.1  # further attempts earned by each first one
RETRY_BUDGET_MAX = 10.0  # attempts
MAX_WRITE_DELAY_NS = 150 * SECOND // 1000  # after reading the clock; the repeat window is shortened by it
RETRY_MIN_FRACTION = 0.5  # of the typical response time: with less time left nothing is retried

# The list of servers.
WATCH_START_SPREAD = 0.5  # of ask_within: many nodes that start at once spread their calls
WATCH_START_SPREAD_MAX_NS = 5 * SECOND  # a change made before the start must be known 6 s later
WATCH_BACKOFF_NS = SECOND  # doubles with each failed call
WATCH_BACKOFF_MAX_NS = 2 * SECOND  # a change must be known 6 s after discovery is reachable again
WATCH_BACKOFF_MIN_NS = SECOND // 2  # after a call whose own wait used up the back-off
WATCH_REOPEN_DELAY_NS = SECOND // 10  # after an answered watch; doubles while watches keep ending early
WATCH_STABLE_AFTER_NS = SECOND  # since its answer; a watch that ends sooner ended early
MAX_DOUBLINGS = 4  # of the reopening delay and of an ejection

TICK_TOKEN, WATCH_TOKEN, DEFERRED_TOKEN = 1, 2, 3


@dataclass(slots=True, eq=False)
class Backend:
    """What this node knows about one server."""

    server: api.Server
    tokens: float
    refilled_at: int
    in_flight: int = 0
    idle_since: list[int] = field(default_factory=list)  # start of the idle time of each connection
    fullness: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    """Recent share of full answers by class: a server may turn away one class and have room for another."""
    utilization: float = 0.0  # share of cores in use, as last reported
    latency_ratio: float = 1.0  # its response times relative to those typical of their class
    answered_at: int = 0  # time of the last answer
    failure_log_odds: float = 0.0  # that it is bad; 0: no evidence
    ejected_until: int = 0
    doublings: int = 0
    trial: bool = False

    def reset_health(self) -> None:
        """Forgets all evidence of failures, as after a restart of the server."""
        self.failure_log_odds = 0.0
        self.ejected_until = 0
        self.doublings = 0
        self.trial = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at a server."""

    backend: Backend
    sent_at: int
    idle_time: int  # of its connection; 0: a new one
    result: Result | None = None


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that is unanswered or has attempts in flight."""

    request: api.Request
    request_class: api.RequestClass
    expires_at: int
    useful_until: int  # the aim, if later answers are worth nothing
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False
    in_backoff: bool = False  # waits before its next attempt

    def is_over(self) -> bool:
        """Whether the request is closed and all its attempts have ended."""
        return self.closed and all(attempt.result is not None for attempt in self.attempts)

    def attempts_maybe_run(self) -> list[Attempt]:
        """The attempts that a server may have executed."""
        return [attempt for attempt in self.attempts if attempt.result not in NEVER_RAN]

    def may_refuse(self) -> bool:
        """A refusal promises that trying again is harmless."""
        if self.request_class.repeat is Repeat.SAFE or not self.attempts_maybe_run():
            return True
        return (
            self.request_class.repeat is Repeat.KEYED
            and self.request_class.group is Group.ALL
            and self.request.key != 0
        )

    def may_send_to(self, server: api.Server, now: int) -> bool:
        """Whether an attempt can't cause a second effect: a keyed request stays with the servers that drop
        its repeats, for as long as they do."""
        if self.request_class.repeat is Repeat.SAFE:
            return True
        return all(self._drops_repeat(server, earlier, now) for earlier in self.attempts_maybe_run())

    def repeat_window_left(self, now: int) -> int:
        """How long a further attempt may still be written, including its connection set-up; 0: no limit."""
        if self.request_class.repeat is not Repeat.KEYED:
            return 0
        window = self.request_class.window - MAX_WRITE_DELAY_NS
        return min((attempt.sent_at + window - now for attempt in self.attempts_maybe_run()), default=0)

    def _drops_repeat(self, server: api.Server, earlier: Attempt, now: int) -> bool:
        # Without a key no server can recognize the repeat.
        if self.request_class.repeat is not Repeat.KEYED or not self.request.key:
            return False
        if now - earlier.sent_at >= self.request_class.window - MAX_WRITE_DELAY_NS:
            return False
        if self.request_class.group is Group.ZONE:
            return server.zone == earlier.backend.server.zone
        return self.request_class.group is Group.ALL or server.cell == earlier.backend.server.cell


@dataclass(slots=True)
class KindState:
    """What this node knows about the servers of one kind."""

    share: float = 1.0  # of the keys that hash to them, relative to the kind with the most capacity
    utilization: float = 0.0  # mean reported share of cores in use
    report_count: int = 0


@dataclass(slots=True)
class KeyQueue:
    """The requests of one key that run in order: the first is active, the others wait."""

    entries: deque[OpenRequest] = field(default_factory=deque)
    held_until: int = 0  # while an unanswered attempt may still be running


class Balancer:
    """The decisions of one node: timed events in, actions out. It uses no clock and does no I/O."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._breakers = [Breaker(request_class.aim) for request_class in settings.classes]
        self._backends: dict[api.ServerId, Backend] = {}
        self._subset: list[Backend] = []  # the servers that this node uses, in the order of the list
        self._other_backends: list[Backend] = []  # used if no server of the subset is usable
        self._subset_count = 1
        self._table: list[Backend] = []
        self._open_requests: dict[int, OpenRequest] = {}
        self._caps = [0.0] * len(settings.classes)  # requests in flight above which a class is refused
        self._in_flight = InFlight()
        self._last_sent = 0  # time of the newest attempt
        self._carried_load = 0.0  # mean of requests in flight, over the time that reports cover
        self._utilization, self._report_count = 0.0, 0  # recent mean of reports; number of reports
        self._arrivals = 0  # of all tenants
        self._tenant_credits: dict[int, tuple[float, int]] = {}  # credit; arrivals at its last request
        self._deferred: list[tuple[int, int, Callable[[int], None]]] = []  # heap: time, number, callback
        self._deferred_count = 0
        self._lost_idle = self._lost_others = 0.0  # shares of unanswered attempts by connection
        self._unanswered = 0.0  # share of all attempts, over about twelve: five would cut by chance
        self._connect_failures = 0.0  # share of new connections
        self._trusted_idle = self._distrusted_since = 0  # trusted idle time; start of the limit
        self._kinds: defaultdict[int, KindState] = defaultdict(KindState)
        self._key_queues: dict[int, KeyQueue] = {}  # by key
        self._fleet_failures = 0.0
        self._retry_budget = RETRY_BUDGET_MAX
        self._keyed_arrivals = 0
        self._key_counts: dict[int, float] = {}  # by key; older requests decay
        self._hot_spread: dict[int, int] = {}  # hot keys: number of servers each is sent to
        self._warm_sent = 0  # attempts to warm servers in this window
        self._warm_rate = 0.0  # recent attempts per nanosecond and unit of weight of a warm server
        self._watching = False
        self._failed_watches = 0
        self._watch_answered_at = 0  # time of the current watch's answer; 0: none
        self._short_watches = 0  # consecutive watches that ended early
        self._watch_requested_at = 0  # time of the unanswered call; 0: none
        self._actions: list[api.Action] = []

    # Events.

    def start(self, now: int) -> list[api.Action]:
        """The first actions; the cached list follows as an event."""
        # Nodes that start together would lower their caps and probe at the same time: each has its own phase.
        phase = self._jittered(UPDATE_PERIOD_NS, 0.0)
        self._last_sent = now - phase * PROBE_INTERVAL_NS // UPDATE_PERIOD_NS
        actions: list[api.Action] = [api.SetTimer(now + phase, TICK_TOKEN)]
        if self._settings.list_mode is ListMode.ON_REQUEST:
            spread = min(WATCH_START_SPREAD_MAX_NS, int(self._settings.ask_within * WATCH_START_SPREAD))
            actions.append(api.SetTimer(now + self._jittered(spread, 0.0), WATCH_TOKEN))
        return actions

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Takes one event at time `now` (ns) and returns the resulting actions in order."""
        self._actions = []
        while self._deferred and self._deferred[0][0] <= now:
            heappop(self._deferred)[2](now)
        if isinstance(event, api.Request):
            self._on_request(now, event)
        elif isinstance(event, api.Outcome):
            self._on_outcome(now, event)
        elif isinstance(event, api.Timer):
            self._on_timer(now, event.token)
        elif isinstance(event, api.ServerList):
            self._on_server_list(now, event)
        elif isinstance(event, api.ClientGone):
            self._on_client_gone(now, event.request)
        elif isinstance(event, api.Hedge):
            self._on_hedge(now, event.request)
        return self._actions

    def _jittered(self, span: int, min_fraction: float) -> int:
        return int(span * self._random.uniform(min_fraction, 1.0))

    def _defer(self, at: int, callback: Callable[[int], None]) -> None:
        """Runs `callback` at the first event from `at` on. If none may come, the caller also sets a timer."""
        self._deferred_count += 1
        heappush(self._deferred, (at, self._deferred_count, callback))

    def _on_timer(self, now: int, token: int) -> None:
        if token == TICK_TOKEN:
            self._in_flight.add(now, 0)
            capacity, pooled = self._capacity(now), pooled_tail(self._breakers)
            for breaker in self._breakers:
                breaker.update(self._in_flight.mean / capacity, START_CAP_PER_SERVER, self._is_idle(), pooled)
            self._carried_load += CARRIED_LOAD_WEIGHT * (self._in_flight.mean - self._carried_load)
            self._set_caps(now)
            for backend in self._subset:
                for index in backend.fullness:
                    backend.fullness[index] *= FULL_DECAY
            self._find_hot_keys()
            self._update_kind_shares()
            self._update_warm_rate(now)
            self._actions.append(api.SetTimer(now + UPDATE_PERIOD_NS, TICK_TOKEN))
        elif token == WATCH_TOKEN and not self._watching:
            self._watching = True  # set before the call; a failure resets it
            self._watch_requested_at = now
            self._actions.append(api.Watch())

    # Admission.

    def _is_idle(self) -> bool:
        """Whether the servers' reports show that long response times are not due to load. Reports are late,
        so the aim itself still applies."""
        reported = [
            backend.utilization
            for backend in self._subset
            if backend.utilization and "utilization" in self._settings.report_fields
        ]
        return bool(reported) and sum(reported) < IDLE_UTILIZATION * len(reported)

    def _capacity(self, now: int) -> float:
        """How many warm servers this node's share of the traffic has. Cold servers count by their
        capacity fraction and ejected ones not at all: after a release or the loss of a zone the list holds
        more servers than can serve, and a cap learned before would overload the rest."""
        capacity = sum(
            self._capacity_fraction(now, backend.server)
            for backend in self._subset
            if not backend.ejected_until
        )
        return max(1.0, capacity) * self._subset_count / self._settings.nodes

    def _set_caps(self, now: int) -> None:
        """A class is capped by its own threshold and by those of classes that are worth more. All caps fall
        if fewer than half of all attempts are answered, so that overloaded servers can recover."""
        scale = min(1.0, 2.0 * (1.0 - self._unanswered))
        capacity = self._capacity(now)
        full_load_cap = max(capacity * START_CAP_PER_SERVER, self._full_load())
        thresholds = [
            min(full_load_cap, capacity * breaker.threshold(START_CAP_PER_SERVER))
            for breaker in self._breakers
        ]
        values = [self._worth_per_work(index) for index in range(len(thresholds))]
        for index, own_threshold in enumerate(thresholds):
            above = [
                (LESSER_CAP_FRACTION if value > RESERVED_WORTH_RATIO * values[index] else 1.0) * other
                for other, value in zip(thresholds, values, strict=True)
                if value > HIGHER_WORTH_RATIO * values[index]
            ]
            self._caps[index] = scale * min([own_threshold, *above])

    def _full_load(self) -> float:
        """Requests in flight at which the lesser classes would use all cores, extrapolated from the carried
        load by the reported utilization. Each report is from another server, so a node with only three
        requests in flight still knows the mean well. Without this limit, caps rise while load is low and
        response times are far below the target, and then admit a burst that overloads the servers."""
        if self._report_count < MIN_REPORTS:
            return inf
        return self._carried_load / max(MIN_REPORTED_UTILIZATION, self._utilization) / LESSER_CAP_FRACTION

    def _admits(self, now: int, request: api.Request) -> bool:
        fraction = OVER_SHARE_CAP_FRACTION if self._is_over_share(request.tenant) else 1.0
        if request.limits is not None:
            fraction *= request.limits.cap_fraction
        if now - self._last_sent >= PROBE_INTERVAL_NS:
            return True
        return self._has_room(
            now, request, fraction * RESUBMITTED_CAP_FRACTION if request.resubmitted else fraction
        )

    def _has_room(self, now: int, request: api.Request, fraction: float = 1.0) -> bool:
        min_cap = MIN_CAP_PER_SERVER * len(self._subset) * self._subset_count / self._settings.nodes
        class_in_flight = self._breakers[request.class_index].in_flight
        cap = fraction * self._caps[request.class_index]
        return self._in_flight.is_below(now, cap) or class_in_flight.is_below(now, min_cap)

    def _is_over_share(self, tenant: int) -> bool:
        """Compares with the other tenants' requests at this node, so that neither the node's share of all
        traffic nor the size of the tenant's own surge matters."""
        if tenant >= len(self._settings.tenants):
            return False
        self._arrivals += 1
        share = min(0.99, self._settings.tenants[tenant].share)
        credit, previous_arrivals = self._tenant_credits.get(tenant, (SHARE_BURST_REQUESTS, 0))
        other_arrivals = self._arrivals - 1 - previous_arrivals
        credit = min(SHARE_BURST_REQUESTS, credit + SHARE_TOLERANCE * share / (1.0 - share) * other_arrivals)
        is_over = credit < 1.0
        self._tenant_credits[tenant] = (credit if is_over else credit - 1.0, self._arrivals)
        return is_over

    def _worth_per_work(self, index: int) -> float:
        """The worth of a class for one unit of its work."""
        worth = self._settings.classes[index].worth
        return worth if self._settings.worth_by_work else worth / max(1.0, self._breakers[index].typical_time)

    # Requests.

    def _on_request(self, now: int, request: api.Request) -> None:
        request_class = self._settings.classes[request.class_index]
        if request.key:
            self._key_counts[request.key] = self._key_counts.get(request.key, 0) + 1
            self._keyed_arrivals += 1
        expires = now + request.time_left
        open_request = OpenRequest(
            request,
            request_class,
            expires,
            expires if request_class.late_worth else min(expires, now + request_class.aim),
        )
        send = self._enqueue_in_order if request_class.in_order and request.key else self._send_first
        if not self._admits(now, request) or not send(now, open_request):
            self._refuse(open_request)

    def _send_first(self, now: int, open_request: OpenRequest) -> bool:
        backend = self._choose(now, open_request) or self._choose_probe(now)
        if backend is None:
            return False
        self._retry_budget = min(RETRY_BUDGET_MAX, self._retry_budget + RETRY_BUDGET_RATIO)
        self._open_requests[open_request.request.id] = open_request
        self._send(now, open_request, backend)
        return True

    def _send(self, now: int, open_request: OpenRequest, backend: Backend) -> None:
        begin_within = open_request.repeat_window_left(now)
        self._last_sent = now
        open_request.attempts.append(Attempt(backend, now, self._take_connection(now, backend)))
        backend.in_flight += 1
        backend.trial = backend.ejected_until > 0
        if self._capacity_fraction(now, backend.server) < 1.0:
            backend.tokens -= 1.0
        else:
            self._warm_sent += 1
        self._in_flight.add(now, 1)
        self._breakers[open_request.request.class_index].in_flight.add(now, 1)
        time_out, first_byte = max(1, open_request.useful_until - now), 0
        limits = open_request.request.limits
        if limits is not None:
            time_out, first_byte = min(time_out, limits.time_out or time_out), limits.first_byte
        self._actions.append(
            api.Send(open_request.request.id, backend.server.id, time_out, first_byte, begin_within)
        )

    def _on_outcome(self, now: int, outcome: api.Outcome) -> None:
        open_request = self._open_requests.get(outcome.request)
        if open_request is None or outcome.attempt >= len(open_request.attempts):
            return
        attempt = open_request.attempts[outcome.attempt]
        if attempt.result is not None:
            return
        attempt.result = outcome.result
        self._hold_key(now, open_request, outcome.result)
        # An attempt that was lost on a dropped connection says no more about its server than a cancelled one
        # does, nor does a time-out before an answer could be expected: a further attempt may have little time
        # left.
        min_wait = min(self._typical(open_request), TARGET_FRACTION * open_request.request_class.aim)
        premature = outcome.result is Result.TIMEOUT and outcome.elapsed < min_wait
        result = Result.CANCELLED if self._record_connection(now, attempt) or premature else outcome.result
        # If servers report, only a report marks one as idle: an answer may come without one.
        if outcome.result is Result.OK and "utilization" not in self._settings.report_fields:
            attempt.backend.utilization = 0.0
        self._record_report(now, attempt.backend, outcome.report)
        if outcome.result is Result.TIMEOUT and not attempt.backend.ejected_until:
            release_at = now + min(outcome.elapsed, open_request.request_class.aim)
            # A server may still work on a request that timed out: if it stopped counting as load at once,
            # another request would be sent in its place.
            self._defer(release_at, partial(self._release, attempt.backend, open_request))
        else:
            self._release(attempt.backend, open_request, now)
        self._record_health(now, attempt.backend, result, open_request.request.class_index)
        open_request.closed |= outcome.closed
        is_pending = not open_request.closed and self._retry_or_wait(now, open_request, outcome)
        if result is outcome.result:
            self._add_sample(now, open_request, attempt, outcome.elapsed, is_pending)
        if not open_request.closed and not is_pending:
            self._finish(open_request)
        self._remove_if_over(now, open_request)

    def _typical(self, open_request: OpenRequest) -> float:
        return self._breakers[open_request.request.class_index].typical_time

    def _add_sample(
        self, now: int, open_request: OpenRequest, attempt: Attempt, elapsed: int, is_pending: bool
    ) -> None:
        if attempt.backend.ejected_until or self._capacity_fraction(now, attempt.backend.server) < 1.0:
            return  # silent or cold servers would close the breaker for all the others
        breaker = self._breakers[open_request.request.class_index]
        if attempt.result is Result.OK:
            breaker.window.answered.append(elapsed)
            attempt.backend.latency_ratio += LATENCY_RATIO_WEIGHT * (
                elapsed / breaker.typical_time - attempt.backend.latency_ratio
            )
        elif attempt.result is Result.TIMEOUT:
            breaker.window.timed_out.append(elapsed)
        elif attempt.result is Result.FULL and not is_pending:  # a fast failure, but no sign of a fast server
            breaker.window.answered.append(CENSORED_FACTOR * open_request.request_class.aim)

    def _release(self, backend: Backend, open_request: OpenRequest, now: int) -> None:
        backend.in_flight -= 1
        self._in_flight.add(now, -1)
        self._breakers[open_request.request.class_index].in_flight.add(now, -1)

    def _retry_or_wait(self, now: int, open_request: OpenRequest, outcome: api.Outcome) -> bool:
        """True if no final answer is needed yet: the request is sent again, waits, or is still in flight."""
        if open_request.in_backoff or any(attempt.result is None for attempt in open_request.attempts):
            return True
        limits = open_request.request.limits
        if limits is None:
            return self._may_attempt(now, open_request) and self._retry(now, open_request, outcome.result)
        wait = min(limits.backoff << min(32, len(open_request.attempts) - 1), limits.max_backoff)
        wait -= int(limits.jitter * wait * self._random.random()) if wait else 0
        may_retry = (
            outcome.may_retry
            and outcome.result in limits.retry_on
            and self._may_attempt(now + wait, open_request)
        )
        if not may_retry or not wait:
            return may_retry and self._retry(now, open_request, outcome.result)
        open_request.in_backoff = True
        self._defer(now + wait, partial(self._retry_after_backoff, open_request, outcome.result))
        self._actions.append(api.SetTimer(now + wait, DEFERRED_TOKEN))
        return True

    def _retry_after_backoff(self, open_request: OpenRequest, result: Result, now: int) -> None:
        open_request.in_backoff = False
        if not open_request.closed and not (
            self._may_attempt(now, open_request) and self._retry(now, open_request, result)
        ):
            self._finish(open_request)
            self._remove_if_over(now, open_request)

    def _may_attempt(self, now: int, open_request: OpenRequest) -> bool:
        """Whether the remaining time and the number of attempts allow another one."""
        limits = open_request.request.limits
        max_attempts = self._settings.max_attempts
        max_attempts = max_attempts if limits is None else min(max_attempts, limits.max_attempts)
        return (
            open_request.useful_until - now > RETRY_MIN_FRACTION * self._typical(open_request)
            and len(open_request.attempts) < max_attempts
        )

    def _on_hedge(self, now: int, request: int) -> None:
        """Never sends the copy to a cold box, as another server already does the same work."""
        open_request = self._open_requests.get(request)
        if (
            open_request is None
            or open_request.closed
            or open_request.in_backoff
            or open_request.request_class.repeat is not Repeat.SAFE
        ):
            return
        attempts_in_flight = sum(attempt.result is None for attempt in open_request.attempts)
        backend = (
            self._choose(now, open_request, warm=True)
            if attempts_in_flight == 1 and self._may_attempt(now, open_request)
            else None
        )
        if backend is not None:
            self._send(now, open_request, backend)

    def _retry(self, now: int, open_request: OpenRequest, result: Result) -> bool:
        cost = 0.0 if result is Result.CONNECT_FAILED else 1.0  # a failed connection adds no load
        if self._retry_budget < cost:
            return False
        backend = self._choose(now, open_request)
        if backend is None:
            return False
        self._retry_budget -= cost
        self._send(now, open_request, backend)
        return True

    def _finish(self, open_request: OpenRequest) -> None:
        open_request.closed = True
        if open_request.may_refuse():
            self._refuse(open_request)
        else:
            self._actions.append(api.Fail(open_request.request.id))

    def _refuse(self, open_request: OpenRequest) -> None:
        wait = (
            min(open_request.request_class.aim, self._settings.max_retry_after)
            if self._settings.retry_after
            else 0
        )
        self._actions.append(api.Refuse(open_request.request.id, wait))

    def _on_client_gone(self, now: int, request: int) -> None:
        open_request = self._open_requests.get(request)
        if open_request is not None:
            open_request.closed = True
            self._remove_if_over(now, open_request)

    def _remove_if_over(self, now: int, open_request: OpenRequest) -> None:
        if open_request.is_over():
            del self._open_requests[open_request.request.id]
            if open_request.request.key in self._key_queues:
                self._advance_key_queue(open_request.request.key, now)

    # Requests in order of their key.

    def _enqueue_in_order(self, now: int, open_request: OpenRequest) -> bool:
        """Starts the key's request, or queues it if its turn comes in time. A refused client may go to
        another node, which has its own queue for this key."""
        key = open_request.request.key
        queue = self._key_queues.get(key)
        if queue is None:
            if not self._send_first(now, open_request):
                return False
            self._key_queues[key] = queue = KeyQueue()
        else:
            typical = int(self._typical(open_request))
            ahead = sum(1 for other in queue.entries if not other.closed) * typical
            latest = open_request.useful_until - typical
            if max(now, queue.held_until) + ahead > latest:
                return False
            self._open_requests[open_request.request.id] = open_request
            self._defer(latest, partial(self._expire_queued, open_request))
            self._actions.append(api.SetTimer(latest, DEFERRED_TOKEN))
        queue.entries.append(open_request)
        return True

    def _expire_queued(self, open_request: OpenRequest, now: int) -> None:
        if not open_request.attempts and not open_request.closed:
            self._finish(open_request)
            self._remove_if_over(now, open_request)

    def _hold_key(self, now: int, open_request: OpenRequest, result: Result) -> None:
        """An attempt without an answer may still be running, so the key's next request is delayed."""
        queue = (
            self._key_queues.get(open_request.request.key) if open_request.request_class.in_order else None
        )
        if queue is not None and result in (Result.TIMEOUT, Result.RESET, Result.CANCELLED):
            queue.held_until = now + self._settings.key_rest

    def _advance_key_queue(self, key: int, now: int) -> None:
        """Sends the first waiting request once all before it are over; removes an empty queue."""
        queue = self._key_queues.get(key)
        while queue is not None:
            while queue.entries and queue.entries[0].is_over():
                queue.entries.popleft()
            if queue.entries and queue.entries[0].attempts:
                return
            if now < queue.held_until:
                self._defer(queue.held_until, partial(self._advance_key_queue, key))
                self._actions.append(api.SetTimer(queue.held_until, DEFERRED_TOKEN))
                return
            if not queue.entries:
                del self._key_queues[key]
                return
            first = queue.entries[0]
            if self._has_room(now, first.request) and self._send_first(now, first):
                return
            self._finish(first)
            del self._open_requests[first.request.id]

    # Choice of a server.

    def _choose(self, now: int, open_request: OpenRequest, warm: bool = False) -> Backend | None:
        tried = [attempt.backend for attempt in open_request.attempts]
        # After a failed connection any server with an idle connection is better than the less loaded of two.
        unconnected = bool(tried) and open_request.attempts[-1].result is Result.CONNECT_FAILED
        pair: list[Backend] = []
        full: list[Backend] = []
        for backend in self._candidates(open_request):
            if backend in (*pair, *full, *tried) or not open_request.may_send_to(backend.server, now):
                continue
            if self._is_usable(now, backend) and not (
                warm and self._capacity_fraction(now, backend.server) < 1.0
            ):
                is_full = backend.fullness[open_request.request.class_index] > FULL_THRESHOLD
                (full if is_full else pair).append(backend)
            if len(pair) == (MAX_DRAWS if unconnected else 2):
                break
        return min(pair or full, key=partial(self._load, now, open_request.request.class_index), default=None)

    def _choose_probe(self, now: int) -> Backend | None:
        """For a node without a rate of warm servers, from which the budgets of cold ones follow: at
        intervals, the server whose budget is least overdrawn. Without it, a fleet that starts together with
        all of its servers sends them nothing until they are warm."""
        if self._warm_rate or now - self._last_sent < PROBE_INTERVAL_NS:
            return None
        available = [
            backend for backend in (*self._subset, *self._other_backends) if not backend.ejected_until
        ]
        return max(available, key=lambda backend: backend.tokens) if available else None

    def _candidates(self, open_request: OpenRequest) -> Iterator[Backend]:
        """Servers in the order of this request's preference; may repeat."""
        if table := self._table:
            key = open_request.request.key or self._random.getrandbits(64)
            first = self._random.randrange(self._key_spread(key) if open_request.request.key else 1)
            for draw in range(first, first + MAX_DRAWS):
                key_hash = splitmix64(key + draw)
                backend = table[key_hash % len(table)]
                if key_hash >> 44 < self._kinds[backend.server.kind].share * (1 << 20):
                    yield backend
            for servers in (self._subset, self._other_backends):
                # Otherwise the first servers of the list would get all requests that find no other.
                offset = splitmix64(key) % max(1, len(servers))
                yield from servers[offset:]
                yield from servers[:offset]

    def _find_hot_keys(self) -> None:
        total = sum(self._key_counts.values())
        hot_threshold = HOT_KEY_FRACTION * total / max(1, len(self._subset))
        self._hot_spread = {
            key: self._spread_for(count, hot_threshold)
            for key, count in self._key_counts.items()
            if count > hot_threshold
        }
        retained_fraction = min(1.0, KEY_HISTORY_PER_SERVER * len(self._subset) / max(1.0, total))
        self._key_counts = {
            key: count * retained_fraction
            for key, count in self._key_counts.items()
            if count * retained_fraction >= 0.5
        }

    def _spread_for(self, count: float, hot_threshold: float) -> int:
        """A key with more work than one server can do is spread over as many as it needs: all nodes send it
        to the same two, and each node's own load there is too small to show it."""
        return max(1, min(len(self._subset), 1 + ceil(count / hot_threshold)))

    def _key_spread(self, key: int) -> int:
        hot_threshold = HOT_KEY_FRACTION * self._keyed_arrivals / max(1, len(self._subset))
        if hot_threshold >= 1.0:
            return self._hot_spread.get(key, 1)
        # For a node that has seen few requests any key may be hot. Otherwise all nodes of a fleet that starts
        # send a hot key, which each has seen once, to the same servers, which become overloaded and stay so.
        return self._spread_for(self._key_counts.get(key, 1.0), hot_threshold)

    def _update_kind_shares(self) -> None:
        """Moves keys from busier to less busy kinds of machine if the list gives all servers the same weight.
        A node sees each server too seldom to compare them, but each kind often enough. Keys that a kind gives
        up keep their other servers. Relies on the servers' reports being right."""
        kinds = list(self._kinds.values())
        reported = min((kind.report_count for kind in kinds), default=0) >= KIND_MIN_REPORTS
        if not reported or len({backend.server.weight for backend in self._subset}) > 1:
            return
        for kind in kinds:
            kind.share /= max(KIND_MIN_SHARE, kind.utilization) ** KIND_GAIN
        max_share = max(kind.share for kind in kinds)
        for kind in kinds:
            kind.share = max(KIND_MIN_SHARE, kind.share / max_share)

    def _update_warm_rate(self, now: int) -> None:
        warm = (
            backend.server for backend in self._subset if self._capacity_fraction(now, backend.server) >= 1.0
        )
        weight = sum(server.weight for server in warm)
        if weight:
            # Decreases slowly: while all warm servers are overloaded they are sent little, and cold ones,
            # whose budget is a part of that, would stay idle and never help.
            change = self._warm_sent / weight / UPDATE_PERIOD_NS - self._warm_rate
            self._warm_rate += (1 - RETAINED_WEIGHT if change > 0.0 else RATE_DECREASE_WEIGHT) * change
        self._warm_sent = 0

    def _load(self, now: int, class_index: int, backend: Backend) -> float:
        """The load of a server, in requests in flight: this node's own requests, plus a part for what the
        server reported. If new connections fail or are slow, a server with an idle connection is
        preferred."""
        utilization_load = max(0.0, backend.utilization - BUSY_UTILIZATION) / (1.0 - BUSY_UTILIZATION)
        fullness = round(backend.fullness[class_index], 1)  # remainders must not break ties
        load = backend.in_flight + utilization_load + FULL_LOAD_PENALTY * fullness
        if self._connect_failures > CONNECT_FAILURES_MIN and not self._reusable_idle_time(now, backend):
            load += CONNECT_LOAD_PENALTY * self._connect_failures
        return load * backend.latency_ratio / (backend.server.weight * self._kinds[backend.server.kind].share)

    def _is_usable(self, now: int, backend: Backend) -> bool:
        if backend.ejected_until and (backend.trial or now < backend.ejected_until):
            return False
        capacity_fraction = self._capacity_fraction(now, backend.server)
        if capacity_fraction >= 1.0:
            return True
        token_rate = (
            self._cold_load_fraction(backend) * capacity_fraction * self._warm_rate * backend.server.weight
        )
        backend.tokens = min(COLD_BURST_REQUESTS, backend.tokens + token_rate * (now - backend.refilled_at))
        backend.refilled_at = now
        return backend.tokens >= 1.0

    def _cold_load_fraction(self, backend: Backend) -> float:
        """The part of a warm server's rate that a cold server is sent, before it is multiplied by the
        server's capacity fraction. That fraction is a lower bound: after a release, cold servers would
        otherwise use a third of their cores while the few warm ones are overloaded."""
        multiple = self._settings.fall_multiple
        max_fraction = min(COLD_LOAD_MAX, FALL_MULTIPLE_FRACTION * multiple) if multiple else COLD_LOAD_MAX
        if not backend.utilization:
            return min(max_fraction, COLD_LOAD)  # no report since its start
        return min(max_fraction, max(COLD_LOAD, COLD_LOAD * BUSY_UTILIZATION / backend.utilization))

    def _capacity_fraction(self, now: int, server: api.Server) -> float:
        """The part of its full work that a server can do at least, by the time since its start."""
        if not server.started:
            return 1.0
        age = max(0, now - server.started) / max(1, self._settings.cold_time)
        return self._settings.cold_share + (1.0 - self._settings.cold_share) * age

    # Connections.

    def _reusable_idle_time(self, now: int, backend: Backend) -> int:
        """The idle time of the connection that an attempt would reuse; 0 if it needs a new one."""
        idle = now - backend.idle_since[-1] + 1 if backend.idle_since else 0
        trusted = self._settings.idle_close
        # If new connections do no better, the cause is overloaded servers, and handshakes would add load.
        if self._distrusted_since and max(self._connect_failures, self._lost_others) <= self._lost_idle:
            doublings = min(32.0, (now - self._distrusted_since) / TRUST_DOUBLING_TIME_NS)
            trusted = min(trusted, int(self._trusted_idle * 2**doublings))
        return idle if idle <= trusted else 0

    def _take_connection(self, now: int, backend: Backend) -> int:
        """Closes idle connections that are not trusted before an attempt: what is sent on a dropped one is
        lost and may not be repeatable. A needless close costs one handshake."""
        idle = self._reusable_idle_time(now, backend)
        if idle:
            backend.idle_since.pop()
        elif backend.idle_since:
            backend.idle_since.clear()
            self._actions.append(api.CloseIdleConnections(backend.server.id))
        return idle

    def _record_connection(self, now: int, attempt: Attempt) -> bool:
        """True if the attempt was lost on an idle connection that had been dropped silently, by the network
        or a reset, which is no fault of the server."""
        lost = attempt.result in (Result.RESET, Result.TIMEOUT)
        if attempt.result is Result.FULL:
            # It may be full of connections, as no server tells its limit. If all nodes kept theirs, it would
            # go on turning requests away.
            attempt.backend.idle_since.clear()
            self._actions.append(api.CloseIdleConnections(attempt.backend.server.id))
        elif attempt.result in (Result.OK, Result.ERROR, Result.REJECTED):
            attempt.backend.idle_since.append(now)
        if not attempt.idle_time:
            failed = attempt.result is Result.CONNECT_FAILED
            self._connect_failures += LOST_WEIGHT * (failed - self._connect_failures)
        if attempt.backend.ejected_until:
            # That server is known to be silent. A node that sees each server seldom makes many such trials;
            # if they counted as dropped connections, it would close all idle ones.
            return False
        self._unanswered += UNANSWERED_WEIGHT * (lost - self._unanswered)
        if attempt.idle_time <= IDLE_TRUSTED_NS:
            self._lost_others += LOST_WEIGHT * (lost - self._lost_others)
            return False
        self._lost_idle += LOST_WEIGHT * (lost - self._lost_idle)
        if not lost or self._lost_idle < max(LOST_THRESHOLD, LOST_MIN_RATIO * self._lost_others):
            return False
        self._trusted_idle, self._distrusted_since = max(IDLE_TRUSTED_NS, attempt.idle_time // 2), now
        return True

    # Health of servers.

    def _record_report(self, now: int, backend: Backend, report: tuple[float, ...]) -> None:
        values = dict(zip(self._settings.report_fields, report, strict=False))
        if "utilization" in values:
            utilization = min(1.0, max(0.0, values["utilization"]))
            self._record_utilization(now, backend, utilization)
            if self._capacity_fraction(now, backend.server) >= 1.0:
                self._report_count += 1
                self._utilization += max(REPORT_WEIGHT, 1 / self._report_count) * (
                    utilization - self._utilization
                )

    def _record_utilization(self, now: int, backend: Backend, utilization: float) -> None:
        kind = self._kinds[backend.server.kind]
        backend.utilization = utilization
        if self._capacity_fraction(now, backend.server) < 1.0:
            # A cold server is sent little on purpose. If it counted, its kind would look idle, and the keys
            # of other kinds would overload its warm servers.
            return
        kind.report_count += "utilization" in self._settings.report_fields
        kind.utilization += max(KIND_WEIGHT, 1 / max(1, kind.report_count)) * (utilization - kind.utilization)

    def _record_health(self, now: int, backend: Backend, result: Result, class_index: int) -> None:
        if result is Result.TIMEOUT and not backend.ejected_until:
            self._record_utilization(now, backend, 1.0)  # the busiest servers don't answer
        # A full server answers fast and has none of our requests: by load in flight it would look best.
        if result in (Result.OK, Result.FULL):
            full = backend.fullness[class_index]
            backend.fullness[class_index] += FULL_WEIGHT * ((result is Result.FULL) - full)
        trial, backend.trial = backend.trial, False
        if result in (Result.CANCELLED, Result.NOT_SENT, Result.FULL, Result.REJECTED):
            return
        if result is Result.CONNECT_FAILED and now - backend.answered_at < ANSWERED_LATELY_NS:
            return  # it still serves on open connections: slow to connect to, not down
        backend.failure_log_odds = min(
            2 * EJECT_LOG_ODDS, max(0.0, backend.failure_log_odds + self._evidence(now, backend, result))
        )
        failed = result is not Result.OK
        if not failed:
            backend.answered_at = now
        self._fleet_failures += FLEET_FAILURES_WEIGHT * (failed - self._fleet_failures)
        if trial:
            if failed:
                backend.doublings = min(MAX_DOUBLINGS, backend.doublings + 1)
                self._eject(now, backend)
            else:
                backend.reset_health()
        elif failed and not backend.ejected_until and self._is_outlier(backend, result):
            self._eject(now, backend)

    def _evidence(self, now: int, backend: Backend, result: Result) -> float:
        """The logarithm of the likelihood ratio of an outcome, for a bad server against one like all others.
        A node of a large fleet sees a server once in seconds and must decide by one or two failures; if a
        tenth of all attempts fail, a single failure must not eject, or a quarter of the list would be out."""
        if result is Result.CONNECT_FAILED:
            return EJECT_LOG_ODDS / 2  # no sign of load, however often it happens
        fleet_failures = min(max(FLEET_FAILURES_MIN, self._fleet_failures), FLEET_FAILURES_MAX)
        evidence = log(
            (1.0 - BAD_FAILURES) / (1.0 - fleet_failures)
            if result is Result.OK
            else BAD_FAILURES / fleet_failures
        )
        if now - backend.answered_at >= ANSWERED_LATELY_NS:
            return evidence
        # A node that sees a server often can wait for more evidence. One that answers other requests is slow,
        # not down.
        slow = result is Result.TIMEOUT and now - backend.answered_at < ANSWERING_WITHIN_NS
        return evidence * (SLOW_SERVER_WEIGHT if slow else FREQUENT_OUTCOME_WEIGHT)

    def _is_outlier(self, backend: Backend, result: Result) -> bool:
        fraction = MAX_UNREACHABLE_FRACTION if result is Result.CONNECT_FAILED else MAX_EJECTED_FRACTION
        ejected_count = sum(1 for other in self._subset if other.ejected_until)
        return backend.failure_log_odds >= EJECT_LOG_ODDS and ejected_count + 1 <= fraction * len(
            self._subset
        )

    def _eject(self, now: int, backend: Backend) -> None:
        # Ejects the server for as long as it has not answered, within bounds.
        time_since_answer = min(now - backend.answered_at, 4 * EJECT_TIME_NS)
        backend.ejected_until = now + self._jittered(
            max(time_since_answer, EJECT_TIME_NS << backend.doublings), 0.5
        )

    # The list of servers.

    def _on_server_list(self, now: int, update: api.ServerList) -> None:
        if update.kind is ListKind.FAILED:
            self._watching = False
            self._schedule_watch(now, self._watch_delay(now))
            return
        if update.kind is not ListKind.CACHED:
            if not self._watch_answered_at:
                self._watch_answered_at = now
            self._watching = True
            self._failed_watches = self._watch_requested_at = 0
        listed = {server.id: server for server in update.servers}
        if update.kind is not ListKind.DELTA:
            for backend in self._backends.values():
                if backend.server.id not in listed:
                    backend.server = backend.server._replace(state=ServerState.GONE)
        for server in listed.values():
            self._update_server(now, server)
        self._rebuild_subset(now)
        if not self._subset and not self._watching and self._settings.list_mode is ListMode.ON_REQUEST:
            self._schedule_watch(now, WATCH_BACKOFF_NS)  # no servers after a restart: ask sooner

    def _watch_delay(self, now: int) -> int:
        """Longest delay after the end of a watch or after a call that was not answered."""
        if self._watch_answered_at:
            # Discovery is reachable and may have ended the watch instead of sending a change. All nodes then
            # lose their watches at once and queue up: a delay adds to the time in which a drain is unknown.
            short = now - self._watch_answered_at < WATCH_STABLE_AFTER_NS
            self._short_watches = min(MAX_DOUBLINGS + 1, self._short_watches + 1) if short else 0
            self._watch_answered_at = 0
            return WATCH_REOPEN_DELAY_NS << max(0, self._short_watches - 1)
        pause = min(WATCH_BACKOFF_NS << self._failed_watches, WATCH_BACKOFF_MAX_NS, self._settings.ask_within)
        # An unanswered call counts as pause.
        waited = now - self._watch_requested_at if self._watch_requested_at else 0
        self._failed_watches = min(MAX_DOUBLINGS, self._failed_watches + 1)
        self._watch_requested_at = 0
        return max(WATCH_BACKOFF_MIN_NS, pause - waited)

    def _schedule_watch(self, now: int, pause: int) -> None:
        self._actions.append(api.SetTimer(now + self._jittered(pause, 0.5), WATCH_TOKEN))

    def _update_server(self, now: int, server: api.Server) -> None:
        if not 0.0 < server.weight < inf:  # infinite weights can't fill the table
            server = server._replace(weight=1.0)
        backend = self._backends.get(server.id)
        if backend is None:
            # A random initial token fraction spreads the nodes' first requests to a cold server.
            self._backends[server.id] = Backend(server, self._random.random(), now)
            return
        if server.started != backend.server.started:
            backend.reset_health()
            backend.tokens, backend.refilled_at, backend.utilization = self._random.random(), now, 0.0
        backend.server = server

    def _rebuild_subset(self, now: int) -> None:
        # Attempts refer to their backend themselves, so servers that are gone are removed here, as they would
        # accumulate over months.
        remaining = {
            key: backend
            for key, backend in self._backends.items()
            if backend.server.state is not ServerState.GONE
        }
        self._backends = remaining
        ids = sorted(
            key for key, backend in self._backends.items() if backend.server.state is ServerState.READY
        )
        classes = self._settings.classes
        answers_within = sum(request_class.aim for request_class in classes) / len(classes)
        self._subset_count = subset_count(self._settings.nodes, answers_within, len(ids))
        subset_ids = subset_of(ids, self._settings.number, self._subset_count)
        self._subset = [self._backends[key] for key in ids if key in subset_ids]
        self._other_backends = [self._backends[key] for key in ids if key not in subset_ids]
        self._table = self._subset_table()
        self._set_caps(now)

    def _subset_table(self) -> list[Backend]:
        """The slots of all servers, where those of servers outside the subset are replaced by servers of the
        subset. All nodes follow the same order from a slot, so nodes that share servers map a key to the same
        ones."""
        table = self._full_table()
        if not self._other_backends or not self._subset:
            return table
        subset_identities = set(map(id, self._subset))
        first = next((slot for slot, backend in enumerate(table) if id(backend) in subset_identities), None)
        if first is None:
            return self._subset  # weights too low for a slot
        # Goes backwards from a slot of the subset, so that the replacement of each slot is known; in a table
        # of prime size the stride visits every slot.
        backend = table[first]
        for step in range(1, TABLE_SIZE):
            slot = (first - step * TABLE_STRIDE) % TABLE_SIZE
            if id(table[slot]) in subset_identities:
                backend = table[slot]
            else:
                table[slot] = backend
        return table

    def _full_table(self) -> list[Backend]:
        """Servers take slots in turn, each in its own order and in proportion to its weight. Shares are even,
        and a change of the list moves few keys."""
        if not self._subset:
            return []
        backends = sorted((*self._subset, *self._other_backends), key=lambda backend: backend.server.id)
        heaviest = max(backend.server.weight for backend in backends)
        table: list[Backend | None] = [None] * TABLE_SIZE
        positions = [splitmix64(int.from_bytes(backend.server.id, "little")) for backend in backends]
        steps = [1 + splitmix64(position) % (TABLE_SIZE - 1) for position in positions]
        credits = [0.0] * len(positions)
        free_slots = TABLE_SIZE
        while free_slots:
            for index, backend in enumerate(backends):
                credits[index] += backend.server.weight / heaviest
                if credits[index] < 1.0 or not free_slots:
                    continue
                credits[index] -= 1.0
                while table[positions[index] % TABLE_SIZE] is not None:
                    positions[index] += steps[index]
                table[positions[index] % TABLE_SIZE] = backend
                free_slots -= 1
        return [backend for backend in table if backend is not None]
