"""The shipped membership core as a detector of the modelled tier."""

from __future__ import annotations

from random import Random
from typing import Any

from driftstair.model.tier.world import NS_PER_S, Host
from driftstair.tier import wire
from driftstair.tier.membership import events as api
from driftstair.tier.membership.core import Membership
from driftstair.tier.membership.members import Claim, State, Traits

DATAGRAM_HEADER_BYTES = 1 + wire.MAC_BYTES + 10  # approximate size without the claims


class Swim:
    """One generation of a node. `period` is in s. The core's generation is 100 + `generation`, so that the
    generations of a node ascend."""

    def __init__(self, host: Host, generation: int, count: int, period: float, seed: int) -> None:
        random = Random(f"{seed}/{host.number}/{generation}")
        self.host = host
        self.core = Membership(
            host.number, count, 100 + generation, Traits(host.number % 3, 1, wire.SUPPORTS_MEMBERSHIP),
            int(period * NS_PER_S), random, wire.MAX_CLAIMS_BYTES, wire.claim_size,
        )  # fmt: skip

    def start(self) -> None:
        self._execute(self.core.handle(self.host.now(), api.Start()))

    def wake(self) -> None:
        self._execute(self.core.handle(self.host.now(), api.Wake()))

    def wake_at(self) -> int:
        return self.core.wake_at

    def receive(self, datagram: Any) -> None:
        self._execute(self.core.handle(self.host.now(), api.Received(datagram)))

    def leave(self) -> None:
        self._execute(self.core.handle(self.host.now(), api.Leave()))

    def dead(self) -> set[int]:
        return {
            member.number for member in self.core.members.values() if member.state in (State.DEAD, State.LEFT)
        }

    def view(self) -> dict[int, tuple[int, int, int] | None]:
        """Returns the rank of the claim that it holds of each node and itself; None for an unknown node."""
        ranks: dict[int, tuple[int, int, int] | None] = {
            member.number: member.claim.rank() if member.claim else None
            for member in self.core.members.values()
        }
        ranks[self.core.own_number] = self.core.own_claim.rank()
        return ranks

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                message = action.message
                size = (
                    DATAGRAM_HEADER_BYTES
                    + wire.claim_size(message.sender_claim)
                    + sum(map(_claim_size, message.updates))
                )
                self.host.send(message.recipient, message, size)
            elif isinstance(action, api.StateChanged):
                self.host.report_state(action.claim.number, action.claim.state, action.announced)


def _claim_size(claim: Claim) -> int:
    return wire.claim_size(claim)
