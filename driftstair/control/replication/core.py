"""One control replica: its log, its leadership and the lease that decides who leads, joined."""

from __future__ import annotations

from random import Random

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import Action, StoredLog
from driftstair.control.replication.messages import ReplicationMessage


class ControlReplica:
    """Replica `own` of `count` (7 at most). `generation` rises with each start of the process; `stored` is
    what its disk holds. Times are monotonic ns.

    Actions are done in the order in which they are returned. `tick` wants to be called at `wake_at_ns`.
    """

    wake_at_ns: int

    def __init__(
        self, own: int, count: int, generation: int, now_ns: int, random: Random, stored: StoredLog
    ) -> None:
        raise NotImplementedError

    @property
    def is_leader(self) -> bool:
        """Whether proposals are taken here: it has the lease, and has read from a majority."""
        raise NotImplementedError

    @property
    def leader(self) -> int | None:
        """The replica that leads, as far as this one knows."""
        raise NotImplementedError

    @property
    def committed(self) -> int:
        """The greatest revision that this replica knows to be committed."""
        raise NotImplementedError

    @property
    def compacted(self) -> int:
        """The log begins after this revision: `entries(after)` wants no lower one."""
        raise NotImplementedError

    @property
    def last_contact_ns(self) -> int:
        """When it last knew its state to be that of a leader with a majority; its start if it never did."""
        raise NotImplementedError

    @property
    def state(self) -> ConfigurationState:
        """At `committed`. Not to be changed."""
        raise NotImplementedError

    def entries(self, after: int, most: int) -> list[LoggedChangeSet]:
        """Committed ones, for watchers. Raises CompactedError."""
        raise NotImplementedError

    def on_message(self, now_ns: int, sender: int, message: ReplicationMessage) -> list[Action]:
        raise NotImplementedError

    def on_persisted(self, now_ns: int, sequence: int) -> list[Action]:
        """The Persist of that number is synced, and all before it."""
        raise NotImplementedError

    def propose(self, now_ns: int, change_set: ChangeSet) -> list[Action]:
        """A checked change set. Answered by ProposalCommitted or ProposalRefused, now or later."""
        raise NotImplementedError

    def tick(self, now_ns: int) -> list[Action]:
        raise NotImplementedError

    def leave(self, now_ns: int) -> list[Action]:
        """The process is about to end: whoever leads hands the lease on."""
        raise NotImplementedError
