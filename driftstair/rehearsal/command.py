"""`driftstair rehearse`: what its options start."""

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

KEPT, BROKEN, BAD_USE = 0, 1, 2


class UseError(Exception):
    """Options that don't go together; the text says which."""


def run(options: argparse.Namespace) -> int:
    console = Console()
    try:
        words = options.scenario
        if options.list:
            return _list(console)
        if not words:
            raise UseError("which scenario? --list names them")
        if words[0] == "compare":
            return _compare(words[1:], options, console)
        if words[0] == "hunt":
            return _hunt(words[1:], options, console)
        if len(words) > 1:
            raise UseError(f"one scenario at a time, not {' '.join(words)}")
        if options.show:
            return _show(words[0])
        return _rehearse(load(words[0], _changes(options)), options, console)
    except (ScenarioError, ReportError, UseError) as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return BAD_USE


def _changes(options: argparse.Namespace) -> dict[str, Any]:
    """What the command line sets, as a file that extends the scenario would."""
    given = {
        "seed": options.seed, "nodes.count": options.nodes, "boxes.count": options.boxes,
        "load.rate": options.rate, "seconds": options.seconds, "nodes.service": options.service,
    }  # fmt: skip
    return tables_from_paths({path: value for path, value in given.items() if value is not None})


def _list(console: Console) -> int:
    table = Table(box=None, pad_edge=False, show_header=False)
    for name in shipped_scenarios():
        table.add_row(f"[bold]{name}[/bold]", load(name).title)
    console.print(table)
    return KEPT


def _show(name: str) -> int:
    known = shipped_scenarios()
    if name not in known:
        raise UseError(f"{name}: no shipped scenario; --list names them")
    sys.stdout.write(known[name])
    return KEPT


@contextmanager
def interruptible() -> Iterator[Callable[[], bool]]:
    """Ctrl-C ends the run and not the program; the second one ends the program."""
    pressed: list[int] = []

    def handle(number: int, _: object) -> None:
        pressed.append(number)
        signal.signal(signal.SIGINT, before)

    before = signal.signal(signal.SIGINT, handle)
    try:
        yield lambda: bool(pressed)
    finally:
        signal.signal(signal.SIGINT, before)


@contextmanager
def progress(total: float, what: str) -> Iterator[Callable[[float], None]]:
    """A line on a terminal; nothing where the output is none."""
    console = Console(stderr=True)
    if not console.is_terminal:
        yield lambda _: None
        return
    shown = Progress(
        TextColumn("{task.description}"), BarColumn(),
        TextColumn("{task.completed:.0f} of {task.total:.0f} s"), TimeElapsedColumn(), console=console,
        transient=True,
    )  # fmt: skip
    with shown:
        task = shown.add_task(what, total=total)
        yield lambda done: shown.update(task, completed=min(done, total))


def play(
    scenario: Scenario, sockets: bool, tick: Callable[[float], None], interrupted: Callable[[], bool]
) -> Report:
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
    began = time.monotonic()
    with interruptible() as interrupted, progress(scenario.seconds, scenario.name) as tick:
        report = play(scenario, options.sockets, tick, interrupted)
    if options.json == "-":
        sys.stdout.write(build.text_of(report))
    else:
        text.show(report, console)
        took = time.monotonic() - began
        console.print(f"[dim]{scenario.seconds:g} s rehearsed in {took:.1f} s[/dim]")
        _write(options.json, build.text_of(report))
    if options.html:
        _write(options.html, html.page(report))
    return status_of(report)


def _check_service(scenario: Scenario) -> None:
    """A file that the nodes would not start with is no rehearsal."""
    if scenario.nodes.service is not None:
        from driftstair.config import parse_document
        from driftstair.daemon import split_descriptors
        from driftstair.rehearsal import platform
        from driftstair.service.load import ServiceError
        from driftstair.service.service_file import ServiceFile

        known = {"version": 1, "full": True, "servers": []}
        nowhere = ("127.0.0.1", 1)
        config = parse_document({}, platform.document(scenario, "n0", nowhere, nowhere, 1, known))
        try:
            file = ServiceFile(scenario.nodes.service)
            file.table(config, split_descriptors(config)[0])
            if scenario.nodes.tier is not None and file.load().service.tier is not None:
                raise UseError(f"{file.file}: tier: the scenario's [nodes.tier] says the same")
        except ServiceError as problem:
            first, more = problem.problems[0], len(problem.problems) - 1
            raise UseError(f"{first}" + (f" (and {more} more)" if more else "")) from None


def status_of(report: Report) -> int:
    verdict = report["verdict"]
    stuck = report["ended"].startswith("stuck")
    found = verdict["breaks"] or verdict["crashes"] or verdict.get("tier_findings")
    return BROKEN if found or stuck else KEPT


def _check_writable(path: str | None) -> None:
    """Before a run of minutes, and without touching what is there."""
    if path and path != "-":
        try:
            with open(path, "a", encoding="utf-8"):
                pass
        except OSError as problem:
            raise UseError(f"{path}: can't be written: {problem.strerror}") from None


def _write(path: str | None, content: str) -> None:
    if path and path != "-":
        with open(path, "w", encoding="utf-8") as file:
            file.write(content)


def _compare(paths: list[str], options: argparse.Namespace, console: Console) -> int:
    if len(paths) != 2:
        raise UseError("compare wants two reports: compare A.json B.json")
    found = compare.compare(*(build.read(path) for path in paths))
    if options.json:
        content = build.text_of(found)
        if options.json == "-":
            sys.stdout.write(content)
        else:
            _write(options.json, content)
    if options.json != "-":
        compare.show(found, console)
    return KEPT


def _hunt(words: list[str], options: argparse.Namespace, console: Console) -> int:
    from driftstair.rehearsal import hunt

    if words:
        raise UseError(f"hunt draws its scenarios itself; {words[0]!r} says nothing to it")
    if options.budget < 1:
        raise UseError(f"--budget {options.budget}: at least one run")
    return hunt.command(options, console)
