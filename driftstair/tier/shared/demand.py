"""Recent demand of one node for a fleet budget: the tokens that it spent and those that it was refused."""

from __future__ import annotations

from math import exp

RISE_TIME_S, FALL_TIME_S = 1.0, 3.0  # time constants of the moving average


class Demand:
    """Exponentially weighted moving average of the demand in tokens per second, `per_s`.

    It rises quickly, because a missing token is lost at once, and falls slowly, because shares that were
    given back have to be requested again.
    """

    def __init__(self, now_ns: int) -> None:
        self.per_s = 0.0
        self._recorded_tokens = 0.0
        self._updated_at_ns = now_ns

    def record(self, tokens: float = 1.0) -> None:
        """Adds tokens that were spent or refused since the last `tick`."""
        self._recorded_tokens += tokens

    def tick(self, now_ns: int) -> None:
        """Updates the average with the tokens recorded since the last call."""
        elapsed_s = (now_ns - self._updated_at_ns) / 1e9
        if elapsed_s <= 0:
            return
        recent_per_s = self._recorded_tokens / elapsed_s
        weight = 1 - exp(-elapsed_s / (RISE_TIME_S if recent_per_s > self.per_s else FALL_TIME_S))
        self.per_s += (recent_per_s - self.per_s) * weight
        self._recorded_tokens, self._updated_at_ns = 0.0, now_ns
