"""The connection between the two processes of an upgrade, as each uses it. `handover.py` lists its lines."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable

from driftstair.net.request_ids import Claim, SharedIds

log = logging.getLogger(__name__)

PREDECESSOR_TIMEOUT_S = 1.0
CLAIM_TIMEOUT_S = 0.25  # for the old process to say whether it has started a request
UNANSWERED_MAX = 256  # lines that the old process has not answered; it stands still, and more are not sent
UNREAD_BYTES_MAX = 1 << 20  # of ids that the new process has not read
CLAIM_PREFIX = b"claim "
STARTED_PREFIX = b"started "


class Predecessor:
    """The new process's connection to the old one. Each line that is sent gets one line as its answer; lines
    about started requests come in between.

    An old process that does not answer stands still, and may have started any request before that. Only the
    end of its connection shows that it starts no more.
    """

    def __init__(self, connection: socket.socket, listening_socket: socket.socket | None) -> None:
        """`listening_socket`: None if the old process has not answered `hello` yet."""
        self.listening_socket = listening_socket
        self._connection = connection
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._answers: deque[asyncio.Future[bytes]] = deque()
        self._has_ended = False
        self._ids: SharedIds | None = None
        self._on_end: Callable[[], None] = lambda: None
        self._awaits_hello = listening_socket is None

    def has_ended(self) -> bool:
        """Whether the connection, and so the old process, has ended."""
        return self._has_ended

    async def update_state(self, timeout_s: float | None = PREDECESSOR_TIMEOUT_S) -> bool:
        """Asks the old process to update the state file. It goes on accepting clients meanwhile. Returns
        whether it has done so; one that stands still has not. `timeout_s`: None to wait until it has, or has
        ended."""
        return await self._ask(b"keep\n", timeout_s) is not None

    async def announce_serving(self) -> None:
        """Tells the old process that this one accepts clients.

        Sent only once that is true; otherwise there would be a gap, long on a busy machine, in which neither
        process accepts any. The connection stays open for as long as this process serves.
        """
        await self._ask(b"serving\n", PREDECESSOR_TIMEOUT_S)

    async def share_ids(self, ids: SharedIds, on_end: Callable[[], None]) -> None:
        """From now on the requests that the old process starts are kept in `ids`; if it stands still, once it
        goes on. `on_end` is called when the old process has ended."""
        self._ids, self._on_end = ids, on_end
        await self._ask(b"ids\n", PREDECESSOR_TIMEOUT_S)
        if self._has_ended:
            on_end()

    async def claim(self, request_id: bytes) -> Claim:
        """Asks whether this process may start a request with this id."""
        if self._ids is None or self._writer is None:
            return Claim.UNKNOWN  # not connected yet
        answer = await self._ask(b"%s%s\n" % (CLAIM_PREFIX, request_id), CLAIM_TIMEOUT_S)
        if self._has_ended:
            # What the old process had started has been told before.
            return Claim.TAKEN if self._ids.ids.may_have_run(request_id) else Claim.GRANTED
        if answer is None:
            return Claim.UNKNOWN
        return Claim.GRANTED if answer.strip() == Claim.GRANTED.value.encode() else Claim.TAKEN

    def close(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
        self._end()

    async def _ask(self, line: bytes, timeout_s: float | None) -> bytes | None:
        """The answer to a line; None if there is none in time."""
        if self._has_ended or len(self._answers) > UNANSWERED_MAX:
            return None
        if self._writer is None:
            await self._open()
        assert self._writer is not None
        answer: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._answers.append(answer)
        self._writer.write(line)
        done, _ = await asyncio.wait((answer,), timeout=timeout_s)
        return answer.result() or None if done else None

    async def _open(self) -> None:
        if self._awaits_hello:
            self._answers.append(asyncio.get_running_loop().create_future())
        self._connection.setblocking(False)
        reader, self._writer = await asyncio.open_unix_connection(sock=self._connection)
        self._reading = asyncio.get_running_loop().create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        try:
            while line := await reader.readline():
                if line.startswith(STARTED_PREFIX):
                    self._note_started(line.removeprefix(STARTED_PREFIX).strip())
                elif self._answers:
                    answer = self._answers.popleft()
                    if not answer.done():
                        answer.set_result(line)
        except (OSError, ValueError) as problem:
            log.warning("connection to the process before this one failed: %s", problem)
        self._end()

    def _note_started(self, request_id: bytes) -> None:
        if self._ids is not None:
            self._ids.ids.remember(request_id)
            self._ids.note_started(request_id)

    def _end(self) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        self._on_end()
        for answer in self._answers:
            if not answer.done():
                answer.set_result(b"")
        self._answers.clear()
        if self._writer is not None:
            self._writer.close()
        else:
            self._connection.close()


class SuccessorIds:
    """The old process's side: tells the new one which requests have been started, and answers its claims."""

    def __init__(self, ids: SharedIds) -> None:
        self.claim = ids.claim
        self._ids = ids
        self._writer: asyncio.StreamWriter | None = None

    def attach(self, writer: asyncio.StreamWriter) -> None:
        """A new process listens from now on. It is told of the requests that are open or may have run."""
        self._writer = writer
        for request_id in self._ids.ids.known_ids():
            self.tell_started(request_id)
        self._ids.set_listener(self.tell_started)

    def detach(self, writer: asyncio.StreamWriter) -> None:
        """A connection has ended; if it is the new process's, that has failed."""
        if self._writer is writer:
            self._writer = None
            self._ids.set_listener(None)

    def tell_started(self, request_id: bytes) -> None:
        """To be called before a request is sent to a server."""
        writer = self._writer
        if writer is None or writer.is_closing():
            return
        if writer.transport.get_write_buffer_size() > UNREAD_BYTES_MAX:
            log.warning("the process after this one does not read which requests are started")
            return
        writer.write(STARTED_PREFIX + request_id + b"\n")
