"""Replicas together: proposals, failover, hand-over, compaction, full and old disks."""

from __future__ import annotations

import pytest
from cluster import SECOND, Cluster, change_set

from driftstair.control.replication import leader as leader_module
from driftstair.control.replication.actions import (
    Conflict,
    Invalid,
    NoMajority,
    NotLeader,
    ProposalCommitted,
    ProposalRefused,
)
from driftstair.control.replication.messages import LeaseMessage


def test_a_leader_is_found_and_commits_on_all() -> None:
    cluster = Cluster(3, 1)
    cluster.leader()
    first = cluster.put(change_set("a", "t", 1))
    assert cluster.put(change_set("b", "t", 2)) == first + 1
    cluster.settle()
    assert [node.running.leader for node in cluster.nodes] == [cluster.leader()] * 3


def test_another_one_leads_when_the_leader_is_killed() -> None:
    cluster = Cluster(5, 2)
    first = cluster.leader()
    cluster.put(change_set("a", "t", 1))
    cluster.kill(first)
    cluster.put(change_set("b", "t", 2))
    assert cluster.leader() != first
    cluster.settle()


def test_a_leader_that_leaves_hands_the_lease_on() -> None:
    cluster = Cluster(3, 3)
    first = cluster.leader()
    cluster._do(cluster.nodes[first], cluster.nodes[first].running.leave(cluster._clock(first)))
    assert not cluster.nodes[first].running.is_leader
    cluster.kill(first)
    cluster.put(change_set("a"))
    cluster.settle()


def test_the_same_id_is_committed_once_also_across_leaders() -> None:
    cluster = Cluster(3, 4)
    first = cluster.leader()
    revision = cluster.put(change_set("a", "t", 1))
    cluster.kill(first)
    cluster.leader()
    cluster.answers.clear()
    cluster.propose(cluster.leader(), change_set("a", "t", 1))
    cluster.run(SECOND)
    assert cluster.answers == [ProposalCommitted("a", revision)]


def test_an_id_that_an_earlier_leader_appended_is_not_appended_again() -> None:
    """The leader is stopped between its majority and its answer: the client puts again, elsewhere."""
    cluster = Cluster(3, 5)
    first = cluster.leader()
    cluster.propose(first, change_set("a", "t", 1))
    cluster.run(SECOND, lambda: any(node.running.committed > 1 for node in cluster.nodes))
    cluster.kill(first)
    assert cluster.put(change_set("a", "t", 1)) == cluster.ledger.revisions["a"]
    cluster.settle()


def test_a_follower_names_the_leader() -> None:
    cluster = Cluster(3, 6)
    leader = cluster.leader()
    cluster.run(SECOND)
    other = (leader + 1) % 3
    cluster.propose(other, change_set("a"))
    cluster.run(SECOND)
    assert cluster.answers == [ProposalRefused("a", NotLeader(leader))]


def test_expected_revisions_are_judged_by_what_is_not_committed_yet_too() -> None:
    cluster = Cluster(3, 7)
    leader = cluster.leader()
    created = cluster.put(change_set("create", "t", 1, expected=0))
    for id_ in ("one", "two"):  # at the same moment
        cluster.propose(leader, change_set(id_, "t", 2, expected=created))
    cluster.answers.clear()
    cluster.run(SECOND)
    refused = [answer for answer in cluster.answers if isinstance(answer, ProposalRefused)]
    assert [(answer.id, type(answer.reason)) for answer in refused] == [("two", Conflict)]
    reason = refused[0].reason
    assert isinstance(reason, Conflict) and (reason.resource.name, reason.revision) == ("t", created + 1)
    assert "one" in cluster.ledger.acknowledged and "two" not in cluster.ledger.revisions


def test_ids_of_leaders_are_not_for_clients() -> None:
    cluster = Cluster(3, 8)
    cluster.propose(cluster.leader(), change_set("leader.7"))
    cluster.run(SECOND)
    (answer,) = cluster.answers
    assert isinstance(answer, ProposalRefused) and isinstance(answer.reason, Invalid)


def test_a_leader_cut_off_answers_that_it_has_no_majority_and_others_go_on() -> None:
    cluster = Cluster(5, 9)
    first = cluster.leader()
    cluster.isolate({first, (first + 1) % 5})
    cluster.propose(first, change_set("lost?", "t", 1))
    cluster.run(10 * SECOND)
    assert cluster.answers == [ProposalRefused("lost?", NoMajority())]
    assert not cluster.nodes[first].running.is_leader
    cluster.put(change_set("b", "t", 2))
    cluster.put(change_set("lost?", "t", 1))
    cluster.settle()


def test_a_replica_that_was_cut_off_knows_how_old_it_is() -> None:
    cluster = Cluster(5, 10)
    leader = cluster.leader()
    cluster.run(2 * SECOND)
    minority = (leader + 1) % 5
    cluster.isolate({minority})
    cut_at = cluster._clock(minority)
    cluster.run(20 * SECOND)
    heard = cluster.nodes[minority].running.last_contact_ns
    assert cut_at - 2 * SECOND < heard <= cut_at
    for number in range(5):
        if number != minority:
            assert cluster._clock(number) - cluster.nodes[number].running.last_contact_ns < 2 * SECOND


