"""One small test for each failure found and each mechanism; no bench, no servers, hand-made events."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from world import KEYED, MS, SAFE, SECOND, START, UNSAFE, Node, server, settings, whole

from driftstair.net.discovery import ANSWER_TIMEOUT_S, DIAL_TIMEOUT_S
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.balance import WATCH_TOKEN
from lichenspring.breaker import Breaker, Window, pooled_tail
from lichenspring.interface import Result
from lichenspring.memory import export_state, restore_state


def window(node: Node, count: int, elapsed: int, class_index: int = 0) -> None:
    """Some answers of one response time, held in flight for that time; then the window's end."""
    sends = [node.ask(class_index, key)[0] for key in range(1, count + 1)]
    node.wait(300 * MS)
    for send in sends:
        if isinstance(send, api.Send):
            node.end(send, Result.OK, elapsed)
    node.wait(300 * MS)


def admitted(node: Node, count: int = 400, class_index: int = 0) -> int:
    """How many requests that come at once are let in."""
    return sum(isinstance(node.ask(class_index, 10_000 + n)[0], api.Send) for n in range(count))


def quieten(node: Node) -> None:
    """Enough other requests that no key of the test counts as a hot one."""
    for key in 2 * list(range(100, 136)):
        node.serve(key)


def one_class(aim: int = SECOND, **changes: object) -> api.Settings:
    kind = api.RequestClass(aim, 1.0, 0.5, api.Repeat.SAFE)
    return settings(classes=(kind,), **changes)


# The breaker.


def test_a_fresh_node_admits_its_start_cap_and_refuses_the_next_at_once() -> None:
    node = Node(one_class(), servers=6)
    assert admitted(node) == 76  # the cap of 60 and two roots of it, while the mean is below
    (refusal,) = node.ask(0, 1)
    assert isinstance(refusal, api.Refuse)
    assert 0 < refusal.retry_after <= 2 * SECOND


def test_response_times_above_the_target_lower_the_cap() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(4):
        window(node, 30, 3 * SECOND)
    assert admitted(node) < 20


def test_a_quiet_window_does_not_lower_the_cap() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(10):
        window(node, 1, 300 * MS)
    assert admitted(node) == 76


def test_windows_within_the_target_at_the_cap_lift_it() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(6):
        window(node, 400, 100 * MS)
    assert admitted(node) > 60


def test_all_servers_slow_leaves_half_of_what_was_proven() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(3):
        window(node, 60, 100 * MS)
    for _ in range(40):
        window(node, 60, 3 * SECOND)
    assert admitted(node) >= 5


def test_a_time_out_counts_as_longer_than_it_waited() -> None:
    node = Node(one_class(), servers=6)
    sends = [node.ask(0, key)[0] for key in range(30)]
    node.wait(300 * MS)
    for send in sends:
        assert isinstance(send, api.Send)
        node.end(send, Result.TIMEOUT, 580 * MS)  # under the target, but twice that is not
    node.wait(300 * MS)
    assert admitted(node) < 30


def test_a_class_that_is_worth_more_is_not_crowded_out_by_a_lesser_one_with_more_room() -> None:
    """The heavier class missed its aim first and was refused first, though it was worth more."""
    light = api.RequestClass(2 * SECOND, 8.0, 0.0, api.Repeat.SAFE)
    heavy = api.RequestClass(SECOND, 10.0, 0.0, api.Repeat.SAFE)
    node = Node(settings(classes=(light, heavy), worth_by_work=True), servers=6)
    for _ in range(6):
        window(node, 30, 3 * SECOND, class_index=1)
    assert admitted(node, class_index=0) < 20


def test_timed_out_attempts_hold_their_place_for_as_long_again() -> None:
    """Servers went on with work that nobody waited for and were filled up again at once."""
    node = Node(settings(classes=(api.RequestClass(SECOND, 1.0, 0.5, api.Repeat.UNSAFE),)), servers=6)
    sends = [node.ask(0, key)[0] for key in range(1, 77)]
    for send in {send.server: send for send in sends if isinstance(send, api.Send)}.values():
        node.end(send, Result.TIMEOUT, 100 * MS)
    assert isinstance(node.ask(0, 77)[0], api.Refuse)
    node.now += 110 * MS
    assert isinstance(node.ask(0, 77)[0], api.Send)


def test_a_class_whose_cap_is_full_keeps_a_floor_that_brings_samples() -> None:
    node = Node(settings(classes=(SAFE, UNSAFE)), servers=20)
    while isinstance(node.ask(1, node.next_id)[0], api.Send):
        pass
    assert isinstance(node.ask(0, 1)[0], api.Send)


def test_a_class_worth_more_is_let_in_after_the_lesser_one_is_refused() -> None:
    node = Node(settings(classes=(SAFE, UNSAFE), worth_by_work=True), servers=6)
    assert admitted(node, class_index=0) == 62
    assert isinstance(node.ask(1, 1)[0], api.Send)


def test_time_outs_of_silent_servers_do_not_close_the_breaker() -> None:
    """In a zone cut old attempts ran out seconds later and were taken for load."""
    node = Node(one_class(), servers=12)
    silent = server(0).id
    waiting = []
    for key in range(1, 200):
        (send,) = node.ask(0, key)
        assert isinstance(send, api.Send)
        if send.server == silent:
            waiting.append(send)
        else:
            node.end(send, Result.OK)
        if len(waiting) == 8:
            break
    for send in waiting[:4]:
        node.end(send, Result.CONNECT_FAILED)
    node.wait(SECOND)
    for send in waiting[4:]:
        node.end(send, Result.TIMEOUT, 4 * SECOND)
    node.wait(SECOND)
    assert admitted(node) >= 55


def test_an_answer_in_no_time_is_no_division_by_zero() -> None:
    node = Node()
    node.serve(1, elapsed=0)
    node.wait(SECOND)
    assert node.serve(1, elapsed=0) is not None


