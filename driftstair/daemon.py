"""One node from its start to its end, on whatever machine it is given."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from driftstair.admission.connection_table import ConnectionLimits
from driftstair.config import ConfigError
from driftstair.net.connection_pools import Pools
from driftstair.net.frontend import Frontend
from driftstair.net.node import Node
from driftstair.net.system import SOCKET_SYSTEM, System
from driftstair.settings import Config

if TYPE_CHECKING:
    from driftstair.limits.request_table import RequestTable
    from driftstair.node_configuration.service import NodeConfiguration
    from driftstair.observability.observer import Observer
    from driftstair.operations.server_overrides import ServerOverrides
    from driftstair.operations.service import Operations
    from driftstair.service.service_file import ServiceFile
    from driftstair.tier.service import Tier

log = logging.getLogger("driftstair")

RESERVED = 40  # descriptors: the interpreter's, the loop's, the listening socket, discovery, and slack
CLIENTS_PART = 0.55  # of the rest; the others are for servers
HELD_PART = 1 / 3  # of all descriptors: what the platform's clients hold at most for requests
UNBOUND = 4096  # descriptors: a node that has so many is on an installation without such a bound

SERVE_ON = 0.6  # s after SIGTERM at least: new connections go on coming for up to 0.4 s
SIGKILL_DELAY_S = 0.7  # s after SIGTERM and the longest deadline, at the soonest
DEADLINE_S_MAX = 3.0  # s, as far as the platform waits
MARGIN = 0.3  # s before SIGKILL


def split_descriptors(config: Config) -> tuple[int, int]:
    """Descriptors for clients and for servers."""
    usable = config.sockets - RESERVED
    clients = int(usable * CLIENTS_PART)
    return clients, usable - clients


def build_node(
    config: Config,
    system: System = SOCKET_SYSTEM,
    limits: RequestTable | None = None,
    roster: ServerOverrides | None = None,
) -> tuple[Node, Frontend]:
    clients, servers = split_descriptors(config)
    pools = Pools(servers, config.dial_timeout, config.idle_close, system)
    node = Node(config, pools, system, limits, roster)
    held = int(config.sockets * HELD_PART) if config.sockets < UNBOUND else 0
    return node, Frontend(node, config, ConnectionLimits(clients, held), system)


def operate(config: Config, system: System) -> Operations | None:
    """What carries out operators' calls, where the platform has them call; else nothing of it is loaded."""
    if config.operators is None:
        return None
    from driftstair.operations.service import Operations

    return Operations(config, system, os.environ.get("TMPDIR"))


def plan_end(config: Config) -> tuple[float, float]:
    """Until when after SIGTERM all is served on, and when all must be answered, in s. Clients go on using the
    connections that they have, and the nodes that take over may be restarting too: so what can still be
    answered in time is taken. Guards against seconds in which no node of the tier serves."""
    held = [kind.aim / 1e9 if not kind.late_worth else DEADLINE_S_MAX for kind in config.settings.classes]
    longest = min(DEADLINE_S_MAX, max(config.deadlines) / 1e9)
    within = longest + SIGKILL_DELAY_S - MARGIN
    return max(SERVE_ON, within - min(longest, max(held))), within


def reload_files(
    node: Node, config: Config, reread: Callable[[], Config], service: ServiceFile | None, tier: Tier | None,
    configuration: NodeConfiguration | None = None,
) -> None:  # fmt: skip
    """SIGHUP: files have been replaced. Whatever is wrong with one, the node serves on as before."""
    try:
        config = reread()
    except ConfigError as problem:
        log.error("the new configuration is not used: %s", problem)
    else:
        node.reload(config)
        if tier is not None:
            tier.reload(config)
    if service is not None:
        from driftstair.service.load import ServiceError

        try:
            table = service.table(config, split_descriptors(config)[0])
            node.replace_limits(table if configuration is None else configuration.combined(table))
        except ServiceError as problem:
            for one in problem.problems:
                log.error("the new service file is not used: %s", one)
        if configuration is not None:
            configuration.reload(*service.platform_and_service(config, split_descriptors(config)[0]))


