"""Leases in a modelled tier: which node owns a task, how soon it has an owner again, and that tokens rise
through all faults of nodes and the network."""

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

SILENCE_S = TERMS.voter_lease_ns() / NS_PER_S  # after a start, in which the voters do not answer
TASKS = tuple(f"task {number}" for number in range(12))


def started_fleet(
    count: int = 5, seed: int = 1, tasks: tuple[str, ...] = ("work",), link: Link | None = None
) -> Fleet:
    """A fleet in which tasks have had time to find an owner."""
    fleet = Fleet(count, seed, tasks, link or Link())
    fleet.world.run(SILENCE_S + 4.0)
    return fleet


def test_each_task_has_one_owner_once_the_voters_answer_and_the_owner_keeps_it() -> None:
    fleet = started_fleet(tasks=TASKS)
    owners = [fleet.owners(task) for task in TASKS]
    assert all(len(task_owners) == 1 for task_owners in owners)
    assert {task_owners[0] for task_owners in owners} > {0} or len(
        {task_owners[0] for task_owners in owners}
    ) > 1
    fleet.world.run(60.0)
    assert [fleet.owners(task) for task in TASKS] == owners
    assert len(fleet.leases) == len(TASKS)  # each lease was renewed and never lost


def test_the_first_node_in_rank_owns_a_task() -> None:
    fleet = started_fleet(tasks=TASKS)
    for task in TASKS:
        core = fleet.world.hosts[0].detector.core  # type: ignore[union-attr]
        assert fleet.owners(task) == rank_nodes(core.tasks[task].key, range(5))[:1]


@pytest.mark.parametrize("count", [3, 5, 20])
def test_a_crash_moves_only_the_tasks_of_the_crashed_node_and_soon(count: int) -> None:
    fleet = started_fleet(count, tasks=TASKS)
    before = {task: fleet.owners(task)[0] for task in TASKS}
    crashed = before[TASKS[0]]
    fleet.crash(crashed)
    gap_s = fleet.until_owned(10.0, TASKS[0])
    assert gap_s < fleet.detection_delay_s + TERMS.voter_lease_ns() / NS_PER_S + 1.0
    fleet.world.run(5.0)
    after = {task: fleet.owners(task)[0] for task in TASKS}
    assert {task for task in TASKS if after[task] != before[task]} == {
        task for task in TASKS if before[task] == crashed
    }


def test_a_planned_end_hands_tasks_over_within_a_few_round_trips() -> None:
    fleet = started_fleet(9, tasks=TASKS)
    for task in TASKS:
        owner = fleet.owners(task)[0]
        fleet.world.hosts[owner].detector.leave()  # type: ignore[union-attr]
        assert fleet.owners(task) == []
        assert fleet.until_owned(2.0, task) < 0.2  # links of 1 to 20 ms
        assert fleet.owners(task) != [owner]
        fleet.world.crash(owner)
        fleet.alive.discard(owner)
        fleet.start(owner)
        fleet.world.run(SILENCE_S + 1.0)


def test_there_is_no_owner_without_a_majority_and_one_again_with_it() -> None:
    fleet = started_fleet(5)
    (owner,) = fleet.owners()
    others = [number for number in range(5) if number != owner]
    minority = {owner, others[0]}
    fleet.world.cut = lambda source, target: (source in minority) != (target in minority)
    fleet.world.run(TERMS.lease_ns / NS_PER_S + 0.1)
    assert owner not in fleet.owners()
    fleet.until_owned(8.0)  # by a node of the majority
    fleet.world.cut = lambda source, target: {source, target} != {owner, others[0]}
    fleet.world.run(TERMS.lease_ns / NS_PER_S + 0.1)
    assert fleet.owners() == []
    fleet.world.cut = lambda source, target: False
    fleet.until_owned(8.0)


def test_an_owner_whose_messages_are_lost_in_one_direction_stops_in_time() -> None:
    fleet = started_fleet(5)
    (owner,) = fleet.owners()
    fleet.world.cut = lambda source, target: source == owner
    fleet.world.run(TERMS.lease_ns / NS_PER_S)
    assert owner not in fleet.owners()
    fleet.until_owned(8.0)


def test_a_paused_owner_has_no_token_when_it_resumes() -> None:
    fleet = started_fleet(5)
    (owner,) = fleet.owners()
    fleet.world.stop(owner)
    fleet.world.run(30.0)
    assert [number for number in fleet.owners() if number != owner]
    assert owner not in fleet.owners()  # by its own clock, though it has not noticed yet
    fleet.world.resume(owner)
    fleet.world.run(5.0)
    assert len(fleet.owners()) == 1


def test_after_a_restart_of_all_nodes_there_is_an_owner_with_a_greater_token_once_the_voters_answer() -> None:
    fleet = started_fleet(5)
    before = max(lease.token for lease in fleet.leases)
    for number in range(5):
        fleet.crash(number)
        fleet.start(number)
    assert fleet.until_owned(SILENCE_S + 3.0) > SILENCE_S - 0.1
    assert fleet.leases[-1].token > before


def test_there_is_at_most_one_owner_and_tokens_rise_through_random_faults() -> None:
    assert sum(lease_count_under_faults(seed) for seed in range(20)) >= 50


