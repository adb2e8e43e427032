"""Lines of the log to standard error, without waiting for whoever reads it.

A pipe that nobody reads fills up, and a write to it then waits for as long as that lasts, with the event loop
and all requests behind it. So a line that can't be written at once is dropped and counted, and the count is
told ahead of the next line that can. Weighed: a thread that writes (a queue that grows, or drops all the
same); a descriptor that does not block (the flag is shared with all that write to the same pipe).
"""

from __future__ import annotations

import logging
import os
import select
import stat
import sys
from typing import TextIO

LINE_BYTES_MAX = select.PIPE_BUF - 1  # what a pipe that has room takes at once (pipe(7)), with a line's end
FORMAT = "%(levelname)s %(name)s: %(message)s"


class LogStreamHandler(logging.StreamHandler[TextIO]):
    """Of one stream; only pipes and sockets can make a writer wait."""

    def __init__(self, stream: TextIO) -> None:
        super().__init__(stream)
        self.dropped = 0  # lines since the last one that was written
        self._poll: select.poll | None = None
        mode = os.fstat(stream.fileno()).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            self._poll = select.poll()
            self._poll.register(stream.fileno(), select.POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        if self._takes_a_line():
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

    def _takes_a_line(self) -> bool:
        return self._poll is None or bool(self._poll.poll(0))


def standard_error() -> logging.Handler:
    """A handler for it, or for nothing where the process was started without one."""
    try:
        return LogStreamHandler(sys.stderr)
    except (AttributeError, OSError, ValueError):
        return logging.NullHandler()


def log_to_standard_error() -> None:
    """All that the process logs, from INFO on."""
    logging.basicConfig(handlers=[standard_error()], level=logging.INFO, format=FORMAT)
