"""Builds a node's configuration, in the platform's format, and the checker's rules from a scenario."""

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
    """The addresses for datagrams between nodes, for the configuration of one node."""

    listen: str
    addresses: list[str]  # of all nodes, by number


def _to_ns(seconds: float) -> int:
    return int(seconds * 1e9)


def settings(scenario: Scenario, node_number: int = 0) -> dict[str, Any]:
    """The settings that describe the deployment to a node."""
    slowest_to_warm = max(load.kinds(scenario), key=lambda kind: kind.cold_s)
    tenants = load.tenants(scenario)
    total_share = sum(tenant.share for tenant in tenants)
    return {
        "Contract": {
            "AskWithin": _to_ns(scenario.list.ask_within_s),
            "Cold": _to_ns(slowest_to_warm.cold_s),
            "ColdShare": min(kind.cold_share for kind in load.kinds(scenario)),
        },
        "Feedback": {"Fields": ["load_share", "depth"], "How": "answers"},
        "Grades": [
            {
                "Name": request_class.name, "Aim": int(request_class.wanted_ms * NS_PER_MS),
                "Deadline": int(request_class.given_up_ms * NS_PER_MS), "Worth": request_class.worth,
                "LateShare": 0.0, "Semantics": SEMANTICS[request_class.effect], "Group": "all",
                "MemorySpan": _to_ns(request_class.repeats_dropped_s), "Stream": False,
            }
            for request_class in load.classes(scenario)
        ],
        "Kinds": [kind.name for kind in load.kinds(scenario)],
        "Zones": ["room"],
        "Tenants": [{"Name": tenant.name, "Share": tenant.share / total_share} for tenant in tenants],
        "MembershipMode": "pushed" if scenario.list.mode == "pushed" else "on_request",
        "Limits": {
            "DialTimeout": int(scenario.nodes.dial_timeout_ms * NS_PER_MS),
            "IdleClose": _to_ns(min(kind.idle_s for kind in load.kinds(scenario))),
            "MaxRetryAfter": _to_ns(scenario.nodes.retry_after_most_s),
            "OpenCap": scenario.nodes.open_most,
            "RetryAfter": scenario.nodes.retry_after_most_s > 0,
            "SendCap": scenario.nodes.attempts,
        } | ({} if scenario.nodes.tier is None else {"Peers": True}),
        "MyZone": 0,
        "PeersTotal": scenario.nodes.count,
        "SelfIndex": node_number,
        "WorthBy": "request",
    }  # fmt: skip


def document(
    scenario: Scenario, name: str, listen: tuple[str, int], discovery: tuple[str, int], seed: int,
    known: dict[str, Any], peers: Peers | None = None,
) -> dict[str, Any]:  # fmt: skip
    """The content of a node's configuration file (BALANCER_CONFIG)."""
    peer_settings = {} if peers is None else {"peer_listen": peers.listen, "peers": peers.addresses}
    return peer_settings | {
        "name": name,
        "listen": f"{listen[0]}:{listen[1]}",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": f"{seed:016x}",
        "limits": {
            "cores": 1.0,
            "memory_mb": scenario.nodes.memory_mb,
            "sockets": scenario.nodes.descriptors,
        },
        "settings": settings(scenario, int(name.removeprefix("n"))),
        "known": known,
    }


def rule_book(scenario: Scenario) -> RuleBook:
    """The rules that the checker applies to a run of the scenario."""
    return RuleBook(
        classes={
            request_class.name: ClassSemantics(request_class.effect, _to_ns(request_class.repeats_dropped_s))
            for request_class in load.classes(scenario)
        },
        answer_grace_ns=int(scenario.rules.answer_grace_ms * NS_PER_MS),
        drain_grace_ns=_to_ns(scenario.rules.drain_grace_s),
        ask_within_ns=_to_ns(scenario.list.ask_within_s),
        cold_rule=ColdRule(scenario.rules.cold_multiple, _to_ns(scenario.rules.cold_window_s)),
    )
