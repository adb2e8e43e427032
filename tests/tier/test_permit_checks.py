"""The checker of permits finds what it is there for."""

from __future__ import annotations

from typing import Any

from driftstair.rehearsal.tier.permits import absences, check

S = 1_000_000_000


def start(node: int, at: float) -> dict[str, Any]:
    return {"t_ns": int(at * S), "node": node, "event": "start"}


def permit(node: int, at: float, what: str, token: int = 5, until: float = 60.0) -> dict[str, Any]:
    return {
        "t_ns": int(at * S), "node": node, "event": "permit", "what": what, "token": token,
        "until_ns": int(until * S),
    }  # fmt: skip


def whats(events: list[dict[str, Any]], at_once: int = 1, zones: dict[int, int] | None = None) -> list[str]:
    return [one.rule for one in check(events, at_once, zones or {})]


def test_one_after_the_other_is_nothing_to_find() -> None:
    events = [permit(0, 1, "took"), permit(0, 5, "gave"), permit(1, 6, "took"), permit(1, 7, "gave")]
    assert whats(events) == []


def test_two_at_once_where_one_may_be() -> None:
    events = [permit(0, 1, "took"), permit(1, 3, "took"), permit(0, 5, "gave")]
    assert whats(events) == ["too many are out by permits"]
    assert whats(events, 2) == []


def test_two_zones_at_once() -> None:
    events = [permit(0, 1, "took"), permit(1, 3, "took")]
    assert whats(events, 2, {1: 1}) == ["two zones are out by permits"]


def test_who_ended_with_a_permit_is_out_until_it_is_back() -> None:
    events = [permit(0, 1, "took"), start(0, 9), permit(1, 8, "took")]
    assert whats(events) == ["too many are out by permits"]
    assert whats([permit(0, 1, "took"), start(0, 9), permit(1, 9.5, "took")]) == []


def test_a_permit_is_over_with_its_term() -> None:
    assert [one.end for one in absences([permit(0, 1, "took", until=6.0)])] == [6 * S]
    assert whats([permit(0, 1, "took", until=6.0), permit(1, 7, "took")]) == []


def test_a_token_that_falls_at_one_node() -> None:
    events = [permit(0, 1, "took", 9), permit(0, 2, "gave"), permit(0, 3, "took", 8), permit(0, 4, "gave")]
    assert whats(events) == ["an older steward's permit was taken"]
