"""Five and seven replicas in worlds by chance: lost, late and repeated messages, partitions, kills, pauses,
full disks, compaction and snapshots, clients that put again. Fixed seeds; `Ledger` judges as it happens.

The longer form is `python tests/control/test_replication_random.py [WORLDS]` (100 each by default).
"""

from __future__ import annotations

import sys
from random import Random
from typing import NamedTuple

import pytest
from cluster import MILLISECOND, SECOND, Cluster, Violation, change_set
from test_replication_every_order import leads_unread, never_outdated, one_is_enough

from driftstair.control.replication.leader import Leader
from driftstair.control.replication.replica import Replica, ReplicationFaultError

SEEDS = {5: range(24), 7: range(16)}  # by the number of replicas
STEPS = 60


def disturb(cluster: Cluster, random: Random) -> None:
    """One more thing goes wrong, or right again. A majority of machines is left running."""
    number = random.randrange(cluster.count)
    node = cluster.nodes[number]
    down = [one.number for one in cluster.nodes if one.replica is None]
    match random.randrange(9):
        case 0 | 1:
            if node.replica is None:
                cluster.start(number)
            elif len(down) < cluster.count // 2:
                cluster.kill(number)
        case 2:
            if node.replica is not None:  # a crash and a restart at once
                cluster.kill(number)
                cluster.start(number)
        case 3:
            cluster.pause(number, random.randrange(8 * SECOND))
        case 4:
            cluster.isolate(set(random.sample(range(cluster.count), random.randrange(1, cluster.count))))
        case 5:
            cluster.cut = set()
        case 6:
            leaders = cluster.leaders()
            if leaders and random.random() < 0.5:
                cluster.pause(leaders[0], random.randrange(8 * SECOND))
            elif leaders:
                cluster.isolate({leaders[0]})
        case 7:
            cluster.nodes[number].is_full = not cluster.nodes[number].is_full
        case 8:
            cluster.loss = random.choice((0.0, 0.05, 0.3))


def play(count: int, seed: int, steps: int = STEPS) -> Cluster:
    """Raises Violation."""
    random = Random(seed)
    cluster = Cluster(count, seed, kept_entries=random.choice((3, 8, 50)))
    cluster.run(5 * SECOND)
    put = 0
    for _ in range(steps):
        disturb(cluster, random)
        for _ in range(random.randrange(8)):
            put += random.random() < 0.8  # else the same id again, wherever someone leads
            one = change_set(f"s{put}", f"t{put % 5}", put)
            for leader in cluster.leaders():  # two may think that they lead
                cluster.propose(leader, one)
        cluster.run(random.randrange(50 * MILLISECOND, 4 * SECOND))
    cluster.settle()
    return cluster


class Totals(NamedTuple):
    committed: int
    leaderships: int
    snapshots: int


def play_all(count: int, seeds: range) -> Totals:
    """Raises Violation."""
    committed = leaderships = snapshots = 0
    for seed in seeds:
        cluster = play(count, 1000 * count + seed)
        committed += len(cluster.ledger.sets)
        leaderships += sum(1 for id_ in cluster.ledger.revisions if id_.startswith("leader."))
        snapshots += cluster.restored
        assert not cluster.regressed, seed  # disks were true
        assert set(cluster.ledger.acknowledged) <= set(cluster.ledger.revisions)
    return Totals(committed, leaderships, snapshots)


@pytest.mark.parametrize("count", SEEDS)
def test_no_random_order_loses_or_changes_what_is_committed(count: int) -> None:
    totals = play_all(count, SEEDS[count])
    print(f"{count} replicas: {totals}")
    worlds = len(SEEDS[count])
    assert totals.committed > 20 * worlds
    assert totals.leaderships > 2 * worlds
    assert totals.snapshots > worlds // 2


@pytest.mark.parametrize(
    ("where", "name", "defect"),
    [
        (Leader, "_lead_if_promised", leads_unread),
        (Replica, "is_outdated", never_outdated),
        (Leader, "_majority_revision", one_is_enough),
    ],
)
def test_random_orders_find_planted_defects_too(
    where: object, name: str, defect: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, defect)
    with pytest.raises((Violation, ReplicationFaultError)):
        for seed in range(40):
            play(5, 5000 + seed)


def test_one_old_disk_at_a_time_with_a_leader_that_lives_loses_nothing() -> None:
    """A replica gets an older copy of its disk while a leader with a majority of true disks is there."""
    regressed = 0
    for seed in range(20):
        random = Random(seed)
        cluster = Cluster(5, 9000 + seed, kept_entries=random.choice((3, 50)))
        cluster.leader()
        for index in range(8):
            leader = cluster.leader()
            old = random.choice([number for number in range(5) if number != leader])
            copy = cluster.copy_disk(old)
            for one in range(random.randrange(1, 6)):
                cluster.put(change_set(f"s{index}.{one}", f"t{one}", one))
            cluster.run(random.randrange(2 * SECOND))
            cluster.kill(old)
            cluster.restore_disk(old, copy)
            cluster.start(old)
            cluster.run(random.randrange(6 * SECOND))
        cluster.settle()
        regressed += len(cluster.regressed)
    assert regressed > 20


def main() -> None:
    """The longer form, on other seeds than the test's."""
    worlds = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    for count in SEEDS:
        print(f"{count} replicas, {worlds} worlds: {play_all(count, range(100, 100 + worlds))}", flush=True)


if __name__ == "__main__":  # with PYTHONPATH=.:tests/control
    main()
