"""One small test per mechanism and per failure found, with hand-made events and without servers."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from world import KEYED, MS, SAFE, SECOND, START, UNSAFE, Node, full_list, server, settings

from driftstair.net.discovery import ANSWER_TIMEOUT_S, DIAL_TIMEOUT_S
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.balance import WATCH_TOKEN
from lichenspring.breaker import Breaker, Window, pooled_tail
from lichenspring.interface import Result
from lichenspring.memory import export_state, restore_state


def window(node: Node, count: int, elapsed: int, class_index: int = 0) -> None:
    """Sends requests, answers all of them with one response time, and ends the window."""
    sends = [node.request(class_index, key)[0] for key in range(1, count + 1)]
    node.wait(300 * MS)
    for send in sends:
        if isinstance(send, api.Send):
            node.finish(send, Result.OK, elapsed)
    node.wait(300 * MS)


def admitted(node: Node, count: int = 400, class_index: int = 0) -> int:
    """How many of the requests that arrive at once are admitted."""
    return sum(isinstance(node.request(class_index, 10_000 + n)[0], api.Send) for n in range(count))


def warm_up_key_counts(node: Node) -> None:
    """Sends enough other requests that no key of a test counts as hot."""
    for key in 2 * list(range(100, 136)):
        node.serve(key)


def one_class(aim: int = SECOND, **changes: object) -> api.Settings:
    kind = api.RequestClass(aim, 1.0, 0.5, api.Repeat.SAFE)
    return settings(classes=(kind,), **changes)


# Admission.


def test_new_node_admits_initial_cap_and_refuses_next_request() -> None:
    node = Node(one_class(), servers=6)
    assert admitted(node) == 76  # the cap of 60 and two square roots of it, while the mean is below
    (refusal,) = node.request(0, 1)
    assert isinstance(refusal, api.Refuse)
    assert 0 < refusal.retry_after <= 2 * SECOND


def test_response_times_above_target_lower_cap() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(4):
        window(node, 30, 3 * SECOND)
    assert admitted(node) < 20


def test_window_with_low_load_does_not_lower_cap() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(10):
        window(node, 1, 300 * MS)
    assert admitted(node) == 76


def test_windows_within_target_at_cap_raise_it() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(6):
        window(node, 400, 100 * MS)
    assert admitted(node) > 60


def test_cap_keeps_fraction_of_proven_load_if_all_servers_are_slow() -> None:
    node = Node(one_class(), servers=6)
    for _ in range(3):
        window(node, 60, 100 * MS)
    for _ in range(40):
        window(node, 60, 3 * SECOND)
    assert admitted(node) >= 5


def test_timeout_counts_as_longer_than_its_wait() -> None:
    node = Node(one_class(), servers=6)
    sends = [node.request(0, key)[0] for key in range(30)]
    node.wait(300 * MS)
    for send in sends:
        assert isinstance(send, api.Send)
        node.finish(send, Result.TIMEOUT, 580 * MS)  # below the target, but twice that is above
    node.wait(300 * MS)
    assert admitted(node) < 30


def test_lesser_class_with_higher_threshold_does_not_displace_worthier_class() -> None:
    """Guards against refusing the worthier class first because its requests are heavier and miss their aim
    first."""
    light = api.RequestClass(2 * SECOND, 8.0, 0.0, api.Repeat.SAFE)
    heavy = api.RequestClass(SECOND, 10.0, 0.0, api.Repeat.SAFE)
    node = Node(settings(classes=(light, heavy), worth_by_work=True), servers=6)
    for _ in range(6):
        window(node, 30, 3 * SECOND, class_index=1)
    assert admitted(node, class_index=0) < 20


def test_timed_out_attempt_counts_in_flight_for_as_long_again() -> None:
    """Guards against refilling servers at once while they still work on requests that timed out."""
    node = Node(settings(classes=(api.RequestClass(SECOND, 1.0, 0.5, api.Repeat.UNSAFE),)), servers=6)
    sends = [node.request(0, key)[0] for key in range(1, 77)]
    for send in {send.server: send for send in sends if isinstance(send, api.Send)}.values():
        node.finish(send, Result.TIMEOUT, 100 * MS)
    assert isinstance(node.request(0, 77)[0], api.Refuse)
    node.now += 110 * MS
    assert isinstance(node.request(0, 77)[0], api.Send)


def test_class_at_its_cap_is_still_sampled() -> None:
    node = Node(settings(classes=(SAFE, UNSAFE)), servers=20)
    while isinstance(node.request(1, node.next_id)[0], api.Send):
        pass
    assert isinstance(node.request(0, 1)[0], api.Send)


def test_worthier_class_is_admitted_after_lesser_one_is_refused() -> None:
    node = Node(settings(classes=(SAFE, UNSAFE), worth_by_work=True), servers=6)
    assert admitted(node, class_index=0) == 62
    assert isinstance(node.request(1, 1)[0], api.Send)


def test_timeouts_of_ejected_servers_do_not_close_breaker() -> None:
    """Guards against taking attempts from before a zone cut, which time out seconds later, for load."""
    node = Node(one_class(), servers=12)
    silent = server(0).id
    waiting = []
    for key in range(1, 200):
        (send,) = node.request(0, key)
        assert isinstance(send, api.Send)
        if send.server == silent:
            waiting.append(send)
        else:
            node.finish(send, Result.OK)
        if len(waiting) == 8:
            break
    for send in waiting[:4]:
        node.finish(send, Result.CONNECT_FAILED)
    node.wait(SECOND)
    for send in waiting[4:]:
        node.finish(send, Result.TIMEOUT, 4 * SECOND)
    node.wait(SECOND)
    assert admitted(node) >= 55


def test_answer_in_zero_time_does_not_divide_by_zero() -> None:
    node = Node()
    node.serve(1, elapsed=0)
    node.wait(SECOND)
    assert node.serve(1, elapsed=0) is not None


def test_burst_above_cap_is_admitted_only_while_mean_is_below_cap() -> None:
    """With hundreds of nodes a cap is about one. Guards against refusing two or three requests that arrive
    together while servers are idle."""
    node = Node(one_class(nodes=120), servers=12)  # a cap of one
    sends = [node.request(0, key)[0] for key in range(1, 5)]
    assert [isinstance(send, api.Send) for send in sends] == [True, True, True, False]
    node.wait(2 * SECOND)
    for send in sends[:2]:
        assert isinstance(send, api.Send)
        node.finish(send, Result.OK)
    assert isinstance(node.request(0, 9)[0], api.Refuse)  # two were in flight on average


def test_cap_below_one_is_enforced() -> None:
    """Guards against always admitting one request per class and node: with many nodes that exceeds what a
    reduced fleet can do, and overload never ends."""
    node = Node(one_class(nodes=600), servers=12)
    (send,) = node.request(0, 1)
    assert isinstance(send, api.Send)
    node.now += 400 * MS
    node.finish(send, Result.OK, 400 * MS)
    assert isinstance(node.request(0, 2)[0], api.Refuse)  # more than a tenth was in flight on average
    node.now += 3 * SECOND
    assert isinstance(node.request(0, 3)[0], api.Send)


@pytest.mark.parametrize(("report", "least", "most"), [(0.3, 30, 400), (1.0, 1, 29)])
def test_reported_free_cores_keep_cap_unless_aim_is_missed(report: float, least: int, most: int) -> None:
    """Guards against a lower cap because a class's own long requests exceed the target at low load."""
    node = Node(one_class(report_fields=("utilization",)), servers=6)
    window(node, 10, 200 * MS)
    for _ in range(8):
        sends = [node.request(0, key)[0] for key in range(1, 31)]
        node.wait(300 * MS)
        for send in sends:
            if isinstance(send, api.Send):
                node.finish(send, Result.OK, 900 * MS, (report,))
        node.wait(300 * MS)
    assert least <= admitted(node) <= most


