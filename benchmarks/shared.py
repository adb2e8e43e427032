"""Facts that the nodes of a tier share: delay and cost of their spread, and the effect of shared judgements.

    python -m benchmarks.shared facts       # s until 99% of nodes know a fact, datagrams and bytes, by size
    python -m benchmarks.shared judge       # attempts at a failing server, with shared judgements and without
    python -m benchmarks.shared memory      # of a store of facts, by number of servers and reporters
    python -m benchmarks.shared real N      # N processes: use of a budget, a failing server, cost at rest
    python -m benchmarks.shared request     # CPU of a request with the tier and shared facts, and without

`facts` and `judge` run in virtual time. Seeds start at 1000: they serve for evaluation alone, not
for development or tuning.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

from driftstair.tier.shared import wire
from driftstair.tier.shared.facts import EVIDENCE, LOAD, NS_PER_MS, Fact, FactStore
from driftstair.tier.shared.gossip import ROUND_NS, Gossip

FIRST_SEED, SEED_COUNT = 1000, 20
WARM_UP_NS = 3_000 * NS_PER_MS  # ns
HEADER_BYTES = 45  # of a datagram without its items, approximately
EVIDENCE_VALUE = (9, 5, 0, 20, 2)


def run_spread(job: tuple[int, float, int]) -> tuple[float, float, float]:
    """Spreads one fact of a node while all nodes also publish their load.

    Returns the s until 99% of the nodes know the fact, and the datagrams and bytes per second and node until
    then.
    """
    count, loss, seed = job
    random = Random(seed)
    nodes = [
        Gossip(FactStore(number, 1, Random(f"{seed}/{number}")), Random(f"{seed}/g{number}"),
               lambda number=number: [peer for peer in range(count) if peer != number], Counter())
        for number in range(count)
    ]  # fmt: skip
    now, known_after_s, datagram_count, byte_count = 0, float("inf"), 0, 0
    load_rounds = [random.randrange(40) for _ in range(count)]  # each node publishes its load every 10 s
    while now < WARM_UP_NS + 5_000 * NS_PER_MS:
        if now == WARM_UP_NS:
            nodes[0].facts.publish(now, EVIDENCE, 7, EVIDENCE_VALUE, count)
            datagram_count = byte_count = 0
        now += ROUND_NS
        for number, node in enumerate(nodes):
            if now // ROUND_NS % 40 == load_rounds[number]:
                node.facts.publish(now, LOAD, 0, (0, 50, 3, 9, 0), count)
        inbox: list[tuple[int, int, wire.Item]] = []
        for number, node in enumerate(nodes):
            inbox += [(number, *message) for message in node.tick(now)]
        while inbox:
            by_pair: dict[tuple[int, int], list[wire.Item]] = {}
            for source, target, item in inbox:
                by_pair.setdefault((source, target), []).append(item)
            inbox = []
            for (source, target), items in by_pair.items():
                for data in wire.pack_items(items):
                    datagram_count, byte_count = datagram_count + 1, byte_count + HEADER_BYTES + len(data)
                    if random.random() >= loss:
                        for item in wire.unpack_items(data)[0]:
                            inbox += [
                                (target, *message) for message in nodes[target].handle_item(now, source, item)
                            ]
        informed_nodes = sum(bool(node.facts.read(now, EVIDENCE, 7)) for node in nodes)
        if informed_nodes >= 0.99 * count:
            known_after_s = (now - WARM_UP_NS) / 1e9
            break
    elapsed_s = (now - WARM_UP_NS) / 1e9
    return known_after_s, datagram_count / count / elapsed_s, byte_count / count / elapsed_s


def measure_spread(workers: int) -> None:
    """Prints a table of the spread by number of nodes and loss."""
    print("| nodes | loss | s until 99% know: median, worst | datagrams/s a node meanwhile | B/s |")
    print("|---|---|---|---|---|", flush=True)
    with ProcessPoolExecutor(workers) as pool:
        for count, seeds in ((20, SEED_COUNT), (200, SEED_COUNT), (1000, 4)):
            for loss in (0.0, 0.1, 0.3):
                results = list(
                    pool.map(run_spread, [(count, loss, FIRST_SEED + seed) for seed in range(seeds)])
                )
                times_s = sorted(result[0] for result in results)
                print(f"| {count} | {loss:.0%} | {median(times_s):.2f}, {times_s[-1]:.2f} "
                      f"| {median(result[1] for result in results):.1f} | "
                      f"{median(result[2] for result in results):.0f} |",
                      flush=True)  # fmt: skip


def run_failing_server(job: tuple[bool, int]) -> tuple[int, int, float]:
    """Runs the scenario with a failing server, with shared judgements or without.

    Returns the requests that the failing server handled while it failed, the number of servers that were
    wrongly held back, and the service.
    """
    from driftstair.rehearsal import virtual
    from driftstair.rehearsal.load import load
    from driftstair.rehearsal.report import build

    judge, seed = job
    nodes = 24
    settings: dict[str, Any] = {
        "seed": seed, "seconds": 45, "nodes": {"count": nodes, "tier": {"judge": judge}},
        "boxes": {"count": 16}, "load": {"rate": 320.0},
    }  # fmt: skip
    handled_counts: list[int] = []

    def prepare(rehearsal: Any) -> None:
        for at_s in (15.0, 35.0):
            rehearsal.clients_machine.loop.call_later(
                at_s, lambda: handled_counts.append(rehearsal.boxes["s-03"].handled)
            )

    rehearsal, log, _ = virtual.run_scenario(load("shared-bad-eighth", settings), prepare=prepare)
    report = build.build(rehearsal, log, "virtual")
    wrongly_held_back = sum(entry["server"] != "s-03" for entry in report["tier"]["held_back"])
    return handled_counts[1] - handled_counts[0], wrongly_held_back, report["service"]


def measure_memory() -> None:
    """Prints the memory of one store by the number of servers and reporters."""
    for servers, reporters in ((20, 20), (200, 200), (1000, 200)):
        tracemalloc.start()
        store = FactStore(0, 1, Random(0))
        version = 0
        for server in range(servers):
            for owner in range(1, reporters):
                version += 1
                store.merge(0, Fact(owner, 1, version, EVIDENCE, server, 0, EVIDENCE_VALUE), reporters)
                if version >= 20_000:
                    break
        print(f"{servers} servers x {reporters} reporters: {len(store)} facts held, "
              f"{store.evicted_count} dropped, "
              f"{tracemalloc.get_traced_memory()[0] / 1e6:.1f} MB")  # fmt: skip
        tracemalloc.stop()


async def _measure_request() -> None:
    """Compares two nodes of the same build, one in a tier of three that shares judgements and a budget."""
    sys.path[:0] = ["tests", "tests/tier"]
    from fleet import Fleet
    from rig import Client, Server, request

    from benchmarks.membership import _process_cpu_s

    tier_table = (
        'judge = true\n[tier.budgets.all]\nper_s = 100000.0\n[[route]]\nname = "all"\n'
        'admit = { rate = { fleet = "all" } }\n'
    )
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), 4, tier_table, period="1s") as fleet, Server("s0") as server:
            fleet.servers.append(server)
            tier_service = fleet.service.read_text()
            await fleet.start(0, 1, 2)
            await fleet.wait_for_state((1, 2), "alive", by=(0,))
            fleet.service.write_text(
                'version = 1\n[[route]]\nname = "all"\nadmit = { rate = { per_s = 1e5, burst = 1000.0 } }\n'
            )
            await fleet.start(3)
            await fleet.wait_until(lambda: 3 in fleet.addresses)
            fleet.service.write_text(tier_service)
            clients = {
                node: Client(*await asyncio.open_connection(*fleet.addresses[node])) for node in (0, 3)
            }
            cpu_spent_s: dict[int, float] = {0: 0.0, 3: 0.0}
            for round_number in range(21):
                for node, client in clients.items():
                    cpu_before_s = _process_cpu_s(fleet.process(node).pid)
                    for _ in range(1500):
                        await client.ask(request())
                    if round_number:  # the first round warms both up
                        cpu_spent_s[node] += _process_cpu_s(fleet.process(node).pid) - cpu_before_s
            us_per_request = 1e6 / (20 * 1500)
            print(f"CPU of a request: {cpu_spent_s[3] * us_per_request:.1f} us without, "
                  f"{cpu_spent_s[0] * us_per_request:.1f} us with: "
                  f"{cpu_spent_s[0] / cpu_spent_s[3]:.3f} times")  # fmt: skip


async def _measure_processes(count: int) -> None:
    """Measures real processes.

    A tenth of the nodes receive requests as fast as they answer, and a budget of 2 tokens per second and node
    admits them. Then one of six servers fails.
    """
    sys.path[:0] = ["tests", "tests/tier"]
    from fleet import Fleet
    from rig import Server, answer, sends
    from test_judgements_processes import FAILING_SERVER, SERVER_NAMES, hold_back_spans
    from traffic import Traffic

    from benchmarks.membership import _process_cpu_s

    tokens_per_s, busy_nodes = 2.0 * count, range(0, count, max(1, min(10, count // 6)))
    tier_table = (
        f'judge = true\n[tier.budgets.b]\nper_s = {tokens_per_s}\nburst = "5s"\n'
        '[[route]]\nname = "all"\nadmit = { rate = { fleet = "b" } }\n'
    )
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            servers = {name: await stack.enter_async_context(Server(name)) for name in SERVER_NAMES}
            fleet = await stack.enter_async_context(Fleet(Path(folder), count, tier_table, period="1s"))
            fleet.servers = list(servers.values())
            for first_node in range(0, count, 10):
                await fleet.start(*range(first_node, min(count, first_node + 10)))
                await asyncio.sleep(0.5)
            await fleet.wait_joined()
            await asyncio.sleep(6.0)  # until loans from before the start have expired
            pids = [fleet.process(node).pid for node in range(count)]
            cpu_before_s, measured_since_s = sum(map(_process_cpu_s, pids)), time.monotonic()
            await asyncio.sleep(10.0)
            idle_cpu_fraction = (
                (sum(map(_process_cpu_s, pids)) - cpu_before_s)
                / count
                / (time.monotonic() - measured_since_s)
            )
            traffic = Traffic(fleet)
            traffic.start_clients(*busy_nodes)
            await asyncio.sleep(5.0)
            start_ns = time.monotonic_ns()
            await asyncio.sleep(15.0)
            end_ns = time.monotonic_ns()
            tokens_spent = sum(
                event["event"] == "spend" and start_ns <= event["t_ns"] < end_ns for event in fleet.events()
            )
            failed_at_ns = time.monotonic_ns()
            servers[FAILING_SERVER].script = sends(answer(500))

            def judgement_times_ns() -> list[int]:
                return sorted(
                    judgement.begin
                    for judgement in hold_back_spans(fleet)
                    if judgement.server == FAILING_SERVER
                )

            await fleet.wait_until(lambda: len(judgement_times_ns()) >= len(busy_nodes))
            first_after_s, all_after_s = (
                (time_ns - failed_at_ns) / 1e9
                for time_ns in (judgement_times_ns()[0], judgement_times_ns()[len(busy_nodes) - 1])
            )
            wrongly_held_back = {judgement.server for judgement in hold_back_spans(fleet)} - {FAILING_SERVER}
            await traffic.stop_clients()
            print(json.dumps({
                "nodes": count, "asked": len(busy_nodes), "of the budget used": round(
                    tokens_spent / (tokens_per_s * (end_ns - start_ns) / 1e9), 3),
                "cpu of a core at rest, a node": round(idle_cpu_fraction, 5),
                "held back by the first, s": round(first_after_s, 2),
                f"by {len(busy_nodes)}, s": round(all_after_s, 2),
                "others held back": sorted(wrongly_held_back),
            }))  # fmt: skip


def main() -> None:
    """Runs the benchmark that the first argument names."""
    benchmark, workers = (sys.argv[1:] or ["facts"])[0], max(1, (os.cpu_count() or 2) // 2)
    if benchmark == "facts":
        measure_spread(workers)
    elif benchmark == "judge":
        with ProcessPoolExecutor(workers) as pool:
            for judge in (False, True):
                rows = list(pool.map(run_failing_server, [(judge, FIRST_SEED + seed) for seed in range(8)]))
                print(f"judge = {judge}: tries at the failing server {[row[0] for row in rows]}, "
                      f"others held back {sum(row[1] for row in rows)}, "
                      f"service {[round(row[2], 4) for row in rows]}")  # fmt: skip
    elif benchmark == "memory":
        measure_memory()
    elif benchmark == "request":
        asyncio.run(_measure_request())
    elif benchmark == "real":
        asyncio.run(_measure_processes(int(sys.argv[2])))
    else:
        raise SystemExit(f"{benchmark}: expected facts, judge, memory, request or real")


if __name__ == "__main__":
    main()
