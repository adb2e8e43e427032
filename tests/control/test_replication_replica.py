"""One replica, message by message: what only a certain order shows."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import msgspec
import pytest
from cluster import SECOND, change_set

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
    Restored,
    Send,
    Snapshot,
    StoredLog,
)
from driftstair.control.replication.consensus import Consensus
from driftstair.control.replication.core import ControlReplica
from driftstair.control.replication.followers import APPEND_ENTRIES_MAX, RETRY_NS
from driftstair.control.replication.log import CompactedError, EntryLog
from driftstair.control.replication.messages import (
    APPEND_BYTES_MAX,
    MESSAGE_BYTES_MAX,
    START,
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
from driftstair.control.replication.proposals import PROPOSAL_TIMEOUT_NS, UNCOMMITTED_MAX, Proposals
from driftstair.control.replication.replica import (
    RESOURCES_PER_ENTRY,
    ReplicationFaultError,
)
from driftstair.control.replication.snapshots import cut_snapshot
from driftstair.control.replication.stored import restored_state


def consensus(stored: StoredLog | None = None, own: int = 2, count: int = 3, kept: int = 100) -> Consensus:
    stored = stored or StoredLog()
    return Consensus(own, count, 0, stored, restored_state(stored), kept)


def entry(revision: int, token: int, name: str = "") -> LogEntry:
    return LogEntry(revision, token, change_set(f"s{token}.{revision}", name, revision))


def synced(one: Consensus, actions: list[Action], now: int = 0) -> list[Action]:
    """All but the Persists, with what follows once those are on the disk."""
    rest = []
    waiting = list(actions)
    while waiting:
        action = waiting.pop(0)
        if isinstance(action, Persist):
            waiting += one.on_persisted(now, action.sequence)
        else:
            rest.append(action)
    return rest


def leading(count: int = 3, stored: StoredLog | None = None, kept: int = 100) -> Consensus:
    """Replica 0 leads with token 10, promised by enough others; nobody acknowledged anything."""
    one = consensus(stored, 0, count, kept)
    synced(one, one.lead(0, 10))
    for sender in range(1, count // 2 + 1):
        synced(one, one.on_message(0, sender, Promise(10, START, 0)))
    assert one.is_leader
    return one


def sends(actions: list[Action]) -> list[Send]:
    return [action for action in actions if isinstance(action, Send)]


# Promises.


def test_a_promise_is_said_once_it_is_on_the_disk() -> None:
    one = consensus()
    actions = one.on_message(0, 0, Prepare(5))
    assert [type(action) for action in actions] == [Persist]
    assert one.on_persisted(0, 1) == [Send(0, Promise(5, START, 0))]
    assert one.on_message(0, 1, Prepare(4)) == [Send(1, Refusal(4, 5))]
    assert one.on_message(0, 0, Prepare(5)) == [Send(0, Promise(5, START, 0))]  # it was lost


def test_who_leads_promises_itself_on_the_disk_before_it_asks() -> None:
    one = consensus(own=0)
    actions = one.lead(0, 5)
    assert [type(action) for action in actions] == [Persist]
    assert one.on_persisted(0, 1) == [Send(1, Prepare(5)), Send(2, Prepare(5))]


def test_a_token_that_is_not_above_all_promised_leads_nobody() -> None:
    one = consensus(StoredLog(promised=5), 0)
    assert one.lead(0, 5) == [] and one.leadership is None


def test_a_leader_whose_log_is_behind_a_promise_names_its_heir() -> None:
    one = consensus(StoredLog(entries=(entry(1, 3),)), 0)
    synced(one, one.lead(0, 5))
    one.on_message(0, 1, Promise(5, LogPosition(4, 1), 4))
    assert not one.is_leader
    assert one.leadership is not None and one.leadership.heir == 1


def test_a_leader_is_fenced_by_a_higher_token() -> None:
    one = leading()
    one.propose(0, change_set("a"))
    actions = one.on_message(0, 1, Prepare(11))
    assert not one.is_leader and ProposalRefused("a", NoMajority()) in actions


# The log.


def test_entries_are_acknowledged_once_they_are_on_the_disk_and_repeats_too() -> None:
    one = consensus()
    message = Append(5, 1, START, (entry(1, 5), entry(2, 5)), 0)
    assert sends(one.on_message(0, 0, message)) == []
    assert sends(one.on_message(0, 0, message)) == []  # again while the disk is slow: no early answer
    assert one.on_persisted(0, 1) == []  # the promise; the entries are the second write
    assert one.on_persisted(0, 2) == [Send(0, Appended(5, 1, 2))]


def test_an_uncommitted_tail_is_replaced_and_a_committed_one_never() -> None:
    one = consensus(StoredLog(committed=1, entries=(entry(1, 3), entry(2, 3), entry(3, 3))))
    actions = one.on_message(0, 0, Append(5, 1, LogPosition(3, 1), (entry(2, 5),), 0))
    assert sends(synced(one, actions)) == [Send(0, Appended(5, 1, 2))]
    assert one.replica.log.last == (5, 2)
    with pytest.raises(ReplicationFaultError, match="revision 1 is committed"):
        one.on_message(0, 0, Append(5, 2, START, (entry(1, 5),), 0))


def test_a_log_that_differs_says_up_to_where_it_may_be_the_same() -> None:
    one = consensus(StoredLog(committed=1, entries=(entry(1, 3), entry(2, 3))))
    differs = one.on_message(0, 0, Append(5, 1, LogPosition(4, 2), (), 0))
    assert sends(synced(one, differs)) == [Send(0, Mismatch(5, 1, 1))]
    short = one.on_message(0, 0, Append(5, 2, LogPosition(4, 9), (), 0))
    assert sends(synced(one, short)) == [Send(0, Mismatch(5, 2, 2))]


def test_a_commit_goes_no_further_than_what_the_leader_showed_to_be_the_same() -> None:
    """The tail behind it may be another leader's."""
    one = consensus(StoredLog(entries=(entry(1, 3), entry(2, 3))))
    one.on_message(0, 0, Append(5, 1, LogPosition(3, 1), (), 2))
    assert one.replica.committed == 1


