"""What the checker accepts: played with random outcomes, no total, count, budget or rule is exceeded."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import HealthCheck, assume, given, settings
from hypothesis import strategies as st
from platform_of_tests import CLASSES, MS, PLATFORM, SETTINGS, S

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
OUTCOMES = ["error", "full", "timeout", "connect", "reset"]


def maybe(**tables: st.SearchStrategy[object]) -> st.SearchStrategy[dict[str, object]]:
    return st.fixed_dictionaries({}, optional=tables)


BUDGETS = maybe(share=st.floats(0, 1), floor=st.floats(0, 3), burst=st.floats(0, 8))
ROUTES = st.fixed_dictionaries(
    {"match": maybe(**{"class": st.sampled_from(KINDS)})},
    optional={
        "timeout": maybe(total=TIMES, attempt=TIMES, first_byte=TIMES),
        "retry": maybe(
            attempts=st.integers(1, 5), on=st.lists(st.sampled_from(OUTCOMES), unique=True), backoff=TIMES,
            backoff_most=TIMES, jitter=st.floats(0, 1), budget=BUDGETS,
        ),
        "copy": maybe(after=TIMES, at=st.floats(0.5, 0.99), budget=BUDGETS),
        "admit": maybe(
            in_flight=st.integers(1, 30), rate=st.fixed_dictionaries({"per_s": st.floats(0.5, 50)}),
            priority=st.sampled_from(["normal", "low", "lowest"]),
        ),
    },
)  # fmt: skip


class Play:
    """The module under limits against boxes that answer by chance; every promise of the rules is counted."""

    def __init__(self, table: FileRequestTable, seed: int) -> None:
        self.random = Random(seed)
        self.table = table
        self.now = 100 * S
        self.limited = LimitingModule(Balancer(SETTINGS, seed), SETTINGS, table.rules)
        self.events: list[tuple[int, int, api.Event]] = []
        self.number = 0
        self.rules: dict[int, RouteRules] = {}
        self.kinds: dict[int, str] = {}
        self.asked: dict[int, int] = {}
        self.sends: dict[int, list[tuple[int, api.Send]]] = {}
        self.results: dict[tuple[int, int], tuple[int, Result]] = {}
        self.final: dict[int, int] = {}
        self.first_tries: Counter[str] = Counter()
        self.more: Counter[str] = Counter()  # attempts beyond the first, by route
        self.free: Counter[str] = Counter()  # of these, after something that never arrived
        boxes = tuple(api.Server(b"box-%04d" % index, 0, 0, ServerState.READY, 1.0, 0) for index in range(6))
        self.act(self.limited.start(self.now))
        self.act(self.limited.handle(self.now, api.ServerList(ListKind.FULL, boxes)))

    def later(self, at: int, event: api.Event) -> None:
        self.number += 1
        self.events.append((at, self.number, event))

    def run(self, requests: int) -> None:
        for index in range(requests):
            kind = self.random.choice(KINDS)
            at = self.now + index * self.random.choice((MS, 8 * MS, 40 * MS))
            self.later(
                at, api.Request(index, PLATFORM.client_waits[kind], KINDS.index(kind), 0, index + 1, False)
            )
        end = self.now + 20 * S
        while self.events:
            self.events.sort()
            at, _, event = self.events.pop(0)
            if at > end:
                break
            self.now = max(self.now, at)
            if isinstance(event, api.Request):
                event = self.begin(event)
            elif isinstance(event, api.Outcome):
                event = self.settle(event)
            self.act(self.limited.handle(self.now, event))

    def begin(self, request: api.Request) -> api.Request:
        kind = KINDS[request.class_index]
        self.kinds[request.id], self.asked[request.id] = kind, self.now
        found = [one for one, pattern in zip(self.table.rules, self.table.routes.patterns, strict=True)
                 if not pattern.classes or kind in pattern.classes]  # fmt: skip
        if not found:
            return request
        rules = self.rules[request.id] = max(
            found, key=lambda one: self.table.routes.patterns[one.module_limits.route].rank()
        )
        self.first_tries[rules.name] += 1
        return request._replace(limits=rules.module_limits)

    def settle(self, outcome: api.Outcome) -> api.Outcome:
        self.results[(outcome.request, outcome.attempt)] = (self.now, outcome.result)
        closed = outcome.request in self.final or outcome.result is Result.OK
        if outcome.result is Result.OK and outcome.request not in self.final:
            self.final[outcome.request] = self.now
        return outcome._replace(closed=closed)

    def act(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.later(action.at, api.Timer(action.token))
            elif isinstance(action, api.Send):
                self.send(action)
            elif isinstance(action, api.Refuse | api.Fail):
                self.end(action)

    def send(self, send: api.Send) -> None:
        number = send.request
        assert number not in self.final, "sent after the final answer"
        earlier = self.sends.setdefault(number, [])
        index = len(earlier)
        kind, rules = CLASSES[self.kinds[number]], self.rules.get(number)
        out = [place for place in range(index) if (number, place) not in self.results]
        maybe_ran = [
            place for place in range(index)
            if (number, place) not in self.results or self.results[(number, place)][1] not in NEVER_RAN
        ]  # fmt: skip
        # Rule 2, and never twice to one box.
        assert kind.repeat is not Repeat.UNSAFE or not maybe_ran
        if kind.repeat is Repeat.KEYED and maybe_ran:
            assert self.now - min(earlier[place][0] for place in maybe_ran) < kind.window
        assert send.server not in {one.server for _, one in earlier}
        if rules is not None:
            assert index < rules.module_limits.max_attempts
            left = rules.total - (self.now - self.asked[number]) if rules.total else S * 100
            assert 0 < send.time_out <= max(1, left)
            assert not rules.module_limits.time_out or send.time_out <= rules.module_limits.time_out
            if out:
                assert rules.copies() and len(out) == 1 and kind.repeat is Repeat.SAFE
            elif index:
                assert self.results[(number, index - 1)][1] in rules.module_limits.retry_on
            if index:
                self.more[rules.name] += 1
                last = self.results.get((number, index - 1))
                self.free[rules.name] += not out and last is not None and last[1] is Result.CONNECT_FAILED
        earlier.append((self.now, send))
        result, took = self.random.choice(
            ((Result.OK, 30 * MS), (Result.OK, 90 * MS), (Result.ERROR, 20 * MS), (Result.FULL, 2 * MS),
             (Result.CONNECT_FAILED, MS), (Result.RESET, 40 * MS), (Result.TIMEOUT, 0))
        )  # fmt: skip
        if result is Result.TIMEOUT or took >= send.time_out:
            result, took = Result.TIMEOUT, send.time_out
        self.later(self.now + took, api.Outcome(number, False, result, took, send.server, index, ()))

    def end(self, action: api.Refuse | api.Fail) -> None:
        number = action.request
        assert number not in self.final, "a second final answer"
        self.final[number] = self.now
        if isinstance(action, api.Refuse) and CLASSES[self.kinds[number]].repeat is Repeat.UNSAFE:
            results = [self.results.get((number, place)) for place in range(len(self.sends.get(number, [])))]
            assert all(one is not None and one[1] in NEVER_RAN for one in results)


@settings(
    max_examples=120, deadline=None, derandomize=True,
    suppress_health_check=[HealthCheck.filter_too_much, HealthCheck.too_slow],
)  # fmt: skip
@given(st.lists(ROUTES, min_size=1, max_size=3), st.integers(0, 1 << 30))
def test_what_is_accepted_keeps_its_promises(routes: list[dict[str, object]], seed: int) -> None:
    named = [{"name": f"r{index}", **route} for index, route in enumerate(routes)]
    service = Service.model_validate({"version": 1, "route": named, "fleet": {"amplification_most": 16.0}})
    loaded = LoadedService("f", service, {}, "")
    assume(not [one for one in find_problems(loaded, PLATFORM) if not one.warning])
    play = Play(FileRequestTable(service, SETTINGS), seed)
    play.run(60)
    # Rule 1: one final answer each, in its time (a timer of the module's may wait for the next tick).
    assert set(play.final) == set(play.asked)
    for number, at in play.final.items():
        wait = PLATFORM.client_waits[play.kinds[number]]
        rules = play.rules.get(number)
        total = min(wait, rules.total or wait) if rules is not None else wait
        assert at - play.asked[number] <= total + MS
    # Budgets: what was saved at first, what first tries earned, and what time brought.
    spent = (play.now - 100 * S) / S
    for rules in play.table.rules:
        allowed = 0.0
        for budget in (rules.retry_budget, rules.copy_budget):
            if budget is not None:
                allowed += budget.burst + budget.share * play.first_tries[rules.name] + budget.floor * spent
        if rules.retry_budget is not None:
            assert play.more[rules.name] - play.free[rules.name] <= allowed + 1e-6
    # Nothing is kept of what is over.
    assert play.limited._admitted == {}
    assert all(state.in_flight == 0 for state in play.limited._states)
