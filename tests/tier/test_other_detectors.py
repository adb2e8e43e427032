"""The two failure detectors for comparison, and the checkers on histories with an injected fault."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from driftstair.model.tier.accrual import Accrual
from driftstair.model.tier.heartbeats import Heartbeats
from driftstair.model.tier.measure import DetectorFactoryBuilder, Tier, measure_detection
from driftstair.model.tier.world import Link
from driftstair.rehearsal.tier.checks import Bounds, RunRecord, Span, check
from driftstair.rehearsal.tier.histories import Process, processes

NS_PER_S = 1_000_000_000
DETECTORS: list[DetectorFactoryBuilder] = [
    lambda count, seed: lambda host, generation: Heartbeats(host, count),
    lambda count, seed: lambda host, generation: Accrual(host, count),
]


@pytest.mark.parametrize("make", DETECTORS)
def test_other_detectors_detect_a_crash_and_nothing_else_on_healthy_links(
    make: DetectorFactoryBuilder,
) -> None:
    tier = Tier(8, 1, make=make)
    tier.start()
    tier.world.run(60.0)
    assert not tier.deaths()
    result = measure_detection(tier, 7, 20.0)
    assert result.last < 6.0 and result.false_deaths == 0


def test_plain_heartbeats_cause_false_deaths_at_30_percent_loss() -> None:
    """The tier's own detector causes none over the same links."""
    false_deaths = []
    for make in [DETECTORS[0], None]:
        tier = Tier(8, 1, Link(loss=0.3), **({} if make is None else {"make": make}))
        tier.start()
        tier.world.run(120.0)
        false_deaths.append(len(tier.deaths()))
    assert false_deaths[0] > 0 and false_deaths[1] == 0


def test_an_accrual_detector_tolerates_longer_gaps_when_heartbeats_are_irregular() -> None:
    tier = Tier(2, 1, make=DETECTORS[1])
    tier.start()
    tier.world.run(30.0)
    detector = tier.world.hosts[0].detector
    assert isinstance(detector, Accrual)
    phi_when_regular = detector.phi(1, 2 * NS_PER_S)
    for gap in (0.2, 2.0, 0.3, 1.9) * 25:
        detector.record_gap(1, int(gap * NS_PER_S))
    assert detector.phi(1, 2 * NS_PER_S) < phi_when_regular
    assert detector.phi(1, NS_PER_S) < detector.phi(1, 3 * NS_PER_S)


# Checkers: each finds the injected fault, and nothing without it.


def member_event(
    at_s: float, node: int, member: int, state: str, generation: int = 1, incarnation: int = 0
) -> dict[str, object]:
    return {
        "t_ns": int(at_s * NS_PER_S), "node": node, "life": 1, "event": "member", "member": member,
        "state": state,
        "incarnation": incarnation, "member_life": generation, "told": True, "why": "",
    }  # fmt: skip


def start_event(node: int, at_s: float = 0.0) -> dict[str, object]:
    return {"t_ns": int(at_s * NS_PER_S), "node": node, "life": 1, "event": "start", "nodes": 3}


def sound_histories() -> list[list[dict[str, object]]]:
    """Each node's view includes itself."""
    return [
        [start_event(node), *(member_event(1.0, node, member, "alive") for member in range(3))]
        for node in range(3)
    ]


BOUNDS = Bounds(wrongly=0.0, settle=2.0, death=3.0)


def broken_rules(
    change: Callable[[list[list[dict[str, object]]]], None], *faults: Span, until_s: float = 60.0
) -> set[str]:
    histories = sound_histories()
    change(histories)
    all_processes: list[Process] = [process for events in histories for process in processes(events)]
    return {
        finding.rule
        for finding in check(RunRecord(all_processes, list(faults), int(until_s * NS_PER_S)), BOUNDS)
    }


def down(node: int, begin_s: float, end_s: float) -> Span:
    return Span(node, int(begin_s * NS_PER_S), int(end_s * NS_PER_S), down=True)


def test_a_sound_history_has_no_finding() -> None:
    assert broken_rules(lambda histories: None) == set()


def test_a_node_held_dead_that_runs_is_found() -> None:
    def false_death(histories: list[list[dict[str, object]]]) -> None:
        histories[0] += [member_event(20, 0, 2, "dead"), member_event(21, 0, 2, "alive", incarnation=1)]
        for node in (1, 2):
            histories[node].append(member_event(21, node, 2, "alive", incarnation=1))

    assert broken_rules(false_death) == {"a node that runs is held dead"}
    cut = Span(2, 19 * NS_PER_S, 20 * NS_PER_S)
    assert broken_rules(false_death, cut) == set()
    # Cut off, but not from node 0, which holds it dead.
    apart = Span(2, 19 * NS_PER_S, 22 * NS_PER_S, apart=frozenset({1}))
    assert broken_rules(false_death, apart) == {"a node that runs is held dead"}


def test_a_death_that_a_node_never_learns_of_is_found() -> None:
    def missed_death(histories: list[list[dict[str, object]]]) -> None:
        histories[0] += [member_event(21, 0, 2, "dead"), member_event(41, 0, 2, "alive", generation=2)]
        histories[1] += [member_event(41, 1, 2, "alive", generation=2)]
        histories[2] += [start_event(2, 40), member_event(41, 2, 0, "alive"), member_event(41, 2, 1, "alive"),
                         member_event(40, 2, 2, "alive", generation=2)]  # fmt: skip

    assert broken_rules(missed_death, down(2, 20, 40)) == {"a dead node is not held dead"}


def test_views_that_differ_at_the_end_are_found() -> None:
    def differing_views(histories: list[list[dict[str, object]]]) -> None:
        histories[0].append(member_event(30, 0, 2, "alive", incarnation=4))

    assert "views differ when all is over" in broken_rules(differing_views)


def test_a_suspicion_that_persists_is_found() -> None:
    def persistent_suspicion(histories: list[list[dict[str, object]]]) -> None:
        for node in (0, 1):
            histories[node].append(member_event(30, node, 2, "suspect"))

    assert "a node that runs is not held alive when all is over" in broken_rules(persistent_suspicion)


def test_an_old_generation_that_replaces_a_newer_one_is_found() -> None:
    def old_generation(histories: list[list[dict[str, object]]]) -> None:
        for node in (0, 1):
            histories[node] += [
                member_event(30, node, 2, "alive", generation=3),
                member_event(31, node, 2, "alive", generation=2),
            ]
        histories[2].append(member_event(31, 2, 2, "alive", generation=2))

    assert broken_rules(old_generation) == {"an old claim replaced a newer one"}


def test_a_killed_process_has_no_views_once_the_next_one_has_started() -> None:
    """Guards against judging a killed process by its last view, which lacks all later deaths."""

    def restart(histories: list[list[dict[str, object]]]) -> None:
        histories[0] = [*histories[0], start_event(0, 10),
                        *(member_event(11, 0, member, "alive") for member in range(3)),
                        member_event(21, 0, 2, "dead")]  # fmt: skip
        histories[1].append(member_event(21, 1, 2, "dead"))

    assert broken_rules(restart, down(0, 8, 10), down(2, 20, 61)) == set()
