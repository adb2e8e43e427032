"""Searches for a scenario with a bad outcome: draws faults and loads by seed, keeps the worst, and shrinks
it.

A broken rule, a crash or a standstill is worse than any loss of service. The worst scenario is reduced to the
smallest one that still fails in the same way (delta debugging: Zeller and Hildebrandt, TSE 2002), or that
still loses nearly as much, and written as a file that can be replayed.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from copy import deepcopy
from dataclasses import dataclass
from math import exp, log
from multiprocessing import get_context
from random import Random
from typing import Any

import tomli_w
from rich.console import Console

from driftstair.rehearsal import virtual
from driftstair.rehearsal.load import parse
from driftstair.rehearsal.report.build import to_json
from driftstair.rehearsal.seeds import random_for

FORMAT = "driftstair.rehearsal.hunt/1"
SHRINK_BUDGET_SHARE = 0.5  # maximum share of the budget for shrinking the worst scenario
MIN_KEPT_LOSS = 0.9  # share of the lost service that a smaller scenario must still lose
SCENARIO_S = 16.0
MIN_SCENARIO_S = 4.0

Tree = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Finding:
    """The outcome of one scenario. `failure` names the kind of failure: a smaller scenario must fail in the
    same way."""

    # "rule 3", "crash KeyError", "stuck", "service", or "kit KeyError" if the kit itself failed.
    failure: str
    lost: float  # share of the worth that was lost
    breaks: int
    evidence: str

    def severity(self) -> tuple[int, float]:
        """Returns a key that orders findings by how bad they are."""
        rank = {"crash": 3, "stuck": 2, "rule": 1}.get(self.failure.split(" ")[0], 0)
        return rank, self.lost

    def is_kit_failure(self) -> bool:
        """Whether the kit itself failed and not the daemon."""
        return self.failure.startswith("kit ")

    def is_serious(self) -> bool:
        """Whether a rule was broken, a node crashed or the run stood still."""
        return self.severity()[0] > 0


def evaluate(tree: Tree) -> Finding:
    """Plays a scenario in virtual time and returns its outcome."""
    try:
        rehearsal, _, _ = virtual.run_scenario(parse(deepcopy(tree), "drawn"))
    except Exception as problem:
        # A scenario that the kit can't play must not end the hunt and lose its findings. Two replacements of
        # one box were such a scenario.
        cause = problem.__cause__ or problem
        return Finding(f"kit {type(cause).__name__}", 0.0, 0, f"{problem}: {cause!r}")
    lost = 1.0 - rehearsal.account.total.service()
    breaks = rehearsal.checker.breaks
    if rehearsal.crashes:
        crash = rehearsal.crashes[0]
        return Finding(f"crash {crash.what.split(':')[0]}", lost, len(breaks), f"{crash.node}: {crash.what}")
    if rehearsal.stuck_reason:
        return Finding("stuck", lost, len(breaks), rehearsal.stuck_reason)
    if breaks:
        first = breaks[0]
        return Finding(f"rule {first.rule}", lost, len(breaks), f"{first.name}: {first.evidence}")
    return Finding("service", lost, 0, f"{lost:.3f} of the worth was lost")


# Drawing.


def draw_scenario(seed: int, index: int) -> Tree:
    """Draws the `index`-th scenario of a hunt."""
    random = random_for(seed, "hunt", index)
    boxes = random.randint(4, 8)
    # One box serves about 35 requests per second of the default classes.
    rate = round(boxes * 35 * random.uniform(0.5, 1.1), 1)
    return {
        "version": 1,
        "name": f"hunt-{seed}-{index}",
        "seed": random.randrange(1 << 31),
        "seconds": SCENARIO_S,
        "load": {"rate": rate, "keys": random.choice((50, 400, 1500))},
        "nodes": {"count": random.randint(1, 3)},
        "boxes": {"count": boxes, "grace_s": 3.0},
        "fault": [_draw_fault(random, boxes) for _ in range(random.randint(1, 4))],
    }


def _draw_fault(random: Random, boxes: int) -> Tree:
    kind = random.choice(tuple(_FAULT_DRAWS))
    fault: Tree = {
        "kind": kind,
        "at_s": round(random.uniform(0.5, SCENARIO_S * 0.6), 1),
        "for_s": round(random.uniform(2.0, SCENARIO_S * 0.6), 1),
    }
    return fault | _FAULT_DRAWS[kind](random, boxes)


def _log_uniform(random: Random, low: float, high: float) -> float:
    return round(exp(random.uniform(log(low), log(high))), 2)


def _boxes_to_hit(random: Random, boxes: int) -> Tree:
    return {"boxes": random.randint(1, max(1, boxes // 2))}


_FAULT_DRAWS: dict[str, Callable[[Random, int], Tree]] = {
    "slow-boxes": lambda random, boxes: _boxes_to_hit(random, boxes) | {"times": _log_uniform(random, 2, 12)},
    "everything-slow": lambda random, _: {"times": _log_uniform(random, 1.3, 4)},
    "box-dies": _boxes_to_hit,
    "box-vanishes": _boxes_to_hit,
    "box-errors": lambda random, boxes: _boxes_to_hit(random, boxes)
    | {"share": round(random.uniform(0.1, 1.0), 2)},
    "replace": lambda random, boxes: _boxes_to_hit(random, boxes) | {"same_address": random.random() < 0.5},
    "traffic-jump": lambda random, _: {"times": _log_uniform(random, 1.3, 4)},
    "surge": lambda random, _: {"of_class": "paid-live", "times": _log_uniform(random, 2, 8)},
    "list-outage": lambda random, _: {"silent": random.random() < 0.5},
    "list-lag": lambda random, _: {"extra_s": _log_uniform(random, 1, 9)},
    "watches-fall-silent": lambda random, _: {},
    "list-moves": lambda random, _: {},
    "node-dies": lambda random, _: {},
    "node-vanishes": lambda random, _: {},
    "node-restarts": lambda random, _: {},
}


# Shrinking.


def shrink_candidates(tree: Tree) -> Iterator[Tree]:
    """Yields scenarios that are slightly smaller than this one, the largest reductions first."""
    faults = tree["fault"]
    for index in range(len(faults)):
        if len(faults) > 1:
            yield tree | {"fault": faults[:index] + faults[index + 1 :]}
    last_begin_s = max((fault["at_s"] for fault in faults), default=0.0)
    for seconds in (tree["seconds"] / 2, tree["seconds"] * 0.75):
        if seconds >= max(MIN_SCENARIO_S, last_begin_s + 1.0):
            yield tree | {"seconds": round(seconds, 1)}
    for table, key, minimum in (("load", "rate", 5.0), ("boxes", "count", 2), ("nodes", "count", 1)):
        value = tree[table][key]
        half = round(value / 2, 1) if isinstance(value, float) else value // 2
        if half >= minimum and _fits(tree, key, table, half):
            yield tree | {table: tree[table] | {key: half}}
    for index, fault in enumerate(faults):
        for key, minimum in (("for_s", 1.0), ("at_s", 0.5), ("boxes", 1), ("times", 1.2), ("extra_s", 1.0)):
            value = fault.get(key)
            if value is None or value <= minimum:
                continue
            half = max(1, value // 2) if isinstance(value, int) else max(minimum, round(value / 2, 1))
            yield tree | {"fault": [*faults[:index], fault | {key: half}, *faults[index + 1 :]]}


def _fits(tree: Tree, key: str, table: str, count: float) -> bool:
    if table != "boxes":
        return True
    return all(fault.get("boxes", 1) <= count for fault in tree["fault"])


def shrink(
    tree: Tree, finding: Finding, budget: int, evaluate: Callable[[Tree], Finding]
) -> tuple[Tree, Finding, int]:
    """Returns the smallest scenario found that still fails in the same way, its outcome, and the number of
    runs spent."""
    spent = 0
    improved = True
    while improved:
        improved = False
        for candidate in shrink_candidates(tree):
            if spent >= budget:
                return tree, finding, spent
            spent += 1
            smaller_finding = evaluate(candidate)
            if smaller_finding.failure == finding.failure and (
                finding.is_serious() or smaller_finding.lost >= MIN_KEPT_LOSS * finding.lost
            ):
                tree, finding, improved = candidate, smaller_finding, True
                break
    return tree, finding, spent


# The hunt.


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a hunt."""

    seed: int
    runs: int
    scenario: Tree
    finding: Finding
    drawn_finding: Finding  # before shrinking
    cut_off: bool
    kit_failures: tuple[tuple[Tree, Finding], ...] = ()  # scenarios on which the kit itself failed

    def as_data(self) -> Tree:
        """Returns the result as plain data for JSON."""
        return {
            "format": FORMAT,
            "seed": self.seed,
            "runs": self.runs,
            "cut_off": self.cut_off,
            "way": self.finding.failure,
            "lost": round(self.finding.lost, 6),
            "breaks": self.finding.breaks,
            "evidence": self.finding.evidence,
            "lost_as_drawn": round(self.drawn_finding.lost, 6),
            "scenario": self.scenario,
            "kit_failures": [
                {"way": finding.failure, "evidence": finding.evidence, "scenario": scenario}
                for scenario, finding in self.kit_failures
            ],
        }


