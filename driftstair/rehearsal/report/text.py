"""The report for people at a terminal."""

from __future__ import annotations

from typing import Any

from rich.console import Console, Group, RenderableType
from rich.panel import Panel
from rich.table import Table
from rich.text import Text

from driftstair.rehearsal.account import REASONS
from driftstair.rehearsal.report import tier
from driftstair.rehearsal.report.build import Report

BLOCKS = " ▁▂▃▄▅▆▇█"
BREAKS_SHOWN = 10
BAR_MOST = 72  # cells


def show(report: Report, console: Console, log_lines: int = 0) -> None:
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
        console.print(tier.shown(report))
    for line in report["log"][:log_lines]:
        console.print(f"{line['at']:8.3f} {line['node']} {line['level']} {line['text']}", markup=False)
    console.print(verdict(report))


def headline(report: Report) -> RenderableType:
    of = report["scenario"]
    where = "in virtual time" if report["ground"] == "virtual" else "on loopback sockets"
    title = f" — {of['title']}" if of["title"] else ""
    lines = [
        f"[bold]{of['name']}[/bold]{title}",
        f"{of['nodes']} nodes, {of['boxes']} boxes, {of['rate']:g} requests/s for {of['seconds']:g} s, "
        f"seed {of['seed']}, {where}",
    ]
    return Group(*(Text.from_markup(line) for line in lines))


def _color(service: float) -> str:
    return "green" if service >= 0.95 else "yellow" if service >= 0.8 else "red"


def bar(report: Report) -> RenderableType:
    """Worth served over worth asked for, by when it was asked; below it the faults."""
    seconds = report["seconds"]
    if not seconds:
        return Text("nothing was asked")
    span = max(1, -(-len(seconds) // BAR_MOST))
    line = Text("service  ")
    for start in range(0, len(seconds), span):
        part = seconds[start : start + span]
        worth = sum(one["worth"] for one in part)
        share = sum(one["worth_served"] for one in part) / worth if worth else 1.0
        line.append(BLOCKS[round(share * (len(BLOCKS) - 1))], style=_color(share))
    rows: list[RenderableType] = [line]
    cells = -(-len(seconds) // span)
    for fault in report["troubles"]:
        first = int(max(0.0, fault["from"]) / span)
        last = max(first + 1, min(cells, int(fault["to"] / span) + 1))
        rows.append(Text("         " + " " * first + "─" * (last - first) + " " + fault["kind"], style="dim"))
    rows.append(Text(f"         each cell {span} s", style="dim"))
    return Group(*rows)


def losses(report: Report, key: str, name: str) -> RenderableType:
    table = Table(box=None, pad_edge=False, header_style="dim")
    table.add_column(name)
    for column in ("asked", "service", "p50 ms", "p95 ms"):
        table.add_column(column, justify="right")
    reasons = [reason for reason in REASONS if reason in report["lost"]]
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
    table = Table(box=None, pad_edge=False, show_header=False)
    table.add_column(justify="right", style="dim")
    table.add_column()
    for event in report["events"]:
        table.add_row(f"{event['at']:.2f} s", event["what"])
    return table


def crashes(report: Report) -> RenderableType:
    lines = []
    for crash in report["crashes"][:BREAKS_SHOWN]:
        lines.append(f"{crash['at']:.3f} s  {crash['node']}: {crash['what']}")
        lines += [f"    {frame}" for frame in crash["trace"]]
    more = len(report["crashes"]) - BREAKS_SHOWN
    if more > 0:
        lines.append(f"and {more} more")
    return Panel(Text("\n".join(lines)), title="crashes", border_style="red", title_align="left")


def breaks(report: Report) -> RenderableType:
    lines = []
    for one in report["breaks"][:BREAKS_SHOWN]:
        where = " ".join(filter(None, (one["node"], one["box"], one["request"])))
        lines.append(f"{one['at']:.3f} s  rule {one['rule']}, {one['name']}: {where}\n    {one['evidence']}")
    more = report["verdict"]["breaks"] - BREAKS_SHOWN
    if more > 0:
        lines.append(f"and {more} more")
    return Panel(Text("\n".join(lines)), title="rules broken", border_style="red", title_align="left")


def verdict(report: Report) -> RenderableType:
    found = report["verdict"]
    service = report["service"]
    line = Text("service ")
    line.append(f"{service:.3f}", style=f"bold {_color(service)}")
    if found["breaks"]:
        counts = ", ".join(
            f"rule {rule}: {number}" for rule, number in found["breaks_by_rule"].items() if number
        )
        line.append(f"; rules broken {found['breaks']} times ({counts})", style="bold red")
    else:
        line.append(f"; all four rules kept over {found['requests_judged']} requests", style="green")
    if found["crashes"]:
        line.append(f"; {found['crashes']} crashes", style="bold red")
    if found.get("tier_findings"):
        line.append(f"; {found['tier_findings']} findings on the tier", style="bold red")
    if report["ended"] != "whole":
        line.append(f"; {report['ended']}", style="bold yellow")
    return line
