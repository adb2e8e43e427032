"""The options of `driftstair experiment`. The modules behind them are loaded only when the command runs."""

from __future__ import annotations

import argparse
from typing import Any

EPILOG = "exit status: 0 done, 1 some runs failed or are missing, 2 bad use or a bad file"


def add(commands: Any) -> None:
    """Adds the command and its options."""
    experiment: argparse.ArgumentParser = commands.add_parser(
        "experiment", help="many runs of the model, kept, and compared by pairs", epilog=EPILOG
    )
    subcommands = experiment.add_subparsers(title="what", metavar="WHAT", required=True)
    for name, help_text in (
        ("run", "play what was not played yet; goes on after a kill"),
        ("status", "how many runs are played, failed, missing"),
        ("report", "means, and differences with intervals"),
        ("export", "every run as CSV"),
    ):
        parser = subcommands.add_parser(name, help=help_text, epilog=EPILOG)
        parser.add_argument("file", metavar="FILE", help="the experiment, in TOML")
        parser.add_argument("--store", metavar="FILE", help="of its runs; left out: FILE with .runs")
        if name == "run":
            parser.add_argument("--jobs", type=int, default=0, metavar="N", help="at once; 0: one a core")
        elif name == "report":
            parser.add_argument("--json", action="store_true")
        elif name == "export":
            parser.add_argument("out", metavar="OUT", help="a new file; - for standard output")
        parser.set_defaults(run=_run, verb=name)


def _run(options: argparse.Namespace) -> int:
    """Runs the chosen subcommand."""
    from driftstair.experiments.command import run

    return run(options)
