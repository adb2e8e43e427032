"""Simulates accepted files with random outcomes: no time limit, attempt limit, budget or rule is violated."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import HealthCheck, assume, given, settings
from hypothesis import strategies as st
from platform_of_tests import CLASSES, NS_PER_MS, NS_PER_S, PLATFORM, SETTINGS

from driftstair.limits.compiled_route import RouteRules
from driftstair.limits.limiting_module import LimitingModule
from driftstair.limits.request_table import FileRequestTable
from driftstair.limits.validation import find_problems
from driftstair.service.load import LoadedService
from driftstair.service.schema import Service
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.interface import NEVER_RAN, ListKind, Repeat, Result, ServerState

KINDS = list(CLASSES)
TIMES = st.sampled_from(["5ms", "20ms", "50ms", "120ms", "250ms", "500ms", "900ms", "2s"])
RETRYABLE_OUTCOMES = ["error", "full", "timeout", "connect", "reset"]


def optional_keys(**tables: st.SearchStrategy[object]) -> st.SearchStrategy[dict[str, object]]:
    return st.fixed_dictionaries({}, optional=tables)


BUDGETS = optional_keys(share=st.floats(0, 1), floor=st.floats(0, 3), burst=st.floats(0, 8))
ROUTES = st.fixed_dictionaries(
    {"match": optional_keys(**{"class": st.sampled_from(KINDS)})},
    optional={
        "timeout": optional_keys(total=TIMES, attempt=TIMES, first_byte=TIMES),
        "retry": optional_keys(
            attempts=st.integers(1, 5), on=st.lists(st.sampled_from(RETRYABLE_OUTCOMES), unique=True),
            backoff=TIMES, backoff_most=TIMES, jitter=st.floats(0, 1), budget=BUDGETS,
        ),
        "copy": optional_keys(after=TIMES, at=st.floats(0.5, 0.99), budget=BUDGETS),
        "admit": optional_keys(
            in_flight=st.integers(1, 30), rate=st.fixed_dictionaries({"per_s": st.floats(0.5, 50)}),
            priority=st.sampled_from(["normal", "low", "lowest"]),
        ),
    },
)  # fmt: skip


class Simulation:
    """Simulates the limited module with boxes that answer at random, and checks the rules at each step."""

    def __init__(self, table: FileRequestTable, seed: int) -> None:
        self.random = Random(seed)
        self.table = table
        self.now = 100 * NS_PER_S
        self.limited = LimitingModule(Balancer(SETTINGS, seed), SETTINGS, table.rules)
        self.events: list[tuple[int, int, api.Event]] = []
        self.sequence = 0
        self.rules: dict[int, RouteRules] = {}
        self.kinds: dict[int, str] = {}
        self.started_at: dict[int, int] = {}
        self.sends: dict[int, list[tuple[int, api.Send]]] = {}
        self.results: dict[tuple[int, int], tuple[int, Result]] = {}
        self.final_at: dict[int, int] = {}
        self.first_attempts: Counter[str] = Counter()
        self.retries: Counter[str] = Counter()  # attempts after the first, by route
        self.uncharged_retries: Counter[str] = Counter()  # of these, the ones after a failed connect
        boxes = tuple(api.Server(b"box-%04d" % index, 0, 0, ServerState.READY, 1.0, 0) for index in range(6))
        self.apply(self.limited.start(self.now))
        self.apply(self.limited.handle(self.now, api.ServerList(ListKind.FULL, boxes)))

    def schedule(self, at: int, event: api.Event) -> None:
        self.sequence += 1
        self.events.append((at, self.sequence, event))

    def run(self, requests: int) -> None:
        for index in range(requests):
            kind = self.random.choice(KINDS)
            at = self.now + index * self.random.choice((NS_PER_MS, 8 * NS_PER_MS, 40 * NS_PER_MS))
            self.schedule(
                at, api.Request(index, PLATFORM.client_waits[kind], KINDS.index(kind), 0, index + 1, False)
            )
        end = self.now + 20 * NS_PER_S
        while self.events:
            self.events.sort()
            at, _, event = self.events.pop(0)
            if at > end:
                break
            self.now = max(self.now, at)
            if isinstance(event, api.Request):
                event = self.start_request(event)
            elif isinstance(event, api.Outcome):
                event = self.record_outcome(event)
            self.apply(self.limited.handle(self.now, event))

    def start_request(self, request: api.Request) -> api.Request:
        kind = KINDS[request.class_index]
        self.kinds[request.id], self.started_at[request.id] = kind, self.now
        found = [one for one, pattern in zip(self.table.rules, self.table.routes.patterns, strict=True)
                 if not pattern.classes or kind in pattern.classes]  # fmt: skip
        if not found:
            return request
        rules = self.rules[request.id] = max(
            found, key=lambda one: self.table.routes.patterns[one.module_limits.route].rank()
        )
        self.first_attempts[rules.name] += 1
        return request._replace(limits=rules.module_limits)

    def record_outcome(self, outcome: api.Outcome) -> api.Outcome:
        self.results[(outcome.request, outcome.attempt)] = (self.now, outcome.result)
        closed = outcome.request in self.final_at or outcome.result is Result.OK
        if outcome.result is Result.OK and outcome.request not in self.final_at:
            self.final_at[outcome.request] = self.now
        return outcome._replace(closed=closed)

    def apply(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.schedule(action.at, api.Timer(action.token))
            elif isinstance(action, api.Send):
                self.send(action)
            elif isinstance(action, api.Refuse | api.Fail):
                self.record_final_answer(action)

    def send(self, send: api.Send) -> None:
        number = send.request
        assert number not in self.final_at, "sent after the final answer"
        earlier = self.sends.setdefault(number, [])
        index = len(earlier)
        kind, rules = CLASSES[self.kinds[number]], self.rules.get(number)
        open_attempts = [attempt for attempt in range(index) if (number, attempt) not in self.results]
        may_have_run = [
            attempt for attempt in range(index)
            if (number, attempt) not in self.results or self.results[(number, attempt)][1] not in NEVER_RAN
        ]  # fmt: skip
        # No effect happens twice, and no box gets the same request twice.
        assert kind.repeat is not Repeat.UNSAFE or not may_have_run
        if kind.repeat is Repeat.KEYED and may_have_run:
            assert self.now - min(earlier[attempt][0] for attempt in may_have_run) < kind.window
        assert send.server not in {one.server for _, one in earlier}
        if rules is not None:
            assert index < rules.module_limits.max_attempts
            left_ns = rules.total - (self.now - self.started_at[number]) if rules.total else NS_PER_S * 100
            assert 0 < send.time_out <= max(1, left_ns)
            assert not rules.module_limits.time_out or send.time_out <= rules.module_limits.time_out
            if open_attempts:
                assert rules.copies() and len(open_attempts) == 1 and kind.repeat is Repeat.SAFE
            elif index:
                assert self.results[(number, index - 1)][1] in rules.module_limits.retry_on
            if index:
                self.retries[rules.name] += 1
                last = self.results.get((number, index - 1))
                self.uncharged_retries[rules.name] += (
                    not open_attempts and last is not None and last[1] is Result.CONNECT_FAILED
                )
        earlier.append((self.now, send))
        result, took = self.random.choice(
            ((Result.OK, 30 * NS_PER_MS), (Result.OK, 90 * NS_PER_MS), (Result.ERROR, 20 * NS_PER_MS),
             (Result.FULL, 2 * NS_PER_MS), (Result.CONNECT_FAILED, NS_PER_MS),
             (Result.RESET, 40 * NS_PER_MS), (Result.TIMEOUT, 0))
        )  # fmt: skip
        if result is Result.TIMEOUT or took >= send.time_out:
            result, took = Result.TIMEOUT, send.time_out
        self.schedule(self.now + took, api.Outcome(number, False, result, took, send.server, index, ()))

    def record_final_answer(self, action: api.Refuse | api.Fail) -> None:
        number = action.request
        assert number not in self.final_at, "a second final answer"
        self.final_at[number] = self.now
        if isinstance(action, api.Refuse) and CLASSES[self.kinds[number]].repeat is Repeat.UNSAFE:
            results = [
                self.results.get((number, attempt)) for attempt in range(len(self.sends.get(number, [])))
            ]
            assert all(one is not None and one[1] in NEVER_RAN for one in results)


@settings(
    max_examples=120, deadline=None, derandomize=True,
    suppress_health_check=[HealthCheck.filter_too_much, HealthCheck.too_slow],
)  # fmt: skip
@given(st.lists(ROUTES, min_size=1, max_size=3), st.integers(0, 1 << 30))
def test_accepted_files_never_violate_their_limits(routes: list[dict[str, object]], seed: int) -> None:
    named = [{"name": f"r{index}", **route} for index, route in enumerate(routes)]
    service = Service.model_validate({"version": 1, "route": named, "fleet": {"amplification_most": 16.0}})
    loaded = LoadedService("f", service, {}, "")
    assume(not [one for one in find_problems(loaded, PLATFORM) if not one.warning])
    simulation = Simulation(FileRequestTable(service, SETTINGS), seed)
    simulation.run(60)
    # Each request gets one final answer in time; a timer of the module may wait for the next tick.
    assert set(simulation.final_at) == set(simulation.started_at)
    for number, at in simulation.final_at.items():
        wait = PLATFORM.client_waits[simulation.kinds[number]]
        rules = simulation.rules.get(number)
        total = min(wait, rules.total or wait) if rules is not None else wait
        assert at - simulation.started_at[number] <= total + NS_PER_MS
    # Budgets hold the initial burst, the share of first attempts, and the floor over time.
    elapsed_s = (simulation.now - 100 * NS_PER_S) / NS_PER_S
    for rules in simulation.table.rules:
        allowed = 0.0
        for budget in (rules.retry_budget, rules.copy_budget):
            if budget is not None:
                allowed += (
                    budget.burst
                    + budget.share * simulation.first_attempts[rules.name]
                    + budget.floor * elapsed_s
                )
        if rules.retry_budget is not None:
            assert simulation.retries[rules.name] - simulation.uncharged_retries[rules.name] <= allowed + 1e-6
    # No state remains of closed requests.
    assert simulation.limited._admitted == {}
    assert all(state.in_flight == 0 for state in simulation.limited._states)
