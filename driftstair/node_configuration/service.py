"""Dynamic configuration in the life cycle of a node: assembles the parts that `[control]` enables."""

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
from driftstair.node_configuration.application import ConfigurationApplier
from driftstair.node_configuration.client import ConfigurationWatch
from driftstair.node_configuration.effects import Cluster, ClusterEffects, drained_servers
from driftstair.node_configuration.in_force import NodeContext
from driftstair.node_configuration.persistence import ConfigurationStore
from driftstair.node_configuration.reporter import Reporter
from driftstair.node_configuration.request_tables import CombinedTable, RequestTables
from driftstair.node_configuration.servers import Address
from driftstair.node_configuration.tenant_limits import TenantLimiter
from driftstair.operations.server_overrides import ServerOverrides
from driftstair.service.schema import FleetBudget, Service
from driftstair.settings import Config

log = logging.getLogger(__name__)

LOAD_WAIT_MAX_S = 2.0  # at a start; a larger state on disk comes into force while the node serves
STOP_TIMEOUT_S = 1.0  # for the last write to the disk; what is missing there comes from control servers
REPORTED_REFUSALS_MAX = 64  # refused change sets in one report, the latest ones


class ControlOptions(NamedTuple):
    """The validated content of `[control]`."""

    servers: Sequence[Address]
    folder: Path | None


class NodeConfiguration:
    """The dynamic configuration of one process. `set_budgets`: sets its budgets for the cluster."""

    def __init__(
        self, config: Config, options: ControlOptions, platform: Platform, service: Service, system: System,
        set_budgets: Callable[[dict[str, FleetBudget]], None],
    ) -> None:  # fmt: skip
        self.server_overrides = ServerOverrides()
        self._name = config.name
        self._generation = system.time_ns() // 1_000_000
        self._node: Node | None = None
        self.tables = RequestTables(lambda: self.applier.current, config.settings.max_attempts)
        self._effects = ClusterEffects(
            self.tables.routes, self.tables.tenants, set_budgets, self._drain_servers, self._report_soon
        )
        self._store = (
            None
            if options.folder is None
            else ConfigurationStore(options.folder, config.name, system, config.seed)
        )
        context = self._context(platform, service)
        self.applier = ConfigurationApplier(system, context, self._effects, self._store)
        self.tenants = TenantLimiter(self.tables.tenants.find)
        self.watch = ConfigurationWatch(options.servers, config.name, self.applier, system, config.seed)
        self.applier.watch = self.watch
        self.reporter = Reporter(self.report, lambda: self.watch.server, system, config.seed)
        self._tasks: list[asyncio.Task[None]] = []
        self._system = system

    def _context(self, platform: Platform, service: Service) -> NodeContext:
        return NodeContext(platform, service, self._effects.check)

    def attach(self, cluster: Cluster | None, overrides: ServerOverrides | None) -> ServerOverrides:
        """Sets the cluster that budgets are shared with and the overrides that operators' orders go to.
        Returns the overrides that the node has to apply to its server list."""
        self._effects.cluster = cluster
        self.server_overrides = overrides or self.server_overrides
        return self.server_overrides

    def combined_table(self, file: FileRequestTable) -> CombinedTable:
        """A table of the file's routes first, then those of the configuration."""
        return CombinedTable(file, self.tables)

    # Life cycle.

    async def start(self, node: Node) -> None:
        """Returns once the state on disk is in force, or after LOAD_WAIT_MAX_S."""
        self._node = node
        node.tenants = self.tenants
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._run())
        self._tasks.append(task)
        with suppress(TimeoutError):
            async with asyncio.timeout(LOAD_WAIT_MAX_S):
                await self.applier.is_loaded.wait()

    async def _run(self) -> None:
        try:
            await self.applier.load()
            self.reporter.start()
            self.watch.start()
            await self.applier.run()
        except Exception:
            log.exception("the configuration is no longer updated; what is in force stays")

    def reload(self, platform: Platform, service: Service) -> None:
        """Handles SIGHUP: the platform's configuration or the service file has been replaced."""
        self.applier.revalidate(self._context(platform, service))

    async def close(self) -> None:
        """Ends all tasks; waits up to STOP_TIMEOUT_S for the disk."""
        self.watch.stop()
        self.reporter.stop()
        for task in self._tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
        if self._store is not None:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._store.stop(), STOP_TIMEOUT_S)

    # Effects.

    def _drain_servers(self, servers: list[str]) -> None:
        hosts: tuple[Host, ...] = self.server_overrides.set_configured_drains(
            servers, self._system.time_ns() // 1_000_000
        )
        if hosts and self._node is not None:
            self._node.servers.apply_overrides(hosts)

    def _report_soon(self) -> None:
        self.reporter.report_soon()

    # Status.

    def report(self) -> NodeReport:
        """What is in force at this node, for control servers."""
        in_force = self.applier.current
        refused = tuple(refusal.report() for refusal in in_force.refusals.values())[-REPORTED_REFUSALS_MAX:]
        return NodeReport(
            self._name, self._generation, in_force.revision, f"{in_force.received_digest():016x}", refused
        )

    def status(self) -> dict[str, Any]:
        """What is in force at this node, for operators, as a JSON object."""
        report, server = self.report(), self.watch.server
        return {
            "revision": report.revision, "digest": report.digest,
            "server": None if server is None else f"{server[0]}:{server[1]}",
            "refused": [to_builtins(refused) for refused in report.refused],
            "drained": drained_servers(self.applier.current.state),
            "on_disk": None if self._store is None else not self._store.is_behind,
        }  # fmt: skip
