"""One whole configuration: change sets that switch as one for look-ups, and states that are judged."""

from __future__ import annotations

from collections.abc import Generator, Sequence

import pytest
from control_server import BUDGET, ROUTE, TENANT, Log, change
from harness import PLATFORM, given, route, with_class

from driftstair.configuration.change_sets import Change, LoggedChangeSet
from driftstair.configuration.resources import Resource, ResourceKey, canonical_json
from driftstair.configuration.state import RevisionGapError
from driftstair.limits.limiting_module import FIRST_ADDED_ROUTE
from driftstair.limits.routes import RouteQuery
from driftstair.node_configuration.effects import ClusterEffects
from driftstair.node_configuration.in_force import Applied, ConfigurationInForce
from driftstair.node_configuration.request_tables import RequestTables

TEN = {"in_flight": 10}


def nothing(keys: Sequence[ResourceKey]) -> None:
    pass


def apply(in_force: ConfigurationInForce, logged: LoggedChangeSet) -> Applied:
    steps = in_force.applying(logged, nothing)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            applied: Applied = end.value
            return applied


def judged(
    steps: Generator[None, None, ConfigurationInForce],
) -> tuple[ConfigurationInForce, int]:
    """The whole, and in how many steps it was made."""
    count = 0
    while True:
        try:
            next(steps)
            count += 1
        except StopIteration as end:
            return end.value, count


def none_kept(key: ResourceKey) -> Resource | None:
    return None


def asked(path: str) -> RouteQuery:
    return RouteQuery("page", "", "GET", path, {}, "")


def many(in_flight: int, path: str) -> list[Change]:
    """A hundred routes, which a change set of over a hundred steps puts."""
    return [change(ROUTE, f"r{n}", route(in_flight=in_flight, path=f"{path}/{n}")) for n in range(100)]


def test_at_each_step_of_a_set_requests_see_all_of_it_or_nothing() -> None:
    log = Log()
    in_force = ConfigurationInForce(given())
    tables = RequestTables(lambda: in_force, 5)
    effects = ClusterEffects(tables.routes, tables.tenants, lambda _: None, lambda _: None, lambda: None)

    def seen() -> tuple[object, ...]:
        """Of a route that stays at its path, of one that moves, and of a tenant."""
        found = tables.find(asked("/stays/7"))
        tenant = tables.tenants.find("acme")
        return (
            None if found is None else (found.name, found.in_flight),
            tables.find(asked("/old/7")) is None, tables.find(asked("/new/7")) is None,
            tables.serves("/new/99"), None if tenant is None else tenant.in_flight,
        )  # fmt: skip

    def all_seen(logged: LoggedChangeSet) -> list[tuple[object, ...]]:
        states = [seen()]
        for _ in in_force.applying(logged, effects.on_switched):
            now = seen()
            if now != states[-1]:
                states.append(now)
        assert seen() == states[-1]
        return states

    stays = [change(ROUTE, f"s{n}", route(in_flight=1, path=f"/stays/{n}")) for n in range(100)]
    first = log.put(*stays, *many(1, "/old"), change(TENANT, "acme", TEN))
    nothing_yet = (None, True, True, False, None)
    assert all_seen(first) == [nothing_yet, (("s7", 1), False, True, False, 10)]
    stays = [change(ROUTE, f"s{n}", route(in_flight=2, path=f"/stays/{n}")) for n in range(100)]
    second = log.put(*many(2, "/new"), *stays, change(TENANT, "acme", {"in_flight": 20}))
    assert all_seen(second) == [(("s7", 1), False, True, False, 10), (("s7", 2), True, False, True, 20)]
    third = log.put(*(change(ROUTE, f"s{n}", None) for n in range(100)))
    assert all_seen(third) == [(("s7", 2), True, False, True, 20), (None, True, False, True, 20)]
    assert in_force.received_digest() == log.state.digest


def test_at_each_step_of_a_set_what_is_reported_is_of_one_revision() -> None:
    """Guards against a report in mid-application: the new revision beside refusals that it ends, and so
    beside a digest that no server has at it."""
    log = Log()
    in_force = ConfigurationInForce(given())
    apply(in_force, log.put(change(ROUTE, "r", route()), change(TENANT, "acme", TEN)))
    apply(in_force, log.put(change(ROUTE, "r", route("elsewhere"))))
    assert list(in_force.refusals) == [2]

    def reported() -> tuple[int, int, list[int]]:
        return in_force.revision, in_force.received_digest(), list(in_force.refusals)

    before = reported()
    logged = log.put(change(ROUTE, "r", route(in_flight=7)), *many(1, "/many"))
    during = [reported() for _ in in_force.applying(logged, nothing)]
    after = (3, log.state.digest, [])
    assert reported() == after
    assert set(map(str, during)) == {str(before), str(after)}


