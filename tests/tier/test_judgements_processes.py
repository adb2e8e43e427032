"""Judgements on servers on several processes of the program, with faults between them."""

from __future__ import annotations

import asyncio
import json
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from fleet import ROOT, Fleet
from rig import Server, answer, run_for, sends, serves
from traffic import Traffic

from driftstair.rehearsal.tier import owners
from driftstair.rehearsal.tier.judgements import HeldBackServer, held_back_servers
from driftstair.tier import history

SERVERS = [f"s{number}" for number in range(6)]
BAD = "s4"
LIAR = "from driftstair.rehearsal.tier.liar import main; import sys; sys.exit(main())"

Act = Callable[[Fleet, Traffic, dict[str, Server]], Awaitable[None]]


def events(fleet: Fleet) -> list[dict[str, Any]]:
    return [one for path in sorted(fleet.histories.glob("*.jsonl")) for one in history.read(path)]


def judged(fleet: Fleet) -> list[HeldBackServer]:
    return held_back_servers(events(fleet), SERVERS)


def holding(fleet: Fleet, *nodes: int) -> Callable[[], bool]:
    """Whether all of these hold the bad server back now."""

    def so() -> bool:
        now = {one.node for one in judged(fleet) if one.server == BAD and one.end >= 1 << 62}
        return set(nodes) <= now

    return so


def played(folder: Path, count: int, act: Act, liars: tuple[int, ...] = ()) -> None:
    async def test() -> None:
        async with AsyncExitStack() as stack, Fleet(folder, count, "judge = true\n") as fleet:
            servers = {name: await stack.enter_async_context(Server(name)) for name in SERVERS}
            fleet.servers = list(servers.values())
            fleet.programs |= dict.fromkeys(liars, LIAR)
            await fleet.start(*range(1, count))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                fleet.operator_address = f"127.0.0.1:{probe.getsockname()[1]}"
            await fleet.start(0, env={"BALANCER_OPS": fleet.operator_address})
            await fleet.wait_joined()
            traffic = Traffic(fleet)
            traffic.on(*range(count))
            try:
                await act(fleet, traffic, servers)
            finally:
                await traffic.off()
            assert {one.server for one in judged(fleet)} <= {BAD}
            assert owners.check(events(fleet), fleet.run_record()) == []

    run_for(test(), 180.0)


def state(fleet: Fleet) -> dict[str, Any]:
    done = subprocess.run(
        [sys.executable, "-m", "driftstair", "tier", "state", fleet.operator_address, "--json"], cwd=ROOT,
        capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    found: dict[str, Any] = json.loads(done.stdout)
    return found


def test_a_failing_server_is_held_back_by_all_that_run_and_back_once_it_is_sound(tmp_path: Path) -> None:
    async def act(fleet: Fleet, traffic: Traffic, servers: dict[str, Server]) -> None:
        servers[BAD].script = sends(answer(500))
        await fleet.wait_until(holding(fleet, 0, 1, 2, 3, 4))
        found = await asyncio.to_thread(state, fleet)
        assert [one["server"] for one in found["held_back"]] == [BAD]
        assert found["state"]["0"]["nodes"] == 5
        assert found["council"] == [0, 1, 2, 3, 4]
        fleet.stop(2)
        await fleet.kill(3)
        await fleet.start(3)
        await fleet.wait_until(holding(fleet, 3))  # it has not seen much of it itself
        servers[BAD].script = serves
        fleet.resume(2)
        await fleet.wait_until(lambda: all(one.end < 1 << 62 for one in judged(fleet)))

    played(tmp_path, 5, act)


def probers(fleet: Fleet) -> list[int]:
    """Who has had the one task of trying the bad server, in the order of time."""
    found = owners.leases(events(fleet))
    return [node for some in found.values() for _, _, _, node in some]


def test_one_node_tries_a_server_for_all_and_another_does_once_that_one_is_gone(tmp_path: Path) -> None:
    async def act(fleet: Fleet, traffic: Traffic, servers: dict[str, Server]) -> None:
        servers[BAD].script = sends(answer(500))
        await fleet.wait_until(holding(fleet, 0, 1, 2, 3, 4))
        await fleet.wait_until(lambda: probers(fleet))
        (first,) = probers(fleet)
        found = await asyncio.to_thread(state, fleet)
        (task,) = found["tasks"].values()
        assert task["owner"] in (first, None)  # a voter that has not heard of it yet
        await fleet.kill(first)
        await fleet.wait_until(lambda: len(set(probers(fleet))) > 1)
        second = probers(fleet)[-1]
        fleet.stop(second)
        await fleet.wait_until(lambda: probers(fleet)[-1] not in (first, second))
        fleet.resume(second)
        await fleet.start(first)
        servers[BAD].script = serves
        await fleet.wait_until(lambda: all(one.end < 1 << 62 for one in judged(fleet)))

    played(tmp_path, 5, act)


def test_two_that_say_that_every_server_fails_are_not_believed(tmp_path: Path) -> None:
    async def act(fleet: Fleet, traffic: Traffic, servers: dict[str, Server]) -> None:
        servers[BAD].script = sends(answer(500))
        await fleet.wait_until(holding(fleet, 0, 2, 3, 5, 6))
        # What a node tells of itself goes round as other facts do.
        while (await asyncio.to_thread(state, fleet))["state"]["0"]["finding_all_bad"] != [1, 4]:
            await asyncio.sleep(0.1)

    played(tmp_path, 7, act, liars=(1, 4))


def test_halves_judge_each_for_itself_and_what_one_knew_the_other_learns(tmp_path: Path) -> None:
    async def act(fleet: Fleet, traffic: Traffic, servers: dict[str, Server]) -> None:
        one, other = (0, 1, 2), (3, 4, 5, 6)
        pairs = [pair for pair in fleet.all_pairs() if (pair[0] in one) != (pair[1] in one)]
        heal = fleet.cut(*pairs, blame=tuple(range(7)))
        await fleet.wait_for_state(other, "dead", by=one)
        servers[BAD].script = sends(answer(500))
        await fleet.wait_until(holding(fleet, *range(7)))
        heal()
        await fleet.wait_joined()
        servers[BAD].script = serves
        await fleet.wait_until(lambda: all(one.end < 1 << 62 for one in judged(fleet)))

    played(tmp_path, 7, act)
