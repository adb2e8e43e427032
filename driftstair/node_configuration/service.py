"""Configuration by the change in a node's life: what is made of `[control]` in the service file."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from msgspec import to_builtins

from driftstair.configuration.messages import NodeReport
from driftstair.hosts import Host
from driftstair.limits.findings import Platform
from driftstair.limits.request_table import FileRequestTable
from driftstair.net.node import Node
from driftstair.net.system import System
from driftstair.node_configuration.application import Application
from driftstair.node_configuration.client import ConfigurationWatch
from driftstair.node_configuration.effects import Cluster, ClusterEffects, drained_servers
from driftstair.node_configuration.in_force import Circumstances
from driftstair.node_configuration.persistence import ConfigurationStore
from driftstair.node_configuration.reporter import Reporter
from driftstair.node_configuration.request_tables import CombinedTable, RequestTables
from driftstair.node_configuration.servers import Address
from driftstair.node_configuration.tenant_limits import TenantLimits
from driftstair.operations.server_overrides import ServerOverrides
from driftstair.service.schema import FleetBudget, Service
from driftstair.settings import Config

log = logging.getLogger(__name__)

START_S = 2.0  # s that a start waits for the state on disk; a greater one comes into force while it serves
END_S = 1.0  # s that an end waits for the disk: control servers have what is missing there
REFUSED_MAX = 64  # refused change sets in one report, the latest


class Wanted(NamedTuple):
    """`[control]`, checked."""

    servers: Sequence[Address]
    folder: Path | None


class NodeConfiguration:
    """One process's part. `respec`: the budgets that the configuration has for the cluster."""

    def __init__(
        self, config: Config, wanted: Wanted, platform: Platform, own: Service, system: System,
        respec: Callable[[dict[str, FleetBudget]], None],
    ) -> None:  # fmt: skip
        self.roster = ServerOverrides()
        self._name = config.name
        self._generation = system.time_ns() // 1_000_000
        self._node: Node | None = None
        self.tables = RequestTables(lambda: self.application.current, config.settings.max_attempts)
        self._effects = ClusterEffects(
            self.tables.routes, self.tables.tenants, respec, self._show_drained, self._report_soon
        )
        self._store = (
            None
            if wanted.folder is None
            else ConfigurationStore(wanted.folder, config.name, system, config.seed)
        )
        given = self._given(platform, own)
        self.application = Application(system, given, self._effects, self._store)
        self.tenants = TenantLimits(self.tables.tenants.find)
        self.watch = ConfigurationWatch(wanted.servers, config.name, self.application, system, config.seed)
        self.application.watch = self.watch
        self.reporter = Reporter(self.report, lambda: self.watch.server, system, config.seed)
        self._tasks: list[asyncio.Task[None]] = []
        self._system = system

    def _given(self, platform: Platform, own: Service) -> Circumstances:
        return Circumstances(platform, own, self._effects.check)

    def share(self, cluster: Cluster | None, roster: ServerOverrides | None) -> ServerOverrides:
        """Whom budgets are shared with, and the roster of the operators' orders; which one the node has to
        show servers by."""
        self._effects.cluster = cluster
        self.roster = roster or self.roster
        return self.roster

    def combined(self, file: FileRequestTable) -> CombinedTable:
        """The file's routes first, then those of the configuration."""
        return CombinedTable(file, self.tables)

    # Its life.

    async def start(self, node: Node) -> None:
        """Returns once the state on disk is in force, or after START_S."""
        self._node = node
        node.tenants = self.tenants
        loop = asyncio.get_running_loop()
        loading = loop.create_task(self._run())
        self._tasks.append(loading)
        with suppress(TimeoutError):
            async with asyncio.timeout(START_S):
                await self.application.is_loaded.wait()

    async def _run(self) -> None:
        try:
            await self.application.load()
            self.reporter.start()
            self.watch.start()
            await self.application.run()
        except Exception:
            log.exception("configuration is followed no further; what is in force stays")

    def reload(self, platform: Platform, own: Service) -> None:
        """SIGHUP: the platform's configuration or the service file has been replaced."""
        self.application.judge_anew(self._given(platform, own))

    async def close(self) -> None:
        self.watch.stop()
        self.reporter.stop()
        for task in self._tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        if self._store is not None:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._store.stop(), END_S)

    # What follows.

    def _show_drained(self, servers: list[str]) -> None:
        hosts: tuple[Host, ...] = self.roster.set_configured_drains(
            servers, self._system.time_ns() // 1_000_000
        )
        if hosts and self._node is not None:
            self._node.servers.apply_overrides(hosts)

    def _report_soon(self) -> None:
        self.reporter.changed()

    # For those who ask.

    def report(self) -> NodeReport:
        in_force = self.application.current
        refused = tuple(one.report() for one in in_force.refusals.values())[-REFUSED_MAX:]
        return NodeReport(
            self._name, self._generation, in_force.revision, f"{in_force.received_digest():016x}", refused
        )

    def shown(self) -> dict[str, Any]:
        """As JSON, for operators."""
        told, server = self.report(), self.watch.server
        return {
            "revision": told.revision, "digest": told.digest,
            "server": None if server is None else f"{server[0]}:{server[1]}",
            "refused": [to_builtins(one) for one in told.refused],
            "drained": drained_servers(self.application.current.state),
            "on_disk": None if self._store is None else not self._store.is_behind,
        }  # fmt: skip