def test_a_route_keeps_its_number_while_it_is_there() -> None:
    log = Log()
    in_force = ConfigurationInForce(given())
    tables = RequestTables(lambda: in_force, 5)
    effects = ClusterEffects(tables.routes, tables.tenants, lambda _: None, lambda _: None, lambda: None)

    def put(content: object) -> None:
        for _ in in_force.applying(log.put(change(ROUTE, "r", content)), effects.on_switched):
            pass

    put(route(in_flight=1))
    first = tables.find(asked("/a"))
    put(route(in_flight=2))
    second = tables.find(asked("/a"))
    assert first is not None and second is not None
    assert first.module_limits.route == second.module_limits.route >= FIRST_ADDED_ROUTE
    assert (first.in_flight, second.in_flight) == (1, 2)
    put(None)
    assert tables.find(asked("/a")) is None and len(tables.routes) == 0
    put(route(in_flight=3))
    third = tables.find(asked("/a"))
    # What was counted is over.
    assert third is not None and third.module_limits.route != first.module_limits.route


def test_a_set_that_is_not_the_next_one_changes_nothing() -> None:
    log = Log()
    first, second = log.put(change(TENANT, "a", TEN)), log.put(change(TENANT, "b", TEN))
    in_force = ConfigurationInForce(given())
    with pytest.raises(RevisionGapError):
        apply(in_force, second)
    assert in_force.revision == 0 and not list(in_force.state.resources())
    apply(in_force, first)
    with pytest.raises(RevisionGapError):
        apply(in_force, first)
    assert in_force.revision == 1


def test_a_state_that_is_judged_refuses_all_of_a_set_that_one_resource_of_is_bad() -> None:
    """It is steps of one resource each, and what was kept before stays."""
    log = Log()
    log.put(change(TENANT, "a", TEN), change(ROUTE, "r", route()), change(BUDGET, "all", {"per_s": 5.0}))
    before = ConfigurationInForce(given())
    apply(before, log.entries[0])
    log.put(change(TENANT, "a", {"in_flight": 20}), change(ROUTE, "r", route("late")))
    log.put(change(TENANT, "b", TEN), change(ROUTE, "s", route("late", path="/s")))
    log.put(*(change(TENANT, f"t{n:03}", TEN) for n in range(50)))
    resources = list(log.state.resources())
    kept = before.state.resource
    whole, steps = judged(ConfigurationInForce.judge(resources, 4, given(), kept))
    assert steps >= len(resources)
    assert list(whole.refusals) == [2, 3] and whole.revision == 4
    contents = {str(one.key): bytes(one.content) for one in whole.state.resources()}
    assert contents["tenant/a"] == canonical_json(TEN) and contents["route/r"] == canonical_json(route())
    assert "tenant/b" not in contents and "route/s" not in contents and len(contents) == 53
    assert whole.received_digest() == log.state.digest
    assert sorted(map(str, (one.key for one in whole.received_resources()))) == sorted(
        str(one.key) for one in resources
    )
    again, _ = judged(
        ConfigurationInForce.judge(
            list(whole.received_resources()), 4, given(with_class("late")), whole.state.resource
        )
    )
    assert not again.refusals and again.state.digest == log.state.digest
    assert again.given.platform != PLATFORM


def test_a_resource_of_a_refused_set_that_others_need_stays_in_force() -> None:
    log = Log()
    log.put(change(BUDGET, "all", {"per_s": 500.0}), change(ROUTE, "odd", route("late", path="/odd")))
    log.put(change(ROUTE, "r", route() | {"admit": {"rate": {"fleet": "all"}}}))
    whole, _ = judged(ConfigurationInForce.judge(log.state.resources(), 2, given(), none_kept))
    assert list(whole.refusals) == [1]
    assert [str(one.key) for one in whole.state.resources()] == ["budget/all", "route/r"]
    assert whole.received_digest() == log.state.digest


def test_a_route_that_spends_on_a_budget_comes_behind_it_whatever_revisions_they_have() -> None:
    log = Log()
    log.put(change(BUDGET, "all", {"per_s": 500.0}))
    log.put(change(ROUTE, "r", route() | {"admit": {"rate": {"fleet": "all"}}}))
    log.put(change(BUDGET, "all", {"per_s": 600.0}))
    whole, _ = judged(ConfigurationInForce.judge(log.state.resources(), 3, given(), none_kept))
    assert not whole.refusals and len(list(whole.state.resources())) == 2
    assert whole.validator.budgets["all"].per_s == 600.0
