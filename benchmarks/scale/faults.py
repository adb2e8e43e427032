"""`faults`: faults in a cluster of hollow nodes, one after the other: how soon all know, at what cost."""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from dataclasses import dataclass, field
from random import Random
from typing import Any

from benchmarks.scale.hollow.cluster import Cluster, OutOfMemory
from benchmarks.scale.hollow.plan import ZONE_COUNT, region_of, zone_of
from benchmarks.scale.hollow.record import MemberObservation
from benchmarks.scale.rows import Figure, Row, Status
from benchmarks.scale.steady import (
    SETTLE_S,
    Size,
    add_cluster_options,
    conditions,
    lateness_note,
    make_plan,
    sizes,
)

DAY_S = 86_400.0
RESTARTS_PER_DAY, RESTART_RATE_NODES, SPEED_UP = 4_700, 3_100, 100
"""Planned restarts and replacements on an ordinary day, the number of nodes to which that figure applies, and
the factor by which restarts happen faster here."""
KILLED_SHARE = 0.03  # share of the nodes that fail at once
FAULTS = ("part", "zone", "rolling", "regions")
AGREEMENT_TIMEOUT_S = 120.0
WAIT_AFTER_S = 2.0  # observed after all nodes agree, to record late changes
CUT_DURATION_S = 30.0  # long enough for a region to consider all others dead, after which nothing changes
ROLLING_DURATION_S = 30.0
DEFAULT_SIZES = "400@8"


@dataclass(slots=True)
class FaultObservations:
    """What the nodes observed during one fault. A pair consists of an observer and a member that the observer
    should detect as dead."""

    # From the beginning of the fault to the first detection by each pair, sorted.
    detection_times_s: list[float] = field(default_factory=list)
    pair_count: int = 0
    false_deaths: int = 0  # announced deaths of members that should not be dead
    falsely_dead: set[int] = field(default_factory=set)  # the members of these false deaths
    deaths_expected: int = 0  # observed deaths of members that may be considered dead

    def detection_time_s(self, fraction: float) -> float | None:
        """Returns the time by which the given fraction of all pairs had detected the death, or None if they
        never had."""
        index = max(0, round(fraction * self.pair_count) - 1)
        return round(self.detection_times_s[index], 2) if index < len(self.detection_times_s) else None

    def figures(self) -> dict[str, Figure]:
        """Returns the figures of a row."""
        return {
            "known_median_s": self.detection_time_s(0.5), "known_99_s": self.detection_time_s(0.99),
            "known_worst_s": self.detection_time_s(1.0),
            "pairs": self.pair_count, "pairs_missing": self.pair_count - len(self.detection_times_s),
            "false_deaths": self.false_deaths, "nodes_falsely_dead": len(self.falsely_dead),
        }  # fmt: skip


def evaluate(
    rows: Iterable[MemberObservation], began_ns: int, pair_count: int, is_gone: Callable[[int, int], bool],
    may_be_dead: Callable[[int], bool] = lambda member: False,
) -> FaultObservations:  # fmt: skip
    """Evaluates observations. `is_gone(observer, member)` says whether the observer should detect the member
    as dead. `may_be_dead(member)` says whether both views are correct, as the member is restarted."""
    result, first_detections = FaultObservations(pair_count=pair_count), dict[tuple[int, int], float]()
    for observation in rows:
        if observation.state != "dead":
            continue
        if is_gone(observation.observer, observation.member):
            first_detections.setdefault(
                (observation.observer, observation.member), (observation.at_ns - began_ns) / 1e9
            )
        elif may_be_dead(observation.member):
            result.deaths_expected += 1
        elif observation.is_announced:
            result.false_deaths += 1
            result.falsely_dead.add(observation.member)
    result.detection_times_s = sorted(first_detections.values())
    return result


