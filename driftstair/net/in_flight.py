"""A client's request while the node handles it: its content and its attempts in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from driftstair.net.body_stream import Stream
from driftstair.net.server_attempt import Attempt
from lichenspring.interface import Result

if TYPE_CHECKING:
    from driftstair.ledger.keeper import CountedRequest
    from driftstair.limits.compiled_route import RouteRules
    from driftstair.limits.routes import RouteQuery
    from driftstair.node_configuration.tenant_limits import TenantUsage


class Client(Protocol):
    """The recipient of a request's one answer."""

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes | Stream) -> None:
        """A streamed body is forwarded as it arrives, or abandoned."""


@dataclass(slots=True, eq=False)
class ParsedRequest:
    """A request as parsed from the client's connection."""

    client: Client
    request_id: bytes  # chosen by the client, new for each request
    head: bytes  # request line and headers for a server, without X-Deadline and the final blank line
    body: bytes | Stream  # a stream if it is not complete yet
    class_index: int
    tenant: int
    key: int
    resubmitted: bool
    deadline: int  # monotonic ns; for a streamed body it is moved when the last byte arrives
    patience: int  # ns from the last byte to the deadline
    has_disconnected: Callable[[], bool]  # if so, no attempt may start
    disconnected_for: Callable[[], int]  # ns since the client closed or half-closed; 0: it has not
    query: RouteQuery | None = None  # if the node has routes


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is unanswered or has attempts in flight."""

    number: int
    parsed: ParsedRequest
    watchdog: asyncio.TimerHandle | None = None
    provisional_deadline: int = 0  # the earliest one of a streamed body, monotonic ns; 0: not yet known
    answered: bool = False
    served: bool = False  # with a server's answer
    attempts_sent: int = 0
    may_have_run: bool = False  # by the attempts that have ended
    last_result: Result = Result.NOT_SENT  # of the attempt that ended most recently
    attempts_in_flight: dict[int, Attempt] = field(default_factory=dict)
    ledger_record: CountedRequest | None = None  # if a ledger is kept
    rules: RouteRules | None = None  # of its route, if the node has routes
    tenant: TenantUsage | None = None  # counts the tenant's requests in flight, if tenants have limits
