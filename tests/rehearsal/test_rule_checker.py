"""Each rule's catch, by traces of what crossed the wire, and what is no break though it looks like one."""

from __future__ import annotations

import pytest

from driftstair.rehearsal import wire
from driftstair.rehearsal.cold import ColdBudget, ColdRule
from driftstair.rehearsal.rules import Break, Checker, Repeats, RuleBook
from driftstair.rehearsal.wire import HostState

MS = 1_000_000
S = 1000 * MS
R = b"00000000000000aa"
BOOK = RuleBook(
    classes={"page": Repeats(), "order": Repeats("unsafe"), "cart": Repeats("keyed", 2 * S)},
    ask_within=10 * S,
)


def judge(*seen: wire.Observation, until: int = 60 * S) -> list[Break]:
    checker = Checker(BOOK)
    checker.note(wire.NodeUp(0, "n0"))
    checker.note(wire.ListContact(0, "n0", True))
    for one in seen:
        checker.note(one)
    return checker.finish(until)


def asked(at: int = S, kind: str = "page", connected: int = 0, again: bool = False) -> wire.RequestSent:
    return wire.RequestSent(at, R, "n0", kind, 500 * MS, connected, again)


def tried(at: int, number: int = 1, box: str = "s-01", node: str = "n0") -> list[wire.Observation]:
    return [
        wire.AttemptStarted(at, number, R, box, node, at),
        wire.AttemptReceived(at, number, R, box, node, 0.1),
    ]


def rules(breaks: list[Break]) -> list[int]:
    return [one.rule for one in breaks]


def test_a_request_that_is_served_in_time_breaks_nothing() -> None:
    ran = wire.AttemptServed(1300 * MS, 1, R, b"s-01/1")
    assert judge(asked(), *tried(1100 * MS), ran, wire.ResponseReceived(1301 * MS, R, 200, b"s-01/1")) == []


# Rule 1.


def test_no_answer_in_time_is_a_lost_request_and_says_what_became_of_it() -> None:
    (one,) = judge(asked(), *tried(1100 * MS))
    assert (one.rule, one.at, one.request, one.node) == (1, 1550 * MS, R.decode(), "n0")
    assert "s-01 at 1.100 s (whole)" in one.evidence


def test_an_answer_after_the_grace_is_too_late() -> None:
    assert rules(judge(asked(), wire.ResponseReceived(1551 * MS, R, 504, b""))) == [1]
    assert judge(asked(), wire.ResponseReceived(1549 * MS, R, 504, b"")) == []


def test_a_second_final_answer() -> None:
    (one,) = judge(
        asked(), wire.ResponseReceived(1100 * MS, R, 503, b""), wire.ResponseReceived(1200 * MS, R, 503, b"")
    )
    assert one.rule == 1 and "second final answer" in one.evidence


def test_an_answer_that_no_box_made() -> None:
    forged = wire.ResponseReceived(1301 * MS, R, 200, b"s-01/9")
    (one,) = judge(asked(), *tried(1100 * MS), wire.AttemptServed(1300 * MS, 1, R, b"s-01/1"), forged)
    assert one.rule == 1 and "no box made" in one.evidence


def test_an_answer_made_for_another_request() -> None:
    other = wire.AttemptServed(1300 * MS, 2, b"00000000000000bb", b"s-01/2")
    assert rules(
        judge(asked(), *tried(1100 * MS), other, wire.ResponseReceived(1301 * MS, R, 200, b"s-01/2"))
    ) == [1]


def test_something_sent_after_the_final_answer() -> None:
    (one,) = judge(asked(), wire.ResponseReceived(1100 * MS, R, 503, b""), *tried(1200 * MS))
    assert one.rule == 1 and "100 ms after its final answer" in one.evidence
    assert (
        judge(asked(), wire.ResponseReceived(1100 * MS, R, 503, b""), *tried(1120 * MS)) == []
    )  # on its way


def test_what_a_cut_held_back_is_judged_by_when_it_was_sent() -> None:
    late = wire.AttemptStarted(1400 * MS, 1, R, "s-01", "n0", 1050 * MS)
    assert judge(asked(), wire.ResponseReceived(1100 * MS, R, 503, b""), late) == []


def test_a_request_that_nobody_made() -> None:
    assert rules(judge(*tried(S))) == [1]


def test_a_connection_that_ends_in_the_midst() -> None:
    assert rules(judge(asked(), *tried(1100 * MS), wire.ConnectionEnded(1200 * MS, R, "closed"))) == [1]


def test_a_connection_closed_between_requests_is_none_if_the_client_may_ask_again() -> None:
    again = asked(1010 * MS, connected=1005 * MS, again=True)
    answered = wire.ResponseReceived(1100 * MS, R, 503, b"")
    assert judge(asked(), wire.ConnectionEnded(1001 * MS, R, "closed"), again, answered) == []
    assert rules(
        judge(
            asked(),
            wire.ConnectionEnded(1001 * MS, R, "closed"),
            again,
            wire.ConnectionEnded(1020 * MS, R, "closed"),
        )
    ) == [1]


