"""One whole configuration: change sets are atomic for look-ups, and whole states are validated."""

from __future__ import annotations

from collections.abc import Generator, Sequence

import pytest
from control_server import BUDGET, DRAIN, ROUTE, TENANT, ChangeLog, change
from harness import PLATFORM, node_context, route, with_class

from driftstair.configuration.change_sets import Change, LoggedChangeSet
from driftstair.configuration.resources import ResourceKey, canonical_json
from driftstair.configuration.state import RevisionGapError
from driftstair.limits.limiting_module import FIRST_ADDED_ROUTE
from driftstair.limits.routes import RouteQuery
from driftstair.node_configuration.effects import ClusterEffects
from driftstair.node_configuration.in_force import AppliedChangeSet, ConfigurationInForce, NodeContext
from driftstair.node_configuration.request_tables import RequestTables
from driftstair.node_configuration.whole_configuration import (
    NOTHING_BEFORE,
    PreviousConfiguration,
    build_steps,
)

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
    previous = PreviousConfiguration(before.state.resource)
    whole, steps = run_build(build_steps(resources, 4, node_context(), previous))
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
        build_steps(
            list(whole.received_resources()),
            4,
            node_context(with_class("late")),
            PreviousConfiguration(whole.state.resource),
        )
    )
    assert not rebuilt.refusals and rebuilt.state.digest == log.state.digest
    assert rebuilt.context.platform != PLATFORM


def test_a_resource_of_a_refused_change_set_stays_in_force_if_others_depend_on_it() -> None:
    log = ChangeLog()
    log.put(change(BUDGET, "all", {"per_s": 500.0}), change(ROUTE, "odd", route("late", path="/odd")))
    log.put(change(ROUTE, "r", route() | {"admit": {"rate": {"fleet": "all"}}}))
    whole, _ = run_build(build_steps(log.state.resources(), 2, node_context(), NOTHING_BEFORE))
    assert list(whole.refusals) == [1]
    assert [str(resource.key) for resource in whole.state.resources()] == ["budget/all", "route/r"]
    assert whole.received_digest() == log.state.digest


def rebuild(
    in_force: ConfigurationInForce, log: ChangeLog, context: NodeContext | None = None
) -> ConfigurationInForce:
    """The configuration judged anew, as after a SIGHUP."""
    previous = PreviousConfiguration(in_force.state.resource, in_force.refused_deletions())
    rebuilt, _ = run_build(
        build_steps(
            list(in_force.received_resources()), in_force.revision, context or node_context(), previous
        )
    )
    assert rebuilt.received_digest() == log.state.digest
    return rebuilt


def names(in_force: ConfigurationInForce) -> list[str]:
    return [str(resource.key) for resource in in_force.state.resources()]


def moved_drain() -> tuple[ChangeLog, ConfigurationInForce]:
    """A node that refuses to move a drain, as the set has a route for a class that it does not have."""
    log = ChangeLog()
    in_force = ConfigurationInForce(node_context())
    apply(in_force, log.put(change(DRAIN, "s-1", {"reason": "disk"})))
    apply(
        in_force,
        log.put(
            change(DRAIN, "s-1", None),
            change(DRAIN, "s-2", {"reason": "disk"}),
            change(ROUTE, "r", route("late")),
        ),
    )
    assert names(in_force) == ["drain/s-1"] and list(in_force.refusals) == [2]
    return log, in_force


def test_a_deletion_of_a_refused_change_set_is_not_in_force_after_building_again() -> None:
    """Guards against a refused set of which the deletions alone come into force, and drains end."""
    log, in_force = moved_drain()
    for _ in range(2):
        in_force = rebuild(in_force, log)
        assert names(in_force) == ["drain/s-1"] and list(in_force.refusals) == [2]


def test_a_deletion_comes_into_force_with_its_change_set_once_that_is_valid() -> None:
    log, in_force = moved_drain()
    in_force = rebuild(rebuild(in_force, log), log, node_context(with_class("late")))
    assert names(in_force) == ["drain/s-2", "route/r"] and not in_force.refusals
    assert not in_force.refused_deletions() and in_force.state.digest == log.state.digest


