"""One leadership: promises from a majority first, then the log to each follower, and what is committed.

A leadership begins with a token above all that its replica promised, and ends at the first sign of a higher
one. It is never resumed.
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
from driftstair.control.replication.followers import HEARTBEAT_NS, RETRY_NS, Follower, next_append
from driftstair.control.replication.messages import (
    START,
    Appended,
    LogPosition,
    Mismatch,
    Prepare,
    Promise,
    SnapshotProgress,
)
from driftstair.control.replication.proposals import LEADER_ID_PREFIX, Proposals
from driftstair.control.replication.replica import Replica
from driftstair.control.replication.snapshots import OutgoingSnapshot, cut_snapshot

PREPARE_TIMEOUT_NS = 3_000_000_000  # without promises of a majority another one may try
DISK_LAG_ENTRIES_MAX = (
    8_192  # committed by others while its own disk is full; above what a burst makes of lag
)
NEVER_NS = 1 << 62


class Phase(Enum):
    PROMISING = "promising"  # its own promise is on the way to the disk
    PREPARING = "preparing"  # it asks for promises
    LEADING = "leading"
    RESIGNED = "resigned"


class Leader:
    """Of replica `own` of `count`. `heir`: after its end, whoever has the more recent log."""

    def __init__(self, replica: Replica, own: int, count: int, token: int, now_ns: int) -> None:
        self.token = token
        self.phase = Phase.PROMISING
        self.heir: int | None = None
        self.followers = {number: Follower(heard_ns=now_ns) for number in range(count) if number != own}
        self.proposals = Proposals(replica.state, ())
        self._replica = replica
        self._own = own
        self._majority = count // 2 + 1
        self._promises = {own}
        self._own_promise = 0  # the Persist that has it
        self._prepare_until_ns = now_ns + PREPARE_TIMEOUT_NS
        self._prepare_sent_ns = now_ns
        self._outgoing: OutgoingSnapshot | None = None

    @property
    def is_leading(self) -> bool:
        return self.phase is Phase.LEADING

    # Promises.

    def start(self) -> list[Action]:
        """Its own promise is on the disk before anyone else is asked: no token leads twice."""
        actions = self._replica.promise(self.token)
        self._own_promise = self._replica.sequence
        return actions

    def on_persisted(self, now_ns: int) -> list[Action]:
        """More of its replica's is on the disk."""
        if self.phase is Phase.PROMISING and self._replica.synced >= self._own_promise:
            self.phase = Phase.PREPARING
            return self._prepare(now_ns) + self._lead_if_promised(now_ns)
        if self.phase is Phase.LEADING:
            return self._advance(now_ns)
        return []

    def _prepare(self, now_ns: int) -> list[Action]:
        self._prepare_sent_ns = now_ns
        missing = [number for number in self.followers if number not in self._promises]
        return [Send(number, Prepare(self.token)) for number in missing]

    def on_promise(self, now_ns: int, sender: int, message: Promise) -> list[Action]:
        if self.phase is not Phase.PREPARING or message.token != self.token or sender not in self.followers:
            return []
        own_last = self._replica.log.last
        if message.last > own_last:
            return self.resign(sender)
        owed = self._replica.owed_position(sender, message.followed)
        if owed > own_last:  # with its old disk it would have known of more: such a promise says nothing
            return [ReplicaRegressed(sender, owed.revision, message.last.revision)]
        self._promises.add(sender)
        return self._lead_if_promised(now_ns)

    def _lead_if_promised(self, now_ns: int) -> list[Action]:
        if len(self._promises) < self._majority:
            return []
        self.phase = Phase.LEADING
        log = self._replica.log
        uncommitted = log.after(self._replica.committed, len(log.entries))
        self.proposals = Proposals(self._replica.state, uncommitted)
        for follower in self.followers.values():
            follower.next_revision = log.last.revision + 1
        # What earlier leaders appended is committed by an entry of this one's own.
        return self._append(now_ns, ChangeSet(f"{LEADER_ID_PREFIX}{self.token}"))

    # Proposals.

    def propose(self, now_ns: int, change_set: ChangeSet) -> list[Action]:
        """Only while it leads."""
        id_ = change_set.id
        revision = self.proposals.revision_of(id_)
        if revision is not None and revision <= self._replica.committed:
            return [ProposalCommitted(id_, revision)]
        if revision is None:
            if self.proposals.is_full:
                return [ProposalRefused(id_, NoMajority())]
            reason = self.proposals.reason_against(change_set)
            if reason is not None:
                return [ProposalRefused(id_, reason)]
        self.proposals.wait_for(id_, now_ns)
        return [] if revision is not None else self._append(now_ns, change_set)

    def _append(self, now_ns: int, change_set: ChangeSet) -> list[Action]:
        actions = self._replica.append_own(self.token, change_set)
        self.proposals.add(self._replica.log.entries[-1])
        return actions + self._replicate(now_ns)

    # Replication.

    def _replicate(self, now_ns: int) -> list[Action]:
        """To all whose last message was answered."""
        waiting = [number for number, follower in self.followers.items() if not follower.is_waiting]
        return [action for number in waiting for action in self._send_next(now_ns, number)]

    def _send_next(self, now_ns: int, number: int) -> list[Action]:
        follower, log = self.followers[number], self._replica.log
        follower.on_sent(now_ns, self._replica.committed)
        if follower.next_revision <= log.base.revision:
            snapshot = self._snapshot_for(follower)
            return [Send(number, snapshot.message(self.token, follower.number, follower.part))]
        return [Send(number, next_append(self.token, follower, self._replica, self.acknowledged()))]

    def _snapshot_for(self, follower: Follower) -> OutgoingSnapshot:
        """One for all that want one; a transfer that begins takes a new one if the log has moved on."""
        outgoing = self._outgoing
        if outgoing is None or (
            not follower.part and outgoing.position.revision < self._replica.log.base.revision
        ):
            outgoing = self._outgoing = cut_snapshot(self._replica.take_snapshot())
        return outgoing

    def acknowledged(self) -> tuple[LogPosition, ...]:
        """Up to where each replica's disk is known, by number."""
        log = self._replica.log
        positions = {number: follower.acknowledged for number, follower in self.followers.items()}
        positions[self._own] = log.position_at(self._replica.synced_revision) or START
        return tuple(positions[number] for number in sorted(positions))

    def on_appended(self, now_ns: int, sender: int, message: Appended) -> list[Action]:
        follower = self._answering(now_ns, sender, message)
        last = self._replica.log.last.revision
        if follower is None or message.number <= follower.regressed_number or message.revision > last:
            return []
        position = self._replica.log.position_at(message.revision)
        if position is not None:
            follower.acknowledged = max(follower.acknowledged, position)
        follower.next_revision = max(follower.next_revision, message.revision + 1)
        if message.number == follower.number:
            follower.on_answered()
            follower.part = 0
        self._drop_snapshot()
        return self._advance(now_ns) + self._send_more(now_ns, sender)

    def on_mismatch(self, now_ns: int, sender: int, message: Mismatch) -> list[Action]:
        follower = self._answering(now_ns, sender, message)
        if follower is None or message.number != follower.number or not follower.is_waiting:
            return []
        actions: list[Action] = []
        acknowledged = follower.acknowledged.revision
        if follower.next_revision - 1 <= acknowledged:  # it had that entry on its disk
            actions.append(ReplicaRegressed(sender, acknowledged, message.revision))
            follower.on_regressed()
        follower.next_revision = max(1, min(message.revision + 1, follower.next_revision - 1))
        follower.on_answered()
        return actions + self._send_next(now_ns, sender)

    def on_snapshot_progress(self, now_ns: int, sender: int, message: SnapshotProgress) -> list[Action]:
        follower = self._answering(now_ns, sender, message)
        if follower is None or message.number != follower.number or not follower.is_waiting:
            return []
        same = self._outgoing is not None and self._outgoing.position == message.position
        follower.part = message.wanted_part if same else 0
        follower.on_answered()
        return self._send_next(now_ns, sender)

    def _answering(
        self, now_ns: int, sender: int, message: Appended | Mismatch | SnapshotProgress
    ) -> Follower | None:
        """Whose answer to this leadership it is."""
        follower = self.followers.get(sender)
        if self.phase is not Phase.LEADING or message.token != self.token or follower is None:
            return None
        follower.heard_ns = max(follower.heard_ns, now_ns)
        return follower

    def _send_more(self, now_ns: int, number: int) -> list[Action]:
        """What it doesn't know yet: entries, or that some are committed."""
        follower = self.followers[number]
        behind = follower.next_revision <= self._replica.log.last.revision
        if follower.is_waiting or not (behind or follower.told_committed < self._replica.committed):
            return []
        return self._send_next(now_ns, number)

    def _drop_snapshot(self) -> None:
        base = self._replica.log.base.revision
        if all(follower.next_revision > base for follower in self.followers.values()):
            self._outgoing = None

    # Commitment.

    def _advance(self, now_ns: int) -> list[Action]:
        """Commits what a majority has on the disk, once an entry of this token is among it."""
        replica = self._replica
        revision = self._majority_revision()
        position = replica.log.position_at(revision)
        if revision <= replica.committed or position is None or not self._may_count(position):
            return []
        actions: list[Action] = []
        for committed in replica.commit_to(revision):
            actions.append(committed)
        for entry in replica.log.after(revision - len(actions), len(actions)):
            if self.proposals.on_committed(entry.change_set.id, replica.log.last.revision):
                actions.append(ProposalCommitted(entry.change_set.id, entry.revision))
        if replica.committed - replica.synced_revision > DISK_LAG_ENTRIES_MAX:
            return actions + self.resign(self._most_recent_follower())
        return actions + self._replicate(now_ns)

    def _most_recent_follower(self) -> int:
        return max(self.followers, key=lambda number: self.followers[number].acknowledged)

    def _majority_revision(self) -> int:
        """The greatest revision that a majority has on the disk."""
        revisions = [follower.acknowledged.revision for follower in self.followers.values()]
        revisions.append(self._replica.synced_revision)
        return sorted(revisions, reverse=True)[self._majority - 1]

    def _may_count(self, position: LogPosition) -> bool:
        """An entry of an earlier token can still be replaced though a majority has it (Raft, figure 8)."""
        return position.token == self.token

    # Time.

    def tick(self, now_ns: int) -> list[Action]:
        if self.phase in (Phase.PROMISING, Phase.PREPARING) and now_ns >= self._prepare_until_ns:
            return self.resign(None)  # its disk is full, or nobody answers
        if self.phase is Phase.PREPARING and now_ns - self._prepare_sent_ns >= RETRY_NS:
            return self._prepare(now_ns)
        if self.phase is not Phase.LEADING:
            return []
        actions: list[Action] = [ProposalRefused(id_, NoMajority()) for id_ in self.proposals.expired(now_ns)]
        for number, follower in self.followers.items():
            if follower.due_ns <= now_ns:
                actions += self._send_next(now_ns, number)
        return actions

    @property
    def due_ns(self) -> int:
        """When `tick` wants to be called."""
        if self.phase is Phase.RESIGNED:
            return NEVER_NS
        if self.phase is Phase.PROMISING:
            return self._prepare_until_ns
        if self.phase is Phase.PREPARING:
            return min(self._prepare_sent_ns + RETRY_NS, self._prepare_until_ns)
        times = [follower.due_ns for follower in self.followers.values()]
        if self.proposals.next_deadline_ns is not None:
            times.append(self.proposals.next_deadline_ns)
        return min(times, default=self._prepare_sent_ns + HEARTBEAT_NS)

    def majority_heard_ns(self, now_ns: int) -> int:
        """When a majority had last answered, this replica among it."""
        heard = [follower.heard_ns for follower in self.followers.values()] + [now_ns]
        return sorted(heard, reverse=True)[self._majority - 1]

    def resign(self, heir: int | None) -> list[Action]:
        """Ends this leadership; what it proposed may still be committed by the next."""
        if self.phase is Phase.LEADING:
            self._replica.note_own_view(self.token, self.acknowledged())
        self.phase = Phase.RESIGNED
        self.heir = heir
        return [ProposalRefused(id_, NoMajority()) for id_ in self.proposals.abandon()]