def test_resubmitted_request_is_refused_at_half_of_cap() -> None:
    node = Node(one_class(), servers=6)
    assert admitted(node, 41) == 41  # half of 60, and two square roots of that
    retry = api.Request(9999, SECOND, 0, 0, 7, True)
    assert isinstance(node.handle(retry)[0], api.Refuse)
    assert isinstance(node.request(0, 7)[0], api.Send)


def test_tenant_over_its_share_is_limited_and_others_are_not() -> None:
    node = Node(one_class(tenants=(api.Tenant(0.5), api.Tenant(0.5))), servers=6)
    surge = [node.handle(api.Request(5000 + n, SECOND, 0, 0, 100 + n, False))[0] for n in range(60)]
    assert sum(isinstance(action, api.Send) for action in surge) == 41
    assert isinstance(node.handle(api.Request(6000, SECOND, 0, 1, 3, False))[0], api.Send)


def test_full_answers_move_key_to_its_other_server() -> None:
    """With at most one request in flight per server, own load can't tell a full server from an idle one."""
    node = Node()
    warm_up_key_counts(node)
    home = node.serve(42)
    (send,) = node.request(0, 42)
    assert isinstance(send, api.Send)
    again = node.finish(send, Result.FULL)[-1]
    assert isinstance(again, api.Send)
    node.finish(again, Result.OK)
    assert node.serve(42) == again.server != home
    node.wait(60 * SECOND)  # the evidence has decayed
    assert node.serve(42) == home


# Choice of a server.


def test_servers_full_for_one_class_are_used_for_others() -> None:
    """Guards against sending all requests of a class to the half of the servers that answer it as full, fast
    and without load, which closes its breaker and those of the lesser classes."""
    node = Node(servers=6)
    closed = {server(number).id for number in range(3)}
    for backend in node.balancer._backends.values():
        backend.in_flight += 8 * (backend.server.id not in closed)
    full = Counter[int]()
    for turn in range(40):
        for key in range(1, 7):
            sends = [one for one in node.request(0, key) if isinstance(one, api.Send)]
            while sends and sends[0].server in closed:
                full[turn] += 1
                sends = [one for one in node.finish(sends[0], Result.FULL) if isinstance(one, api.Send)]
            if sends:
                node.finish(sends[0], Result.OK)
        node.now += 10 * MS
    assert full
    assert not any(full[turn] for turn in range(30, 40))
    assert {node.serve(key, class_index=1) for key in range(1, 40)} >= closed  # usable for another class


def test_key_stays_with_first_server_while_loads_are_equal() -> None:
    node = Node()
    assert len({node.serve(42) for _ in range(20)}) == 1


def test_less_loaded_of_two_servers_is_chosen() -> None:
    node = Node()
    first, second = node.request(0, 42)[0], node.request(0, 42)[0]
    assert isinstance(first, api.Send) and isinstance(second, api.Send)
    assert first.server != second.server


def test_nodes_with_different_seeds_agree_on_key() -> None:
    assert {Node(seed=seed).serve(7) for seed in range(5)} == {Node(seed=9).serve(7)}


def test_keys_are_spread_evenly() -> None:
    node = Node(servers=20)
    counts = Counter(node.serve(key) for key in range(1, 2001))
    assert len(counts) == 20
    assert max(counts.values()) < 1.5 * 100


def test_hot_key_is_sent_to_more_than_two_servers() -> None:
    node = Node(servers=20)
    for _ in range(3):
        for n in range(100):
            node.serve(42 if n % 3 else 1000 + n)
        node.wait(SECOND)
    assert len({node.serve(42) for _ in range(100)}) > 5


def test_hot_key_is_found_at_small_share_of_traffic() -> None:
    """With hundreds of nodes each sees a hot key at most once a second. Guards against all of them sending it
    to one server."""
    node = Node(servers=60)
    for n in range(90):
        node.serve(42 if n % 6 == 0 else 1000 + n)
        node.wait(200 * MS)
    assert len({node.serve(42) for _ in range(100)}) > 5


