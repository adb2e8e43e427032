"""Randomized runs of several processes of the program: leases, permits, ledgers and judgements under faults.

    python -m benchmarks.evenings [N]            # N runs (default: 20), some of them in parallel
    python -m benchmarks.evenings seed S         # one run, with a log of its faults

Each run draws 3 to 7 nodes and a dozen faults from its seed: kills, planned ends, starts, stalls of up to
8 s, cuts of links in one or both directions, and loss of datagrams. Meanwhile clients send requests,
operators request permits, and a fake billing service collects the ledgers of nodes that have ended.

The nodes' histories are checked for owners, tokens, permits and old generations, and the collected ledgers
must hold each entry once, whichever node delivered it. No check has a bound on time that a busy machine could
exceed, except that a ledger has to be collected within a minute. Seeds start at 1000.
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
FAULT_COUNT = 12
PERMIT_TERM_S = 15
QUIET_PERIOD_S = 1.5  # at the end, without faults and with all nodes running, before ledgers are checked


class RandomizedRun:
    """One run: nodes, clients, operators and the fake billing service, with faults drawn from a seed."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random = Random(seed)
        self.count = self.random.choice((3, 4, 5, 7))
        self.max_permits = self.random.choice((1, 2))
        self.folder = folder
        self.fault_log: list[str] = []
        self.permit_requests = self.granted_permits = 0
        self._link_faults: list[Any] = []
        self._stopped_nodes: set[int] = set()
        self._down_nodes: set[int] = set()

    def service_table(self, billing_port: int) -> str:
        """Returns the text of the service file after the basic settings of the tier."""
        ledger_folder, disk_folder = self.folder / "ledgers", self.folder / "disks"
        ledger_folder.mkdir()
        disk_folder.mkdir()
        folder_setting = f'folder = "{disk_folder}"\n' if self.random.random() < 0.5 else ""
        return (
            f"{folder_setting}judge = true\n[tier.permits]\nat_once = {self.max_permits}\n"
            f'term = "{PERMIT_TERM_S}s"\n'
            f'[tier.collect]\nfolder = "{ledger_folder}"\nto = "127.0.0.1:{billing_port}"\n'
            f'[ledger]\nfolder = "{ledger_folder}"\ncommit = "50ms"\n'
        )

    async def run(self) -> list[str]:
        """Runs all faults and checks, and returns a line for each finding."""
        async with (
            Billing(self.folder / "books") as billing, Server("s0") as server,
            Fleet(self.folder, self.count, self.service_table(billing.port), period="300ms") as fleet,
        ):  # fmt: skip
            self.fleet = fleet
            fleet.servers.append(server)
            self.operator_ports = [ports.reserve_tcp() for _ in range(self.count)]
            await self.start_nodes(*range(self.count))
            await fleet.wait_joined()
            traffic = Traffic(fleet)
            traffic.start_clients(*range(self.count))
            operators_task = asyncio.create_task(self.operate())
            try:
                for _ in range(FAULT_COUNT):
                    await self.inject_fault()
                    await asyncio.sleep(self.random.uniform(0.1, 3.0))
                await self.heal_all()
                await asyncio.sleep(QUIET_PERIOD_S)
                operators_task.cancel()
                findings = await self.check_collected_ledgers(billing)
            finally:
                operators_task.cancel()
                await traffic.stop_clients()
                for port in self.operator_ports:
                    port.release()
            return findings + self.check_histories()

    async def start_nodes(self, *nodes: int) -> None:
        """Starts nodes, each with the port of its operator interface."""
        for node in nodes:
            await self.fleet.start(
                node, env={"BALANCER_OPS": f"127.0.0.1:{self.operator_ports[node].number}"}
            )

    async def inject_fault(self) -> None:
        """Draws a fault and applies it, if the drawn node is in a state that allows it."""
        random, fleet = self.random, self.fleet
        node, fault_kind = random.randrange(self.count), random.randrange(8)
        is_up = node not in self._down_nodes and node not in self._stopped_nodes
        if fault_kind == 0 and is_up:
            self.log(f"n{node} is killed")
            await fleet.kill(node)
            self._down_nodes.add(node)
        elif fault_kind == 1 and is_up:
            self.log(f"n{node} ends")
            await fleet.terminate(node)
            self._down_nodes.add(node)
        elif fault_kind in (2, 3) and self._down_nodes:
            node = random.choice(sorted(self._down_nodes))
            self.log(f"n{node} starts")
            await self.start_nodes(node)
            self._down_nodes.discard(node)
        elif fault_kind == 4 and is_up:
            self.log(f"n{node} stands still")
            fleet.stop(node)
            self._stopped_nodes.add(node)
            asyncio.get_running_loop().call_later(random.uniform(0.5, 8.0), self.resume_node, node)
        elif fault_kind == 5:
            chosen_nodes = set(random.sample(range(self.count), random.randint(1, max(1, self.count // 2))))
            cut_both_directions = random.random() < 0.5
            pairs = [
                (source, target) for source, target in fleet.all_pairs()
                if ((source in chosen_nodes) != (target in chosen_nodes) if cut_both_directions
                    else source in chosen_nodes)
            ]  # fmt: skip
            self.log(f"{sorted(chosen_nodes)} {'are cut off' if cut_both_directions else 'reach none'}")
            self.begin_link_fault(pairs, Fault(cut=True))
        elif fault_kind == 6:
            self.log("a third of all datagrams is lost")
            self.begin_link_fault(fleet.all_pairs(), Fault(loss=0.33, duplicate=0.1, delay=(0.0, 0.2)))
        elif self._link_faults:
            self.log("a fault of links ends")
            pairs, link_fault = self._link_faults.pop(0)
            fleet.links.end(pairs, link_fault)

    def begin_link_fault(self, pairs: list[tuple[int, int]], link_fault: Fault) -> None:
        """Begins a fault of links, and remembers it for its end."""
        self.fleet.links.begin(pairs, link_fault)
        self._link_faults.append((pairs, link_fault))

    def resume_node(self, node: int) -> None:
        """Resumes a node, unless it already runs again."""
        if node in self._stopped_nodes:
            self._stopped_nodes.discard(node)
            self.fleet.resume(node)

    async def heal_all(self) -> None:
        """Ends all faults, starts all nodes that are down and waits until all have joined."""
        self.log("all is mended")
        for pairs, link_fault in self._link_faults:
            self.fleet.links.end(pairs, link_fault)
        for node in sorted(self._stopped_nodes):
            self.resume_node(node)
        await self.start_nodes(*sorted(self._down_nodes))
        self._down_nodes.clear()
        await self.fleet.wait_joined()

    def log(self, line: str) -> None:
        """Adds a line to the log of faults."""
        self.fault_log.append(line)

    # Operators.

    async def operate(self) -> None:
        """Plays an operator at each node, who takes a permit, keeps it for a while and usually returns it."""
        random = Random(self.random.random())

        async def operate_node(node: int) -> None:
            while True:
                await asyncio.sleep(random.uniform(0.1, 2.0))
                self.permit_requests += 1
                for _ in range(30):
                    if await asyncio.to_thread(self.post_permit, node, "drain") == "held":
                        self.granted_permits += 1
                        await asyncio.sleep(random.uniform(0.1, 2.0))
                        break
                    await asyncio.sleep(0.2)
                if random.random() < 0.8:
                    await asyncio.to_thread(self.post_permit, node, "none")

        await asyncio.gather(*(operate_node(node) for node in range(self.count)))

    def post_permit(self, node: int, state: str) -> str:
        """Asks a node for a permit state, and returns the state that it answers or an empty string."""
        connection = HTTPConnection("127.0.0.1", self.operator_ports[node].number, timeout=1.0)
        try:
            connection.request("POST", f"/control/tier/permit/{state}", headers={"Connection": "close"})
            return str(json.loads(connection.getresponse().read()).get("state"))
        except (OSError, HTTPException, ValueError):
            return ""  # the node is down or stopped
        finally:
            connection.close()

    # Checks.

    async def check_collected_ledgers(self, billing: Billing) -> list[str]:
        """Kills a node, and checks that the billing service collects each entry of its ledger once, in order.

        What was collected of the other ledgers has to be a prefix of them.
        """
        killed_node = self.random.randrange(self.count)
        ledger_folder = self.folder / "ledgers"
        await self.fleet.kill(killed_node)
        try:
            await self.fleet.wait_until(
                lambda: billing.has_ledger(ledger_folder, f"n{killed_node}"), "not in the books"
            )
        except AssertionError:
            return [f"the ledger of n{killed_node} is not in the books, once and in order"]
        return [
            f"the books of {path.stem} are no begin of its ledger"
            for path in billing.folder.glob("*.ledger")
            if not (ledger_folder / path.name).read_bytes().startswith(path.read_bytes())
        ]

    def check_histories(self) -> list[str]:
        """Checks the nodes' histories and logs, and returns a line for each finding and crash."""
        events, run_record = self.fleet.events(), self.fleet.run_record()
        findings = owners.check(events, run_record) + owners.check_linearizable(events)
        findings += permits.check(events, self.max_permits, {})
        findings += checks.find_old_claims(run_record)
        self.lease_count = sum(event["event"] == "own" for event in events)
        self.refusal_count = sum(event["event"] == "refused" for event in events)
        self.crashes = [
            f"n{node}: {line}" for node, lines in self.fleet.log_lines.items() for line in lines
            if "Traceback" in line
        ]  # fmt: skip
        return [
            f"{finding.rule}: node {finding.node}: {finding.evidence}" for finding in findings
        ] + self.crashes


def run_seed(seed: int) -> tuple[int, list[str], list[str], tuple[int, int, int, int]]:
    """Returns the seed, the findings, the log of faults, and the counts of leases, of refusals, of permit
    requests and of granted permits."""

    async def run() -> tuple[int, list[str], list[str], tuple[int, int, int, int]]:
        with tempfile.TemporaryDirectory() as folder:
            randomized_run = RandomizedRun(seed, Path(folder))
            findings = await randomized_run.run()
            return (
                seed,
                findings,
                randomized_run.fault_log,
                (
                    randomized_run.lease_count,
                    randomized_run.refusal_count,
                    randomized_run.permit_requests,
                    randomized_run.granted_permits,
                ),
            )

    return asyncio.run(run())


def main() -> None:
    """Runs one seed, or many seeds in parallel."""
    arguments = sys.argv[1:]
    if arguments[:1] == ["seed"]:
        seed, findings, lines, counts = run_seed(int(arguments[1]))
        print("\n".join([*lines, f"leases, refusals, wishes, permits: {counts}", *findings]))
        return
    run_count = int(arguments[0]) if arguments else 20
    totals, failed_runs = [0, 0, 0, 0], 0
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) // 2)) as pool:
        seeds_by_future = {
            pool.submit(run_seed, seed): seed for seed in range(FIRST_SEED, FIRST_SEED + run_count)
        }
        for finished_runs, future in enumerate(as_completed(seeds_by_future), 1):
            try:
                seed, findings, _, counts = future.result()
            except Exception as error:  # of the harness itself; reported and counted as a failed run
                seed, counts = seeds_by_future[future], (0, 0, 0, 0)
                findings = [f"{type(error).__name__}: {error}"[:2000]]
            totals = [sum_so_far + count for sum_so_far, count in zip(totals, counts, strict=True)]
            failed_runs += bool(findings)
            for line in findings:
                print(f"seed {seed}: {line}", flush=True)
            if finished_runs % 10 == 0 or finished_runs == run_count:
                leases, refusals, permit_requests, granted_permits = totals
                print(f"{finished_runs} evenings, {failed_runs} with a finding: {leases} leases, "
                      f"{refusals} refusals of an older token, {permit_requests} wishes to be out, "
                      f"{granted_permits} permits", flush=True)  # fmt: skip


if __name__ == "__main__":
    main()
