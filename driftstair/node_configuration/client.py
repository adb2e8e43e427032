"""The configuration watch: one control server at a time, replaced when it fails, is stale or lags behind.

The receiver decides from which position the lines are requested, and interprets them.
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
from driftstair.node_configuration.servers import Address, ServerSelector

log = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 3.0  # to the first line of a watch: a control server answers from memory
FIRST_PAUSE_MAX_S = 1.0  # also before the first watch, so that nodes that start together spread out
# With a dial that times out and the answer time-out, this keeps the time until a node has a change after an
# outage below 14 s.
PAUSE_MAX_S = 8.0


class SnapshotCursor(NamedTuple):
    """The last resource received of an interrupted snapshot."""

    revision: int
    after: ResourceKey


class WatchPosition(NamedTuple):
    """The position from which a watch continues."""

    revision: int
    snapshot: SnapshotCursor | None


class LineReceiver(Protocol):
    """Processes the lines of a watch."""

    def position(self) -> WatchPosition:
        """The position from which the next watch continues."""

    def on_watch_line(self, line: bytes) -> bool:
        """Takes a line of the watch. Returns whether more lines may be delivered now; if not, the receiver
        calls `ConfigurationWatch.resume_reading` later."""

    def on_watch_ended(self) -> None:
        """The watch has ended: lines whose processing has not started are void, the next watch delivers
        them again."""


class ConfigurationWatch(Watcher):
    """Keeps a watch on one of several control servers."""

    def __init__(
        self, servers: Sequence[Address], node: str, receiver: LineReceiver, system: System, seed: int
    ) -> None:  # fmt: skip
        self._selector = ServerSelector(servers, Random(seed))
        self._loop = asyncio.get_running_loop()
        super().__init__(self._selector.select(self._loop.time()), system, log)
        self._node = node
        self._receiver = receiver
        self._backoff = Backoff(FIRST_PAUSE_MAX_S, PAUSE_MAX_S, seed ^ 0xC0F1, jitter=1.0)
        self._retry: asyncio.TimerHandle | None = None
        self._closed = False

    @property
    def server(self) -> Address | None:
        """The watched server, once it has answered."""
        return self._address if self._watch is not None and self._watch.answered else None

    def start(self) -> None:
        """Opens the first watch after a pause, so that nodes that start together spread over
        FIRST_PAUSE_MAX_S."""
        self._schedule_watch()

    def stop(self) -> None:
        """Ends the watch and opens no other."""
        self._closed = True
        if self._retry is not None:
            self._retry.cancel()
        self.close()

    def resume_reading(self) -> None:
        """The receiver accepts lines again."""
        if self._watch is not None:
            self._watch.resume_reading()

    def reject(self, reason: str) -> None:
        """Ends the connection of the current watch, because one of its lines can't be used."""
        if self._watch is not None:
            self.failed(self._watch, reason)

    def switch_server(self, reason: str) -> bool:
        """Leaves the watched server, which is stale or lags behind, if there is another that is not avoided.
        Returns whether there was one."""
        now_s = self._loop.time()
        self._selector.avoid(now_s, self._address)
        if self._watch is None or not self._selector.has_alternative(now_s, self._address):
            return False
        self.failed(self._watch, reason)
        return True

    def on_server_current(self) -> None:
        """The watched server is up to date: the pause after the next failure is a first pause again."""
        self._backoff.reset()

    # Hooks of `Watcher`.

    def request(self) -> bytes:
        """The request of the next watch, from the receiver's position."""
        position = self._receiver.position()
        target = f"/configuration?watch=1&from={position.revision}&node={quote(self._node, safe='')}"
        if position.snapshot is not None:
            after = quote(str(position.snapshot.after), safe="")
            target += f"&snapshot={position.snapshot.revision}&after={after}"
        return f"GET {target} HTTP/1.1\r\nHost: {_format_address(self._address)}\r\n\r\n".encode()

    def connection(self) -> WatchConnection:
        """A new connection with the time-outs and line length of a configuration watch."""
        return WatchConnection(self, ANSWER_TIMEOUT_S, SILENCE_TIMEOUT_S, LINE_BYTES_MAX)

    def dial_timeout_s(self) -> float:
        """The dial time-out, which is the same as for discovery."""
        return DIAL_TIMEOUT_S

    def on_line(self, watch: WatchConnection, line: bytes) -> None:
        """Passes a line to the receiver. Empty lines only show that the server is alive."""
        if line.strip() and not self._receiver.on_watch_line(line):
            watch.pause_reading()

    def on_silence(self, watch: WatchConnection) -> None:
        """A silent server counts as failed: unlike with discovery, there are other servers to ask."""
        self.failed(watch, "fell silent" if watch.answered else "no answer")

    def failed(self, watch: WatchConnection, reason: str) -> None:
        """Adds the address of the server to the logged reason."""
        super().failed(watch, f"{_format_address(self._address)}: {reason}")

    def on_ended(self) -> None:
        """Schedules a watch of another server."""
        self._receiver.on_watch_ended()
        self._selector.avoid(self._loop.time(), self._address)
        self._schedule_watch()

    def _schedule_watch(self) -> None:
        if not self._closed:
            self._retry = self._loop.call_later(self._backoff.pause(), self._watch_next_server)

    def _watch_next_server(self) -> None:
        self._retry = None
        self._address = self._selector.select(self._loop.time())
        self.watch()


def _format_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
