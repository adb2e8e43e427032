"""The invariants of requests, in one place: what may begin, what may be repeated, what a client may be told,
and what may be closed. No I/O; times are monotonic ns and handed in.

Each step of a request passes here twice. Before an attempt's bytes go out `forbids` decides on what is known
in that moment; `wrote`, `answered` and `closed` then check what was done, whatever decided it, and count what
broke an invariant. In operation a violation is a count and a line of the log; in tests it raises (`strict`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from lichenspring.interface import NEVER_RAN, Group, Repeat, RequestClass, Result, ServerId

MS = 1_000_000  # ns
LEFT_MOST = 100 * MS  # after a client's close in which an attempt may still begin, by the platform's rules
TOLD_SLACK = 150 * MS  # that a server may be told beyond what the client has left, likewise
REFUSALS = (429, 503)  # answers that promise that trying again is harmless


class ProcessState(Enum):
    SERVING = "serving"
    STOPPING = "stopping"  # told to end: what comes is served still
    ENDED = "ended"  # what is begun now would not be finished


class NotBegun(Enum):
    """Why an attempt must not begin."""

    UNKNOWN_REQUEST = "unknown_request"
    ANSWERED = "answered"
    CLIENT_LEFT = "client_left"
    NO_TIME_LEFT = "no_time_left"
    WINDOW_OVER = "window_over"  # its repeat would not be dropped any more
    MAY_HAVE_RUN = "may_have_run"  # of a class that must not run twice
    SERVER_LEAVING = "server_leaving"
    PROCESS_ENDED = "process_ended"


class Invariant(Enum):
    """What must hold, by the name that counts and the event log use."""

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
    """An invariant did not hold, in a test."""

    def __init__(self, invariant: Invariant, request: int, detail: str) -> None:
        super().__init__(f"{invariant.value}: request {request}: {detail}")
        self.invariant = invariant
        self.request = request


@dataclass(slots=True, eq=False)
class GuardedAttempt:
    """One whose bytes have gone out."""

    server: ServerId
    written_at: int
    result: Result | None = None  # None: it is out

    def may_have_run(self) -> bool:
        return self.result not in NEVER_RAN


@dataclass(slots=True, eq=False)
class GuardedRequest:
    kind: RequestClass
    has_key: bool
    deadline: int  # of the client; 0: not known before its last byte has come
    disconnected_for: Callable[[], int]  # ns since its client closed or ended its sending; 0: it has not
    answered: bool = False
    attempts: dict[int, GuardedAttempt] = field(default_factory=dict)

    def may_have_run(self) -> bool:
        return any(attempt.may_have_run() for attempt in self.attempts.values())

    def may_be_refused(self) -> bool:
        if self.kind.repeat is Repeat.SAFE or not self.may_have_run():
            return True
        return self.kind.repeat is Repeat.KEYED and self.kind.group is Group.ALL and self.has_key

    def repeat_ends(self) -> int:
        """When servers forget the earliest attempt that may have run; 0: there is none, or none is needed."""
        if self.kind.repeat is not Repeat.KEYED or not self.attempts:
            return 0
        written = [one.written_at for one in self.attempts.values() if one.may_have_run()]
        return min(written) + self.kind.window if written else 0


class RequestGuard:
    """Of one process."""

    def __init__(self, on_violation: Callable[[Invariant, int, str], None]) -> None:
        self.state = ProcessState.SERVING
        self.strict = False
        self._on_violation = on_violation
        self._requests: dict[int, GuardedRequest] = {}
        self._ready: set[ServerId] = set()

    def _violated(self, invariant: Invariant, request: int, detail: str) -> None:
        self._on_violation(invariant, request, detail)
        if self.strict:
            raise InvariantError(invariant, request, detail)

    def _expect(self, holds: bool, invariant: Invariant, request: int, detail: str) -> None:
        if not holds:
            self._violated(invariant, request, detail)

    # What the guard is told.

    def servers_ready(self, servers: Iterable[ServerId]) -> None:
        """All that may be sent to from now on; the others drain or are gone."""
        self._ready = set(servers)

    def start(self, number: int, request: GuardedRequest) -> None:
        """A request is taken in."""
        if self.state is ProcessState.ENDED:
            self._violated(Invariant.NO_START_AFTER_END, number, "the process has answered all that it held")
        self._requests[number] = request

    def dated(self, number: int, deadline: int) -> None:
        """The last byte of a long body has come."""
        request = self._requests.get(number)
        if request is not None:
            request.deadline = deadline

    def ended(self, number: int, index: int, result: Result) -> None:
        """An attempt is over."""
        request = self._requests.get(number)
        if request is not None and index in request.attempts:
            request.attempts[index].result = result

    def forget(self, number: int) -> None:
        """It is answered, and nothing is out for it."""
        self._requests.pop(number, None)

    # What may begin.

    def forbids(self, number: int, index: int, server: ServerId, now: int) -> NotBegun | None:
        """Why the bytes of an attempt must not go out in this moment; None: they may."""
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
            if request.kind.repeat is Repeat.UNSAFE and request.may_have_run():
                return NotBegun.MAY_HAVE_RUN
            if 0 < request.repeat_ends() <= now:
                return NotBegun.WINDOW_OVER
        return None

    # What was done.

    def wrote(self, number: int, index: int, server: ServerId, now: int, told: int) -> None:
        """The first bytes of an attempt have gone out, with this deadline (ns) in them."""
        request = self._requests.get(number)
        if request is None:
            self._violated(Invariant.NO_ATTEMPT_WITHOUT_REQUEST, number, f"attempt {index}")
            return
        self._expect(not request.answered, Invariant.NO_ATTEMPT_AFTER_ANSWER, number, f"attempt {index}")
        disconnected_for = request.disconnected_for()
        self._expect(
            disconnected_for < LEFT_MOST,
            Invariant.NO_ATTEMPT_AFTER_CLIENT_LEFT,
            number,
            f"{disconnected_for / MS:.0f} ms",
        )
        if request.deadline:
            self._check_deadline(request, number, now, told)
        self._expect(server in self._ready, Invariant.NO_ATTEMPT_TO_LEAVING_SERVER, number, server.hex())
        if request.attempts:
            self._check_repeat(request, number, now)
        request.attempts[index] = GuardedAttempt(server, now)

    def _check_deadline(self, request: GuardedRequest, number: int, now: int, told: int) -> None:
        left = request.deadline - now
        detail = f"{left / MS:.0f} ms left, {told / MS:.0f} ms told"
        if left <= -TOLD_SLACK:
            self._violated(Invariant.NO_ATTEMPT_AFTER_DEADLINE, number, detail)
        elif told > left + TOLD_SLACK:
            self._violated(Invariant.NO_DEADLINE_BEYOND_CLIENTS, number, detail)

    def _check_repeat(self, request: GuardedRequest, number: int, now: int) -> None:
        unsafe = request.kind.repeat is Repeat.UNSAFE and request.may_have_run()
        self._expect(not unsafe, Invariant.NO_REPEAT_OF_UNSAFE, number, "an earlier attempt may have run")
        ends = request.repeat_ends()
        over = f"{(now - ends) / MS:.0f} ms after the window"
        self._expect(not 0 < ends < now, Invariant.NO_REPEAT_AFTER_WINDOW, number, over)

    def answered(self, number: int, status: int) -> None:
        """A request gets its final answer."""
        request = self._requests.get(number)
        if request is None:
            return  # turned away before it was taken in
        self._expect(not request.answered, Invariant.NO_SECOND_ANSWER, number, f"status {status}")
        harmless = status not in REFUSALS or request.may_be_refused()
        self._expect(harmless, Invariant.NO_REFUSAL_AFTER_EFFECT, number, f"status {status}")
        request.answered = True

    def abandoned(self, number: int) -> None:
        """Its client has closed the connection: nobody is left to answer."""
        request = self._requests.get(number)
        if request is not None:
            request.answered = True

    def closed(self, number: int, waiting: int, why: str, has_unread: bool = False) -> None:
        """The node closes a client's connection, which has one request open (0: none) and so many more that
        were read whole. `has_unread`: and something that it has not read, of a client that may still ask."""
        self._expect(not number and not waiting, Invariant.NO_CLOSE_UNANSWERED, number, why)
        self._expect(not has_unread, Invariant.NO_CLOSE_OVER_UNREAD, number, why)


@dataclass(slots=True, eq=False)
class AttemptPermit:
    """What one attempt asks before its bytes go out, and tells when they have."""

    guard: RequestGuard
    request: int
    index: int
    server: ServerId
    begin_by: int  # a repeat must not be written from then on, monotonic ns; 0: no such limit
    has_disconnected: Callable[[], bool]  # the client: nothing may begin for it
    on_refused: Callable[[int, int, NotBegun], None]
    on_written: Callable[[int, int, ServerId, int, int], None]
    asked_at: int = 0  # when it was last asked, monotonic ns

    def forbids(self, now: int) -> NotBegun | None:
        """Asked in the very moment before the write; says so to `on_refused` where it forbids."""
        self.asked_at = now
        reason = self._reason(now)
        if reason is not None:
            self.on_refused(self.request, self.index, reason)
        return reason

    def _reason(self, now: int) -> NotBegun | None:
        if self.has_disconnected():
            return NotBegun.CLIENT_LEFT
        if 0 < self.begin_by <= now:
            return NotBegun.WINDOW_OVER
        return self.guard.forbids(self.request, self.index, self.server, now)

    def wrote(self, now: int, told: int) -> None:
        """`told`: the deadline (ns) that went out with the first bytes."""
        self.guard.wrote(self.request, self.index, self.server, now, told)
        self.on_written(self.request, self.index, self.server, told, now - self.asked_at)
