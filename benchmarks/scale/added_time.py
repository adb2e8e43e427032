"""Time that a real daemon adds to a request, beside the direct path in the same run, at rest and while it
takes in what control tells it."""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from time import perf_counter
from typing import Any

import uvloop

from benchmarks.scale import documents
from benchmarks.scale.load import Path as RequestPath
from benchmarks.scale.load import Timed, drive, percentile, settled
from benchmarks.scale.node import Stage, Told, stage
from benchmarks.scale.rows import Figure, Row, Status

ALLOWED_MS = 7.0  # that may be added for 99 requests in 100
WARM_S = 4.0  # until connections stand and the caps have found their place
AT_REST_S = 12.0  # 3,288 requests at a node's rate: 33 are above the 99th percentile
EVENTS = 5
EVENT_EVERY_S = 2.0
WINDOW_S = 1.0  # after an event, in which a request counts as sent while it was taken in
LATE_S = (
    0.0035  # of this process's own turns, for 99 in 100: above half of what is allowed it tells of itself
)
TRIES = 3  # of a scenario in which this process ran late
OWN_LATE = "own_late_p99_ms"
ANSWERS_S = 12.0  # that answers are waited for in the end
FILE_ROUTES = 4_640  # as many as the service file's limit of 1 MiB holds of these
LINE_SERVERS = 31_900  # as many as a line of the watch may hold of these: 4 MiB

SMALL = Told()
MANY_SERVERS = Told(servers=LINE_SERVERS, nodes=documents.NODES, known=0)
MANY_ROUTES = Told(routes=FILE_ROUTES)
ALL = Told(LINE_SERVERS, FILE_ROUTES, documents.TENANTS, documents.NODES, known=documents.SERVERS_EACH)

PLATFORM_PATH = b"/api"  # served without any route
CONFIGURED = Told(
    routes=0, configured_routes=documents.ROUTES, configured_tenants=documents.TENANTS
)  # with the servers of one service: only the configuration is of the whole size

Event = Callable[[Stage, int], Awaitable[None]]


async def change_of_one(on: Stage, _: int) -> None:
    on.say("change")


async def whole_list(on: Stage, _: int) -> None:
    on.say("whole")


async def hang_up(on: Stage, turn: int) -> None:
    """A service file with one route changed, taken in by SIGHUP, until the daemon says so."""
    on.write_service(800 + turn)
    taken = on.daemon.count("limits of")
    on.daemon.hang_up()
    await on.daemon.until(lambda: on.daemon.count("limits of") > taken)


async def put(on: Stage, _: int) -> None:
    """A change set that changes one route."""
    on.say("put")


async def snapshot(on: Stage, _: int) -> None:
    """All that a control server has comes into force; the node has just begun to serve."""
    await configured(on)


async def configured(on: Stage) -> None:
    await on.daemon.until(lambda: on.daemon.count("a whole configuration is in force"))


@dataclass(frozen=True, slots=True)
class Scenario:
    """`reading`: "own" where each service is an installation of its own, "all" where all nodes serve all."""

    told: Told
    reading: str
    event: Event | None = None
    rate: int = documents.NODE_RATE
    window_s: float = WINDOW_S
    every_s: float = EVENT_EVERY_S
    warm_s: float = WARM_S
    events: int = EVENTS
    target: bytes = b""  # of the requests; left out: paths that routes name


SCENARIOS: dict[str, Scenario] = {
    "rest": Scenario(SMALL, "own"),
    "rest-times-3": Scenario(SMALL, "own", rate=3 * documents.NODE_RATE),
    "change-33": Scenario(SMALL, "own", change_of_one),
    "whole-33": Scenario(SMALL, "own", whole_list),
    "sighup-21": Scenario(SMALL, "own", hang_up),
    "rest-many-servers": Scenario(MANY_SERVERS, "all"),
    "rest-many-servers-times-3": Scenario(MANY_SERVERS, "all", rate=3 * documents.NODE_RATE),
    "change-many-servers": Scenario(MANY_SERVERS, "all", change_of_one),
    "whole-many-servers": Scenario(MANY_SERVERS, "all", whole_list, window_s=2.0, every_s=4.0),
    "judged": Scenario(Told(judges=True), "own"),
    "judged-many-servers": Scenario(Told(LINE_SERVERS, nodes=documents.NODES, known=0, judges=True), "all"),
    "sighup-many-routes": Scenario(MANY_ROUTES, "own, all", hang_up, window_s=3.0, every_s=6.0),
    "sighup-all": Scenario(ALL, "all", hang_up, window_s=10.0, every_s=14.0),
    "control-put": Scenario(Told(routes=0, configured_routes=21, configured_tenants=220), "own", put),
    "control-put-all": Scenario(CONFIGURED, "all", put),
    "control-snapshot-all": Scenario(
        CONFIGURED, "all", snapshot, every_s=40.0, warm_s=0.0, events=1, target=PLATFORM_PATH
    ),
    "cold-start": Scenario(SMALL, "own", warm_s=0.0),
    "cold-start-all": Scenario(ALL, "all", warm_s=0.0),
}


