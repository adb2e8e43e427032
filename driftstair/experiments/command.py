"""Runs the subcommands of `driftstair experiment`."""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from driftstair.experiments import design as designs
from driftstair.experiments.design import Design, DesignError, Run
from driftstair.experiments.store import Store, StoreError

EXIT_DONE, EXIT_INCOMPLETE, EXIT_BAD_USE = 0, 1, 2
PROGRESS_INTERVAL_S = 5.0


def run(options: argparse.Namespace) -> int:
    """Runs a subcommand and returns the exit status."""
    console = Console() if sys.stdout.isatty() else Console(width=140)
    try:
        design = designs.read_design(options.file)
        path = Path(options.store or Path(options.file).with_suffix(".runs"))
        if options.verb == "run" and options.jobs < 0:
            raise DesignError(f"--jobs {options.jobs}: 0 or more would do")
        if options.verb == "export" and options.out != "-" and Path(options.out).exists():
            raise DesignError(f"{options.out}: is there already; another name would do")
        store = Store(path, for_writing=options.verb == "run")
        try:
            return _run_subcommand(options, design, designs.list_runs(design), store, console)
        finally:
            store.close()
    except (DesignError, StoreError) as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return EXIT_BAD_USE


def _run_subcommand(
    options: argparse.Namespace, design: Design, runs: list[Run], store: Store, console: Console
) -> int:  # fmt: skip
    """Runs the chosen subcommand with its design and store open."""
    if options.verb == "run":
        _execute_missing(runs, store, options.jobs or os.cpu_count() or 1)
    rows = store.rows()
    if options.verb in ("run", "status"):
        return _print_status(runs, rows)
    if options.verb == "export":
        from driftstair.experiments.report import export_csv

        if options.out == "-":
            export_csv(runs, rows, sys.stdout)
        else:
            try:
                with open(options.out, "x", encoding="utf-8", newline="") as file:
                    export_csv(runs, rows, file)
            except OSError as problem:
                raise StoreError(f"{options.out}: can't be written: {problem.strerror}") from None
        return EXIT_DONE
    _print_report(design, runs, rows, console, options.json)
    return EXIT_DONE


def _execute_missing(runs: list[Run], store: Store, workers: int) -> None:
    """Executes the runs that have no result yet, saves each result and reports progress."""
    from driftstair.experiments.runs import execute_all

    completed = store.completed_hashes()
    pending = [run for run in runs if run.hash not in completed]
    began, reported = time.monotonic(), 0.0
    for number, result in enumerate(execute_all(pending, workers), 1):
        store.save(
            result.run.hash,
            result.run.scenario,
            result.run.seed,
            result.run.factor_values,
            result.outcome,
            result.problem,
            result.cpu_s,
        )
        now = time.monotonic()
        if now - reported >= PROGRESS_INTERVAL_S or number == len(pending):
            reported = now
            left_s = (now - began) / number * (len(pending) - number)
            print(f"{number} of {len(pending)} played, {left_s:.0f} s left", file=sys.stderr, flush=True)


def _print_status(runs: list[Run], rows: dict[str, dict[str, Any]]) -> int:
    """Prints how many runs are executed, failed and missing."""
    failed = [run for run in runs if run.hash in rows and rows[run.hash]["problem"] is not None]
    missing = sum(run.hash not in rows for run in runs)
    others = len(rows) - (len(runs) - missing)
    executed = len(runs) - missing - len(failed)
    print(f"{len(runs)} runs: {executed} played, {len(failed)} failed, {missing} missing")
    if others:
        print(f"{others} more rows are of other sources or another file")
    for run in failed[:5]:
        values = ", ".join(f"{name} {value}" for name, value in run.factor_values)
        print(f"{run.scenario}, seed {run.seed}, {values}: {rows[run.hash]['problem']}")
    return EXIT_INCOMPLETE if failed or missing else EXIT_DONE


def _print_report(
    design: Design, runs: list[Run], rows: dict[str, dict[str, Any]], console: Console, as_json: bool
) -> None:  # fmt: skip
    """Prints means and differences, as tables or as JSON."""
    from driftstair.experiments import report

    means, compared = report.cell_means(design, runs, rows), report.compare_factors(design, runs, rows)
    if as_json:
        differences = [
            asdict(difference) | {"verdict": difference.verdict(design.level)} for difference in compared
        ]
        json.dump({"name": design.name, "means": means, "differences": differences}, sys.stdout, indent=1)
        print()
        return
    table = Table(box=None, pad_edge=False, header_style="dim")
    for name in means[0] if means else ():
        table.add_column(name, justify="left" if name == "scenario" else "right")
    for row in means:
        table.add_row(*(_format_value(value) for value in row.values()))
    console.print(table)
    table = Table(box=None, pad_edge=False, header_style="dim")
    for name in ("scenario", "measure", "from", "to", "pairs", "difference", "interval", "p", "verdict"):
        table.add_column(name, justify="right" if name in ("pairs", "difference", "p") else "left")
    for difference in compared:
        table.add_row(
            difference.scenario, difference.measure, difference.base, difference.value,
            str(difference.pairs), f"{difference.mean:+.4g}",
            f"{difference.low:+.4g} to {difference.high:+.4g}", f"{difference.corrected:.3g}",
            difference.verdict(design.level),
        )  # fmt: skip
    if compared:
        console.print()
        console.print(table)


def _format_value(value: Any) -> str:
    """Formats a value for a table."""
    return "-" if value is None else f"{value:.4g}" if isinstance(value, float) else str(value)
