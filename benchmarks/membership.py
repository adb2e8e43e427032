"""How soon, how wrongly and at what cost the tier judges who lives, beside two other detectors.

    python -m benchmarks.membership sim          # virtual time, on several cores: tables for the design note
    python -m benchmarks.membership hours        # 1,000 node hours at a tenth of loss: false deaths
    python -m benchmarks.membership real 50      # that many processes of the program on this machine
    python -m benchmarks.membership codec        # bytes and time of a datagram: msgspec beside struct
    python -m benchmarks.membership request      # CPU of a request with the tier beside without, in one run

Figures of `sim` are over seeds from 1000 on; nothing was found or set on these.
"""

from __future__ import annotations

import asyncio
import json
import os
import struct
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from statistics import median
from typing import Any

from driftstair.model.tier.accrual import Accrual
from driftstair.model.tier.heartbeats import Heartbeats
from driftstair.model.tier.measure import MakeOf, Tier, detection, rest, swim
from driftstair.model.tier.world import Link
from driftstair.tier import wire
from driftstair.tier.membership.events import Kind, Message
from driftstair.tier.membership.members import Claim, State, Traits

FIRST_SEED = 1000
SLOW = 1.2  # s: a slow member reads each datagram so late
KINDS: dict[str, MakeOf] = {
    "swim": swim,
    "heartbeats": lambda count, seed: lambda host, generation: Heartbeats(host, count),
    "accrual": lambda count, seed: lambda host, generation: Accrual(host, count),
}

Play = tuple[str, int, float, float, int, int]  # kind, nodes, loss, part that is slow, seed, s watched


def one(play: Play) -> dict[str, Any]:
    kind, count, loss, slow, seed, seconds = play
    tier = Tier(count, seed, Link(loss=loss), make=KINDS[kind])
    tier.start()
    tier.world.run(20.0)
    slowed = range(round(slow * count))
    for number in slowed:
        tier.world.hosts[number].slow = SLOW
    began = tier.world.now
    still = rest(tier, seconds)
    sound = set(range(len(slowed), count))
    wrong = len(tier.deaths(began, of=sound))
    watch = 20.0 if loss < 0.3 else 60.0
    found = detection(tier, count - 1, watch)
    return {
        "kind": kind, "nodes": count, "loss": loss, "slow": slow, "wrong": wrong,
        "wrong_of_slow": still.wrong - wrong, "hours": count * seconds / 3600, "bytes_s": still.bytes_s,
        "datagrams_s": still.datagrams_s, "busiest": still.busiest, "first": found.first, "last": found.last,
    }  # fmt: skip


def plays() -> list[list[Play]]:
    """Each row's, the cheap ones first. All-to-all costs the square of the nodes: less of it is played."""
    out: list[list[Play]] = []
    for count, seeds, seconds in ((5, 12, 600), (20, 6, 300), (200, 2, 30)):
        for kind in KINDS:
            much = kind != "swim" and count == 200
            for loss, slow in ((0.0, 0.0), (0.1, 0.0), (0.3, 0.0), (0.4, 0.0), (0.0, 0.1)):
                if not much or (loss in (0.0, 0.1) and not slow):
                    out.append([(kind, count, loss, slow, FIRST_SEED + seed, 5 if much else seconds)
                                for seed in range(1 if much else seeds)])  # fmt: skip
    out.append([("swim", 1000, 0.0, 0.0, FIRST_SEED, 5)])
    return out


def sim(workers: int) -> None:
    print("| nodes | detector | loss | slow | node hours | false deaths (of slow) | known by all, s: median,"
          " worst | B/s a node | datagrams/s | busiest s |")  # fmt: skip
    print("|---|---|---|---|---|---|---|---|---|---|", flush=True)
    with ProcessPoolExecutor(workers) as pool:
        for group, rows in [(group, [pool.submit(one, play) for play in group]) for group in plays()]:
            kind, nodes, loss, slow = group[0][:4]
            found = [row.result() for row in rows]
            last = sorted(row["last"] for row in found)
            print(
                f"| {nodes} | {kind} | {loss:.0%} | {slow:.0%} | {sum(row['hours'] for row in found):.1f} "
                f"| {sum(row['wrong'] for row in found)} ({sum(row['wrong_of_slow'] for row in found)}) "
                f"| {median(last):.1f}, {last[-1]:.1f} | {median(row['bytes_s'] for row in found):.0f} "
                f"| {median(row['datagrams_s'] for row in found):.1f} "
                f"| {max(row['busiest'] for row in found)} |", flush=True,
            )  # fmt: skip


def long(play: tuple[int, int]) -> tuple[int, float]:
    """False deaths among 20 nodes at a tenth of loss, and node hours."""
    seed, seconds = play
    tier = Tier(20, seed, Link(loss=0.1))
    tier.start()
    tier.world.run(20.0)
    began = tier.world.now
    tier.world.run(seconds)
    return len(tier.deaths(began)), 20 * seconds / 3600


def hours(workers: int, wanted: float = 1000.0) -> None:
    seconds = 3600
    runs = [(FIRST_SEED + seed, seconds) for seed in range(int(wanted / 20 * 3600 / seconds))]
    wrong, spent = 0, 0.0
    with ProcessPoolExecutor(workers) as pool:
        for play in as_completed([pool.submit(long, one) for one in runs]):
            wrong, spent = wrong + play.result()[0], spent + play.result()[1]
            print(f"20 nodes, 10% loss: {wrong} views held a node dead that ran, in {spent:.0f} node hours",
                  flush=True)  # fmt: skip