def register(commands: Any) -> None:
    """Adds `added-time`."""
    parser: argparse.ArgumentParser = commands.add_parser("added-time", help=__doc__)
    parser.add_argument("--scenario", action="append", choices=sorted(SCENARIOS), help="all if left out")
    parser.add_argument("--tries", type=int, default=TRIES, help=f"where this process runs late ({TRIES})")
    parser.set_defaults(measure=measure)


def measure(options: argparse.Namespace) -> Iterator[Row]:
    """A row for each scenario, with the start of its daemon."""
    until = time.monotonic() + options.seconds
    for name in options.scenario or SCENARIOS:
        conditions = _conditions(name)
        if time.monotonic() > until:
            yield Row("added-time", conditions, status=Status.STOPPED, note="no time was left")
            continue
        yield _played(name, conditions, options.tries, until)


def _played(name: str, conditions: dict[str, Figure], tries: int, until: float) -> Row:
    """The first run in which this process kept its own times; else the one that did best at that."""
    found: list[Row] = []
    for turn in range(tries):
        if turn and time.monotonic() > until:
            break
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                row = runner.run(_run(name, conditions))
        except (EOFError, TimeoutError, OSError) as problem:
            return Row("added-time", conditions, status=Status.FAILED, note=f"{problem!r}"[:300])
        if row.is_sound():
            return row
        found.append(row)
    return min(found, key=lambda row: float(row.figures[OWN_LATE] or 0))


def _conditions(name: str) -> dict[str, Figure]:
    one = SCENARIOS[name]
    return {
        "scenario": name, "reading": one.reading, "per_s": one.rate, "servers": one.told.servers,
        "routes": one.told.routes or one.told.configured_routes,
        "tenants": one.told.configured_tenants or one.told.tenants,
    }  # fmt: skip


async def _run(name: str, conditions: dict[str, Figure]) -> Row:
    one = SCENARIOS[name]
    with tempfile.TemporaryDirectory() as folder:
        async with stage(Path(folder), one.told) as on:
            through = RequestPath([on.daemon.address], one.target)
            direct = RequestPath([_split(address) for address in on.servers])
            paths = [through, direct]
            if one.told.configured_routes and one.event is not snapshot:
                await configured(on)
            events = [] if one.event is None else [asyncio.create_task(_events(one, on))]
            await drive(paths, one.rate, one.warm_s)
            begun, cpu = perf_counter(), on.daemon.cpu_s()
            late = await drive(paths, one.rate, _seconds(one))
            spent = (on.daemon.cpu_s() - cpu) / (perf_counter() - begun)
            await settled(paths, ANSWERS_S)
            windows = [(begun, perf_counter())] if not events else await events[0]
            figures = _figures(through, direct, windows)
            figures |= {
                "daemon_cores": spent, "start_s": on.daemon.started_s, "rss_mb": on.daemon.memory_mb(),
                "peak_mb": on.daemon.memory_mb("VmHWM"), OWN_LATE: percentile(late, 0.99) * 1e3,
                "watches_ended": on.daemon.count("watch ended"),
            }  # fmt: skip
    return Row("added-time", conditions, figures, *_judged(figures, late))


def _seconds(one: Scenario) -> float:
    return AT_REST_S if one.event is None else one.events * one.every_s


async def _events(one: Scenario, on: Stage) -> list[tuple[float, float]]:
    """Makes the events happen; the times in which each was being taken in."""
    assert one.event is not None
    await asyncio.sleep(one.warm_s)
    windows = []
    for turn in range(one.events):
        began = perf_counter()
        await one.event(on, turn)
        windows.append((began, max(perf_counter(), began + one.window_s)))
        await asyncio.sleep(max(0.0, began + one.every_s - perf_counter()))
    return windows


def _figures(
    through: RequestPath, direct: RequestPath, windows: list[tuple[float, float]]
) -> dict[str, Figure]:
    def within(path: RequestPath) -> list[Timed]:
        return [one for one in path.answers if any(begin <= one.due < end for begin, end in windows)]

    node, alone = within(through), within(direct)
    out: dict[str, Figure] = {"requests": len(node)}
    for label, part in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
        its = percentile([one.took for one in node], part) * 1e3
        beside = percentile([one.took for one in alone], part) * 1e3
        out |= {f"{label}_ms": its, f"{label}_direct_ms": beside, f"{label}_added_ms": its - beside,
                f"{label}_ratio": its / beside}  # fmt: skip
    out["worst_ms"] = max(one.took for one in node) * 1e3
    out["served"] = sum(one.served for one in node) / len(node)
    out["unanswered"] = through.unanswered
    return out


def _judged(figures: dict[str, Figure], late: list[float]) -> tuple[Status, str]:
    added = figures["p99_added_ms"]
    assert isinstance(added, float)
    note = (
        "" if added <= ALLOWED_MS else f"p99 is {added / ALLOWED_MS:.1f} times the {ALLOWED_MS:g} ms allowed"
    )
    if percentile(late, 0.99) > LATE_S:
        return Status.LATE, "this process ran late by itself; " + note
    return Status.SOUND, note


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
