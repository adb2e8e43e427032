"""The command `python -m benchmarks.soak`: executes runs by seed and reports the violated rules."""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import asdict
from pathlib import Path

from benchmarks.soak.faults import FaultKind, Plan, RunSize, draw_plan
from benchmarks.soak.judge import format_timeline
from benchmarks.soak.planted import DEFECTS
from benchmarks.soak.run import Outcome, execute_plan
from benchmarks.soak.shim import ShimError

MAX_PRINTED_VIOLATIONS = 5  # per run
USAGE_ERROR_STATUS = 2
MAX_DURATION_S = 600.0
MAX_NODES = 100


class Parser(argparse.ArgumentParser):
    """An argument parser that reports a usage error on a single line."""

    def error(self, message: str) -> None:  # type: ignore[override]
        """Prints one line and exits with status 2."""
        print(f"soak: {message}", file=sys.stderr)
        raise SystemExit(USAGE_ERROR_STATUS)


def build_parser() -> Parser:
    """Returns the parser of the command's options."""
    parser = Parser(prog="python -m benchmarks.soak", description="Real daemons under overlapping faults.")
    size = RunSize()
    parser.add_argument("--seeds", type=int, default=3, help="runs, from seed `--first` on")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seed", type=int, help="one run alone")
    parser.add_argument("--nodes", type=int, default=size.nodes)
    parser.add_argument("--servers", type=int, default=size.servers)
    parser.add_argument("--clients", type=int, default=size.clients)
    parser.add_argument("--seconds", type=float, default=size.duration_s)
    parser.add_argument("--quiet", type=float, default=size.idle_before_s, help="s ahead without a request")
    parser.add_argument("--only", default="", help="kinds of faults, with commas between them")
    parser.add_argument("--planted", default="", help="a defect, by name: " + ", ".join(DEFECTS))
    parser.add_argument("--keep", type=Path, help="a folder for logs and records")
    return parser


def parse_fault_kinds(parser: Parser, text: str) -> frozenset[FaultKind]:
    """Parses a comma-separated list of fault kinds; an empty text stands for all kinds."""
    kinds_by_name = {kind.value: kind for kind in FaultKind}
    for name in filter(None, text.split(",")):
        if name not in kinds_by_name:
            parser.error(f"--only {name!r}: no kind of fault; one of {', '.join(kinds_by_name)} would do")
    return frozenset(kinds_by_name[name] for name in filter(None, text.split(","))) or frozenset(FaultKind)


def report_outcome(outcome: Outcome, keep_folder: Path | None) -> None:
    """Prints the result of a run, and writes it as JSON to `keep_folder` if one is given."""
    plan = outcome.plan
    verdict = "kept" if not outcome.violations else f"BROKEN {len(outcome.violations)} times"
    answers = " ".join(f"{status}:{number}" for status, number in sorted(outcome.answers_by_status.items()))
    print(
        f"seed {plan.seed}: rules {verdict}; {outcome.request_count} requests, "
        f"{outcome.attempt_count} attempts, "
        f"answers {answers}, {len(plan.faults)} faults, "
        f"lists {'pushed' if plan.lists_are_pushed else 'asked for'}, "
        f"observer late by {outcome.max_lag_s * 1000:.0f} ms at most",
        flush=True,
    )
    for violation in outcome.violations[:MAX_PRINTED_VIOLATIONS]:
        print(f"  {violation.rule}: node {violation.node}, request {violation.request}: {violation.detail}")
    first_violation = next((violation for violation in outcome.violations if violation.request), None)
    if first_violation is not None:
        print(f"  request {first_violation.request}:")
        for line in format_timeline(outcome.records.requests[first_violation.request]):
            print(f"    {line}")
    if outcome.violations:
        print("  faults:")
        for fault in plan.faults:
            print(f"    {fault}")
    if keep_folder is not None:
        document = {
            "plan": [str(fault) for fault in plan.faults],
            "violations": [asdict(violation) for violation in outcome.violations],
            "timelines": {
                violation.request: format_timeline(outcome.records.requests[violation.request])
                for violation in outcome.violations
                if violation.request
            },
        }
        (keep_folder / f"seed-{plan.seed}.json").write_text(json.dumps(document, indent=1))


def main(arguments: list[str] | None = None) -> int:
    """Executes the runs that the arguments ask for; returns 1 if any of them violated a rule."""
    parser = build_parser()
    options = parser.parse_args(arguments)
    for name, value, maximum in (
        ("--nodes", options.nodes, MAX_NODES),
        ("--servers", options.servers, MAX_NODES),
        ("--clients", options.clients, 1000),
        ("--seconds", options.seconds, MAX_DURATION_S),
        ("--seeds", options.seeds, 1000),
        ("--quiet", options.quiet, MAX_DURATION_S),
    ):
        minimum = {"--seconds": 3, "--quiet": 0}.get(name, 1)
        if not minimum <= value <= maximum:
            parser.error(f"{name} {value}: a number from {minimum} to {maximum:g} would do")
    if options.planted and options.planted not in DEFECTS:
        parser.error(f"--planted {options.planted!r}: no defect; one of {', '.join(DEFECTS)} would do")
    if options.keep is not None and not options.keep.is_dir():
        parser.error(f"--keep {options.keep}: no folder; one that exists would do")
    fault_kinds = parse_fault_kinds(parser, options.only)
    size = RunSize(options.nodes, options.servers, options.clients, options.seconds, options.quiet)
    seeds = (
        [options.seed] if options.seed is not None else range(options.first, options.first + options.seeds)
    )
    broken_runs = 0
    for seed in seeds:
        plan: Plan = draw_plan(seed, size, fault_kinds)
        try:
            outcome = execute_plan(plan, options.planted, options.keep)
        except ShimError as error:
            parser.error(str(error))
        report_outcome(outcome, options.keep)
        broken_runs += bool(outcome.violations)
    print(f"{len(seeds)} runs, {broken_runs} broken")
    return 1 if broken_runs else 0


if __name__ == "__main__":
    sys.exit(main())
