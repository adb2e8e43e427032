"""An upgrade during which the old or the new process is stalled."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
from rig import Discovery, Server, free_port, run, until
from test_desk_and_upgrade import call, environment, operated_document, request_status
from test_process import Program, program

CLIENTS = 4  # each opens a new connection per request
# Requests answered before the upgrade begins and after the old process has ended.
REQUESTS_BEFORE, REQUESTS_AFTER = 20, 40


async def stall(node: Program, seconds: float) -> None:
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    node.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize(
    ("stalled", "seconds"),
    [
        ("old, as the new one comes up", 0.6), ("old, as the new one comes up", 1.6),
        ("new, once it serves", 0.6), ("old, told to end", 0.6), ("both, told to end", 0.4),
    ],
)  # fmt: skip
def test_each_request_is_answered(stalled: str, seconds: float, tmp_path: Path) -> None:
    async def test() -> None:
        async with Discovery() as discovery, Server("s-1") as one, Server("s-2") as two:
            document, _ = operated_document(one, two, discovery=discovery.address)
            async with program(document, tmp_path, env=environment(tmp_path)) as old:
                statuses: list[int] = []
                ended = asyncio.Event()

                async def send_requests() -> None:
                    while not ended.is_set():
                        # Raises if a connection closes without a response.
                        statuses.append(await request_status(old))

                loads = [asyncio.create_task(send_requests()) for _ in range(CLIENTS)]
                await until(lambda: len(statuses) >= REQUESTS_BEFORE)
                second_port = free_port()
                document["ops"] = f"127.0.0.1:{second_port}"
                (tmp_path / "beside").mkdir()
                stalls = []
                if stalled.startswith("old, as"):
                    stalls.append(asyncio.create_task(stall(old, seconds)))
                async with program(document, tmp_path / "beside", env=environment(tmp_path)) as new:
                    await until(lambda: discovery.targets)
                    discovery.push(9, one, two, full=True)
                    while await call(second_port, "GET", "ready") != 200:
                        await asyncio.sleep(0.01)
                    if stalled.startswith("new"):
                        stalls.append(asyncio.create_task(stall(new, seconds)))
                    old.process.send_signal(signal.SIGTERM)
                    if stalled.endswith("told to end"):
                        stalls.append(asyncio.create_task(stall(old, seconds)))
                    if stalled.startswith("both"):
                        stalls.append(asyncio.create_task(stall(new, seconds)))
                    assert await old.process.wait() == 0
                    answered = len(statuses)
                    await until(
                        lambda: len(statuses) >= answered + REQUESTS_AFTER or any(one.done() for one in loads)
                    )
                    ended.set()
                    await asyncio.gather(*loads, *stalls)
                    assert set(statuses) == {200}
                    assert new.process.returncode is None

    run(test())
