"""What tenants may use at this node: requests a second, and in flight. Pure: times in ns come in."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from driftstair.limits.budgets import TokenBucket

USES_MAX = 10_000  # tenants whose requests are counted at once: the idle ones that came first are forgotten
LOOKS_MAX = 16  # at tenants that might be forgotten, for one that comes: no look at all of them


class TenantLimit(NamedTuple):
    """The figures of one tenant; 0: no limit of that kind."""

    per_s: float = 0.0
    burst: float = 0.0
    in_flight: int = 0


class TenantUse:
    """What is counted of one tenant."""

    __slots__ = ("bucket", "in_flight", "limit")

    def __init__(self, limit: TenantLimit, now_ns: int) -> None:
        self.limit = limit
        self.in_flight = 0
        self.bucket = TokenBucket(limit.per_s, limit.burst, now_ns) if limit.per_s else None

    def change(self, limit: TenantLimit, now_ns: int) -> None:
        """Other figures; a change is no new burst."""
        old, self.limit = self.bucket, limit
        self.bucket = TokenBucket(limit.per_s, limit.burst, now_ns) if limit.per_s else None
        if old is not None and self.bucket is not None:
            self.bucket.carry_over(old, now_ns)

    def leave(self) -> None:
        """One of its requests has its answer."""
        self.in_flight -= 1


class Admitted(Protocol):
    """A request that is counted until it is answered."""

    tenant: TenantUse | None


class TenantLimits:
    """`find`: a tenant's limit as it is now, by the name on the wire."""

    def __init__(self, find: Callable[[str], TenantLimit | None]) -> None:
        self._find = find
        self._uses: dict[str, TenantUse] = {}

    def admit(self, now_ns: int, request: Admitted, tenant: str) -> int | None:
        """None: it may pass, and counts until `TenantUse.leave`. Else ns until it may; 0: nobody knows."""
        limit = self._find(tenant)
        if limit is None:
            return None
        use = self._use(now_ns, tenant, limit)
        if limit.in_flight and use.in_flight >= limit.in_flight:
            return 0
        if use.bucket is not None and not use.bucket.take(now_ns):
            return use.bucket.ns_until(now_ns)
        use.in_flight += 1
        request.tenant = use
        return None

    def _use(self, now_ns: int, tenant: str, limit: TenantLimit) -> TenantUse:
        use = self._uses.get(tenant)
        if use is None:
            self._make_room()
            use = self._uses[tenant] = TenantUse(limit, now_ns)
        elif use.limit != limit:
            use.change(limit, now_ns)
        return use

    def _make_room(self) -> None:
        if len(self._uses) < USES_MAX:
            return
        first = [tenant for tenant, _ in zip(self._uses, range(LOOKS_MAX), strict=False)]
        for tenant in first:
            use = self._uses.pop(tenant)
            if use.in_flight:
                self._uses[tenant] = use  # looked at again when its turn comes
            else:
                return
