"""The list of servers in discovery's form: its entries as types, and the reading of it."""

from __future__ import annotations

import ipaddress
from math import inf
from typing import Any, NamedTuple

from lichenspring.interface import ServerState

STATES = {
    "Ready": ServerState.READY,
    "Terminating": ServerState.DRAINING,
    "Gone": ServerState.GONE,
}


class ListError(Exception):
    """A list of servers that can't be used; the text says why."""


class Host(NamedTuple):
    """One entry of the list."""

    id: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    state: ServerState
    weight: float
    started_ms: int  # Unix time; 0: long ago


class HostList(NamedTuple):
    version: int
    full: bool
    hosts: tuple[Host, ...]


def parse_address(text: object) -> tuple[str, int]:
    """Host and port of an address; there is no DNS, so the host is a number."""
    if not isinstance(text, str):
        raise ListError(f"no address: {text!r}")
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ListError(f"no address: {text!r}") from None
    if not 0 <= number < 1 << 16:
        raise ListError(f"no port: {text!r}")
    return host, number


def parse_list(document: object) -> HostList:
    """A whole list or a change of it, from its JSON form; raises ListError."""
    if not isinstance(document, dict):
        raise ListError("it is no object")
    version, servers = document.get("version"), document.get("servers")
    if not isinstance(version, int) or isinstance(version, bool) or not isinstance(servers, list):
        raise ListError("version or servers is missing")
    return HostList(version, document.get("full") is True, tuple(_host(entry) for entry in servers))


def _host(entry: Any) -> Host:
    try:
        state = STATES[entry["state"]]
        # One that is gone may have no address any more.
        gone = state is ServerState.GONE
        address = ("", 0) if gone else parse_address(entry["addr"])
        if not isinstance(entry["id"], str):
            raise ValueError("id is no text")
        weight = float(entry.get("weight", 1.0))
        return Host(
            entry["id"], address, str(entry.get("zone", "")), str(entry.get("kind", "")),
            int(entry.get("cell", 0)), state,
            # Without end it would leave all others without keys; no figure is as any other.
            weight if 0.0 < weight < inf else 1.0,
            max(0, int(entry.get("started_ms", 0))),
        )  # fmt: skip
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError) as problem:
        raise ListError(f"bad entry: {problem!r}") from None
