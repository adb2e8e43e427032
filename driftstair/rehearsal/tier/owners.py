"""What must hold of the tasks that one node at a time has, by the nodes' histories and what befell them."""

from __future__ import annotations

from typing import Any

from driftstair.rehearsal.tier.checks import SECOND, Finding, Story

FOREVER = 1 << 62
Lease = tuple[int, int, int, int]
"""When it was had, and until when by its owner's word (ns); its token; who."""


def leases(events: list[dict[str, Any]]) -> dict[str, list[Lease]]:
    """By task, in the order of time. One that its process did not live to write the end of lasts until the
    next process of that node begins."""
    out: dict[str, list[Lease]] = {}
    running: dict[tuple[str, int], tuple[int, int]] = {}

    def end(task: str, node: int, at: int) -> None:
        begin, token = running.pop((task, node))
        out.setdefault(task, []).append((begin, at, token, node))

    for one in sorted(events, key=lambda one: int(one["t_ns"])):
        node, at = one["node"], one["t_ns"]
        if one["event"] in ("start", "end"):
            for task, holder in list(running):
                if holder == node:
                    end(task, node, at)
        elif one["event"] == "own":
            running[one["task"], node] = at, one["token"]
        elif one["event"] == "lost" and (one["task"], node) in running:
            end(one["task"], node, at)
    for task, node in list(running):
        end(task, node, FOREVER)
    return {task: sorted(some) for task, some in out.items()}


def check(events: list[dict[str, Any]], story: Story) -> list[Finding]:
    """Tokens only rise. Two leases of a task don't overlap, but where who had the first stood still or was
    dead: it can't have written the end, and what it did later carried an old token."""
    out = []
    for task, some in leases(events).items():
        greatest, last = 0, None
        for lease in some:
            begin, _, token, node = lease
            if token <= greatest:
                told = f"{task}: {token} after {greatest}"
                out.append(Finding("a token does not rise", begin, node, -1, told))
            greatest = max(greatest, token)
            if last is not None and last[3] != node and begin < last[1] and not _excused(story, last, begin):
                told = f"{task}: node {last[3]} had it until {(last[1] - begin) / SECOND:.3f} s later"
                out.append(Finding("a task has two owners", begin, node, last[3], told))
            if last is None or lease[1] >= last[1]:
                last = lease
    return out


def _excused(story: Story, lease: Lease, at: int) -> bool:
    """It did not run when the next one began, or its record was never ended since it was killed before."""
    return any(one.begin <= at <= one.end + SECOND for one in story.of(lease[3]) if one.apart is None)
