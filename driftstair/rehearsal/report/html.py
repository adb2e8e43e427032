"""The report as one self-contained HTML page: plots over a common time axis, then tables.

The plots are SVG written here. A plotting library would be larger than the kit, and a page that loads one
would need the network.
"""

from __future__ import annotations

from html import escape
from typing import Any

from driftstair.rehearsal.account import LOSS_REASONS
from driftstair.rehearsal.report.build import Report

WIDTH, LEFT, RIGHT = 1060, 70, 130
HEIGHT, TOP, BOTTOM = 150, 24, 22
ROW_HEIGHT = 12  # of a map
COLOURS = ("#2b6cb0", "#c05621", "#2f855a", "#6b46c1", "#b83280", "#718096", "#975a16", "#285e61")
REASON_COLOURS = {
    "late": "#d69e2e", "refused": "#dd6b20", "failed": "#c53030", "gave up": "#822727",
    "unreachable": "#4a5568", "cut off": "#a0aec0",
}  # fmt: skip

STATE_COLOURS = {"alive": "#68d391", "suspect": "#d69e2e", "dead": "#c53030", "left": "#a0aec0"}

STYLE = """
body { font: 14px/1.45 system-ui, sans-serif; margin: 2em auto; max-width: 1100px; color: #1a202c; }
h1 { font-size: 1.4em; margin: 0 } h2 { font-size: 1.05em; margin: 1.6em 0 .3em }
p.sub { color: #4a5568; margin: .2em 0 1em }
table { border-collapse: collapse; margin: .3em 0 1em }
td, th { padding: .15em .8em .15em 0; text-align: right; font-variant-numeric: tabular-nums }
td:first-child, th:first-child, td.text { text-align: left }
th { color: #4a5568; font-weight: 600; border-bottom: 1px solid #cbd5e0 }
.kept { color: #276749; font-weight: 600 } .broken { color: #9b2c2c; font-weight: 600 }
pre { background: #fff5f5; border-left: 3px solid #c53030; padding: .6em 1em; white-space: pre-wrap }
svg { display: block } text { font: 11px system-ui, sans-serif; fill: #4a5568 }
.title { font-weight: 600; fill: #1a202c }
"""


