"""The tier section of a report: findings, and how the other nodes held each node through the run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from rich.console import RenderableType
from rich.text import Text

from driftstair.rehearsal.tier.histories import FOREVER, Process
from driftstair.rehearsal.tier.stage import TierMonitor

MAX_FINDINGS_LISTED = 200
MAX_FINDINGS_SHOWN = 10

ViewSpell = dict[str, Any]


def tier_section(monitor: TierMonitor, relative_s: Callable[[int], float]) -> dict[str, Any]:
    """Builds the tier section of a report."""
    names = monitor.names
    return {
        "findings": [
            {
                "rule": item.rule, "at": relative_s(item.at),
                "node": names[item.node] if item.node >= 0 else "",
                "member": names[item.member] if item.member >= 0 else "", "evidence": item.evidence,
            }
            for item in monitor.findings[:MAX_FINDINGS_LISTED]
        ],
        "datagrams": monitor.links.carried,
        "lost": monitor.links.lost,
        "stood_still": sum(len(item.stood_still) for item in monitor.processes),
        "budgets": {
            name: {
                "per_s": item.terms.per_s, "spent": item.spent, "over": round(item.excess_tokens, 3),
                "allowed": item.allowed_excess(),
            }
            for name, item in monitor.spending.items()
        },
        "held_back": [
            {
                "node": names[item.node], "server": item.server, "at": relative_s(item.begin),
                "until": relative_s(item.end) if item.end < FOREVER else None,
                "reporters": [names[number] for number in item.reporters],
            }
            for item in monitor.held_back[:MAX_FINDINGS_LISTED]
        ],
        "members": {
            name: _view_spells(monitor.processes, number, relative_s) for number, name in enumerate(names)
        },
    }  # fmt: skip


def _view_spells(
    processes: list[Process], member: int, relative_s: Callable[[int], float]
) -> list[ViewSpell]:
    """Returns, for each change, how many of the other nodes hold a node in which state. A process counts
    until the next process of its node."""
    state_by_node: dict[int, str] = {}
    changes: list[tuple[int, int, str | None]] = []
    for process in processes:
        if process.node != member:
            changes.append((process.began, process.node, None))
            changes += [
                (change.at, process.node, change.state)
                for change in process.view_changes
                if change.member == member
            ]
    spells: list[ViewSpell] = []
    for when, node, state in sorted(changes, key=lambda change: change[0]):
        if state is None:
            state_by_node.pop(node, None)
        else:
            state_by_node[node] = state
        spell = {"at": relative_s(when), **Counter(state_by_node.values())}
        if spells and spells[-1]["at"] == spell["at"]:
            spells.pop()
        spells.append(spell)
    return spells


def render(report: dict[str, Any]) -> RenderableType:
    """Renders the tier section for the terminal."""
    section = report["tier"]
    text = Text(f"tier: {section['datagrams']} datagrams, {section['lost']} lost")
    findings = section["findings"]
    if not findings:
        text.append("; every node judged as it should", style="green")
    for name, item in section["budgets"].items():
        text.append(
            f"\nbudget {name}: {item['spent']:.0f} spent at {item['per_s']:g}/s, in the worst window "
        )
        text.append(f"{item['over']:.1f} more than that, {item['allowed']:.1f} allowed")
    for item in findings[:MAX_FINDINGS_SHOWN]:
        text.append(
            f"\n{item['at']:.3f} s  {item['rule']}: {item['node']} of {item['member']}\n", style="red"
        )
        text.append(f"    {item['evidence']}")
    if len(findings) > MAX_FINDINGS_SHOWN:
        text.append(f"\nand {len(findings) - MAX_FINDINGS_SHOWN} more")
    if section["held_back"]:
        servers = sorted({item["server"] for item in section["held_back"]})
        text.append(f"\nheld back on others' word: {', '.join(servers)}, {len(section['held_back'])} times")
    return text
