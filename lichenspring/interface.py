"""The inputs and outputs of the decision module.

Times and durations are integer nanoseconds on one monotonic clock. A server is named by an opaque, hashable
and sortable id; a request by a number that is never reused.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

ServerId = bytes


class Repeat(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe"  # any number of times
    KEYED = "keyed"  # a group of servers drops repeats for some time
    UNSAFE = "unsafe"  # never


class Group(Enum):
    """The servers that together drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ListMode(Enum):
    """How the list of servers reaches a node."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


class ListKind(Enum):
    """What a message about the list of servers contains."""

    CACHED = "cached"  # complete, as last held before a restart; may be stale
    FULL = "full"  # complete; a server that it leaves out is gone
    DELTA = "delta"  # changed entries only
    FAILED = "failed"  # a fetch or a watch failed, or the watch ended; no entries


class ServerState(Enum):
    """Whether a server takes requests."""

    READY = "ready"
    DRAINING = "draining"  # finishes its work and takes no new requests
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
    REJECTED = "rejected"  # by the server, because of the request itself


NEVER_RAN = frozenset((Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT))
"""Results that prove that the attempt had no effect."""


def _require(name: str, valid: bool, value: object) -> None:
    """Rejects settings that no balancer could work with, naming the setting."""
    if not valid:
        raise ValueError(f"{name} is out of range: {value!r}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """The properties that requests of one class share."""

    aim: int  # an answer within this time earns the full worth
    worth: float
    late_worth: float  # share of the worth for an answer after the aim
    repeat: Repeat
    group: Group = Group.ALL
    window: int = 0  # keyed: how long repeats are dropped
    # Requests with the same key run one at a time, in the order this node received them.
    in_order: bool = False

    def __post_init__(self) -> None:
        _require("aim", self.aim >= 1, self.aim)
        _require("worth", 0.0 <= self.worth < float("inf"), self.worth)
        _require("late_worth", 0.0 <= self.late_worth <= 1.0, self.late_worth)
        _require("window", self.window >= 0, self.window)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer of the service."""

    share: float  # of the service

    def __post_init__(self) -> None:
        _require("share", 0.0 <= self.share <= 1.0, self.share)


@dataclass(slots=True, frozen=True)
class Settings:
    """The decision module's settings."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    nodes: int  # that share the servers
    list_mode: ListMode
    ask_within: int  # on-request lists: longest interval between calls while no watch is open
    cold_share: float  # a server that starts does at least this part of its full work
    cold_time: int  # and all of it after this time
    max_attempts: int  # of one request
    max_retry_after: int
    retry_after: bool  # clients are told when to retry
    worth_by_work: bool  # worth counts per unit of work, not per request
    report_fields: tuple[str, ...]  # fields of a server's load report
    idle_close: int = 0  # an idle connection is closed after this time
    key_rest: int = 0  # in order: delay of a key after a time-out, a reset or a cancelled attempt
    number: int = 0  # of this node among those that share the servers, from 0
    fall_multiple: float = 0.0  # a cold server fails if sent this multiple of what it can do; 0: unknown

    def __post_init__(self) -> None:
        _require("classes", len(self.classes) >= 1, self.classes)
        _require("fall_multiple", 0.0 <= self.fall_multiple < float("inf"), self.fall_multiple)
        _require("cold_share", 0.0 <= self.cold_share <= 1.0, self.cold_share)
        for name, minimum in (
            ("nodes", 1), ("max_attempts", 1), ("ask_within", 0), ("cold_time", 0),
            ("max_retry_after", 0), ("idle_close", 0), ("key_rest", 0), ("number", 0),
        ):  # fmt: skip
            value = getattr(self, name)
            _require(name, value >= minimum, value)


class Server(NamedTuple):
    """One entry of the list of servers."""

    id: ServerId
    zone: int
    cell: int  # servers that share their record of keys seen
    state: ServerState
    weight: float
    started: int  # clock time of its last start; 0: long ago
    kind: int = 0  # kind of machine: servers with the same performance


class ServerList(NamedTuple):
    """The list of servers or a change of it has been received, or the attempt to get it has failed."""

    kind: ListKind
    servers: tuple[Server, ...]


class Limits(NamedTuple):
    """Restricts the decisions on one request beyond the settings; never extends them."""

    max_attempts: int  # including hedges
    time_out: int  # of one attempt; 0: as long as the answer is useful
    first_byte: int  # of one attempt, until its answer begins; 0: none
    retry_on: frozenset[Result]  # results after which another attempt is allowed
    backoff: int  # before the first retry, doubling with each; 0: at once
    max_backoff: int
    jitter: float  # random part of a back-off, 0 to 1
    cap_fraction: float  # usable part of its class's cap, 0 to 1
    route: int = 0  # for the caller that set the limits


class Request(NamedTuple):
    """A client sends a request."""

    id: int
    time_left: int
    class_index: int
    tenant: int
    key: int  # 0: none
    resubmitted: bool  # the client marks it as a retry
    limits: Limits | None = None


class Outcome(NamedTuple):
    """An attempt has ended."""

    request: int
    closed: bool  # the client has its answer
    result: Result
    elapsed: int
    server: ServerId
    attempt: int
    report: tuple[float, ...]
    may_retry: bool = True  # no budget forbids another attempt


class Hedge(NamedTuple):
    """Asks for a second attempt while the first is in flight; sent if the rules and the servers allow it."""

    request: int


class ClientGone(NamedTuple):
    """The client of a request has left, so an answer is no longer needed."""

    request: int


class Timer(NamedTuple):
    """A timer that the module has set is due."""

    token: int


Event = ServerList | Request | Outcome | Hedge | ClientGone | Timer


class Send(NamedTuple):
    """Send an attempt of a request to a server."""

    request: int
    server: ServerId
    time_out: int  # 0: until the client gives up
    first_byte: int = 0  # limit until the answer begins; 0: as for the whole
    # The attempt must be written within this time, while repeats are dropped; 0: no limit.
    begin_within: int = 0


class Refuse(NamedTuple):
    """Final answer: not done, and trying again is harmless."""

    request: int
    retry_after: int  # 0: not sent to the client


class Fail(NamedTuple):
    """Final answer: no statement about what was done."""

    request: int


class CloseIdleConnections(NamedTuple):
    """Close this node's idle connections to a server."""

    server: ServerId


class SetTimer(NamedTuple):
    """Send a `Timer` event with this token at a time."""

    at: int
    token: int


class Watch(NamedTuple):
    """Request the list and all later changes to it."""


Action = Send | Refuse | Fail | CloseIdleConnections | SetTimer | Watch


class DecisionModule(Protocol):
    """Takes events and returns actions: the balancer, or a module that restricts it."""

    def start(self, now: int) -> list[Action]: ...

    def handle(self, now: int, event: Event) -> list[Action]: ...
