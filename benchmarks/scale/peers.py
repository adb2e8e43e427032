"""Slopes by peers: the peer list of the configuration, the member table, and a change of the list."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.scale import documents
from benchmarks.scale.meter import mean_cpu_s, measure_step

CLUSTER_KEY = b"k" * 32
PROBE_PERIOD_NS = documents.SECOND_NS  # between two probes
REPETITIONS = 200


def prepare(size: int, folder: Path) -> None:
    """Writes a configuration with `size` peers, and one with one peer more."""
    for name, peers in (("old", size), ("new", size + 1)):
        folder.joinpath(f"{name}.json").write_text(
            json.dumps(documents.platform_document(peers=peers, nodes=peers))
        )


def measure(size: int, folder: Path) -> dict[str, float]:
    """Measures a cluster member that knows all its peers as alive, and its reload with one peer more."""

    async def run() -> dict[str, float]:
        return _measure(size, folder)

    return asyncio.run(run())


def _measure(size: int, folder: Path) -> dict[str, float]:
    from driftstair.config import load
    from driftstair.net.system import SOCKET_SYSTEM
    from driftstair.tier import peer_config
    from driftstair.tier.service import Tier

    config = load({"BALANCER_CONFIG": str(folder / "old.json")})
    peers, read_cost = measure_step(lambda: peer_config.read(config))
    claims = all_peers_alive(size)

    def start() -> Tier:
        tier = Tier(
            config, peers, PROBE_PERIOD_NS, CLUSTER_KEY, None, None, SOCKET_SYSTEM, shares_evidence=True
        )
        tier._handle_event(claims)
        return tier

    tier, start_cost = measure_step(start)
    new_config = load({"BALANCER_CONFIG": str(folder / "new.json")})
    _, reload_cost = measure_step(lambda: tier.reload(new_config))
    return {
        "peers_bytes": len(json.dumps(documents.platform_document(peers=size)["peers"])),
        "read_cpu_s": read_cost.cpu_s, "start_cpu_s": start_cost.cpu_s,
        "kept_mb": read_cost.kept_mb + start_cost.kept_mb, "change_hold_s": reload_cost.cpu_s,
        "wake_us": _wake_us(size),
        "zones_us": mean_cpu_s(lambda _: tier._zones_by_node(), REPETITIONS) * 1e6,
    }  # fmt: skip


def all_peers_alive(size: int) -> Any:
    """Returns the start event with all peers alive, as from a member list that an earlier process
    persisted."""
    from driftstair.tier.membership import events
    from driftstair.tier.membership.members import Claim, State, Traits

    return events.Start(
        tuple(
            Claim(number, 1_000, 0, State.ALIVE, number, Traits(number % 8, 1, 3))
            for number in range(1, size)
        )
    )


def _wake_us(size: int) -> float:
    """Returns the microseconds of processor time for one wake of the membership core, including its
    probes."""
    from driftstair.tier import wire
    from driftstair.tier.membership.core import Membership
    from driftstair.tier.membership.events import Wake
    from driftstair.tier.membership.members import Traits

    core = Membership(
        0,
        size,
        1_000,
        Traits(0, wire.VERSION, wire.SUPPORTS_MEMBERSHIP),
        PROBE_PERIOD_NS,
        Random(1),
        wire.MAX_CLAIMS_BYTES,
        wire.claim_size,
    )
    now = time.monotonic_ns()
    core.handle(now, all_peers_alive(size))

    def wake(_: int) -> None:
        core.handle(max(now, core.wake_at), Wake())

    return mean_cpu_s(wake, REPETITIONS) * 1e6
