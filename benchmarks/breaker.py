"""Estimators of a window's tail, off line: false cuts and missed cuts over windows recorded in rehearsals.

    python benchmarks/breaker.py [--scenarios 20] [--json FILE]

Runs the shipped scenarios with seeds that nothing else uses. Each window of a class at a node is recorded
together with the load of the boxes' cores, which a node cannot observe. A window is crowded if more than
`CROWDED_CORE_FRACTION` of all cores were in use. An estimator cuts if its tail exceeds the class's target.
Every second scenario, from the first on, serves to rank the estimators; the table reports the rates of the
others.
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

CROWDED_CORE_FRACTION = 0.9  # of the cores of the running boxes
MIN_SAMPLES = 3

RecordedWindow = tuple[float, float, list[float], list[float], bool]
"""Aim and target in ns, durations of answered and of timed-out attempts in ns, and whether the window was
crowded."""


def tail_with_doubled_timeouts(window: Window) -> float:
    """Returns the tail with each time-out counted as twice the time waited."""
    samples = sorted([*window.answered, *(2.0 * waited for waited in window.timed_out)])
    return percentile(samples, breaker.TAIL_PERCENTILE)


def tail_with_timeouts_as_waited(window: Window) -> float:
    """Returns the tail with each time-out counted as the time waited, which is a lower bound."""
    return percentile(sorted([*window.answered, *window.timed_out]), breaker.TAIL_PERCENTILE)


def tail_without_timeouts(window: Window) -> float:
    """Returns the tail of the answers alone, or of the time-outs if there are no answers."""
    return percentile(sorted(window.answered or window.timed_out), breaker.TAIL_PERCENTILE)


def kaplan_meier(window: Window) -> float:
    """Returns the percentile of the product-limit estimate, or the longest duration if no answer reaches that
    percentile."""
    events = sorted(
        [(duration, True) for duration in window.answered]
        + [(duration, False) for duration in window.timed_out]
    )
    survival, at_risk = 1.0, len(events)
    for duration, is_answer in events:
        if is_answer:
            survival *= 1.0 - 1.0 / at_risk
            if survival <= 1.0 - breaker.TAIL_PERCENTILE:
                return duration
        at_risk -= 1
    return events[-1][0]


def exponential_tail_from_median(window: Window) -> float:
    """Returns the tail of an exponential distribution with the window's median. This is robust against
    outliers, but ignores the shape of the actual tail."""
    samples = sorted([*window.answered, *window.timed_out])
    return percentile(samples, 0.5) * 1.9 / 0.693


def tail_with_explained_timeouts(window: Window) -> float:
    """Returns the tail as the shipped estimator gives it."""
    return breaker.estimate_tail(window)[1]


ESTIMATORS: dict[str, Callable[[Window], float]] = {
    "plain": tail_with_doubled_timeouts, "lower bound": tail_with_timeouts_as_waited,
    "trimmed": tail_without_timeouts, "Kaplan-Meier": kaplan_meier,
    "median": exponential_tail_from_median, "explained": tail_with_explained_timeouts,
}  # fmt: skip


def record_windows(job: tuple[str, int]) -> list[RecordedWindow]:
    """Runs one scenario and returns every window with enough samples, and whether it was crowded."""
    name, seed = job
    windows: list[tuple[int, float, float, list[float], list[float]]] = []
    on_timer = balance.Balancer._on_timer

    def record_tick(self: balance.Balancer, now: int, token: int) -> None:
        if token == balance.TICK_TOKEN:
            for class_breaker in self._breakers:
                window = class_breaker.window
                if len(window.answered) + len(window.timed_out) >= MIN_SAMPLES:
                    windows.append(
                        (
                            now,
                            class_breaker.aim,
                            class_breaker.target,
                            [*window.answered],
                            [*window.timed_out],
                        )
                    )
        on_timer(self, now, token)

    balance.Balancer._on_timer = record_tick  # type: ignore[method-assign]
    try:
        rehearsal, _, _ = virtual.run_scenario(load(name, {"seed": seed}))
    except Exception as error:
        print(f"{name}, seed {seed}: run failed: {error!r}", file=sys.stderr)
        return []
    finally:
        balance.Balancer._on_timer = on_timer  # type: ignore[method-assign]
    cores = {name: box.figures.cores for name, box in (rehearsal.boxes | rehearsal.removed_boxes).items()}
    crowded_by_second = {}
    for sample in rehearsal.samples:
        busy_cores = sum(figures[0] * cores[box] for box, figures in sample.boxes.items())
        total_cores = sum(cores[box] for box in sample.boxes) or 1
        crowded_by_second[sample.at // 10**9] = busy_cores > CROWDED_CORE_FRACTION * total_cores
    return [
        (aim, target, answered, timed_out, crowded_by_second[now // 10**9])
        for now, aim, target, answered, timed_out in windows
        if now // 10**9 in crowded_by_second
    ]


def cut_rates(windows: list[RecordedWindow], estimate: Callable[[Window], float]) -> tuple[float, float]:
    """Returns the rate of cuts among uncrowded windows, and the rate of missing cuts among crowded ones."""
    false_cuts = missed_cuts = uncrowded = crowded = 0
    for _, target, answered, timed_out, is_crowded in windows:
        is_cut = estimate(Window(sorted(answered), sorted(timed_out))) > target
        uncrowded += not is_crowded
        crowded += is_crowded
        false_cuts += is_cut and not is_crowded
        missed_cuts += is_crowded and not is_cut
    return false_cuts / max(1, uncrowded), missed_cuts / max(1, crowded)


def make_jobs(count: int) -> Iterator[tuple[str, int]]:
    """Yields names and seeds of scenarios, going through the shipped scenarios in turn."""
    names = sorted(shipped_scenarios())
    for index in range(count):
        yield names[index % len(names)], 7000 + index


def main() -> int:
    """Prints the rates of all estimators, ranked on the selection half."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--scenarios", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--json")
    options = parser.parse_args()
    halves: tuple[list[RecordedWindow], list[RecordedWindow]] = ([], [])
    with ProcessPoolExecutor(options.jobs, get_context("spawn")) as pool:
        all_jobs = list(make_jobs(options.scenarios))
        for index, (job, windows) in enumerate(
            zip(all_jobs, pool.map(record_windows, all_jobs), strict=True)
        ):
            halves[index % 2].extend(windows)
            if sys.stderr.isatty():
                print(f"{index + 1}/{len(all_jobs)} {job[0]}: {len(windows)} windows", file=sys.stderr)
    table = {
        name: {"chosen on": cut_rates(halves[0], estimate), "reported": cut_rates(halves[1], estimate)}
        for name, estimate in ESTIMATORS.items()
    }
    crowded_count = sum(window[4] for window in halves[1])
    print(f"{len(halves[1])} windows reported, {crowded_count} of them crowded; {len(halves[0])} chosen on")
    print(f"{'estimator':<14}{'false cuts':>12}{'missed cuts':>13}   (on the half they were chosen on)")
    for name, rates_by_half in sorted(table.items(), key=lambda entry: sum(entry[1]["chosen on"])):
        (selection_false_rate, selection_missed_rate), (false_rate, missed_rate) = (
            rates_by_half["chosen on"],
            rates_by_half["reported"],
        )
        print(
            f"{name:<14}{false_rate:>12.3f}{missed_rate:>13.3f}   ({selection_false_rate:.3f}, "
            f"{selection_missed_rate:.3f})"
        )
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump({"windows": len(halves[1]), "crowded": crowded_count, "rates": table}, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
