"""The membership core in a modelled tier with link faults and stalls, in virtual time and seeded."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from driftstair.model.tier.measure import Tier, measure_detection, measure_idle
from driftstair.model.tier.swim import Swim
from driftstair.model.tier.world import NS_PER_MS, Detector, Host, Link
from driftstair.tier.membership.core import Membership
from driftstair.tier.membership.health import Health
from driftstair.tier.membership.members import State
from driftstair.tier.membership.probing import ProbeTracker
from driftstair.tier.membership.suspicion import Suspicion

Defect = tuple[type, str, Callable[..., object]]
Scenario = Callable[[Tier], None]


def joined_tier(count: int, seed: int = 1, link: Link | None = None) -> Tier:
    tier = Tier(count, seed, link or Link())
    tier.start()
    tier.join()
    return tier


@pytest.mark.parametrize("count", [2, 3, 7, 40])
def test_unacquainted_nodes_join_and_agree(count: int) -> None:
    tier = joined_tier(count)
    tier.run_until(tier.agreed, 5.0)
    assert tier.events and not tier.deaths()


@pytest.mark.parametrize("count", [2, 3, 7, 40])
def test_a_crash_is_detected_by_all(count: int) -> None:
    tier = joined_tier(count)
    result = measure_detection(tier, count - 1, 15.0)
    assert result.last <= (12.0 if count == 2 else 6.0)
    assert result.false_deaths == 0


def test_a_sole_survivor_presumes_the_others_dead_and_restores_them() -> None:
    """It can't tell which side is cut off, so it announces no death and restores members on first contact."""
    tier = joined_tier(3)
    for number in (1, 2):
        tier.world.crash(number)
    tier.run_until(lambda: tier.cores()[0].dead() == {1, 2}, 30.0)
    assert all(member.presumed_dead for member in tier.cores()[0].core.members.values())
    tier.world.start(1)
    tier.run_until(lambda: tier.cores()[0].dead() == {2}, 20.0)
    tier.run_until(lambda: not tier.cores()[0].core.members[2].presumed_dead, 20.0)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("paused", [1, 10])
def test_nodes_stalled_for_10_s_cause_no_false_death_and_recover_in_two_periods(
    paused: int, seed: int
) -> None:
    """One node of 40, and ten of them at once."""
    tier = joined_tier(40, seed)
    chosen = set(range(0, paused * 4, 4))
    for number in chosen:
        tier.world.stop(number)
    tier.world.run(10.0)
    assert {change.member for change in tier.deaths()} == chosen
    before = tier.world.now
    for number in chosen:
        tier.world.resume(number)
    assert tier.run_until(tier.all_alive, 10.0) <= 2.0
    tier.world.run(20.0)
    # A resumed node may learn late that other stalled nodes were held dead; a running node never is.
    assert not tier.deaths(before, of=set(range(40)) - chosen)


@pytest.mark.parametrize("direction", ["reaches none", "hears none", "neither"])
@pytest.mark.parametrize("seed", range(3))
def test_an_isolated_node_causes_no_false_death(direction: str, seed: int) -> None:
    tier = joined_tier(12, seed)
    cut_out, cut_in = direction != "hears none", direction != "reaches none"
    tier.world.cut = lambda source, target: (source == 0 and cut_out) or (target == 0 and cut_in)
    tier.world.run(40.0)
    assert {change.member for change in tier.deaths() if change.observer != 0} == {0}
    assert {change.member for change in tier.deaths() if change.observer == 0} <= {0}
    assert any(change.observer == 0 and not change.announced for change in tier.events) is (
        direction != "reaches none"
    )
    since = tier.world.now
    tier.world.cut = lambda source, target: False
    tier.run_until(tier.all_alive, 10.0)
    tier.world.run(20.0)
    assert not tier.deaths(since)


@pytest.mark.parametrize("seed", range(3))
def test_a_link_cut_in_one_direction_causes_no_false_death(seed: int) -> None:
    tier = joined_tier(5, seed)
    tier.world.cut = lambda source, target: (source, target) == (1, 2)
    tier.world.run(120.0)
    assert not tier.deaths()


def test_partitions_hold_each_other_dead_and_agree_once_healed() -> None:
    tier = joined_tier(20)
    tier.world.cut = lambda source, target: (source < 10) != (target < 10)
    tier.world.run(30.0)
    for node in tier.cores():
        is_in_first = node.core.own_number < 10
        assert node.dead() == {number for number in range(20) if (number < 10) != is_in_first}
    tier.world.crash(3)
    tier.world.run(10.0)
    tier.world.cut = lambda source, target: False
    tier.run_until(lambda: all(node.dead() == {3} for node in tier.cores()) and tier.agreed(), 15.0)


