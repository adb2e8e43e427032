"""One attempt at a server: the dial or a kept connection, its time, and how it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from driftstair.net.body_stream import STREAM_STALL_S_MAX, Stream
from driftstair.net.dialing import LOCAL_ERRORS, dial
from driftstair.net.request_guard import AttemptPermit
from driftstair.net.server_connection import Answer, Connection
from lichenspring.interface import Result

if TYPE_CHECKING:
    from driftstair.net.connection_pools import Pool

LATE_LEAST = 20_000_000  # ns that a time-out may come late: more, and the process stood still
LAST_LOOK = 0.01  # s for what came meanwhile to be read
NEWS_LOOK = 0.005  # s between two looks at whether news of the servers have been read
NEWS_LOOKS = 20  # of them: the next turn of the loop reads, so what is unread for longer is none
UPLOAD_LOOK = 1_000_000_000  # ns between two looks at whether a long body gets on


class Attempt:
    """One request at one server. It ends once: by `end`, and then `on_end` hears of it."""

    __slots__ = (
        "_body", "_connection", "_dial", "_head", "_on_end", "_patience", "_permit", "_timer", "_told",
        "done", "expires", "first_byte", "moved", "pool", "written_at",
    )  # fmt: skip

    def __init__(
        self, pool: Pool, head: bytes, body: bytes | Stream, expires: int,
        on_end: Callable[[Result, Answer | None], None], permit: AttemptPermit, first_byte: int = 0,
    ) -> None:  # fmt: skip
        """`permit` is asked right before the bytes go out, however long that takes."""
        self.pool = pool
        self.expires = expires  # monotonic ns
        self.first_byte = first_byte  # ns until the answer must have begun; 0: no such limit, or it has
        self.done = False
        self.written_at = 0  # when the last byte of a stream was out, monotonic ns
        self.moved = 0  # when a stream last got on
        self._told = 0  # the deadline that the server is told, ns
        self._patience = expires - pool.pools.now()  # for a stream: from its last byte on
        self._head = head
        self._body = body
        self._on_end = on_end
        self._permit = permit
        self._connection: Connection | None = None
        self._dial: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        if self.pool.pools.has_news():
            self._wait_for_news()
        else:
            self._begin()

    def _wait_for_news(self) -> None:
        """Parked as one that is dialed, and so ended by the list if that retires its server. Guards against a
        loop that stood still: a request and the list that came after it are read in one turn, in any order,
        and the list counts as told since it came."""
        self.pool.dialing[self] = None
        self._expires_at(self.expires)
        self._dial = asyncio.get_running_loop().create_task(self._begin_after_news())

    async def _begin_after_news(self) -> None:
        for _ in range(NEWS_LOOKS):
            await asyncio.sleep(NEWS_LOOK)
            if not self.pool.pools.has_news():
                break
        self._dial = None
        self.pool.dialing.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()
        if self._permit.forbids(self.pool.pools.now()) is not None:
            self.end(Result.NOT_SENT)
        else:
            self._begin()

    def _begin(self) -> None:
        connection = self.pool.take()
        if connection is not None:
            self._write(connection)
        elif not self.pool.pools.room():
            # The node's own want of descriptors is no failure of the server.
            self.end(Result.NOT_SENT)
        else:
            self.pool.dialing[self] = None
            pools = self.pool.pools
            self._expires_at(min(self.expires, pools.now() + pools.dial_timeout))
            self._dial = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        self.pool.pools.sockets += 1  # while it is dialed; an open connection counts itself
        try:
            protocol = await dial(self.pool.pools.system, lambda: Connection(self.pool), self.pool.address)
        except OSError as problem:
            self._dial = None
            local = problem.errno in LOCAL_ERRORS
            self.end(Result.NOT_SENT if local else Result.CONNECT_FAILED)
            return
        finally:
            self.pool.pools.sockets -= 1
        connection = cast(Connection, protocol)
        self._dial = None
        self.pool.dialing.pop(self, None)
        if self.done:  # it ended in the moment in which the connection came up
            connection.close()
        elif connection.closed:
            self.end(Result.CONNECT_FAILED)
        elif self.pool.pools.has_news():
            if self._timer is not None:
                self._timer.cancel()
            self.pool.put(connection)
            self._wait_for_news()
        else:
            if self._timer is not None:
                self._timer.cancel()
            self._write(connection)

    def _write(self, connection: Connection) -> None:
        now = self.pool.pools.now()
        if self._permit.forbids(now) is not None:
            self.pool.put(connection)
            self.end(Result.NOT_SENT)
            return
        if isinstance(self._body, Stream):
            self._connection, self.moved = connection, now
            self._expires_at(now + UPLOAD_LOOK)
            patience = self._patience // 1000
            self._told = self._patience
            connection.send(self, b"%sX-Deadline: %du\r\n\r\n" % (self._head, patience), self._body)
            return
        left = self.expires - now
        if left <= 0:
            self.pool.put(connection)
            self.end(Result.CONNECT_FAILED)
            return
        self._connection = connection
        first = self.pool.pools.now() + self.first_byte if self.first_byte else self.expires
        self._expires_at(min(first, self.expires))
        self._told = left
        connection.send(self, b"%sX-Deadline: %du\r\n\r\n%s" % (self._head, left // 1000, self._body))

    def _expires_at(self, at: int) -> None:
        # The loop counts in whole milliseconds and rounds. Guards against a time-out that comes a little
        # early: the module would find time left, and spend a further attempt that has none on each of the
        # other servers, to each of which it would look like a failure.
        delay = max(0, at - self.pool.pools.now()) // 1_000_000 + 1
        self._timer = asyncio.get_running_loop().call_later(delay / 1000, self._expire, at)

    def _expire(self, at: int, looked: bool = False) -> None:
        now = self.pool.pools.now()
        if now < at:
            self._expires_at(at)
            return
        if now - at >= LATE_LEAST and not looked:
            # Timers run before sockets are read. Guards against a time-out of an answer, or of a dial, that
            # came while the process stood still.
            self._timer = asyncio.get_running_loop().call_later(LAST_LOOK, self._expire, at, True)
            return
        uploads = self.moved and not self.written_at
        if uploads and now - self.moved < STREAM_STALL_S_MAX * 1e9:
            self._expires_at(now + UPLOAD_LOOK)  # its time counts from its last byte
            return
        may_be_whole = self._connection is not None and self._connection.may_be_whole
        self.end(Result.TIMEOUT if may_be_whole else Result.CONNECT_FAILED)

    def wrote(self) -> None:
        """Its first bytes are with the kernel."""
        self._permit.record_write(self.pool.pools.now(), self._told)

    def uploaded(self) -> None:
        """The last byte of a stream is out: its time counts from now on."""
        self.written_at = self.pool.pools.now()
        self.expires = self.written_at + self._patience
        if self._timer is not None:
            self._timer.cancel()
        if not self.done:
            self._expires_at(self.expires)

    def begins(self) -> None:
        """The first byte of its answer has come: from now on the whole time counts."""
        self.first_byte = 0
        if self._timer is not None:
            self._timer.cancel()
        self._expires_at(self.expires)

    def is_out(self) -> bool:
        """Some of it has been written."""
        return self._connection is not None

    def cancel(self) -> None:
        self.end(Result.CANCELLED)

    def end(self, result: Result, answer: Answer | None = None) -> None:
        if self.done:
            return
        self.done = True
        if self._timer is not None:
            self._timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        self.pool.dialing.pop(self, None)
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.release(self)
        self._on_end(result, answer)
