"""`driftstair model`: what its options start."""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from statistics import mean, stdev
from typing import Any

from rich.console import Console
from rich.table import Table

from driftstair.model.baselines import POLICIES
from driftstair.model.world import ModelError, World
from driftstair.rehearsal.load import ScenarioError, load, tables_from_paths

PLAYED, PUSHED_OVER, BAD_USE = 0, 1, 2
SHOWN = ("service", "refused", "tries", "attempts", "handshakes", "connections", "rt50_ms", "rt95_ms", "jams")

Job = tuple[str, dict[str, Any], str]


class UseError(Exception):
    """Options that don't go together; the text says which."""


def play(job: Job) -> dict[str, Any]:
    """One run: its row, with the figures of each second."""
    source, changes, policy = job
    began = time.process_time()
    world = World(load(source, tables_from_paths(changes)), POLICIES[policy])
    outcome = world.play()
    seconds = [
        {
            "second": number, "in_flight": one.in_flight, "busy": round(one.busy, 3), "jammed": one.jammed,
            "connections": one.connections, "held_most": one.held_most,
            **_served(world, number),
        }
        for number, one in enumerate(outcome.seconds)
    ]  # fmt: skip
    return {
        "seed": world.seed, "policy": policy, **outcome.row(), "cpu_s": round(time.process_time() - began, 2),
        "seconds": seconds,
    }  # fmt: skip


def _served(world: World, number: int) -> dict[str, Any]:
    second = world.account.seconds.get(number)
    if second is None or not second.worth:
        return {"asked": 0, "service": None}
    return {"asked": second.asked, "service": round(second.worth_served / second.worth, 4)}


def run(options: argparse.Namespace) -> int:
    console = Console() if sys.stdout.isatty() else Console(width=120)
    try:
        if options.policy == "list":
            console.print(", ".join(POLICIES))
            return PLAYED
        if options.policy not in POLICIES:
            raise UseError(f"--policy {options.policy}: no such policy; there are {', '.join(POLICIES)}")
        if options.jobs < 0:
            raise UseError(f"--jobs {options.jobs}: 0 or more")
        given = {
            "nodes.count": options.nodes, "boxes.count": options.boxes, "load.rate": options.rate,
            "seconds": options.seconds,
        }  # fmt: skip
        changes = {path: value for path, value in given.items() if value is not None}
        found = load(
            options.scenario, tables_from_paths(changes)
        )  # a bad file or figure is told before any run
        World(found)
        seeds = options.seeds or [found.seed]
        jobs = [(options.scenario, {**changes, "seed": seed}, options.policy) for seed in seeds]
        rows = _all(jobs, options.jobs)
    except (ScenarioError, ModelError, UseError) as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return BAD_USE
    if options.json:
        content = json.dumps({"scenario": found.name, "rows": rows}, indent=1) + "\n"
        if options.json == "-":
            sys.stdout.write(content)
        else:
            try:
                with open(options.json, "w", encoding="utf-8") as file:
                    file.write(content)
            except OSError as problem:
                print(f"driftstair: {options.json}: can't be written: {problem.strerror}", file=sys.stderr)
                return BAD_USE
    if options.json != "-":
        _show(rows, options.by_second, console)
    return PUSHED_OVER if any(row["fallen"] for row in rows) else PLAYED


def _all(jobs: list[Job], at_once: int) -> list[dict[str, Any]]:
    workers = min(len(jobs), at_once or os.cpu_count() or 1)
    if workers == 1:
        return [play(job) for job in jobs]
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        return list(pool.map(play, jobs))


def _show(rows: list[dict[str, Any]], by_second: bool, console: Console) -> None:
    table = Table(box=None, pad_edge=False)
    for name in ("seed", *SHOWN):
        table.add_column(name, justify="right")
    for row in rows:
        table.add_row(str(row["seed"]), *(_text(row[name]) for name in SHOWN))
    if len(rows) > 1:
        known = {name: [row[name] for row in rows if row[name] is not None] for name in SHOWN}
        table.add_row("mean", *(_text(mean(known[name]) if known[name] else None) for name in SHOWN))
        table.add_row("sd", *(_text(stdev(known[name]) if len(known[name]) > 1 else None) for name in SHOWN))
    console.print(table)
    for row in rows if by_second else ():
        console.print(f"seed {row['seed']}")
        for one in row["seconds"]:
            console.print(
                f"{one['second']:>4} s  asked {one['asked']:>6}  service {_text(one['service']):>6}  "
                f"busy {one['busy']:.2f}  held {one['in_flight']:>6} (most {one['held_most']})  "
                f"jammed {one['jammed']:>4}  connections {one['connections']}"
            )


def _text(value: float | None) -> str:
    if value is None:
        return "-"
    return f"{value:.3g}" if isinstance(value, float) else str(value)
