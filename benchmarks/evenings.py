"""Random evenings with several processes of the program: leases, permits, ledgers, judgements under faults.

    python -m benchmarks.evenings [N]            # so many (left out: 20), some side by side
    python -m benchmarks.evenings seed S         # one, with what befell it

Each draws from its seed 3 to 7 nodes and a dozen faults: kills, planned ends, starts, stalls of up to 8 s,
cuts of one and of both directions, loss; while clients ask, operators want permits, and a fake of the
billing side takes the ledgers of nodes that are gone. Judged by histories: owners, tokens, permits, old
lives; and whether the books hold each entry once, whoever brought it. None of the checks is on time: a busy
machine makes no finding, but a book that is not whole after a minute does. Seeds from 1000 on.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor, as_completed
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from random import Random
from typing import Any

sys.path[:0] = ["tests", "tests/tier"]

from fleet import Fleet  # noqa: E402
from rig import Server  # noqa: E402
from test_collecting_processes import Billing  # noqa: E402
from traffic import Traffic  # noqa: E402

from driftstair.rehearsal import ports  # noqa: E402
from driftstair.rehearsal.tier import checks, owners, permits  # noqa: E402
from driftstair.rehearsal.tier.links import Fault  # noqa: E402

FIRST_SEED = 1000
FAULTS = 12
TERM = 15  # s of a permit
STANDS = 1.5  # s at the end in which all run and nothing befalls them, before ledgers are asked for


class Evening:
    def __init__(self, seed: int, folder: Path) -> None:
        self.random = Random(seed)
        self.count = self.random.choice((3, 4, 5, 7))
        self.at_once = self.random.choice((1, 2))
        self.folder = folder
        self.lines: list[str] = []
        self.wanted = self.had = 0
        self._cuts: list[Any] = []
        self._stopped: set[int] = set()
        self._down: set[int] = set()

    def table(self, billing: int) -> str:
        ledgers, disks = self.folder / "ledgers", self.folder / "disks"
        ledgers.mkdir()
        disks.mkdir()
        keeps = f'folder = "{disks}"\n' if self.random.random() < 0.5 else ""
        return (
            f'{keeps}judge = true\n[tier.permits]\nat_once = {self.at_once}\nterm = "{TERM}s"\n'
            f'[tier.collect]\nfolder = "{ledgers}"\nto = "127.0.0.1:{billing}"\n'
            f'[ledger]\nfolder = "{ledgers}"\ncommit = "50ms"\n'
        )

    async def play(self) -> list[str]:
        """What was found, a line each."""
        async with (
            Billing(self.folder / "books") as billing, Server("s0") as server,
            Fleet(self.folder, self.count, self.table(billing.port), period="300ms") as fleet,
        ):  # fmt: skip
            self.fleet = fleet
            fleet.servers.append(server)
            self.desks = [ports.reserve_tcp() for _ in range(self.count)]
            await self.start(*range(self.count))
            await fleet.wait_joined()
            traffic = Traffic(fleet)
            traffic.on(*range(self.count))
            asking = asyncio.create_task(self.ask())
            try:
                for _ in range(FAULTS):
                    await self.fault()
                    await asyncio.sleep(self.random.uniform(0.1, 3.0))
                await self.mend()
                await asyncio.sleep(STANDS)
                asking.cancel()
                found = await self.books(billing)
            finally:
                asking.cancel()
                await traffic.off()
                for one in self.desks:
                    one.release()
            return found + self.judge()

    async def start(self, *numbers: int) -> None:
        for number in numbers:
            await self.fleet.start(number, env={"BALANCER_OPS": f"127.0.0.1:{self.desks[number].number}"})

    async def fault(self) -> None:
        random, fleet = self.random, self.fleet
        number, kind = random.randrange(self.count), random.randrange(8)
        up = number not in self._down and number not in self._stopped
        if kind == 0 and up:
            self.say(f"n{number} is killed")
            await fleet.kill(number)
            self._down.add(number)
        elif kind == 1 and up:
            self.say(f"n{number} ends")
            await fleet.terminate(number)
            self._down.add(number)
        elif kind in (2, 3) and self._down:
            number = random.choice(sorted(self._down))
            self.say(f"n{number} starts")
            await self.start(number)
            self._down.discard(number)
        elif kind == 4 and up:
            self.say(f"n{number} stands still")
            fleet.stop(number)
            self._stopped.add(number)
            asyncio.get_running_loop().call_later(random.uniform(0.5, 8.0), self.go_on, number)
        elif kind == 5:
            some = set(random.sample(range(self.count), random.randint(1, max(1, self.count // 2))))
            both = random.random() < 0.5
            pairs = [
                (one, other) for one, other in fleet.all_pairs()
                if ((one in some) != (other in some) if both else one in some)
            ]  # fmt: skip
            self.say(f"{sorted(some)} {'are cut off' if both else 'reach none'}")
            self.begin(pairs, Fault(cut=True))
        elif kind == 6:
            self.say("a third of all datagrams is lost")
            self.begin(fleet.all_pairs(), Fault(loss=0.33, duplicate=0.1, delay=(0.0, 0.2)))
        elif self._cuts:
            self.say("a fault of links ends")
            pairs, fault = self._cuts.pop(0)
            fleet.links.end(pairs, fault)

    def begin(self, pairs: list[tuple[int, int]], fault: Fault) -> None:
        self.fleet.links.begin(pairs, fault)
        self._cuts.append((pairs, fault))

    def go_on(self, number: int) -> None:
        if number in self._stopped:
            self._stopped.discard(number)
            self.fleet.resume(number)

    async def mend(self) -> None:
        self.say("all is mended")
        for pairs, fault in self._cuts:
            self.fleet.links.end(pairs, fault)
        for number in sorted(self._stopped):
            self.go_on(number)
        await self.start(*sorted(self._down))
        self._down.clear()
        await self.fleet.wait_joined()

    def say(self, line: str) -> None:
        self.lines.append(line)

    # Operators.

    async def ask(self) -> None:
        """One node after the other wants to be out, holds it for a while, gives it back."""
        random = Random(self.random.random())

        async def one(number: int) -> None:
            while True:
                await asyncio.sleep(random.uniform(0.1, 2.0))
                self.wanted += 1
                for _ in range(30):
                    if await asyncio.to_thread(self.order, number, "drain") == "held":
                        self.had += 1
                        await asyncio.sleep(random.uniform(0.1, 2.0))
                        break
                    await asyncio.sleep(0.2)
                if random.random() < 0.8:
                    await asyncio.to_thread(self.order, number, "none")

        await asyncio.gather(*(one(number) for number in range(self.count)))

    def order(self, number: int, what: str) -> str:
        connection = HTTPConnection("127.0.0.1", self.desks[number].number, timeout=1.0)
        try:
            connection.request("POST", f"/control/tier/permit/{what}", headers={"Connection": "close"})
            return str(json.loads(connection.getresponse().read()).get("state"))
        except (OSError, HTTPException, ValueError):
            return ""  # it is down, or stands still
        finally:
            connection.close()

    # What must hold.

    async def books(self, billing: Billing) -> list[str]:
        """A node that is gone has each entry of its ledger in the books, once and in order."""
        gone = self.random.randrange(self.count)
        ledgers = self.folder / "ledgers"
        await self.fleet.kill(gone)
        try:
            await self.fleet.wait_until(lambda: billing.has(ledgers, f"n{gone}"), "not in the books")
        except AssertionError:
            return [f"the ledger of n{gone} is not in the books, once and in order"]
        return [
            f"the books of {path.stem} are no begin of its ledger"
            for path in billing.folder.glob("*.ledger")
            if not (ledgers / path.name).read_bytes().startswith(path.read_bytes())
        ]

    def judge(self) -> list[str]:
        events, story = self.fleet.events(), self.fleet.story()
        found = owners.check(events, story) + owners.linear(events)
        found += permits.check(events, self.at_once, {})
        found += checks.old_generations(story)
        self.owned = sum(one["event"] == "own" for one in events)
        self.refused = sum(one["event"] == "refused" for one in events)
        self.crashes = [
            f"n{number}: {line}" for number, lines in self.fleet.log_lines.items() for line in lines
            if "Traceback" in line
        ]  # fmt: skip
        return [f"{one.rule}: node {one.node}: {one.evidence}" for one in found] + self.crashes


def evening(seed: int) -> tuple[int, list[str], list[str], tuple[int, int, int, int]]:
    async def play() -> tuple[int, list[str], list[str], tuple[int, int, int, int]]:
        with tempfile.TemporaryDirectory() as folder:
            one = Evening(seed, Path(folder))
            found = await one.play()
            return seed, found, one.lines, (one.owned, one.refused, one.wanted, one.had)

    return asyncio.run(play())


def main() -> None:
    words = sys.argv[1:]
    if words[:1] == ["seed"]:
        seed, found, lines, counts = evening(int(words[1]))
        print("\n".join([*lines, f"leases, refusals, wishes, permits: {counts}", *found]))
        return
    number = int(words[0]) if words else 20
    total, broken = [0, 0, 0, 0], 0
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        plays = {pool.submit(evening, seed): seed for seed in range(FIRST_SEED, FIRST_SEED + number)}
        for done, play in enumerate(as_completed(plays), 1):
            try:
                seed, found, _, counts = play.result()
            except Exception as problem:  # the harness's own: said, and counted as broken
                seed, counts = plays[play], (0, 0, 0, 0)
                found = [f"{type(problem).__name__}: {problem}"[:2000]]
            total = [one + other for one, other in zip(total, counts, strict=True)]
            broken += bool(found)
            for line in found:
                print(f"seed {seed}: {line}", flush=True)
            if done % 10 == 0 or done == number:
                owned, refused, wanted, had = total
                print(f"{done} evenings, {broken} with a finding: {owned} leases, {refused} refusals of an "
                      f"older token, {wanted} wishes to be out, {had} permits", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
