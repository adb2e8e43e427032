"""The servers that a node knows: the list as discovery tells it and operators change it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from driftstair.hosts import Host, HostList
from driftstair.net.backoff import Backoff
from driftstair.net.connection_pools import Pools
from driftstair.net.discovery import ANSWER_PUSHED, ANSWER_TIMEOUT_S, Discovery
from driftstair.net.identifiers import digest
from driftstair.net.request_guard import RequestGuard
from driftstair.net.start_times import StartTimes
from driftstair.net.system import System
from driftstair.net.watch import LATE_LEAST
from driftstair.settings import Config
from lichenspring import interface as api
from lichenspring.interface import ListKind, ListMode, ServerState

if TYPE_CHECKING:
    from driftstair.operations.server_overrides import ServerOverrides

# s, where lists are pushed: from the end of a watch to the next, and its longest. The agent stands on this
# machine, and answers at no cost; what it has after an outage counts as told at once, read or not.
WATCH_PAUSE, WATCH_PAUSE_MOST = 0.125, 0.25


class ServerDirectory:
    """Of one node. What changes goes to the pools, to the guard and, as events, to the module."""

    def __init__(
        self, config: Config, pools: Pools, guard: RequestGuard, roster: ServerOverrides | None,
        tell: Callable[[api.Event], None], system: System,
    ) -> None:  # fmt: skip
        """`roster`: what operators have ordered of servers, where they can; `tell`: the module's ear."""
        self.told = asyncio.Event()  # a list or a change of it has come from discovery
        self.ready: set[api.ServerId] = set()
        self._config = config
        self._pools = pools
        self._guard = guard
        self._roster = roster
        self._tell = tell
        self._now = system.monotonic_ns
        self._is_pushed = config.settings.list_mode is ListMode.PUSHED
        self._starts = StartTimes(system.monotonic_ns() - system.time_ns())
        # Where the module is not asked.
        self._watch_again = Backoff(WATCH_PAUSE, WATCH_PAUSE_MOST, config.seed)
        self.discovery = Discovery(
            config.discovery, config.initial_list.version,
            ANSWER_PUSHED if self._is_pushed else ANSWER_TIMEOUT_S,
            self.on_list, self._on_watch_failed, system, self._is_pushed,
        )  # fmt: skip
        self._call_due = 0.0  # when the next call is to be made, by the loop's clock; 0: none waits
        pools.has_news = self.has_news

    def start(self) -> None:
        """With the list that the node is told at its start."""
        self._list(ListKind.CACHED, self._config.initial_list.hosts)
        if self._is_pushed:
            self.discovery.watch()

    def move(self, discovery: tuple[str, int]) -> None:
        """Discovery is at another address from now on."""
        self._config = replace(self._config, discovery=discovery)
        self.discovery.move(discovery)

    @property
    def address(self) -> tuple[str, int]:
        """Where discovery is."""
        return self._config.discovery

    def watch(self) -> None:
        """Have the list followed now; the module would ask within seconds."""
        self.discovery.watch()

    def listed(self) -> HostList:
        """The list as discovery has told it, for a process that takes over."""
        assert self._roster is not None
        return HostList(self.discovery.version, True, tuple(self._roster.hosts.values()))

    def on_list(self, update: HostList) -> None:
        """A list or a change of it has come from discovery."""
        self.told.set()
        self._watch_again.reset()
        self._list(ListKind.FULL if update.full else ListKind.DELTA, update.hosts)

    def apply_roster(self, hosts: tuple[Host, ...]) -> None:
        """The list as operators' orders have changed it. Guards against a module that takes it for news from
        discovery, and asks for none any more."""
        self._follow(ListKind.CACHED, hosts)

    def _list(self, kind: ListKind, hosts: tuple[Host, ...]) -> None:
        if self._roster is not None:
            hosts = self._roster.apply_list(kind is not ListKind.DELTA, hosts)
        self._follow(kind, hosts)

    def _on_watch_failed(self) -> None:
        if not self._is_pushed:
            self._tell(api.ServerList(ListKind.FAILED, ()))
        elif self.discovery.calls_at_once:
            # Guards against requests by the old list: it may have ended while the process stood still.
            self.discovery.watch()
        else:
            loop = asyncio.get_running_loop()
            pause = self._watch_again.pause()
            self._call_due = loop.time() + pause
            loop.call_later(pause, self._call_again)

    def _call_again(self) -> None:
        self._call_due = 0.0
        self.discovery.watch()

    def has_news(self) -> bool:
        """Whether discovery has told something that is not read yet, or an agent is about to. A call that is
        overdue is about to be made: the process has stood still."""
        if self._call_due and asyncio.get_running_loop().time() > self._call_due + LATE_LEAST:
            return True
        return self.discovery.has_news()

    def _follow(self, kind: ListKind, hosts: tuple[Host, ...]) -> None:
        servers = tuple(self._server(host) for host in hosts)
        if kind is ListKind.FULL:
            self._starts.forget_others({host.id for host in hosts})
        # In the order of the list: a set's order would differ from one process to the next.
        leaving = {} if kind is ListKind.DELTA else dict.fromkeys(self._pools.servers())
        for host, server in zip(hosts, servers, strict=True):
            if host.state is ServerState.READY:
                self._pools.enrol(server.id, host.address, server.started)
                leaving.pop(server.id, None)
            else:
                leaving[server.id] = None
        self._guard.set_ready_servers(
            identity for identity in self._pools.servers() if identity not in leaving
        )
        # The module is told before the others are retired: what ends by that may be sent elsewhere at once.
        self._tell(api.ServerList(kind, servers))
        for identity in leaving:
            self._pools.retire(identity)
        self.ready = set(self._pools.servers())

    def _server(self, host: Host) -> api.Server:
        started = self._starts.translate(self._now(), host.id, host.started_ms, self.discovery.heard_at)
        zones, kinds = self._config.zones, self._config.kinds
        return api.Server(
            digest(host.id), zones.get(host.zone, len(zones)), host.cell, host.state, host.weight, started,
            kinds.get(host.kind, len(kinds)),
        )  # fmt: skip
