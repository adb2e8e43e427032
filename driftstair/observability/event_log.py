"""The event log: one JSON line per event, written through the standard library's logging.

A line has `at_ms` (wall clock), `mono_ns` (monotonic clock, for durations), `node`, `event` and the fields of
the event. Lines of several nodes can be ordered by `at_ms` as far as their clocks agree.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from enum import Enum
from pathlib import Path

from driftstair.observability.log_stream import standard_error_handler

LOGGER_NAME = "driftstair.events"


class EventLevel(Enum):
    """Which events are written."""

    STATE = "state"  # server lists, process states, event loop stalls, invariant violations, counters
    REQUESTS = "requests"  # also each step of each request


class EventLog:
    """An `Observer` of one node. Its own logger does not propagate to the daemon's log."""

    def __init__(
        self,
        node: str,
        level: EventLevel,
        monotonic_ns: Callable[[], int],
        wall_ns: Callable[[], int],
        handler: logging.Handler | None = None,
    ) -> None:
        """`handler`: where the lines are written; default: standard error."""
        self._node = node
        self._wants_requests = level is EventLevel.REQUESTS
        self._monotonic_ns = monotonic_ns
        self._wall_ns = wall_ns
        self._logger = logging.Logger(LOGGER_NAME)
        handler = handler or standard_error_handler()
        handler.setFormatter(logging.Formatter("%(message)s"))
        self._logger.addHandler(handler)

    def _write(self, event: str, **fields: object) -> None:
        line = {
            "at_ms": self._wall_ns() // 1_000_000,
            "mono_ns": self._monotonic_ns(),
            "node": self._node,
            "event": event,
            **fields,
        }
        self._logger.info(json.dumps(line, separators=(",", ":")))

    def _write_request_event(self, event: str, **fields: object) -> None:
        if self._wants_requests:
            self._write(event, **fields)

    # Requests.

    def request_taken(self, request: int, request_id: str, left_ms: float, waited_ms: float) -> None:
        self._write_request_event(
            "request_taken", request=request, request_id=request_id, left_ms=left_ms, waited_ms=waited_ms
        )

    def attempt_started(
        self, request: int, attempt: int, server: str, told_ms: float, held_ms: float
    ) -> None:
        self._write_request_event(
            "attempt_started",
            request=request,
            attempt=attempt,
            server=server,
            told_ms=told_ms,
            held_ms=held_ms,
        )

    def attempt_not_begun(self, request: int, attempt: int, why: str) -> None:
        self._write_request_event("attempt_not_begun", request=request, attempt=attempt, why=why)

    def attempt_ended(
        self, request: int, attempt: int, result: str, elapsed_ms: float, phase: str, received_bytes: int
    ) -> None:
        self._write_request_event(
            "attempt_ended",
            request=request,
            attempt=attempt,
            result=result,
            elapsed_ms=elapsed_ms,
            phase=phase,
            received_bytes=received_bytes,
        )

    def stream_begun(self, request: int, reason: str) -> None:
        self._write_request_event("stream_begun", request=request, reason=reason)

    def stream_ended(self, request: int, reason: str) -> None:
        self._write_request_event("stream_ended", request=request, reason=reason)

    def request_answered(self, request: int, status: int, reason: str) -> None:
        self._write_request_event("request_answered", request=request, status=status, reason=reason)

    def request_abandoned(self, request: int) -> None:
        self._write_request_event("request_abandoned", request=request)

    def connection_closed(self, request: int, reason: str) -> None:
        self._write_request_event("connection_closed", request=request, reason=reason)

    # Server lists and the process.

    def discovery_called(self, address: str, version: int) -> None:
        self._write("discovery_called", address=address, version=version)

    def list_received(self, version: int, full: bool, servers: int, waited_ms: float) -> None:
        self._write("list_received", version=version, full=full, servers=servers, waited_ms=waited_ms)

    def discovery_ended(self, why: str, answered: bool, lasted_ms: float) -> None:
        self._write("discovery_ended", why=why, answered=answered, lasted_ms=lasted_ms)

    def process_state_changed(self, state: str) -> None:
        self._write("process_state_changed", state=state)

    def loop_held(self, held_ms: float) -> None:
        self._write("loop_held", held_ms=held_ms)

    def invariant_violated(self, invariant: str, request: int, detail: str) -> None:
        self._write("invariant_violated", invariant=invariant, request=request, detail=detail)

    def metrics_reported(self, counts: dict[str, int]) -> None:
        self._write("metrics_reported", counts=counts)


def file_handler(path: Path) -> logging.Handler:
    """Appends to a file. Raises OSError if it can't be opened."""
    return logging.FileHandler(path, encoding="utf-8")