def test_what_a_node_held_when_it_was_killed_is_the_clients_to_ask_again() -> None:
    assert judge(asked(), wire.NodeDown(1100 * MS, "n0"), wire.ConnectionEnded(1101 * MS, R, "reset")) == []
    # Also on a connection from before, and while it is down.
    down, up = wire.NodeDown(500 * MS, "n0"), wire.NodeUp(900 * MS, "n0")
    assert judge(down, up, asked(connected=100 * MS)) == []
    assert judge(down, asked()) == []
    assert rules(judge(down, up, asked(connected=950 * MS))) == [1]


def test_what_a_node_leaves_unanswered_when_it_ends_of_itself_is_lost() -> None:
    assert rules(judge(asked(), wire.NodeDown(1100 * MS, "n0", planned=True))) == [1]


def test_a_client_that_has_left_is_owed_nothing() -> None:
    assert judge(asked(), wire.RequestAbandoned(1200 * MS, R)) == []


def test_bytes_that_nobody_asked_for() -> None:
    assert rules(judge(wire.UnexpectedMessage(S, "n0", "a client got noise"))) == [1]


# Rule 2.


def test_an_unsafe_request_may_not_go_out_again_while_it_may_have_run() -> None:
    (one, _) = judge(asked(kind="order"), *tried(1100 * MS), *tried(1200 * MS, 2, "s-02"))
    assert (one.rule, one.box) == (2, "s-02")


def test_an_unsafe_request_that_was_turned_away_may_go_elsewhere() -> None:
    fine = judge(
        asked(kind="order"), *tried(1100 * MS), wire.AttemptNotRun(1101 * MS, 1),
        *tried(1102 * MS, 2, "s-02"),
        wire.AttemptServed(1200 * MS, 2, R, b"s-02/2"), wire.ResponseReceived(1201 * MS, R, 200, b"s-02/2"),
    )  # fmt: skip
    assert fine == []


def test_one_whose_last_byte_never_came_has_not_run() -> None:
    part = wire.AttemptStarted(1100 * MS, 1, R, "s-01", "n0", 1100 * MS)
    refused = wire.ResponseReceived(1300 * MS, R, 503, b"")
    assert judge(asked(kind="order"), part, refused) == []


def test_an_unsafe_request_may_not_be_refused_when_it_may_have_run() -> None:
    refused = wire.ResponseReceived(1300 * MS, R, 503, b"")
    assert rules(judge(asked(kind="order"), *tried(1100 * MS), refused)) == [2]
    assert judge(asked(kind="order"), *tried(1100 * MS), wire.AttemptNotRun(1101 * MS, 1), refused) == []
    failed = wire.ResponseReceived(1300 * MS, R, 502, b"")
    assert judge(asked(kind="order"), *tried(1100 * MS), failed) == []


def test_a_keyed_request_goes_again_only_while_its_repeats_are_dropped() -> None:
    slow = wire.RequestSent(S, R, "n0", "cart", 9 * S, 0)
    answered = wire.ResponseReceived(4 * S, R, 502, b"")
    assert judge(slow, *tried(1100 * MS), *tried(3000 * MS, 2, "s-02"), answered) == []
    assert rules(judge(slow, *tried(1100 * MS), *tried(3101 * MS, 2, "s-02"), answered)) == [2]


def test_a_safe_request_may_go_out_as_often_as_one_likes() -> None:
    answered = wire.ResponseReceived(1400 * MS, R, 502, b"")
    assert judge(asked(), *tried(1100 * MS), *tried(1200 * MS, 2), *tried(1300 * MS, 3), answered) == []


# Rule 3.


def leaves(at: int, state: HostState = HostState.DRAINING) -> list[wire.Observation]:
    return [wire.ListChanged(at, "s-01", state, -1), wire.ListEntrySent(at, "n0", "s-01", state, -1)]


def sent_to_drained(at: int, *before: wire.Observation) -> list[Break]:
    ask = wire.RequestSent(at - MS, R, "n0", "page", S, 0)
    return judge(*before, ask, *tried(at), wire.ResponseReceived(at + MS, R, 503, b""))


@pytest.mark.parametrize("state", [HostState.DRAINING, HostState.GONE])
def test_nothing_new_goes_to_a_drained_box_after_the_grace(state: HostState) -> None:
    assert sent_to_drained(3040 * MS, *leaves(2 * S, state)) == []
    (one,) = sent_to_drained(3060 * MS, *leaves(2 * S, state))
    assert (one.rule, one.box, one.node) == (3, "s-01", "n0")