def test_a_mean_below_the_cap_lets_a_chance_bunch_in_and_one_above_it_does_not() -> None:
    """With hundreds of nodes a cap is near one: bunches of two or three were refused by idle servers."""
    node = Node(one_class(nodes=120), servers=12)  # a cap of one
    sends = [node.ask(0, key)[0] for key in range(1, 5)]
    assert [isinstance(send, api.Send) for send in sends] == [True, True, True, False]
    node.wait(2 * SECOND)
    for send in sends[:2]:
        assert isinstance(send, api.Send)
        node.end(send, Result.OK)
    assert isinstance(node.ask(0, 9)[0], api.Refuse)  # two were out on average


def test_a_cap_below_one_holds() -> None:
    """One request of each class at each node was always let in: of many nodes, more than what was left
    of the fleet could do, so that overload never ended."""
    node = Node(one_class(nodes=600), servers=12)
    (send,) = node.ask(0, 1)
    assert isinstance(send, api.Send)
    node.now += 400 * MS
    node.end(send, Result.OK, 400 * MS)
    assert isinstance(node.ask(0, 2)[0], api.Refuse)  # more than a tenth was out on average
    node.now += 3 * SECOND
    assert isinstance(node.ask(0, 3)[0], api.Send)


@pytest.mark.parametrize(("report", "least", "most"), [(0.3, 30, 400), (1.0, 1, 29)])
def test_free_cores_by_report_keep_the_cap_unless_the_aim_is_missed(
    report: float, least: int, most: int
) -> None:
    """A class's own long requests passed the target on a quiet day."""
    node = Node(one_class(report_fields=("utilization",)), servers=6)
    window(node, 10, 200 * MS)
    for _ in range(8):
        sends = [node.ask(0, key)[0] for key in range(1, 31)]
        node.wait(300 * MS)
        for send in sends:
            if isinstance(send, api.Send):
                node.end(send, Result.OK, 900 * MS, (report,))
        node.wait(300 * MS)
    assert least <= admitted(node) <= most


def test_a_marked_retry_stops_at_half_of_the_cap() -> None:
    node = Node(one_class(), servers=6)
    assert admitted(node, 41) == 41  # half of 60, and two roots of that
    retry = api.Request(9999, SECOND, 0, 0, 7, True)
    assert isinstance(node.tell(retry)[0], api.Refuse)
    assert isinstance(node.ask(0, 7)[0], api.Send)


def test_a_surging_tenant_stops_short_and_the_others_do_not() -> None:
    node = Node(one_class(tenants=(api.Tenant(0.5), api.Tenant(0.5))), servers=6)
    surge = [node.tell(api.Request(5000 + n, SECOND, 0, 0, 100 + n, False))[0] for n in range(60)]
    assert sum(isinstance(action, api.Send) for action in surge) == 41
    assert isinstance(node.tell(api.Request(6000, SECOND, 0, 1, 3, False))[0], api.Send)


def test_many_full_answers_make_a_key_prefer_its_other_server() -> None:
    """With no or one request at a server, own load can't tell a crowded one from an idle one."""
    node = Node()
    quieten(node)
    home = node.serve(42)
    (send,) = node.ask(0, 42)
    assert isinstance(send, api.Send)
    again = node.end(send, Result.FULL)[-1]
    assert isinstance(again, api.Send)
    node.end(again, Result.OK)
    assert node.serve(42) == again.server != home
    node.wait(60 * SECOND)  # the news is old
    assert node.serve(42) == home


# The choice.


def test_servers_that_turn_one_class_away_are_left_to_the_others() -> None:
    """Half of the servers answered one class as full, at once and with no load: all its requests went there,
    and their refusals closed its breaker, and with it those of the lesser classes."""
    node = Node(servers=6)
    closed = {server(number).id for number in range(3)}
    for backend in node.balancer._backends.values():
        backend.in_flight += 8 * (backend.entry.id not in closed)
    full = Counter[int]()
    for turn in range(40):
        for key in range(1, 7):
            sends = [one for one in node.ask(0, key) if isinstance(one, api.Send)]
            while sends and sends[0].server in closed:
                full[turn] += 1
                sends = [one for one in node.end(sends[0], Result.FULL) if isinstance(one, api.Send)]
            if sends:
                node.end(sends[0], Result.OK)
        node.now += 10 * MS
    assert full
    assert not any(full[turn] for turn in range(30, 40))
    assert {node.serve(key, class_index=1) for key in range(1, 40)} >= closed  # good for another class


def test_a_key_stays_with_its_first_server_while_loads_tie() -> None:
    node = Node()
    assert len({node.serve(42) for _ in range(20)}) == 1


def test_the_less_loaded_of_two_wins() -> None:
    node = Node()
    first, second = node.ask(0, 42)[0], node.ask(0, 42)[0]
    assert isinstance(first, api.Send) and isinstance(second, api.Send)
    assert first.server != second.server


def test_nodes_agree_on_a_key_whatever_their_seed() -> None:
    assert {Node(seed=seed).serve(7) for seed in range(5)} == {Node(seed=9).serve(7)}


def test_keys_are_spread_evenly() -> None:
    node = Node(servers=20)
    counts = Counter(node.serve(key) for key in range(1, 2001))
    assert len(counts) == 20
    assert max(counts.values()) < 1.5 * 100


def test_a_hot_key_goes_to_more_than_two() -> None:
    node = Node(servers=20)
    for _ in range(3):
        for n in range(100):
            node.serve(42 if n % 3 else 1000 + n)
        node.wait(SECOND)
    assert len({node.serve(42) for _ in range(100)}) > 5


def test_a_hot_key_shows_at_a_small_share_of_the_traffic_too() -> None:
    """With hundreds of nodes each saw a popular key once a second at most, and all sent it to one server."""
    node = Node(servers=60)
    for n in range(90):
        node.serve(42 if n % 6 == 0 else 1000 + n)
        node.wait(200 * MS)
    assert len({node.serve(42) for _ in range(100)}) > 5


def test_keys_counted_while_no_server_is_listed_do_no_harm_later() -> None:
    """A share of no servers was drawn from once some came back."""
    node = Node(servers=0)
    for _ in range(3):
        node.ask(0, 42)
    node.wait(SECOND)
    node.tell(whole(server(1), server(2)))
    assert node.serve(42) is not None


def test_requests_without_a_key_draw_their_servers() -> None:
    node = Node(servers=6)
    assert len({node.serve(0) for _ in range(60)}) == 6


