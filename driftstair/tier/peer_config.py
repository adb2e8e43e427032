"""What the platform tells of the other nodes, checked."""

from __future__ import annotations

from dataclasses import dataclass

from driftstair.hosts import ListError, parse_address
from driftstair.settings import Config

MAX_NODES = 4096
MAX_ZONE = 255


class PeerConfigError(Exception):
    """What is told is no tier; the text says why."""


@dataclass(frozen=True, slots=True)
class PeerConfig:
    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]  # in the order of their numbers, this node's among them
    own: int
    zone: int  # its index in the settings


def read(config: Config) -> PeerConfig:
    """Raises PeerConfigError."""
    between = config.peer_settings
    if between is None:
        raise PeerConfigError("the platform's settings allow no peers (Limits.Peers)")
    peers = between.get("peers")
    if not isinstance(peers, list) or not 0 < len(peers) <= MAX_NODES:
        raise PeerConfigError(f"the platform's peers are no list of 1 to {MAX_NODES} addresses")
    try:
        listen = parse_address(between.get("peer_listen"))
        found = tuple(parse_address(one) for one in peers)
    except ListError as problem:
        raise PeerConfigError(f"the platform's peers: {problem}") from None
    if len(set(found)) < len(found):
        raise PeerConfigError("the platform's peers: an address stands there twice")
    own = config.settings.number
    if own >= len(found):
        raise PeerConfigError(f"the platform's peers are {len(found)}, and SelfIndex is {own}")
    zone = between.get("zone")
    known = isinstance(zone, int) and not isinstance(zone, bool) and 0 <= zone <= MAX_ZONE
    return PeerConfig(listen, found, own, zone if known else 0)  # type: ignore[arg-type]
