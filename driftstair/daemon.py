"""The lifetime of one node, on real sockets or a simulated system."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from driftstair.admission.connection_table import ConnectionLimits
from driftstair.net.connection_pools import Pools
from driftstair.net.frontend import Frontend
from driftstair.net.node import Node
from driftstair.net.system import SOCKET_SYSTEM, System
from driftstair.reloading import Reloader
from driftstair.settings import Config, split_descriptors

if TYPE_CHECKING:
    from driftstair.limits.request_table import RequestTable
    from driftstair.observability.observer import Observer
    from driftstair.operations.server_overrides import ServerOverrides
    from driftstair.operations.service import Operations
    from driftstair.service.service_file import ServiceFile

log = logging.getLogger("driftstair")

PLATFORM_CLIENT_FRACTION = 1 / 3  # of all descriptors; the platform's clients hold at most so many
UNLIMITED_DESCRIPTORS_MIN = 4096  # installations with so many have no such limit on clients

SERVE_AFTER_SIGTERM_S_MIN = 0.6  # new connections keep arriving for up to 0.4 s
SIGKILL_DELAY_S = 0.7  # earliest SIGKILL, after SIGTERM plus the longest deadline
DEADLINE_S_MAX = 3.0  # the platform does not wait for longer deadlines
SIGKILL_MARGIN_S = 0.3


def build_node(
    config: Config,
    system: System = SOCKET_SYSTEM,
    limits: RequestTable | None = None,
    server_overrides: ServerOverrides | None = None,
) -> tuple[Node, Frontend]:
    """Creates a node and its frontend, and divides the descriptors between clients and servers."""
    clients, servers = split_descriptors(config)
    pools = Pools(servers, config.dial_timeout, config.idle_close, system, config.memory_bytes_max)
    node = Node(config, pools, system, limits, server_overrides)
    platform_limit = (
        int(config.sockets * PLATFORM_CLIENT_FRACTION) if config.sockets < UNLIMITED_DESCRIPTORS_MIN else 0
    )
    return node, Frontend(node, config, ConnectionLimits(clients, platform_limit), system)


async def create_operations(config: Config, system: System) -> Operations | None:
    """Carries out operators' calls; None, with its code not loaded, if the platform configures no address."""
    if config.operators is None:
        return None
    from driftstair.operations.service import Operations

    # Beside the event loop, as it reads the state that the process before this one left.
    return await system.run_blocking(lambda: Operations(config, system, os.environ.get("TMPDIR")))


def plan_shutdown(config: Config) -> tuple[float, float]:
    """How long after SIGTERM requests are still accepted, and when all must be answered, in s.

    Clients keep using their connections, and the nodes that take over may be restarting too. So a request is
    accepted as long as it can be answered in time; otherwise no node of the tier might serve for seconds.
    """
    serving_times_s = [
        request_class.aim / 1e9 if not request_class.late_worth else DEADLINE_S_MAX
        for request_class in config.settings.classes
    ]
    longest_deadline_s = min(DEADLINE_S_MAX, max(config.deadlines) / 1e9)
    answer_within_s = longest_deadline_s + SIGKILL_DELAY_S - SIGKILL_MARGIN_S
    return max(
        SERVE_AFTER_SIGTERM_S_MIN, answer_within_s - min(longest_deadline_s, max(serving_times_s))
    ), answer_within_s


def report_metrics(node: Node, observer: Observer, interval_s: float) -> None:
    """Reports the counters now and then every `interval_s`."""
    observer.metrics_reported(node.counters())
    asyncio.get_running_loop().call_later(interval_s, report_metrics, node, observer, interval_s)


def request_end(end_requested: asyncio.Future[int], earliest: Callable[[], int]) -> None:
    """Handles SIGTERM or SIGINT. A signal does not tell when it was sent, and it may have arrived while the
    process was stalled, so the time limits of the shutdown count from the earliest possible time."""
    if not end_requested.done():
        end_requested.set_result(earliest())


