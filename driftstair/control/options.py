"""`driftstair control`: its options. What they start is loaded only then."""

from __future__ import annotations

import argparse
from typing import Any

SERVE = "exit status: 0 ended by SIGTERM or SIGINT, 1 it could not go on, 2 a bad file or address"
PUT = (
    "exit status: 0 committed, 1 refused, 2 a bad file or bad use, "
    "3 no answer in time (put again with the same id)"
)
SHOW = "exit status: 0 shown, 2 no server answers or bad use"
WITHIN_S_MAX = 3_600.0


def add(commands: Any) -> None:
    control: argparse.ArgumentParser = commands.add_parser(
        "control", help="serve the configuration, change it, see where it is in force"
    )
    verbs = control.add_subparsers(title="what", metavar="WHAT", required=True)
    serve: argparse.ArgumentParser = verbs.add_parser("serve", help="be one control server", epilog=SERVE)
    serve.add_argument("file", metavar="FILE", help="TOML")
    serve.set_defaults(run=_serve)
    put = _verb(verbs, "put", "commit a change set", PUT)
    put.add_argument("file", metavar="FILE", help="JSON or TOML")
    put.add_argument("--id", default="", metavar="ID", help="of the set: to put it again, or in the file")
    put.add_argument("--within", type=_seconds, default=30.0, metavar="SECONDS", help="(30)")
    put.set_defaults(run=_put)
    status = _verb(verbs, "status", "revisions, in how many nodes each is in force, and who lags", SHOW)
    status.set_defaults(run=_status)
    log = _verb(verbs, "log", "change sets in order", SHOW)
    log.add_argument("--from", dest="after", type=_revision, default=0, metavar="N", help="those after N (0)")
    log.set_defaults(run=_log)


def _verb(verbs: Any, name: str, what: str, epilog: str) -> argparse.ArgumentParser:
    verb: argparse.ArgumentParser = verbs.add_parser(name, help=what, epilog=epilog)
    verb.add_argument("--servers", required=True, type=_servers, metavar="HOST:PORT,...")
    verb.add_argument("--json", action="store_true")
    return verb


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


def _serve(found: argparse.Namespace) -> int:
    from driftstair.control import process

    return process.run(found.file)


def _put(found: argparse.Namespace) -> int:
    from driftstair.control import command

    return command.put(found.servers, found.file, found.id, found.within, found.json)


def _status(found: argparse.Namespace) -> int:
    from driftstair.control import command

    return command.status(found.servers, found.json)


def _log(found: argparse.Namespace) -> int:
    from driftstair.control import command

    return command.log(found.servers, found.after, found.json)
