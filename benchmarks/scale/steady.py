"""`hollow`: what control costs a node in which nothing befalls it, by the number of nodes."""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

from benchmarks.scale.hollow.cluster import Cluster, OutOfMemory, Totals
from benchmarks.scale.hollow.plan import NS, PARTS, Plan
from benchmarks.scale.rows import Figure, Row, Status
from benchmarks.scale.slope import fit

SIZES = "50,100,200,400,800@2,1600@8,3100@20"
PROCESSES = 8
SETTLE, MEASURED = 12.0, 20.0  # s of the nodes' clock
LATE_MOST = 0.1  # s that 99 in 100 of a loop's timers may come late; a node stood still at 0.4 of a period
FITTED = (
    "bytes_out_s", "bytes_in_s", "datagrams_out_s", "datagrams_in_s", "cpu_percent_of_core", "memory_mb",
)  # fmt: skip


class Size(NamedTuple):
    nodes: int
    dilation: float


def sizes(text: str) -> list[Size]:
    """`50,3100@20`: so many nodes, at so many real seconds for one of theirs."""
    found = []
    for word in text.split(","):
        nodes, _, dilation = word.partition("@")
        found.append(Size(int(nodes), float(dilation or 1)))
    return found


def add_cluster_options(parser: argparse.ArgumentParser) -> None:
    """Of all measurements on hollow nodes."""
    parser.add_argument("--processes", type=int, default=PROCESSES, help=f"({PROCESSES})")
    parser.add_argument("--period", type=float, default=1.0, metavar="S", help="between probes (1)")
    parser.add_argument(
        "--off", action="append", default=[], choices=PARTS,
        help="a part that nodes run without; `feed`: no outcomes, no demand; `failing`: no server fails",
    )  # fmt: skip
    parser.add_argument("--on-disk", action="store_true", help="write what nodes persist")


NOTES_MOST = 2_000_000
"""Pairs of a node and a member of which it is noted what the one holds of the other: some 400 MB."""


