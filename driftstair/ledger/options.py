"""The options of `driftstair ledger`. The modules behind them are loaded only when the command runs."""

from __future__ import annotations

import argparse
from typing import Any

EPILOG = "exit status: 0 all proven, 1 something found, 2 unreadable or bad use"


def add(commands: Any) -> None:
    """Adds the command and its options."""
    ledger: argparse.ArgumentParser = commands.add_parser(
        "ledger", help="show, verify, join, export, correct and close the ledgers of nodes", epilog=EPILOG
    )
    subcommands = ledger.add_subparsers(title="what", metavar="WHAT", required=True)

    verify = subcommands.add_parser("verify", help="hold each line against the chain", epilog=EPILOG)
    show = subcommands.add_parser("show", help="totals by period, tenant and word", epilog=EPILOG)
    reconcile = subcommands.add_parser("reconcile", help="join the books of several folders", epilog=EPILOG)
    for parser in (verify, show, reconcile):
        parser.add_argument("folders", metavar="FOLDER", nargs="+")
        parser.add_argument("--json", action="store_true")
    for parser in (show, reconcile):
        parser.add_argument("--period", default="", help="one alone, as 2026-02")
        parser.add_argument("--tenant", default="", help="one alone")

    reconcile.add_argument("--served", default="", metavar="REPORT", help="what was seen, to hold against it")
    export = subcommands.add_parser("export", help="deliver a node's ledger, each entry once", epilog=EPILOG)
    export.add_argument("folder", metavar="FOLDER")
    export.add_argument("--node", required=True, help="whose ledger; its daemon may run")
    export.add_argument("--to", required=True, metavar="HOST:PORT", help="the billing side's collector")
    export.add_argument("--follow", action="store_true", help="go on with what is written")
    export.add_argument(
        "--give-up", type=float, default=120.0, metavar="S", help="end after so long without progress"
    )
    correct = subcommands.add_parser(
        "correct", help="an entry that corrects; nothing is changed", epilog=EPILOG
    )
    close = subcommands.add_parser("close", help="close a period that has ended", epilog=EPILOG)
    for parser in (correct, close):
        parser.add_argument("folder", metavar="FOLDER")
        parser.add_argument("--node", required=True, help="whose ledger; its daemon must not run")
        parser.add_argument("--period", required=True, help="as 2026-02")
        parser.add_argument("--zone", default="UTC", help="of periods, as Africa/Kigali")
    correct.add_argument("--tenant", required=True)
    correct.add_argument("--word", required=True, help="served, late, refused, failed, gone, copy or retry")
    correct.add_argument("--count", required=True, type=int, help="signed: -3 takes three off")
    correct.add_argument("--author", required=True)
    correct.add_argument("--reason", required=True)
    correct.add_argument("--reference", default="")
    for name, parser in subcommands.choices.items():
        parser.set_defaults(run=_run, what=name)


def _run(options: argparse.Namespace) -> int:
    """Runs the chosen subcommand."""
    from driftstair.ledger import command

    return command.run(options)
