"""Carries out operators' calls on the node, its stored state and the other processes of the node."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from driftstair.hosts import ListError, parse_address
from driftstair.net.frontend import LISTEN_BACKLOG, Frontend
from driftstair.net.node import Node
from driftstair.net.system import SocketListener, System, bind_listening_socket
from driftstair.operations.calls import TIER_ORDERS, Call, Order
from driftstair.operations.drain import Drain
from driftstair.operations.handover import HandoverServer, StateStore, find_predecessor
from driftstair.operations.list_sharing import ListSharing
from driftstair.operations.operator_server import Answer, OperatorServer
from driftstair.operations.predecessor import Predecessor, SuccessorIds
from driftstair.operations.server_overrides import Orders, ServerOverrides
from driftstair.operations.state import State
from driftstair.settings import Config

if TYPE_CHECKING:
    from driftstair.tier.service import Tier

log = logging.getLogger(__name__)

LIST_TIMEOUT_S = 2.0  # after which a new process serves with the list that it took from the old one


class Operations:
    """Operators' control of one node.

    Created before the node, since it may take over a list and a listening socket, which blocks. `folder`:
    where the state for the next process is stored; None: nothing outlives the process.
    """

    def __init__(self, config: Config, system: System, folder: str | None) -> None:
        self._system = system
        self._store = StateStore(Path(folder), config.listen, config.name) if folder else None
        self._predecessor: Predecessor | None = None
        self._state_lock = asyncio.Lock()  # so that orders apply in the sequence in which they are stored
        self._list_is_current = True  # the list is at least as recent as the old process's
        self._node: Node
        self._frontend: Frontend
        self._listening_socket: socket.socket
        self._operator_server: OperatorServer | None = None
        self._handover_server: HandoverServer | None = None
        self._list_sharing: ListSharing | None = None
        self._takeover_task: asyncio.Task[None] | None = None
        self.tier: Tier | None = None  # reports on the other nodes
        self.configuration: Callable[[], object] | None = None  # reports the configuration
        state = State()
        if self._store is not None:
            self._predecessor = find_predecessor(self._store)
            state = self._store.read()
        self.server_overrides = ServerOverrides(state.orders)
        self.config = config
        if self._predecessor is not None:
            self._list_is_current = False
        if self.inherits():
            log.info("taking over from the process before this one")
            if state.list is not None:
                # List versions are only valid for the discovery service that they came from.
                same_discovery = state.discovery == _format_address(config.discovery)
                known = state.list if same_discovery else state.list._replace(version=0)
                self.config = replace(config, initial_list=known)

    def listener(self) -> SocketListener:
        """The clients' listening socket, handed over or new. Raises OSError."""
        # Shared, since both processes listen for a while if the old one can't hand its socket over.
        handed_over = None if self._predecessor is None else self._predecessor.listening_socket
        listening_socket = handed_over or bind_listening_socket(
            self.config.listen, LISTEN_BACKLOG, shared=True
        )
        listening_socket.setblocking(False)
        self._listening_socket = listening_socket
        return SocketListener(listening_socket)

    def inherits(self) -> bool:
        """Whether another process serves the clients until this one is ready; not if it stands still."""
        return self._predecessor is not None and self._predecessor.listening_socket is not None

    async def start(self, node: Node, frontend: Frontend) -> None:
        """Starts once clients can be accepted. Raises OSError if the operators' address can't be used."""
        self._node, self._frontend = node, frontend
        self._operator_server = OperatorServer(self.obey, self._system)
        assert self.config.operators is not None
        self._operator_server.listen(self.config.operators)
        self._apply(self.server_overrides.orders)
        if self._store is not None:
            self._handover_server = HandoverServer(
                self._store,
                self._system,
                self._listening_socket.fileno,
                self._store_state,
                self._reload_state,
                self._on_handover,
                SuccessorIds(node.shared_ids),
            )
            try:
                await self._handover_server.listen()
            except OSError as problem:
                log.warning("hand-over to a new process is not possible: %s", problem)
            self._list_sharing = ListSharing(
                self._has_other_process, self._store_list, self._handover_server.notify_others
            )
            node.servers.on_list_received = self._list_sharing.on_list_received
        if self._predecessor is not None:
            node.shared_ids.predecessor = self._predecessor
            takeover = self._complete_takeover if self.inherits() else self._follow
            self._takeover_task = asyncio.get_running_loop().create_task(takeover(self._predecessor))

    async def _complete_takeover(self, predecessor: Predecessor) -> None:
        self._node.servers.watch()
        with suppress(TimeoutError):
            async with asyncio.timeout(LIST_TIMEOUT_S):
                await self._node.servers.list_received.wait()
        is_state_current = await predecessor.update_state()
        state = await self._read_state()
        if state.learned is not None:
            self._node.restore_memory(state.learned)
        await self._share_ids(predecessor)
        self._frontend.hand_over(False)
        await predecessor.announce_serving()
        if not is_state_current:
            await self._await_current_list(predecessor)
        self._list_is_current = True

    async def _follow(self, predecessor: Predecessor) -> None:
        """The old process stood still as this one started, so both accept clients. It may have started
        requests, and may go on at any time."""
        self._node.servers.watch()
        await self._share_ids(predecessor)
        await self._await_current_list(predecessor)
        self._list_is_current = True

    async def _share_ids(self, predecessor: Predecessor) -> None:
        await predecessor.share_ids(self._node.shared_ids, self._on_predecessor_ended)

    async def _await_current_list(self, predecessor: Predecessor) -> None:
        """The old process stands still, and what discovery has told it may be unread there. Waits until it
        has stored its list, has ended, or this process has received a list of its own."""
        state_updated = asyncio.ensure_future(predecessor.update_state(timeout_s=None))
        list_received = asyncio.ensure_future(self._node.servers.list_received.wait())
        waiting = (state_updated, list_received)
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            if state_updated.done() and state_updated.result():
                await self._read_state()
        finally:
            for task in waiting:
                task.cancel()

    def _on_predecessor_ended(self) -> None:
        self._node.shared_ids.predecessor = None

    def close(self) -> None:
        if self._takeover_task is not None:
            self._takeover_task.cancel()
        if self._predecessor is not None:
            self._predecessor.close()
        if self._operator_server is not None:
            self._operator_server.close()
        if self._list_sharing is not None:
            self._list_sharing.close()
        if self._handover_server is not None:
            self._handover_server.close()

    # Operators' calls.

    async def obey(self, call: Call) -> Answer:
        """Carries out a call. Success is reported once the order applies in every process of the node."""
        now_ms = self._system.time_ns() // 1_000_000
        if call.order is Order.READY:
            ready = self._list_is_current and self._node.can_serve()
            return (200, {"ready": True}) if ready else (503, {"ready": False})
        if call.order is Order.COUNTERS:
            return 200, self._node.counters() | self._frontend.counters() | {
                "servers_out": sorted(self.server_overrides.orders.out),
                "drained": self.server_overrides.orders.drained > 0,
            }  # fmt: skip
        if call.order is Order.TIER:
            if self.tier is None:
                return 404, {"error": "this node is in no tier"}
            return 200, self.tier.report(self.server_overrides.hosts)
        if call.order is Order.CONFIGURATION:
            if self.configuration is None:
                return 404, {"error": "this node watches no configuration"}
            return 200, self.configuration()
        if call.order in TIER_ORDERS:
            from driftstair.tier.operator_commands import execute_order

            return execute_order(self.tier, call)
        if call.order is Order.NODE_OUT:
            monotonic_ms = self._monotonic_ms()
            await self._change_orders(
                lambda orders: setattr(orders, "drained", orders.drained or monotonic_ms)
            )
        elif call.order is Order.NODE_IN:
            await self._change_orders(lambda orders: setattr(orders, "drained", 0))
        elif not self.server_overrides.is_known(call.server):
            return 404, {"error": f"no server {call.server}"}
        elif call.order is Order.SERVER_OUT:
            started = self.server_overrides.last_start_ms(call.server)
            await self._change_orders(lambda orders: orders.take_out(call.server, now_ms, started))
        else:
            started = self.server_overrides.last_start_ms(call.server)
            await self._change_orders(lambda orders: orders.put_back(call.server, now_ms, started))
        log.info("operator order carried out: %s %s", call.order.value.decode(), call.server)
        return 200, {"done": call.order.value.decode()}

    async def _change_orders(self, change: Callable[[Orders], None]) -> None:
        """Changes the orders here, then in the state file, then in the other processes. If the file can't be
        written, they still apply here."""
        orders = self.server_overrides.orders.copy()
        change(orders)
        self._apply(orders)
        store = self._store
        if store is None:
            return

        def changed_state(state: State) -> State:
            change(state.orders)
            return state

        try:
            async with self._state_lock:
                state = await self._system.run_blocking(lambda: store.change(changed_state))
                self._apply(state.orders)
        except OSError as problem:
            log.error("orders are not stored for the next process: %s", problem)
            return
        if self._handover_server is not None:
            await self._handover_server.notify_others()

    def _monotonic_ms(self) -> int:
        """All processes of a machine share this clock, and the stored state does not outlive a reboot."""
        return max(1, self._system.monotonic_ns() // 1_000_000)

    def _apply(self, orders: Orders) -> None:
        hosts = self.server_overrides.set_orders(orders)
        if hosts:
            self._node.servers.apply_overrides(hosts)
        if not orders.drained:
            self._frontend.drain = None
        elif self._frontend.drain is None:
            since = max(0, self._monotonic_ms() - orders.drained) / 1000
            self._frontend.drain = Drain(asyncio.get_running_loop().time() - since)

    # Hand-over between processes.

    def _has_other_process(self) -> bool:
        """Whether another process of this node runs, as far as this one knows."""
        has_predecessor = self._predecessor is not None and not self._predecessor.has_ended()
        return has_predecessor or (
            self._handover_server is not None and self._handover_server.has_successor()
        )

    async def _store_state(self) -> None:
        """Writes all that the next process takes over. Raises OSError."""
        learned = self._node.exported_memory()
        add_list = self._list_writer()
        await self._change_state(lambda state: replace(add_list(state), learned=learned))

    async def _store_list(self) -> None:
        """Writes the list of servers for the other processes. Raises OSError."""
        await self._change_state(self._list_writer())

    def _list_writer(self) -> Callable[[State], State]:
        """Adds the list that is in force now to a state; may be called beside the event loop."""
        servers = self._node.servers
        known, received_at = servers.current_list(), servers.list_received_at
        discovery = _format_address(servers.address)
        return lambda state: replace(state, discovery=discovery, list=known, list_received_at=received_at)

    async def _change_state(self, change: Callable[[State], State]) -> None:
        store = self._store
        assert store is not None
        await self._system.run_blocking(lambda: store.change(change))

    async def _read_state(self) -> State:
        """Reads the stored state; applies its orders, and its list if that is newer than the one in force."""
        assert self._store is not None
        async with self._state_lock:
            state = await self._system.run_blocking(self._store.read)
            self._apply(state.orders)
        self._adopt_list(state)
        return state

    def _adopt_list(self, state: State) -> None:
        if state.list is None:
            return
        try:
            discovery = parse_address(state.discovery)
        except ListError:
            return
        if self._node.servers.adopt_list(discovery, state.list, state.list_received_at):
            log.info("version %d of the list is taken from another process of this node", state.list.version)

    async def _reload_state(self) -> None:
        await self._read_state()

    def _on_handover(self, to_successor: bool) -> None:
        log.info(
            "clients are taken by %s", "the process after this one" if to_successor else "this process again"
        )
        self._frontend.hand_over(to_successor)


def _format_address(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