def test_what_is_committed_is_on_the_disk_soon_without_a_write_of_its_own() -> None:
    one = consensus()
    one.on_message(0, 0, Append(5, 1, START, (entry(1, 5),), 0))
    one.on_message(0, 0, Append(5, 2, LogPosition(5, 1), (), 1))
    (persist,) = one.on_message(0, 0, Append(5, 3, LogPosition(5, 1), (entry(2, 5),), 1))
    assert isinstance(persist, Persist) and CommitRecord(1) in persist.records
    assert one.replica.persist_commit() == []


def test_entries_that_the_log_was_cut_at_are_known_to_be_the_same() -> None:
    one = consensus(kept=1)
    for revision in range(1, 6):
        previous = one.replica.log.last
        synced(one, one.on_message(0, 0, Append(5, revision, previous, (entry(revision, 5, "t"),), revision)))
    assert one.replica.log.base.revision == 4
    late = Append(5, 9, LogPosition(5, 1), (entry(2, 5),), 1)
    assert sends(one.on_message(0, 0, late)) == [Send(0, Appended(5, 9, 4))]
    with pytest.raises(CompactedError, match="after 3"):
        one.replica.log.after(3, 1)


def test_an_entry_log_keeps_what_is_behind_the_position_it_is_cut_at() -> None:
    log = EntryLog(START, [entry(1, 3), entry(2, 3), entry(3, 4)])
    log.compact_to(LogPosition(3, 2))
    assert (log.base, log.last, log.position_at(2), log.position_at(1)) == ((3, 2), (4, 3), (3, 2), None)
    log.compact_to(LogPosition(9, 3))  # another one's entry stands there
    assert (log.base, log.entries) == ((9, 3), [])


# The leader.


def test_an_entry_counts_for_the_leader_once_it_is_on_its_own_disk() -> None:
    one = consensus(own=0, count=5)
    synced(one, one.lead(0, 10))
    one.on_message(0, 1, Promise(10, START, 0))
    actions = one.on_message(0, 2, Promise(10, START, 0))
    persist = next(action for action in actions if isinstance(action, Persist))
    for sender in (1, 2):
        number = next(send.message for send in sends(actions) if send.to == sender)
        assert isinstance(number, Append)
        one.on_message(0, sender, Appended(10, number.number, 1))
    assert one.replica.committed == 0
    one.on_persisted(0, persist.sequence)
    assert one.replica.committed == 1


