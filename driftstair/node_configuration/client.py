"""The watch of configuration: one control server at a time, another one when it fails, is stale or behind.

Which lines are asked for, and what they mean, is the receiver's affair.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from random import Random
from typing import NamedTuple, Protocol
from urllib.parse import quote

from driftstair.configuration.messages import LINE_BYTES_MAX
from driftstair.configuration.resources import ResourceKey
from driftstair.net.backoff import Backoff
from driftstair.net.discovery import DIAL_TIMEOUT_S, SILENCE_TIMEOUT_S
from driftstair.net.system import System
from driftstair.net.watch import WatchConnection, Watcher
from driftstair.node_configuration.servers import Address, ServerChoice

log = logging.getLogger(__name__)

ANSWER_S = 3.0  # s to the first line of a call: a control server answers out of its memory
PAUSE_FIRST_S = 1.0  # s, the longest first pause, and that of a start: nodes that start together spread
# s, the longest of all. Guards against nodes that have a change over 14 s after an outage: with a dial that
# times out and an answer it stays below that.
PAUSE_MAX_S = 8.0


class SnapshotCursor(NamedTuple):
    """How far a snapshot has come that was cut off."""

    revision: int
    after: ResourceKey


class WatchPosition(NamedTuple):
    """What a watch is to go on from."""

    revision: int
    snapshot: SnapshotCursor | None


class LineReceiver(Protocol):
    """Whoever makes sense of the lines."""

    def position(self) -> WatchPosition:
        """What the next watch is to go on from."""

    def on_watch_line(self, line: bytes) -> bool:
        """A line of the watch; whether more may come now: else `ConfigurationWatch.resume` follows."""

    def on_watch_ended(self) -> None:
        """Lines that were received and not begun with are void: they come again."""


class ConfigurationWatch(Watcher):
    """Keeps a watch on one of several control servers."""

    def __init__(
        self, servers: Sequence[Address], node: str, receiver: LineReceiver, system: System, seed: int
    ) -> None:  # fmt: skip
        self._choice = ServerChoice(servers, Random(seed))
        self._loop = asyncio.get_running_loop()
        super().__init__(self._choice.next(self._loop.time()), system, log)
        self._node = node
        self._receiver = receiver
        self._backoff = Backoff(PAUSE_FIRST_S, PAUSE_MAX_S, seed ^ 0xC0F1, jitter=1.0)
        self._retry: asyncio.TimerHandle | None = None
        self._closed = False

    @property
    def server(self) -> Address | None:
        """The server that is watched and has answered."""
        return self._address if self._watch is not None and self._watch.answered else None

    def start(self) -> None:
        """Not at once: nodes that start together spread over PAUSE_FIRST_S."""
        self._pause()

    def stop(self) -> None:
        self._closed = True
        if self._retry is not None:
            self._retry.cancel()
        self.close()

    def resume(self) -> None:
        """The receiver takes lines again."""
        if self._watch is not None:
            self._watch.resume_reading()

    def reject(self, why: str) -> None:
        """A line of the present watch can't be used: its connection ends."""
        if self._watch is not None:
            self.failed(self._watch, why)

    def leave(self, why: str) -> bool:
        """The server watched knows less than it should: try another, where there is one that may do better.
        Whether there was."""
        now_s = self._loop.time()
        self._choice.avoid(now_s, self._address)
        if self._watch is None or not self._choice.has_better(now_s, self._address):
            return False
        self.failed(self._watch, why)
        return True

    def in_order(self) -> None:
        """The server watched is current: the next failure is a first one again."""
        self._backoff.reset()

    # The watch.

    def request(self) -> bytes:
        position = self._receiver.position()
        target = f"/configuration?watch=1&from={position.revision}&node={quote(self._node, safe='')}"
        if position.snapshot is not None:
            after = quote(str(position.snapshot.after), safe="")
            target += f"&snapshot={position.snapshot.revision}&after={after}"
        return f"GET {target} HTTP/1.1\r\nHost: {_shown(self._address)}\r\n\r\n".encode()

    def connection(self) -> WatchConnection:
        return WatchConnection(self, ANSWER_S, SILENCE_TIMEOUT_S, LINE_BYTES_MAX)

    def dial_timeout_s(self) -> float:
        return DIAL_TIMEOUT_S

    def on_line(self, watch: WatchConnection, line: bytes) -> None:
        if line.strip() and not self._receiver.on_watch_line(line):
            watch.pause_reading()

    def on_silence(self, watch: WatchConnection) -> None:
        """Unlike discovery there are others to ask, so a silent server is one that failed."""
        self.failed(watch, "fell silent" if watch.answered else "no answer")

    def failed(self, watch: WatchConnection, why: str) -> None:
        super().failed(watch, f"{_shown(self._address)}: {why}")

    def on_ended(self) -> None:
        self._receiver.on_watch_ended()
        self._choice.avoid(self._loop.time(), self._address)
        self._pause()

    def _pause(self) -> None:
        if not self._closed:
            self._retry = self._loop.call_later(self._backoff.pause(), self._watch_next)

    def _watch_next(self) -> None:
        self._retry = None
        self._address = self._choice.next(self._loop.time())
        self.watch()


def _shown(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
