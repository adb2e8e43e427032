"""Encoding of the state that a node passes to its next process: a header line with a checksum, then JSON.

Truncated data, another version or a different format raises StateError; the node then starts without the
state.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from driftstair.hosts import STATE_BY_NAME, Host, HostList, ListError, parse_list
from driftstair.operations.server_overrides import Orders

MAGIC = b"driftstair-state"
VERSION = 1
STATE_NAMES = {state: name for name, state in STATE_BY_NAME.items()}


class StateError(Exception):
    """The data can't be used as a state; the text says why."""


@dataclass(frozen=True, slots=True)
class State:
    """What a node passes to its next process."""

    orders: Orders = field(default_factory=Orders)
    discovery: str = ""  # address of the discovery service that the list version belongs to
    list: HostList | None = None
    list_received_at: int = 0  # by a process of the node, from discovery; monotonic ns; 0: by none
    learned: dict[str, Any] | None = (
        None  # by the decision module; its times are of this machine's monotonic clock
    )
    node: str = ""  # its name; empty: not stored


def encode(state: State) -> bytes:
    """The content of the state file."""
    body = json.dumps({
        "node": state.node,
        "out": state.orders.out, "back": state.orders.back, "drained": int(state.orders.drained > 0),
        "drained_since": state.orders.drained,
        "discovery": state.discovery, "list": None if state.list is None else _encode_list(state.list),
        "list_received_at": state.list_received_at, "learned": state.learned,
    }).encode()  # fmt: skip
    return b"%s %d %s\n%s" % (MAGIC, VERSION, _checksum(body), body)


def decode(data: bytes) -> State:
    """Parses the content of a state file; raises StateError."""
    header, _, body = data.partition(b"\n")
    fields = header.split(b" ")
    if len(fields) != 3 or fields[0] != MAGIC:
        raise StateError("not a node state file")
    if fields[1] != b"%d" % VERSION:
        raise StateError(f"version {fields[1]!r}, expected {VERSION}")
    if fields[2] != _checksum(body):
        raise StateError("checksum mismatch")
    try:
        document = json.loads(body)
        # Earlier versions stored Unix time under `drained`, which gives no age; it counts as long ago.
        drained = int(document.get("drained_since", document["drained"] > 0))
        orders = Orders(_parse_times(document["out"]), _parse_times(document["back"]), drained)
        host_list = None if document["list"] is None else parse_list(document["list"])
        learned = document["learned"]
        if learned is not None and not isinstance(learned, dict):
            raise StateError("learned is not an object")
        # Earlier versions did not store when the list was received: some time ago.
        received_at = int(document.get("list_received_at", 1))
        return State(
            orders,
            str(document["discovery"]),
            host_list,
            received_at,
            learned,
            str(document.get("node", "")),
        )
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError, ListError) as problem:
        raise StateError(f"invalid content: {problem!r}") from None


def _checksum(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).hexdigest().encode()


def _parse_times(document: dict[str, Any]) -> dict[str, int]:
    return {str(name): int(at) for name, at in document.items()}


def _encode_list(host_list: HostList) -> dict[str, Any]:
    return {
        "version": host_list.version,
        "full": True,
        "servers": [_encode_host(host) for host in host_list.hosts],
    }


def _encode_host(host: Host) -> dict[str, Any]:
    name, port = host.address
    return {
        "id": host.id, "addr": f"{name}:{port}", "zone": host.zone, "kind": host.kind, "cell": host.cell,
        "state": STATE_NAMES[host.state], "weight": host.weight, "started_ms": host.started_ms,
    }  # fmt: skip
