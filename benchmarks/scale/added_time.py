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
from benchmarks.scale.load import TimedRequest, percentile, send_at_rate, wait_for_answers
from benchmarks.scale.node import InputSizes, Testbed, run_testbed
from benchmarks.scale.rows import Figure, Row, Status

ADDED_MS_MAX = 7.0  # that a node may add at the 99th percentile
WARM_UP_S = 4.0  # until connections are open and the adaptive caps have settled
REST_DURATION_S = 12.0  # gives 3,288 requests at a node's rate, of which 33 are above the 99th percentile
EVENT_COUNT = 5
EVENT_INTERVAL_S = 2.0
EVENT_WINDOW_S = 1.0  # after an event; a request due within it counts as sent during the event
# Limit on the 99th percentile of this process's own lateness. Above half of ADDED_MS_MAX the lateness would
# distort the figures.
OWN_LATENESS_MAX_S = 0.0035
MAX_TRIES = 3  # of a scenario, if this process ran late
OWN_LATENESS_FIGURE = "own_late_p99_ms"
ANSWER_TIMEOUT_S = 12.0  # for the last answers
ROUTES_IN_FILE_MAX = 4_640  # as many of these routes as fit into the service file's limit of 1 MiB
SERVERS_IN_LINE_MAX = 31_900  # as many of these servers as fit into a line of the watch, 4 MiB

SMALL = InputSizes()
MANY_SERVERS = InputSizes(servers=SERVERS_IN_LINE_MAX, nodes=documents.NODES, known_servers=0)
MANY_ROUTES = InputSizes(routes=ROUTES_IN_FILE_MAX)
ALL = InputSizes(
    SERVERS_IN_LINE_MAX,
    ROUTES_IN_FILE_MAX,
    documents.TENANTS,
    documents.NODES,
    known_servers=documents.SERVERS_PER_SERVICE,
)

PLATFORM_PATH = b"/api"  # served without a route
# The configuration from a control server has the full size; the servers are those of one service.
FROM_CONTROL = InputSizes(routes=0, configured_routes=documents.ROUTES, configured_tenants=documents.TENANTS)

Event = Callable[[Testbed, int], Awaitable[None]]


async def change_one_server(testbed: Testbed, _: int) -> None:
    """Makes discovery send a change of one server."""
    testbed.send_command("change")


async def send_whole_list(testbed: Testbed, _: int) -> None:
    """Makes discovery send the full list of servers."""
    testbed.send_command("whole")


async def reload_service_file(testbed: Testbed, index: int) -> None:
    """Changes one route of the service file, sends SIGHUP and waits until the daemon logs the reload."""
    testbed.write_service_file(800 + index)
    earlier_reloads = testbed.daemon.count_log_lines("limits of")
    testbed.daemon.send_sighup()
    await testbed.daemon.wait_until(lambda: testbed.daemon.count_log_lines("limits of") > earlier_reloads)


async def put_route_change(testbed: Testbed, _: int) -> None:
    """Makes the control server send a change set that changes one route."""
    testbed.send_command("put")


async def wait_for_snapshot(testbed: Testbed, _: int) -> None:
    """Waits until the whole configuration of the control server is in force, on a node that has just
    started."""
    await wait_until_configured(testbed)


async def wait_until_configured(testbed: Testbed) -> None:
    """Waits until the daemon logs that a whole configuration is in force."""
    await testbed.daemon.wait_until(
        lambda: testbed.daemon.count_log_lines("a whole configuration is in force")
    )


@dataclass(frozen=True, slots=True)
class Scenario:
    """The conditions of one row. `reading` is "own" if each service is an installation of its own, and "all"
    if all nodes serve all services."""

    sizes: InputSizes
    reading: str
    event: Event | None = None
    requests_per_s: int = documents.NODE_REQUESTS_PER_S
    window_s: float = EVENT_WINDOW_S
    event_interval_s: float = EVENT_INTERVAL_S
    warm_up_s: float = WARM_UP_S
    event_count: int = EVENT_COUNT
    target: bytes = b""  # request target; if empty, paths that routes match


