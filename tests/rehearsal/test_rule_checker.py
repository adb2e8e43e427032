"""Tests of the rule checker on recorded observations: what breaks each rule, and similar traces that break
none."""

from __future__ import annotations

import pytest

from driftstair.rehearsal import wire
from driftstair.rehearsal.cold import ColdBudget, ColdRule
from driftstair.rehearsal.rules import Checker, ClassSemantics, RuleBook, RuleBreak
from driftstair.rehearsal.wire import HostState

NS_PER_MS = 1_000_000
NS_PER_S = 1000 * NS_PER_MS
REQUEST_ID = b"00000000000000aa"
RULES = RuleBook(
    classes={
        "page": ClassSemantics(),
        "order": ClassSemantics("unsafe"),
        "cart": ClassSemantics("keyed", 2 * NS_PER_S),
    },
    ask_within_ns=10 * NS_PER_S,
)


def check_rules(*observations: wire.Observation, until: int = 60 * NS_PER_S) -> list[RuleBreak]:
    """Returns the violations in a trace."""
    checker = Checker(RULES)
    checker.note(wire.NodeUp(0, "n0"))
    checker.note(wire.ListContact(0, "n0", True))
    for observation in observations:
        checker.note(observation)
    return checker.finish(until)


def asked_event(
    at: int = NS_PER_S, kind: str = "page", connected: int = 0, again: bool = False
) -> wire.RequestSent:
    return wire.RequestSent(at, REQUEST_ID, "n0", kind, 500 * NS_PER_MS, connected, again)


def attempt_events(at: int, number: int = 1, box: str = "s-01", node: str = "n0") -> list[wire.Observation]:
    return [
        wire.AttemptStarted(at, number, REQUEST_ID, box, node, at),
        wire.AttemptReceived(at, number, REQUEST_ID, box, node, 0.1),
    ]


def broken_rules(breaks: list[RuleBreak]) -> list[int]:
    return [rule_break.rule for rule_break in breaks]


def test_a_request_served_in_time_breaks_no_rule() -> None:
    ran = wire.AttemptServed(1300 * NS_PER_MS, 1, REQUEST_ID, b"s-01/1")
    assert (
        check_rules(
            asked_event(),
            *attempt_events(1100 * NS_PER_MS),
            ran,
            wire.ResponseReceived(1301 * NS_PER_MS, REQUEST_ID, 200, b"s-01/1"),
        )
        == []
    )


# Rule 1.


def test_no_answer_in_time_breaks_rule_1_with_the_attempts_as_evidence() -> None:
    (rule_break,) = check_rules(asked_event(), *attempt_events(1100 * NS_PER_MS))
    assert (rule_break.rule, rule_break.at, rule_break.request, rule_break.node) == (
        1,
        1550 * NS_PER_MS,
        REQUEST_ID.decode(),
        "n0",
    )
    assert "s-01 at 1.100 s (whole)" in rule_break.evidence


def test_an_answer_after_the_grace_breaks_rule_1() -> None:
    assert broken_rules(
        check_rules(asked_event(), wire.ResponseReceived(1551 * NS_PER_MS, REQUEST_ID, 504, b""))
    ) == [1]
    assert check_rules(asked_event(), wire.ResponseReceived(1549 * NS_PER_MS, REQUEST_ID, 504, b"")) == []


def test_a_second_final_answer_breaks_rule_1() -> None:
    (rule_break,) = check_rules(
        asked_event(),
        wire.ResponseReceived(1100 * NS_PER_MS, REQUEST_ID, 503, b""),
        wire.ResponseReceived(1200 * NS_PER_MS, REQUEST_ID, 503, b""),
    )
    assert rule_break.rule == 1 and "second final answer" in rule_break.evidence


def test_an_answer_that_no_box_made_breaks_rule_1() -> None:
    forged = wire.ResponseReceived(1301 * NS_PER_MS, REQUEST_ID, 200, b"s-01/9")
    (rule_break,) = check_rules(
        asked_event(),
        *attempt_events(1100 * NS_PER_MS),
        wire.AttemptServed(1300 * NS_PER_MS, 1, REQUEST_ID, b"s-01/1"),
        forged,
    )
    assert rule_break.rule == 1 and "no box made" in rule_break.evidence


def test_an_answer_made_for_another_request_breaks_rule_1() -> None:
    other = wire.AttemptServed(1300 * NS_PER_MS, 2, b"00000000000000bb", b"s-01/2")
    assert broken_rules(
        check_rules(
            asked_event(),
            *attempt_events(1100 * NS_PER_MS),
            other,
            wire.ResponseReceived(1301 * NS_PER_MS, REQUEST_ID, 200, b"s-01/2"),
        )
    ) == [1]