def test_keys_counted_without_servers_are_harmless() -> None:
    """Guards against a random choice among zero servers after servers are listed again."""
    node = Node(servers=0)
    for _ in range(3):
        node.request(0, 42)
    node.wait(SECOND)
    node.handle(full_list(server(1), server(2)))
    assert node.serve(42) is not None


def test_requests_without_key_use_random_servers() -> None:
    node = Node(servers=6)
    assert len({node.serve(0) for _ in range(60)}) == 6


def test_list_change_moves_few_keys() -> None:
    node = Node(servers=20)
    before = {key: node.serve(key) for key in range(1, 501)}
    node.handle(full_list(*(server(number) for number in range(19))))
    moved = [key for key in before if node.serve(key) != before[key]]
    lost = [key for key in before if before[key] == server(19).id]
    assert set(lost) <= set(moved)
    assert len(moved) < len(lost) + 100


# Servers.


def test_failing_server_is_ejected_and_gets_one_trial_request() -> None:
    node = Node()
    warm_up_key_counts(node)
    home = node.serve(42)
    for _ in range(2):
        (send,) = node.request(0, 42)
        assert isinstance(send, api.Send) and send.server == home
        node.finish(send, Result.ERROR)
    assert node.serve(42) != home
    node.wait(3 * SECOND)
    (trial,) = node.request(0, 42)
    assert isinstance(trial, api.Send) and trial.server == home
    assert node.serve(42) != home  # one trial at a time
    node.finish(trial, Result.OK)
    assert node.serve(42) == home


def test_rarely_seen_server_is_ejected_by_one_failure_for_longer() -> None:
    """Each of hundreds of nodes sees a failing server once in ten seconds, and never twice in a row."""
    node = Node(servers=12)
    warm_up_key_counts(node)
    home = node.serve(42)
    node.wait(10 * SECOND)
    node.finish(node.request(2, 42)[0], Result.ERROR)  # type: ignore[arg-type]
    node.wait(3900 * MS)
    assert node.serve(42) != home  # a common ejection lasts two seconds at most
    node.wait(5 * SECOND)
    assert node.serve(42) == home


def test_trial_ends_if_its_connection_fails() -> None:
    """Guards against a trial without evidence that never ends and keeps its server ejected."""
    node = Node()
    warm_up_key_counts(node)
    home = node.serve(42)
    backend = node.balancer._backends[home or b""]
    for _ in range(2):
        node.finish(node.request(2, 42)[0], Result.ERROR)  # type: ignore[arg-type]
    node.wait(3 * SECOND)
    (trial,) = node.request(2, 42)
    assert isinstance(trial, api.Send) and trial.server == home and backend.trial
    backend.answered_at = node.now  # by another attempt
    node.finish(trial, Result.CONNECT_FAILED)
    assert node.serve(42) == home


def test_server_that_answers_between_timeouts_is_not_ejected() -> None:
    """Guards against ejecting a third of the servers under load because some of their requests time out,
    which raises the load of the rest by half."""
    node = Node(servers=6)
    for _ in range(8):
        window(node, 12, 100 * MS)
    warm_up_key_counts(node)
    home = node.serve(42)
    backend = node.balancer._backends[home or b""]
    for _ in range(20):
        for result in (Result.TIMEOUT, Result.TIMEOUT, Result.OK):
            (send,) = [one for one in node.request(0, 42) if isinstance(one, api.Send)]
            if send.server == home:
                node.now += 100 * MS
                node.finish(send, result, 400 * MS)
            else:
                node.finish(send, Result.OK, 100 * MS)
    assert not backend.ejected_until and backend.failure_log_odds
    node.now += SECOND  # if it stops answering, it is ejected
    for _ in range(3):
        node.handle(api.Request(node.next_id, SECOND, 0, 0, 42, False))
        node.balancer._record_health(node.now, backend, Result.TIMEOUT, 0)
    assert backend.ejected_until


def test_failed_trial_ejects_for_longer() -> None:
    node = Node()
    warm_up_key_counts(node)
    home = node.serve(42)
    for _ in range(2):
        node.finish(node.request(0, 42)[0], Result.ERROR)  # type: ignore[arg-type]
    node.wait(2 * SECOND)
    node.finish(node.request(0, 42)[0], Result.ERROR)  # type: ignore[arg-type]
    node.wait(1900 * MS)
    assert node.serve(42) != home


def test_ejections_are_limited_if_all_servers_fail() -> None:
    node = Node(servers=9)
    for key in range(1, 300):
        (send,) = node.request(2, key)
        if isinstance(send, api.Send):
            node.finish(send, Result.ERROR)
    assert len({node.serve(key) for key in range(1, 200)}) >= 6


def test_cold_server_gets_at_most_its_budget() -> None:
    node = Node()
    for key in range(1, 300):
        node.serve(key)
    node.wait(SECOND)
    cold = server(3, started=node.now)
    node.handle(api.ServerList(api.ListKind.DELTA, (cold,)))
    got = Counter(node.serve(key) for key in range(1, 301))
    assert got[cold.id] <= 2
    node.wait(25 * SECOND)
    got = Counter(node.serve(key) for key in range(1, 301))
    assert got[cold.id] > 20


def test_load_of_cold_servers_is_not_moved_to_one_server() -> None:
    node = Node(servers=8)
    cold = [server(number, started=node.now) for number in range(8, 60)]
    node.handle(api.ServerList(api.ListKind.DELTA, tuple(cold)))
    got = Counter(node.serve(key) for key in range(1, 801))
    assert max(got.values()) < 250


def test_draining_and_unlisted_servers_get_no_requests() -> None:
    node = Node(servers=4)
    node.handle(api.ServerList(api.ListKind.DELTA, (server(1, api.ServerState.DRAINING),)))
    assert server(1).id not in {node.serve(key) for key in range(1, 100)}
    node.handle(full_list(server(0), server(2)))
    assert {node.serve(key) for key in range(1, 100)} == {server(0).id, server(2).id}


