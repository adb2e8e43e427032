"""One node brings in the ledgers of nodes that are gone: several processes, faults, and a billing side."""

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
    found = [one for path in sorted(fleet.histories.glob("*.jsonl")) for one in history.read(path)]
    some = [one for one in found if not kinds or one["event"] in kinds]
    return sorted(some, key=lambda one: int(one["t_ns"]))


class Billing:
    """The fake, a process of its own."""

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

    def has(self, ledgers: Path, node: str) -> bool:
        """Every line of that node's ledger, once and in order, and nothing else."""
        path = self.folder / f"{node}-00000001.ledger"
        mine = (ledgers / f"{node}-00000001.ledger").read_bytes()
        whole = mine[: mine.rfind(b"\n") + 1]
        return path.exists() and bool(whole) and path.read_bytes() == whole


def played(folder: Path, count: int, act: Callable[[Fleet, Traffic, Billing, Path], Awaitable[None]]) -> None:
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
                traffic.on(*range(count))
                try:
                    await act(fleet, traffic, billing, ledgers)
                finally:
                    await traffic.off()
                assert owners.check(events(fleet), fleet.run_record()) == []

    run_for(test(), 180.0)


def owner(fleet: Fleet) -> int:
    """Who had the task last; -1: nobody so far."""
    had = [one["node"] for one in events(fleet, "own") if one["task"] == "collect"]
    return int(had[-1]) if had else -1


def test_the_ledgers_of_dead_nodes_come_in_once_across_owners_and_a_billing_side_that_is_killed(
    tmp_path: Path,
) -> None:
    async def act(fleet: Fleet, traffic: Traffic, billing: Billing, ledgers: Path) -> None:
        await fleet.wait_until(lambda: owner(fleet) >= 0)
        first = owner(fleet)
        gone = [number for number in range(5) if number != first][:1]
        await fleet.kill(*gone)
        await fleet.wait_until(lambda: billing.has(ledgers, f"n{gone[0]}"))
        await billing.kill()
        await fleet.kill(first)  # whoever brought it in is gone as well
        await billing.start()
        await fleet.wait_until(lambda: billing.has(ledgers, f"n{first}"))
        assert owner(fleet) not in (first, *gone)
        await fleet.start(first, *gone)
        living = [path.name for path in billing.folder.glob("*.ledger")]
        assert sorted(living) == sorted(f"n{number}-00000001.ledger" for number in (first, *gone))
        acts = events(fleet, "act")
        assert [one["token"] for one in acts] == sorted(one["token"] for one in acts)

    played(tmp_path, 5, act)


def test_an_owner_that_stood_still_between_check_and_act_changes_nothing(tmp_path: Path) -> None:
    async def act(fleet: Fleet, traffic: Traffic, billing: Billing, ledgers: Path) -> None:
        await fleet.wait_until(lambda: owner(fleet) >= 0)
        first = owner(fleet)
        victims = [number for number in range(5) if number != first]
        fleet.stop(first)
        await fleet.wait_until(lambda: owner(fleet) != first)
        second = owner(fleet)
        victim = next(number for number in victims if number != second)
        await fleet.kill(victim)
        await fleet.wait_until(lambda: billing.has(ledgers, f"n{victim}"))
        fleet.resume(first)
        await fleet.wait_joined_except(victim)
        assert billing.has(ledgers, f"n{victim}")

    played(tmp_path, 5, act)
