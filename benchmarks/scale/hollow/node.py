"""One hollow node: the shipped `Tier` as the daemon makes it, and outcomes and demand in a request path's
place."""

from __future__ import annotations

from dataclasses import replace
from functools import cache
from pathlib import Path
from random import Random

from benchmarks.scale.hollow.plan import (
    BUSY_EVERY,
    FAILING,
    NS,
    PER_S,
    SERVERS,
    Address,
    Plan,
    zone_of,
)
from benchmarks.scale.hollow.record import RecordedHistory, Records
from benchmarks.scale.hollow.steps import Steps, TimedTier
from benchmarks.scale.hollow.system import HollowSystem, Links, Meter
from driftstair import config
from driftstair.rehearsal import load, platform
from driftstair.settings import Config
from driftstair.tier import member_list, wire
from driftstair.tier.membership.members import Claim, State, Traits
from driftstair.tier.ownership.permits import Rules
from driftstair.tier.peer_config import PeerConfig
from driftstair.tier.service import generation_at
from driftstair.tier.shared.budget import Spec

KEY = b"the key of a cluster of hollow nodes"
BUDGET = "retries"
BURST = 5 * NS  # of the shared budget
OUTCOMES = 2  # of each server in a feed: as many tries as evidence takes
ANSWERED_IN = 20_000_000  # ns
WANTED = 10.0  # times its equal part of the budget that a busy node wants
FEEDS_PER_S = 2
"""Turns a second in which outcomes and demand are fed."""


@cache
def base_config() -> Config:
    """What the platform tells any of the nodes."""
    scenario = load.load("calm", {"seed": 1})
    known = {"version": 1, "full": True, "servers": []}
    return config.parse_document(
        {}, platform.document(scenario, "n0", ("127.0.0.1", 0), ("127.0.0.1", 9), 1, known)
    )


def write_member_list(path: Path, plan: Plan, own: int) -> None:
    """As an earlier process of the node would have left it: all others alive in their present generation."""
    generation, supports = generation_at(plan.wall_ns), wire.SUPPORTS_MEMBERSHIP | wire.SUPPORTS_SHARED
    claims = tuple(
        Claim(number, generation, 0, State.ALIVE, number, Traits(zone_of(number), wire.VERSION, supports))
        for number in range(plan.count) if number != own
    )  # fmt: skip
    member_list.write(path, claims)


class HollowNode:
    """Process after process of one node's number."""

    def __init__(
        self, number: int, plan: Plan, folder: Path, links: Links, records: Records, steps: Steps
    ) -> None:
        self.number = number
        self.tier: TimedTier | None = None
        self.spent = 0  # tokens of the shared budget
        self._plan = plan
        self._folder = folder
        self._links = links
        self._records = records
        self._steps = steps
        self._generation = 0
        self._system: HollowSystem | None = None
        self._past = Meter()  # of earlier processes
        self._random = Random(plan.seed << 16 | number)

    def start(self, addresses: list[Address], held: bool = False) -> None:
        """`held`: its clock stands until `release`."""
        plan = self._plan
        system = HollowSystem(
            self.number, self._generation, plan.dilation, plan.wall_ns, self._links, held
        )  # fmt: skip
        system.writes = plan.on_disk
        peers = tuple((one.host, one.port) for one in addresses)  # each node has a list of its own
        told = PeerConfig(peers[self.number], peers, self.number, zone_of(self.number))
        seed = plan.seed << 32 | self._generation << 16 | self.number
        self._system = system
        self.tier = TimedTier(
            replace(base_config(), name=f"n{self.number}", seed=seed), told, plan.period, KEY,
            RecordedHistory(self._records, plan.notes(self.number), plan.dilation), self._folder, system,
            (Spec(BUDGET, PER_S * plan.count, BURST),) if plan.budgets else (), plan.judge, None,
            Rules() if plan.permits else None,
        )  # fmt: skip
        self.tier.steps = self._steps
        self.tier.start()
        self._generation += 1

    def release(self) -> None:
        """Its clock runs."""
        if self._system is not None:
            self._system.release()

    def member_list(self) -> Path:
        return self._folder / f"n{self.number}.members"

    def runs(self) -> bool:
        return self.tier is not None

    async def kill(self) -> None:
        """Nobody is told; the list of members is on the disk, as of the last write before."""
        assert self._system is not None
        self._system.unplug()
        await self._end()
        (self._folder / f"n{self.number}.lent").unlink(missing_ok=True)  # known at a planned end alone

    def leave(self) -> None:
        assert self.tier is not None
        self.tier.leave()

    async def close(self) -> None:
        """The end of a planned end."""
        await self._end()

    async def _end(self) -> None:
        tier, system = self.tier, self._system
        assert tier is not None and system is not None
        self.tier = None
        system.writes = True
        await tier.close()
        self._past, self._system = self.meter(), None

    def meter_with(self, latest: Meter) -> Meter:
        past = self._past
        return Meter(
            past.bytes_in + latest.bytes_in, past.bytes_out + latest.bytes_out,
            past.datagrams_in + latest.datagrams_in, past.datagrams_out + latest.datagrams_out,
            past.unsent + latest.unsent,
        )  # fmt: skip

    def meter(self) -> Meter:
        """Of all its processes."""
        return self._past if self._system is None else self.meter_with(self._system.meter)

    def feed(self) -> None:
        """Outcomes and demand of one turn, as a request path would note them."""
        if not self._plan.feed or self.tier is None or self.tier.sharing is None or self._system is None:
            return
        now, core = self._system.monotonic_ns(), self.tier.sharing.core
        if core.outlier_detector is not None:
            judge = core.outlier_detector
            judge.ready = set(range(SERVERS))
            for server in {FAILING, self._random.randrange(SERVERS)} - judge.hidden():
                ok = not (self._plan.failing and server == FAILING)
                for _ in range(OUTCOMES):
                    judge.observations.note(now, server, ok, True, ANSWERED_IN)
        if self.number % BUSY_EVERY == 0 and BUDGET in core.budgets:
            tokens = self.tier.fleet_tokens(BUDGET)
            for _ in range(int(WANTED * PER_S / FEEDS_PER_S)):
                if tokens.has(now):
                    tokens.take(now)
                    self.spent += 1
