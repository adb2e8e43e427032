"""Leases in a modelled tier: who has a task, how soon again, and that tokens rise, whatever befalls nodes."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from driftstair.model.tier.ownership import Fleet
from driftstair.model.tier.world import NS_PER_S, Link
from driftstair.tier.ownership.leases import (
    MAX_VOTERS,
    TERMS,
    Leases,
    rank_nodes,
    task_key,
    voter_numbers,
)

SILENT = TERMS.waited() / NS_PER_S  # s after a start in which the voters say nothing
TASKS = tuple(f"task {number}" for number in range(12))


def fleet(
    count: int = 5, seed: int = 1, tasks: tuple[str, ...] = ("work",), link: Link | None = None
) -> Fleet:
    out = Fleet(count, seed, tasks, link or Link())
    out.world.run(SILENT + 4.0)
    return out


def test_each_task_has_one_owner_once_the_voters_speak_and_keeps_it() -> None:
    play = fleet(tasks=TASKS)
    owners = [play.owners(task) for task in TASKS]
    assert all(len(one) == 1 for one in owners)
    assert {one[0] for one in owners} > {0} or len({one[0] for one in owners}) > 1
    play.world.run(60.0)
    assert [play.owners(task) for task in TASKS] == owners
    assert len(play.leases) == len(TASKS)  # made longer, never lost


def test_the_first_in_rank_has_it() -> None:
    play = fleet(tasks=TASKS)
    for task in TASKS:
        core = play.world.hosts[0].detector.core  # type: ignore[union-attr]
        assert play.owners(task) == rank_nodes(core.tasks[task].key, range(5))[:1]


@pytest.mark.parametrize("count", [3, 5, 20])
def test_a_crash_moves_what_its_node_held_alone_and_soon(count: int) -> None:
    play = fleet(count, tasks=TASKS)
    before = {task: play.owners(task)[0] for task in TASKS}
    gone = before[TASKS[0]]
    play.crash(gone)
    took = play.until_owned(10.0, TASKS[0])
    assert took < play.detection_delay_s + TERMS.waited() / NS_PER_S + 1.0
    play.world.run(5.0)
    after = {task: play.owners(task)[0] for task in TASKS}
    assert {task for task in TASKS if after[task] != before[task]} == {
        task for task in TASKS if before[task] == gone
    }


def test_a_planned_end_hands_over_within_a_round_trip_or_two() -> None:
    play = fleet(9, tasks=TASKS)
    for task in TASKS:
        owner = play.owners(task)[0]
        play.world.hosts[owner].detector.leave()  # type: ignore[union-attr]
        assert play.owners(task) == []
        assert play.until_owned(2.0, task) < 0.2  # links of 1 to 20 ms
        assert play.owners(task) != [owner]
        play.world.crash(owner)
        play.alive.discard(owner)
        play.start(owner)
        play.world.run(SILENT + 1.0)


def test_without_a_majority_there_is_no_owner_and_with_one_again_there_is() -> None:
    play = fleet(5)
    (owner,) = play.owners()
    others = [number for number in range(5) if number != owner]
    apart = {owner, others[0]}
    play.world.cut = lambda source, target: (source in apart) != (target in apart)
    play.world.run(TERMS.lease / NS_PER_S + 0.1)
    assert owner not in play.owners()
    play.until_owned(8.0)  # by those three
    play.world.cut = lambda source, target: {source, target} != {owner, others[0]}
    play.world.run(TERMS.lease / NS_PER_S + 0.1)
    assert play.owners() == []
    play.world.cut = lambda source, target: False
    play.until_owned(8.0)


def test_an_owner_that_hears_the_voters_and_is_not_heard_stops_in_time() -> None:
    play = fleet(5)
    (owner,) = play.owners()
    play.world.cut = lambda source, target: source == owner
    play.world.run(TERMS.lease / NS_PER_S)
    assert owner not in play.owners()
    play.until_owned(8.0)


def test_an_owner_that_stood_still_has_no_token_when_it_wakes() -> None:
    play = fleet(5)
    (owner,) = play.owners()
    play.world.stop(owner)
    play.world.run(30.0)
    assert [one for one in play.owners() if one != owner]
    assert owner not in play.owners()  # by its clock, whatever it believes
    play.world.resume(owner)
    play.world.run(5.0)
    assert len(play.owners()) == 1


def test_all_restarted_have_an_owner_once_the_longest_lease_is_over_and_its_token_is_greater() -> None:
    play = fleet(5)
    before = max(one.token for one in play.leases)
    for number in range(5):
        play.crash(number)
        play.start(number)
    assert play.until_owned(SILENT + 3.0) > SILENT - 0.1
    assert play.leases[-1].token > before


def test_whatever_befalls_there_is_one_owner_at_most_and_tokens_rise() -> None:
    assert sum(befallen(seed) for seed in range(20)) >= 50


def befallen(seed: int) -> int:
    """How many leases there were."""
    random = Random(seed)
    count = random.choice((3, 5, 9))
    late = random.choice((20, 300)) * 1_000_000
    play = fleet(count, seed, link=Link(loss=0.15, duplicate=0.1, max_delay_ns=late))
    world = play.world
    for _ in range(80):
        number = random.randrange(count)
        apart = set(random.sample(range(count), random.randrange(count)))
        match random.randrange(8):
            case 0 if world.is_running(number):
                play.crash(number)
            case 1 if not world.is_running(number):
                play.start(number)
            case 2:
                world.stop(number)
            case 3 | 4 if world.hosts[number].stopped:
                world.resume(number)
            case 5:
                world.cut = parted(apart)
            case 6:
                world.cut = mute(apart)
            case 7:
                world.cut = lambda source, target: False
        for _ in range(10):
            world.run(random.uniform(0.02, 0.25))
            assert len(play.owners()) <= 1
    tokens = [one.token for one in play.leases]
    assert tokens == sorted(set(tokens))
    return len(tokens)


def parted(some: set[int]) -> Callable[[int, int], bool]:
    return lambda source, target: (source in some) != (target in some)


def mute(some: set[int]) -> Callable[[int, int], bool]:
    return lambda source, target: source in some


def test_rivals_that_stand_at_once_again_and_again_are_no_deadlock() -> None:
    """As if all had the first rank: chance alone parts them."""
    play = Fleet(9, 3)
    for host in play.world.hosts:
        core: Leases = host.detector.core  # type: ignore[union-attr]
        core.tasks["work"].since = -10 * NS_PER_S
        core._living = lambda own=host.number: [own]  # type: ignore[misc]
    play.world.run(SILENT)
    assert play.until_owned(3.0) < 3.0


def test_hundreds_of_tasks_are_spread_and_cost_a_bounded_number_of_datagrams() -> None:
    tasks = tuple(f"t{number}" for number in range(200))
    play = fleet(9, tasks=tasks)
    play.world.run(6.0)
    held = [sum(play.owners(task) == [number] for task in tasks) for number in range(9)]
    assert sum(held) == 200 and min(held) >= 5
    before = sum(host.datagrams_out for host in play.world.hosts)
    play.world.run(10.0)
    rate = (sum(host.datagrams_out for host in play.world.hosts) - before) / 10 / 9
    assert rate / (200 / 9) < 14  # a task's owner: seven asked and seven answers in half a lease, and rivals


def test_the_voters_are_the_same_whatever_numbers_come_beyond_them() -> None:
    assert voter_numbers(7) == voter_numbers(200) == tuple(range(MAX_VOTERS))
    assert voter_numbers(3) == (0, 1, 2)


def test_a_node_that_is_no_voter_may_own_and_decides_nothing() -> None:
    play = fleet(30, tasks=TASKS)
    owners = {play.owners(task)[0] for task in TASKS}
    assert max(owners) >= MAX_VOTERS
    assert play.world.hosts[20].detector.core.acceptor is None  # type: ignore[union-attr]


def test_work_that_is_no_more_and_comes_again_has_a_greater_token() -> None:
    """Seen on processes: a server that was held back again had a prober with the token of the first time."""
    play = fleet(3, tasks=())
    # Of the node that started last: no member's floor is above its first token.
    name = next(f"t{number}" for number in range(99) if rank_nodes(task_key(f"t{number}"), range(3))[0] == 2)
    for _ in range(3):
        for host in play.world.hosts:
            host.detector.core.add(play.world.now, name)  # type: ignore[union-attr]
            host.detector.wake()  # type: ignore[union-attr]
        play.until_owned(8.0, name)
        for host in play.world.hosts:
            host.detector._execute(*host.detector.core.remove(play.world.now, name))  # type: ignore[union-attr]
        play.world.run(1.0)
    tokens = [one.token for one in play.leases]
    assert len(tokens) == 3 and tokens == sorted(set(tokens))


def test_the_effect_s_word_on_a_greater_token_lifts_the_next() -> None:
    play = fleet(3)
    (owner,) = play.owners()
    core: Leases = play.world.hosts[owner].detector.core  # type: ignore[union-attr]
    told = play.leases[-1].token + (1 << 60)
    core.floor("work", told)
    core.release(play.world.now, "work")
    play.crash(owner)
    play.start(owner)
    core = play.world.hosts[owner].detector.core  # type: ignore[union-attr]
    core.floor("work", told)
    play.alive = {owner, (owner + 1) % 3}
    play.world.run(SILENT + 6.0)
    (last,) = [one for one in play.leases if not one.end]
    assert last.node != owner or last.token > told