def test_an_attempt_after_the_final_answer_breaks_rule_1() -> None:
    (rule_break,) = check_rules(
        asked_event(),
        wire.ResponseReceived(1100 * NS_PER_MS, REQUEST_ID, 503, b""),
        *attempt_events(1200 * NS_PER_MS),
    )
    assert rule_break.rule == 1 and "100 ms after its final answer" in rule_break.evidence
    # An attempt may be in transit when the answer is sent.
    assert (
        check_rules(
            asked_event(),
            wire.ResponseReceived(1100 * NS_PER_MS, REQUEST_ID, 503, b""),
            *attempt_events(1120 * NS_PER_MS),
        )
        == []
    )


def test_an_attempt_delayed_by_a_cut_is_judged_by_its_sending_time() -> None:
    late = wire.AttemptStarted(1400 * NS_PER_MS, 1, REQUEST_ID, "s-01", "n0", 1050 * NS_PER_MS)
    assert (
        check_rules(asked_event(), wire.ResponseReceived(1100 * NS_PER_MS, REQUEST_ID, 503, b""), late) == []
    )


def test_an_attempt_without_a_client_request_breaks_rule_1() -> None:
    assert broken_rules(check_rules(*attempt_events(NS_PER_S))) == [1]


def test_a_connection_that_ends_during_a_request_breaks_rule_1() -> None:
    assert broken_rules(
        check_rules(
            asked_event(),
            *attempt_events(1100 * NS_PER_MS),
            wire.ConnectionEnded(1200 * NS_PER_MS, REQUEST_ID, "closed"),
        )
    ) == [1]


def test_a_connection_closed_between_requests_is_allowed_once() -> None:
    again = asked_event(1010 * NS_PER_MS, connected=1005 * NS_PER_MS, again=True)
    answered = wire.ResponseReceived(1100 * NS_PER_MS, REQUEST_ID, 503, b"")
    assert (
        check_rules(
            asked_event(), wire.ConnectionEnded(1001 * NS_PER_MS, REQUEST_ID, "closed"), again, answered
        )
        == []
    )
    assert broken_rules(
        check_rules(
            asked_event(),
            wire.ConnectionEnded(1001 * NS_PER_MS, REQUEST_ID, "closed"),
            again,
            wire.ConnectionEnded(1020 * NS_PER_MS, REQUEST_ID, "closed"),
        )
    ) == [1]


def test_requests_at_a_killed_node_are_excused() -> None:
    assert (
        check_rules(
            asked_event(),
            wire.NodeDown(1100 * NS_PER_MS, "n0"),
            wire.ConnectionEnded(1101 * NS_PER_MS, REQUEST_ID, "reset"),
        )
        == []
    )
    # The same holds on a connection from before the end, and while the node is down.
    down, up = wire.NodeDown(500 * NS_PER_MS, "n0"), wire.NodeUp(900 * NS_PER_MS, "n0")
    assert check_rules(down, up, asked_event(connected=100 * NS_PER_MS)) == []
    assert check_rules(down, asked_event()) == []
    assert broken_rules(check_rules(down, up, asked_event(connected=950 * NS_PER_MS))) == [1]


def test_requests_left_unanswered_by_a_planned_end_break_rule_1() -> None:
    assert broken_rules(check_rules(asked_event(), wire.NodeDown(1100 * NS_PER_MS, "n0", planned=True))) == [
        1
    ]


def test_a_client_that_disconnects_is_owed_no_answer() -> None:
    assert check_rules(asked_event(), wire.RequestAbandoned(1200 * NS_PER_MS, REQUEST_ID)) == []


def test_unrequested_bytes_break_rule_1() -> None:
    assert broken_rules(check_rules(wire.UnexpectedMessage(NS_PER_S, "n0", "a client got noise"))) == [1]


# Rule 2.


def test_an_unsafe_request_that_may_have_run_must_not_be_sent_again() -> None:
    (rule_break, _) = check_rules(
        asked_event(kind="order"),
        *attempt_events(1100 * NS_PER_MS),
        *attempt_events(1200 * NS_PER_MS, 2, "s-02"),
    )
    assert (rule_break.rule, rule_break.box) == (2, "s-02")


def test_an_unsafe_request_that_was_rejected_may_be_sent_again() -> None:
    breaks = check_rules(
        asked_event(kind="order"), *attempt_events(1100 * NS_PER_MS), wire.AttemptNotRun(1101 * NS_PER_MS, 1),
        *attempt_events(1102 * NS_PER_MS, 2, "s-02"),
        wire.AttemptServed(1200 * NS_PER_MS, 2, REQUEST_ID, b"s-02/2"),
        wire.ResponseReceived(1201 * NS_PER_MS, REQUEST_ID, 200, b"s-02/2"),
    )  # fmt: skip
    assert breaks == []


