"""`driftstair tier`: its options. What they start is loaded only then."""

from __future__ import annotations

import argparse
from typing import Any

EPILOG = "exit status: 0 shown, 1 the node is in no tier, 2 no answer or bad use"


def add(commands: Any) -> None:
    tier: argparse.ArgumentParser = commands.add_parser(
        "tier", help="ask a running node what it holds of the others", epilog=EPILOG
    )
    verbs = tier.add_subparsers(title="what", metavar="WHAT", required=True)
    show = verbs.add_parser("show", help="members, states, round trips, suspicions", epilog=EPILOG)
    show.add_argument("address", metavar="HOST:PORT", help="where operators call the node")
    show.add_argument("--json", action="store_true")
    show.set_defaults(run=_run, part="members")
    state = verbs.add_parser("state", help="budgets, load by zone, servers held back", epilog=EPILOG)
    state.add_argument("address", metavar="HOST:PORT", help="where operators call the node")
    state.add_argument("--json", action="store_true")
    state.set_defaults(run=_run, part="state")


def _run(found: argparse.Namespace) -> int:
    from driftstair.tier import command

    return command.show(found.address, found.json, found.part)
