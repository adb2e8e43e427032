"""The shipped core in a modelled tier: what links and pauses do to it, in virtual time and by seed."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest

from driftstair.model.tier.measure import Tier, detection, rest
from driftstair.model.tier.swim import Swim
from driftstair.model.tier.world import MS, Detector, Host, Link
from driftstair.tier.membership.core import Membership
from driftstair.tier.membership.health import Health
from driftstair.tier.membership.members import State
from driftstair.tier.membership.probing import ProbeTracker
from driftstair.tier.membership.suspicion import Suspicion

Defect = tuple[type, str, Callable[..., object]]
Play = Callable[[Tier], None]


def joined(count: int, seed: int = 1, link: Link | None = None) -> Tier:
    tier = Tier(count, seed, link or Link())
    tier.start()
    tier.join()
    return tier


@pytest.mark.parametrize("count", [2, 3, 7, 40])
def test_nodes_that_know_nobody_find_each_other_and_agree(count: int) -> None:
    tier = joined(count)
    tier.until(tier.agreed, 5.0)
    assert tier.events and not tier.deaths()


@pytest.mark.parametrize("count", [2, 3, 7, 40])
def test_a_crash_is_known_by_all(count: int) -> None:
    tier = joined(count)
    found = detection(tier, count - 1, 15.0)
    assert found.last <= (12.0 if count == 2 else 6.0)
    assert found.wrong == 0


def test_an_only_survivor_holds_the_others_dead_and_takes_them_back() -> None:
    """It hears nobody: it can't know who is cut off, tells nobody, and changes its mind at the first word."""
    tier = joined(3)
    for number in (1, 2):
        tier.world.crash(number)
    tier.until(lambda: tier.cores()[0].dead() == {1, 2}, 30.0)
    assert all(one.presumed_dead for one in tier.cores()[0].core.members.values())
    tier.world.start(1)
    tier.until(lambda: tier.cores()[0].dead() == {2}, 20.0)
    tier.until(lambda: not tier.cores()[0].core.members[2].presumed_dead, 20.0)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("paused", [1, 10])
def test_nodes_paused_for_10_s_kill_nobody_and_are_alive_everywhere_two_periods_later(
    paused: int, seed: int
) -> None:
    """One of 40, and a quarter of them at once."""
    tier = joined(40, seed)
    chosen = set(range(0, paused * 4, 4))
    for number in chosen:
        tier.world.stop(number)
    tier.world.run(10.0)
    assert {one.member for one in tier.deaths()} == chosen
    before = tier.world.now
    for number in chosen:
        tier.world.go_on(number)
    assert tier.until(tier.all_alive, 10.0) <= 2.0
    tier.world.run(20.0)
    # One that wakes learns late that others of the paused ones were held dead; nobody that ran ever is.
    assert not tier.deaths(before, of=set(range(40)) - chosen)


@pytest.mark.parametrize("way", ["reaches none", "hears none", "neither"])
@pytest.mark.parametrize("seed", range(3))
def test_a_node_cut_off_kills_nobody(way: str, seed: int) -> None:
    tier = joined(12, seed)
    out, deaf = way != "hears none", way != "reaches none"
    tier.world.cut = lambda source, target: (source == 0 and out) or (target == 0 and deaf)
    tier.world.run(40.0)
    assert {one.member for one in tier.deaths() if one.observer != 0} == {0}
    assert {one.member for one in tier.deaths() if one.observer == 0} <= {0}
    assert any(one.observer == 0 and not one.told for one in tier.events) is (way != "reaches none")
    since = tier.world.now
    tier.world.cut = lambda source, target: False
    tier.until(tier.all_alive, 10.0)
    tier.world.run(20.0)
    assert not tier.deaths(since)


@pytest.mark.parametrize("seed", range(3))
def test_a_link_cut_one_way_is_nobody_s_death(seed: int) -> None:
    tier = joined(5, seed)
    tier.world.cut = lambda source, target: (source, target) == (1, 2)
    tier.world.run(120.0)
    assert not tier.deaths()


def test_halves_hold_each_other_dead_and_agree_once_they_meet() -> None:
    tier = joined(20)
    tier.world.cut = lambda source, target: (source < 10) != (target < 10)
    tier.world.run(30.0)
    for node in tier.cores():
        mine = node.core.own_number < 10
        assert node.dead() == {number for number in range(20) if (number < 10) != mine}
    tier.world.crash(3)
    tier.world.run(10.0)
    tier.world.cut = lambda source, target: False
    tier.until(lambda: all(node.dead() == {3} for node in tier.cores()) and tier.agreed(), 15.0)


