"""One leadership: it collects promises from a majority, replicates the log to each follower and commits
entries.

A leadership begins with a token above all that its replica has promised, and ends at the first sign of a
higher one. It is never resumed.
"""

from __future__ import annotations

from enum import Enum

from driftstair.configuration.change_sets import ChangeSet
from driftstair.control.replication.actions import (
    Action,
    NoMajority,
    ProposalCommitted,
    ProposalRefused,
    ReplicaRegressed,
    Send,
)
from driftstair.control.replication.followers import RETRY_INTERVAL_NS, Follower, next_append
from driftstair.control.replication.messages import (
    LOG_START,
    Appended,
    LogPosition,
    Mismatch,
    Prepare,
    Promise,
    SnapshotProgress,
)
from driftstair.control.replication.proposals import LEADER_ID_PREFIX, Proposals
from driftstair.control.replication.replica import Replica
from driftstair.control.replication.snapshots import OutgoingSnapshot, split_snapshot

PREPARE_TIMEOUT_NS = 3_000_000_000  # without promises of a majority by then, another replica may try
DISK_LAG_ENTRIES_MAX = (
    8_192  # entries committed by others while the leader's disk is full; above the lag caused by bursts
)
NEVER_NS = 1 << 62


class Phase(Enum):
    """The phases of a leadership, in their order."""

    PROMISING = "promising"  # the replica's own promise is being written to its disk
    PREPARING = "preparing"  # waiting for the promises of a majority
    LEADING = "leading"
    RESIGNED = "resigned"


