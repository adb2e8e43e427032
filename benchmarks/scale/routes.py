"""Slopes by routes: reading and proving the service file, one change by SIGHUP, the look-up of a request."""

from __future__ import annotations

import json
import time
from pathlib import Path

from benchmarks.scale import documents
from benchmarks.scale.meter import cpu_each, measured

CLIENTS = 541  # connections that the node holds: `daemon.split_descriptors` of 1,024 descriptors
LOOK_UPS = 20_000
REQUEST_SERVICE = 0  # requests are for this service's routes, which are there at every size
BUCKETS_EACH = 1_000  # tenants that one route counts


def prepare(size: int, folder: Path) -> None:
    folder.joinpath("platform.json").write_text(json.dumps(documents.platform(nodes=documents.NODES)))
    folder.joinpath("old.toml").write_text(documents.service_file(size))
    folder.joinpath("new.toml").write_text(documents.service_file(size, total_ms=800))


def measure(size: int, folder: Path) -> dict[str, float]:
    """A first load of the file, and a second one in which one route differs, as SIGHUP takes it in."""
    from driftstair.config import load
    from driftstair.files import SETTINGS_BYTES_MAX
    from driftstair.service.load import parse
    from driftstair.service.service_file import ServiceFile
    from lichenspring import Balancer

    config = load({"BALANCER_CONFIG": str(folder / "platform.json")})
    old, new = ((folder / name).read_text() for name in ("old.toml", "new.toml"))
    table, first = measured(lambda: ServiceFile("service.toml", old).table(config, CLIENTS))
    limited = table.limiting_module(Balancer(config.settings, config.seed), config.settings, time.time_ns)
    limited.start(1)

    def change() -> None:
        """What `reload_files` and `Node.replace_limits` do, without the platform's own file."""
        nonlocal table
        table = ServiceFile("service.toml", new).table(config, CLIENTS)
        limited.replace_rules(2, table.rules)

    _, again = measured(change)
    began = time.process_time()
    parse(new, "service.toml")
    parsing = time.process_time() - began
    return {
        "file_bytes": len(old.encode()), "accepted": float(len(old.encode()) <= SETTINGS_BYTES_MAX),
        "load_cpu_s": first.cpu_s, "load_peak_mb": first.peak_mb, "load_kept_mb": first.kept_mb,
        "change_hold_s": again.cpu_s, "change_peak_mb": again.peak_mb, "parse_cpu_s": parsing,
    }  # fmt: skip


def measure_look_up(size: int, folder: Path) -> dict[str, float]:
    """One request's look-up, by the routes of other services; routes made without a file."""
    from driftstair.limits.routes import Pattern, RouteQuery, Routes
    from driftstair.service.schema import Match

    def pattern(number: int) -> Pattern:
        service, own = divmod(number, documents.ROUTES_EACH)
        return Pattern.of(Match.model_validate({"class": "page", "path": f"/svc-{service:04}/r{own:02}/*"}))

    index, kept = measured(lambda: Routes(pattern(number) for number in range(size)))
    asked = [
        RouteQuery("page", "", "GET", f"/svc-{REQUEST_SERVICE:04}/r{own:02}/item", {}, "k")
        for own in range(documents.ROUTES_EACH)
    ]
    found = {index.find(one) for one in asked}
    assert None not in found
    each = min(
        cpu_each(lambda turn: index.find(asked[turn % documents.ROUTES_EACH]), LOOK_UPS) for _ in range(5)
    )
    return {"find_us": each * 1e6, "index_kept_mb": kept.kept_mb}


def measure_buckets(size: int, folder: Path) -> dict[str, float]:
    """Token buckets of tenants on routes with `admit.rate.by = "tenant"`: `size` of them, on as many routes
    as that takes at `BUCKETS_EACH` a route."""
    from driftstair.limits.budgets import TokenBucket

    def fill() -> list[dict[int, TokenBucket]]:
        routes = max(1, size // BUCKETS_EACH)
        return [
            {tenant: TokenBucket(80.0, 20.0, tenant) for tenant in range(size // routes)}
            for _ in range(routes)
        ]

    _, step = measured(fill)
    return {"kept_mb": step.kept_mb}
