"""Failure detection of the tier: its delay, false deaths and traffic, compared with two other detectors.

    python -m benchmarks.membership sim          # virtual time, on several cores: tables for the design note
    python -m benchmarks.membership hours        # false deaths in 1,000 node hours with 10% loss
    python -m benchmarks.membership real 50      # so many processes of the program on this machine
    python -m benchmarks.membership codec        # bytes and time of a datagram: msgspec and struct
    python -m benchmarks.membership request      # CPU of a request with the tier and without it, in one run

Seeds of `sim` start at 1000: they serve for evaluation alone, not for development or tuning.
"""

from __future__ import annotations

import asyncio
import json
import os
import struct
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from statistics import median
from typing import Any

from driftstair.model.tier.accrual import Accrual
from driftstair.model.tier.heartbeats import Heartbeats
from driftstair.model.tier.measure import (
    DetectorFactoryBuilder,
    Tier,
    measure_detection,
    measure_idle,
    swim_factory,
)
from driftstair.model.tier.world import Link
from driftstair.tier import wire
from driftstair.tier.membership.events import Kind, Message
from driftstair.tier.membership.members import Claim, State, Traits

FIRST_SEED = 1000
SLOW_READ_DELAY_S = 1.2  # a slow member reads each datagram this much later
DETECTORS: dict[str, DetectorFactoryBuilder] = {
    "swim": swim_factory,
    "heartbeats": lambda count, seed: lambda host, generation: Heartbeats(host, count),
    "accrual": lambda count, seed: lambda host, generation: Accrual(host, count),
}

Job = tuple[str, int, float, float, int, int]
"""Detector, number of nodes, loss, fraction of slow nodes, seed, and s without a crash."""


def run_job(job: Job) -> dict[str, Any]:
    """Observes a tier without crashes, then crashes one node, and returns the figures of both phases."""
    detector, count, loss, slow_fraction, seed, seconds = job
    tier = Tier(count, seed, Link(loss=loss), make=DETECTORS[detector])
    tier.start()
    tier.world.run(20.0)
    slow_nodes = range(round(slow_fraction * count))
    for number in slow_nodes:
        tier.world.hosts[number].read_delay_s = SLOW_READ_DELAY_S
    start_ns = tier.world.now
    idle = measure_idle(tier, seconds)
    sound_nodes = set(range(len(slow_nodes), count))
    false_deaths = len(tier.deaths(start_ns, of=sound_nodes))
    watch_s = 20.0 if loss < 0.3 else 60.0
    detection = measure_detection(tier, count - 1, watch_s)
    return {
        "kind": detector, "nodes": count, "loss": loss, "slow": slow_fraction, "wrong": false_deaths,
        "wrong_of_slow": idle.false_deaths - false_deaths, "hours": count * seconds / 3600,
        "bytes_s": idle.bytes_s, "datagrams_s": idle.datagrams_s, "busiest": idle.peak_datagrams_s,
        "first": detection.first, "last": detection.last,
    }  # fmt: skip


def make_job_groups() -> list[list[Job]]:
    """Returns the jobs of each row of the table, the cheap ones first.

    The all-to-all detectors cost time with the square of the number of nodes, so large tiers of them run in
    fewer and shorter jobs.
    """
    groups: list[list[Job]] = []
    for count, seeds, seconds in ((5, 12, 600), (20, 6, 300), (200, 2, 30)):
        for detector in DETECTORS:
            is_expensive = detector != "swim" and count == 200
            for loss, slow_fraction in ((0.0, 0.0), (0.1, 0.0), (0.3, 0.0), (0.4, 0.0), (0.0, 0.1)):
                if not is_expensive or (loss in (0.0, 0.1) and not slow_fraction):
                    groups.append([(detector, count, loss, slow_fraction, FIRST_SEED + seed,
                                    5 if is_expensive else seconds)
                                for seed in range(1 if is_expensive else seeds)])  # fmt: skip
    groups.append([("swim", 1000, 0.0, 0.0, FIRST_SEED, 5)])
    return groups


