"""Judgements on servers: what several find counts, what one finds, or one at fault, does not."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.tier.observed_module import ObservedModule, server_key
from driftstair.tier.shared.evidence import (
    DISSENT_WAIT_NS,
    FAILURE_RUN_LIFETIME_NS,
    MAX_HELD_BACK_SHARE,
    OutlierDetector,
    assess_server,
    token_of,
)
from driftstair.tier.shared.facts import EVIDENCE, FLIGHT, KINDS, LOAD, MS, PROBE, Fact, Facts
from lichenspring import interface as api
from lichenspring.interface import ListKind, Result, ServerState

SECOND = 1000 * MS
ZONES = {0: 0, 1: 0, 2: 1, 3: 1, 4: 2, 5: 2}


def told(owner: int, tries: int, failed: int, server: int = 7) -> Fact:
    return Fact(owner, 1, 1, EVIDENCE, server, 0, (tries, failed, 0, 0, 0))


@pytest.mark.parametrize(
    ("rows", "bad"),
    [
        ([(1, 9, 9), (2, 9, 9), (3, 9, 9)], True),
        ([(1, 9, 9), (2, 9, 9)], False),  # too few
        ([(2, 9, 9), (3, 9, 9)], False),
        ([(0, 9, 9), (1, 9, 9)], False),  # of one zone
        ([(1, 9, 9), (2, 9, 9), (3, 9, 9), (4, 9, 0), (5, 9, 0), (0, 9, 0)], False),  # half find it sound
        ([(1, 9, 9), (2, 9, 9), (3, 9, 9), (4, 9, 9), (5, 9, 0), (0, 9, 0)], True),
        ([(1, 1, 1), (2, 1, 1), (3, 1, 1)], False),  # one try says nothing
        ([(1, 9, 3), (2, 9, 4), (3, 9, 4)], False),
        ([(1, 9, 9), (2, 9, 9), (8, 9, 9)], False),  # one that does not live
    ],
)
def test_a_server_is_bad_for_all_by_several_from_more_than_one_zone(
    rows: list[tuple[int, int, int]], bad: bool
) -> None:
    assert (assess_server(7, [told(*one) for one in rows], ZONES, set()) is not None) == bad


def test_what_nodes_of_one_zone_find_counts_where_there_is_no_other() -> None:
    rows = [told(number, 5, 5) for number in (1, 2, 3)]
    assert assess_server(7, rows, dict.fromkeys(range(4), 0), set()) is not None
    assert assess_server(7, rows, dict.fromkeys(range(4), 0), {2}) is None


class Node:
    """A judge with its facts; nobody else runs."""

    def __init__(self, ready: int = 10, sound: bool = True) -> None:
        self.facts = Facts(0, 1, Random(0))
        self.judge = OutlierDetector(self.facts, 0, 0, lambda: sound, lambda: ZONES)
        self.judge.ready = set(range(ready))
        self.version = 0

    def hears(self, now: int, owner: int, server: int, tries: int, failed: int) -> None:
        self.version += 1
        value = (tries, failed, 0, 0, 0)
        self.facts.take(now, Fact(owner, 1, self.version, EVIDENCE, server, now, value), 6)

    def hears_load(self, now: int, owner: int, tried: int, bad: int) -> None:
        self.version += 1
        self.facts.take(now, Fact(owner, 1, self.version, LOAD, 0, now, (0, 9, 9, tried, bad)), 6)

    def after_hearing(self, now: int = SECOND) -> set[int]:
        self.judge.tick(now)
        self.judge.tick(now + DISSENT_WAIT_NS)
        return set(self.judge.out)


def test_those_who_find_nothing_wrong_have_a_while_to_say_so() -> None:
    node = Node()
    for owner in (1, 2, 3, 4):
        node.hears(SECOND, owner, 3, 9, 9)
    assert node.judge.tick(SECOND) == ([], [])
    (verdict,), back = node.judge.tick(SECOND + DISSENT_WAIT_NS)
    assert (verdict.server, verdict.reporters, back) == (3, (1, 2, 3, 4), [])
    later = SECOND + 6 * SECOND
    new, (gone,) = node.judge.tick(later)
    assert new == [] and gone.server == 3 and node.judge.out == {}


def test_what_this_node_uses_with_success_it_goes_on_using() -> None:
    node = Node()
    for owner in (1, 2, 3, 4):
        node.hears(SECOND, owner, 3, 9, 9)
    for _ in range(5):
        node.judge.observations.note(SECOND, 3, True, True, 5 * MS)
    assert node.after_hearing() == set()


def test_a_reporter_that_finds_everything_bad_counts_for_nothing() -> None:
    node = Node()
    for server in range(10):
        for owner in (1, 2, 4):
            node.hears(SECOND, owner, server, 9, 9)
    assert len(node.after_hearing()) == int(MAX_HELD_BACK_SHARE * 10)
    for owner in (1, 2):
        node.hears_load(SECOND + DISSENT_WAIT_NS, owner, 10, 10)
    node.judge.tick(SECOND + DISSENT_WAIT_NS)
    assert node.judge.out == {}


def test_no_more_than_a_part_is_left_out_and_the_worst_first() -> None:
    node = Node(ready=10)
    for server, reporters in ((1, (1, 2, 3)), (2, (1, 2, 3, 4, 5)), (3, (1, 2, 3, 4))):
        for owner in reporters:
            node.hears(SECOND, owner, server, 9, 9)
    assert node.after_hearing() == {2, 3}
    node.hears(SECOND + DISSENT_WAIT_NS, 4, 1, 9, 9)  # as bad as another now: that one stays
    node.judge.tick(SECOND + DISSENT_WAIT_NS)
    assert set(node.judge.out) == {2, 3}


def test_a_server_that_the_own_list_does_not_name_is_none() -> None:
    node = Node(ready=3)
    for owner in (1, 2, 3, 4):
        node.hears(SECOND, owner, 9, 9, 9)
    assert node.after_hearing() == set()


def test_a_node_in_doubt_tells_nothing() -> None:
    for sound in (True, False):
        node = Node(sound=sound)
        for _ in range(5):
            node.judge.observations.note(SECOND, 3, False, False, 0)
        node.judge.tick(SECOND)
        assert bool(node.facts.published(EVIDENCE, 3)) == sound == bool(node.facts.published(LOAD, 0))


def test_a_server_that_failed_just_now_is_bad_whatever_its_past_and_sound_by_one_success() -> None:
    sight = Node().judge.observations
    for number in range(202):
        sight.note(SECOND, 3, number < 200, True, 0)
    assert sight.all(SECOND)[3].bad()
    assert not sight.all(SECOND + FAILURE_RUN_LIFETIME_NS).get(3)
    sight.note(SECOND, 3, True, True, 0)
    assert not sight.all(SECOND)[3].bad()


def test_what_was_seen_ages() -> None:
    node = Node()
    for _ in range(5):
        node.judge.observations.note(SECOND, 3, False, False, 0)
    assert node.judge.observations.all(2 * SECOND)[3].bad()
    assert node.judge.observations.all(SECOND + FAILURE_RUN_LIFETIME_NS) == {}


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 5), *(st.integers(0, 9) for _ in range(3))), max_size=60),
    st.sets(st.integers(0, 5), max_size=2),
)
def test_two_nodes_can_get_no_server_out_that_others_find_sound(
    rows: list[tuple[int, int, int, int]], liars: set[int]
) -> None:
    """Whatever two say, as long as the four others have tried it and found it sound."""
    node = Node()
    for owner, server, tries, failed in rows:
        if owner in liars and owner:
            node.hears(SECOND, owner, server, tries, min(tries, failed))
    for owner in set(ZONES) - liars - {0}:
        for server in range(10):
            node.hears(SECOND, owner, server, 9, 0)
    assert node.after_hearing() == set()


# One tries it for all.


def probe(owner: int, version: int, token: int, fails: bool, now: int) -> Fact:
    parts = tuple(token >> shift & 0xFFFF for shift in (48, 32, 16, 0))
    return Fact(owner, 1, version, PROBE, 3, now, (int(fails), *parts))


def left_out() -> tuple[Node, int]:
    node = Node()
    for owner in (1, 2, 3, 4):
        node.hears(SECOND, owner, 3, 9, 9)
    assert node.after_hearing() == {3}
    return node, SECOND + DISSENT_WAIT_NS


def test_a_server_is_out_for_as_long_as_its_prober_finds_it_failing_and_back_at_its_word() -> None:
    node, now = left_out()
    for number in range(10):  # long after all other evidence
        now += SECOND
        node.facts.take(now, probe(2, 50 + number, 7, True, now), 6)
        assert node.judge.tick(now) == ([], [])
    node.facts.take(now, probe(2, 99, 7, False, now), 6)
    new, (back,) = node.judge.tick(now)
    assert new == [] and back.server == 3


def test_a_prober_that_finds_everything_bad_keeps_no_server_out() -> None:
    """Seen on processes: the liar got the task, and the server was never back."""
    node, now = left_out()
    node.hears_load(now, 2, 10, 10)
    for number in range(8):
        now += SECOND
        node.facts.take(now, probe(2, 50 + number, 7, True, now), 6)
        node.judge.tick(now)
    assert node.judge.out == {}


def test_one_node_s_word_alone_keeps_no_server_out_for_longer_than_a_minute() -> None:
    node, now = left_out()
    for number in range(70):
        now += SECOND
        node.facts.take(now, probe(2, 50 + number, 7, True, now), 6)
        node.judge.tick(now)
        if not node.judge.out:
            break
    assert 58 <= number <= 60


def test_a_prober_that_wakes_up_late_is_refused_by_its_token() -> None:
    node, now = left_out()
    node.facts.take(now, probe(4, 50, 9, True, now), 6)
    node.judge.tick(now)
    node.facts.take(now, probe(2, 50, 7, False, now), 6)  # it had it before, and says that all is well
    assert node.judge.tick(now) == ([], [])
    assert node.judge.refused == [(3, 7)]
    node.facts.forget(4)  # the later one is gone: the older token is no better for that
    node.judge.tick(now + KINDS[EVIDENCE].lives)
    assert node.judge.probed[3] == 9


def test_whoever_probes_uses_the_server_itself_and_tells_what_came_of_it() -> None:
    node, now = left_out()
    token = 0x0001_0002_0003_0004
    node.judge.probing = {3: token}
    assert node.judge.out.keys() == {3} and node.judge.hidden() == set()
    node.judge.observations.note(now, 3, False, True, 0)
    node.judge.tick(now)
    fact = node.facts.published(PROBE, 3)
    assert fact is not None and fact.value[0] == 1 and token_of(fact) == token
    for number in range(3):
        node.judge.observations.note(now + SECOND, 3, True, True, 0)
        node.judge.tick(now + SECOND)
        fact = node.facts.published(PROBE, 3)
        assert fact is not None and fact.value[0] == (0 if number == 2 else 1)  # one success says little


# Round the module.


class Spy:
    def __init__(self) -> None:
        self.seen: list[api.Event] = []
        self.actions: list[api.Action] = []

    def start(self, now: int) -> list[api.Action]:
        return []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        self.seen.append(event)
        return list(self.actions)


def server(number: int, state: ServerState = ServerState.READY) -> api.Server:
    return api.Server(number.to_bytes(4, "big") + b"rest", 0, 0, state, 1.0, 0)


def test_a_server_that_is_held_back_is_shown_as_draining_until_it_is_not() -> None:
    node, spy = Node(), Spy()
    watching = ObservedModule(spy, lambda: node.judge)
    watching.handle(0, api.ServerList(ListKind.FULL, tuple(server(number) for number in range(10))))
    assert node.judge.ready == set(range(10)) and server_key(server(3).id) == 3
    for owner in (1, 2, 3, 4):
        node.hears(SECOND, owner, 3, 9, 9)
    node.after_hearing()
    watching.handle(SECOND, api.Timer(1))
    last = spy.seen[-1]
    assert isinstance(last, api.ServerList) and last.kind is ListKind.CACHED
    assert [one.state for one in last.servers].index(ServerState.DRAINING) == 3
    watching.handle(SECOND, api.ServerList(ListKind.DELTA, (server(3),)))
    assert spy.seen[-1].servers[0].state is ServerState.DRAINING  # type: ignore[union-attr]
    before = len(spy.seen)
    watching.handle(SECOND, api.Timer(1))
    assert len(spy.seen) == before + 1  # nothing new is told twice
    node.judge.tick(9 * SECOND)
    watching.handle(9 * SECOND, api.Timer(1))
    assert all(one.state is ServerState.READY for one in spy.seen[-1].servers)  # type: ignore[union-attr]


def test_a_process_that_loses_its_number_holds_nothing_back_any_more() -> None:
    node, spy = Node(), Spy()
    judges = [node.judge]
    watching = ObservedModule(spy, lambda: judges[0] if judges else None)
    watching.handle(0, api.ServerList(ListKind.FULL, tuple(server(number) for number in range(10))))
    for owner in (1, 2, 3, 4):
        node.hears(SECOND, owner, 3, 9, 9)
    node.after_hearing()
    watching.handle(SECOND, api.Timer(1))
    assert any(one.state is ServerState.DRAINING for one in spy.seen[-1].servers)  # type: ignore[union-attr]
    judges.clear()
    watching.handle(SECOND, api.Timer(1))
    assert all(one.state is ServerState.READY for one in spy.seen[-1].servers)  # type: ignore[union-attr]


def test_outcomes_are_evidence_but_for_what_is_no_fault_of_the_server() -> None:
    node, spy = Node(), Spy()
    watching = ObservedModule(spy, lambda: node.judge)
    for result in Result:
        watching.handle(0, api.Outcome(1, False, result, MS, server(3).id, 0, ()))
    seen = node.judge.observations.all(0)[3]
    assert (seen.tries, seen.failed, seen.unreached) == (5, 4, 1)


def test_requests_in_flight_are_counted_however_they_end() -> None:
    node, spy = Node(), Spy()
    watching = ObservedModule(spy, lambda: node.judge)
    for number in range(1, 5):
        watching.handle(0, api.Request(number, 0, 0, 0, False, SECOND))
    assert node.judge.observations.in_flight == 4
    watching.handle(0, api.Outcome(1, True, Result.OK, MS, server(3).id, 0, ()))
    watching.handle(0, api.ClientGone(2))
    spy.actions = [api.Refuse(3, 0)]
    watching.handle(0, api.Timer(1))
    assert node.judge.observations.in_flight == 1


def test_attempts_out_are_told_of_the_busiest_servers_in_steps_of_two() -> None:
    node, spy = Node(), Spy()
    watching = ObservedModule(spy, lambda: node.judge)
    for number, count in ((1, 9), (2, 5), (3, 4), (4, 4), (5, 3)):
        spy.actions = [api.Send(one, server(number).id, 0) for one in range(count)]
        watching.handle(SECOND, api.Timer(1))
    spy.actions = []
    watching.handle(SECOND, api.Outcome(0, False, Result.CANCELLED, MS, server(1).id, 0, ()))
    node.judge.tick(SECOND)
    for owner, step in ((1, 3), (2, 1)):
        node.facts.take(SECOND, Fact(owner, 1, 1, FLIGHT, 2, SECOND, (step,)), 6)
    assert node.judge.busy(SECOND) == {
        1: {"at_least": 8, "by": 1}, 2: {"at_least": 4 + 4 + 1, "by": 3}, 3: {"at_least": 4, "by": 1},
    }  # fmt: skip
    for _ in range(9):
        watching.handle(SECOND, api.Outcome(0, False, Result.OK, MS, server(1).id, 0, ()))
    assert 1 not in node.judge.observations.by_server


def test_without_rights_to_the_number_all_passes_as_it_is() -> None:
    spy = Spy()
    watching = ObservedModule(spy, lambda: None)
    for event in (api.Timer(1), api.ServerList(ListKind.FULL, (server(1),))):
        watching.handle(0, event)
        assert spy.seen[-1] == event
