"""The platform of a run: the configuration of its nodes, in the platform's own format."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

NS_PER_MS = 10**6
NS_PER_S = 10**9
HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request that clients send; each is a class in the settings."""

    name: str
    effect: str  # safe, keyed or unsafe
    method: str
    deadline_ms: int
    aim_ms: int


REQUEST_KINDS = (
    RequestKind("read", "safe", "GET", 1500, 800),
    RequestKind("order", "unsafe", "POST", 2000, 1000),
    RequestKind("pay", "keyed", "POST", 2000, 1000),
)
SEMANTICS_BY_EFFECT = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}  # values in the settings
REPEAT_WINDOW_MS = 1200  # in which servers drop repeats of keyed requests
DRAIN_GRACE_MS = 800
LONGEST_DEADLINE_S = min(3.0, max(kind.deadline_ms for kind in REQUEST_KINDS) / 1000)
"""For which the platform waits after SIGTERM, before the grace of SIGKILL."""
ASK_WITHIN_MS = 3000


def _class_settings(kind: RequestKind) -> dict[str, Any]:
    return {
        "Aim": kind.aim_ms * NS_PER_MS,
        "Deadline": kind.deadline_ms * NS_PER_MS,
        "Group": "all",
        "LateShare": 0.0,
        "MemorySpan": REPEAT_WINDOW_MS * NS_PER_MS,
        "Name": kind.name,
        "Semantics": SEMANTICS_BY_EFFECT[kind.effect],
        "Stream": False,
        "Worth": 1.0,
    }


def settings(nodes: int, pushed: bool) -> dict[str, Any]:
    """Returns the settings of a node. `nodes`: how many there are; `pushed`: server lists are pushed."""
    return {
        "Contract": {"AskWithin": ASK_WITHIN_MS * NS_PER_MS, "Cold": NS_PER_S, "ColdShare": 0.5},
        "Feedback": {"Fields": [], "How": "answers"},
        "Grades": [_class_settings(kind) for kind in REQUEST_KINDS],
        "Kinds": ["plain"],
        "Zones": ["room"],
        "Tenants": [],
        "MembershipMode": "pushed" if pushed else "on_request",
        "Limits": {
            "DialTimeout": 300 * NS_PER_MS,
            "IdleClose": 5 * NS_PER_S,
            "MaxRetryAfter": NS_PER_S,
            "OpenCap": 20_000,
            "RetryAfter": True,
            "SendCap": 4,
        },
        "PeersTotal": nodes,
        "WorthBy": "request",
    }


def configuration(
    name: str,
    listen: str,
    discovery: str,
    seed: int,
    known_servers: dict[str, Any],
    node_settings: dict[str, Any],
) -> dict[str, Any]:
    """Returns the configuration file of a node. `known_servers`: the server list that it starts with."""
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": node_settings,
        "known": known_servers,
    }
