"""Runs instances of the decision module on the wire: translation only, no decisions."""

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
STATES = {0: api.ServerState.GONE, 1: api.ServerState.READY, 2: api.ServerState.DRAINING}
UNUSED = frozenset((wire.In.ACK_FIRST, wire.In.SAMPLED, wire.In.MAIL))  # the module decides nothing by them
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
RESUBMITTED = 2  # bit of a request's options


def read_settings(text: str) -> api.Settings:
    """Settings from the path=value lines of an instance's first message; raises SettingsError."""
    return parse_settings(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))


def _lookup(table: Mapping[int, _T], value: int, what: str) -> _T:
    if value not in table:
        raise wire.WireError(f"unknown {what} {value}")
    return table[value]


def _server(entry: tuple[Any, ...]) -> api.Server:
    server, zone, kind, cell, state, weight, started = entry
    return api.Server(server, zone, cell, _lookup(STATES, state, "server state"), weight, started, kind)


class Adapter:
    """All instances of this process and the lists they refer to."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._classes: dict[int, int] = {}  # how many an instance's settings name
        self._rosters: dict[int, tuple[api.Server, ...]] = {}

    def answer(self, frame: bytes) -> bytes:
        """The reply to one batch."""
        clock, records = wire.decode_batch(frame)
        reply: list[bytes] = []
        current: int | None = None
        source: int | None = None
        for code, fields in records:
            if code == wire.In.ROSTER:
                self._rosters[fields[0]] = tuple(_server(entry) for entry in fields[1])
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
            if code in UNUSED:
                continue
            encoded = self._play(clock, current, code, fields)
            if encoded and source != current:
                source = current
                reply.append(wire.encode_action(wire.Out.SOURCE, current))
            reply += encoded
        return wire.encode_reply(reply)

    def _play(self, clock: int, instance: int, code: int, fields: tuple[Any, ...]) -> list[bytes]:
        if code == wire.In.ATTACH:
            seed, text = fields
            try:
                settings = read_settings(text.decode("utf-8"))
            except UnicodeDecodeError:
                raise SettingsError("the settings are not UTF-8 text") from None
            except ValueError as problem:
                raise SettingsError(f"settings can't be used: {problem}") from None
        else:
            event = self._event(instance, code, fields)
        try:
            if code == wire.In.ATTACH:
                balancer = self._balancers[instance] = Balancer(settings, seed)
                self._classes[instance] = len(settings.classes)
                actions = balancer.start(clock)
            else:
                actions = self._balancers[instance].handle(clock, event)
        except Exception:  # the module failed: say so, never make up an action
            return [wire.encode_text(wire.Out.FAULT, traceback.format_exc(limit=-4))]
        return [_encode(action) for action in actions]

    def _event(self, instance: int, code: int, fields: tuple[Any, ...]) -> api.Event:
        if code == wire.In.INBOUND:
            request, _hint, ttl, tenant, category, key, options = fields
            if category >= self._classes[instance]:
                raise wire.WireError(f"unknown request class {category}")
            return api.Request(request, ttl, category, tenant, key, bool(options & RESUBMITTED))
        if code == wire.In.FINISHED:
            request, last, rc, lag, server, leg, report = fields
            return api.Outcome(request, bool(last), _lookup(RESULTS, rc, "outcome"), lag, server, leg, report)
        if code == wire.In.DUE:
            return api.Timer(fields[0])
        if code == wire.In.SYNC:
            kind = _lookup(LIST_KINDS, fields[1], "list kind")
            if kind is api.ListKind.FAILED:
                return api.ServerList(kind, ())
            return api.ServerList(kind, _lookup(self._rosters, fields[2], "list number"))
        return api.ClientGone(fields[0])


def _encode(action: api.Action) -> bytes:
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
    """Answer each batch until the input ends."""
    adapter = Adapter()
    while (frame := wire.read_frame(source)) is not None:
        sink.write(adapter.answer(frame))
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, SettingsError) as problem:
        print(f"lichenspring: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
