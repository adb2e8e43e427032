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
from benchmarks.scale.steady import MEASURED, PROCESSES, SETTLE, one_row

NODES = 50
RATES = ("bytes_out_s", "bytes_in_s", "datagrams_out_s", "datagrams_in_s", "cpu_percent_of_core")


def register(commands: Any) -> None:
    parser: argparse.ArgumentParser = commands.add_parser("beside", help=__doc__)
    parser.add_argument("--nodes", type=int, default=NODES, help=f"({NODES})")
    parser.add_argument("--settle", type=float, default=SETTLE, metavar="S", help=f"({SETTLE:.0f})")
    parser.add_argument("--for", dest="for_s", type=float, default=MEASURED, metavar="S", help="measured")
    parser.set_defaults(measure=measure)


async def real(count: int, settle: float, seconds: float) -> Row:
    """What control costs a daemon that nobody asks anything."""
    with tempfile.TemporaryDirectory() as folder:
        async with Daemons(Path(folder), count) as daemons:
            await daemons.joined()
            await asyncio.sleep(settle)
            began, before = time.monotonic(), await daemons.counts()
            await asyncio.sleep(seconds)
            after = await daemons.counts()
            passed = time.monotonic() - began
    spent = [tuple(b - a for a, b in zip(*pair, strict=True)) for pair in zip(before, after, strict=True)]
    rates = [sum(one[index] for one in spent) / count / passed for index in range(5)]
    rates[4] *= 100  # of a core, in percent
    figures: dict[str, Figure] = {
        name: round(rate, 4) for name, rate in zip(RATES, rates, strict=True)
    }  # fmt: skip
    figures["resident_mb"] = round(sum(one.resident for one in after) / count / 1e6, 2)
    found = all(one.alive == count - 1 for one in after)
    return Row(
        "beside-real", {"nodes": count, "seconds": round(passed, 1)}, figures,
        Status.SOUND if found else Status.FAILED, "" if found else "not all hold all alive",
    )  # fmt: skip


def measure(found: argparse.Namespace) -> Iterator[Row]:
    daemons = asyncio.run(real(found.nodes, found.settle, found.for_s))
    yield daemons
    plan = Plan(found.nodes, min(PROCESSES, found.nodes), feed=False, on_disk=True)
    hollow = asyncio.run(one_row(plan, found.settle, found.for_s))
    yield hollow
    ratios: dict[str, Figure] = {
        name: round(float(hollow.figures[name] or 0) / float(daemons.figures[name] or 1), 4)
        for name in RATES
    }  # fmt: skip
    yield Row("beside-hollow-over-real", {"nodes": found.nodes}, ratios)
