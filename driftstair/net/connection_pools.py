"""The pools of connections to servers, within the descriptors that the node may use for them."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections.abc import Callable
from typing import TYPE_CHECKING

from driftstair.net.body_stream import STREAM_STALL_S_MAX
from driftstair.net.reuse_delay import ReuseDelay
from driftstair.net.system import SOCKET_SYSTEM, System
from lichenspring.interface import Result, ServerId

if TYPE_CHECKING:
    from driftstair.net.server_attempt import Attempt
    from driftstair.net.server_connection import Connection

IDLE_PART = 0.9  # of the server's idle limit: what is written to a connection after that limit is lost


class Pool:
    """The idle connections to one server. After a restart or with a new address it gets another pool."""

    def __init__(self, pools: Pools, address: tuple[str, int], started: int) -> None:
        self.pools = pools
        self.address = address
        self.started = started
        self.retired = False
        self.idle: list[Connection] = []  # the most recently used last
        self.dialing: dict[Attempt, None] = {}  # in the order in which they began

    def take(self) -> Connection | None:
        now = self.pools.now()
        rested = now - self.pools.rest.current_ns(now)
        # They stand in the order in which they came to rest: those that have rested long enough come first.
        able = bisect_right(self.idle, rested, key=lambda one: one.idle_since)
        for index in range(able - 1, -1, -1):
            connection = self.idle.pop(index)
            if (
                not connection.closed
                and connection.idle_since >= now - self.pools.idle_limit
                and connection.is_quiet()
            ):
                return connection
            connection.close()
        return None

    def put(self, connection: Connection) -> None:
        if self.retired:
            connection.close()
        else:
            connection.idle_since = self.pools.now()
            self.idle.append(connection)

    def lost(self, connection: Connection) -> None:
        self.pools.sockets -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def drop_idle(self, before: int | None = None) -> None:
        """Close the idle connections, or those that are idle since before a time."""
        dropped = [one for one in self.idle if before is None or one.idle_since < before]
        self.idle = self.idle[len(dropped) :]
        for connection in dropped:
            connection.close()

    def retire(self) -> None:
        """The server drains, is gone or restarted: nothing new may reach it, nor what waits for a dial."""
        self.retired = True
        self.drop_idle()
        for attempt in list(self.dialing):
            attempt.end(Result.NOT_SENT)


class Pools:
    """All pools, within the descriptors that the node may use for servers."""

    def __init__(
        self, sockets_most: int, dial_timeout: int, idle_close: int, system: System = SOCKET_SYSTEM
    ) -> None:
        self.system = system
        self.now = system.monotonic_ns
        self.sockets = 0  # open or being dialed
        self.rest = ReuseDelay()
        self.has_news: Callable[[], bool] = bool  # of the servers has come what is not read yet
        self.flows: dict[Connection, None] = {}  # whose answers are passed on as they come
        self.dial_timeout = dial_timeout
        self.idle_limit = int(idle_close * IDLE_PART)
        self._sockets_most = sockets_most
        self._pools: dict[ServerId, Pool] = {}
        self._sweep_every = idle_close * (1 - IDLE_PART) / 2 / 1e9

    def start(self) -> None:
        asyncio.get_running_loop().call_later(self._sweep_every, self._sweep)

    def _sweep(self) -> None:
        before = self.now() - self.idle_limit
        for pool in self._pools.values():
            pool.drop_idle(before)
        stuck = self.now() - int(STREAM_STALL_S_MAX * 1e9)
        for connection in [one for one in self.flows if one.is_stuck(stuck)]:
            connection.give_up()
        self.start()

    def get(self, server: ServerId) -> Pool | None:
        return self._pools.get(server)

    def enrol(self, server: ServerId, address: tuple[str, int], started: int) -> None:
        pool = self._pools.get(server)
        if pool is not None and (pool.address, pool.started) == (address, started):
            return
        self._pools[server] = Pool(self, address, started)
        if pool is not None:
            pool.retire()

    def retire(self, server: ServerId) -> None:
        pool = self._pools.pop(server, None)
        if pool is not None:
            pool.retire()

    def servers(self) -> list[ServerId]:
        return list(self._pools)

    def room(self) -> bool:
        """Whether one more connection may be opened; closes the longest idle one to make room."""
        if self.sockets < self._sockets_most:
            return True
        idle = [pool for pool in self._pools.values() if pool.idle]
        if not idle:
            return False
        # Its descriptor is free only once the transport is gone, so one is kept in reserve for each dial.
        oldest = min(idle, key=lambda pool: pool.idle[0].idle_since)
        oldest.idle.pop(0).close()
        return True
