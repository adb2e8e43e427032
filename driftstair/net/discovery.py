"""The watch that keeps the list of servers current."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import httptools

from driftstair.hosts import HostList, ListError, parse_list
from driftstair.net.documents import TEXT_MOST, Documents
from driftstair.net.system import System

log = logging.getLogger(__name__)

# A change counts as told 6 s after discovery had it and could be reached, whatever befell the calls before.
# So each way from there to a list that is read has to be shorter: a silent watch and the call after it, a
# call without an answer and the pause (the module's, where it is asked), a connection that does not come up.
SILENCE = 3.0  # s without a byte of a watch that has been answered: an open one brings one every 2 s
ANSWER = 3.5  # s to the first line of a call: discovery works through them in turn, for up to 3 s
ANSWER_PUSHED = 0.5  # s, where it is an agent on this machine, which answers at once or not at all
DIAL = 2.0  # s until the connection is up
LAST_LOOK = 0.01  # s for what has come while the loop stood still to be read, before a watch counts as silent


class Discovery:
    """Keeps one watch at most, opened when it is told to. Each watch that ends is reported once. After a move
    the one at the old place is read until the new place has answered or failed; its end is not reported."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        answer_within: float,
        on_list: Callable[[HostList], None],
        on_failed: Callable[[], None],
        system: System,
    ) -> None:
        self._system = system
        self._address = address
        self.version = version
        self.answer_within = answer_within
        self._on_list = on_list
        self._on_failed = on_failed
        self._watch: _Watch | None = None
        self._previous: _Watch | None = None  # at the place before the last move
        self._opening: asyncio.Task[None] | None = None

    def watch(self) -> None:
        if self._watch is not None:
            return  # it stands or is being opened, and will tell of its end: a second one is load
        self._watch = _Watch(self)
        self._opening = asyncio.get_running_loop().create_task(self._open(self._watch))

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address from now on. The old watch is read until that has answered: what it tells
        meanwhile, or has told unread, counts as told. Versions are each place's own, so the first line has to
        be the whole list."""
        if address == self._address:
            return
        self._address = address
        self.version = 0
        previous, self._watch = self._watch, None
        if previous is not None and not previous.answered:
            previous.close()  # nothing was told on it, and an older one may stand
        elif previous is not None:
            self._end_previous()
            self._previous = previous
        self._stop_opening()
        self.watch()

    def close(self) -> None:
        self._end_previous()
        watch, self._watch = self._watch, None
        self._stop_opening()
        if watch is not None:
            watch.close()

    def _stop_opening(self) -> None:
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None

    def _end_previous(self) -> None:
        previous, self._previous = self._previous, None
        if previous is not None:
            previous.close()

    def request(self) -> bytes:
        host, port = self._address
        target = f"/discovery/hosts?watch=1&from={self.version}"
        return f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

    async def _open(self, watch: _Watch) -> None:
        try:
            async with asyncio.timeout(DIAL):
                await self._system.dial(lambda: watch, self._address)
        except (OSError, TimeoutError) as problem:
            self.failed(watch, f"no connection: {problem!r}")

    def is_current(self, watch: _Watch) -> bool:
        return watch is self._watch

    def received(self, watch: _Watch, line: bytes) -> None:
        if watch is not self._watch and watch is not self._previous:
            return
        try:
            updates = [parse_list(document) for document in watch.documents.add(line)]
            # Changes build on the list that is held; one from before it would undo what was told since.
            for update in updates:
                if not update.full and update.version < watch.version:
                    raise ListError(f"version {update.version} comes after {watch.version}")
        except (ValueError, RecursionError, ListError) as problem:
            if watch is self._watch:
                self.version = 0  # what was skipped is unknown: the next watch starts from the whole list
            self.failed(watch, f"bad line: {problem}")
            return
        for update in updates:
            watch.version = update.version
            if watch is self._watch:
                self.version = update.version
                self._end_previous()
            self._on_list(update)

    def silent(self, watch: _Watch) -> None:
        """Its connection is dead, though nothing may ever say so. One that had been answered is opened anew
        at once: the connection failed, not discovery, and no call is being spared."""
        if watch is self._previous:
            self._end_previous()
        elif watch is self._watch and watch.answered:
            log.warning("watch fell silent: opened anew")
            self.close()
            self.watch()
        else:
            self.failed(watch, "no answer")

    def failed(self, watch: _Watch, why: str) -> None:
        """The watch has ended; a second report of the same one is passed over."""
        if watch is self._previous:
            self._end_previous()
            return
        if watch is not self._watch:
            return
        self._watch = None
        self._end_previous()  # whoever asked hears that there is no watch: no news may come after that
        watch.close()
        log.warning("watch ended: %s", why)
        self._on_failed()


class _Watch(asyncio.Protocol):
    """The connection of one watch: bytes to lines."""

    def __init__(self, owner: Discovery) -> None:
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None  # while it is up: the two hold each other
        self._rest = bytearray()
        self.documents = Documents()
        self.version = owner.version  # of the last list or change that came on it
        self.answered = False  # a line, or a part of one, has come
        loop = asyncio.get_running_loop()
        self._heard = loop.time()
        self._timer = loop.call_later(owner.answer_within, self._check)

    def close(self) -> None:
        self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, why: str) -> None:
        self._owner.failed(self, why)
        self.close()

    def _check(self, looked: bool = False) -> None:
        loop = asyncio.get_running_loop()
        left = self._heard + (SILENCE if self.answered else self._owner.answer_within) - loop.time()
        if left > 0:
            self._timer = loop.call_later(left, self._check)
        elif looked:
            self._owner.silent(self)
        else:
            # Timers run before sockets are read. Guards against a node that stood still: what discovery sent
            # meanwhile is with the kernel, and it would call again, with all others that stood still.
            self._timer = loop.call_later(LAST_LOOK, self._check, True)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        if self._owner.is_current(self):
            self._parser = httptools.HttpResponseParser(self)
            transport.write(self._owner.request())
        else:  # given up while it was dialed: a watch that nobody reads is load for discovery
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
        self._owner.failed(self, f"connection ended: {exc!r}")

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
            self._timer = asyncio.get_running_loop().call_later(SILENCE, self._check)
        *lines, self._rest = self._rest.split(b"\n")
        for line in lines:
            self._owner.received(self, bytes(line))
        if len(self._rest) > TEXT_MOST:
            self._fail("a line without end")

    def on_message_complete(self) -> None:
        self._fail("answer ended")
