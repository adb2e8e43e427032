"""Checks the rules over generated valid sequences of events, for all combinations of settings."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from world import BASE, MS, Game, RuleViolation, settings

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


def violated_rule(rules: api.Settings, games: int = 60) -> str:
    """The rule that the checker reports for the current module, over many sequences."""
    for seed in range(games):
        try:
            Game(Balancer(rules, seed), rules, Random(seed)).play(steps=250)
        except RuleViolation as broken:
            return str(broken).split(":")[0]
    return "none"


RULES = settings(classes=classes(api.Group.CELL), key_rest=400 * MS)


def test_checker_accepts_unmodified_module() -> None:
    assert violated_rule(RULES) == "none"


def test_checker_detects_lost_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "_finish", lambda self, entry: None)
    assert violated_rule(RULES) == "lost"


def test_checker_detects_possible_second_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(balance.OpenRequest, "may_send_to", lambda self, server, now: True)
    assert violated_rule(RULES) == "duplicate"


def test_checker_detects_refusal_that_allows_second_effect(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(balance.OpenRequest, "may_refuse", lambda self: True)
    assert violated_rule(RULES) == "duplicate"


def test_checker_detects_ignored_drain(monkeypatch: pytest.MonkeyPatch) -> None:
    update_server = Balancer._update_server

    def list_all_as_ready(self: Balancer, now: int, server: api.Server) -> None:
        update_server(self, now, server._replace(state=api.ServerState.READY))

    monkeypatch.setattr(Balancer, "_update_server", list_all_as_ready)
    assert violated_rule(RULES) == "drain"


def test_checker_detects_overloaded_cold_server(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "_capacity_fraction", lambda self, now, server: 1.0)
    assert violated_rule(RULES) == "cold"


def test_checker_detects_concurrent_requests_of_key(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "_enqueue_in_order", Balancer._send_first)
    assert violated_rule(RULES) == "order"


def test_checker_detects_missing_hold_of_key(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Balancer, "_hold_key", lambda self, now, entry, result: None)
    assert violated_rule(RULES) == "order"


def test_checker_detects_concurrent_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    handle_outcome = Balancer._on_outcome

    def send_copy(self: Balancer, now: int, outcome: api.Outcome) -> None:
        handle_outcome(self, now, outcome)
        for entry in list(self._open_requests.values()):
            if entry.request_class.repeat is api.Repeat.SAFE and not entry.closed:
                self._send_first(now, entry)

    monkeypatch.setattr(Balancer, "_on_outcome", send_copy)
    assert violated_rule(RULES) == "duplicate"


def test_queues_are_empty_after_game() -> None:
    balancer = Balancer(RULES, 3)
    game = Game(balancer, RULES, Random(3))
    game.play(steps=400)
    game._advance_time(5_000 * MS)
    assert (balancer._key_queues, balancer._open_requests, balancer._in_flight.count) == ({}, {}, 0)


def test_same_events_give_same_actions() -> None:
    games = [Game(Balancer(BASE, 5), BASE, Random(9)) for _ in range(2)]
    for game in games:
        game.play(steps=300)
    assert games[0].log == games[1].log
    assert sum(len(actions) for _, actions in games[0].log) > 50
