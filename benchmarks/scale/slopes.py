"""Single-process slopes: how CPU time, memory and the time of one change grow with routes, tenants, servers
and peers, each point in a process of its own."""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from math import log
from pathlib import Path
from typing import Any

from benchmarks.scale.rows import ROOT, Figure, Row, Status
from benchmarks.scale.series import SERIES, Series
from benchmarks.scale.slope import fit

POINT_SECONDS = 120.0  # that one point may take
ROUNDS = 2  # of all sizes: the scatter between them is in the interval of a slope
CURVED = 1.15  # exponent of growth from which on a line is not the whole story; said in the row's note
ACCEPTED = "accepted"  # 1 where the program takes a document of that size, else 0: no figure that grows

Points = list[tuple[int, dict[str, float]]]


def register(commands: Any) -> None:
    """Adds `slopes`."""
    parser: argparse.ArgumentParser = commands.add_parser("slopes", help=__doc__)
    parser.add_argument("--series", action="append", choices=sorted(SERIES), help="all of them if left out")
    parser.add_argument("--rounds", type=int, default=ROUNDS, help=f"of all sizes ({ROUNDS})")
    parser.add_argument("--most", type=int, default=0, metavar="SIZE", help="no sizes above it")
    parser.set_defaults(measure=measure)


def measure(options: argparse.Namespace) -> Iterator[Row]:
    """A row for each point, and at the end of each series one for each of its figures."""
    until = time.monotonic() + options.seconds
    for name in options.series or SERIES:
        series = SERIES[name]
        points: Points = []
        for size in series.sizes:
            if 0 < options.most < size:
                continue
            for row, figures in _rounds(name, series, size, options.rounds, until):
                yield row
                if row.is_sound():
                    points.append((size, figures))
        yield from _lines(name, series, points)


def _rounds(
    name: str, series: Series, size: int, rounds: int, until: float
) -> Iterator[tuple[Row, dict[str, float]]]:
    with tempfile.TemporaryDirectory() as folder:
        series.prepare(size, Path(folder))
        for turn in range(rounds):
            conditions: dict[str, Figure] = {"series": name, "size": size, "round": turn}
            if time.monotonic() > until:
                yield Row("slopes", conditions, status=Status.STOPPED, note="no time was left"), {}
                return
            try:
                figures = run_point(name, size, Path(folder))
            except (subprocess.SubprocessError, ValueError) as problem:
                yield Row("slopes", conditions, status=Status.FAILED, note=str(problem)[:300]), {}
                return
            yield Row("slopes", conditions, dict(figures)), figures


def run_point(name: str, size: int, folder: Path) -> dict[str, float]:
    """A point's figures. Raises SubprocessError where its process fails or takes too long."""
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.scale.point", name, str(size), str(folder)],
        cwd=ROOT, capture_output=True, text=True, timeout=POINT_SECONDS,
    )  # fmt: skip
    if done.returncode:
        raise subprocess.SubprocessError(done.stderr.strip().rpartition("\n")[2])
    found: dict[str, float] = json.loads(done.stdout)
    return found


def _lines(name: str, series: Series, points: Points) -> Iterator[Row]:
    """For each figure its line, what it gives at the two sizes asked for, and how it grows."""
    sizes = [size for size, _ in points]
    if len(set(sizes)) < 3:
        return
    for figure in points[0][1]:
        values = [figures[figure] for _, figures in points]
        if figure == ACCEPTED or len(set(values)) == 1:
            continue
        line = fit(sizes, values)
        most = max(sizes)
        at_most = [value for size, value in zip(sizes, values, strict=True) if size == most]
        exponent = _exponent(sizes, values)
        yield Row(
            "slopes", {"series": name, "figure": figure, "sizes": len(set(sizes)), "points": len(points)},
            {
                f"per_{series.unit.replace(' ', '_')}": line.slope, "half_width_95": line.half_width,
                "intercept": line.intercept, f"measured_at_{most}": sum(at_most) / len(at_most),
                f"line_at_{series.each}": line.at(series.each), "exponent": exponent,
            },
            note="" if exponent is None or exponent < CURVED else "grows faster than its size",
        )  # fmt: skip


def _exponent(sizes: list[int], values: list[float]) -> float | None:
    """Of a power law through the upper half of the sizes; none where a value is not above zero."""
    upper = sorted(set(sizes))[len(set(sizes)) // 2 - 1 :]
    chosen = [(log(size), log(value)) for size, value in zip(sizes, values, strict=True)
              if size in upper and value > 0]  # fmt: skip
    if len({size for size, _ in chosen}) < 2:
        return None
    return fit([size for size, _ in chosen], [value for _, value in chosen]).slope
