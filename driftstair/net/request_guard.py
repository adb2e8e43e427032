"""The invariants of requests: which attempts may start or repeat, how a client may be answered, and which
connections may be closed. No I/O; times are monotonic ns and passed in.

Each step of a request is checked twice. Before the bytes of an attempt are written, `forbids` decides from
the current state. Afterwards `record_write`, `record_answer` and `record_close` check what was done, whatever
code decided it, and report each violated invariant. In operation a violation is counted and logged; in tests
it raises (`strict`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from lichenspring.interface import NEVER_RAN, Group, Repeat, RequestClass, Result, ServerId

MS = 1_000_000  # ns
DISCONNECTED_NS_MAX = 100 * MS  # since the client's close; the platform allows new attempts until then
DEADLINE_SLACK_NS = 150 * MS  # by which the platform lets a server's deadline exceed the client's
REFUSAL_STATUSES = (429, 503)  # tell the client that a retry is harmless


class ProcessState(Enum):
    """The stages of the process, as far as they decide which requests may start."""

    SERVING = "serving"
    STOPPING = "stopping"  # asked to stop; new requests are still served
    ENDED = "ended"  # a request that starts now would not be finished


class NotBegun(Enum):
    """Why an attempt must not start."""

    UNKNOWN_REQUEST = "unknown_request"
    ANSWERED = "answered"
    CLIENT_LEFT = "client_left"
    NO_TIME_LEFT = "no_time_left"
    WINDOW_OVER = "window_over"  # servers no longer deduplicate the repeat
    MAY_HAVE_RUN = "may_have_run"  # and its class must not run twice
    SERVER_LEAVING = "server_leaving"
    PROCESS_ENDED = "process_ended"


class Invariant(Enum):
    """The invariants; the values are their names in metrics and in the event log."""

    NO_ATTEMPT_WITHOUT_REQUEST = "no_attempt_without_request"
    NO_ATTEMPT_AFTER_ANSWER = "no_attempt_after_answer"
    NO_ATTEMPT_AFTER_CLIENT_LEFT = "no_attempt_after_client_left"
    NO_ATTEMPT_AFTER_DEADLINE = "no_attempt_after_deadline"
    NO_DEADLINE_BEYOND_CLIENTS = "no_deadline_beyond_clients"
    NO_ATTEMPT_TO_LEAVING_SERVER = "no_attempt_to_leaving_server"
    NO_REPEAT_OF_UNSAFE = "no_repeat_of_unsafe"
    NO_REPEAT_AFTER_WINDOW = "no_repeat_after_window"
    NO_SECOND_ANSWER = "no_second_answer"
    NO_REFUSAL_AFTER_EFFECT = "no_refusal_after_effect"
    NO_CLOSE_UNANSWERED = "no_close_unanswered"
    NO_CLOSE_OVER_UNREAD = "no_close_over_unread"
    NO_START_AFTER_END = "no_start_after_end"


class InvariantError(AssertionError):
    """Raised in tests when an invariant is violated."""

    def __init__(self, invariant: Invariant, request: int, detail: str) -> None:
        super().__init__(f"{invariant.value}: request {request}: {detail}")
        self.invariant = invariant
        self.request = request


@dataclass(slots=True, eq=False)
class GuardedAttempt:
    """An attempt whose bytes have been written."""

    server: ServerId
    written_at: int
    result: Result | None = None  # None: in flight

    def may_have_run(self) -> bool:
        return self.result not in NEVER_RAN


@dataclass(slots=True, eq=False)
class GuardedRequest:
    """What the guard knows about an accepted request."""

    request_class: RequestClass
    has_key: bool
    deadline: int  # of the client; 0: not known until the last byte has arrived
    disconnected_for: Callable[[], int]  # ns since the client closed or half-closed; 0: it has not
    answered: bool = False
    attempts: dict[int, GuardedAttempt] = field(default_factory=dict)

    def may_have_run(self) -> bool:
        return any(attempt.may_have_run() for attempt in self.attempts.values())

    def may_be_refused(self) -> bool:
        if self.request_class.repeat is Repeat.SAFE or not self.may_have_run():
            return True
        return (
            self.request_class.repeat is Repeat.KEYED
            and self.request_class.group is Group.ALL
            and self.has_key
        )

    def repeat_window_end(self) -> int:
        """When servers forget the earliest attempt that may have run; 0: there is no limit."""
        if self.request_class.repeat is not Repeat.KEYED or not self.attempts:
            return 0
        written = [attempt.written_at for attempt in self.attempts.values() if attempt.may_have_run()]
        return min(written) + self.request_class.window if written else 0


class RequestGuard:
    """The guard of all requests of one process."""

    def __init__(self, on_violation: Callable[[Invariant, int, str], None]) -> None:
        self.state = ProcessState.SERVING
        self.strict = False
        self._on_violation = on_violation
        self._requests: dict[int, GuardedRequest] = {}
        self._ready: set[ServerId] = set()

    def _report_violation(self, invariant: Invariant, request: int, detail: str) -> None:
        self._on_violation(invariant, request, detail)
        if self.strict:
            raise InvariantError(invariant, request, detail)

    def _require(self, holds: bool, invariant: Invariant, request: int, detail: str) -> None:
        if not holds:
            self._report_violation(invariant, request, detail)

    # State changes.

    def set_ready_servers(self, servers: Iterable[ServerId]) -> None:
        """Replaces the set of servers that accept new attempts; the others drain or are gone."""
        self._ready = set(servers)

    def start(self, number: int, request: GuardedRequest) -> None:
        """A request has been accepted."""
        if self.state is ProcessState.ENDED:
            self._report_violation(
                Invariant.NO_START_AFTER_END, number, "the process has answered all that it held"
            )
        self._requests[number] = request

    def set_deadline(self, number: int, deadline: int) -> None:
        """Called when the last byte of a streamed body has arrived."""
        request = self._requests.get(number)
        if request is not None:
            request.deadline = deadline

    def record_attempt_end(self, number: int, index: int, result: Result) -> None:
        request = self._requests.get(number)
        if request is not None and index in request.attempts:
            request.attempts[index].result = result

    def may_have_run(self, number: int) -> bool:
        """Whether an attempt of the request may have been executed."""
        request = self._requests.get(number)
        return request is not None and request.may_have_run()

    def forget(self, number: int) -> None:
        """The request is answered and has no attempts in flight."""
        self._requests.pop(number, None)

    # Decisions.

    def forbids(self, number: int, index: int, server: ServerId, now: int) -> NotBegun | None:
        """Why the bytes of an attempt must not be written now; None: they may be."""
        request = self._requests.get(number)
        if request is None:
            return NotBegun.UNKNOWN_REQUEST
        if request.answered:
            return NotBegun.ANSWERED
        if self.state is ProcessState.ENDED:
            return NotBegun.PROCESS_ENDED
        if server not in self._ready:
            return NotBegun.SERVER_LEAVING
        if request.deadline and now >= request.deadline:
            return NotBegun.NO_TIME_LEFT
        if request.attempts:
            if request.request_class.repeat is Repeat.UNSAFE and request.may_have_run():
                return NotBegun.MAY_HAVE_RUN
            if 0 < request.repeat_window_end() <= now:
                return NotBegun.WINDOW_OVER
        return None

    # Checks of what was done.

    def record_write(self, number: int, index: int, server: ServerId, now: int, announced_ns: int) -> None:
        """The first bytes of an attempt have been written. `announced_ns`: the deadline in them."""
        request = self._requests.get(number)
        if request is None:
            self._report_violation(Invariant.NO_ATTEMPT_WITHOUT_REQUEST, number, f"attempt {index}")
            return
        if request.answered:
            self._report_violation(Invariant.NO_ATTEMPT_AFTER_ANSWER, number, f"attempt {index}")
        disconnected_for = request.disconnected_for()
        if disconnected_for >= DISCONNECTED_NS_MAX:
            detail = f"{disconnected_for / MS:.0f} ms"
            self._report_violation(Invariant.NO_ATTEMPT_AFTER_CLIENT_LEFT, number, detail)
        if request.deadline:
            self._check_deadline(request, number, now, announced_ns)
        if server not in self._ready:
            self._report_violation(Invariant.NO_ATTEMPT_TO_LEAVING_SERVER, number, server.hex())
        if request.attempts:
            self._check_repeat(request, number, now)
        request.attempts[index] = GuardedAttempt(server, now)

    def _check_deadline(self, request: GuardedRequest, number: int, now: int, announced_ns: int) -> None:
        time_left = request.deadline - now
        if time_left > -DEADLINE_SLACK_NS and announced_ns <= time_left + DEADLINE_SLACK_NS:
            return
        detail = f"{time_left / MS:.0f} ms left, {announced_ns / MS:.0f} ms told"
        if time_left <= -DEADLINE_SLACK_NS:
            self._report_violation(Invariant.NO_ATTEMPT_AFTER_DEADLINE, number, detail)
        else:
            self._report_violation(Invariant.NO_DEADLINE_BEYOND_CLIENTS, number, detail)

    def _check_repeat(self, request: GuardedRequest, number: int, now: int) -> None:
        unsafe = request.request_class.repeat is Repeat.UNSAFE and request.may_have_run()
        self._require(not unsafe, Invariant.NO_REPEAT_OF_UNSAFE, number, "an earlier attempt may have run")
        ends = request.repeat_window_end()
        over = f"{(now - ends) / MS:.0f} ms after the window"
        self._require(not 0 < ends < now, Invariant.NO_REPEAT_AFTER_WINDOW, number, over)

    def record_answer(self, number: int, status: int) -> None:
        request = self._requests.get(number)
        if request is None:
            return  # refused before it was accepted
        if request.answered:
            self._report_violation(Invariant.NO_SECOND_ANSWER, number, f"status {status}")
        if status in REFUSAL_STATUSES and not request.may_be_refused():
            self._report_violation(Invariant.NO_REFUSAL_AFTER_EFFECT, number, f"status {status}")
        request.answered = True

    def mark_abandoned(self, number: int) -> None:
        """The client has closed the connection, so there is no one to answer."""
        request = self._requests.get(number)
        if request is not None:
            request.answered = True

    def record_close(self, number: int, waiting: int, why: str, has_unread: bool = False) -> None:
        """The node closes a client's connection. `number`: its open request, or 0; `waiting`: number of
        complete requests behind it; `has_unread`: the client may still send requests and has unread bytes."""
        self._require(not number and not waiting, Invariant.NO_CLOSE_UNANSWERED, number, why)
        self._require(not has_unread, Invariant.NO_CLOSE_OVER_UNREAD, number, why)


@dataclass(slots=True, eq=False)
class AttemptPermit:
    """Checks one attempt right before its bytes are written, and records the write."""

    guard: RequestGuard
    request: int
    index: int
    server: ServerId
    start_by: int  # latest start of a repeat, monotonic ns; 0: no limit
    has_disconnected: Callable[[], bool]  # the client; if so, the attempt must not start
    on_refused: Callable[[int, int, NotBegun], None]
    on_written: Callable[[int, int, ServerId, int, int], None]
    checked_at: int = 0  # time of the last `forbids`, monotonic ns

    def forbids(self, now: int) -> NotBegun | None:
        """To be called right before the write. Calls `on_refused` if the write is forbidden."""
        self.checked_at = now
        reason = self._refusal_reason(now)
        if reason is not None:
            self.on_refused(self.request, self.index, reason)
        return reason

    def _refusal_reason(self, now: int) -> NotBegun | None:
        if self.has_disconnected():
            return NotBegun.CLIENT_LEFT
        if 0 < self.start_by <= now:
            return NotBegun.WINDOW_OVER
        return self.guard.forbids(self.request, self.index, self.server, now)

    def record_write(self, now: int, announced_ns: int) -> None:
        """`announced_ns`: the deadline that was written with the first bytes."""
        self.guard.record_write(self.request, self.index, self.server, now, announced_ns)
        self.on_written(self.request, self.index, self.server, announced_ns, now - self.checked_at)
