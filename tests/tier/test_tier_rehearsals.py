"""Shipped scenarios of a tier, with little load: the same verdict in virtual time whatever the machine."""

from __future__ import annotations

from typing import Any

import pytest

from driftstair.rehearsal import virtual
from driftstair.rehearsal.load import ScenarioError, load, parse, shipped
from driftstair.rehearsal.report import build, html
from driftstair.tier.membership.core import NEVER, Membership
from driftstair.tier.membership.suspicion import Suspicion

SCENARIOS = [name for name in shipped() if name.startswith("tier-")]
LIGHT = {"load": {"rate": 15.0, "keys": 30}, "boxes": {"count": 4}}


def report(name: str) -> dict[str, Any]:
    rehearsal, log, _ = virtual.play(load(name, LIGHT))
    return build.build(rehearsal, log, "virtual")


@pytest.mark.parametrize("name", SCENARIOS)
def test_a_shipped_scenario_of_a_tier_has_no_finding(name: str) -> None:
    found = report(name)
    assert found["tier"]["findings"] == []
    assert found["verdict"]["rules_kept"] and not found["verdict"]["crashes"], found["breaks"]
    assert found["tier"]["datagrams"] > 500
    assert "nodes, as the others hold them" in html.page(found)


def test_the_same_run_gives_the_same_report_to_the_byte() -> None:
    assert build.text_of(report("tier-pauses")) == build.text_of(report("tier-pauses"))


def test_members_by_time_show_who_was_held_dead() -> None:
    found = report("tier-crashes")["tier"]["members"]
    dead = {name for name, spells in found.items() for spell in spells if spell.get("dead")}
    assert dead == {"n1", "n2", "n5"}
    assert all(spells[-1].get("alive") == 6 for spells in found.values())


def test_a_run_that_a_person_ends_is_judged_as_far_as_it_went(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its report once said that every node had judged as it should, with no history looked at."""
    monkeypatch.setattr(Suspicion, "end", lambda self: NEVER)
    seconds: list[float] = []
    rehearsal, log, _ = virtual.play(
        load("tier-crashes", LIGHT), seconds.append, lambda: bool(seconds) and seconds[-1] > 16
    )
    found = build.build(rehearsal, log, "virtual")
    assert found["ended"] == "cut off"
    assert found["tier"]["findings"] and found["tier"]["members"]["n1"]


def test_a_tier_that_does_not_refute_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Membership, "_answer_claim", lambda self, now, claim: None)
    found = report("tier-pauses")
    assert found["verdict"]["tier_findings"] > 0
    assert {one["member"] for one in found["tier"]["findings"]} <= {"n2", "n4", "n3"}


def test_a_tier_that_never_finds_a_death_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Suspicion, "end", lambda self: NEVER)
    rules = {one["rule"] for one in report("tier-crashes")["tier"]["findings"]}
    assert "a dead node is not held dead" in rules


@pytest.mark.parametrize(
    ("tree", "why"),
    [
        ({"trouble": [{"kind": "links", "at_s": 1}]}, "nodes send each other nothing without a table"),
        ({"nodes": {"tier": {"perod_ms": 3}}}, "nodes.tier.perod_ms: no such key"),
        ({"nodes": {"tier": {"period_ms": 1}}}, "nodes.tier.period_ms"),
        ({"nodes": {"tier": {}}, "trouble": [{"kind": "links", "at_s": 1, "senders": ["n9"]}]},
         "trouble[0].senders: no such node: 'n9'"),
        ({"nodes": {"tier": {}}, "trouble": [{"kind": "links", "at_s": 1, "receivers": 9}]},
         "trouble[0].receivers: 9 of 3 nodes can't be chosen"),
        ({"nodes": {"tier": {}}, "trouble": [{"kind": "links", "at_s": 1, "loss": 2}]}, "trouble[0].loss"),
    ],
)  # fmt: skip
def test_what_can_t_be_played_is_refused(tree: dict[str, Any], why: str) -> None:
    with pytest.raises(ScenarioError) as found:
        parse({"version": 1, **tree}, "f")
    assert why in str(found.value)
