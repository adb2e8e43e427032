"""Watches: HTTP/1.1 requests whose answers are streams of one document a line. Dialing, time-outs and end.

Subclasses of `Watcher` interpret the lines and decide when to open the next watch.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

import httptools

from driftstair.net.dialing import DEAD_CONNECTION_ERRORS, dial
from driftstair.net.system import System

DEAD_CONNECTIONS_MAX = 2  # in a row, each replaced at once; after that, calls are made with pauses
STALL_MIN_S = 0.05  # a timer that is later than this shows that the process was stalled
LATE_READ_GRACE_S = 0.01  # to read what arrived during a stall before a watch counts as silent


class Watcher:
    """Keeps at most one watch, opened on request. The end of each watch is reported once."""

    def __init__(self, address: tuple[str, int], system: System, log: logging.Logger) -> None:
        """`log`: where the end of a watch is logged."""
        self._system = system
        self._log = log
        self._address = address
        self._watch: WatchConnection | None = None
        self._opening: asyncio.Task[None] | None = None
        self._dead_connections = 0  # dead connections since data were last received

    def request(self) -> bytes:
        """The bytes of the request: the head with its blank line."""
        raise NotImplementedError

    def connection(self) -> WatchConnection:
        """A new connection, not dialed yet, with the limits of this kind of watch."""
        raise NotImplementedError

    def dial_timeout_s(self) -> float:
        """Until the connection is established, in s."""
        raise NotImplementedError

    def on_line(self, watch: WatchConnection, line: bytes) -> None:
        """Handles a line of the open watch, without its line end."""
        raise NotImplementedError

    def on_unended_line(self, watch: WatchConnection, line: bytearray) -> bool:
        """Handles a line whose end has not been received; whether it was consumed."""
        return False

    def on_ended(self) -> None:
        """The watch has ended other than by `close`."""
        raise NotImplementedError

    def watch(self) -> None:
        if self._watch is not None:
            return  # open or opening, and its end will be reported: a second one would only be load
        self._watch = self.connection()
        self._opening = asyncio.get_running_loop().create_task(self._open(self._watch))

    def close(self) -> None:
        self._end_watch()

    def _end_watch(self) -> None:
        watch, self._watch = self._watch, None
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        if watch is not None:
            watch.close()

    async def _open(self, watch: WatchConnection) -> None:
        try:
            async with asyncio.timeout(self.dial_timeout_s()):
                await dial(self._system, lambda: watch, self._address)
        except (OSError, TimeoutError) as error:
            self.failed(watch, f"no connection: {error!r}")

    def is_current(self, watch: WatchConnection) -> bool:
        return watch is self._watch

    def follows(self, watch: WatchConnection) -> bool:
        """Whether the lines of this watch are used."""
        return watch is self._watch

    def on_line_received(self, watch: WatchConnection, line: bytes) -> None:
        self._dead_connections = 0
        if self.follows(watch):
            self.on_line(watch, line)

    def on_unended_line_received(self, watch: WatchConnection, line: bytearray) -> bool:
        """Whether a line without its end was consumed."""
        return self.follows(watch) and self.on_unended_line(watch, line)

    def on_silence(self, watch: WatchConnection) -> None:
        """The connection is dead, possibly without any error. An answered watch is reopened at once: the
        connection failed and not the server, so a pause would not reduce the server's load."""
        if watch is self._watch and watch.answered:
            self._reopen(watch, "fell silent")
        else:
            self.failed(watch, "no answer")

    def on_dead(self, watch: WatchConnection, reason: str) -> None:
        """This machine has given up the connection, which the server has not ended: what the server sent may
        be lost, and a pause would not reduce its load."""
        if watch is self._watch and self._dead_connections < DEAD_CONNECTIONS_MAX:
            self._dead_connections += 1
            self._reopen(watch, reason)
        else:
            self.failed(watch, reason)

    def _reopen(self, watch: WatchConnection, reason: str) -> None:
        self._log.warning("watch is opened anew: %s", reason)
        self.on_reopened(watch, reason)
        self._end_watch()
        self.watch()

    def on_reopened(self, watch: WatchConnection, reason: str) -> None:
        """A watch that the server has not ended is about to be replaced."""

    def failed(self, watch: WatchConnection, reason: str) -> None:
        """The watch has ended; a second report for the same watch is ignored."""
        if watch is not self._watch:
            return
        self._watch = None
        watch.close()
        self._log.warning("watch ended: %s", reason)
        self.on_ended()


