"""What a request's decisions cost, by how many servers and nodes there are: ratios within one run.

    python benchmarks/decisions.py [--servers 12 60 240 960] [--nodes 2 40] [--requests 4000] [--rounds 5]

Each request arrives with a key, is sent, and its outcome comes; one in twenty fails and is sent again. The
module's own timer runs twice a second, at 200 requests a second. `request` is the median
round's time for each request without the timers, `with timers` with them; `request x` is its ratio to that of
the fewest servers. Rounds take the sizes in turn, so that a slow moment of the machine meets all of them.
"""

from __future__ import annotations

import argparse
import sys
from collections import defaultdict
from pathlib import Path
from random import Random
from statistics import median
from time import perf_counter_ns

sys.path.insert(0, str(Path(__file__).parents[1]))

from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.interface import Result

SECOND = 1_000_000_000
RATE = 200  # requests a second at a node
TICK = 1  # the module's token for the end of a window


def settings(nodes: int) -> api.Settings:
    kind = api.RequestClass(SECOND // 2, 1.0, 0.0, api.Repeat.SAFE)
    return api.Settings(
        classes=(kind,), tenants=(), nodes=nodes, list_mode=api.ListMode.PUSHED, ask_within=10 * SECOND,
        cold_share=0.15, cold_time=20 * SECOND, max_attempts=3, max_retry_after=2 * SECOND, retry_after=True,
        worth_by_work=False, report_fields=("utilization",), idle_close=15 * SECOND,
    )  # fmt: skip


class Driven:
    def __init__(self, servers: int, nodes: int) -> None:
        self.balancer = Balancer(settings(nodes), seed=1)
        self.now = 77 * SECOND
        self.balancer.start(self.now)
        entries = tuple(
            api.Server(number.to_bytes(8, "big"), 0, 0, api.ServerState.READY, 1.0, 0)
            for number in range(servers)
        )
        self.balancer.handle(self.now, api.ServerList(api.ListKind.FULL, entries))
        self.number = 0
        self.chance = Random(5)

    def play(self, requests: int) -> tuple[int, int]:
        """ns spent on requests, and on timers."""
        spent = on_timers = 0
        for _ in range(requests):
            self.number += 1
            self.now += SECOND // RATE
            key, fails = self.chance.randrange(1, 1500), self.chance.random() < 0.05
            began = perf_counter_ns()
            done = self.balancer.handle(self.now, api.Request(self.number, 9 * SECOND, 0, 0, key, False))
            attempt = 0
            while isinstance(done[-1], api.Send):
                result = Result.RESET if fails and not attempt else Result.OK
                outcome = api.Outcome(
                    self.number, result is Result.OK, result, SECOND // 20, done[-1].server, attempt, (0.5,)
                )
                attempt += 1
                done = self.balancer.handle(self.now, outcome) or [api.Fail(self.number)]
            spent += perf_counter_ns() - began
            if self.number % (RATE // 2) == 0:
                began = perf_counter_ns()
                self.balancer.handle(self.now, api.Timer(TICK))
                on_timers += perf_counter_ns() - began
        return spent, on_timers


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--servers", type=int, nargs="+", default=[12, 60, 240, 960])
    parser.add_argument("--nodes", type=int, nargs="+", default=[2, 40])
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    sizes = [(nodes, servers) for nodes in options.nodes for servers in options.servers]
    driven = {size: Driven(size[1], size[0]) for size in sizes}
    taken: defaultdict[tuple[int, int], list[tuple[int, int]]] = defaultdict(list)
    for _ in range(options.rounds):
        for size in sizes:
            taken[size].append(driven[size].play(options.requests))
    print(f"{'nodes':>6}{'servers':>9}{'request us':>12}{'request x':>11}{'with timers us':>16}")
    for nodes, servers in sizes:
        one = median(spent for spent, _ in taken[nodes, servers]) / options.requests / 1000
        timers = median(timer for _, timer in taken[nodes, servers]) / options.requests / 1000
        least = median(spent for spent, _ in taken[nodes, options.servers[0]]) / options.requests / 1000
        print(f"{nodes:>6}{servers:>9}{one:>12.1f}{one / least:>11.2f}{one + timers:>16.1f}")


if __name__ == "__main__":
    main()
