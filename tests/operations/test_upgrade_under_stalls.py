"""One process of a node replaces another while one of the two does not run for a while."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
from rig import Discovery, Server, run, until
from test_desk_and_upgrade import asks, call, documents, free_port, here
from test_process import Program, program

LOADS = 4  # clients, each of them on a new connection for each request
BEFORE, AFTER = (
    20,
    40,
)  # requests that are answered before the upgrade begins and after the old process has ended


async def stall(node: Program, seconds: float) -> None:
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    node.process.send_signal(signal.SIGCONT)


@pytest.mark.parametrize(
    ("which", "seconds"),
    [
        ("old, as the new one comes up", 0.6), ("old, as the new one comes up", 1.6),
        ("new, once it serves", 0.6), ("old, told to end", 0.6), ("both, told to end", 0.4),
    ],
)  # fmt: skip
def test_each_request_is_answered(which: str, seconds: float, tmp_path: Path) -> None:
    async def test() -> None:
        async with Discovery() as discovery, Server("s-1") as one, Server("s-2") as two:
            document, _ = documents(one, two, discovery=discovery.address)
            async with program(document, tmp_path, env=here(tmp_path)) as old:
                got: list[int] = []
                ended = asyncio.Event()

                async def load() -> None:
                    while not ended.is_set():
                        got.append(await asks(old))  # raises where a connection ends without an answer

                loads = [asyncio.create_task(load()) for _ in range(LOADS)]
                await until(lambda: len(got) >= BEFORE)
                second = free_port()
                document["ops"] = f"127.0.0.1:{second}"
                (tmp_path / "beside").mkdir()
                stalls = []
                if which.startswith("old, as"):
                    stalls.append(asyncio.create_task(stall(old, seconds)))
                async with program(document, tmp_path / "beside", env=here(tmp_path)) as new:
                    await until(lambda: discovery.targets)
                    discovery.push(9, one, two, full=True)
                    while await call(second, "GET", "ready") != 200:
                        await asyncio.sleep(0.01)
                    if which.startswith("new"):
                        stalls.append(asyncio.create_task(stall(new, seconds)))
                    old.process.send_signal(signal.SIGTERM)
                    if which.endswith("told to end"):
                        stalls.append(asyncio.create_task(stall(old, seconds)))
                    if which.startswith("both"):
                        stalls.append(asyncio.create_task(stall(new, seconds)))
                    assert await old.process.wait() == 0
                    answered = len(got)
                    await until(lambda: len(got) >= answered + AFTER or any(one.done() for one in loads))
                    ended.set()
                    await asyncio.gather(*loads, *stalls)
                    assert set(got) == {200}
                    assert new.process.returncode is None

    run(test())
