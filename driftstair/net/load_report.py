"""What servers report of their load in an answer's header, in the order of the settings' fields."""

from __future__ import annotations

import logging
from math import inf

log = logging.getLogger(__name__)

BYTES_MOST = 1024  # of a report


class LoadReports:
    """Reads the reports of one node's servers; says once that they can't be used."""

    def __init__(self, fields: tuple[bytes, ...]) -> None:
        self._fields = fields
        self._has_warned = False

    def read(self, text: bytes) -> tuple[float, ...]:
        """The fields' values; nothing, if one is missing or unreadable, or there is no report."""
        if not text:
            return ()
        try:
            return self._values(text)
        except (ValueError, KeyError):
            self._warn(text)
            return ()

    def _values(self, text: bytes) -> tuple[float, ...]:
        """Raises ValueError or KeyError."""
        if len(text) > BYTES_MOST:
            raise ValueError
        values = dict(part.strip().split(b"=", 1) for part in text.split(b","))
        report = tuple(float(values[name]) for name in self._fields)
        if not all(0.0 <= value < inf for value in report):  # what is no number passes neither
            raise ValueError
        return report

    def _warn(self, text: bytes) -> None:
        if not self._has_warned:
            self._has_warned = True
            log.warning("load reports can't be used: %r, wanted %r", text, self._fields)