class Leader:
    """The leadership of replica `own_number` of `replica_count`.

    `successor` is set when the leadership ends: the replica known to have a more recent log, if any.
    """

    def __init__(
        self, replica: Replica, own_number: int, replica_count: int, token: int, now_ns: int
    ) -> None:
        self.token = token
        self.phase = Phase.PROMISING
        self.successor: int | None = None
        self.followers = {
            number: Follower(last_answer_ns=now_ns) for number in range(replica_count) if number != own_number
        }
        self.proposals = Proposals(replica.state, ())
        self._replica = replica
        self._own_number = own_number
        self._majority_size = replica_count // 2 + 1
        self._promised_by = {own_number}
        self._own_promise_sequence = 0  # sequence number of the write that stores it
        self._prepare_deadline_ns = now_ns + PREPARE_TIMEOUT_NS
        self._prepare_sent_ns = now_ns
        self._outgoing_snapshot: OutgoingSnapshot | None = None

    @property
    def is_leading(self) -> bool:
        """Whether a majority has promised and the leadership has not ended."""
        return self.phase is Phase.LEADING

    # Promises.

    def start(self) -> list[Action]:
        """Stores this replica's own promise before asking any other replica, so that no token leads twice."""
        actions = self._replica.promise(self.token)
        self._own_promise_sequence = self._replica.last_sequence
        return actions

    def on_persisted(self, now_ns: int) -> list[Action]:
        """Continues when more of its replica's writes are synced."""
        if self.phase is Phase.PROMISING and self._replica.synced_sequence >= self._own_promise_sequence:
            self.phase = Phase.PREPARING
            return self._send_prepares(now_ns) + self._lead_if_promised(now_ns)
        if self.phase is Phase.LEADING:
            return self._advance_commit(now_ns)
        return []

    def _send_prepares(self, now_ns: int) -> list[Action]:
        """Asks all replicas that have not promised yet."""
        self._prepare_sent_ns = now_ns
        not_promised = [number for number in self.followers if number not in self._promised_by]
        return [Send(number, Prepare(self.token)) for number in not_promised]

    def on_promise(self, now_ns: int, sender: int, message: Promise) -> list[Action]:
        """Counts a promise, or resigns in favour of a sender with a more recent log."""
        if self.phase is not Phase.PREPARING or message.token != self.token or sender not in self.followers:
            return []
        own_last = self._replica.log.last_position
        if message.last > own_last:
            return self.resign(sender)
        acknowledged_position = self._replica.acknowledged_position_of(sender, message.followed)
        # The sender acknowledged entries that this log lacks. With its original disk it would have
        # reported a longer log, so the promise proves nothing.
        if acknowledged_position > own_last:
            return [ReplicaRegressed(sender, acknowledged_position.revision, message.last.revision)]
        self._promised_by.add(sender)
        return self._lead_if_promised(now_ns)

    def _lead_if_promised(self, now_ns: int) -> list[Action]:
        """Begins to lead once a majority has promised."""
        if len(self._promised_by) < self._majority_size:
            return []
        self.phase = Phase.LEADING
        log = self._replica.log
        uncommitted = log.entries_after(self._replica.committed_revision, len(log.entries))
        self.proposals = Proposals(self._replica.state, uncommitted)
        for follower in self.followers.values():
            follower.next_revision = log.last_position.revision + 1
        # Entries of earlier leaders are committed by an entry of this leader's own.
        return self._append_and_replicate(now_ns, ChangeSet(f"{LEADER_ID_PREFIX}{self.token}"))

    # Proposals.

    def propose(self, now_ns: int, change_set: ChangeSet) -> list[Action]:
        """Appends a change set, or answers at once if its id is known or it is refused. Only valid while
        leading."""
        id_ = change_set.id
        revision = self.proposals.revision_of(id_)
        if revision is not None and revision <= self._replica.committed_revision:
            return [ProposalCommitted(id_, revision)]
        if revision is None:
            if self.proposals.is_full:
                return [ProposalRefused(id_, NoMajority())]
            reason = self.proposals.refusal_reason(change_set)
            if reason is not None:
                return [ProposalRefused(id_, reason)]
        self.proposals.register_waiting(id_, now_ns)
        return [] if revision is not None else self._append_and_replicate(now_ns, change_set)

    def _append_and_replicate(self, now_ns: int, change_set: ChangeSet) -> list[Action]:
        """Appends a change set to this replica's log and sends it to the followers."""
        actions = self._replica.append_as_leader(self.token, change_set)
        self.proposals.add(self._replica.log.entries[-1])
        return actions + self._replicate(now_ns)

    # Replication.

    def _replicate(self, now_ns: int) -> list[Action]:
        """Sends the next message to all followers that have answered the last one."""
        ready_numbers = [number for number, follower in self.followers.items() if not follower.awaits_answer]
        return [action for number in ready_numbers for action in self._send_next(now_ns, number)]

    def _send_next(self, now_ns: int, number: int) -> list[Action]:
        """Sends a follower the entries that come next for it, or a part of the snapshot."""
        follower, log = self.followers[number], self._replica.log
        follower.on_sent(now_ns, self._replica.committed_revision)
        if follower.next_revision <= log.base.revision:
            snapshot = self._snapshot_for(follower)
            return [
                Send(
                    number,
                    snapshot.part_message(
                        self.token, follower.last_message_number, follower.next_snapshot_part
                    ),
                )
            ]
        return [Send(number, next_append(self.token, follower, self._replica, self.acknowledged_positions()))]

    def _snapshot_for(self, follower: Follower) -> OutgoingSnapshot:
        """The snapshot to send to a follower, shared by all followers that need one.

        A new one is taken when a transfer begins and the log has been compacted past the last one.
        """
        outgoing = self._outgoing_snapshot
        if outgoing is None or (
            not follower.next_snapshot_part and outgoing.position.revision < self._replica.log.base.revision
        ):
            outgoing = self._outgoing_snapshot = split_snapshot(self._replica.take_snapshot())
        return outgoing

    def acknowledged_positions(self) -> tuple[LogPosition, ...]:
        """The position up to which each replica's disk is known to hold this log, by replica number."""
        log = self._replica.log
        positions = {number: follower.acknowledged_position for number, follower in self.followers.items()}
        positions[self._own_number] = log.position_at(self._replica.synced_revision) or LOG_START
        return tuple(positions[number] for number in sorted(positions))

    def on_appended(self, now_ns: int, sender: int, message: Appended) -> list[Action]:
        """Records how far a follower's disk reaches, commits what it completes, and sends what comes next."""
        follower = self._answering_follower(now_ns, sender, message)
        last_revision = self._replica.log.last_position.revision
        if (
            follower is None
            or message.number <= follower.regressed_message_number
            or message.revision > last_revision
        ):
            return []
        position = self._replica.log.position_at(message.revision)
        if position is not None:
            follower.acknowledged_position = max(follower.acknowledged_position, position)
        follower.next_revision = max(follower.next_revision, message.revision + 1)
        if message.number == follower.last_message_number:
            follower.on_answered()
            follower.next_snapshot_part = 0
        self._drop_unneeded_snapshot()
        return self._advance_commit(now_ns) + self._send_if_behind(now_ns, sender)

    def on_mismatch(self, now_ns: int, sender: int, message: Mismatch) -> list[Action]:
        """Moves a follower's next entry back, since its log differs before that entry."""
        follower = self._answering_follower(now_ns, sender, message)
        if follower is None or message.number != follower.last_message_number or not follower.awaits_answer:
            return []
        actions: list[Action] = []
        acknowledged_revision = follower.acknowledged_position.revision
        if follower.next_revision - 1 <= acknowledged_revision:  # the follower had acknowledged that entry
            actions.append(ReplicaRegressed(sender, acknowledged_revision, message.revision))
            follower.on_regressed()
        follower.next_revision = max(1, min(message.revision + 1, follower.next_revision - 1))
        follower.on_answered()
        return actions + self._send_next(now_ns, sender)

    def on_snapshot_progress(self, now_ns: int, sender: int, message: SnapshotProgress) -> list[Action]:
        """Sends the part of the snapshot that a follower needs next."""
        follower = self._answering_follower(now_ns, sender, message)
        if follower is None or message.number != follower.last_message_number or not follower.awaits_answer:
            return []
        is_current_snapshot = (
            self._outgoing_snapshot is not None and self._outgoing_snapshot.position == message.position
        )
        follower.next_snapshot_part = message.wanted_part if is_current_snapshot else 0
        follower.on_answered()
        return self._send_next(now_ns, sender)

    def _answering_follower(
        self, now_ns: int, sender: int, message: Appended | Mismatch | SnapshotProgress
    ) -> Follower | None:
        """The follower whose answer this is, or None if the answer does not belong to this leadership."""
        follower = self.followers.get(sender)
        if self.phase is not Phase.LEADING or message.token != self.token or follower is None:
            return None
        follower.last_answer_ns = max(follower.last_answer_ns, now_ns)
        return follower

    def _send_if_behind(self, now_ns: int, number: int) -> list[Action]:
        """Sends a message if the follower lacks entries or the latest commit revision."""
        follower = self.followers[number]
        lacks_entries = follower.next_revision <= self._replica.log.last_position.revision
        if follower.awaits_answer or not (
            lacks_entries or follower.sent_committed_revision < self._replica.committed_revision
        ):
            return []
        return self._send_next(now_ns, number)

    def _drop_unneeded_snapshot(self) -> None:
        """Releases the snapshot once no follower needs it."""
        base = self._replica.log.base.revision
        if all(follower.next_revision > base for follower in self.followers.values()):
            self._outgoing_snapshot = None

    # Commitment.

    def _advance_commit(self, now_ns: int) -> list[Action]:
        """Commits what a majority has on its disks, provided that its last entry has this token."""
        replica = self._replica
        majority_revision = self._majority_revision()
        position = replica.log.position_at(majority_revision)
        if (
            majority_revision <= replica.committed_revision
            or position is None
            or not self._may_commit_by_count(position)
        ):
            return []
        actions: list[Action] = []
        for commit_action in replica.commit_up_to(majority_revision):
            actions.append(commit_action)
        for entry in replica.log.entries_after(majority_revision - len(actions), len(actions)):
            if self.proposals.on_committed(entry.change_set.id, replica.log.last_position.revision):
                actions.append(ProposalCommitted(entry.change_set.id, entry.revision))
        if replica.committed_revision - replica.synced_revision > DISK_LAG_ENTRIES_MAX:
            return actions + self.resign(self._most_recent_follower())
        return actions + self._replicate(now_ns)

    def _most_recent_follower(self) -> int:
        """The follower that has acknowledged the most recent log."""
        return max(self.followers, key=lambda number: self.followers[number].acknowledged_position)

    def _majority_revision(self) -> int:
        """The greatest revision that a majority has on its disks."""
        revisions = [follower.acknowledged_position.revision for follower in self.followers.values()]
        revisions.append(self._replica.synced_revision)
        return sorted(revisions, reverse=True)[self._majority_size - 1]

    def _may_commit_by_count(self, position: LogPosition) -> bool:
        """Whether a majority's copies are enough to commit up to this position.

        An entry of an earlier token can still be replaced although a majority has it (Raft, figure 8).
        """
        return position.token == self.token

    # Timers.

    def tick(self, now_ns: int) -> list[Action]:
        """Resigns if promises take too long; otherwise sends again what is due and expires proposals."""
        if self.phase in (Phase.PROMISING, Phase.PREPARING) and now_ns >= self._prepare_deadline_ns:
            return self.resign(None)  # the disk is full, or no majority answers
        if self.phase is Phase.PREPARING and now_ns - self._prepare_sent_ns >= RETRY_INTERVAL_NS:
            return self._send_prepares(now_ns)
        if self.phase is not Phase.LEADING:
            return []
        actions: list[Action] = [
            ProposalRefused(id_, NoMajority()) for id_ in self.proposals.take_expired(now_ns)
        ]
        for number, follower in self.followers.items():
            if follower.next_send_ns <= now_ns:
                actions += self._send_next(now_ns, number)
        return actions

    @property
    def next_tick_ns(self) -> int:
        """When `tick` has to be called next."""
        if self.phase is Phase.RESIGNED:
            return NEVER_NS
        if self.phase is Phase.PROMISING:
            return self._prepare_deadline_ns
        if self.phase is Phase.PREPARING:
            return min(self._prepare_sent_ns + RETRY_INTERVAL_NS, self._prepare_deadline_ns)
        times_ns = [follower.next_send_ns for follower in self.followers.values()]
        if self.proposals.next_deadline_ns is not None:
            times_ns.append(self.proposals.next_deadline_ns)
        return min(times_ns, default=NEVER_NS)  # a single replica has no followers

    def majority_contact_ns(self, now_ns: int) -> int:
        """The latest time since which a majority, this replica included, has answered."""
        contact_times_ns = [follower.last_answer_ns for follower in self.followers.values()] + [now_ns]
        return sorted(contact_times_ns, reverse=True)[self._majority_size - 1]

    def resign(self, successor: int | None) -> list[Action]:
        """Ends this leadership. What it has appended may still be committed by the next leader."""
        if self.phase is Phase.LEADING:
            self._replica.record_own_acknowledged(self.token, self.acknowledged_positions())
        self.phase = Phase.RESIGNED
        self.successor = successor
        return [ProposalRefused(id_, NoMajority()) for id_ in self.proposals.take_all_waiting()]
