"""Event-level tests of the limiting module around the decision module."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from platform_of_tests import NS_PER_MS, NS_PER_S, SETTINGS

from driftstair.limits.compiled_route import RouteRules
from driftstair.limits.limiting_module import COPY_TIMER_TOKEN, FIRST_ADDED_ROUTE, LimitingModule
from driftstair.limits.request_table import FileRequestTable
from driftstair.service.load import parse
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.interface import ListKind, Result, ServerState

ONE_NODE = replace(SETTINGS, nodes=1)
START_NS = 100 * NS_PER_S  # all boxes have been warm for a long time


def table(*routes: str, settings: api.Settings = ONE_NODE) -> FileRequestTable:
    """Compiles routes named r0, r1, ... from the lines of their tables."""
    text = "version = 1\n" + "".join(
        f'[[route]]\nname = "r{index}"\n{one}\n' for index, one in enumerate(routes)
    )
    return FileRequestTable(parse(text, "f").service, settings)


class LimitedModule:
    """The limited decision module with a simulated clock and timers."""

    def __init__(self, *routes: str, boxes: int = 5, settings: api.Settings = ONE_NODE) -> None:
        self.table = table(*routes, settings=settings)
        self.now = START_NS
        self.added: dict[int, RouteRules] = {}
        self.limited = LimitingModule(Balancer(settings, 1), settings, self.table.rules, added=self.added)
        self.timers: list[tuple[int, int]] = []
        self.sent: dict[int, list[api.Send]] = {}
        self.final: dict[int, api.Action] = {}
        self._record(self.limited.start(self.now))
        self.handle(api.ServerList(ListKind.FULL, tuple(self.box(index) for index in range(boxes))))

    def box(self, index: int, **changes: Any) -> api.Server:
        return api.Server(b"box-%04d" % index, 0, 0, ServerState.READY, 1.0, 0)._replace(**changes)

    def _record(self, actions: list[api.Action]) -> list[api.Action]:
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((action.at, action.token))
            elif isinstance(action, api.Send):
                self.sent.setdefault(action.request, []).append(action)
            elif isinstance(action, api.Refuse | api.Fail):
                assert action.request not in self.final
                self.final[action.request] = action
        return actions

    def handle(self, event: api.Event) -> list[api.Action]:
        return self._record(self.limited.handle(self.now, event))

    def add(self, route: int, text: str) -> None:
        """Adds or changes a route that is not from the file."""
        rules = table(text).rules[0]
        self.added[route] = replace(rules, module_limits=rules.module_limits._replace(route=route))

    def request_added(self, number: int, route: int) -> None:
        self.handle(api.Request(number, NS_PER_S, 0, 0, 0, False, self.added[route].module_limits))

    def request(
        self, number: int, route: int = 0, tenant: int = 0, kind: int = 0, left: int = NS_PER_S
    ) -> list[api.Action]:
        handed = self.table.rules[route].module_limits
        return self.handle(api.Request(number, left, kind, tenant, 0, False, handed))

    def end(
        self,
        number: int,
        result: Result,
        attempt: int = 0,
        elapsed: int = 20 * NS_PER_MS,
        closed: bool = False,
    ) -> None:
        sent = self.sent[number][attempt]
        closed = closed or result is Result.OK
        self.handle(api.Outcome(number, closed, result, elapsed, sent.server, attempt, ()))

    def wait(self, ns: int) -> None:
        """Advances the clock and delivers the timers that become due."""
        until = self.now + ns
        while due := sorted(one for one in self.timers if one[0] <= until):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.handle(api.Timer(due[0][1]))
        self.now = until


def test_requests_in_flight_are_limited_per_route() -> None:
    module = LimitedModule("admit = { in_flight = 2 }", "")
    for number in (1, 2, 3):
        module.request(number)
    assert set(module.sent) == {1, 2} and isinstance(module.final[3], api.Refuse)
    module.request(4, route=1)
    assert 4 in module.sent
    module.end(1, Result.OK)
    module.request(5)
    assert 5 in module.sent
    module.handle(api.ClientGone(2))
    module.request(6)
    assert 6 in module.sent


def test_a_rate_refusal_gives_the_time_until_the_next_token() -> None:
    module = LimitedModule("admit = { rate = { per_s = 2.0, burst = 1.0 } }")
    module.request(1)
    module.request(2)
    refused = module.final[2]
    assert isinstance(refused, api.Refuse) and 500 * NS_PER_MS <= refused.retry_after <= 510 * NS_PER_MS
    module.wait(510 * NS_PER_MS)
    module.request(3)
    assert 3 in module.sent


def test_a_rate_applies_to_each_tenant_separately() -> None:
    module = LimitedModule('admit = { rate = { per_s = 1.0, burst = 1.0, by = "tenant" } }')
    module.request(1, tenant=0)
    module.request(2, tenant=1)
    module.request(3, tenant=0)
    assert set(module.sent) == {1, 2} and 3 in module.final


def test_total_and_attempt_time_outs_limit_the_time_out_of_attempts() -> None:
    module = LimitedModule('timeout = { total = "300ms", attempt = "120ms", first_byte = "50ms" }')
    module.request(1)
    (send,) = module.sent[1]
    assert (send.time_out, send.first_byte) == (120 * NS_PER_MS, 50 * NS_PER_MS)
    module.request(2, left=80 * NS_PER_MS)
    assert module.sent[2][0].time_out == 80 * NS_PER_MS  # narrowed, never widened


def test_no_attempt_is_made_after_the_total_time_out() -> None:
    module = LimitedModule('timeout = { total = "300ms" }')
    module.request(1)
    module.wait(299 * NS_PER_MS)
    module.end(1, Result.ERROR)
    assert 1 in module.final and len(module.sent[1]) == 1


def test_the_number_of_attempts_is_limited() -> None:
    module = LimitedModule("retry = { attempts = 2 }", "retry = { attempts = 1 }")
    module.request(1)
    module.end(1, Result.ERROR)
    assert len(module.sent[1]) == 2 and 1 not in module.final
    module.end(1, Result.ERROR, 1)
    assert len(module.sent[1]) == 2 and 1 in module.final
    module.request(2, route=1)
    module.end(2, Result.FULL)
    assert len(module.sent[2]) == 1 and 2 in module.final


def test_only_the_listed_outcomes_are_retried() -> None:
    module = LimitedModule('retry = { on = ["full", "connect"] }')
    for number, result, retried in (
        (1, Result.FULL, True), (2, Result.CONNECT_FAILED, True), (3, Result.ERROR, False),
        (4, Result.RESET, False), (5, Result.NOT_SENT, True),
    ):  # fmt: skip
        module.request(number)
        module.end(number, result)
        assert (len(module.sent[number]) == 2) is retried, result
        assert (number in module.final) is not retried


def test_a_back_off_doubles_and_keeps_the_request_open() -> None:
    module = LimitedModule('retry = { backoff = "40ms", backoff_most = "60ms", jitter = 0.0 }')
    module.request(1)
    module.end(1, Result.ERROR)
    assert len(module.sent[1]) == 1 and 1 not in module.final
    module.wait(39 * NS_PER_MS)
    assert len(module.sent[1]) == 1
    module.wait(2 * NS_PER_MS)
    assert len(module.sent[1]) == 2
    module.end(1, Result.ERROR, 1)
    module.wait(59 * NS_PER_MS)
    assert len(module.sent[1]) == 2
    module.wait(2 * NS_PER_MS)
    assert len(module.sent[1]) == 3


def test_jitter_shortens_a_back_off_at_random() -> None:
    waits = []
    for number in range(1, 40):
        module = LimitedModule('retry = { backoff = "100ms", jitter = 1.0 }')
        module.limited._module._random.seed(number)  # type: ignore[attr-defined]
        module.request(number)
        module.end(number, Result.ERROR)
        began = module.now
        while len(module.sent[number]) == 1:
            module.wait(NS_PER_MS)
        waits.append((module.now - began) // NS_PER_MS)
    assert max(waits) <= 101 and min(waits) < 30 and len(set(waits)) > 20


def test_a_client_that_leaves_during_a_back_off_cancels_it() -> None:
    module = LimitedModule('retry = { backoff = "40ms" }')
    module.request(1)
    module.end(1, Result.ERROR)
    module.handle(api.ClientGone(1))
    module.wait(NS_PER_S)
    assert len(module.sent[1]) == 1 and module.limited._admitted == {}
    assert module.limited.state(0).in_flight == 0


def test_a_back_off_beyond_the_remaining_time_fails_the_request_at_once() -> None:
    module = LimitedModule('retry = { backoff = "900ms" }')
    module.request(1)
    module.end(1, Result.ERROR)
    assert 1 in module.final


def test_a_retry_budget_is_earned_by_first_attempts_and_spent_by_retries() -> None:
    module = LimitedModule("retry = { budget = { share = 0.25, burst = 2.0 } }", boxes=30)
    retried = 0
    for number in range(1, 41):
        module.request(number)
        module.end(number, Result.ERROR)
        if len(module.sent[number]) > 1:
            retried += 1
            module.end(number, Result.OK, 1)
        module.wait(20 * NS_PER_MS)
    assert (
        retried == 2 + 40 // 4 - 1 or retried == 2 + 40 // 4
    )  # the initial burst and a quarter of the first attempts


def test_retries_after_failed_connects_cost_no_budget() -> None:
    module = LimitedModule("retry = { budget = { share = 0.0, burst = 1.0 } }", boxes=8)
    for number in range(1, 5):
        module.request(number)
        module.end(number, Result.CONNECT_FAILED)
        assert len(module.sent[number]) == 2
        module.end(number, Result.OK, 1)


def test_a_second_copy_goes_to_another_box_after_its_delay() -> None:
    module = LimitedModule('copy = { after = "100ms" }')
    module.request(1)
    module.wait(99 * NS_PER_MS)
    assert len(module.sent[1]) == 1
    module.wait(2 * NS_PER_MS)
    first, second = module.sent[1]
    assert first.server != second.server
    module.wait(NS_PER_S)
    assert len(module.sent[1]) == 2


def test_an_answer_before_the_delay_prevents_the_copy() -> None:
    module = LimitedModule('copy = { after = "100ms" }')
    module.request(1)
    module.end(1, Result.OK)
    module.wait(NS_PER_S)
    assert len(module.sent[1]) == 1 and module.limited._admitted == {}


def test_both_copies_may_be_answered_in_the_same_turn() -> None:
    module = LimitedModule('copy = { after = "100ms" }')
    module.request(1)
    module.wait(101 * NS_PER_MS)
    module.end(1, Result.OK)
    module.end(1, Result.OK, 1, closed=True)
    assert module.final == {} and module.limited._admitted == {}
    assert module.limited.state(0).in_flight == 0


def test_copies_are_limited_by_their_budget() -> None:
    module = LimitedModule('copy = { after = "50ms", budget = { share = 0.0, burst = 2.0 } }', boxes=20)
    for number in range(1, 6):
        module.request(number)
    module.wait(60 * NS_PER_MS)
    assert sum(len(sent) for sent in module.sent.values()) == 7


def test_a_copy_is_sent_at_a_percentile_of_the_latency_of_the_route() -> None:
    module = LimitedModule("copy = { at = 0.9, budget = { share = 1.0, burst = 5.0 } }", boxes=20)
    for number in range(1, 101):
        module.request(number)
        module.wait(10 * NS_PER_MS if number % 20 else 90 * NS_PER_MS)
        module.end(number, Result.OK)
        module.wait(NS_PER_MS)
    module.request(200)
    module.wait(8 * NS_PER_MS)
    assert len(module.sent[200]) == 1
    module.wait(5 * NS_PER_MS)
    assert len(module.sent[200]) == 2


def test_no_copy_is_sent_to_a_cold_box() -> None:
    module = LimitedModule('copy = { after = "50ms" }', boxes=2)
    cold = module.box(1, started=module.now - NS_PER_MS)
    module.handle(api.ServerList(ListKind.DELTA, (cold,)))
    module.wait(10 * NS_PER_S)  # its tokens would allow a request by now
    for number in range(1, 6):
        module.request(number)
    module.wait(60 * NS_PER_MS)
    for sent in module.sent.values():
        assert all(send.server != cold.id for send in sent[1:])


def test_a_box_that_starts_to_drain_before_the_copy_gets_none() -> None:
    module = LimitedModule('copy = { after = "50ms" }', boxes=2)
    module.request(1)
    other = next(index for index in range(2) if module.box(index).id != module.sent[1][0].server)
    module.handle(api.ServerList(ListKind.DELTA, (module.box(other, state=ServerState.DRAINING),)))
    module.wait(NS_PER_S)
    assert len(module.sent[1]) == 1


def test_an_unsafe_request_is_never_copied() -> None:
    """Validation rejects such a file, and the module enforces the rule independently."""
    module = LimitedModule('copy = { after = "50ms" }')
    module.request(1, kind=1)
    module.wait(NS_PER_S)
    assert len(module.sent[1]) == 1


def test_a_low_priority_uses_only_part_of_the_cap() -> None:
    taken = []
    for priority in ("normal", "low", "lowest"):
        module = LimitedModule(f'admit = {{ priority = "{priority}" }}')
        for number in range(1, 200):
            module.request(number)
        taken.append(len(module.sent))
    assert taken[0] > taken[1] > taken[2] > 0


def test_a_request_without_a_route_is_handled_as_without_limits() -> None:
    module = LimitedModule("admit = { in_flight = 1 }")
    plain = Balancer(ONE_NODE, 1)
    plain.start(module.now)
    boxes = api.ServerList(ListKind.FULL, tuple(module.box(index) for index in range(5)))
    plain.handle(module.now, boxes)
    for number in range(1, 30):
        request = api.Request(number, NS_PER_S, 0, 0, number, False)
        assert module.limited.handle(module.now, request) == plain.handle(module.now, request)


def test_a_reload_applies_to_new_requests_and_keeps_the_counters() -> None:
    module = LimitedModule("admit = { in_flight = 2 }\nretry = { attempts = 3 }")
    module.request(1)
    module.request(2)
    module.table = table("admit = { in_flight = 3 }\nretry = { attempts = 1 }")
    module.limited.replace_rules(module.now, module.table.rules)
    module.request(3)
    module.request(4)
    assert 3 in module.sent and 4 in module.final  # requests 1 and 2 still count
    for attempt in (0, 1):
        module.end(1, Result.FULL, attempt)  # keeps its limit of three attempts
    assert len(module.sent[1]) == 3
    module.end(3, Result.FULL)
    assert len(module.sent[3]) == 1 and 3 in module.final


def test_a_route_can_be_removed_while_it_has_open_requests() -> None:
    module = LimitedModule(
        "admit = { in_flight = 2 }", 'copy = { after = "50ms" }\nretry = { backoff = "30ms" }'
    )
    module.request(1, route=1)
    module.request(2, route=1)
    module.end(2, Result.ERROR)  # backs off
    module.table = table("")
    module.limited.replace_rules(module.now, module.table.rules)
    module.wait(60 * NS_PER_MS)
    assert len(module.sent[1]) == 2 and len(module.sent[2]) == 3  # request 1 with its copy
    for number in (1, 2):
        for attempt in range(number - 1, len(module.sent[number])):
            module.end(number, Result.OK, attempt, closed=True)
    assert module.limited._admitted == {}


def test_an_added_route_gets_state_on_its_first_request_and_a_change_grants_no_new_burst() -> None:
    """Guards against a change of one added route resetting the state of the others."""
    module = LimitedModule("admit = { in_flight = 1 }")
    route, other = FIRST_ADDED_ROUTE, FIRST_ADDED_ROUTE + 7
    module.add(route, "admit = { in_flight = 2, rate = { per_s = 0.001, burst = 3.0 } }")
    module.add(other, "admit = { in_flight = 1 }")
    assert module.limited._added_states == {}
    module.request(1)
    module.request_added(2, route)
    module.request_added(3, route)
    module.request_added(4, other)
    untouched = module.limited.state(other)
    assert not module.final
    module.add(route, "admit = { in_flight = 3, rate = { per_s = 0.001, burst = 9.0 } }")
    module.request_added(5, route)  # the third in flight, with the last of three tokens
    assert 5 in module.sent and module.limited.state(route).in_flight == 3
    for number in (2, 3, 5):
        module.end(number, Result.OK)
    assert module.limited.state(route).in_flight == 0
    module.request_added(6, route)
    assert 6 in module.final  # no token is left: the burst of nine is not granted anew
    assert module.limited.state(other) is untouched and untouched.in_flight == 1


def test_an_added_route_survives_a_reload_and_can_be_removed_with_open_requests() -> None:
    module = LimitedModule("")
    route = FIRST_ADDED_ROUTE + 1
    module.add(route, "admit = { in_flight = 1 }")
    module.request_added(1, route)
    module.limited.replace_rules(module.now, module.table.rules)
    module.request_added(2, route)
    assert 2 in module.final
    assert not module.limited.is_idle(route) and module.limited.is_idle(route + 1)
    module.limited.remove_route(route)
    del module.added[route]
    module.end(1, Result.OK)
    assert module.limited._admitted == {} and module.limited._added_states == {}


def test_invented_tenant_names_take_bounded_memory(monkeypatch: Any) -> None:
    monkeypatch.setattr("driftstair.limits.limiting_module.MAX_TENANT_BUCKETS", 10)
    module = LimitedModule('admit = { rate = { per_s = 1.0, by = "tenant" } }')
    for number in range(1, 100):
        module.request(number, tenant=number)
    assert len(module.limited.state(0).rates) == 10


def test_the_copy_timer_token_differs_from_the_tokens_of_the_module() -> None:
    assert COPY_TIMER_TOKEN > 1000
