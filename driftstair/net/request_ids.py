"""Which request ids must not be started, since a request with the same id may have run. No I/O.

A client whose connection breaks may send its request again. A request of a class that must not run twice is
started once for each id: not beside an open one, not after one that ended without an answer for its client
and may have run, and not beside another process of this node (in an upgrade), which shares the clients'
address.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Protocol

ENDED_IDS_MAX = 8192
ENDED_ID_AGE_NS_MAX = 60 * 1_000_000_000  # no client waits for so long


class Claim(Enum):
    """What another process of the node says of an id; the values are its answers on the link."""

    GRANTED = "granted"  # it has not started such a request, and will not
    TAKEN = "taken"  # it has
    UNKNOWN = "unknown"  # it does not answer


class IdClaims(Protocol):
    """Another process of the node that may have started requests."""

    def claim(self, request_id: bytes) -> Awaitable[Claim]:
        """Asks whether this process may start a request with this id."""


class SharedIds:
    """What this process and the others of its node ask and tell one another of request ids."""

    def __init__(self, ids: RequestIds) -> None:
        self.ids = ids
        self.predecessor: IdClaims | None = None  # the process before this one, while that may start requests
        self._on_started: Callable[[bytes], None] | None = None  # tells the process after this one

    def set_listener(self, on_started: Callable[[bytes], None] | None) -> None:
        """`on_started` is called with the id of each request that is started and must not run twice."""
        self._on_started = on_started

    def note_started(self, request_id: bytes) -> None:
        """A request that must not run twice is about to be started, here or in the process before this
        one."""
        if self._on_started is not None:
            self._on_started(request_id)

    async def claim(self, request_id: bytes) -> Claim:
        """The process after this one asks whether it may start a request with this id."""
        claim = self.ids.claim(request_id)
        if claim is Claim.GRANTED and self.predecessor is not None:
            return await self.predecessor.claim(request_id)
        return claim


class RequestIds:
    """The ids that this process must not start. Times are monotonic ns."""

    def __init__(self, now: Callable[[], int]) -> None:
        self._now = now
        self.open: set[bytes] = set()  # of the requests that are open here
        # Ended without an answer, or started by another process; with the time, oldest first.
        self.ended: OrderedDict[bytes, int] = OrderedDict()

    def __len__(self) -> int:
        """How many ids are kept of requests that are not open here."""
        return len(self.ended)

    def known_ids(self) -> list[bytes]:
        """All ids that another process must not start."""
        return [*self.open, *self.ended]

    def may_have_run(self, request_id: bytes) -> bool:
        """Whether a request with this id, which is not open here, may have run."""
        ended_at = self.ended.get(request_id)
        return ended_at is not None and self._now() - ended_at <= ENDED_ID_AGE_NS_MAX

    def remember(self, request_id: bytes) -> None:
        """A request with this id may have run, here or in another process, and may be sent again."""
        now = self._now()
        self.ended.pop(request_id, None)
        self.ended[request_id] = now
        while len(self.ended) > ENDED_IDS_MAX or now - next(iter(self.ended.values())) > ENDED_ID_AGE_NS_MAX:
            self.ended.popitem(last=False)

    def claim(self, request_id: bytes) -> Claim:
        """Another process of the node asks whether it may start a request with this id. If so, this one will
        not."""
        if request_id in self.open or self.may_have_run(request_id):
            return Claim.TAKEN
        self.remember(request_id)
        return Claim.GRANTED
