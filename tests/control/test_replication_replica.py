"""One replica, message by message: behaviour that depends on a certain order of events."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import msgspec
import pytest
from cluster import SECOND_NS, change_set

from driftstair.configuration.change_sets import Change, ChangeSet
from driftstair.configuration.resources import Resource, ResourceKey, ResourceKind
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import (
    Action,
    CommitRecord,
    Conflict,
    NoMajority,
    Persist,
    ProposalRefused,
    ReplaceRecord,
    ReplicaRegressed,
    Send,
    Snapshot,
    SnapshotInstalled,
    StoredLog,
)
from driftstair.control.replication.consensus import Consensus
from driftstair.control.replication.core import ControlReplica
from driftstair.control.replication.followers import APPEND_ENTRIES_MAX, RETRY_INTERVAL_NS
from driftstair.control.replication.log import CompactedError, EntryLog
from driftstair.control.replication.messages import (
    APPEND_BYTES_MAX,
    LOG_START,
    MESSAGE_BYTES_MAX,
    Append,
    Appended,
    LogEntry,
    LogPosition,
    Mismatch,
    Prepare,
    Promise,
    Refusal,
    SnapshotPart,
    SnapshotProgress,
    encode,
)
from driftstair.control.replication.proposals import PROPOSAL_TIMEOUT_NS, UNCOMMITTED_ENTRIES_MAX, Proposals
from driftstair.control.replication.replica import (
    RESOURCES_PER_ENTRY,
    ReplicationFaultError,
)
from driftstair.control.replication.snapshots import split_snapshot
from driftstair.control.replication.stored import restore_state


def make_consensus(
    stored: StoredLog | None = None, own_number: int = 2, replica_count: int = 3, kept_entries: int = 100
) -> Consensus:
    """Replica 2 of 3, or another one, with this content on its disk."""
    stored = stored or StoredLog()
    return Consensus(own_number, replica_count, 0, stored, restore_state(stored), kept_entries)


def make_entry(revision: int, token: int, name: str = "") -> LogEntry:
    """An entry with its own change set, empty unless a tenant is named."""
    return LogEntry(revision, token, change_set(f"s{token}.{revision}", name, revision))


def run_writes(consensus: Consensus, actions: list[Action], now: int = 0) -> list[Action]:
    """Completes all Persists among the actions and those that follow; returns all other actions."""
    other_actions = []
    remaining = list(actions)
    while remaining:
        action = remaining.pop(0)
        if isinstance(action, Persist):
            remaining += consensus.on_persisted(now, action.sequence)
        else:
            other_actions.append(action)
    return other_actions


def make_leader(
    replica_count: int = 3, stored: StoredLog | None = None, kept_entries: int = 100
) -> Consensus:
    """Replica 0 of the group leads with token 10, with promises of a majority and nothing acknowledged."""
    consensus = make_consensus(stored, 0, replica_count, kept_entries)
    run_writes(consensus, consensus.lead(0, 10))
    for sender in range(1, replica_count // 2 + 1):
        run_writes(consensus, consensus.on_message(0, sender, Promise(10, LOG_START, 0)))
    assert consensus.is_leader
    return consensus


def sends_of(actions: list[Action]) -> list[Send]:
    """The messages among the actions."""
    return [action for action in actions if isinstance(action, Send)]


# Promises.


def test_a_promise_is_sent_once_it_is_on_the_disk() -> None:
    consensus = make_consensus()
    actions = consensus.on_message(0, 0, Prepare(5))
    assert [type(action) for action in actions] == [Persist]
    assert consensus.on_persisted(0, 1) == [Send(0, Promise(5, LOG_START, 0))]
    assert consensus.on_message(0, 1, Prepare(4)) == [Send(1, Refusal(4, 5))]
    # Asked again because the first answer was lost.
    assert consensus.on_message(0, 0, Prepare(5)) == [Send(0, Promise(5, LOG_START, 0))]


def test_a_candidate_stores_its_own_promise_before_it_asks_others() -> None:
    consensus = make_consensus(own_number=0)
    actions = consensus.lead(0, 5)
    assert [type(action) for action in actions] == [Persist]
    assert consensus.on_persisted(0, 1) == [Send(1, Prepare(5)), Send(2, Prepare(5))]


def test_a_token_not_above_the_promised_one_begins_no_leadership() -> None:
    consensus = make_consensus(StoredLog(promised=5), 0)
    assert consensus.lead(0, 5) == [] and consensus.leadership is None


def test_a_candidate_with_an_older_log_resigns_and_names_a_successor() -> None:
    consensus = make_consensus(StoredLog(entries=(make_entry(1, 3),)), 0)
    run_writes(consensus, consensus.lead(0, 5))
    consensus.on_message(0, 1, Promise(5, LogPosition(4, 1), 4))
    assert not consensus.is_leader
    assert consensus.leadership is not None and consensus.leadership.successor == 1


def test_a_leader_is_fenced_by_a_higher_token() -> None:
    consensus = make_leader()
    consensus.propose(0, change_set("a"))
    actions = consensus.on_message(0, 1, Prepare(11))
    assert not consensus.is_leader and ProposalRefused("a", NoMajority()) in actions


# The log.


def test_entries_and_their_duplicates_are_acknowledged_once_they_are_on_the_disk() -> None:
    consensus = make_consensus()
    message = Append(5, 1, LOG_START, (make_entry(1, 5), make_entry(2, 5)), 0)
    assert sends_of(consensus.on_message(0, 0, message)) == []
    # A duplicate while the disk is slow must not be answered early.
    assert sends_of(consensus.on_message(0, 0, message)) == []
    assert consensus.on_persisted(0, 1) == []  # the first write is the promise, the second the entries
    assert consensus.on_persisted(0, 2) == [Send(0, Appended(5, 1, 2))]


def test_uncommitted_entries_are_replaced_and_committed_ones_never() -> None:
    consensus = make_consensus(
        StoredLog(committed=1, entries=(make_entry(1, 3), make_entry(2, 3), make_entry(3, 3)))
    )
    actions = consensus.on_message(0, 0, Append(5, 1, LogPosition(3, 1), (make_entry(2, 5),), 0))
    assert sends_of(run_writes(consensus, actions)) == [Send(0, Appended(5, 1, 2))]
    assert consensus.replica.log.last_position == (5, 2)
    with pytest.raises(ReplicationFaultError, match="revision 1 is committed"):
        consensus.on_message(0, 0, Append(5, 2, LOG_START, (make_entry(1, 5),), 0))


def test_a_mismatch_reports_the_revision_up_to_which_the_logs_may_be_equal() -> None:
    consensus = make_consensus(StoredLog(committed=1, entries=(make_entry(1, 3), make_entry(2, 3))))
    replies_to_other_token = consensus.on_message(0, 0, Append(5, 1, LogPosition(4, 2), (), 0))
    assert sends_of(run_writes(consensus, replies_to_other_token)) == [Send(0, Mismatch(5, 1, 1))]
    replies_to_gap = consensus.on_message(0, 0, Append(5, 2, LogPosition(4, 9), (), 0))
    assert sends_of(run_writes(consensus, replies_to_gap)) == [Send(0, Mismatch(5, 2, 2))]


def test_a_follower_commits_only_entries_known_to_equal_the_leaders() -> None:
    """Entries after the matched revision may be another leader's."""
    consensus = make_consensus(StoredLog(entries=(make_entry(1, 3), make_entry(2, 3))))
    consensus.on_message(0, 0, Append(5, 1, LogPosition(3, 1), (), 2))
    assert consensus.replica.committed_revision == 1


