"""Runs the daemon with a deliberate defect: `python -m benchmarks.soak.planted NAME`. Each defect stands for
a mistake that a change could make; the soak test must detect each within ten seeds."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

from driftstair.net import (
    client_connection,
    frontend,
    node,
    request_guard,
    reuse_delay,
    server_connection,
    server_directory,
)
from driftstair.net.arrival import ArrivalEstimator, ArrivalRange
from driftstair.net.in_flight import InFlightRequest


def _disable_guard() -> None:
    """Lets the guard permit every attempt, so that it doesn't prevent what the defect causes."""
    request_guard.AttemptPermit.forbids = lambda self, now: None  # type: ignore[method-assign]


def attempt_after_close() -> None:
    """Attempts begin without a check whether the client has disconnected."""
    client_connection.ClientConnection.has_disconnected = lambda self: False  # type: ignore[method-assign]
    client_connection.ClientConnection.eof_received = lambda self: True  # type: ignore[method-assign]
    client_connection.ClientConnection.disconnected_for = lambda self: 0  # type: ignore[method-assign]


def deadline_from_reading() -> None:
    """A request's deadline counts from when the node reads it instead of from when it arrived."""

    def reading_time(self: client_connection.ClientConnection, size: int, earliest: int) -> ArrivalRange:
        return ArrivalRange(self._frontend.now(), self._frontend.now())

    client_connection.ClientConnection._date_arrival = reading_time  # type: ignore[method-assign]


def close_over_request() -> None:
    """Some connections are closed as idle though a request has been read on them."""
    on_request = frontend.Frontend.on_request
    request_count = [0]

    def close_some(self: frontend.Frontend, connection: client_connection.ClientConnection) -> None:
        on_request(self, connection)
        request_count[0] += 1
        if request_count[0] % 40 == 0:
            self._loop.call_later(0.002, connection.close, client_connection.CloseReason.IDLE)

    frontend.Frontend.on_request = close_some  # type: ignore[method-assign]


def answer_to_wrong_client() -> None:
    """A connection to a server is reused at once, even if the server still writes on it."""
    reuse_delay.REUSE_DELAY_MIN_NS = 0
    reuse_delay.ReuseDelay.on_unsolicited_bytes = lambda self, now, lateness: None  # type: ignore[method-assign]
    server_connection.Connection.has_no_unread_data = lambda self: True  # type: ignore[method-assign]


def unsafe_repeat() -> None:
    """A request of a class that must not run twice is sent again after a failure."""
    from lichenspring import balance

    _disable_guard()
    balance.OpenRequest.may_send_to = lambda self, server, now: True  # type: ignore[method-assign]


def send_to_draining() -> None:
    """A draining server is treated as a ready one."""
    update_servers = server_directory.ServerDirectory._update_servers

    def update_as_ready(self: server_directory.ServerDirectory, kind: Any, hosts: Any) -> None:
        state = server_directory.ServerState
        update_servers(
            self,
            kind,
            tuple(
                host._replace(state=state.READY) if host.state is state.DRAINING else host for host in hosts
            ),
        )

    server_directory.ServerDirectory._update_servers = update_as_ready  # type: ignore[method-assign]


def wall_clock_in_deadlines() -> None:
    """The arrival time of a request is taken from the wall clock."""
    wall_offset_ns = time.time_ns() - time.monotonic_ns()

    def wall_clock_time(self: client_connection.ClientConnection, size: int) -> ArrivalRange:
        now = time.time_ns() - wall_offset_ns
        return ArrivalRange(now, now)

    client_connection.ClientConnection._date_arrival = wall_clock_time  # type: ignore[method-assign]


def end_at_once() -> None:
    """SIGTERM ends the process without waiting for the requests in flight."""

    async def stop_at_once(self: frontend.Frontend, *_: Any) -> None:
        self.stopping = True

    frontend.Frontend.stop = stop_at_once  # type: ignore[method-assign]


def second_answer() -> None:
    """An overdue request is answered even if it has already been answered."""

    def reply_overdue(self: node.Node, request: InFlightRequest) -> None:
        self._reply(request, 504, [], b"", node.AnswerReason.OVERDUE)

    finish = node.Node._finish

    def finish_with_watchdog(self: node.Node, request: InFlightRequest) -> None:
        watchdog, request.watchdog = request.watchdog, None
        finish(self, request)
        request.watchdog = watchdog

    node.Node._on_overdue = reply_overdue  # type: ignore[method-assign]
    node.Node._finish = finish_with_watchdog  # type: ignore[method-assign]


def stopped_clients_stay() -> None:
    """Clients that stop in the middle of a request are never timed out."""
    client_connection.ClientConnection.time_out = lambda self: None  # type: ignore[method-assign]


def bursts_by_reading() -> None:
    """The parts of a long body count as arriving when each is read, whenever the client wrote them."""
    ArrivalEstimator._may_have_been_ready = lambda self, size, reached: False  # type: ignore[method-assign]
    ArrivalEstimator._backlog_start = lambda self, now, size, oldest, reached: 0  # type: ignore[method-assign]


def cut_undecided_answers() -> None:
    """Time limits end an answer of unknown length, however much of it its server still writes."""
    server_connection.is_passed_on = lambda phase, end: False  # type: ignore[assignment]


DEFECTS: dict[str, Callable[[], None]] = {
    "attempt-after-close": attempt_after_close,
    "deadline-from-reading": deadline_from_reading,
    "close-over-request": close_over_request,
    "answer-to-wrong-client": answer_to_wrong_client,
    "unsafe-repeat": unsafe_repeat,
    "send-to-draining": send_to_draining,
    "wall-clock-in-deadlines": wall_clock_in_deadlines,
    "end-at-once": end_at_once,
    "second-answer": second_answer,
    "stopped-clients-stay": stopped_clients_stay,
    "bursts-by-reading": bursts_by_reading,
    "cut-undecided-answers": cut_undecided_answers,
}


def main() -> int:
    """Plants the defect that the command line names and runs the daemon."""
    if len(sys.argv) != 2 or sys.argv[1] not in DEFECTS:
        print(f"planted: {sys.argv[1:]}: one of {', '.join(DEFECTS)} would do", file=sys.stderr)
        return 2
    DEFECTS[sys.argv.pop()]()
    from driftstair.__main__ import main as run_daemon

    return run_daemon()


if __name__ == "__main__":
    sys.exit(main())
