"""Clusters of five and seven replicas with random faults: lost, delayed and duplicated messages, partitions,
kills, pauses, full disks, compaction and snapshots, and clients that propose again. Seeds are fixed, and
`CommitHistory` checks the invariants at every event.

The longer form is `python tests/control/test_replication_random.py [RUNS]` (100 runs of each size by
default).
"""

from __future__ import annotations

import sys
from random import Random
from typing import NamedTuple

import pytest
from cluster import MILLISECOND_NS, SECOND_NS, Cluster, InvariantViolation, change_set
from test_replication_every_order import accept_outdated_tokens, commit_by_minority, lead_without_promises

from driftstair.control.replication.leader import Leader
from driftstair.control.replication.replica import Replica, ReplicationFaultError

SEEDS = {5: range(24), 7: range(16)}  # by the number of replicas
STEPS_PER_RUN = 60


def inject_fault(cluster: Cluster, random: Random) -> None:
    """Introduces or removes one random fault. A majority of the machines stays running."""
    number = random.randrange(cluster.replica_count)
    node = cluster.nodes[number]
    stopped = [other_node.number for other_node in cluster.nodes if other_node.replica is None]
    match random.randrange(9):
        case 0 | 1:
            if node.replica is None:
                cluster.start(number)
            elif len(stopped) < cluster.replica_count // 2:
                cluster.kill(number)
        case 2:
            if node.replica is not None:  # a crash and an immediate restart
                cluster.kill(number)
                cluster.start(number)
        case 3:
            cluster.pause(number, random.randrange(8 * SECOND_NS))
        case 4:
            cluster.isolate(
                set(random.sample(range(cluster.replica_count), random.randrange(1, cluster.replica_count)))
            )
        case 5:
            cluster.cut_links = set()
        case 6:
            leaders = cluster.leaders()
            if leaders and random.random() < 0.5:
                cluster.pause(leaders[0], random.randrange(8 * SECOND_NS))
            elif leaders:
                cluster.isolate({leaders[0]})
        case 7:
            cluster.nodes[number].is_disk_full = not cluster.nodes[number].is_disk_full
        case 8:
            cluster.loss_rate = random.choice((0.0, 0.05, 0.3))


def run_random_cluster(replica_count: int, seed: int, steps: int = STEPS_PER_RUN) -> Cluster:
    """Runs a cluster with random faults and proposals. Raises InvariantViolation."""
    random = Random(seed)
    cluster = Cluster(replica_count, seed, kept_entries=random.choice((3, 8, 50)))
    cluster.run(5 * SECOND_NS)
    put_count = 0
    for _ in range(steps):
        inject_fault(cluster, random)
        for _ in range(random.randrange(8)):
            # Otherwise the same id is proposed again, possibly to another leader.
            put_count += random.random() < 0.8
            proposal = change_set(f"s{put_count}", f"t{put_count % 5}", put_count)
            for leader in cluster.leaders():  # two replicas may consider themselves the leader
                cluster.propose(leader, proposal)
        cluster.run(random.randrange(50 * MILLISECOND_NS, 4 * SECOND_NS))
    cluster.converge()
    return cluster


class Totals(NamedTuple):
    """Sums over the runs of several seeds."""

    committed: int
    leaderships: int
    snapshots: int


def run_all_seeds(replica_count: int, seeds: range) -> Totals:
    """Runs one cluster for each seed. Raises InvariantViolation."""
    committed = leaderships = snapshots = 0
    for seed in seeds:
        cluster = run_random_cluster(replica_count, 1000 * replica_count + seed)
        committed += len(cluster.history.change_sets)
        leaderships += sum(1 for id_ in cluster.history.revisions_by_id if id_.startswith("leader."))
        snapshots += cluster.installed_snapshots
        assert not cluster.regressions, seed  # no disk was replaced
        assert set(cluster.history.acknowledged_revisions) <= set(cluster.history.revisions_by_id)
    return Totals(committed, leaderships, snapshots)


@pytest.mark.parametrize("replica_count", SEEDS)
def test_no_random_order_loses_or_changes_a_committed_entry(replica_count: int) -> None:
    totals = run_all_seeds(replica_count, SEEDS[replica_count])
    print(f"{replica_count} replicas: {totals}")
    runs = len(SEEDS[replica_count])
    assert totals.committed > 20 * runs
    assert totals.leaderships > 2 * runs
    assert totals.snapshots > runs // 2


@pytest.mark.parametrize(
    ("target", "attribute", "replacement"),
    [
        (Leader, "_lead_if_promised", lead_without_promises),
        (Replica, "is_outdated", accept_outdated_tokens),
        (Leader, "_majority_revision", commit_by_minority),
    ],
)
def test_random_orders_detect_planted_defects(
    target: object, attribute: str, replacement: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(target, attribute, replacement)
    with pytest.raises((InvariantViolation, ReplicationFaultError)):
        for seed in range(40):
            run_random_cluster(5, 5000 + seed)


def test_one_restored_old_disk_at_a_time_under_a_live_leader_loses_nothing() -> None:
    """A replica's disk is replaced by an older copy while a leader and a majority with intact disks are
    running."""
    regression_count = 0
    for seed in range(20):
        random = Random(seed)
        cluster = Cluster(5, 9000 + seed, kept_entries=random.choice((3, 50)))
        cluster.wait_for_leader()
        for index in range(8):
            leader = cluster.wait_for_leader()
            old_replica = random.choice([number for number in range(5) if number != leader])
            disk_copy = cluster.copy_disk(old_replica)
            for change_index in range(random.randrange(1, 6)):
                cluster.put(change_set(f"s{index}.{change_index}", f"t{change_index}", change_index))
            cluster.run(random.randrange(2 * SECOND_NS))
            cluster.kill(old_replica)
            cluster.restore_disk(old_replica, disk_copy)
            cluster.start(old_replica)
            cluster.run(random.randrange(6 * SECOND_NS))
        cluster.converge()
        regression_count += len(cluster.regressions)
    assert regression_count > 20


def main() -> None:
    """Runs the longer form, on other seeds than the test."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    for replica_count in SEEDS:
        print(
            f"{replica_count} replicas, {runs} runs: {run_all_seeds(replica_count, range(100, 100 + runs))}",
            flush=True,
        )


if __name__ == "__main__":  # with PYTHONPATH=.:tests/control
    main()