def test_a_change_of_the_list_moves_few_keys() -> None:
    node = Node(servers=20)
    before = {key: node.serve(key) for key in range(1, 501)}
    node.tell(whole(*(server(number) for number in range(19))))
    moved = [key for key in before if node.serve(key) != before[key]]
    lost = [key for key in before if before[key] == server(19).id]
    assert set(lost) <= set(moved)
    assert len(moved) < len(lost) + 100


# Servers.


def test_a_server_that_fails_fast_loses_its_keys_and_gets_one_back_as_a_trial() -> None:
    node = Node()
    quieten(node)
    home = node.serve(42)
    for _ in range(2):
        (send,) = node.ask(0, 42)
        assert isinstance(send, api.Send) and send.server == home
        node.end(send, Result.ERROR)
    assert node.serve(42) != home
    node.wait(3 * SECOND)
    (trial,) = node.ask(0, 42)
    assert isinstance(trial, api.Send) and trial.server == home
    assert node.serve(42) != home  # one at a time
    node.end(trial, Result.OK)
    assert node.serve(42) == home


def test_a_server_seldom_seen_is_ejected_by_one_failure_and_for_longer() -> None:
    """Of hundreds of nodes each met a failing server once in ten seconds, and never twice in a row."""
    node = Node(servers=12)
    quieten(node)
    home = node.serve(42)
    node.wait(10 * SECOND)
    node.end(node.ask(2, 42)[0], Result.ERROR)  # type: ignore[arg-type]
    node.wait(3900 * MS)
    assert node.serve(42) != home  # two seconds at most it had been
    node.wait(5 * SECOND)
    assert node.serve(42) == home


def test_a_trial_whose_connection_fails_is_over() -> None:
    """A trial that told nothing stayed on, and its server out, for good."""
    node = Node()
    quieten(node)
    home = node.serve(42)
    backend = node.balancer._backends[home or b""]
    for _ in range(2):
        node.end(node.ask(2, 42)[0], Result.ERROR)  # type: ignore[arg-type]
    node.wait(3 * SECOND)
    (trial,) = node.ask(2, 42)
    assert isinstance(trial, api.Send) and trial.server == home and backend.trial
    backend.answered_at = node.now  # by another attempt
    node.end(trial, Result.CONNECT_FAILED)
    assert node.serve(42) == home


def test_a_server_that_times_out_on_some_and_answers_others_is_kept() -> None:
    """Under load a third of the servers was left out for every other time-out of theirs, and the load of the
    rest grew by half."""
    node = Node(servers=6)
    for _ in range(8):
        window(node, 12, 100 * MS)
    quieten(node)
    home = node.serve(42)
    backend = node.balancer._backends[home or b""]
    for _ in range(20):
        for result in (Result.TIMEOUT, Result.TIMEOUT, Result.OK):
            (send,) = [one for one in node.ask(0, 42) if isinstance(one, api.Send)]
            if send.server == home:
                node.now += 100 * MS
                node.end(send, result, 400 * MS)
            else:
                node.end(send, Result.OK, 100 * MS)
    assert not backend.ejected_until and backend.failure_log_odds
    node.now += SECOND  # silence is another matter
    for _ in range(3):
        node.tell(api.Request(node.next_id, SECOND, 0, 0, 42, False))
        node.balancer._record_health(node.now, backend, Result.TIMEOUT, 0)
    assert backend.ejected_until


def test_a_failed_trial_ejects_for_longer() -> None:
    node = Node()
    quieten(node)
    home = node.serve(42)
    for _ in range(2):
        node.end(node.ask(0, 42)[0], Result.ERROR)  # type: ignore[arg-type]
    node.wait(2 * SECOND)
    node.end(node.ask(0, 42)[0], Result.ERROR)  # type: ignore[arg-type]
    node.wait(1900 * MS)
    assert node.serve(42) != home


def test_where_all_fail_only_a_part_is_ejected() -> None:
    node = Node(servers=9)
    for key in range(1, 300):
        (send,) = node.ask(2, key)
        if isinstance(send, api.Send):
            node.end(send, Result.ERROR)
    assert len({node.serve(key) for key in range(1, 200)}) >= 6


def test_a_cold_server_gets_no_more_than_its_budget() -> None:
    node = Node()
    for key in range(1, 300):
        node.serve(key)
    node.wait(SECOND)
    cold = server(3, started=node.now)
    node.tell(api.ServerList(api.ListKind.DELTA, (cold,)))
    got = Counter(node.serve(key) for key in range(1, 301))
    assert got[cold.id] <= 2
    node.wait(25 * SECOND)
    got = Counter(node.serve(key) for key in range(1, 301))
    assert got[cold.id] > 20


def test_where_most_servers_are_cold_the_rest_is_not_one_servers() -> None:
    node = Node(servers=8)
    cold = [server(number, started=node.now) for number in range(8, 60)]
    node.tell(api.ServerList(api.ListKind.DELTA, tuple(cold)))
    got = Counter(node.serve(key) for key in range(1, 801))
    assert max(got.values()) < 250


def test_nothing_goes_to_a_draining_server_or_one_left_out_of_a_full_list() -> None:
    node = Node(servers=4)
    node.tell(api.ServerList(api.ListKind.DELTA, (server(1, api.ServerState.DRAINING),)))
    assert server(1).id not in {node.serve(key) for key in range(1, 100)}
    node.tell(whole(server(0), server(2)))
    assert {node.serve(key) for key in range(1, 100)} == {server(0).id, server(2).id}


def test_an_empty_list_refuses_and_a_refill_serves() -> None:
    node = Node(servers=0)
    assert isinstance(node.ask(2, 1)[0], api.Refuse)
    node.tell(whole(server(1)))
    assert node.serve(1) == server(1).id


def test_a_weight_of_nothing_is_as_any_other() -> None:
    node = Node(servers=0)
    node.tell(whole(server(0)._replace(weight=0.0), server(1)._replace(weight=0.0)))
    assert len({node.serve(key) for key in range(1, 50)}) == 2


def test_a_heavier_server_gets_more_keys() -> None:
    node = Node(servers=0)
    node.tell(whole(server(0)._replace(weight=3.0), server(1), server(2)))
    got = Counter(node.serve(key) for key in range(1, 1001))
    assert 500 < got[server(0).id] < 700


