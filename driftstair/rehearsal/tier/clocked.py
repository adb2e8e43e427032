"""Runs the daemon with a monotonic clock of another rate and a shifted wall clock, in a process of its own.

    python -m driftstair.rehearsal.tier.clocked [options of the daemon]

`DRIFTSTAIR_REHEARSED_CLOCK` holds the rate of the monotonic clock and the offset of the wall clock in ns.
"""

from __future__ import annotations

import os
import sys
import time

CLOCK_VARIABLE = "DRIFTSTAIR_REHEARSED_CLOCK"


def main() -> int:
    """Replaces the clocks of `time` and runs the daemon."""
    rate, offset_ns = os.environ[CLOCK_VARIABLE].split(",")
    real_monotonic_ns, real_time_ns, speed, shift_ns = (
        time.monotonic_ns,
        time.time_ns,
        float(rate),
        int(offset_ns),
    )
    time.monotonic_ns = lambda: int(real_monotonic_ns() * speed)
    time.time_ns = lambda: real_time_ns() + shift_ns
    from driftstair.__main__ import main as daemon  # reads the clocks when it is imported

    return daemon()


if __name__ == "__main__":
    sys.exit(main())
