"""Leases of a modelled tier: the time without an owner, the messages, and randomized runs under faults.

    python -m benchmarks.ownership gaps         # s without an owner after a crash, a planned end, a cut
    python -m benchmarks.ownership messages     # datagrams per second by numbers of nodes and tasks
    python -m benchmarks.ownership evenings [N] # N runs with crashes, stalls and cuts (default: 10,000)

Seeds start at 1000: they serve for evaluation alone, not for development or tuning. All nodes learn of a
crash 4 s after it.
"""

from __future__ import annotations

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from random import Random
from statistics import median

from driftstair.model.tier.ownership import Fleet
from driftstair.model.tier.world import Link
from driftstair.tier.ownership.leases import TERMS

FIRST_SEED = 1000
SETTLING_TIME_S = TERMS.voter_lease_ns() / 1e9 + 4.0


def settled_fleet(
    count: int, seed: int, tasks: tuple[str, ...] = ("work",), link: Link | None = None
) -> Fleet:
    """Returns a fleet that has run for `SETTLING_TIME_S`."""
    fleet = Fleet(count, seed, tasks, link or Link())
    fleet.world.run(SETTLING_TIME_S)
    return fleet


def measure_gap(job: tuple[str, int, float, int]) -> float:
    """Returns the time in s from a fault at the owner until the task has another owner."""
    fault, count, loss, seed = job
    fleet = settled_fleet(count, seed, link=Link(loss=loss))
    fleet.until_owned(30.0)
    (owner,) = fleet.owners()
    fleet.world.run(Random(seed).uniform(0, 2.0))
    if fault == "crash":
        fleet.crash(owner)
    elif fault == "planned end":
        fleet.world.hosts[owner].detector.leave()  # type: ignore[union-attr]
    else:
        fleet.world.cut = lambda source, target: owner in (source, target)
        while fleet.owners() == [owner]:
            fleet.world.run(0.02)
        return fleet.until_owned(60.0)
    return fleet.until_owned(60.0)


def measure_gaps(workers: int) -> None:
    """Prints a table of the gaps by number of nodes, fault and loss."""
    print("| nodes | what | loss | s without an owner: median, 99th percentile, worst of 200 |")
    print("|---|---|---|---|", flush=True)
    with ProcessPoolExecutor(workers) as pool:
        for count in (5, 20, 200):
            for fault in ("crash", "planned end", "cut off"):
                for loss in (0.0, 0.1):
                    jobs = [(fault, count, loss, FIRST_SEED + seed) for seed in range(200)]
                    gaps_s = sorted(pool.map(measure_gap, jobs, chunksize=10))
                    print(f"| {count} | {fault} | {loss:.0%} | {median(gaps_s):.2f}, {gaps_s[197]:.2f}, "
                          f"{gaps_s[-1]:.2f} |", flush=True)  # fmt: skip


def measure_messages(job: tuple[int, int]) -> tuple[float, float]:
    """Returns the datagrams per second that a node sends, on average and at most."""
    count, tasks = job
    fleet = settled_fleet(count, FIRST_SEED, tuple(f"t{task}" for task in range(tasks)))
    datagrams_before = [host.datagrams_out for host in fleet.world.hosts]
    fleet.world.run(20.0)
    datagrams_per_s = [
        (host.datagrams_out - previous) / 20
        for host, previous in zip(fleet.world.hosts, datagrams_before, strict=True)
    ]
    return sum(datagrams_per_s) / count, max(datagrams_per_s)


def run_seed(seed: int) -> tuple[int, int, float]:
    """Runs one seed of random faults.

    Returns the number of leases; how often two nodes owned the task or a token did not rise; and the fraction
    of samples without an owner among those in which a majority of the voters were running and connected. A
    voter that does not vote yet after a start counts as running.
    """
    random = Random(seed)
    count = random.choice((3, 5, 7, 9))
    link = Link(
        loss=random.choice((0.0, 0.1, 0.3)), duplicate=0.1, max_delay_ns=random.choice((20, 300)) * 1_000_000
    )
    fleet = Fleet(count, seed, link=link)
    world, violations, unowned_samples, samples = fleet.world, 0, 0, 0
    cut_off: set[int] = set()
    for _ in range(40):
        node = random.randrange(count)
        fault_kind = random.randrange(7)
        if fault_kind == 0 and world.is_running(node):
            fleet.crash(node)
        elif fault_kind <= 2 and not world.is_running(node):
            fleet.start(node)
        elif fault_kind == 3:
            world.stop(node)
        elif fault_kind <= 5 and world.hosts[node].stopped:
            world.resume(node)
        elif fault_kind == 6:
            cut_off = set(random.sample(range(count), random.randrange(count // 2 + 1)))
            cut_both_directions = random.random() < 0.5
            cut_nodes = frozenset(cut_off)
            world.cut = (
                (lambda source, target, cut_nodes=cut_nodes:  # type: ignore[misc]
                    (source in cut_nodes) != (target in cut_nodes)) if cut_both_directions
                else (lambda source, target, cut_nodes=cut_nodes: source in cut_nodes)  # type: ignore[misc]
            )  # fmt: skip
        for _ in range(8):
            world.run(random.uniform(0.05, 0.6))
            owners = fleet.owners()
            violations += len(owners) > 1
            voters = [voter for voter in range(min(count, 7))
                      if voter not in cut_off and world.is_running(voter)
                      and not world.hosts[voter].stopped]  # fmt: skip
            if len(voters) > min(count, 7) // 2:
                samples, unowned_samples = samples + 1, unowned_samples + (not owners)
    tokens = [lease.token for lease in fleet.leases]
    violations += tokens != sorted(set(tokens))
    return len(tokens), violations, unowned_samples / max(1, samples)


def run_seeds(workers: int, run_count: int) -> None:
    """Runs so many seeds in parallel and prints their sums."""
    with ProcessPoolExecutor(workers) as pool:
        results = list(pool.map(run_seed, range(FIRST_SEED, FIRST_SEED + run_count), chunksize=50))
    unowned_fractions = sorted(result[2] for result in results)
    lease_count, violations = sum(result[0] for result in results), sum(result[1] for result in results)
    print(f"{run_count} evenings: {lease_count} leases, {violations} times two owners or a token that fell; "
          "without an owner while a majority heard itself, of the time: "
          f"median {median(unowned_fractions):.0%}, "
          "99th percentile "
          f"{unowned_fractions[int(0.99 * run_count)]:.0%}")  # fmt: skip


def main() -> None:
    """Runs the benchmark that the first argument names."""
    benchmark, workers = (sys.argv[1:] or ["gaps"])[0], max(1, (os.cpu_count() or 2) // 2)
    if benchmark == "gaps":
        measure_gaps(workers)
    elif benchmark == "messages":
        for count in (5, 20, 200):
            for tasks in (1, 10, 100):
                mean_per_s, max_per_s = measure_messages((count, tasks))
                print(f"{count} nodes, {tasks} tasks: {mean_per_s:.2f} datagrams a second a node, "
                      f"{max_per_s:.2f} at most", flush=True)  # fmt: skip
    elif benchmark == "evenings":
        run_seeds(workers, int(sys.argv[2]) if len(sys.argv) > 2 else 10_000)
    else:
        raise SystemExit(f"{benchmark}: expected gaps, messages or evenings")


if __name__ == "__main__":
    main()
