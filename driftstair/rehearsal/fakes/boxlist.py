"""A fake of the box list: which boxes run, drain or are gone, on request or by a watch, with one address for
each node.

It reports what happened to processes, and nothing about their health. It learns of a change after a delay, to
which a lag may add, and in an outage it is unreachable. Calls are processed in sequence at a fixed speed.
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
from driftstair.rehearsal.fakes.place import Acceptor, FakeMachine
from driftstair.rehearsal.wire import HostState

SILENT_WATCH_GRACE_S = 6.0  # after it a node counts as informed of what its silent watch missed
KEEPALIVE_INTERVAL_S = 2.0  # between two empty lines on a watch
MOVE_GRACE_S = 1.5  # how long open connections to the old address last after a move
KEPT_VERSIONS_MAX = 256  # a watch from an older version gets the whole list


@dataclass(frozen=True, slots=True)
class Entry:
    """One box in the list. `started_at`: ns since the start of the run, negative for long before it."""

    box: str
    state: HostState
    kind: str
    addresses: dict[str, tuple[str, int]]  # by node
    started_at: int


@dataclass(frozen=True, slots=True)
class ListFigures:
    """The speed of the list. A call costs as much as `call_lines` lines in addition to those of its
    answer."""

    pushed: bool
    lines_per_s: float
    call_lines: float
    timeout_s: float


class BoxList:
    """The box list, and what each node has been sent of it."""

    def __init__(
        self, machine: FakeMachine, figures: ListFigures, nodes: list[str], random: Random,
        note: Callable[[wire.Observation], None],
    ) -> None:  # fmt: skip
        self.machine = machine
        self.figures = figures
        self.note = note
        self.version = 1
        self.extra_lag = 0.0  # s, set by faults
        self.down = False
        self.silent = False
        self.entries: dict[str, Entry] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self.call_count = 0
        self._nodes = nodes
        self._random = random
        self._busy_until = 0.0
        self._changes: list[tuple[int, list[Entry]]] = []
        self._acceptors: dict[str, Acceptor] = {}
        self._connections: dict[_ListConnection, None] = {}
        self._sent_entries: dict[str, dict[str, Entry]] = {node: {} for node in nodes}
        self._last_publication = 0.0

    def start(self, entries: list[Entry]) -> None:
        """Starts with the boxes that run at the start of the run, which the nodes know already."""
        now = self.machine.now()
        for entry in entries:
            self.entries[entry.box] = entry
            self.note(wire.ListChanged(now, entry.box, entry.state, entry.started_at))
            for node in self._nodes:
                self._sent_entries[node][entry.box] = entry
        self._listen()

    def _listen(self) -> None:
        for node in self._nodes:
            acceptor = Acceptor(
                self.machine,
                (self.machine.host, 0),
                lambda node=node: _ListConnection(self, node),  # type: ignore[misc]
            )
            self._acceptors[node] = acceptor
            self.addresses[node] = acceptor.address

    def last_sent(self, node: str) -> dict[str, Any]:
        """The whole list as last sent to this node, for its configuration."""
        return self._document(node, list(self._sent_entries[node].values()), True)

    # Changes and faults.

    def change(self, entry: Entry, delay_s: float) -> None:
        """Publishes a change after `delay_s` and the additional lag. Changes are published in the order of
        the calls."""
        publish_at = max(self._last_publication, self.machine.now() / 1e9 + delay_s + self.extra_lag)
        self._last_publication = publish_at
        wait_s = publish_at - self.machine.now() / 1e9
        self.machine.loop.call_later(wait_s, self._publish, entry)

    def _publish(self, entry: Entry) -> None:
        self.version += 1
        if entry.state is HostState.GONE:
            self.entries.pop(entry.box, None)
        else:
            self.entries[entry.box] = entry
        self._changes.append((self.version, [entry]))
        del self._changes[:-KEPT_VERSIONS_MAX]
        self.note(wire.ListChanged(self.machine.now(), entry.box, entry.state, entry.started_at))
        if not self.down:
            for connection in list(self._connections):
                if connection.watching:
                    connection.send_changes([entry])

    def go_down(self, silent: bool) -> None:
        """Begins an outage: calls fail and connections are reset, or with `silent` get no answer."""
        self.down, self.silent = True, silent
        if not silent:
            for connection in list(self._connections):
                connection.reset()

    def fall_silent(self, node: str) -> None:
        """Sends nothing more on a node's open watch, and keeps the connection."""
        for connection in self._connections:
            if connection.node == node and connection.watching:
                connection.silent_at = self.machine.now()

    def schedule_missed(self, connection: _ListConnection, entries: list[Entry]) -> None:
        """Records entries that a silent watch does not deliver: the node counts as informed of them some time
        after the watch fell silent."""
        assert connection.silent_at is not None
        wait_s = max(0.0, connection.silent_at / 1e9 + SILENT_WATCH_GRACE_S - self.machine.now() / 1e9)
        self.machine.loop.call_later(wait_s, self._record_missed, connection.node, entries)

    def _record_missed(self, node: str, entries: list[Entry]) -> None:
        for entry in entries:
            if self.entries.get(entry.box) in (entry, None):  # there is no newer entry
                self.note(
                    wire.ListEntrySent(self.machine.now(), node, entry.box, entry.state, entry.started_at)
                )

    def come_up(self) -> None:
        """Ends an outage; open watches get what they missed."""
        self.down = self.silent = False
        for connection in list(self._connections):
            connection.send_missed()

    def move(self) -> None:
        """Moves the list to other addresses; the old ones accept no new connections."""
        for acceptor in self._acceptors.values():
            acceptor.close()
        old = list(self._connections)
        self._listen()
        self.machine.loop.call_later(MOVE_GRACE_S, self._reset_all, old)

    def _reset_all(self, connections: list[_ListConnection]) -> None:
        for connection in connections:
            connection.reset()

    # Calls.

    def add_connection(self, connection: _ListConnection) -> None:
        """Registers a new connection."""
        self._connections[connection] = None

    def remove_connection(self, connection: _ListConnection) -> None:
        """Removes a closed connection."""
        self._connections.pop(connection, None)

    def handle_call(self, connection: _ListConnection, message: Message) -> None:
        """Processes a call. Calls for the whole list and for watches wait in one queue."""
        self.call_count += 1
        now = self.machine.now()
        target = message.start_line.split(b" ")[1].decode("latin-1")
        path, _, query = target.partition("?")
        if path != "/discovery/hosts":
            connection.write(response(404))
            return
        self.note(wire.ListContact(now, connection.node, False))
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
        duration_s = (self.figures.call_lines + len(self.entries)) / self.figures.lines_per_s
        begin_at = max(self._busy_until, now / 1e9)
        if begin_at + duration_s - now / 1e9 > self.figures.timeout_s:
            wait_s = self.figures.timeout_s
            self.machine.loop.call_later(wait_s, connection.refuse)
        else:
            self._busy_until = begin_at + duration_s
            self.machine.loop.call_later(
                begin_at + duration_s - now / 1e9, self._answer, connection, watch, since
            )

    def _answer(self, connection: _ListConnection, watch: bool, since: int) -> None:
        if self.down or not connection.is_open():
            connection.reset()
            return
        if not watch:
            entries = list(self.entries.values())
            body = json.dumps(self._document(connection.node, entries, True)).encode()
            connection.write(response(200, (b"Content-Type: application/json",), body))
            self._record_sent(connection.node, entries, True)
            return
        connection.watching = True
        connection.version = self.version
        self.note(wire.ListContact(self.machine.now(), connection.node, True))
        full, entries = self.entries_since(since)
        first = self.encode_line(connection.node, entries, full)  # sent even without a change
        connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + first)
        connection.send_keepalive()

    def entries_since(self, version: int) -> tuple[bool, list[Entry]]:
        """The entries that a reader of `version` lacks; with True, they are the whole list."""
        is_covered = self._changes and self._changes[0][0] <= version + 1
        if version <= self.version and (is_covered or version == self.version):
            return False, [
                entry
                for change_version, entries in self._changes
                if change_version > version
                for entry in entries
            ]
        return True, list(self.entries.values())

    def encode_line(self, node: str, entries: list[Entry], full: bool) -> bytes:
        """Encodes entries as one line of a watch (an HTTP chunk), and records them as sent."""
        text = json.dumps(self._document(node, entries, full)).encode() + b"\n"
        self._record_sent(node, entries, full)
        return b"%x\r\n%s\r\n" % (len(text), text)

    def _record_sent(self, node: str, entries: list[Entry], full: bool) -> None:
        now = self.machine.now()
        sent_entries = self._sent_entries[node]
        if full:
            listed = {entry.box for entry in entries}
            for box in [box for box in sent_entries if box not in listed]:
                self.note(
                    wire.ListEntrySent(now, node, box, HostState.GONE, sent_entries.pop(box).started_at)
                )
        for entry in entries:
            self.note(wire.ListEntrySent(now, node, entry.box, entry.state, entry.started_at))
            if entry.state is HostState.GONE:
                sent_entries.pop(entry.box, None)
            else:
                sent_entries[entry.box] = entry

    def _document(self, node: str, entries: list[Entry], full: bool) -> dict[str, Any]:
        return {
            "version": self.version,
            "full": full,
            "servers": [self._entry(node, entry) for entry in entries],
        }

    def _entry(self, node: str, entry: Entry) -> dict[str, Any]:
        host, port = entry.addresses[node]
        started_at = self.machine.unix_ms(entry.started_at) if entry.started_at >= 0 else 0
        return {
            "id": entry.box, "addr": f"{host}:{port}", "zone": "room", "kind": entry.kind, "cell": 0,
            "state": entry.state.value, "weight": 1.0, "started_ms": started_at,
        }  # fmt: skip