SCENARIOS: dict[str, Scenario] = {
    "rest": Scenario(SMALL, "own"),
    "rest-times-3": Scenario(SMALL, "own", requests_per_s=3 * documents.NODE_REQUESTS_PER_S),
    "change-33": Scenario(SMALL, "own", change_one_server),
    "whole-33": Scenario(SMALL, "own", send_whole_list),
    "sighup-21": Scenario(SMALL, "own", reload_service_file),
    "rest-many-servers": Scenario(MANY_SERVERS, "all"),
    "rest-many-servers-times-3": Scenario(
        MANY_SERVERS, "all", requests_per_s=3 * documents.NODE_REQUESTS_PER_S
    ),
    "change-many-servers": Scenario(MANY_SERVERS, "all", change_one_server),
    "whole-many-servers": Scenario(MANY_SERVERS, "all", send_whole_list, window_s=2.0, event_interval_s=4.0),
    "judged": Scenario(InputSizes(outlier_detection=True), "own"),
    "judged-many-servers": Scenario(
        InputSizes(SERVERS_IN_LINE_MAX, nodes=documents.NODES, known_servers=0, outlier_detection=True), "all"
    ),
    "sighup-many-routes": Scenario(
        MANY_ROUTES, "own, all", reload_service_file, window_s=3.0, event_interval_s=6.0
    ),
    "sighup-all": Scenario(ALL, "all", reload_service_file, window_s=10.0, event_interval_s=14.0),
    "control-put": Scenario(
        InputSizes(routes=0, configured_routes=21, configured_tenants=220), "own", put_route_change
    ),
    "control-put-all": Scenario(FROM_CONTROL, "all", put_route_change),
    "control-snapshot-all": Scenario(
        FROM_CONTROL,
        "all",
        wait_for_snapshot,
        event_interval_s=40.0,
        warm_up_s=0.0,
        event_count=1,
        target=PLATFORM_PATH,
    ),
    "cold-start": Scenario(SMALL, "own", warm_up_s=0.0),
    "cold-start-all": Scenario(ALL, "all", warm_up_s=0.0),
}


def register(commands: Any) -> None:
    """Adds the subcommand `added-time`."""
    parser: argparse.ArgumentParser = commands.add_parser("added-time", help=__doc__)
    parser.add_argument("--scenario", action="append", choices=sorted(SCENARIOS), help="all if left out")
    parser.add_argument(
        "--tries", type=int, default=MAX_TRIES, help=f"where this process runs late ({MAX_TRIES})"
    )
    parser.set_defaults(measure=measure)


def measure(options: argparse.Namespace) -> Iterator[Row]:
    """Yields a row for each scenario, each with a daemon of its own."""
    deadline_s = time.monotonic() + options.seconds
    for name in options.scenario or SCENARIOS:
        conditions = _conditions(name)
        if time.monotonic() > deadline_s:
            yield Row("added-time", conditions, status=Status.STOPPED, note="no time was left")
            continue
        yield _run_scenario(name, conditions, options.tries, deadline_s)


def _run_scenario(name: str, conditions: dict[str, Figure], tries: int, deadline_s: float) -> Row:
    """Returns the first row in which this process was not late; if there is none, the row with the least
    lateness."""
    rows: list[Row] = []
    for try_index in range(tries):
        if try_index and time.monotonic() > deadline_s:
            break
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                row = runner.run(_run(name, conditions))
        except (EOFError, TimeoutError, OSError) as error:
            return Row("added-time", conditions, status=Status.FAILED, note=f"{error!r}"[:300])
        if row.is_sound():
            return row
        rows.append(row)
    return min(rows, key=lambda row: float(row.figures[OWN_LATENESS_FIGURE] or 0))


def _conditions(name: str) -> dict[str, Figure]:
    scenario = SCENARIOS[name]
    return {
        "scenario": name, "reading": scenario.reading, "per_s": scenario.requests_per_s,
        "servers": scenario.sizes.servers,
        "routes": scenario.sizes.routes or scenario.sizes.configured_routes,
        "tenants": scenario.sizes.configured_tenants or scenario.sizes.tenants,
    }  # fmt: skip


