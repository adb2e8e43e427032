"""A watch that falls silent only after 13 s, on the real clock: nodes must know what it misses within 6 s."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
from rig import TIMEOUT_S, Server, configuration, run_for, status, until
from test_processes_together import Registry, ask, nodes

HEARTBEATS_S = 13.5
KNOWN_AFTER_S = 6.0  # from the start of the silence
REQUESTS_PER_NODE = 10


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_drain_missed_by_a_watch_silent_after_13_s_is_known_within_6_s(mode: str, tmp_path: Path) -> None:
    """Heartbeats came each second before. Four processes, and no connection reports an error."""

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
            await asyncio.sleep(HEARTBEATS_S)
            assert registry.calls == len(fleet)  # no watch has been reopened
            silent_since = loop.time()
            registry.silence_open_watches()
            drained.state = "Terminating"
            registry.change(drained, other)
            await asyncio.sleep(silent_since + KNOWN_AFTER_S - loop.time())
            seen = len(drained.seen)
            for node in fleet:
                for _ in range(REQUESTS_PER_NODE):
                    assert status(await ask(node)) == 200
            assert len(drained.seen) == seen
            assert registry.told.count(registry.version) == len(fleet)

    run_for(test(), HEARTBEATS_S + KNOWN_AFTER_S + TIMEOUT_S)
