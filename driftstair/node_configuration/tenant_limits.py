"""Limits of tenants at this node: requests per second and in flight. The caller passes the time in ns."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from driftstair.limits.budgets import TokenBucket

TRACKED_TENANTS_MAX = 10_000  # above it, the idle tenants that were tracked first are evicted
EVICTION_CANDIDATES_MAX = 16  # examined for each new tenant, so that its cost does not grow with all tenants


class TenantLimit(NamedTuple):
    """The limits of one tenant; 0: no limit of that kind."""

    per_s: float = 0.0
    burst: float = 0.0
    in_flight: int = 0


class TenantUsage:
    """What one tenant uses at present."""

    __slots__ = ("bucket", "in_flight", "limit")

    def __init__(self, limit: TenantLimit, now_ns: int) -> None:
        self.limit = limit
        self.in_flight = 0
        self.bucket = TokenBucket(limit.per_s, limit.burst, now_ns) if limit.per_s else None

    def set_limit(self, limit: TenantLimit, now_ns: int) -> None:
        """Changes the limit. The tokens are carried over, so that a change does not allow a new burst."""
        previous, self.limit = self.bucket, limit
        self.bucket = TokenBucket(limit.per_s, limit.burst, now_ns) if limit.per_s else None
        if previous is not None and self.bucket is not None:
            self.bucket.carry_over(previous, now_ns)

    def release(self) -> None:
        """One of the tenant's requests is no longer in flight."""
        self.in_flight -= 1


class CountedRequest(Protocol):
    """A request that counts as in flight for its tenant until it is answered."""

    tenant: TenantUsage | None


class TenantLimiter:
    """Admits requests within the limits of their tenants.

    `find_limit`: returns the current limit of a tenant, by its name on the wire.
    """

    def __init__(self, find_limit: Callable[[str], TenantLimit | None]) -> None:
        self._find_limit = find_limit
        self._usages: dict[str, TenantUsage] = {}

    def admit(self, now_ns: int, request: CountedRequest, tenant: str) -> int | None:
        """None: the request is admitted, and counts until `TenantUsage.release`. Otherwise ns until it may be
        admitted; 0 if that is unknown."""
        limit = self._find_limit(tenant)
        if limit is None:
            return None
        usage = self._usage(now_ns, tenant, limit)
        if limit.in_flight and usage.in_flight >= limit.in_flight:
            return 0
        if usage.bucket is not None and not usage.bucket.take(now_ns):
            return usage.bucket.ns_until(now_ns)
        usage.in_flight += 1
        request.tenant = usage
        return None

    def _usage(self, now_ns: int, tenant: str, limit: TenantLimit) -> TenantUsage:
        usage = self._usages.get(tenant)
        if usage is None:
            self._evict_idle()
            usage = self._usages[tenant] = TenantUsage(limit, now_ns)
        elif usage.limit != limit:
            usage.set_limit(limit, now_ns)
        return usage

    def _evict_idle(self) -> None:
        """Evicts at most one idle tenant, if too many are tracked."""
        if len(self._usages) < TRACKED_TENANTS_MAX:
            return
        candidates = [tenant for tenant, _ in zip(self._usages, range(EVICTION_CANDIDATES_MAX), strict=False)]
        for tenant in candidates:
            usage = self._usages.pop(tenant)
            if usage.in_flight:
                self._usages[tenant] = usage  # moved to the end: examined again after all others
            else:
                return
