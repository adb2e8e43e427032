"""What goes into the decision module and what comes out of it.

Times and durations are whole nanoseconds on one clock that only moves forward. A server is named by
an opaque hashable id that sorts; a request by a number that is never used twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

ServerId = bytes


class Repeat(Enum):
    """May a request of a class run more than once?"""

    SAFE = "safe"  # any number of times
    KEYED = "keyed"  # a group of servers drops repeats for a while
    UNSAFE = "unsafe"  # never


class Group(Enum):
    """The servers that drop a repeat of a keyed request together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListMode(Enum):
    """How the list of servers reaches a node."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


class ListKind(Enum):
    CACHED = "cached"  # whole, as last held before a restart; may be stale
    FULL = "full"  # whole; a server it leaves out is gone
    DELTA = "delta"  # changed entries only
    FAILED = "failed"  # a fetch or a watch failed, or the watch broke; no entries


class ServerState(Enum):
    READY = "ready"
    DRAINING = "draining"  # finishing its work: nothing new
    GONE = "gone"


class Result(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    REJECTED = "rejected"  # by the server, for the request's own fault


NEVER_RAN = frozenset((Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT))
"""Results that prove that the attempt had no effect."""


def _require(name: str, fits: bool, value: object) -> None:
    """Settings that no balancer could work by are refused by name."""
    if not fits:
        raise ValueError(f"{name} is out of range: {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    aim: int  # an answer within this time earns the full worth
    worth: float
    late_worth: float  # share of the worth for an answer after the aim
    repeat: Repeat
    group: Group = Group.ALL
    window: int = 0  # keyed: how long repeats are dropped
    in_order: bool = False  # requests with the same key run one at a time, as this node took them

    def __post_init__(self) -> None:
        _require("aim", self.aim >= 1, self.aim)
        _require("worth", 0.0 <= self.worth < float("inf"), self.worth)
        _require("late_worth", 0.0 <= self.late_worth <= 1.0, self.late_worth)
        _require("window", self.window >= 0, self.window)


@dataclass(slots=True, frozen=True)
class Tenant:
    share: float  # of the service

    def __post_init__(self) -> None:
        _require("share", 0.0 <= self.share <= 1.0, self.share)


@dataclass(slots=True, frozen=True)
class Settings:
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    nodes: int  # that share the servers
    list_mode: ListMode
    ask_within: int  # on-request lists: ask at least this often while no watch stands
    cold_share: float  # a server that starts does at least this part of its work
    cold_time: int  # and all of it after this time
    max_attempts: int  # of one request
    max_retry_after: int
    retry_after: bool  # clients are told how long to stay away
    worth_by_work: bool  # worth counts for each unit of work, not for each request
    report_fields: tuple[str, ...]  # what a server's load report holds
    idle_close: int = 0  # an idle connection is closed after this time
    key_rest: int = 0  # in order: a key waits so long after a time-out, a reset or a cancel
    number: int = 0  # of this node among those that share the servers, from 0
    fall_multiple: float = 0.0  # a cold server falls when sent so many times what it can do; 0: not told

    def __post_init__(self) -> None:
        _require("classes", len(self.classes) >= 1, self.classes)
        _require("fall_multiple", 0.0 <= self.fall_multiple < float("inf"), self.fall_multiple)
        _require("cold_share", 0.0 <= self.cold_share <= 1.0, self.cold_share)
        for name, least in (
            ("nodes", 1), ("max_attempts", 1), ("ask_within", 0), ("cold_time", 0),
            ("max_retry_after", 0), ("idle_close", 0), ("key_rest", 0), ("number", 0),
        ):  # fmt: skip
            value = getattr(self, name)
            _require(name, value >= least, value)


class Server(NamedTuple):
    """One entry of the list of servers."""

    id: ServerId
    zone: int
    cell: int  # servers that know together which keys they have seen
    state: ServerState
    weight: float
    started: int  # clock time of its last start; 0: long ago
    kind: int = 0  # of machine: servers that are alike


class ServerList(NamedTuple):
    kind: ListKind
    servers: tuple[Server, ...]


class Limits(NamedTuple):
    """What narrows the decisions on one request, beyond the settings. It never widens them."""

    max_attempts: int  # at most, copies included
    time_out: int  # of one attempt; 0: as long as the answer is of use
    first_byte: int  # of one attempt, until its answer begins; 0: none
    retry_on: frozenset[Result]  # results after which another attempt may be made
    backoff: int  # before the first further attempt; it doubles; 0: at once
    max_backoff: int
    jitter: float  # part of a back-off that is left to chance, 0 to 1
    cap_fraction: float  # part of its class's cap that it may fill, 0 to 1
    route: int = 0  # for whoever set them


class Request(NamedTuple):
    id: int
    time_left: int
    class_index: int
    tenant: int
    key: int  # 0: none
    resubmitted: bool  # the client says that it tried before
    limits: Limits | None = None


class Outcome(NamedTuple):
    request: int
    closed: bool  # the client has its answer
    result: Result
    elapsed: int
    server: ServerId
    attempt: int
    report: tuple[float, ...]
    may_retry: bool = True  # no budget forbids another attempt


class Hedge(NamedTuple):
    """A second attempt is wanted while the first is out; made if the rules and the servers allow one."""

    request: int


class ClientGone(NamedTuple):
    request: int


class Timer(NamedTuple):
    token: int


Event = ServerList | Request | Outcome | Hedge | ClientGone | Timer


class Send(NamedTuple):
    request: int
    server: ServerId
    time_out: int  # 0: until the client gives up
    first_byte: int = 0  # an answer that has not begun by then is not waited for; 0: as for the whole
    begin_within: int = 0  # not written by then, it must not be: repeats are dropped for so long; 0: no limit


class Refuse(NamedTuple):
    """Final answer: not done, and trying again is harmless."""

    request: int
    retry_after: int  # 0: no advice


class Fail(NamedTuple):
    """Final answer: no promise about what was done."""

    request: int


class CloseIdleConnections(NamedTuple):
    """Close this node's idle connections to a server."""

    server: ServerId


class SetTimer(NamedTuple):
    at: int
    token: int


class Watch(NamedTuple):
    """Ask for the list and all later changes to it."""


Action = Send | Refuse | Fail | CloseIdleConnections | SetTimer | Watch


class DecisionModule(Protocol):
    """What takes the events and gives the actions: the balancer, or what narrows it."""

    def start(self, now: int) -> list[Action]: ...

    def handle(self, now: int, event: Event) -> list[Action]: ...
