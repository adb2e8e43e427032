"""The layer between sockets and module, and what the module makes of limits: event by event."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from platform_of_tests import MS, SETTINGS, S

from driftstair.limits.compiled_route import RouteRules
from driftstair.limits.limiting_module import COPY_TIMER_TOKEN, FIRST_ADDED_ROUTE, LimitingModule
from driftstair.limits.request_table import FileRequestTable
from driftstair.service.load import parse
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.interface import ListKind, Result, ServerState

ONE_NODE = replace(SETTINGS, nodes=1)
CALM = 100 * S  # boxes have been warm for long


def table(*routes: str, settings: api.Settings = ONE_NODE) -> FileRequestTable:
    """Routes named r0, r1, ... by the lines of their tables."""
    text = "version = 1\n" + "".join(
        f'[[route]]\nname = "r{index}"\n{one}\n' for index, one in enumerate(routes)
    )
    return FileRequestTable(parse(text, "f").service, settings)


class World:
    """The module under limits, driven by hand."""

    def __init__(self, *routes: str, boxes: int = 5, settings: api.Settings = ONE_NODE) -> None:
        self.table = table(*routes, settings=settings)
        self.now = CALM
        self.added: dict[int, RouteRules] = {}
        self.limited = LimitingModule(Balancer(settings, 1), settings, self.table.rules, added=self.added)
        self.timers: list[tuple[int, int]] = []
        self.sent: dict[int, list[api.Send]] = {}
        self.final: dict[int, api.Action] = {}
        self._take(self.limited.start(self.now))
        self.tell(api.ServerList(ListKind.FULL, tuple(self.box(index) for index in range(boxes))))

    def box(self, index: int, **changes: Any) -> api.Server:
        return api.Server(b"box-%04d" % index, 0, 0, ServerState.READY, 1.0, 0)._replace(**changes)

    def _take(self, actions: list[api.Action]) -> list[api.Action]:
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append((action.at, action.token))
            elif isinstance(action, api.Send):
                self.sent.setdefault(action.request, []).append(action)
            elif isinstance(action, api.Refuse | api.Fail):
                assert action.request not in self.final
                self.final[action.request] = action
        return actions

    def tell(self, event: api.Event) -> list[api.Action]:
        return self._take(self.limited.handle(self.now, event))

    def add(self, route: int, text: str) -> None:
        """A route beside the file's is as this from now on."""
        rules = table(text).rules[0]
        self.added[route] = replace(rules, module_limits=rules.module_limits._replace(route=route))

    def ask_added(self, number: int, route: int) -> None:
        self.tell(api.Request(number, S, 0, 0, 0, False, self.added[route].module_limits))

    def ask(
        self, number: int, route: int = 0, tenant: int = 0, kind: int = 0, left: int = S
    ) -> list[api.Action]:
        handed = self.table.rules[route].module_limits
        return self.tell(api.Request(number, left, kind, tenant, 0, False, handed))

    def end(
        self, number: int, result: Result, attempt: int = 0, elapsed: int = 20 * MS, closed: bool = False
    ) -> None:
        sent = self.sent[number][attempt]
        closed = closed or result is Result.OK
        self.tell(api.Outcome(number, closed, result, elapsed, sent.server, attempt, ()))

    def wait(self, ns: int) -> None:
        """Let time pass; timers come when they are due."""
        until = self.now + ns
        while due := sorted(one for one in self.timers if one[0] <= until):
            self.timers.remove(due[0])
            self.now = max(self.now, due[0][0])
            self.tell(api.Timer(due[0][1]))
        self.now = until


def test_requests_in_flight_on_a_route_are_bounded_and_others_are_not() -> None:
    world = World("admit = { in_flight = 2 }", "")
    for number in (1, 2, 3):
        world.ask(number)
    assert set(world.sent) == {1, 2} and isinstance(world.final[3], api.Refuse)
    world.ask(4, route=1)
    assert 4 in world.sent
    world.end(1, Result.OK)
    world.ask(5)
    assert 5 in world.sent
    world.tell(api.ClientGone(2))
    world.ask(6)
    assert 6 in world.sent


