"""Permits to be out of service: the messages between the disruption controller and the nodes that ask it, and
the side of a node that asks.

A permit counts from when its holder *asked* for it, so a grant that arrives late is shorter, and one that
arrives after its term is void. The controller counts from its answer, and longer by the clock drift. A
holder's permit therefore ends before the controller's record of it, and no clock is compared with another.
Times are in ns.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from driftstair.tier.ownership.messages import drift_adjusted_ns

# A request is repeated at this interval: an answer may be lost, or the controller may have changed.
REQUEST_INTERVAL_NS = 1_000_000_000
NEVER = 1 << 62


class Kind(IntEnum):
    """The purpose of being out of service."""

    RESTART = 1
    DRAIN = 2
    UPGRADE = 3


class WaitReason(IntEnum):
    """Why a request has not been granted yet."""

    TURN = 1  # other requests come first
    OUT = 2  # as many nodes are out as may be
    ZONE = 3  # a node of another zone, or of an unknown one, is out
    POLLING = 4  # the controller does not know yet which permits its predecessor has granted


class Rules(NamedTuple):
    """The rules of the fleet, which are the same on all nodes.

    `at_once` is how many nodes may be out at the same time. `term_ns` is the duration of a permit. `drift` is
    the relative error by which a clock may run fast or slow.
    """

    at_once: int = 1
    term_ns: int = 300_000_000_000
    drift: float = 0.01

    def controller_term_ns(self) -> int:
        """How long a disruption controller counts a permit: its clock may run fast and the holder's slow."""
        return drift_adjusted_ns(self.term_ns, self.drift)


class Poll(NamedTuple):
    """Announces that the sender is the disruption controller by the lease with this token. The recipient
    takes no permit of an older controller from now on."""

    token: int


class PollReply(NamedTuple):
    """The answer to a `Poll`. `seq` is 0 if the sender has no permit; `remaining_ns` is the time left of its
    permit."""

    token: int
    seq: int
    kind: int
    remaining_ns: int


class RequestPermit(NamedTuple):
    """Asks for a permit. `seq` identifies the request. `asked_at_ns` is the sender's clock, which the answer
    repeats."""

    seq: int
    kind: int
    asked_at_ns: int


class Permit(NamedTuple):
    """A granted permit.

    `generation` is that of the process that it is for, since a later process numbers its requests anew.
    `term_ns` is the term in the controller's settings, which may differ from the holder's.
    """

    token: int
    generation: int
    seq: int
    asked_at_ns: int
    term_ns: int


class Wait(NamedTuple):
    """The answer to a request that is not granted yet. `nodes_ahead` is how many nodes come first."""

    token: int
    generation: int
    seq: int
    reason: int
    nodes_ahead: int


class ReturnPermit(NamedTuple):
    """Withdraws the request `seq`, or returns its permit."""

    seq: int


class ReturnConfirmed(NamedTuple):
    """Confirms a `ReturnPermit`: the controller no longer counts the node as out."""

    generation: int
    seq: int


Message = Poll | PollReply | RequestPermit | Permit | Wait | ReturnPermit | ReturnConfirmed
OutgoingMessages = list[tuple[int, Message]]
"""Messages, each with the number of the node that it goes to."""


class PermitEvent(NamedTuple):
    """An event for the history. `what` is `took` for a permit taken, `gave` for one given back or ended, and
    `refused` for a permit of an older controller."""

    what: str
    kind: int
    token: int
    until_ns: int


