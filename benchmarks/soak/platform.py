"""The platform of a run: what its nodes are told, in the form of the platform's own configuration."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

MS = 10**6
SECOND = 10**9
HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class RequestKind:
    name: str
    effect: str  # safe, keyed or unsafe
    method: str
    deadline_ms: int
    aim_ms: int


KINDS = (
    RequestKind("read", "safe", "GET", 1500, 800),
    RequestKind("order", "unsafe", "POST", 2000, 1000),
    RequestKind("pay", "keyed", "POST", 2000, 1000),
)
REPEATS = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}  # on the wire of the settings
WINDOW_MS = 1200  # in which repeats of keyed requests are dropped
DRAIN_GRACE_MS = 800
LONGEST_DEADLINE_S = 3.0  # as far as the platform waits, whatever the classes say
ASK_WITHIN_MS = 3000


def _grade(kind: RequestKind) -> dict[str, Any]:
    return {
        "Aim": kind.aim_ms * MS,
        "Deadline": kind.deadline_ms * MS,
        "Group": "all",
        "LateShare": 0.0,
        "MemorySpan": WINDOW_MS * MS,
        "Name": kind.name,
        "Semantics": REPEATS[kind.effect],
        "Stream": False,
        "Worth": 1.0,
    }


def settings(nodes: int, pushed: bool) -> dict[str, Any]:
    return {
        "Contract": {"AskWithin": ASK_WITHIN_MS * MS, "Cold": SECOND, "ColdShare": 0.5},
        "Feedback": {"Fields": [], "How": "answers"},
        "Grades": [_grade(kind) for kind in KINDS],
        "Kinds": ["plain"],
        "Zones": ["room"],
        "Tenants": [],
        "MembershipMode": "pushed" if pushed else "on_request",
        "Limits": {
            "DialTimeout": 300 * MS,
            "IdleClose": 5 * SECOND,
            "MaxRetryAfter": SECOND,
            "OpenCap": 20_000,
            "RetryAfter": True,
            "SendCap": 4,
        },
        "PeersTotal": nodes,
        "WorthBy": "request",
    }


def configuration(
    name: str, listen: str, discovery: str, seed: int, known: dict[str, Any], told: dict[str, Any]
) -> dict[str, Any]:
    """`told`: the settings."""
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "settings": told,
        "known": known,
    }
