"""The watch that keeps the list of servers current."""

from __future__ import annotations

import logging
from collections.abc import Callable

from driftstair.hosts import HostList, ListError, parse_list
from driftstair.net.documents import TEXT_MOST, Documents
from driftstair.net.system import System
from driftstair.net.watch import WatchConnection, Watcher

log = logging.getLogger(__name__)

# A change counts as told 6 s after discovery had it and could be reached, whatever befell the calls before.
# So each way from there to a list that is read has to be shorter: a silent watch and the call after it, a
# call without an answer and the pause (the module's, where it is asked), a connection that does not come up.
SILENCE = 3.0  # s without a byte of a watch that has been answered: an open one brings one every 2 s
ANSWER = 3.5  # s to the first line of a call: discovery works through them in turn, for up to 3 s
ANSWER_PUSHED = 0.5  # s, where it is an agent on this machine, which answers at once or not at all
DIAL = 2.0  # s until the connection is up


class Discovery(Watcher):
    """Keeps one watch at most, opened when it is told to. Each watch that ends is reported once."""

    def __init__(
        self,
        address: tuple[str, int],
        version: int,
        answer_within: float,
        on_list: Callable[[HostList], None],
        on_failed: Callable[[], None],
        system: System,
    ) -> None:
        super().__init__(address, system, log)
        self.version = version
        self.answer_within = answer_within
        self._documents = Documents()  # of the watch that stands
        self._on_list = on_list
        self._on_failed = on_failed

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address from now on. The end of the old watch is no failure and is not told.
        Versions are the other place's own, so the first line has to be the whole list."""
        if address == self._address:
            return
        self._address = address
        self.version = 0
        self.close()
        self.watch()

    def request(self) -> bytes:
        host, port = self._address
        target = f"/discovery/hosts?watch=1&from={self.version}"
        return f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()

    def connection(self) -> WatchConnection:
        self._documents = Documents()
        return WatchConnection(self, self.answer_within, SILENCE, TEXT_MOST)

    def dial_within(self) -> float:
        return DIAL

    def on_line(self, watch: WatchConnection, line: bytes) -> None:
        try:
            updates = [parse_list(document) for document in self._documents.add(line)]
            # Changes build on the list that is held; one from before it would undo what was told since.
            for update in updates:
                if not update.full and update.version < self.version:
                    raise ListError(f"version {update.version} comes after {self.version}")
        except (ValueError, RecursionError, ListError) as problem:
            self.version = 0  # what was skipped is unknown: the next watch starts from the whole list
            self.failed(watch, f"bad line: {problem}")
            return
        for update in updates:
            self.version = update.version
            self._on_list(update)

    def on_ended(self) -> None:
        self._on_failed()
