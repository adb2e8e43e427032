"""The command line options of `driftstair rehearse`. What they start is imported only when it runs."""

from __future__ import annotations

import argparse
from typing import Any

EPILOG = """\
exit status: 0 all rules kept, 1 a rule broken or a crash, 2 bad use or a bad file
"""


def add(commands: Any) -> None:
    """Adds the `rehearse` command to the parser's commands."""
    rehearse: argparse.ArgumentParser = commands.add_parser(
        "rehearse",
        help="play past faults against the daemon on this machine",
        description=(
            "Play a scenario against the daemon, in virtual time or on loopback sockets, and report the "
            "service by worth and every rule break. NAME is a shipped scenario or a TOML file; 'hunt' "
            "searches for a scenario that does badly, 'compare' shows what changed between two reports."
        ),
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    rehearse.add_argument("scenario", nargs="*", metavar="NAME|FILE", help="or: hunt; compare A.json B.json")
    rehearse.add_argument("--list", action="store_true", help="the shipped scenarios")
    rehearse.add_argument("--show", action="store_true", help="print the scenario's file, to start one from")
    rehearse.add_argument("--seed", type=int, metavar="N")
    rehearse.add_argument("--nodes", type=int, metavar="N")
    rehearse.add_argument("--boxes", type=int, metavar="N")
    rehearse.add_argument("--rate", type=float, metavar="R", help="first tries a second")
    rehearse.add_argument("--seconds", type=float, metavar="S")
    rehearse.add_argument("--service", metavar="FILE", help="nodes with this service file")
    rehearse.add_argument("--json", metavar="FILE", help="write the report; - for standard output")
    rehearse.add_argument("--html", metavar="FILE", help="write the report as one page with plots")
    rehearse.add_argument("--sockets", action="store_true", help="real daemons on loopback, in real time")
    rehearse.add_argument("--budget", type=int, default=40, metavar="N", help="hunt: runs to spend")
    rehearse.add_argument("--jobs", type=int, default=0, metavar="N", help="hunt: runs at once")
    rehearse.add_argument("--out", metavar="FILE", help="hunt: where the worst scenario goes")
    rehearse.set_defaults(run=_run)


def _run(options: argparse.Namespace) -> int:
    from driftstair.rehearsal.command import run

    return run(options)
