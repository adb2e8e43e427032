"""The parser of all subcommands. Each subsystem adds its own; its code is loaded when a command is run."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence

CommandFunction = Callable[[argparse.Namespace], int]

EXTRA_BY_MODULE = {
    "rich": "rehearsal",
    "pydantic": "service",
    "tomli_w": "rehearsal",
    "msgspec": "tier",
    "scipy": "experiments",
    "numpy": "experiments",
}


def parser() -> argparse.ArgumentParser:
    """The parser with the options of all subcommands."""
    command_parser = argparse.ArgumentParser(
        prog="driftstair",
        description="A reverse-proxy node. With no subcommand it is the daemon.",
    )
    subparsers = command_parser.add_subparsers(title="subcommands", metavar="COMMAND", required=True)

    from driftstair.control import options as control
    from driftstair.experiments import options as experiments
    from driftstair.ledger import options as ledger
    from driftstair.model import options as model
    from driftstair.rehearsal import options as rehearsal
    from driftstair.service import options as service
    from driftstair.tier import options as tier

    command_parser.add_argument(
        "--service", metavar="FILE", help="the daemon with a service file (or DRIFTSTAIR_SERVICE)"
    )
    rehearsal.add(subparsers)
    service.add(subparsers)
    ledger.add(subparsers)
    model.add(subparsers)
    experiments.add(subparsers)
    tier.add(subparsers)
    control.add(subparsers)
    return command_parser


def run(arguments: Sequence[str]) -> int:
    """Runs a command; returns the exit status, 2 for wrong usage."""
    parsed = parser().parse_args(arguments)
    command: CommandFunction = parsed.run
    try:
        return command(parsed)
    except ModuleNotFoundError as problem:
        extra = EXTRA_BY_MODULE.get(problem.name or "")
        if extra is None:
            raise
        print(
            f"driftstair: this command needs {problem.name}: pip install 'driftstair[{extra}]'",
            file=sys.stderr,
        )
        return 2