def codec() -> None:
    """One probe with six claims of others: what the tier sends most."""
    claims = [Claim(100 + number, 1_010_534_400, 3, State.ALIVE, 100 + number, Traits(1, 1, 1))
              for number in range(6)]  # fmt: skip
    message = Message(Kind.PING, claims[0], 101, 70_000, 90_000, updates=tuple(claims[1:]))
    own = wire.Codec(b"sixteen bytes!!!")
    data = own.encode(message)
    flat = struct.Struct("<HIHBHBBH")
    head = struct.Struct("<BHIIHB")

    def pack() -> bytes:
        rows = [flat.pack(*claim[:5], *claim.traits) for claim in claims]
        return head.pack(1, 101, 70_000, 90_000, 0xFFFF, 5) + b"".join(rows)

    packed = pack()

    def unpack() -> Message:
        kind, to, order, seq, about, count = head.unpack_from(packed)
        found = []
        for index in range(count + 1):
            number, generation, incarnation, state, by, *traits = flat.unpack_from(
                packed, head.size + flat.size * index
            )
            found.append(Claim(number, generation, incarnation, State(state), by, Traits(*traits)))
        return Message(Kind(kind), found[0], to, order, seq, about, tuple(found[1:]))

    assert unpack() == message
    body = len(data) - 1 - wire.MAC_BYTES
    print(f"bytes without version and seal: msgspec {body}, struct {len(packed)}")
    for name, what in (
        ("msgspec encode, sealed", lambda: own.encode(message)), ("struct pack, no seal", pack),
        ("msgspec decode, seal and ranges checked", lambda: own.decode(data)),
        ("struct unpack, no seal", unpack),
    ):  # fmt: skip
        print(f"{name}: {_timed(what):.1f} us")


def _timed(what: Callable[[], object], times: int = 20_000) -> float:
    """us, the best of five."""
    best = float("inf")
    for _ in range(5):
        began = time.perf_counter()
        for _ in range(times):
            what()
        best = min(best, time.perf_counter() - began)
    return best / times * 1e6


def _cpu(pid: int) -> float:
    """s that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _memory(pid: int) -> float:
    """MB resident."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(next(line for line in text.splitlines() if line.startswith("VmRSS")).split()[1]) / 1024


async def _real(count: int) -> None:
    sys.path[:0] = ["tests", "tests/tier"]
    from fleet import Fleet

    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), count, period="1s") as fleet:
            began = time.monotonic()
            for first in range(0, count, 10):
                await fleet.start(*range(first, min(count, first + 10)))
                await asyncio.sleep(0.5)
            await fleet.wait_joined()
            joined = time.monotonic() - began
            await asyncio.sleep(5.0)
            pids = [fleet.process(number).pid for number in range(count)]
            before, at = [_cpu(pid) for pid in pids], time.monotonic()
            await asyncio.sleep(20.0)
            spent = [_cpu(pid) - one for pid, one in zip(pids, before, strict=True)]
            cpu = sum(spent) / count / (time.monotonic() - at)
            memory = median(_memory(pid) for pid in pids)
            wrong = len(fleet.dead_verdicts())
            killed = time.monotonic_ns()
            await fleet.kill(count - 1)
            await fleet.wait_for_state((count - 1,), "dead")
            known = [
                (held.at - killed) / 1e9 for process in fleet.run_record().processes
                for held in process.view_changes
                if held.member == count - 1 and held.state == "dead"
            ]  # fmt: skip
            print(json.dumps({
                "nodes": count, "all know all after s": round(joined, 1),
                "cpu of a core at rest, a node": round(cpu, 5), "resident MB, a node": round(memory, 1),
                "false deaths": wrong, "a crash known by the first, s": round(min(known), 2),
                "by all, s": round(max(known), 2),
            }))  # fmt: skip


async def _request() -> None:
    """Two nodes of the same build, one in a tier of three, asked in turn on one core each."""
    sys.path[:0] = ["tests", "tests/tier"]
    from fleet import Fleet
    from rig import Client, request

    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), 4, period="1s") as fleet:
            table = fleet.service.read_text()
            await fleet.start(0, 1, 2)
            await fleet.wait_for_state((1, 2), "alive", by=(0,))
            fleet.service.write_text("version = 1\n")
            await fleet.start(3)
            await fleet.wait_until(lambda: 3 in fleet.addresses)
            fleet.service.write_text(table)
            clients = {
                number: Client(*await asyncio.open_connection(*fleet.addresses[number])) for number in (0, 3)
            }
            spent: dict[int, list[float]] = {0: [], 3: []}
            for _ in range(30):
                for number, client in clients.items():
                    before = _cpu(fleet.process(number).pid)
                    for _ in range(2500):
                        await client.ask(request())
                    spent[number].append(_cpu(fleet.process(number).pid) - before)
            on, off = sum(spent[0]), sum(spent[3])
            us = 1e6 / (30 * 2500)
            print(f"CPU of a request: {off * us:.1f} us without, {on * us:.1f} us with a tier of 3: "
                  f"{on / off:.3f} times")  # fmt: skip


def main() -> None:
    what, workers = (sys.argv[1:] or ["sim"])[0], max(1, (os.cpu_count() or 2) // 2)
    if what == "sim":
        sim(workers)
    elif what == "hours":
        hours(workers)
    elif what == "codec":
        codec()
    elif what == "real":
        asyncio.run(_real(int(sys.argv[2])))
    elif what == "request":
        asyncio.run(_request())
    else:
        raise SystemExit(f"{what}: sim, hours, codec, real or request would do")


if __name__ == "__main__":
    main()