def compare_detectors(workers: int) -> None:
    """Prints a table of all detectors, sizes and losses."""
    print("| nodes | detector | loss | slow | node hours | false deaths (of slow) | known by all, s: median,"
          " worst | B/s a node | datagrams/s | busiest s |")  # fmt: skip
    print("|---|---|---|---|---|---|---|---|---|---|", flush=True)
    with ProcessPoolExecutor(workers) as pool:
        for group, futures in [
            (group, [pool.submit(run_job, job) for job in group]) for group in make_job_groups()
        ]:
            detector, nodes, loss, slow_fraction = group[0][:4]
            results = [future.result() for future in futures]
            detection_times_s = sorted(result["last"] for result in results)
            print(
                f"| {nodes} | {detector} | {loss:.0%} | {slow_fraction:.0%} | "
                f"{sum(result['hours'] for result in results):.1f} "
                f"| {sum(result['wrong'] for result in results)} "
                f"({sum(result['wrong_of_slow'] for result in results)}) "
                f"| {median(detection_times_s):.1f}, {detection_times_s[-1]:.1f} | "
                f"{median(result['bytes_s'] for result in results):.0f} "
                f"| {median(result['datagrams_s'] for result in results):.1f} "
                f"| {max(result['busiest'] for result in results)} |", flush=True,
            )  # fmt: skip


def run_with_loss(job: tuple[int, int]) -> tuple[int, float]:
    """Runs 20 nodes with 10% loss, and returns the false deaths and the node hours."""
    seed, seconds = job
    tier = Tier(20, seed, Link(loss=0.1))
    tier.start()
    tier.world.run(20.0)
    start_ns = tier.world.now
    tier.world.run(seconds)
    return len(tier.deaths(start_ns)), 20 * seconds / 3600


def count_false_deaths(workers: int, min_node_hours: float = 1000.0) -> None:
    """Prints the sums of false deaths and node hours while the runs finish."""
    seconds = 3600
    jobs = [(FIRST_SEED + seed, seconds) for seed in range(int(min_node_hours / 20 * 3600 / seconds))]
    false_deaths, node_hours = 0, 0.0
    with ProcessPoolExecutor(workers) as pool:
        for future in as_completed([pool.submit(run_with_loss, job) for job in jobs]):
            false_deaths, node_hours = false_deaths + future.result()[0], node_hours + future.result()[1]
            print(f"20 nodes, 10% loss: {false_deaths} views held a node dead that ran, in {node_hours:.0f} "
                  "node hours",
                  flush=True)  # fmt: skip


def measure_codec() -> None:
    """Compares msgspec and struct on a probe with six claims, the most frequent message of the tier."""
    claims = [Claim(100 + number, 1_010_534_400, 3, State.ALIVE, 100 + number, Traits(1, 1, 1))
              for number in range(6)]  # fmt: skip
    message = Message(Kind.PING, claims[0], 101, 70_000, 90_000, updates=tuple(claims[1:]))
    tier_codec = wire.Codec(b"sixteen bytes!!!")
    encoded = tier_codec.encode(message)
    claim_struct = struct.Struct("<HIHBHBBH")
    header_struct = struct.Struct("<BHIIHB")

    def pack() -> bytes:
        packed_claims = [claim_struct.pack(*claim[:5], *claim.traits) for claim in claims]
        return header_struct.pack(1, 101, 70_000, 90_000, 0xFFFF, 5) + b"".join(packed_claims)

    packed = pack()

    def unpack() -> Message:
        message_kind, target, order, sequence, about, count = header_struct.unpack_from(packed)
        unpacked_claims = []
        for index in range(count + 1):
            number, generation, incarnation, state, reporter, *traits = claim_struct.unpack_from(
                packed, header_struct.size + claim_struct.size * index
            )
            unpacked_claims.append(
                Claim(number, generation, incarnation, State(state), reporter, Traits(*traits))
            )
        return Message(
            Kind(message_kind), unpacked_claims[0], target, order, sequence, about, tuple(unpacked_claims[1:])
        )

    assert unpack() == message
    body_bytes = len(encoded) - 1 - wire.MAC_BYTES
    print(f"bytes without version and seal: msgspec {body_bytes}, struct {len(packed)}")
    for name, operation in (
        ("msgspec encode, sealed", lambda: tier_codec.encode(message)), ("struct pack, no seal", pack),
        ("msgspec decode, seal and ranges checked", lambda: tier_codec.decode(encoded)),
        ("struct unpack, no seal", unpack),
    ):  # fmt: skip
        print(f"{name}: {_least_time_us(operation):.1f} us")


def _least_time_us(operation: Callable[[], object], repetitions: int = 20_000) -> float:
    """Returns the time in us of one call, the least of five rounds."""
    least_s = float("inf")
    for _ in range(5):
        start_s = time.perf_counter()
        for _ in range(repetitions):
            operation()
        least_s = min(least_s, time.perf_counter() - start_s)
    return least_s / repetitions * 1e6


