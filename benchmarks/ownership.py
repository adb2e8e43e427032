"""One owner at a time: how long a task has none, what that costs, and random evenings, in a modelled tier.

    python -m benchmarks.ownership gaps         # s without an owner after a crash, a planned end, a cut
    python -m benchmarks.ownership messages     # datagrams a second by nodes and tasks
    python -m benchmarks.ownership evenings [N] # of crashes, stalls and cuts (left out: 10,000)

Seeds from 1000 on; nothing was found or set on these. Who lives is told 4 s after a crash.
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
SETTLED = TERMS.voter_lease_ns() / 1e9 + 4.0


def settled(count: int, seed: int, tasks: tuple[str, ...] = ("work",), link: Link | None = None) -> Fleet:
    play = Fleet(count, seed, tasks, link or Link())
    play.world.run(SETTLED)
    return play


def gap(play: tuple[str, int, float, int]) -> float:
    """s until the task has another owner."""
    what, count, loss, seed = play
    fleet = settled(count, seed, link=Link(loss=loss))
    fleet.until_owned(30.0)
    (owner,) = fleet.owners()
    fleet.world.run(Random(seed).uniform(0, 2.0))
    if what == "crash":
        fleet.crash(owner)
    elif what == "planned end":
        fleet.world.hosts[owner].detector.leave()  # type: ignore[union-attr]
    else:
        fleet.world.cut = lambda source, target: owner in (source, target)
        while fleet.owners() == [owner]:
            fleet.world.run(0.02)
        return fleet.until_owned(60.0)
    return fleet.until_owned(60.0)


def gaps(workers: int) -> None:
    print("| nodes | what | loss | s without an owner: median, 99th percentile, worst of 200 |")
    print("|---|---|---|---|", flush=True)
    with ProcessPoolExecutor(workers) as pool:
        for count in (5, 20, 200):
            for what in ("crash", "planned end", "cut off"):
                for loss in (0.0, 0.1):
                    plays = [(what, count, loss, FIRST_SEED + seed) for seed in range(200)]
                    found = sorted(pool.map(gap, plays, chunksize=10))
                    print(f"| {count} | {what} | {loss:.0%} | {median(found):.2f}, {found[197]:.2f}, "
                          f"{found[-1]:.2f} |", flush=True)  # fmt: skip


def messages(play: tuple[int, int]) -> tuple[float, float]:
    """Datagrams a second that a node sends, on average and at most."""
    count, tasks = play
    fleet = settled(count, FIRST_SEED, tuple(f"t{number}" for number in range(tasks)))
    before = [host.datagrams_out for host in fleet.world.hosts]
    fleet.world.run(20.0)
    sent = [(host.datagrams_out - one) / 20 for host, one in zip(fleet.world.hosts, before, strict=True)]
    return sum(sent) / count, max(sent)


def evening(seed: int) -> tuple[int, int, float]:
    """Leases had; times that two had the task or a token did not rise; and of the time in which a majority of
    the voters ran and heard each other, some silent after a start, the part in which nobody had it."""
    random = Random(seed)
    count = random.choice((3, 5, 7, 9))
    link = Link(
        loss=random.choice((0.0, 0.1, 0.3)), duplicate=0.1, max_delay_ns=random.choice((20, 300)) * 1_000_000
    )
    fleet = Fleet(count, seed, link=link)
    world, wrong, idle, looked = fleet.world, 0, 0, 0
    apart: set[int] = set()
    for _ in range(40):
        number = random.randrange(count)
        kind = random.randrange(7)
        if kind == 0 and world.is_running(number):
            fleet.crash(number)
        elif kind <= 2 and not world.is_running(number):
            fleet.start(number)
        elif kind == 3:
            world.stop(number)
        elif kind <= 5 and world.hosts[number].stopped:
            world.resume(number)
        elif kind == 6:
            apart = set(random.sample(range(count), random.randrange(count // 2 + 1)))
            both = random.random() < 0.5
            some = frozenset(apart)
            world.cut = (
                (lambda source, target, some=some: (source in some) != (target in some)) if both  # type: ignore[misc]
                else (lambda source, target, some=some: source in some)  # type: ignore[misc]
            )  # fmt: skip
        for _ in range(8):
            world.run(random.uniform(0.05, 0.6))
            owners = fleet.owners()
            wrong += len(owners) > 1
            voters = [one for one in range(min(count, 7)) if one not in apart and world.is_running(one)
                       and not world.hosts[one].stopped]  # fmt: skip
            if len(voters) > min(count, 7) // 2:
                looked, idle = looked + 1, idle + (not owners)
    tokens = [one.token for one in fleet.leases]
    wrong += tokens != sorted(set(tokens))
    return len(tokens), wrong, idle / max(1, looked)


def evenings(workers: int, number: int) -> None:
    with ProcessPoolExecutor(workers) as pool:
        found = list(pool.map(evening, range(FIRST_SEED, FIRST_SEED + number), chunksize=50))
    idle = sorted(one[2] for one in found)
    leases, wrong = sum(one[0] for one in found), sum(one[1] for one in found)
    print(f"{number} evenings: {leases} leases, {wrong} times two owners or a token that fell; without "
          f"an owner while a majority heard itself, of the time: median {median(idle):.0%}, 99th percentile "
          f"{idle[int(0.99 * number)]:.0%}")  # fmt: skip


def main() -> None:
    what, workers = (sys.argv[1:] or ["gaps"])[0], max(1, (os.cpu_count() or 2) // 2)
    if what == "gaps":
        gaps(workers)
    elif what == "messages":
        for count in (5, 20, 200):
            for tasks in (1, 10, 100):
                mean, most = messages((count, tasks))
                print(f"{count} nodes, {tasks} tasks: {mean:.2f} datagrams a second a node, "
                      f"{most:.2f} at most", flush=True)  # fmt: skip
    elif what == "evenings":
        evenings(workers, int(sys.argv[2]) if len(sys.argv) > 2 else 10_000)
    else:
        raise SystemExit(f"{what}: gaps, messages or evenings would do")


if __name__ == "__main__":
    main()