def test_an_incomplete_attempt_has_not_run() -> None:
    incomplete = wire.AttemptStarted(1100 * NS_PER_MS, 1, REQUEST_ID, "s-01", "n0", 1100 * NS_PER_MS)
    refused = wire.ResponseReceived(1300 * NS_PER_MS, REQUEST_ID, 503, b"")
    assert check_rules(asked_event(kind="order"), incomplete, refused) == []


def test_an_unsafe_request_that_may_have_run_must_not_be_refused() -> None:
    refused = wire.ResponseReceived(1300 * NS_PER_MS, REQUEST_ID, 503, b"")
    assert broken_rules(
        check_rules(asked_event(kind="order"), *attempt_events(1100 * NS_PER_MS), refused)
    ) == [2]
    assert (
        check_rules(
            asked_event(kind="order"),
            *attempt_events(1100 * NS_PER_MS),
            wire.AttemptNotRun(1101 * NS_PER_MS, 1),
            refused,
        )
        == []
    )
    failed = wire.ResponseReceived(1300 * NS_PER_MS, REQUEST_ID, 502, b"")
    assert check_rules(asked_event(kind="order"), *attempt_events(1100 * NS_PER_MS), failed) == []


def test_a_keyed_request_may_be_repeated_only_within_its_window() -> None:
    patient_request = wire.RequestSent(NS_PER_S, REQUEST_ID, "n0", "cart", 9 * NS_PER_S, 0)
    answered = wire.ResponseReceived(4 * NS_PER_S, REQUEST_ID, 502, b"")
    assert (
        check_rules(
            patient_request,
            *attempt_events(1100 * NS_PER_MS),
            *attempt_events(3000 * NS_PER_MS, 2, "s-02"),
            answered,
        )
        == []
    )
    assert broken_rules(
        check_rules(
            patient_request,
            *attempt_events(1100 * NS_PER_MS),
            *attempt_events(3101 * NS_PER_MS, 2, "s-02"),
            answered,
        )
    ) == [2]


def test_a_safe_request_may_be_repeated_any_number_of_times() -> None:
    answered = wire.ResponseReceived(1400 * NS_PER_MS, REQUEST_ID, 502, b"")
    assert (
        check_rules(
            asked_event(),
            *attempt_events(1100 * NS_PER_MS),
            *attempt_events(1200 * NS_PER_MS, 2),
            *attempt_events(1300 * NS_PER_MS, 3),
            answered,
        )
        == []
    )


# Rule 3.


def drain_events(at: int, state: HostState = HostState.DRAINING) -> list[wire.Observation]:
    return [wire.ListChanged(at, "s-01", state, -1), wire.ListEntrySent(at, "n0", "s-01", state, -1)]


def check_sending_to_drained(at: int, *before: wire.Observation) -> list[RuleBreak]:
    asked_before = wire.RequestSent(at - NS_PER_MS, REQUEST_ID, "n0", "page", NS_PER_S, 0)
    return check_rules(
        *before,
        asked_before,
        *attempt_events(at),
        wire.ResponseReceived(at + NS_PER_MS, REQUEST_ID, 503, b""),
    )


@pytest.mark.parametrize("state", [HostState.DRAINING, HostState.GONE])
def test_a_request_to_a_drained_box_after_the_grace_breaks_rule_3(state: HostState) -> None:
    assert check_sending_to_drained(3040 * NS_PER_MS, *drain_events(2 * NS_PER_S, state)) == []
    (rule_break,) = check_sending_to_drained(3060 * NS_PER_MS, *drain_events(2 * NS_PER_S, state))
    assert (rule_break.rule, rule_break.box, rule_break.node) == (3, "s-01", "n0")


def test_the_first_notice_of_a_drain_counts() -> None:
    assert broken_rules(
        check_sending_to_drained(
            4 * NS_PER_S, *drain_events(2 * NS_PER_S), *drain_events(3900 * NS_PER_MS, HostState.GONE)
        )
    ) == [3]


def test_a_box_that_is_ready_again_may_get_requests() -> None:
    assert (
        check_sending_to_drained(
            9 * NS_PER_S, *drain_events(2 * NS_PER_S), *drain_events(5 * NS_PER_S, HostState.READY)
        )
        == []
    )


def test_a_node_that_neither_watches_nor_asks_counts_as_told() -> None:
    listed = wire.ListChanged(3 * NS_PER_S, "s-01", HostState.DRAINING, -1)
    ended = wire.ListContact(2 * NS_PER_S, "n0", False)
    assert (
        check_sending_to_drained(12 * NS_PER_S, ended, listed) == []
    )  # ten seconds until the next call is due, and one of grace
    (rule_break,) = check_sending_to_drained(13_100 * NS_PER_MS, ended, listed)
    assert rule_break.rule == 3 and "counts as told" in rule_break.evidence
    asks = wire.ListContact(11 * NS_PER_S, "n0", False)
    assert check_sending_to_drained(13_100 * NS_PER_MS, ended, listed, asks) == []