def report_metrics(node: Node, observer: Observer, every: float) -> None:
    """Now, and again each `every` s."""
    observer.metrics_reported(node.counters())
    asyncio.get_running_loop().call_later(every, report_metrics, node, observer, every)


def note_end(told_to_end: asyncio.Future[int], earliest: Callable[[], int]) -> None:
    """SIGTERM or SIGINT is handled. It may have come while the process did not run: what ends the process
    counts from then, and no signal says when it was sent."""
    if not told_to_end.done():
        told_to_end.set_result(earliest())


def enter(node: Node, state: str) -> None:
    """The process has come to another state."""
    log.info(state)
    if node.observer is not None:
        node.observer.process_state_changed(state)


async def serve(
    config: Config, reread: Callable[[], Config], system: System = SOCKET_SYSTEM,
    ready: Callable[[], None] = lambda: None, service: ServiceFile | None = None,
    has_changed: Callable[[], bool] = bool,
) -> int:  # fmt: skip
    """The node's life; its exit status. `reread`: the configuration as it is told now, or ConfigError;
    `has_changed`: whether its file is another one by now than `config` was read from;
    `ready` is called once clients are served; `service`: what the platform does not tell. Raises ServiceError
    if that can't be used at the start."""
    table = None if service is None else service.table(config, split_descriptors(config)[0])
    loop = asyncio.get_running_loop()
    told_to_end: asyncio.Future[int] = loop.create_future()  # when, at the soonest, monotonic ns
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, note_end, told_to_end, system.monotonic_ns)
    operations = operate(config, system)
    if operations is not None:
        config = operations.config
    tier = None if service is None else service.tier(config, system)
    if table is not None and tier is not None:
        table.fleet_budget, table.wrap_module = tier.tokens, tier.wrap_module
    configuration = (
        None if service is None else service.configuration(config, split_descriptors(config)[0], system)
    )
    roster = None if operations is None else operations.roster
    limits: RequestTable | None = table
    if configuration is not None and table is not None:
        roster = configuration.share(tier, roster)
        limits = configuration.combined(table)
    node, front = build_node(config, system, limits, roster)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, note_end, told_to_end, front.monitor.earliest_event_time)
    event_log = None if service is None else service.event_log(config, system)
    if event_log is not None:
        node.observe(event_log[0])
        report_metrics(node, *event_log)
    # Guards against the default, which ends the process and all that it holds.
    loop.add_signal_handler(signal.SIGHUP, reload_files, node, config, reread, service, tier, configuration)
    if configuration is not None:
        await configuration.start(node)
    try:
        if operations is None:
            address = front.listen()
        else:
            address = front.listen(operations.listener(), operations.inherits())
    except OSError as problem:
        print(f"driftstair: BALANCER_LISTEN can't be used: {problem.strerror}", file=sys.stderr)
        return 2
    kept = None if service is None else service.open_ledger(config, system)
    ended = asyncio.Event()
    if kept is not None:
        node.ledger = kept[0]
        committing = loop.create_task(kept[0].run(kept[1], ended))
    node.start()
    if has_changed():
        # SIGHUP was ignored until its handler stood.
        reload_files(node, config, reread, service, tier, configuration)
    if operations is not None:
        try:
            await operations.start(node, front)
        except OSError as problem:
            print(f"driftstair: BALANCER_OPS can't be used: {problem.strerror}", file=sys.stderr)
            return 2
        operations.tier = tier
        operations.configuration = None if configuration is None else configuration.shown
    if tier is not None:
        tier.start()
    ready()
    enter(node, "serving on {}:{}".format(*address))
    since = await told_to_end
    enter(node, "stopping")
    if tier is not None:
        tier.leave()
    await front.stop(*plan_end(config), since)
    enter(node, "ended")
    if event_log is not None:
        event_log[0].metrics_reported(node.counters())
    if tier is not None:
        await tier.close()
    if kept is not None:
        ended.set()
        await committing
    if configuration is not None:
        await configuration.close()
    if operations is not None:
        operations.close()
    return 0