def test_a_majority_of_others_is_enough_while_the_leaders_disk_is_full() -> None:
    one = consensus(own=0)
    synced(one, one.lead(0, 10))
    one.on_message(0, 1, Promise(10, START, 0))
    for sender in (1, 2):
        one.on_message(0, sender, Appended(10, 1, 1))
    assert one.replica.committed == 1 and one.replica.synced_revision == 0


def test_answers_that_say_nothing_of_this_leadership_change_nothing() -> None:
    one = leading()
    for message in (
        Appended(9, 1, 1),
        Appended(10, 1, 99),
        Mismatch(10, 7, 0),
        SnapshotProgress(10, 7, START, 1),
    ):
        assert one.on_message(0, 1, message) == []
    assert one.on_message(0, 9, Appended(10, 1, 1)) == []
    assert one.replica.committed == 0


def test_who_does_not_answer_is_asked_again_less_and_less_often() -> None:
    one = leading()
    at = []
    for now in range(0, 30 * SECOND, RETRY_NS // 5):
        at += [now for send in sends(one.tick(now)) if send.to == 1]
    gaps = [second - first for first, second in pairwise(at)]
    assert gaps == sorted(gaps) and gaps[0] >= RETRY_NS and gaps[-1] == 8 * RETRY_NS


def test_a_batch_of_great_change_sets_fits_into_a_message() -> None:
    one = leading()
    content = msgspec.Raw(b'{"x":"' + b"y" * 16_000 + b'"}')
    great = tuple(Change(ResourceKind.ROUTE, f"r{index}", content) for index in range(16))
    for index in range(4):
        one.propose(0, ChangeSet(f"great{index}", great))
    for index in range(APPEND_ENTRIES_MAX * 2):
        one.propose(0, change_set(f"small{index}"))
    sizes, number, last = [], 1, one.replica.log.last.revision
    (send,) = sends(one.on_message(0, 1, Appended(10, number, 1)))[:1]
    while isinstance(send.message, Append) and send.message.entries:
        sizes.append(len(encode(send.message)))
        message = send.message
        revision = message.previous.revision + len(message.entries)
        answers = sends(one.on_message(0, 1, Appended(10, message.number, revision)))
        if revision == last:
            break
        (send,) = [one for one in answers if one.to == 1][:1]
    assert max(sizes) < MESSAGE_BYTES_MAX and max(sizes) > APPEND_BYTES_MAX // 2 and len(sizes) >= 4


def test_proposals_that_wait_too_long_are_unknown_and_the_same_id_waits_again() -> None:
    one = leading()
    assert ProposalRefused("a", NoMajority()) not in one.propose(0, change_set("a"))
    assert ProposalRefused("a", NoMajority()) in one.tick(PROPOSAL_TIMEOUT_NS)
    last = one.replica.log.last
    assert one.propose(PROPOSAL_TIMEOUT_NS, change_set("a")) == []
    assert one.replica.log.last == last
    assert ProposalRefused("a", NoMajority()) in one.tick(2 * PROPOSAL_TIMEOUT_NS)


def test_a_leader_without_a_majority_takes_a_bounded_number_of_entries() -> None:
    one = leading()
    refused = 0
    for index in range(UNCOMMITTED_MAX + 5):
        refused += ProposalRefused(f"a{index}", NoMajority()) in one.propose(0, change_set(f"a{index}"))
    assert refused == 6  # its own first entry is one of them
    assert len(one.replica.log.entries) == UNCOMMITTED_MAX


def test_a_deleted_resource_has_revision_zero_before_it_is_committed_too() -> None:
    state = ConfigurationState()
    key = ResourceKey(ResourceKind.TENANT, "t")
    proposals = Proposals(state, [entry(1, 5, "t")])
    assert proposals.reason_against(change_set("x", "t", 1, expected=0)) == Conflict(key, 1)
    deletes = ChangeSet("delete", (Change(ResourceKind.TENANT, "t"),))
    proposals.add(LogEntry(2, 5, deletes))
    assert proposals.reason_against(change_set("x", "t", 1, expected=0)) is None
    assert proposals.reason_against(change_set("x", "t", 1, expected=1)) == Conflict(key, 0)


# Old disks.


def told_by_a_leader(followed: int) -> tuple[Consensus, list[Action]]:
    """Replica 2 heard from leader 0 that 1 has revision 3 on its disk; then it wants to lead, and 1 promises
    with a shorter log, changed last by the leader of `followed`."""
    one = consensus(StoredLog(entries=(entry(1, 3),)))
    acknowledged = (LogPosition(5, 3), LogPosition(5, 3), START)
    synced(one, one.on_message(0, 0, Append(5, 1, LogPosition(5, 3), (), 3, acknowledged)))
    synced(one, one.lead(0, 8))
    return one, one.on_message(0, 1, Promise(8, LogPosition(3, 1), followed))


def test_a_promise_on_an_old_disk_does_not_count_for_one_that_lacks_what_it_had() -> None:
    one, actions = told_by_a_leader(followed=3)
    assert actions == [ReplicaRegressed(1, 3, 1)] and not one.is_leader


def test_a_log_that_a_later_leader_cut_is_not_taken_for_an_old_disk() -> None:
    one, _ = told_by_a_leader(followed=6)
    assert one.is_leader


def test_a_follower_that_lacks_what_it_acknowledged_is_told_and_caught_up_and_counts_anew() -> None:
    one = leading(5)
    (first,) = [send.message for send in sends(one.tick(RETRY_NS)) if send.to == 1]
    assert isinstance(first, Append)
    one.on_message(0, 1, Appended(10, first.number, 1))
    follower = one.leadership.followers[1] if one.leadership else None
    assert follower is not None and follower.acknowledged == (10, 1)
    one.propose(0, change_set("a"))
    actions = one.on_message(0, 1, Mismatch(10, follower.number, 0))
    assert actions[0] == ReplicaRegressed(1, 1, 0)
    assert follower.acknowledged == START and follower.next_revision == 1
    one.on_message(0, 1, Appended(10, first.number, 1))  # late, of the disk that is gone
    assert follower.acknowledged == START
    one.on_message(0, 1, Appended(10, follower.number, 2))
    assert follower.acknowledged == (10, 2)


# Snapshots.


def compacted_leader(resources: int = 20) -> Consensus:
    entries = tuple(
        LogEntry(index, 3, change_set(f"s{index}", f"t{index:03}", index))
        for index in range(1, resources + 1)
    )
    one = leading(stored=StoredLog(committed=resources, entries=entries), kept=2)
    synced(one, one.on_message(0, 1, Appended(10, 1, resources + 1)))
    assert one.replica.committed == resources + 1
    assert one.replica.log.base.revision == resources - 2
    return one


def transfer(leader: Consensus, follower: Consensus, lose: Random | None = None) -> list[Action]:
    """Until nothing is left to say; with `lose` some messages are lost, and sent again later."""
    out: list[Action] = []
    now = 0
    for _ in range(400):
        now += RETRY_NS * 8
        waiting = [send for send in sends(leader.tick(now)) if send.to == 2]
        while waiting:
            send = waiting.pop(0)
            if lose is not None and lose.random() < 0.3:
                continue
            actions = synced(follower, follower.on_message(now, 0, send.message))
            out += actions
            for answer in sends(actions):
                if lose is None or lose.random() > 0.3:
                    sent = synced(leader, leader.on_message(now, 2, answer.message), now)
                    waiting += [one for one in sends(sent) if one.to == 2]
        assert leader.leadership is not None
        if leader.leadership.followers[2].acknowledged.revision == leader.replica.committed:
            return out
    raise AssertionError("no end")


@pytest.mark.parametrize("seed", [None, 1, 2, 3])
def test_a_replica_behind_the_log_gets_the_state_in_parts(
    seed: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(cut_snapshot, "__defaults__", (200,))  # bytes in a part
    leader, follower = compacted_leader(), consensus()
    actions = transfer(leader, follower, None if seed is None else Random(seed))
    assert len([action for action in actions if isinstance(action, Restored)]) == 1
    assert follower.replica.state.digest == leader.replica.state.digest
    assert follower.replica.state.recent_ids() == leader.replica.state.recent_ids()
    assert follower.replica.log.base == leader.replica.log.position_at(21)
    assert leader.leadership is not None and leader.leadership._outgoing is None


def test_a_part_out_of_order_is_not_taken_and_the_wanted_one_is_named() -> None:
    follower = consensus()
    position = LogPosition(3, 9)
    part = SnapshotPart(5, 1, position, 1, False, ())
    assert sends(synced(follower, follower.on_message(0, 0, part))) == [
        Send(0, SnapshotProgress(5, 1, position, 0))
    ]
    first = SnapshotPart(5, 2, position, 0, False, ())
    assert sends(follower.on_message(0, 0, first)) == [Send(0, SnapshotProgress(5, 2, position, 1))]
    other = SnapshotPart(6, 1, position, 1, True, ())  # the next leader cuts it differently
    answers = sends(synced(follower, follower.on_message(0, 1, other)))
    assert answers == [Send(1, SnapshotProgress(6, 1, position, 0))]
    assert follower.replica.committed == 0


def test_a_snapshot_that_is_not_newer_changes_nothing() -> None:
    follower = consensus(StoredLog(committed=2, entries=(entry(1, 3), entry(2, 3))))
    part = SnapshotPart(5, 1, LogPosition(3, 2), 0, True, ())
    assert sends(synced(follower, follower.on_message(0, 0, part))) == [Send(0, Appended(5, 1, 2))]
    assert follower.replica.state.revision_of("s3.1") == 1


def test_compaction_keeps_entries_for_watchers_and_a_restart_gives_the_same_state() -> None:
    one = consensus(kept=3)
    stored = []
    for revision in range(1, 10):
        previous = one.replica.log.last
        for action in one.on_message(
            0, 0, Append(5, revision, previous, (entry(revision, 5, "t"),), revision)
        ):
            if isinstance(action, Persist):
                stored += [one.stored for one in action.records if isinstance(one, ReplaceRecord)]
                one.on_persisted(0, action.sequence)
    assert len(stored) == 2 and stored[-1].base.revision == 6
    assert [one.revision for one in stored[-1].entries] == [7, 8, 9]
    again = consensus(stored[-1])
    assert again.replica.state.digest == one.replica.state.digest
    assert again.replica.state.recent_ids() == one.replica.state.recent_ids()


def test_a_great_state_is_compacted_after_more_entries() -> None:
    """A snapshot costs by what it holds: beside a handful of changes each it would stop a busy leader."""
    many = tuple(Resource(ResourceKind.TENANT, f"t{index:04}", 1, msgspec.Raw(b"{}")) for index in range(800))
    snapshot = Snapshot(LogPosition(3, 1), many)
    one = consensus(StoredLog(committed=1, base=LogPosition(3, 1), snapshot=snapshot), kept=3)
    replaced = []
    for revision in range(2, 60):
        message = Append(5, revision, one.replica.log.last, (entry(revision, 5),), revision)
        for action in one.on_message(0, 0, message):
            if isinstance(action, Persist) and isinstance(action.records[0], ReplaceRecord):
                replaced.append(revision)
    assert replaced == [1 + 2 * 3 + 800 // RESOURCES_PER_ENTRY]


# The whole replica.


@pytest.mark.parametrize(("own", "count"), [(0, 8), (3, 3), (-1, 3)])
def test_a_replica_is_one_of_at_most_seven(own: int, count: int) -> None:
    with pytest.raises(ValueError, match="would do"):
        ControlReplica(own, count, 1, 0, Random(1), StoredLog())


@pytest.mark.parametrize("generation", [0, 1 << 32, 1_760_000_000_000])
def test_a_generation_that_tokens_have_no_room_for_is_refused(generation: int) -> None:
    """Milliseconds would give tokens that no message carries, and nobody would ever lead."""
    with pytest.raises(ValueError, match="Unix seconds"):
        ControlReplica(0, 3, generation, 0, Random(1), StoredLog())


def test_messages_of_nobody_and_of_itself_are_passed_over() -> None:
    one = ControlReplica(0, 3, 1, 0, Random(1), StoredLog())
    for sender in (-1, 0, 3):
        assert one.on_message(0, sender, Prepare(5)) == []
    assert one.token == 0


def test_watchers_get_committed_entries_alone() -> None:
    stored = StoredLog(committed=2, entries=(entry(1, 3), entry(2, 3), entry(3, 3)))
    one = ControlReplica(0, 3, 1, 0, Random(1), stored)
    assert [logged.revision for logged in one.entries(0, 10)] == [1, 2]
    assert [logged.revision for logged in one.entries(1, 10)] == [2]
    assert one.entries(2, 10) == [] and one.entries(0, 1)[0].revision == 1
    assert (one.committed, one.compacted, one.is_leader, one.leader) == (2, 0, False, None)