def lease_count_under_faults(seed: int) -> int:
    """Checks a fleet under random faults; returns how many leases there were."""
    random = Random(seed)
    count = random.choice((3, 5, 9))
    max_delay_ns = random.choice((20, 300)) * 1_000_000
    fleet = Fleet(count, seed, link=Link(loss=0.15, duplicate=0.1, max_delay_ns=max_delay_ns))
    world = fleet.world
    for _ in range(80):
        number = random.randrange(count)
        cut_nodes = set(random.sample(range(count), random.randrange(count)))
        match random.randrange(8):
            case 0 if world.is_running(number):
                fleet.crash(number)
            case 1 if not world.is_running(number):
                fleet.start(number)
            case 2:
                world.stop(number)
            case 3 | 4 if world.hosts[number].stopped:
                world.resume(number)
            case 5:
                world.cut = cut_between(cut_nodes)
            case 6:
                world.cut = cut_outgoing(cut_nodes)
            case 7:
                world.cut = lambda source, target: False
        for _ in range(10):
            world.run(random.uniform(0.02, 0.25))
            assert len(fleet.owners()) <= 1
    tokens = [lease.token for lease in fleet.leases]
    assert tokens == sorted(set(tokens))
    return len(tokens)


def cut_between(nodes: set[int]) -> Callable[[int, int], bool]:
    """Cuts these nodes off from the others, in both directions."""
    return lambda source, target: (source in nodes) != (target in nodes)


def cut_outgoing(nodes: set[int]) -> Callable[[int, int], bool]:
    """Drops all messages that these nodes send."""
    return lambda source, target: source in nodes


def test_rivals_that_ask_at_the_same_time_do_not_deadlock() -> None:
    """Every node considers itself first in rank, so only random pauses let one of them win."""
    fleet = Fleet(9, 3)
    for host in fleet.world.hosts:
        core: Leases = host.detector.core  # type: ignore[union-attr]
        core.tasks["work"].free_since_ns = -10 * NS_PER_S
        core._alive_nodes = lambda own_number=host.number: [own_number]  # type: ignore[misc]
    fleet.world.run(SILENCE_S)
    assert fleet.until_owned(3.0) < 3.0


def test_hundreds_of_tasks_are_spread_and_cost_a_bounded_number_of_datagrams() -> None:
    tasks = tuple(f"t{number}" for number in range(200))
    fleet = started_fleet(9, tasks=tasks)
    fleet.world.run(6.0)
    owned_tasks = [sum(fleet.owners(task) == [number] for task in tasks) for number in range(9)]
    assert sum(owned_tasks) == 200 and min(owned_tasks) >= 5
    before = sum(host.datagrams_out for host in fleet.world.hosts)
    fleet.world.run(10.0)
    rate = (sum(host.datagrams_out for host in fleet.world.hosts) - before) / 10 / 9
    # In half a lease, the owner of a task sends 7 messages and gets 7 answers; rivals add some.
    assert rate / (200 / 9) < 14


def test_the_voters_stay_the_same_when_nodes_with_higher_numbers_join() -> None:
    assert voter_numbers(7) == voter_numbers(200) == tuple(range(MAX_VOTERS))
    assert voter_numbers(3) == (0, 1, 2)


def test_a_node_that_is_no_voter_may_own_a_task_and_does_not_vote() -> None:
    fleet = started_fleet(30, tasks=TASKS)
    owners = {fleet.owners(task)[0] for task in TASKS}
    assert max(owners) >= MAX_VOTERS
    assert fleet.world.hosts[20].detector.core.acceptor is None  # type: ignore[union-attr]


def test_a_task_that_is_removed_and_added_again_has_a_greater_token() -> None:
    """Otherwise a server that is held back a second time has a prober with the token of the first time, which
    happened with real processes."""
    fleet = started_fleet(3, tasks=())
    # The first in rank is the node that started last: no voter's floor is above its first token.
    name = next(f"t{number}" for number in range(99) if rank_nodes(task_key(f"t{number}"), range(3))[0] == 2)
    for _ in range(3):
        for host in fleet.world.hosts:
            host.detector.core.add_task(fleet.world.now, name)  # type: ignore[union-attr]
            host.detector.wake()  # type: ignore[union-attr]
        fleet.until_owned(8.0, name)
        for host in fleet.world.hosts:
            host.detector._execute(*host.detector.core.remove_task(fleet.world.now, name))  # type: ignore[union-attr]
        fleet.world.run(1.0)
    tokens = [lease.token for lease in fleet.leases]
    assert len(tokens) == 3 and tokens == sorted(set(tokens))


def test_a_token_floor_reported_by_the_resource_raises_the_next_token() -> None:
    fleet = started_fleet(3)
    (owner,) = fleet.owners()
    core: Leases = fleet.world.hosts[owner].detector.core  # type: ignore[union-attr]
    reported_token = fleet.leases[-1].token + (1 << 60)
    core.raise_token_floor("work", reported_token)
    core.release(fleet.world.now, "work")
    fleet.crash(owner)
    fleet.start(owner)
    core = fleet.world.hosts[owner].detector.core  # type: ignore[union-attr]
    core.raise_token_floor("work", reported_token)
    fleet.alive = {owner, (owner + 1) % 3}
    fleet.world.run(SILENCE_S + 6.0)
    (last_lease,) = [lease for lease in fleet.leases if not lease.end]
    assert last_lease.node != owner or last_lease.token > reported_token