def test_empty_list_refuses_until_servers_are_listed() -> None:
    node = Node(servers=0)
    assert isinstance(node.request(2, 1)[0], api.Refuse)
    node.handle(full_list(server(1)))
    assert node.serve(1) == server(1).id


def test_zero_weight_counts_as_default_weight() -> None:
    node = Node(servers=0)
    node.handle(full_list(server(0)._replace(weight=0.0), server(1)._replace(weight=0.0)))
    assert len({node.serve(key) for key in range(1, 50)}) == 2


def test_heavier_server_gets_more_keys() -> None:
    node = Node(servers=0)
    node.handle(full_list(server(0)._replace(weight=3.0), server(1), server(2)))
    got = Counter(node.serve(key) for key in range(1, 1001))
    assert 500 < got[server(0).id] < 700


# Further attempts.


def test_unsafe_request_that_may_have_run_fails_without_retry() -> None:
    node = Node()
    (send,) = node.request(2, 1)
    assert isinstance(send, api.Send)
    assert node.finish(send, Result.ERROR) == [api.Fail(send.request)]


def test_unsafe_request_without_connection_is_sent_to_another_server() -> None:
    node = Node()
    (send,) = node.request(2, 1)
    assert isinstance(send, api.Send)
    (again,) = node.finish(send, Result.CONNECT_FAILED)
    assert isinstance(again, api.Send) and again.server != send.server


def test_keyed_request_is_retried_only_in_its_cell_and_window() -> None:
    node = Node(settings(classes=(KEYED,)), servers=6)
    (send,) = node.request(0, 5)
    assert isinstance(send, api.Send)
    (again,) = node.finish(send, Result.RESET)
    assert isinstance(again, api.Send)
    assert int.from_bytes(again.server, "big") // 3 == int.from_bytes(send.server, "big") // 3
    (late,) = node.request(0, 5)
    assert isinstance(late, api.Send)
    node.wait(800 * MS)
    assert node.finish(late, Result.RESET) == [api.Fail(late.request)]


def test_keyed_request_without_key_is_not_retried() -> None:
    node = Node(settings(classes=(KEYED,)))
    (send,) = node.request(0, 0)
    assert isinstance(send, api.Send)
    assert node.finish(send, Result.RESET) == [api.Fail(send.request)]


def test_retries_are_limited_by_budget() -> None:
    node = Node(servers=30)
    again = 0
    for key in range(1, 201):
        (send,) = node.request(0, key)
        if isinstance(send, api.Send):
            again += isinstance(node.finish(send, Result.ERROR)[0], api.Send)
        node.wait(50 * MS)
    assert 10 <= again <= 31


def test_late_events_of_closed_requests_are_ignored() -> None:
    node = Node()
    (send,) = node.request(0, 1)
    assert isinstance(send, api.Send)
    node.handle(api.ClientGone(send.request))
    assert node.finish(send, Result.TIMEOUT) == []
    assert node.finish(send, Result.OK) == []
    assert node.handle(api.ClientGone(send.request)) == []
    assert node.handle(api.Timer(4711)) == []


# The list of servers.


def test_failed_watch_is_retried_with_bounded_backoff() -> None:
    node = Node(settings(list_mode=api.ListMode.ON_REQUEST))
    node.handle(api.ServerList(api.ListKind.FAILED, ()))
    pauses = []
    for _ in range(6):
        before = node.now
        while not any(isinstance(action, api.Watch) for action in node.wait(50 * MS)):
            assert node.now - before <= 10 * SECOND
        pauses.append(node.now - before)
        node.handle(api.ServerList(api.ListKind.FAILED, ()))
    assert pauses[0] <= SECOND + 50 * MS
    # A change must be known 6 s after discovery is reachable again.
    assert SECOND < max(pauses) <= 2 * SECOND + 50 * MS


def test_watch_is_retried_in_time_to_learn_changes_within_6_s() -> None:
    """Discovery may become reachable right after a call that will fail has begun. Guards against back-offs
    that double up to ten seconds and are added to the time spent waiting for calls."""
    chance = Random(11)
    # Connection refused, call rejected, connection timed out, call not answered.
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
            assert again.at - began <= 5 * SECOND  # leaves 1 s for the answer
            began = again.at
            assert balancer.handle(began, api.Timer(WATCH_TOKEN)) == [api.Watch()]


def test_node_restarted_with_empty_list_asks_within_one_second() -> None:
    balancer = Balancer(settings(list_mode=api.ListMode.ON_REQUEST), 3)
    (timer,) = balancer.handle(START, api.ServerList(api.ListKind.CACHED, ()))
    assert isinstance(timer, api.SetTimer)
    assert timer.at - START <= SECOND


def test_watch_is_requested_once_until_it_fails() -> None:
    balancer = Balancer(settings(list_mode=api.ListMode.ON_REQUEST), 3)
    assert balancer.handle(1, api.Timer(2)) == [api.Watch()]
    assert balancer.handle(2, api.Timer(2)) == []
    balancer.handle(3, api.ServerList(api.ListKind.FAILED, ()))
    assert balancer.handle(4, api.Timer(2)) == [api.Watch()]


def test_retries_within_zone_are_spread_over_its_servers() -> None:
    kind = api.RequestClass(SECOND, 1.0, 0.0, api.Repeat.KEYED, api.Group.ZONE, 5 * SECOND)
    node = Node(settings(classes=(kind,)), servers=30)
    again = set()
    for key in range(1, 60):
        (send,) = node.request(0, key)
        if isinstance(send, api.Send):
            (action,) = node.finish(send, Result.RESET)
            if isinstance(action, api.Send):
                again.add(action.server)
                node.finish(action, Result.OK)
        node.wait(50 * MS)
    assert len(again) > 5


def test_gone_servers_are_removed() -> None:
    balancer = Balancer(settings(), 3)
    for n in range(50):
        balancer.handle(n, full_list(server(n), server(n + 1)))
    assert len(balancer._backends) == 2


