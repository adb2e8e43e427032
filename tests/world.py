"""Test helpers: settings, a balancer driven by hand, and the checker of the rules.

Nothing here models servers: tests send events and inspect the actions.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random

from lichenspring import Balancer
from lichenspring import interface as api

SECOND = 1_000_000_000
MS = SECOND // 1000
START = 77 * SECOND

DEADLINE_NS = SECOND

# Rules of the checker; the module gets only the settings it needs to follow them.
DRAIN_GRACE_NS = 500 * MS
FALL_MULTIPLE = 3.0
FALL_WINDOW_NS = 1500 * MS

SAFE = api.RequestClass(500 * MS, 1.0, 0.0, api.Repeat.SAFE)
KEYED = api.RequestClass(400 * MS, 5.0, 0.2, api.Repeat.KEYED, api.Group.CELL, 700 * MS)
UNSAFE = api.RequestClass(300 * MS, 10.0, 0.0, api.Repeat.UNSAFE)

BASE = api.Settings(
    classes=(SAFE, KEYED, UNSAFE), tenants=(), nodes=1, list_mode=api.ListMode.PUSHED,
    ask_within=10 * SECOND, cold_share=0.15, cold_time=20 * SECOND, max_attempts=4,
    max_retry_after=2 * SECOND, retry_after=True, worth_by_work=False, report_fields=(),
    idle_close=15 * SECOND,
)  # fmt: skip


def settings(**changes: object) -> api.Settings:
    return replace(BASE, **changes)  # type: ignore[arg-type]


def server(number: int, state: api.ServerState = api.ServerState.READY, started: int = 0) -> api.Server:
    return api.Server(number.to_bytes(6, "big"), number % 3, number // 3, state, 1.0, started)


def full_list(*servers: api.Server) -> api.ServerList:
    return api.ServerList(api.ListKind.FULL, servers)


class Node:
    """A balancer driven by hand; assigns request ids in order."""

    def __init__(self, node_settings: api.Settings = BASE, servers: int = 6, seed: int = 1) -> None:
        self.now = START
        self.balancer = Balancer(node_settings, seed)
        # Other keys were seen once each: a node that has seen no keys takes any key for hot.
        self.balancer._keyed_arrivals = 2 * servers
        self.balancer._key_counts = {(1 << 60) + other: 1.0 for other in range(2 * servers)}
        self.timers = self._timers(self.balancer.start(self.now))
        self.next_id = 1
        self.sent: dict[int, list[api.Send]] = {}
        self.handle(full_list(*(server(number) for number in range(servers))))

    @staticmethod
    def _timers(actions: Sequence[api.Action]) -> list[api.SetTimer]:
        return [action for action in actions if isinstance(action, api.SetTimer)]

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.balancer.handle(self.now, event)
        self.timers += self._timers(actions)
        for action in actions:
            if isinstance(action, api.Send):
                self.sent.setdefault(action.request, []).append(action)
        return actions

    def wait(self, span: int) -> list[api.Action]:
        """Advances the time and delivers the timers that fall due."""
        end = self.now + span
        actions: list[api.Action] = []
        while due := [timer for timer in self.timers if timer.at <= end]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer.at)
            actions += self.handle(api.Timer(timer.token))
        self.now = end
        return actions

    def request(self, class_index: int = 0, key: int = 0, time_left: int = SECOND) -> list[api.Action]:
        self.next_id += 1
        return self.handle(api.Request(self.next_id - 1, time_left, class_index, 0, key, False))

    def finish(
        self, send: api.Send, result: api.Result, elapsed: int = 10 * MS, report: tuple[float, ...] = ()
    ) -> list[api.Action]:
        """Reports the outcome of a request's newest attempt."""
        attempt = len(self.sent[send.request]) - 1
        closed = result is api.Result.OK
        return self.handle(api.Outcome(send.request, closed, result, elapsed, send.server, attempt, report))

    def serve(self, key: int, elapsed: int = 10 * MS, class_index: int = 0) -> api.ServerId | None:
        """Sends one request, answers it at once, and returns its server."""
        action = self.request(class_index, key)[-1]
        if not isinstance(action, api.Send):
            return None
        self.finish(action, api.Result.OK, elapsed)
        return action.server


LOW_LOAD_REQUESTS = 4  # of the busiest warm server in a window


class RuleViolation(AssertionError):
    pass


