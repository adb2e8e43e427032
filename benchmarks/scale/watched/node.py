"""One watcher: the shipped `NodeConfiguration` as a daemon has it, without the daemon round it."""

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

CLIENTS = 500  # connections that a node may hold
OWN = parse("version = 1\n", "hollow").service  # a service file without routes


class NoRequests:
    """In the place of the daemon's node."""

    tenants: Any = None

    def show(self, hosts: tuple[Host, ...]) -> None:
        """There is nobody to show servers to."""


class Notes:
    """Which revision came into force where and when, of all watchers of a process."""

    def __init__(self) -> None:
        self._rows = array("q")

    def note(self, number: int, revision: int) -> None:
        self._rows.extend((time.monotonic_ns(), number, revision))

    def write(self, path: Path) -> None:
        with open(path, "wb") as file:
            self._rows.tofile(file)


class WatchedConfiguration(NodeConfiguration):
    """Notes each revision that comes into force."""

    def __init__(
        self, number: int, wanted: ControlOptions, system: MeteredSystem, notes: Notes, seed: int
    ) -> None:
        config = replace(base_config(), name=f"n{number}", seed=seed)
        self._number = number
        self._notes = notes
        self._noted = -1
        super().__init__(config, wanted, platform_of(config, CLIENTS), OWN, system, lambda budgets: None)

    def _report_soon(self) -> None:
        revision = self.applier.current.revision
        if revision != self._noted:
            self._noted = revision
            self._notes.note(self._number, revision)
        super()._report_soon()


class Watcher:
    """Process after process of one node's number."""

    def __init__(self, number: int, wanted: ControlOptions, notes: Notes) -> None:
        self.number = number
        self.system = MeteredSystem()
        self.configuration: WatchedConfiguration | None = None
        self._wanted = wanted
        self._notes = notes
        self._generation = 0

    async def start(self) -> None:
        self._generation += 1
        seed = self._generation << 20 | self.number
        self.configuration = WatchedConfiguration(
            self.number, self._wanted, self.system, self._notes, seed
        )  # fmt: skip
        await self.configuration.start(cast(Node, NoRequests()))

    async def stop(self) -> None:
        if self.configuration is not None:
            await self.configuration.close()
        self.configuration = None
