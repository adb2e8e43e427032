"""Several replicas together: proposals, fail-over, hand-over, compaction, full disks and restored old
disks."""

from __future__ import annotations

import pytest
from cluster import SECOND_NS, Cluster, change_set

from driftstair.control.replication import leader as leader_module
from driftstair.control.replication.actions import (
    Conflict,
    InvalidChangeSet,
    NoMajority,
    NotLeader,
    ProposalCommitted,
    ProposalRefused,
)
from driftstair.control.replication.messages import LeaseMessage


def test_a_leader_is_elected_and_commits_on_all_replicas() -> None:
    cluster = Cluster(3, 1)
    cluster.wait_for_leader()
    first_revision = cluster.put(change_set("a", "t", 1))
    assert cluster.put(change_set("b", "t", 2)) == first_revision + 1
    cluster.converge()
    assert [node.running_replica.leader for node in cluster.nodes] == [cluster.wait_for_leader()] * 3


def test_another_replica_leads_after_the_leader_is_killed() -> None:
    cluster = Cluster(5, 2)
    first_leader = cluster.wait_for_leader()
    cluster.put(change_set("a", "t", 1))
    cluster.kill(first_leader)
    cluster.put(change_set("b", "t", 2))
    assert cluster.wait_for_leader() != first_leader
    cluster.converge()


def test_a_leaving_leader_hands_the_lease_over() -> None:
    cluster = Cluster(3, 3)
    first_leader = cluster.wait_for_leader()
    cluster._execute(
        cluster.nodes[first_leader],
        cluster.nodes[first_leader].running_replica.leave(cluster._clock_ns(first_leader)),
    )
    assert not cluster.nodes[first_leader].running_replica.is_leader
    cluster.kill(first_leader)
    cluster.put(change_set("a"))
    cluster.converge()


def test_an_id_is_committed_once_even_across_leaders() -> None:
    cluster = Cluster(3, 4)
    first_leader = cluster.wait_for_leader()
    revision = cluster.put(change_set("a", "t", 1))
    cluster.kill(first_leader)
    cluster.wait_for_leader()
    cluster.answers.clear()
    cluster.propose(cluster.wait_for_leader(), change_set("a", "t", 1))
    cluster.run(SECOND_NS)
    assert cluster.answers == [ProposalCommitted("a", revision)]


def test_an_id_that_an_earlier_leader_appended_is_not_appended_again() -> None:
    """The leader stops after a majority has the entry but before it answers, and the client proposes the set
    again elsewhere."""
    cluster = Cluster(3, 5)
    first_leader = cluster.wait_for_leader()
    cluster.propose(first_leader, change_set("a", "t", 1))
    cluster.run(SECOND_NS, lambda: any(node.running_replica.committed_revision > 1 for node in cluster.nodes))
    cluster.kill(first_leader)
    assert cluster.put(change_set("a", "t", 1)) == cluster.history.revisions_by_id["a"]
    cluster.converge()


def test_a_follower_refuses_a_proposal_and_names_the_leader() -> None:
    cluster = Cluster(3, 6)
    leader = cluster.wait_for_leader()
    cluster.run(SECOND_NS)
    follower = (leader + 1) % 3
    cluster.propose(follower, change_set("a"))
    cluster.run(SECOND_NS)
    assert cluster.answers == [ProposalRefused("a", NotLeader(leader))]


def test_expected_revisions_are_checked_against_uncommitted_changes_too() -> None:
    cluster = Cluster(3, 7)
    leader = cluster.wait_for_leader()
    created_revision = cluster.put(change_set("create", "t", 1, expected=0))
    for id_ in ("one", "two"):  # proposed at the same moment
        cluster.propose(leader, change_set(id_, "t", 2, expected=created_revision))
    cluster.answers.clear()
    cluster.run(SECOND_NS)
    refused = [answer for answer in cluster.answers if isinstance(answer, ProposalRefused)]
    assert [(answer.id, type(answer.reason)) for answer in refused] == [("two", Conflict)]
    reason = refused[0].reason
    assert isinstance(reason, Conflict) and (reason.resource.name, reason.revision) == (
        "t",
        created_revision + 1,
    )
    assert "one" in cluster.history.acknowledged_revisions and "two" not in cluster.history.revisions_by_id


