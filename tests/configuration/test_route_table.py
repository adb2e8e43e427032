"""Tests of the cache of compiled routes: each is compiled when it is first used, and keeps its number while
it is cached."""

from __future__ import annotations

import pytest

from driftstair.configuration import route_table
from driftstair.configuration.resources import ResourceKey, canonical_json
from driftstair.configuration.route_table import CompiledRoutes

FIRST_NUMBER = 100


class Contents(dict[str, bytes]):
    """Contents by the name of the route; counts look-ups."""

    look_ups = 0

    def look_up(self, key: ResourceKey) -> bytes | None:
        self.look_ups += 1
        return self.get(key.name)

    def put_route(self, name: str, total: str) -> None:
        self[name] = canonical_json({"timeout": {"total": total}})


@pytest.fixture
def contents() -> Contents:
    initial_contents = Contents()
    for name in "abcdef":
        initial_contents.put_route(name, "1s")
    return initial_contents


def test_a_route_is_compiled_once_and_found_by_its_number(contents: Contents) -> None:
    routes = CompiledRoutes(contents.look_up, 3, FIRST_NUMBER)
    assert len(routes) == 0
    first = routes.rules("a")
    assert first is not None and first is routes.rules("a") and contents.look_ups == 1
    assert (first.name, first.total, first.module_limits.route) == ("a", 1_000_000_000, FIRST_NUMBER)
    assert routes[FIRST_NUMBER] is first and list(routes) == [FIRST_NUMBER]
    assert routes.rules("nobody") is None


def test_a_changed_route_is_recompiled_under_the_same_number(contents: Contents) -> None:
    routes = CompiledRoutes(contents.look_up, 3, FIRST_NUMBER)
    routes.rules("a")
    routes.rules("b")
    contents.put_route("a", "2s")
    routes.on_change("a")
    recompiled = routes.rules("a")
    assert recompiled is not None and (recompiled.total, recompiled.module_limits.route) == (
        2_000_000_000,
        FIRST_NUMBER,
    )
    contents.put_route("b", "3s")
    routes.on_all_changed()
    other = routes.rules("b")
    assert other is not None and (other.total, other.module_limits.route) == (
        3_000_000_000,
        FIRST_NUMBER + 1,
    )


def test_a_deleted_route_is_evicted_and_its_number_is_not_reused(contents: Contents) -> None:
    evicted: list[int] = []
    routes = CompiledRoutes(contents.look_up, 3, FIRST_NUMBER, on_evict=evicted.append)
    routes.rules("a")
    del contents["a"]
    routes.on_change("a")
    routes.on_change("never used")
    assert evicted == [FIRST_NUMBER] and len(routes) == 0
    contents.put_route("a", "1s")
    added_again = routes.rules("a")
    assert added_again is not None and added_again.module_limits.route == FIRST_NUMBER + 1
    del contents["a"]
    routes.on_all_changed()
    assert routes.rules("a") is None and evicted == [FIRST_NUMBER, FIRST_NUMBER + 1]


def test_the_cache_is_bounded_and_keeps_the_most_recently_used_routes(
    contents: Contents, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(route_table, "COMPILED_ROUTES_MAX", 3)
    evicted: list[int] = []
    routes = CompiledRoutes(contents.look_up, 3, FIRST_NUMBER, on_evict=evicted.append)
    for name in ("a", "b", "c", "a", "d", "e"):
        assert routes.rules(name) is not None
    assert evicted == [FIRST_NUMBER + 1, FIRST_NUMBER + 2]
    assert {rules.name for rules in routes.values()} == {"a", "d", "e"}


def test_a_route_with_open_requests_is_not_evicted(
    contents: Contents, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Requests in flight are counted under the number of their route. Evicting it would reset the count and
    admit as many requests again."""
    monkeypatch.setattr(route_table, "COMPILED_ROUTES_MAX", 3)
    evicted: list[int] = []
    routes = CompiledRoutes(
        contents.look_up, 3, FIRST_NUMBER, lambda number: number != FIRST_NUMBER, evicted.append
    )
    for name in "abcd":
        routes.rules(name)
    assert evicted == [FIRST_NUMBER + 1]
    busy_routes = CompiledRoutes(contents.look_up, 3, FIRST_NUMBER, lambda number: False, evicted.append)
    for name in "abcdef":
        assert busy_routes.rules(name) is not None
    assert len(busy_routes) == 6 and evicted == [FIRST_NUMBER + 1]


def test_an_unvalidated_content_has_no_rules(contents: Contents) -> None:
    contents["a"] = b'{"new":"key"}'
    assert CompiledRoutes(contents.look_up, 3, FIRST_NUMBER).rules("a") is None
