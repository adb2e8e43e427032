"""Sends requests at a fixed rate over two paths in turn: through a node, and directly to its servers.

The latency of a request counts from the time at which it was due, so it includes any delay before sending.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from time import perf_counter
from typing import Any, NamedTuple

from benchmarks.scale import documents

HEADERS_END = b"\r\n\r\n"
OK_STATUS = b"200"
CONTENT_LENGTH = b"content-length:"
ROUTE_PATH_COUNT = documents.ROUTES_PER_SERVICE


class TimedRequest(NamedTuple):
    """One finished request: when it was due, in seconds of `perf_counter`; the time from then until its
    answer had arrived; and whether it was answered with status 200."""

    due_s: float
    latency_s: float
    served: bool


class Connection(asyncio.Protocol):
    """A persistent connection, which carries one request at a time."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._request_number = 0  # of the request in progress, or 0
        self._received = b""
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def send_request(self, number: int) -> None:
        """Sends the request with this number."""
        self._request_number = number
        self._transport.write(_encode_request(number, self._path.target))

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, end, body = self._received.partition(HEADERS_END)
        if not end or len(body) < _content_length(head):
            return
        self._received = b""
        number, self._request_number = self._request_number, 0
        self._path.on_answer(self, number, head[9:12] == OK_STATUS)

    def connection_lost(self, exc: Exception | None) -> None:
        self._path.on_connection_lost(self, self._request_number)


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(CONTENT_LENGTH):
            return int(line[len(CONTENT_LENGTH) :])
    return 0


@dataclass(slots=True)
class Path:
    """Requests to one or more addresses in turn. A new connection is opened if none is idle."""

    addresses: list[tuple[str, int]]
    target: bytes = b""  # request target; if empty, the paths of the first service
    answers: list[TimedRequest] = field(default_factory=list)
    sent: int = 0
    unanswered: int = 0
    # Due time of each unanswered request, by its number.
    _due_by_request: dict[int, float] = field(default_factory=dict)
    _idle: list[Connection] = field(default_factory=list)
    _opening: set[asyncio.Task[None]] = field(default_factory=set)

    def send(self, due_s: float) -> None:
        """Sends one request, which was due at `due_s`, on an idle or a new connection."""
        self.sent += 1
        self._due_by_request[self.sent] = due_s
        if self._idle:
            self._idle.pop().send_request(self.sent)
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
            self._finish(number, served=False)
            return
        connection.send_request(number)

    def on_answer(self, connection: Connection, number: int, served: bool) -> None:
        """Handles the answer to a request; the connection is idle afterwards."""
        self._finish(number, served)
        self._idle.append(connection)

    def on_connection_lost(self, connection: Connection, number: int) -> None:
        """Handles the end of a connection. `number` is that of its request in progress, or 0."""
        if connection in self._idle:
            self._idle.remove(connection)
        elif number:
            self._finish(number, served=False)

    def _finish(self, number: int, served: bool) -> None:
        due_s = self._due_by_request.pop(number, None)
        if due_s is None:
            return  # abandoned earlier
        self.answers.append(TimedRequest(due_s, perf_counter() - due_s, served))

    def abandon_unanswered(self) -> None:
        """Counts each request without an answer as not served, with its waiting time so far as its
        latency."""
        self.unanswered = len(self._due_by_request)
        for number in list(self._due_by_request):
            self._finish(number, served=False)

    def is_settled(self) -> bool:
        """Whether no request waits for its answer."""
        return not self._due_by_request


def _encode_request(number: int, target: bytes) -> bytes:
    path = target or b"/svc-0000/r%02d/item" % (number % ROUTE_PATH_COUNT)
    return (
        b"GET %s HTTP/1.1\r\nHost: service\r\nX-Request-Id: %016x\r\nX-Class: page\r\n"
        b"X-Key: k%d\r\nX-Tenant: tenant-%06d\r\nX-Deadline: 5000m\r\n\r\n"
        % (path, number, number % 997, number % documents.TENANTS_PER_SERVICE)
    )


async def send_at_rate(paths: list[Path], rate: float, seconds: float) -> list[float]:
    """Sends `rate` requests a second on each path, with the paths interleaved. Returns in seconds how late
    each request was sent, which reflects this process and the machine, not the node."""
    lateness_s = []
    interval_s = 1.0 / rate / len(paths)
    began_s = perf_counter()
    for index in range(int(seconds / interval_s)):
        due_s = began_s + index * interval_s
        wait_s = due_s - perf_counter()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        lateness_s.append(perf_counter() - due_s)
        paths[index % len(paths)].send(due_s)
    return lateness_s


async def wait_for_answers(paths: list[Path], timeout_s: float) -> None:
    """Waits until all requests are answered; abandons those that have no answer after `timeout_s`."""
    deadline_s = perf_counter() + timeout_s
    while not all(path.is_settled() for path in paths) and perf_counter() < deadline_s:
        await asyncio.sleep(0.05)
    for path in paths:
        path.abandon_unanswered()


def percentile(values: list[float], fraction: float) -> float:
    """Returns the smallest value that the given fraction of all values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
