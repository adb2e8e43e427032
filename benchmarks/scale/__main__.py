"""One entry point for all scale measurements.

    python -m benchmarks.scale [--json] [--seconds N] MEASUREMENT ...

Each measurement is a module with `register(commands)`, which adds its subcommand and sets `measure`: a
function from the parsed arguments to an iterable of rows. Rows are printed as they come, one JSON object a
line with `--json`. Exit status: 0 all rows are sound, 1 a row failed or is late, 2 bad use.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from importlib import import_module

from benchmarks.scale.rows import Row, commit, print_row

MEASUREMENTS: tuple[str, ...] = (
    "added_time",
    "beside",
    "faults",
    "growth",
    "slopes",
    "steady",
    "watchers",
)
"""Modules of this package that register a subcommand each."""
SECONDS = 900.0  # of a whole measurement: what a person waits for


def parser() -> argparse.ArgumentParser:
    """The command line with the subcommands of all measurements."""
    out = argparse.ArgumentParser(prog="python -m benchmarks.scale", description=__doc__.split("\n", 1)[0])
    out.add_argument("--json", action="store_true", help="one JSON object a line")
    out.add_argument(
        "--seconds", type=float, default=SECONDS, metavar="N",
        help=f"wall time after which no further row is begun ({SECONDS:.0f})",
    )  # fmt: skip
    commands = out.add_subparsers(title="measurements", metavar="MEASUREMENT", required=True)
    for name in MEASUREMENTS:
        import_module(f"benchmarks.scale.{name}").register(commands)
    return out


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one measurement and prints its rows; its exit status."""
    found = parser().parse_args(arguments)
    measured, rows = commit(), list[Row]()
    for row in found.measure(found):
        rows.append(row)
        print_row(row, measured, found.json)
    return 0 if rows and all(row.is_sound() for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