@pytest.mark.parametrize("seed", range(4))
def test_30_percent_loss_with_half_a_second_of_delay_causes_no_false_death(seed: int) -> None:
    tier = Tier(
        10, seed, Link(min_delay_ns=400 * NS_PER_MS, max_delay_ns=600 * NS_PER_MS, loss=0.3, duplicate=0.1)
    )
    tier.start()
    tier.join(120.0)
    tier.world.run(300.0)
    assert not tier.deaths()


def test_simultaneous_restarts_are_seen_as_new_generations_by_all() -> None:
    tier = joined_tier(20)
    before = {node.core.own_number: node.core.own_claim.generation for node in tier.cores()}
    for number in range(20):
        tier.world.crash(number)
        tier.world.call_later(tier.world.random.random(), tier.world.start, number)
    tier.world.run(1.0)
    tier.join(20.0)
    for node in tier.cores():
        for member in node.core.members.values():
            assert member.claim is not None and member.claim.generation > before[member.number]


def test_a_generation_from_a_clock_that_was_set_back_is_raised_above_the_previous_one() -> None:
    """The others still hold the old generation; the new process learns of it and takes a later one."""
    tier = joined_tier(5)
    tier.world.crash(2)
    tier.world.run(10.0)
    with_early_generation = lambda host, generation: Swim(host, -50, 5, 1.0, 9)  # noqa: E731
    tier.world._make = with_early_generation
    tier.world.start(2)
    tier.join(10.0)
    claims = [node.core.members[2].claim for node in tier.cores() if node.core.own_number != 2]
    assert {claim.generation for claim in claims if claim is not None} == {101}


def test_a_leave_is_disseminated_without_suspicion() -> None:
    tier = joined_tier(20)
    event_count = len(tier.events)
    node = tier.world.hosts[4].detector
    assert isinstance(node, Swim)
    node.leave()
    tier.world.run(1.0)
    tier.world.crash(4)
    tier.world.run(20.0)
    assert {(change.member, change.state) for change in tier.events[event_count:]} == {(4, State.LEFT)}
    assert all(4 in node.dead() for node in tier.cores())


def test_a_slow_node_causes_no_false_death() -> None:
    """It reads each datagram 1.5 s late, so no answer reaches it in time."""
    tier = joined_tier(20)
    tier.world.hosts[0].read_delay_s = 1.5
    tier.world.run(120.0)
    assert {change.member for change in tier.deaths()} <= {0}


def test_dissemination_stays_within_its_datagram_rate_in_a_storm() -> None:
    """Two partitions of 30 nodes merge, so each node has updates on thirty members to disseminate."""
    tier = joined_tier(60)
    tier.world.cut = lambda source, target: (source < 30) != (target < 30)
    tier.world.run(20.0)
    tier.world.cut = lambda source, target: False
    storm = measure_idle(tier, 15)
    assert storm.peak_datagrams_s <= 60
    tier.run_until(tier.all_alive, 30.0)


# Removing any correction makes detection worse by the same measure on the same seeds.

COUNT, DEGRADED, SEEDS = 12, 3, 6


def lossy_links(tier: Tier) -> None:
    tier.world.link = Link(loss=0.3)
    tier.world.run(90.0)


def lossy_reception(tier: Tier) -> None:
    """Nine in ten of the datagrams to the degraded nodes are lost."""
    for number in range(DEGRADED):
        for other in range(COUNT):
            tier.world.links[other, number] = Link(loss=0.9)
    tier.world.run(90.0)


def slow_reception(tier: Tier) -> None:
    for number in range(DEGRADED):
        tier.world.hosts[number].read_delay_s = 2.0
    tier.world.run(90.0)


def repeated_stalls(tier: Tier, stalled_s: float, running_s: float) -> None:
    for _ in range(int(90.0 / (stalled_s + running_s))):
        for number in range(DEGRADED):
            tier.world.stop(number)
        tier.world.run(stalled_s)
        for number in range(DEGRADED):
            tier.world.resume(number)
        tier.world.run(running_s)


def short_stalls(tier: Tier) -> None:
    tier.world.link = Link(loss=0.2)
    repeated_stalls(tier, 2.0, 1.0)


def long_stalls(tier: Tier) -> None:
    tier.world.link = Link(loss=0.1)
    repeated_stalls(tier, 2.5, 0.5)


def runs_by_seed(scenario: Scenario) -> Iterator[tuple[Tier, int]]:
    """The tier after each seed's run, and the time in ns at which the scenario began."""
    for seed in range(SEEDS):
        tier = joined_tier(COUNT, seed)
        since = tier.world.now
        scenario(tier)
        yield tier, since


def false_deaths(scenario: Scenario) -> int:
    """Views that held a running node dead."""
    return sum(len(tier.deaths(since, of=set(range(COUNT)))) for tier, since in runs_by_seed(scenario))


