"""Slopes by nodes of tasks whose cost grows with the cluster: the collector's scan of its folder, the polls
and answers of the disruption budget controller, the store of outcome reports, and the report for an
operator."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from random import Random

from benchmarks.scale import documents
from benchmarks.scale.meter import mean_cpu_s, measure_step, median_cpu_s
from benchmarks.scale.peers import CLUSTER_KEY, PROBE_PERIOD_NS, all_peers_alive

REPORT_COUNT = 200  # outcome reports that are timed, after the store is filled
REPETITIONS = 20
PERMIT_TERM_NS = 300 * documents.SECOND_NS  # the default of `[tier.permits]`
UNAVAILABLE_MAX = 2  # nodes that may be unavailable at once, as in the example of the operators' page
JUDGED_SERVERS = 10


def prepare_folder(size: int, folder: Path) -> None:
    """Writes a ledger file for each node."""
    for node in range(size):
        folder.joinpath(f"n{node}-00000001.ledger").write_bytes(b"entry\n")


def measure_collector(size: int, folder: Path) -> dict[str, float]:
    """Measures one scan of the collector, which it makes each second, over a folder with a ledger of each
    node."""
    from driftstair.tier.collector import find_ledgers, is_unlocked

    began_s = time.process_time()
    find_ledgers(folder)
    cpu_s = time.process_time() - began_s
    return {
        "scan_cpu_s": cpu_s,  # beside the event loop
        "is_free_us": mean_cpu_s(lambda _: is_unlocked(folder, "n0"), REPETITIONS) * 1e6,
    }


def measure_controller(size: int, folder: Path) -> dict[str, float]:
    """Measures an active controller: its first polls, the answers to them, permit requests after them, timer
    ticks and memory."""
    from driftstair.tier.ownership.disruption_controller import DisruptionController
    from driftstair.tier.ownership.permits import PollReply, RequestPermit, Rules

    living_nodes = {number: (1, number % 8) for number in range(size)}
    controller = DisruptionController(Rules(UNAVAILABLE_MAX, PERMIT_TERM_NS), 0, size, lambda: living_nodes)
    controller.set_token(1, 7)
    polls, poll_cost = measure_step(lambda: controller.tick(2))

    def deliver_answers() -> None:
        for number in living_nodes:
            controller.on_message(3, number, 1, PollReply(7, 0, 0, 0))

    _, answer_cost = measure_step(deliver_answers)
    ask_s = median_cpu_s(
        lambda index: controller.on_message(
            4 + index, index % size, 1, RequestPermit(index + 1, 0, 4 + index)
        ),
        REPETITIONS,
    )
    tick_s = median_cpu_s(lambda index: controller.tick(50 + index), REPETITIONS)
    return {
        "polls": len(polls), "poll_cpu_ms": poll_cost.cpu_s * 1e3,
        "answer_us": answer_cost.cpu_s / size * 1e6,
        "ask_ms": ask_s * 1e3, "tick_ms": tick_s * 1e3, "kept_mb": poll_cost.kept_mb + answer_cost.kept_mb,
    }  # fmt: skip


def measure_reports(size: int, folder: Path) -> dict[str, float]:
    """Measures a store that holds the load of `size` nodes: adding reports of failing servers, reading and
    ticks."""
    from driftstair.tier.shared.facts import EVIDENCE, KINDS, LOAD, Fact, FactStore

    store = FactStore(0, 1, Random(1))
    value = (9, 5, 0, 20, 2)

    def add_loads() -> None:
        for owner in range(1, size):
            store.merge(1, Fact(owner, 1, 1, LOAD, 0, 1, value[: KINDS[LOAD].field_count]), size)

    _, fill_cost = measure_step(add_loads)

    def add_report(index: int) -> None:
        owner = 1 + index * 37 % max(1, size - 1)
        store.merge(2, Fact(owner, 1, 2 + index, EVIDENCE, index % JUDGED_SERVERS, 2, value), size)

    take_s = median_cpu_s(add_report, REPORT_COUNT)
    read_s = median_cpu_s(lambda _: store.by_subject(3, EVIDENCE), REPETITIONS)
    tick_s = median_cpu_s(lambda _: store.remove_expired(3), REPETITIONS)
    return {
        "held": len(store), "dropped": store.evicted_count, "take_us": take_s * 1e6, "read_us": read_s * 1e6,
        "tick_us": tick_s * 1e6, "kept_mb": fill_cost.kept_mb,
    }  # fmt: skip


def prepare_report(size: int, folder: Path) -> None:
    """Writes a configuration with `size` peers."""
    folder.joinpath("old.json").write_text(json.dumps(documents.platform_document(peers=size, nodes=size)))


def measure_report(size: int, folder: Path) -> dict[str, float]:
    """Measures the report that a node gives to `driftstair tier show`."""

    async def run() -> dict[str, float]:
        from driftstair.config import load
        from driftstair.net.system import SOCKET_SYSTEM
        from driftstair.tier import peer_config
        from driftstair.tier.service import Tier

        config = load({"BALANCER_CONFIG": str(folder / "old.json")})
        tier = Tier(config, peer_config.read(config), PROBE_PERIOD_NS, CLUSTER_KEY, None, None, SOCKET_SYSTEM)
        tier._handle_event(all_peers_alive(size))
        return {
            "report_bytes": len(json.dumps(tier.report())),
            "report_hold_ms": median_cpu_s(lambda _: json.dumps(tier.report()), REPETITIONS) * 1e3,
        }

    return asyncio.run(run())
