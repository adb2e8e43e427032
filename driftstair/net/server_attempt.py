"""One attempt at a server: over a pooled or a new connection, with its time-outs and its result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from driftstair.net.answer_phase import DECISION_LEAD_NS, AnswerPhase, AttemptEnd
from driftstair.net.body_stream import STREAM_STALL_S_MAX, Stream
from driftstair.net.dialing import LOCAL_ERRORS, dial
from driftstair.net.request_guard import AttemptPermit
from driftstair.net.server_answer import Answer
from driftstair.net.server_connection import Connection
from lichenspring.interface import Result

if TYPE_CHECKING:
    from driftstair.net.connection_pools import Pool

STALL_MIN_NS = 20_000_000  # a timer that is later than this shows that the process was stalled
LATE_READ_GRACE_S = 0.01  # to read what arrived during a stall before a time-out counts
UPDATES_POLL_INTERVAL_S = 0.005  # between checks whether updates of the server list have been read
UPDATES_POLLS_MAX = 20  # the loop reads in its next turn, so what stays unread for longer is no update
UPLOAD_CHECK_INTERVAL_NS = 1_000_000_000  # between checks whether a streamed request body progresses


class Attempt:
    """One request at one server. It ends exactly once, in `end`, which calls `on_end`."""

    __slots__ = (
        "_body",
        "_connection",
        "_dial",
        "_head",
        "_last_connection",
        "_on_end",
        "_patience",
        "_permit",
        "_timer",
        "_transmitted_deadline",
        "answer_began_at",
        "client_deadline",
        "expires",
        "first_byte",
        "has_ended",
        "last_progress",
        "pool",
        "written_at",
    )  # fmt: skip

    def __init__(
        self, pool: Pool, head: bytes, body: bytes | Stream, expires: int,
        on_end: Callable[[Result, Answer | None], None], permit: AttemptPermit, client_deadline: int,
        first_byte: int = 0,
    ) -> None:  # fmt: skip
        """`permit` is checked immediately before the request is written, however late that is."""
        self.pool = pool
        self.client_deadline = client_deadline  # monotonic ns
        self.answer_began_at = 0  # when the head of an answer that is timed by its first bytes arrived
        self.expires = expires  # monotonic ns
        self.first_byte = first_byte  # ns until the answer must have begun; 0: no such limit, or it has begun
        self.has_ended = False
        self.written_at = 0  # when the last byte of a streamed body was written, monotonic ns
        self.last_progress = 0  # when a streamed body last progressed, monotonic ns
        self._transmitted_deadline = 0  # time to the deadline as sent to the server, ns
        self._patience = expires - pool.pools.now()  # for a streamed body: counts from its last byte
        self._head = head
        self._body = body
        self._on_end = on_end
        self._permit = permit
        self._connection: Connection | None = None
        self._last_connection: Connection | None = None  # the one that it had when it ended
        self._dial: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        if self.pool.pools.has_unread_updates():
            self._wait_for_updates()
        else:
            self._begin()

    def _wait_for_updates(self) -> None:
        """Waits in `dialing`, so a list that retires the server ends this attempt too. After a stall of the
        event loop, a request and a list that arrived after it are read in the same turn in any order, and
        the list counts as known from its arrival."""
        self.pool.dialing[self] = None
        self._set_timer(self.expires)
        self._dial = asyncio.get_running_loop().create_task(self._begin_after_updates())

    async def _begin_after_updates(self) -> None:
        for _ in range(UPDATES_POLLS_MAX):
            await asyncio.sleep(UPDATES_POLL_INTERVAL_S)
            if not self.pool.pools.has_unread_updates():
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
        elif not self.pool.pools.make_room():
            # The node is out of descriptors, which is not a failure of the server.
            self.end(Result.NOT_SENT)
        else:
            self.pool.dialing[self] = None
            pools = self.pool.pools
            self._set_timer(min(self.expires, pools.now() + pools.dial_timeout))
            self._dial = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        self.pool.pools.sockets += 1  # during the dial; an open connection counts itself
        try:
            protocol = await dial(self.pool.pools.system, lambda: Connection(self.pool), self.pool.address)
        except OSError as error:
            self._dial = None
            is_local = error.errno in LOCAL_ERRORS
            self.end(Result.NOT_SENT if is_local else Result.CONNECT_FAILED)
            return
        finally:
            self.pool.pools.sockets -= 1
        connection = cast(Connection, protocol)
        self._dial = None
        self.pool.dialing.pop(self, None)
        if self.has_ended:  # the attempt ended just as the connection was established
            connection.close()
        elif connection.closed:
            self.end(Result.CONNECT_FAILED)
        elif self.pool.pools.has_unread_updates():
            if self._timer is not None:
                self._timer.cancel()
            self.pool.put(connection)
            self._wait_for_updates()
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
            self._connection, self.last_progress = connection, now
            self._set_timer(now + UPLOAD_CHECK_INTERVAL_NS)
            patience_us = self._patience // 1000
            self._transmitted_deadline = self._patience
            connection.send(self, b"%sX-Deadline: %du\r\n\r\n" % (self._head, patience_us), self._body)
            return
        time_left = self.expires - now
        if time_left <= 0:
            self.pool.put(connection)
            self.end(Result.CONNECT_FAILED)
            return
        self._connection = connection
        first_byte_by = self.pool.pools.now() + self.first_byte if self.first_byte else self.expires
        self._set_timer(min(first_byte_by, self.expires))
        self._transmitted_deadline = time_left
        connection.send(self, b"%sX-Deadline: %du\r\n\r\n%s" % (self._head, time_left // 1000, self._body))

    def _set_timer(self, at: int) -> None:
        # Rounded up, as the loop rounds to whole milliseconds. After a time-out that is slightly early, the
        # decision module would see time left and make an attempt with almost none at each other server, and
        # count each of those as a failure of that server.
        delay = max(0, at - self.pool.pools.now()) // 1_000_000 + 1
        self._timer = asyncio.get_running_loop().call_later(delay / 1000, self._on_timer, at)

    def _on_timer(self, at: int, is_after_grace: bool = False) -> None:
        now = self.pool.pools.now()
        if now < at:
            self._set_timer(at)
            return
        if not is_after_grace and (now - at >= STALL_MIN_NS or self.has_unread_answer()):
            # The loop runs timers before it reads sockets: an answer or a connection that has arrived must
            # not time out unread.
            self._timer = asyncio.get_running_loop().call_later(LATE_READ_GRACE_S, self._on_timer, at, True)
            return
        is_uploading = self.last_progress and not self.written_at
        if is_uploading and now - self.last_progress < STREAM_STALL_S_MAX * 1e9:
            self._set_timer(now + UPLOAD_CHECK_INTERVAL_NS)  # its time-out counts from its last byte
            return
        if self.pass_on_answer(AttemptEnd.TIME_OUT):
            return
        if self.answer_began_at and now < self.expires:
            self._set_timer(self.expires)
            return
        may_be_fully_sent = self._connection is not None and self._connection.may_be_fully_sent
        self.end(Result.TIMEOUT if may_be_fully_sent else Result.CONNECT_FAILED)

    def on_request_written(self) -> None:
        """The first bytes of the request have been passed to the kernel."""
        self._permit.record_write(self.pool.pools.now(), self._transmitted_deadline)

    def on_upload_complete(self) -> None:
        """The last byte of a streamed body has been written: the time-out counts from now."""
        self.written_at = self.pool.pools.now()
        self.expires = self.written_at + self._patience
        self._reset_timer(self._decision_time())

    def on_answer_begun(self) -> None:
        """The first byte of the answer has arrived: from now on only the overall time-out applies."""
        self.first_byte = 0
        self._reset_timer(self._decision_time())

    def on_answer_undecided(self) -> None:
        """The answer has begun and its length is not known. Whether it is timed by its first bytes is decided
        just before its time runs out."""
        self.answer_began_at = self.pool.pools.now()
        self._reset_timer(self._decision_time())

    def _decision_time(self) -> int:
        """When the attempt times out, or its answer is passed on as it comes."""
        return self.expires - DECISION_LEAD_NS if self.answer_began_at else self.expires

    def _reset_timer(self, at: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if not self.has_ended:
            self._set_timer(at)

    def has_unread_answer(self) -> bool:
        """Whether its server has sent something that has not been read."""
        return self._connection is not None and not self._connection.has_no_unread_data()

    def pass_on_answer(self, end: AttemptEnd) -> bool:
        """Passes the answer on as it comes, if `end` must not end it; returns whether it does."""
        return self._connection is not None and self._connection.pass_on_answer(end)

    def answer_progress(self) -> tuple[AnswerPhase, int]:
        """The phase of its answer, and how many bytes of it had arrived, in the moment in which it ends."""
        if self._last_connection is None:
            return AnswerPhase.AWAITED, 0
        return self._last_connection.answer_progress()

    def has_been_sent(self) -> bool:
        """Whether some of the request has been written."""
        return self._connection is not None

    def cancel(self) -> None:
        self.end(Result.CANCELLED)

    def end(self, result: Result, answer: Answer | None = None) -> None:
        if self.has_ended:
            return
        self.has_ended = True
        if self._timer is not None:
            self._timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        self.pool.dialing.pop(self, None)
        connection, self._connection = self._connection, None
        if connection is not None:
            self._last_connection = connection
            connection.release(self)
        self._on_end(result, answer)
