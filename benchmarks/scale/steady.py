"""`hollow`: what control costs a node in which nothing befalls it, by the number of nodes."""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Iterator
from typing import Any, NamedTuple

from benchmarks.scale.hollow.cluster import Cluster, OutOfMemory, Totals
from benchmarks.scale.hollow.plan import OPTIONAL_PARTS, SECOND_NS, Plan
from benchmarks.scale.rows import Figure, Row, Status
from benchmarks.scale.slope import fit_line

DEFAULT_SIZES = "50,100,200,400,800@2,1600@8,3100@20"
PROCESSES = 8
SETTLE_S, MEASURE_S = 12.0, 20.0  # on the nodes' clock
LATENESS_MAX_S = 0.1  # 99th percentile of timer lateness; at 0.4 of a period a node considers itself stopped
FITTED_FIGURES = (
    "bytes_out_s", "bytes_in_s", "datagrams_out_s", "datagrams_in_s", "cpu_percent_of_core", "memory_mb",
)  # fmt: skip


class Size(NamedTuple):
    """The number of nodes of a cluster, and its time dilation."""

    nodes: int
    dilation: float


def sizes(text: str) -> list[Size]:
    """Parses a list of sizes such as `50,3100@20`: numbers of nodes, each with an optional time dilation."""
    parsed_sizes = []
    for word in text.split(","):
        nodes, _, dilation = word.partition("@")
        parsed_sizes.append(Size(int(nodes), float(dilation or 1)))
    return parsed_sizes


def add_cluster_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options that all measurements with hollow nodes have."""
    parser.add_argument("--processes", type=int, default=PROCESSES, help=f"({PROCESSES})")
    parser.add_argument("--period", type=float, default=1.0, metavar="S", help="between probes (1)")
    parser.add_argument(
        "--off", action="append", default=[], choices=OPTIONAL_PARTS,
        help="a part that nodes run without; `feed`: no outcomes, no demand; `failing`: no server fails",
    )  # fmt: skip
    parser.add_argument("--on-disk", action="store_true", help="write what nodes persist")


RECORDED_PAIRS_MAX = 2_000_000
"""Limit on the pairs of an observing node and a member whose observations are recorded: about 400 MB."""


def recording_stride(nodes: int) -> int:
    """Returns a number n such that recording one node in n gives at most RECORDED_PAIRS_MAX pairs."""
    return max(1, -(-nodes * nodes // RECORDED_PAIRS_MAX))


def make_plan(options: argparse.Namespace, size: Size, persisted: bool = True) -> Plan:
    """Returns the plan of a cluster from the options and a size."""
    return Plan(
        size.nodes, min(options.processes, size.nodes), int(options.period * SECOND_NS), size.dilation,
        persisted,
        options.on_disk, noted_of=recording_stride(size.nodes), **{name: False for name in options.off},
    )  # fmt: skip


def register(commands: Any) -> None:
    """Adds the subcommand `hollow`."""
    parser: argparse.ArgumentParser = commands.add_parser("hollow", help=__doc__)
    parser.add_argument(
        "--sizes", type=sizes, default=DEFAULT_SIZES, help=f"NODES[@DILATION],... ({DEFAULT_SIZES})"
    )
    parser.add_argument("--settle", type=float, default=SETTLE_S, metavar="S", help=f"({SETTLE_S:.0f})")
    parser.add_argument(
        "--for", dest="for_s", type=float, default=MEASURE_S, metavar="S", help=f"({MEASURE_S:.0f})"
    )
    parser.add_argument("--cold", action="store_true", help="start without lists of members, and await them")
    add_cluster_options(parser)
    parser.set_defaults(measure=measure)


def conditions(plan: Plan, seconds: float) -> dict[str, Figure]:
    """Returns the conditions of a row."""
    off = [name for name in OPTIONAL_PARTS if not getattr(plan, name)]
    return {
        "nodes": plan.count, "processes": plan.processes, "period_s": plan.period / SECOND_NS,
        "dilation": plan.dilation, "seconds": round(seconds, 1),
        "start": "list" if plan.persisted else "cold", "disk": plan.on_disk, "off": ",".join(off) or "-",
    }  # fmt: skip


def figures(totals: Totals) -> dict[str, Figure]:
    """Returns the figures of a row; rates are for one node and one second of its clock."""
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


def lateness_note(totals: Totals) -> str:
    """Returns why event loops were too late for a row to count, or an empty text."""
    if totals.stood_still:
        return f"nodes found themselves stopped {totals.stood_still} times"
    if totals.late[1] > LATENESS_MAX_S:
        return f"1 in 100 timers came over {totals.late[1]:.2f} s late"
    return ""


async def measure_plan(plan: Plan, settle_s: float, measure_s: float) -> Row:
    """Measures one cluster for `measure_s` seconds, after `settle_s` seconds, on the nodes' clock."""
    async with Cluster(plan) as cluster:
        began_ns = cluster.now_ns()
        try:
            await cluster.start()
            started_s = (cluster.now_ns() - began_ns) / 1e9
            extra: dict[str, Figure] = {"started_s": round(started_s, 2)}
            if not plan.persisted:
                joined_s = await cluster.wait_until_agreed(timeout_s=settle_s)
                extra["joined_s"] = None if joined_s is None else round(joined_s, 2)
                totals = await cluster.sample()
                extra["joining_bytes_s"] = round(totals.bytes_out, 1)
                extra["joining_worst_second"] = totals.worst_second
            await cluster.wait(settle_s)
            await cluster.sample()
            await cluster.start_recording()
            await cluster.wait(measure_s)
            totals = await cluster.sample()
            extra["disagreeing_pairs"] = await cluster.count_disagreements()
        except OutOfMemory as error:
            return Row("hollow", conditions(plan, measure_s), {}, Status.STOPPED, str(error))
        note = lateness_note(totals)
        return Row(
            "hollow", conditions(plan, totals.seconds), {**figures(totals), **extra},
            Status.LATE if note else Status.SOUND, note,
        )  # fmt: skip


def slope_rows(rows: list[Row]) -> Iterator[Row]:
    """Yields the slope of each fitted figure by the number of nodes, over the sound rows."""
    sound_rows = [row for row in rows if row.is_sound()]
    nodes = [float(row.conditions["nodes"] or 0) for row in sound_rows]
    if len(set(nodes)) < 3:
        return
    for name in FITTED_FIGURES:
        line = fit_line(nodes, [float(row.figures[name] or 0) for row in sound_rows])
        yield Row(
            "hollow-slope", {"of": name, "points": len(sound_rows), "up_to": int(max(nodes))},
            {
                "per_1000_nodes": round(line.slope * 1000, 4), "plus_minus": round(line.half_width * 1000, 4),
                "at_none": round(line.intercept, 4), "at_3100": round(line.value_at(3100), 4),
            },
        )  # fmt: skip


def measure(options: argparse.Namespace) -> Iterator[Row]:
    """Yields a row for each size, and then the slopes."""
    deadline_s = time.monotonic() + options.seconds
    rows: list[Row] = []
    for size in options.sizes:
        plan = make_plan(options, size, not options.cold)
        if time.monotonic() > deadline_s:
            yield Row("hollow", conditions(plan, 0.0), {}, Status.STOPPED, "the time is up")
            continue
        rows.append(asyncio.run(measure_plan(plan, options.settle, options.for_s)))
        yield rows[-1]
    yield from slope_rows(rows)
