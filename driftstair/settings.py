"""A node's settings once they are checked: what every floor of the node may know of them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from driftstair.hosts import HostList
from lichenspring import interface as api


@dataclass(slots=True, frozen=True)
class Config:
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # file descriptors that the process may hold
    initial_list: HostList
    settings: api.Settings
    classes: dict[bytes, int]  # by the names that stand on the wire
    deadlines: tuple[int, ...]  # ns, of each class
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    report_fields: tuple[bytes, ...]
    dial_timeout: int  # ns
    idle_close: int  # ns
    open_cap: int  # requests that the node may hold
    memory_bytes_max: int = 64 << 20  # bytes that the process may take
    operators: tuple[str, int] | None = None  # where they call
    name: str = ""  # the node's, the same after a restart
    # What is told of the other nodes, unread: for `driftstair.tier`.
    peer_settings: dict[str, Any] | None = None
