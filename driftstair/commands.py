"""The subcommands: one parser for all. Each subsystem adds its own, and is loaded when it is asked for."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable, Sequence

Run = Callable[[argparse.Namespace], int]

EXTRAS = {
    "rich": "rehearsal",
    "pydantic": "service",
    "tomli_w": "rehearsal",
    "msgspec": "tier",
    "scipy": "experiments",
    "numpy": "experiments",
}


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="driftstair",
        description="A reverse-proxy node. With no subcommand it is the daemon.",
    )
    commands = top.add_subparsers(title="subcommands", metavar="COMMAND", required=True)

    from driftstair.control import options as control
    from driftstair.experiments import options as experiments
    from driftstair.ledger import options as ledger
    from driftstair.model import options as model
    from driftstair.rehearsal import options as rehearsal
    from driftstair.service import options as service
    from driftstair.tier import options as tier

    top.add_argument(
        "--service", metavar="FILE", help="the daemon with a service file (or " "DRIFTSTAIR_SERVICE)"
    )
    rehearsal.add(commands)
    service.add(commands)
    ledger.add(commands)
    model.add(commands)
    experiments.add(commands)
    tier.add(commands)
    control.add(commands)
    return top


def run(arguments: Sequence[str]) -> int:
    """The exit status: 2 for bad use."""
    found = parser().parse_args(arguments)
    chosen: Run = found.run
    try:
        return chosen(found)
    except ModuleNotFoundError as problem:
        extra = EXTRAS.get(problem.name or "")
        if extra is None:
            raise
        print(
            f"driftstair: this command wants {problem.name}: pip install 'driftstair[{extra}]'",
            file=sys.stderr,
        )
        return 2
