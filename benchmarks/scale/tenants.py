"""Slopes by tenants: the platform's configuration, the validation of a service file, and tenants' shares."""

from __future__ import annotations

import json
import time
from pathlib import Path

from benchmarks.scale import documents
from benchmarks.scale.meter import mean_cpu_s, measure_step

CLIENT_CONNECTIONS = 541  # what `settings.split_descriptors` gives for 1,024 descriptors
NAMING_ROUTES = 100  # routes that name a tenant
SHARE_CHECKS = 2_000  # requests whose tenant's share is checked


def prepare(size: int, folder: Path) -> None:
    """Writes a configuration with `size` tenants."""
    folder.joinpath("platform.json").write_text(json.dumps(documents.platform_document(tenants=size)))


def measure(size: int, folder: Path) -> dict[str, float]:
    """Measures reading the configuration at a start, and again as at a reload by SIGHUP."""
    from driftstair.config import load
    from driftstair.files import CONFIGURATION_BYTES_MAX

    environment = {"BALANCER_CONFIG": str(folder / "platform.json")}
    file_bytes = folder.joinpath("platform.json").stat().st_size
    config, load_cost = measure_step(lambda: load(environment))
    assert len(config.tenants) == size
    began_s = time.process_time()
    reloaded = load(environment)
    has_changed = reloaded != config
    reload_cpu_s = time.process_time() - began_s
    assert not has_changed
    return {
        "file_bytes": file_bytes, "accepted": float(file_bytes <= CONFIGURATION_BYTES_MAX),
        "load_cpu_s": load_cost.cpu_s,
        "load_peak_mb": load_cost.peak_mb, "load_kept_mb": load_cost.kept_mb, "change_hold_s": reload_cpu_s,
    }  # fmt: skip


def measure_proof(size: int, folder: Path) -> dict[str, float]:
    """Measures the validation of small service files beside many tenants: one with 21 routes that name no
    tenant, and one with 100 routes that name one each."""
    from driftstair.config import load
    from driftstair.limits.validation import find_problems
    from driftstair.service.load import parse
    from driftstair.service.service_file import platform_of

    config = load({"BALANCER_CONFIG": str(folder / "platform.json")})
    file_without_tenants = parse(documents.service_file_text(documents.ROUTES_PER_SERVICE), "service.toml")
    file_with_tenants = parse(documents.service_file_text(NAMING_ROUTES, tenants=size), "service.toml")
    _, platform_cost = measure_step(lambda: platform_of(config, CLIENT_CONNECTIONS))
    platform = platform_of(config, CLIENT_CONNECTIONS)
    _, cost_without_tenants = measure_step(lambda: find_problems(file_without_tenants, platform))
    _, cost_with_tenants = measure_step(lambda: find_problems(file_with_tenants, platform))
    return {
        "platform_cpu_s": platform_cost.cpu_s, "proof_21_routes_cpu_s": cost_without_tenants.cpu_s,
        "proof_100_naming_routes_cpu_s": cost_with_tenants.cpu_s,
        "proof_peak_mb": cost_without_tenants.peak_mb,
    }  # fmt: skip


def measure_shares(size: int, folder: Path) -> dict[str, float]:
    """Measures the check of a tenant's share for one request, and the memory that a node keeps for known
    tenants."""
    from driftstair.config import load
    from lichenspring import Balancer

    config = load({"BALANCER_CONFIG": str(folder / "platform.json")})
    balancer = Balancer(config.settings, config.seed)
    _, cost = measure_step(lambda: [balancer._is_over_share(tenant) for tenant in range(size)])
    check_cpu_s = mean_cpu_s(lambda index: balancer._is_over_share(index % size), SHARE_CHECKS)
    return {"judge_us": check_cpu_s * 1e6, "seen_kept_mb": cost.kept_mb}
