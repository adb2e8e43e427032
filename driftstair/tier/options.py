"""Options of `driftstair tier`. The command itself is imported only when it runs."""

from __future__ import annotations

import argparse
from typing import Any

REPORT_EPILOG = "exit status: 0 shown, 1 the node is in no tier, 2 no answer or bad use"
ORDER_EPILOG = "exit status: 0 done, 1 it can't be and nothing has changed, 2 no answer or bad use"


def add(commands: Any) -> None:
    """Adds the subcommand `tier` with its own subcommands."""
    tier: argparse.ArgumentParser = commands.add_parser(
        "tier", help="ask a running node about the others, permits and owners", epilog=REPORT_EPILOG
    )
    subcommands = tier.add_subparsers(title="what", metavar="WHAT", required=True)
    for name, part, help_text in (
        ("show", "members", "members, states, round trips, suspicions"),
        ("state", "state", "budgets, load by zone, servers held back"),
        ("owners", "owners", "who has which task, as this node knows"),
        ("permits", "permits", "who is out or waits to be, as this node knows"),
    ):
        subcommand = _add_subcommand(subcommands, name, help_text, REPORT_EPILOG)
        subcommand.add_argument("--json", action="store_true")
        subcommand.set_defaults(run=_show, part=part)
    permit = _add_subcommand(subcommands, "permit", "wait for a permit to be out", ORDER_EPILOG)
    permit.add_argument(
        "--for", dest="purpose", choices=("restart", "drain", "upgrade"), default="restart", help="(restart)"
    )
    permit.add_argument("--within", type=_parse_seconds, default=300.0, metavar="SECONDS", help="(300)")
    permit.set_defaults(run=_permit)
    _add_subcommand(subcommands, "give-back", "the node is in service again", ORDER_EPILOG).set_defaults(
        run=_give_back
    )
    hand_over = _add_subcommand(subcommands, "hand-over", "a task of this node to another", ORDER_EPILOG)
    hand_over.add_argument("task", metavar="TASK")
    hand_over.add_argument("node", metavar="NODE", help="its number")
    hand_over.set_defaults(run=_hand_over)
    release = _add_subcommand(
        subcommands, "release", "a task of this node to whoever asks next", ORDER_EPILOG
    )
    release.add_argument("task", metavar="TASK")
    release.add_argument("--token", required=True, help="of the lease, as `owners` tells it")
    release.set_defaults(run=_release)


def _add_subcommand(subcommands: Any, name: str, help_text: str, epilog: str) -> argparse.ArgumentParser:
    subcommand: argparse.ArgumentParser = subcommands.add_parser(name, help=help_text, epilog=epilog)
    subcommand.add_argument("address", metavar="HOST:PORT", help="where operators call the node")
    return subcommand


def _parse_seconds(text: str) -> float:
    seconds = float(text)
    if not 0 <= seconds <= 86_400:
        raise argparse.ArgumentTypeError(f"{text} s; 0 to 86400 would do")
    return seconds


def _show(arguments: argparse.Namespace) -> int:
    from driftstair.tier import command

    return command.show(arguments.address, arguments.json, arguments.part)


def _permit(arguments: argparse.Namespace) -> int:
    from driftstair.tier import command

    return command.permit(arguments.address, arguments.purpose, arguments.within)


def _give_back(arguments: argparse.Namespace) -> int:
    from driftstair.tier import command

    return command.give_back(arguments.address)


def _hand_over(arguments: argparse.Namespace) -> int:
    from driftstair.tier import command

    return command.hand_over(arguments.address, arguments.task, arguments.node)


def _release(arguments: argparse.Namespace) -> int:
    from driftstair.tier import command

    return command.release(arguments.address, arguments.task, arguments.token)
