"""What is used of a fleet's budget, what it costs, and by how much it is overspent: three ways side by side.

    python -m benchmarks.budgets [NODES ...]     # left out: 20 200; 20 seeds each, on several cores

A tenth of the nodes want half as much again as there is. Then halves don't hear each other for 20 s, then
half of the nodes are lost at once. Seeds from 1000 on; nothing was found or set on these.
"""

from __future__ import annotations

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import mean

from driftstair.model.tier.budgets import WAYS, Fleet
from driftstair.model.tier.world import SECOND
from driftstair.tier.shared.budget import BudgetSpec

FIRST_SEED, SEEDS = 1000, 20
EACH = 2.0  # tokens a second for each node
BURST = 5 * SECOND

Play = tuple[str, int, int]  # way, nodes, seed
Row = tuple[float, float, float, float, float]


def one(play: Play) -> Row:
    """Used; used in the first 5 s after half are lost, and in the 10 s after; over; bytes a second a node."""
    way, count, seed = play
    per_s, random = EACH * count, Random(seed)
    busy = random.sample(range(count), max(1, count // 10))
    fleet = Fleet(
        way, count, seed, BudgetSpec("b", per_s, BURST), dict.fromkeys(busy, 1.5 * per_s / len(busy))
    )
    fleet.world.run(15.0)
    before = sum(host.bytes_out for host in fleet.world.hosts)
    used = fleet.use(20.0)
    sent = (sum(host.bytes_out for host in fleet.world.hosts) - before) / 20 / count
    fleet.cut(set(random.sample(range(count), count // 2)))
    fleet.world.run(20.0)
    fleet.cut(set())
    fleet.world.run(10.0)
    idle = [number for number in range(count) if number not in busy]
    fleet.crash(random.sample(idle, count // 2))
    return used, fleet.use(5.0), fleet.use(10.0), fleet.most_over(), sent


def main() -> None:
    counts = [int(word) for word in sys.argv[1:]] or [20, 200]
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        for count in counts:
            allowed = EACH * count * BURST / SECOND
            for way in WAYS:
                rows = list(pool.map(one, [(way, count, FIRST_SEED + seed) for seed in range(SEEDS)]))
                used, first, later, over, sent = zip(*rows, strict=True)
                print(
                    f"| {count} nodes, {way} | {mean(used):.2f} ({min(used):.2f}) | {mean(first):.2f}, "
                    f"{mean(later):.2f} | {max(over):.0f} of {allowed:.0f} | {mean(sent):.0f} |", flush=True,
                )  # fmt: skip


if __name__ == "__main__":
    main()
