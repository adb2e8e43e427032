"""What a report tells of a tier: findings, and how the nodes were held by the others through the run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from rich.console import RenderableType
from rich.text import Text

from driftstair.rehearsal.tier.histories import FOREVER, Process
from driftstair.rehearsal.tier.stage import TierStage

FINDINGS_MOST = 200  # told one by one
FINDINGS_SHOWN = 10

Spell = dict[str, Any]


def part(of: TierStage, at: Callable[[int], float]) -> dict[str, Any]:
    names = of.names
    return {
        "findings": [
            {
                "rule": one.rule, "at": at(one.at), "node": names[one.node] if one.node >= 0 else "",
                "member": names[one.member] if one.member >= 0 else "", "evidence": one.evidence,
            }
            for one in of.findings[:FINDINGS_MOST]
        ],
        "datagrams": of.links.carried,
        "lost": of.links.lost,
        "stood_still": sum(len(one.stood_still) for one in of.processes),
        "budgets": {
            name: {
                "per_s": one.terms.per_s, "spent": one.spent, "over": round(one.over, 3),
                "allowed": one.allowed(),
            }
            for name, one in of.spending.items()
        },
        "held_back": [
            {
                "node": names[one.node], "server": one.server, "at": at(one.begin),
                "until": at(one.end) if one.end < FOREVER else None,
                "reporters": [names[number] for number in one.reporters],
            }
            for one in of.held_back[:FINDINGS_MOST]
        ],
        "members": {name: _spells(of.processes, number, at) for number, name in enumerate(names)},
    }  # fmt: skip


def _spells(processes: list[Process], member: int, at: Callable[[int], float]) -> list[Spell]:
    """By how many of the others a node is held for what, from when on. A process counts until the next one
    of its node."""
    held: dict[int, str] = {}
    changes: list[tuple[int, int, str | None]] = []
    for process in processes:
        if process.node != member:
            changes.append((process.began, process.node, None))
            changes += [(one.at, process.node, one.state) for one in process.held if one.member == member]
    out: list[Spell] = []
    for when, node, state in sorted(changes, key=lambda one: one[0]):
        if state is None:
            held.pop(node, None)
        else:
            held[node] = state
        spell = {"at": at(when), **Counter(held.values())}
        if out and out[-1]["at"] == spell["at"]:
            out.pop()
        out.append(spell)
    return out


def shown(report: dict[str, Any]) -> RenderableType:
    of = report["tier"]
    text = Text(f"tier: {of['datagrams']} datagrams, {of['lost']} lost")
    found = of["findings"]
    if not found:
        text.append("; every node judged as it should", style="green")
    for name, one in of["budgets"].items():
        text.append(f"\nbudget {name}: {one['spent']:.0f} spent at {one['per_s']:g}/s, in the worst window ")
        text.append(f"{one['over']:.1f} more than that, {one['allowed']:.1f} allowed")
    for one in found[:FINDINGS_SHOWN]:
        text.append(f"\n{one['at']:.3f} s  {one['rule']}: {one['node']} of {one['member']}\n", style="red")
        text.append(f"    {one['evidence']}")
    if len(found) > FINDINGS_SHOWN:
        text.append(f"\nand {len(found) - FINDINGS_SHOWN} more")
    if of["held_back"]:
        servers = sorted({one["server"] for one in of["held_back"]})
        text.append(f"\nheld back on others' word: {', '.join(servers)}, {len(of['held_back'])} times")
    return text
