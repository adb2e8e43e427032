"""One control replica: joins its log, its leadership and the lease that decides who leads."""

from __future__ import annotations

from random import Random

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import Action, Send, StoredLog
from driftstair.control.replication.consensus import KEPT_ENTRIES, Consensus
from driftstair.control.replication.election import Election, ElectionResult
from driftstair.control.replication.leader import Phase
from driftstair.control.replication.messages import (
    REPLICAS_MAX,
    Alive,
    LeaseMessage,
    ReplicationMessage,
)
from driftstair.control.replication.stored import restore_state

GENERATION_COUNT = 1 << 32  # 32 of a token's 64 bits; the other bits count attempts and name the replica
ALIVE_INTERVAL_NS = 1_000_000_000  # between messages announcing that this replica could lead
# Longest time until a commit that no other write carried is written by itself.
COMMIT_RECORD_INTERVAL_NS = 1_000_000_000


class ControlReplica:
    """Replica `own_number` of `replica_count` (at most 7).

    `generation` rises with each start of the process and is below 2**32; Unix seconds are suitable. `stored`
    is what the replica's disk holds. Times are monotonic, in ns.

    Actions have to be carried out in the order in which they are returned. `tick` has to be called at
    `wake_at_ns`.
    """

    def __init__(
        self, own_number: int, replica_count: int, generation: int, now_ns: int, random: Random,
        stored: StoredLog,
        kept_entries: int = KEPT_ENTRIES,
    ) -> None:  # fmt: skip
        if not 0 <= own_number < replica_count <= REPLICAS_MAX:
            raise ValueError(
                f"replica {own_number} of {replica_count}; up to {REPLICAS_MAX}, counted from 0, would do"
            )
        if not 0 < generation < GENERATION_COUNT:
            raise ValueError(
                f"generation {generation}: 1 to {GENERATION_COUNT - 1} would do, as Unix seconds"
            )
        self._own_number = own_number
        self._replica_count = replica_count
        self._consensus = Consensus(
            own_number, replica_count, now_ns, stored, restore_state(stored), kept_entries
        )
        self._election = Election(
            own_number, replica_count, generation, now_ns, random, self._consensus.replica
        )
        self._lease_token = 0  # token of the lease held; 0: no lease
        self._next_alive_ns = now_ns
        self._next_commit_record_ns = now_ns + COMMIT_RECORD_INTERVAL_NS
        self._now_ns = now_ns
        self.wake_at_ns = now_ns

    # State.

    @property
    def is_leader(self) -> bool:
        """Whether proposals are taken here: this replica has the lease and has read from a majority."""
        return self._consensus.is_leader

    @property
    def leader(self) -> int | None:
        """The replica that leads, as far as this one knows."""
        return self._consensus.leader

    @property
    def promised_token(self) -> int:
        """The greatest token promised here, that of the leader or of a replica that wants to lead."""
        return self._consensus.replica.promised_token

    @property
    def committed_revision(self) -> int:
        """The greatest revision that this replica knows to be committed."""
        return self._consensus.replica.committed_revision

    @property
    def compacted_revision(self) -> int:
        """The log begins after this revision; `committed_entries` takes no lower one."""
        return self._consensus.replica.log.base.revision

    @property
    def last_contact_ns(self) -> int:
        """When this replica last knew its state to be that of a leader with a majority, or when it started if
        it never did."""
        return self._consensus.majority_contact_ns(self._now_ns)

    @property
    def state(self) -> ConfigurationState:
        """The state at `committed_revision`. Callers must not change it; each SnapshotInstalled replaces the
        object."""
        return self._consensus.replica.state

    def committed_entries(self, after_revision: int, limit: int) -> list[LoggedChangeSet]:
        """Up to `limit` committed entries after a revision, for watchers. Raises CompactedError."""
        limit = max(0, min(limit, self.committed_revision - after_revision))
        return [
            entry.to_logged_change_set()
            for entry in self._consensus.replica.log.entries_after(after_revision, limit)
        ]

    # Events.

    def on_message(self, now_ns: int, sender: int, message: ReplicationMessage) -> list[Action]:
        """Handles a message of another replica.

        Raises ReplicationFaultError where the message would change a committed entry.
        """
        self._now_ns = now_ns
        if not 0 <= sender < self._replica_count or sender == self._own_number:
            return []
        self._election.record_contact(now_ns, sender)
        if isinstance(message, LeaseMessage):
            return self._finish_event(
                now_ns,
                self._apply_election_result(now_ns, self._election.on_message(now_ns, sender, message)),
            )
        return self._finish_event(now_ns, self._consensus.on_message(now_ns, sender, message))

    def on_persisted(self, now_ns: int, sequence: int) -> list[Action]:
        """Handles the report that the Persist of this sequence number and all earlier ones are synced."""
        self._now_ns = now_ns
        actions = self._consensus.on_persisted(now_ns, sequence)
        actions += self._apply_election_result(now_ns, self._election.on_persisted(now_ns, sequence))
        return self._finish_event(now_ns, actions)

    def propose(self, now_ns: int, change_set: ChangeSet) -> list[Action]:
        """Proposes a checked change set; ProposalCommitted or ProposalRefused follows, at once or later."""
        self._now_ns = now_ns
        return self._finish_event(now_ns, self._consensus.propose(now_ns, change_set))

    def tick(self, now_ns: int) -> list[Action]:
        """Does what is due at this time: lease, leadership, Alive messages and commit records."""
        self._now_ns = now_ns
        actions = self._apply_election_result(now_ns, self._election.tick(now_ns))
        actions += self._consensus.tick(now_ns)
        if now_ns >= self._next_alive_ns:
            self._next_alive_ns = now_ns + ALIVE_INTERVAL_NS
            actions += [
                Send(number, Alive()) for number in range(self._replica_count) if number != self._own_number
            ]
        if now_ns >= self._next_commit_record_ns:
            self._next_commit_record_ns = now_ns + COMMIT_RECORD_INTERVAL_NS
            actions += self._consensus.replica.persist_commit()
        return self._finish_event(now_ns, actions)

    def leave(self, now_ns: int) -> list[Action]:
        """Hands the lease over if this replica leads, because the process is about to end."""
        self._now_ns = now_ns
        return self._finish_event(now_ns, self._apply_election_result(now_ns, self._election.leave(now_ns)))

    # Lease and leadership.

    def _apply_election_result(self, now_ns: int, result: ElectionResult) -> list[Action]:
        """Begins a leadership for each lease that was won, and resigns for each that ended."""
        actions = result.actions
        for change in result.lease_changes:
            self._lease_token = change.token
            if change.token:
                actions += self._consensus.lead(now_ns, change.token)
            else:
                actions += self._consensus.resign(None)
        return actions

    def _finish_event(self, now_ns: int, actions: list[Action]) -> list[Action]:
        """Ends the handling of an event: raises the token floor, releases a lease that has no leadership,
        sets the wake-up time.

        A lease has no leadership if the leadership has resigned, or never began because the token was too
        low.
        """
        replica, leadership = self._consensus.replica, self._consensus.leadership
        self._election.set_token_floor(max(replica.promised_token, self._consensus.refusal_promised_token))
        if self._lease_token:
            is_lease_leadership = leadership is not None and leadership.token == self._lease_token
            if leadership is None or not is_lease_leadership or leadership.phase is Phase.RESIGNED:
                successor = leadership.successor if leadership is not None and is_lease_leadership else None
                actions += self._apply_election_result(now_ns, self._election.release(now_ns, successor))
        self._set_wake_time(leadership.next_tick_ns if leadership is not None else None)
        return actions

    def _set_wake_time(self, leadership_tick_ns: int | None) -> None:
        times = [self._election.wake_at_ns, self._next_alive_ns, self._next_commit_record_ns]
        if leadership_tick_ns is not None:
            times.append(leadership_tick_ns)
        self.wake_at_ns = min(times)
