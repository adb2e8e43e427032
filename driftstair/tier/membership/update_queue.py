"""What is still to be told, and in which order: the least told first, of those the newest first.

A suspicion and its refutation race each other through the tier, so either goes before the news that somebody
joined: a thousand that join at once would otherwise be told of before it is told on a second time, and who
tells a thing once passes it to one other.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log2

from driftstair.tier.membership.members import Claim, State

TIMES = 3  # each piece is told so many times the binary logarithm of the living (SWIM's lambda)
HEAD_START = 6  # times that a piece which others wait for is told before one that they don't


def _head_start(claim: Claim) -> int:
    """Where it stands to begin with: a life that nobody doubts is told of last."""
    return HEAD_START if claim.state is State.ALIVE and not claim.incarnation else 0


class UpdateQueue:
    """One piece for each member at most, so it is bounded by their number."""

    def __init__(self) -> None:
        self._told: list[dict[int, Claim]] = []  # by how often told, each in the order in which it came
        self._where: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._where)

    def add(self, claim: Claim) -> None:
        """In the place of what was to be told of the same member."""
        self.forget(claim.number)
        self._put(claim, _head_start(claim))

    def _put(self, claim: Claim, told: int) -> None:
        while len(self._told) <= told:
            self._told.append({})
        self._told[told][claim.number] = claim
        self._where[claim.number] = told

    def forget(self, number: int) -> None:
        told = self._where.pop(number, None)
        if told is not None:
            del self._told[told][number]

    def take(
        self, room: int, size: Callable[[Claim], int], living: int, told: tuple[int, ...]
    ) -> tuple[list[Claim], int]:
        """As many as fit into `room` bytes, each counted as told once more, and the bytes that are left.
        `told`: numbers that the datagram tells of anyhow."""
        out: list[Claim] = []
        if not self._where:
            return out, room
        taken: list[tuple[Claim, int]] = []
        for times, pieces in enumerate(self._told):
            for number in reversed(pieces):
                claim = pieces[number]
                if number not in told:
                    room -= size(claim)
                    if room < 0:
                        self._again(taken, living)
                        return out, room + size(claim)
                    out.append(claim)
                taken.append((claim, times))
        self._again(taken, living)
        return out, room

    def _again(self, taken: list[tuple[Claim, int]], living: int) -> None:
        """They wait for their next turn, but for what has been told enough."""
        enough = TIMES * ceil(log2(living + 2))
        for claim, times in reversed(taken):  # the newest stays the newest
            self.forget(claim.number)
            if times + 1 < enough + _head_start(claim):
                self._put(claim, times + 1)
