"""Logging to standard error without blocking on its reader.

A pipe that nobody reads fills up, and a write to it then blocks the event loop and with it all requests. So a
line that can't be written at once is dropped and counted, and the count is written before the next line.
Alternatives considered: a writer thread, whose queue would grow or drop lines as well, and a non-blocking
descriptor, whose flag would apply to all processes that write to the same pipe.
"""

from __future__ import annotations

import logging
import os
import select
import stat
import sys
from typing import TextIO

LINE_BYTES_MAX = select.PIPE_BUF - 1  # an atomic write to a pipe (pipe(7)), less the newline
LINE_FORMAT = "%(levelname)s %(name)s: %(message)s"


class LogStreamHandler(logging.StreamHandler[TextIO]):
    """Writes to one stream. Only pipes and sockets can block a writer."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self.dropped = 0  # lines dropped since the last one written
        self._poll: select.poll | None = None
        mode = os.fstat(stream.fileno()).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            self._poll = select.poll()
            self._poll.register(stream.fileno(), select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        if self._is_writable():
            super().emit(record)
            self.dropped = 0
        else:
            self.dropped += 1

    def format(self, record: logging.LogRecord) -> str:
        text = super().format(record)
        if self.dropped:
            text = f"{self.dropped} lines were not written: nobody read the log\n{text}"
        if self._poll is None:
            return text
        data = text.encode("utf-8", "replace")
        return text if len(data) <= LINE_BYTES_MAX else data[:LINE_BYTES_MAX].decode("utf-8", "ignore")

    def _is_writable(self) -> bool:
        return self._poll is None or bool(self._poll.poll(0))


def standard_error_handler() -> logging.Handler:
    """A handler for standard error, or a null handler if the process was started without it."""
    try:
        return LogStreamHandler(sys.stderr)
    except (AttributeError, OSError, ValueError):
        return logging.NullHandler()


def log_to_standard_error() -> None:
    """Logs everything from level INFO on to standard error."""
    logging.basicConfig(handlers=[standard_error_handler()], level=logging.INFO, format=LINE_FORMAT)