def noted_of(nodes: int) -> int:
    """Of so many nodes the notes of one are kept: no more than NOTES_MOST pairs in all."""
    return max(1, -(-nodes * nodes // NOTES_MOST))


def plan_of(found: argparse.Namespace, size: Size, persisted: bool = True) -> Plan:
    return Plan(
        size.nodes, min(found.processes, size.nodes), int(found.period * NS), size.dilation, persisted,
        found.on_disk, noted_of=noted_of(size.nodes), **{name: False for name in found.off},
    )  # fmt: skip


def register(commands: Any) -> None:
    parser: argparse.ArgumentParser = commands.add_parser("hollow", help=__doc__)
    parser.add_argument("--sizes", type=sizes, default=SIZES, help=f"NODES[@DILATION],... ({SIZES})")
    parser.add_argument("--settle", type=float, default=SETTLE, metavar="S", help=f"({SETTLE:.0f})")
    parser.add_argument(
        "--for", dest="for_s", type=float, default=MEASURED, metavar="S", help=f"({MEASURED:.0f})"
    )
    parser.add_argument("--cold", action="store_true", help="start without lists of members, and await them")
    add_cluster_options(parser)
    parser.set_defaults(measure=measure)


def conditions(plan: Plan, seconds: float) -> dict[str, Figure]:
    off = [name for name in PARTS if not getattr(plan, name)]
    return {
        "nodes": plan.count, "processes": plan.processes, "period_s": plan.period / NS,
        "dilation": plan.dilation, "seconds": round(seconds, 1),
        "start": "list" if plan.persisted else "cold", "disk": plan.on_disk, "off": ",".join(off) or "-",
    }  # fmt: skip


def figures(totals: Totals) -> dict[str, Figure]:
    """Of a node, in a second of its clock."""
    return {
        "bytes_out_s": round(totals.bytes_out, 1), "bytes_in_s": round(totals.bytes_in, 1),
        "datagrams_out_s": round(totals.datagrams_out, 2), "datagrams_in_s": round(totals.datagrams_in, 2),
        "worst_second_bytes": totals.worst_second, "worst_second_mean": round(totals.worst_mean, 1),
        "cpu_percent_of_core": round(100 * totals.cpu, 4), "memory_mb": round(totals.memory / 1e6, 3),
        "late_median_ms": round(totals.late[0] * 1e3, 2), "late_p99_ms": round(totals.late[1] * 1e3, 2),
        "late_worst_ms": round(totals.late[2] * 1e3, 1), "stood_still": totals.stood_still,
        "suspicions": totals.suspicions, "false_deaths": totals.deaths, "unsent": totals.unsent,
        "facts": round(totals.facts, 1), "facts_dropped": totals.dropped, "held_back_by": totals.held_back,
        "tokens_s": round(totals.spent, 1), "longest_step_ms": round(totals.longest_step * 1e3, 2),
        "long_steps_per_million": round(1e6 * totals.long_steps / max(1, totals.steps), 1),
        "thrown": " ".join(f"{why}:{number}" for why, number in sorted(totals.thrown.items())) or "-",
    }  # fmt: skip


def lateness(totals: Totals) -> str:
    """Why a row's loops ran too late for it to count; empty: they did not."""
    if totals.stood_still:
        return f"nodes found themselves stopped {totals.stood_still} times"
    if totals.late[1] > LATE_MOST:
        return f"1 in 100 timers came over {totals.late[1]:.2f} s late"
    return ""


async def one_row(plan: Plan, settle: float, seconds: float) -> Row:
    async with Cluster(plan) as cluster:
        began = cluster.now()
        try:
            await cluster.start()
            started = (cluster.now() - began) / 1e9
            extra: dict[str, Figure] = {"started_s": round(started, 2)}
            if not plan.persisted:
                joined = await cluster.agree(within=settle)
                extra["joined_s"] = None if joined is None else round(joined, 2)
                totals = await cluster.sample()
                extra["joining_bytes_s"] = round(totals.bytes_out, 1)
                extra["joining_worst_second"] = totals.worst_second
            await cluster.rest(settle)
            await cluster.sample()
            await cluster.record()
            await cluster.rest(seconds)
            totals = await cluster.sample()
            extra["disagreeing_pairs"] = await cluster.disagreeing()
        except OutOfMemory as problem:
            return Row("hollow", conditions(plan, seconds), {}, Status.STOPPED, str(problem))
        late = lateness(totals)
        return Row(
            "hollow", conditions(plan, totals.seconds), {**figures(totals), **extra},
            Status.LATE if late else Status.SOUND, late,
        )  # fmt: skip


def slopes(rows: list[Row]) -> Iterator[Row]:
    """By the number of nodes, over the rows that are sound."""
    sound = [row for row in rows if row.is_sound()]
    nodes = [float(row.conditions["nodes"] or 0) for row in sound]
    if len(set(nodes)) < 3:
        return
    for name in FITTED:
        line = fit(nodes, [float(row.figures[name] or 0) for row in sound])
        yield Row(
            "hollow-slope", {"of": name, "points": len(sound), "up_to": int(max(nodes))},
            {
                "per_1000_nodes": round(line.slope * 1000, 4), "plus_minus": round(line.half_width * 1000, 4),
                "at_none": round(line.intercept, 4), "at_3100": round(line.at(3100), 4),
            },
        )  # fmt: skip


def measure(found: argparse.Namespace) -> Iterator[Row]:
    ends = time.monotonic() + found.seconds
    rows: list[Row] = []
    for size in found.sizes:
        plan = plan_of(found, size, not found.cold)
        if time.monotonic() > ends:
            yield Row("hollow", conditions(plan, 0.0), {}, Status.STOPPED, "the time is up")
            continue
        rows.append(asyncio.run(one_row(plan, found.settle, found.for_s)))
        yield rows[-1]
    yield from slopes(rows)
