"""The collector in several processes with faults: one node exports the ledgers of nodes that are gone."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from fleet import ROOT, Fleet
from rig import Server, run_for
from traffic import Traffic

from driftstair.rehearsal.tier import owners
from driftstair.tier import history


def events(fleet: Fleet, *kinds: str) -> list[dict[str, Any]]:
    """The events of these kinds, or all without any, in the order of time."""
    recorded = [event for path in sorted(fleet.histories.glob("*.jsonl")) for event in history.read(path)]
    selected = [event for event in recorded if not kinds or event["event"] in kinds]
    return sorted(selected, key=lambda event: int(event["t_ns"]))


class Billing:
    """The fake billing side, in its own process."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.port = 0

    async def __aenter__(self) -> Billing:
        self.folder.mkdir(exist_ok=True)
        await self.start()
        return self

    async def start(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "driftstair.rehearsal.fakes.billing", str(self.folder), str(self.port),
            "2000", cwd=ROOT, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert self._process.stdout is not None
        self.port = int(await self._process.stdout.readline())

    async def kill(self) -> None:
        self._process.kill()
        await self._process.wait()

    async def __aexit__(self, *_: object) -> None:
        await self.kill()

    def has_ledger(self, ledgers: Path, node: str) -> bool:
        """Whether it has every line of that node's ledger, once and in order, and nothing else."""
        path = self.folder / f"{node}-00000001.ledger"
        ledger = (ledgers / f"{node}-00000001.ledger").read_bytes()
        complete_lines = ledger[: ledger.rfind(b"\n") + 1]
        return path.exists() and bool(complete_lines) and path.read_bytes() == complete_lines


def run_fleet(
    folder: Path, count: int, scenario: Callable[[Fleet, Traffic, Billing, Path], Awaitable[None]]
) -> None:
    """Runs a scenario with traffic to all nodes, and checks the ownership of tasks."""

    async def test() -> None:
        ledgers = folder / "ledgers"
        ledgers.mkdir()
        async with Billing(folder / "books") as billing, Server("s0") as server:
            table = (
                f'[tier.collect]\nfolder = "{ledgers}"\nto = "127.0.0.1:{billing.port}"\n'
                f'[ledger]\nfolder = "{ledgers}"\ncommit = "50ms"\n'
            )
            async with Fleet(folder, count, table) as fleet:
                fleet.servers.append(server)
                await fleet.start()
                await fleet.wait_joined()
                traffic = Traffic(fleet)
                traffic.start_clients(*range(count))
                try:
                    await scenario(fleet, traffic, billing, ledgers)
                finally:
                    await traffic.stop_clients()
                assert owners.check(events(fleet), fleet.run_record()) == []

    run_for(test(), 180.0)


def owner(fleet: Fleet) -> int:
    """The latest owner of the collector's task, -1 if there has been none."""
    owners_so_far = [event["node"] for event in events(fleet, "own") if event["task"] == "collect"]
    return int(owners_so_far[-1]) if owners_so_far else -1


def test_ledgers_of_dead_nodes_are_exported_once_despite_a_new_owner_and_a_restart_of_the_billing_side(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: Fleet, traffic: Traffic, billing: Billing, ledgers: Path) -> None:
        await fleet.wait_until(lambda: owner(fleet) >= 0)
        first = owner(fleet)
        killed = [number for number in range(5) if number != first][:1]
        await fleet.kill(*killed)
        await fleet.wait_until(lambda: billing.has_ledger(ledgers, f"n{killed[0]}"))
        await billing.kill()
        await fleet.kill(first)  # the node that exported it
        await billing.start()
        await fleet.wait_until(lambda: billing.has_ledger(ledgers, f"n{first}"))
        assert owner(fleet) not in (first, *killed)
        await fleet.start(first, *killed)
        exported = [path.name for path in billing.folder.glob("*.ledger")]
        assert sorted(exported) == sorted(f"n{number}-00000001.ledger" for number in (first, *killed))
        exports = events(fleet, "act")
        assert [event["token"] for event in exports] == sorted(event["token"] for event in exports)

    run_fleet(tmp_path, 5, scenario)


def test_an_owner_that_stalls_between_check_and_export_changes_nothing(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet, traffic: Traffic, billing: Billing, ledgers: Path) -> None:
        await fleet.wait_until(lambda: owner(fleet) >= 0)
        first = owner(fleet)
        candidates = [number for number in range(5) if number != first]
        fleet.stop(first)
        await fleet.wait_until(lambda: owner(fleet) != first)
        second = owner(fleet)
        victim = next(number for number in candidates if number != second)
        await fleet.kill(victim)
        await fleet.wait_until(lambda: billing.has_ledger(ledgers, f"n{victim}"))
        fleet.resume(first)
        await fleet.wait_joined_except(victim)
        assert billing.has_ledger(ledgers, f"n{victim}")

    run_fleet(tmp_path, 5, scenario)