def test_a_replica_behind_the_log_gets_the_snapshot() -> None:
    cluster = Cluster(3, 11, kept_entries=4)
    leader = cluster.leader()
    behind = (leader + 1) % 3
    cluster.kill(behind)
    for index in range(30):
        cluster.put(change_set(f"a{index}", f"t{index}", index))
    assert cluster.nodes[leader].running.compacted > 4
    cluster.start(behind)
    cluster.settle()
    assert cluster.restored == 1
    assert cluster.nodes[behind].running.state.revision_of("a3") == cluster.ledger.revisions["a3"]


def test_revisions_go_on_after_compaction_and_a_restart_of_all() -> None:
    cluster = Cluster(3, 12, kept_entries=4)
    revisions = [cluster.put(change_set(f"a{index}", "t", index)) for index in range(20)]
    for number in range(3):
        cluster.kill(number)
    for number in range(3):
        cluster.start(number)
        replica = cluster.nodes[number].running
        assert replica.compacted > 0 and replica.committed >= replica.compacted
    assert cluster.put(change_set("a19", "t", 19)) == revisions[-1]
    assert cluster.put(change_set("next", "t", 99)) > revisions[-1]
    cluster.settle()


def test_with_a_full_disk_a_follower_acknowledges_nothing_and_recovers() -> None:
    cluster = Cluster(3, 13)
    leader = cluster.leader()
    cluster.run(SECOND)
    full, down = (leader + 1) % 3, (leader + 2) % 3
    cluster.nodes[full].is_full = True
    cluster.kill(down)
    cluster.propose(leader, change_set("a", "t", 1))
    cluster.run(4 * SECOND)
    assert "a" not in cluster.ledger.revisions
    assert cluster.nodes[full].running.committed == cluster.nodes[leader].running.committed == 1
    cluster.nodes[full].is_full = False
    cluster.put(change_set("a", "t", 1))
    cluster.settle()


def test_with_a_full_disk_no_replica_keeps_others_from_leading() -> None:
    cluster = Cluster(3, 14)
    leader = cluster.leader()
    cluster.run(SECOND)
    full = (leader + 1) % 3
    cluster.nodes[full].is_full = True
    cluster.kill(leader)
    cluster.run(10 * SECOND)
    cluster.start(leader)
    cluster.put(change_set("a", "t", 1))
    assert full not in cluster.leaders()
    cluster.settle()


def test_a_leader_whose_disk_is_full_for_long_hands_the_lease_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """Others commit without it, and what its own disk is to take would grow without end."""
    monkeypatch.setattr(leader_module, "DISK_LAG_ENTRIES_MAX", 20)
    cluster = Cluster(3, 17, kept_entries=1_000)
    first = cluster.leader()
    cluster.put(change_set("a"))
    cluster.nodes[first].is_full = True
    for index in range(40):
        cluster.put(change_set(f"b{index}", "t", index))
    assert cluster.leader() != first
    assert len(cluster.nodes[first].pending) < 60
    cluster.settle()


def test_an_old_disk_is_told_caught_up_and_does_not_count_until_then() -> None:
    """The hard case: the copy is older than what the replica acknowledged to this leader."""
    cluster = Cluster(3, 15)
    leader = cluster.leader()
    cluster.run(SECOND)
    old, other = (leader + 1) % 3, (leader + 2) % 3
    copy = cluster.copy_disk(old)
    cluster.isolate({other})  # so that leader and `old` are the majority
    for index in range(3):
        cluster.put(change_set(f"a{index}", "t", index))
    cluster.kill(old)
    cluster.restore_disk(old, copy)
    cluster.start(old)
    cluster.run(20 * SECOND, lambda: bool(cluster.regressed))
    assert (cluster.regressed[0].replica, cluster.regressed[0].acknowledged) == (
        old,
        cluster.ledger.revisions["a2"],
    )
    cluster.settle()


def test_a_thousand_changes_in_a_second_are_committed_in_order() -> None:
    cluster = Cluster(7, 18, kept_entries=4_096)
    leader = cluster.leader()
    cluster.run(2 * SECOND)
    for index in range(1_000):
        cluster.propose(leader, change_set(f"x{index}", f"t{index % 50}", index))
        cluster.run(SECOND // 1_000)
    cluster.run(2 * SECOND, lambda: len(cluster.ledger.acknowledged) == 1_000)
    revisions = [cluster.ledger.acknowledged[f"x{index}"] for index in range(1_000)]
    assert revisions == list(range(revisions[0], revisions[0] + 1_000))
    cluster.settle()


def test_lease_messages_that_nobody_wrote_change_nothing() -> None:
    cluster = Cluster(3, 19)
    leader = cluster.leader()
    node = cluster.nodes[(leader + 1) % 3]
    cluster.run(SECOND)
    token = node.running.token
    for item in ((), (20,), (20, -1, 5), (99, 1, 1), (31, 1, 1, 1, 1), (24, 1, 1, 1, 1 << 40, 0)):
        message = LeaseMessage(1, item)
        actions = node.running.on_message(cluster._clock(node.number), leader, message)
        assert actions == []
    assert node.running.token == token
    cluster.settle()
