"""The report as plain data, format `driftstair.rehearsal/1`. The same run gives the same report to the byte.

Times are seconds from the moment at which clients started. The report contains nothing about the machine or
about how long the run took on it.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

from driftstair.rehearsal import load
from driftstair.rehearsal.account import LOSS_REASONS, Tally
from driftstair.rehearsal.report import tier
from driftstair.rehearsal.rules import RULE_NAMES
from driftstair.rehearsal.runner import Rehearsal
from driftstair.rehearsal.scenario import Scenario

FORMAT = "driftstair.rehearsal/1"
MAX_BREAKS_LISTED = 200
MAX_LOG_LINES = 300

Report = dict[str, Any]
LogLine = tuple[int, str, str, str]


class ReportError(Exception):
    """A file that is not a report of this version."""


def build(rehearsal: Rehearsal, log_lines: list[LogLine], environment: str) -> Report:
    """Builds the report of a finished rehearsal."""

    def relative_s(ns: int) -> float:
        return round((ns - rehearsal.began_ns) / 1e9, 6)

    account, scenario = rehearsal.account, rehearsal.scenario
    by_rule = dict.fromkeys(RULE_NAMES, 0)
    for item in rehearsal.checker.breaks:
        by_rule[item.rule] += 1
    total_figures = _group(account.total)
    return {
        "format": FORMAT,
        "scenario": _scenario(scenario),
        "ground": environment,
        "ended": _ended(rehearsal),
        "verdict": {
            "rules_kept": not rehearsal.checker.breaks,
            "breaks": len(rehearsal.checker.breaks),
            "breaks_by_rule": {str(rule): number for rule, number in by_rule.items()},
            "crashes": len(rehearsal.crashes),
            **({} if rehearsal.tier is None else {"tier_findings": len(rehearsal.tier.findings)}),
            "requests_judged": rehearsal.checker.requests_judged,
            "first_attempts": rehearsal.checker.first_attempts,
            "further_attempts": rehearsal.checker.further_attempts,
        },
        **total_figures,
        "classes": {kind.name: _group(account.by_class[kind.name]) for kind in load.classes(scenario)
                    if kind.name in account.by_class},
        "tenants": {item.name: _group(account.by_tenant[item.name]) for item in load.tenants(scenario)
                    if item.name in account.by_tenant},
        "phases": {name: _group(tally) for name, tally in account.by_phase.items()},
        "breaks": [
            {
                "rule": item.rule, "name": item.name, "at": relative_s(item.at), "request": item.request,
                "box": item.box, "node": item.node, "evidence": item.evidence,
            }
            for item in rehearsal.checker.breaks[:MAX_BREAKS_LISTED]
        ],
        "crashes": [
            {"at": relative_s(item.at), "node": item.node, "what": item.what, "trace": item.trace}
            for item in rehearsal.crashes
        ],
        **({} if rehearsal.tier is None else {"tier": tier.tier_section(rehearsal.tier, relative_s)}),
        "pushed_over_unknowingly": [
            {"at": relative_s(when), "box": box} for when, box in rehearsal.checker.excused_overloads
        ],
        "troubles": [
            {"from": relative_s(begin), "to": relative_s(end), "kind": kind}
            for begin, end, kind in rehearsal.fault_spans
        ],
        "events": [{"at": relative_s(item.at), "what": item.what} for item in rehearsal.events],
        "seconds": _seconds(rehearsal),
        "samples": [
            {
                "at": relative_s(item.at),
                "in_flight": item.in_flight,
                "descriptors": item.descriptors,
                "boxes": {
                    name: {"busy": round(busy, 4), "held": held, "waiting": waiting, "connections": open_}
                    for name, (busy, held, waiting, open_) in item.boxes.items()
                },
            }
            for item in rehearsal.samples
        ],
        "boxes": {
            box.name: {
                "kind": box.kind.name, "speed": round(box.figures.speed, 4), "handled": box.handled,
                "turned_away": box.turned_away, "jams": box.engine.jam_count,
            }
            for box in (*rehearsal.removed_boxes.values(), *rehearsal.boxes.values())
        },
        "log": [
            {"at": relative_s(when), "node": node, "level": level, "text": text}
            for when, node, level, text in log_lines[:MAX_LOG_LINES]
        ],
    }  # fmt: skip


def _scenario(scenario: Scenario) -> dict[str, Any]:
    text = json.dumps(scenario.model_dump(mode="json", by_alias=True), sort_keys=True)
    return {
        "name": scenario.name,
        "title": scenario.title,
        "hash": hashlib.sha256(text.encode()).hexdigest()[:16],
        "seed": scenario.seed,
        "seconds": scenario.seconds,
        "rate": scenario.load.rate,
        "nodes": scenario.nodes.count,
        "boxes": scenario.boxes.count,
    }


def _ended(rehearsal: Rehearsal) -> str:
    """Returns how the run ended."""
    if rehearsal.stuck_reason:
        return f"stuck: {rehearsal.stuck_reason}"
    return "cut off" if rehearsal.was_interrupted else "whole"


def _group(tally: Tally) -> dict[str, Any]:
    """Returns the figures of one group of requests."""

    def rounded(value: float | None) -> float | None:
        return None if value is None else round(value, 3)

    return {
        "service": round(tally.service(), 6),
        "asked": tally.requests,
        "served": tally.served,
        "tries": tally.tries,
        "worth": round(tally.worth, 6),
        "worth_served": round(tally.worth_served, 6),
        "lost": {
            reason: {"requests": tally.lost[reason], "worth": round(tally.worth_lost[reason], 6)}
            for reason in LOSS_REASONS
            if tally.lost[reason]
        },
        "latency_ms": {
            name: rounded(tally.percentile(part))
            for name, part in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99))
        },
    }


def _seconds(rehearsal: Rehearsal) -> list[dict[str, Any]]:
    rows = []
    for second in sorted(rehearsal.account.seconds):
        figures = rehearsal.account.seconds[second]
        rows.append(
            {
                "at": second,
                "asked": figures.requests,
                "worth": round(figures.worth, 6),
                "worth_served": round(figures.worth_served, 6),
                "lost": {reason: figures.lost[reason] for reason in LOSS_REASONS if figures.lost[reason]},
            }
        )
    return rows


def to_json(report: Report) -> str:
    """Returns the text of a report file; equal reports give equal bytes."""
    return json.dumps(report, indent=1, sort_keys=True, ensure_ascii=False) + "\n"


def read(path: str) -> Report:
    """Reads a report from a file. Raises ReportError."""
    try:
        with open(path, encoding="utf-8") as file:
            report = json.load(file)
    except OSError as problem:
        raise ReportError(f"{path}: can't be read: {problem.strerror}") from None
    except ValueError as problem:
        raise ReportError(f"{path}: no JSON: {problem}") from None
    if not isinstance(report, dict) or report.get("format") != FORMAT:
        found_format = report.get("format") if isinstance(report, dict) else None
        raise ReportError(f"{path}: format is {found_format!r}, wanted {FORMAT!r}")
    return report
