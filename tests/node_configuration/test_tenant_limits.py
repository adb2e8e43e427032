"""What tenants may use at one node."""

from __future__ import annotations

import asyncio

import pytest
from rig import Message, Rig, Server, answer, configuration, request, run, status, until

from driftstair.limits.budgets import NS_PER_SECOND
from driftstair.node_configuration import tenant_limits
from driftstair.node_configuration.tenant_limits import TenantLimit, TenantLimits, TenantUse


class Asks:
    """A request, as far as tenants' limits know it."""

    tenant: TenantUse | None = None


def test_requests_in_flight_and_a_second_each_for_its_own_tenant() -> None:
    limits = {"acme": TenantLimit(in_flight=2), "zeta": TenantLimit(per_s=2.0, burst=1.0)}
    tenants = TenantLimits(limits.get)
    first, second, third = Asks(), Asks(), Asks()
    assert tenants.admit(0, first, "acme") is None and tenants.admit(0, second, "acme") is None
    assert tenants.admit(0, third, "acme") == 0 and third.tenant is None
    assert tenants.admit(0, third, "nobody") is None and third.tenant is None
    assert first.tenant is not None
    first.tenant.leave()
    assert tenants.admit(0, third, "acme") is None
    assert tenants.admit(0, Asks(), "zeta") is None
    assert tenants.admit(0, Asks(), "zeta") == NS_PER_SECOND // 2 + 1
    assert tenants.admit(NS_PER_SECOND, Asks(), "zeta") is None


def test_a_change_is_no_new_burst_and_forgets_nobody_in_flight() -> None:
    limits = {"acme": TenantLimit(per_s=1.0, burst=3.0, in_flight=3)}
    tenants = TenantLimits(limits.get)
    held = [Asks() for _ in range(2)]
    assert [tenants.admit(0, one, "acme") for one in held] == [None, None]
    limits["acme"] = TenantLimit(per_s=1.0, burst=9.0, in_flight=9)
    assert tenants.admit(0, Asks(), "acme") is None  # the last token
    assert tenants.admit(0, Asks(), "acme") == NS_PER_SECOND + 1
    limits["acme"] = TenantLimit(in_flight=3)
    assert tenants.admit(0, Asks(), "acme") == 0
    del limits["acme"]
    assert tenants.admit(0, Asks(), "acme") is None


def test_many_tenants_fill_no_memory_and_those_in_flight_are_not_forgotten(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(tenant_limits, "USES_MAX", 10)
    tenants = TenantLimits(lambda name: TenantLimit(in_flight=1))
    held = Asks()
    assert tenants.admit(0, held, "first") is None
    for number in range(100):
        passing = Asks()
        assert tenants.admit(0, passing, f"t{number}") is None
        assert passing.tenant is not None
        passing.tenant.leave()
    assert len(tenants._uses) <= 11
    assert tenants.admit(0, Asks(), "first") == 0


def test_a_tenant_over_its_limit_is_refused_on_the_wire_as_over_a_routes() -> None:
    """In flight until its answer is there, or its client has left; then the next one passes."""
    release = asyncio.Event()

    async def waits(_: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer())

    async def test() -> None:
        limits = {"acme": TenantLimit(in_flight=1), "zeta": TenantLimit(per_s=0.5, burst=1.0)}
        async with Server("s-1", waits) as server, Rig(configuration(server), "version = 1\n") as rig:
            rig.node.tenants = TenantLimits(limits.get)
            holds, other = await rig.client(), await rig.client()
            holds.writer.write(request(X_Tenant="acme"))
            await until(lambda: server.seen)
            refused = await other.ask(request(X_Tenant="acme"))
            assert status(refused) == 503 and float(refused.headers["retry-after"]) > 0
            holds.writer.transport.abort()
            release.set()
            await until(lambda: not rig.node._open_requests or not rig.node.tenants._uses["acme"].in_flight)  # type: ignore[union-attr]
            assert status(await other.ask(request(X_Tenant="acme"))) == 200
            assert status(await other.ask(request(X_Tenant="acme"))) == 200  # one after the other
            assert status(await other.ask(request(X_Tenant="zeta"))) == 200
            refused = await other.ask(request(X_Tenant="zeta"))
            assert status(refused) == 503 and 1.0 < float(refused.headers["retry-after"]) <= 1.5
            assert status(await other.ask(request())) == 200

    run(test())
