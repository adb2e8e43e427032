"""A node's decision module on a virtual clock with scripted servers: what it sends, and for how long it
refuses every request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from world import MS, SECOND, START

from lichenspring import Balancer
from lichenspring import interface as api


class Reply(NamedTuple):
    """The result of an attempt, `after` ns from its start."""

    after: int
    result: api.Result


Servers = Callable[[int, api.Send], Reply]
"""The servers' reply to an attempt that is sent at a time, in ns from the start."""


@dataclass(slots=True)
class RefusalStreak:
    """Consecutive requests that a node refused, with no attempt at any server in between."""

    since: int  # ns
    count: int = 0
    duration: int = 0  # ns


@dataclass(slots=True)
class SoleNode:
    """One node of a fleet, with its share of the requests, its timers and the outcomes of its attempts."""

    settings: api.Settings
    seed: int
    rate: float  # requests a second at this node
    servers: Servers
    deadline: int  # how long a client waits, ns
    now: int = START
    sent: list[tuple[int, api.ServerId]] = field(default_factory=list)  # time and server
    streaks: list[RefusalStreak] = field(default_factory=list)  # that have ended
    _balancer: Balancer = field(init=False)
    _random: Random = field(init=False)
    _queue: list[tuple[int, int, api.Event | None]] = field(default_factory=list)  # None: the next request
    _sequence: count[int] = field(default_factory=count)
    _attempts: dict[int, int] = field(default_factory=dict)  # number of attempts, by request
    _streak: RefusalStreak | None = None
    _numbers: count[int] = field(default_factory=lambda: count(1))

    def __post_init__(self) -> None:
        self._balancer = Balancer(self.settings, self.seed)
        self._random = Random(self.seed)
        self._act(self._balancer.start(self.now))

    def tell(self, event: api.Event) -> None:
        self._act(self._balancer.handle(self.now, event))

    def run_for(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        self._push(self._next_arrival(), None)
        while self._queue and self._queue[0][0] <= end:
            at, _, event = heappop(self._queue)
            self.now = max(self.now, at)
            if event is None:
                self._push(self._next_arrival(), None)
                key = self._random.randrange(1, 1000)
                event = api.Request(next(self._numbers), self.deadline, 0, 0, key, False)
            self.tell(event)
        self._end_streak(end)

    def longest_refusal_streak(self, requests_min: int) -> float:
        """Duration (s) of the longest streak of at least `requests_min` requests; 0: there is none."""
        return (
            max((streak.duration for streak in self.streaks if streak.count >= requests_min), default=0)
            / SECOND
        )

    def _next_arrival(self) -> int:
        return self.now + int(self._random.expovariate(self.rate) * SECOND)

    def _push(self, at: int, event: api.Event | None) -> None:
        heappush(self._queue, (at, next(self._sequence), event))

    def _act(self, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.SetTimer):
                self._push(action.at, api.Timer(action.token))
            elif isinstance(action, api.Send):
                self._send(action)
            elif isinstance(action, api.Refuse) and action.request not in self._attempts:
                self._streak = self._streak or RefusalStreak(self.now)
                self._streak.count += 1

    def _send(self, send: api.Send) -> None:
        self._end_streak(self.now)
        self.sent.append((self.now, send.server))
        attempt = self._attempts.get(send.request, 0)
        self._attempts[send.request] = attempt + 1
        reply = self.servers(self.now - START, send)
        if reply.after >= send.time_out:
            reply = Reply(send.time_out, api.Result.TIMEOUT)
        closed = reply.result is api.Result.OK
        outcome = api.Outcome(send.request, closed, reply.result, reply.after, send.server, attempt, ())
        self._push(self.now + reply.after, outcome)

    def _end_streak(self, now: int) -> None:
        if self._streak is not None:
            self._streak.duration = now - self._streak.since
            self.streaks.append(self._streak)
            self._streak = None


SERVES = Reply(40 * MS, api.Result.OK)
NEVER = Reply(1 << 62, api.Result.TIMEOUT)