class Holder:
    """The permit of one process, which wants or holds at most one. It learns from polls which node is the
    disruption controller."""

    def __init__(self, rules: Rules, generation: int) -> None:
        self.rules = rules
        self.generation = generation
        self.events: list[PermitEvent] = []
        self.controller_number = -1  # -1: unknown
        self.token_floor = 0  # the highest controller token that this process has answered
        self.kind = 0  # of the permit that it wants or holds; 0: none
        self.wait_reason, self.nodes_ahead = 0, 0  # from the last `Wait`
        self._seq = 0
        self._is_wanted = False
        self._wanted_until_ns = NEVER
        self._token = 0  # of the permit; 0: none
        self._until_ns = 0
        self._next_request_at_ns = NEVER
        self._returning_seq = 0  # of a permit whose return is not confirmed yet

    def has_permit(self, now: int) -> bool:
        """Whether its node may be out now."""
        return self._token != 0 and now < self._until_ns

    def remaining_ns(self, now: int) -> int:
        """The time left of the permit; 0 without one."""
        return self._until_ns - now if self.has_permit(now) else 0

    def token(self) -> int:
        """The token of the controller that granted the permit; 0 without a permit."""
        return self._token

    def is_wanted(self) -> bool:
        """Whether a permit is wanted and not yet granted."""
        return self._is_wanted

    def request(self, now: int, kind: Kind, until: int = NEVER) -> None:
        """Wants a permit from now on, until `until` (ns) unless this is called again by then. A call with the
        same kind continues the same request."""
        self._expire(now)
        self._wanted_until_ns = until
        if (self._is_wanted or self._token) and self.kind == kind:
            return
        self.give_back(now)
        self._seq += 1
        self._is_wanted, self.kind, self._next_request_at_ns = True, int(kind), now
        self.wait_reason = self.nodes_ahead = 0

    def give_back(self, now: int) -> None:
        """Withdraws the request or returns the permit: the node is in service."""
        if not self._is_wanted and not self._token:
            return
        if self._token:
            self.events.append(PermitEvent("gave", self.kind, self._token, now))
        self._returning_seq, self._next_request_at_ns = self._seq, now
        self._is_wanted, self._token, self.kind = False, 0, 0

    def _expire(self, now: int) -> None:
        """Ends a permit or a request whose time is over."""
        if self._token and now >= self._until_ns:
            self.events.append(PermitEvent("gave", self.kind, self._token, self._until_ns))
            self._token, self.kind = 0, 0
        if self._is_wanted and now >= self._wanted_until_ns:
            self.give_back(now)

    def tick(self, now: int) -> OutgoingMessages:
        """Repeats the request or the return until it is answered."""
        self._expire(now)
        if now < self._next_request_at_ns:
            return []
        outgoing: OutgoingMessages = []
        if self.controller_number >= 0 and self._returning_seq:
            outgoing.append((self.controller_number, ReturnPermit(self._returning_seq)))
        if self.controller_number >= 0 and self._is_wanted:
            outgoing.append((self.controller_number, RequestPermit(self._seq, self.kind, now)))
        self._next_request_at_ns = (
            now + REQUEST_INTERVAL_NS if self._is_wanted or self._returning_seq else NEVER
        )
        return outgoing

    def next_tick_at(self) -> int:
        """When (ns) `tick` has to be called next."""
        request_end_ns = self._wanted_until_ns if self._is_wanted else NEVER
        return min(self._next_request_at_ns, self._until_ns if self._token else request_end_ns)

    def on_message(
        self, now: int, sender: int, message: Poll | Permit | Wait | ReturnConfirmed
    ) -> OutgoingMessages:
        """Handles a message of a disruption controller."""
        self._expire(now)
        match message:
            case Poll(token):
                if token < self.token_floor:
                    return []
                if token > self.token_floor:
                    self.token_floor, self.controller_number = token, sender
                    self._next_request_at_ns = (
                        now if self._is_wanted or self._returning_seq else self._next_request_at_ns
                    )
                seq = self._seq if self._token else 0
                return [(sender, PollReply(token, seq, self.kind if seq else 0, self.remaining_ns(now)))]
            case Permit():
                return self._on_permit(now, sender, message)
            case Wait(token, generation, seq, reason, nodes_ahead):
                if (
                    token >= self.token_floor
                    and (generation, seq) == (self.generation, self._seq)
                    and self._is_wanted
                ):
                    self.controller_number, self.wait_reason, self.nodes_ahead = sender, reason, nodes_ahead
            case ReturnConfirmed(generation, seq):
                if (generation, seq) == (self.generation, self._returning_seq):
                    self._returning_seq = 0
        return []

    def _on_permit(self, now: int, sender: int, message: Permit) -> OutgoingMessages:
        token, generation, seq, asked_at_ns, term_ns = message
        if generation != self.generation:
            return []  # for the previous process, and by the clock of that process
        if token < self.token_floor:
            self.events.append(PermitEvent("refused", self.kind, token, now))
            return []
        if not self._is_wanted or seq != self._seq:
            is_duplicate = self._token and seq == self._seq
            # A permit for a withdrawn request goes back.
            return [] if is_duplicate else [(sender, ReturnPermit(seq))]
        until_ns = asked_at_ns + min(term_ns, self.rules.term_ns)
        if now >= until_ns:
            return []  # it was delayed for longer than its term
        self.token_floor, self.controller_number = token, sender
        self._is_wanted, self._token, self._until_ns = False, token, until_ns
        self._next_request_at_ns = NEVER
        self.events.append(PermitEvent("took", self.kind, token, self._until_ns))
        return []
