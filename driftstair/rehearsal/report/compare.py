"""Differences between two reports of the same scenario, from two builds or two seeds."""

from __future__ import annotations

from typing import Any

from rich.console import Console
from rich.table import Table
from rich.text import Text

from driftstair.rehearsal.report.build import Report

FORMAT = "driftstair.rehearsal.compare/1"
SERVICE_NOISE = 0.005  # smaller differences of service are shown without colour


def compare(before: Report, after: Report) -> dict[str, Any]:
    """Returns the differences between two reports as plain data."""
    is_same_scenario = before["scenario"]["hash"] == after["scenario"]["hash"]
    rows = [_row("all", before, after)]
    for key in ("classes", "tenants", "phases"):
        for name in dict.fromkeys((*before[key], *after[key])):
            if name in before[key] and name in after[key]:
                rows.append(_row(f"{key[:-2] if key == 'classes' else key[:-1]} {name}", before[key][name],
                                 after[key][name]))  # fmt: skip
    return {
        "format": FORMAT,
        "same_scenario": is_same_scenario,
        "scenarios": [before["scenario"], after["scenario"]],
        "breaks": [before["verdict"]["breaks"], after["verdict"]["breaks"]],
        "crashes": [before["verdict"]["crashes"], after["verdict"]["crashes"]],
        "rows": rows,
    }


def _row(name: str, before: dict[str, Any], after: dict[str, Any]) -> dict[str, Any]:
    lost = {}
    for reason in sorted({*before["lost"], *after["lost"]}):
        counts = [group["lost"].get(reason, {}).get("requests", 0) for group in (before, after)]
        if counts[0] != counts[1]:
            lost[reason] = counts
    return {
        "name": name,
        "service": [before["service"], after["service"]],
        "p95_ms": [before["latency_ms"]["p95"], after["latency_ms"]["p95"]],
        "lost": lost,
    }


def show(comparison: dict[str, Any], console: Console) -> None:
    """Prints a comparison to the terminal."""
    if not comparison["same_scenario"]:
        names = " and ".join(
            f"{scenario['name']} (seed {scenario['seed']}, {scenario['hash']})"
            for scenario in comparison["scenarios"]
        )
        console.print(f"[yellow]not the same scenario:[/yellow] {names}")
    table = Table(box=None, pad_edge=False, header_style="dim")
    table.add_column("")
    for column in ("service", "then", "change", "p95 ms", "then"):
        table.add_column(column, justify="right")
    table.add_column("lost, before and then")
    for row in comparison["rows"]:
        before, after = row["service"]
        change = after - before
        style = "" if abs(change) < SERVICE_NOISE else "green" if change > 0 else "red"
        p95 = ["" if value is None else f"{value:.0f}" for value in row["p95_ms"]]
        lost = ", ".join(f"{reason} {old} → {new}" for reason, (old, new) in row["lost"].items())
        table.add_row(
            row["name"], f"{before:.3f}", f"{after:.3f}", Text(f"{change:+.3f}", style=style), *p95, lost
        )
    console.print(table)
    for key in ("breaks", "crashes"):
        old, new = comparison[key]
        if old or new:
            style = "red" if new > old else "green" if new < old else ""
            console.print(Text(f"{key}: {old} → {new}", style=style))
