"""Orders of operators carried out: between their desk, the node, its front and the process beside it."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from driftstair.net.frontend import LISTEN_BACKLOG, Frontend
from driftstair.net.node import Node
from driftstair.net.system import SocketListener, System, bind_listening_socket
from driftstair.operations.calls import OF_THE_TIER, Call, Order
from driftstair.operations.drain import Drain
from driftstair.operations.handover import Link, Predecessor, Store, find_predecessor
from driftstair.operations.operator_server import Answer, Desk
from driftstair.operations.server_overrides import Orders, ServerOverrides
from driftstair.operations.state import State
from driftstair.settings import Config

if TYPE_CHECKING:
    from driftstair.tier.service import Tier

log = logging.getLogger(__name__)

LIST_WITHIN = 2.0  # s: a new process says that it serves without a newer list than the old one's


class Operations:
    """Made before the node, since it may inherit a list and a listening socket. `folder`: what the process
    that replaces this one finds again; None: nothing outlives the process."""

    def __init__(self, config: Config, system: System, folder: str | None) -> None:
        self._system = system
        self._store = Store(Path(folder), config.listen) if folder else None
        self._predecessor: Predecessor | None = None
        self._current = True  # the list is as good as the old process's
        self._node: Node
        self._front: Frontend
        self._listening: socket.socket
        self._desk: Desk | None = None
        self._link: Link | None = None
        self._settling: asyncio.Task[None] | None = None
        self.tier: Tier | None = None  # what is told of the other nodes
        self.configuration: Callable[[], object] | None = None  # what a call is told of it
        state = State()
        if self._store is not None:
            self._predecessor = find_predecessor(self._store)
            state = self._store.read()
        self.roster = ServerOverrides(state.orders)
        self.config = config
        if self._predecessor is not None:
            log.info("taking over from the process before this one")
            self._current = False
            if state.list is not None:
                # Versions are the other place's own, if the list came from one.
                same = state.discovery == _text(config.discovery)
                known = state.list if same else state.list._replace(version=0)
                self.config = replace(config, initial_list=known)

    def listener(self) -> SocketListener:
        """The clients' listening socket: handed over, or a new one. Raises OSError."""
        # Shared: where a process can't hand its socket over, both listen for a while.
        handed = None if self._predecessor is None else self._predecessor.listening
        own = handed or bind_listening_socket(self.config.listen, LISTEN_BACKLOG, shared=True)
        own.setblocking(False)
        self._listening = own
        return SocketListener(own)

    def inherits(self) -> bool:
        """Whether clients are another process's until this one is ready for them."""
        return self._predecessor is not None

    async def start(self, node: Node, front: Frontend) -> None:
        """Once clients can be taken. Raises OSError if the operators' address can't be used."""
        self._node, self._front = node, front
        self._desk = Desk(self.obey, self._system)
        assert self.config.operators is not None
        self._desk.listen(self.config.operators)
        self._apply(self.roster.orders)
        if self._store is not None:
            self._link = Link(
                self._store, self._listening.fileno, self._keep_list, self._read_again, self._handed
            )
            try:
                await self._link.listen()
            except OSError as problem:
                log.warning("no process can take over from this one: %s", problem)
        if self._predecessor is not None:
            self._settling = asyncio.get_running_loop().create_task(self._settle(self._predecessor))

    async def _settle(self, predecessor: Predecessor) -> None:
        self._node.servers.watch()
        with suppress(TimeoutError):
            async with asyncio.timeout(LIST_WITHIN):
                await self._node.servers.told.wait()
        await predecessor.keep()
        assert self._store is not None
        state = self._store.read()
        self._apply(state.orders)
        if state.learned is not None:
            self._node.restore_memory(state.learned)
        self._front.hand_over(False)
        await predecessor.serving()
        self._current = True

    def close(self) -> None:
        if self._settling is not None:
            self._settling.cancel()
        if self._desk is not None:
            self._desk.close()
        if self._link is not None:
            self._link.close()

    # Calls.

    async def obey(self, call: Call) -> Answer:
        """A status and what is said with it. A yes is given once the order holds in every process."""
        now_ms = self._system.time_ns() // 1_000_000
        if call.order is Order.READY:
            ready = self._current and self._node.can_serve()
            return (200, {"ready": True}) if ready else (503, {"ready": False})
        if call.order is Order.COUNTERS:
            return 200, self._node.counters() | self._front.counters() | {
                "servers_out": sorted(self.roster.orders.out), "drained": self.roster.orders.drained > 0,
            }  # fmt: skip
        if call.order is Order.TIER:
            if self.tier is None:
                return 404, {"error": "this node is in no tier"}
            return 200, self.tier.report(self.roster.hosts)
        if call.order is Order.CONFIGURATION:
            if self.configuration is None:
                return 404, {"error": "this node watches no configuration"}
            return 200, self.configuration()
        if call.order in OF_THE_TIER:
            from driftstair.tier.operator_commands import obey

            return obey(self.tier, call)
        if call.order is Order.NODE_OUT:
            monotonic_ms = self._monotonic_ms()
            await self._order(lambda orders: setattr(orders, "drained", orders.drained or monotonic_ms))
        elif call.order is Order.NODE_IN:
            await self._order(lambda orders: setattr(orders, "drained", 0))
        elif not self.roster.holds(call.server):
            return 404, {"error": f"no server {call.server}"}
        elif call.order is Order.SERVER_OUT:
            started = self.roster.started(call.server)
            await self._order(lambda orders: orders.take_out(call.server, now_ms, started))
        else:
            started = self.roster.started(call.server)
            await self._order(lambda orders: orders.put_back(call.server, now_ms, started))
        log.info("by order of operators: %s %s", call.order.value.decode(), call.server)
        return 200, {"done": call.order.value.decode()}

    async def _order(self, change: Callable[[Orders], None]) -> None:
        """Here at once, then in the file, then beside: what can't be written holds here all the same."""
        orders = self.roster.orders.copy()
        change(orders)
        self._apply(orders)
        if self._store is None:
            return

        def kept(state: State) -> State:
            change(state.orders)
            return state

        try:
            self._apply(self._store.change(kept).orders)
        except OSError as problem:
            log.error("orders are not kept for the next process: %s", problem)
            return
        if self._link is not None:
            await self._link.tell_others()

    def _monotonic_ms(self) -> int:
        """Processes of one machine share this clock, and nothing that is kept outlives the machine's run."""
        return max(1, self._system.monotonic_ns() // 1_000_000)

    def _apply(self, orders: Orders) -> None:
        hosts = self.roster.order(orders)
        if hosts:
            self._node.servers.apply_roster(hosts)
        if not orders.drained:
            self._front.drain = None
        elif self._front.drain is None:
            since = max(0, self._monotonic_ms() - orders.drained) / 1000
            self._front.drain = Drain(asyncio.get_running_loop().time() - since)

    # The process beside this one.

    def _keep_list(self) -> None:
        assert self._store is not None
        known, discovery, learned = (
            self._node.servers.listed(),
            _text(self._node.servers.address),
            self._node.exported_memory(),
        )
        self._store.change(lambda state: State(state.orders, discovery, known, learned))

    def _read_again(self) -> None:
        assert self._store is not None
        self._apply(self._store.read().orders)

    def _handed(self, away: bool) -> None:
        log.info("clients are taken by %s", "the process after this one" if away else "this process again")
        self._front.hand_over(away)


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
