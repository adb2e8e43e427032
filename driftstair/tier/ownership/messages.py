"""What the voters and those who want a lease tell each other. Times are ns; tokens whole numbers."""

from __future__ import annotations

from typing import NamedTuple

NUMBERS = 1 << 16
ATTEMPTS = 1 << 16
AHEAD = 4096
MAX_TOKEN = (1 << 64) - 1


def first_token(generation: int, number: int) -> int:
    """Of a process: generations rise, so what a later one asks for is above all that an earlier one has had,
    on the word of the clock. Where that was set back, whoever bears the effect tells the floor."""
    return generation * ATTEMPTS * NUMBERS + number


def next_token_above(token: int, known: int) -> int:
    """The next token of the same node that is greater than both."""
    number = token % NUMBERS
    return max(token, known) // NUMBERS * NUMBERS + NUMBERS + number


def reserve_tokens(token: int) -> int:
    """As many tokens further: what is put on a disk at once, so that few promises wait for one."""
    return min(token + AHEAD * NUMBERS, MAX_TOKEN)


def outlasting(span: int, drift: float) -> int:
    """ns by a clock that may be fast which outlast `span` by one that may be slow, each by that part."""
    return int(span * (1 + drift) / (1 - drift)) + 1


class Terms(NamedTuple):
    """The program's, and no file's. `lease`: ns of one; `drift`: the part by which a clock may run fast or
    slow; `margin`: ns before its end at which an owner stops."""

    lease: int = 4_000_000_000
    drift: float = 0.01
    margin: int = 300_000_000

    def waited(self) -> int:
        """ns that a voter counts: its clock may be fast and the owner's slow."""
        return outlasting(self.lease, self.drift)


class Prepare(NamedTuple):
    """Wants to hear of no lower token from now on."""

    task: int
    token: int


class Promise(NamedTuple):
    task: int
    token: int


class Propose(NamedTuple):
    """A lease for the sender's generation, that begins now. `seq` tells apart the times that one token is
    proposed: an answer to an earlier one says nothing of a later lease."""

    task: int
    token: int
    seq: int


class Accepted(NamedTuple):
    task: int
    token: int
    seq: int


class Refused(NamedTuple):
    """`known`: the greatest token here; `owner`, `left`: of the lease that runs here, if one does (ns)."""

    task: int
    token: int
    known: int
    owner: int = -1
    left: int = 0


class Release(NamedTuple):
    """By its owner, whose acts with it are over. `heir`: who should have it next; -1: whoever wants."""

    task: int
    token: int
    heir: int = -1


Message = Prepare | Promise | Propose | Accepted | Refused | Release
OutgoingMessages = list[tuple[int, Message]]
"""With the number of the node that each is for."""
