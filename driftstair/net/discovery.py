"""Client of the discovery service: a watch that keeps the list of servers current."""

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

# The platform assumes that a node knows a change 6 s after discovery had it and was reachable, whatever
# happened to earlier calls. So each sequence of events that ends with the list being read must be shorter: a
# silent watch and the call after it, an unanswered call and the pause (which the decision module sets if it
# makes the calls), a connection that is not established.
SILENCE_TIMEOUT_S = 3.0  # without a byte on an answered watch; discovery sends one every 2 s
ANSWER_TIMEOUT_S = 3.5  # to the first line: discovery handles calls in turn, which takes up to 3 s
AGENT_ANSWER_TIMEOUT_S = 0.5  # the same for an agent on this machine, which answers at once or not at all
DIAL_TIMEOUT_S = 2.0
AGENT_ANSWER_WAIT_S = 0.1  # for an agent's answer; attempts wait for it, as the node is assumed to know it
STABLE_WATCH_MIN_S = 0.25  # a watch that lasted this long is reopened at once: no more calls than with pauses


class Discovery(Watcher):
    """Keeps at most one watch, opened on request, and after a change of address also the previous watches
    until the new one has delivered its list. The end of each watch is reported once."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        answer_timeout_s: float,
        on_list: Callable[[HostList], None],
        on_failed: Callable[[], None],
        system: System,
        is_agent: bool = False,
    ) -> None:
        """`is_agent`: an agent on this machine, whose list the node is assumed to know even without a
        watch."""
        super().__init__(address, system, log)
        self.version = version
        self.reopens_at_once = False  # whether to reopen the watch that ended last without a pause
        self.last_received_at = 0  # of data before those being read, monotonic ns; 0: never
        self.answer_timeout_s = answer_timeout_s
        self._is_agent = is_agent
        self._previous: list[DiscoveryConnection] = []  # watches at previous addresses
        self._on_list = on_list
        self._on_failed = on_failed
        self.observer: Observer | None = None  # the event log, if enabled

    def move(self, address: tuple[str, int]) -> None:
        """Watches at another address from now on. Versions are specific to an address, so the first line must
        be a full list. Until it arrives the old watch is still read, even one that waits for its answer: the
        node is assumed to know what the old address sends, and the answer may be in flight. The end of the
        old watch is not a failure."""
        if address == self._address:
            return
        self._address = address
        self.version = 0
        if self._watch is not None and self._watch.is_up():
            self._previous.append(cast(DiscoveryConnection, self._watch))
            self._watch = None
            self._opening = None  # cancelling a task that is about to finish would close the connection
        self._end_watch()
        self.watch()

    def adopt_version(self, version: int) -> None:
        """A list of this version, of the same address, has been received elsewhere and is in force now."""
        self.version = version

    def close(self) -> None:
        self._close_previous()
        super().close()

    def _close_previous(self) -> None:
        previous, self._previous = self._previous, []
        for watch in previous:
            watch.close()

    def has_unread_updates(self) -> bool:
        """Whether data of a watch wait unread in the receive buffer, or an agent is about to answer the call
        that opens a watch."""
        current = cast("DiscoveryConnection | None", self._watch)
        if self._is_agent and current is not None and self._is_answer_expected(current):
            return True
        watches = self._previous if current is None else [current, *self._previous]
        return not all(watch.has_no_unread_data() for watch in watches)

    def _is_answer_expected(self, watch: DiscoveryConnection) -> bool:
        return not watch.answered and (watch.age() < AGENT_ANSWER_WAIT_S or watch.is_overdue())

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
        return watch is self._watch or watch in self._previous

    def on_line(self, watch: WatchConnection, line: bytes) -> None:
        watch = cast(DiscoveryConnection, watch)
        self._apply_documents(watch, lambda: watch.documents.add(line))

    def on_unended_line(self, watch: WatchConnection, line: bytearray) -> bool:
        watch = cast(DiscoveryConnection, watch)
        return self._apply_documents(watch, lambda: watch.documents.add_unended(line))

    def _apply_documents(self, watch: DiscoveryConnection, documents: Callable[[], list[Any]]) -> bool:
        """Applies the lists that are complete now. Whether there were any, all of them valid."""
        try:
            updates = [parse_list(document) for document in documents()]
            # Changes apply to the current list; an older one would undo later updates.
            for update in updates:
                if not update.full and update.version < watch.version:
                    raise ListError(f"version {update.version} comes after {watch.version}")
        except (ValueError, RecursionError, ListError) as error:
            if watch is self._watch:
                self.version = 0  # the skipped change is unknown: the next watch starts from a full list
            self.failed(watch, f"bad line: {error}")
            return False
        for update in updates:
            self._apply(watch, update)
        return bool(updates)

    def _apply(self, watch: DiscoveryConnection, update: HostList) -> None:
        if self.observer is not None:
            waited_ms = watch.age() * 1000
            self.observer.list_received(update.version, update.full, len(update.hosts), waited_ms)
        watch.version = update.version
        if watch is self._watch:
            if not update.full and update.version < self.version:
                # Its entries are older than those of the list that was adopted meanwhile.
                update = HostList(self.version, False, ())
            self.version = update.version
            self._close_previous()
        self._on_list(update)
        if self._watch is None:
            self._on_failed()  # a list implies an open watch, but the new one has failed: report it again

    def on_reopened(self, watch: WatchConnection, reason: str) -> None:
        if self.observer is not None:
            self.observer.discovery_ended(reason, watch.answered, watch.age() * 1000)

    def failed(self, watch: WatchConnection, reason: str) -> None:
        if self.observer is not None and self.follows(watch):
            self.observer.discovery_ended(reason, watch.answered, watch.age() * 1000)
        if watch is self._watch:
            was_stable = watch.answered and watch.age() >= STABLE_WATCH_MIN_S
            self.reopens_at_once = was_stable or watch.is_overdue()
        if watch in self._previous:
            self._previous.remove(cast(DiscoveryConnection, watch))
            watch.close()
        super().failed(watch, reason)

    def on_ended(self) -> None:
        self._on_failed()


class DiscoveryConnection(WatchConnection):
    """A watch of the list. `version`: of the list that the next line changes."""

    def __init__(self, owner: Discovery, version: int, system: System) -> None:
        super().__init__(owner, owner.answer_timeout_s, SILENCE_TIMEOUT_S, DOCUMENT_BYTES_MAX)
        self._discovery = owner
        self.version = version
        self.documents = JsonStreamParser()
        self.has_no_unread_data: Callable[[], bool] = lambda: True  # replaced once connected
        self._system = system

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self._discovery.is_current(self):
            self.has_no_unread_data = self._system.configure_connection(cast(asyncio.Transport, transport))

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self._discovery.last_received_at = self._system.monotonic_ns()