class FaultRunner:
    """Runs faults on one cluster. After each fault all nodes of the cluster run again."""

    def __init__(self, cluster: Cluster, random: Random) -> None:
        self._cluster = cluster
        self._random = random

    async def _row(self, fault: str, measured_figures: dict[str, Figure], began_ns: int) -> Row:
        totals = await self._cluster.sample()
        late_note = lateness_note(totals)
        if any(name.endswith("agreed_s") and value is None for name, value in measured_figures.items()):
            status, note = Status.FAILED, f"not agreed within {AGREEMENT_TIMEOUT_S:.0f} s; {late_note}"
        else:
            status, note = (Status.LATE, late_note) if late_note else (Status.SOUND, "")
        seconds = (self._cluster.now_ns() - began_ns) / 1e9
        figures: dict[str, Figure] = {
            **measured_figures, "worst_second_bytes": totals.worst_second,
            "worst_second_mean": round(totals.worst_mean, 1), "bytes_out_s": round(totals.bytes_out, 1),
            "cpu_percent_of_core": round(100 * totals.cpu, 4),
            "late_p99_ms": round(totals.late[1] * 1e3, 2), "suspicions": totals.suspicions,
        }  # fmt: skip
        return Row(
            f"faults-{fault}", conditions(self._cluster.plan, seconds), figures, status, note.rstrip("; ")
        )

    async def _begin(self) -> int:
        await self._cluster.sample()
        await self._cluster.start_recording()
        return self._cluster.now_ns()

    async def kill_and_revive(self, fault: str, victims: list[int]) -> AsyncIterator[Row]:
        """Kills nodes at once, and later starts them again at once; yields a row for each."""
        cluster, victim_set = self._cluster, set(victims)
        began_ns = await self._begin()
        await cluster.kill(victims)
        agreed_s = await cluster.wait_until_agreed(victim_set, AGREEMENT_TIMEOUT_S)
        await cluster.wait(WAIT_AFTER_S)
        pair_count = len(victim_set) * sum(number not in victim_set for number in cluster.recorded_nodes())
        observed = evaluate(
            await cluster.stop_recording(),
            began_ns,
            pair_count,
            lambda observer, member: member in victim_set,
        )
        yield await self._row(
            fault, {"killed": len(victim_set), "agreed_s": agreed_s, **observed.figures()}, began_ns
        )
        began_ns = await self._begin()
        await cluster.revive(victims)
        agreed_again_s = await cluster.wait_until_agreed((), AGREEMENT_TIMEOUT_S)
        await cluster.wait(WAIT_AFTER_S)
        observed = evaluate(
            await cluster.stop_recording(), began_ns, 0, lambda *_: False, lambda member: member in victim_set
        )
        figures: dict[str, Figure] = {
            "started": len(victim_set), "agreed_s": agreed_again_s, "false_deaths": observed.false_deaths,
            "deaths_of_started": observed.deaths_expected,
        }  # fmt: skip
        yield await self._row(f"{fault}-back", figures, began_ns)

    async def restart_rolling(self) -> AsyncIterator[Row]:
        """Restarts nodes at SPEED_UP times the day's rate, scaled to the number of nodes."""
        cluster, count = self._cluster, self._cluster.plan.count
        restarts_per_s = RESTARTS_PER_DAY * SPEED_UP / DAY_S * count / RESTART_RATE_NODES
        remaining, due_restarts, restarted = self._random.sample(range(count), count), 0.0, set[int]()
        began_ns = await self._begin()
        while (cluster.now_ns() - began_ns) / 1e9 < ROLLING_DURATION_S and remaining:
            due_restarts += restarts_per_s
            batch = [remaining.pop() for _ in range(min(int(due_restarts), len(remaining)))]
            due_restarts -= len(batch)
            restarted.update(batch)
            await cluster.restart(batch)
            await cluster.wait(1.0)
        elapsed_s = (cluster.now_ns() - began_ns) / 1e9
        await cluster.wait(2 * WAIT_AFTER_S)  # until the last node runs again
        agreed_s = await cluster.wait_until_agreed((), AGREEMENT_TIMEOUT_S)
        observed = evaluate(
            await cluster.stop_recording(), began_ns, 0, lambda *_: False, lambda member: member in restarted
        )
        figures: dict[str, Figure] = {
            "restarts": len(restarted), "restarts_per_s": round(len(restarted) / elapsed_s, 2),
            "agreed_s": None if agreed_s is None else round(agreed_s + 2 * WAIT_AFTER_S, 2),
            "false_deaths": observed.false_deaths, "nodes_falsely_dead": len(observed.falsely_dead),
            "deaths_of_restarted": observed.deaths_expected,
        }  # fmt: skip
        yield await self._row("rolling", figures, began_ns)

    async def cut_regions(self) -> AsyncIterator[Row]:
        """Drops all datagrams between regions, and later delivers them again; yields a row for each."""
        cluster = self._cluster

        def are_in_different_regions(observer: int, member: int) -> bool:
            return region_of(observer) != region_of(member)

        pair_count = sum(
            are_in_different_regions(observer, member)
            for observer in cluster.recorded_nodes()
            for member in range(cluster.plan.count)
        )
        began_ns = await self._begin()
        await cluster.set_region_cut(True)
        await cluster.wait(CUT_DURATION_S)
        observed_cut = evaluate(
            await cluster.stop_recording(), began_ns, pair_count, are_in_different_regions
        )
        yield await self._row("regions-cut", observed_cut.figures(), began_ns)
        began_ns = await self._begin()
        await cluster.set_region_cut(False)
        agreed_s = await cluster.wait_until_agreed((), AGREEMENT_TIMEOUT_S)
        await cluster.wait(WAIT_AFTER_S)
        observed_after = evaluate(await cluster.stop_recording(), began_ns, 0, lambda *_: False)
        figures: dict[str, Figure] = {"agreed_s": agreed_s, "deaths_after": observed_after.false_deaths}
        yield await self._row("regions-met", figures, began_ns)

    async def run_fault(self, fault: str) -> AsyncIterator[Row]:
        """Runs the named fault and yields its rows."""
        count = self._cluster.plan.count
        if fault == "part":
            victims = self._random.sample(range(count), max(1, round(KILLED_SHARE * count)))
            rows = self.kill_and_revive("part", victims)
        elif fault == "zone":
            zone = self._random.randrange(ZONE_COUNT)
            rows = self.kill_and_revive(
                "zone", [number for number in range(count) if zone_of(number) == zone]
            )
        else:
            rows = self.restart_rolling() if fault == "rolling" else self.cut_regions()
        async for row in rows:
            yield row


