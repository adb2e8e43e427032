"""One whole configuration: change sets are atomic for look-ups, and whole states are validated."""

from __future__ import annotations

from collections.abc import Generator, Sequence

import pytest
from control_server import BUDGET, ROUTE, TENANT, ChangeLog, change
from harness import PLATFORM, node_context, route, with_class

from driftstair.configuration.change_sets import Change, LoggedChangeSet
from driftstair.configuration.resources import Resource, ResourceKey, canonical_json
from driftstair.configuration.state import RevisionGapError
from driftstair.limits.limiting_module import FIRST_ADDED_ROUTE
from driftstair.limits.routes import RouteQuery
from driftstair.node_configuration.effects import ClusterEffects
from driftstair.node_configuration.in_force import AppliedChangeSet, ConfigurationInForce
from driftstair.node_configuration.request_tables import RequestTables

IN_FLIGHT_10 = {"in_flight": 10}


def ignore_keys(keys: Sequence[ResourceKey]) -> None:
    pass


def apply(in_force: ConfigurationInForce, logged: LoggedChangeSet) -> AppliedChangeSet:
    steps = in_force.apply_steps(logged, ignore_keys)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            applied: AppliedChangeSet = end.value
            return applied


def run_build(
    steps: Generator[None, None, ConfigurationInForce],
) -> tuple[ConfigurationInForce, int]:
    """The configuration, and the number of steps in which it was built."""
    count = 0
    while True:
        try:
            next(steps)
            count += 1
        except StopIteration as end:
            return end.value, count


def no_previous_resource(key: ResourceKey) -> Resource | None:
    return None


def query(path: str) -> RouteQuery:
    return RouteQuery("page", "", "GET", path, {}, "")


def hundred_routes(in_flight: int, path: str) -> list[Change]:
    """Changes that put a hundred routes: applying them takes over a hundred steps."""
    return [change(ROUTE, f"r{n}", route(in_flight=in_flight, path=f"{path}/{n}")) for n in range(100)]


def test_at_each_step_of_a_change_set_requests_see_all_of_it_or_nothing() -> None:
    log = ChangeLog()
    in_force = ConfigurationInForce(node_context())
    tables = RequestTables(lambda: in_force, 5)
    effects = ClusterEffects(tables.routes, tables.tenants, lambda _: None, lambda _: None, lambda: None)

    def visible_state() -> tuple[object, ...]:
        """What look-ups return for a route that keeps its path, one that changes it, and a tenant."""
        route_rules = tables.find(query("/stays/7"))
        tenant = tables.tenants.find("acme")
        return (
            None if route_rules is None else (route_rules.name, route_rules.in_flight),
            tables.find(query("/old/7")) is None, tables.find(query("/new/7")) is None,
            tables.serves("/new/99"), None if tenant is None else tenant.in_flight,
        )  # fmt: skip

    def visible_states(logged: LoggedChangeSet) -> list[tuple[object, ...]]:
        states = [visible_state()]
        for _ in in_force.apply_steps(logged, effects.on_switched):
            state = visible_state()
            if state != states[-1]:
                states.append(state)
        assert visible_state() == states[-1]
        return states

    unmoved_routes = [change(ROUTE, f"s{n}", route(in_flight=1, path=f"/stays/{n}")) for n in range(100)]
    first = log.put(*unmoved_routes, *hundred_routes(1, "/old"), change(TENANT, "acme", IN_FLIGHT_10))
    initial_state = (None, True, True, False, None)
    assert visible_states(first) == [initial_state, (("s7", 1), False, True, False, 10)]
    unmoved_routes = [change(ROUTE, f"s{n}", route(in_flight=2, path=f"/stays/{n}")) for n in range(100)]
    second = log.put(*hundred_routes(2, "/new"), *unmoved_routes, change(TENANT, "acme", {"in_flight": 20}))
    assert visible_states(second) == [(("s7", 1), False, True, False, 10), (("s7", 2), True, False, True, 20)]
    third = log.put(*(change(ROUTE, f"s{n}", None) for n in range(100)))
    assert visible_states(third) == [(("s7", 2), True, False, True, 20), (None, True, False, True, 20)]
    assert in_force.received_digest() == log.state.digest


def test_at_each_step_of_a_change_set_reports_are_consistent_with_one_revision() -> None:
    """A report made while a change set is applied must not combine its revision with refusals that it ends,
    as no server has the resulting digest at that revision."""
    log = ChangeLog()
    in_force = ConfigurationInForce(node_context())
    apply(in_force, log.put(change(ROUTE, "r", route()), change(TENANT, "acme", IN_FLIGHT_10)))
    apply(in_force, log.put(change(ROUTE, "r", route("elsewhere"))))
    assert list(in_force.refusals) == [2]

    def reported_state() -> tuple[int, int, list[int]]:
        return in_force.revision, in_force.received_digest(), list(in_force.refusals)

    before = reported_state()
    logged = log.put(change(ROUTE, "r", route(in_flight=7)), *hundred_routes(1, "/many"))
    during = [reported_state() for _ in in_force.apply_steps(logged, ignore_keys)]
    after = (3, log.state.digest, [])
    assert reported_state() == after
    assert set(map(str, during)) == {str(before), str(after)}


