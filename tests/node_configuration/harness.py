"""The configuration of one node in this process, watching scripted control servers."""

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
from driftstair.node_configuration.application import ConfigurationApplier
from driftstair.node_configuration.client import ConfigurationWatch
from driftstair.node_configuration.in_force import ConfigurationInForce, NodeContext
from driftstair.node_configuration.persistence import ConfigurationStore
from lichenspring import interface as api
from lichenspring.interface import ListMode, Repeat

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
UNREACHABLE_SERVER = ("127.0.0.1", 1)
PAGE = api.RequestClass(500 * NS_PER_MS, 12.0, 0.0, Repeat.SAFE)
SETTINGS = api.Settings(
    classes=(PAGE,), tenants=(), nodes=3, list_mode=ListMode.PUSHED, ask_within=10 * NS_PER_S, cold_share=0.2,
    cold_time=20 * NS_PER_S, max_attempts=5, max_retry_after=2 * NS_PER_S, retry_after=True,
    worth_by_work=False, report_fields=(), idle_close=30 * NS_PER_S,
)  # fmt: skip
PLATFORM = Platform({"page": PAGE}, {"page": NS_PER_S}, ("series",), SETTINGS, 541, 20_000)


def with_class(name: str) -> Platform:
    """The platform with one more class."""
    return replace(
        PLATFORM,
        classes={**PLATFORM.classes, name: PAGE},
        client_waits={**PLATFORM.client_waits, name: NS_PER_S},
    )


def route(request_class: str = "page", in_flight: int = 5, path: str = "/a") -> dict[str, object]:
    """The content of a route for one class, which is invalid on a platform without this class."""
    return {"match": {"class": [request_class], "path": path}, "admit": {"in_flight": in_flight}}


class RecordingEffects:
    """Implements `Effects`: records or counts the notifications."""

    def __init__(self) -> None:
        self.applied_keys: list[str] = []
        self.replacement_count = 0
        self.turn_count = 0
        self.switched_key_count = 0
        self.watch_count = 0

    def on_switched(self, keys: Sequence[ResourceKey]) -> None:
        self.switched_key_count += len(keys)

    def on_applied(self, keys: Sequence[ResourceKey]) -> None:
        self.applied_keys += map(str, keys)

    def on_replaced(self) -> None:
        self.replacement_count += 1

    def on_watch_started(self) -> None:
        self.watch_count += 1

    def on_turn_end(self, in_force: ConfigurationInForce) -> None:
        self.turn_count += 1


def no_violations(change_set: ChangeSet) -> list[Violation]:
    """A node check that accepts all change sets."""
    return []


def node_context(platform: Platform = PLATFORM) -> NodeContext:
    """The context of a node without a service file."""
    return NodeContext(platform, EMPTY_SERVICE, no_violations)


class NodeHarness:
    """The applier of a node and its watch. `folder`: where its state is kept on disk, if at all."""

    def __init__(
        self, *servers: ControlServer, folder: Path | None = None, platform: Platform = PLATFORM,
        system: System = SOCKET_SYSTEM,
    ) -> None:  # fmt: skip
        self.effects = RecordingEffects()
        self.store = None if folder is None else ConfigurationStore(folder, "n0", system, 1)
        self.applier = ConfigurationApplier(system, node_context(platform), self.effects, self.store)
        addresses = [parse_address(server.address) for server in servers] or [UNREACHABLE_SERVER]
        self.watch = ConfigurationWatch(addresses, "n0", self.applier, system, 1)
        self.applier.watch = self.watch
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> NodeHarness:
        if self.store is not None:
            await self.applier.load()
        self._task = asyncio.get_running_loop().create_task(self.applier.run())
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
        """The configuration in force."""
        return self.applier.current

    def content(self, kind: ResourceKind, name: str) -> bytes | None:
        """The content in force of a resource."""
        return self.in_force.state.content(ResourceKey(kind, name))

    def digest(self) -> str:
        """The digest of the state as received, as in reports."""
        return f"{self.in_force.received_digest():016x}"

    def refused_revisions(self) -> list[int]:
        """The revisions of the refused change sets."""
        return list(self.in_force.refusals)


def shorten_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the pauses before the first watch and between watches short."""
    monkeypatch.setattr(client, "FIRST_PAUSE_MAX_S", 0.01)
    monkeypatch.setattr(client, "PAUSE_MAX_S", 0.02)
