"""Slopes of the configuration from change sets: a node's memory for it, one change, a request's look-up, and
how long the event loop is blocked while a whole snapshot is taken in."""

from __future__ import annotations

import asyncio
import json
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from benchmarks.scale import documents
from benchmarks.scale.meter import StepCost, mean_cpu_s, measure_step

CLIENT_CONNECTIONS = 541  # what `settings.split_descriptors` gives for 1,024 descriptors
CHANGE_COUNT = 200
LOOK_UP_COUNT = 20_000
RESOURCES_PER_LINE = 64  # of a snapshot
LIMIT_VARIANTS = 12  # distinct limits of tenants
REVISION = 1_000
LOOP_TURN_MAX_S = 0.002  # that control may take in one iteration of the event loop


def prepare(size: int, folder: Path) -> None:
    """Writes the platform's configuration."""
    folder.joinpath("platform.json").write_text(json.dumps(documents.platform_document()))


def route_content(number: int, total_ms: int = 900) -> dict[str, Any]:
    """Returns the content of a route as a resource: its table in the service file without the name."""
    table: dict[str, Any] = tomllib.loads(documents.route_text(number, total_ms))["route"][0]
    del table["name"]
    return table


def route_name(number: int) -> str:
    """Returns the name of a route, the same as in the service file."""
    return f"svc-{number // documents.ROUTES_PER_SERVICE:04}-r{number % documents.ROUTES_PER_SERVICE:02}"


def _resources(routes: int, tenants: int) -> Iterator[Any]:
    """Yields resources ordered by key, as in a snapshot. Their revisions are spread over REVISION change
    sets."""
    from msgspec import Raw

    from driftstair.configuration.resources import Resource, ResourceKind, canonical_json

    for number in range(routes):
        content = Raw(canonical_json(route_content(number)))
        yield Resource(ResourceKind.ROUTE, route_name(number), number % REVISION + 1, content)
    for number in range(tenants):
        content = Raw(canonical_json({"per_s": 10.0 + number % LIMIT_VARIANTS, "in_flight": 50}))
        yield Resource(ResourceKind.TENANT, documents.tenant_name(number), number % REVISION + 1, content)


def _node_context(folder: Path) -> Any:
    from driftstair.config import load
    from driftstair.node_configuration.in_force import NodeContext
    from driftstair.service.schema import Service
    from driftstair.service.service_file import platform_of

    config = load({"BALANCER_CONFIG": str(folder / "platform.json")})
    return NodeContext(platform_of(config, CLIENT_CONNECTIONS), Service(version=1), lambda change_set: [])


def _build_in_force(folder: Path, routes: int, tenants: int) -> tuple[Any, StepCost]:
    """Builds a configuration in force; returns it with the cost of building it."""
    from driftstair.node_configuration.whole_configuration import NOTHING_BEFORE, build_steps

    context = _node_context(folder)
    # Loads modules and fills caches before the measurement.
    _run_to_end(build_steps(_resources(1, 1), 1, context, NOTHING_BEFORE))

    def build() -> Any:
        steps = build_steps(_resources(routes, tenants), REVISION, context, NOTHING_BEFORE)
        return _run_to_end(steps)

    in_force, cost = measure_step(build)
    assert in_force.revision == REVISION
    assert not in_force.refusals, next(iter(in_force.refusals.values()))
    return in_force, cost