class _ListConnection(asyncio.Protocol):
    """A connection from a node to the box list; `version` is the last one sent on its watch."""

    def __init__(self, box_list: BoxList, node: str) -> None:
        self.node = node
        self.watching = False
        self.silent_at: int | None = None  # ns
        self.version = 0  # of the list
        self._box_list = box_list
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._box_list.down and not self._box_list.silent:
            # For the rule on drains a failed call counts as a call.
            self._box_list.note(wire.ListContact(self._box_list.machine.now(), self.node, False))
            self._box_list.machine.reset(self._transport)
            return
        self._box_list.add_connection(self)

    def data_received(self, data: bytes) -> None:
        now = self._box_list.machine.now()
        try:
            for message in self._reader.feed(data, now):
                self._box_list.handle_call(self, message)
        except WireError as exception:
            self._box_list.note(wire.UnexpectedMessage(now, self.node, f"the box list was sent: {exception}"))
            self.reset()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        if self.watching:
            self._box_list.note(wire.ListContact(self._box_list.machine.now(), self.node, False))
        self._box_list.remove_connection(self)

    def is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    def send_changes(self, entries: list[Entry]) -> None:
        """Sends changes on a watch, or has them recorded as missed if the watch is silent."""
        if self.silent_at is not None:
            self._box_list.schedule_missed(self, entries)
            return
        self.version = self._box_list.version
        self.write(self._box_list.encode_line(self.node, entries, False))

    def send_missed(self) -> None:
        """Sends what this watch missed in an outage."""
        if self.watching and self.silent_at is None and self.version != self._box_list.version:
            full, entries = self._box_list.entries_since(self.version)
            self.version = self._box_list.version
            self.write(self._box_list.encode_line(self.node, entries, full))

    def send_keepalive(self) -> None:
        """Sends an empty line at intervals, unless the watch is silent."""
        if self.is_open():
            if not self._box_list.down and self.silent_at is None:
                self.write(b"1\r\n\n\r\n")
            self._box_list.machine.loop.call_later(KEEPALIVE_INTERVAL_S, self.send_keepalive)

    def refuse(self) -> None:
        """Answers a call that would exceed the time-out."""
        self.write(response(503))
        self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        if self._transport is not None:
            self._box_list.machine.reset(self._transport)
