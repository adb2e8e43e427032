"""The disruption controller: the owner of the lease on permits, which grants them.

At most `at_once` nodes are out at a time, and all of them are in one zone. A controller does not know which
permits its predecessor has granted. Therefore every node counts as out until it has answered the controller's
poll, for as long as a permit can last. The nodes themselves thus hold the state about them, so nothing has to
be stored for a change of controller, and a node that does not answer delays the others but never allows too
many to be out. Nodes that are not alive also count as out, for the term of a permit from when they were last
alive; a node that has been dead for longer need not be waited for.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from driftstair.tier.ownership.messages import drift_adjusted_ns
from driftstair.tier.ownership.permits import (
    REQUEST_INTERVAL_NS,
    OutgoingMessages,
    Permit,
    Poll,
    PollReply,
    RequestPermit,
    ReturnConfirmed,
    ReturnPermit,
    Rules,
    Wait,
    WaitReason,
)

POLL_INTERVAL_NS = 10_000_000_000  # between two polls of a node that has answered
POLL_RETRY_NS = 500_000_000  # between two polls of a node that has not answered
REQUEST_EXPIRY_NS = 3 * REQUEST_INTERVAL_NS  # a request that is not repeated for this long is dropped
LiveNodes = dict[int, tuple[int, int]]
"""By number: the generation and the zone of each node that is considered alive, this one among them."""


@dataclass(slots=True)
class GrantedPermit:
    """The controller's record of a permit."""

    generation: int
    seq: int
    kind: int
    until_ns: int  # by the controller's clock
    asked_at_ns: int = 0  # by the holder's clock; 0 if an earlier controller granted the permit


@dataclass(slots=True)
class PendingRequest:
    """A request that is not granted yet."""

    generation: int
    seq: int
    kind: int
    asked_at_ns: int  # by the requesting node's clock
    first_received_at_ns: int
    last_received_at_ns: int


