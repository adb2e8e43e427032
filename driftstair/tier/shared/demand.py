"""How much of a budget a node wants, lately: what it spent and what it was refused."""

from __future__ import annotations

from math import exp

UP, DOWN = 1.0, 3.0  # s: how soon it follows what rises, and what falls


class Demand:
    """`per_s`: tokens a second. Soon up, since what is missing is lost at once; slowly down, since what is
    given back has to be asked for anew."""

    def __init__(self, now: int) -> None:
        self.per_s = 0.0
        self._noted = 0.0
        self._at = now

    def note(self, tokens: float = 1.0) -> None:
        self._noted += tokens

    def tick(self, now: int) -> None:
        passed = (now - self._at) / 1e9
        if passed <= 0:
            return
        lately = self._noted / passed
        part = 1 - exp(-passed / (UP if lately > self.per_s else DOWN))
        self.per_s += (lately - self.per_s) * part
        self._noted, self._at = 0.0, now
