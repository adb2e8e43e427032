"""The servers that a node knows: the list from discovery with the operators' overrides applied."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from driftstair.hosts import Host, HostList
from driftstair.net.backoff import Backoff
from driftstair.net.connection_pools import Pools
from driftstair.net.discovery import AGENT_ANSWER_TIMEOUT_S, ANSWER_TIMEOUT_S, Discovery
from driftstair.net.identifiers import digest
from driftstair.net.request_guard import RequestGuard
from driftstair.net.server_addresses import AddressHolders
from driftstair.net.start_times import StartTimes
from driftstair.net.system import System
from driftstair.net.watch import STALL_MIN_S
from driftstair.settings import Config
from lichenspring import interface as api
from lichenspring.interface import ListKind, ListMode, ServerState

if TYPE_CHECKING:
    from driftstair.operations.server_overrides import ServerOverrides

# Between two watches where lists are pushed. The agent runs on this machine, where calls are cheap, and after
# an outage the node is assumed to know what the agent knows at once, whether or not it has read it.
WATCH_PAUSE_FIRST_S, WATCH_PAUSE_MAX_S = 0.125, 0.25


class ServerDirectory:
    """One node's servers. Passes changes to the pools, the guard and, as events, the decision module."""

    def __init__(
        self, config: Config, pools: Pools, guard: RequestGuard, overrides: ServerOverrides | None,
        emit: Callable[[api.Event], None], system: System,
    ) -> None:  # fmt: skip
        """`overrides`: the operators' orders, None where there is no operator interface; `emit`: passes an
        event to the decision module."""
        self.list_received = asyncio.Event()  # discovery has sent a list or a change of one
        self.list_received_at = 0  # of the list in force, by a process of this node; monotonic ns; 0: by none
        self.on_list_received: Callable[[], None] | None = None  # called for each list from discovery
        self.ready: set[api.ServerId] = set()
        self._config = config
        self._pools = pools
        self._guard = guard
        self._overrides = overrides
        self._emit = emit
        self._now = system.monotonic_ns
        self._addresses = AddressHolders()
        self._is_pushed = config.settings.list_mode is ListMode.PUSHED
        self._start_times = StartTimes(system.monotonic_ns() - system.time_ns())
        # Pushed lists: here the pauses between watches are not the decision module's.
        self._watch_backoff = Backoff(WATCH_PAUSE_FIRST_S, WATCH_PAUSE_MAX_S, config.seed)
        self.discovery = Discovery(
            config.discovery, config.initial_list.version,
            AGENT_ANSWER_TIMEOUT_S if self._is_pushed else ANSWER_TIMEOUT_S,
            self.on_list, self._on_watch_failed, system, self._is_pushed,
        )  # fmt: skip
        self._next_call_at = 0.0  # loop time of the next scheduled call; 0: none is scheduled
        pools.has_unread_updates = self.has_unread_updates

    def start(self) -> None:
        """Starts with the list of the node's configuration."""
        self._apply_list(ListKind.CACHED, self._config.initial_list.hosts)
        if self._is_pushed:
            self.discovery.watch()

    def move(self, discovery: tuple[str, int]) -> None:
        """Switches to discovery at another address."""
        self._config = replace(self._config, discovery=discovery)
        self.discovery.move(discovery)

    @property
    def address(self) -> tuple[str, int]:
        """The address of discovery."""
        return self._config.discovery

    def watch(self) -> None:
        """Starts the watch now; otherwise the decision module asks for it within seconds."""
        self.discovery.watch()

    def current_list(self) -> HostList:
        """The list as received from discovery, for a process that takes over."""
        assert self._overrides is not None
        return HostList(self.discovery.version, True, tuple(self._overrides.hosts.values()))

    def on_list(self, update: HostList) -> None:
        """Applies a list, or a change of one, from discovery."""
        self.list_received.set()
        self.list_received_at = self._now()
        self._watch_backoff.reset()
        self._apply_list(ListKind.FULL if update.full else ListKind.DELTA, update.hosts)
        if self.on_list_received is not None:
            self.on_list_received()

    def adopt_list(self, discovery: tuple[str, int], known: HostList, received_at: int) -> bool:
        """Applies the list that another process of this node received at `received_at` (monotonic ns) from
        `discovery`, if it is newer than the one in force; returns whether it is."""
        is_same_discovery = discovery == self.address
        if received_at <= self.list_received_at or (
            # Versions of another address can't be compared, nor can the absence of a version.
            self.list_received.is_set() and not (is_same_discovery and known.version > self.discovery.version)
        ):
            return False
        if is_same_discovery and known.version:
            self.discovery.adopt_version(known.version)
        self.list_received_at = received_at
        self._apply_list(ListKind.CACHED, known.hosts)
        return True

    def apply_overrides(self, hosts: tuple[Host, ...]) -> None:
        """Applies the list as changed by operators. It is passed on as a cached list: the decision module
        would take another kind for an update from discovery, and stop asking for a watch."""
        self._update_servers(ListKind.CACHED, hosts)

    def _apply_list(self, kind: ListKind, hosts: tuple[Host, ...]) -> None:
        if self._overrides is not None:
            hosts = self._overrides.apply_list(kind is not ListKind.DELTA, hosts)
        self._update_servers(kind, hosts)

    def _on_watch_failed(self) -> None:
        if not self._is_pushed:
            self._emit(api.ServerList(ListKind.FAILED, ()))
        elif self.discovery.reopens_at_once:
            # The watch may have ended during a stall: requests must not go out by the outdated list.
            self.discovery.watch()
        else:
            loop = asyncio.get_running_loop()
            pause_s = self._watch_backoff.pause()
            self._next_call_at = loop.time() + pause_s
            loop.call_later(pause_s, self._make_scheduled_call)

    def _make_scheduled_call(self) -> None:
        self._next_call_at = 0.0
        self.discovery.watch()

    def has_unread_updates(self) -> bool:
        """Whether an update from discovery waits unread, or an agent is about to send one. A scheduled call
        that is overdue, after a stall of the process, is about to be made and counts too."""
        if self._next_call_at and asyncio.get_running_loop().time() > self._next_call_at + STALL_MIN_S:
            return True
        return self.discovery.has_unread_updates()

    def _update_servers(self, kind: ListKind, hosts: tuple[Host, ...]) -> None:
        hosts = self._addresses.apply(kind is not ListKind.DELTA, hosts)
        servers = tuple(self._to_server(host) for host in hosts)
        if kind is ListKind.FULL:
            self._start_times.retain({host.id for host in hosts})
        # A dict keeps the order of the list; the order of a set differs between processes.
        leaving = {} if kind is ListKind.DELTA else dict.fromkeys(self._pools.servers())
        for host, server in zip(hosts, servers, strict=True):
            if host.state is ServerState.READY:
                self._pools.add_server(server.id, host.address, server.started)
                leaving.pop(server.id, None)
            else:
                leaving[server.id] = None
        self._guard.set_ready_servers(
            server_id for server_id in self._pools.servers() if server_id not in leaving
        )
        # The event comes first: attempts that end as their server is retired may be made elsewhere at once.
        self._emit(api.ServerList(kind, servers))
        for server_id in leaving:
            self._pools.retire(server_id)
        self.ready = set(self._pools.servers())

    def _to_server(self, host: Host) -> api.Server:
        started = self._start_times.translate(
            self._now(), host.id, host.started_ms, self.discovery.last_received_at
        )
        zones, kinds = self._config.zones, self._config.kinds
        return api.Server(
            digest(host.id), zones.get(host.zone, len(zones)), host.cell, host.state, host.weight, started,
            kinds.get(host.kind, len(kinds)),
        )  # fmt: skip
