"""The box list: what runs, drains or is gone, told late, on request or by a watch, one address for each node.

It tells what has happened to processes and nothing of their health. Changes become known to it after a
while, a lag adds to that, and in an outage it can't be reached. Calls are worked through in turn at a fixed
speed.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, cast

from driftstair.rehearsal import wire
from driftstair.rehearsal.fakes.http1 import Message, MessageReader, WireError, response
from driftstair.rehearsal.fakes.place import Acceptor, Place
from driftstair.rehearsal.wire import HostState

MISSED = 6.0  # s after a watch fell silent, when what it has missed counts as told
EMPTY_LINE = 2.0  # s between two signs of life on a watch
MOVED = 1.5  # s after a move in which the old address keeps its open connections
HISTORY = 256  # versions whose changes are kept; a watch from before gets the whole list


@dataclass(frozen=True, slots=True)
class Entry:
    """One box as the list has it. `started`: ns since the start of the run, below 0 for long ago."""

    box: str
    state: HostState
    kind: str
    addresses: dict[str, tuple[str, int]]  # by node
    started: int


@dataclass(frozen=True, slots=True)
class ListFigures:
    """Times in s."""

    pushed: bool
    lines_per_s: float
    call_lines: float
    timeout: float


class BoxList:
    def __init__(
        self, place: Place, figures: ListFigures, nodes: list[str], random: Random,
        note: Callable[[wire.Observation], None],
    ) -> None:  # fmt: skip
        self.place = place
        self.figures = figures
        self.note = note
        self.version = 1
        self.extra_lag = 0.0  # s
        self.down = False
        self.silent = False
        self.entries: dict[str, Entry] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.calls = 0
        self._nodes = nodes
        self._random = random
        self._busy_until = 0.0
        self._changes: list[tuple[int, list[Entry]]] = []
        self._acceptors: dict[str, Acceptor] = {}
        self._connections: dict[_ListConnection, None] = {}
        self._held: dict[str, dict[str, Entry]] = {node: {} for node in nodes}
        self._last_publication = 0.0

    def start(self, entries: list[Entry]) -> None:
        """With what runs at the start; the nodes know it."""
        now = self.place.now()
        for entry in entries:
            self.entries[entry.box] = entry
            self.note(wire.Listed(now, entry.box, entry.state, entry.started))
            for node in self._nodes:
                self._held[node][entry.box] = entry
        self._listen()

    def _listen(self) -> None:
        for node in self._nodes:
            acceptor = Acceptor(
                self.place,
                (self.place.host, 0),
                lambda node=node: _ListConnection(self, node),  # type: ignore[misc]
            )
            self._acceptors[node] = acceptor
            self.addresses[node] = acceptor.address

    def known(self, node: str) -> dict[str, Any]:
        """The whole list as this node was last told it, for its configuration."""
        return self._document(node, list(self._held[node].values()), True)

    # What happens to boxes and to the list.

    def change(self, entry: Entry, after: float) -> None:
        """`after` s and the lag it will be known. Changes become known in the order of their happening."""
        due = max(self._last_publication, self.place.now() / 1e9 + after + self.extra_lag)
        self._last_publication = due
        wait = due - self.place.now() / 1e9
        self.place.loop.call_later(wait, self._publish, entry)

    def _publish(self, entry: Entry) -> None:
        self.version += 1
        if entry.state is HostState.GONE:
            self.entries.pop(entry.box, None)
        else:
            self.entries[entry.box] = entry
        self._changes.append((self.version, [entry]))
        del self._changes[:-HISTORY]
        self.note(wire.Listed(self.place.now(), entry.box, entry.state, entry.started))
        if not self.down:
            for connection in list(self._connections):
                if connection.watching:
                    connection.send_changes([entry])

    def go_down(self, silent: bool) -> None:
        self.down, self.silent = True, silent
        if not silent:
            for connection in list(self._connections):
                connection.drop()

    def fall_silent(self, node: str) -> None:
        """Its open watch: the connection stays, and nothing more comes on it."""
        for connection in self._connections:
            if connection.node == node and connection.watching:
                connection.silent_at = self.place.now()

    def missed(self, connection: _ListConnection, entries: list[Entry]) -> None:
        """What a silent watch does not bring: it counts as told a while after the silence began."""
        assert connection.silent_at is not None
        wait = max(0.0, connection.silent_at / 1e9 + MISSED - self.place.now() / 1e9)
        self.place.loop.call_later(wait, self._count_as_told, connection.node, entries)

    def _count_as_told(self, node: str, entries: list[Entry]) -> None:
        for entry in entries:
            if self.entries.get(entry.box) in (entry, None):  # nothing newer is known
                self.note(wire.Told(self.place.now(), node, entry.box, entry.state, entry.started))

    def come_up(self) -> None:
        self.down = self.silent = False
        for connection in list(self._connections):
            connection.catch_up()

    def move(self) -> None:
        """To other addresses; the old ones take no new connection."""
        for acceptor in self._acceptors.values():
            acceptor.close()
        old = list(self._connections)
        self._listen()
        self.place.loop.call_later(MOVED, self._drop_all, old)

    def _drop_all(self, connections: list[_ListConnection]) -> None:
        for connection in connections:
            connection.drop()

    # Calls.

    def came(self, connection: _ListConnection) -> None:
        self._connections[connection] = None

    def left(self, connection: _ListConnection) -> None:
        self._connections.pop(connection, None)

    def take(self, connection: _ListConnection, message: Message) -> None:
        """A call: whole lists and watches wait in one queue."""
        self.calls += 1
        now = self.place.now()
        target = message.first.split(b" ")[1].decode("latin-1")
        path, _, query = target.partition("?")
        if path != "/discovery/hosts":
            connection.write(response(404))
            return
        self.note(wire.Contact(now, connection.node, False))
        options = dict(part.partition("=")[::2] for part in query.split("&") if part)
        since = int(options.get("from", "0")) if options.get("from", "0").isdigit() else 0
        watch = options.get("watch") == "1"
        if self.down:
            if not self.silent:
                connection.write(response(503))
                connection.close()
            return
        if self.figures.pushed:
            self._answer(connection, watch, since)
            return
        cost = (self.figures.call_lines + len(self.entries)) / self.figures.lines_per_s
        begins = max(self._busy_until, now / 1e9)
        if begins + cost - now / 1e9 > self.figures.timeout:
            wait = self.figures.timeout
            self.place.loop.call_later(wait, connection.refuse)
        else:
            self._busy_until = begins + cost
            self.place.loop.call_later(begins + cost - now / 1e9, self._answer, connection, watch, since)

    def _answer(self, connection: _ListConnection, watch: bool, since: int) -> None:
        if self.down or not connection.is_open():
            connection.drop()
            return
        if not watch:
            entries = list(self.entries.values())
            body = json.dumps(self._document(connection.node, entries, True)).encode()
            connection.write(response(200, (b"Content-Type: application/json",), body))
            self._told(connection.node, entries, True)
            return
        connection.watching = True
        connection.version = self.version
        self.note(wire.Contact(self.place.now(), connection.node, True))
        full, entries = self.since(since)
        first = self.line(connection.node, entries, full)  # also if nothing has changed
        connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + first)
        connection.stay_alive()

    def since(self, version: int) -> tuple[bool, list[Entry]]:
        """Whether it is the whole list, and the entries that a reader of `version` lacks."""
        known = self._changes and self._changes[0][0] <= version + 1
        if version <= self.version and (known or version == self.version):
            return False, [
                entry for number, entries in self._changes if number > version for entry in entries
            ]
        return True, list(self.entries.values())

    def line(self, node: str, entries: list[Entry], full: bool) -> bytes:
        text = json.dumps(self._document(node, entries, full)).encode() + b"\n"
        self._told(node, entries, full)
        return b"%x\r\n%s\r\n" % (len(text), text)

    def _told(self, node: str, entries: list[Entry], full: bool) -> None:
        now = self.place.now()
        held = self._held[node]
        if full:
            listed = {entry.box for entry in entries}
            for box in [box for box in held if box not in listed]:
                self.note(wire.Told(now, node, box, HostState.GONE, held.pop(box).started))
        for entry in entries:
            self.note(wire.Told(now, node, entry.box, entry.state, entry.started))
            if entry.state is HostState.GONE:
                held.pop(entry.box, None)
            else:
                held[entry.box] = entry

    def _document(self, node: str, entries: list[Entry], full: bool) -> dict[str, Any]:
        return {
            "version": self.version,
            "full": full,
            "servers": [self._entry(node, entry) for entry in entries],
        }

    def _entry(self, node: str, entry: Entry) -> dict[str, Any]:
        host, port = entry.addresses[node]
        started = self.place.unix_ms(entry.started) if entry.started >= 0 else 0
        return {
            "id": entry.box, "addr": f"{host}:{port}", "zone": "room", "kind": entry.kind, "cell": 0,
            "state": entry.state.value, "weight": 1.0, "started_ms": started,
        }  # fmt: skip


class _ListConnection(asyncio.Protocol):
    def __init__(self, owner: BoxList, node: str) -> None:
        self.node = node
        self.watching = False
        self.silent_at: int | None = None  # ns
        self.version = 0  # that it has been told, once it watches
        self._owner = owner
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._owner.down and not self._owner.silent:
            # It has asked, and the call has failed: for the rule on drains that is asking.
            self._owner.note(wire.Contact(self._owner.place.now(), self.node, False))
            self._owner.place.reset(self._transport)
            return
        self._owner.came(self)

    def data_received(self, data: bytes) -> None:
        now = self._owner.place.now()
        try:
            for message in self._reader.feed(data, now):
                self._owner.take(self, message)
        except WireError as problem:
            self._owner.note(wire.Unasked(now, self.node, f"the box list was sent: {problem}"))
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self.watching:
            self._owner.note(wire.Contact(self._owner.place.now(), self.node, False))
        self._owner.left(self)

    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def send_changes(self, entries: list[Entry]) -> None:
        if self.silent_at is not None:
            self._owner.missed(self, entries)
            return
        self.version = self._owner.version
        self.write(self._owner.line(self.node, entries, False))

    def catch_up(self) -> None:
        """All that this watch has not been told, as after a silence."""
        if self.watching and self.silent_at is None and self.version != self._owner.version:
            full, entries = self._owner.since(self.version)
            self.version = self._owner.version
            self.write(self._owner.line(self.node, entries, full))

    def stay_alive(self) -> None:
        if self.is_open():
            if not self._owner.down and self.silent_at is None:
                self.write(b"1\r\n\n\r\n")
            self._owner.place.loop.call_later(EMPTY_LINE, self.stay_alive)

    def refuse(self) -> None:
        self.write(response(503))
        self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def drop(self) -> None:
        if self._transport is not None:
            self._owner.place.reset(self._transport)
