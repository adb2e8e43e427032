"""Round the decision module: the same events in and actions out, counted on the way. Pure: no I/O, the clock
comes in with each event.

A request is lost where it was not answered within its aim. It is booked once, when that is sure, to one
cause:

    no-server   refused on arrival while the list that the node holds names nobody who is ready
    refused     refused on arrival while it does: the breaker, or no server that may be used now
    late        answered, after the aim
    gone        its client left, or its time was up, before it had an answer
    full, timeout, connect_failed, reset, error, not_sent, cancelled: how the last attempt ended
    cold        the same, at a server that was cold when the attempt was sent to it

Only what the module sees is counted. Connections and handshakes are not: its events do not tell of them.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lichenspring import interface as api
from lichenspring.interface import ListKind, Result, ServerState

Say = Callable[[dict[str, Any]], None]


@dataclass(slots=True)
class _Entry:
    class_index: int
    arrived: int  # ns
    attempts: list[api.ServerId] = field(default_factory=list)
    cold: bool = False  # the newest attempt's server, when it was sent
    last: Result | None = None  # how the newest attempt that ended did


@dataclass(slots=True)
class _Span:
    """What one line tells."""

    began: int  # ns
    asked: Counter[int] = field(default_factory=Counter)  # by class
    in_time: Counter[int] = field(default_factory=Counter)
    lost: defaultdict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    sent: Counter[api.ServerId] = field(default_factory=Counter)
    bad: defaultdict[api.ServerId, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    calls: int = 0  # for the list
    calls_failed: int = 0


class Tally:
    def __init__(self, module: api.DecisionModule, settings: api.Settings, every: int, say: Say) -> None:
        """`every`: ns between two lines."""
        self._module = module
        self._settings = settings
        self._every = every
        self._say = say
        self._open: dict[int, _Entry] = {}
        self._servers: dict[api.ServerId, api.Server] = {}
        self._span = _Span(0)

    def start(self, now: int) -> list[api.Action]:
        self._span = _Span(now)
        return self._module.start(now)

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        # The module's own timer comes twice a second: no line is late by more than that.
        if now - self._span.began >= self._every:
            self._say(self._line(now))
            self._span = _Span(now)
        if isinstance(event, api.Request):
            self._open[event.id] = _Entry(event.class_index, now)
            self._span.asked[event.class_index] += 1
        elif isinstance(event, api.Outcome):
            self._settle(now, event)
        elif isinstance(event, api.ClientGone):
            self._lose(event.request, "gone")
        elif isinstance(event, api.ServerList):
            self._follow(event)
        actions = self._module.handle(now, event)
        for action in actions:
            self._note(now, action)
        return actions

    def _settle(self, now: int, outcome: api.Outcome) -> None:
        if outcome.result is not Result.OK:
            self._span.bad[outcome.server][outcome.result.value] += 1
        entry = self._open.get(outcome.request)
        if entry is None:
            return
        entry.last = outcome.result
        if not outcome.closed:
            return
        if outcome.result is not Result.OK:
            self._lose(outcome.request, self._cause(entry))
        elif now - entry.arrived > self._settings.classes[entry.class_index].aim:
            self._lose(outcome.request, "late")
        else:
            self._span.in_time[entry.class_index] += 1
            del self._open[outcome.request]

    def _note(self, now: int, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._span.sent[action.server] += 1
            entry = self._open.get(action.request)
            if entry is not None:
                entry.attempts.append(action.server)
                entry.cold = self._is_cold(now, action.server)
        elif isinstance(action, api.Refuse | api.Fail):
            entry = self._open.get(action.request)
            if entry is not None:
                self._lose(action.request, self._cause(entry))
        elif isinstance(action, api.Watch):
            self._span.calls += 1

    def _cause(self, entry: _Entry) -> str:
        if not entry.attempts:
            ready = any(one.state is ServerState.READY for one in self._servers.values())
            return "refused" if ready else "no-server"
        return "cold" if entry.cold else entry.last.value if entry.last is not None else "refused"

    def _lose(self, request: int, cause: str) -> None:
        entry = self._open.pop(request, None)
        if entry is not None:
            self._span.lost[cause][entry.class_index] += 1

    def _is_cold(self, now: int, server: api.ServerId) -> bool:
        known = self._servers.get(server)
        return known is not None and known.started > 0 and now - known.started < self._settings.cold_time

    def _follow(self, update: api.ServerList) -> None:
        if update.kind is ListKind.FAILED:
            self._span.calls_failed += 1
            return
        if update.kind is not ListKind.DELTA:
            self._servers.clear()
        for server in update.servers:
            if server.state is ServerState.GONE:
                self._servers.pop(server.id, None)
            else:
                self._servers[server.id] = server

    def _line(self, now: int) -> dict[str, Any]:
        """Counts by class in the order of the settings, servers by their hashed id."""
        span, classes = self._span, range(len(self._settings.classes))

        def by_class(counts: Counter[int]) -> list[int]:
            return [counts[index] for index in classes]

        return {
            "span_ms": (now - span.began) // 1_000_000,
            "worth": [kind.worth for kind in self._settings.classes],
            "asked": by_class(span.asked),
            "in_time": by_class(span.in_time),
            "lost": {cause: by_class(counts) for cause, counts in sorted(span.lost.items())},
            "open": len(self._open),
            "ready": sum(one.state is ServerState.READY for one in self._servers.values()),
            "sent": {server.hex(): count for server, count in sorted(span.sent.items())},
            "bad": {server.hex(): dict(counts) for server, counts in sorted(span.bad.items())},
            "list_calls": span.calls,
            "list_failed": span.calls_failed,
        }  # fmt: skip