class Axis:
    """The time axis that all plots share, in s."""

    def __init__(self, begin: float, end: float) -> None:
        self.begin, self.end = begin, max(end, begin + 1.0)

    def x(self, at: float) -> float:
        """Returns the horizontal position of a time; times outside the axis are clamped."""
        at = min(max(at, self.begin), self.end)
        return LEFT + (WIDTH - LEFT - RIGHT) * (at - self.begin) / (self.end - self.begin)

    def ticks(self) -> list[float]:
        """Returns the times of the axis labels."""
        span = self.end - self.begin
        step = next(option for option in (1, 2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200, 14400)
                    if span / option <= 16)  # fmt: skip
        first = -(-self.begin // step) * step
        return [first + index * step for index in range(int((self.end - first) // step) + 1)]


def page(report: Report) -> str:
    """Returns the page as text."""
    scenario = report["scenario"]
    end_s = max(
        [item["at"] + 1 for item in report["seconds"]] + [item["at"] for item in report["samples"]] + [1.0]
    )
    axis = Axis(0.0, end_s)
    plots = [
        _service(report, axis),
        _request_rate(report, axis),
        _lines(report, axis, "in flight, by node", "in_flight"),
        _boxes(report, axis),
        _lines(report, axis, "descriptors, by node", "descriptors"),
    ]
    if "tier" in report:
        plots.append(_members(report, axis))
    where = "virtual time" if report["ground"] == "virtual" else "loopback sockets"
    subtitle = (
        f"{scenario['nodes']} nodes, {scenario['boxes']} boxes, {scenario['rate']:g} requests/s "
        f"for {scenario['seconds']:g} s, seed {scenario['seed']}, {where}"
    )
    return "".join(
        (
            "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
            f"<title>{escape(scenario['name'])}</title><style>{STYLE}</style></head><body>",
            f"<h1>{escape(scenario['name'])}</h1>",
            f"<p class='sub'>{escape(scenario['title'])}<br>{escape(subtitle)}</p>",
            _verdict(report),
            *plots,
            _losses(report),
            _events(report),
            "</body></html>\n",
        )
    )


def _verdict(report: Report) -> str:
    verdict = report["verdict"]
    parts = [f"<p>Service <b>{report['service']:.3f}</b>: worth answered in time over worth asked for. "]
    if verdict["breaks"]:
        parts.append(f"<span class='broken'>Rules broken {verdict['breaks']} times.</span>")
    else:
        parts.append(
            f"<span class='kept'>All four rules kept over {verdict['requests_judged']} requests.</span>"
        )
    if verdict["crashes"]:
        parts.append(f" <span class='broken'>{verdict['crashes']} crashes.</span>")
    if verdict.get("tier_findings"):
        parts.append(f" <span class='broken'>{verdict['tier_findings']} findings on the tier.</span>")
    if report["ended"] != "whole":
        parts.append(f" <span class='broken'>{escape(report['ended'])}</span>")
    parts.append("</p>")
    lines = [
        f"{item['at']:.3f} s  rule {item['rule']}, {item['name']}: "
        f"{item['node']} {item['box']} {item['request']}\n"
        f"    {item['evidence']}"
        for item in report["breaks"][:20]
    ]
    lines += [
        f"{item['at']:.3f} s  {item['node']} crashed: {item['what']}\n    " + "\n    ".join(item["trace"])
        for item in report["crashes"][:10]
    ]
    lines += [
        f"{item['at']:.3f} s  {item['rule']}: {item['node']} of {item['member']}\n    {item['evidence']}"
        for item in report.get("tier", {}).get("findings", [])[:20]
    ]
    if lines:
        parts.append(f"<pre>{escape(chr(10).join(lines))}</pre>")
    return "".join(parts)


# Plots.


def _frame(title: str, axis: Axis, height: int, faults: list[dict[str, Any]], inside: str) -> str:
    bottom = height - BOTTOM
    marks = []
    for index, fault in enumerate(faults):
        x1, x2 = axis.x(fault["from"]), axis.x(fault["to"])
        colour = COLOURS[index % len(COLOURS)]
        marks.append(
            f"<rect x='{x1:.1f}' y='{TOP}' width='{max(1.0, x2 - x1):.1f}' height='{bottom - TOP}' "
            f"fill='{colour}' opacity='.10'><title>{escape(fault['kind'])}</title></rect>"
        )
    ticks = "".join(
        f"<line x1='{axis.x(at):.1f}' x2='{axis.x(at):.1f}' y1='{bottom}' y2='{bottom + 4}' "
        f"stroke='#a0aec0'/>"
        f"<text x='{axis.x(at):.1f}' y='{bottom + 16}' text-anchor='middle'>{at:g} s</text>"
        for at in axis.ticks()
    )
    return (
        f"<svg viewBox='0 0 {WIDTH} {height}' width='{WIDTH}' height='{height}' role='img'>"
        f"<text class='title' x='{LEFT}' y='15'>{escape(title)}</text>{''.join(marks)}{inside}"
        f"<line x1='{LEFT}' x2='{WIDTH - RIGHT}' y1='{bottom}' y2='{bottom}' stroke='#a0aec0'/>{ticks}</svg>"
    )


def _scale(top: float, height: int) -> str:
    bottom = height - BOTTOM
    return "".join(
        f"<text x='{LEFT - 6}' y='{y + 4:.0f}' text-anchor='end'>{value:g}</text>"
        f"<line x1='{LEFT}' x2='{WIDTH - RIGHT}' y1='{y}' y2='{y}' stroke='#edf2f7'/>"
        for value, y in ((top, TOP), (round(top / 2, 3), (TOP + bottom) / 2), (0, bottom))
    )


def _polyline_points(points: list[tuple[float, float]], axis: Axis, top: float, height: int) -> str:
    """Returns the points of an SVG polyline through (s, value) pairs."""
    bottom = height - BOTTOM
    return " ".join(
        f"{axis.x(at):.1f},{bottom - (bottom - TOP) * min(1.0, value / top if top else 0.0):.1f}"
        for at, value in points
    )


def _service(report: Report, axis: Axis) -> str:
    height = HEIGHT + 14 * len(report["troubles"])
    plot_height = HEIGHT
    points = [
        (item["at"] + 0.5, item["worth_served"] / item["worth"] if item["worth"] else 1.0)
        for item in report["seconds"]
    ]
    line = (
        f"<polyline points='{_polyline_points(points, axis, 1.0, plot_height)}' fill='none' stroke='#2f855a' "
        f"stroke-width='1.8'/>"
    )
    names = "".join(
        f"<rect x='{axis.x(item['from']):.1f}' y='{plot_height + 14 * index}' height='10' rx='2' "
        f"width='{max(2.0, axis.x(item['to']) - axis.x(item['from'])):.1f}' "
        f"fill='{COLOURS[index % len(COLOURS)]}' opacity='.55'/>"
        f"<text x='{min(axis.x(item['to']) + 4, WIDTH - RIGHT):.1f}' y='{plot_height + 9 + 14 * index}'>"
        f"{escape(item['kind'])}</text>"
        for index, item in enumerate(report["troubles"])
    )
    inner = _frame(
        "service by worth, by when it was asked",
        axis,
        plot_height,
        report["troubles"],
        _scale(1.0, plot_height) + line,
    )
    return f"<svg viewBox='0 0 {WIDTH} {height}' width='{WIDTH}' height='{height}'>{inner}{names}</svg>"


def _request_rate(report: Report, axis: Axis) -> str:
    seconds = report["seconds"]
    top = float(max([item["asked"] for item in seconds] + [1]))
    bottom = HEIGHT - BOTTOM
    bars = []
    for item in seconds:
        x1, x2 = axis.x(item["at"]), axis.x(item["at"] + 1)
        y = float(bottom)
        for reason in LOSS_REASONS:
            number = item["lost"].get(reason, 0)
            if number:
                bar_height = (bottom - TOP) * number / top
                y -= bar_height
                bars.append(
                    f"<rect x='{x1:.1f}' y='{y:.1f}' width='{max(0.5, x2 - x1 - 0.4):.1f}' "
                    f"height='{bar_height:.1f}' fill='{REASON_COLOURS[reason]}'/>"
                )
    points = [(item["at"] + 0.5, float(item["asked"])) for item in seconds]
    line = f"<polyline points='{_polyline_points(points, axis, top, HEIGHT)}' fill='none' stroke='#2b6cb0'/>"
    legend_entries = [("first tries", "#2b6cb0")] + [
        (reason, REASON_COLOURS[reason]) for reason in LOSS_REASONS if reason in report["lost"]
    ]
    inside = _scale(top, HEIGHT) + "".join(bars) + line + _legend(legend_entries)
    return _frame("first tries a second, and those lost, by reason", axis, HEIGHT, report["troubles"], inside)


def _legend(entries: list[tuple[str, str]]) -> str:
    return "".join(
        f"<rect x='{WIDTH - RIGHT + 8}' y='{TOP + 14 * index}' width='10' height='10' fill='{colour}'/>"
        f"<text x='{WIDTH - RIGHT + 22}' y='{TOP + 9 + 14 * index}'>{escape(name)}</text>"
        for index, (name, colour) in enumerate(entries[:8])
    )


def _lines(report: Report, axis: Axis, title: str, key: str) -> str:
    samples = report["samples"]
    names = list(samples[0][key]) if samples else []
    top = float(max([value for sample in samples for value in sample[key].values()] + [1]))
    lines = ""
    for index, name in enumerate(names):
        points = [(sample["at"], float(sample[key].get(name, 0))) for sample in samples]
        colour = COLOURS[index % len(COLOURS)]
        lines += (
            f"<polyline points='{_polyline_points(points, axis, top, HEIGHT)}' fill='none' stroke='{colour}' "
            f"opacity='.85'/>"
        )
    legend = _legend([(name, COLOURS[index % len(COLOURS)]) for index, name in enumerate(names)])
    return _frame(title, axis, HEIGHT, report["troubles"], _scale(top, HEIGHT) + lines + legend)


def _members(report: Report, axis: Axis) -> str:
    """A map with one row for each node, coloured by the state in which most of the other running nodes hold
    it; the more nodes, the darker."""
    rows = report["tier"]["members"]
    height = TOP + BOTTOM + ROW_HEIGHT * max(1, len(rows))
    cells = []
    for row, (name, spells) in enumerate(rows.items()):
        for spell, following in zip(spells, [*spells[1:], None], strict=True):
            x1, x2 = axis.x(spell["at"]), axis.x(following["at"] if following else axis.end)
            worst = next((state for state in ("dead", "suspect", "left", "alive") if spell.get(state)), None)
            if worst is None or x2 <= x1:
                continue
            total = sum(spell.get(state, 0) for state in STATE_COLOURS)
            description = ", ".join(f"{spell[state]} {state}" for state in STATE_COLOURS if spell.get(state))
            cells.append(
                f"<rect x='{x1:.1f}' y='{TOP + ROW_HEIGHT * row}' width='{x2 - x1 + 0.2:.1f}' "
                f"height='{ROW_HEIGHT - 1}' "
                f"fill='{STATE_COLOURS[worst]}' opacity='{0.3 + 0.7 * spell[worst] / total:.2f}'>"
                f"<title>{escape(name)} from {spell['at']:.2f} s: {description}</title></rect>"
            )
    labels = "".join(
        f"<text x='{LEFT - 6}' y='{TOP + ROW_HEIGHT * row + 9}' text-anchor='end'>{escape(name)}</text>"
        for row, name in enumerate(rows)
    )
    legend = _legend(list(STATE_COLOURS.items()))
    title = "nodes, as the others hold them"
    return _frame(title, axis, height, report["troubles"], "".join(cells) + labels + legend)


def _boxes(report: Report, axis: Axis) -> str:
    """A map with one row for each box; the more requests it holds, the darker."""
    samples = report["samples"]
    names = list(report["boxes"])
    height = TOP + BOTTOM + ROW_HEIGHT * max(1, len(names))
    top = max([box["held"] for sample in samples for box in sample["boxes"].values()] + [1])
    cells = []
    for sample, following in zip(samples, [*samples[1:], None], strict=True):
        x1 = axis.x(sample["at"])
        x2 = axis.x(following["at"] if following else sample["at"] + 1)
        for row, name in enumerate(names):
            box = sample["boxes"].get(name)
            if box is None:
                continue
            darkness = (box["held"] / top) ** 0.6
            red, green, blue = (round(247 - darkness * gap) for gap in (60, 190, 205))
            cells.append(
                f"<rect x='{x1:.1f}' y='{TOP + ROW_HEIGHT * row}' width='{x2 - x1 + 0.3:.1f}' "
                f"height='{ROW_HEIGHT - 1}' "
                f"fill='rgb({red},{green},{blue})'><title>{name}: {box['held']} held, "
                f"{box['waiting']} waiting, cores {box['busy']:.0%}, "
                f"{box['connections']} connections</title></rect>"
            )
    labels = "".join(
        f"<text x='{LEFT - 6}' y='{TOP + ROW_HEIGHT * row + 9}' text-anchor='end'>{name}</text>"
        f"<text x='{WIDTH - RIGHT + 8}' y='{TOP + ROW_HEIGHT * row + 9}'>"
        f"{escape(report['boxes'][name]['kind'])}</text>"
        for row, name in enumerate(names)
    )
    return _frame(
        f"requests held by each box (darkest: {top})",
        axis,
        height,
        report["troubles"],
        "".join(cells) + labels,
    )


# Tables.


def _losses(report: Report) -> str:
    reasons = [reason for reason in LOSS_REASONS if reason in report["lost"]]
    sections = []
    for title, groups in (
        ("class", {**report["classes"], "all": report}),
        ("phase", report["phases"]),
        ("tenant", report["tenants"]),
    ):
        head = "".join(
            f"<th>{escape(heading)}</th>"
            for heading in (title, "asked", "service", "p50 ms", "p95 ms", "p99 ms", *reasons)
        )
        rows = []
        for name, group in groups.items():
            times = [group["latency_ms"][part] for part in ("p50", "p95", "p99")]
            cells = [
                escape(name), str(group["asked"]), f"{group['service']:.3f}",
                *("" if value is None else f"{value:.0f}" for value in times),
                *(str(group["lost"].get(reason, {}).get("requests", "")) for reason in reasons),
            ]  # fmt: skip
            rows.append("<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>")
        sections.append(f"<h2>By {title}</h2><table><tr>{head}</tr>{''.join(rows)}</table>")
    return "".join(sections)


def _events(report: Report) -> str:
    rows = "".join(
        f"<tr><td>{event['at']:.2f} s</td><td class='text'>{escape(event['what'])}</td></tr>"
        for event in report["events"]
    )
    return f"<h2>What happened</h2><table>{rows}</table>" if rows else ""
