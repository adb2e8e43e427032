"""The report as plain data, `driftstair.rehearsal/1`. The same run gives the same report to the byte.

Times are seconds from the moment at which clients came. Nothing in it tells of the machine or of how long the
run took on it.
"""

from __future__ import annotations

import hashlib
import json
from typing import Any

from driftstair.rehearsal import load
from driftstair.rehearsal.account import REASONS, Tally
from driftstair.rehearsal.report import tier
from driftstair.rehearsal.rules import NAMES
from driftstair.rehearsal.runner import Rehearsal
from driftstair.rehearsal.scenario import Scenario

FORMAT = "driftstair.rehearsal/1"
BREAKS_MOST = 200  # told one by one
LOG_MOST = 300  # lines

Report = dict[str, Any]
LogLine = tuple[int, str, str, str]


class ReportError(Exception):
    """A file that is no report of this version."""


def build(of: Rehearsal, log: list[LogLine], environment: str) -> Report:
    def at(ns: int) -> float:
        return round((ns - of.began) / 1e9, 6)

    account, scenario = of.account, of.scenario
    by_rule = dict.fromkeys(NAMES, 0)
    for one in of.checker.breaks:
        by_rule[one.rule] += 1
    whole = _group(account.whole)
    return {
        "format": FORMAT,
        "scenario": _scenario(scenario),
        "ground": environment,
        "ended": _ended(of),
        "verdict": {
            "rules_kept": not of.checker.breaks,
            "breaks": len(of.checker.breaks),
            "breaks_by_rule": {str(rule): number for rule, number in by_rule.items()},
            "crashes": len(of.crashes),
            **({} if of.tier is None else {"tier_findings": len(of.tier.findings)}),
            "requests_judged": of.checker.judged,
            "first_attempts": of.checker.first_attempts,
            "further_attempts": of.checker.further_attempts,
        },
        **whole,
        "classes": {kind.name: _group(account.by_class[kind.name]) for kind in load.classes(scenario)
                    if kind.name in account.by_class},
        "tenants": {one.name: _group(account.by_tenant[one.name]) for one in load.tenants(scenario)
                    if one.name in account.by_tenant},
        "phases": {name: _group(tally) for name, tally in account.by_phase.items()},
        "breaks": [
            {
                "rule": one.rule, "name": one.name, "at": at(one.at), "request": one.request, "box": one.box,
                "node": one.node, "evidence": one.evidence,
            }
            for one in of.checker.breaks[:BREAKS_MOST]
        ],
        "crashes": [
            {"at": at(one.at), "node": one.node, "what": one.what, "trace": one.trace} for one in of.crashes
        ],
        **({} if of.tier is None else {"tier": tier.part(of.tier, at)}),
        "pushed_over_unknowingly": [{"at": at(when), "box": box} for when, box in of.checker.fallen],
        "troubles": [{"from": at(begin), "to": at(end), "kind": kind} for begin, end, kind in of.spans],
        "events": [{"at": at(one.at), "what": one.what} for one in of.events],
        "seconds": _seconds(of),
        "samples": [
            {
                "at": at(one.at),
                "in_flight": one.in_flight,
                "descriptors": one.descriptors,
                "boxes": {
                    name: {"busy": round(busy, 4), "held": held, "waiting": waiting, "connections": open_}
                    for name, (busy, held, waiting, open_) in one.boxes.items()
                },
            }
            for one in of.samples
        ],
        "boxes": {
            box.name: {
                "kind": box.kind.name, "speed": round(box.figures.speed, 4), "handled": box.handled,
                "turned_away": box.turned_away, "jams": box.engine.jam_count,
            }
            for box in (*of.gone.values(), *of.boxes.values())
        },
        "log": [
            {"at": at(when), "node": node, "level": level, "text": text}
            for when, node, level, text in log[:LOG_MOST]
        ],
    }  # fmt: skip


def _scenario(of: Scenario) -> dict[str, Any]:
    text = json.dumps(of.model_dump(mode="json", by_alias=True), sort_keys=True)
    return {
        "name": of.name,
        "title": of.title,
        "hash": hashlib.sha256(text.encode()).hexdigest()[:16],
        "seed": of.seed,
        "seconds": of.seconds,
        "rate": of.load.rate,
        "nodes": of.nodes.count,
        "boxes": of.boxes.count,
    }


def _ended(of: Rehearsal) -> str:
    if of.stuck:
        return f"stuck: {of.stuck}"
    return "cut off" if of.cut_off else "whole"


def _group(tally: Tally) -> dict[str, Any]:
    def rounded(value: float | None) -> float | None:
        return None if value is None else round(value, 3)

    return {
        "service": round(tally.service(), 6),
        "asked": tally.asked,
        "served": tally.served,
        "tries": tally.tries,
        "worth": round(tally.worth, 6),
        "worth_served": round(tally.worth_served, 6),
        "lost": {
            reason: {"requests": tally.lost[reason], "worth": round(tally.worth_lost[reason], 6)}
            for reason in REASONS
            if tally.lost[reason]
        },
        "latency_ms": {
            name: rounded(tally.percentile(part))
            for name, part in (("p50", 0.5), ("p95", 0.95), ("p99", 0.99))
        },
    }


def _seconds(of: Rehearsal) -> list[dict[str, Any]]:
    out = []
    for second in sorted(of.account.seconds):
        one = of.account.seconds[second]
        out.append(
            {
                "at": second,
                "asked": one.asked,
                "worth": round(one.worth, 6),
                "worth_served": round(one.worth_served, 6),
                "lost": {reason: one.lost[reason] for reason in REASONS if one.lost[reason]},
            }
        )
    return out


def text_of(report: Report) -> str:
    """The file's text: stable to the byte."""
    return json.dumps(report, indent=1, sort_keys=True, ensure_ascii=False) + "\n"


def read(path: str) -> Report:
    """A report from its file; raises ReportError."""
    try:
        with open(path, encoding="utf-8") as file:
            found = json.load(file)
    except OSError as problem:
        raise ReportError(f"{path}: can't be read: {problem.strerror}") from None
    except ValueError as problem:
        raise ReportError(f"{path}: no JSON: {problem}") from None
    if not isinstance(found, dict) or found.get("format") != FORMAT:
        given = found.get("format") if isinstance(found, dict) else None
        raise ReportError(f"{path}: format is {given!r}, wanted {FORMAT!r}")
    return found
