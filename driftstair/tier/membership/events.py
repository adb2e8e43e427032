"""Events that drive the membership core, and the actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from driftstair.tier.membership.members import Claim, State

NO_NODE = 0xFFFF
"""The subject of a message that has none."""


class Kind(IntEnum):
    """Kind of a message. Unknown kinds come from later versions; they are counted and ignored."""

    PING = 1  # requests an ACK with the same `seq`
    ACK = 2  # `subject`: the node that answered, where the sender relays its answer
    PING_REQ = 3  # requests a probe of `subject` and its answer relayed
    NACK = 4  # `subject` has not answered the sender so far
    NEWS = 5  # carries updates only and requires no answer
    SHARED = 6  # carries the `payload` of a layer above membership


class Message(NamedTuple):
    """One datagram. `sender_claim`: the sender's claim on itself; `counter` rises by one with each datagram
    that its process sends."""

    kind: Kind
    sender_claim: Claim
    recipient: int
    counter: int
    seq: int = 0
    subject: int = NO_NODE
    updates: tuple[Claim, ...] = ()
    payload: bytes = b""


# Events.


@dataclass(slots=True, frozen=True)
class Start:
    """`saved_claims`: persisted by an earlier process of this node."""

    saved_claims: tuple[Claim, ...] = ()


@dataclass(slots=True, frozen=True)
class Wake:
    """The requested wake-up time has been reached or passed."""


@dataclass(slots=True, frozen=True)
class Received:
    """An authenticated datagram that came from its sender's address."""

    message: Message


@dataclass(slots=True, frozen=True)
class Leave:
    """The process is about to shut down as planned."""


@dataclass(slots=True, frozen=True)
class PeersChanged:
    """The platform has supplied another list of peers. `moved`: numbers that now stand for another machine;
    `own_number`: this node's number in the new list."""

    count: int
    own_number: int
    moved: frozenset[int]


@dataclass(slots=True, frozen=True)
class SendPayload:
    """A payload of a layer above membership for another node."""

    recipient: int
    payload: bytes


Event = Start | Wake | Received | Leave | PeersChanged | SendPayload


# Actions.


@dataclass(slots=True, frozen=True)
class Send:
    message: Message


@dataclass(slots=True, frozen=True)
class StateChanged:
    """A member's state at this node has changed, possibly this node's own. `reason`: for operators;
    `announced`: whether the change is disseminated to other nodes."""

    claim: Claim
    reason: str
    announced: bool = True


@dataclass(slots=True, frozen=True)
class Superseded:
    """Another process keeps claiming this node's number, so this one stops taking part in the tier."""

    generation: int


@dataclass(slots=True, frozen=True)
class ProcessStalled:
    """This process was woken later than it had requested, beyond the stall threshold."""

    late_ns: int


@dataclass(slots=True, frozen=True)
class PayloadReceived:
    """The payload of another node's `SendPayload`, delivered at most once and only from the latest known
    process of that node."""

    sender: int
    generation: int
    payload: bytes


Action = Send | StateChanged | Superseded | ProcessStalled | PayloadReceived


@dataclass(slots=True, frozen=True)
class MemberView:
    """A member for status reports. Ages are relative to the time of the report; -1: never."""

    number: int
    state: State | None  # None: nothing has been received about it
    generation: int
    incarnation: int
    zone: int
    version: int
    supports: int
    state_age_ns: int
    heard_age_ns: int
    round_trip_ns: int
    suspected_by: tuple[int, ...]
    dead_in_ns: int  # until a suspect is declared dead here; -1: not a suspect
    presumed_dead: bool
