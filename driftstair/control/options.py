"""The command-line options of `driftstair control`. A command's code is imported only when it runs."""

from __future__ import annotations

import argparse
from typing import Any

SERVE_EPILOG = "exit status: 0 ended by SIGTERM or SIGINT, 1 it could not go on, 2 a bad file or address"
PUT_EPILOG = (
    "exit status: 0 committed, 1 refused, 2 a bad file or bad use, "
    "3 no answer in time (put again with the same id)"
)
SHOW_EPILOG = "exit status: 0 shown, 2 no server answers or bad use"
WITHIN_S_MAX = 3_600.0


def add(commands: Any) -> None:
    """Adds the parser of `driftstair control` to the subcommands of `driftstair`."""
    control: argparse.ArgumentParser = commands.add_parser(
        "control", help="serve the configuration, change it, see where it is in force"
    )
    subcommands = control.add_subparsers(title="what", metavar="WHAT", required=True)
    serve: argparse.ArgumentParser = subcommands.add_parser(
        "serve", help="be one control server", epilog=SERVE_EPILOG
    )
    serve.add_argument("file", metavar="FILE", help="TOML")
    serve.set_defaults(run=_serve)
    put = _add_subcommand(subcommands, "put", "commit a change set", PUT_EPILOG)
    put.add_argument("file", metavar="FILE", help="JSON or TOML")
    put.add_argument("--id", default="", metavar="ID", help="of the set: to put it again, or in the file")
    put.add_argument("--within", type=_seconds, default=30.0, metavar="SECONDS", help="(30)")
    put.set_defaults(run=_put)
    status = _add_subcommand(
        subcommands, "status", "revisions, in how many nodes each is in force, and who lags", SHOW_EPILOG
    )
    status.set_defaults(run=_status)
    log = _add_subcommand(subcommands, "log", "change sets in order", SHOW_EPILOG)
    log.add_argument("--from", dest="after", type=_revision, default=0, metavar="N", help="those after N (0)")
    log.set_defaults(run=_log)


def _add_subcommand(subcommands: Any, name: str, summary: str, epilog: str) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = subcommands.add_parser(name, help=summary, epilog=epilog)
    parser.add_argument("--servers", required=True, type=_servers, metavar="HOST:PORT,...")
    parser.add_argument("--json", action="store_true")
    return parser


def _servers(text: str) -> list[tuple[str, int]]:
    from driftstair.hosts import ListError, parse_address

    try:
        return [parse_address(word.strip()) for word in text.split(",")]
    except ListError as problem:
        raise argparse.ArgumentTypeError(f"{problem}; HOST:PORT,HOST:PORT would do") from None


def _seconds(text: str) -> float:
    seconds = float(text)
    if not 0 <= seconds <= WITHIN_S_MAX:
        raise argparse.ArgumentTypeError(f"{text} s; 0 to {WITHIN_S_MAX:g} would do")
    return seconds


def _revision(text: str) -> int:
    revision = int(text)
    if revision < 0:
        raise argparse.ArgumentTypeError(f"{text}; 0 or more would do")
    return revision


def _serve(arguments: argparse.Namespace) -> int:
    from driftstair.control import process

    return process.run(arguments.file)


def _put(arguments: argparse.Namespace) -> int:
    from driftstair.control import command

    return command.put_change_set(
        arguments.servers, arguments.file, arguments.id, arguments.within, arguments.json
    )


def _status(arguments: argparse.Namespace) -> int:
    from driftstair.control import command

    return command.show_status(arguments.servers, arguments.json)


def _log(arguments: argparse.Namespace) -> int:
    from driftstair.control import command

    return command.show_log(arguments.servers, arguments.after, arguments.json)
