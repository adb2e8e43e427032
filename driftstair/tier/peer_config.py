"""Validates the platform's settings on the other nodes."""

from __future__ import annotations

from dataclasses import dataclass

from driftstair.hosts import ListError, parse_address
from driftstair.settings import Config

MAX_NODES = 4096
MAX_ZONE = 255


class PeerConfigError(Exception):
    """The settings describe no valid tier; the text says why."""


@dataclass(frozen=True, slots=True)
class PeerConfig:
    listen: tuple[str, int]
    peers: tuple[tuple[str, int], ...]  # by node number, this node included
    own_number: int
    zone: int  # its index in the settings


def read(config: Config) -> PeerConfig:
    """Raises PeerConfigError."""
    peer_settings = config.peer_settings
    if peer_settings is None:
        raise PeerConfigError("the platform's settings allow no peers (Limits.Peers)")
    peers = peer_settings.get("peers")
    if not isinstance(peers, list) or not 0 < len(peers) <= MAX_NODES:
        raise PeerConfigError(f"the platform's peers are no list of 1 to {MAX_NODES} addresses")
    try:
        listen = parse_address(peer_settings.get("peer_listen"))
        addresses = tuple(parse_address(peer) for peer in peers)
    except ListError as error:
        raise PeerConfigError(f"the platform's peers: {error}") from None
    if len(set(addresses)) < len(addresses):
        raise PeerConfigError("the platform's peers: duplicate address")
    own_number = config.settings.number
    if own_number >= len(addresses):
        raise PeerConfigError(f"the platform lists {len(addresses)} peers, but SelfIndex is {own_number}")
    zone = peer_settings.get("zone")
    is_valid = isinstance(zone, int) and not isinstance(zone, bool) and 0 <= zone <= MAX_ZONE
    return PeerConfig(listen, addresses, own_number, zone if is_valid else 0)  # type: ignore[arg-type]
