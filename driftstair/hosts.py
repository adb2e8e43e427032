"""The server list in the format of the discovery service: its types and its parser."""

from __future__ import annotations

import ipaddress
from math import inf
from typing import Any, NamedTuple

from lichenspring.interface import ServerState

STATE_BY_NAME = {
    "Ready": ServerState.READY,
    "Terminating": ServerState.DRAINING,
    "Gone": ServerState.GONE,
}


class ListError(Exception):
    """The server list can't be used; the text says why."""


class Host(NamedTuple):
    """A server in the list."""

    id: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: ServerState
    weight: float
    started_ms: int  # Unix time; 0: long ago


class HostList(NamedTuple):
    """A full server list, or the changes since an earlier version of it."""

    version: int
    full: bool
    hosts: tuple[Host, ...]


def parse_address(text: object) -> tuple[str, int]:
    """Splits an address into host and port; the host is an IP address, since there is no DNS."""
    if not isinstance(text, str):
        raise ListError(f"no address: {text!r}")
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        port_number = int(port)
    except ValueError:
        raise ListError(f"no address: {text!r}") from None
    if not 0 <= port_number < 1 << 16:
        raise ListError(f"no port: {text!r}")
    return host, port_number


def parse_list(document: object) -> HostList:
    """Parses a full list or a change of it from its JSON form; raises ListError."""
    if not isinstance(document, dict):
        raise ListError("it is no object")
    version, servers = document.get("version"), document.get("servers")
    if not isinstance(version, int) or isinstance(version, bool) or not isinstance(servers, list):
        raise ListError("version or servers is missing")
    return HostList(version, document.get("full") is True, tuple(_parse_host(entry) for entry in servers))


def _parse_host(entry: Any) -> Host:
    try:
        state = STATE_BY_NAME[entry["state"]]
        # A server that is gone may have no address.
        is_gone = state is ServerState.GONE
        address = ("", 0) if is_gone else parse_address(entry["addr"])
        if not isinstance(entry["id"], str):
            raise ValueError("id is no text")
        weight = float(entry.get("weight", 1.0))
        return Host(
            entry["id"], address, str(entry.get("zone", "")), str(entry.get("kind", "")),
            int(entry.get("cell", 0)), state,
            # An infinite weight would leave the other servers no keys; an invalid one counts as 1.
            weight if 0.0 < weight < inf else 1.0,
            max(0, int(entry.get("started_ms", 0))),
        )  # fmt: skip
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as problem:
        raise ListError(f"bad entry: {problem!r}") from None