def hunt(
    seed: int, budget: int, jobs: int = 1, tick: Callable[[int, str], None] = lambda runs, description: None,
    interrupted: Callable[[], bool] = lambda: False,
) -> Result:  # fmt: skip
    """Searches with at most `budget` runs. A serious finding ends the drawing of scenarios. The same seed
    gives the same result with any number of jobs."""
    draw_count = max(1, budget - int(budget * SHRINK_BUDGET_SHARE)) if budget > 1 else 1
    worst: tuple[Tree, Finding] | None = None
    kit_failures: list[tuple[Tree, Finding]] = []
    runs = 0
    for tree, finding in _evaluate_drawn(seed, draw_count, jobs):
        runs += 1
        if finding.is_kit_failure():
            kit_failures.append((tree, finding))
        elif worst is None or finding.severity() > worst[1].severity():
            worst = tree, finding
        if worst is not None:
            tick(runs, f"worst so far: {worst[1].failure}, {worst[1].lost:.3f} lost")
        if finding.is_serious() or interrupted():
            break
    if worst is None:  # the kit failed on every scenario
        (tree, drawn_finding), *_ = kit_failures
        return Result(seed, runs, tree, drawn_finding, drawn_finding, interrupted(), tuple(kit_failures))
    tree, drawn_finding = worst
    cut_off = interrupted()
    finding = drawn_finding
    if not cut_off:

        def evaluate_candidate(candidate: Tree) -> Finding:
            nonlocal runs
            runs += 1
            tick(runs, f"making it smaller: {drawn_finding.failure}")
            return evaluate(candidate)

        tree, finding, _ = shrink(tree, drawn_finding, budget - runs, evaluate_candidate)
    return Result(seed, runs, tree, finding, drawn_finding, cut_off, tuple(kit_failures))


