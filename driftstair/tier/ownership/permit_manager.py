"""The permits of one process: it may request one, and it may be the disruption controller.

It is a pure state machine without a clock, a socket or a source of randomness.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from driftstair.tier.ownership.disruption_controller import DisruptionController, LiveNodes
from driftstair.tier.ownership.local_delivery import deliver_local
from driftstair.tier.ownership.permits import (
    Holder,
    Kind,
    Message,
    OutgoingMessages,
    PermitEvent,
    PollReply,
    RequestPermit,
    ReturnPermit,
    Rules,
    WaitReason,
)

PERMIT_TASK = "permits"  # the owner of this task is the disruption controller
CONTROLLER_TICK_NS = 250_000_000  # interval between two ticks of a disruption controller


class PermitManager:
    """Combines the holder and the disruption controller of one process.

    `live_nodes` gives the nodes that are considered alive and understand permits, this one among them.
    """

    def __init__(
        self, rules: Rules, own_number: int, generation: int, node_count: int,
        live_nodes: Callable[[], LiveNodes],
    ) -> None:  # fmt: skip
        self.holder = Holder(rules, generation)
        self.disruption_controller = DisruptionController(rules, own_number, node_count, live_nodes)
        self._own_number = own_number
        self._next_controller_tick_ns = 0

    def wake_at(self, token: int) -> int:
        """When (ns) `tick` has to be called next; `token` is that of this process's lease."""
        return (
            min(self.holder.next_tick_at(), self._next_controller_tick_ns)
            if token
            else self.holder.next_tick_at()
        )

    def tick(self, now: int, token: int) -> OutgoingMessages:
        """Does what the time requires.

        `token` is that of this process's lease on the task at this moment; 0 if another node has it.
        """
        self.disruption_controller.set_token(now, token)
        outgoing = self._deliver_local(now, self.holder.tick(now))
        if token and now >= self._next_controller_tick_ns:
            self._next_controller_tick_ns = now + CONTROLLER_TICK_NS
            outgoing += self._deliver_local(now, self.disruption_controller.tick(now))
        return outgoing

    def on_message(
        self, now: int, token: int, sender: int, generation: int, message: Message
    ) -> OutgoingMessages:
        """Handles a message from another node; `token` as for `tick`."""
        self.disruption_controller.set_token(now, token)
        return self._deliver_local(now, self._handle(now, sender, generation, message))

    def _handle(self, now: int, sender: int, generation: int, message: Message) -> OutgoingMessages:
        if isinstance(message, PollReply | RequestPermit | ReturnPermit):
            return self.disruption_controller.on_message(now, sender, generation, message)
        return self.holder.on_message(now, sender, message)

    def _deliver_local(self, now: int, outgoing: OutgoingMessages) -> OutgoingMessages:
        own_number, generation = self._own_number, self.holder.generation
        return deliver_local(
            outgoing, own_number, lambda message: self._handle(now, own_number, generation, message)
        )

    def request_permit(self, now: int, kind: Kind, until: int) -> None:
        """Wants a permit until `until` (ns)."""
        self.holder.request(now, kind, until)

    def give_back(self, now: int) -> None:
        """Withdraws the request or returns the permit."""
        self.holder.give_back(now)

    def take_events(self) -> list[PermitEvent]:
        """The events of this process's permits since the last call."""
        events, self.holder.events = self.holder.events, []
        return events

    def report(self, now: int, token: int) -> dict[str, Any]:
        """The state as JSON.

        `out` and `waiting` are filled where this node is the disruption controller. `out` lists the nodes
        that count as out, with their zones.
        """
        holder = self.holder
        state = "held" if holder.has_permit(now) else "wanted" if holder.is_wanted() else "none"
        out = self.disruption_controller.nodes_out(now) if token else {}
        return {
            "state": state, "for": Kind(holder.kind).name.lower() if holder.kind else None,
            "left_s": round(holder.remaining_ns(now) / 1e9, 3), "token": holder.token(),
            "steward": None if holder.controller_number < 0 else holder.controller_number,
            "why": WaitReason(holder.wait_reason).name.lower()
            if holder.is_wanted() and holder.wait_reason else None,
            "before": holder.nodes_ahead if holder.is_wanted() else 0, "is_steward": bool(token),
            "at_once": holder.rules.at_once, "term_s": holder.rules.term_ns / 1e9,
            "out": [
                {
                    "node": number, "zone": None if zone < 0 else zone,
                    "for": Kind(self.disruption_controller.granted[number].kind).name.lower()
                    if number in self.disruption_controller.granted else None,
                }
                for number, zone in sorted(out.items())
            ],
            "waiting": self.disruption_controller.waiting_nodes(now) if token else [],
        }  # fmt: skip
