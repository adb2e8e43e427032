"""Slopes by peers: the list of them in the configuration, the table of members, one change of the list."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.scale import documents
from benchmarks.scale.meter import cpu_each, measured

KEY = b"k" * 32
PERIOD = documents.SECOND  # ns between two probes
WAKES = 200


def prepare(size: int, folder: Path) -> None:
    for name, peers in (("old", size), ("new", size + 1)):
        folder.joinpath(f"{name}.json").write_text(json.dumps(documents.platform(peers=peers, nodes=peers)))


def measure(size: int, folder: Path) -> dict[str, float]:
    """A process of the cluster that knows all its peers alive, and SIGHUP with one peer more."""

    async def run() -> dict[str, float]:
        return _measure(size, folder)

    return asyncio.run(run())


def _measure(size: int, folder: Path) -> dict[str, float]:
    from driftstair.config import load
    from driftstair.net.system import SOCKET_SYSTEM
    from driftstair.tier import peer_config
    from driftstair.tier.service import Tier

    config = load({"BALANCER_CONFIG": str(folder / "old.json")})
    peers, reading = measured(lambda: peer_config.read(config))
    claims = all_alive(size)

    def start() -> Tier:
        process = Tier(config, peers, PERIOD, KEY, None, None, SOCKET_SYSTEM, shares_evidence=True)
        process._handle_event(claims)
        return process

    process, starting = measured(start)
    newer = load({"BALANCER_CONFIG": str(folder / "new.json")})
    _, change = measured(lambda: process.reload(newer))
    return {
        "peers_bytes": len(json.dumps(documents.platform(peers=size)["peers"])),
        "read_cpu_s": reading.cpu_s, "start_cpu_s": starting.cpu_s,
        "kept_mb": reading.kept_mb + starting.kept_mb, "change_hold_s": change.cpu_s,
        "wake_us": _wake_us(size) , "zones_us": cpu_each(lambda _: process._zones_by_node(), WAKES) * 1e6,
    }  # fmt: skip


def all_alive(size: int) -> Any:
    """All peers as a list that the process before this one has kept."""
    from driftstair.tier.membership import events
    from driftstair.tier.membership.members import Claim, State, Traits

    return events.Start(
        tuple(Claim(one, 1_000, 0, State.ALIVE, one, Traits(one % 8, 1, 3)) for one in range(1, size))
    )


def _wake_us(size: int) -> float:
    """us of processor time for a turn of the membership core, its probes and their answers included."""
    from driftstair.tier import wire
    from driftstair.tier.membership.core import Membership
    from driftstair.tier.membership.events import Wake
    from driftstair.tier.membership.members import Traits

    core = Membership(
        0,
        size,
        1_000,
        Traits(0, wire.VERSION, wire.SUPPORTS_MEMBERSHIP),
        PERIOD,
        Random(1),
        wire.MAX_CLAIMS_BYTES,
        wire.claim_size,
    )
    now = time.monotonic_ns()
    core.handle(now, all_alive(size))

    def wake(_: int) -> None:
        core.handle(max(now, core.wake_at), Wake())

    return cpu_each(wake, WAKES) * 1e6
