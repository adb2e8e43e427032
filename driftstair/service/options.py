"""`driftstair config`: its options. What they start is loaded only then."""

from __future__ import annotations

import argparse
from typing import Any

EPILOG = "exit status: 0 nothing wrong (warnings apart), 1 problems, 2 unreadable or bad use"


def add(commands: Any) -> None:
    config: argparse.ArgumentParser = commands.add_parser(
        "config", help="check, show or describe the service file", epilog=EPILOG
    )
    verbs = config.add_subparsers(title="what", metavar="check|show|schema", required=True)
    check = verbs.add_parser("check", help="every problem of a file, with what would do", epilog=EPILOG)
    show = verbs.add_parser("show", help="the values in effect, and where each comes from")
    for one in (check, show):
        one.add_argument("file", metavar="FILE")
        one.add_argument(
            "--config", metavar="PLATFORM.json", help="the platform's configuration to fit it to"
        )
        one.add_argument("--json", action="store_true")
    schema = verbs.add_parser("schema", help="JSON Schema of the service file")
    check.set_defaults(run=_run, what="check")
    show.set_defaults(run=_run, what="show")
    schema.set_defaults(run=_run, what="schema")


def _run(found: argparse.Namespace) -> int:
    from driftstair.service import command

    verbs = {"check": command.check, "show": command.show, "schema": command.schema}
    return verbs[found.what](found)