def test_nodes_starting_together_ask_at_different_times() -> None:
    first = []
    for seed in range(10):
        node = Node(settings(list_mode=api.ListMode.ON_REQUEST), seed=seed)
        first.append(min(timer.at for timer in node.timers if timer.token == 2))
    assert len(set(first)) == 10
    assert max(first) - min(first) > SECOND


# Requests in order of their key.

ORDERED = api.RequestClass(SECOND, 1.0, 0.0, api.Repeat.SAFE, in_order=True)


def ordered_node(servers: int = 6) -> Node:
    node = Node(settings(classes=(ORDERED, ORDERED), key_rest=50 * MS), servers)
    for _ in range(9):  # windows that show the typical response time
        window(node, 2, 10 * MS)
        window(node, 2, 10 * MS, class_index=1)
    return node


def test_requests_of_key_are_sent_one_at_a_time_in_order() -> None:
    node = ordered_node()
    (first,) = node.request(0, 5)
    assert isinstance(first, api.Send)
    assert isinstance(node.request(0, 6)[0], api.Send)  # another key
    assert isinstance(node.request(0, 0)[0], api.Send) and isinstance(
        node.request(0, 0)[0], api.Send
    )  # no key
    assert isinstance(node.request(1, 5)[0], api.SetTimer) and isinstance(node.request(0, 5)[0], api.SetTimer)
    (second,) = node.finish(first, Result.OK)
    assert isinstance(second, api.Send) and second.request == first.request + 4
    (third,) = node.finish(second, Result.OK)
    assert isinstance(third, api.Send) and third.request == second.request + 1
    assert node.finish(third, Result.OK) == []


def test_key_is_held_after_attempt_that_may_still_run() -> None:
    node = ordered_node()
    (first,) = node.request(0, 5)
    assert isinstance(first, api.Send)
    node.request(0, 5)
    (again,) = node.finish(first, Result.RESET)
    assert isinstance(again, api.Send) and again.request == first.request  # still first in the queue
    assert all(isinstance(action, api.SetTimer) for action in node.finish(again, Result.OK))
    assert not [action for action in node.wait(49 * MS) if isinstance(action, api.Send)]
    assert [action for action in node.wait(2 * MS) if isinstance(action, api.Send)]


def test_queue_waits_for_attempt_of_disconnected_client() -> None:
    node = ordered_node()
    (first,) = node.request(0, 5)
    assert isinstance(first, api.Send)
    node.handle(api.ClientGone(first.request))
    assert isinstance(node.request(0, 5)[0], api.SetTimer)
    assert isinstance(node.finish(first, Result.OK)[0], api.Send)


def test_queued_request_is_refused_before_its_deadline() -> None:
    node = ordered_node()
    node.request(0, 5)
    asked = node.now
    node.request(0, 5)
    while not any(isinstance(action, api.Refuse) for action in node.wait(10 * MS)):
        assert node.now < asked + SECOND
    assert node.now > asked + SECOND // 3


def test_request_is_refused_if_its_turn_would_come_too_late() -> None:
    """Guards against queueing more requests of a hot key at one node than it can send one at a time."""
    node = Node(settings(classes=(ORDERED,)))
    for _ in range(9):
        window(node, 2, 300 * MS)
    got = [node.request(0, 5)[0] for _ in range(10)]
    assert sum(isinstance(action, api.Refuse) for action in got) >= 7
    assert isinstance(got[-1], api.Refuse) and isinstance(got[1], api.SetTimer)


# Connections.


def lose_idle_connections(node: Node, result: Result, keys: range = range(1, 9)) -> None:
    """Sends requests on connections that were idle for three seconds, and leaves them unanswered."""
    for key in keys:
        node.serve(key)
        node.wait(3 * SECOND)
        for backend in node.balancer._subset:
            backend.reset_health()  # the first losses eject some servers
        actions = node.request(2, key)
        send = actions[-1]
        assert isinstance(send, api.Send)
        node.finish(send, result, 300 * MS)


@pytest.mark.parametrize("result", [Result.RESET, Result.TIMEOUT])
def test_idle_connections_are_closed_before_use_after_losses(result: Result) -> None:
    """Guards against networks that drop idle connections silently: what is sent on one is lost and might have
    run."""
    node = Node()
    node.serve(1)
    node.wait(3 * SECOND)
    assert [type(action) for action in node.request(2, 1)] == [api.Send]
    node = Node()
    lose_idle_connections(node, result, range(1, 8 if result is Result.RESET else 5))
    for backend in node.balancer._subset:
        backend.reset_health()
        backend.idle_since = [node.now]
    node.wait(3 * SECOND)
    hang_up, send = node.request(2, 5)
    assert isinstance(hang_up, api.CloseIdleConnections) and isinstance(send, api.Send)
    assert hang_up.server == send.server
    node.finish(send, Result.OK)
    for backend in node.balancer._subset:
        backend.idle_since = [node.now]
    node.wait(100 * MS)
    assert [type(action) for action in node.request(2, 5)] == [api.Send]  # it was not idle for long


def test_idle_connections_are_trusted_again_over_time() -> None:
    node = Node()
    lose_idle_connections(node, Result.RESET, range(1, 5))
    node.wait(60 * SECOND)
    node.serve(5)
    node.wait(3 * SECOND)
    assert [type(action) for action in node.request(2, 5)] == [api.Send]


def test_trusted_idle_time_does_not_overflow_after_months() -> None:
    """Guards against an overflow of the doubled idle time, which came after some hours."""
    node = Node()
    lose_idle_connections(node, Result.RESET, range(1, 5))
    node.serve(5)
    node.now += 90 * 24 * 3600 * SECOND
    assert isinstance(node.request(2, 5)[-1], api.Send)


def test_losses_on_new_connections_are_not_attributed_to_idling() -> None:
    node = Node(servers=30)
    for key in range(100, 120):
        send = node.request(2, key)[-1]
        assert isinstance(send, api.Send)
        node.finish(send, Result.TIMEOUT, 300 * MS)
    lose_idle_connections(node, Result.TIMEOUT, range(1, 3))
    node.serve(5)
    node.wait(3 * SECOND)
    assert [type(action) for action in node.request(2, 5)] == [api.Send]


