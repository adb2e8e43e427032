"""Claims about members, and which of two claims takes precedence.

Claims on one member are totally ordered and a table keeps the greatest (a join semilattice). Any reordering,
repetition or delay of the same claims therefore yields the same table. A claim on an earlier process never
replaces one on a later process.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from driftstair.tier.membership.suspicion import Suspicion
from driftstair.tier.replay import ReplayWindow


class State(IntEnum):
    """In order of precedence within one incarnation, lowest first."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Traits(NamedTuple):
    """What a process announces of itself; constant for its lifetime."""

    zone: int = 0  # its index in the settings
    version: int = 0  # of the tier's protocol; 0: unknown
    supports: int = 0  # feature bits, see `driftstair.tier.wire`


class Claim(NamedTuple):
    """One member's state as reported by some node."""

    number: int  # index in the platform's list of peers
    generation: int  # of its process: its start time in sixteenths of a second since 2024, or more
    incarnation: int  # raised only by the member itself, to refute a claim
    state: State
    reporter: int  # who suspects it or declared it dead; otherwise the member itself
    traits: Traits = Traits()

    def rank(self) -> tuple[int, int, int]:
        return self.generation, self.incarnation, self.state


@dataclass(slots=True)
class Member:
    """One other node. `claim` is None until any claim on it has been received."""

    number: int
    claim: Claim | None = None
    since_ns: int = 0  # when it entered its present state at this node
    heard_at_ns: int = -1  # when its present process last sent a datagram to this node
    round_trip_ns: int = 0  # of the last probe that it answered directly
    suspicion: Suspicion | None = None
    presumed_dead: bool = False  # only because this node is isolated; not disseminated
    replay_window: ReplayWindow = field(default_factory=ReplayWindow)
    replay_window_generation: int = -1  # the process that the replay window belongs to

    @property
    def state(self) -> State | None:
        if self.claim is None:
            return None
        return State.DEAD if self.presumed_dead else self.claim.state

    def is_live(self) -> bool:
        """Whether the member is probed and helps to probe others: alive or suspect."""
        return self.claim is not None and self.claim.state <= State.SUSPECT
