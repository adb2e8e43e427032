"""A node's validated settings, available to all layers of the node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from driftstair.hosts import HostList
from lichenspring import interface as api

RESERVED_DESCRIPTORS = 40  # the interpreter, the event loop, the listening socket, discovery, and a margin
MEMORY_BYTES_DEFAULT = 64 << 20
CLIENT_FRACTION = 0.55  # of the remaining descriptors; the others are for servers


@dataclass(slots=True, frozen=True)
class Config:
    """The platform's configuration of one node."""

    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # file descriptors that the process may use
    initial_list: HostList
    settings: api.Settings
    classes: dict[bytes, int]  # index by the name on the wire
    deadlines: tuple[int, ...]  # ns, by class
    tenants: dict[bytes, int]
    zones: dict[str, int]
    kinds: dict[str, int]
    report_fields: tuple[bytes, ...]
    dial_timeout: int  # ns
    idle_close: int  # ns
    open_cap: int  # requests that the node may hold at once
    memory_bytes_max: int = MEMORY_BYTES_DEFAULT  # that the process may use
    operators: tuple[str, int] | None = None  # address of the operators' API
    name: str = ""  # of the node; unchanged by a restart
    # Settings about the other nodes, not parsed here: for `driftstair.tier`.
    peer_settings: dict[str, Any] | None = None


def split_descriptors(config: Config) -> tuple[int, int]:
    """The numbers of descriptors for clients and for servers."""
    usable = config.sockets - RESERVED_DESCRIPTORS
    clients = int(usable * CLIENT_FRACTION)
    return clients, usable - clients