def test_open_connections_are_preferred_while_new_ones_fail() -> None:
    """Guards against ejecting three quarters of the servers as down when new connections become slow at most
    of them."""
    node = Node(servers=12)
    for key in range(1, 60):
        node.serve(key)
    standing = {node.serve(key) for key in range(1, 60)}
    held = [node.request(0, key)[0] for key in range(1, 60)]  # uses the open connections and needs more
    fails = [send for send in held[12:] if isinstance(send, api.Send)]
    for send in fails[:10]:
        (again,) = node.finish(send, Result.CONNECT_FAILED)
        assert isinstance(again, api.Send)
        node.finish(again, Result.OK)
    for send in held[:12]:
        assert isinstance(send, api.Send)
        if len(node.sent[send.request]) == 1:
            node.finish(send, Result.OK)
    assert not [one for one in node.balancer._subset if one.ejected_until]
    (send,) = node.request(0, 3)
    assert isinstance(send, api.Send) and send.server in standing
    connected = {name for name, one in node.balancer._backends.items() if one.idle_since}
    (again,) = node.finish(send, Result.CONNECT_FAILED)
    assert isinstance(again, api.Send) and again.server in connected


# Kinds of machine.


def mixed_fleet(weight: float = 1.0) -> Node:
    node = Node(settings(report_fields=("utilization",)), servers=0)
    weights = (1.0, weight)
    node.handle(full_list(*(server(n)._replace(kind=n % 2, weight=weights[n % 2]) for n in range(20))))
    return node


def share_of_second_kind(node: Node) -> float:
    got = [node.serve(key) for key in range(50_000, 50_400)]
    return sum(int.from_bytes(name or b"", "big") % 2 for name in got) / len(got)


def report(node: Node, busy: tuple[float, float]) -> None:
    for n in range(60):
        (send,) = node.request(0, 100 + n)
        assert isinstance(send, api.Send)
        node.finish(send, Result.OK, 10 * MS, (busy[int.from_bytes(send.server, "big") % 2],))
        node.wait(50 * MS)


def test_busier_kind_gets_fewer_keys_without_listed_weights() -> None:
    """Guards against sending the slowest kind of a mixed fleet as many keys as the others, which overloads it
    permanently."""
    node = mixed_fleet()
    assert 0.4 < share_of_second_kind(node) < 0.6
    report(node, (0.3, 0.9))
    assert share_of_second_kind(node) < 0.3


def test_listed_weights_are_not_adjusted() -> None:
    node = mixed_fleet(weight=2.0)
    before = share_of_second_kind(node)
    report(node, (0.3, 0.6))
    assert abs(share_of_second_kind(node) - before) < 0.05


def test_zero_reports_and_timeouts_leave_every_kind_a_share() -> None:
    node = mixed_fleet()
    report(node, (0.0, 0.0))
    assert 0.4 < share_of_second_kind(node) < 0.6
    for n in range(100):
        send = node.request(0, 900 + n)[0]
        if isinstance(send, api.Send):
            node.finish(send, Result.TIMEOUT, 500 * MS)
        node.wait(400 * MS)
    assert all(kind.share > 0.0 for kind in node.balancer._kinds.values())


def test_no_retry_once_answer_would_be_worthless() -> None:
    """Guards against a retry after a time-out at the aim, whose answer nobody needs."""
    node = Node()
    (send,) = node.request(0, 1, time_left=3 * SECOND)
    assert isinstance(send, api.Send) and send.time_out == 500 * MS
    node.now += 200 * MS
    (again,) = node.finish(send, Result.CONNECT_FAILED, 200 * MS)
    assert isinstance(again, api.Send) and again.time_out == 300 * MS
    node.now += 300 * MS
    assert isinstance(node.finish(again, Result.TIMEOUT, 300 * MS)[0], api.Refuse)


def test_no_retry_without_enough_time_and_no_ejection_for_short_timeouts() -> None:
    """Guards against ejecting healthy servers for time-outs of a few milliseconds, on what was left of the
    aim."""
    node = Node(servers=6)
    for _ in range(8):
        window(node, 12, 100 * MS)
    for key in range(1, 5):
        send = node.request(0, key)[-1]
        assert isinstance(send, api.Send)
        node.now += 440 * MS
        again = node.finish(send, Result.FULL, 440 * MS)[-1]
        assert isinstance(again, api.Send) and again.time_out == 60 * MS  # enough for some answers
        node.now += 60 * MS
        assert isinstance(node.finish(again, Result.TIMEOUT, 60 * MS)[0], api.Refuse)
        send = node.request(0, key)[-1]
        assert isinstance(send, api.Send)
        node.now += 460 * MS
        assert isinstance(node.finish(send, Result.FULL, 460 * MS)[-1], api.Refuse)  # 40 ms: too little
    assert not any(one.ejected_until or one.utilization for one in node.balancer._backends.values())


@pytest.mark.parametrize("report", [(), (0.9,)])
def test_answer_without_report_keeps_last_utilization(report: tuple[float, ...]) -> None:
    node = Node(settings(report_fields=("utilization",)), servers=1)
    (send,) = node.request(0, 1)
    assert isinstance(send, api.Send)
    node.finish(send, Result.OK, report=(0.9,))
    (send,) = node.request(0, 1)
    assert isinstance(send, api.Send)
    node.finish(send, Result.OK, report=report)
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
def test_invalid_settings_are_rejected_by_name(field: str, make: Callable[[], object]) -> None:
    with pytest.raises(ValueError, match=field):
        make()