class DisruptionController:
    """Grants permits while its process has the lease.

    `node_count` is the number of nodes. `live_nodes` is the membership's view, which may be wrong: it decides
    which nodes are polled, and which count as out in addition to those that the polls report.
    """

    def __init__(
        self, rules: Rules, own_number: int, node_count: int, live_nodes: Callable[[], LiveNodes]
    ) -> None:
        self.rules = rules
        self.granted: dict[int, GrantedPermit] = {}
        self._own_number, self._node_count = own_number, node_count
        self._live_nodes = live_nodes
        self._token = 0
        self._leading_since_ns = 0
        self._answered_generations: dict[int, int] = {}  # by number: the generation that answered the poll
        # By number: the generation that reported to have no permit of an older controller.
        self._cleared_generations: dict[int, int] = {}
        self._polled_at_ns: dict[int, int] = {}
        self._last_alive_ns: dict[int, int] = {}  # when a node was last considered alive
        self._zones: dict[int, int] = {}  # of all nodes that were ever considered alive
        self._requests: dict[int, PendingRequest] = {}
        self._turn_zone = -1  # the zone whose nodes are out, or were last
        self._turn_since_ns = 0

    # The lease.

    def set_token(self, now: int, token: int) -> None:
        """Sets the token of this process's lease from now on; 0 if it has none. A change clears the
        records."""
        if token == self._token:
            return
        self._token, self._leading_since_ns = token, now
        for table in (
            self.granted,
            self._answered_generations,
            self._cleared_generations,
            self._polled_at_ns,
            self._last_alive_ns,
            self._requests,
        ):
            table.clear()

    def tick(self, now: int) -> OutgoingMessages:
        """Polls that are due, and permits that can be granted now."""
        if not self._token:
            return []
        live_nodes = self._refresh(now)
        outgoing: OutgoingMessages = []
        for number, (generation, _) in live_nodes.items():
            interval_ns = (
                POLL_INTERVAL_NS if self._answered_generations.get(number) == generation else POLL_RETRY_NS
            )
            if now - self._polled_at_ns.get(number, -interval_ns) >= interval_ns:
                self._polled_at_ns[number] = now
                outgoing.append((number, Poll(self._token)))
        for number in [
            node
            for node, request in self._requests.items()
            if now - request.last_received_at_ns > REQUEST_EXPIRY_NS
        ]:
            del self._requests[number]
        return outgoing + self._grant_permits(now, live_nodes)

    def _refresh(self, now: int) -> LiveNodes:
        """Updates the records from the membership, drops permits that have ended, and returns the living
        nodes."""
        live_nodes = self._live_nodes()
        for number, (generation, zone) in live_nodes.items():
            self._last_alive_ns[number], self._zones[number] = now, zone
            # A request of the previous generation has no process that waits for it.
            if number in self._requests and self._requests[number].generation != generation:
                del self._requests[number]
        for number in [node for node, granted in self.granted.items() if now >= granted.until_ns]:
            del self.granted[number]
        return live_nodes

    def on_message(
        self, now: int, sender: int, generation: int, message: PollReply | RequestPermit | ReturnPermit
    ) -> OutgoingMessages:
        """Handles a message of a node."""
        if not self._token:
            return []
        live_nodes = self._refresh(now)
        match message:
            case PollReply(token, seq, kind, remaining_ns):
                if token != self._token:
                    return []
                self._on_poll_reply(now, sender, generation, seq, kind, remaining_ns)
                return self._grant_permits(now, live_nodes)
            case RequestPermit():
                return self._on_request(now, live_nodes, sender, generation, message)
            case ReturnPermit(seq):
                request, granted = self._requests.get(sender), self.granted.get(sender)
                if request is not None and (request.generation, request.seq) == (generation, seq):
                    del self._requests[sender]
                if granted is not None and (granted.generation, granted.seq) == (generation, seq):
                    del self.granted[sender]
                    self._cleared_generations[sender] = generation
                return [
                    (sender, ReturnConfirmed(generation, seq)),
                    *self._grant_permits(now, live_nodes),
                ]
        return []

    def _on_poll_reply(
        self, now: int, sender: int, generation: int, seq: int, kind: int, remaining_ns: int
    ) -> None:
        """Records which permit a node reports to hold. A later generation holds none of an earlier one's."""
        if generation < self._answered_generations.get(sender, 0):
            return
        granted = self.granted.get(sender)
        if granted is not None and granted.generation < generation:
            del self.granted[sender]
            granted = None
        self._answered_generations[sender] = generation
        if not seq:
            # The node takes no permit of an older controller once it has received the poll, so it will have
            # none from here on.
            self._cleared_generations[sender] = generation
            if granted is not None and not granted.asked_at_ns:
                del self.granted[sender]
        elif granted is None and self._cleared_generations.get(sender) != generation:
            duration_ns = min(
                self.rules.controller_term_ns(), drift_adjusted_ns(remaining_ns, self.rules.drift)
            )
            self.granted[sender] = GrantedPermit(generation, seq, kind, now + duration_ns)

    def _on_request(
        self, now: int, live_nodes: LiveNodes, sender: int, generation: int, message: RequestPermit
    ) -> OutgoingMessages:
        if generation < self._answered_generations.get(sender, 0) or sender not in live_nodes:
            return []
        granted = self.granted.get(sender)
        if granted is not None and granted.generation == generation:
            if message.seq == granted.seq and granted.asked_at_ns:
                # The permit was lost on the way. It is sent again with its original time, so it does not
                # last longer.
                return [
                    (
                        sender,
                        Permit(self._token, generation, message.seq, granted.asked_at_ns, self.rules.term_ns),
                    )
                ]
            if message.seq <= granted.seq:
                return []
            # A node holds at most one permit, so a new request implies that it has returned the last one.
            del self.granted[sender]
        request = self._requests.get(sender)
        if request is not None and request.generation == generation and message.seq < request.seq:
            return []
        if request is None or (request.generation, request.seq) != (generation, message.seq):
            request = self._requests[sender] = PendingRequest(
                generation, message.seq, message.kind, message.asked_at_ns, now, now
            )
        request.asked_at_ns, request.last_received_at_ns = message.asked_at_ns, now
        outgoing = self._grant_permits(now, live_nodes)
        if sender in self._requests:
            reason, nodes_ahead = self._reason_and_position(now, live_nodes, sender)
            outgoing.append((sender, Wait(self._token, generation, message.seq, int(reason), nodes_ahead)))
        return outgoing

    # Which nodes are out.

    def nodes_out(self, now: int) -> dict[int, int]:
        """The nodes that count as out, with their zones; -1 stands for an unknown zone."""
        return self._nodes_out(now, self._live_nodes())

    def _nodes_out(self, now: int, live_nodes: LiveNodes) -> dict[int, int]:
        out = {number: self._zones.get(number, -1) for number in self.granted}
        for number in range(self._node_count):
            # By then, each permit that an earlier controller granted, or that a node held when it was last
            # alive, has ended.
            if now - self._leading_since_ns >= self.rules.controller_term_ns() and (
                number in live_nodes
                or now - self._last_alive_ns.get(number, self._leading_since_ns)
                >= self.rules.controller_term_ns()
            ):
                continue
            generation = live_nodes[number][0] if number in live_nodes else -1
            if self._answered_generations.get(number) != generation:
                out.setdefault(number, self._zones.get(number, -1))
        return out

    def waiting_nodes(self, now: int) -> list[int]:
        """The nodes whose requests are pending, in the order in which they are to be granted."""
        return self._grant_order(self.nodes_out(now))

    # Which node is next.

    def _grant_order(self, out: dict[int, int]) -> list[int]:
        """The pending requests in the order in which they were first received. Requests from the zone whose
        turn it is come first if they were received before the turn began: nodes of one zone can then be out
        together, and no node waits forever."""

        def rank(number: int) -> tuple[bool, int, int]:
            received_at_ns = self._requests[number].first_received_at_ns
            has_turn = (
                bool(out)
                and self._zones.get(number) == self._turn_zone
                and received_at_ns <= self._turn_since_ns
            )
            return not has_turn, received_at_ns, number

        return sorted(self._requests, key=rank)

    def _wait_reason(self, live_nodes: LiveNodes, out: dict[int, int], number: int) -> WaitReason | None:
        """Why the node may not be out now; None if it may."""
        others = {node: zone for node, zone in out.items() if node != number}
        if self._answered_generations.get(number) != live_nodes[number][0]:
            return WaitReason.POLLING
        zone = self._zones[number]
        if len(others) >= self.rules.at_once:
            has_unpolled = any(
                node in live_nodes and self._answered_generations.get(node) != live_nodes[node][0]
                for node in others
            )
            return WaitReason.POLLING if has_unpolled else WaitReason.OUT
        return WaitReason.ZONE if any(other != zone for other in others.values()) else None

    def _reason_and_position(self, now: int, live_nodes: LiveNodes, number: int) -> tuple[WaitReason, int]:
        """Why a node waits, and how many nodes come before it."""
        out = self._nodes_out(now, live_nodes)
        nodes_ahead = self._grant_order(out).index(number)
        return self._wait_reason(live_nodes, out, number) or WaitReason.TURN, nodes_ahead

    def _grant_permits(self, now: int, live_nodes: LiveNodes) -> OutgoingMessages:
        """Grants requests in order, until the first that has to wait."""
        outgoing: OutgoingMessages = []
        while self._requests:
            out = self._nodes_out(now, live_nodes)
            number = self._grant_order(out)[0]
            if number not in live_nodes or self._wait_reason(live_nodes, out, number) is not None:
                break
            request = self._requests.pop(number)
            zone = self._zones[number]
            if not out or zone != self._turn_zone:
                self._turn_zone, self._turn_since_ns = zone, now
            self.granted[number] = GrantedPermit(
                request.generation,
                request.seq,
                request.kind,
                now + self.rules.controller_term_ns(),
                request.asked_at_ns,
            )
            outgoing.append(
                (
                    number,
                    Permit(
                        self._token,
                        request.generation,
                        request.seq,
                        request.asked_at_ns,
                        self.rules.term_ns,
                    ),
                )
            )
        return outgoing
