"""Connection pools, one for each server, within a shared limit on open sockets."""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections.abc import Callable
from typing import TYPE_CHECKING

from driftstair.net.body_stream import STREAM_STALL_S_MAX
from driftstair.net.buffer_account import BufferAccount
from driftstair.net.reuse_delay import ReuseDelay
from driftstair.net.system import SOCKET_SYSTEM, System
from driftstair.settings import MEMORY_BYTES_DEFAULT
from lichenspring.interface import Result, ServerId

if TYPE_CHECKING:
    from driftstair.net.server_attempt import Attempt
    from driftstair.net.server_connection import Connection

IDLE_LIMIT_SHARE = 0.9  # of the server's idle time-out: a request written after that time-out is lost


class Pool:
    """The idle connections to one server. A server that restarts or changes its address gets a new pool."""

    def __init__(self, pools: Pools, address: tuple[str, int], started: int) -> None:
        self.pools = pools
        self.address = address
        self.started = started
        self.retired = False
        self.idle: list[Connection] = []  # least recently used first
        self._idle_times: list[int] = []  # `idle_since` of each
        self.dialing: dict[Attempt, None] = {}  # in start order

    def take(self) -> Connection | None:
        now = self.pools.now()
        idle_before = now - self.pools.reuse_delay.current_ns(now)
        # Ordered by idle_since, so the connections whose reuse delay has passed come first.
        reusable_count = bisect_right(self._idle_times, idle_before)
        for index in range(reusable_count - 1, -1, -1):
            connection = self.idle.pop(index)
            del self._idle_times[index]
            if (
                not connection.closed
                and connection.idle_since >= now - self.pools.idle_limit
                and connection.has_no_unread_data()
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
            self._idle_times.append(connection.idle_since)

    def on_closed(self, connection: Connection) -> None:
        self.pools.sockets -= 1
        if connection in self.idle:
            index = self.idle.index(connection)
            del self.idle[index], self._idle_times[index]

    def drop_idle(self, before: int | None = None) -> None:
        """Closes the idle connections; with `before`, only those that became idle before that time."""
        to_close = [
            idle_connection
            for idle_connection in self.idle
            if before is None or idle_connection.idle_since < before
        ]
        del self.idle[: len(to_close)], self._idle_times[: len(to_close)]
        for connection in to_close:
            connection.close()

    def pop_oldest(self) -> Connection:
        """Takes out the connection that has been idle longest."""
        del self._idle_times[0]
        return self.idle.pop(0)

    def retire(self) -> None:
        """The server drains, is gone or has restarted: it gets no new attempt; pending dials are ended."""
        self.retired = True
        self.drop_idle()
        for attempt in list(self.dialing):
            attempt.end(Result.NOT_SENT)


class Pools:
    """The pools of all servers, within the sockets that the node may use for them."""

    def __init__(
        self, sockets_max: int, dial_timeout: int, idle_close: int, system: System = SOCKET_SYSTEM,
        memory_bytes_max: int = MEMORY_BYTES_DEFAULT,
    ) -> None:  # fmt: skip
        self.buffers = BufferAccount(memory_bytes_max)  # of all connections of the node
        self.system = system
        self.now = system.monotonic_ns
        self.sockets = 0  # open or being dialed
        self.reuse_delay = ReuseDelay()
        self.has_unread_updates: Callable[[], bool] = bool  # whether updates of the server list wait unread
        self.streaming_connections: dict[Connection, None] = {}  # connections with a streamed answer
        self.dial_timeout = dial_timeout
        self.idle_limit = int(idle_close * IDLE_LIMIT_SHARE)
        self._sockets_max = sockets_max
        self._pools: dict[ServerId, Pool] = {}
        self._sweep_every = idle_close * (1 - IDLE_LIMIT_SHARE) / 2 / 1e9

    def start(self) -> None:
        asyncio.get_running_loop().call_later(self._sweep_every, self._sweep)

    def _sweep(self) -> None:
        before = self.now() - self.idle_limit
        for pool in self._pools.values():
            pool.drop_idle(before)
        stalled_since = self.now() - int(STREAM_STALL_S_MAX * 1e9)
        for connection in [
            streaming for streaming in self.streaming_connections if streaming.is_stalled(stalled_since)
        ]:
            connection.give_up()
        self.start()

    def get(self, server: ServerId) -> Pool | None:
        return self._pools.get(server)

    def add_server(self, server: ServerId, address: tuple[str, int], started: int) -> None:
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

    def make_room(self) -> bool:
        """Whether one more connection may be opened. At the limit, closes the connection that has been idle
        longest."""
        if self.sockets < self._sockets_max:
            return True
        idle = [pool for pool in self._pools.values() if pool.idle]
        if not idle:
            return False
        # The descriptor is released only with the transport, so the limit leaves a spare one for each dial.
        oldest = min(idle, key=lambda pool: pool.idle[0].idle_since)
        oldest.pop_oldest().close()
        return True