def test_caps_fall_if_servers_are_overloaded() -> None:
    """If hardly anything is answered, half of the old load keeps the servers' queues full. A dozen attempts
    decide; with five it happened by chance."""
    node = Node(settings(classes=(UNSAFE,)), servers=6)
    for _ in range(4):
        window(node, 12, 50 * MS)
    for _ in range(8):
        sends = [node.request(0, key)[0] for key in range(1, 13)]
        node.wait(300 * MS)
        for send in sends:
            if isinstance(send, api.Send):
                node.finish(send, Result.TIMEOUT, 300 * MS)
        node.wait(300 * MS)
    assert max(node.balancer._caps) < 1.0


def test_cold_servers_do_not_count_in_utilization_of_kind() -> None:
    """Cold servers are sent little on purpose. Guards against sending all keys to the one warm server of
    their kind because of their low reports."""
    node = mixed_fleet()
    cold = [server(n, started=node.now)._replace(kind=n % 2) for n in range(3, 20, 2)]
    node.handle(api.ServerList(api.ListKind.DELTA, tuple(cold)))
    for n in range(600):
        send = node.request(0, 100 + n)[-1]
        if isinstance(send, api.Send):
            is_cold = send.server in {one.id for one in cold}
            node.finish(send, Result.OK, 10 * MS, (0.1 if is_cold else 0.8,))
        node.wait(5 * MS)
    kinds = node.balancer._kinds
    assert abs(kinds[0].share - kinds[1].share) < 0.1


@pytest.mark.parametrize(("busy", "part"), [(0.0, 0.8), (0.7, 0.8), (0.95, 0.8), (0.4, 1.4), (0.1, 1.6)])
def test_cold_server_with_reported_room_gets_more(busy: float, part: float) -> None:
    node = Node()
    backend = node.balancer._subset[0]
    backend.utilization = busy
    assert node.balancer._cold_load_fraction(backend) == pytest.approx(part)


def test_rate_for_cold_servers_falls_slowly_while_warm_ones_are_overloaded() -> None:
    """Guards against giving cold servers next to nothing, and warm ones all the rest, for ten seconds because
    the rate is low during an overload."""
    node = Node()
    for key in range(1, 600):
        node.serve(key)
        node.wait(5 * MS)
    rate = node.balancer._warm_rate
    node.wait(2 * SECOND)  # nothing is sent
    assert 0.7 * rate < node.balancer._warm_rate < rate


def test_learned_state_is_restored_in_next_balancer() -> None:
    node, other = Node(), Node(seed=2)
    for _ in range(6):
        window(node, 30, 450 * MS)
    failing = node.balancer._subset[0]
    failing.failure_log_odds, failing.ejected_until = 3.0, node.now + 5 * SECOND
    node.wait(SECOND)  # the caps do not count it
    (send,) = node.request(0, 7)
    other.now = node.now
    restore_state(other.balancer, other.now, json.loads(json.dumps(export_state(node.balancer))))
    assert other.balancer._caps == pytest.approx(node.balancer._caps)
    assert other.balancer._subset[0].ejected_until == failing.ejected_until
    # Attempts of the old balancer count for their typical duration only.
    assert other.balancer._in_flight.count == 1 and isinstance(send, api.Send)
    other.wait(3 * SECOND)
    assert other.balancer._in_flight.count == 0
    with pytest.raises((KeyError, TypeError, ValueError, AttributeError)):
        restore_state(other.balancer, other.now, {"breakers": []})


# Large fleets, in which a node rarely sees a server.


def test_cap_follows_number_of_usable_servers() -> None:
    """Guards against caps that outlast the replacement of three in five servers within seconds: the rest then
    gets the load of all and stays overloaded."""
    node = Node(one_class(), servers=12)
    for _ in range(8):
        window(node, 60, 500 * MS)
    before = node.balancer._caps[0]
    node.handle(api.ServerList(api.ListKind.DELTA, tuple(
        server(number, state=api.ServerState.DRAINING) for number in range(6)
    )))  # fmt: skip
    assert node.balancer._caps[0] == pytest.approx(before / 2)
    for backend in node.balancer._subset[:3]:
        backend.ejected_until = node.now + 9 * SECOND
    node.balancer._set_caps(node.now)
    assert node.balancer._caps[0] == pytest.approx(before / 4)


def test_cap_rises_as_cold_servers_warm_up() -> None:
    node = Node(one_class(), servers=6)
    before = node.balancer._caps[0]
    node.handle(api.ServerList(api.ListKind.DELTA, tuple(
        server(number, started=node.now) for number in range(6, 12)
    )))  # fmt: skip
    cold = node.balancer._caps[0]
    node.wait(node.balancer._settings.cold_time)
    assert before < cold < 1.3 * before
    assert node.balancer._caps[0] == pytest.approx(2 * before, rel=0.05)


def test_class_with_few_answers_uses_pooled_tail() -> None:
    """The tail of three answers is their second. Guards against caps of four times the fleet's capacity."""
    overloaded = [200 * MS, 300 * MS, 900 * MS]
    breakers = [Breaker(SECOND) for _ in range(4)]
    for _ in range(20):  # windows at low load first, to learn the typical response time
        for breaker in breakers:
            breaker.window.answered += [200 * MS, 200 * MS, 250 * MS]
            breaker.update(3.0, 10.0, False, 0.0)
    lean, alone = breakers[0], replace(breakers[0], window=Window())
    for breaker in (*breakers, alone):
        breaker.window.answered += overloaded
    pooled = pooled_tail(breakers)
    lean.update(9.0, 10.0, False, pooled)
    alone.update(9.0, 10.0, False, 0.0)
    assert lean.threshold(10.0) < 0.75 * alone.threshold(10.0)  # three of the eight samples that suffice


def test_class_with_enough_answers_ignores_pooled_tail() -> None:
    one, other = Breaker(SECOND), Breaker(SECOND)
    for breaker in (one, other):
        breaker.window.answered += [300 * MS] * 16
    one.update(9.0, 10.0, False, 8.0)
    other.update(9.0, 10.0, False, 0.0)
    assert one.threshold(10.0) == other.threshold(10.0)