def _run_to_end(steps: Any) -> Any:
    """Runs a generator of steps to its end and returns its result."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def measure_routes(size: int, folder: Path) -> dict[str, float]:
    """Measures a configuration with only routes: building it from a snapshot, and changes of one route
    each."""
    in_force, cost = _build_in_force(folder, size, 0)
    return {
        "load_cpu_s": cost.cpu_s, "load_peak_mb": cost.peak_mb, "load_kept_mb": cost.kept_mb,
        **_measure_changes(in_force, size),
    }  # fmt: skip


def _measure_changes(in_force: Any, routes: int) -> dict[str, float]:
    """Measures change sets that change one route each: the median processor time, and that of the longest
    step."""
    durations_s, longest_step_s = [], 0.0
    for _ in range(CHANGE_COUNT):
        logged = _logged_route_change(in_force.revision + 1, routes)
        began_s = last_s = time.process_time()
        for _ in in_force.apply_steps(logged, lambda keys: None):
            now_s = time.process_time()
            longest_step_s, last_s = max(longest_step_s, now_s - last_s), now_s
        durations_s.append(time.process_time() - began_s)
    assert not in_force.refusals
    return {
        "change_cpu_us": sorted(durations_s)[CHANGE_COUNT // 2] * 1e6,
        "change_longest_step_ms": longest_step_s * 1e3,
    }


def _logged_route_change(revision: int, routes: int) -> Any:
    """Returns a change set that changes one route, which depends on the revision."""
    from msgspec import Raw

    from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
    from driftstair.configuration.resources import ResourceKind, canonical_json

    number = revision * 7919 % routes
    content = Raw(canonical_json(route_content(number, total_ms=800 - revision % 2)))
    change = Change(ResourceKind.ROUTE, route_name(number), content)
    return LoggedChangeSet(revision, ChangeSet(f"set-{revision}", (change,)))


def change_line(revision: int, routes: int) -> bytes:
    """Returns a change set of one route as a line of the watch."""
    from driftstair.configuration.messages import Changes, encode

    return encode(Changes(revision - 1, (_logged_route_change(revision, routes),)))


def measure_tenants(size: int, folder: Path) -> dict[str, float]:
    """Measures a configuration with only tenants' limits. `kept_beyond_names_mb` leaves out the bytes of
    their names."""
    _, cost = _build_in_force(folder, 0, size)
    names_mb = sum(len(documents.tenant_name(number)) for number in range(size)) / 1e6
    return {
        "load_cpu_s": cost.cpu_s, "load_peak_mb": cost.peak_mb, "load_kept_mb": cost.kept_mb,
        "kept_beyond_names_mb": max(0.0, cost.kept_mb - names_mb),
    }  # fmt: skip


def measure_look_up(size: int, folder: Path) -> dict[str, float]:
    """Measures the look-up of one request among the routes of other services."""
    from driftstair.limits.routes import RouteQuery

    in_force, _ = _build_in_force(folder, size, 0)
    queries = [
        RouteQuery("page", "", "GET", f"/svc-0000/r{own_number:02}/item", {}, "k")
        for own_number in range(min(size, documents.ROUTES_PER_SERVICE))
    ]
    assert all(in_force.find_route(query) for query in queries)
    look_up_cpu_s = min(
        mean_cpu_s(lambda index: in_force.find_route(queries[index % len(queries)]), LOOK_UP_COUNT)
        for _ in range(5)
    )
    return {"find_us": look_up_cpu_s * 1e6}


class _WatchStub:
    """Stands in for the watch that lines come from."""

    def __init__(self) -> None:
        self.rejected = ""

    def resume_reading(self) -> None: ...

    def on_server_current(self) -> None: ...

    def switch_server(self, reason: str) -> bool:
        return False

    def reject(self, reason: str) -> None:
        self.rejected = reason


class _NoEffects:
    """Ignores all changes of the configuration in force."""

    def check(self, change_set: Any) -> list[Any]:
        return []

    def on_applied(self, keys: Any) -> None: ...

    def on_replaced(self) -> None: ...

    def on_watch_started(self) -> None: ...

    def on_turn_end(self, in_force: Any) -> None: ...


class LoopTurnMeter:
    """Measures the processor time of each iteration of the event loop."""

    def __init__(self) -> None:
        self.longest_s = 0.0
        self.turns = 0
        self.turns_over = 0  # longer than LOOP_TURN_MAX_S
        self._loop = asyncio.get_running_loop()
        self._last_s = time.thread_time()
        self._handle = self._loop.call_soon(self._turn)

    def _turn(self) -> None:
        now_s = time.thread_time()
        turn_s, self._last_s = now_s - self._last_s, now_s
        self.longest_s = max(self.longest_s, turn_s)
        self.turns += 1
        self.turns_over += turn_s > LOOP_TURN_MAX_S
        self._handle = self._loop.call_soon(self._turn)

    def stop(self) -> None:
        """Ends the measurement."""
        self._handle.cancel()


def measure_snapshot(size: int, folder: Path) -> dict[str, float]:
    """Measures taking in a snapshot, line by line, with `size` routes and tenants in proportion to them."""
    return asyncio.run(
        _take_in(snapshot_lines(size, documents.TENANTS * size // documents.ROUTES), _node_context(folder))
    )


def snapshot_lines(routes: int, tenants: int) -> list[bytes]:
    """Returns a whole configuration as the lines of a watch."""
    from driftstair.configuration.messages import SnapshotPart, encode

    resources = list(_resources(routes, tenants))
    parts = [
        resources[start : start + RESOURCES_PER_LINE]
        for start in range(0, len(resources), RESOURCES_PER_LINE)
    ]
    return [
        encode(SnapshotPart(REVISION, not number, number == len(parts) - 1, tuple(part)))
        for number, part in enumerate(parts)
    ]


async def _take_in(lines: list[bytes], context: Any) -> dict[str, float]:
    from driftstair.__main__ import freeze_gc
    from driftstair.net.system import SOCKET_SYSTEM
    from driftstair.node_configuration.application import ConfigurationApplier

    applier = ConfigurationApplier(SOCKET_SYSTEM, context, _NoEffects(), None)
    watch = _WatchStub()
    applier.watch = watch  # type: ignore[assignment]
    freeze_gc()  # as a daemon does once it serves
    applier_task = asyncio.create_task(applier.run())
    began_s = time.process_time()
    turn_meter = LoopTurnMeter()
    for line in lines:
        applier.on_watch_line(line)
        while applier._inbox:
            await asyncio.sleep(0)
    while applier.current.revision < REVISION and not watch.rejected:
        await asyncio.sleep(0)
    turn_meter.stop()
    cpu_s = time.process_time() - began_s
    applier_task.cancel()
    assert not watch.rejected, watch.rejected
    return {
        "bytes": sum(map(len, lines)), "take_in_cpu_s": cpu_s, "longest_turn_ms": turn_meter.longest_s * 1e3,
        "turns": turn_meter.turns, "turns_over_2_ms": turn_meter.turns_over,
    }  # fmt: skip
