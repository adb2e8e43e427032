"""A watch that falls silent only after its 13th second, on the real clock: what it misses counts as told 6 s
after that."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from rig import TIMEOUT_S, Server, configuration, run_for, status, until
from test_processes_together import Registry, ask, nodes

HEARD_FOR = 13.5  # s
COUNTS_AS_TOLD = 6.0  # s after the silence began
REQUESTS = 10  # at each node


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_drain_missed_by_a_watch_silent_after_13_s_is_known_within_6_s(mode: str, tmp_path: Path) -> None:
    """A beat had come each second. Four processes, and no connection says that anything is wrong."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        async with (
            AsyncExitStack() as stack,
            Registry() as registry,
            Server("s-1") as drained,
            Server("s-2") as other,
        ):
            document = configuration(drained, other, discovery=registry.address)
            document["settings"]["MembershipMode"] = mode
            document["settings"]["Contract"]["AskWithin"] = 10**9  # the first call comes soon
            registry.servers = [drained, other]
            fleet = await nodes(stack, document, tmp_path)
            await until(lambda: len(registry.told) == len(fleet))
            await asyncio.sleep(HEARD_FOR)
            assert registry.calls == len(fleet)  # no watch was given up meanwhile
            silent_since = loop.time()
            registry.silence_open_watches()
            drained.state = "Terminating"
            registry.change(drained, other)
            await asyncio.sleep(silent_since + COUNTS_AS_TOLD - loop.time())
            seen = len(drained.seen)
            for node in fleet:
                for _ in range(REQUESTS):
                    assert status(await ask(node)) == 200
            assert len(drained.seen) == seen
            assert registry.told.count(registry.version) == len(fleet)

    run_for(test(), HEARD_FOR + COUNTS_AS_TOLD + TIMEOUT_S)