# Further attempts.


def test_an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() -> None:
    node = Node()
    (send,) = node.ask(2, 1)
    assert isinstance(send, api.Send)
    assert node.end(send, Result.ERROR) == [api.Fail(send.request)]


def test_an_unsafe_request_that_found_no_connection_goes_to_another_server() -> None:
    node = Node()
    (send,) = node.ask(2, 1)
    assert isinstance(send, api.Send)
    (again,) = node.end(send, Result.CONNECT_FAILED)
    assert isinstance(again, api.Send) and again.server != send.server


def test_a_keyed_request_is_repeated_in_its_cell_and_in_time_only() -> None:
    node = Node(settings(classes=(KEYED,)), servers=6)
    (send,) = node.ask(0, 5)
    assert isinstance(send, api.Send)
    (again,) = node.end(send, Result.RESET)
    assert isinstance(again, api.Send)
    assert int.from_bytes(again.server, "big") // 3 == int.from_bytes(send.server, "big") // 3
    (late,) = node.ask(0, 5)
    assert isinstance(late, api.Send)
    node.wait(800 * MS)
    assert node.end(late, Result.RESET) == [api.Fail(late.request)]


def test_a_keyed_request_without_a_key_is_not_repeated() -> None:
    node = Node(settings(classes=(KEYED,)))
    (send,) = node.ask(0, 0)
    assert isinstance(send, api.Send)
    assert node.end(send, Result.RESET) == [api.Fail(send.request)]


def test_further_attempts_are_bounded_by_a_budget() -> None:
    node = Node(servers=30)
    again = 0
    for key in range(1, 201):
        (send,) = node.ask(0, key)
        if isinstance(send, api.Send):
            again += isinstance(node.end(send, Result.ERROR)[0], api.Send)
        node.wait(50 * MS)
    assert 10 <= again <= 31


def test_late_events_of_closed_requests_are_ignored() -> None:
    node = Node()
    (send,) = node.ask(0, 1)
    assert isinstance(send, api.Send)
    node.tell(api.ClientGone(send.request))
    assert node.end(send, Result.TIMEOUT) == []
    assert node.end(send, Result.OK) == []
    assert node.tell(api.ClientGone(send.request)) == []
    assert node.tell(api.Timer(4711)) == []


# The list.


def test_a_failed_watch_is_asked_again_with_growing_pauses_within_the_bound() -> None:
    node = Node(settings(list_mode=api.ListMode.ON_REQUEST))
    node.tell(api.ServerList(api.ListKind.FAILED, ()))
    pauses = []
    for _ in range(6):
        before = node.now
        while not any(isinstance(action, api.Watch) for action in node.wait(50 * MS)):
            assert node.now - before <= 10 * SECOND
        pauses.append(node.now - before)
        node.tell(api.ServerList(api.ListKind.FAILED, ()))
    assert pauses[0] <= SECOND + 50 * MS
    assert SECOND < max(pauses) <= 2 * SECOND + 50 * MS  # a change counts as told 6 s after discovery is back


