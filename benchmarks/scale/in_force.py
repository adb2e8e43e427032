"""Slopes of the configuration that comes by change sets: what a node keeps of it, one change, a request's
look-up, and how long the event loop is held while a whole snapshot is taken in."""

from __future__ import annotations

import asyncio
import json
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from benchmarks.scale import documents
from benchmarks.scale.meter import Step, cpu_each, measured

CLIENTS = 541  # connections that the node holds: `daemon.split_descriptors` of 1,024 descriptors
CHANGES = 200
LOOK_UPS = 20_000
PART_RESOURCES = 64  # in one line of a snapshot
PLANS = 12  # different limits that tenants have
REVISION = 1_000
TURN_ALLOWED = 0.002  # s that one turn of the event loop may take for control


def prepare(size: int, folder: Path) -> None:
    folder.joinpath("platform.json").write_text(json.dumps(documents.platform()))


def route_content(number: int, total_ms: int = 900) -> dict[str, Any]:
    """A route as a resource: the same table as in the service file, without its name."""
    table: dict[str, Any] = tomllib.loads(documents.route(number, total_ms))["route"][0]
    del table["name"]
    return table


def route_name(number: int) -> str:
    return f"svc-{number // documents.ROUTES_EACH:04}-r{number % documents.ROUTES_EACH:02}"


def _resources(routes: int, tenants: int) -> Iterator[Any]:
    """In the order of keys, as a snapshot has them; each of a change set of its own."""
    from msgspec import Raw

    from driftstair.configuration.resources import Resource, ResourceKind, canonical_json

    for number in range(routes):
        content = Raw(canonical_json(route_content(number)))
        yield Resource(ResourceKind.ROUTE, route_name(number), number % REVISION + 1, content)
    for number in range(tenants):
        content = Raw(canonical_json({"per_s": 10.0 + number % PLANS, "in_flight": 50}))
        yield Resource(ResourceKind.TENANT, documents.tenant_name(number), number % REVISION + 1, content)


def _given(folder: Path) -> Any:
    from driftstair.config import load
    from driftstair.node_configuration.in_force import NodeContext
    from driftstair.service.schema import Service
    from driftstair.service.service_file import platform_of

    config = load({"BALANCER_CONFIG": str(folder / "platform.json")})
    return NodeContext(platform_of(config, CLIENTS), Service(version=1), lambda change_set: [])


def _built(folder: Path, routes: int, tenants: int) -> tuple[Any, Step]:
    """A configuration in force, and what making it took."""
    from driftstair.node_configuration.in_force import ConfigurationInForce

    given = _given(folder)
    _finished(
        ConfigurationInForce.build_steps(_resources(1, 1), 1, given, lambda key: None)
    )  # modules, caches

    def build() -> Any:
        steps = ConfigurationInForce.build_steps(
            _resources(routes, tenants), REVISION, given, lambda key: None
        )
        return _finished(steps)

    in_force, step = measured(build)
    assert in_force.revision == REVISION
    assert not in_force.refusals, next(iter(in_force.refusals.values()))
    return in_force, step


def _finished(steps: Any) -> Any:
    """What a generator of steps returns."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def measure_routes(size: int, folder: Path) -> dict[str, float]:
    """Routes alone: made from a snapshot, and changes of one route each."""
    in_force, step = _built(folder, size, 0)
    return {
        "load_cpu_s": step.cpu_s, "load_peak_mb": step.peak_mb, "load_kept_mb": step.kept_mb,
        **_changes(in_force, size),
    }  # fmt: skip


def _changes(in_force: Any, routes: int) -> dict[str, float]:
    """Change sets that change one route each: processor time of the whole, and of the longest step."""
    spent, longest = [], 0.0
    for _ in range(CHANGES):
        logged = _change_of_one(in_force.revision + 1, routes)
        began = last = time.process_time()
        for _ in in_force.apply_steps(logged, lambda keys: None):
            now = time.process_time()
            longest, last = max(longest, now - last), now
        spent.append(time.process_time() - began)
    assert not in_force.refusals
    return {"change_cpu_us": sorted(spent)[CHANGES // 2] * 1e6, "change_longest_step_ms": longest * 1e3}


def _change_of_one(revision: int, routes: int) -> Any:
    """A change set that changes one route, another one for each revision."""
    from msgspec import Raw

    from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
    from driftstair.configuration.resources import ResourceKind, canonical_json

    number = revision * 7919 % routes
    content = Raw(canonical_json(route_content(number, total_ms=800 - revision % 2)))
    change = Change(ResourceKind.ROUTE, route_name(number), content)
    return LoggedChangeSet(revision, ChangeSet(f"set-{revision}", (change,)))


def change_line(revision: int, routes: int) -> bytes:
    """The same, as a watch brings it."""
    from driftstair.configuration.messages import Changes, encode

    return encode(Changes(revision - 1, (_change_of_one(revision, routes),)))


def measure_tenants(size: int, folder: Path) -> dict[str, float]:
    """Tenants' limits alone. `beyond_names`: without the bytes of their names."""
    _, step = _built(folder, 0, size)
    names = sum(len(documents.tenant_name(number)) for number in range(size)) / 1e6
    return {
        "load_cpu_s": step.cpu_s, "load_peak_mb": step.peak_mb, "load_kept_mb": step.kept_mb,
        "kept_beyond_names_mb": max(0.0, step.kept_mb - names),
    }  # fmt: skip


