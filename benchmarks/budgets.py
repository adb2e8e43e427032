"""Compares three strategies of sharing a fleet's budget: the used part, the traffic and the overspending.

    python -m benchmarks.budgets [NODES ...]     # default: 20 200; 20 seeds each, on several cores

A tenth of the nodes demand 1.5 times the whole budget. Then the halves of the fleet are cut off from each
other for 20 s, and at last half of the nodes crash at the same time. Seeds start at 1000: they serve for
evaluation alone, not for development or tuning.
"""

from __future__ import annotations

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import mean

from driftstair.model.tier.budgets import STRATEGIES, Fleet
from driftstair.model.tier.world import NS_PER_S
from driftstair.tier.shared.budget import BudgetSpec

FIRST_SEED, SEED_COUNT = 1000, 20
TOKENS_PER_NODE_S = 2.0  # tokens per second and node
BURST_NS = 5 * NS_PER_S

Job = tuple[str, int, int]  # strategy, number of nodes, seed
JobResult = tuple[float, float, float, float, float]  # as run_job returns it


def run_job(job: Job) -> JobResult:
    """Runs one seed of a strategy.

    Returns the fraction of the budget used at first, in the 5 s after half of the nodes crashed and in the
    10 s after that; the largest overspending in tokens; and the bytes sent per second and node.
    """
    strategy, node_count, seed = job
    tokens_per_s, random = TOKENS_PER_NODE_S * node_count, Random(seed)
    busy_nodes = random.sample(range(node_count), max(1, node_count // 10))
    fleet = Fleet(
        strategy,
        node_count,
        seed,
        BudgetSpec("b", tokens_per_s, BURST_NS),
        dict.fromkeys(busy_nodes, 1.5 * tokens_per_s / len(busy_nodes)),
    )
    fleet.world.run(15.0)
    bytes_before = sum(host.bytes_out for host in fleet.world.hosts)
    used_fraction = fleet.used_fraction(20.0)
    bytes_per_node_s = (sum(host.bytes_out for host in fleet.world.hosts) - bytes_before) / 20 / node_count
    fleet.cut(set(random.sample(range(node_count), node_count // 2)))
    fleet.world.run(20.0)
    fleet.cut(set())
    fleet.world.run(10.0)
    idle_nodes = [node for node in range(node_count) if node not in busy_nodes]
    fleet.crash(random.sample(idle_nodes, node_count // 2))
    return (
        used_fraction,
        fleet.used_fraction(5.0),
        fleet.used_fraction(10.0),
        fleet.max_overspend(),
        bytes_per_node_s,
    )


def main() -> None:
    """Prints a row of a Markdown table for each number of nodes and strategy."""
    node_counts = [int(argument) for argument in sys.argv[1:]] or [20, 200]
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        for node_count in node_counts:
            max_allowed_tokens = TOKENS_PER_NODE_S * node_count * BURST_NS / NS_PER_S
            for strategy in STRATEGIES:
                results = list(
                    pool.map(
                        run_job, [(strategy, node_count, FIRST_SEED + seed) for seed in range(SEED_COUNT)]
                    )
                )
                used_fractions, used_after_loss, used_later, overspends, bytes_per_node_s = zip(
                    *results, strict=True
                )
                print(
                    f"| {node_count} nodes, {strategy} | {mean(used_fractions):.2f} "
                    f"({min(used_fractions):.2f}) | {mean(used_after_loss):.2f}, "
                    f"{mean(used_later):.2f} | {max(overspends):.0f} of {max_allowed_tokens:.0f} | "
                    f"{mean(bytes_per_node_s):.0f} |", flush=True,
                )  # fmt: skip


if __name__ == "__main__":
    main()
