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

NS_PER_S = 1_000_000_000
REQUESTS_PER_S = 200
WINDOW_TIMER_TOKEN = 1  # of the balancer's timer for the end of a window


def make_settings(nodes: int) -> api.Settings:
    """Returns the settings of one node of a fleet of `nodes`, with a single class."""
    request_class = api.RequestClass(NS_PER_S // 2, 1.0, 0.0, api.Repeat.SAFE)
    return api.Settings(
        classes=(request_class,), tenants=(), nodes=nodes, list_mode=api.ListMode.PUSHED,
        ask_within=10 * NS_PER_S, cold_share=0.15, cold_time=20 * NS_PER_S, max_attempts=3,
        max_retry_after=2 * NS_PER_S, retry_after=True,
        worth_by_work=False, report_fields=("utilization",), idle_close=15 * NS_PER_S,
    )  # fmt: skip


class DrivenNode:
    """A balancer that is driven in simulated time, with a list of servers that are all ready."""

    def __init__(self, servers: int, nodes: int) -> None:
        self.balancer = Balancer(make_settings(nodes), seed=1)
        self.now = 77 * NS_PER_S
        self.balancer.start(self.now)
        entries = tuple(
            api.Server(server.to_bytes(8, "big"), 0, 0, api.ServerState.READY, 1.0, 0)
            for server in range(servers)
        )
        self.balancer.handle(self.now, api.ServerList(api.ListKind.FULL, entries))
        self.last_request = 0
        self.random = Random(5)

    def run(self, requests: int) -> tuple[int, int]:
        """Runs so many requests, and returns the ns spent on requests and on timers."""
        request_ns = timer_ns = 0
        for _ in range(requests):
            self.last_request += 1
            self.now += NS_PER_S // REQUESTS_PER_S
            key, fails = self.random.randrange(1, 1500), self.random.random() < 0.05
            start_ns = perf_counter_ns()
            actions = self.balancer.handle(
                self.now, api.Request(self.last_request, 9 * NS_PER_S, 0, 0, key, False)
            )
            attempt = 0
            while isinstance(actions[-1], api.Send):
                result = Result.RESET if fails and not attempt else Result.OK
                outcome = api.Outcome(
                    self.last_request,
                    result is Result.OK,
                    result,
                    NS_PER_S // 20,
                    actions[-1].server,
                    attempt,
                    (0.5,),
                )
                attempt += 1
                actions = self.balancer.handle(self.now, outcome) or [api.Fail(self.last_request)]
            request_ns += perf_counter_ns() - start_ns
            if self.last_request % (REQUESTS_PER_S // 2) == 0:
                start_ns = perf_counter_ns()
                self.balancer.handle(self.now, api.Timer(WINDOW_TIMER_TOKEN))
                timer_ns += perf_counter_ns() - start_ns
        return request_ns, timer_ns


def main() -> None:
    """Measures all sizes and prints a row for each."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--servers", type=int, nargs="+", default=[12, 60, 240, 960])
    parser.add_argument("--nodes", type=int, nargs="+", default=[2, 40])
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    sizes = [(nodes, servers) for nodes in options.nodes for servers in options.servers]
    nodes_by_size = {size: DrivenNode(size[1], size[0]) for size in sizes}
    times_by_size: defaultdict[tuple[int, int], list[tuple[int, int]]] = defaultdict(list)
    for _ in range(options.rounds):
        for size in sizes:
            times_by_size[size].append(nodes_by_size[size].run(options.requests))
    print(f"{'nodes':>6}{'servers':>9}{'request us':>12}{'request x':>11}{'with timers us':>16}")
    for nodes, servers in sizes:
        request_us = (
            median(request_ns for request_ns, _ in times_by_size[nodes, servers]) / options.requests / 1000
        )
        timer_us = median(timer_ns for _, timer_ns in times_by_size[nodes, servers]) / options.requests / 1000
        baseline_us = (
            median(request_ns for request_ns, _ in times_by_size[nodes, options.servers[0]])
            / options.requests
            / 1000
        )
        print(
            f"{nodes:>6}{servers:>9}{request_us:>12.1f}{request_us / baseline_us:>11.2f}"
            f"{request_us + timer_us:>16.1f}"
        )


if __name__ == "__main__":
    main()
