"""`faults`: faults in a cluster of hollow nodes, one after the other: how soon all know, at what cost."""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

from benchmarks.scale.hollow.cluster import Cluster, OutOfMemory
from benchmarks.scale.hollow.plan import ZONES, region_of, zone_of
from benchmarks.scale.hollow.record import Held
from benchmarks.scale.rows import Figure, Row, Status
from benchmarks.scale.steady import (
    SETTLE,
    Size,
    add_cluster_options,
    conditions,
    lateness,
    plan_of,
    sizes,
)

DAY = 86_400.0  # s
RESTARTS_A_DAY, NODES_THEN, TIMES = 4_700, 3_100, 100
"""Nodes restarted or replaced on an ordinary day, of how many, and how much faster it is played."""
PART = 0.03  # of the nodes, that fail at once
FAULTS = ("part", "zone", "rolling", "regions")
AGREE_WITHIN = 120.0  # s
AFTER = 2.0  # s that are watched after all agree: late changes would show
CUT_FOR = 30.0  # s: by then a region holds the others dead, and nothing changes any more
ROLLING_FOR = 30.0  # s
SIZE = "400@8"


@dataclass(slots=True)
class Seen:
    """Of one fault, by what nodes noted. Times are s after it began; `pairs`: of an observer and a member
    that it should come to hold dead."""

    times: list[float] = field(default_factory=list)  # of each pair that did, when it first did
    pairs: int = 0
    false_deaths: int = 0  # a node was held dead, and others were told, that it should not be
    falsely_dead: set[int] = field(default_factory=set)  # who was
    deaths_expected: int = 0  # held dead, of those that may be

    def part(self, of: float) -> float | None:
        """The time by which so many of the pairs had come to it; None: they never had."""
        index = max(0, round(of * self.pairs) - 1)
        return round(self.times[index], 2) if index < len(self.times) else None

    def figures(self) -> dict[str, Figure]:
        return {
            "known_median_s": self.part(0.5), "known_99_s": self.part(0.99), "known_worst_s": self.part(1.0),
            "pairs": self.pairs, "pairs_missing": self.pairs - len(self.times),
            "false_deaths": self.false_deaths, "nodes_falsely_dead": len(self.falsely_dead),
        }  # fmt: skip


def seen(
    rows: Iterable[Held], began: int, pairs: int, is_gone: Callable[[int, int], bool],
    may_be: Callable[[int], bool] = lambda member: False,
) -> Seen:  # fmt: skip
    """`is_gone(observer, member)`: whether the observer should come to hold the member dead; `may_be`:
    members of which either is right, as they are restarted."""
    out, first = Seen(pairs=pairs), dict[tuple[int, int], float]()
    for one in rows:
        if one.state != "dead":
            continue
        if is_gone(one.observer, one.member):
            first.setdefault((one.observer, one.member), (one.at - began) / 1e9)
        elif may_be(one.member):
            out.deaths_expected += 1
        elif one.told:
            out.false_deaths += 1
            out.falsely_dead.add(one.member)
    out.times = sorted(first.values())
    return out


