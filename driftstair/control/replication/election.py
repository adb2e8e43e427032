"""Who leads: the replica that has the lease of `driftstair.tier.ownership` for the task `configuration`.

The lease keeps rival leaders rare and hands leadership on quickly. What is committed doesn't rest on it: its
fencing token is the ballot, which replicas check by themselves.
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

TASK = "configuration"
ALIVE_AFTER_NS = 3_000_000_000  # a replica that was heard of within this is taken for alive


@dataclass(slots=True)
class ElectionResult:
    """What is to be done, and how leadership changed."""

    actions: list[Action] = field(default_factory=list)
    changes: list[LeaseChange] = field(default_factory=list)

    def __iadd__(self, other: ElectionResult) -> ElectionResult:
        self.actions += other.actions
        self.changes += other.changes
        return self


class Election:
    """Of replica `own` of `count`. `generation` of its process: below 2**32, higher with each start; Unix
    seconds would do."""

    def __init__(
        self, own: int, count: int, generation: int, now_ns: int, random: Random, replica: Replica
    ) -> None:
        self._own = own
        self._generation = generation
        self._replica = replica
        self._heard_ns: dict[int, int] = {}
        self._now_ns = now_ns
        self._token_persist: tuple[int, int] | None = None  # number of the Persist under way, its token
        self._leases = Leases(
            [TASK], own, generation, count, now_ns, random, self._alive, kept=replica.lease_token
        )
        self._leases.floor(TASK, replica.promised)

    @property
    def wake_at_ns(self) -> int:
        return self._leases.wake_at

    def _alive(self) -> list[int]:
        """Replicas that could lead, as far as this one knows."""
        recent = [number for number, at in self._heard_ns.items() if self._now_ns - at < ALIVE_AFTER_NS]
        return sorted({self._own, *recent})

    def on_heard(self, now_ns: int, sender: int) -> None:
        """Any message came from there."""
        self._heard_ns[sender] = now_ns

    def on_message(self, now_ns: int, sender: int, message: LeaseMessage) -> ElectionResult:
        """What can't be read is passed over: the lease tries again by itself."""
        self._now_ns = now_ns
        try:
            if not message.item or message.item[0] not in wire.KINDS:
                return ElectionResult()
            read = wire.decode(message.item)
        except InvalidItem:
            return ElectionResult()
        return self._result(now_ns, *self._leases.heard(now_ns, sender, message.generation, read))

    def on_persisted(self, now_ns: int, sequence: int) -> ElectionResult:
        self._now_ns = now_ns
        if self._token_persist is None or sequence < self._token_persist[0]:
            return ElectionResult()
        token = self._token_persist[1]
        self._token_persist = None
        return self._result(now_ns, *self._leases.token_persisted(now_ns, token))

    def tick(self, now_ns: int) -> ElectionResult:
        self._now_ns = now_ns
        return self._result(now_ns, *self._leases.tick(now_ns))

    def set_floor(self, token: int) -> None:
        """The next token is above this one."""
        self._leases.floor(TASK, token)

    def release(self, now_ns: int, heir: int | None) -> ElectionResult:
        """The lease is free, for the heir first."""
        return self._result(now_ns, *self._leases.release(now_ns, TASK, -1 if heir is None else heir))

    def leave(self, now_ns: int) -> ElectionResult:
        """This process is about to end."""
        return self._result(now_ns, *self._leases.leave(now_ns))

    def _result(self, now_ns: int, letters: OutgoingMessages, changes: list[LeaseChange]) -> ElectionResult:
        actions: list[Action] = [
            Send(to, LeaseMessage(self._generation, tuple(wire.encode(message)))) for to, message in letters
        ]
        token = self._leases.token_to_persist(now_ns)
        if token:
            persist = self._replica.persist_lease_token(token)
            self._token_persist = (persist.sequence, token)
            actions.append(persist)
        return ElectionResult(actions, changes)
