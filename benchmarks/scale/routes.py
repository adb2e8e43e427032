"""Slopes by routes: loading and validating the service file, a change by SIGHUP, and the look-up of a
request."""

from __future__ import annotations

import json
import time
from pathlib import Path

from benchmarks.scale import documents
from benchmarks.scale.meter import mean_cpu_s, measure_step

CLIENT_CONNECTIONS = 541  # what `settings.split_descriptors` gives for 1,024 descriptors
LOOK_UP_COUNT = 20_000
REQUESTED_SERVICE = 0  # requests go to this service's routes, which exist at each size
BUCKETS_PER_ROUTE = 1_000  # tenants with a bucket on one route


def prepare(size: int, folder: Path) -> None:
    """Writes the platform's configuration and two service files that differ in one route."""
    folder.joinpath("platform.json").write_text(
        json.dumps(documents.platform_document(nodes=documents.NODES))
    )
    folder.joinpath("old.toml").write_text(documents.service_file_text(size))
    folder.joinpath("new.toml").write_text(documents.service_file_text(size, total_ms=800))


def measure(size: int, folder: Path) -> dict[str, float]:
    """Measures the first load of the service file, and a reload as by SIGHUP in which one route differs."""
    from driftstair.config import load
    from driftstair.files import SETTINGS_BYTES_MAX
    from driftstair.service.load import parse
    from driftstair.service.service_file import ServiceFile
    from lichenspring import Balancer

    config = load({"BALANCER_CONFIG": str(folder / "platform.json")})
    old_text, new_text = ((folder / name).read_text() for name in ("old.toml", "new.toml"))
    table, load_cost = measure_step(
        lambda: ServiceFile("service.toml", old_text).table(config, CLIENT_CONNECTIONS)
    )
    limiting_module = table.limiting_module(
        Balancer(config.settings, config.seed), config.settings, time.time_ns
    )
    limiting_module.start(1)

    def change() -> None:
        """Does what `Reloader` and `Node.replace_limits` do, except for the platform's own file."""
        nonlocal table
        table = ServiceFile("service.toml", new_text).table(config, CLIENT_CONNECTIONS)
        limiting_module.replace_rules(2, table.rules)

    _, change_cost = measure_step(change)
    began_s = time.process_time()
    parse(new_text, "service.toml")
    parse_cpu_s = time.process_time() - began_s
    return {
        "file_bytes": len(old_text.encode()), "accepted": float(len(old_text.encode()) <= SETTINGS_BYTES_MAX),
        "load_cpu_s": load_cost.cpu_s, "load_peak_mb": load_cost.peak_mb, "load_kept_mb": load_cost.kept_mb,
        "change_hold_s": change_cost.cpu_s, "change_peak_mb": change_cost.peak_mb, "parse_cpu_s": parse_cpu_s,
    }  # fmt: skip


def measure_look_up(size: int, folder: Path) -> dict[str, float]:
    """Measures the look-up of one request among the routes of other services, without a service file."""
    from driftstair.limits.routes import Pattern, RouteQuery, Routes
    from driftstair.service.schema import Match

    def pattern(number: int) -> Pattern:
        service, own_number = divmod(number, documents.ROUTES_PER_SERVICE)
        return Pattern.of(
            Match.model_validate({"class": "page", "path": f"/svc-{service:04}/r{own_number:02}/*"})
        )

    routes, index_cost = measure_step(lambda: Routes(pattern(number) for number in range(size)))
    queries = [
        RouteQuery("page", "", "GET", f"/svc-{REQUESTED_SERVICE:04}/r{own_number:02}/item", {}, "k")
        for own_number in range(documents.ROUTES_PER_SERVICE)
    ]
    route_numbers = {routes.find(query) for query in queries}
    assert None not in route_numbers
    look_up_cpu_s = min(
        mean_cpu_s(
            lambda index_number: routes.find(queries[index_number % documents.ROUTES_PER_SERVICE]),
            LOOK_UP_COUNT,
        )
        for _ in range(5)
    )
    return {"find_us": look_up_cpu_s * 1e6, "index_kept_mb": index_cost.kept_mb}


def measure_buckets(size: int, folder: Path) -> dict[str, float]:
    """Measures the memory of `size` token buckets of tenants, as routes with `admit.rate.by = "tenant"` have
    them, with `BUCKETS_PER_ROUTE` on each route."""
    from driftstair.limits.budgets import TokenBucket

    def fill() -> list[dict[int, TokenBucket]]:
        route_count = max(1, size // BUCKETS_PER_ROUTE)
        return [
            {tenant: TokenBucket(80.0, 20.0, tenant) for tenant in range(size // route_count)}
            for _ in range(route_count)
        ]

    _, cost = measure_step(fill)
    return {"kept_mb": cost.kept_mb}
