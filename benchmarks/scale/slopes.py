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
from benchmarks.scale.slope import fit_line

POINT_TIMEOUT_S = 120.0  # for one point
ROUNDS = 2  # over all sizes; the scatter between rounds is part of the interval of a slope
# From this exponent on a line describes the growth badly, which the row's note says.
SUPERLINEAR_EXPONENT = 1.15
ACCEPTED_FIGURE = "accepted"  # 1 if the program accepts a document of that size, else 0; has no slope

Points = list[tuple[int, dict[str, float]]]


def register(commands: Any) -> None:
    """Adds the subcommand `slopes`."""
    parser: argparse.ArgumentParser = commands.add_parser("slopes", help=__doc__)
    parser.add_argument("--series", action="append", choices=sorted(SERIES), help="all of them if left out")
    parser.add_argument("--rounds", type=int, default=ROUNDS, help=f"of all sizes ({ROUNDS})")
    parser.add_argument("--most", type=int, default=0, metavar="SIZE", help="no sizes above it")
    parser.set_defaults(measure=measure)


def measure(options: argparse.Namespace) -> Iterator[Row]:
    """Yields a row for each point and, after each series, a row for each of its figures."""
    deadline = time.monotonic() + options.seconds
    for name in options.series or SERIES:
        series = SERIES[name]
        points: Points = []
        for size in series.sizes:
            if 0 < options.most < size:
                continue
            for row, figures in _measure_rounds(name, series, size, options.rounds, deadline):
                yield row
                if row.is_sound():
                    points.append((size, figures))
        yield from _slope_rows(name, series, points)


def _measure_rounds(
    name: str, series: Series, size: int, rounds: int, deadline: float
) -> Iterator[tuple[Row, dict[str, float]]]:
    """Measures one size `rounds` times on the same inputs; stops at the first failure and at the deadline."""
    with tempfile.TemporaryDirectory() as folder:
        series.prepare(size, Path(folder))
        for round_number in range(rounds):
            conditions: dict[str, Figure] = {"series": name, "size": size, "round": round_number}
            if time.monotonic() > deadline:
                yield Row("slopes", conditions, status=Status.STOPPED, note="no time was left"), {}
                return
            try:
                figures = run_point(name, size, Path(folder))
            except (subprocess.SubprocessError, ValueError) as error:
                yield Row("slopes", conditions, status=Status.FAILED, note=str(error)[:300]), {}
                return
            yield Row("slopes", conditions, dict(figures)), figures


def run_point(name: str, size: int, folder: Path) -> dict[str, float]:
    """Measures one point in a process of its own and returns its figures. Raises SubprocessError if the
    process fails or exceeds its time limit."""
    process = subprocess.run(
        [sys.executable, "-m", "benchmarks.scale.point", name, str(size), str(folder)],
        cwd=ROOT, capture_output=True, text=True, timeout=POINT_TIMEOUT_S,
    )  # fmt: skip
    if process.returncode:
        raise subprocess.SubprocessError(process.stderr.strip().rpartition("\n")[2])
    figures: dict[str, float] = json.loads(process.stdout)
    return figures


def _slope_rows(name: str, series: Series, points: Points) -> Iterator[Row]:
    """Yields for each figure its fitted line, its values at the largest size and at the size of one service,
    and its growth exponent."""
    sizes = [size for size, _ in points]
    if len(set(sizes)) < 3:
        return
    for figure_name in points[0][1]:
        values = [figures[figure_name] for _, figures in points]
        if figure_name == ACCEPTED_FIGURE or len(set(values)) == 1:
            continue
        line = fit_line(sizes, values)
        largest_size = max(sizes)
        values_at_largest = [value for size, value in zip(sizes, values, strict=True) if size == largest_size]
        exponent = _growth_exponent(sizes, values)
        yield Row(
            "slopes",
            {"series": name, "figure": figure_name, "sizes": len(set(sizes)), "points": len(points)},
            {
                f"per_{series.unit.replace(' ', '_')}": line.slope, "half_width_95": line.half_width,
                "intercept": line.intercept,
                f"measured_at_{largest_size}": sum(values_at_largest) / len(values_at_largest),
                f"line_at_{series.service_size}": line.value_at(series.service_size), "exponent": exponent,
            },
            note="" if exponent is None or exponent < SUPERLINEAR_EXPONENT else "grows faster than its size",
        )  # fmt: skip


def _growth_exponent(sizes: list[int], values: list[float]) -> float | None:
    """Returns the exponent of a power law fitted to the upper half of the sizes. Values that are not positive
    are left out; returns None if fewer than two sizes remain."""
    upper_sizes = sorted(set(sizes))[len(set(sizes)) // 2 - 1 :]
    log_points = [(log(size), log(value)) for size, value in zip(sizes, values, strict=True)
              if size in upper_sizes and value > 0]  # fmt: skip
    if len({size for size, _ in log_points}) < 2:
        return None
    return fit_line([size for size, _ in log_points], [value for _, value in log_points]).slope
