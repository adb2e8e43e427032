"""A node that reports every server as failing to the other nodes, whatever the servers answer.

python -m driftstair.rehearsal.tier.liar [options of the daemon]
"""

from __future__ import annotations

import sys
from collections.abc import Callable

from driftstair.tier.shared.evidence import OutlierDetector, ServerObservations
from driftstair.tier.sharing import Sharing


def misreport_failures(sharing: Sharing) -> None:
    """Makes the node misreport from now on. Only its reports are wrong; its own routing is unaffected."""
    enable_detection = sharing.core.enable_outlier_detection

    def enable_misreporting(
        now_ns: int, zone: int, may_report: Callable[[], bool], zones: Callable[[], dict[int, int]]
    ) -> OutlierDetector:
        detector = enable_detection(now_ns, zone, may_report, zones)
        detector.observations = _FailureReporter(now_ns)
        return detector

    sharing.core.enable_outlier_detection = enable_misreporting  # type: ignore[method-assign]


class _FailureReporter(ServerObservations):
    """Records every result of a server as a failure."""

    def record_outcome(self, now_ns: int, server: int, ok: bool, reached: bool, took_ns: int) -> None:
        super().record_outcome(now_ns, server, False, reached, 0)


def main() -> int:
    """Replaces the recording of server results and runs the daemon."""
    from driftstair.__main__ import main as daemon

    record_result = ServerObservations.record_outcome
    ServerObservations.record_outcome = (  # type: ignore[method-assign]
        lambda self, now_ns, server, ok, reached, took_ns: record_result(
            self, now_ns, server, False, reached, 0
        )
    )
    return daemon()


if __name__ == "__main__":
    sys.exit(main())
