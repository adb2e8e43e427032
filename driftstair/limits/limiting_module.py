"""Between the node's sockets and the decision module: the same events in and actions out, narrowed by routes.

A request over a route's limit of requests in flight or rate is refused before the module sees it. The others
reach it with their limits as data (`lichenspring.interface.Limits`); it still decides server, retry and
refusal. What it can't know, this layer tells it: that a retry budget is spent (`Outcome.may_retry`), and
when a second copy is wanted (`Hedge`). Pure: no I/O, the clock comes in with each event.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from heapq import heappop, heappush

from driftstair.limits.budgets import TokenBucket, TokenBudget
from driftstair.limits.compiled_route import RouteRules, State, no_fleet
from lichenspring import interface as api
from lichenspring.interface import Result

COPY_TIMER_TOKEN = 1 << 20  # of this layer's timers; the module's own are small
FIRST_ADDED_ROUTE = 1 << 20  # the routes beside the file's have numbers from here on; a file has fewer
TENANTS_MOST = 10_000  # buckets of one route: names that clients make up shall not fill the memory


class _Entry:
    """A request that this layer has let through."""

    __slots__ = ("attempts", "copies", "in_flight", "out", "sent", "state")

    def __init__(self, state: State) -> None:
        self.state = state
        self.attempts = 0
        self.copies = 0
        self.out = 0
        self.sent: dict[int, int] = {}  # when each attempt was
        self.in_flight = True


NONE_ADDED: Mapping[int, RouteRules] = {}


class LimitingModule:
    def __init__(
        self, module: api.DecisionModule, settings: api.Settings, rules: Sequence[RouteRules],
        fleet: Callable[[str], TokenBudget] = no_fleet, added: Mapping[int, RouteRules] = NONE_ADDED,
    ) -> None:  # fmt: skip
        """`added`: the routes beside the file's as they are now, by number from FIRST_ADDED_ROUTE on. What is
        counted of one is made with its first request, and changed with the first one after its change."""
        self._module = module
        self._settings = settings
        self._entries: dict[int, _Entry] = {}
        self._wanted: list[tuple[int, int]] = []  # second copies: when, of which request
        self._states: list[State] = []
        self._rules = list(rules)
        self._fleet = fleet
        self._added = added
        self._added_states: dict[int, State] = {}

    def start(self, now: int) -> list[api.Action]:
        self._states = [State(rules, now, self._fleet) for rules in self._rules]
        return self._module.start(now)

    def replace_rules(self, now: int, rules: Sequence[RouteRules]) -> None:
        """Another file: for new requests, all at once. Those that are open keep what they came with."""
        old = {state.rules.name: state for state in self._states}
        self._states = [State(one, now, self._fleet) for one in rules]
        moved: dict[int, State] = {}
        for state in self._states:
            before = old.get(state.rules.name)
            if before is not None:
                state.take_over(before, now)
                moved[id(before)] = state
        for entry in self._entries.values():
            # Its figures stay with the request; where it is counted moves with the route's name.
            entry.state = moved.get(id(entry.state), entry.state)

    def state(self, route: int) -> State:
        return self._states[route] if route < FIRST_ADDED_ROUTE else self._added_states[route]

    def is_idle(self, route: int) -> bool:
        """Whether no request is in flight on an added route."""
        state = self._added_states.get(route)
        return state is None or not state.in_flight

    def remove_route(self, route: int) -> None:
        """An added route is gone. Requests that are open on it keep what they came with."""
        self._added_states.pop(route, None)

    def _state_of(self, now: int, route: int) -> State:
        if route < FIRST_ADDED_ROUTE:
            return self._states[route]
        rules = self._added[route]
        state = self._added_states.get(route)
        if state is None:
            state = self._added_states[route] = State(rules, now, self._fleet)
        elif state.rules is not rules:
            state.change(rules, now, self._fleet)
        return state

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            return self._request(now, event)
        if isinstance(event, api.Outcome):
            return self._outcome(now, event)
        if isinstance(event, api.Timer) and event.token == COPY_TIMER_TOKEN:
            return self._copies(now)
        actions = self._module.handle(now, event)
        if isinstance(event, api.ClientGone):
            self._closed(event.request)
        return self._passed(now, actions)

    # Admission.

    def _request(self, now: int, request: api.Request) -> list[api.Action]:
        if request.limits is None:
            return self._passed(now, self._module.handle(now, request))
        state = self._state_of(now, request.limits.route)
        rules = state.rules
        if rules.in_flight and state.in_flight >= rules.in_flight:
            return self._refuse(request, 0)
        if rules.rate is not None:
            bucket = self._bucket(now, state, request.tenant)
            if not bucket.take(now):
                return self._refuse(request, bucket.ns_until(now))
        if rules.total:
            request = request._replace(time_left=min(request.time_left, rules.total))
        entry = self._entries[request.id] = _Entry(state)
        state.in_flight += 1
        for budget, earned in ((state.retries, rules.retry_budget), (state.copies, rules.copy_budget)):
            if budget is not None and earned is not None:
                budget.earn(now, earned.share)
        actions = self._passed(now, self._module.handle(now, request))
        if entry.attempts and rules.copies() and request.id in self._entries:
            self._want_copy(now, request.id, entry, actions)
        return actions

    def _bucket(self, now: int, state: State, tenant: int) -> TokenBudget:
        if state.rate is not None:
            return state.rate
        rate = state.rules.rate
        assert rate is not None and rate.per_s is not None
        who = tenant if rate.by == "tenant" else 0
        bucket = state.rates.get(who)
        if bucket is None:
            if len(state.rates) >= TENANTS_MOST:
                state.rates.pop(next(iter(state.rates)))
            bucket = state.rates[who] = TokenBucket(rate.per_s, rate.burst, now)
        return bucket

    def _refuse(self, request: api.Request, wait: int) -> list[api.Action]:
        settings = self._settings
        least = settings.classes[request.class_index].aim
        told = (
            min(max(wait, least if not wait else 0), settings.max_retry_after) if settings.retry_after else 0
        )
        return [api.Refuse(request.id, told)]

    # Attempts.

    def _passed(self, now: int, actions: list[api.Action]) -> list[api.Action]:
        """What the module does, on its way to the sockets."""
        for action in actions:
            if isinstance(action, api.Send):
                entry = self._entries.get(action.request)
                if entry is not None:
                    entry.sent[entry.attempts] = now
                    entry.attempts += 1
                    entry.out += 1
            elif isinstance(action, api.Refuse | api.Fail):
                self._closed(action.request)
        return actions

    def _outcome(self, now: int, outcome: api.Outcome) -> list[api.Action]:
        entry = self._entries.get(outcome.request)
        if entry is None or outcome.attempt not in entry.sent:
            return self._passed(now, self._module.handle(now, outcome))
        sent = entry.sent.pop(outcome.attempt)
        entry.out -= 1
        state = entry.state
        if outcome.result is Result.OK and state.rules.copy_at:
            state.latencies.add(now - sent)
        budget = state.retries
        # Where nothing arrived nothing is added to the boxes' load, and no budget is asked.
        charged = budget is not None and outcome.result not in (Result.CONNECT_FAILED, Result.NOT_SENT)
        if charged and budget is not None and not budget.has(now):
            outcome = outcome._replace(may_retry=False)
        before = entry.attempts
        actions = self._passed(now, self._module.handle(now, outcome))
        if charged and budget is not None and entry.attempts > before:
            budget.take(now)
        elif charged and budget is not None and self._waits(actions, entry, outcome):
            budget.take(now)  # it backs off, and then goes out without another word
        if outcome.closed:
            self._closed(outcome.request)
        if not entry.out and not entry.in_flight:
            self._entries.pop(outcome.request, None)
        return actions

    def _waits(self, actions: list[api.Action], entry: _Entry, outcome: api.Outcome) -> bool:
        """The module holds the request without an attempt out: it has set itself a timer."""
        return (
            entry.in_flight
            and not entry.out
            and not outcome.closed
            and any(isinstance(action, api.SetTimer) for action in actions)
        )

    def _closed(self, request: int) -> None:
        """It has its final answer, or nobody waits for one. Attempts may still be out."""
        entry = self._entries.get(request)
        if entry is None:
            return
        if entry.in_flight:
            entry.in_flight = False
            entry.state.in_flight -= 1
        if not entry.out:
            del self._entries[request]

    # Second copies.

    def _want_copy(self, now: int, request: int, entry: _Entry, actions: list[api.Action]) -> None:
        rules = entry.state.rules
        after = rules.copy_after
        if not after and rules.copy_at:
            after = entry.state.latencies.percentile(rules.copy_at)
        if after:
            heappush(self._wanted, (now + after, request))
            actions.append(api.SetTimer(now + after, COPY_TIMER_TOKEN))

    def _copies(self, now: int) -> list[api.Action]:
        actions: list[api.Action] = []
        while self._wanted and self._wanted[0][0] <= now:
            _, request = heappop(self._wanted)
            entry = self._entries.get(request)
            if entry is None or not entry.in_flight or entry.out != 1 or entry.copies:
                continue
            budget = entry.state.copies
            if budget is None or not budget.has(now):
                continue
            before = entry.attempts
            actions += self._passed(now, self._module.handle(now, api.Hedge(request)))
            if entry.attempts > before:
                entry.copies += 1
                budget.take(now)
        return actions
