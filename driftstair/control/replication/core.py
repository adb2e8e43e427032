"""One control replica: its log, its leadership and the lease that decides who leads, joined."""

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
from driftstair.control.replication.stored import restored_state

GENERATIONS = 1 << 32  # 32 of a token's 64 bits; the others count attempts and name the replica
ALIVE_NS = 1_000_000_000  # between two messages that say this replica could lead
COMMIT_ON_DISK_NS = 1_000_000_000  # until a commit that no other write took along is written by itself


class ControlReplica:
    """Replica `own` of `count` (7 at most). `generation` rises with each start of the process and is below
    2**32 (Unix seconds would do); `stored` is what its disk holds. Times are monotonic ns.

    Actions are done in the order in which they are returned. `tick` wants to be called at `wake_at_ns`.
    """

    def __init__(
        self, own: int, count: int, generation: int, now_ns: int, random: Random, stored: StoredLog,
        kept_entries: int = KEPT_ENTRIES,
    ) -> None:  # fmt: skip
        if not 0 <= own < count <= REPLICAS_MAX:
            raise ValueError(f"replica {own} of {count}; up to {REPLICAS_MAX}, counted from 0, would do")
        if not 0 < generation < GENERATIONS:
            raise ValueError(f"generation {generation}: 1 to {GENERATIONS - 1} would do, as Unix seconds")
        self._own = own
        self._count = count
        self._consensus = Consensus(own, count, now_ns, stored, restored_state(stored), kept_entries)
        self._election = Election(own, count, generation, now_ns, random, self._consensus.replica)
        self._lease_token = 0  # of the lease held; 0: none
        self._alive_at_ns = now_ns
        self._commit_at_ns = now_ns + COMMIT_ON_DISK_NS
        self._now_ns = now_ns
        self.wake_at_ns = now_ns

    # What it knows.

    @property
    def is_leader(self) -> bool:
        """Whether proposals are taken here: it has the lease, and has read from a majority."""
        return self._consensus.is_leader

    @property
    def leader(self) -> int | None:
        """The replica that leads, as far as this one knows."""
        return self._consensus.leader

    @property
    def token(self) -> int:
        """The greatest one promised here: of the leader, or of who wants to be."""
        return self._consensus.replica.promised

    @property
    def committed(self) -> int:
        """The greatest revision that this replica knows to be committed."""
        return self._consensus.replica.committed

    @property
    def compacted(self) -> int:
        """The log begins after this revision: `entries(after)` wants no lower one."""
        return self._consensus.replica.log.base.revision

    @property
    def last_contact_ns(self) -> int:
        """When it last knew its state to be that of a leader with a majority; its start if it never did."""
        return self._consensus.contact_ns(self._now_ns)

    @property
    def state(self) -> ConfigurationState:
        """At `committed`. Not to be changed; another object after each Restored."""
        return self._consensus.replica.state

    def entries(self, after: int, most: int) -> list[LoggedChangeSet]:
        """Committed ones, for watchers. Raises CompactedError."""
        most = max(0, min(most, self.committed - after))
        return [entry.logged() for entry in self._consensus.replica.log.after(after, most)]

    # Events.

    def on_message(self, now_ns: int, sender: int, message: ReplicationMessage) -> list[Action]:
        """A message of another replica. Raises ReplicationFaultError where a committed entry would change."""
        self._now_ns = now_ns
        if not 0 <= sender < self._count or sender == self._own:
            return []
        self._election.on_heard(now_ns, sender)
        if isinstance(message, LeaseMessage):
            return self._settle(
                now_ns, self._follow(now_ns, self._election.on_message(now_ns, sender, message))
            )
        return self._settle(now_ns, self._consensus.on_message(now_ns, sender, message))

    def on_persisted(self, now_ns: int, sequence: int) -> list[Action]:
        """The Persist of that number is synced, and all before it."""
        self._now_ns = now_ns
        actions = self._consensus.on_persisted(now_ns, sequence)
        actions += self._follow(now_ns, self._election.on_persisted(now_ns, sequence))
        return self._settle(now_ns, actions)

    def propose(self, now_ns: int, change_set: ChangeSet) -> list[Action]:
        """A checked change set. Answered by ProposalCommitted or ProposalRefused, now or later."""
        self._now_ns = now_ns
        return self._settle(now_ns, self._consensus.propose(now_ns, change_set))

    def tick(self, now_ns: int) -> list[Action]:
        self._now_ns = now_ns
        actions = self._follow(now_ns, self._election.tick(now_ns))
        actions += self._consensus.tick(now_ns)
        if now_ns >= self._alive_at_ns:
            self._alive_at_ns = now_ns + ALIVE_NS
            actions += [Send(number, Alive()) for number in range(self._count) if number != self._own]
        if now_ns >= self._commit_at_ns:
            self._commit_at_ns = now_ns + COMMIT_ON_DISK_NS
            actions += self._consensus.replica.persist_commit()
        return self._settle(now_ns, actions)

    def leave(self, now_ns: int) -> list[Action]:
        """The process is about to end: whoever leads hands the lease on."""
        self._now_ns = now_ns
        return self._settle(now_ns, self._follow(now_ns, self._election.leave(now_ns)))

    # Lease and leadership.

    def _follow(self, now_ns: int, result: ElectionResult) -> list[Action]:
        """Leads with a lease that was won, and stops with one that is over."""
        actions = result.actions
        for change in result.changes:
            self._lease_token = change.token
            if change.token:
                actions += self._consensus.lead(now_ns, change.token)
            else:
                actions += self._consensus.resign(None)
        return actions

    def _settle(self, now_ns: int, actions: list[Action]) -> list[Action]:
        """Gives the lease back where its leadership is over, or never began for a token that is too low."""
        replica, leadership = self._consensus.replica, self._consensus.leadership
        self._election.set_floor(max(replica.promised, self._consensus.refused_token))
        if self._lease_token:
            leads = leadership is not None and leadership.token == self._lease_token
            if leadership is None or not leads or leadership.phase is Phase.RESIGNED:
                heir = leadership.heir if leadership is not None and leads else None
                actions += self._follow(now_ns, self._election.release(now_ns, heir))
        self._set_wake(leadership.due_ns if leadership is not None else None)
        return actions

    def _set_wake(self, leadership_due_ns: int | None) -> None:
        times = [self._election.wake_at_ns, self._alive_at_ns, self._commit_at_ns]
        if leadership_due_ns is not None:
            times.append(leadership_due_ns)
        self.wake_at_ns = min(times)
