"""Slopes by servers: a whole list, a change of it, what a request and the timers take beside many of them."""

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
from benchmarks.scale.meter import cpu_each, measured, median_each

CHANGES = 20
EVENTS = 40  # requests and outcomes while servers are judged
TICKS = 20
TICK = documents.SECOND // 2  # ns between two of the module's timers
KEYS = 1_500  # different keys of requests


def prepare(size: int, folder: Path) -> None:
    folder.joinpath("platform.json").write_text(json.dumps(documents.platform(peers=0)))
    folder.joinpath("list.json").write_bytes(documents.line(documents.server_list(size)))


def _inside_loop(body: Callable[[], dict[str, float]]) -> dict[str, float]:
    async def run() -> dict[str, float]:
        return body()

    return asyncio.run(run())


def _node(folder: Path) -> Any:
    from driftstair.config import load
    from driftstair.net.connection_pools import Pools
    from driftstair.net.node import Node

    config = load({"BALANCER_CONFIG": str(folder / "platform.json")})
    return Node(config, Pools(500, config.dial_timeout, config.idle_close))


def _read(line: bytes) -> Any:
    """What the watch makes of one line, as `Discovery.received` does it."""
    from driftstair.hosts import parse_list
    from driftstair.net.json_stream import JsonStreamParser

    return [parse_list(document) for document in JsonStreamParser().add(line)]


def measure(size: int, folder: Path) -> dict[str, float]:
    """A whole list, and changes of one server each."""
    return _inside_loop(lambda: _measure(size, folder))


def _measure(size: int, folder: Path) -> dict[str, float]:
    from driftstair.net.json_stream import DOCUMENT_BYTES_MAX

    node = _node(folder)
    whole = folder.joinpath("list.json").read_bytes()
    (update,), reading = measured(lambda: _read(whole))
    _, taking = measured(lambda: node.servers.on_list(update))
    _, again = measured(lambda: node.servers.on_list(_read(whole)[0]))
    changes = [
        documents.line(documents.server_change(number * 7919 % size, number + 2)) for number in range(CHANGES)
    ]
    change = median_each(lambda turn: node.servers.on_list(_read(changes[turn])[0]), CHANGES)
    table = node._core._table
    return {
        "list_bytes": len(whole), "accepted": float(len(whole) <= DOCUMENT_BYTES_MAX),
        "read_cpu_s": reading.cpu_s,
        "whole_hold_s": reading.cpu_s + taking.cpu_s, "whole_again_hold_s": again.cpu_s,
        "whole_peak_mb": max(reading.peak_mb, reading.kept_mb + taking.peak_mb),
        "whole_kept_mb": reading.kept_mb + taking.kept_mb, "change_bytes": len(changes[-1]),
        "change_hold_ms": change * 1e3, "servers_in_table": len({one.entry.id for one in table}),
        "servers_of_own_part": len(node._core._subset), "servers_listed": len(node._core._backends),
    }  # fmt: skip


def measure_reach(size: int, folder: Path) -> dict[str, float]:
    """Servers that keys lead to, over one round of nodes, among which all servers are shared out: those that
    stand in the table of one of them. The others get requests only where none of a table may be used."""
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
        reached |= {backend.entry.id for backend in balancer._table}
    return {"servers_reached": len(reached), "part_reached": len(reached) / size}


def measure_request(size: int, folder: Path) -> dict[str, float]:
    """The decisions on one request and its outcome, the timers, and both while the fleet judges servers."""
    return _inside_loop(lambda: _measure_request(size, folder))


def _measure_request(size: int, folder: Path) -> dict[str, float]:
    from lichenspring import interface as api

    node = _node(folder)
    update = _read(folder.joinpath("list.json").read_bytes())[0]
    node.servers.on_list(update)
    balancer = node._core
    plain = _Requests(balancer)
    tick = median_each(lambda _: balancer.handle(plain.tick(), api.Timer(1)), TICKS)
    sweep = median_each(lambda _: node._pools._sweep(), TICKS)
    spent = [cpu_each(plain.one, EVENTS) for _ in range(5)]
    judged = _Requests(_watched(node, update))
    cpu_each(judged.one, 2)
    watched = [cpu_each(judged.one, EVENTS) for _ in range(3)]
    return {
        "request_us": min(spent) * 1e6, "timer_hold_ms": tick * 1e3, "idle_sweep_hold_ms": sweep * 1e3,
        "judged_request_us": min(watched) * 1e6,
    }  # fmt: skip


class _Requests:
    """Requests that are answered at once, on a clock of their own."""

    def __init__(self, module: Any) -> None:
        self._module = module
        self._now = time.monotonic_ns()
        self._chance = Random(5)
        self._number = 0

    def tick(self) -> int:
        self._now += TICK
        return self._now

    def one(self, _: int) -> None:
        """A request, its attempt and its outcome."""
        from lichenspring import interface as api

        self._number += 1
        self._now += documents.SECOND // documents.NODE_RATE
        key = self._chance.randrange(1, KEYS)
        request = api.Request(self._number, documents.SECOND, 0, 0, key, False)
        sent = next(one for one in self._module.handle(self._now, request) if isinstance(one, api.Send))
        answered = api.Outcome(self._number, True, api.Result.OK, 20_000_000, sent.server, 0, (0.4, 0.0))
        self._module.handle(self._now, answered)


def _watched(node: Any, update: Any) -> Any:
    """The node's decisions with the cluster's outlier detection round them, as `judge = true` has it."""
    from driftstair.tier.observed_module import ObservedModule
    from driftstair.tier.shared.evidence import OutlierDetector
    from driftstair.tier.shared.facts import FactStore
    from lichenspring import interface as api

    judge = OutlierDetector(FactStore(0, 1, Random(1)), 0, 0, lambda: True, lambda: {0: 0})
    module = ObservedModule(node._core, lambda: judge)
    servers = tuple(node.servers._to_server(host) for host in update.hosts)
    module.handle(time.monotonic_ns(), api.ServerList(api.ListKind.FULL, servers))
    return module
