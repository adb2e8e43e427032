"""Wraps the decision module: passes events and actions through unchanged and counts them. Performs no I/O;
the time is passed in with each event.

A request is lost if it was not answered within its aim. It is counted once, as soon as that is certain,
under one cause:

    no-server   refused on arrival while no server in the node's list is ready
    refused     refused on arrival although one is: by the breaker, or no server may be used now
    late        answered, after the aim
    gone        its client left, or its time ran out, before it was answered
    full, timeout, connect_failed, reset, error, not_sent, cancelled: how the last attempt ended
    cold        the same, at a server that was cold when the attempt was sent to it

Only what the module sees is counted. Its events do not cover connections and handshakes.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from lichenspring import interface as api
from lichenspring.interface import ListKind, Result, ServerState

WriteLine = Callable[[dict[str, Any]], None]


@dataclass(slots=True)
class _OpenRequest:
    class_index: int
    arrived_ns: int
    attempts: list[api.ServerId] = field(default_factory=list)
    cold: bool = False  # whether the server of the latest attempt was cold when it was sent
    last_result: Result | None = None  # of the latest attempt that ended


@dataclass(slots=True)
class _Interval:
    """The counts for one line of the log."""

    began_ns: int
    requests: Counter[int] = field(default_factory=Counter)  # by class, like `in_time`
    in_time: Counter[int] = field(default_factory=Counter)
    lost: defaultdict[str, Counter[int]] = field(default_factory=lambda: defaultdict(Counter))
    sent: Counter[api.ServerId] = field(default_factory=Counter)
    failures: defaultdict[api.ServerId, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    list_calls: int = 0
    list_calls_failed: int = 0


class Tally:
    """Counts the events and actions of a decision module and writes a line per interval."""

    def __init__(
        self, module: api.DecisionModule, settings: api.Settings, interval_ns: int, write_line: WriteLine
    ) -> None:
        """`interval_ns`: the interval between lines."""
        self._module = module
        self._settings = settings
        self._interval_ns = interval_ns
        self._write_line = write_line
        self._open_requests: dict[int, _OpenRequest] = {}
        self._servers: dict[api.ServerId, api.Server] = {}
        self._interval = _Interval(0)

    def start(self, now: int) -> list[api.Action]:
        self._interval = _Interval(now)
        return self._module.start(now)

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        # The module's own timer fires twice a second, so a line is late by at most half a second.
        if now - self._interval.began_ns >= self._interval_ns:
            self._write_line(self._build_line(now))
            self._interval = _Interval(now)
        if isinstance(event, api.Request):
            self._open_requests[event.id] = _OpenRequest(event.class_index, now)
            self._interval.requests[event.class_index] += 1
        elif isinstance(event, api.Outcome):
            self._record_outcome(now, event)
        elif isinstance(event, api.ClientGone):
            self._record_loss(event.request, "gone")
        elif isinstance(event, api.ServerList):
            self._update_servers(event)
        actions = self._module.handle(now, event)
        for action in actions:
            self._record_action(now, action)
        return actions

    def _record_outcome(self, now: int, outcome: api.Outcome) -> None:
        if outcome.result is not Result.OK:
            self._interval.failures[outcome.server][outcome.result.value] += 1
        open_request = self._open_requests.get(outcome.request)
        if open_request is None:
            return
        open_request.last_result = outcome.result
        if not outcome.closed:
            return
        if outcome.result is not Result.OK:
            self._record_loss(outcome.request, self._loss_cause(open_request))
        elif now - open_request.arrived_ns > self._settings.classes[open_request.class_index].aim:
            self._record_loss(outcome.request, "late")
        else:
            self._interval.in_time[open_request.class_index] += 1
            del self._open_requests[outcome.request]

    def _record_action(self, now: int, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._interval.sent[action.server] += 1
            open_request = self._open_requests.get(action.request)
            if open_request is not None:
                open_request.attempts.append(action.server)
                open_request.cold = self._is_cold(now, action.server)
        elif isinstance(action, api.Refuse | api.Fail):
            open_request = self._open_requests.get(action.request)
            if open_request is not None:
                self._record_loss(action.request, self._loss_cause(open_request))
        elif isinstance(action, api.Watch):
            self._interval.list_calls += 1

    def _loss_cause(self, open_request: _OpenRequest) -> str:
        if not open_request.attempts:
            ready = any(server.state is ServerState.READY for server in self._servers.values())
            return "refused" if ready else "no-server"
        return (
            "cold"
            if open_request.cold
            else open_request.last_result.value
            if open_request.last_result is not None
            else "refused"
        )

    def _record_loss(self, request: int, cause: str) -> None:
        open_request = self._open_requests.pop(request, None)
        if open_request is not None:
            self._interval.lost[cause][open_request.class_index] += 1

    def _is_cold(self, now: int, server: api.ServerId) -> bool:
        info = self._servers.get(server)
        return info is not None and info.started > 0 and now - info.started < self._settings.cold_time

    def _update_servers(self, update: api.ServerList) -> None:
        if update.kind is ListKind.FAILED:
            self._interval.list_calls_failed += 1
            return
        if update.kind is not ListKind.DELTA:
            self._servers.clear()
        for server in update.servers:
            if server.state is ServerState.GONE:
                self._servers.pop(server.id, None)
            else:
                self._servers[server.id] = server

    def _build_line(self, now: int) -> dict[str, Any]:
        """Lists counts by class in the order of the settings, and servers by their hashed id."""
        interval, classes = self._interval, range(len(self._settings.classes))

        def by_class(counts: Counter[int]) -> list[int]:
            return [counts[index] for index in classes]

        return {
            "span_ms": (now - interval.began_ns) // 1_000_000,
            "worth": [request_class.worth for request_class in self._settings.classes],
            "asked": by_class(interval.requests),
            "in_time": by_class(interval.in_time),
            "lost": {cause: by_class(counts) for cause, counts in sorted(interval.lost.items())},
            "open": len(self._open_requests),
            "ready": sum(server.state is ServerState.READY for server in self._servers.values()),
            "sent": {server.hex(): count for server, count in sorted(interval.sent.items())},
            "bad": {server.hex(): dict(counts) for server, counts in sorted(interval.failures.items())},
            "list_calls": interval.list_calls,
            "list_failed": interval.list_calls_failed,
        }  # fmt: skip
