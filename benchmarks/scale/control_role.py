"""Slopes of one control server by routes, with 10.5 tenants for each route. A real process gets the whole
configuration by change sets, and then changes of one route each."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterator
from itertools import islice
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.scale import documents, in_force
from benchmarks.scale.control_servers import ControlServers
from benchmarks.scale.meter import MB

CHANGES_PER_SET = 500  # about 150 KB of routes; a change set may have 256 KiB
PUT_COUNT = 40


def resource_changes(size: int) -> Iterator[dict[str, Any]]:
    """Yields all routes and tenants as changes."""
    for number in range(size):
        yield _route_change(number)
    for number in range(documents.TENANTS * size // documents.ROUTES):
        content = {"per_s": 10.0 + number % in_force.LIMIT_VARIANTS, "in_flight": 50}
        yield {"kind": "tenant", "name": documents.tenant_name(number), "content": content}


def _route_change(route: int, total_ms: int = 900) -> dict[str, Any]:
    content = in_force.route_content(route, total_ms)
    return {"kind": "route", "name": in_force.route_name(route), "content": content}


def measure(size: int, folder: Path) -> dict[str, float]:
    """Measures a server's memory and disk usage, and the cost of a change."""
    return asyncio.run(_measure(size, folder))


async def _measure(size: int, folder: Path) -> dict[str, float]:
    async with ControlServers(folder, 1) as servers:
        usage_empty = servers.usage()
        remaining = resource_changes(size)
        number = 0
        while batch := list(islice(remaining, CHANGES_PER_SET)):
            await servers.put({"id": f"fill-{number}", "changes": batch})
            number += 1
        usage_filled = servers.usage()
        durations_s = []
        for put_number in range(PUT_COUNT):
            began_s = time.monotonic()
            change = _route_change(put_number * 7919 % size, total_ms=800)
            await servers.put({"id": f"put-{put_number}", "changes": [change]})
            durations_s.append(time.monotonic() - began_s)
        usage_after_puts = servers.usage()
    disk_bytes = sum(path.stat().st_size for path in folder.glob("control-0/*"))
    return {
        "fill_cpu_s": usage_filled.cpu_s - usage_empty.cpu_s,
        "kept_mb": (usage_filled.resident_bytes - usage_empty.resident_bytes) / MB,
        "empty_mb": usage_empty.resident_bytes / MB,
        "put_cpu_ms": (usage_after_puts.cpu_s - usage_filled.cpu_s) / PUT_COUNT * 1e3,
        "put_ms": median(durations_s) * 1e3, "disk_bytes": disk_bytes,
        "put_bytes": len(json.dumps({"id": "put-0", "changes": [_route_change(0)]})),
    }  # fmt: skip
