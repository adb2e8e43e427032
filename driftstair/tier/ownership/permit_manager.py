"""One process's part in permits: it may want one, and be the disruption controller. No clock, socket
or chance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from driftstair.tier.ownership.disruption_controller import DisruptionController, LiveNodes
from driftstair.tier.ownership.permits import (
    Ask,
    Holder,
    Kind,
    Message,
    OutgoingMessages,
    PermitEvent,
    PollReply,
    ReturnPermit,
    Rules,
    WaitReason,
)

TASK = "permits"
EVERY = 250_000_000  # ns between two looks of a disruption controller


class PermitManager:
    """`living`: nodes that are held alive and understand this, the own one among them."""

    def __init__(
        self, rules: Rules, own: int, generation: int, count: int, living: Callable[[], LiveNodes]
    ) -> None:
        self.holder = Holder(rules, generation)
        self.disruption_controller = DisruptionController(rules, own, count, living)
        self._own = own
        self._next_look = 0

    def wake_at(self, token: int) -> int:
        """ns; `token` of the lease that this process has."""
        return min(self.holder.due(), self._next_look) if token else self.holder.due()

    def tick(self, now: int, token: int) -> OutgoingMessages:
        """`token` of the lease on the task, as it is at this moment; 0: another's."""
        self.disruption_controller.lead(now, token)
        letters = self._deliver(now, self.holder.tick(now))
        if token and now >= self._next_look:
            self._next_look = now + EVERY
            letters += self._deliver(now, self.disruption_controller.tick(now))
        return letters

    def heard(self, now: int, token: int, sender: int, generation: int, message: Message) -> OutgoingMessages:
        self.disruption_controller.lead(now, token)
        return self._deliver(now, self._take(now, sender, generation, message))

    def _take(self, now: int, sender: int, generation: int, message: Message) -> OutgoingMessages:
        if isinstance(message, PollReply | Ask | ReturnPermit):
            return self.disruption_controller.heard(now, sender, generation, message)
        return self.holder.heard(now, sender, message)

    def _deliver(self, now: int, letters: OutgoingMessages) -> OutgoingMessages:
        """What is for this node itself needs no datagram."""
        out: OutgoingMessages = []
        waiting = list(letters)
        while waiting:
            to, message = waiting.pop(0)
            if to == self._own:
                waiting += self._take(now, self._own, self.holder.generation, message)
            else:
                out.append((to, message))
        return out

    def request_permit(self, now: int, kind: Kind, until: int) -> None:
        self.holder.want(now, kind, until)

    def give_back(self, now: int) -> None:
        self.holder.give_back(now)

    def notes(self) -> list[PermitEvent]:
        """What became of this process's permits since the last call."""
        notes, self.holder.notes = self.holder.notes, []
        return notes

    def report(self, now: int, token: int) -> dict[str, Any]:
        """As JSON. `out`: who counts as out, with zones, where this node is the disruption controller."""
        holder = self.holder
        state = "held" if holder.held(now) else "wanted" if holder.wanted() else "none"
        out = self.disruption_controller.out(now) if token else {}
        return {
            "state": state, "for": Kind(holder.kind).name.lower() if holder.kind else None,
            "left_s": round(holder.left(now) / 1e9, 3), "token": holder.token(),
            "steward": None if holder.disruption_controller < 0 else holder.disruption_controller,
            "why": WaitReason(holder.why).name.lower() if holder.wanted() and holder.why else None,
            "before": holder.before if holder.wanted() else 0, "is_steward": bool(token),
            "at_once": holder.rules.at_once, "term_s": holder.rules.term / 1e9,
            "out": [
                {
                    "node": number, "zone": None if zone < 0 else zone,
                    "for": Kind(self.disruption_controller.given[number].kind).name.lower()
                    if number in self.disruption_controller.given else None,
                }
                for number, zone in sorted(out.items())
            ],
            "waiting": self.disruption_controller.waiting(now) if token else [],
        }  # fmt: skip
