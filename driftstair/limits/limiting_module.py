"""Wraps the decision module, with the same events and actions, and enforces the limits of routes.

A request over a route's limit on requests in flight or on rate is refused before the module sees it. The
others reach the module with their limits (`lichenspring.interface.Limits`); it still chooses the server and
decides on retry and refusal. This wrapper tells it that a retry budget is spent (`Outcome.may_retry`) and
when a second copy is due (`Hedge`). No I/O; each event carries the time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from heapq import heappop, heappush

from driftstair.limits.budgets import TokenBucket, TokenBudget
from driftstair.limits.compiled_route import RouteRules, RouteState, no_fleet_budget
from lichenspring import interface as api
from lichenspring.interface import Result

COPY_TIMER_TOKEN = 1 << 20  # the module's own timer tokens are small numbers
FIRST_ADDED_ROUTE = 1 << 20  # routes that are not from the file are numbered from here; a file has fewer
MAX_TENANT_BUCKETS = 10_000  # per route: bounds the memory that invented tenant names can take


class _AdmittedRequest:
    """A request that was passed to the decision module."""

    __slots__ = ("attempts", "copies", "in_flight", "open_attempts", "sent_at", "state")

    def __init__(self, state: RouteState) -> None:
        self.state = state
        self.attempts = 0
        self.copies = 0
        self.open_attempts = 0
        self.sent_at: dict[int, int] = {}  # time in ns by attempt
        self.in_flight = True


NO_ADDED_ROUTES: Mapping[int, RouteRules] = {}


class LimitingModule:
    """Enforces the limits of routes, and passes the requests that it admits to the decision module."""

    def __init__(
        self, module: api.DecisionModule, settings: api.Settings, rules: Sequence[RouteRules],
        fleet: Callable[[str], TokenBudget] = no_fleet_budget,
        added: Mapping[int, RouteRules] = NO_ADDED_ROUTES,
    ) -> None:  # fmt: skip
        """`added`: the current routes that are not from the file, by number from FIRST_ADDED_ROUTE. The
        state of one is created by its first request and updated by the first request after a change."""
        self._module = module
        self._settings = settings
        self._admitted: dict[int, _AdmittedRequest] = {}
        self._due_copies: list[tuple[int, int]] = []  # second copies: due time and request
        self._states: list[RouteState] = []
        self._rules = list(rules)
        self._fleet = fleet
        self._added = added
        self._added_states: dict[int, RouteState] = {}

    def start(self, now: int) -> list[api.Action]:
        self._states = [RouteState(rules, now, self._fleet) for rules in self._rules]
        return self._module.start(now)

    def replace_rules(self, now: int, rules: Sequence[RouteRules]) -> None:
        """Applies a new file to all new requests at once. Open requests keep their limits."""
        old = {state.rules.name: state for state in self._states}
        self._states = [RouteState(route_rules, now, self._fleet) for route_rules in rules]
        moved: dict[int, RouteState] = {}
        for state in self._states:
            previous = old.get(state.rules.name)
            if previous is not None:
                state.carry_over_from(previous, now)
                moved[id(previous)] = state
        for admitted in self._admitted.values():
            # The request keeps its limits; it is counted in the state of the route with the same name.
            admitted.state = moved.get(id(admitted.state), admitted.state)

    def state(self, route: int) -> RouteState:
        return self._states[route] if route < FIRST_ADDED_ROUTE else self._added_states[route]

    def is_idle(self, route: int) -> bool:
        """Whether no request is in flight on an added route."""
        state = self._added_states.get(route)
        return state is None or not state.in_flight

    def remove_route(self, route: int) -> None:
        """Removes an added route. Requests open on it keep the limits they were admitted with."""
        self._added_states.pop(route, None)

    def _current_state(self, now: int, route: int) -> RouteState:
        if route < FIRST_ADDED_ROUTE:
            return self._states[route]
        rules = self._added[route]
        state = self._added_states.get(route)
        if state is None:
            state = self._added_states[route] = RouteState(rules, now, self._fleet)
        elif state.rules is not rules:
            state.replace_rules(rules, now, self._fleet)
        return state

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.Request):
            return self._handle_request(now, event)
        if isinstance(event, api.Outcome):
            return self._handle_outcome(now, event)
        if isinstance(event, api.Timer) and event.token == COPY_TIMER_TOKEN:
            return self._send_due_copies(now)
        actions = self._module.handle(now, event)
        if isinstance(event, api.ClientGone):
            self._close(event.request)
        return self._track(now, actions)

    # Admission.

    def _handle_request(self, now: int, request: api.Request) -> list[api.Action]:
        if request.limits is None:
            return self._track(now, self._module.handle(now, request))
        state = self._current_state(now, request.limits.route)
        rules = state.rules
        if rules.in_flight and state.in_flight >= rules.in_flight:
            return self._refuse(request, 0)
        if rules.rate is not None:
            bucket = self._bucket(now, state, request.tenant)
            if not bucket.take(now):
                return self._refuse(request, bucket.ns_until(now))
        if rules.total:
            request = request._replace(time_left=min(request.time_left, rules.total))
        admitted = self._admitted[request.id] = _AdmittedRequest(state)
        state.in_flight += 1
        for budget, budget_rules in ((state.retries, rules.retry_budget), (state.copies, rules.copy_budget)):
            if budget is not None and budget_rules is not None:
                budget.earn(now, budget_rules.share)
        actions = self._track(now, self._module.handle(now, request))
        if admitted.attempts and rules.copies() and request.id in self._admitted:
            self._schedule_copy(now, request.id, admitted, actions)
        return actions

    def _bucket(self, now: int, state: RouteState, tenant: int) -> TokenBudget:
        if state.rate is not None:
            return state.rate
        rate = state.rules.rate
        assert rate is not None and rate.per_s is not None
        tenant_key = tenant if rate.by == "tenant" else 0
        bucket = state.rates.get(tenant_key)
        if bucket is None:
            if len(state.rates) >= MAX_TENANT_BUCKETS:
                state.rates.pop(next(iter(state.rates)))
            bucket = state.rates[tenant_key] = TokenBucket(rate.per_s, rate.burst, now)
        return bucket

    def _refuse(self, request: api.Request, wait_ns: int) -> list[api.Action]:
        settings = self._settings
        min_retry_after = settings.classes[request.class_index].aim
        retry_after = (
            min(max(wait_ns, min_retry_after if not wait_ns else 0), settings.max_retry_after)
            if settings.retry_after
            else 0
        )
        return [api.Refuse(request.id, retry_after)]

    # Attempts.

    def _track(self, now: int, actions: list[api.Action]) -> list[api.Action]:
        """Records the attempts and final answers among the module's actions, and returns the actions."""
        for action in actions:
            if isinstance(action, api.Send):
                admitted = self._admitted.get(action.request)
                if admitted is not None:
                    admitted.sent_at[admitted.attempts] = now
                    admitted.attempts += 1
                    admitted.open_attempts += 1
            elif isinstance(action, api.Refuse | api.Fail):
                self._close(action.request)
        return actions

    def _handle_outcome(self, now: int, outcome: api.Outcome) -> list[api.Action]:
        admitted = self._admitted.get(outcome.request)
        if admitted is None or outcome.attempt not in admitted.sent_at:
            return self._track(now, self._module.handle(now, outcome))
        sent_at = admitted.sent_at.pop(outcome.attempt)
        admitted.open_attempts -= 1
        state = admitted.state
        if outcome.result is Result.OK and state.rules.copy_at:
            state.latencies.add(now - sent_at)
        budget = state.retries
        # An attempt that reached no box added no load, so its retry is not charged to the budget.
        charged = budget is not None and outcome.result not in (Result.CONNECT_FAILED, Result.NOT_SENT)
        if charged and budget is not None and not budget.has(now):
            outcome = outcome._replace(may_retry=False)
        attempts_before = admitted.attempts
        actions = self._track(now, self._module.handle(now, outcome))
        if charged and budget is not None and admitted.attempts > attempts_before:
            budget.take(now)
        elif charged and budget is not None and self._is_backing_off(actions, admitted, outcome):
            budget.take(now)  # the retry follows the back-off with no further outcome to charge it to
        if outcome.closed:
            self._close(outcome.request)
        if not admitted.open_attempts and not admitted.in_flight:
            self._admitted.pop(outcome.request, None)
        return actions

    def _is_backing_off(
        self, actions: list[api.Action], admitted: _AdmittedRequest, outcome: api.Outcome
    ) -> bool:
        """Whether the module holds the request for a back-off: no attempt is open and it has set a timer."""
        return (
            admitted.in_flight
            and not admitted.open_attempts
            and not outcome.closed
            and any(isinstance(action, api.SetTimer) for action in actions)
        )

    def _close(self, request: int) -> None:
        """The request has its final answer or its client has left. Attempts may still be open."""
        admitted = self._admitted.get(request)
        if admitted is None:
            return
        if admitted.in_flight:
            admitted.in_flight = False
            admitted.state.in_flight -= 1
        if not admitted.open_attempts:
            del self._admitted[request]

    # Second copies.

    def _schedule_copy(
        self, now: int, request: int, admitted: _AdmittedRequest, actions: list[api.Action]
    ) -> None:
        rules = admitted.state.rules
        after = rules.copy_after
        if not after and rules.copy_at:
            after = admitted.state.latencies.percentile(rules.copy_at)
        if after:
            heappush(self._due_copies, (now + after, request))
            actions.append(api.SetTimer(now + after, COPY_TIMER_TOKEN))

    def _send_due_copies(self, now: int) -> list[api.Action]:
        actions: list[api.Action] = []
        while self._due_copies and self._due_copies[0][0] <= now:
            _, request = heappop(self._due_copies)
            admitted = self._admitted.get(request)
            if admitted is None or not admitted.in_flight or admitted.open_attempts != 1 or admitted.copies:
                continue
            budget = admitted.state.copies
            if budget is None or not budget.has(now):
                continue
            attempts_before = admitted.attempts
            actions += self._track(now, self._module.handle(now, api.Hedge(request)))
            if admitted.attempts > attempts_before:
                admitted.copies += 1
                budget.take(now)
        return actions