def suspicions_by_degraded(scenario: Scenario) -> int:
    """Suspicions held by the degraded nodes."""
    return sum(len(tier.suspicions(since, by=set(range(DEGRADED)))) for tier, since in runs_by_seed(scenario))


NO_REFUTATION = (Membership, "_refute", lambda self, now_ns, claim: None)
NO_LONGER_TIMEOUT = (Suspicion, "_timeout_deadline_ns", lambda self: self.since_ns + self._min_timeout_ns)
NO_EXTENSION = (Suspicion, "extend", lambda self, heard_at_ns: False)
NO_ISOLATION_CHECK = (Membership, "_can_judge", lambda self, now_ns: True)
NO_HEALTH_SCORE = (Health, "record_failure", lambda self, weight=1: None)


@pytest.mark.parametrize(
    ("defect", "scenario", "measure"),
    [(NO_REFUTATION, lossy_links, false_deaths), (NO_LONGER_TIMEOUT, short_stalls, false_deaths),
     (NO_EXTENSION, slow_reception, false_deaths), (NO_ISOLATION_CHECK, long_stalls, false_deaths),
     (NO_HEALTH_SCORE, lossy_reception, suspicions_by_degraded)],
)  # fmt: skip
def test_without_a_correction_detection_is_worse(
    defect: Defect, scenario: Scenario, measure: Callable[[Scenario], int], monkeypatch: pytest.MonkeyPatch
) -> None:
    baseline = measure(scenario)
    monkeypatch.setattr(*defect)
    assert measure(scenario) > 1.3 * baseline


def max_health_score(seed: int) -> int:
    """The worst health score in a healthy tier of 12 while it detects a crash."""
    tier, highest = joined_tier(COUNT, seed), 0
    tier.world.crash(0)
    for _ in range(80):
        tier.world.run(0.1)
        highest = max(highest, *(node.core.health.score for node in tier.cores()))
    return highest


def test_without_nacks_detecting_a_crash_worsens_the_health_score(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert not any(max_health_score(seed) for seed in range(SEEDS))
    monkeypatch.setattr(ProbeTracker, "record_nack", lambda self, seq: None)
    assert all(max_health_score(seed) for seed in range(SEEDS))


def false_deaths_after_stall(seed: int) -> int:
    """Node 0 stalls while it and others suspect node 1, which refutes. Datagrams that arrive meanwhile are
    lost, as from a full buffer."""
    tier = joined_tier(COUNT, seed)
    tier.world.stop(1)

    def suspected() -> bool:
        suspicion = tier.cores()[0].core.members[1].suspicion
        return suspicion is not None and len(suspicion.reporters) > 2

    tier.run_until(suspected, 10.0, step=0.02)
    tier.world.stop(0)
    tier.world.resume(1)
    tier.world.run(4.5)
    tier.world.hosts[0].inbox.clear()
    since = tier.world.now
    tier.world.resume(0)
    tier.world.run(3.0)
    return sum(1 for change in tier.deaths(since, of={1}) if change.observer == 0)


def test_without_the_stall_check_a_resumed_node_causes_false_deaths(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not any(false_deaths_after_stall(seed) for seed in range(12))
    monkeypatch.setattr(Membership, "_check_stall", lambda self, now_ns: None)
    assert any(false_deaths_after_stall(seed) for seed in range(12))


def swim_of_generation(generation: int) -> Callable[[Host, int], Detector]:
    return lambda host, _: Swim(host, generation, 4, 1.0, 3)


def test_of_two_processes_with_one_number_exactly_one_is_superseded() -> None:
    """Both are reachable under the number, as with an address that moved while its old machine still runs."""
    tier = Tier(4, 1)
    tier.start()
    tier.join()
    rival = Host(tier.world, 2)
    rival.detector = detector = Swim(rival, 500, 4, 1.0, 8)
    first = tier.world.hosts[2].detector
    assert isinstance(first, Swim)
    rival.generation = tier.world.hosts[2].generation
    deliver = tier.world._arrive

    def deliver_to_both(target: int, datagram: object) -> None:
        deliver(target, datagram)
        if target == 2:
            tier.world._read(rival, rival.generation, datagram)

    tier.world._arrive = deliver_to_both  # type: ignore[method-assign]
    detector.start()
    tier.world._wake_later(rival)
    tier.run_until(lambda: first.core.superseded != detector.core.superseded, 60.0)
    tier.world.run(10.0)
    assert first.core.superseded != detector.core.superseded
    survivor = detector if first.core.superseded else first
    for node in tier.cores():
        if node.core.own_number != 2:
            claim = node.core.members[2].claim
            assert claim is not None and (claim.generation, claim.state) == (
                survivor.core.own_claim.generation,
                State.ALIVE,
            )
