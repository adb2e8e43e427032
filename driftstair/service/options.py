"""Options of `driftstair config`. The implementation is imported only when a subcommand runs."""

from __future__ import annotations

import argparse
from typing import Any

EPILOG = "exit status: 0 nothing wrong (warnings apart), 1 problems, 2 unreadable or bad use"


def add(commands: Any) -> None:
    """Adds the subcommand and its options."""
    config: argparse.ArgumentParser = commands.add_parser(
        "config", help="check, show or describe the service file", epilog=EPILOG
    )
    subcommands = config.add_subparsers(title="what", metavar="check|show|schema", required=True)
    check = subcommands.add_parser("check", help="every problem of a file, with what would do", epilog=EPILOG)
    show = subcommands.add_parser("show", help="the values in effect, and where each comes from")
    for parser in (check, show):
        parser.add_argument("file", metavar="FILE")
        parser.add_argument(
            "--config", metavar="PLATFORM.json", help="the platform's configuration to fit it to"
        )
        parser.add_argument("--json", action="store_true")
    schema = subcommands.add_parser("schema", help="JSON Schema of the service file")
    check.set_defaults(run=_run, what="check")
    show.set_defaults(run=_run, what="show")
    schema.set_defaults(run=_run, what="schema")


def _run(arguments: argparse.Namespace) -> int:
    from driftstair.service import command

    handlers = {"check": command.check, "show": command.show, "schema": command.schema}
    return handlers[arguments.what](arguments)
