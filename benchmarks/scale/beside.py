"""`beside`: as many daemons as hollow nodes, without requests, in one run: bytes and datagrams a node."""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from benchmarks.scale.daemons import Daemons
from benchmarks.scale.hollow.plan import Plan
from benchmarks.scale.rows import Figure, Row, Status
from benchmarks.scale.steady import MEASURE_S, PROCESSES, SETTLE_S, measure_plan

NODES = 50
RATE_FIGURES = ("bytes_out_s", "bytes_in_s", "datagrams_out_s", "datagrams_in_s", "cpu_percent_of_core")


def register(commands: Any) -> None:
    """Adds the subcommand `beside`."""
    parser: argparse.ArgumentParser = commands.add_parser("beside", help=__doc__)
    parser.add_argument("--nodes", type=int, default=NODES, help=f"({NODES})")
    parser.add_argument("--settle", type=float, default=SETTLE_S, metavar="S", help=f"({SETTLE_S:.0f})")
    parser.add_argument("--for", dest="for_s", type=float, default=MEASURE_S, metavar="S", help="measured")
    parser.set_defaults(measure=measure)


async def measure_daemons(count: int, settle_s: float, measure_s: float) -> Row:
    """Measures what the control parts cost daemons that get no requests."""
    with tempfile.TemporaryDirectory() as folder:
        async with Daemons(Path(folder), count) as daemons:
            await daemons.wait_until_joined()
            await asyncio.sleep(settle_s)
            began_s, before = time.monotonic(), await daemons.counts()
            await asyncio.sleep(measure_s)
            after = await daemons.counts()
            elapsed_s = time.monotonic() - began_s
    differences = [
        tuple(b - a for a, b in zip(*pair, strict=True)) for pair in zip(before, after, strict=True)
    ]
    rates = [sum(counts[index] for counts in differences) / count / elapsed_s for index in range(5)]
    rates[4] *= 100  # converts the share of a core to percent
    figures: dict[str, Figure] = {
        name: round(rate, 4) for name, rate in zip(RATE_FIGURES, rates, strict=True)
    }  # fmt: skip
    figures["resident_mb"] = round(sum(counts.resident_bytes for counts in after) / count / 1e6, 2)
    all_joined = all(counts.alive == count - 1 for counts in after)
    return Row(
        "beside-real", {"nodes": count, "seconds": round(elapsed_s, 1)}, figures,
        Status.SOUND if all_joined else Status.FAILED, "" if all_joined else "not all hold all alive",
    )  # fmt: skip


def measure(options: argparse.Namespace) -> Iterator[Row]:
    """Yields a row for daemons, one for as many hollow nodes, and one for the ratios of their rates."""
    daemon_row = asyncio.run(measure_daemons(options.nodes, options.settle, options.for_s))
    yield daemon_row
    plan = Plan(options.nodes, min(PROCESSES, options.nodes), feed=False, on_disk=True)
    hollow_row = asyncio.run(measure_plan(plan, options.settle, options.for_s))
    yield hollow_row
    ratios: dict[str, Figure] = {
        name: round(float(hollow_row.figures[name] or 0) / float(daemon_row.figures[name] or 1), 4)
        for name in RATE_FIGURES
    }  # fmt: skip
    yield Row("beside-hollow-over-real", {"nodes": options.nodes}, ratios)
