"""Limits of tenants at one node."""

from __future__ import annotations

import asyncio

import pytest
from rig import Message, Rig, Server, answer, configuration, request, run, status, until

from driftstair.limits.budgets import NS_PER_SECOND
from driftstair.node_configuration import tenant_limits
from driftstair.node_configuration.tenant_limits import TenantLimit, TenantLimiter, TenantUsage


class TenantRequest:
    """The part of a request that the limiter uses."""

    tenant: TenantUsage | None = None


def test_rate_and_requests_in_flight_are_limited_for_each_tenant_separately() -> None:
    limits = {"acme": TenantLimit(in_flight=2), "zeta": TenantLimit(per_s=2.0, burst=1.0)}
    limiter = TenantLimiter(limits.get)
    first, second, third = TenantRequest(), TenantRequest(), TenantRequest()
    assert limiter.admit(0, first, "acme") is None and limiter.admit(0, second, "acme") is None
    assert limiter.admit(0, third, "acme") == 0 and third.tenant is None
    assert limiter.admit(0, third, "nobody") is None and third.tenant is None
    assert first.tenant is not None
    first.tenant.release()
    assert limiter.admit(0, third, "acme") is None
    assert limiter.admit(0, TenantRequest(), "zeta") is None
    assert limiter.admit(0, TenantRequest(), "zeta") == NS_PER_SECOND // 2 + 1
    assert limiter.admit(NS_PER_SECOND, TenantRequest(), "zeta") is None


def test_a_change_of_a_limit_allows_no_new_burst_and_keeps_the_count_in_flight() -> None:
    limits = {"acme": TenantLimit(per_s=1.0, burst=3.0, in_flight=3)}
    limiter = TenantLimiter(limits.get)
    requests = [TenantRequest() for _ in range(2)]
    assert [limiter.admit(0, request, "acme") for request in requests] == [None, None]
    limits["acme"] = TenantLimit(per_s=1.0, burst=9.0, in_flight=9)
    assert limiter.admit(0, TenantRequest(), "acme") is None  # the last token
    assert limiter.admit(0, TenantRequest(), "acme") == NS_PER_SECOND + 1
    limits["acme"] = TenantLimit(in_flight=3)
    assert limiter.admit(0, TenantRequest(), "acme") == 0
    del limits["acme"]
    assert limiter.admit(0, TenantRequest(), "acme") is None


def test_tracked_tenants_are_bounded_and_those_with_requests_in_flight_are_not_evicted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(tenant_limits, "TRACKED_TENANTS_MAX", 10)
    limiter = TenantLimiter(lambda name: TenantLimit(in_flight=1))
    long_request = TenantRequest()
    assert limiter.admit(0, long_request, "first") is None
    for number in range(100):
        short_request = TenantRequest()
        assert limiter.admit(0, short_request, f"t{number}") is None
        assert short_request.tenant is not None
        short_request.tenant.release()
    assert len(limiter._usages) <= 11
    assert limiter.admit(0, TenantRequest(), "first") == 0


def test_a_request_over_its_tenants_limit_is_refused_like_one_over_a_routes_limit() -> None:
    """A request is in flight until it is answered or its client disconnects; then another is admitted."""
    release = asyncio.Event()

    async def wait_for_release(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer())

    async def test() -> None:
        limits = {"acme": TenantLimit(in_flight=1), "zeta": TenantLimit(per_s=0.5, burst=1.0)}
        async with (
            Server("s-1", wait_for_release) as server,
            Rig(configuration(server), "version = 1\n") as rig,
        ):
            rig.node.tenants = TenantLimiter(limits.get)
            holder, other = await rig.client(), await rig.client()
            holder.writer.write(request(X_Tenant="acme"))
            await until(lambda: server.seen)
            refused = await other.ask(request(X_Tenant="acme"))
            assert status(refused) == 503 and float(refused.headers["retry-after"]) > 0
            holder.writer.transport.abort()
            release.set()
            await until(lambda: not rig.node._open_requests or not rig.node.tenants._usages["acme"].in_flight)  # type: ignore[union-attr]
            assert status(await other.ask(request(X_Tenant="acme"))) == 200
            assert status(await other.ask(request(X_Tenant="acme"))) == 200  # after the one before
            assert status(await other.ask(request(X_Tenant="zeta"))) == 200
            refused = await other.ask(request(X_Tenant="zeta"))
            assert status(refused) == 503 and 1.0 < float(refused.headers["retry-after"]) <= 1.5
            assert status(await other.ask(request())) == 200

    run(test())