async def _run(name: str, conditions: dict[str, Figure]) -> Row:
    scenario = SCENARIOS[name]
    with tempfile.TemporaryDirectory() as folder:
        async with run_testbed(Path(folder), scenario.sizes) as testbed:
            through = RequestPath([testbed.daemon.address], scenario.target)
            direct = RequestPath([_parse_address(address) for address in testbed.servers])
            paths = [through, direct]
            if scenario.sizes.configured_routes and scenario.event is not wait_for_snapshot:
                await wait_until_configured(testbed)
            event_tasks = (
                [] if scenario.event is None else [asyncio.create_task(_run_events(scenario, testbed))]
            )
            await send_at_rate(paths, scenario.requests_per_s, scenario.warm_up_s)
            began_s, cpu_before_s = perf_counter(), testbed.daemon.cpu_s()
            lateness_s = await send_at_rate(paths, scenario.requests_per_s, _duration_s(scenario))
            daemon_cores = (testbed.daemon.cpu_s() - cpu_before_s) / (perf_counter() - began_s)
            await wait_for_answers(paths, ANSWER_TIMEOUT_S)
            windows = [(began_s, perf_counter())] if not event_tasks else await event_tasks[0]
            figures = _figures(through, direct, windows)
            figures |= {
                "daemon_cores": daemon_cores, "start_s": testbed.daemon.start_duration_s,
                "rss_mb": testbed.daemon.memory_mb(),
                "peak_mb": testbed.daemon.memory_mb("VmHWM"),
                OWN_LATENESS_FIGURE: percentile(lateness_s, 0.99) * 1e3,
                "watches_ended": testbed.daemon.count_log_lines("watch ended"),
            }  # fmt: skip
    return Row("added-time", conditions, figures, *_assess(figures, lateness_s))


def _duration_s(scenario: Scenario) -> float:
    return REST_DURATION_S if scenario.event is None else scenario.event_count * scenario.event_interval_s


async def _run_events(scenario: Scenario, testbed: Testbed) -> list[tuple[float, float]]:
    """Runs the events; returns for each the time window in which the daemon processed it."""
    assert scenario.event is not None
    await asyncio.sleep(scenario.warm_up_s)
    windows = []
    for index in range(scenario.event_count):
        began_s = perf_counter()
        await scenario.event(testbed, index)
        windows.append((began_s, max(perf_counter(), began_s + scenario.window_s)))
        await asyncio.sleep(max(0.0, began_s + scenario.event_interval_s - perf_counter()))
    return windows


def _figures(
    through: RequestPath, direct: RequestPath, windows: list[tuple[float, float]]
) -> dict[str, Figure]:
    def within(path: RequestPath) -> list[TimedRequest]:
        return [
            answer for answer in path.answers if any(begin <= answer.due_s < end for begin, end in windows)
        ]

    through_answers, direct_answers = within(through), within(direct)
    figures: dict[str, Figure] = {"requests": len(through_answers)}
    for label, fraction in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
        through_ms = percentile([answer.latency_s for answer in through_answers], fraction) * 1e3
        direct_ms = percentile([answer.latency_s for answer in direct_answers], fraction) * 1e3
        figures |= {f"{label}_ms": through_ms, f"{label}_direct_ms": direct_ms,
                f"{label}_added_ms": through_ms - direct_ms,
                f"{label}_ratio": through_ms / direct_ms}  # fmt: skip
    figures["worst_ms"] = max(answer.latency_s for answer in through_answers) * 1e3
    figures["served"] = sum(answer.served for answer in through_answers) / len(through_answers)
    figures["unanswered"] = through.unanswered
    return figures


def _assess(figures: dict[str, Figure], lateness_s: list[float]) -> tuple[Status, str]:
    added_ms = figures["p99_added_ms"]
    assert isinstance(added_ms, float)
    note = (
        ""
        if added_ms <= ADDED_MS_MAX
        else f"p99 is {added_ms / ADDED_MS_MAX:.1f} times the {ADDED_MS_MAX:g} ms allowed"
    )
    if percentile(lateness_s, 0.99) > OWN_LATENESS_MAX_S:
        return Status.LATE, "this process ran late by itself; " + note
    return Status.SOUND, note


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