def _evaluate_drawn(seed: int, number: int, jobs: int) -> Iterator[tuple[Tree, Finding]]:
    """Yields drawn scenarios with their outcomes, in the order of their index."""
    trees = [draw_scenario(seed, index) for index in range(number)]
    if jobs <= 1:
        for tree in trees:
            yield tree, evaluate(tree)
        return
    with ProcessPoolExecutor(jobs, mp_context=get_context("fork")) as pool:
        try:
            yield from zip(trees, pool.map(evaluate, trees), strict=True)
        finally:
            pool.shutdown(wait=False, cancel_futures=True)


def file_text(result: Result, tree: Tree | None = None, finding: Finding | None = None) -> str:
    """Returns the text of a scenario file that replays a finding: by default the worst one."""
    finding = finding or result.finding
    evidence = " ".join(finding.evidence.split())
    header = (
        f"# Found by: driftstair rehearse hunt --seed {result.seed}, in {result.runs} runs.\n"
        f"# {finding.failure}: {evidence}\n\n"
    )
    return header + tomli_w.dumps(tree or result.scenario)


def command(options: argparse.Namespace, console: Console) -> int:
    """Implements `driftstair rehearse hunt`."""
    from driftstair.rehearsal.command import EXIT_RULES_BROKEN, EXIT_RULES_KEPT, interruptible

    seed = options.seed or 1
    jobs = options.jobs or min(options.budget, os.cpu_count() or 1)
    err = Console(stderr=True)

    def tick(runs: int, description: str) -> None:
        if err.is_terminal:
            err.print(f"run {runs} of {options.budget}; {description}", end="\r", highlight=False)

    with interruptible() as interrupted:
        result = hunt(seed, options.budget, jobs, tick, interrupted)
    path = options.out or f"{result.scenario['name']}.toml"
    with open(path, "w", encoding="utf-8") as file:
        file.write(file_text(result))
    for tree, finding in result.kit_failures:
        path_of_failure = f"{tree['name']}-kit.toml"
        with open(path_of_failure, "w", encoding="utf-8") as file:
            file.write(file_text(result, tree, finding))
        err.print(
            f"{finding.failure}: the kit itself failed; kept in {path_of_failure}",
            markup=False,
            highlight=False,
        )
    if options.json == "-":
        sys.stdout.write(to_json(result.as_data()))
    else:
        if options.json:
            with open(options.json, "w", encoding="utf-8") as file:
                file.write(to_json(result.as_data()))
        style = "red" if result.finding.is_serious() else "yellow"
        console.print(f"[bold {style}]{result.finding.failure}[/] after {result.runs} runs", highlight=False)
        console.print(result.finding.evidence, markup=False, highlight=False)
        console.print(f"[dim]written to {path}; replay it with: driftstair rehearse {path}[/dim]")
        if result.cut_off:
            console.print("[yellow]cut off[/yellow]")
    return EXIT_RULES_BROKEN if result.finding.is_serious() or result.kit_failures else EXIT_RULES_KEPT
