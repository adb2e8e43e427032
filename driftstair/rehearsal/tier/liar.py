"""A node that finds every server failing, whatever they answer, and says so to the others.

python -m driftstair.rehearsal.tier.liar [options of the daemon]
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from driftstair.tier.shared.evidence import OutlierDetector, ServerObservations
from driftstair.tier.sharing import Sharing


def lie(sharing: Sharing) -> None:
    """From now on; only what it tells is wrong, not what it does."""
    speak = sharing.core.enable_outlier_detection

    def lying(
        now_ns: int, zone: int, may_report: Callable[[], bool], zones: Callable[[], dict[int, int]]
    ) -> OutlierDetector:
        judge = speak(now_ns, zone, may_report, zones)
        judge.observations = _Liar(now_ns)
        return judge

    sharing.core.enable_outlier_detection = lying  # type: ignore[method-assign]


class _Liar(ServerObservations):
    def record_outcome(self, now_ns: int, server: int, ok: bool, reached: bool, took_ns: int) -> None:
        super().record_outcome(now_ns, server, False, reached, 0)


def main() -> int:
    from driftstair.__main__ import main as daemon

    note = ServerObservations.record_outcome
    ServerObservations.record_outcome = (  # type: ignore[method-assign]
        lambda self, now_ns, server, ok, reached, took_ns: note(self, now_ns, server, False, reached, 0)
    )
    return daemon()


if __name__ == "__main__":
    sys.exit(main())
