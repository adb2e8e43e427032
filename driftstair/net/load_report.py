"""Parses the load reports in the header of servers' answers, in the order of the configured fields."""

from __future__ import annotations

import logging
from math import inf

log = logging.getLogger(__name__)

REPORT_BYTES_MAX = 1024


class LoadReports:
    """Parses the load reports of one node's servers; logs a warning on the first invalid one only."""

    def __init__(self, fields: tuple[bytes, ...]) -> None:
        self._fields = fields
        self._has_warned = False

    def read(self, text: bytes) -> tuple[float, ...]:
        """The values of the fields; empty if there is no report, or a field is missing or invalid."""
        if not text:
            return ()
        try:
            return self._values(text)
        except (ValueError, KeyError):
            self._warn(text)
            return ()

    def _values(self, text: bytes) -> tuple[float, ...]:
        """Raises ValueError or KeyError."""
        if len(text) > REPORT_BYTES_MAX:
            raise ValueError
        values = dict(part.strip().split(b"=", 1) for part in text.split(b","))
        report = tuple(float(values[name]) for name in self._fields)
        if not all(0.0 <= value < inf for value in report):  # rejects NaN too
            raise ValueError
        return report

    def _warn(self, text: bytes) -> None:
        if not self._has_warned:
            self._has_warned = True
            log.warning("load reports can't be used: %r, wanted %r", text, self._fields)
