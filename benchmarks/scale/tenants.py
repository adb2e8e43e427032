"""Slopes by tenants: the platform's configuration, and what a service file's proof makes of them."""

from __future__ import annotations

import json
import time
from pathlib import Path

from benchmarks.scale import documents
from benchmarks.scale.meter import cpu_each, measured

CLIENTS = 541  # connections that the node holds: `daemon.split_descriptors` of 1,024 descriptors
NAMING = 100  # routes that name a tenant
SHARES = 2_000  # requests whose tenant's share is judged


def prepare(size: int, folder: Path) -> None:
    folder.joinpath("platform.json").write_text(json.dumps(documents.platform(tenants=size)))


def measure(size: int, folder: Path) -> dict[str, float]:
    """The configuration at a start, and again as SIGHUP reads it."""
    from driftstair.config import load
    from driftstair.files import CONFIGURATION_BYTES_MAX

    environment = {"BALANCER_CONFIG": str(folder / "platform.json")}
    bytes_ = folder.joinpath("platform.json").stat().st_size
    config, first = measured(lambda: load(environment))
    assert len(config.tenants) == size
    began = time.process_time()
    again = load(environment)
    differs = again != config
    hold = time.process_time() - began
    assert not differs
    return {
        "file_bytes": bytes_, "accepted": float(bytes_ <= CONFIGURATION_BYTES_MAX), "load_cpu_s": first.cpu_s,
        "load_peak_mb": first.peak_mb, "load_kept_mb": first.kept_mb, "change_hold_s": hold,
    }  # fmt: skip


def measure_proof(size: int, folder: Path) -> dict[str, float]:
    """The proof of a small service file beside many tenants: 21 routes that name none, and 100 that name one
    each."""
    from driftstair.config import load
    from driftstair.limits.validation import find_problems
    from driftstair.service.load import parse
    from driftstair.service.service_file import platform_of

    config = load({"BALANCER_CONFIG": str(folder / "platform.json")})
    plain = parse(documents.service_file(documents.ROUTES_EACH), "service.toml")
    naming = parse(documents.service_file(NAMING, tenants=size), "service.toml")
    _, known = measured(lambda: platform_of(config, CLIENTS))
    platform = platform_of(config, CLIENTS)
    _, alone = measured(lambda: find_problems(plain, platform))
    _, by_name = measured(lambda: find_problems(naming, platform))
    return {
        "platform_cpu_s": known.cpu_s, "proof_21_routes_cpu_s": alone.cpu_s,
        "proof_100_naming_routes_cpu_s": by_name.cpu_s, "proof_peak_mb": alone.peak_mb,
    }  # fmt: skip


def measure_shares(size: int, folder: Path) -> dict[str, float]:
    """One request's judgement of its tenant's share, and what the node keeps of tenants it has seen."""
    from driftstair.config import load
    from lichenspring import Balancer

    config = load({"BALANCER_CONFIG": str(folder / "platform.json")})
    balancer = Balancer(config.settings, config.seed)
    _, seen = measured(lambda: [balancer._is_over_share(one) for one in range(size)])
    each = cpu_each(lambda turn: balancer._is_over_share(turn % size), SHARES)
    return {"judge_us": each * 1e6, "seen_kept_mb": seen.kept_mb}
