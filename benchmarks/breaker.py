"""Estimators of a window's tail, off line: false cuts and missed cuts over windows recorded in rehearsals.

    python benchmarks/breaker.py [--scenarios 20] [--json FILE]

Scenarios are the shipped ones with seeds of their own. Each window of a class at a node is recorded with
what no node can see: how busy the boxes' cores were. A window is crowded when more than a part of all cores
was in use (`CROWDED`). An estimator cuts when its tail is over the class's target. Estimators are ranked on
the odd scenarios; the table is of the even ones.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

from driftstair.rehearsal import virtual
from driftstair.rehearsal.load import load, shipped_scenarios
from lichenspring import balance, breaker
from lichenspring.breaker import Window, percentile

CROWDED = 0.9  # part of the cores of the running boxes in use
SAMPLES_LEAST = 3

Recorded = tuple[float, float, list[float], list[float], bool]
"""Aim and target in ns, answered, timed out, and whether it was crowded."""


def plain(window: Window) -> float:
    """As before: a time-out counts as twice what was waited."""
    samples = sorted([*window.answered, *(2.0 * one for one in window.timed_out)])
    return percentile(samples, breaker.TAIL_PERCENTILE)


def lower_bound(window: Window) -> float:
    """A time-out counts as what was waited."""
    return percentile(sorted([*window.answered, *window.timed_out]), breaker.TAIL_PERCENTILE)


def trimmed(window: Window) -> float:
    """Time-outs are left out."""
    return percentile(sorted(window.answered or window.timed_out), breaker.TAIL_PERCENTILE)


def kaplan_meier(window: Window) -> float:
    """The percentile of the product-limit estimate; past the last answer, the longest time-out."""
    events = sorted([(one, True) for one in window.answered] + [(one, False) for one in window.timed_out])
    alive, left = 1.0, len(events)
    for value, died in events:
        if died:
            alive *= 1.0 - 1.0 / left
            if alive <= 1.0 - breaker.TAIL_PERCENTILE:
                return value
        left -= 1
    return events[-1][0]


def median_based(window: Window) -> float:
    """The tail of an exponential with the window's median: robust, and blind to the tail's own shape."""
    samples = sorted([*window.answered, *window.timed_out])
    return percentile(samples, 0.5) * 1.9 / 0.693


def explained(window: Window) -> float:
    """As shipped."""
    return breaker.estimate_tail(window)[1]


ESTIMATORS: dict[str, Callable[[Window], float]] = {
    "plain": plain, "lower bound": lower_bound, "trimmed": trimmed, "Kaplan-Meier": kaplan_meier,
    "median": median_based, "explained": explained,
}  # fmt: skip


def record(job: tuple[str, int]) -> list[Recorded]:
    """Play one scenario; every window that told something, with its truth."""
    name, seed = job
    seen: list[tuple[int, float, float, list[float], list[float]]] = []
    wake = balance.Balancer._on_timer

    def recording(self: balance.Balancer, now: int, token: int) -> None:
        if token == balance.TICK_TOKEN:
            for one in self._breakers:
                window = one.window
                if len(window.answered) + len(window.timed_out) >= SAMPLES_LEAST:
                    seen.append((now, one.aim, one.target, [*window.answered], [*window.timed_out]))
        wake(self, now, token)

    balance.Balancer._on_timer = recording  # type: ignore[method-assign]
    try:
        rehearsal, _, _ = virtual.run_scenario(load(name, {"seed": seed}))
    except Exception as problem:
        print(f"{name}, seed {seed}: not played: {problem!r}", file=sys.stderr)
        return []
    finally:
        balance.Balancer._on_timer = wake  # type: ignore[method-assign]
    cores = {box: one.figures.cores for box, one in (rehearsal.boxes | rehearsal.gone).items()}
    truth = {}
    for sample in rehearsal.samples:
        busy = sum(figures[0] * cores[box] for box, figures in sample.boxes.items())
        total = sum(cores[box] for box in sample.boxes) or 1
        truth[sample.at // 10**9] = busy > CROWDED * total
    return [
        (aim, target, answered, timed_out, truth[now // 10**9])
        for now, aim, target, answered, timed_out in seen
        if now // 10**9 in truth
    ]


def rates(windows: list[Recorded], estimate: Callable[[Window], float]) -> tuple[float, float]:
    """Cuts among the windows that were not crowded, and windows without a cut among those that were."""
    false = missed = calm = crowded = 0
    for _, target, answered, timed_out, was in windows:
        cuts = estimate(Window(sorted(answered), sorted(timed_out))) > target
        calm += not was
        crowded += was
        false += cuts and not was
        missed += was and not cuts
    return false / max(1, calm), missed / max(1, crowded)


def jobs(number: int) -> Iterator[tuple[str, int]]:
    names = sorted(shipped_scenarios())
    for index in range(number):
        yield names[index % len(names)], 7000 + index


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--scenarios", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json")
    options = parser.parse_args()
    halves: tuple[list[Recorded], list[Recorded]] = ([], [])
    with ProcessPoolExecutor(options.jobs, get_context("spawn")) as pool:
        wanted = list(jobs(options.scenarios))
        for index, (job, found) in enumerate(zip(wanted, pool.map(record, wanted), strict=True)):
            halves[index % 2].extend(found)
            if sys.stderr.isatty():
                print(f"{index + 1}/{len(wanted)} {job[0]}: {len(found)} windows", file=sys.stderr)
    table = {
        name: {"chosen on": rates(halves[0], estimate), "reported": rates(halves[1], estimate)}
        for name, estimate in ESTIMATORS.items()
    }
    crowded = sum(one[4] for one in halves[1])
    print(f"{len(halves[1])} windows reported, {crowded} of them crowded; {len(halves[0])} chosen on")
    print(f"{'estimator':<14}{'false cuts':>12}{'missed cuts':>13}   (on the half they were chosen on)")
    for name, both in sorted(table.items(), key=lambda entry: sum(entry[1]["chosen on"])):
        (chosen_false, chosen_missed), (false, missed) = both["chosen on"], both["reported"]
        print(f"{name:<14}{false:>12.3f}{missed:>13.3f}   ({chosen_false:.3f}, {chosen_missed:.3f})")
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump({"windows": len(halves[1]), "crowded": crowded, "rates": table}, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
