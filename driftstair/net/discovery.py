"""The watch that keeps the list of servers current."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from driftstair.hosts import HostList, ListError, parse_list
from driftstair.net.json_stream import DOCUMENT_BYTES_MAX, JsonStreamParser
from driftstair.net.system import System
from driftstair.net.watch import WatchConnection, Watcher

if TYPE_CHECKING:
    from driftstair.observability.observer import Observer

log = logging.getLogger(__name__)

# A change counts as told 6 s after discovery had it and could be reached, whatever befell the calls before.
# So each way from there to a list that is read has to be shorter: a silent watch and the call after it, a
# call without an answer and the pause (the module's, where it is asked), a connection that does not come up.
SILENCE_TIMEOUT_S = (
    3.0  # s without a byte of a watch that has been answered: an open one brings one every 2 s
)
ANSWER_TIMEOUT_S = 3.5  # s to the first line of a call: discovery works through them in turn, for up to 3 s
ANSWER_PUSHED = 0.5  # s, where it is an agent on this machine, which answers at once or not at all
DIAL_TIMEOUT_S = 2.0  # s until the connection is up
AGENT_ANSWERS = 0.1  # s in which an agent's answer to a call is worth waiting for: what it has counts as told
STOOD_LEAST = 0.25  # s: a watch that lasted as long is opened anew at once, as often as with pauses at most


class Discovery(Watcher):
    """Keeps one watch at most, opened when it is told to, and, after a move, those of the places before until
    the new one has told its list. Each watch that ends is reported once."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        answer_within: float,
        on_list: Callable[[HostList], None],
        on_failed: Callable[[], None],
        system: System,
        is_agent: bool = False,
    ) -> None:
        """`is_agent`: on this machine, where what it has counts as told whether or not a watch is open."""
        super().__init__(address, system, log)
        self.version = version
        self.calls_at_once = False  # whether the watch that ended last is best opened anew without a pause
        self.heard_at = 0  # when something came of a watch, before what is read now; monotonic ns; 0: never
        self.answer_within = answer_within
        self._is_agent = is_agent
        self._former: list[DiscoveryConnection] = []  # watches of the places before
        self._on_list = on_list
        self._on_failed = on_failed
        self.observer: Observer | None = None  # the event log, where there is one

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address from now on. Versions are the other place's own, so the first line has to
        be the whole list. Until that has come the old watch is read on, also one that waits for its answer:
        what the old place writes counts as told, and its answer may be on its way. Its end is no failure."""
        if address == self._address:
            return
        self._address = address
        self.version = 0
        if self._watch is not None and self._watch.is_up():
            self._former.append(cast(DiscoveryConnection, self._watch))
            self._watch = None
            self._opening = None  # it may have a turn left; cancelled in that, it would close the connection
        self._end_watch()
        self.watch()

    def close(self) -> None:
        self._end_former()
        super().close()

    def _end_former(self) -> None:
        former, self._former = self._former, []
        for watch in former:
            watch.close()

    def has_unread_updates(self) -> bool:
        """Whether something of a watch is with the kernel that the loop has not read yet, or an agent is
        about to answer the call that a watch begins with."""
        current = cast("DiscoveryConnection | None", self._watch)
        if self._is_agent and current is not None and self._is_awaited(current):
            return True
        watches = self._former if current is None else [current, *self._former]
        return not all(watch.has_no_unread_data() for watch in watches)

    def _is_awaited(self, watch: DiscoveryConnection) -> bool:
        return not watch.answered and (watch.age() < AGENT_ANSWERS or watch.is_overdue())

    # The watch.

    def request(self) -> bytes:
        host, port = self._address
        if self.observer is not None:
            self.observer.discovery_called(f"{host}:{port}", self.version)
        target = f"/discovery/hosts?watch=1&from={self.version}"
        return f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

    def connection(self) -> WatchConnection:
        return DiscoveryConnection(self, self.version, self._system)

    def dial_timeout_s(self) -> float:
        return DIAL_TIMEOUT_S

    def follows(self, watch: WatchConnection) -> bool:
        return watch is self._watch or watch in self._former

    def on_line(self, watch: WatchConnection, line: bytes) -> None:
        watch = cast(DiscoveryConnection, watch)
        self._read(watch, lambda: watch.documents.add(line))

    def on_unended_line(self, watch: WatchConnection, line: bytearray) -> bool:
        watch = cast(DiscoveryConnection, watch)
        return self._read(watch, lambda: watch.documents.add_unended(line))

    def _read(self, watch: DiscoveryConnection, documents: Callable[[], list[Any]]) -> bool:
        """Whether the lists that have become whole, if any, were told."""
        try:
            updates = [parse_list(document) for document in documents()]
            # Changes build on the list that is held; one from before it would undo what was told since.
            for update in updates:
                if not update.full and update.version < watch.version:
                    raise ListError(f"version {update.version} comes after {watch.version}")
        except (ValueError, RecursionError, ListError) as problem:
            if watch is self._watch:
                self.version = 0  # what was skipped is unknown: the next watch starts from the whole list
            self.failed(watch, f"bad line: {problem}")
            return False
        for update in updates:
            self._tell(watch, update)
        return bool(updates)

    def _tell(self, watch: DiscoveryConnection, update: HostList) -> None:
        if self.observer is not None:
            waited = watch.age() * 1000
            self.observer.list_received(update.version, update.full, len(update.hosts), waited)
        watch.version = update.version
        if watch is self._watch:
            self.version = update.version
            self._end_former()
        self._on_list(update)
        if self._watch is None:
            self._on_failed()  # a list is taken for news of the new watch, which has failed: once more

    def on_reopened(self, watch: WatchConnection, why: str) -> None:
        if self.observer is not None:
            self.observer.discovery_ended(why, watch.answered, watch.age() * 1000)

    def failed(self, watch: WatchConnection, why: str) -> None:
        if self.observer is not None and self.follows(watch):
            self.observer.discovery_ended(why, watch.answered, watch.age() * 1000)
        if watch is self._watch:
            had_stood = watch.answered and watch.age() >= STOOD_LEAST
            self.calls_at_once = had_stood or watch.is_overdue()
        if watch in self._former:
            self._former.remove(cast(DiscoveryConnection, watch))
            watch.close()
        super().failed(watch, why)

    def on_ended(self) -> None:
        self._on_failed()


class DiscoveryConnection(WatchConnection):
    """A watch of the list. `version`: of the list that its next line builds on."""

    def __init__(self, owner: Discovery, version: int, system: System) -> None:
        super().__init__(owner, owner.answer_within, SILENCE_TIMEOUT_S, DOCUMENT_BYTES_MAX)
        self._discovery = owner
        self.version = version
        self.documents = JsonStreamParser()
        self.has_no_unread_data: Callable[[], bool] = lambda: True  # not once it is up
        self._system = system

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self._discovery.is_current(self):
            self.has_no_unread_data = self._system.configure_connection(cast(asyncio.Transport, transport))

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self._discovery.heard_at = self._system.monotonic_ns()
