"""The report as terminal output."""

from __future__ import annotations

from typing import Any

from rich.console import Console, Group, RenderableType
from rich.panel import Panel
from rich.table import Table
from rich.text import Text

from driftstair.rehearsal.account import LOSS_REASONS
from driftstair.rehearsal.report import tier
from driftstair.rehearsal.report.build import Report

BLOCKS = " ▁▂▃▄▅▆▇█"
MAX_BREAKS_SHOWN = 10
MAX_BAR_CELLS = 72


def show(report: Report, console: Console, log_lines: int = 0) -> None:
    """Prints a report, with the first `log_lines` lines of the nodes' log."""
    console.print(headline(report))
    console.print(bar(report))
    console.print(losses(report, "classes", "class"))
    if len(report["phases"]) > 1:
        console.print(losses(report, "phases", "phase"))
    console.print(losses(report, "tenants", "tenant"))
    if report["events"]:
        console.print(events(report))
    if report["crashes"]:
        console.print(crashes(report))
    if report["breaks"]:
        console.print(breaks(report))
    if "tier" in report:
        console.print(tier.render(report))
    for line in report["log"][:log_lines]:
        console.print(f"{line['at']:8.3f} {line['node']} {line['level']} {line['text']}", markup=False)
    console.print(verdict(report))


def headline(report: Report) -> RenderableType:
    """Renders the scenario's title and size."""
    scenario = report["scenario"]
    environment = "in virtual time" if report["ground"] == "virtual" else "on loopback sockets"
    title = f" — {scenario['title']}" if scenario["title"] else ""
    lines = [
        f"[bold]{scenario['name']}[/bold]{title}",
        f"{scenario['nodes']} nodes, {scenario['boxes']} boxes, {scenario['rate']:g} requests/s "
        f"for {scenario['seconds']:g} s, "
        f"seed {scenario['seed']}, {environment}",
    ]
    return Group(*(Text.from_markup(line) for line in lines))


def _color(service: float) -> str:
    return "green" if service >= 0.95 else "yellow" if service >= 0.8 else "red"


def bar(report: Report) -> RenderableType:
    """Renders the share of worth served for each time cell, by when requests were made, with the faults
    below."""
    seconds = report["seconds"]
    if not seconds:
        return Text("nothing was asked")
    cell_s = max(1, -(-len(seconds) // MAX_BAR_CELLS))
    line = Text("service  ")
    for start in range(0, len(seconds), cell_s):
        part = seconds[start : start + cell_s]
        worth = sum(item["worth"] for item in part)
        share = sum(item["worth_served"] for item in part) / worth if worth else 1.0
        line.append(BLOCKS[round(share * (len(BLOCKS) - 1))], style=_color(share))
    rows: list[RenderableType] = [line]
    cells = -(-len(seconds) // cell_s)
    for fault in report["troubles"]:
        first = int(max(0.0, fault["from"]) / cell_s)
        last = max(first + 1, min(cells, int(fault["to"] / cell_s) + 1))
        rows.append(Text("         " + " " * first + "─" * (last - first) + " " + fault["kind"], style="dim"))
    rows.append(Text(f"         each cell {cell_s} s", style="dim"))
    return Group(*rows)


def losses(report: Report, key: str, name: str) -> RenderableType:
    """Renders a table of service and losses for the classes, phases or tenants."""
    table = Table(box=None, pad_edge=False, header_style="dim")
    table.add_column(name)
    for column in ("asked", "service", "p50 ms", "p95 ms"):
        table.add_column(column, justify="right")
    reasons = [reason for reason in LOSS_REASONS if reason in report["lost"]]
    for reason in reasons:
        table.add_column(reason, justify="right")
    rows: list[tuple[str, dict[str, Any]]] = list(report[key].items())
    if key == "classes":
        rows.append(("all", report))
    for label, group in rows:
        service = group["service"]
        table.add_row(
            label,
            str(group["asked"]),
            Text(f"{service:.3f}", style=_color(service)),
            _ms(group["latency_ms"]["p50"]),
            _ms(group["latency_ms"]["p95"]),
            *(str(group["lost"].get(reason, {}).get("requests", 0) or "") for reason in reasons),
        )
    return table


def _ms(value: float | None) -> str:
    return "" if value is None else f"{value:.0f}"


def events(report: Report) -> RenderableType:
    """Renders the events of the run."""
    table = Table(box=None, pad_edge=False, show_header=False)
    table.add_column(justify="right", style="dim")
    table.add_column()
    for event in report["events"]:
        table.add_row(f"{event['at']:.2f} s", event["what"])
    return table


def crashes(report: Report) -> RenderableType:
    """Renders the crashes of nodes."""
    lines = []
    for crash in report["crashes"][:MAX_BREAKS_SHOWN]:
        lines.append(f"{crash['at']:.3f} s  {crash['node']}: {crash['what']}")
        lines += [f"    {frame}" for frame in crash["trace"]]
    more = len(report["crashes"]) - MAX_BREAKS_SHOWN
    if more > 0:
        lines.append(f"and {more} more")
    return Panel(Text("\n".join(lines)), title="crashes", border_style="red", title_align="left")


def breaks(report: Report) -> RenderableType:
    """Renders the violations of the rules."""
    lines = []
    for item in report["breaks"][:MAX_BREAKS_SHOWN]:
        location = " ".join(filter(None, (item["node"], item["box"], item["request"])))
        lines.append(
            f"{item['at']:.3f} s  rule {item['rule']}, {item['name']}: {location}\n    {item['evidence']}"
        )
    more = report["verdict"]["breaks"] - MAX_BREAKS_SHOWN
    if more > 0:
        lines.append(f"and {more} more")
    return Panel(Text("\n".join(lines)), title="rules broken", border_style="red", title_align="left")


def verdict(report: Report) -> RenderableType:
    """Renders the summary line."""
    verdict_data = report["verdict"]
    service = report["service"]
    line = Text("service ")
    line.append(f"{service:.3f}", style=f"bold {_color(service)}")
    if verdict_data["breaks"]:
        counts = ", ".join(
            f"rule {rule}: {number}" for rule, number in verdict_data["breaks_by_rule"].items() if number
        )
        line.append(f"; rules broken {verdict_data['breaks']} times ({counts})", style="bold red")
    else:
        line.append(f"; all four rules kept over {verdict_data['requests_judged']} requests", style="green")
    if verdict_data["crashes"]:
        line.append(f"; {verdict_data['crashes']} crashes", style="bold red")
    if verdict_data.get("tier_findings"):
        line.append(f"; {verdict_data['tier_findings']} findings on the tier", style="bold red")
    if report["ended"] != "whole":
        line.append(f"; {report['ended']}", style="bold yellow")
    return line