def test_a_rate_refuses_with_the_time_until_a_token_is_there() -> None:
    world = World("admit = { rate = { per_s = 2.0, burst = 1.0 } }")
    world.ask(1)
    world.ask(2)
    refused = world.final[2]
    assert isinstance(refused, api.Refuse) and 500 * MS <= refused.retry_after <= 510 * MS
    world.wait(510 * MS)
    world.ask(3)
    assert 3 in world.sent


def test_a_rate_for_each_tenant() -> None:
    world = World('admit = { rate = { per_s = 1.0, burst = 1.0, by = "tenant" } }')
    world.ask(1, tenant=0)
    world.ask(2, tenant=1)
    world.ask(3, tenant=0)
    assert set(world.sent) == {1, 2} and 3 in world.final


def test_total_and_attempt_time_outs_narrow_what_the_module_sends() -> None:
    world = World('timeout = { total = "300ms", attempt = "120ms", first_byte = "50ms" }')
    world.ask(1)
    (send,) = world.sent[1]
    assert (send.time_out, send.first_byte) == (120 * MS, 50 * MS)
    world.ask(2, left=80 * MS)
    assert world.sent[2][0].time_out == 80 * MS  # narrowed, never widened


def test_no_attempt_is_made_past_the_total() -> None:
    world = World('timeout = { total = "300ms" }')
    world.ask(1)
    world.wait(299 * MS)
    world.end(1, Result.ERROR)
    assert 1 in world.final and len(world.sent[1]) == 1


def test_attempts_are_bounded() -> None:
    world = World("retry = { attempts = 2 }", "retry = { attempts = 1 }")
    world.ask(1)
    world.end(1, Result.ERROR)
    assert len(world.sent[1]) == 2 and 1 not in world.final
    world.end(1, Result.ERROR, 1)
    assert len(world.sent[1]) == 2 and 1 in world.final
    world.ask(2, route=1)
    world.end(2, Result.FULL)
    assert len(world.sent[2]) == 1 and 2 in world.final


def test_only_the_named_outcomes_are_tried_again() -> None:
    world = World('retry = { on = ["full", "connect"] }')
    for number, result, again in (
        (1, Result.FULL, True), (2, Result.CONNECT_FAILED, True), (3, Result.ERROR, False),
        (4, Result.RESET, False), (5, Result.NOT_SENT, True),
    ):  # fmt: skip
        world.ask(number)
        world.end(number, result)
        assert (len(world.sent[number]) == 2) is again, result
        assert (number in world.final) is not again


def test_a_back_off_doubles_and_holds_the_request_without_an_answer() -> None:
    world = World('retry = { backoff = "40ms", backoff_most = "60ms", jitter = 0.0 }')
    world.ask(1)
    world.end(1, Result.ERROR)
    assert len(world.sent[1]) == 1 and 1 not in world.final
    world.wait(39 * MS)
    assert len(world.sent[1]) == 1
    world.wait(2 * MS)
    assert len(world.sent[1]) == 2
    world.end(1, Result.ERROR, 1)
    world.wait(59 * MS)
    assert len(world.sent[1]) == 2
    world.wait(2 * MS)
    assert len(world.sent[1]) == 3