@pytest.mark.parametrize("seed", range(4))
def test_loss_of_30_in_a_hundred_with_half_a_second_of_delay_kills_nobody(seed: int) -> None:
    tier = Tier(10, seed, Link(low=400 * MS, high=600 * MS, loss=0.3, duplicate=0.1))
    tier.start()
    tier.join(120.0)
    tier.world.run(300.0)
    assert not tier.deaths()


def test_all_restarted_within_a_second_are_new_lives_for_everyone() -> None:
    tier = joined(20)
    before = {node.core.own_number: node.core.own_claim.life for node in tier.cores()}
    for number in range(20):
        tier.world.crash(number)
        tier.world.after(tier.world.random.random(), tier.world.start, number)
    tier.world.run(1.0)
    tier.join(20.0)
    for node in tier.cores():
        for member in node.core.members.values():
            assert member.claim is not None and member.claim.life > before[member.number]


def test_a_life_from_a_clock_that_was_set_back_is_raised_above_the_one_before() -> None:
    """The others still hold the old life, dead or alive: told so, the new process takes a later one."""
    tier = joined(5)
    tier.world.crash(2)
    tier.world.run(10.0)
    back = lambda host, life: Swim(host, -50, 5, 1.0, 9)  # noqa: E731
    tier.world._make = back
    tier.world.start(2)
    tier.join(10.0)
    claims = [node.core.members[2].claim for node in tier.cores() if node.core.own_number != 2]
    assert {claim.life for claim in claims if claim is not None} == {101}


def test_a_leave_is_told_and_nobody_is_suspected() -> None:
    tier = joined(20)
    at = len(tier.events)
    node = tier.world.hosts[4].detector
    assert isinstance(node, Swim)
    node.leave()
    tier.world.run(1.0)
    tier.world.crash(4)
    tier.world.run(20.0)
    assert {(one.member, one.state) for one in tier.events[at:]} == {(4, State.LEFT)}
    assert all(4 in node.dead() for node in tier.cores())


def test_a_slow_node_doubts_itself_and_kills_nobody() -> None:
    """It reads each datagram 1.5 s late: nobody answers it in time."""
    tier = joined(20)
    tier.world.hosts[0].slow = 1.5
    tier.world.run(120.0)
    assert {one.member for one in tier.deaths()} <= {0}


def test_news_cost_a_node_no_more_than_is_stated_even_in_a_storm() -> None:
    """Halves of 60 meet: each node has thirty members' news to tell."""
    tier = joined(60)
    tier.world.cut = lambda source, target: (source < 30) != (target < 30)
    tier.world.run(20.0)
    tier.world.cut = lambda source, target: False
    storm = rest(tier, 15)
    assert storm.busiest <= 60
    tier.until(tier.all_alive, 30.0)


# Each correction: without it the tier judges worse, by the same measure and the same seeds.

COUNT, SICK, SEEDS = 12, 3, 6


def lossy(tier: Tier) -> None:
    tier.world.link = Link(loss=0.3)
    tier.world.run(90.0)


def deaf(tier: Tier) -> None:
    """Nine in ten of the datagrams to the sick nodes are lost."""
    for number in range(SICK):
        for other in range(COUNT):
            tier.world.links[other, number] = Link(loss=0.9)
    tier.world.run(90.0)


def slow_readers(tier: Tier) -> None:
    for number in range(SICK):
        tier.world.hosts[number].slow = 2.0
    tier.world.run(90.0)


def stops(tier: Tier, stands: float, runs: float) -> None:
    for _ in range(int(90.0 / (stands + runs))):
        for number in range(SICK):
            tier.world.stop(number)
        tier.world.run(stands)
        for number in range(SICK):
            tier.world.go_on(number)
        tier.world.run(runs)


def some_stops(tier: Tier) -> None:
    tier.world.link = Link(loss=0.2)
    stops(tier, 2.0, 1.0)


def long_stops(tier: Tier) -> None:
    tier.world.link = Link(loss=0.1)
    stops(tier, 2.5, 0.5)


def played(play: Play) -> Iterator[tuple[Tier, int]]:
    """Over all seeds, and since when (ns)."""
    for seed in range(SEEDS):
        tier = joined(COUNT, seed)
        since = tier.world.now
        play(tier)
        yield tier, since


def deaths(play: Play) -> int:
    """Views that held dead who ran."""
    return sum(len(tier.deaths(since, of=set(range(COUNT)))) for tier, since in played(play))


