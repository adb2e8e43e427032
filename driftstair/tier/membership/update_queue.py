"""Updates to be disseminated, in order: the least transmitted first, and the newest first among equals.

A suspicion races its refutation through the tier, so both precede the announcements of nodes that joined.
Otherwise, when a thousand nodes join at once, all of them would be announced before a suspicion is sent for
the second time, and an update that each node sends only once reaches one other node per sender.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log2

from driftstair.tier.membership.members import Claim, State

RETRANSMIT_FACTOR = 3  # transmissions per update in multiples of log2(live nodes) (SWIM's lambda)
JOIN_PENALTY = 6  # transmissions that an urgent update gets before the first one of a join


def _initial_transmissions(claim: Claim) -> int:
    """Where a new update enters the queue: plain announcements of a live process come last."""
    return JOIN_PENALTY if claim.state is State.ALIVE and not claim.incarnation else 0


class UpdateQueue:
    """Holds at most one update per member, so its size is bounded by their number."""

    def __init__(self) -> None:
        self._by_transmissions: list[dict[int, Claim]] = []  # each in order of arrival
        self._transmissions: dict[int, int] = {}  # by member number

    def __len__(self) -> int:
        return len(self._transmissions)

    def add(self, claim: Claim) -> None:
        """Replaces a queued update on the same member."""
        self.remove(claim.number)
        self._insert(claim, _initial_transmissions(claim))

    def _insert(self, claim: Claim, transmissions: int) -> None:
        while len(self._by_transmissions) <= transmissions:
            self._by_transmissions.append({})
        self._by_transmissions[transmissions][claim.number] = claim
        self._transmissions[claim.number] = transmissions

    def remove(self, number: int) -> None:
        transmissions = self._transmissions.pop(number, None)
        if transmissions is not None:
            del self._by_transmissions[transmissions][number]

    def take(
        self, max_bytes: int, claim_size: Callable[[Claim], int], live: int, included: tuple[int, ...]
    ) -> tuple[list[Claim], int]:
        """Returns as many updates as fit into `max_bytes`, each counted as transmitted once more, and the
        number of bytes left. `included`: members that the datagram already has claims on."""
        selected: list[Claim] = []
        if not self._transmissions:
            return selected, max_bytes
        taken: list[tuple[Claim, int]] = []
        for transmissions, updates in enumerate(self._by_transmissions):
            for number in reversed(updates):
                claim = updates[number]
                if number not in included:
                    max_bytes -= claim_size(claim)
                    if max_bytes < 0:
                        self._requeue(taken, live)
                        return selected, max_bytes + claim_size(claim)
                    selected.append(claim)
                taken.append((claim, transmissions))
        self._requeue(taken, live)
        return selected, max_bytes

    def _requeue(self, taken: list[tuple[Claim, int]], live: int) -> None:
        """Puts updates back for their next transmission, except those that have been sent often enough."""
        max_transmissions = RETRANSMIT_FACTOR * ceil(log2(live + 2))
        for claim, transmissions in reversed(taken):  # keeps the newest first
            self.remove(claim.number)
            if transmissions + 1 < max_transmissions + _initial_transmissions(claim):
                self._insert(claim, transmissions + 1)