def test_a_snapshot_leaves_in_force_what_a_refused_change_set_deletes() -> None:
    log, in_force = moved_drain()
    log.put(change(TENANT, "a", IN_FLIGHT_10))
    previous = PreviousConfiguration(in_force.state.resource, in_force.refused_deletions())
    built, _ = run_build(build_steps(log.state.resources(), 3, node_context(), previous))
    assert names(built) == ["drain/s-1", "tenant/a"] and list(built.refusals) == [2]
    assert built.received_digest() == log.state.digest
    # Put again by a later set, it is no deletion any more.
    log.put(change(DRAIN, "s-1", {"reason": "fans"}))
    previous = PreviousConfiguration(built.state.resource, built.refused_deletions())
    built, _ = run_build(build_steps(log.state.resources(), 4, node_context(), previous))
    assert built.state.content(ResourceKey(DRAIN, "s-1")) == canonical_json({"reason": "fans"})
    assert built.received_digest() == log.state.digest and not built.refused_deletions()


def test_what_is_left_of_a_refused_change_set_is_judged_by_itself() -> None:
    """Later change sets have replaced what was invalid, so that its deletion comes into force."""
    log, in_force = moved_drain()
    apply(in_force, log.put(change(ROUTE, "r", route()), change(DRAIN, "s-2", None)))
    assert names(in_force) == ["drain/s-1", "route/r"] and list(in_force.refusals) == [2]
    in_force = rebuild(in_force, log)
    assert names(in_force) == ["route/r"] and not in_force.refusals


def test_a_deletion_that_others_kept_in_force_depend_on_stays_refused() -> None:
    """What a refused change set keeps may need what a later one deletes, and is judged after it."""
    log = ChangeLog()
    in_force = ConfigurationInForce(node_context())
    limited = route() | {"admit": {"rate": {"fleet": "all"}}}
    apply(in_force, log.put(change(BUDGET, "all", {"per_s": 500.0}), change(ROUTE, "r", limited)))
    apply(in_force, log.put(change(ROUTE, "r", route("late"))))
    apply(in_force, log.put(change(BUDGET, "all", None), change(TENANT, "a", IN_FLIGHT_10)))
    assert names(in_force) == ["budget/all", "route/r"] and list(in_force.refusals) == [2, 3]
    in_force = rebuild(in_force, log)
    assert names(in_force) == ["budget/all", "route/r"] and list(in_force.refusals) == [2, 3]
    in_force = rebuild(in_force, log, node_context(with_class("late")))
    assert names(in_force) == ["route/r", "tenant/a"] and not in_force.refusals


def test_of_a_refused_change_set_a_resource_leaves_after_the_one_that_depends_on_it() -> None:
    log = ChangeLog()
    limited = route() | {"admit": {"rate": {"fleet": "all"}}}
    log.put(
        change(BUDGET, "all", {"per_s": 500.0}),
        change(ROUTE, "r", limited),
        change(ROUTE, "s", route("late", path="/s")),
    )
    built, _ = run_build(build_steps(log.state.resources(), 1, node_context(), NOTHING_BEFORE))
    assert names(built) == [] and list(built.refusals) == [1]
    assert built.received_digest() == log.state.digest


def test_a_kept_resource_whose_own_change_set_becomes_invalid_is_still_a_refused_deletion() -> None:
    log = ChangeLog()
    in_force = ConfigurationInForce(node_context(with_class("late")))
    apply(in_force, log.put(change(DRAIN, "s-1", {}), change(ROUTE, "r", route("late"))))
    apply(in_force, log.put(change(DRAIN, "s-1", None), change(ROUTE, "s", route("later", path="/s"))))
    assert list(in_force.refusals) == [2]
    in_force = rebuild(in_force, log)
    assert names(in_force) == ["drain/s-1"] and list(in_force.refusals) == [1, 2]


def test_a_route_that_uses_a_budget_with_a_later_revision_is_accepted() -> None:
    log = ChangeLog()
    log.put(change(BUDGET, "all", {"per_s": 500.0}))
    log.put(change(ROUTE, "r", route() | {"admit": {"rate": {"fleet": "all"}}}))
    log.put(change(BUDGET, "all", {"per_s": 600.0}))
    whole, _ = run_build(build_steps(log.state.resources(), 3, node_context(), NOTHING_BEFORE))
    assert not whole.refusals and len(list(whole.state.resources())) == 2
    assert whole.validator.budgets["all"].per_s == 600.0
