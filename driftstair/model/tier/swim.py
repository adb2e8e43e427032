"""The shipped core in the modelled tier."""

from __future__ import annotations

from random import Random
from typing import Any

from driftstair.model.tier.world import SECOND, Host
from driftstair.tier import wire
from driftstair.tier.membership import events as api
from driftstair.tier.membership.core import Membership
from driftstair.tier.membership.members import Claim, State, Traits

HEAD = 1 + wire.MAC_BYTES + 10  # bytes of a datagram beside its claims, about


class Swim:
    """One generation. `period` in s; generations of one number follow each other: 100 + `generation`."""

    def __init__(self, host: Host, generation: int, count: int, period: float, seed: int) -> None:
        random = Random(f"{seed}/{host.number}/{generation}")
        self.host = host
        self.core = Membership(
            host.number, count, 100 + generation, Traits(host.number % 3, 1, wire.SUPPORTS_MEMBERSHIP),
            int(period * SECOND), random, wire.MAX_CLAIMS_BYTES, wire.claim_size,
        )  # fmt: skip

    def start(self) -> None:
        self._do(self.core.handle(self.host.now(), api.Start()))

    def wake(self) -> None:
        self._do(self.core.handle(self.host.now(), api.Wake()))

    def wake_at(self) -> int:
        return self.core.wake_at

    def take(self, datagram: Any) -> None:
        self._do(self.core.handle(self.host.now(), api.Received(datagram)))

    def leave(self) -> None:
        self._do(self.core.handle(self.host.now(), api.Leave()))

    def dead(self) -> set[int]:
        return {one.number for one in self.core.members.values() if one.state in (State.DEAD, State.LEFT)}

    def view(self) -> dict[int, tuple[int, int, int] | None]:
        """What is held of everyone, this node included."""
        found: dict[int, tuple[int, int, int] | None] = {
            one.number: one.claim.rank() if one.claim else None for one in self.core.members.values()
        }
        found[self.core.own_number] = self.core.own_claim.rank()
        return found

    def _do(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                message = action.message
                size = HEAD + wire.claim_size(message.sender_claim) + sum(map(_size, message.updates))
                self.host.send(message.recipient, message, size)
            elif isinstance(action, api.StateChanged):
                self.host.held(action.claim.number, action.claim.state, action.announced)


def _size(claim: Claim) -> int:
    return wire.claim_size(claim)
