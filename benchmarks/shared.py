"""How soon all know a fact, what that costs, and what shared judgements spare: in virtual time.

    python -m benchmarks.shared facts       # s until 99% know, datagrams and bytes, by number of nodes
    python -m benchmarks.shared judge       # tries at a failing server, with judgements shared and without
    python -m benchmarks.shared memory      # of a store full of facts, by number of servers and reporters
    python -m benchmarks.shared real N      # N processes: use of a budget, a failing server, cost at rest
    python -m benchmarks.shared request     # CPU of a request with the tier and all of this beside without

Seeds from 1000 on; nothing was found or set on these.
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
from driftstair.tier.shared.facts import EVIDENCE, LOAD, MS, Fact, Facts
from driftstair.tier.shared.gossip import ROUND, Gossip

FIRST_SEED, SEEDS = 1000, 20
WARM = 3_000 * MS  # ns
HEAD = 45  # bytes of a datagram beside its items, about
VALUE = (9, 5, 0, 20, 2)


def spread(play: tuple[int, float, int]) -> tuple[float, float, float]:
    """s until 99% know what a node has seen, while the load of all goes round; datagrams and bytes a second a
    node until then."""
    count, loss, seed = play
    random = Random(seed)
    nodes = [
        Gossip(Facts(one, 1, Random(f"{seed}/{one}")), Random(f"{seed}/g{one}"),
               lambda one=one: [other for other in range(count) if other != one], Counter())
        for one in range(count)
    ]  # fmt: skip
    now, known_at, datagrams, size = 0, float("inf"), 0, 0
    turns = [random.randrange(40) for _ in range(count)]  # each node's load goes round every 10 s
    while now < WARM + 5_000 * MS:
        if now == WARM:
            nodes[0].facts.publish(now, EVIDENCE, 7, VALUE, count)
            datagrams = size = 0
        now += ROUND
        for number, node in enumerate(nodes):
            if now // ROUND % 40 == turns[number]:
                node.facts.publish(now, LOAD, 0, (0, 50, 3, 9, 0), count)
        inbox: list[tuple[int, int, wire.Item]] = []
        for number, node in enumerate(nodes):
            inbox += [(number, *tell) for tell in node.tick(now)]
        while inbox:
            by_pair: dict[tuple[int, int], list[wire.Item]] = {}
            for source, to, item in inbox:
                by_pair.setdefault((source, to), []).append(item)
            inbox = []
            for (source, to), items in by_pair.items():
                for data in wire.pack_items(items):
                    datagrams, size = datagrams + 1, size + HEAD + len(data)
                    if random.random() >= loss:
                        for item in wire.unpack_items(data)[0]:
                            inbox += [(to, *tell) for tell in nodes[to].take(now, source, item)]
        known = sum(bool(node.facts.read(now, EVIDENCE, 7)) for node in nodes)
        if known >= 0.99 * count:
            known_at = (now - WARM) / 1e9
            break
    spent = (now - WARM) / 1e9
    return known_at, datagrams / count / spent, size / count / spent


def facts(workers: int) -> None:
    print("| nodes | loss | s until 99% know: median, worst | datagrams/s a node meanwhile | B/s |")
    print("|---|---|---|---|---|", flush=True)
    with ProcessPoolExecutor(workers) as pool:
        for count, seeds in ((20, SEEDS), (200, SEEDS), (1000, 4)):
            for loss in (0.0, 0.1, 0.3):
                found = list(pool.map(spread, [(count, loss, FIRST_SEED + seed) for seed in range(seeds)]))
                times = sorted(one[0] for one in found)
                print(f"| {count} | {loss:.0%} | {median(times):.2f}, {times[-1]:.2f} "
                      f"| {median(one[1] for one in found):.1f} | {median(one[2] for one in found):.0f} |",
                      flush=True)  # fmt: skip


def tries(play: tuple[bool, int]) -> tuple[int, int, float]:
    """That reach the failing server while it fails; servers held back wrongly; service."""
    from driftstair.rehearsal import virtual
    from driftstair.rehearsal.load import load
    from driftstair.rehearsal.report import build

    judge, seed = play
    nodes = 24
    tree: dict[str, Any] = {
        "seed": seed, "seconds": 45, "nodes": {"count": nodes, "tier": {"judge": judge}},
        "boxes": {"count": 16}, "load": {"rate": 320.0},
    }  # fmt: skip
    handled: list[int] = []

    def prepare(rehearsal: Any) -> None:
        for at in (15.0, 35.0):
            rehearsal.clients_machine.loop.call_later(
                at, lambda: handled.append(rehearsal.boxes["s-03"].handled)
            )

    rehearsal, log, _ = virtual.run_scenario(load("shared-bad-eighth", tree), prepare=prepare)
    found = build.build(rehearsal, log, "virtual")
    wrong = sum(one["server"] != "s-03" for one in found["tier"]["held_back"])
    return handled[1] - handled[0], wrong, found["service"]


def memory() -> None:
    for servers, reporters in ((20, 20), (200, 200), (1000, 200)):
        tracemalloc.start()
        store = Facts(0, 1, Random(0))
        version = 0
        for server in range(servers):
            for owner in range(1, reporters):
                version += 1
                store.take(0, Fact(owner, 1, version, EVIDENCE, server, 0, VALUE), reporters)
                if version >= 20_000:
                    break
        print(f"{servers} servers x {reporters} reporters: {len(store)} facts held, {store.dropped} dropped, "
              f"{tracemalloc.get_traced_memory()[0] / 1e6:.1f} MB")  # fmt: skip
        tracemalloc.stop()


async def _request() -> None:
    """Two nodes of the same build on one core each, one in a tier of three that shares all it can."""
    sys.path[:0] = ["tests", "tests/tier"]
    from fleet import Fleet
    from rig import Client, Server, request

    from benchmarks.membership import _cpu

    table = (
        'judge = true\n[tier.budgets.all]\nper_s = 100000.0\n[[route]]\nname = "all"\n'
        'admit = { rate = { fleet = "all" } }\n'
    )
    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), 4, table, period="1s") as fleet, Server("s0") as server:
            fleet.servers.append(server)
            text = fleet.service.read_text()
            await fleet.start(0, 1, 2)
            await fleet.wait_for_state((1, 2), "alive", by=(0,))
            fleet.service.write_text(
                'version = 1\n[[route]]\nname = "all"\nadmit = { rate = { per_s = 1e5, burst = 1000.0 } }\n'
            )
            await fleet.start(3)
            await fleet.wait_until(lambda: 3 in fleet.addresses)
            fleet.service.write_text(text)
            clients = {
                number: Client(*await asyncio.open_connection(*fleet.addresses[number])) for number in (0, 3)
            }
            spent: dict[int, float] = {0: 0.0, 3: 0.0}
            for turn in range(21):
                for number, client in clients.items():
                    before = _cpu(fleet.process(number).pid)
                    for _ in range(1500):
                        await client.ask(request())
                    if turn:  # the first warms both up
                        spent[number] += _cpu(fleet.process(number).pid) - before
            us = 1e6 / (20 * 1500)
            print(f"CPU of a request: {spent[3] * us:.1f} us without, {spent[0] * us:.1f} us with: "
                  f"{spent[0] / spent[3]:.3f} times")  # fmt: skip


async def _real(count: int) -> None:
    """A tenth of the nodes are asked as fast as they answer; a budget of 2 tokens a second a node lets in;
    then one of six servers fails."""
    sys.path[:0] = ["tests", "tests/tier"]
    from fleet import Fleet
    from rig import Server, answer, sends
    from test_judgements_processes import BAD, SERVERS, judged
    from traffic import Traffic

    from benchmarks.membership import _cpu

    per_s, busy = 2.0 * count, range(0, count, max(1, min(10, count // 6)))
    table = (
        f'judge = true\n[tier.budgets.b]\nper_s = {per_s}\nburst = "5s"\n'
        '[[route]]\nname = "all"\nadmit = { rate = { fleet = "b" } }\n'
    )
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            servers = {name: await stack.enter_async_context(Server(name)) for name in SERVERS}
            fleet = await stack.enter_async_context(Fleet(Path(folder), count, table, period="1s"))
            fleet.servers = list(servers.values())
            for first in range(0, count, 10):
                await fleet.start(*range(first, min(count, first + 10)))
                await asyncio.sleep(0.5)
            await fleet.wait_joined()
            await asyncio.sleep(6.0)  # loans of before the start are over
            pids = [fleet.process(number).pid for number in range(count)]
            before, at = sum(map(_cpu, pids)), time.monotonic()
            await asyncio.sleep(10.0)
            rest = (sum(map(_cpu, pids)) - before) / count / (time.monotonic() - at)
            traffic = Traffic(fleet)
            traffic.on(*busy)
            await asyncio.sleep(5.0)
            began = time.monotonic_ns()
            await asyncio.sleep(15.0)
            ended = time.monotonic_ns()
            spent = sum(one["event"] == "spend" and began <= one["t_ns"] < ended for one in fleet.events())
            failed = time.monotonic_ns()
            servers[BAD].script = sends(answer(500))

            def told() -> list[int]:
                return sorted(one.begin for one in judged(fleet) if one.server == BAD)

            await fleet.wait_until(lambda: len(told()) >= len(busy))
            first_known, known = ((one - failed) / 1e9 for one in (told()[0], told()[len(busy) - 1]))
            wrong = {one.server for one in judged(fleet)} - {BAD}
            await traffic.off()
            print(json.dumps({
                "nodes": count, "asked": len(busy), "of the budget used": round(
                    spent / (per_s * (ended - began) / 1e9), 3),
                "cpu of a core at rest, a node": round(rest, 5),
                "held back by the first, s": round(first_known, 2), f"by {len(busy)}, s": round(known, 2),
                "others held back": sorted(wrong),
            }))  # fmt: skip


def main() -> None:
    what, workers = (sys.argv[1:] or ["facts"])[0], max(1, (os.cpu_count() or 2) // 2)
    if what == "facts":
        facts(workers)
    elif what == "judge":
        with ProcessPoolExecutor(workers) as pool:
            for judge in (False, True):
                rows = list(pool.map(tries, [(judge, FIRST_SEED + seed) for seed in range(8)]))
                print(f"judge = {judge}: tries at the failing server {[row[0] for row in rows]}, "
                      f"others held back {sum(row[1] for row in rows)}, "
                      f"service {[round(row[2], 4) for row in rows]}")  # fmt: skip
    elif what == "memory":
        memory()
    elif what == "request":
        asyncio.run(_request())
    elif what == "real":
        asyncio.run(_real(int(sys.argv[2])))
    else:
        raise SystemExit(f"{what}: facts, judge, memory, request or real would do")


if __name__ == "__main__":
    main()
