"""Runs instances of the decision module for the wire protocol. Only translates; makes no decisions."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Mapping
from typing import Any, BinaryIO, TypeVar

from lichenspring import interface as api
from lichenspring import wire
from lichenspring.balance import Balancer
from lichenspring.settings import SettingsError, parse_settings

_T = TypeVar("_T")

LIST_KINDS = {
    0: api.ListKind.CACHED,
    2: api.ListKind.DELTA,
    3: api.ListKind.FULL,
    4: api.ListKind.FAILED,
}
SERVER_STATES = {0: api.ServerState.GONE, 1: api.ServerState.READY, 2: api.ServerState.DRAINING}
IGNORED_EVENTS = frozenset((wire.In.ACK_FIRST, wire.In.SAMPLED, wire.In.MAIL))  # not used by the module
RESULTS = {
    100: api.Result.OK,
    301: api.Result.ERROR,
    302: api.Result.FULL,
    303: api.Result.TIMEOUT,
    304: api.Result.CONNECT_FAILED,
    305: api.Result.RESET,
    306: api.Result.CANCELLED,
    307: api.Result.NOT_SENT,
}
RESUBMITTED_BIT = 2  # in the options of a request


def read_settings(text: str) -> api.Settings:
    """Settings from the path=value lines of an instance's first message. Raises SettingsError."""
    return parse_settings(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


def _lookup(table: Mapping[int, _T], value: int, description: str) -> _T:
    if value not in table:
        raise wire.WireError(f"unknown {description} {value}")
    return table[value]


def _decode_server(entry: tuple[Any, ...]) -> api.Server:
    server, zone, kind, cell, state, weight, started = entry
    return api.Server(
        server, zone, cell, _lookup(SERVER_STATES, state, "server state"), weight, started, kind
    )


class Adapter:
    """All instances of this process and the lists they refer to."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._classes: dict[int, int] = {}  # number of classes in an instance's settings
        self._rosters: dict[int, tuple[api.Server, ...]] = {}

    def handle_batch(self, frame: bytes) -> bytes:
        """The reply to one batch."""
        clock, records = wire.decode_batch(frame)
        reply: list[bytes] = []
        current: int | None = None
        source: int | None = None
        for code, fields in records:
            if code == wire.In.ROSTER:
                self._rosters[fields[0]] = tuple(_decode_server(entry) for entry in fields[1])
                continue
            if code == wire.In.SELECT:
                current = fields[0]
                continue
            if current is None:
                raise wire.WireError(f"{wire.In(code).name} comes before any SELECT")
            if code == wire.In.CRASH_NOW:
                self._balancers.pop(current, None)
                continue
            if code != wire.In.ATTACH and current not in self._balancers:
                raise wire.WireError(f"{wire.In(code).name} for instance {current}, which is not attached")
            if code in IGNORED_EVENTS:
                continue
            encoded = self._handle_event(clock, current, code, fields)
            if encoded and source != current:
                source = current
                reply.append(wire.encode_action(wire.Out.SOURCE, current))
            reply += encoded
        return wire.encode_reply(reply)

    def _handle_event(self, clock: int, instance: int, code: int, fields: tuple[Any, ...]) -> list[bytes]:
        if code == wire.In.ATTACH:
            seed, text = fields
            try:
                settings = read_settings(text.decode("utf-8"))
            except UnicodeDecodeError:
                raise SettingsError("the settings are not UTF-8 text") from None
            except ValueError as error:
                raise SettingsError(f"settings can't be used: {error}") from None
        else:
            event = self._decode_event(instance, code, fields)
        try:
            if code == wire.In.ATTACH:
                balancer = self._balancers[instance] = Balancer(settings, seed)
                self._classes[instance] = len(settings.classes)
                actions = balancer.start(clock)
            else:
                actions = self._balancers[instance].handle(clock, event)
        except Exception:  # report the failure of the module; never invent an action
            return [wire.encode_text(wire.Out.FAULT, traceback.format_exc(limit=-4))]
        return [_encode_action(action) for action in actions]

    def _decode_event(self, instance: int, code: int, fields: tuple[Any, ...]) -> api.Event:
        if code == wire.In.INBOUND:
            request, _hint, time_left, tenant, class_index, key, options = fields
            if class_index >= self._classes[instance]:
                raise wire.WireError(f"unknown request class {class_index}")
            return api.Request(request, time_left, class_index, tenant, key, bool(options & RESUBMITTED_BIT))
        if code == wire.In.FINISHED:
            request, closed, result, elapsed, server, attempt, report = fields
            return api.Outcome(
                request, bool(closed), _lookup(RESULTS, result, "outcome"), elapsed, server, attempt, report
            )
        if code == wire.In.DUE:
            return api.Timer(fields[0])
        if code == wire.In.SYNC:
            kind = _lookup(LIST_KINDS, fields[1], "list kind")
            if kind is api.ListKind.FAILED:
                return api.ServerList(kind, ())
            return api.ServerList(kind, _lookup(self._rosters, fields[2], "list number"))
        return api.ClientGone(fields[0])


def _encode_action(action: api.Action) -> bytes:
    if isinstance(action, api.Send):
        return wire.encode_action(wire.Out.FORWARD, action.request, action.server, action.time_out)
    if isinstance(action, api.Refuse):
        return wire.encode_action(wire.Out.BUSY, *action)
    if isinstance(action, api.Fail):
        return wire.encode_action(wire.Out.REPORT_FAILURE, *action)
    if isinstance(action, api.CloseIdleConnections):
        return wire.encode_action(wire.Out.HANG_UP, *action)
    if isinstance(action, api.SetTimer):
        return wire.encode_action(wire.Out.WAKE_AT, *action)
    return wire.encode_action(wire.Out.LISTEN, 1)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers each batch until the end of the input."""
    adapter = Adapter()
    while (frame := wire.read_frame(source)) is not None:
        sink.write(adapter.handle_batch(frame))
        sink.flush()


def main() -> int:
    """Serves standard input and output; returns the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, SettingsError) as error:
        print(f"lichenspring: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