def test_the_commit_revision_is_stored_with_the_next_write() -> None:
    consensus = make_consensus()
    consensus.on_message(0, 0, Append(5, 1, LOG_START, (make_entry(1, 5),), 0))
    consensus.on_message(0, 0, Append(5, 2, LogPosition(5, 1), (), 1))
    (persist,) = consensus.on_message(0, 0, Append(5, 3, LogPosition(5, 1), (make_entry(2, 5),), 1))
    assert isinstance(persist, Persist) and CommitRecord(1) in persist.records
    assert consensus.replica.persist_commit() == []


def test_compacted_entries_count_as_equal_to_the_leaders() -> None:
    consensus = make_consensus(kept_entries=1)
    for revision in range(1, 6):
        previous = consensus.replica.log.last_position
        run_writes(
            consensus,
            consensus.on_message(
                0, 0, Append(5, revision, previous, (make_entry(revision, 5, "t"),), revision)
            ),
        )
    assert consensus.replica.log.base.revision == 4
    late_append = Append(5, 9, LogPosition(5, 1), (make_entry(2, 5),), 1)
    assert sends_of(consensus.on_message(0, 0, late_append)) == [Send(0, Appended(5, 9, 4))]
    with pytest.raises(CompactedError, match="after 3"):
        consensus.replica.log.entries_after(3, 1)


