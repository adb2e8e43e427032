"""What a node's next process has to know, as bytes: a line that says what it is, its checksum, then JSON.

A file that is cut off, of another version or no such file at all raises StateError; a node starts without
it then.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from driftstair.hosts import STATES, Host, HostList, ListError, parse_list
from driftstair.operations.server_overrides import Orders

MAGIC = b"driftstair-state"
VERSION = 1
NAMES = {state: name for name, state in STATES.items()}


class StateError(Exception):
    """The bytes are no state that can be used; the text says why."""


@dataclass(frozen=True, slots=True)
class State:
    orders: Orders = field(default_factory=Orders)
    discovery: str = ""  # whose versions the list's are
    list: HostList | None = None
    learned: dict[str, Any] | None = None  # by the decision module, on the clock of this machine's start


def encode(state: State) -> bytes:
    body = json.dumps({
        "out": state.orders.out, "back": state.orders.back, "drained": int(state.orders.drained > 0),
        "drained_since": state.orders.drained,
        "discovery": state.discovery, "list": None if state.list is None else _list(state.list),
        "learned": state.learned,
    }).encode()  # fmt: skip
    return b"%s %d %s\n%s" % (MAGIC, VERSION, _sum(body), body)


def decode(data: bytes) -> State:
    head, _, body = data.partition(b"\n")
    words = head.split(b" ")
    if len(words) != 3 or words[0] != MAGIC:
        raise StateError("it is no state of a node")
    if words[1] != b"%d" % VERSION:
        raise StateError(f"it is of version {words[1]!r}, wanted {VERSION}")
    if words[2] != _sum(body):
        raise StateError("its checksum does not fit")
    try:
        document = json.loads(body)
        # A process of an earlier version kept Unix time under `drained`, which tells no age: long ago, then.
        drained = int(document.get("drained_since", document["drained"] > 0))
        orders = Orders(_times(document["out"]), _times(document["back"]), drained)
        known = None if document["list"] is None else parse_list(document["list"])
        learned = document["learned"]
        if learned is not None and not isinstance(learned, dict):
            raise StateError("learned is no object")
        return State(orders, str(document["discovery"]), known, learned)
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError, ListError) as problem:
        raise StateError(f"it can't be read: {problem!r}") from None


def _sum(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).hexdigest().encode()


def _times(document: dict[str, Any]) -> dict[str, int]:
    return {str(name): int(at) for name, at in document.items()}


def _list(known: HostList) -> dict[str, Any]:
    return {"version": known.version, "full": True, "servers": [_entry(host) for host in known.hosts]}


def _entry(host: Host) -> dict[str, Any]:
    name, port = host.address
    return {
        "id": host.id, "addr": f"{name}:{port}", "zone": host.zone, "kind": host.kind, "cell": host.cell,
        "state": NAMES[host.state], "weight": host.weight, "started_ms": host.started_ms,
    }  # fmt: skip