def measure_look_up(size: int, folder: Path) -> dict[str, float]:
    """One request's look-up, by the routes of other services."""
    from driftstair.limits.routes import RouteQuery

    in_force, _ = _built(folder, size, 0)
    asked = [
        RouteQuery("page", "", "GET", f"/svc-0000/r{own:02}/item", {}, "k")
        for own in range(min(size, documents.ROUTES_EACH))
    ]
    assert all(in_force.find_route(one) for one in asked)
    each = min(
        cpu_each(lambda turn: in_force.find_route(asked[turn % len(asked)]), LOOK_UPS) for _ in range(5)
    )
    return {"find_us": each * 1e6}


class _Watch:
    """What the application asks of the watch that lines come from."""

    def __init__(self) -> None:
        self.rejected = ""

    def resume_reading(self) -> None: ...

    def on_server_current(self) -> None: ...

    def switch_server(self, reason: str) -> bool:
        return False

    def reject(self, reason: str) -> None:
        self.rejected = reason


class _Effects:
    """Nothing follows from what is in force."""

    def check(self, change_set: Any) -> list[Any]:
        return []

    def on_applied(self, keys: Any) -> None: ...

    def on_replaced(self) -> None: ...

    def on_watch_started(self) -> None: ...

    def on_turn_end(self, in_force: Any) -> None: ...


class LoopHold:
    """The most processor time that one turn of the event loop took."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self.turns = 0
        self.turns_over = 0  # longer than is allowed
        self._loop = asyncio.get_running_loop()
        self._last = time.thread_time()
        self._handle = self._loop.call_soon(self._turn)

    def _turn(self) -> None:
        now = time.thread_time()
        spent, self._last = now - self._last, now
        self.longest_s = max(self.longest_s, spent)
        self.turns += 1
        self.turns_over += spent > TURN_ALLOWED
        self._handle = self._loop.call_soon(self._turn)

    def stop(self) -> None:
        self._handle.cancel()


def measure_snapshot(size: int, folder: Path) -> dict[str, float]:
    """A snapshot of all tenants and `size` routes comes over the watch, line by line."""
    return asyncio.run(
        _taken_in(snapshot_lines(size, documents.TENANTS * size // documents.ROUTES), _given(folder))
    )


def snapshot_lines(routes: int, tenants: int) -> list[bytes]:
    """A whole configuration as a watch brings it."""
    from driftstair.configuration.messages import SnapshotPart, encode

    resources = list(_resources(routes, tenants))
    parts = [resources[at : at + PART_RESOURCES] for at in range(0, len(resources), PART_RESOURCES)]
    return [
        encode(SnapshotPart(REVISION, not number, number == len(parts) - 1, tuple(part)))
        for number, part in enumerate(parts)
    ]


async def _taken_in(lines: list[bytes], given: Any) -> dict[str, float]:
    from driftstair.__main__ import freeze_gc
    from driftstair.net.system import SOCKET_SYSTEM
    from driftstair.node_configuration.application import ConfigurationApplier

    application = ConfigurationApplier(SOCKET_SYSTEM, given, _Effects(), None)
    watch = _Watch()
    application.watch = watch  # type: ignore[assignment]
    freeze_gc()  # as a daemon does once it serves
    working = asyncio.create_task(application.run())
    began = time.process_time()
    hold = LoopHold()
    for line in lines:
        application.on_watch_line(line)
        while application._inbox:
            await asyncio.sleep(0)
    while application.current.revision < REVISION and not watch.rejected:
        await asyncio.sleep(0)
    hold.stop()
    spent = time.process_time() - began
    working.cancel()
    assert not watch.rejected, watch.rejected
    return {
        "bytes": sum(map(len, lines)), "take_in_cpu_s": spent, "longest_turn_ms": hold.longest_s * 1e3,
        "turns": hold.turns, "turns_over_2_ms": hold.turns_over,
    }  # fmt: skip
