"""An upgrade while discovery turns callers away: the new process serves by a list older than the node's."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.world import (
    DRAIN_GRACE_S,
    TROUBLE,
    CannotRunError,
    Case,
    Client,
    Discovery,
    Server,
    document,
    free_port,
    is_ready,
    is_up,
    play,
    until,
)

CLIENTS = 8
PAUSE_S = 0.05  # of a client between two requests
CROWDED_S = 9.0  # for which discovery turns callers away, from the new process's first call
REPORTS_BIND_S = 2.0  # after the yes of a new process
DRAIN_AFTER_S = 0.3  # from that call


async def test(case: Case) -> list[str]:
    record = case.record
    servers = [Server(name, record, lambda _: 0.02) for name in ("s-1", "s-2", "s-3")]
    for server in servers:
        await server.start()
    discovery = Discovery(servers, record, lambda _: 0.02)
    await discovery.start()
    port, first_calls, second_calls = free_port(), free_port(), free_port()
    old = await case.start_node(
        "n1", document(port, discovery, servers, first_calls), case.temporary, label="old"
    )
    await old.logged("serving on")
    await until(lambda: is_up(port), "the node is up")
    await until(lambda: is_ready(first_calls), "the old process is ready")

    ended = False

    async def send(client: Client) -> None:
        number = 0
        while not ended:
            number += 1
            await client.ask("page", 2000, key=f"{client.name}-{number}")
            await asyncio.sleep(PAUSE_S)

    loads = [asyncio.create_task(send(Client(f"c{number}", port, record))) for number in range(CLIENTS)]
    await asyncio.sleep(1.0)

    async def watches() -> bool:
        return 0 in discovery.answered

    await until(watches, "the old process has a watch")
    await asyncio.sleep(1.0)
    if not all(server.seen for server in servers):
        raise CannotRunError("the servers are not all in use before the upgrade")
    calls = len(discovery.calls)
    discovery.has_too_many_callers = TROUBLE
    new = await case.start_node(
        "n1", document(port, discovery, servers, second_calls), case.temporary, label="new"
    )
    await new.logged("taking over from the process before this one")

    async def has_called() -> bool:
        return len(discovery.calls) > calls

    await until(has_called, "the new process calls discovery")
    called_at = discovery.calls[calls]
    await asyncio.sleep(DRAIN_AFTER_S)
    told_at, told = discovery.change(servers[0], "Terminating")
    if 0 not in told:
        raise CannotRunError("the node has no watch that could be told")
    await until(lambda: is_ready(second_calls), "the new process is ready")
    yes_at = record.note("the new process says that it is ready")
    old.send(signal.SIGTERM)
    await asyncio.sleep(max(0.0, called_at + CROWDED_S - time.monotonic()))
    discovery.has_too_many_callers = False
    record.note("discovery answers calls")
    await asyncio.sleep(4.0)
    ended = True
    await asyncio.gather(*loads)
    binds_at = max(told_at, yes_at + REPORTS_BIND_S) + DRAIN_GRACE_S
    late = [began - told_at for began, _ in servers[0].seen if began > binds_at]
    served = sum(len(server.seen) for server in servers[1:])
    record.note(f"sent to s-1 after the grace: {len(late)}; to the others in all: {served}")
    if not late:
        return []
    return [
        f"{len(late)} requests were sent to s-1, which drains, {min(late):.3f} to {max(late):.3f} s after "
        f"the node was told; {binds_at - told_at:.2f} s are allowed"
    ]


play(__file__, test)
