"""The two detectors that the tier is measured beside, and the checkers on histories with a planted fault."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from driftstair.model.tier.accrual import Accrual
from driftstair.model.tier.heartbeats import Heartbeats
from driftstair.model.tier.measure import MakeOf, Tier, detection
from driftstair.model.tier.world import Link
from driftstair.rehearsal.tier.checks import Bounds, Span, Story, check
from driftstair.rehearsal.tier.histories import Process, processes

SECOND = 1_000_000_000
OTHERS: list[MakeOf] = [
    lambda count, seed: lambda host, life: Heartbeats(host, count),
    lambda count, seed: lambda host, life: Accrual(host, count),
]


@pytest.mark.parametrize("make", OTHERS)
def test_another_detector_finds_a_crash_and_nothing_else_on_sound_links(make: MakeOf) -> None:
    tier = Tier(8, 1, make=make)
    tier.start()
    tier.world.run(60.0)
    assert not tier.deaths()
    found = detection(tier, 7, 20.0)
    assert found.last < 6.0 and found.wrong == 0


def test_plain_heartbeats_are_wrong_where_a_third_is_lost() -> None:
    """What the tier is not, over the same links."""
    wrong = []
    for make in [OTHERS[0], None]:
        tier = Tier(8, 1, Link(loss=0.3), **({} if make is None else {"make": make}))
        tier.start()
        tier.world.run(120.0)
        wrong.append(len(tier.deaths()))
    assert wrong[0] > 0 and wrong[1] == 0


def test_an_accrual_detector_bears_more_where_words_come_unevenly() -> None:
    tier = Tier(2, 1, make=OTHERS[1])
    tier.start()
    tier.world.run(30.0)
    one = tier.world.hosts[0].detector
    assert isinstance(one, Accrual)
    even = one.phi(1, 2 * SECOND)
    for gap in (0.2, 2.0, 0.3, 1.9) * 25:
        one.gap(1, int(gap * SECOND))
    assert one.phi(1, 2 * SECOND) < even
    assert one.phi(1, SECOND) < one.phi(1, 3 * SECOND)


# Checkers: each finds what is planted, and nothing without it.


def member(
    at: float, node: int, of: int, state: str, life: int = 1, incarnation: int = 0
) -> dict[str, object]:
    return {
        "t_ns": int(at * SECOND), "node": node, "life": 1, "event": "member", "member": of, "state": state,
        "incarnation": incarnation, "member_life": life, "told": True, "why": "",
    }  # fmt: skip


def begun(node: int, at: float = 0.0) -> dict[str, object]:
    return {"t_ns": int(at * SECOND), "node": node, "life": 1, "event": "start", "nodes": 3}


def sound() -> list[list[dict[str, object]]]:
    """Each node has itself among those that it holds."""
    return [[begun(node), *(member(1.0, node, of, "alive") for of in range(3))] for node in range(3)]


BOUNDS = Bounds(wrongly=0.0, settle=2.0, death=3.0)


def judged(
    change: Callable[[list[list[dict[str, object]]]], None], *faults: Span, until: float = 60.0
) -> set[str]:
    histories = sound()
    change(histories)
    found: list[Process] = [one for events in histories for one in processes(events)]
    return {one.rule for one in check(Story(found, list(faults), int(until * SECOND)), BOUNDS)}


def down(node: int, begin: float, end: float) -> Span:
    return Span(node, int(begin * SECOND), int(end * SECOND), down=True)


def test_a_sound_history_has_no_finding() -> None:
    assert judged(lambda histories: None) == set()


def test_a_node_held_dead_that_runs_is_found() -> None:
    def wrong(histories: list[list[dict[str, object]]]) -> None:
        histories[0] += [member(20, 0, 2, "dead"), member(21, 0, 2, "alive", incarnation=1)]
        for node in (1, 2):
            histories[node].append(member(21, node, 2, "alive", incarnation=1))

    assert judged(wrong) == {"a node that runs is held dead"}
    cut = Span(2, 19 * SECOND, 20 * SECOND)
    assert judged(wrong, cut) == set()
    apart = Span(2, 19 * SECOND, 22 * SECOND, apart=frozenset({1}))  # from another than the one that is wrong
    assert judged(wrong, apart) == {"a node that runs is held dead"}


def test_a_death_that_one_never_learns_is_found() -> None:
    def missed(histories: list[list[dict[str, object]]]) -> None:
        histories[0] += [member(21, 0, 2, "dead"), member(41, 0, 2, "alive", life=2)]
        histories[1] += [member(41, 1, 2, "alive", life=2)]
        histories[2] += [begun(2, 40), member(41, 2, 0, "alive"), member(41, 2, 1, "alive"),
                         member(40, 2, 2, "alive", life=2)]  # fmt: skip

    assert judged(missed, down(2, 20, 40)) == {"a dead node is not held dead"}


def test_views_that_differ_at_the_end_are_found() -> None:
    def differ(histories: list[list[dict[str, object]]]) -> None:
        histories[0].append(member(30, 0, 2, "alive", incarnation=4))

    assert "views differ when all is over" in judged(differ)


def test_a_suspicion_that_stays_is_found() -> None:
    def stays(histories: list[list[dict[str, object]]]) -> None:
        for node in (0, 1):
            histories[node].append(member(30, node, 2, "suspect"))

    assert "a node that runs is not held alive when all is over" in judged(stays)


def test_an_old_life_that_wins_is_found() -> None:
    def old(histories: list[list[dict[str, object]]]) -> None:
        for node in (0, 1):
            histories[node] += [member(30, node, 2, "alive", life=3), member(31, node, 2, "alive", life=2)]
        histories[2].append(member(31, 2, 2, "alive", life=2))

    assert judged(old) == {"an old claim replaced a newer one"}


def test_a_killed_process_holds_nothing_once_the_next_one_began() -> None:
    """Its last view was once counted for ever: a death after it was never learned by it."""

    def again(histories: list[list[dict[str, object]]]) -> None:
        histories[0] = [*histories[0], begun(0, 10), *(member(11, 0, of, "alive") for of in range(3)),
                        member(21, 0, 2, "dead")]  # fmt: skip
        histories[1].append(member(21, 1, 2, "dead"))

    assert judged(again, down(0, 8, 10), down(2, 20, 61)) == set()
