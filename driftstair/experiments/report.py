"""Summarizes an experiment: means of each cell, and differences from each factor's first value."""

from __future__ import annotations

import csv
from collections.abc import Iterable
from statistics import mean
from typing import Any, TextIO

from driftstair.experiments.design import Design, Run, Value
from driftstair.experiments.statistics import Difference, compare_pairs, correct_p_values

Rows = dict[str, dict[str, Any]]
Cell = tuple[tuple[str, Value], ...]


def read_measure(outcome: dict[str, Any], measure: str) -> float | None:
    """Returns the measure at a path (`by_class.paid-live`), and None if the outcome does not have it. A list
    counts by its length."""
    value: Any = outcome
    for key in measure.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return float(len(value)) if isinstance(value, list) else None if value is None else float(value)


def outcomes_by_cell(runs: Iterable[Run], rows: Rows) -> dict[tuple[str, Cell], dict[int, dict[str, Any]]]:
    """Returns the outcomes of executed runs, by scenario and factor values, then by seed."""
    outcomes: dict[tuple[str, Cell], dict[int, dict[str, Any]]] = {}
    for run in runs:
        row = rows.get(run.hash)
        if row is not None and row["outcome"] is not None:
            outcomes.setdefault((run.scenario, run.factor_values), {})[run.seed] = row["outcome"]
    return outcomes


def cell_means(design: Design, runs: list[Run], rows: Rows) -> list[dict[str, Any]]:
    """Returns a line for each cell, with the means of all measures."""
    lines = []
    for (scenario, factor_values), by_seed in outcomes_by_cell(runs, rows).items():
        line: dict[str, Any] = {"scenario": scenario, **dict(factor_values), "runs": len(by_seed)}
        for measure in design.measures:
            values = [
                value for outcome in by_seed.values() if (value := read_measure(outcome, measure)) is not None
            ]
            line[measure] = mean(values) if values else None
        lines.append(line)
    return lines


def compare_factors(design: Design, runs: list[Run], rows: Rows) -> list[Difference]:
    """Compares each cell with the one that has a factor's first value and the same values of all other
    factors."""
    cells = outcomes_by_cell(runs, rows)
    compared = []
    for (scenario, factor_values), by_seed in cells.items():
        for index, factor in enumerate(design.factor):
            label, value = factor_values[index]
            if value == factor.values[0] and type(value) is type(factor.values[0]):
                continue
            base = (*factor_values[:index], (label, factor.values[0]), *factor_values[index + 1 :])
            base_by_seed = cells.get((scenario, base), {})
            other_factors = ", ".join(
                f"{name} {other_value}" for name, other_value in factor_values if name != label
            )
            for measure in design.measures:
                pairs = [
                    (before, after) for seed, outcome in by_seed.items() if seed in base_by_seed
                    if (before := read_measure(base_by_seed[seed], measure)) is not None
                    and (after := read_measure(outcome, measure)) is not None
                ]  # fmt: skip
                if pairs:
                    compared.append(
                        compare_pairs(
                            scenario + (f" ({other_factors})" if other_factors else ""), measure,
                            f"{label} {factor.values[0]}", f"{label} {value}", pairs, design.level,
                        )
                    )  # fmt: skip
    return correct_p_values(compared)


def export_csv(runs: list[Run], rows: Rows, out: TextIO) -> int:
    """Writes each executed run as CSV; returns their number."""
    lines: list[dict[str, Any]] = []
    for run in runs:
        row = rows.get(run.hash)
        if row is None:
            continue
        line: dict[str, Any] = {"scenario": run.scenario, "seed": run.seed, **dict(run.factor_values)}
        for name, value in (row["outcome"] or {}).items():
            if isinstance(value, dict):
                line |= {f"{name}.{key}": part for key, part in value.items()}
            else:
                line[name] = len(value) if isinstance(value, list) else value
        lines.append(line | {"problem": row["problem"] or ""})
    columns = list(dict.fromkeys(name for line in lines for name in line))
    writer = csv.DictWriter(out, columns, restval="")
    writer.writeheader()
    writer.writerows(lines)
    return len(lines)
