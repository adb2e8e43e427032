"""A watch: one HTTP/1.1 call whose answer goes on, a document a line. Its dial, its silence and its end.

What the lines say, and when to call again, is for the class that derives from `Watcher`.
"""

from __future__ import annotations

import asyncio
import logging
from typing import cast

import httptools

from driftstair.net.dialing import DEAD_ERRORS, dial
from driftstair.net.system import System

DEATHS_MOST = 2  # connections in a row that died, after which the next call waits as after a refusal
LATE_LEAST = 0.05  # s that a timer may come late: more, and the process stood still
LATE_READ_GRACE_S = (
    0.01  # s for what has come while the loop stood still to be read, before a watch counts as silent
)


class Watcher:
    """Keeps one watch at most, opened when it is told to. Each watch that ends is reported once."""

    def __init__(self, address: tuple[str, int], system: System, log: logging.Logger) -> None:
        """`log`: where the end of a watch is said."""
        self._system = system
        self._log = log
        self._address = address
        self._watch: WatchConnection | None = None
        self._opening: asyncio.Task[None] | None = None
        self._deaths = 0  # of connections, since something came of one

    def request(self) -> bytes:
        """The call, head and blank line."""
        raise NotImplementedError

    def connection(self) -> WatchConnection:
        """A new connection, not dialed yet, with the bounds of this kind of watch."""
        raise NotImplementedError

    def dial_timeout_s(self) -> float:
        """Until the connection is up, in s."""
        raise NotImplementedError

    def on_line(self, watch: WatchConnection, line: bytes) -> None:
        """A line, without its end, of the watch that stands."""
        raise NotImplementedError

    def on_unended_line(self, watch: WatchConnection, line: bytearray) -> bool:
        """What there is of a line whose end has not come; whether it was used as it is, and is done with."""
        return False

    def on_ended(self) -> None:
        """The watch has ended, and not by `close`."""
        raise NotImplementedError

    def watch(self) -> None:
        if self._watch is not None:
            return  # it stands or is being opened, and will tell of its end: a second one is load
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
        except (OSError, TimeoutError) as problem:
            self.failed(watch, f"no connection: {problem!r}")

    def is_current(self, watch: WatchConnection) -> bool:
        return watch is self._watch

    def follows(self, watch: WatchConnection) -> bool:
        """Whether its lines count."""
        return watch is self._watch

    def received(self, watch: WatchConnection, line: bytes) -> None:
        self._deaths = 0
        if self.follows(watch):
            self.on_line(watch, line)

    def received_unended(self, watch: WatchConnection, line: bytearray) -> bool:
        """Whether what there is of a line was used as it is."""
        return self.follows(watch) and self.on_unended_line(watch, line)

    def on_silence(self, watch: WatchConnection) -> None:
        """Its connection is dead, though nothing may ever say so. One that had been answered is opened anew
        at once: the connection failed, not the other side, and no call is being spared."""
        if watch is self._watch and watch.answered:
            self._reopen(watch, "fell silent")
        else:
            self.failed(watch, "no answer")

    def died(self, watch: WatchConnection, why: str) -> None:
        """This machine has given its connection up, and the other side has ended nothing: what it wrote may
        be lost on the way, and no call is spared."""
        if watch is self._watch and self._deaths < DEATHS_MOST:
            self._deaths += 1
            self._reopen(watch, why)
        else:
            self.failed(watch, why)

    def _reopen(self, watch: WatchConnection, why: str) -> None:
        self._log.warning("watch is opened anew: %s", why)
        self.on_reopened(watch, why)
        self._end_watch()
        self.watch()

    def on_reopened(self, watch: WatchConnection, why: str) -> None:
        """A watch that has not been ended by the other side is about to be replaced."""

    def failed(self, watch: WatchConnection, why: str) -> None:
        """The watch has ended; a second report of the same one is passed over."""
        if watch is not self._watch:
            return
        self._watch = None
        watch.close()
        self._log.warning("watch ended: %s", why)
        self.on_ended()


class WatchConnection(asyncio.Protocol):
    """The connection of one watch: bytes to lines."""

    def __init__(self, owner: Watcher, answer_within: float, silence: float, line_most: int) -> None:
        """`answer_within`: to the first line, in s; `silence`: then without a byte, in s; `line_most`: bytes
        of a line that has no end yet."""
        self._owner = owner
        self._answer_within = answer_within
        self._silence = silence
        self._line_most = line_most
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None  # while it is up: the two hold each other
        self._rest = bytearray()
        self._paused = False
        self.answered = False  # a line, or a part of one, has come
        loop = asyncio.get_running_loop()
        self._heard = self._began = loop.time()
        self._timer = loop.call_later(answer_within, self._check)

    def is_up(self) -> bool:
        """Whether its connection stands, and its call has been made."""
        return self._transport is not None

    def age(self) -> float:
        """Since it was begun, in s."""
        return asyncio.get_running_loop().time() - self._began

    def is_overdue(self) -> bool:
        """Whether the answer's time ran out unnoticed: the process has stood still."""
        return not self.answered and self.age() > self._answer_within + LATE_LEAST

    def close(self) -> None:
        self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """What comes stays with the kernel; silence does not count meanwhile."""
        if self._transport is not None and not self._paused and not self._transport.is_closing():
            self._paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        if self._transport is not None and self._paused and not self._transport.is_closing():
            self._paused = False
            self._heard = asyncio.get_running_loop().time()
            self._transport.resume_reading()

    def _fail(self, why: str) -> None:
        self._owner.failed(self, why)
        self.close()

    def _check(self, looked: bool = False) -> None:
        loop = asyncio.get_running_loop()
        left = self._heard + (self._silence if self.answered else self._answer_within) - loop.time()
        if self._paused:
            self._timer = loop.call_later(self._silence, self._check)
        elif left > 0:
            self._timer = loop.call_later(left, self._check)
        elif looked:
            self._owner.on_silence(self)
        else:
            # Timers run before sockets are read. Guards against a node that stood still: what the other side
            # sent meanwhile is with the kernel, and it would call again, with all others that stood still.
            self._timer = loop.call_later(LATE_READ_GRACE_S, self._check, True)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        if self._owner.is_current(self):
            self._parser = httptools.HttpResponseParser(self)
            transport.write(self._owner.request())
        else:  # given up while it was dialed: a watch that nobody reads is load for the other side
            transport.abort()

    def data_received(self, data: bytes) -> None:
        self._heard = asyncio.get_running_loop().time()
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._fail(f"unreadable: {problem!r}")

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._parser = None
        died = isinstance(exc, OSError) and exc.errno in DEAD_ERRORS
        (self._owner.died if died else self._owner.failed)(self, f"connection ended: {exc!r}")

    # What the parser finds.

    def on_headers_complete(self) -> None:
        assert self._parser is not None  # it is what calls
        status = self._parser.get_status_code()
        if status != 200:
            self._fail(f"status {status}")

    def on_body(self, data: bytes) -> None:
        self._rest += data
        if not self.answered:
            self.answered = True
            # Until now the time for an answer counted, which is another one.
            self._timer.cancel()
            self._timer = asyncio.get_running_loop().call_later(self._silence, self._check)
        *lines, self._rest = self._rest.split(b"\n")
        for line in lines:
            self._owner.received(self, bytes(line))
        if self._rest and self._owner.received_unended(self, self._rest):
            self._rest = bytearray()
        if len(self._rest) > self._line_most:
            self._fail("a line without end")

    def on_message_complete(self) -> None:
        self._fail("answer ended")