def _process_cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    """Returns the resident memory of a process."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(next(line for line in text.splitlines() if line.startswith("VmRSS")).split()[1]) / 1024


async def _measure_processes(count: int) -> None:
    """Measures the join, the cost at rest and the detection of a crash with real processes."""
    sys.path[:0] = ["tests", "tests/tier"]
    from fleet import Fleet

    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), count, period="1s") as fleet:
            start_s = time.monotonic()
            for first_node in range(0, count, 10):
                await fleet.start(*range(first_node, min(count, first_node + 10)))
                await asyncio.sleep(0.5)
            await fleet.wait_joined()
            joined_s = time.monotonic() - start_s
            await asyncio.sleep(5.0)
            pids = [fleet.process(node).pid for node in range(count)]
            cpu_before_s, measured_since_s = [_process_cpu_s(pid) for pid in pids], time.monotonic()
            await asyncio.sleep(20.0)
            cpu_spent_s = [
                _process_cpu_s(pid) - previous for pid, previous in zip(pids, cpu_before_s, strict=True)
            ]
            cpu_fraction = sum(cpu_spent_s) / count / (time.monotonic() - measured_since_s)
            memory_mb = median(_resident_mb(pid) for pid in pids)
            false_deaths = len(fleet.dead_verdicts())
            killed_at_ns = time.monotonic_ns()
            await fleet.kill(count - 1)
            await fleet.wait_for_state((count - 1,), "dead")
            known_after_s = [
                (held.at - killed_at_ns) / 1e9 for process in fleet.run_record().processes
                for held in process.view_changes
                if held.member == count - 1 and held.state == "dead"
            ]  # fmt: skip
            print(json.dumps({
                "nodes": count, "all know all after s": round(joined_s, 1),
                "cpu of a core at rest, a node": round(cpu_fraction, 5),
                "resident MB, a node": round(memory_mb, 1),
                "false deaths": false_deaths, "a crash known by the first, s": round(min(known_after_s), 2),
                "by all, s": round(max(known_after_s), 2),
            }))  # fmt: skip


async def _measure_request() -> None:
    """Compares two nodes of the same build, one in a tier of three, which receive requests in turn."""
    sys.path[:0] = ["tests", "tests/tier"]
    from fleet import Fleet
    from rig import Client, request

    with tempfile.TemporaryDirectory() as folder:
        async with Fleet(Path(folder), 4, period="1s") as fleet:
            tier_service = fleet.service.read_text()
            await fleet.start(0, 1, 2)
            await fleet.wait_for_state((1, 2), "alive", by=(0,))
            fleet.service.write_text("version = 1\n")
            await fleet.start(3)
            await fleet.wait_until(lambda: 3 in fleet.addresses)
            fleet.service.write_text(tier_service)
            clients = {
                node: Client(*await asyncio.open_connection(*fleet.addresses[node])) for node in (0, 3)
            }
            cpu_spent_s: dict[int, list[float]] = {0: [], 3: []}
            for _ in range(30):
                for node, client in clients.items():
                    cpu_before_s = _process_cpu_s(fleet.process(node).pid)
                    for _ in range(2500):
                        await client.ask(request())
                    cpu_spent_s[node].append(_process_cpu_s(fleet.process(node).pid) - cpu_before_s)
            tier_cpu_s, plain_cpu_s = sum(cpu_spent_s[0]), sum(cpu_spent_s[3])
            us_per_request = 1e6 / (30 * 2500)
            print(f"CPU of a request: {plain_cpu_s * us_per_request:.1f} us without, "
                  f"{tier_cpu_s * us_per_request:.1f} us with a tier of 3: "
                  f"{tier_cpu_s / plain_cpu_s:.3f} times")  # fmt: skip


def main() -> None:
    """Runs the benchmark that the first argument names."""
    benchmark, workers = (sys.argv[1:] or ["sim"])[0], max(1, (os.cpu_count() or 2) // 2)
    if benchmark == "sim":
        compare_detectors(workers)
    elif benchmark == "hours":
        count_false_deaths(workers)
    elif benchmark == "codec":
        measure_codec()
    elif benchmark == "real":
        asyncio.run(_measure_processes(int(sys.argv[2])))
    elif benchmark == "request":
        asyncio.run(_measure_request())
    else:
        raise SystemExit(f"{benchmark}: expected sim, hours, codec, real or request")


if __name__ == "__main__":
    main()