def test_jitter_spreads_a_back_off_below_it() -> None:
    waits = []
    for number in range(1, 40):
        world = World('retry = { backoff = "100ms", jitter = 1.0 }')
        world.limited._module._random.seed(number)  # type: ignore[attr-defined]
        world.ask(number)
        world.end(number, Result.ERROR)
        began = world.now
        while len(world.sent[number]) == 1:
            world.wait(MS)
        waits.append((world.now - began) // MS)
    assert max(waits) <= 101 and min(waits) < 30 and len(set(waits)) > 20


def test_a_client_that_leaves_in_the_midst_of_a_back_off_ends_it() -> None:
    world = World('retry = { backoff = "40ms" }')
    world.ask(1)
    world.end(1, Result.ERROR)
    world.tell(api.ClientGone(1))
    world.wait(S)
    assert len(world.sent[1]) == 1 and world.limited._admitted == {}
    assert world.limited.state(0).in_flight == 0


def test_a_back_off_past_the_time_is_answered_at_once() -> None:
    world = World('retry = { backoff = "900ms" }')
    world.ask(1)
    world.end(1, Result.ERROR)
    assert 1 in world.final


def test_a_retry_budget_is_earned_by_first_tries_and_spent_by_retries() -> None:
    world = World("retry = { budget = { share = 0.25, burst = 2.0 } }", boxes=30)
    again = 0
    for number in range(1, 41):
        world.ask(number)
        world.end(number, Result.ERROR)
        if len(world.sent[number]) > 1:
            again += 1
            world.end(number, Result.OK, 1)
        world.wait(20 * MS)
    assert (
        again == 2 + 40 // 4 - 1 or again == 2 + 40 // 4
    )  # what was saved, and a quarter of the first tries


def test_what_never_arrived_costs_no_budget() -> None:
    world = World("retry = { budget = { share = 0.0, burst = 1.0 } }", boxes=8)
    for number in range(1, 5):
        world.ask(number)
        world.end(number, Result.CONNECT_FAILED)
        assert len(world.sent[number]) == 2
        world.end(number, Result.OK, 1)


def test_a_second_copy_goes_to_another_box_after_its_delay() -> None:
    world = World('copy = { after = "100ms" }')
    world.ask(1)
    world.wait(99 * MS)
    assert len(world.sent[1]) == 1
    world.wait(2 * MS)
    first, second = world.sent[1]
    assert first.server != second.server
    world.wait(S)
    assert len(world.sent[1]) == 2


def test_an_answer_in_time_wants_no_copy() -> None:
    world = World('copy = { after = "100ms" }')
    world.ask(1)
    world.end(1, Result.OK)
    world.wait(S)
    assert len(world.sent[1]) == 1 and world.limited._admitted == {}


def test_first_answer_and_copy_may_come_in_one_turn() -> None:
    world = World('copy = { after = "100ms" }')
    world.ask(1)
    world.wait(101 * MS)
    world.end(1, Result.OK)
    world.end(1, Result.OK, 1, closed=True)
    assert world.final == {} and world.limited._admitted == {}
    assert world.limited.state(0).in_flight == 0


def test_copies_have_a_budget() -> None:
    world = World('copy = { after = "50ms", budget = { share = 0.0, burst = 2.0 } }', boxes=20)
    for number in range(1, 6):
        world.ask(number)
    world.wait(60 * MS)
    assert sum(len(sent) for sent in world.sent.values()) == 7


def test_a_copy_at_a_percentile_of_the_routes_own_latency() -> None:
    world = World("copy = { at = 0.9, budget = { share = 1.0, burst = 5.0 } }", boxes=20)
    for number in range(1, 101):
        world.ask(number)
        world.wait(10 * MS if number % 20 else 90 * MS)
        world.end(number, Result.OK)
        world.wait(MS)
    world.ask(200)
    world.wait(8 * MS)
    assert len(world.sent[200]) == 1
    world.wait(5 * MS)
    assert len(world.sent[200]) == 2


def test_no_copy_goes_to_a_box_that_has_just_started() -> None:
    world = World('copy = { after = "50ms" }', boxes=2)
    cold = world.box(1, started=world.now - MS)
    world.tell(api.ServerList(ListKind.DELTA, (cold,)))
    world.wait(10 * S)  # its tokens would let it take one
    for number in range(1, 6):
        world.ask(number)
    world.wait(60 * MS)
    for sent in world.sent.values():
        assert all(send.server != cold.id for send in sent[1:])


def test_a_box_that_drains_between_first_try_and_copy_gets_none() -> None:
    world = World('copy = { after = "50ms" }', boxes=2)
    world.ask(1)
    other = next(index for index in range(2) if world.box(index).id != world.sent[1][0].server)
    world.tell(api.ServerList(ListKind.DELTA, (world.box(other, state=ServerState.DRAINING),)))
    world.wait(S)
    assert len(world.sent[1]) == 1


def test_no_copy_of_what_is_not_safe_whoever_wants_it() -> None:
    """The proof refuses such a file; the module keeps the rule all the same."""
    world = World('copy = { after = "50ms" }')
    world.ask(1, kind=1)
    world.wait(S)
    assert len(world.sent[1]) == 1


def test_a_low_priority_fills_only_a_part_of_the_cap() -> None:
    taken = []
    for priority in ("normal", "low", "lowest"):
        world = World(f'admit = {{ priority = "{priority}" }}')
        for number in range(1, 200):
            world.ask(number)
        taken.append(len(world.sent))
    assert taken[0] > taken[1] > taken[2] > 0


def test_a_request_without_a_route_passes_as_without_limits() -> None:
    world = World("admit = { in_flight = 1 }")
    plain = Balancer(ONE_NODE, 1)
    plain.start(world.now)
    boxes = api.ServerList(ListKind.FULL, tuple(world.box(index) for index in range(5)))
    plain.handle(world.now, boxes)
    for number in range(1, 30):
        request = api.Request(number, S, 0, 0, number, False)
        assert world.limited.handle(world.now, request) == plain.handle(world.now, request)


def test_a_reload_binds_new_requests_and_forgets_nothing_that_is_counted() -> None:
    world = World("admit = { in_flight = 2 }\nretry = { attempts = 3 }")
    world.ask(1)
    world.ask(2)
    world.table = table("admit = { in_flight = 3 }\nretry = { attempts = 1 }")
    world.limited.replace_rules(world.now, world.table.rules)
    world.ask(3)
    world.ask(4)
    assert 3 in world.sent and 4 in world.final  # the two from before count
    for attempt in (0, 1):
        world.end(1, Result.FULL, attempt)  # as it came: three attempts
    assert len(world.sent[1]) == 3
    world.end(3, Result.FULL)
    assert len(world.sent[3]) == 1 and 3 in world.final


def test_a_route_that_is_removed_while_it_has_requests() -> None:
    world = World("admit = { in_flight = 2 }", 'copy = { after = "50ms" }\nretry = { backoff = "30ms" }')
    world.ask(1, route=1)
    world.ask(2, route=1)
    world.end(2, Result.ERROR)  # backs off
    world.table = table("")
    world.limited.replace_rules(world.now, world.table.rules)
    world.wait(60 * MS)
    assert len(world.sent[1]) == 2 and len(world.sent[2]) == 3  # with its copy
    for number in (1, 2):
        for attempt in range(number - 1, len(world.sent[number])):
            world.end(number, Result.OK, attempt, closed=True)
    assert world.limited._admitted == {}


def test_an_added_route_is_counted_from_its_first_request_and_a_change_is_no_new_burst() -> None:
    """Changing one of thousands of routes may not make what is counted of all the others anew."""
    world = World("admit = { in_flight = 1 }")
    route, other = FIRST_ADDED_ROUTE, FIRST_ADDED_ROUTE + 7
    world.add(route, "admit = { in_flight = 2, rate = { per_s = 0.001, burst = 3.0 } }")
    world.add(other, "admit = { in_flight = 1 }")
    assert world.limited._added_states == {}
    world.ask(1)
    world.ask_added(2, route)
    world.ask_added(3, route)
    world.ask_added(4, other)
    untouched = world.limited.state(other)
    assert not world.final
    world.add(route, "admit = { in_flight = 3, rate = { per_s = 0.001, burst = 9.0 } }")
    world.ask_added(5, route)  # the third in flight, and the last token of the three
    assert 5 in world.sent and world.limited.state(route).in_flight == 3
    for number in (2, 3, 5):
        world.end(number, Result.OK)
    assert world.limited.state(route).in_flight == 0
    world.ask_added(6, route)
    assert 6 in world.final  # no token, though nine would be a new burst
    assert world.limited.state(other) is untouched and untouched.in_flight == 1


def test_an_added_route_outlives_a_reload_and_may_go_while_it_has_requests() -> None:
    world = World("")
    route = FIRST_ADDED_ROUTE + 1
    world.add(route, "admit = { in_flight = 1 }")
    world.ask_added(1, route)
    world.limited.replace_rules(world.now, world.table.rules)
    world.ask_added(2, route)
    assert 2 in world.final
    assert not world.limited.is_idle(route) and world.limited.is_idle(route + 1)
    world.limited.remove_route(route)
    del world.added[route]
    world.end(1, Result.OK)
    assert world.limited._admitted == {} and world.limited._added_states == {}


def test_tenants_that_clients_make_up_fill_no_memory(monkeypatch: Any) -> None:
    monkeypatch.setattr("driftstair.limits.limiting_module.MAX_TENANT_BUCKETS", 10)
    world = World('admit = { rate = { per_s = 1.0, by = "tenant" } }')
    for number in range(1, 100):
        world.ask(number, tenant=number)
    assert len(world.limited.state(0).rates) == 10


def test_the_layers_timer_is_none_of_the_modules() -> None:
    assert COPY_TIMER_TOKEN > 1000
