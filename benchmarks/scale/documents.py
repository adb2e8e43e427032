"""Documents that a node is told, made to any size: its configuration, service file and lists of servers."""

from __future__ import annotations

import json
from typing import Any

SECOND = 1_000_000_000  # ns
SERVICES = 1_000
NODES, SERVERS, ROUTES, TENANTS = 3_100, 33_000, 21_000, 220_000  # of the installation in two years
NODES_EACH, SERVERS_EACH = 3, 33  # of one service, where each service is an installation of its own
ROUTES_EACH, TENANTS_EACH = ROUTES // SERVICES, TENANTS // SERVICES
NODE_RATE = 274  # requests a second of a node: 850,000 over all of them
PEERS_FIRST_PORT = 1_024


def tenant_name(number: int) -> str:
    return f"tenant-{number:06}"


def server_address(number: int) -> str:
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080"


def server_entry(number: int, started_ms: int = 0) -> dict[str, Any]:
    """One server as discovery lists it."""
    return {
        "id": f"s-{number * 2_654_435_761 & 0xFFFFFFFF:08x}", "addr": server_address(number),
        "zone": f"zone-{number % 8}", "kind": "large", "cell": number % 64, "state": "Ready", "weight": 1.0,
        "started_ms": started_ms,
    }  # fmt: skip


def server_list(count: int, version: int = 1) -> dict[str, Any]:
    """A whole list of servers."""
    return {"version": version, "full": True, "servers": [server_entry(number) for number in range(count)]}


def server_change(number: int, version: int) -> dict[str, Any]:
    """A change of the list: one server has restarted."""
    return {"version": version, "full": False, "servers": [server_entry(number, version * 1000)]}


def line(document: dict[str, Any]) -> bytes:
    """A document as it stands on the wire of the watch."""
    return json.dumps(document, separators=(",", ":")).encode() + b"\n"


def peer_address(number: int) -> str:
    return f"127.101.{number >> 8}.{number & 255}:{PEERS_FIRST_PORT + number}"


def request_class(name: str, semantics: str) -> dict[str, Any]:
    return {
        "Aim": SECOND, "Deadline": 5 * SECOND, "Group": "all", "LateShare": 0.0, "MemorySpan": 0,
        "Name": name, "Semantics": semantics, "Stream": False, "Worth": 1.0,
    }  # fmt: skip


def platform(
    tenants: int = 0, servers: int = 0, peers: int = 0, nodes: int = NODES, number: int = 0
) -> dict[str, Any]:
    """The configuration that the platform gives a node."""
    out: dict[str, Any] = {
        "name": f"n{number}", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": server_list(servers),
        "settings": {
            "Contract": {"AskWithin": 100 * SECOND, "Cold": SECOND, "ColdShare": 0.5},
            "Feedback": {"Fields": ["load_share", "depth"], "How": "answers"},
            "Grades": [request_class("page", "repeatable"), request_class("order", "once")],
            "Kinds": ["large"], "Zones": [f"zone-{zone}" for zone in range(8)],
            "Tenants": [{"Name": tenant_name(one), "Share": 1 / max(1, tenants)} for one in range(tenants)],
            "MembershipMode": "on_request", "MyZone": number % 8, "SelfIndex": number,
            "Limits": {"DialTimeout": SECOND, "IdleClose": 30 * SECOND, "MaxRetryAfter": SECOND,
                       "OpenCap": 20_000, "RetryAfter": True, "SendCap": 5, "Peers": peers > 0},
            "PeersTotal": nodes, "WorthBy": "request",
        },
    }  # fmt: skip
    if peers:
        out["peer_listen"] = "127.0.0.1:0"
        out["peers"] = [peer_address(one) for one in range(peers)]
    return out


def route(number: int, total_ms: int = 900, tenant: str = "") -> str:
    """One route of the service file: a path of its service, times, a retry budget and admission."""
    service, own = number // ROUTES_EACH, number % ROUTES_EACH
    who = f', tenant = "{tenant}"' if tenant else ""
    return (
        f'[[route]]\nname = "svc-{service:04}-r{own:02}"\n'
        f'match = {{ class = "page"{who}, path = "/svc-{service:04}/r{own:02}/*" }}\n'
        f'timeout = {{ total = "{total_ms}ms" }}\n'
        'retry = { attempts = 3, backoff = "10ms", budget = { share = 0.1, burst = 5.0 } }\n'
        "admit = { in_flight = 200 }\n"
    )


def service_file(routes: int, total_ms: int = 900, tenants: int = 0) -> str:
    """A service file; the first route alone has `total_ms`. With `tenants` each route names one of them."""
    text = ["version = 1\n"]
    for number in range(routes):
        tenant = tenant_name(number * 10_007 % tenants) if tenants else ""
        text.append(route(number, 900 if number else total_ms, tenant))
    return "".join(text)
