"""The command `driftstair model`."""

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

EXIT_OK, EXIT_COLD_SERVER_CRASHED, EXIT_USAGE = 0, 1, 2
TABLE_COLUMNS = (
    "service",
    "refused",
    "tries",
    "attempts",
    "handshakes",
    "connections",
    "rt50_ms",
    "rt95_ms",
    "jams",
)

Job = tuple[str, dict[str, Any], str]  # scenario, changes to its values by path, policy


class UsageError(Exception):
    """An option with a bad value; the text names it."""


def run_job(job: Job) -> dict[str, Any]:
    """Runs one job, and returns its row with the figures of each second."""
    scenario, changes, policy = job
    cpu_start_s = time.process_time()
    world = World(load(scenario, tables_from_paths(changes)), POLICIES[policy])
    outcome = world.run()
    seconds = [
        {
            "second": number, "in_flight": sample.in_flight, "busy": round(sample.busy, 3),
            "jammed": sample.jammed, "connections": sample.connections, "held_most": sample.held_most,
            **_request_figures(world, number),
        }
        for number, sample in enumerate(outcome.seconds)
    ]  # fmt: skip
    return {
        "seed": world.seed, "policy": policy, **outcome.row(),
        "cpu_s": round(time.process_time() - cpu_start_s, 2), "seconds": seconds,
    }  # fmt: skip


def _request_figures(world: World, number: int) -> dict[str, Any]:
    second = world.account.seconds.get(number)
    if second is None or not second.worth:
        return {"asked": 0, "service": None}
    return {"asked": second.requests, "service": round(second.worth_served / second.worth, 4)}


def run(options: argparse.Namespace) -> int:
    """Runs a scenario with each seed, writes the rows, and returns the exit status."""
    console = Console() if sys.stdout.isatty() else Console(width=120)
    try:
        if options.policy == "list":
            console.print(", ".join(POLICIES))
            return EXIT_OK
        if options.policy not in POLICIES:
            raise UsageError(f"--policy {options.policy}: no such policy; there are {', '.join(POLICIES)}")
        if options.jobs < 0:
            raise UsageError(f"--jobs {options.jobs}: 0 or more")
        overrides = {
            "nodes.count": options.nodes, "boxes.count": options.boxes, "load.rate": options.rate,
            "seconds": options.seconds,
        }  # fmt: skip
        changes = {path: value for path, value in overrides.items() if value is not None}
        # A bad file or value is reported before any run.
        scenario = load(options.scenario, tables_from_paths(changes))
        World(scenario)
        seeds = options.seeds or [scenario.seed]
        jobs = [(options.scenario, {**changes, "seed": seed}, options.policy) for seed in seeds]
        rows = _run_jobs(jobs, options.jobs)
    except (ScenarioError, ModelError, UsageError) as error:
        print(f"driftstair: {error}", file=sys.stderr)
        return EXIT_USAGE
    if options.json:
        content = json.dumps({"scenario": scenario.name, "rows": rows}, indent=1) + "\n"
        if options.json == "-":
            sys.stdout.write(content)
        else:
            try:
                with open(options.json, "w", encoding="utf-8") as file:
                    file.write(content)
            except OSError as error:
                print(f"driftstair: {options.json}: can't be written: {error.strerror}", file=sys.stderr)
                return EXIT_USAGE
    if options.json != "-":
        _print_rows(rows, options.by_second, console)
    return EXIT_COLD_SERVER_CRASHED if any(row["fallen"] for row in rows) else EXIT_OK


def _run_jobs(jobs: list[Job], max_workers: int) -> list[dict[str, Any]]:
    workers = min(len(jobs), max_workers or os.cpu_count() or 1)
    if workers == 1:
        return [run_job(job) for job in jobs]
    with ProcessPoolExecutor(workers, mp_context=get_context("spawn")) as pool:
        return list(pool.map(run_job, jobs))


def _print_rows(rows: list[dict[str, Any]], by_second: bool, console: Console) -> None:
    table = Table(box=None, pad_edge=False)
    for name in ("seed", *TABLE_COLUMNS):
        table.add_column(name, justify="right")
    for row in rows:
        table.add_row(str(row["seed"]), *(_format_value(row[name]) for name in TABLE_COLUMNS))
    if len(rows) > 1:
        values = {name: [row[name] for row in rows if row[name] is not None] for name in TABLE_COLUMNS}
        table.add_row(
            "mean", *(_format_value(mean(values[name]) if values[name] else None) for name in TABLE_COLUMNS)
        )
        table.add_row(
            "sd",
            *(
                _format_value(stdev(values[name]) if len(values[name]) > 1 else None)
                for name in TABLE_COLUMNS
            ),
        )
    console.print(table)
    for row in rows if by_second else ():
        console.print(f"seed {row['seed']}")
        for sample in row["seconds"]:
            console.print(
                f"{sample['second']:>4} s  asked {sample['asked']:>6}  "
                f"service {_format_value(sample['service']):>6}  "
                f"busy {sample['busy']:.2f}  held {sample['in_flight']:>6} (most {sample['held_most']})  "
                f"jammed {sample['jammed']:>4}  connections {sample['connections']}"
            )


def _format_value(value: float | None) -> str:
    if value is None:
        return "-"
    return f"{value:.3g}" if isinstance(value, float) else str(value)