def test_client_ids_with_the_prefix_of_leaders_are_refused() -> None:
    cluster = Cluster(3, 8)
    cluster.propose(cluster.wait_for_leader(), change_set("leader.7"))
    cluster.run(SECOND_NS)
    (answer,) = cluster.answers
    assert isinstance(answer, ProposalRefused) and isinstance(answer.reason, InvalidChangeSet)


def test_an_isolated_leader_answers_no_majority_and_the_others_continue() -> None:
    cluster = Cluster(5, 9)
    first_leader = cluster.wait_for_leader()
    cluster.isolate({first_leader, (first_leader + 1) % 5})
    cluster.propose(first_leader, change_set("lost?", "t", 1))
    cluster.run(10 * SECOND_NS)
    assert cluster.answers == [ProposalRefused("lost?", NoMajority())]
    assert not cluster.nodes[first_leader].running_replica.is_leader
    cluster.put(change_set("b", "t", 2))
    cluster.put(change_set("lost?", "t", 1))
    cluster.converge()


def test_an_isolated_replica_knows_when_it_last_had_contact_with_a_majority() -> None:
    cluster = Cluster(5, 10)
    leader = cluster.wait_for_leader()
    cluster.run(2 * SECOND_NS)
    isolated = (leader + 1) % 5
    cluster.isolate({isolated})
    cut_at_ns = cluster._clock_ns(isolated)
    cluster.run(20 * SECOND_NS)
    last_contact_ns = cluster.nodes[isolated].running_replica.last_contact_ns
    assert cut_at_ns - 2 * SECOND_NS < last_contact_ns <= cut_at_ns
    for number in range(5):
        if number != isolated:
            assert (
                cluster._clock_ns(number) - cluster.nodes[number].running_replica.last_contact_ns
                < 2 * SECOND_NS
            )


def test_a_replica_behind_the_compacted_log_gets_the_snapshot() -> None:
    cluster = Cluster(3, 11, kept_entries=4)
    leader = cluster.wait_for_leader()
    behind = (leader + 1) % 3
    cluster.kill(behind)
    for index in range(30):
        cluster.put(change_set(f"a{index}", f"t{index}", index))
    assert cluster.nodes[leader].running_replica.compacted_revision > 4
    cluster.start(behind)
    cluster.converge()
    assert cluster.installed_snapshots == 1
    assert (
        cluster.nodes[behind].running_replica.state.revision_of("a3") == cluster.history.revisions_by_id["a3"]
    )


def test_revisions_continue_after_compaction_and_a_restart_of_all_replicas() -> None:
    cluster = Cluster(3, 12, kept_entries=4)
    revisions = [cluster.put(change_set(f"a{index}", "t", index)) for index in range(20)]
    for number in range(3):
        cluster.kill(number)
    for number in range(3):
        cluster.start(number)
        replica = cluster.nodes[number].running_replica
        assert replica.compacted_revision > 0 and replica.committed_revision >= replica.compacted_revision
    assert cluster.put(change_set("a19", "t", 19)) == revisions[-1]
    assert cluster.put(change_set("next", "t", 99)) > revisions[-1]
    cluster.converge()


def test_a_follower_with_a_full_disk_acknowledges_nothing_and_recovers() -> None:
    cluster = Cluster(3, 13)
    leader = cluster.wait_for_leader()
    cluster.run(SECOND_NS)
    full_replica, stopped_replica = (leader + 1) % 3, (leader + 2) % 3
    cluster.nodes[full_replica].is_disk_full = True
    cluster.kill(stopped_replica)
    cluster.propose(leader, change_set("a", "t", 1))
    cluster.run(4 * SECOND_NS)
    assert "a" not in cluster.history.revisions_by_id
    assert (
        cluster.nodes[full_replica].running_replica.committed_revision
        == cluster.nodes[leader].running_replica.committed_revision
        == 1
    )
    cluster.nodes[full_replica].is_disk_full = False
    cluster.put(change_set("a", "t", 1))
    cluster.converge()