def test_the_first_word_of_a_drain_counts() -> None:
    assert rules(sent_to_drained(4 * S, *leaves(2 * S), *leaves(3900 * MS, HostState.GONE))) == [3]


def test_a_box_that_is_ready_again_may_be_sent_to() -> None:
    assert sent_to_drained(9 * S, *leaves(2 * S), *leaves(5 * S, HostState.READY)) == []


def test_a_node_that_neither_watches_nor_asks_counts_as_told() -> None:
    listed = wire.ListChanged(3 * S, "s-01", HostState.DRAINING, -1)
    ended = wire.ListContact(2 * S, "n0", False)
    assert sent_to_drained(12 * S, ended, listed) == []  # ten seconds to ask, and one of grace
    (one,) = sent_to_drained(13_100 * MS, ended, listed)
    assert one.rule == 3 and "counts as told" in one.evidence
    asks = wire.ListContact(11 * S, "n0", False)
    assert sent_to_drained(13_100 * MS, ended, listed, asks) == []


def test_a_node_whose_watch_stands_is_not_told_of_what_the_list_keeps_back() -> None:
    assert sent_to_drained(30 * S, wire.ListChanged(3 * S, "s-01", HostState.DRAINING, -1)) == []


def test_a_node_that_starts_anew_has_been_told_nothing() -> None:
    restart = [wire.NodeDown(3 * S, "n0"), wire.NodeUp(4 * S, "n0"), wire.ListContact(4 * S, "n0", True)]
    ask = wire.RequestSent(5 * S, R, "n0", "page", S, 4500 * MS)
    assert (
        judge(*leaves(2 * S), *restart, ask, *tried(5 * S), wire.ResponseReceived(6 * S, R, 503, b"")) == []
    )


# Rule 4.


def pushed(works: int, told: bool, apart: int = 10 * MS, begin: int = 2 * S) -> Checker:
    """A cold box of 6 core-seconds a second, at a fifth of that, sent 0.1 core-seconds each time."""
    checker = Checker(BOOK)
    checker.note(wire.NodeUp(0, "n0"))
    checker.note(wire.ListContact(0, "n0", True))
    checker.note(wire.BoxUp(S, "s-01", 6.0, 0.2, 20 * S))
    checker.note(wire.ListChanged(1500 * MS, "s-01", HostState.READY, S))
    if told:
        checker.note(wire.ListEntrySent(1600 * MS, "n0", "s-01", HostState.READY, S))
    for index in range(works):
        at = begin + index * apart
        request = b"%016x" % index
        checker.note(wire.RequestSent(at, request, "n0", "page", S, 0))
        checker.note(wire.AttemptStarted(at, index, request, "s-01", "n0", at))
        checker.note(wire.AttemptReceived(at, index, request, "s-01", "n0", 0.1))
        checker.note(wire.ResponseReceived(at, request, 503, b""))
    checker.finish(60 * S)
    return checker


def test_a_burst_pushes_a_cold_box_over() -> None:
    assert pushed(30, told=True).breaks == []
    checker = pushed(120, told=True)
    (one,) = checker.breaks  # told once
    assert (one.rule, one.box) == (4, "s-01")
    assert "100% from nodes told" in one.evidence


def test_nodes_that_could_not_know_of_its_start_break_nothing() -> None:
    checker = pushed(120, told=False)
    assert checker.breaks == []
    assert [box for _, box in checker.fallen] == ["s-01"]


def test_the_same_work_spread_out_is_within_the_budget() -> None:
    assert pushed(120, told=True, apart=40 * MS).breaks == []


def test_a_warm_box_is_nobodys_concern() -> None:
    assert pushed(400, told=True, begin=22 * S).breaks == []


def test_the_budget_of_a_window_grows_with_warmth() -> None:
    budget = ColdBudget(ColdRule(3.0, 1500 * MS), 0, capacity=6.0, cold_share=0.2, cold_time=20 * S)
    assert budget.warmth(0) == pytest.approx(0.2)
    assert budget.warmth(10 * S) == pytest.approx(0.6)
    # Three times what the box does in the window, and a tenth of what it does when warm.
    assert budget.allowed(750 * MS) == pytest.approx(3 * 0.2 * 6 * 1.5 + 0.1 * 6 * 1.5)
    assert budget.allowed(10_750 * MS) == pytest.approx(3 * 0.6 * 6 * 1.5 + 0.1 * 6 * 1.5)


def test_what_is_long_over_is_forgotten() -> None:
    checker = Checker(BOOK)
    for index in range(1000):
        at = index * S
        request = b"%016x" % index
        checker.note(wire.RequestSent(at, request, "n0", "page", S, 0))
        checker.note(wire.ResponseReceived(at + MS, request, 503, b""))
    assert len(checker._asks) < 100
    assert checker.finish(2000 * S) == []