def test_a_route_keeps_its_number_until_it_is_deleted() -> None:
    log = ChangeLog()
    in_force = ConfigurationInForce(node_context())
    tables = RequestTables(lambda: in_force, 5)
    effects = ClusterEffects(tables.routes, tables.tenants, lambda _: None, lambda _: None, lambda: None)

    def put(content: object) -> None:
        for _ in in_force.apply_steps(log.put(change(ROUTE, "r", content)), effects.on_switched):
            pass

    put(route(in_flight=1))
    first = tables.find(query("/a"))
    put(route(in_flight=2))
    second = tables.find(query("/a"))
    assert first is not None and second is not None
    assert first.module_limits.route == second.module_limits.route >= FIRST_ADDED_ROUTE
    assert (first.in_flight, second.in_flight) == (1, 2)
    put(None)
    assert tables.find(query("/a")) is None and len(tables.routes) == 0
    put(route(in_flight=3))
    third = tables.find(query("/a"))
    # The new route does not inherit the counts of the deleted one.
    assert third is not None and third.module_limits.route != first.module_limits.route


def test_a_change_set_out_of_order_changes_nothing() -> None:
    log = ChangeLog()
    first, second = log.put(change(TENANT, "a", IN_FLIGHT_10)), log.put(change(TENANT, "b", IN_FLIGHT_10))
    in_force = ConfigurationInForce(node_context())
    with pytest.raises(RevisionGapError):
        apply(in_force, second)
    assert in_force.revision == 0 and not list(in_force.state.resources())
    apply(in_force, first)
    with pytest.raises(RevisionGapError):
        apply(in_force, first)
    assert in_force.revision == 1


def test_building_a_configuration_refuses_a_whole_change_set_for_one_invalid_resource() -> None:
    """Each step handles one resource, and refused resources keep their previous content."""
    log = ChangeLog()
    log.put(
        change(TENANT, "a", IN_FLIGHT_10), change(ROUTE, "r", route()), change(BUDGET, "all", {"per_s": 5.0})
    )
    before = ConfigurationInForce(node_context())
    apply(before, log.entries[0])
    log.put(change(TENANT, "a", {"in_flight": 20}), change(ROUTE, "r", route("late")))
    log.put(change(TENANT, "b", IN_FLIGHT_10), change(ROUTE, "s", route("late", path="/s")))
    log.put(*(change(TENANT, f"t{n:03}", IN_FLIGHT_10) for n in range(50)))
    resources = list(log.state.resources())
    previous_resource = before.state.resource
    whole, steps = run_build(
        ConfigurationInForce.build_steps(resources, 4, node_context(), previous_resource)
    )
    assert steps >= len(resources)
    assert list(whole.refusals) == [2, 3] and whole.revision == 4
    contents = {str(resource.key): bytes(resource.content) for resource in whole.state.resources()}
    assert contents["tenant/a"] == canonical_json(IN_FLIGHT_10) and contents["route/r"] == canonical_json(
        route()
    )
    assert "tenant/b" not in contents and "route/s" not in contents and len(contents) == 53
    assert whole.received_digest() == log.state.digest
    assert sorted(map(str, (resource.key for resource in whole.received_resources()))) == sorted(
        str(resource.key) for resource in resources
    )
    rebuilt, _ = run_build(
        ConfigurationInForce.build_steps(
            list(whole.received_resources()), 4, node_context(with_class("late")), whole.state.resource
        )
    )
    assert not rebuilt.refusals and rebuilt.state.digest == log.state.digest
    assert rebuilt.context.platform != PLATFORM


def test_a_resource_of_a_refused_change_set_stays_in_force_if_others_depend_on_it() -> None:
    log = ChangeLog()
    log.put(change(BUDGET, "all", {"per_s": 500.0}), change(ROUTE, "odd", route("late", path="/odd")))
    log.put(change(ROUTE, "r", route() | {"admit": {"rate": {"fleet": "all"}}}))
    whole, _ = run_build(
        ConfigurationInForce.build_steps(log.state.resources(), 2, node_context(), no_previous_resource)
    )
    assert list(whole.refusals) == [1]
    assert [str(resource.key) for resource in whole.state.resources()] == ["budget/all", "route/r"]
    assert whole.received_digest() == log.state.digest


def test_a_route_that_uses_a_budget_with_a_later_revision_is_accepted() -> None:
    log = ChangeLog()
    log.put(change(BUDGET, "all", {"per_s": 500.0}))
    log.put(change(ROUTE, "r", route() | {"admit": {"rate": {"fleet": "all"}}}))
    log.put(change(BUDGET, "all", {"per_s": 600.0}))
    whole, _ = run_build(
        ConfigurationInForce.build_steps(log.state.resources(), 3, node_context(), no_previous_resource)
    )
    assert not whole.refusals and len(list(whole.state.resources())) == 2
    assert whole.validator.budgets["all"].per_s == 600.0