def test_typical_time_does_not_jump_with_one_answer() -> None:
    one = Breaker(SECOND)
    for _ in range(20):
        one.window.answered += [200 * MS]
        one.update(3.0, 10.0, False)
    before = one.typical_time
    one.window.answered += [2000 * MS]
    one.update(3.0, 10.0, False)
    assert before < one.typical_time < 1.5 * before


def test_trials_of_silent_server_do_not_count_against_idle_connections() -> None:
    """Guards against counting trials of a slow server that time out on idle connections as dropped
    connections. All idle connections were closed then, and nearly half the requests of a fleet needed new
    ones."""
    node = Node(servers=1)
    (silent,) = node.balancer._subset
    node.serve(1)
    silent.failure_log_odds, silent.ejected_until = 9.0, node.now + 1
    for trial in range(1, 7):
        node.wait(60 * SECOND)
        silent.idle_since = [node.now - 2 * SECOND]
        (send,) = node.request(0, 1)
        assert isinstance(send, api.Send)
        node.finish(send, Result.TIMEOUT, 900 * MS)
        assert silent.doublings == min(trial, 4)
    assert not node.balancer._distrusted_since


def test_idle_connections_are_trusted_if_new_ones_do_no_better() -> None:
    """Overloaded servers time out on any connection. Guards against adding a handshake for each request."""
    node = Node()
    lose_idle_connections(node, Result.TIMEOUT)
    assert node.balancer._distrusted_since
    backend = node.balancer._subset[0]
    backend.idle_since = [node.now - 10 * SECOND]
    assert not node.balancer._reusable_idle_time(node.now, backend)
    node.balancer._lost_others = 0.9
    assert node.balancer._reusable_idle_time(node.now, backend)


def test_one_failure_ejects_only_if_other_servers_do_not_fail() -> None:
    """Guards against ejecting a server for each time-out if it has not answered for two seconds. With forty
    nodes and a tenth of all attempts timing out, each node ejected a different quarter of the list, and the
    overloaded servers were not among them."""
    for fleet, ejected in ((0.0, True), (0.15, False)):
        node = Node()
        node.balancer._fleet_failures = fleet
        backend = node.balancer._subset[0]
        backend.answered_at = node.now - 5 * SECOND
        node.balancer._record_health(node.now, backend, Result.TIMEOUT, 0)
        assert bool(backend.ejected_until) is ejected
        node.balancer._record_health(node.now, backend, Result.TIMEOUT, 0)
        assert backend.ejected_until


def test_answers_reduce_failure_evidence() -> None:
    node = Node()
    node.balancer._fleet_failures = 0.15
    backend = node.balancer._subset[0]
    for _ in range(6):
        for result in (Result.TIMEOUT, Result.OK, Result.OK):
            node.now += 5 * SECOND
            node.balancer._record_health(node.now, backend, result, 0)
    assert not backend.ejected_until


def test_servers_without_reports_do_not_count_as_idle() -> None:
    """In its first seconds a node of a large fleet has the reports of a few servers only, all of them
    overloaded."""
    node = Node(settings(report_fields=("utilization",)), servers=60)
    for backend in node.balancer._subset[:5]:
        backend.utilization = 0.9
    assert not node.balancer._is_idle()
    for backend in node.balancer._subset[:5]:
        backend.utilization = 0.3
    assert node.balancer._is_idle()


def test_idle_connections_to_full_server_are_closed() -> None:
    """A server may be full of connections. Guards against many nodes that each keep theirs, so that it stays
    over its limit."""
    node = Node(servers=1)
    first, second = node.request(0, 42)[-1], node.request(0, 42)[-1]
    assert isinstance(first, api.Send) and isinstance(second, api.Send)
    node.finish(first, Result.OK)
    backend = node.balancer._backends[first.server]
    assert backend.idle_since
    assert api.CloseIdleConnections(second.server) in node.finish(second, Result.FULL)
    assert not backend.idle_since


def test_answered_watch_is_reopened_at_once() -> None:
    """A watch may end instead of sending a change. Guards against a fleet that pauses first and then queues
    at discovery for longer than a drain's grace, and against calls ten times a second if watches end as soon
    as they are answered."""
    for seed in range(40):
        balancer = Balancer(settings(list_mode=api.ListMode.ON_REQUEST), seed)
        (_, first) = balancer.start(START)
        assert isinstance(first, api.SetTimer)
        now = first.at
        pauses = []
        for stands in (8 * SECOND, 30 * SECOND, 0, 0, 0, 0, 0, 0, 9 * SECOND, 9 * SECOND):
            assert balancer.handle(now, api.Timer(WATCH_TOKEN)) == [api.Watch()]
            balancer.handle(now + 10 * MS, full_list(server(1)))
            now += 10 * MS + stands
            (again,) = balancer.handle(now, api.ServerList(api.ListKind.FAILED, ()))
            assert isinstance(again, api.SetTimer)
            pauses.append(again.at - now)
            now = again.at
        assert max(*pauses[:3], *pauses[-2:]) <= SECOND // 10
        assert SECOND // 2 <= max(pauses) <= 2 * SECOND
        assert sum(pauses[2:8]) >= 2 * SECOND


def test_no_repeat_starts_if_delayed_write_could_miss_window() -> None:
    """A node may be delayed by 0.15 s between reading the clock and writing."""
    for elapsed, again in ((400 * MS, True), (549 * MS, True), (551 * MS, False), (690 * MS, False)):
        kind = replace(KEYED, aim=4 * SECOND, group=api.Group.ALL)  # repeats are dropped for 700 ms
        node = Node(settings(classes=(kind,)), servers=6)
        send = node.request(key=7, time_left=5 * SECOND)[-1]
        assert isinstance(send, api.Send)
        node.now += elapsed
        actions = node.finish(send, Result.ERROR, elapsed)
        (more,) = [one for one in actions if isinstance(one, api.Send)] or [None]
        assert (more is not None) is again
        if more is not None:
            assert more.begin_within <= kind.window - elapsed - 150 * MS
