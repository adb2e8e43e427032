"""Processes of a node with the number, or at the address, of another one."""

from __future__ import annotations

import asyncio
from pathlib import Path

from operations.test_desk_and_upgrade import call, environment, operated_document
from rig import Server, free_port, request, run, status
from test_process import program

from driftstair.operations.handover import StateStore
from driftstair.operations.server_overrides import Orders
from driftstair.operations.state import State

# Each container has its own numbers of processes, and they begin with the same ones.
SAME_PROCESS_ID = """
import os, sys
os.getpid = lambda: 7
from driftstair.__main__ import main
sys.exit(main())
"""


def test_an_upgrade_between_processes_with_one_number(tmp_path: Path) -> None:
    async def test() -> None:
        async with Server("s-1") as server:
            document, _ = operated_document(server)
            options = {"env": environment(tmp_path), "code": SAME_PROCESS_ID}
            async with program(document, tmp_path, **options) as old:
                kept = await old.client()
                second = {**document, "ops": f"127.0.0.1:{free_port()}"}
                (tmp_path / "beside").mkdir()
                async with program(second, tmp_path / "beside", **options):
                    while await call(int(second["ops"][10:]), "GET", "ready") != 200:
                        await asyncio.sleep(0.02)
                    # The old process knows of the new one: its answers end their connections.
                    message = await kept.ask(request())
                    assert status(message) == 200 and message.headers["connection"] == "close"

    run(test())


def test_the_state_of_another_node_at_this_address_is_not_taken(tmp_path: Path) -> None:
    address = ("127.0.0.1", 3000)
    orders = Orders({"s-1": 5}, {}, 0)
    StateStore(tmp_path, address, "n1").change(lambda state: State(orders))
    assert StateStore(tmp_path, address, "n1").read().orders.out == {"s-1": 5}
    assert StateStore(tmp_path, address, "n2").read().orders.out == {}
