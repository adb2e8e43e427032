"""The series of the single-process slopes: their probes, input writers and sizes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale import (
    billing,
    control_role,
    coordination,
    documents,
    in_force,
    peers,
    routes,
    servers,
    tenants,
)

Probe = Callable[[int, Path], dict[str, float]]


def no_inputs(size: int, folder: Path) -> None:
    """Writes nothing, for probes that create their inputs themselves."""


@dataclass(frozen=True, slots=True)
class Series:
    """One series of measurements. `sizes` are in ascending order; the last one is the size of the
    installation in two years. `service_size` is the size if each service is an installation of its own.
    `prepare` writes the inputs in a different process from that of the probe."""

    unit: str
    sizes: tuple[int, ...]
    service_size: int
    probe: Probe
    prepare: Callable[[int, Path], None] = no_inputs


ROUTE_SIZES = (21, 500, 1_000, 2_000, 4_000, 8_000, 14_000, documents.ROUTES)
TENANT_SIZES = (220, 5_000, 20_000, 55_000, 110_000, 165_000, documents.TENANTS)
SERVER_SIZES = (33, 200, 1_000, 4_000, 8_000, 16_000, 24_000, documents.SERVERS)
PEER_SIZES = (3, 200, 800, 1_600, 2_400, documents.NODES)

SERIES: dict[str, Series] = {
    "service-file": Series(
        "route", ROUTE_SIZES, documents.ROUTES_PER_SERVICE, routes.measure, routes.prepare
    ),
    "route-look-up": Series("route", ROUTE_SIZES, documents.ROUTES_PER_SERVICE, routes.measure_look_up),
    "tenant-buckets": Series(
        "bucket", (1_000, 20_000, 60_000, 120_000, documents.TENANTS), documents.TENANTS_PER_SERVICE,
        routes.measure_buckets,
    ),
    "configuration": Series(
        "tenant", TENANT_SIZES, documents.TENANTS_PER_SERVICE, tenants.measure, tenants.prepare
    ),
    "proof-by-tenants": Series(
        "tenant", TENANT_SIZES, documents.TENANTS_PER_SERVICE, tenants.measure_proof, tenants.prepare
    ),
    "tenant-shares": Series(
        "tenant", TENANT_SIZES, documents.TENANTS_PER_SERVICE, tenants.measure_shares, tenants.prepare
    ),
    "server-list": Series(
        "server", SERVER_SIZES, documents.SERVERS_PER_SERVICE, servers.measure, servers.prepare
    ),
    "server-reach": Series(
        "server", SERVER_SIZES, documents.SERVERS_PER_SERVICE, servers.measure_reach, servers.prepare
    ),
    "request-by-servers": Series(
        "server", SERVER_SIZES, documents.SERVERS_PER_SERVICE, servers.measure_request, servers.prepare
    ),
    "peers": Series("peer", PEER_SIZES, documents.NODES_PER_SERVICE, peers.measure, peers.prepare),
    "in-force-routes": Series(
        "route", ROUTE_SIZES, documents.ROUTES_PER_SERVICE, in_force.measure_routes, in_force.prepare
    ),
    "in-force-tenants": Series(
        "tenant", TENANT_SIZES, documents.TENANTS_PER_SERVICE, in_force.measure_tenants, in_force.prepare
    ),
    "in-force-look-up": Series(
        "route", ROUTE_SIZES, documents.ROUTES_PER_SERVICE, in_force.measure_look_up, in_force.prepare
    ),
    "in-force-snapshot": Series(
        "route", ROUTE_SIZES, documents.ROUTES_PER_SERVICE, in_force.measure_snapshot, in_force.prepare
    ),
    "control-server": Series("route", ROUTE_SIZES, documents.ROUTES_PER_SERVICE, control_role.measure),
    "operator-report": Series(
        "peer", PEER_SIZES, documents.NODES_PER_SERVICE, coordination.measure_report,
        coordination.prepare_report
    ),
    "outcome-reports": Series(
        "node", (*PEER_SIZES, 4_000, 6_000), documents.NODES_PER_SERVICE, coordination.measure_reports
    ),
    "disruption-budget": Series(
        "node", PEER_SIZES, documents.NODES_PER_SERVICE, coordination.measure_controller
    ),
    "ledger-collector": Series(
        "node", (3, 200, 400, 800, 1_600, documents.NODES), documents.NODES_PER_SERVICE,
        coordination.measure_collector, coordination.prepare_folder,
    ),
    "ledger-commit": Series(
        "tenant in a commit", (1, 20, 55, 220, 1_000, 4_000), 20, billing.measure
    ),
    "ledger-open": Series(
        "entry", (1_000, 10_000, 25_000, 50_000, 100_000, 200_000), 1_000, billing.measure_open,
        billing.prepare_ledger,
    ),
    "ledger-join": Series(
        "ledger", (3, 100, 200, 400, 800), documents.NODES_PER_SERVICE, billing.measure_join
    ),
}  # fmt: skip