def suspicions(play: Play) -> int:
    """That the sick nodes held."""
    return sum(len(tier.suspicions(since, by=set(range(SICK)))) for tier, since in played(play))


NOT_REFUTED = (Membership, "_refute", lambda self, now_ns, claim: None)
NOT_LONGER_ALONE = (Suspicion, "_timeout_deadline_ns", lambda self: self.since_ns + self._min_timeout_ns)
NOT_DEFERRED = (Suspicion, "extend", lambda self, heard_at_ns: False)
NEVER_DEAF = (Membership, "_can_judge", lambda self, now_ns: True)
NO_DOUBT = (Health, "record_failure", lambda self, weight=1: None)


@pytest.mark.parametrize(
    ("defect", "play", "measure"),
    [(NOT_REFUTED, lossy, deaths), (NOT_LONGER_ALONE, some_stops, deaths),
     (NOT_DEFERRED, slow_readers, deaths), (NEVER_DEAF, long_stops, deaths), (NO_DOUBT, deaf, suspicions)],
)  # fmt: skip
def test_without_a_correction_the_tier_judges_worse(
    defect: Defect, play: Play, measure: Callable[[Play], int], monkeypatch: pytest.MonkeyPatch
) -> None:
    shipped = measure(play)
    monkeypatch.setattr(*defect)
    assert measure(play) > 1.3 * shipped


def doubts(seed: int) -> int:
    """How far a sound tier of 12 doubts itself while it finds one of its nodes dead."""
    tier, most = joined(COUNT, seed), 0
    tier.world.crash(0)
    for _ in range(80):
        tier.world.run(0.1)
        most = max(most, *(node.core.health.score for node in tier.cores()))
    return most


def test_without_negative_answers_a_sound_node_that_finds_another_dead_doubts_itself(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert not any(doubts(seed) for seed in range(SEEDS))
    monkeypatch.setattr(ProbeTracker, "record_nack", lambda self, seq: None)
    assert all(doubts(seed) for seed in range(SEEDS))


def killed_by_one_that_woke(seed: int) -> int:
    """Node 0 stops while it and others suspect node 1, which refutes; what came meanwhile is lost, as from a
    full buffer."""
    tier = joined(COUNT, seed)
    tier.world.stop(1)

    def suspected() -> bool:
        suspicion = tier.cores()[0].core.members[1].suspicion
        return suspicion is not None and len(suspicion.reporters) > 2

    tier.until(suspected, 10.0, step=0.02)
    tier.world.stop(0)
    tier.world.go_on(1)
    tier.world.run(4.5)
    tier.world.hosts[0].inbox.clear()
    since = tier.world.now
    tier.world.go_on(0)
    tier.world.run(3.0)
    return sum(1 for one in tier.deaths(since, of={1}) if one.observer == 0)


def test_without_the_guard_for_pauses_one_that_woke_kills(monkeypatch: pytest.MonkeyPatch) -> None:
    assert not any(killed_by_one_that_woke(seed) for seed in range(12))
    monkeypatch.setattr(Membership, "_check_stall", lambda self, now_ns: None)
    assert any(killed_by_one_that_woke(seed) for seed in range(12))


def make_of(life: int) -> Callable[[Host, int], Detector]:
    return lambda host, _: Swim(host, life, 4, 1.0, 3)


def test_of_two_processes_of_one_number_one_gives_up_and_one_stays() -> None:
    """Both can be reached under it, as with an address that was moved while its old machine lives on."""
    tier = Tier(4, 1)
    tier.start()
    tier.join()
    rival = Host(tier.world, 2)
    rival.detector = detector = Swim(rival, 500, 4, 1.0, 8)
    first = tier.world.hosts[2].detector
    assert isinstance(first, Swim)
    rival.life = tier.world.hosts[2].life
    deliver = tier.world._arrive

    def both(target: int, datagram: object) -> None:
        deliver(target, datagram)
        if target == 2:
            tier.world._read(rival, rival.life, datagram)

    tier.world._arrive = both  # type: ignore[method-assign]
    detector.start()
    tier.world._wake_later(rival)
    tier.until(lambda: first.core.superseded != detector.core.superseded, 60.0)
    tier.world.run(10.0)
    assert first.core.superseded != detector.core.superseded
    stays = detector if first.core.superseded else first
    for node in tier.cores():
        if node.core.own_number != 2:
            claim = node.core.members[2].claim
            assert claim is not None and (claim.life, claim.state) == (stays.core.own_claim.life, State.ALIVE)