def test_an_entry_log_keeps_the_entries_after_the_position_it_is_compacted_to() -> None:
    log = EntryLog(LOG_START, [make_entry(1, 3), make_entry(2, 3), make_entry(3, 4)])
    log.compact_to(LogPosition(3, 2))
    assert (log.base, log.last_position, log.position_at(2), log.position_at(1)) == (
        (3, 2),
        (4, 3),
        (3, 2),
        None,
    )
    log.compact_to(LogPosition(9, 3))  # the log holds another entry at that revision
    assert (log.base, log.entries) == ((9, 3), [])


# The leader.


def test_the_leader_counts_itself_only_once_an_entry_is_on_its_own_disk() -> None:
    consensus = make_consensus(own_number=0, replica_count=5)
    run_writes(consensus, consensus.lead(0, 10))
    consensus.on_message(0, 1, Promise(10, LOG_START, 0))
    actions = consensus.on_message(0, 2, Promise(10, LOG_START, 0))
    persist = next(action for action in actions if isinstance(action, Persist))
    for sender in (1, 2):
        append = next(send.message for send in sends_of(actions) if send.to == sender)
        assert isinstance(append, Append)
        consensus.on_message(0, sender, Appended(10, append.number, 1))
    assert consensus.replica.committed_revision == 0
    consensus.on_persisted(0, persist.sequence)
    assert consensus.replica.committed_revision == 1


def test_a_majority_of_followers_commits_while_the_leaders_disk_is_full() -> None:
    consensus = make_consensus(own_number=0)
    run_writes(consensus, consensus.lead(0, 10))
    consensus.on_message(0, 1, Promise(10, LOG_START, 0))
    for sender in (1, 2):
        consensus.on_message(0, sender, Appended(10, 1, 1))
    assert consensus.replica.committed_revision == 1 and consensus.replica.synced_revision == 0


def test_answers_that_do_not_belong_to_this_leadership_change_nothing() -> None:
    consensus = make_leader()
    for message in (
        Appended(9, 1, 1),
        Appended(10, 1, 99),
        Mismatch(10, 7, 0),
        SnapshotProgress(10, 7, LOG_START, 1),
    ):
        assert consensus.on_message(0, 1, message) == []
    assert consensus.on_message(0, 9, Appended(10, 1, 1)) == []
    assert consensus.replica.committed_revision == 0


