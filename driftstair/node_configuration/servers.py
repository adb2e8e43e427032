"""Selects the control server that is watched next. Does no I/O: the caller passes the time in s."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

Address = tuple[str, int]

SERVERS_MAX = 7  # replicas of the log
AVOID_S = 60.0  # for which a server that failed or lagged behind is not selected while there are others


class ServerSelector:
    """Selects servers at random, so that nodes that lose a server together spread over the others."""

    def __init__(self, servers: Sequence[Address], random: Random) -> None:
        self.servers = tuple(servers)
        self._random = random
        self._avoided_at: dict[Address, float] = {}

    def select(self, now_s: float) -> Address:
        """A random server of those that are not avoided, or of all if all are avoided."""
        return self._random.choice(self._preferred(now_s) or self.servers)

    def has_alternative(self, now_s: float, server: Address) -> bool:
        """Whether there is another server that is not avoided."""
        return any(other != server for other in self._preferred(now_s))

    def avoid(self, now_s: float, server: Address) -> None:
        """Avoids a server for AVOID_S, because it failed or lags behind this node."""
        self._avoided_at[server] = now_s

    def _preferred(self, now_s: float) -> list[Address]:
        return [server for server in self.servers if not self._is_avoided(now_s, server)]

    def _is_avoided(self, now_s: float, server: Address) -> bool:
        avoided_at = self._avoided_at.get(server)
        return avoided_at is not None and now_s - avoided_at < AVOID_S
