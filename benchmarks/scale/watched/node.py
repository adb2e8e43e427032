"""One watcher: the real `NodeConfiguration` without the rest of the daemon."""

from __future__ import annotations

import time
from array import array
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

from benchmarks.scale.hollow.node import base_config
from benchmarks.scale.watched.system import MeteredSystem
from driftstair.hosts import Host
from driftstair.net.node import Node
from driftstair.node_configuration.service import ControlOptions, NodeConfiguration
from driftstair.service.load import parse
from driftstair.service.service_file import platform_of

CLIENT_CONNECTIONS = 500  # that a node may have
OWN_SERVICE = parse("version = 1\n", "hollow").service  # a service file without routes


class NoRequests:
    """Stands in for the daemon's node, as there are no requests."""

    tenants: Any = None

    def show(self, hosts: tuple[Host, ...]) -> None:
        """Ignores the list of servers."""


class Notes:
    """Records for all watchers of a process when each revision came into force."""

    def __init__(self) -> None:
        self._rows = array("q")

    def add(self, number: int, revision: int) -> None:
        """Records that a revision has come into force at a watcher."""
        self._rows.extend((time.monotonic_ns(), number, revision))

    def write(self, path: Path) -> None:
        """Writes all records to a file."""
        with open(path, "wb") as file:
            self._rows.tofile(file)


class WatchedConfiguration(NodeConfiguration):
    """Records each revision that comes into force."""

    def __init__(
        self, number: int, options: ControlOptions, system: MeteredSystem, notes: Notes, seed: int
    ) -> None:
        config = replace(base_config(), name=f"n{number}", seed=seed)
        self._number = number
        self._notes = notes
        self._recorded_revision = -1
        super().__init__(
            config,
            options,
            platform_of(config, CLIENT_CONNECTIONS),
            OWN_SERVICE,
            system,
            lambda budgets: None,
        )

    def _report_soon(self) -> None:
        revision = self.applier.current.revision
        if revision != self._recorded_revision:
            self._recorded_revision = revision
            self._notes.add(self._number, revision)
        super()._report_soon()


class Watcher:
    """The successive processes of one node."""

    def __init__(self, number: int, options: ControlOptions, notes: Notes) -> None:
        self.number = number
        self.system = MeteredSystem()
        self.configuration: WatchedConfiguration | None = None
        self._options = options
        self._notes = notes
        self._generation = 0

    async def start(self) -> None:
        """Starts the next process."""
        self._generation += 1
        seed = self._generation << 20 | self.number
        self.configuration = WatchedConfiguration(
            self.number, self._options, self.system, self._notes, seed
        )  # fmt: skip
        await self.configuration.start(cast(Node, NoRequests()))

    async def stop(self) -> None:
        """Ends the process."""
        if self.configuration is not None:
            await self.configuration.close()
        self.configuration = None
