"""Requests at a fixed rate over two paths by turns, through a node and straight to its servers.

Each is timed from when it was due, so one that had to wait to be sent counts as late.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from time import perf_counter
from typing import Any, NamedTuple

from benchmarks.scale import documents

HEADERS_END = b"\r\n\r\n"
OK = b"200"
LENGTH = b"content-length:"
ROUTE_PATHS = documents.ROUTES_EACH


class Timed(NamedTuple):
    """One request: when it was due, in s of the loop's clock; how long until its answer was there; whether it
    was answered with 200."""

    due: float
    took: float
    served: bool


class Connection(asyncio.Protocol):
    """One kept connection; a request at a time."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._number = 0  # of the request that it is at; 0: none
        self._got = b""
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def ask(self, number: int) -> None:
        self._number = number
        self._transport.write(_request(number))

    def data_received(self, data: bytes) -> None:
        self._got += data
        head, end, body = self._got.partition(HEADERS_END)
        if not end or len(body) < _length(head):
            return
        self._got = b""
        number, self._number = self._number, 0
        self._path.done(self, number, head[9:12] == OK)

    def connection_lost(self, exc: Exception | None) -> None:
        self._path.lost(self, self._number)


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(LENGTH):
            return int(line[len(LENGTH) :])
    return 0


@dataclass(slots=True)
class Path:
    """Requests to one or more addresses, by turns; a connection more is opened where none is idle."""

    addresses: list[tuple[str, int]]
    answers: list[Timed] = field(default_factory=list)
    sent: int = 0
    unanswered: int = 0
    _waiting: dict[int, float] = field(default_factory=dict)  # by number of the request, when it was due
    _idle: list[Connection] = field(default_factory=list)
    _opening: set[asyncio.Task[None]] = field(default_factory=set)

    def send(self, due: float) -> None:
        self.sent += 1
        self._waiting[self.sent] = due
        if self._idle:
            self._idle.pop().ask(self.sent)
            return
        task = asyncio.get_running_loop().create_task(self._open(self.sent))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _open(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: Connection(self), *self.addresses[number % len(self.addresses)]
            )
        except OSError:
            self._ended(number, served=False)
            return
        connection.ask(number)

    def done(self, connection: Connection, number: int, served: bool) -> None:
        """A connection has a request's answer, and is idle again."""
        self._ended(number, served)
        self._idle.append(connection)

    def lost(self, connection: Connection, number: int) -> None:
        """A connection has ended; `number`: of the request that it was at, 0 for none."""
        if connection in self._idle:
            self._idle.remove(connection)
        elif number:
            self._ended(number, served=False)

    def _ended(self, number: int, served: bool) -> None:
        due = self._waiting.pop(number, None)
        if due is None:
            return  # given up before
        self.answers.append(Timed(due, perf_counter() - due, served))

    def give_up(self) -> None:
        """What has no answer by now counts as not served after the time that it has waited."""
        self.unanswered = len(self._waiting)
        for number in list(self._waiting):
            self._ended(number, served=False)

    def is_settled(self) -> bool:
        return not self._waiting


def _request(number: int) -> bytes:
    own = number % ROUTE_PATHS
    return (
        b"GET /svc-0000/r%02d/item HTTP/1.1\r\nHost: service\r\nX-Request-Id: %016x\r\nX-Class: page\r\n"
        b"X-Key: k%d\r\nX-Tenant: tenant-%06d\r\nX-Deadline: 5000m\r\n\r\n"
        % (own, number, number % 997, number % documents.TENANTS_EACH)
    )


async def drive(paths: list[Path], rate: float, seconds: float) -> list[float]:
    """Sends on each path `rate` requests a second, the paths out of step. Returns how late each turn began,
    in s: that tells of this process and the machine, not of the node."""
    late = []
    step = 1.0 / rate / len(paths)
    began = perf_counter()
    for turn in range(int(seconds / step)):
        due = began + turn * step
        wait = due - perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        late.append(perf_counter() - due)
        paths[turn % len(paths)].send(due)
    return late


async def settled(paths: list[Path], most: float) -> None:
    """Until all that was sent is answered; what is not after `most` s is given up."""
    until = perf_counter() + most
    while not all(path.is_settled() for path in paths) and perf_counter() < until:
        await asyncio.sleep(0.05)
    for path in paths:
        path.give_up()


def percentile(values: list[float], part: float) -> float:
    """The smallest value that `part` of all are not above."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
