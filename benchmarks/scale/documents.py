"""Generates the documents that a node reads, in any size: configuration, service file and server lists."""

from __future__ import annotations

import json
from typing import Any

SECOND_NS = 1_000_000_000
SERVICES = 1_000
NODES, SERVERS, ROUTES, TENANTS = 3_100, 33_000, 21_000, 220_000  # size of the installation in two years
NODES_PER_SERVICE, SERVERS_PER_SERVICE = 3, 33  # if each service is an installation of its own
ROUTES_PER_SERVICE, TENANTS_PER_SERVICE = ROUTES // SERVICES, TENANTS // SERVICES
NODE_REQUESTS_PER_S = 274  # 850,000 requests a second over all nodes
FIRST_PEER_PORT = 1_024


def tenant_name(number: int) -> str:
    """Returns the name of a tenant."""
    return f"tenant-{number:06}"


def server_address(number: int) -> str:
    """Returns the address of a server as HOST:PORT."""
    return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080"


def server_entry(number: int, started_ms: int = 0) -> dict[str, Any]:
    """Returns the entry of one server in a list of discovery."""
    return {
        "id": f"s-{number * 2_654_435_761 & 0xFFFFFFFF:08x}", "addr": server_address(number),
        "zone": f"zone-{number % 8}", "kind": "large", "cell": number % 64, "state": "Ready", "weight": 1.0,
        "started_ms": started_ms,
    }  # fmt: skip


def server_list(count: int, version: int = 1) -> dict[str, Any]:
    """Returns a full list of servers."""
    return {"version": version, "full": True, "servers": [server_entry(number) for number in range(count)]}


def server_change(number: int, version: int) -> dict[str, Any]:
    """Returns a change of the list with one server, which has restarted."""
    return {"version": version, "full": False, "servers": [server_entry(number, version * 1000)]}


def encode_line(document: dict[str, Any]) -> bytes:
    """Encodes a document as one line of a watch."""
    return json.dumps(document, separators=(",", ":")).encode() + b"\n"


def peer_address(number: int) -> str:
    """Returns the address of a peer as HOST:PORT."""
    return f"127.101.{number >> 8}.{number & 255}:{FIRST_PEER_PORT + number}"


def request_class(name: str, semantics: str) -> dict[str, Any]:
    """Returns the settings of one request class."""
    return {
        "Aim": SECOND_NS, "Deadline": 5 * SECOND_NS, "Group": "all", "LateShare": 0.0, "MemorySpan": 0,
        "Name": name, "Semantics": semantics, "Stream": False, "Worth": 1.0,
    }  # fmt: skip


def platform_document(
    tenants: int = 0, servers: int = 0, peers: int = 0, nodes: int = NODES, number: int = 0
) -> dict[str, Any]:
    """Returns the configuration document that the platform gives a node."""
    document: dict[str, Any] = {
        "name": f"n{number}", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": server_list(servers),
        "settings": {
            "Contract": {"AskWithin": 100 * SECOND_NS, "Cold": SECOND_NS, "ColdShare": 0.5},
            "Feedback": {"Fields": ["load_share", "depth"], "How": "answers"},
            "Grades": [request_class("page", "repeatable"), request_class("order", "once")],
            "Kinds": ["large"], "Zones": [f"zone-{zone}" for zone in range(8)],
            "Tenants": [{"Name": tenant_name(index), "Share": 1 / max(1, tenants)}
                        for index in range(tenants)],
            "MembershipMode": "on_request", "MyZone": number % 8, "SelfIndex": number,
            "Limits": {"DialTimeout": SECOND_NS, "IdleClose": 30 * SECOND_NS, "MaxRetryAfter": SECOND_NS,
                       "OpenCap": 20_000, "RetryAfter": True, "SendCap": 5, "Peers": peers > 0},
            "PeersTotal": nodes, "WorthBy": "request",
        },
    }  # fmt: skip
    if peers:
        document["peer_listen"] = "127.0.0.1:0"
        document["peers"] = [peer_address(index) for index in range(peers)]
    return document


def route_text(number: int, total_ms: int = 900, tenant: str = "") -> str:
    """Returns one route of the service file, with a path of its service, a timeout, a retry budget and an
    admission limit."""
    service, own_number = number // ROUTES_PER_SERVICE, number % ROUTES_PER_SERVICE
    tenant_match = f', tenant = "{tenant}"' if tenant else ""
    return (
        f'[[route]]\nname = "svc-{service:04}-r{own_number:02}"\n'
        f'match = {{ class = "page"{tenant_match}, path = "/svc-{service:04}/r{own_number:02}/*" }}\n'
        f'timeout = {{ total = "{total_ms}ms" }}\n'
        'retry = { attempts = 3, backoff = "10ms", budget = { share = 0.1, burst = 5.0 } }\n'
        "admit = { in_flight = 200 }\n"
    )


def service_file_text(routes: int, total_ms: int = 900, tenants: int = 0) -> str:
    """Returns a service file in which only the first route has the timeout `total_ms`. With `tenants` above 0
    each route names one of so many tenants."""
    parts = ["version = 1\n"]
    for number in range(routes):
        tenant = tenant_name(number * 10_007 % tenants) if tenants else ""
        parts.append(route_text(number, 900 if number else total_ms, tenant))
    return "".join(parts)
