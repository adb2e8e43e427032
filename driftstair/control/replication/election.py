"""Decides who leads: the replica that holds the lease of `driftstair.tier.ownership` for the task
`configuration`.

The lease makes rival leaders rare and lets leadership pass on quickly. What is committed does not depend on
the lease: its fencing token is the ballot, which replicas check by themselves.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from driftstair.control.replication.actions import Action, Send
from driftstair.control.replication.messages import LeaseMessage
from driftstair.control.replication.replica import Replica
from driftstair.tier.ownership import wire
from driftstair.tier.ownership.leases import LeaseChange, Leases
from driftstair.tier.ownership.messages import OutgoingMessages
from driftstair.tier.shared.wire import InvalidItem

LEADERSHIP_TASK = "configuration"
ALIVE_TIMEOUT_NS = 3_000_000_000  # a replica heard from within this time is considered alive


@dataclass(slots=True)
class ElectionResult:
    """Actions to carry out, and changes of the lease."""

    actions: list[Action] = field(default_factory=list)
    lease_changes: list[LeaseChange] = field(default_factory=list)

    def __iadd__(self, other: ElectionResult) -> ElectionResult:
        self.actions += other.actions
        self.lease_changes += other.lease_changes
        return self


class Election:
    """The lease as seen by replica `own_number` of `replica_count`.

    `generation` is that of this process: below 2**32 and higher with each start. Unix seconds are suitable.
    """

    def __init__(
        self,
        own_number: int,
        replica_count: int,
        generation: int,
        now_ns: int,
        random: Random,
        replica: Replica,
    ) -> None:
        self._own_number = own_number
        self._generation = generation
        self._replica = replica
        self._last_heard_ns: dict[int, int] = {}
        self._now_ns = now_ns
        # Sequence number of the write in progress, and the token it stores.
        self._pending_token: tuple[int, int] | None = None
        self._leases = Leases(
            [LEADERSHIP_TASK],
            own_number,
            generation,
            replica_count,
            now_ns,
            random,
            self._alive_replicas,
            persisted_token=replica.lease_token,
        )
        self._leases.raise_token_floor(LEADERSHIP_TASK, replica.promised_token)

    @property
    def wake_at_ns(self) -> int:
        """When `tick` has to be called next."""
        return self._leases.wake_at

    def _alive_replicas(self) -> list[int]:
        """The replicas that could lead, as far as this one knows."""
        recent = [
            number for number, at in self._last_heard_ns.items() if self._now_ns - at < ALIVE_TIMEOUT_NS
        ]
        return sorted({self._own_number, *recent})

    def record_contact(self, now_ns: int, sender: int) -> None:
        """Records that a message of any kind arrived from `sender`."""
        self._last_heard_ns[sender] = now_ns

    def on_message(self, now_ns: int, sender: int, message: LeaseMessage) -> ElectionResult:
        """Handles a message of the lease. Unreadable ones are ignored, since the lease protocol retries."""
        self._now_ns = now_ns
        try:
            if not message.item or message.item[0] not in wire.LEASE_MESSAGES:
                return ElectionResult()
            lease_message = wire.decode(message.item)
        except InvalidItem:
            return ElectionResult()
        return self._to_result(
            now_ns, *self._leases.on_message(now_ns, sender, message.generation, lease_message)
        )

    def on_persisted(self, now_ns: int, sequence: int) -> ElectionResult:
        """Continues with a token once the write that stores it is synced."""
        self._now_ns = now_ns
        if self._pending_token is None or sequence < self._pending_token[0]:
            return ElectionResult()
        token = self._pending_token[1]
        self._pending_token = None
        return self._to_result(now_ns, *self._leases.token_persisted(now_ns, token))

    def tick(self, now_ns: int) -> ElectionResult:
        """Does what the lease protocol has to do at this time."""
        self._now_ns = now_ns
        return self._to_result(now_ns, *self._leases.tick(now_ns))

    def set_token_floor(self, token: int) -> None:
        """Makes the next token higher than this one."""
        self._leases.raise_token_floor(LEADERSHIP_TASK, token)

    def release(self, now_ns: int, successor: int | None) -> ElectionResult:
        """Releases the lease; `successor` may take it first."""
        return self._to_result(
            now_ns, *self._leases.release(now_ns, LEADERSHIP_TASK, -1 if successor is None else successor)
        )

    def leave(self, now_ns: int) -> ElectionResult:
        """Releases the lease because this process is about to end."""
        return self._to_result(now_ns, *self._leases.leave(now_ns))

    def _to_result(
        self, now_ns: int, outgoing: OutgoingMessages, changes: list[LeaseChange]
    ) -> ElectionResult:
        """Turns the lease's messages into actions, and adds the write of a token that has to be stored."""
        actions: list[Action] = [
            Send(to, LeaseMessage(self._generation, tuple(wire.encode(message)))) for to, message in outgoing
        ]
        token = self._leases.token_to_persist(now_ns)
        if token:
            persist = self._replica.persist_lease_token(token)
            self._pending_token = (persist.sequence, token)
            actions.append(persist)
        return ElectionResult(actions, changes)
