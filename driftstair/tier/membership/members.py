"""What can be claimed of a member, and which of two claims stands.

Claims on one number are in a total order, and a table keeps the greatest: so any order, repeat or delay of
the same claims gives the same table (a join semilattice). An old life never replaces a newer one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from driftstair.tier.membership.suspicion import Suspicion
from driftstair.tier.replay import Window


class State(IntEnum):
    """In the order in which one stands over another in the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Traits(NamedTuple):
    """What a life says of itself, the same as long as it lasts."""

    zone: int = 0  # its index in the settings
    version: int = 0  # of the program's tier; 0 where it is unknown
    supports: int = 0  # bits, see `driftstair.tier.wire`


class Claim(NamedTuple):
    """One member as somebody holds it."""

    number: int  # in the order of the platform's peers
    life: int  # of its process: sixteenths of a second since 2024 when it started, or more
    incarnation: int  # raised by the member alone, to refute
    state: State
    by: int  # who suspects it or found it dead; the member itself otherwise
    traits: Traits = Traits()

    def rank(self) -> tuple[int, int, int]:
        return self.life, self.incarnation, self.state


@dataclass(slots=True)
class Member:
    """One other node. `claim` is None until something of it has been heard."""

    number: int
    claim: Claim | None = None
    since: int = 0  # ns: when the state as it stands began here
    heard: int = -1  # ns: when it last said something itself, in its present life
    round_trip: int = 0  # ns: of the last probe that it answered itself
    suspicion: Suspicion | None = None
    unheard: bool = False  # held dead only since this node hears nobody; told to no one
    window: Window = field(default_factory=Window)  # which of its datagrams have been taken,
    window_life: int = -1  # of this life

    @property
    def state(self) -> State | None:
        if self.claim is None:
            return None
        return State.DEAD if self.unheard else self.claim.state

    def counts(self) -> bool:
        """Whether it is probed, and helps to probe."""
        return self.claim is not None and self.claim.state <= State.SUSPECT
