"""Messages between the voters and the proposers of leases. Times are in ns; tokens are integers."""

from __future__ import annotations

from typing import NamedTuple

NODE_NUMBERS = 1 << 16  # node numbers are below this
ATTEMPTS_PER_GENERATION = 1 << 16
RESERVED_ATTEMPTS = 4096
MAX_TOKEN = (1 << 64) - 1


def first_token(generation: int, number: int) -> int:
    """The first token of a process on node `number`.

    Generations rise with the clock, so the tokens of a later process are above all those of an earlier one.
    Where the clock was set back, the resource that checks the tokens reports its floor instead.
    """
    return generation * ATTEMPTS_PER_GENERATION * NODE_NUMBERS + number


def next_token_above(token: int, known: int) -> int:
    """The lowest token of the same node that is greater than both arguments."""
    number = token % NODE_NUMBERS
    return max(token, known) // NODE_NUMBERS * NODE_NUMBERS + NODE_NUMBERS + number


def reserve_tokens(token: int) -> int:
    """The token to persist for `token`: higher by a reserve, so that few promises wait for a write."""
    return min(token + RESERVED_ATTEMPTS * NODE_NUMBERS, MAX_TOKEN)


def drift_adjusted_ns(span_ns: int, drift: float) -> int:
    """How many ns to count on a clock that may run fast, so that `span_ns` have passed on one that may run
    slow. `drift` is the relative error of each of the two clocks."""
    return int(span_ns * (1 + drift) / (1 - drift)) + 1


class Terms(NamedTuple):
    """Durations of a lease. They are fixed in the program and are not read from any file.

    `lease_ns` is the duration of a lease. `drift` is the relative error by which a clock may run fast or
    slow. `margin_ns` is how long before the end of its lease an owner stops acting.
    """

    lease_ns: int = 4_000_000_000
    drift: float = 0.01
    margin_ns: int = 300_000_000

    def voter_lease_ns(self) -> int:
        """How long a voter counts a lease: its clock may run fast and the owner's slow."""
        return drift_adjusted_ns(self.lease_ns, self.drift)


class Prepare(NamedTuple):
    """Asks a voter for a promise to accept no lower token from now on."""

    task: int
    token: int


class Promise(NamedTuple):
    """A voter's agreement to a `Prepare`."""

    task: int
    token: int


class Propose(NamedTuple):
    """Proposes a lease for the sender's generation that begins now.

    `seq` distinguishes repeated proposals of one token: an answer to an earlier proposal does not confirm a
    later lease.
    """

    task: int
    token: int
    seq: int


class Accepted(NamedTuple):
    """A voter's agreement to a `Propose`."""

    task: int
    token: int
    seq: int


class Refused(NamedTuple):
    """A voter's refusal of a `Prepare` or a `Propose`.

    `highest_token` is the highest token that the voter knows for the task. `owner` and `remaining_ns`
    describe the lease that runs at the voter; `owner` is -1 where none does.
    """

    task: int
    token: int
    highest_token: int
    owner: int = -1
    remaining_ns: int = 0


class Release(NamedTuple):
    """Ends a lease early. Its owner sends this once it no longer acts under the lease.

    `successor` is the node that should take the lease next; -1 means any node that wants it.
    """

    task: int
    token: int
    successor: int = -1


Message = Prepare | Promise | Propose | Accepted | Refused | Release
OutgoingMessages = list[tuple[int, Message]]
"""Messages, each with the number of the node that it goes to."""
