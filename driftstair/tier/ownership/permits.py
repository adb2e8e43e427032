"""Permits to be out: what a disruption controller and those who ask it tell each other, and the side
that asks.

A permit counts from when its holder *asked* for it, so a grant that comes late is worth less, and one that
comes after its term nothing; the disruption controller counts from its answer, and longer by the drift. So a
holder's permit is over before the controller's record of it, and no clock is compared with another. Times are
ns.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from driftstair.tier.ownership.messages import outlasting

# ns between two asks: an answer may be lost, and the disruption controller another by then
ASK_EVERY = 1_000_000_000
NEVER = 1 << 62


class Kind(IntEnum):
    """What a node is to be out for."""

    RESTART = 1
    DRAIN = 2
    UPGRADE = 3


class WaitReason(IntEnum):
    """Nothing is given yet."""

    TURN = 1  # others are before it
    OUT = 2  # as many are out as may be
    ZONE = 3  # who is out is of another zone, or of one that nobody knows
    POLLING = 4  # the disruption controller does not know yet what the one before it has given


class Rules(NamedTuple):
    """Of the fleet, the same on all nodes. `at_once`: out at a time; `term`: ns of a permit; `drift`: the
    part by which a clock may run fast or slow."""

    at_once: int = 1
    term: int = 300_000_000_000
    drift: float = 0.01

    def waited(self) -> int:
        """ns that a disruption controller counts: its clock may be fast and the holder's slow."""
        return outlasting(self.term, self.drift)


class Poll(NamedTuple):
    """The disruption controller has the lease with this token: no permit of an older one is taken from now
    on."""

    token: int


class PollReply(NamedTuple):
    """The answer to a poll. `seq` 0: no permit; `left`: ns of it."""

    token: int
    seq: int
    kind: int
    left: int


class Ask(NamedTuple):
    """`seq` names the wish; `at`: the asker's clock, which the answer repeats."""

    seq: int
    kind: int
    at: int


class Permit(NamedTuple):
    """`generation`: of the process that is meant, as a later one counts its wishes anew; `term`: of the
    disruption controller's file, where the holder's has another."""

    token: int
    generation: int
    seq: int
    at: int
    term: int


class Wait(NamedTuple):
    """`before`: how many get theirs first."""

    token: int
    generation: int
    seq: int
    why: int
    before: int


class ReturnPermit(NamedTuple):
    """The wish or permit `seq` is over."""

    seq: int


class ReturnConfirmed(NamedTuple):
    """The disruption controller counts it out no more."""

    generation: int
    seq: int


Message = Poll | PollReply | Ask | Permit | Wait | ReturnPermit | ReturnConfirmed
OutgoingMessages = list[tuple[int, Message]]


class PermitEvent(NamedTuple):
    """For the history: a permit was `took`, `gave` back or `refused` (an older controller's)."""

    what: str
    kind: int
    token: int
    until: int


class Holder:
    """One process that may want to be out; it holds one permit at most. The disruption controller it
    knows by polls."""

    def __init__(self, rules: Rules, generation: int) -> None:
        self.rules = rules
        self.generation = generation
        self.notes: list[PermitEvent] = []
        self.disruption_controller = -1
        self.floor = 0  # the greatest of the disruption controllers' tokens that it has answered
        self.kind = 0  # of what it wants or holds
        self.why, self.before = 0, 0  # of the last answer that gave nothing
        self._seq = 0
        self._wanted = False
        self._wish_until = NEVER
        self._token = 0  # of the permit; 0: none
        self._until = 0
        self._next_ask = NEVER
        self._giving = 0  # seq of what is given back and not yet known to be

    def held(self, now: int) -> bool:
        """Whether its node may be out now."""
        return self._token != 0 and now < self._until

    def left(self, now: int) -> int:
        """ns of the permit."""
        return self._until - now if self.held(now) else 0

    def token(self) -> int:
        return self._token

    def wanted(self) -> bool:
        return self._wanted

    def want(self, now: int, kind: Kind, until: int = NEVER) -> None:
        """From now on, and not beyond `until` (ns) unless it is wanted again by then; with the same kind it
        is the same wish."""
        self._lapse(now)
        self._wish_until = until
        if (self._wanted or self._token) and self.kind == kind:
            return
        self.give_back(now)
        self._seq += 1
        self._wanted, self.kind, self._next_ask = True, int(kind), now
        self.why = self.before = 0

    def give_back(self, now: int) -> None:
        """The wish, or what it holds: its node is in service."""
        if not self._wanted and not self._token:
            return
        if self._token:
            self.notes.append(PermitEvent("gave", self.kind, self._token, now))
        self._giving, self._next_ask = self._seq, now
        self._wanted, self._token, self.kind = False, 0, 0

    def _lapse(self, now: int) -> None:
        if self._token and now >= self._until:
            self.notes.append(PermitEvent("gave", self.kind, self._token, self._until))
            self._token, self.kind = 0, 0
        if self._wanted and now >= self._wish_until:
            self.give_back(now)

    def tick(self, now: int) -> OutgoingMessages:
        self._lapse(now)
        if now < self._next_ask:
            return []
        letters: OutgoingMessages = []
        if self.disruption_controller >= 0 and self._giving:
            letters.append((self.disruption_controller, ReturnPermit(self._giving)))
        if self.disruption_controller >= 0 and self._wanted:
            letters.append((self.disruption_controller, Ask(self._seq, self.kind, now)))
        self._next_ask = now + ASK_EVERY if self._wanted or self._giving else NEVER
        return letters

    def due(self) -> int:
        wish = self._wish_until if self._wanted else NEVER
        return min(self._next_ask, self._until if self._token else wish)

    def heard(
        self, now: int, sender: int, message: Poll | Permit | Wait | ReturnConfirmed
    ) -> OutgoingMessages:
        self._lapse(now)
        match message:
            case Poll(token):
                if token < self.floor:
                    return []
                if token > self.floor:
                    self.floor, self.disruption_controller = token, sender
                    self._next_ask = now if self._wanted or self._giving else self._next_ask
                seq = self._seq if self._token else 0
                return [(sender, PollReply(token, seq, self.kind if seq else 0, self.left(now)))]
            case Permit():
                return self._permitted(now, sender, message)
            case Wait(token, generation, seq, why, before):
                if token >= self.floor and (generation, seq) == (self.generation, self._seq) and self._wanted:
                    self.disruption_controller, self.why, self.before = sender, why, before
            case ReturnConfirmed(generation, seq):
                if (generation, seq) == (self.generation, self._giving):
                    self._giving = 0
        return []

    def _permitted(self, now: int, sender: int, message: Permit) -> OutgoingMessages:
        token, generation, seq, at, term = message
        if generation != self.generation:
            return []  # of the process before this one, with that one's clock
        if token < self.floor:
            self.notes.append(PermitEvent("refused", self.kind, token, now))
            return []
        if not self._wanted or seq != self._seq:
            taken = self._token and seq == self._seq
            return [] if taken else [(sender, ReturnPermit(seq))]  # of a wish that is none any more
        until = at + min(term, self.rules.term)
        if now >= until:
            return []  # it was long on its way
        self.floor, self.disruption_controller = token, sender
        self._wanted, self._token, self._until = False, token, until
        self._next_ask = NEVER
        self.notes.append(PermitEvent("took", self.kind, token, self._until))
        return []
