"""What the core is told, and what it wants done."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from driftstair.tier.membership.members import Claim, State

NO_NODE = 0xFFFF
"""Where a message is about no third node."""


class Kind(IntEnum):
    """Of a message. Others are a later version's, counted and passed over."""

    PING = 1  # wants an ACK with its `seq`
    ACK = 2  # `about`: the node that answered, if the sender passes its answer on
    PING_REQ = 3  # wants the node `about` to be probed, and its answer passed on
    NACK = 4  # the node `about` has not answered the sender so far
    NEWS = 5  # wants nothing
    SHARED = 6  # carries `items` of what is built on membership


class Message(NamedTuple):
    """One datagram. `mine`: what the sender says of itself; `order` rises by one with each that its life
    sends."""

    kind: Kind
    mine: Claim
    to: int
    order: int
    seq: int = 0
    about: int = NO_NODE
    news: tuple[Claim, ...] = ()
    items: bytes = b""


# Events.


@dataclass(slots=True, frozen=True)
class Start:
    """`kept`: claims that an earlier process of this number has left behind."""

    kept: tuple[Claim, ...] = ()


@dataclass(slots=True, frozen=True)
class Wake:
    """The time has come that was asked for, or later."""


@dataclass(slots=True, frozen=True)
class Received:
    """A datagram whose seal is right and which came from its sender's address."""

    message: Message


@dataclass(slots=True, frozen=True)
class Leave:
    """The process is about to end as planned."""


@dataclass(slots=True, frozen=True)
class Peers:
    """The platform names other peers from now on. `moved`: numbers that stand for another machine than
    before; `own`: this node's number."""

    count: int
    own: int
    moved: frozenset[int]


@dataclass(slots=True, frozen=True)
class SendPayload:
    """Something of what is built on membership, for another node."""

    to: int
    items: bytes


Event = Start | Wake | Received | Leave | Peers | SendPayload


# Actions.


@dataclass(slots=True, frozen=True)
class Send:
    message: Message


@dataclass(slots=True, frozen=True)
class Changed:
    """A member's state as held here, this node's own included. `why`: for people; `told`: whether others hear
    of it."""

    claim: Claim
    why: str
    told: bool = True


@dataclass(slots=True, frozen=True)
class Superseded:
    """Another process claims this number again and again: this one tells the tier nothing any more."""

    life: int


@dataclass(slots=True, frozen=True)
class ProcessStalled:
    """This process did not run for so many ns beyond what it had asked for."""

    late: int


@dataclass(slots=True, frozen=True)
class PayloadReceived:
    """What another node's `SendPayload` brought, once, from a life that no newer one is known of."""

    sender: int
    life: int
    items: bytes


Action = Send | Changed | Superseded | ProcessStalled | PayloadReceived


@dataclass(slots=True, frozen=True)
class MemberView:
    """A member for those who ask. Times are ns before now; -1: never."""

    number: int
    state: State | None  # None: nothing has been heard of it
    life: int
    incarnation: int
    zone: int
    version: int
    supports: int
    held: int  # so long in this state
    heard: int
    round_trip: int
    suspected_by: tuple[int, ...]
    ends_in: int  # ns until a suspect is dead here; -1: it is none
    unheard: bool