def test_a_replica_with_a_full_disk_does_not_block_elections() -> None:
    cluster = Cluster(3, 14)
    leader = cluster.wait_for_leader()
    cluster.run(SECOND_NS)
    full_replica = (leader + 1) % 3
    cluster.nodes[full_replica].is_disk_full = True
    cluster.kill(leader)
    cluster.run(10 * SECOND_NS)
    cluster.start(leader)
    cluster.put(change_set("a", "t", 1))
    assert full_replica not in cluster.leaders()
    cluster.converge()


def test_a_leader_whose_disk_stays_full_hands_the_lease_over(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against unbounded pending writes: the other replicas commit without the leader's disk, so its
    writes would accumulate for as long as the disk is full."""
    monkeypatch.setattr(leader_module, "DISK_LAG_ENTRIES_MAX", 20)
    cluster = Cluster(3, 17, kept_entries=1_000)
    first_leader = cluster.wait_for_leader()
    cluster.put(change_set("a"))
    cluster.nodes[first_leader].is_disk_full = True
    for index in range(40):
        cluster.put(change_set(f"b{index}", "t", index))
    assert cluster.wait_for_leader() != first_leader
    assert len(cluster.nodes[first_leader].pending_writes) < 60
    cluster.converge()


def test_an_old_disk_is_reported_and_counts_only_once_it_is_up_to_date() -> None:
    """Guards against losing entries when the restored copy is older than what its replica acknowledged to the
    current leader."""
    cluster = Cluster(3, 15)
    leader = cluster.wait_for_leader()
    cluster.run(SECOND_NS)
    old_replica, other_replica = (leader + 1) % 3, (leader + 2) % 3
    disk_copy = cluster.copy_disk(old_replica)
    cluster.isolate({other_replica})  # so that the leader and `old_replica` form the majority
    for index in range(3):
        cluster.put(change_set(f"a{index}", "t", index))
    cluster.kill(old_replica)
    cluster.restore_disk(old_replica, disk_copy)
    cluster.start(old_replica)
    cluster.run(20 * SECOND_NS, lambda: bool(cluster.regressions))
    assert (cluster.regressions[0].replica, cluster.regressions[0].acknowledged_revision) == (
        old_replica,
        cluster.history.revisions_by_id["a2"],
    )
    cluster.converge()


def test_a_thousand_changes_in_a_second_are_committed_in_order() -> None:
    cluster = Cluster(7, 18, kept_entries=4_096)
    leader = cluster.wait_for_leader()
    cluster.run(2 * SECOND_NS)
    for index in range(1_000):
        cluster.propose(leader, change_set(f"x{index}", f"t{index % 50}", index))
        cluster.run(SECOND_NS // 1_000)
    cluster.run(2 * SECOND_NS, lambda: len(cluster.history.acknowledged_revisions) == 1_000)
    revisions = [cluster.history.acknowledged_revisions[f"x{index}"] for index in range(1_000)]
    assert revisions == list(range(revisions[0], revisions[0] + 1_000))
    cluster.converge()


def test_malformed_lease_messages_change_nothing() -> None:
    cluster = Cluster(3, 19)
    leader = cluster.wait_for_leader()
    node = cluster.nodes[(leader + 1) % 3]
    cluster.run(SECOND_NS)
    token = node.running_replica.promised_token
    for item in ((), (20,), (20, -1, 5), (99, 1, 1), (31, 1, 1, 1, 1), (24, 1, 1, 1, 1 << 40, 0)):
        message = LeaseMessage(1, item)
        actions = node.running_replica.on_message(cluster._clock_ns(node.number), leader, message)
        assert actions == []
    assert node.running_replica.promised_token == token
    cluster.converge()
