"""One hollow node: the real `Tier` as the daemon creates it, with simulated outcomes and demand instead of a
request path."""

from __future__ import annotations

from dataclasses import replace
from functools import cache
from pathlib import Path
from random import Random

from benchmarks.scale.hollow.plan import (
    BUDGET_TOKENS_PER_S,
    BUSY_NODE_STRIDE,
    FAILING_SERVER,
    SECOND_NS,
    SERVER_COUNT,
    Address,
    Plan,
    zone_of,
)
from benchmarks.scale.hollow.record import RecordingHistory, Records
from benchmarks.scale.hollow.steps import StepTimes, TimedTier
from benchmarks.scale.hollow.system import HollowSystem, Meter, Network
from driftstair import config
from driftstair.rehearsal import load, platform
from driftstair.settings import Config
from driftstair.tier import member_list, wire
from driftstair.tier.membership.members import Claim, State, Traits
from driftstair.tier.ownership.permits import Rules
from driftstair.tier.peer_config import PeerConfig
from driftstair.tier.service import generation_at
from driftstair.tier.shared.budget import BudgetSpec

CLUSTER_KEY = b"the key of a cluster of hollow nodes"
BUDGET_NAME = "retries"
BUDGET_BURST_NS = 5 * SECOND_NS  # of the shared budget
OUTCOMES_PER_FEED = 2  # of each server in one feed: as many attempts as evidence requires
ANSWER_TIME_NS = 20_000_000
BUSY_DEMAND_FACTOR = 10.0  # demand of a busy node, as a multiple of its equal part of the budget
FEEDS_PER_S = 2
"""How often in a second outcomes and demand are fed to each node."""


@cache
def base_config() -> Config:
    """Returns the platform's configuration, from which those of all nodes are derived."""
    scenario = load.load("calm", {"seed": 1})
    server_list = {"version": 1, "full": True, "servers": []}
    return config.parse_document(
        {}, platform.document(scenario, "n0", ("127.0.0.1", 0), ("127.0.0.1", 9), 1, server_list)
    )


def write_member_list(path: Path, plan: Plan, own: int) -> None:
    """Writes a member list as an earlier process of the node would have left it, with all other nodes alive
    in their current generation."""
    generation, supports = generation_at(plan.wall_ns), wire.SUPPORTS_MEMBERSHIP | wire.SUPPORTS_SHARED
    claims = tuple(
        Claim(number, generation, 0, State.ALIVE, number, Traits(zone_of(number), wire.VERSION, supports))
        for number in range(plan.count) if number != own
    )  # fmt: skip
    member_list.write(path, claims)


class HollowNode:
    """The successive processes of one node."""

    def __init__(
        self, number: int, plan: Plan, folder: Path, network: Network, records: Records, steps: StepTimes
    ) -> None:
        self.number = number
        self.tier: TimedTier | None = None
        self.tokens_spent = 0  # from the shared budget
        self._plan = plan
        self._folder = folder
        self._network = network
        self._records = records
        self._steps = steps
        self._generation = 0
        self._system: HollowSystem | None = None
        self._past_meter = Meter()  # traffic of earlier processes
        self._random = Random(plan.seed << 16 | number)

    def start(self, addresses: list[Address], clock_stopped: bool = False) -> None:
        """Starts a process of the node. With `clock_stopped` its clock stands still until `start_clock`."""
        plan = self._plan
        system = HollowSystem(
            self.number, self._generation, plan.dilation, plan.wall_ns, self._network, clock_stopped
        )  # fmt: skip
        system.writes_enabled = plan.on_disk
        # Each node has a separate tuple, as nodes in separate processes have.
        peers = tuple((address.host, address.port) for address in addresses)
        peer_config = PeerConfig(peers[self.number], peers, self.number, zone_of(self.number))
        seed = plan.seed << 32 | self._generation << 16 | self.number
        self._system = system
        self.tier = TimedTier(
            replace(base_config(), name=f"n{self.number}", seed=seed), peer_config, plan.period, CLUSTER_KEY,
            RecordingHistory(self._records, plan.is_recorded(self.number), plan.dilation), self._folder,
            system,
            (BudgetSpec(BUDGET_NAME, BUDGET_TOKENS_PER_S * plan.count, BUDGET_BURST_NS),)
            if plan.budgets
            else (),
            plan.judge, None,
            Rules() if plan.permits else None,
        )  # fmt: skip
        self.tier.steps = self._steps
        self.tier.read_member_list()
        self.tier.start()
        self._generation += 1

    def start_clock(self) -> None:
        """Starts the clock."""
        if self._system is not None:
            self._system.start_clock()

    def member_list_path(self) -> Path:
        """Returns the path of the persisted member list."""
        return self._folder / f"n{self.number}.members"

    def is_running(self) -> bool:
        """Whether a process of the node runs."""
        return self.tier is not None

    async def kill(self) -> None:
        """Simulates a crash: other nodes are not informed, and the persisted member list stays as last
        written."""
        assert self._system is not None
        self._system.close_socket()
        await self._stop_process()
        (self._folder / f"n{self.number}.lent").unlink(missing_ok=True)  # written only at a planned end

    def leave(self) -> None:
        """Begins a planned end by announcing it."""
        assert self.tier is not None
        self.tier.leave()

    async def close(self) -> None:
        """Completes a planned end."""
        await self._stop_process()

    async def _stop_process(self) -> None:
        tier, system = self.tier, self._system
        assert tier is not None and system is not None
        self.tier = None
        system.writes_enabled = True
        await tier.close()
        self._past_meter, self._system = self.meter(), None

    def meter_with(self, latest: Meter) -> Meter:
        """Returns the traffic of all earlier processes plus that of the latest one."""
        past_meter = self._past_meter
        return Meter(
            past_meter.bytes_in + latest.bytes_in, past_meter.bytes_out + latest.bytes_out,
            past_meter.datagrams_in + latest.datagrams_in, past_meter.datagrams_out + latest.datagrams_out,
            past_meter.unsent + latest.unsent,
        )  # fmt: skip

    def meter(self) -> Meter:
        """Returns the traffic of all processes of the node."""
        return self._past_meter if self._system is None else self.meter_with(self._system.meter)

    def feed(self) -> None:
        """Reports outcomes and takes tokens as a request path would between two feeds."""
        if not self._plan.feed or self.tier is None or self.tier.sharing is None or self._system is None:
            return
        now_ns, core = self._system.monotonic_ns(), self.tier.sharing.core
        if core.outlier_detector is not None:
            detector = core.outlier_detector
            detector.ready_servers = set(range(SERVER_COUNT))
            for server in {FAILING_SERVER, self._random.randrange(SERVER_COUNT)} - detector.hidden_servers():
                succeeded = not (self._plan.failing and server == FAILING_SERVER)
                for _ in range(OUTCOMES_PER_FEED):
                    detector.observations.record_outcome(now_ns, server, succeeded, True, ANSWER_TIME_NS)
        if self.number % BUSY_NODE_STRIDE == 0 and BUDGET_NAME in core.budgets:
            tokens = self.tier.fleet_tokens(BUDGET_NAME)
            for _ in range(int(BUSY_DEMAND_FACTOR * BUDGET_TOKENS_PER_S / FEEDS_PER_S)):
                if tokens.has(now_ns):
                    tokens.take(now_ns)
                    self.tokens_spent += 1
