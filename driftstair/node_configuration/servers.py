"""Which control server is watched next. No clock, no I/O: times in s come in."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

Address = tuple[str, int]

SERVERS_MAX = 7  # replicas of the log
AVOIDED_S = 60.0  # s for which a server that failed, or was behind, is passed over while there are others


class ServerChoice:
    """Draws servers by chance, so that nodes that lose theirs together spread over the others."""

    def __init__(self, servers: Sequence[Address], random: Random) -> None:
        self.servers = tuple(servers)
        self._random = random
        self._avoided_at: dict[Address, float] = {}

    def next(self, now_s: float) -> Address:
        """One of those that are not avoided, or of all where none is left."""
        return self._random.choice(self._preferred(now_s) or self.servers)

    def has_better(self, now_s: float, server: Address) -> bool:
        """Whether another server may do better than this one."""
        return any(other != server for other in self._preferred(now_s))

    def avoid(self, now_s: float, server: Address) -> None:
        """It failed, or knows less than this node."""
        self._avoided_at[server] = now_s

    def _preferred(self, now_s: float) -> list[Address]:
        return [server for server in self.servers if not self._is_avoided(now_s, server)]

    def _is_avoided(self, now_s: float, server: Address) -> bool:
        avoided_at = self._avoided_at.get(server)
        return avoided_at is not None and now_s - avoided_at < AVOIDED_S