class Faults:
    """On one cluster, which all of them leave whole."""

    def __init__(self, cluster: Cluster, random: Random) -> None:
        self._cluster = cluster
        self._random = random

    async def _row(self, fault: str, found: dict[str, Figure], began: int) -> Row:
        totals = await self._cluster.sample()
        late = lateness(totals)
        if any(name.endswith("agreed_s") and value is None for name, value in found.items()):
            status, note = Status.FAILED, f"not agreed within {AGREE_WITHIN:.0f} s; {late}"
        else:
            status, note = (Status.LATE, late) if late else (Status.SOUND, "")
        seconds = (self._cluster.now() - began) / 1e9
        figures: dict[str, Figure] = {
            **found, "worst_second_bytes": totals.worst_second,
            "worst_second_mean": round(totals.worst_mean, 1), "bytes_out_s": round(totals.bytes_out, 1),
            "cpu_percent_of_core": round(100 * totals.cpu, 4),
            "late_p99_ms": round(totals.late[1] * 1e3, 2), "suspicions": totals.suspicions,
        }  # fmt: skip
        return Row(
            f"faults-{fault}", conditions(self._cluster.plan, seconds), figures, status, note.rstrip("; ")
        )

    async def _begin(self) -> int:
        await self._cluster.sample()
        await self._cluster.record()
        return self._cluster.now()

    async def killed(self, fault: str, victims: list[int]) -> AsyncIterator[Row]:
        """All at once; then they start again, all at once."""
        cluster, gone = self._cluster, set(victims)
        began = await self._begin()
        await cluster.kill(victims)
        agreed = await cluster.agree(gone, AGREE_WITHIN)
        await cluster.rest(AFTER)
        pairs = len(gone) * sum(number not in gone for number in cluster.observers())
        found = seen(await cluster.records(), began, pairs, lambda observer, member: member in gone)
        yield await self._row(fault, {"killed": len(gone), "agreed_s": agreed, **found.figures()}, began)
        began = await self._begin()
        await cluster.revive(victims)
        back = await cluster.agree((), AGREE_WITHIN)
        await cluster.rest(AFTER)
        found = seen(await cluster.records(), began, 0, lambda *_: False, lambda member: member in gone)
        figures: dict[str, Figure] = {
            "started": len(gone), "agreed_s": back, "false_deaths": found.false_deaths,
            "deaths_of_started": found.deaths_expected,
        }  # fmt: skip
        yield await self._row(f"{fault}-back", figures, began)

    async def rolling(self) -> AsyncIterator[Row]:
        """Planned restarts at TIMES the day's rate, scaled to the nodes that there are."""
        cluster, count = self._cluster, self._cluster.plan.count
        rate = RESTARTS_A_DAY * TIMES / DAY * count / NODES_THEN
        order, due, restarted = self._random.sample(range(count), count), 0.0, set[int]()
        began = await self._begin()
        while (cluster.now() - began) / 1e9 < ROLLING_FOR and order:
            due += rate
            now = [order.pop() for _ in range(min(int(due), len(order)))]
            due -= len(now)
            restarted.update(now)
            await cluster.restart(now)
            await cluster.rest(1.0)
        ended = (cluster.now() - began) / 1e9
        await cluster.rest(2 * AFTER)  # the last one is back
        agreed = await cluster.agree((), AGREE_WITHIN)
        found = seen(await cluster.records(), began, 0, lambda *_: False, lambda member: member in restarted)
        figures: dict[str, Figure] = {
            "restarts": len(restarted), "restarts_per_s": round(len(restarted) / ended, 2),
            "agreed_s": None if agreed is None else round(agreed + 2 * AFTER, 2),
            "false_deaths": found.false_deaths, "nodes_falsely_dead": len(found.falsely_dead),
            "deaths_of_restarted": found.deaths_expected,
        }  # fmt: skip
        yield await self._row("rolling", figures, began)

    async def regions(self) -> AsyncIterator[Row]:
        """No datagram between regions, and then they hear each other again."""
        cluster = self._cluster

        def apart(observer: int, member: int) -> bool:
            return region_of(observer) != region_of(member)

        pairs = sum(apart(one, other) for one in cluster.observers() for other in range(cluster.plan.count))
        began = await self._begin()
        await cluster.cut(True)
        await cluster.rest(CUT_FOR)
        found = seen(await cluster.records(), began, pairs, apart)
        yield await self._row("regions-cut", found.figures(), began)
        began = await self._begin()
        await cluster.cut(False)
        agreed = await cluster.agree((), AGREE_WITHIN)
        await cluster.rest(AFTER)
        met = seen(await cluster.records(), began, 0, lambda *_: False)
        figures: dict[str, Figure] = {"agreed_s": agreed, "deaths_after": met.false_deaths}
        yield await self._row("regions-met", figures, began)

    async def play(self, fault: str) -> AsyncIterator[Row]:
        count = self._cluster.plan.count
        if fault == "part":
            victims = self._random.sample(range(count), max(1, round(PART * count)))
            rows = self.killed("part", victims)
        elif fault == "zone":
            zone = self._random.randrange(ZONES)
            rows = self.killed("zone", [number for number in range(count) if zone_of(number) == zone])
        else:
            rows = self.rolling() if fault == "rolling" else self.regions()
        async for row in rows:
            yield row


def register(commands: Any) -> None:
    parser: argparse.ArgumentParser = commands.add_parser("faults", help=__doc__)
    parser.add_argument("--sizes", type=sizes, default=SIZE, help=f"NODES[@DILATION],... ({SIZE})")
    parser.add_argument("--settle", type=float, default=SETTLE, metavar="S", help=f"({SETTLE:.0f})")
    parser.add_argument("--seed", type=int, default=1, help="of who fails (1)")
    parser.add_argument("--only", action="append", choices=FAULTS, help="(all)")
    add_cluster_options(parser)
    parser.set_defaults(measure=measure)


async def _play(found: argparse.Namespace, size: Size, ends: float) -> AsyncIterator[Row]:
    plan = plan_of(found, size)
    async with Cluster(plan) as cluster:
        try:
            await cluster.start()
            await cluster.rest(found.settle)
            faults = Faults(cluster, Random(found.seed))
            for fault in found.only or FAULTS:
                if time.monotonic() > ends:
                    yield Row(f"faults-{fault}", conditions(plan, 0.0), {}, Status.STOPPED, "the time is up")
                    continue
                async for row in faults.play(fault):
                    yield row
        except OutOfMemory as problem:
            yield Row("faults", conditions(plan, 0.0), {}, Status.STOPPED, str(problem))


async def _next(rows: AsyncIterator[Row]) -> Row | None:
    return await anext(rows, None)


def measure(found: argparse.Namespace) -> Iterator[Row]:
    ends = time.monotonic() + found.seconds
    for size in found.sizes:
        with asyncio.Runner() as runner:
            rows = _play(found, size, ends)
            while (row := runner.run(_next(rows))) is not None:
                yield row