def test_retries_to_a_silent_follower_back_off() -> None:
    consensus = make_leader()
    sent_at_ns = []
    for now_ns in range(0, 30 * SECOND_NS, RETRY_INTERVAL_NS // 5):
        sent_at_ns += [now_ns for send in sends_of(consensus.tick(now_ns)) if send.to == 1]
    gaps_ns = [later_ns - earlier_ns for earlier_ns, later_ns in pairwise(sent_at_ns)]
    assert (
        gaps_ns == sorted(gaps_ns)
        and gaps_ns[0] >= RETRY_INTERVAL_NS
        and gaps_ns[-1] == 8 * RETRY_INTERVAL_NS
    )


def test_a_batch_of_large_change_sets_fits_into_a_message() -> None:
    consensus = make_leader()
    content = msgspec.Raw(b'{"x":"' + b"y" * 16_000 + b'"}')
    large_changes = tuple(Change(ResourceKind.ROUTE, f"r{index}", content) for index in range(16))
    for index in range(4):
        consensus.propose(0, ChangeSet(f"large{index}", large_changes))
    for index in range(APPEND_ENTRIES_MAX * 2):
        consensus.propose(0, change_set(f"small{index}"))
    sizes_bytes, message_number, last_revision = [], 1, consensus.replica.log.last_position.revision
    (send,) = sends_of(consensus.on_message(0, 1, Appended(10, message_number, 1)))[:1]
    while isinstance(send.message, Append) and send.message.entries:
        sizes_bytes.append(len(encode(send.message)))
        message = send.message
        revision = message.previous.revision + len(message.entries)
        answers = sends_of(consensus.on_message(0, 1, Appended(10, message.number, revision)))
        if revision == last_revision:
            break
        (send,) = [reply for reply in answers if reply.to == 1][:1]
    assert (
        max(sizes_bytes) < MESSAGE_BYTES_MAX
        and max(sizes_bytes) > APPEND_BYTES_MAX // 2
        and len(sizes_bytes) >= 4
    )


def test_an_expired_proposal_has_an_unknown_outcome_and_may_be_proposed_again() -> None:
    consensus = make_leader()
    assert ProposalRefused("a", NoMajority()) not in consensus.propose(0, change_set("a"))
    assert ProposalRefused("a", NoMajority()) in consensus.tick(PROPOSAL_TIMEOUT_NS)
    last_position = consensus.replica.log.last_position
    assert consensus.propose(PROPOSAL_TIMEOUT_NS, change_set("a")) == []
    assert consensus.replica.log.last_position == last_position
    assert ProposalRefused("a", NoMajority()) in consensus.tick(2 * PROPOSAL_TIMEOUT_NS)


def test_a_leader_without_a_majority_takes_a_bounded_number_of_entries() -> None:
    consensus = make_leader()
    refused_count = 0
    for index in range(UNCOMMITTED_ENTRIES_MAX + 5):
        refused_count += ProposalRefused(f"a{index}", NoMajority()) in consensus.propose(
            0, change_set(f"a{index}")
        )
    assert refused_count == 6  # the leader's own first entry counts too
    assert len(consensus.replica.log.entries) == UNCOMMITTED_ENTRIES_MAX


def test_a_resource_has_revision_zero_once_its_deletion_is_appended() -> None:
    state = ConfigurationState()
    key = ResourceKey(ResourceKind.TENANT, "t")
    proposals = Proposals(state, [make_entry(1, 5, "t")])
    assert proposals.refusal_reason(change_set("x", "t", 1, expected=0)) == Conflict(key, 1)
    deletion = ChangeSet("delete", (Change(ResourceKind.TENANT, "t"),))
    proposals.add(LogEntry(2, 5, deletion))
    assert proposals.refusal_reason(change_set("x", "t", 1, expected=0)) is None
    assert proposals.refusal_reason(change_set("x", "t", 1, expected=1)) == Conflict(key, 0)


# Restored old disks.


def candidate_that_knows_acknowledged_positions(followed_token: int) -> tuple[Consensus, list[Action]]:
    """Replica 2 as a candidate that knows what replica 1 acknowledged, and gets a promise of replica 1.

    Leader 0 has reported that replica 1 has revision 3 on its disk. Replica 1 promises with a shorter log,
    last changed by the leader of `followed_token`.
    """
    consensus = make_consensus(StoredLog(entries=(make_entry(1, 3),)))
    acknowledged = (LogPosition(5, 3), LogPosition(5, 3), LOG_START)
    run_writes(consensus, consensus.on_message(0, 0, Append(5, 1, LogPosition(5, 3), (), 3, acknowledged)))
    run_writes(consensus, consensus.lead(0, 8))
    return consensus, consensus.on_message(0, 1, Promise(8, LogPosition(3, 1), followed_token))


def test_a_promise_from_an_old_disk_does_not_count_for_a_candidate_that_lacks_the_entries() -> None:
    consensus, actions = candidate_that_knows_acknowledged_positions(followed_token=3)
    assert actions == [ReplicaRegressed(1, 3, 1)] and not consensus.is_leader


def test_a_log_that_a_later_leader_truncated_does_not_count_as_an_old_disk() -> None:
    consensus, _ = candidate_that_knows_acknowledged_positions(followed_token=6)
    assert consensus.is_leader


def test_a_follower_that_lost_acknowledged_entries_is_reported_and_counts_from_the_start() -> None:
    consensus = make_leader(5)
    (first_append,) = [send.message for send in sends_of(consensus.tick(RETRY_INTERVAL_NS)) if send.to == 1]
    assert isinstance(first_append, Append)
    consensus.on_message(0, 1, Appended(10, first_append.number, 1))
    follower = consensus.leadership.followers[1] if consensus.leadership else None
    assert follower is not None and follower.acknowledged_position == (10, 1)
    consensus.propose(0, change_set("a"))
    actions = consensus.on_message(0, 1, Mismatch(10, follower.last_message_number, 0))
    assert actions[0] == ReplicaRegressed(1, 1, 0)
    assert follower.acknowledged_position == LOG_START and follower.next_revision == 1
    # Late, and sent from the disk that was replaced.
    consensus.on_message(0, 1, Appended(10, first_append.number, 1))
    assert follower.acknowledged_position == LOG_START
    consensus.on_message(0, 1, Appended(10, follower.last_message_number, 2))
    assert follower.acknowledged_position == (10, 2)


# Snapshots.


def compacted_leader(resources: int = 20) -> Consensus:
    """A leader that has committed and compacted this many resources."""
    entries = tuple(
        LogEntry(index, 3, change_set(f"s{index}", f"t{index:03}", index))
        for index in range(1, resources + 1)
    )
    consensus = make_leader(stored=StoredLog(committed=resources, entries=entries), kept_entries=2)
    run_writes(consensus, consensus.on_message(0, 1, Appended(10, 1, resources + 1)))
    assert consensus.replica.committed_revision == resources + 1
    assert consensus.replica.log.base.revision == resources - 2
    return consensus


def deliver_until_caught_up(
    leader: Consensus, follower: Consensus, loss: Random | None = None
) -> list[Action]:
    """Delivers messages until the follower has caught up; with `loss`, some are lost and sent again later."""
    follower_actions: list[Action] = []
    now_ns = 0
    for _ in range(400):
        now_ns += RETRY_INTERVAL_NS * 8
        queue = [send for send in sends_of(leader.tick(now_ns)) if send.to == 2]
        while queue:
            send = queue.pop(0)
            if loss is not None and loss.random() < 0.3:
                continue
            actions = run_writes(follower, follower.on_message(now_ns, 0, send.message))
            follower_actions += actions
            for answer in sends_of(actions):
                if loss is None or loss.random() > 0.3:
                    leader_actions = run_writes(leader, leader.on_message(now_ns, 2, answer.message), now_ns)
                    queue += [next_send for next_send in sends_of(leader_actions) if next_send.to == 2]
        assert leader.leadership is not None
        if leader.leadership.followers[2].acknowledged_position.revision == leader.replica.committed_revision:
            return follower_actions
    raise AssertionError("the follower does not catch up")


@pytest.mark.parametrize("seed", [None, 1, 2, 3])
def test_a_replica_behind_the_compacted_log_gets_the_state_in_parts(
    seed: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(split_snapshot, "__defaults__", (200,))  # bytes in a part
    leader, follower = compacted_leader(), make_consensus()
    actions = deliver_until_caught_up(leader, follower, None if seed is None else Random(seed))
    assert len([action for action in actions if isinstance(action, SnapshotInstalled)]) == 1
    assert follower.replica.state.digest == leader.replica.state.digest
    assert follower.replica.state.recent_ids() == leader.replica.state.recent_ids()
    assert follower.replica.log.base == leader.replica.log.position_at(21)
    assert leader.leadership is not None and leader.leadership._outgoing_snapshot is None


def test_a_snapshot_part_out_of_order_is_ignored_and_the_expected_part_is_named() -> None:
    follower = make_consensus()
    position = LogPosition(3, 9)
    part = SnapshotPart(5, 1, position, 1, False, ())
    assert sends_of(run_writes(follower, follower.on_message(0, 0, part))) == [
        Send(0, SnapshotProgress(5, 1, position, 0))
    ]
    first_part = SnapshotPart(5, 2, position, 0, False, ())
    assert sends_of(follower.on_message(0, 0, first_part)) == [Send(0, SnapshotProgress(5, 2, position, 1))]
    # The next leader splits the snapshot differently.
    part_of_next_leader = SnapshotPart(6, 1, position, 1, True, ())
    answers = sends_of(run_writes(follower, follower.on_message(0, 1, part_of_next_leader)))
    assert answers == [Send(1, SnapshotProgress(6, 1, position, 0))]
    assert follower.replica.committed_revision == 0


def test_a_snapshot_that_is_not_newer_changes_nothing() -> None:
    follower = make_consensus(StoredLog(committed=2, entries=(make_entry(1, 3), make_entry(2, 3))))
    part = SnapshotPart(5, 1, LogPosition(3, 2), 0, True, ())
    assert sends_of(run_writes(follower, follower.on_message(0, 0, part))) == [Send(0, Appended(5, 1, 2))]
    assert follower.replica.state.revision_of("s3.1") == 1


def test_compaction_keeps_entries_for_watchers_and_a_restart_gives_the_same_state() -> None:
    consensus = make_consensus(kept_entries=3)
    stored_logs = []
    for revision in range(1, 10):
        previous = consensus.replica.log.last_position
        for action in consensus.on_message(
            0, 0, Append(5, revision, previous, (make_entry(revision, 5, "t"),), revision)
        ):
            if isinstance(action, Persist):
                stored_logs += [
                    record.stored for record in action.records if isinstance(record, ReplaceRecord)
                ]
                consensus.on_persisted(0, action.sequence)
    assert len(stored_logs) == 2 and stored_logs[-1].base.revision == 6
    assert [kept_entry.revision for kept_entry in stored_logs[-1].entries] == [7, 8, 9]
    restarted = make_consensus(stored_logs[-1])
    assert restarted.replica.state.digest == consensus.replica.state.digest
    assert restarted.replica.state.recent_ids() == consensus.replica.state.recent_ids()


def test_a_large_state_is_compacted_after_more_entries() -> None:
    """The cost of a snapshot depends on its size: taken after only a few changes each, snapshots of a large
    state would block a busy leader."""
    resources = tuple(
        Resource(ResourceKind.TENANT, f"t{index:04}", 1, msgspec.Raw(b"{}")) for index in range(800)
    )
    snapshot = Snapshot(LogPosition(3, 1), resources)
    consensus = make_consensus(
        StoredLog(committed=1, base=LogPosition(3, 1), snapshot=snapshot), kept_entries=3
    )
    compacted_at = []
    for revision in range(2, 60):
        message = Append(
            5, revision, consensus.replica.log.last_position, (make_entry(revision, 5),), revision
        )
        for action in consensus.on_message(0, 0, message):
            if isinstance(action, Persist) and isinstance(action.records[0], ReplaceRecord):
                compacted_at.append(revision)
    assert compacted_at == [1 + 2 * 3 + 800 // RESOURCES_PER_ENTRY]


# The replica with its lease.


@pytest.mark.parametrize(("own_number", "replica_count"), [(0, 8), (3, 3), (-1, 3)])
def test_replica_numbers_outside_a_group_of_seven_are_refused(own_number: int, replica_count: int) -> None:
    with pytest.raises(ValueError, match="would do"):
        ControlReplica(own_number, replica_count, 1, 0, Random(1), StoredLog())


@pytest.mark.parametrize("generation", [0, 1 << 32, 1_760_000_000_000])
def test_a_generation_that_does_not_fit_into_a_token_is_refused(generation: int) -> None:
    """Guards against a generation in milliseconds: its tokens would fit into no message, and no replica could
    ever lead."""
    with pytest.raises(ValueError, match="Unix seconds"):
        ControlReplica(0, 3, generation, 0, Random(1), StoredLog())


def test_messages_from_unknown_senders_or_itself_are_ignored() -> None:
    replica = ControlReplica(0, 3, 1, 0, Random(1), StoredLog())
    for sender in (-1, 0, 3):
        assert replica.on_message(0, sender, Prepare(5)) == []
    assert replica.promised_token == 0


def test_watchers_get_only_committed_entries() -> None:
    stored = StoredLog(committed=2, entries=(make_entry(1, 3), make_entry(2, 3), make_entry(3, 3)))
    replica = ControlReplica(0, 3, 1, 0, Random(1), stored)
    assert [logged.revision for logged in replica.committed_entries(0, 10)] == [1, 2]
    assert [logged.revision for logged in replica.committed_entries(1, 10)] == [2]
    assert replica.committed_entries(2, 10) == [] and replica.committed_entries(0, 1)[0].revision == 1
    assert (replica.committed_revision, replica.compacted_revision, replica.is_leader, replica.leader) == (
        2,
        0,
        False,
        None,
    )