class WatchConnection(asyncio.Protocol):
    """The connection of one watch, which splits the answer into lines."""

    def __init__(
        self, owner: Watcher, answer_timeout_s: float, silence_timeout_s: float, line_bytes_max: int
    ) -> None:
        """`answer_timeout_s`: to the first line; `silence_timeout_s`: after that, without a byte;
        `line_bytes_max`: of a line without its end."""
        self._owner = owner
        self._answer_timeout_s = answer_timeout_s
        self._silence_timeout_s = silence_timeout_s
        self._line_bytes_max = line_bytes_max
        self._transport: asyncio.Transport | None = None
        # Only while connected, as the parser and the connection reference each other.
        self._parser: httptools.HttpResponseParser | None = None
        self._partial_line = bytearray()
        self._paused = False
        self.answered = False  # a line, or a part of one, has been received
        loop = asyncio.get_running_loop()
        self._last_received = self._started = loop.time()
        self._timer = loop.call_later(answer_timeout_s, self._check_timeout)

    def is_up(self) -> bool:
        """Whether the connection is established and the request written."""
        return self._transport is not None

    def age(self) -> float:
        """Seconds since the watch was started."""
        return asyncio.get_running_loop().time() - self._started

    def is_overdue(self) -> bool:
        """Whether the answer time-out passed unnoticed, because the process was stalled."""
        return not self.answered and self.age() > self._answer_timeout_s + STALL_MIN_S

    def close(self) -> None:
        self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Leaves data in the receive buffer; the silence time-out does not apply meanwhile."""
        if self._transport is not None and not self._paused and not self._transport.is_closing():
            self._paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        if self._transport is not None and self._paused and not self._transport.is_closing():
            self._paused = False
            self._last_received = asyncio.get_running_loop().time()
            self._transport.resume_reading()

    def _fail(self, reason: str) -> None:
        self._owner.failed(self, reason)
        self.close()

    def _check_timeout(self, is_after_grace: bool = False) -> None:
        loop = asyncio.get_running_loop()
        remaining = (
            self._last_received
            + (self._silence_timeout_s if self.answered else self._answer_timeout_s)
            - loop.time()
        )
        if self._paused:
            self._timer = loop.call_later(self._silence_timeout_s, self._check_timeout)
        elif remaining > 0:
            self._timer = loop.call_later(remaining, self._check_timeout)
        elif is_after_grace:
            self._owner.on_silence(self)
        else:
            # The loop runs timers before it reads sockets. After a stall, what the server sent meanwhile is
            # still in the receive buffer, and the node would call again along with all others that stalled.
            self._timer = loop.call_later(LATE_READ_GRACE_S, self._check_timeout, True)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        if self._owner.is_current(self):
            self._parser = httptools.HttpResponseParser(self)
            transport.write(self._owner.request())
        else:  # given up during the dial: an unread watch would only be load for the server
            transport.abort()

    def data_received(self, data: bytes) -> None:
        self._last_received = asyncio.get_running_loop().time()
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"unreadable: {error!r}")

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._parser = None
        is_dead = isinstance(exc, OSError) and exc.errno in DEAD_CONNECTION_ERRORS
        (self._owner.on_dead if is_dead else self._owner.failed)(self, f"connection ended: {exc!r}")

    # Callbacks of the parser.

    def on_headers_complete(self) -> None:
        assert self._parser is not None  # it is the caller
        status = self._parser.get_status_code()
        if status != 200:
            self._fail(f"status {status}")

    def on_body(self, data: bytes) -> None:
        self._partial_line += data
        if not self.answered:
            self.answered = True
            # The silence time-out replaces the answer time-out.
            self._timer.cancel()
            self._timer = asyncio.get_running_loop().call_later(self._silence_timeout_s, self._check_timeout)
        *lines, self._partial_line = self._partial_line.split(b"\n")
        for line in lines:
            self._owner.on_line_received(self, bytes(line))
        if self._partial_line and self._owner.on_unended_line_received(self, self._partial_line):
            self._partial_line = bytearray()
        if len(self._partial_line) > self._line_bytes_max:
            self._fail("a line without end")

    def on_message_complete(self) -> None:
        self._fail("answer ended")
