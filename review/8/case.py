"""An upgrade whose new process stands still: an order to the old one is confirmed, and not kept."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.world import (
    TROUBLE,
    CannotRunError,
    Case,
    Client,
    Discovery,
    Server,
    call,
    document,
    free_port,
    is_ready,
    is_up,
    play,
    until,
)

CLIENTS = 12
STILL_S = 1.2  # for which the new process stands still
MARGIN_S = 0.05  # what was on its way when the yes came


async def test(case: Case) -> list[str]:
    record = case.record
    servers = [Server(name, record, lambda _: 0.02) for name in ("s-1", "s-2")]
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
    new = await case.start_node(
        "n1", document(port, discovery, servers, second_calls), case.temporary, label="new"
    )
    await new.logged("taking over from the process before this one")
    await until(lambda: is_ready(second_calls), "the new process is ready")

    clients = [Client(f"c{number}", port, record) for number in range(CLIENTS)]
    for number in range(3):
        answers = await asyncio.gather(*(one.ask("page", 2500, f"{one.name}-{number}") for one in clients))
        if any(answer is None or answer.status != 200 for answer in answers):
            raise CannotRunError("the node does not serve all clients before the order")
    if not all(server.seen for server in servers):
        raise CannotRunError("the servers are not both in use before the order")

    await discovery.next_tick()  # so that its lines are no part of what waits for the new process
    await asyncio.sleep(0.1)
    if TROUBLE:
        new.send(signal.SIGSTOP)
    stopped_at = time.monotonic()
    order = asyncio.create_task(call(first_calls, "POST", "/control/servers/s-1/offline"))
    status, document_of_answer = await order
    yes_at = record.note(f"the old process answers the order offline of s-1: {status} {document_of_answer}")
    asked = [asyncio.create_task(one.ask("page", 2500, f"{one.name}-after")) for one in clients]
    await asyncio.sleep(max(0.0, stopped_at + STILL_S - time.monotonic()))
    if TROUBLE:
        new.send(signal.SIGCONT)
    await asyncio.gather(*asked)
    await asyncio.sleep(1.0)
    counters = (await call(second_calls, "GET", "/control/counters"))[1] or {}
    record.note(f"the new process counts as out: {counters.get('servers_out')}")
    if status != 200:
        record.note("the order was not confirmed, so nothing was promised")
        return []
    late = [began - yes_at for began, _ in servers[0].seen if began > yes_at + MARGIN_S]
    record.note(f"sent to s-1 after the yes: {len(late)}")
    if not late:
        return []
    return [
        f"{len(late)} requests were sent to s-1 {min(late):.3f} to {max(late):.3f} s after the order "
        f"offline had been answered with 200"
    ]


play(__file__, test)
