"""Reads the node's files again on SIGHUP, beside the event loop, as they grow with the fleet and its
routes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from driftstair.config import ConfigError
from driftstair.net.node import Node
from driftstair.net.system import System
from driftstair.settings import Config, split_descriptors

if TYPE_CHECKING:
    from driftstair.node_configuration.service import NodeConfiguration
    from driftstair.service.service_file import ServiceFile
    from driftstair.tier.service import Tier

log = logging.getLogger("driftstair")


class Reloader:
    """Reloads the platform's configuration and the service file of one process. `read_config`: reads the
    current configuration or raises ConfigError."""

    def __init__(
        self, node: Node, config: Config, read_config: Callable[[], Config], system: System,
        service: ServiceFile | None = None, tier: Tier | None = None,
        configuration: NodeConfiguration | None = None,
    ) -> None:  # fmt: skip
        self._node = node
        self._config = config  # the last one that was valid
        self._read_config = read_config
        self._system = system
        self._service = service
        self._tier = tier
        self._configuration = configuration
        self._is_requested = False
        self._task: asyncio.Task[None] | None = None
        self._lock = asyncio.Lock()  # so that files which were read later are applied later

    def request(self) -> None:
        """Handles SIGHUP. A signal that comes while the files are read has them read once more."""
        self._is_requested = True
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self) -> None:
        while self._is_requested:
            self._is_requested = False
            await self.reload()

    async def reload(self) -> None:
        """Reads the files and applies them. On an error in one, the node keeps its previous settings."""
        async with self._lock:
            await self._reload_config()
            if self._service is not None:
                await self._reload_service(self._service)

    async def _reload_config(self) -> None:
        try:
            config = await self._system.run_blocking(self._read_config)
        except ConfigError as problem:
            log.error("the new configuration is not used: %s", problem)
        else:
            self._config = config
            self._node.reload(config)
            if self._tier is not None:
                self._tier.reload(config)

    async def _reload_service(self, service: ServiceFile) -> None:
        from driftstair.service.load import ServiceError

        config, configuration = self._config, self._configuration
        client_connections = split_descriptors(config)[0]
        try:
            read = await self._system.run_blocking(lambda: service.read_table(config, client_connections))
            table = service.use(read)
            self._node.replace_limits(table if configuration is None else configuration.combined_table(table))
        except ServiceError as problem:
            for message in problem.problems:
                log.error("the new service file is not used: %s", message)
        if configuration is not None:
            configuration.reload(*service.platform_and_service(config, client_connections))
