"""A client's request as the node holds it: what was asked, and what is out for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from driftstair.net.body_stream import Stream
from driftstair.net.server_attempt import Attempt
from lichenspring.interface import Result

if TYPE_CHECKING:
    from driftstair.ledger.keeper import Counted
    from driftstair.limits.routes import RouteQuery
    from driftstair.node_configuration.tenant_limits import TenantUse


class Client(Protocol):
    """Who asked: gets one answer."""

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes | Stream) -> None:
        """A body that is a stream is taken as it comes, or abandoned."""


@dataclass(slots=True, eq=False)
class Call:
    """A request as the front has read it."""

    client: Client
    identity: bytes  # new with every request, as clients give it
    head: bytes  # request line and headers for a server, but for X-Deadline and the blank line
    body: bytes | Stream  # one that is not whole yet
    class_index: int
    tenant: int
    key: int
    resubmitted: bool
    deadline: int  # monotonic ns; that of a stream counts from its last byte, and is later
    patience: int  # ns from the last byte to the deadline
    has_disconnected: Callable[[], bool]  # the client has left: nothing may begin for it
    disconnected_for: Callable[[], int]  # ns since it closed or ended its sending; 0: it has not
    asked: RouteQuery | None = None  # in the terms of routes, where there are any


@dataclass(slots=True, eq=False)
class InFlightRequest:
    """A request that is unanswered or has attempts out."""

    number: int
    call: Call
    watchdog: asyncio.TimerHandle | None = None
    answered: bool = False
    sent: int = 0  # attempts so far
    may_have_run: bool = False  # one of those that have ended
    last_result: Result = Result.NOT_SENT  # of the attempt that ended last
    out: dict[int, Attempt] = field(default_factory=dict)
    counted: Counted | None = None  # in the ledger, where one is kept
    tenant: TenantUse | None = None  # whose requests in flight it is one of, where tenants have limits