def test_a_watching_node_is_not_told_of_changes_that_the_list_withholds() -> None:
    assert (
        check_sending_to_drained(
            30 * NS_PER_S, wire.ListChanged(3 * NS_PER_S, "s-01", HostState.DRAINING, -1)
        )
        == []
    )


def test_a_restarted_node_has_been_told_nothing() -> None:
    restart = [
        wire.NodeDown(3 * NS_PER_S, "n0"),
        wire.NodeUp(4 * NS_PER_S, "n0"),
        wire.ListContact(4 * NS_PER_S, "n0", True),
    ]
    asked_later = wire.RequestSent(5 * NS_PER_S, REQUEST_ID, "n0", "page", NS_PER_S, 4500 * NS_PER_MS)
    assert (
        check_rules(
            *drain_events(2 * NS_PER_S),
            *restart,
            asked_later,
            *attempt_events(5 * NS_PER_S),
            wire.ResponseReceived(6 * NS_PER_S, REQUEST_ID, 503, b""),
        )
        == []
    )


# Rule 4.


def check_cold_box_load(
    count: int, is_told: bool, interval_ns: int = 10 * NS_PER_MS, begin_ns: int = 2 * NS_PER_S
) -> Checker:
    """Sends work to a cold box that can do a fifth of 6 core-seconds a second: 0.1 core-seconds each time."""
    checker = Checker(RULES)
    checker.note(wire.NodeUp(0, "n0"))
    checker.note(wire.ListContact(0, "n0", True))
    checker.note(wire.BoxUp(NS_PER_S, "s-01", 6.0, 0.2, 20 * NS_PER_S))
    checker.note(wire.ListChanged(1500 * NS_PER_MS, "s-01", HostState.READY, NS_PER_S))
    if is_told:
        checker.note(wire.ListEntrySent(1600 * NS_PER_MS, "n0", "s-01", HostState.READY, NS_PER_S))
    for index in range(count):
        at = begin_ns + index * interval_ns
        request = b"%016x" % index
        checker.note(wire.RequestSent(at, request, "n0", "page", NS_PER_S, 0))
        checker.note(wire.AttemptStarted(at, index, request, "s-01", "n0", at))
        checker.note(wire.AttemptReceived(at, index, request, "s-01", "n0", 0.1))
        checker.note(wire.ResponseReceived(at, request, 503, b""))
    checker.finish(60 * NS_PER_S)
    return checker


def test_a_burst_that_overloads_a_cold_box_breaks_rule_4() -> None:
    assert check_cold_box_load(30, is_told=True).breaks == []
    checker = check_cold_box_load(120, is_told=True)
    (rule_break,) = checker.breaks  # reported once
    assert (rule_break.rule, rule_break.box) == (4, "s-01")
    assert "100% from nodes told" in rule_break.evidence


def test_an_overload_by_uninformed_nodes_is_excused() -> None:
    checker = check_cold_box_load(120, is_told=False)
    assert checker.breaks == []
    assert [box for _, box in checker.excused_overloads] == ["s-01"]


def test_the_same_work_spread_out_is_within_the_budget() -> None:
    assert check_cold_box_load(120, is_told=True, interval_ns=40 * NS_PER_MS).breaks == []


def test_a_warm_box_has_no_budget() -> None:
    assert check_cold_box_load(400, is_told=True, begin_ns=22 * NS_PER_S).breaks == []


def test_the_budget_of_a_window_grows_with_warmth() -> None:
    budget = ColdBudget(
        ColdRule(3.0, 1500 * NS_PER_MS), 0, capacity=6.0, cold_share=0.2, cold_time=20 * NS_PER_S
    )
    assert budget.warmth(0) == pytest.approx(0.2)
    assert budget.warmth(10 * NS_PER_S) == pytest.approx(0.6)
    # Three times the box's work in the window, plus a tenth of its warm work.
    assert budget.allowed_work(750 * NS_PER_MS) == pytest.approx(3 * 0.2 * 6 * 1.5 + 0.1 * 6 * 1.5)
    assert budget.allowed_work(10_750 * NS_PER_MS) == pytest.approx(3 * 0.6 * 6 * 1.5 + 0.1 * 6 * 1.5)


def test_finished_requests_are_forgotten_after_a_while() -> None:
    checker = Checker(RULES)
    for index in range(1000):
        at = index * NS_PER_S
        request = b"%016x" % index
        checker.note(wire.RequestSent(at, request, "n0", "page", NS_PER_S, 0))
        checker.note(wire.ResponseReceived(at + NS_PER_MS, request, 503, b""))
    assert len(checker._requests) < 100
    assert checker.finish(2000 * NS_PER_S) == []