def register(commands: Any) -> None:
    """Adds the subcommand `faults`."""
    parser: argparse.ArgumentParser = commands.add_parser("faults", help=__doc__)
    parser.add_argument(
        "--sizes", type=sizes, default=DEFAULT_SIZES, help=f"NODES[@DILATION],... ({DEFAULT_SIZES})"
    )
    parser.add_argument("--settle", type=float, default=SETTLE_S, metavar="S", help=f"({SETTLE_S:.0f})")
    parser.add_argument("--seed", type=int, default=1, help="of who fails (1)")
    parser.add_argument("--only", action="append", choices=FAULTS, help="(all)")
    add_cluster_options(parser)
    parser.set_defaults(measure=measure)


async def _run_faults(options: argparse.Namespace, size: Size, deadline_s: float) -> AsyncIterator[Row]:
    plan = make_plan(options, size)
    async with Cluster(plan) as cluster:
        try:
            await cluster.start()
            await cluster.wait(options.settle)
            runner = FaultRunner(cluster, Random(options.seed))
            for fault in options.only or FAULTS:
                if time.monotonic() > deadline_s:
                    yield Row(f"faults-{fault}", conditions(plan, 0.0), {}, Status.STOPPED, "the time is up")
                    continue
                async for row in runner.run_fault(fault):
                    yield row
        except OutOfMemory as error:
            yield Row("faults", conditions(plan, 0.0), {}, Status.STOPPED, str(error))


async def _next_row(rows: AsyncIterator[Row]) -> Row | None:
    return await anext(rows, None)


def measure(options: argparse.Namespace) -> Iterator[Row]:
    """Yields the rows of all chosen faults, with a new cluster for each size."""
    deadline_s = time.monotonic() + options.seconds
    for size in options.sizes:
        with asyncio.Runner() as runner:
            rows = _run_faults(options, size, deadline_s)
            while (row := runner.run(_next_row(rows))) is not None:
                yield row