def enter_state(node: Node, state: str) -> None:
    """Logs and reports a new state of the process."""
    log.info(state)
    if node.observer is not None:
        node.observer.process_state_changed(state)


async def serve(
    config: Config, reload_config: Callable[[], Config], system: System = SOCKET_SYSTEM,
    ready: Callable[[], None] = lambda: None, service: ServiceFile | None = None,
    has_changed: Callable[[], bool] = bool,
) -> int:  # fmt: skip
    """Runs the node until it is told to end; returns the exit status.

    `reload_config`: reads the current configuration or raises ConfigError; `has_changed`: whether the file
    has changed since `config` was read; `ready`: called once clients are served; `service`: the settings that
    do not come from the platform. Raises ServiceError if these can't be used at the start.
    """
    table = None if service is None else service.table(config, split_descriptors(config)[0])
    loop = asyncio.get_running_loop()
    # Earliest possible time of the signal, monotonic ns.
    end_requested: asyncio.Future[int] = loop.create_future()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, request_end, end_requested, system.monotonic_ns)
    operations = await create_operations(config, system)
    if operations is not None:
        config = operations.config
    tier = None if service is None else service.tier(config, system)
    if table is not None and tier is not None:
        table.fleet_budget, table.wrap_module = tier.fleet_tokens, tier.wrap_module
    configuration = (
        None if service is None else service.configuration(config, split_descriptors(config)[0], system)
    )
    server_overrides = None if operations is None else operations.server_overrides
    limits: RequestTable | None = table
    if configuration is not None and table is not None:
        server_overrides = configuration.attach(tier, server_overrides)
        limits = configuration.combined_table(table)
    node, frontend = build_node(config, system, limits, server_overrides)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(
            signal_number, request_end, end_requested, frontend.monitor.earliest_event_time
        )
    event_log = None if service is None else service.event_log(config, system)
    if event_log is not None:
        node.observe(event_log[0])
        report_metrics(node, *event_log)
    reloader = Reloader(node, config, reload_config, system, service, tier, configuration)
    # The default action would end the process and drop its open requests.
    loop.add_signal_handler(signal.SIGHUP, reloader.request)
    if configuration is not None:
        await configuration.start(node)
    if tier is not None:
        await system.run_blocking(tier.read_member_list)
    # Before connections are accepted: they would wait for as long as reading the ledger takes.
    opened_ledger = None if service is None else await service.open_ledger(config, system, end_requested)
    try:
        if operations is None:
            address = frontend.listen()
        else:
            address = frontend.listen(operations.listener(), operations.inherits())
    except OSError as problem:
        print(f"driftstair: BALANCER_LISTEN can't be used: {problem.strerror}", file=sys.stderr)
        if opened_ledger is not None:
            await opened_ledger[0].close()
        return 2
    ledger_ended = asyncio.Event()
    if opened_ledger is not None:
        node.ledger = opened_ledger[0]
        ledger_task = loop.create_task(opened_ledger[0].run(opened_ledger[1], ledger_ended))
    node.start()
    if has_changed():
        # SIGHUP was ignored until its handler was installed.
        await reloader.reload()
    if operations is not None:
        try:
            await operations.start(node, frontend)
        except OSError as problem:
            print(f"driftstair: BALANCER_OPS can't be used: {problem.strerror}", file=sys.stderr)
            return 2
        operations.tier = tier
        operations.configuration = None if configuration is None else configuration.status
    if tier is not None:
        tier.start()
    ready()
    enter_state(node, "serving on {}:{}".format(*address))
    signalled_at = await end_requested
    enter_state(node, "stopping")
    if tier is not None:
        tier.leave()
    await frontend.stop(*plan_shutdown(config), signalled_at)
    enter_state(node, "ended")
    if event_log is not None:
        event_log[0].metrics_reported(node.counters())
    if tier is not None:
        await tier.close()
    if opened_ledger is not None:
        ledger_ended.set()
        await ledger_task
    if configuration is not None:
        await configuration.close()
    if operations is not None:
        operations.close()
    return 0
