"""Slopes of one control server by routes, with ten and a half tenants for each: a real process that is told
all of it by change sets, and then changes of one route each."""

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

SET_CHANGES = 500  # of one change set: some 150 KB of routes, where 256 KiB are allowed
PUTS = 40


def changes(size: int) -> Iterator[dict[str, Any]]:
    """All resources as changes."""
    for number in range(size):
        yield _change_of(number)
    for number in range(documents.TENANTS * size // documents.ROUTES):
        content = {"per_s": 10.0 + number % in_force.PLANS, "in_flight": 50}
        yield {"kind": "tenant", "name": documents.tenant_name(number), "content": content}


def _change_of(route: int, total_ms: int = 900) -> dict[str, Any]:
    content = in_force.route_content(route, total_ms)
    return {"kind": "route", "name": in_force.route_name(route), "content": content}


def measure(size: int, folder: Path) -> dict[str, float]:
    """What a server keeps in memory and on its disk, and what a change takes of it."""
    return asyncio.run(_measure(size, folder))


async def _measure(size: int, folder: Path) -> dict[str, float]:
    async with ControlServers(folder, 1) as servers:
        empty = servers.usage()
        left = changes(size)
        number = 0
        while some := list(islice(left, SET_CHANGES)):
            await servers.put({"id": f"fill-{number}", "changes": some})
            number += 1
        filled = servers.usage()
        took = []
        for turn in range(PUTS):
            began = time.monotonic()
            change = _change_of(turn * 7919 % size, total_ms=800)
            await servers.put({"id": f"put-{turn}", "changes": [change]})
            took.append(time.monotonic() - began)
        done = servers.usage()
    disk = sum(path.stat().st_size for path in folder.glob("control-0/*"))
    return {
        "fill_cpu_s": filled.cpu - empty.cpu, "kept_mb": (filled.resident - empty.resident) / MB,
        "empty_mb": empty.resident / MB, "put_cpu_ms": (done.cpu - filled.cpu) / PUTS * 1e3,
        "put_ms": median(took) * 1e3, "disk_bytes": disk,
        "put_bytes": len(json.dumps({"id": "put-0", "changes": [_change_of(0)]})),
    }  # fmt: skip
