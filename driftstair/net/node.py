"""A node: turns socket activity into events for the balancer and executes the balancer's actions."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

from driftstair.net.answer_phase import FINAL_ANSWER_GRACE_S, AttemptEnd
from driftstair.net.body_stream import Stream, body_length
from driftstair.net.connection_pools import Pools
from driftstair.net.in_flight import InFlightRequest, ParsedRequest
from driftstair.net.load_report import LoadReports
from driftstair.net.request_guard import (
    AttemptPermit,
    GuardedRequest,
    Invariant,
    NotBegun,
    RequestGuard,
)
from driftstair.net.request_ids import Claim, IdClaims, RequestIds, SharedIds
from driftstair.net.server_answer import Answer
from driftstair.net.server_attempt import LATE_READ_GRACE_S, Attempt
from driftstair.net.server_directory import ServerDirectory
from driftstair.net.system import SOCKET_SYSTEM, System
from driftstair.observability.metrics import Metrics
from driftstair.observability.reasons import AnswerReason, StreamEnd, StreamStart
from driftstair.settings import Config
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.interface import NEVER_RAN, Repeat, Result

if TYPE_CHECKING:
    from driftstair.ledger.keeper import LedgerKeeper
    from driftstair.limits.request_table import RequestTable
    from driftstair.node_configuration.tenant_limits import TenantLimiter
    from driftstair.observability.observer import Observer
    from driftstair.operations.server_overrides import ServerOverrides

log = logging.getLogger(__name__)

MS = 1_000_000  # ns
ANSWER_TRANSIT_NS = 5 * MS  # an answer is sent so long before the client's deadline, to arrive in time
FINAL_ANSWER_GRACE_NS = int(FINAL_ANSWER_GRACE_S * 1e9)
TIMER_RETRY_DELAY_NS = 1_000 * MS  # until a timer whose event raised in the module fires again


def _retry_after(wait: int) -> list[tuple[bytes, bytes]]:
    """`wait` in ns; 0: no header."""
    return [(b"Retry-After", b"%.3f" % (wait / 1e9))] if wait else []


class Node:
    """Owns the balancer, which gets one event at a time, after all actions for the previous one are done."""

    def __init__(
        self, config: Config, pools: Pools, system: System = SOCKET_SYSTEM,
        limits: RequestTable | None = None, server_overrides: ServerOverrides | None = None,
    ) -> None:  # fmt: skip
        self.limits = limits  # of the service file's routes
        self.ledger: LedgerKeeper | None = None
        self.tenants: TenantLimiter | None = None  # from the configuration
        self.metrics = Metrics()
        self.guard = RequestGuard(self._note_violation)
        self.observer: Observer | None = None  # the event log, if the service file configures one
        self._config = config
        self._now = system.monotonic_ns
        self._pools = pools
        self._core = Balancer(config.settings, config.seed)
        self._balancer: api.DecisionModule = self._core
        if limits is not None:
            self._balancer = limits.limiting_module(self._balancer, config.settings, system.time_ns)
        self._loop = asyncio.get_running_loop()
        self._events: deque[api.Event] = deque()
        self._dispatching = False
        self._open_requests: dict[int, InFlightRequest] = {}
        self.buffers = pools.buffers
        self.request_ids = RequestIds(system.monotonic_ns)
        self.shared_ids = SharedIds(self.request_ids)
        self._claim_tasks: set[asyncio.Task[None]] = set()
        self._last_number = 0
        self._load_reports = LoadReports(config.report_fields)
        self.servers = ServerDirectory(config, pools, self.guard, server_overrides, self._dispatch, system)

    # Start and stop.

    def start(self) -> None:
        self._pools.start()
        self._execute_all(self._balancer.start(self._now()))
        self.servers.start()

    def reload(self, config: Config) -> None:
        """Moves the watch to the discovery address of a new configuration. Server list and requests stay."""
        comparable_config = replace(
            config, discovery=self._config.discovery, initial_list=self._config.initial_list,
            seed=self._config.seed, peer_settings=self._config.peer_settings,
        )  # fmt: skip
        if comparable_config != self._config:
            log.warning("of the new configuration only discovery is used before a restart")
        log.info("discovery is at %s:%d", *config.discovery)
        self._config = replace(self._config, discovery=config.discovery)
        self.servers.move(config.discovery)

    def replace_limits(self, limits: RequestTable) -> None:
        """Replaces the routes for new requests. Only possible if the node was started with routes."""
        assert isinstance(self._balancer, limits.module_type)
        self._balancer.replace_rules(self._now(), limits.rules)
        self.limits = limits
        log.info("limits of %s", limits.source)

    def serves(self, path: bytes) -> bool:
        """Whether a path is served in addition to the platform's."""
        return self.limits is not None and self.limits.serves(path)

    def can_serve(self) -> bool:
        return bool(self.servers.ready)

    def counters(self) -> dict[str, int]:
        return {
            "requests": self._last_number, "requests_open": len(self._open_requests),
            "servers_ready": len(self.servers.ready), "server_connections": self._pools.sockets,
        } | self.metrics.flat() | self.buffers.counters()  # fmt: skip

    def note_loop_stall(self, stall_ns: int) -> None:
        """The event loop did not run for `stall_ns`."""
        self.metrics.loop_held_ns = max(self.metrics.loop_held_ns, stall_ns)
        if self.observer is not None:
            self.observer.loop_held(stall_ns / MS)

    def observe(self, observer: Observer) -> None:
        """From now on `observer` is notified of the steps of requests and of server lists."""
        self.observer = self.servers.discovery.observer = observer

    def fail_all(self) -> None:
        """Answers all open requests, as the process is about to end."""
        for request in list(self._open_requests.values()):
            if not self._pass_on_answer(request, AttemptEnd.PROCESS_ENDING):
                self._answer_and_close(request, 504, AnswerReason.PROCESS_ENDING)

    # Balancer events and actions.

    def _dispatch(self, event: api.Event) -> None:
        self._events.append(event)
        if self._dispatching:
            return  # handled after the actions of the current event
        self._dispatching = True
        try:
            while self._events:
                event = self._events.popleft()
                self._execute_all(self._decide(event))
        finally:
            self._dispatching = False

    def _decide(self, event: api.Event) -> list[api.Action]:
        try:
            return self._balancer.handle(self._now(), event)
        except Exception:
            log.exception("the module failed on %r", event)
        if isinstance(event, api.Timer):
            # A periodic timer of the module sets its own successor, so one failure would stop it for good.
            self._set_timer(self._now() + TIMER_RETRY_DELAY_NS, event.token)
        elif isinstance(event, api.Request | api.Outcome):
            number = event.id if isinstance(event, api.Request) else event.request
            request = self._open_requests.get(number)
            if request is not None:
                self._answer_and_close(request, 502, AnswerReason.MODULE_ERROR)
        return []

    def _execute_all(self, actions: list[api.Action]) -> None:
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("action failed: %r", action)

    def _execute(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self._send(action)
        elif isinstance(action, api.Refuse):
            headers = _retry_after(action.retry_after)
            self._answer(action.request, 503, headers, AnswerReason.REFUSED)
        elif isinstance(action, api.Fail):
            request = self._open_requests.get(action.request)
            late = request is not None and self._now() >= request.parsed.deadline - ANSWER_TRANSIT_NS
            self._answer(action.request, 504 if late else 502, [], AnswerReason.FAILED)
        elif isinstance(action, api.SetTimer):
            self._set_timer(action.at, action.token)
        elif isinstance(action, api.CloseIdleConnections):
            pool = self._pools.get(action.server)
            if pool is not None:
                pool.drop_idle()
        else:
            self.servers.watch()

    def _set_timer(self, at: int, token: int) -> None:
        # Rounded up to the loop's whole milliseconds: a timer that fires early finds nothing due.
        delay = max(0, at - self._now()) // MS + 1
        self._loop.call_later(delay / 1000, self._on_timer, at, token)

    def _on_timer(self, at: int, token: int) -> None:
        if self._now() < at:
            self._set_timer(at, token)
        else:
            self._dispatch(api.Timer(token))

    # Requests.

    def submit(self, parsed: ParsedRequest) -> int:
        """Starts a client's request. Returns its number, or 0 if it is already answered."""
        self._last_number += 1
        request = InFlightRequest(self._last_number, parsed)
        if self.ledger is not None and parsed.query is not None:
            aim = self._config.settings.classes[parsed.class_index].aim
            parsed.client = request.ledger_record = self.ledger.track_request(
                parsed.client, parsed.query.tenant, aim, parsed.resubmitted
            )
        now = self._now()
        time_left = parsed.deadline - ANSWER_TRANSIT_NS - now
        if self.observer is not None:
            waited = parsed.patience - (parsed.deadline - now)
            self.observer.request_taken(
                request.number, parsed.request_id.decode(), time_left / MS, waited / MS
            )
        if self.limits is not None and parsed.query is not None:
            request.rules = self.limits.find(parsed.query)
        if not self._reject(request, now, time_left):
            self._accept(request)
        return 0 if request.answered or request.number not in self._open_requests else request.number

    def _reject(self, request: InFlightRequest, now: int, time_left: int) -> bool:
        """Answers a request that must not be started; returns whether it did."""
        parsed, rules, ids = request.parsed, request.rules, self.request_ids
        if time_left <= 0:
            self._reply(request, 504, [], b"", AnswerReason.NO_TIME_LEFT)
        elif parsed.request_id in ids.open or (
            ids.ended and not self._is_repeatable(request) and ids.may_have_run(parsed.request_id)
        ):
            # A server would treat another client's request with the same id as a repeat of the first.
            self._reply(request, 409, [], b"", AnswerReason.DUPLICATE_ID)
        elif len(self._open_requests) >= self._config.open_cap:
            self._reply(request, 503, [], b"", AnswerReason.TOO_MANY_OPEN)
        elif rules is not None and 0 < rules.body < (body_length(parsed.body) or 0):
            self._reply(request, 413, [], b"", AnswerReason.BODY_TOO_LONG)
        elif self.tenants is not None and parsed.query is not None and (
            (wait := self.tenants.admit(now, request, parsed.query.tenant)) is not None
        ):  # fmt: skip
            self._refuse_for_tenant_limit(request, wait)
        else:
            return False
        return True

    def _is_repeatable(self, request: InFlightRequest) -> bool:
        return self._config.settings.classes[request.parsed.class_index].repeat is Repeat.SAFE

    def _accept(self, request: InFlightRequest) -> None:
        """Starts a request, once no other process of this node has one with its id."""
        self._open_requests[request.number] = request
        self.request_ids.open.add(request.parsed.request_id)
        self._guard_request(request)
        if not isinstance(request.parsed.body, Stream):
            self._start_watchdog(request)
        predecessor = self.shared_ids.predecessor
        if predecessor is None or self._is_repeatable(request):
            self._start(request)
        else:
            task = self._loop.create_task(self._start_after_claim(request, predecessor))
            self._claim_tasks.add(task)
            task.add_done_callback(self._claim_tasks.discard)

    async def _start_after_claim(self, request: InFlightRequest, claims: IdClaims) -> None:
        claim = await claims.claim(request.parsed.request_id)
        if request.answered:
            return
        if claim is Claim.GRANTED:
            self._start(request)
        elif claim is Claim.TAKEN:
            self._answer_and_close(request, 409, AnswerReason.DUPLICATE_ID)
        else:
            self._answer_and_close(request, 503, AnswerReason.ID_UNCERTAIN)

    def _start(self, request: InFlightRequest) -> None:
        """Passes an accepted request to the decision module."""
        parsed, rules = request.parsed, request.rules
        if not self._is_repeatable(request):
            self.shared_ids.note_started(parsed.request_id)
        time_left = parsed.deadline - ANSWER_TRANSIT_NS - self._now()
        self._dispatch(
            api.Request(
                request.number,
                time_left,
                parsed.class_index,
                parsed.tenant,
                parsed.key,
                parsed.resubmitted,
                None if rules is None else rules.module_limits,
            )
        )

    def _guard_request(self, request: InFlightRequest) -> None:
        parsed = request.parsed
        kind = self._config.settings.classes[parsed.class_index]
        deadline = 0 if isinstance(parsed.body, Stream) else parsed.deadline
        self.guard.start(
            request.number, GuardedRequest(kind, parsed.key != 0, deadline, parsed.disconnected_for)
        )

    def _note_violation(self, invariant: Invariant, number: int, detail: str) -> None:
        self.metrics.violations[invariant.value] += 1
        log.error("invariant violated: %s: request %d: %s", invariant.value, number, detail)
        if self.observer is not None:
            self.observer.invariant_violated(invariant.value, number, detail)

    def _start_watchdog(self, request: InFlightRequest) -> None:
        self._watch_until(request, request.parsed.deadline)

    def _watch_until(self, request: InFlightRequest, answer_by: int) -> None:
        if request.watchdog is not None:
            request.watchdog.cancel()
        if request.provisional_deadline:
            answer_by = min(answer_by, request.provisional_deadline + FINAL_ANSWER_GRACE_NS)
        time_left = answer_by - self._now()
        request.watchdog = self._loop.call_later(max(0.0, time_left / 1e9), self._on_overdue, request)

    def set_provisional_deadline(self, number: int, last_byte_at: int) -> None:
        """The server reads a streamed body so slowly that the client may have written its last byte long
        before it is read, at `last_byte_at` (monotonic ns) at the earliest."""
        request = self._open_requests.get(number)
        if request is None or request.answered:
            return
        deadline = last_byte_at + request.parsed.patience
        if deadline != request.provisional_deadline:
            request.provisional_deadline = deadline
            self._watch_until(request, deadline + FINAL_ANSWER_GRACE_NS)

    def withdraw_provisional_deadline(self, number: int) -> None:
        """The rest of a streamed body is read as the client writes it."""
        request = self._open_requests.get(number)
        if request is None or request.answered or not request.provisional_deadline:
            return
        request.provisional_deadline = 0
        if request.watchdog is not None:
            request.watchdog.cancel()

    def on_body_complete(self, number: int, arrived: int) -> None:
        """The last byte of a streamed body arrived at `arrived` (monotonic ns), where the patience starts."""
        request = self._open_requests.get(number)
        if request is not None and not request.answered:
            request.parsed.deadline = arrived + request.parsed.patience
            self.guard.set_deadline(number, request.parsed.deadline)
            self._start_watchdog(request)

    def on_client_closed(self, number: int) -> None:
        request = self._open_requests.get(number)
        if request is None or request.answered:
            return
        if request.ledger_record is not None:
            request.ledger_record.record_client_left()
        if self.observer is not None:
            self.observer.request_abandoned(number)
        self.guard.mark_abandoned(number)
        self._close_request(request)

    def withdraw(self, number: int) -> None:
        """The client has left or half-closed: attempts in flight continue, but no new ones start."""
        request = self._open_requests.get(number)
        if (
            request is None
            or request.answered
            or any(attempt.has_been_sent() for attempt in request.attempts_in_flight.values())
        ):
            return
        # A client that only half-closed gets its answer at once; the status tells if it may retry.
        self._answer_and_close(request, 502 if request.may_have_run else 503, AnswerReason.CLIENT_LEFT)

    def _on_overdue(self, request: InFlightRequest, is_after_grace: bool = False) -> None:
        """Answers a request that is still open at its deadline, whatever the reason."""
        if not is_after_grace and any(
            attempt.has_unread_answer() for attempt in request.attempts_in_flight.values()
        ):
            # Timers run before sockets are read, so an answer may have arrived in time.
            request.watchdog = self._loop.call_later(LATE_READ_GRACE_S, self._on_overdue, request, True)
            return
        if not self._pass_on_answer(request, AttemptEnd.DEADLINE):
            self._answer_and_close(request, 504, AnswerReason.OVERDUE)

    def _pass_on_answer(self, request: InFlightRequest, end: AttemptEnd) -> bool:
        """Passes on the answer of an attempt that `end` must not end; returns whether there is one."""
        return any(attempt.pass_on_answer(end) for attempt in list(request.attempts_in_flight.values()))

    def _answer_and_close(self, request: InFlightRequest, status: int, reason: AnswerReason) -> None:
        """The node itself answers the request, unless it is answered, and cancels its attempts."""
        if not request.answered:
            self._reply(request, status, [], b"", reason)
            self._close_request(request)

    def _close_request(self, request: InFlightRequest) -> None:
        """Ends a request without an action of the module, which is notified; cancels its attempts."""
        self._finish(request)
        self._dispatch(api.ClientGone(request.number))
        for attempt in list(request.attempts_in_flight.values()):
            attempt.cancel()

    def _answer(
        self, number: int, status: int, headers: list[tuple[bytes, bytes]], reason: AnswerReason,
        body: bytes | Stream = b"",
    ) -> None:  # fmt: skip
        request = self._open_requests.get(number)
        if request is not None and not request.answered:
            request.served = reason is AnswerReason.SERVED
            self._reply(request, status, headers, body, reason)
            self._finish(request)

    def _reply(
        self, request: InFlightRequest, status: int, headers: list[tuple[bytes, bytes]], body: bytes | Stream,
        reason: AnswerReason,
    ) -> None:  # fmt: skip
        """The only place that sends a request's final answer."""
        self.guard.record_answer(request.number, status)
        self.metrics.answers[reason] += 1
        if self.observer is not None:
            self.observer.request_answered(request.number, status, reason.value)
        request.parsed.client.answer(status, headers, body)
        if isinstance(request.parsed.body, Stream):
            request.parsed.body.discard()

    def _refuse_for_tenant_limit(self, request: InFlightRequest, wait: int) -> None:
        """Refuses a request above its tenant's limit, like one above a route's limit. `wait`: ns until it may
        be admitted; 0: unknown."""
        settings = self._config.settings
        retry_after = min(wait or settings.classes[request.parsed.class_index].aim, settings.max_retry_after)
        headers = _retry_after(retry_after if settings.retry_after else 0)
        self._reply(request, 503, headers, b"", AnswerReason.TENANT_LIMIT)

    def _finish(self, request: InFlightRequest) -> None:
        request.answered = True
        if isinstance(request.parsed.body, Stream):
            request.parsed.body.discard()
        if request.tenant is not None:
            request.tenant.release()
        if request.watchdog is not None:
            request.watchdog.cancel()
        self._forget_if_done(request)

    def _forget_if_done(self, request: InFlightRequest) -> None:
        if (
            request.answered
            and not request.attempts_in_flight
            and self._open_requests.pop(request.number, None) is not None
        ):
            self.request_ids.open.discard(request.parsed.request_id)
            if (
                not request.served
                and not self._is_repeatable(request)
                and self.guard.may_have_run(request.number)
            ):
                self.request_ids.remember(request.parsed.request_id)
            self.guard.forget(request.number)

    # Attempts.

    def _send(self, action: api.Send) -> None:
        request = self._open_requests.get(action.request)
        if request is None:
            self._dispatch(api.Outcome(action.request, True, Result.NOT_SENT, 0, action.server, 0, ()))
            return
        has_left = request.parsed.has_disconnected()
        if has_left:
            self.withdraw(request.number)
        index = request.attempts_sent
        request.attempts_sent += 1
        if index:
            self.metrics.retries[request.last_result] += 1
        pool = self._pools.get(action.server)
        body = request.parsed.body
        body_consumed = isinstance(body, Stream) and body.consumed
        is_over = has_left or request.answered or body_consumed
        if pool is None or is_over or index >= self._config.settings.max_attempts:
            why = self.guard.forbids(request.number, index, action.server, self._now())
            self._note_not_begun(request.number, index, NotBegun.CLIENT_LEFT if has_left else why)
            self._dispatch(
                api.Outcome(request.number, request.answered, Result.NOT_SENT, 0, action.server, index, ())
            )
            return
        if request.attempts_in_flight and request.ledger_record is not None:
            request.ledger_record.record_copy()
        now = self._now()
        # For a stream, as if its last byte had arrived now; the attempt is timed from the write of that byte.
        deadline = now + request.parsed.patience if isinstance(body, Stream) else request.parsed.deadline
        latest_expiry = deadline - ANSWER_TRANSIT_NS
        expires = min(latest_expiry, now + action.time_out) if action.time_out else latest_expiry
        on_end = partial(self._on_attempt_end, request, index, action.server, now)
        parsed = request.parsed
        permit = AttemptPermit(
            self.guard, request.number, index, action.server,
            now + action.begin_within if action.begin_within else 0,
            parsed.has_disconnected, self._note_not_begun, self._note_written,
        )  # fmt: skip
        attempt = Attempt(
            pool, parsed.head, parsed.body, expires, on_end, permit, deadline, action.first_byte
        )
        request.attempts_in_flight[index] = attempt
        attempt.start()

    def _note_not_begun(self, number: int, index: int, why: NotBegun | None) -> None:
        """`why`: None if no attempts are left or part of the streamed body is already consumed."""
        reason = "no_attempt_left" if why is None else why.value
        self.metrics.attempts_not_begun[reason] += 1
        if self.observer is not None:
            self.observer.attempt_not_begun(number, index, reason)

    def _note_written(
        self, number: int, index: int, server: api.ServerId, announced_ns: int, delay_ns: int
    ) -> None:
        """The first bytes of an attempt have been written. `announced_ns`: the deadline in them; `delay_ns`:
        from the last check by the guard to the write."""
        if self.observer is not None:
            self.observer.attempt_started(number, index, server.hex(), announced_ns / MS, delay_ns / MS)

    def _on_attempt_end(
        self,
        request: InFlightRequest,
        index: int,
        server: api.ServerId,
        started_at: int,
        result: Result,
        answer: Answer | None,
    ) -> None:
        attempt = request.attempts_in_flight.pop(index)
        elapsed = self._now() - (attempt.written_at or started_at)
        if answer is not None and answer.stream_start is not None and attempt.answer_began_at:
            elapsed = max(0, attempt.answer_began_at - (attempt.written_at or started_at))
        request.may_have_run |= result not in NEVER_RAN
        request.last_result = result
        self.guard.record_attempt_end(request.number, index, result)
        if self.observer is not None:
            phase, received_bytes = attempt.answer_progress()
            self.observer.attempt_ended(
                request.number, index, result.value, elapsed / MS, phase.value, received_bytes
            )
        if answer is not None and not request.answered:
            if result is Result.OK:
                if answer.stream_start is not None:
                    self._note_stream_begin(request.number, answer.stream_start)
                self._answer(request.number, 200, answer.headers, AnswerReason.SERVED, answer.body)
            elif result is Result.REJECTED:
                # The request is invalid: another server would answer the same, and this one is not at fault.
                self._answer(request.number, answer.status, [], AnswerReason.REJECTED_BY_SERVER)
        elif answer is not None and isinstance(answer.body, Stream):
            answer.body.abandon()
        if not request.answered and isinstance(request.parsed.body, Stream) and request.parsed.body.consumed:
            self._fail_streamed_request(request, result)
        self._forget_if_done(request)
        report = () if answer is None else self._load_reports.read(answer.load)
        self._dispatch(api.Outcome(request.number, request.answered, result, elapsed, server, index, report))

    def _note_stream_begin(self, number: int, reason: StreamStart) -> None:
        self.metrics.streams_begun[reason] += 1
        if self.observer is not None:
            self.observer.stream_begun(number, reason.value)

    def note_stream_end(self, number: int, reason: StreamEnd) -> None:
        """An answer that was passed on as it arrived has ended at its client. `number`: of its request."""
        self.metrics.streams_ended[reason] += 1
        if self.observer is not None:
            self.observer.stream_ended(number, reason.value)

    def _fail_streamed_request(self, request: InFlightRequest, result: Result) -> None:
        """Answers a request whose streamed body is partly consumed, so that no other attempt is possible."""
        settings = self._config.settings
        if result in NEVER_RAN:
            aim = settings.classes[request.parsed.class_index].aim
            wait = min(aim, settings.max_retry_after) if settings.retry_after else 0
            self._answer(request.number, 503, _retry_after(wait), AnswerReason.STREAM_BROKEN)
        else:
            status = 504 if result is Result.TIMEOUT else 502
            self._answer(request.number, status, [], AnswerReason.STREAM_BROKEN)

    # State of the module.

    def exported_memory(self) -> dict[str, Any]:
        """The learned state of the module, for a process that takes over on this machine."""
        from lichenspring.memory import export_state

        return export_state(self._core)

    def restore_memory(self, learned: dict[str, Any]) -> None:
        """To be called once the server list is known. Unusable state is ignored."""
        from lichenspring.memory import restore_state

        try:
            restore_state(self._core, self._now(), learned)
        except (KeyError, TypeError, ValueError, AttributeError) as problem:
            log.warning("what the old process had learned is not used: %r", problem)
