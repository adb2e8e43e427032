"""What must hold of shared judgements on servers, by the nodes' histories and by what befell the servers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from driftstair.net.identifiers import digest
from driftstair.rehearsal.tier.checks import SECOND, Finding
from driftstair.tier.observed_module import server_key

FOREVER = 1 << 62


@dataclass(slots=True)
class Judged:
    """One server, as one node held it back: ns."""

    node: int
    server: str
    begin: int
    end: int
    reporters: list[int] = field(default_factory=list)


def held_back(events: Iterable[dict[str, Any]], servers: Iterable[str]) -> list[Judged]:
    names = {server_key(digest(one)): one for one in servers}
    out: list[Judged] = []
    open_: dict[tuple[int, int], Judged] = {}
    for one in sorted(events, key=lambda one: int(one["t_ns"])):
        if one["event"] == "start":
            for place in [place for place in open_ if place[0] == one["node"]]:
                open_.pop(place).end = one["t_ns"]
        elif one["event"] == "judge":
            place = one["node"], one["server"]
            if one["verdict"] == "out" and place not in open_:
                name = names.get(one["server"], f"{one['server']:08x}")
                open_[place] = Judged(one["node"], name, one["t_ns"], FOREVER, one["reporters"])
                out.append(open_[place])
            elif one["verdict"] == "back" and place in open_:
                open_.pop(place).end = one["t_ns"]
    return out


def check(judged: list[Judged], blamed: dict[str, list[tuple[int, int]]], settle: float) -> list[Finding]:
    """No server is held back on others' word but where it had trouble itself, and for so many s after."""
    out = []
    for one in judged:
        spans = blamed.get(one.server, [])
        if not any(begin <= one.begin and one.end <= end + settle * SECOND for begin, end in spans):
            told = f"{one.server} is held back on the word of {one.reporters}"
            out.append(Finding("a sound server is held back", one.begin, one.node, -1, told))
    return out