class _Attempt:
    def __init__(self, server_entry: api.Server, sent: int, time_out: int) -> None:
        self.server = server_entry
        self.sent = sent
        self.time_out = time_out
        self.result: api.Result | None = None


class _OpenRequest:
    def __init__(self, request: api.Request, kind: api.RequestClass, now: int) -> None:
        self.request = request
        self.kind = kind
        self.expires = now + request.time_left
        self.attempts: list[_Attempt] = []
        self.answered = False
        self.streaming_attempt: int | None = None
        self.held_until = 0


class Game:
    """A random valid sequence of events for one node; checks the four rules on all actions."""

    def __init__(
        self, balancer: Balancer, rules: api.Settings, random: Random, streams: bool = False
    ) -> None:
        self.streams = streams
        self.balancer, self.rules, self.random = balancer, rules, random
        self.now = START
        self.timers: list[api.SetTimer] = []
        self.listed: dict[api.ServerId, api.Server] = {}
        self.stopped_at: dict[api.ServerId, int] = {}  # when the list told the node to stop sending
        self.requests: dict[int, _OpenRequest] = {}
        self.sends: dict[api.ServerId, list[int]] = {}
        # Sends before the node learned of the last start.
        self.sends_before_start: dict[api.ServerId, int] = {}
        self.log: list[tuple[api.Event | None, list[api.Action]]] = []
        self.watch_count = 0
        self._check(None, balancer.start(self.now))

    # Generation of events.

    def play(self, steps: int) -> None:
        self._list(api.ListKind.CACHED)
        moves = [self._arrive] * 6 + [self._finish] * 5 + [self._advance_time] * 3
        moves += [self._change_list, self._disconnect_client, self._begin_stream]
        for _ in range(steps):
            self.random.choice(moves)()
        self._finish_all()

    def _handle(self, event: api.Event) -> None:
        self._check(event, self.balancer.handle(self.now, event))

    def _arrive(self) -> None:
        rnd = self.random
        index = rnd.randrange(len(self.rules.classes))
        kind = self.rules.classes[index]
        left = rnd.choice([DEADLINE_NS, DEADLINE_NS // 2, MS])
        request = api.Request(
            len(self.requests) + 1, left, index, rnd.randrange(3), rnd.choice([0, 1, 1, 2, 3, 99]),
            rnd.random() < 0.2,
        )  # fmt: skip
        self.requests[request.id] = _OpenRequest(request, kind, self.now)
        self._handle(request)
        open_request = self.requests[request.id]
        if (
            not open_request.answered
            and not any(one.result is None for one in open_request.attempts)
            and not self.timers
        ):
            raise RuleViolation(
                f"lost: request {request.id} is neither out nor answered, and no timer is set"
            )

    def _outstanding(self) -> list[tuple[_OpenRequest, int]]:
        return [
            (open_request, index)
            for open_request in self.requests.values()
            for index, one in enumerate(open_request.attempts)
            if one.result is None
        ]

    def _finish(self) -> None:
        if out := self._outstanding():
            open_request, index = self.random.choice(out)
            result = self.random.choice(
                [
                    api.Result.OK,
                    api.Result.OK,
                    api.Result.OK,
                    api.Result.ERROR,
                    api.Result.FULL,
                    api.Result.CONNECT_FAILED,
                    api.Result.RESET,
                    api.Result.NOT_SENT,
                    api.Result.CANCELLED,
                ]
            )
            self._outcome(open_request, index, result)

    def _outcome(self, open_request: _OpenRequest, index: int, result: api.Result) -> None:
        one = open_request.attempts[index]
        one.result = result
        if result in (api.Result.TIMEOUT, api.Result.RESET, api.Result.CANCELLED):
            open_request.held_until = self.now + self.rules.key_rest
        broke = open_request.streaming_attempt == index and result is not api.Result.OK
        if result is api.Result.OK or broke:
            open_request.answered = True
        report = tuple(self.random.random() for _ in self.rules.report_fields)
        self._handle(
            api.Outcome(
                open_request.request.id,
                open_request.answered,
                result,
                self.now - one.sent,
                one.server.id,
                index,
                report,
            )
        )

    def _begin_stream(self) -> None:
        for open_request, index in self._outstanding():
            if self.streams and open_request.streaming_attempt is None and not open_request.answered:
                open_request.streaming_attempt = index  # from here on no time-out and no deadline ends it
                return

    def _disconnect_client(self) -> None:
        if self.requests:
            open_request = self.random.choice(list(self.requests.values()))
            open_request.answered = True  # also if it is closed already, which must be ignored
            self._handle(api.ClientGone(open_request.request.id))

    def _advance_time(self, span: int | None = None) -> None:
        """Advances the time: timers fall due and attempts time out."""
        end = self.now + (self.random.choice([MS, 20 * MS, 300 * MS, 2 * SECOND]) if span is None else span)
        while True:
            due = [(timer.at, 0, timer.token, 0) for timer in self.timers if timer.at <= end]
            for open_request, index in self._outstanding():
                if open_request.streaming_attempt != index:
                    one = open_request.attempts[index]
                    at = min(
                        open_request.expires,
                        one.sent + one.time_out if one.time_out else open_request.expires,
                    )
                    if at <= end:
                        due.append((at, 1, open_request.request.id, index))
            if not due:
                break
            at, kind, name, index = min(due)
            self.now = max(self.now, at)
            if kind == 0:
                self.timers.remove(next(t for t in self.timers if (t.at, t.token) == (at, name)))
                self._handle(api.Timer(name))
            else:
                self._outcome(self.requests[name], index, api.Result.TIMEOUT)
            self._check_overdue()
        self.now = end
        self._check_overdue()

    def _list(self, kind: api.ListKind) -> None:
        rnd = self.random
        servers = []
        for number in range(rnd.choice([0, 1, 2, 9, 9])):
            state = rnd.choice([api.ServerState.READY] * 5 + [api.ServerState.DRAINING])
            started = rnd.choice([0, 0, 0, self.now - SECOND, self.now])
            servers.append(server(number, state, started))
        if kind is api.ListKind.DELTA and servers:
            servers = rnd.sample(servers, 1)
            if rnd.random() < 0.3:
                servers[0] = servers[0]._replace(state=api.ServerState.GONE)
        listed = {entry.id: entry for entry in servers}
        if kind is api.ListKind.DELTA:
            listed = {**self.listed, **listed}
        for name in {*self.listed, *listed}:
            ready = name in listed and listed[name].state is api.ServerState.READY
            if ready:
                self.stopped_at.pop(name, None)
            else:
                self.stopped_at.setdefault(name, self.now)
        for name, entry in listed.items():
            if name not in self.listed or self.listed[name].started != entry.started:
                self.sends_before_start[name] = len(self.sends.get(name, ()))
        self.listed = {**self.listed, **listed}
        self._handle(api.ServerList(kind, tuple(servers)))

    def _change_list(self) -> None:
        if self.rules.list_mode is api.ListMode.ON_REQUEST:
            if not self.watch_count:
                return  # no list without a watch
            if self.random.random() < 0.4:
                self._handle(api.ServerList(api.ListKind.FAILED, ()))
                return
        self._list(self.random.choice([api.ListKind.FULL, api.ListKind.DELTA, api.ListKind.DELTA]))

    def _finish_all(self) -> None:
        """Lets all open requests reach their deadline; started streams end normally."""
        for open_request, index in self._outstanding():
            if open_request.streaming_attempt == index:
                self._outcome(open_request, index, api.Result.OK)
        self._advance_time(DEADLINE_NS + MS)
        for open_request in self.requests.values():
            if not open_request.answered:
                raise RuleViolation(f"lost: request {open_request.request.id} was never answered")

    # Checks.

    def _check(self, event: api.Event | None, actions: list[api.Action]) -> None:
        self.log.append((event, actions))
        for action in actions:
            if isinstance(action, api.SetTimer):
                self.timers.append(action)
            elif isinstance(action, api.Watch):
                self.watch_count += 1
                if self.rules.list_mode is not api.ListMode.ON_REQUEST:
                    raise RuleViolation("malformed: a watch where the list is pushed")
            elif isinstance(action, api.CloseIdleConnections):
                if action.server not in self.listed:
                    raise RuleViolation(f"malformed: {action} names a server never listed")
            else:
                if action.request not in self.requests:
                    raise RuleViolation(f"malformed: {action} names an unknown request")
                if isinstance(action, api.Send):
                    self._check_send(action)
                else:
                    self._check_answer(action)

    def _check_overdue(self) -> None:
        for open_request in self.requests.values():
            if (
                not open_request.answered
                and open_request.streaming_attempt is None
                and self.now > open_request.expires
            ):
                raise RuleViolation(
                    f"lost: request {open_request.request.id} is unanswered past its deadline"
                )

    def _check_send(self, send: api.Send) -> None:
        open_request = self.requests[send.request]
        if open_request.answered:
            raise RuleViolation(f"lost: {send} comes after the final answer")
        if send.server not in self.listed:
            raise RuleViolation(f"malformed: {send} goes to a server never listed")
        target = self.listed[send.server]
        if send.server in self.stopped_at and self.now > self.stopped_at[send.server] + DRAIN_GRACE_NS:
            raise RuleViolation(f"drain: {send} goes to a server listed as draining or gone")
        if len(open_request.attempts) >= self.rules.max_attempts:
            raise RuleViolation(f"duplicate: {send} is one attempt too many")
        if any(one.result is None for one in open_request.attempts):
            raise RuleViolation(f"duplicate: {send} is a second copy, which this module never sends")
        for one in open_request.attempts:
            if one.result not in api.NEVER_RAN and not self._may_repeat(open_request, one, target):
                raise RuleViolation(f"duplicate: {send} though {one.server} may have run it")
        open_request.attempts.append(_Attempt(target, self.now, send.time_out))
        self._check_order(open_request, send)
        self._check_cold(target)

    def _check_order(self, open_request: _OpenRequest, send: api.Send) -> None:
        key = open_request.request.key
        if not open_request.kind.in_order or not key:
            return
        for earlier in self.requests.values():
            if earlier is open_request:
                return
            if earlier.kind.in_order and earlier.request.key == key:
                if not earlier.answered or any(one.result is None for one in earlier.attempts):
                    raise RuleViolation(f"order: {send} while {earlier.request.id} of its key is not over")
                if self.now < earlier.held_until:
                    raise RuleViolation(f"order: {send} while its key rests after {earlier.request.id}")

    def _may_repeat(self, open_request: _OpenRequest, earlier: _Attempt, target: api.Server) -> bool:
        kind = open_request.kind
        if kind.repeat is not api.Repeat.KEYED:
            return kind.repeat is api.Repeat.SAFE
        same = {
            api.Group.ALL: True,
            api.Group.ZONE: earlier.server.zone == target.zone,
            api.Group.CELL: earlier.server.cell == target.cell,
        }[kind.group]
        return open_request.request.key != 0 and same and self.now - earlier.sent < kind.window

    def _check_answer(self, answer: api.Refuse | api.Fail) -> None:
        open_request = self.requests[answer.request]
        if open_request.answered:
            raise RuleViolation(f"lost: {answer} is a second final answer")
        open_request.answered = True
        ran = [one for one in open_request.attempts if one.result not in api.NEVER_RAN]
        kind = open_request.kind
        harmless = kind.repeat is api.Repeat.SAFE or not ran
        harmless |= kind.repeat is api.Repeat.KEYED and kind.group is api.Group.ALL
        if isinstance(answer, api.Refuse):
            if not harmless:
                raise RuleViolation(f"duplicate: {answer} though an attempt may have run")
            if answer.retry_after > (self.rules.max_retry_after if self.rules.retry_after else 0):
                raise RuleViolation(f"malformed: {answer} advises a wait that is not allowed")

    def _check_cold(self, target: api.Server) -> None:
        """Limits requests in any window by those of the busiest warm server in one of the same length."""
        times = self.sends.setdefault(target.id, [])
        times.append(self.now)
        age = self.now - target.started
        if not target.started or age >= self.rules.cold_time:
            return
        warmth = self.rules.cold_share + (1 - self.rules.cold_share) * age / self.rules.cold_time
        span = FALL_WINDOW_NS
        recent = sum(1 for at in times[self.sends_before_start.get(target.id, 0) :] if at > self.now - span)
        most = 0
        for name, sent in self.sends.items():
            entry = self.listed[name]
            if not entry.started or self.now - entry.started >= self.rules.cold_time:
                most = max([most, *(sum(1 for x in sent if at - span < x <= at) for at in sent)])
        # Two requests of saved budget and one earned. If the warm servers are sent few requests, they say
        # little about a server's capacity, and chance adds one more, as in three or four games of 1,200,
        # whatever the caps.
        if recent > FALL_MULTIPLE * warmth * most + (3 if most >= LOW_LOAD_REQUESTS else 4):
            raise RuleViolation(f"cold: {recent} requests within {span} ns to {target}")
