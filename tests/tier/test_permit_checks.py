"""The checker of permits on constructed histories."""

from __future__ import annotations

from typing import Any

from driftstair.rehearsal.tier.permits import absences, check

SECOND = 1_000_000_000


def start(node: int, at_s: float) -> dict[str, Any]:
    return {"t_ns": int(at_s * SECOND), "node": node, "event": "start"}


def permit(node: int, at_s: float, what: str, token: int = 5, until_s: float = 60.0) -> dict[str, Any]:
    return {
        "t_ns": int(at_s * SECOND), "node": node, "event": "permit", "what": what, "token": token,
        "until_ns": int(until_s * SECOND),
    }  # fmt: skip


def broken_rules(
    events: list[dict[str, Any]], at_once: int = 1, zones: dict[int, int] | None = None
) -> list[str]:
    return [finding.rule for finding in check(events, at_once, zones or {})]


def test_successive_permits_are_valid() -> None:
    events = [permit(0, 1, "took"), permit(0, 5, "gave"), permit(1, 6, "took"), permit(1, 7, "gave")]
    assert broken_rules(events) == []


def test_two_concurrent_permits_where_one_is_allowed_are_found() -> None:
    events = [permit(0, 1, "took"), permit(1, 3, "took"), permit(0, 5, "gave")]
    assert broken_rules(events) == ["too many are out by permits"]
    assert broken_rules(events, 2) == []


def test_concurrent_permits_in_two_zones_are_found() -> None:
    events = [permit(0, 1, "took"), permit(1, 3, "took")]
    assert broken_rules(events, 2, {1: 1}) == ["two zones are out by permits"]


def test_a_node_whose_process_ended_with_a_permit_is_out_until_the_next_start() -> None:
    events = [permit(0, 1, "took"), start(0, 9), permit(1, 8, "took")]
    assert broken_rules(events) == ["too many are out by permits"]
    assert broken_rules([permit(0, 1, "took"), start(0, 9), permit(1, 9.5, "took")]) == []


def test_a_permit_ends_with_its_term() -> None:
    assert [out.end for out in absences([permit(0, 1, "took", until_s=6.0)])] == [6 * SECOND]
    assert broken_rules([permit(0, 1, "took", until_s=6.0), permit(1, 7, "took")]) == []


def test_a_decreasing_token_at_one_node_is_found() -> None:
    events = [permit(0, 1, "took", 9), permit(0, 2, "gave"), permit(0, 3, "took", 8), permit(0, 4, "gave")]
    assert broken_rules(events) == ["an older steward's permit was taken"]
