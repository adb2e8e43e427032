"""`driftstair ledger`: its options. What they start is loaded only then."""

from __future__ import annotations

import argparse
from typing import Any

EPILOG = "exit status: 0 all proven, 1 something found, 2 unreadable or bad use"


def add(commands: Any) -> None:
    ledger: argparse.ArgumentParser = commands.add_parser(
        "ledger", help="show, verify, join, export, correct and close the ledgers of nodes", epilog=EPILOG
    )
    verbs = ledger.add_subparsers(title="what", metavar="WHAT", required=True)

    verify = verbs.add_parser("verify", help="hold each line against the chain", epilog=EPILOG)
    show = verbs.add_parser("show", help="totals by period, tenant and word", epilog=EPILOG)
    reconcile = verbs.add_parser("reconcile", help="join the books of several folders", epilog=EPILOG)
    for one in (verify, show, reconcile):
        one.add_argument("folders", metavar="FOLDER", nargs="+")
        one.add_argument("--json", action="store_true")
    for one in (show, reconcile):
        one.add_argument("--period", default="", help="one alone, as 2026-02")
        one.add_argument("--tenant", default="", help="one alone")

    reconcile.add_argument("--served", default="", metavar="REPORT", help="what was seen, to hold against it")
    export = verbs.add_parser("export", help="deliver a node's ledger, each entry once", epilog=EPILOG)
    export.add_argument("folder", metavar="FOLDER")
    export.add_argument("--node", required=True, help="whose ledger; its daemon may run")
    export.add_argument("--to", required=True, metavar="HOST:PORT", help="the billing side's collector")
    export.add_argument("--follow", action="store_true", help="go on with what is written")
    export.add_argument(
        "--give-up", type=float, default=120.0, metavar="S", help="end after so long without progress"
    )
    correct = verbs.add_parser("correct", help="an entry that corrects; nothing is changed", epilog=EPILOG)
    close = verbs.add_parser("close", help="close a period that has ended", epilog=EPILOG)
    for one in (correct, close):
        one.add_argument("folder", metavar="FOLDER")
        one.add_argument("--node", required=True, help="whose ledger; its daemon must not run")
        one.add_argument("--period", required=True, help="as 2026-02")
        one.add_argument("--zone", default="UTC", help="of periods, as Africa/Kigali")
    correct.add_argument("--tenant", required=True)
    correct.add_argument("--word", required=True, help="served, late, refused, failed, gone, copy or retry")
    correct.add_argument("--count", required=True, type=int, help="signed: -3 takes three off")
    correct.add_argument("--author", required=True)
    correct.add_argument("--reason", required=True)
    correct.add_argument("--reference", default="")
    for name, one in verbs.choices.items():
        one.set_defaults(run=_run, what=name)


def _run(found: argparse.Namespace) -> int:
    from driftstair.ledger import command

    return command.run(found)
