"""Several processes of the program on loopback, a network of the kit between them, and their histories."""

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
from driftstair.rehearsal.tier.checks import Bounds, Finding, Span, Story, check, disagreement
from driftstair.rehearsal.tier.histories import Following, Held, read_events
from driftstair.rehearsal.tier.links import Fault, Links
from driftstair.rehearsal.tier.relay import Relay, RelayProcess

ROOT = Path(__file__).parents[2]
PATIENCE = 60.0  # s: only a test that has failed waits so long
LOOK = 0.02  # s
# A process whose wall clock is off by so many hours, whatever the machine's says.
OFF = """
import sys, time
right = time.time_ns
time.time_ns = lambda: right() + {hours} * 3600 * 10**9
from driftstair.__main__ import main
sys.exit(main())
"""
MANY = 20  # nodes, from which on the relay is a process of its own
KEY = "the key of a tier of tests"
PERIOD = "200ms"


class Fleet:
    """`count` nodes, number i named `n{i}`."""

    def __init__(
        self, folder: Path, count: int, table: str = "", code: str = "", period: str = PERIOD
    ) -> None:
        self.folder = folder
        self.count = count
        self.links = Links(seed=7)
        self.faults: list[Span] = []
        self.desk = ""  # where operators call node 0, if they do
        self.lines: dict[int, list[str]] = {}
        self.ready: dict[int, tuple[str, int]] = {}
        self.code = dict.fromkeys(range(count), code)  # the program, in the place of `-m driftstair`
        self.servers: list[Server] = []  # that all nodes know from their start on
        self._held = ports.udp(count)
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._readers: list[asyncio.Task[None]] = []
        self._lasting: dict[tuple[str, int], int] = {}  # faults: what befell whom, and since when
        self.histories = folder / "histories"
        self.histories.mkdir()
        self._following = Following(self.histories)
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
        numbers = [one.number for one in self._held]
        make = Relay if self.count < MANY else RelayProcess
        self.relay: Relay | RelayProcess = make(self.links, numbers)
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(process.wait() for process in self._processes.values()), *self._readers)
        for held in self._held:
            held.release()
        self.relay.close()
        await self.discovery.__aexit__()

    # What befalls nodes and links.

    def document(self, number: int) -> dict[str, Any]:
        document = configuration(*self.servers, discovery=self.discovery.address, Peers=True)
        document["settings"] |= {"SelfIndex": number, "PeersTotal": self.count, "MyZone": 0}
        document["name"] = f"n{number}"
        document["seed"] = f"{number + 1:016x}"
        document["peer_listen"] = f"127.0.0.1:{self._held[number].number}"
        document["peers"] = self.relay.peers(number)
        return document

    async def start(self, *numbers: int, env: dict[str, str] | None = None) -> None:
        for number in numbers or range(self.count):
            path = self.folder / f"n{number}.json"
            path.write_text(json.dumps(self.document(number)))
            code = self.code[number]
            self._held[number].release()
            options = ("-c", code) if code else ("-m", "driftstair")
            process = await asyncio.create_subprocess_exec(
                sys.executable, *options, "--service", str(self.service), cwd=ROOT,
                env={**os.environ, "BALANCER_CONFIG": str(path), **(env or {})},
                stderr=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
            self._processes[number] = process
            self.ready.pop(number, None)
            self._end("down", number)
            self._readers.append(asyncio.create_task(self._read(number, process)))

    async def _read(self, number: int, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode().rstrip():
            self.lines.setdefault(number, []).append(line)
            if found := re.search(r"serving on (\S+):(\d+)$", line):
                self.ready[number] = (found[1], int(found[2]))

    def process(self, number: int) -> asyncio.subprocess.Process:
        return self._processes[number]

    def _begin(self, what: str, *numbers: int) -> None:
        for number in numbers:
            self._lasting[what, number] = time.monotonic_ns()

    def _end(self, what: str, *numbers: int) -> None:
        for number in numbers:
            begin = self._lasting.pop((what, number), None)
            if begin is not None:
                self.faults.append(Span(number, begin, time.monotonic_ns(), what == "down"))

    async def kill(self, *numbers: int) -> None:
        self._begin("down", *numbers)
        for number in numbers:
            self._processes[number].kill()
        await asyncio.gather(*(self._processes[number].wait() for number in numbers))

    async def terminate(self, number: int) -> int:
        self._begin("down", number)
        self._processes[number].terminate()
        return await asyncio.wait_for(self._processes[number].wait(), PATIENCE)

    def stop(self, *numbers: int) -> None:
        self._begin("stopped", *numbers)
        for number in numbers:
            self._processes[number].send_signal(signal.SIGSTOP)

    def go_on(self, *numbers: int) -> None:
        for number in numbers:
            self._processes[number].send_signal(signal.SIGCONT)
        self._end("stopped", *numbers)

    def cut(self, *pairs: tuple[int, int], blame: tuple[int, ...] = ()) -> Callable[[], None]:
        """`blame`: nodes that are not reached while it lasts."""
        fault, chosen = Fault(cut=True), list(pairs)
        self.links.begin(chosen, fault)
        self._begin("cut off", *blame)

        def heal() -> None:
            self.links.end(chosen, fault)
            self._end("cut off", *blame)

        return heal

    def all_pairs(self) -> list[tuple[int, int]]:
        every = range(self.count)
        return [(one, other) for one in every for other in every if one != other]

    # What the nodes hold.

    def story(self) -> Story:
        now = time.monotonic_ns()
        lasting = [
            Span(number, begin, now + 1, what == "down") for (what, number), begin in self._lasting.items()
        ]
        return Story(self._following.processes(), self.faults + lasting, now)

    def events(self) -> list[dict[str, Any]]:
        """Of all histories."""
        return [event for one in read_events(self.histories) for event in one]

    def findings(self, bounds: Bounds) -> list[Finding]:
        return check(self.story(), bounds)

    def deaths(self) -> list[tuple[int, Held]]:
        """Who held whom dead, but for those that stood still by their own word, as on a busy machine."""
        story = self.story()
        still = {process.node for process in story.processes if process.stood_still}
        return [
            (process.node, one) for process in story.processes for one in process.held
            if one.state == "dead" and not still & {process.node, one.member}
        ]  # fmt: skip

    def views(self) -> dict[int, dict[int, str]]:
        """By each node's latest process: what it holds of the others."""
        out: dict[int, dict[int, str]] = {}
        for process in self.story().processes:
            out[process.node] = {
                member: held.state for member, held in process.last().items() if member != process.node
            }
        return out

    async def until(self, what: Callable[[], object], why: str = "") -> None:
        """Wait for something that the histories tell of."""
        try:
            async with asyncio.timeout(PATIENCE):
                while not what():
                    await asyncio.sleep(LOOK * max(1.0, self.count / MANY))
        except TimeoutError:
            logs = "\n".join(f"n{one}: {line}" for one, lines in self.lines.items() for line in lines[-15:])
            raise AssertionError(f"{why or 'never so'}: {self.views()}\n{logs}") from None

    async def held(self, members: tuple[int, ...], *states: str, by: tuple[int, ...] = ()) -> None:
        """Until all of `by` (left out: all others) hold each of these in one of these states."""
        watchers = by or tuple(number for number in range(self.count) if number not in members)

        def so() -> bool:
            views = self.views()
            return all(
                views.get(one, {}).get(member) in states for one in watchers for member in members
                if one != member
            )  # fmt: skip

        await self.until(so, f"{members} never {states} by {watchers}")

    async def joined(self) -> None:
        """All alive for all, and all hold the same."""
        every = tuple(range(self.count))
        await self.held(every, "alive", by=every)
        await self.agreed()

    async def joined_but(self, *gone: int) -> None:
        """All alive for all, but for these, which are dead."""
        rest = tuple(number for number in range(self.count) if number not in gone)
        await self.held(rest, "alive", by=rest)
        await self.held(gone, "dead", by=rest)

    async def agreed(self) -> None:
        await self.until(lambda: disagreement(self.story(), Bounds(settle=0.0)) == [], "views differ")
