"""The rules over generated legal sequences of events, for all shapes of settings."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from world import BASE, MS, Game, RuleBroken, settings

from lichenspring import Balancer, balance
from lichenspring import interface as api

SHAPES = st.fixed_dictionaries(
    {
        "list_mode": st.sampled_from(api.ListMode),
        "tenants": st.sampled_from([(), (api.Tenant(0.7), api.Tenant(0.3))]),
        "retry_after": st.booleans(),
        "worth_by_work": st.booleans(),
        "nodes": st.sampled_from([1, 5, 200]),
        "key_rest": st.sampled_from([0, 50 * MS, 400 * MS]),
        "max_attempts": st.sampled_from([1, 2, 4]),
        "report_fields": st.sampled_from([(), ("utilization",), ("completed_per_s", "utilization")]),
    }
)


def classes(group: api.Group) -> tuple[api.RequestClass, ...]:
    return (
        api.RequestClass(300 * MS, 1.0, 0.0, api.Repeat.SAFE),
        api.RequestClass(300 * MS, 5.0, 0.2, api.Repeat.KEYED, group, 700 * MS),
        api.RequestClass(200 * MS, 9.0, 0.0, api.Repeat.UNSAFE, in_order=True),
        api.RequestClass(600 * MS, 2.0, 0.0, api.Repeat.SAFE, in_order=True),
    )


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(SHAPES, st.sampled_from(api.Group), st.booleans(), st.integers(0, 1 << 32))
def test_the_rules_hold(shape: dict[str, object], group: api.Group, stream: bool, seed: int) -> None:
    rules = settings(classes=classes(group), **shape)
    Game(Balancer(rules, seed), rules, Random(seed), stream).play(steps=250)


def broken_rule(rules: api.Settings, games: int = 60) -> str:
    """What the checker says of the module as it is now, over many sequences."""
    for seed in range(games):
        try:
            Game(Balancer(rules, seed), rules, Random(seed)).play(steps=250)
        except RuleBroken as broken:
            return str(broken).split(":")[0]
    return "none"


RULES = settings(classes=classes(api.Group.CELL), key_rest=400 * MS)


def test_the_checker_finds_nothing_in_the_module_as_it_is() -> None:
    assert broken_rule(RULES) == "none"


def test_the_checker_sees_a_lost_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "_finish", lambda self, entry: None)
    assert broken_rule(RULES) == "lost"


def test_the_checker_sees_an_effect_that_may_happen_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(balance.OpenRequest, "may_send_to", lambda self, server, now: True)
    assert broken_rule(RULES) == "duplicate"


def test_the_checker_sees_a_refusal_that_invites_a_second_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(balance.OpenRequest, "may_refuse", lambda self: True)
    assert broken_rule(RULES) == "duplicate"


def test_the_checker_sees_a_drain_that_is_not_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    enter = Balancer._update_server

    def enter_all_as_ready(self: Balancer, now: int, server: api.Server) -> None:
        enter(self, now, server._replace(state=api.ServerState.READY))

    monkeypatch.setattr(Balancer, "_update_server", enter_all_as_ready)
    assert broken_rule(RULES) == "drain"


def test_the_checker_sees_a_cold_server_pushed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "_warmth", lambda self, now, server: 1.0)
    assert broken_rule(RULES) == "cold"


def test_the_checker_sees_requests_of_a_key_out_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "_enqueue_in_order", Balancer._send_first)
    assert broken_rule(RULES) == "order"


def test_the_checker_sees_a_key_that_does_not_rest(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "_hold_key", lambda self, now, entry, result: None)
    assert broken_rule(RULES) == "order"


def test_the_checker_sees_a_second_copy(monkeypatch: pytest.MonkeyPatch) -> None:
    settle = Balancer._on_outcome

    def copy(self: Balancer, now: int, outcome: api.Outcome) -> None:
        settle(self, now, outcome)
        for entry in list(self._open.values()):
            if entry.request_class.repeat is api.Repeat.SAFE and not entry.closed:
                self._send_first(now, entry)

    monkeypatch.setattr(Balancer, "_on_outcome", copy)
    assert broken_rule(RULES) == "duplicate"


def test_queues_leave_no_residue() -> None:
    balancer = Balancer(RULES, 3)
    game = Game(balancer, RULES, Random(3))
    game.play(steps=400)
    game._pass(5_000 * MS)
    assert (balancer._key_queues, balancer._open, balancer._in_flight.count) == ({}, {}, 0)


def test_the_same_events_give_the_same_actions() -> None:
    games = [Game(Balancer(BASE, 5), BASE, Random(9)) for _ in range(2)]
    for game in games:
        game.play(steps=300)
    assert games[0].log == games[1].log
    assert sum(len(actions) for _, actions in games[0].log) > 50