def test_whatever_befalls_its_calls_a_node_calls_again_soon_enough_to_learn_within_6_s() -> None:
    """Discovery may be back the moment after a call that comes to nothing has begun. The pauses doubled to
    ten seconds and came on top of calls that had themselves been waited for."""
    chance = Random(11)
    # Refused, turned away, cut off, mute.
    lasts = (0, SECOND // 100, int(DIAL_TIMEOUT_S * SECOND), int(ANSWER_TIMEOUT_S * SECOND))
    for seed in range(40):
        balancer = Balancer(settings(list_mode=api.ListMode.ON_REQUEST), seed)
        (_, first) = balancer.start(START)
        assert isinstance(first, api.SetTimer)
        assert first.at - START + int(ANSWER_TIMEOUT_S * SECOND) // 4 <= 6 * SECOND
        began = first.at
        assert balancer.handle(began, api.Timer(WATCH_TOKEN)) == [api.Watch()]
        for _ in range(12):
            failed = began + chance.choice(lasts)
            (again,) = balancer.handle(failed, api.ServerList(api.ListKind.FAILED, ()))
            assert isinstance(again, api.SetTimer) and again.at > failed + SECOND // 5
            assert again.at - began <= 5 * SECOND  # which leaves one for the answer
            began = again.at
            assert balancer.handle(began, api.Timer(WATCH_TOKEN)) == [api.Watch()]


def test_a_node_that_restarts_with_an_empty_list_asks_within_a_second() -> None:
    balancer = Balancer(settings(list_mode=api.ListMode.ON_REQUEST), 3)
    (timer,) = balancer.handle(START, api.ServerList(api.ListKind.CACHED, ()))
    assert isinstance(timer, api.SetTimer)
    assert timer.at - START <= SECOND


def test_a_watch_is_asked_for_once_until_it_fails() -> None:
    balancer = Balancer(settings(list_mode=api.ListMode.ON_REQUEST), 3)
    assert balancer.handle(1, api.Timer(2)) == [api.Watch()]
    assert balancer.handle(2, api.Timer(2)) == []
    balancer.handle(3, api.ServerList(api.ListKind.FAILED, ()))
    assert balancer.handle(4, api.Timer(2)) == [api.Watch()]


def test_repeats_within_a_zone_do_not_all_go_to_its_first_server() -> None:
    kind = api.RequestClass(SECOND, 1.0, 0.0, api.Repeat.KEYED, api.Group.ZONE, 5 * SECOND)
    node = Node(settings(classes=(kind,)), servers=30)
    again = set()
    for key in range(1, 60):
        (send,) = node.ask(0, key)
        if isinstance(send, api.Send):
            (action,) = node.end(send, Result.RESET)
            if isinstance(action, api.Send):
                again.add(action.server)
                node.end(action, Result.OK)
        node.wait(50 * MS)
    assert len(again) > 5


def test_servers_that_are_gone_are_forgotten() -> None:
    balancer = Balancer(settings(), 3)
    for n in range(50):
        balancer.handle(n, whole(server(n), server(n + 1)))
    assert len(balancer._backends) == 2


def test_nodes_that_start_together_ask_at_different_times() -> None:
    first = []
    for seed in range(10):
        node = Node(settings(list_mode=api.ListMode.ON_REQUEST), seed=seed)
        first.append(min(timer.at for timer in node.timers if timer.token == 2))
    assert len(set(first)) == 10
    assert max(first) - min(first) > SECOND


# Order.

ORDERED = api.RequestClass(SECOND, 1.0, 0.0, api.Repeat.SAFE, in_order=True)


def ordered(servers: int = 6) -> Node:
    node = Node(settings(classes=(ORDERED, ORDERED), key_rest=50 * MS), servers)
    for _ in range(9):  # windows that tell how long such requests take
        window(node, 2, 10 * MS)
        window(node, 2, 10 * MS, class_index=1)
    return node


def test_requests_of_a_key_go_out_one_at_a_time_in_the_order_taken() -> None:
    node = ordered()
    (first,) = node.ask(0, 5)
    assert isinstance(first, api.Send)
    assert isinstance(node.ask(0, 6)[0], api.Send)  # another key
    assert isinstance(node.ask(0, 0)[0], api.Send) and isinstance(node.ask(0, 0)[0], api.Send)  # no key
    assert isinstance(node.ask(1, 5)[0], api.SetTimer) and isinstance(node.ask(0, 5)[0], api.SetTimer)
    (second,) = node.end(first, Result.OK)
    assert isinstance(second, api.Send) and second.request == first.request + 4
    (third,) = node.end(second, Result.OK)
    assert isinstance(third, api.Send) and third.request == second.request + 1
    assert node.end(third, Result.OK) == []


def test_a_key_rests_after_an_attempt_that_may_still_run() -> None:
    node = ordered()
    (first,) = node.ask(0, 5)
    assert isinstance(first, api.Send)
    node.ask(0, 5)
    (again,) = node.end(first, Result.RESET)
    assert isinstance(again, api.Send) and again.request == first.request  # it keeps its turn
    assert all(isinstance(action, api.SetTimer) for action in node.end(again, Result.OK))
    assert not [action for action in node.wait(49 * MS) if isinstance(action, api.Send)]
    assert [action for action in node.wait(2 * MS) if isinstance(action, api.Send)]


def test_a_client_that_left_holds_the_turn_until_its_attempt_is_over() -> None:
    node = ordered()
    (first,) = node.ask(0, 5)
    assert isinstance(first, api.Send)
    node.tell(api.ClientGone(first.request))
    assert isinstance(node.ask(0, 5)[0], api.SetTimer)
    assert isinstance(node.end(first, Result.OK)[0], api.Send)


def test_one_that_waits_too_long_is_refused_before_its_time_is_up() -> None:
    node = ordered()
    node.ask(0, 5)
    asked = node.now
    node.ask(0, 5)
    while not any(isinstance(action, api.Refuse) for action in node.wait(10 * MS)):
        assert node.now < asked + SECOND
    assert node.now > asked + SECOND // 3


def test_a_queue_whose_end_comes_too_late_takes_no_more() -> None:
    """A popular key at a single node asks for more than one at a time can do."""
    node = Node(settings(classes=(ORDERED,)))
    for _ in range(9):
        window(node, 2, 300 * MS)
    got = [node.ask(0, 5)[0] for _ in range(10)]
    assert sum(isinstance(action, api.Refuse) for action in got) >= 7
    assert isinstance(got[-1], api.Refuse) and isinstance(got[1], api.SetTimer)


# Connections.


def lose_idle(node: Node, result: Result, keys: range = range(1, 9)) -> None:
    """Requests that go out on connections which had been idle for three seconds, and are not answered."""
    for key in keys:
        node.serve(key)
        node.wait(3 * SECOND)
        for backend in node.balancer._subset:
            backend.reset_health()  # the first losses, not yet understood, eject some
        actions = node.ask(2, key)
        send = actions[-1]
        assert isinstance(send, api.Send)
        node.end(send, result, 300 * MS)


@pytest.mark.parametrize("result", [Result.RESET, Result.TIMEOUT])
def test_an_idle_connection_is_closed_before_use_once_such_have_been_lost(result: Result) -> None:
    """A network dropped idle connections unseen: what was sent on one was lost and might have run."""
    node = Node()
    node.serve(1)
    node.wait(3 * SECOND)
    assert [type(action) for action in node.ask(2, 1)] == [api.Send]
    node = Node()
    lose_idle(node, result, range(1, 8 if result is Result.RESET else 5))
    for backend in node.balancer._subset:
        backend.reset_health()
        backend.idle_since = [node.now]
    node.wait(3 * SECOND)
    hang_up, send = node.ask(2, 5)
    assert isinstance(hang_up, api.CloseIdleConnections) and isinstance(send, api.Send)
    assert hang_up.server == send.server
    node.end(send, Result.OK)
    for backend in node.balancer._subset:
        backend.idle_since = [node.now]
    node.wait(100 * MS)
    assert [type(action) for action in node.ask(2, 5)] == [api.Send]  # it did not idle for long


def test_trust_in_idle_connections_comes_back() -> None:
    node = Node()
    lose_idle(node, Result.RESET, range(1, 5))
    node.wait(60 * SECOND)
    node.serve(5)
    node.wait(3 * SECOND)
    assert [type(action) for action in node.ask(2, 5)] == [api.Send]


def test_trust_comes_back_after_months_too() -> None:
    """The doubling of trust overflowed after some hours."""
    node = Node()
    lose_idle(node, Result.RESET, range(1, 5))
    node.serve(5)
    node.now += 90 * 24 * 3600 * SECOND
    assert isinstance(node.ask(2, 5)[-1], api.Send)


def test_what_is_lost_on_new_connections_too_is_not_for_idling() -> None:
    node = Node(servers=30)
    for key in range(100, 120):
        send = node.ask(2, key)[-1]
        assert isinstance(send, api.Send)
        node.end(send, Result.TIMEOUT, 300 * MS)
    lose_idle(node, Result.TIMEOUT, range(1, 3))
    node.serve(5)
    node.wait(3 * SECOND)
    assert [type(action) for action in node.ask(2, 5)] == [api.Send]


def test_where_new_connections_fail_standing_ones_are_used_and_their_servers_not_ejected() -> None:
    """New connections turned slow at most servers: three quarters of them were ejected as down."""
    node = Node(servers=12)
    for key in range(1, 60):
        node.serve(key)
    standing = {node.serve(key) for key in range(1, 60)}
    held = [node.ask(0, key)[0] for key in range(1, 60)]  # takes the standing connections and needs more
    fails = [send for send in held[12:] if isinstance(send, api.Send)]
    for send in fails[:10]:
        (again,) = node.end(send, Result.CONNECT_FAILED)
        assert isinstance(again, api.Send)
        node.end(again, Result.OK)
    for send in held[:12]:
        assert isinstance(send, api.Send)
        if len(node.sent[send.request]) == 1:
            node.end(send, Result.OK)
    assert not [one for one in node.balancer._subset if one.ejected_until]
    (send,) = node.ask(0, 3)
    assert isinstance(send, api.Send) and send.server in standing
    connected = {name for name, one in node.balancer._backends.items() if one.idle_since}
    (again,) = node.end(send, Result.CONNECT_FAILED)
    assert isinstance(again, api.Send) and again.server in connected


# Kinds of machine.


def machines(weight: float = 1.0) -> Node:
    node = Node(settings(report_fields=("utilization",)), servers=0)
    weights = (1.0, weight)
    node.tell(whole(*(server(n)._replace(kind=n % 2, weight=weights[n % 2]) for n in range(20))))
    return node


def part_of_second_kind(node: Node) -> float:
    got = [node.serve(key) for key in range(50_000, 50_400)]
    return sum(int.from_bytes(name or b"", "big") % 2 for name in got) / len(got)


def report(node: Node, busy: tuple[float, float]) -> None:
    for n in range(60):
        (send,) = node.ask(0, 100 + n)
        assert isinstance(send, api.Send)
        node.end(send, Result.OK, 10 * MS, (busy[int.from_bytes(send.server, "big") % 2],))
        node.wait(50 * MS)


def test_a_kind_that_reports_to_be_busier_gets_fewer_keys_where_the_list_gives_no_weights() -> None:
    """The slowest kind of a mixed fleet got as many keys as the others, and was never out of trouble."""
    node = machines()
    assert 0.4 < part_of_second_kind(node) < 0.6
    report(node, (0.3, 0.9))
    assert part_of_second_kind(node) < 0.3


def test_listed_weights_are_not_second_guessed() -> None:
    node = machines(weight=2.0)
    before = part_of_second_kind(node)
    report(node, (0.3, 0.6))
    assert abs(part_of_second_kind(node) - before) < 0.05


def test_reports_of_nothing_and_time_outs_alone_leave_every_kind_a_share() -> None:
    node = machines()
    report(node, (0.0, 0.0))
    assert 0.4 < part_of_second_kind(node) < 0.6
    for n in range(100):
        send = node.ask(0, 900 + n)[0]
        if isinstance(send, api.Send):
            node.end(send, Result.TIMEOUT, 500 * MS)
        node.wait(400 * MS)
    assert all(kind.share > 0.0 for kind in node.balancer._kinds.values())


def test_no_further_attempt_once_an_answer_would_be_worth_nothing() -> None:
    """After a time-out at the aim the same request went out again, for an answer that nobody wanted."""
    node = Node()
    (send,) = node.ask(0, 1, time_left=3 * SECOND)
    assert isinstance(send, api.Send) and send.time_out == 500 * MS
    node.now += 200 * MS
    (again,) = node.end(send, Result.CONNECT_FAILED, 200 * MS)
    assert isinstance(again, api.Send) and again.time_out == 300 * MS
    node.now += 300 * MS
    assert isinstance(node.end(again, Result.TIMEOUT, 300 * MS)[0], api.Refuse)


def test_no_further_attempt_that_has_no_time_and_no_blame_for_one() -> None:
    """Time-outs of a few milliseconds, on what was left of the aim, ejected one good server after another."""
    node = Node(servers=6)
    for _ in range(8):
        window(node, 12, 100 * MS)
    for key in range(1, 5):
        send = node.ask(0, key)[-1]
        assert isinstance(send, api.Send)
        node.now += 440 * MS
        again = node.end(send, Result.FULL, 440 * MS)[-1]
        assert isinstance(again, api.Send) and again.time_out == 60 * MS  # enough for some answers
        node.now += 60 * MS
        assert isinstance(node.end(again, Result.TIMEOUT, 60 * MS)[0], api.Refuse)
        send = node.ask(0, key)[-1]
        assert isinstance(send, api.Send)
        node.now += 460 * MS
        assert isinstance(node.end(send, Result.FULL, 460 * MS)[-1], api.Refuse)  # 40 ms: too little
    assert not any(one.ejected_until or one.utilization for one in node.balancer._backends.values())


@pytest.mark.parametrize("report", [(), (0.9,)])
def test_an_answer_without_a_report_does_not_make_a_busy_server_look_idle(report: tuple[float, ...]) -> None:
    node = Node(settings(report_fields=("utilization",)), servers=1)
    (send,) = node.ask(0, 1)
    assert isinstance(send, api.Send)
    node.end(send, Result.OK, report=(0.9,))
    (send,) = node.ask(0, 1)
    assert isinstance(send, api.Send)
    node.end(send, Result.OK, report=report)
    assert node.balancer._backends[send.server].utilization == 0.9


@pytest.mark.parametrize(("field", "make"), [
    ("aim", lambda: api.RequestClass(0, 1.0, 0.0, api.Repeat.SAFE)),
    ("late_worth", lambda: api.RequestClass(1, 1.0, 1.5, api.Repeat.SAFE)),
    ("window", lambda: api.RequestClass(1, 1.0, 0.0, api.Repeat.SAFE, window=-1)),
    ("share", lambda: api.Tenant(1.5)),
    ("classes", lambda: settings(classes=())),
    ("cold_share", lambda: settings(cold_share=-0.1)),
    ("cold_time", lambda: settings(cold_time=-1)),
    ("nodes", lambda: settings(nodes=0)),
    ("key_rest", lambda: settings(key_rest=-1)),
])  # fmt: skip
def test_impossible_settings_are_refused_by_name(field: str, make: Callable[[], object]) -> None:
    with pytest.raises(ValueError, match=field):
        make()


def test_overdriven_servers_get_a_rest() -> None:
    """Where hardly anything was answered half of the old load kept the servers' queues full.
    A dozen attempts decide it: five did so by chance."""
    node = Node(settings(classes=(UNSAFE,)), servers=6)
    for _ in range(4):
        window(node, 12, 50 * MS)
    for _ in range(8):
        sends = [node.ask(0, key)[0] for key in range(1, 13)]
        node.wait(300 * MS)
        for send in sends:
            if isinstance(send, api.Send):
                node.end(send, Result.TIMEOUT, 300 * MS)
        node.wait(300 * MS)
    assert max(node.balancer._caps) < 1.0


def test_cold_servers_do_not_make_their_kind_look_idle() -> None:
    """They are sent little on purpose; by their reports the one warm server of their kind got all keys."""
    node = machines()
    cold = [server(n, started=node.now)._replace(kind=n % 2) for n in range(3, 20, 2)]
    node.tell(api.ServerList(api.ListKind.DELTA, tuple(cold)))
    for n in range(600):
        send = node.ask(0, 100 + n)[-1]
        if isinstance(send, api.Send):
            is_cold = send.server in {one.id for one in cold}
            node.end(send, Result.OK, 10 * MS, (0.1 if is_cold else 0.8,))
        node.wait(5 * MS)
    kinds = node.balancer._kinds
    assert abs(kinds[0].share - kinds[1].share) < 0.1


@pytest.mark.parametrize(("busy", "part"), [(0.0, 0.8), (0.7, 0.8), (0.95, 0.8), (0.4, 1.4), (0.1, 1.6)])
def test_a_cold_server_with_room_by_its_report_takes_more(busy: float, part: float) -> None:
    node = Node()
    backend = node.balancer._subset[0]
    backend.utilization = busy
    assert node.balancer._cold_load_fraction(backend) == pytest.approx(part)


def test_the_part_of_cold_servers_outlasts_a_jam_of_the_warm_ones() -> None:
    """By the rate of a jam they got next to nothing, and the warm ones all the rest, for ten seconds."""
    node = Node()
    for key in range(1, 600):
        node.serve(key)
        node.wait(5 * MS)
    rate = node.balancer._warm_rate
    node.wait(2 * SECOND)  # nothing is sent
    assert 0.7 * rate < node.balancer._warm_rate < rate


def test_what_was_learned_goes_to_the_next_balancer() -> None:
    node, other = Node(), Node(seed=2)
    for _ in range(6):
        window(node, 30, 450 * MS)
    failing = node.balancer._subset[0]
    failing.failure_log_odds, failing.ejected_until = 3.0, node.now + 5 * SECOND
    node.wait(SECOND)  # the caps count without it
    (send,) = node.ask(0, 7)
    other.now = node.now
    restore_state(other.balancer, other.now, json.loads(json.dumps(export_state(node.balancer))))
    assert other.balancer._caps == pytest.approx(node.balancer._caps)
    assert other.balancer._subset[0].ejected_until == failing.ejected_until
    # What the old one has out counts for its usual time, and no longer.
    assert other.balancer._in_flight.count == 1 and isinstance(send, api.Send)
    other.wait(3 * SECOND)
    assert other.balancer._in_flight.count == 0
    with pytest.raises((KeyError, TypeError, ValueError, AttributeError)):
        restore_state(other.balancer, other.now, {"breakers": []})


# A large fleet: a node sees little of any server.


def test_a_cap_follows_the_servers_that_can_serve_at_once() -> None:
    """Three in five servers of a fleet were replaced within seconds. Caps learned before it held on, the rest
    was filled with what all had carried, and crowded servers turned slow for good."""
    node = Node(one_class(), servers=12)
    for _ in range(8):
        window(node, 60, 500 * MS)
    before = node.balancer._caps[0]
    node.tell(api.ServerList(api.ListKind.DELTA, tuple(
        server(number, state=api.ServerState.DRAINING) for number in range(6)
    )))  # fmt: skip
    assert node.balancer._caps[0] == pytest.approx(before / 2)
    for backend in node.balancer._subset[:3]:
        backend.ejected_until = node.now + 9 * SECOND
    node.balancer._set_caps(node.now)
    assert node.balancer._caps[0] == pytest.approx(before / 4)


def test_cold_servers_lift_a_cap_as_they_warm_up() -> None:
    node = Node(one_class(), servers=6)
    before = node.balancer._caps[0]
    node.tell(api.ServerList(api.ListKind.DELTA, tuple(
        server(number, started=node.now) for number in range(6, 12)
    )))  # fmt: skip
    cold = node.balancer._caps[0]
    node.wait(node.balancer._settings.cold_time)
    assert before < cold < 1.3 * before
    assert node.balancer._caps[0] == pytest.approx(2 * before, rel=0.05)


def test_few_answers_of_a_class_lean_on_those_of_all() -> None:
    """The tail of three answers was their second: caps stood at four times what the fleet could carry."""
    crowded = [200 * MS, 300 * MS, 900 * MS]
    breakers = [Breaker(SECOND) for _ in range(4)]
    for _ in range(20):  # quiet windows first: what is usual is known
        for breaker in breakers:
            breaker.window.answered += [200 * MS, 200 * MS, 250 * MS]
            breaker.update(3.0, 10.0, False, 0.0)
    lean, alone = breakers[0], replace(breakers[0], window=Window())
    for breaker in (*breakers, alone):
        breaker.window.answered += crowded
    pooled = pooled_tail(breakers)
    lean.update(9.0, 10.0, False, pooled)
    alone.update(9.0, 10.0, False, 0.0)
    assert lean.threshold(10.0) < 0.75 * alone.threshold(10.0)  # three of the eight that speak for it


def test_a_class_with_answers_enough_goes_by_its_own() -> None:
    one, other = Breaker(SECOND), Breaker(SECOND)
    for breaker in (one, other):
        breaker.window.answered += [300 * MS] * 16
    one.update(9.0, 10.0, False, 8.0)
    other.update(9.0, 10.0, False, 0.0)
    assert one.threshold(10.0) == other.threshold(10.0)


def test_what_is_usual_for_a_class_does_not_jump_with_one_answer() -> None:
    one = Breaker(SECOND)
    for _ in range(20):
        one.window.answered += [200 * MS]
        one.update(3.0, 10.0, False)
    before = one.typical_time
    one.window.answered += [2000 * MS]
    one.update(3.0, 10.0, False)
    assert before < one.typical_time < 1.5 * before


def test_trials_of_a_silent_server_tell_nothing_of_idle_connections() -> None:
    """Nearly half the requests of a fleet went out on new connections: each trial of a slow server that timed
    out on an idle one counted as a connection that had been dropped, and all idle ones were closed."""
    node = Node(servers=1)
    (silent,) = node.balancer._subset
    node.serve(1)
    silent.failure_log_odds, silent.ejected_until = 9.0, node.now + 1
    for trial in range(1, 7):
        node.wait(60 * SECOND)
        silent.idle_since = [node.now - 2 * SECOND]
        (send,) = node.ask(0, 1)
        assert isinstance(send, api.Send)
        node.end(send, Result.TIMEOUT, 900 * MS)
        assert silent.doublings == min(trial, 4)
    assert not node.balancer._distrusted_since


def test_idle_connections_are_trusted_again_where_new_ones_fare_no_better() -> None:
    """Crowded servers timed out on any connection; a handshake for each request crowded them more."""
    node = Node()
    lose_idle(node, Result.TIMEOUT)
    assert node.balancer._distrusted_since
    backend = node.balancer._subset[0]
    backend.idle_since = [node.now - 10 * SECOND]
    assert not node.balancer._reusable_idle_time(node.now, backend)
    node.balancer._lost_others = 0.9
    assert node.balancer._reusable_idle_time(node.now, backend)


def test_one_failure_tells_of_a_server_only_where_others_do_not_fail() -> None:
    """On forty nodes each time-out of a server that had not answered for two seconds left it out: where a
    tenth of all attempts timed out, a quarter of the list was out at each node, another quarter at the next,
    and the truly jammed ones found no place among them."""
    for fleet, ejected in ((0.0, True), (0.15, False)):
        node = Node()
        node.balancer._fleet_failures = fleet
        backend = node.balancer._subset[0]
        backend.answered_at = node.now - 5 * SECOND
        node.balancer._record_health(node.now, backend, Result.TIMEOUT, 0)
        assert bool(backend.ejected_until) is ejected
        node.balancer._record_health(node.now, backend, Result.TIMEOUT, 0)
        assert backend.ejected_until


def test_doubt_of_a_server_fades_with_its_answers() -> None:
    node = Node()
    node.balancer._fleet_failures = 0.15
    backend = node.balancer._subset[0]
    for _ in range(6):
        for result in (Result.TIMEOUT, Result.OK, Result.OK):
            node.now += 5 * SECOND
            node.balancer._record_health(node.now, backend, result, 0)
    assert not backend.ejected_until


def test_servers_that_told_nothing_yet_are_not_held_to_be_idle() -> None:
    """For its first seconds a node of a large fleet has the reports of a few servers, all of them crowded."""
    node = Node(settings(report_fields=("utilization",)), servers=60)
    for backend in node.balancer._subset[:5]:
        backend.utilization = 0.9
    assert not node.balancer._is_idle()
    for backend in node.balancer._subset[:5]:
        backend.utilization = 0.3
    assert node.balancer._is_idle()


def test_a_full_server_gets_its_idle_connections_back() -> None:
    """It may be full of connections. Kept by each of many nodes, they kept it over its number for good."""
    node = Node(servers=1)
    first, second = node.ask(0, 42)[-1], node.ask(0, 42)[-1]
    assert isinstance(first, api.Send) and isinstance(second, api.Send)
    node.end(first, Result.OK)
    backend = node.balancer._backends[first.server]
    assert backend.idle_since
    assert api.CloseIdleConnections(second.server) in node.end(second, Result.FULL)
    assert not backend.idle_since


def test_a_watch_that_had_been_answered_is_opened_anew_at_once() -> None:
    """Its end may stand in the place of news, and a whole fleet that pauses first queues at discovery for
    longer than a grace. One that ends as soon as it is answered is no reason to call ten times a second."""
    for seed in range(40):
        balancer = Balancer(settings(list_mode=api.ListMode.ON_REQUEST), seed)
        (_, first) = balancer.start(START)
        assert isinstance(first, api.SetTimer)
        now = first.at
        pauses = []
        for stands in (8 * SECOND, 30 * SECOND, 0, 0, 0, 0, 0, 0, 9 * SECOND, 9 * SECOND):
            assert balancer.handle(now, api.Timer(WATCH_TOKEN)) == [api.Watch()]
            balancer.handle(now + 10 * MS, whole(server(1)))
            now += 10 * MS + stands
            (again,) = balancer.handle(now, api.ServerList(api.ListKind.FAILED, ()))
            assert isinstance(again, api.SetTimer)
            pauses.append(again.at - now)
            now = again.at
        assert max(*pauses[:3], *pauses[-2:]) <= SECOND // 10
        assert SECOND // 2 <= max(pauses) <= 2 * SECOND
        assert sum(pauses[2:8]) >= 2 * SECOND


def test_no_repeat_is_begun_so_late_that_a_held_up_write_would_miss_its_window() -> None:
    """Between the clock's reading and the write a node may be held up for 0.15 s."""
    for elapsed, again in ((400 * MS, True), (549 * MS, True), (551 * MS, False), (690 * MS, False)):
        kind = replace(KEYED, aim=4 * SECOND, group=api.Group.ALL)  # repeats are dropped for 700 ms
        node = Node(settings(classes=(kind,)), servers=6)
        send = node.ask(key=7, time_left=5 * SECOND)[-1]
        assert isinstance(send, api.Send)
        node.now += elapsed
        actions = node.end(send, Result.ERROR, elapsed)
        (more,) = [one for one in actions if isinstance(one, api.Send)] or [None]
        assert (more is not None) is again
        if more is not None:
            assert more.begin_within <= kind.window - elapsed - 150 * MS
