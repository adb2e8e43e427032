"""The fate of each datagram between two nodes: lost, delayed, duplicated, reordered, garbled or truncated."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

REORDER_DELAY_S = 0.05  # lets later datagrams overtake


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault on one link in one direction. Shares are of datagrams; times in s."""

    cut: bool = False
    loss: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)
    duplicate: float = 0.0
    reorder: float = 0.0
    garble: float = 0.0
    truncate: float = 0.0


class Links:
    """The faults of all ordered pairs of nodes, by number. Several faults on one link add up."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self._random = Random(seed)
        self._faults: dict[tuple[int, int], list[Fault]] = {}
        # Called when a fault begins (True) or ends (False).
        self.on_change: Callable[[bool, list[tuple[int, int]], Fault], None] | None = None
        self.carried = 0
        self.lost = 0

    def begin(self, pairs: list[tuple[int, int]], fault: Fault) -> None:
        """Starts a fault on the given links."""
        for pair in pairs:
            self._faults.setdefault(pair, []).append(fault)
        if self.on_change is not None:
            self.on_change(True, pairs, fault)

    def end(self, pairs: list[tuple[int, int]], fault: Fault) -> None:
        """Ends a fault on the given links."""
        for pair in pairs:
            pair_faults = self._faults[pair]
            pair_faults.remove(fault)
            if not pair_faults:
                del self._faults[pair]
        if self.on_change is not None:
            self.on_change(False, pairs, fault)

    def deliver(self, source: int, target: int, data: bytes) -> list[tuple[float, bytes]]:
        """Returns the datagrams that arrive, each with its additional delay in s."""
        self.carried += 1
        faults = self._faults.get((source, target))
        if faults is None:
            return [(0.0, data)]
        copies, delay_s, random_float = 1, 0.0, self._random.random
        for fault in faults:
            if fault.cut or (fault.loss and random_float() < fault.loss):
                self.lost += 1
                return []
            delay_s += self._random.uniform(*fault.delay)
            if fault.duplicate and random_float() < fault.duplicate:
                copies += 1
            if fault.reorder and random_float() < fault.reorder:
                delay_s += REORDER_DELAY_S
            if fault.garble and random_float() < fault.garble:
                garbled = bytearray(data)
                garbled[self._random.randrange(len(garbled))] ^= 1 << self._random.randrange(8)
                data = bytes(garbled)
            if fault.truncate and random_float() < fault.truncate:
                data = data[: self._random.randrange(len(data))]
        return [(delay_s + REORDER_DELAY_S * copy, data) for copy in range(copies)]
