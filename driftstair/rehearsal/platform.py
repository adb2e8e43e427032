"""A node's configuration in the platform's form, from a scenario."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from driftstair.rehearsal import load
from driftstair.rehearsal.cold import ColdRule
from driftstair.rehearsal.rules import NS_PER_MS, ClassSemantics, RuleBook
from driftstair.rehearsal.scenario import Scenario

SEMANTICS = {"safe": "repeatable", "keyed": "by_key", "unsafe": "once"}


@dataclass(frozen=True, slots=True)
class Peers:
    """Addresses of the datagrams between nodes, as one of them is told."""

    listen: str
    all: list[str]  # by number


def _ns(seconds: float) -> int:
    return int(seconds * 1e9)


def settings(of: Scenario, number: int = 0) -> dict[str, Any]:
    """The object that tells a node of its deployment."""
    coldest = max(load.kinds(of), key=lambda kind: kind.cold_s)
    tenants = load.tenants(of)
    total = sum(tenant.share for tenant in tenants)
    return {
        "Contract": {
            "AskWithin": _ns(of.list.ask_within_s),
            "Cold": _ns(coldest.cold_s),
            "ColdShare": min(kind.cold_share for kind in load.kinds(of)),
        },
        "Feedback": {"Fields": ["load_share", "depth"], "How": "answers"},
        "Grades": [
            {
                "Name": one.name, "Aim": int(one.wanted_ms * NS_PER_MS),
                "Deadline": int(one.given_up_ms * NS_PER_MS),
                "Worth": one.worth, "LateShare": 0.0, "Semantics": SEMANTICS[one.effect], "Group": "all",
                "MemorySpan": _ns(one.repeats_dropped_s), "Stream": False,
            }
            for one in load.classes(of)
        ],
        "Kinds": [kind.name for kind in load.kinds(of)],
        "Zones": ["room"],
        "Tenants": [{"Name": tenant.name, "Share": tenant.share / total} for tenant in tenants],
        "MembershipMode": "pushed" if of.list.mode == "pushed" else "on_request",
        "Limits": {
            "DialTimeout": int(of.nodes.dial_timeout_ms * NS_PER_MS),
            "IdleClose": _ns(min(kind.idle_s for kind in load.kinds(of))),
            "MaxRetryAfter": _ns(of.nodes.retry_after_most_s),
            "OpenCap": of.nodes.open_most,
            "RetryAfter": of.nodes.retry_after_most_s > 0,
            "SendCap": of.nodes.attempts,
        } | ({} if of.nodes.tier is None else {"Peers": True}),
        "MyZone": 0,
        "PeersTotal": of.nodes.count,
        "SelfIndex": number,
        "WorthBy": "request",
    }  # fmt: skip


def document(
    of: Scenario, name: str, listen: tuple[str, int], discovery: tuple[str, int], seed: int,
    known: dict[str, Any], peers: Peers | None = None,
) -> dict[str, Any]:  # fmt: skip
    """What the file at BALANCER_CONFIG holds."""
    told = {} if peers is None else {"peer_listen": peers.listen, "peers": peers.all}
    return told | {
        "name": name,
        "listen": f"{listen[0]}:{listen[1]}",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": of.nodes.memory_mb, "sockets": of.nodes.descriptors},
        "settings": settings(of, int(name.removeprefix("n"))),
        "known": known,
    }


def rule_book(of: Scenario) -> RuleBook:
    return RuleBook(
        classes={
            one.name: ClassSemantics(one.effect, _ns(one.repeats_dropped_s)) for one in load.classes(of)
        },
        answer_grace_ns=int(of.rules.answer_grace_ms * NS_PER_MS),
        drain_grace_ns=_ns(of.rules.drain_grace_s),
        ask_within_ns=_ns(of.list.ask_within_s),
        cold_rule=ColdRule(of.rules.cold_multiple, _ns(of.rules.cold_window_s)),
    )
