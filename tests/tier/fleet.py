"""Runs several processes of the program on loopback, with simulated links between them, and reads their
histories."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rig import Discovery, Server, configuration

from driftstair.rehearsal import ports
from driftstair.rehearsal.tier.checks import Bounds, Finding, RunRecord, Span, check, find_disagreement
from driftstair.rehearsal.tier.histories import HistoryFollower, ViewChange, read_events
from driftstair.rehearsal.tier.links import Fault, Links
from driftstair.rehearsal.tier.relay import Relay, RelayProcess

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 60.0  # reached only by failing tests
POLL_INTERVAL_S = 0.02
# A process whose wall clock is shifted by a number of hours.
SHIFTED_CLOCK_PROGRAM = """
import sys, time
real = time.time_ns
time.time_ns = lambda: real() + {hours} * 3600 * 10**9
from driftstair.__main__ import main
sys.exit(main())
"""
RELAY_PROCESS_MIN_NODES = 20  # from this size on, the relay runs in its own process
KEY = "the key of a tier of tests"
PERIOD = "200ms"


class Fleet:
    """`count` nodes; node i is named `n{i}`."""

    def __init__(
        self, folder: Path, count: int, table: str = "", program: str = "", period: str = PERIOD
    ) -> None:
        self.folder = folder
        self.count = count
        self.links = Links(seed=7)
        self.faults: list[Span] = []
        self.operator_address = ""  # of node 0's operator interface, if it is used
        self.log_lines: dict[int, list[str]] = {}
        self.addresses: dict[int, tuple[str, int]] = {}
        self.programs = dict.fromkeys(range(count), program)  # replaces `-m driftstair` if not empty
        self.servers: list[Server] = []  # known to all nodes from the start
        self._ports = ports.reserve_udp(count)
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._readers: list[asyncio.Task[None]] = []
        self._ongoing: dict[tuple[str, int], int] = {}  # faults by kind and node, with their begin in ns
        self.histories = folder / "histories"
        self.histories.mkdir()
        self._histories_reader = HistoryFollower(self.histories)
        key = folder / "key"
        key.write_text(KEY)
        key.chmod(0o600)
        self.service = folder / "service.toml"
        self.service.write_text(
            f'version = 1\n[tier]\nkey = "{key}"\nperiod = "{period}"\nhistory = "{self.histories}"\n{table}'
        )

    async def __aenter__(self) -> Fleet:
        self.discovery = Discovery()
        await self.discovery.__aenter__()
        numbers = [port.number for port in self._ports]
        relay_type = Relay if self.count < RELAY_PROCESS_MIN_NODES else RelayProcess
        self.relay: Relay | RelayProcess = relay_type(self.links, numbers)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(process.wait() for process in self._processes.values()), *self._readers)
        for port in self._ports:
            port.release()
        self.relay.close()
        await self.discovery.__aexit__()

    # Faults on nodes and links.

    def document(self, number: int) -> dict[str, Any]:
        document = configuration(*self.servers, discovery=self.discovery.address, Peers=True)
        document["settings"] |= {"SelfIndex": number, "PeersTotal": self.count, "MyZone": 0}
        document["name"] = f"n{number}"
        document["seed"] = f"{number + 1:016x}"
        document["peer_listen"] = f"127.0.0.1:{self._ports[number].number}"
        document["peers"] = self.relay.peer_addresses(number)
        return document

    async def start(self, *numbers: int, env: dict[str, str] | None = None) -> None:
        for number in numbers or range(self.count):
            path = self.folder / f"n{number}.json"
            path.write_text(json.dumps(self.document(number)))
            program = self.programs[number]
            self._ports[number].release()
            options = ("-c", program) if program else ("-m", "driftstair")
            process = await asyncio.create_subprocess_exec(
                sys.executable, *options, "--service", str(self.service), cwd=ROOT,
                env={**os.environ, "BALANCER_CONFIG": str(path), **(env or {})},
                stderr=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
            self._processes[number] = process
            self.addresses.pop(number, None)
            self._end("down", number)
            self._readers.append(asyncio.create_task(self._read(number, process)))

    async def _read(self, number: int, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode().rstrip():
            self.log_lines.setdefault(number, []).append(line)
            if match := re.search(r"serving on (\S+):(\d+)$", line):
                self.addresses[number] = (match[1], int(match[2]))

    def process(self, number: int) -> asyncio.subprocess.Process:
        return self._processes[number]

    def _begin(self, kind: str, *numbers: int) -> None:
        for number in numbers:
            self._ongoing[kind, number] = time.monotonic_ns()

    def _end(self, kind: str, *numbers: int) -> None:
        for number in numbers:
            begin_ns = self._ongoing.pop((kind, number), None)
            if begin_ns is not None:
                self.faults.append(Span(number, begin_ns, time.monotonic_ns(), kind == "down"))

    async def kill(self, *numbers: int) -> None:
        self._begin("down", *numbers)
        for number in numbers:
            self._processes[number].kill()
        await asyncio.gather(*(self._processes[number].wait() for number in numbers))

    async def terminate(self, number: int) -> int:
        self._begin("down", number)
        self._processes[number].terminate()
        return await asyncio.wait_for(self._processes[number].wait(), TIMEOUT_S)

    def stop(self, *numbers: int) -> None:
        self._begin("stopped", *numbers)
        for number in numbers:
            self._processes[number].send_signal(signal.SIGSTOP)

    def resume(self, *numbers: int) -> None:
        for number in numbers:
            self._processes[number].send_signal(signal.SIGCONT)
        self._end("stopped", *numbers)

    def cut(self, *pairs: tuple[int, int], blame: tuple[int, ...] = ()) -> Callable[[], None]:
        """Cuts links and returns a function that heals them. `blame`: nodes unreachable meanwhile."""
        fault, cut_pairs = Fault(cut=True), list(pairs)
        self.links.begin(cut_pairs, fault)
        self._begin("cut off", *blame)

        def heal() -> None:
            self.links.end(cut_pairs, fault)
            self._end("cut off", *blame)

        return heal

    def all_pairs(self) -> list[tuple[int, int]]:
        numbers = range(self.count)
        return [(source, target) for source in numbers for target in numbers if source != target]

    # The nodes' views.

    def run_record(self) -> RunRecord:
        now_ns = time.monotonic_ns()
        ongoing = [
            Span(number, begin_ns, now_ns + 1, kind == "down")
            for (kind, number), begin_ns in self._ongoing.items()
        ]
        return RunRecord(self._histories_reader.processes(), self.faults + ongoing, now_ns)

    def events(self) -> list[dict[str, Any]]:
        """Events of all histories."""
        return [event for history in read_events(self.histories) for event in history]

    def findings(self, bounds: Bounds) -> list[Finding]:
        return check(self.run_record(), bounds)

    def dead_verdicts(self) -> list[tuple[int, ViewChange]]:
        """Who declared whom dead, leaving out nodes that recorded a stall, as on a busy machine."""
        run_record = self.run_record()
        stalled = {process.node for process in run_record.processes if process.stood_still}
        return [
            (process.node, held) for process in run_record.processes for held in process.view_changes
            if held.state == "dead" and not stalled & {process.node, held.member}
        ]  # fmt: skip

    def views(self) -> dict[int, dict[int, str]]:
        """The latest states of the other members, by node, at its latest process."""
        views: dict[int, dict[int, str]] = {}
        for process in self.run_record().processes:
            views[process.node] = {
                member: held.state
                for member, held in process.latest_changes().items()
                if member != process.node
            }
        return views

    async def wait_until(self, condition: Callable[[], object], description: str = "") -> None:
        """Waits for a condition on the histories."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while not condition():
                    await asyncio.sleep(POLL_INTERVAL_S * max(1.0, self.count / RELAY_PROCESS_MIN_NODES))
        except TimeoutError:
            logs = "\n".join(
                f"n{number}: {line}" for number, lines in self.log_lines.items() for line in lines[-15:]
            )
            raise AssertionError(f"{description or 'condition not met'}: {self.views()}\n{logs}") from None

    async def wait_for_state(self, members: tuple[int, ...], *states: str, by: tuple[int, ...] = ()) -> None:
        """Waits until all of `by` (default: all other nodes) hold each member in one of the states."""
        watchers = by or tuple(number for number in range(self.count) if number not in members)

        def is_held() -> bool:
            views = self.views()
            return all(
                views.get(watcher, {}).get(member) in states for watcher in watchers for member in members
                if watcher != member
            )  # fmt: skip

        await self.wait_until(is_held, f"{members} never {states} at {watchers}")

    async def wait_joined(self) -> None:
        """Waits until every node holds every other alive and all views agree."""
        numbers = tuple(range(self.count))
        await self.wait_for_state(numbers, "alive", by=numbers)
        await self.wait_agreed()

    async def wait_joined_except(self, *dead: int) -> None:
        """Waits until the remaining nodes hold each other alive and `dead` dead."""
        remaining = tuple(number for number in range(self.count) if number not in dead)
        await self.wait_for_state(remaining, "alive", by=remaining)
        await self.wait_for_state(dead, "dead", by=remaining)

    async def wait_agreed(self) -> None:
        await self.wait_until(
            lambda: find_disagreement(self.run_record(), Bounds(settle=0.0)) == [], "views differ"
        )
