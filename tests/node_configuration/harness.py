"""An application of configuration in this process, watching scripted control servers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import replace
from pathlib import Path

import pytest
from control_server import ControlServer

from driftstair.configuration.assessment import Violation
from driftstair.configuration.change_sets import ChangeSet
from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.validation import EMPTY_SERVICE
from driftstair.hosts import parse_address
from driftstair.limits.findings import Platform
from driftstair.net.system import SOCKET_SYSTEM, System
from driftstair.node_configuration import client
from driftstair.node_configuration.application import Application
from driftstair.node_configuration.client import ConfigurationWatch
from driftstair.node_configuration.in_force import Circumstances, ConfigurationInForce
from driftstair.node_configuration.persistence import ConfigurationStore
from lichenspring import interface as api
from lichenspring.interface import ListMode, Repeat

MS = 1_000_000
SECOND = 1_000 * MS
DEAD = ("127.0.0.1", 1)
PAGE = api.RequestClass(500 * MS, 12.0, 0.0, Repeat.SAFE)
SETTINGS = api.Settings(
    classes=(PAGE,), tenants=(), nodes=3, list_mode=ListMode.PUSHED, ask_within=10 * SECOND, cold_share=0.2,
    cold_time=20 * SECOND, max_attempts=5, max_retry_after=2 * SECOND, retry_after=True, worth_by_work=False,
    report_fields=(), idle_close=30 * SECOND,
)  # fmt: skip
PLATFORM = Platform({"page": PAGE}, {"page": SECOND}, ("series",), SETTINGS, 541, 20_000)


def with_class(name: str) -> Platform:
    """The platform once it knows another class."""
    return replace(
        PLATFORM,
        classes={**PLATFORM.classes, name: PAGE},
        client_waits={**PLATFORM.client_waits, name: SECOND},
    )


def route(kind: str = "page", in_flight: int = 5, path: str = "/a") -> dict[str, object]:
    """The content of a route for one class, which a platform may know or not."""
    return {"match": {"class": [kind], "path": path}, "admit": {"in_flight": in_flight}}


class Recorder:
    """Effects, noted."""

    def __init__(self) -> None:
        self.changed: list[str] = []
        self.replaced = 0
        self.turns = 0
        self.switched = 0
        self.watches = 0

    def on_switched(self, keys: Sequence[ResourceKey]) -> None:
        self.switched += len(keys)

    def on_changed(self, keys: Sequence[ResourceKey]) -> None:
        self.changed += map(str, keys)

    def on_replaced(self) -> None:
        self.replaced += 1

    def on_watch(self) -> None:
        self.watches += 1

    def on_turn(self, in_force: ConfigurationInForce) -> None:
        self.turns += 1


def nothing_missing(change_set: ChangeSet) -> list[Violation]:
    return []


def given(platform: Platform = PLATFORM) -> Circumstances:
    return Circumstances(platform, EMPTY_SERVICE, nothing_missing)


class Harness:
    """A node's application and its watch; `folder`: where its state outlives it."""

    def __init__(
        self, *servers: ControlServer, folder: Path | None = None, platform: Platform = PLATFORM,
        system: System = SOCKET_SYSTEM,
    ) -> None:  # fmt: skip
        self.effects = Recorder()
        self.store = None if folder is None else ConfigurationStore(folder, "n0", system, 1)
        self.application = Application(system, given(platform), self.effects, self.store)
        addresses = [parse_address(server.address) for server in servers] or [DEAD]
        self.watch = ConfigurationWatch(addresses, "n0", self.application, system, 1)
        self.application.watch = self.watch
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Harness:
        if self.store is not None:
            await self.application.load()
        self._task = asyncio.get_running_loop().create_task(self.application.run())
        self.watch.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._task is not None
        self.watch.stop()
        self._task.cancel()
        with suppress(asyncio.CancelledError):
            await self._task
        if self.store is not None:
            await self.store.stop()

    @property
    def in_force(self) -> ConfigurationInForce:
        return self.application.current

    def content(self, kind: ResourceKind, name: str) -> bytes | None:
        return self.in_force.state.content(ResourceKey(kind, name))

    def digest(self) -> str:
        return f"{self.in_force.received_digest():016x}"

    def refused(self) -> list[int]:
        return list(self.in_force.refusals)


def soon(monkeypatch: pytest.MonkeyPatch) -> None:
    """Watches are opened at once, and again at once."""
    monkeypatch.setattr(client, "PAUSE_FIRST_S", 0.01)
    monkeypatch.setattr(client, "PAUSE_MAX_S", 0.02)
