"""One entry point for all scale measurements.

    python -m benchmarks.scale [--json] [--seconds N] MEASUREMENT ...

Each measurement is a module with a function `register(commands)`, which adds its subcommand and sets
`measure`: a function from the parsed arguments to an iterable of rows. Each row is printed when it is ready,
with `--json` as one JSON object on one line. The exit status is 0 if all rows are sound, 1 if there is no row
or a row is not sound, and 2 for wrong arguments.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from importlib import import_module

from benchmarks.scale.rows import Row, describe_commit, print_row

MEASUREMENTS: tuple[str, ...] = (
    "added_time",
    "beside",
    "faults",
    "growth",
    "slopes",
    "steady",
    "watchers",
)
"""Modules of this package, each of which registers one subcommand."""
TIME_LIMIT_S = 900.0  # default for a whole measurement: about as long as a person waits for it


def parser() -> argparse.ArgumentParser:
    """Returns the command line parser with the subcommands of all measurements."""
    root_parser = argparse.ArgumentParser(
        prog="python -m benchmarks.scale", description=__doc__.split("\n", 1)[0]
    )
    root_parser.add_argument("--json", action="store_true", help="one JSON object a line")
    root_parser.add_argument(
        "--seconds", type=float, default=TIME_LIMIT_S, metavar="N",
        help=f"wall time after which no further row is begun ({TIME_LIMIT_S:.0f})",
    )  # fmt: skip
    commands = root_parser.add_subparsers(title="measurements", metavar="MEASUREMENT", required=True)
    for name in MEASUREMENTS:
        import_module(f"benchmarks.scale.{name}").register(commands)
    return root_parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs one measurement, prints its rows and returns the exit status."""
    options = parser().parse_args(arguments)
    commit, rows = describe_commit(), list[Row]()
    for row in options.measure(options):
        rows.append(row)
        print_row(row, commit, options.json)
    return 0 if rows and all(row.is_sound() for row in rows) else 1


if __name__ == "__main__":
    sys.exit(main())
