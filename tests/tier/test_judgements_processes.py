"""Outlier detection with several processes of the program, and faults of processes and links."""

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

SERVER_NAMES = [f"s{number}" for number in range(6)]
FAILING_SERVER = "s4"
LYING_PROGRAM = "from driftstair.rehearsal.tier.liar import main; import sys; sys.exit(main())"

Scenario = Callable[[Fleet, Traffic, dict[str, Server]], Awaitable[None]]


def events(fleet: Fleet) -> list[dict[str, Any]]:
    return [event for path in sorted(fleet.histories.glob("*.jsonl")) for event in history.read(path)]


def hold_back_spans(fleet: Fleet) -> list[HeldBackServer]:
    """Returns the spans in which nodes held back servers."""
    return held_back_servers(events(fleet), SERVER_NAMES)


def all_hold_back(fleet: Fleet, *nodes: int) -> Callable[[], bool]:
    """Returns a condition: all of these nodes hold back the failing server now."""

    def condition() -> bool:
        holding_nodes = {
            span.node
            for span in hold_back_spans(fleet)
            if span.server == FAILING_SERVER and span.end >= 1 << 62
        }
        return set(nodes) <= holding_nodes

    return condition


def run_fleet(folder: Path, count: int, scenario: Scenario, lying_nodes: tuple[int, ...] = ()) -> None:
    """Runs a scenario under load, and checks that no other server is held back and no task has two owners."""

    async def test() -> None:
        async with AsyncExitStack() as stack, Fleet(folder, count, "judge = true\n") as fleet:
            servers = {name: await stack.enter_async_context(Server(name)) for name in SERVER_NAMES}
            fleet.servers = list(servers.values())
            fleet.programs |= dict.fromkeys(lying_nodes, LYING_PROGRAM)
            await fleet.start(*range(1, count))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                fleet.operator_address = f"127.0.0.1:{probe.getsockname()[1]}"
            await fleet.start(0, env={"BALANCER_OPS": fleet.operator_address})
            await fleet.wait_joined()
            traffic = Traffic(fleet)
            traffic.start_clients(*range(count))
            try:
                await scenario(fleet, traffic, servers)
            finally:
                await traffic.stop_clients()
            assert {span.server for span in hold_back_spans(fleet)} <= {FAILING_SERVER}
            assert owners.check(events(fleet), fleet.run_record()) == []

    run_for(test(), 180.0)


def read_state(fleet: Fleet) -> dict[str, Any]:
    completed = subprocess.run(
        [sys.executable, "-m", "driftstair", "tier", "state", fleet.operator_address, "--json"], cwd=ROOT,
        capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    report: dict[str, Any] = json.loads(completed.stdout)
    return report


def test_a_failing_server_is_held_back_by_all_running_nodes_until_it_has_recovered(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, traffic: Traffic, servers: dict[str, Server]) -> None:
        servers[FAILING_SERVER].script = sends(answer(500))
        await fleet.wait_until(all_hold_back(fleet, 0, 1, 2, 3, 4))
        report = await asyncio.to_thread(read_state, fleet)
        assert [entry["server"] for entry in report["held_back"]] == [FAILING_SERVER]
        assert report["state"]["0"]["nodes"] == 5
        assert report["council"] == [0, 1, 2, 3, 4]
        fleet.stop(2)
        await fleet.kill(3)
        await fleet.start(3)
        await fleet.wait_until(all_hold_back(fleet, 3))  # it has few observations of its own
        servers[FAILING_SERVER].script = serves
        fleet.resume(2)
        await fleet.wait_until(lambda: all(span.end < 1 << 62 for span in hold_back_spans(fleet)))

    run_fleet(tmp_path, 5, scenario)


def probers(fleet: Fleet) -> list[int]:
    """Returns the nodes that had the task of probing the failing server, in the order of time."""
    leases_by_task = owners.leases(events(fleet))
    return [node for leases in leases_by_task.values() for _, _, _, node in leases]


def test_one_node_probes_a_server_for_all_nodes_and_another_takes_over_after_its_loss(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, traffic: Traffic, servers: dict[str, Server]) -> None:
        servers[FAILING_SERVER].script = sends(answer(500))
        await fleet.wait_until(all_hold_back(fleet, 0, 1, 2, 3, 4))
        await fleet.wait_until(lambda: probers(fleet))
        (first,) = probers(fleet)
        report = await asyncio.to_thread(read_state, fleet)
        (task,) = report["tasks"].values()
        assert task["owner"] in (first, None)  # None: a voter that does not know of the lease yet
        await fleet.kill(first)
        await fleet.wait_until(lambda: len(set(probers(fleet))) > 1)
        second = probers(fleet)[-1]
        fleet.stop(second)
        await fleet.wait_until(lambda: probers(fleet)[-1] not in (first, second))
        fleet.resume(second)
        await fleet.start(first)
        servers[FAILING_SERVER].script = serves
        await fleet.wait_until(lambda: all(span.end < 1 << 62 for span in hold_back_spans(fleet)))

    run_fleet(tmp_path, 5, scenario)


def test_reports_of_two_nodes_that_find_every_server_failing_are_ignored(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, traffic: Traffic, servers: dict[str, Server]) -> None:
        servers[FAILING_SERVER].script = sends(answer(500))
        await fleet.wait_until(all_hold_back(fleet, 0, 2, 3, 5, 6))
        # The load of a node is replicated by gossip as other facts are.
        while (await asyncio.to_thread(read_state, fleet))["state"]["0"]["finding_all_bad"] != [1, 4]:
            await asyncio.sleep(0.1)

    run_fleet(tmp_path, 7, scenario, lying_nodes=(1, 4))


def test_partitioned_halves_hold_back_a_server_independently_and_agree_again_after_the_partition(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet, traffic: Traffic, servers: dict[str, Server]) -> None:
        first_half, second_half = (0, 1, 2), (3, 4, 5, 6)
        pairs = [pair for pair in fleet.all_pairs() if (pair[0] in first_half) != (pair[1] in first_half)]
        heal = fleet.cut(*pairs, blame=tuple(range(7)))
        await fleet.wait_for_state(second_half, "dead", by=first_half)
        servers[FAILING_SERVER].script = sends(answer(500))
        await fleet.wait_until(all_hold_back(fleet, *range(7)))
        heal()
        await fleet.wait_joined()
        servers[FAILING_SERVER].script = serves
        await fleet.wait_until(lambda: all(span.end < 1 << 62 for span in hold_back_spans(fleet)))

    run_fleet(tmp_path, 7, scenario)
