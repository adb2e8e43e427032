"""Searches for a scenario that does badly: draws faults and loads by seed, keeps the worst, and shrinks it.

A broken rule, a crash or a standstill is worse than any loss of service. What is found is cut down to the
smallest scenario that still fails in the same way (delta debugging: Zeller and Hildebrandt, TSE 2002), or
that still loses nearly as much, and written as a file that replays.
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
from driftstair.rehearsal.report.build import text_of
from driftstair.rehearsal.seeds import random_for

FORMAT = "driftstair.rehearsal.hunt/1"
SHRINK_PART = 0.5  # of the budget, at most, goes to making the worst smaller
KEEPS = 0.9  # of the lost service that a smaller scenario must still lose
SECONDS = 16.0
LEAST_SECONDS = 4.0

Tree = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Finding:
    """How badly one scenario went. `way` names the failure: a smaller scenario must fail in the same way."""

    way: str  # "rule 3", "crash KeyError", "stuck", "service", or "kit KeyError" where the kit itself failed
    lost: float  # share of the worth
    breaks: int
    evidence: str

    def badness(self) -> tuple[int, float]:
        grave = {"crash": 3, "stuck": 2, "rule": 1}.get(self.way.split(" ")[0], 0)
        return grave, self.lost

    def is_the_kits(self) -> bool:
        """It tells of the kit and not of the daemon."""
        return self.way.startswith("kit ")

    def is_grave(self) -> bool:
        return self.badness()[0] > 0


def judge(tree: Tree) -> Finding:
    """Play a scenario in virtual time."""
    try:
        rehearsal, _, _ = virtual.run_scenario(parse(deepcopy(tree), "drawn"))
    except Exception as problem:
        # Guards against the end of a hunt, and the loss of all it has found, by a scenario that the kit can't
        # play: seen with two replacements of one box.
        cause = problem.__cause__ or problem
        return Finding(f"kit {type(cause).__name__}", 0.0, 0, f"{problem}: {cause!r}")
    lost = 1.0 - rehearsal.account.whole.service()
    breaks = rehearsal.checker.breaks
    if rehearsal.crashes:
        crash = rehearsal.crashes[0]
        return Finding(f"crash {crash.what.split(':')[0]}", lost, len(breaks), f"{crash.node}: {crash.what}")
    if rehearsal.stuck:
        return Finding("stuck", lost, len(breaks), rehearsal.stuck)
    if breaks:
        first = breaks[0]
        return Finding(f"rule {first.rule}", lost, len(breaks), f"{first.name}: {first.evidence}")
    return Finding("service", lost, 0, f"{lost:.3f} of the worth was lost")


# Drawing.


def draw(seed: int, index: int) -> Tree:
    """The `index`-th scenario of a hunt."""
    random = random_for(seed, "hunt", index)
    boxes = random.randint(4, 8)
    # Around 35 requests a second are what one box does of the default classes.
    rate = round(boxes * 35 * random.uniform(0.5, 1.1), 1)
    return {
        "version": 1,
        "name": f"hunt-{seed}-{index}",
        "seed": random.randrange(1 << 31),
        "seconds": SECONDS,
        "load": {"rate": rate, "keys": random.choice((50, 400, 1500))},
        "nodes": {"count": random.randint(1, 3)},
        "boxes": {"count": boxes, "grace_s": 3.0},
        "fault": [_fault(random, boxes) for _ in range(random.randint(1, 4))],
    }


def _fault(random: Random, boxes: int) -> Tree:
    kind = random.choice(tuple(_DRAWS))
    drawn: Tree = {
        "kind": kind,
        "at_s": round(random.uniform(0.5, SECONDS * 0.6), 1),
        "for_s": round(random.uniform(2.0, SECONDS * 0.6), 1),
    }
    return drawn | _DRAWS[kind](random, boxes)


def _log_uniform(random: Random, low: float, high: float) -> float:
    return round(exp(random.uniform(log(low), log(high))), 2)


def _some(random: Random, boxes: int) -> Tree:
    return {"boxes": random.randint(1, max(1, boxes // 2))}


_DRAWS: dict[str, Callable[[Random, int], Tree]] = {
    "slow-boxes": lambda random, boxes: _some(random, boxes) | {"times": _log_uniform(random, 2, 12)},
    "everything-slow": lambda random, _: {"times": _log_uniform(random, 1.3, 4)},
    "box-dies": _some,
    "box-vanishes": _some,
    "box-errors": lambda random, boxes: _some(random, boxes) | {"share": round(random.uniform(0.1, 1.0), 2)},
    "replace": lambda random, boxes: _some(random, boxes) | {"same_address": random.random() < 0.5},
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


def smaller(tree: Tree) -> Iterator[Tree]:
    """Scenarios that are a little less than this one, the largest cuts first."""
    faults = tree["fault"]
    for index in range(len(faults)):
        if len(faults) > 1:
            yield tree | {"fault": faults[:index] + faults[index + 1 :]}
    last = max((one["at_s"] for one in faults), default=0.0)
    for seconds in (tree["seconds"] / 2, tree["seconds"] * 0.75):
        if seconds >= max(LEAST_SECONDS, last + 1.0):
            yield tree | {"seconds": round(seconds, 1)}
    for table, key, least in (("load", "rate", 5.0), ("boxes", "count", 2), ("nodes", "count", 1)):
        value = tree[table][key]
        half = round(value / 2, 1) if isinstance(value, float) else value // 2
        if half >= least and _fits(tree, key, table, half):
            yield tree | {table: tree[table] | {key: half}}
    for index, one in enumerate(faults):
        for key, least in (("for_s", 1.0), ("at_s", 0.5), ("boxes", 1), ("times", 1.2), ("extra_s", 1.0)):
            value = one.get(key)
            if value is None or value <= least:
                continue
            half = max(1, value // 2) if isinstance(value, int) else max(least, round(value / 2, 1))
            yield tree | {"fault": [*faults[:index], one | {key: half}, *faults[index + 1 :]]}


def _fits(tree: Tree, key: str, table: str, value: float) -> bool:
    if table != "boxes":
        return True
    return all(one.get("boxes", 1) <= value for one in tree["fault"])


def shrink(
    tree: Tree, found: Finding, budget: int, judge: Callable[[Tree], Finding]
) -> tuple[Tree, Finding, int]:
    """The smallest scenario met that still fails in the same way: with what it did, and the runs spent."""
    spent = 0
    again = True
    while again:
        again = False
        for candidate in smaller(tree):
            if spent >= budget:
                return tree, found, spent
            spent += 1
            tried = judge(candidate)
            if tried.way == found.way and (found.is_grave() or tried.lost >= KEEPS * found.lost):
                tree, found, again = candidate, tried, True
                break
    return tree, found, spent


# The hunt.


@dataclass(frozen=True, slots=True)
class Result:
    seed: int
    runs: int
    tree: Tree
    found: Finding
    drawn: Finding  # before it was made smaller
    cut_off: bool
    kits: tuple[tuple[Tree, Finding], ...] = ()  # what the kit itself failed on

    def as_data(self) -> Tree:
        return {
            "format": FORMAT,
            "seed": self.seed,
            "runs": self.runs,
            "cut_off": self.cut_off,
            "way": self.found.way,
            "lost": round(self.found.lost, 6),
            "breaks": self.found.breaks,
            "evidence": self.found.evidence,
            "lost_as_drawn": round(self.drawn.lost, 6),
            "scenario": self.tree,
            "kit_failures": [
                {"way": found.way, "evidence": found.evidence, "scenario": tree} for tree, found in self.kits
            ],
        }


def hunt(
    seed: int, budget: int, jobs: int = 1, tick: Callable[[int, str], None] = lambda runs, what: None,
    interrupted: Callable[[], bool] = lambda: False,
) -> Result:  # fmt: skip
    """At most `budget` runs. A grave finding ends the drawing; the same seed finds the same, with any number
    of jobs."""
    to_draw = max(1, budget - int(budget * SHRINK_PART)) if budget > 1 else 1
    worst: tuple[Tree, Finding] | None = None
    kits: list[tuple[Tree, Finding]] = []
    runs = 0
    for tree, found in _drawn(seed, to_draw, jobs):
        runs += 1
        if found.is_the_kits():
            kits.append((tree, found))
        elif worst is None or found.badness() > worst[1].badness():
            worst = tree, found
        if worst is not None:
            tick(runs, f"worst so far: {worst[1].way}, {worst[1].lost:.3f} lost")
        if found.is_grave() or interrupted():
            break
    if worst is None:  # the kit failed on every one
        (tree, drawn), *_ = kits
        return Result(seed, runs, tree, drawn, drawn, interrupted(), tuple(kits))
    tree, drawn = worst
    cut_off = interrupted()
    found = drawn
    if not cut_off:

        def tried(candidate: Tree) -> Finding:
            nonlocal runs
            runs += 1
            tick(runs, f"making it smaller: {drawn.way}")
            return judge(candidate)

        tree, found, _ = shrink(tree, drawn, budget - runs, tried)
    return Result(seed, runs, tree, found, drawn, cut_off, tuple(kits))


def _drawn(seed: int, number: int, jobs: int) -> Iterator[tuple[Tree, Finding]]:
    trees = [draw(seed, index) for index in range(number)]
    if jobs <= 1:
        for tree in trees:
            yield tree, judge(tree)
        return
    with ProcessPoolExecutor(jobs, mp_context=get_context("fork")) as pool:
        try:
            yield from zip(trees, pool.map(judge, trees), strict=True)
        finally:
            pool.shutdown(wait=False, cancel_futures=True)


def file_text(result: Result, tree: Tree | None = None, found: Finding | None = None) -> str:
    """A scenario file that replays what was found: the worst, or another one."""
    found = found or result.found
    evidence = " ".join(found.evidence.split())
    head = (
        f"# Found by: driftstair rehearse hunt --seed {result.seed}, in {result.runs} runs.\n"
        f"# {found.way}: {evidence}\n\n"
    )
    return head + tomli_w.dumps(tree or result.tree)


def command(options: argparse.Namespace, console: Console) -> int:
    from driftstair.rehearsal.command import BROKEN, KEPT, interruptible

    seed = options.seed or 1
    jobs = options.jobs or min(options.budget, os.cpu_count() or 1)
    err = Console(stderr=True)

    def tick(runs: int, what: str) -> None:
        if err.is_terminal:
            err.print(f"run {runs} of {options.budget}; {what}", end="\r", highlight=False)

    with interruptible() as interrupted:
        result = hunt(seed, options.budget, jobs, tick, interrupted)
    path = options.out or f"{result.tree['name']}.toml"
    with open(path, "w", encoding="utf-8") as file:
        file.write(file_text(result))
    for tree, found in result.kits:
        kept = f"{tree['name']}-kit.toml"
        with open(kept, "w", encoding="utf-8") as file:
            file.write(file_text(result, tree, found))
        err.print(f"{found.way}: the kit itself failed; kept in {kept}", markup=False, highlight=False)
    if options.json == "-":
        sys.stdout.write(text_of(result.as_data()))
    else:
        if options.json:
            with open(options.json, "w", encoding="utf-8") as file:
                file.write(text_of(result.as_data()))
        style = "red" if result.found.is_grave() else "yellow"
        console.print(f"[bold {style}]{result.found.way}[/] after {result.runs} runs", highlight=False)
        console.print(result.found.evidence, markup=False, highlight=False)
        console.print(f"[dim]written to {path}; replay it with: driftstair rehearse {path}[/dim]")
        if result.cut_off:
            console.print("[yellow]cut off[/yellow]")
    return BROKEN if result.found.is_grave() or result.kits else KEPT
