"""Slopes by servers: a full list, a change of it, and the cost of requests and timers beside many servers."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.scale import documents
from benchmarks.scale.meter import mean_cpu_s, measure_step, median_cpu_s

CHANGE_COUNT = 20
REQUEST_COUNT = 40  # requests with their outcomes that are timed together
TICK_COUNT = 20
TICK_INTERVAL_NS = documents.SECOND_NS // 2  # between two of the module's timers
KEY_COUNT = 1_500  # distinct request keys


def prepare(size: int, folder: Path) -> None:
    """Writes a configuration, and a list of `size` servers."""
    folder.joinpath("platform.json").write_text(json.dumps(documents.platform_document(peers=0)))
    folder.joinpath("list.json").write_bytes(documents.encode_line(documents.server_list(size)))


def _run_in_event_loop(body: Callable[[], dict[str, float]]) -> dict[str, float]:
    async def run() -> dict[str, float]:
        return body()

    return asyncio.run(run())


def _make_node(folder: Path) -> Any:
    from driftstair.config import load
    from driftstair.net.connection_pools import Pools
    from driftstair.net.node import Node

    config = load({"BALANCER_CONFIG": str(folder / "platform.json")})
    return Node(config, Pools(500, config.dial_timeout, config.idle_close))


def _parse_line(line: bytes) -> Any:
    """Parses one line of the watch as `Discovery.received` does."""
    from driftstair.hosts import parse_list
    from driftstair.net.json_stream import JsonStreamParser

    return [parse_list(document) for document in JsonStreamParser().add(line)]


def measure(size: int, folder: Path) -> dict[str, float]:
    """Measures taking in a full list, and changes of one server each."""
    return _run_in_event_loop(lambda: _measure(size, folder))


def _measure(size: int, folder: Path) -> dict[str, float]:
    from driftstair.net.json_stream import DOCUMENT_BYTES_MAX

    node = _make_node(folder)
    list_line = folder.joinpath("list.json").read_bytes()
    (update,), read_cost = measure_step(lambda: _parse_line(list_line))
    _, take_cost = measure_step(lambda: node.servers.on_list(update))
    _, again_cost = measure_step(lambda: node.servers.on_list(_parse_line(list_line)[0]))
    change_lines = [
        documents.encode_line(documents.server_change(number * 7919 % size, number + 2))
        for number in range(CHANGE_COUNT)
    ]
    change_cpu_s = median_cpu_s(
        lambda index: node.servers.on_list(_parse_line(change_lines[index])[0]), CHANGE_COUNT
    )
    table = node._core._table
    return {
        "list_bytes": len(list_line), "accepted": float(len(list_line) <= DOCUMENT_BYTES_MAX),
        "read_cpu_s": read_cost.cpu_s,
        "whole_hold_s": read_cost.cpu_s + take_cost.cpu_s, "whole_again_hold_s": again_cost.cpu_s,
        "whole_peak_mb": max(read_cost.peak_mb, read_cost.kept_mb + take_cost.peak_mb),
        "whole_kept_mb": read_cost.kept_mb + take_cost.kept_mb, "change_bytes": len(change_lines[-1]),
        "change_hold_ms": change_cpu_s * 1e3,
        "servers_in_table": len({backend.server.id for backend in table}),
        "servers_of_own_part": len(node._core._subset), "servers_listed": len(node._core._backends),
    }  # fmt: skip


def measure_reach(size: int, folder: Path) -> dict[str, float]:
    """Counts the servers that requests with keys can reach: those in the table of at least one node of a
    round, over whose nodes all servers are distributed. Other servers get requests only if no server of a
    node's table is usable."""
    from driftstair.config import load
    from driftstair.net.identifiers import digest
    from lichenspring import Balancer
    from lichenspring import interface as api
    from lichenspring.subset import NODES_PER_ROUND

    settings = load({"BALANCER_CONFIG": str(folder / "platform.json")}).settings
    entries = tuple(
        api.Server(digest(entry["id"]), 0, 0, api.ServerState.READY, 1.0, 0)
        for entry in documents.server_list(size)["servers"]
    )
    reached: set[api.ServerId] = set()
    for number in range(NODES_PER_ROUND):
        balancer = Balancer(replace(settings, number=number), 1)
        balancer.handle(1, api.ServerList(api.ListKind.FULL, entries))
        reached |= {backend.server.id for backend in balancer._table}
    return {"servers_reached": len(reached), "part_reached": len(reached) / size}


def measure_request(size: int, folder: Path) -> dict[str, float]:
    """Measures the decisions on a request with its outcome, the timers, and a request with the cluster's
    outlier detection."""
    return _run_in_event_loop(lambda: _measure_request(size, folder))


def _measure_request(size: int, folder: Path) -> dict[str, float]:
    from lichenspring import interface as api

    node = _make_node(folder)
    update = _parse_line(folder.joinpath("list.json").read_bytes())[0]
    node.servers.on_list(update)
    balancer = node._core
    requests = _Requests(balancer)
    tick_cpu_s = median_cpu_s(lambda _: balancer.handle(requests.tick(), api.Timer(1)), TICK_COUNT)
    sweep_cpu_s = median_cpu_s(lambda _: node._pools._sweep(), TICK_COUNT)
    request_cpu_s = [mean_cpu_s(requests.run_one, REQUEST_COUNT) for _ in range(5)]
    judged_requests = _Requests(_with_outlier_detection(node, update))
    mean_cpu_s(judged_requests.run_one, 2)
    judged_cpu_s = [mean_cpu_s(judged_requests.run_one, REQUEST_COUNT) for _ in range(3)]
    return {
        "request_us": min(request_cpu_s) * 1e6, "timer_hold_ms": tick_cpu_s * 1e3,
        "idle_sweep_hold_ms": sweep_cpu_s * 1e3,
        "judged_request_us": min(judged_cpu_s) * 1e6,
    }  # fmt: skip


class _Requests:
    """Generates requests that are answered at once, with a clock of its own."""

    def __init__(self, module: Any) -> None:
        self._module = module
        self._now = time.monotonic_ns()
        self._random = Random(5)
        self._number = 0

    def tick(self) -> int:
        """Advances the clock by one timer interval and returns it."""
        self._now += TICK_INTERVAL_NS
        return self._now

    def run_one(self, _: int) -> None:
        """Passes a request, its attempt and its outcome to the module."""
        from lichenspring import interface as api

        self._number += 1
        self._now += documents.SECOND_NS // documents.NODE_REQUESTS_PER_S
        key = self._random.randrange(1, KEY_COUNT)
        request = api.Request(self._number, documents.SECOND_NS, 0, 0, key, False)
        send_action = next(
            action for action in self._module.handle(self._now, request) if isinstance(action, api.Send)
        )
        outcome = api.Outcome(
            self._number, True, api.Result.OK, 20_000_000, send_action.server, 0, (0.4, 0.0)
        )
        self._module.handle(self._now, outcome)


def _with_outlier_detection(node: Any, update: Any) -> Any:
    """Returns the node's decision module wrapped with the cluster's outlier detection, as the setting `judge`
    does."""
    from driftstair.tier.observed_module import ObservedModule
    from driftstair.tier.shared.evidence import OutlierDetector
    from driftstair.tier.shared.facts import FactStore
    from lichenspring import interface as api

    detector = OutlierDetector(FactStore(0, 1, Random(1)), 0, 0, lambda: True, lambda: {0: 0})
    module = ObservedModule(node._core, lambda: detector)
    servers = tuple(node.servers._to_server(host) for host in update.hosts)
    module.handle(time.monotonic_ns(), api.ServerList(api.ListKind.FULL, servers))
    return module
