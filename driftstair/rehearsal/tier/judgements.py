"""Checks shared judgements on servers, by the nodes' histories and the faults on the servers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from driftstair.net.identifiers import digest
from driftstair.rehearsal.tier.checks import NS_PER_S, Finding
from driftstair.tier.observed_module import server_key

FOREVER = 1 << 62


@dataclass(slots=True)
class HeldBackServer:
    """A period, in ns, during which one node held one server back."""

    node: int
    server: str
    begin: int
    end: int
    reporters: list[int] = field(default_factory=list)


def held_back_servers(events: Iterable[dict[str, Any]], servers: Iterable[str]) -> list[HeldBackServer]:
    """Returns the periods in which nodes held servers back on the reports of other nodes."""
    names = {server_key(digest(server)): server for server in servers}
    periods: list[HeldBackServer] = []
    ongoing: dict[tuple[int, int], HeldBackServer] = {}
    for event in sorted(events, key=lambda event: int(event["t_ns"])):
        if event["event"] == "start":
            for node_and_server in [
                node_and_server for node_and_server in ongoing if node_and_server[0] == event["node"]
            ]:
                ongoing.pop(node_and_server).end = event["t_ns"]
        elif event["event"] == "judge":
            node_and_server = event["node"], event["server"]
            if event["verdict"] == "out" and node_and_server not in ongoing:
                name = names.get(event["server"], f"{event['server']:08x}")
                ongoing[node_and_server] = HeldBackServer(
                    event["node"], name, event["t_ns"], FOREVER, event["reporters"]
                )
                periods.append(ongoing[node_and_server])
            elif event["verdict"] == "back" and node_and_server in ongoing:
                ongoing.pop(node_and_server).end = event["t_ns"]
    return periods


def check(
    periods: list[HeldBackServer], box_faults: dict[str, list[tuple[int, int]]], settle: float
) -> list[Finding]:
    """Reports servers that were held back on other nodes' reports without a fault of their own, or for longer
    than `settle` seconds after it."""
    findings = []
    for period in periods:
        spans = box_faults.get(period.server, [])
        if not any(begin <= period.begin and period.end <= end + settle * NS_PER_S for begin, end in spans):
            description = f"{period.server} is held back on the word of {period.reporters}"
            findings.append(
                Finding("a sound server is held back", period.begin, period.node, -1, description)
            )
    return findings
