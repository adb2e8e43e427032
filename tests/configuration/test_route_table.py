"""Routes are compiled when first used; the ones used last are kept, under numbers that stay."""

from __future__ import annotations

import pytest

from driftstair.configuration import route_table
from driftstair.configuration.resources import ResourceKey, canonical
from driftstair.configuration.route_table import CompiledRoutes

FIRST = 100


class Contents(dict[str, bytes]):
    """By name of the route; counts how often it is asked."""

    asked = 0

    def of(self, key: ResourceKey) -> bytes | None:
        self.asked += 1
        return self.get(key.name)

    def route(self, name: str, total: str) -> None:
        self[name] = canonical({"timeout": {"total": total}})


@pytest.fixture
def contents() -> Contents:
    found = Contents()
    for name in "abcdef":
        found.route(name, "1s")
    return found


def test_a_route_is_compiled_once_and_found_by_its_number(contents: Contents) -> None:
    routes = CompiledRoutes(contents.of, 3, FIRST)
    assert len(routes) == 0
    first = routes.rules("a")
    assert first is not None and first is routes.rules("a") and contents.asked == 1
    assert (first.name, first.total, first.module_limits.route) == ("a", 1_000_000_000, FIRST)
    assert routes[FIRST] is first and list(routes) == [FIRST]
    assert routes.rules("nobody") is None


def test_a_changed_route_is_compiled_anew_under_its_number(contents: Contents) -> None:
    routes = CompiledRoutes(contents.of, 3, FIRST)
    routes.rules("a")
    routes.rules("b")
    contents.route("a", "2s")
    routes.on_change("a")
    changed = routes.rules("a")
    assert changed is not None and (changed.total, changed.module_limits.route) == (2_000_000_000, FIRST)
    contents.route("b", "3s")
    routes.on_change_of_all()
    other = routes.rules("b")
    assert other is not None and (other.total, other.module_limits.route) == (3_000_000_000, FIRST + 1)


def test_a_route_that_is_gone_is_forgotten_and_its_number_is_not_used_again(contents: Contents) -> None:
    over: list[int] = []
    routes = CompiledRoutes(contents.of, 3, FIRST, on_forget=over.append)
    routes.rules("a")
    del contents["a"]
    routes.on_change("a")
    routes.on_change("never used")
    assert over == [FIRST] and len(routes) == 0
    contents.route("a", "1s")
    again = routes.rules("a")
    assert again is not None and again.module_limits.route == FIRST + 1
    del contents["a"]
    routes.on_change_of_all()
    assert routes.rules("a") is None and over == [FIRST, FIRST + 1]


def test_no_more_than_the_bound_are_kept_and_those_used_last_stay(
    contents: Contents, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(route_table, "COMPILED_MAX", 3)
    over: list[int] = []
    routes = CompiledRoutes(contents.of, 3, FIRST, on_forget=over.append)
    for name in ("a", "b", "c", "a", "d", "e"):
        assert routes.rules(name) is not None
    assert over == [FIRST + 1, FIRST + 2]
    assert {rules.name for rules in routes.values()} == {"a", "d", "e"}


def test_a_route_with_open_requests_is_kept(contents: Contents, monkeypatch: pytest.MonkeyPatch) -> None:
    """What is in flight is counted under its number: forgetting it would let as many in again."""
    monkeypatch.setattr(route_table, "COMPILED_MAX", 3)
    over: list[int] = []
    routes = CompiledRoutes(contents.of, 3, FIRST, lambda number: number != FIRST, over.append)
    for name in "abcd":
        routes.rules(name)
    assert over == [FIRST + 1]
    busy = CompiledRoutes(contents.of, 3, FIRST, lambda number: False, over.append)
    for name in "abcdef":
        assert busy.rules(name) is not None
    assert len(busy) == 6 and over == [FIRST + 1]


def test_what_was_never_proved_has_no_rules(contents: Contents) -> None:
    contents["a"] = b'{"new":"key"}'
    assert CompiledRoutes(contents.of, 3, FIRST).rules("a") is None
