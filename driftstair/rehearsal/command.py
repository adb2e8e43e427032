"""Implements `driftstair rehearse`."""

from __future__ import annotations

import argparse
import signal
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from driftstair.rehearsal.load import ScenarioError, load, shipped_scenarios, tables_from_paths
from driftstair.rehearsal.report import build, compare, html, text
from driftstair.rehearsal.report.build import Report, ReportError
from driftstair.rehearsal.scenario import Scenario

EXIT_RULES_KEPT, EXIT_RULES_BROKEN, EXIT_BAD_USE = 0, 1, 2


class UsageError(Exception):
    """Options that can't be combined; the text says which."""


def run(options: argparse.Namespace) -> int:
    """Runs the command and returns its exit status."""
    console = Console()
    try:
        arguments = options.scenario
        if options.list:
            return _list(console)
        if not arguments:
            raise UsageError("which scenario? --list names them")
        if arguments[0] == "compare":
            return _compare(arguments[1:], options, console)
        if arguments[0] == "hunt":
            return _hunt(arguments[1:], options, console)
        if len(arguments) > 1:
            raise UsageError(f"one scenario at a time, not {' '.join(arguments)}")
        if options.show:
            return _show(arguments[0])
        return _rehearse(load(arguments[0], _changes(options)), options, console)
    except (ScenarioError, ReportError, UsageError) as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return EXIT_BAD_USE


def _changes(options: argparse.Namespace) -> dict[str, Any]:
    """Returns the settings of the command line in the form of a file that extends the scenario."""
    values = {
        "seed": options.seed, "nodes.count": options.nodes, "boxes.count": options.boxes,
        "load.rate": options.rate, "seconds": options.seconds, "nodes.service": options.service,
    }  # fmt: skip
    return tables_from_paths({path: value for path, value in values.items() if value is not None})


def _list(console: Console) -> int:
    table = Table(box=None, pad_edge=False, show_header=False)
    for name in shipped_scenarios():
        table.add_row(f"[bold]{name}[/bold]", load(name).title)
    console.print(table)
    return EXIT_RULES_KEPT


def _show(name: str) -> int:
    scenarios = shipped_scenarios()
    if name not in scenarios:
        raise UsageError(f"{name}: no shipped scenario; --list names them")
    sys.stdout.write(scenarios[name])
    return EXIT_RULES_KEPT


@contextmanager
def interruptible() -> Iterator[Callable[[], bool]]:
    """Makes the first Ctrl-C end the run instead of the program; a second one ends the program."""
    interrupts: list[int] = []

    def handle(signal_number: int, _: object) -> None:
        interrupts.append(signal_number)
        signal.signal(signal.SIGINT, previous_handler)

    previous_handler = signal.signal(signal.SIGINT, handle)
    try:
        yield lambda: bool(interrupts)
    finally:
        signal.signal(signal.SIGINT, previous_handler)


@contextmanager
def progress(total: float, description: str) -> Iterator[Callable[[float], None]]:
    """Shows a progress line on a terminal; shows nothing if the output is not a terminal."""
    console = Console(stderr=True)
    if not console.is_terminal:
        yield lambda _: None
        return
    bar = Progress(
        TextColumn("{task.description}"), BarColumn(),
        TextColumn("{task.completed:.0f} of {task.total:.0f} s"), TimeElapsedColumn(), console=console,
        transient=True,
    )  # fmt: skip
    with bar:
        task = bar.add_task(description, total=total)
        yield lambda done_s: bar.update(task, completed=min(done_s, total))


def play_scenario(
    scenario: Scenario, sockets: bool, tick: Callable[[float], None], interrupted: Callable[[], bool]
) -> Report:
    """Plays a scenario in virtual time or on sockets and returns its report."""
    if sockets:
        from driftstair.rehearsal import sockets as environment

        rehearsal, log = environment.run_scenario(scenario, tick, interrupted)
        return build.build(rehearsal, log, "sockets")
    from driftstair.rehearsal import virtual

    rehearsal, log, _ = virtual.run_scenario(scenario, tick, interrupted)
    return build.build(rehearsal, log, "virtual")


def _rehearse(scenario: Scenario, options: argparse.Namespace, console: Console) -> int:
    _check_service(scenario)
    for path in (options.json, options.html):
        _check_writable(path)
    began_s = time.monotonic()
    with interruptible() as interrupted, progress(scenario.seconds, scenario.name) as tick:
        report = play_scenario(scenario, options.sockets, tick, interrupted)
    if options.json == "-":
        sys.stdout.write(build.to_json(report))
    else:
        text.show(report, console)
        took_s = time.monotonic() - began_s
        console.print(f"[dim]{scenario.seconds:g} s rehearsed in {took_s:.1f} s[/dim]")
        _write(options.json, build.to_json(report))
    if options.html:
        _write(options.html, html.page(report))
    return exit_status(report)


def _check_service(scenario: Scenario) -> None:
    """Refuses a service file with which the nodes would not start."""
    if scenario.nodes.service is not None:
        from driftstair.config import parse_document
        from driftstair.rehearsal import platform
        from driftstair.service.load import ServiceError
        from driftstair.service.service_file import ServiceFile
        from driftstair.settings import split_descriptors

        box_list = {"version": 1, "full": True, "servers": []}
        unused_address = ("127.0.0.1", 1)
        config = parse_document(
            {}, platform.document(scenario, "n0", unused_address, unused_address, 1, box_list)
        )
        try:
            service_file = ServiceFile(scenario.nodes.service)
            service_file.table(config, split_descriptors(config)[0])
            if scenario.nodes.tier is not None and service_file.load().service.tier is not None:
                raise UsageError(f"{service_file.file}: tier: the scenario's [nodes.tier] says the same")
        except ServiceError as problem:
            first, remaining = problem.problems[0], len(problem.problems) - 1
            raise UsageError(f"{first}" + (f" (and {remaining} more)" if remaining else "")) from None


def exit_status(report: Report) -> int:
    """Returns the exit status for a report."""
    verdict = report["verdict"]
    is_stuck = report["ended"].startswith("stuck")
    has_failure = verdict["breaks"] or verdict["crashes"] or verdict.get("tier_findings")
    return EXIT_RULES_BROKEN if has_failure or is_stuck else EXIT_RULES_KEPT


def _check_writable(path: str | None) -> None:
    """Checks before a run of minutes that a file can be written, without changing its content."""
    if path and path != "-":
        try:
            with open(path, "a", encoding="utf-8"):
                pass
        except OSError as problem:
            raise UsageError(f"{path}: can't be written: {problem.strerror}") from None


def _write(path: str | None, content: str) -> None:
    if path and path != "-":
        with open(path, "w", encoding="utf-8") as file:
            file.write(content)


def _compare(paths: list[str], options: argparse.Namespace, console: Console) -> int:
    if len(paths) != 2:
        raise UsageError("compare wants two reports: compare A.json B.json")
    comparison = compare.compare(*(build.read(path) for path in paths))
    if options.json:
        content = build.to_json(comparison)
        if options.json == "-":
            sys.stdout.write(content)
        else:
            _write(options.json, content)
    if options.json != "-":
        compare.show(comparison, console)
    return EXIT_RULES_KEPT


def _hunt(arguments: list[str], options: argparse.Namespace, console: Console) -> int:
    from driftstair.rehearsal import hunt

    if arguments:
        raise UsageError(f"hunt draws its scenarios itself; {arguments[0]!r} says nothing to it")
    if options.budget < 1:
        raise UsageError(f"--budget {options.budget}: at least one run")
    return hunt.command(options, console)
