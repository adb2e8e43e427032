"""The options of `driftstair model`. The code of the command is imported only when it runs."""

from __future__ import annotations

import argparse
from typing import Any

EPILOG = """\
exit status: 0 played, 1 a cold box was pushed over, 2 bad use or a bad file
"""


def add(subparsers: Any) -> None:
    """Adds the parser of the command."""
    parser: argparse.ArgumentParser = subparsers.add_parser(
        "model",
        help="play a scenario on a model of the whole fleet, at sizes that daemons don't reach",
        description=(
            "Play a rehearsal's scenario with the decision module alone, one object a node, before modelled "
            "boxes and clients: hundreds of nodes on one core. No sockets and no daemon. One row a seed, and "
            "their mean. NAME is a shipped scenario or a TOML file."
        ),
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("scenario", metavar="NAME|FILE")
    parser.add_argument("--seeds", type=int, nargs="+", metavar="N", help="each a run of its own")
    parser.add_argument("--nodes", type=int, metavar="N")
    parser.add_argument("--boxes", type=int, metavar="N")
    parser.add_argument("--rate", type=float, metavar="R", help="first tries a second")
    parser.add_argument("--seconds", type=float, metavar="S")
    parser.add_argument(
        "--policy", default="module", metavar="P", help="module, or a baseline; --policy list"
    )
    parser.add_argument("--jobs", type=int, default=0, metavar="N", help="runs at once; 0: one for each core")
    parser.add_argument("--by-second", action="store_true", help="also the state at each second of each run")
    parser.add_argument("--json", metavar="FILE", help="write all rows; - for standard output")
    parser.set_defaults(run=_run)


def _run(options: argparse.Namespace) -> int:
    from driftstair.model.command import run

    return run(options)
