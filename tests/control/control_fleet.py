"""Control servers as processes, a relay of TCP between each two of them, and nodes' watches."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

import msgspec
from control_rig import Answer, ask

from driftstair.configuration.change_sets import ChangeSet
from driftstair.configuration.messages import (
    Changes,
    Freshness,
    NodeReport,
    SnapshotPart,
    decode_watch_message,
)
from driftstair.configuration.state import ConfigurationState
from driftstair.control.merge import merge
from driftstair.control.status import ServerStatus, decode_log_page, decode_status
from driftstair.net.system import SOCKET_SYSTEM
from driftstair.node_configuration.client import ConfigurationWatch, WatchPosition
from driftstair.node_configuration.reporter import Reporter
from driftstair.rehearsal import ports

ROOT = Path(__file__).parents[2]
SETTLE_S = 60.0  # s: only a test that has failed waits so long
LOOK_S = 0.02
# A process whose wall clock is off by so many hours, whatever the machine's says.
CLOCK_OFF = """
import sys, time
right = time.time_ns
time.time_ns = lambda: right() + {hours} * 3600 * 10**9
from driftstair.__main__ import main
sys.exit(main())
"""


class Pair(NamedTuple):
    """The way from one server to another."""

    source: int
    target: int


class TcpRelay:
    """One listening port for each pair. A pair that is cut swallows what comes, as a switch that drops it."""

    def __init__(self, server_ports: list[int]) -> None:
        self._server_ports = server_ports
        self._listeners: dict[Pair, asyncio.Server] = {}
        self._writers: dict[Pair, set[asyncio.StreamWriter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._cut: set[Pair] = set()
        self._deaf: set[Pair] = set()  # requests pass and answers don't

    async def start(self) -> None:
        count = range(len(self._server_ports))
        for pair in (Pair(source, target) for source in count for target in count if source != target):
            self._writers[pair] = set()

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pair: Pair = pair
            ) -> None:
                await self._serve(pair, reader, writer)

            self._listeners[pair] = await asyncio.start_server(serve, "127.0.0.1", 0)

    def port(self, pair: Pair) -> int:
        return int(self._listeners[pair].sockets[0].getsockname()[1])

    def cut(self, pairs: Iterable[Pair]) -> None:
        for pair in pairs:
            self._cut.add(pair)
            self._drop(pair)

    def heal(self) -> None:
        for pair in self._cut | self._deaf:
            self._drop(pair)
        self._cut.clear()
        self._deaf.clear()

    def swallow_answers(self, pair: Pair) -> None:
        self._deaf.add(pair)

    def _drop(self, pair: Pair) -> None:
        for writer in list(self._writers[pair]):
            writer.transport.abort()

    async def _serve(self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers[pair].add(writer)
        try:
            there = await asyncio.open_connection("127.0.0.1", self._server_ports[pair.target])
        except OSError:
            self._writers[pair].discard(writer)
            writer.transport.abort()
            return
        self._writers[pair].add(there[1])
        await asyncio.gather(
            self._pump(pair, reader, there[1], self._cut),
            self._pump(pair, there[0], writer, self._cut, self._deaf),
        )
        self._writers[pair] -= {writer, there[1]}

    async def _pump(
        self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *barred: set[Pair]
    ) -> None:
        try:
            while data := await reader.read(1 << 16):
                if not any(pair in pairs for pairs in barred):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()

    def close(self) -> None:
        for listener in self._listeners.values():
            listener.close()
        for pair in self._writers:
            self._drop(pair)


class Node:
    """A hollow node: the shipped watch and reporter, and a state without anything that uses it."""

    def __init__(self, name: str, servers: list[tuple[str, int]], seed: int) -> None:
        self.name = name
        self.state = ConfigurationState()
        self.applied: list[tuple[int, str]] = []  # revisions and ids in the order in which they came
        self.faults: list[str] = []
        self.ages: list[tuple[int, int]] = []  # revision and age that a server told
        self.snapshots = 0
        self._parts: dict[str, Any] = {}
        self.watch = ConfigurationWatch(servers, name, self, SOCKET_SYSTEM, seed)
        self.reporter = Reporter(self._report, lambda: self.watch.server, SOCKET_SYSTEM, seed)

    def start(self) -> None:
        self.watch.start()
        self.reporter.start()
        self.reporter.report_soon()

    def stop(self) -> None:
        self.watch.stop()
        self.reporter.stop()

    def _report(self) -> NodeReport:
        return NodeReport(self.name, 1, self.state.revision, f"{self.state.digest:016x}")

    def position(self) -> WatchPosition:
        return WatchPosition(self.state.revision, None)

    def on_watch_ended(self) -> None:
        self._parts.clear()

    def on_watch_line(self, line: bytes) -> bool:
        message = decode_watch_message(line)
        match message:
            case Changes():
                self._apply(message)
            case Freshness(revision, age_ms, digest):
                self.ages.append((revision, age_ms))
                if revision == self.state.revision and digest != f"{self.state.digest:016x}":
                    self.faults.append(f"{self.name}: revision {revision} has two contents")
            case SnapshotPart():
                self._take_part(message)
        self.watch.on_server_current()
        return True

    def _take_part(self, part: SnapshotPart) -> None:
        if part.first:
            self._parts.clear()
        self._parts |= {str(one.key): one for one in part.resources}
        if part.last:
            self.snapshots += 1
            self.state = ConfigurationState.restore(part.revision, self._parts.values())

    def _apply(self, changes: Changes) -> None:
        if changes.base_revision != self.state.revision:
            self.faults.append(f"{self.name}: changes after {changes.base_revision} at {self.state.revision}")
        for logged in changes.change_sets:
            self.state.apply(logged)
            self.applied.append((logged.revision, logged.change_set.id))
        self.reporter.report_soon()


class ControlFleet:
    """`count` control servers, number i named `c{i}`."""

    def __init__(self, folder: Path, count: int, clocks: dict[int, int] | None = None) -> None:
        self.folder = folder
        self.count = count
        self.clocks = clocks or {}  # hours that a server's wall clock is off
        self.environment: dict[str, str] = {}  # of processes that are started from now on, beside this one's
        self.lines: dict[int, list[str]] = {number: [] for number in range(count)}
        self.nodes: list[Node] = []
        self.committed: dict[str, int] = {}  # by id, what clients were told
        self._held = [ports.tcp() for _ in range(count)]
        self.relay = TcpRelay([held.number for held in self._held])
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._readers: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> ControlFleet:
        await self.relay.start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, problem: BaseException | None, _: TracebackType | None
    ) -> None:
        for node in self.nodes:
            node.stop()
        for process in self._processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(process.wait() for process in self._processes.values()), *self._readers)
        self.relay.close()
        for held in self._held:
            held.release()
        if problem is not None:
            for number, lines in self.lines.items():
                print(f"server {number}:", *lines[-25:], sep="\n  ")

    # Processes.

    def address(self, number: int) -> tuple[str, int]:
        return "127.0.0.1", self._held[number].number

    def addresses(self, *numbers: int) -> list[tuple[str, int]]:
        return [self.address(number) for number in numbers or range(self.count)]

    def log_file(self, number: int) -> Path:
        return self.folder / f"c{number}" / "replica.log"

    def _settings(self, number: int) -> Path:
        folder = self.folder / f"c{number}"
        folder.mkdir(exist_ok=True)
        peers = [
            self._held[other].number if other == number else self.relay.port(Pair(number, other))
            for other in range(self.count)
        ]
        addresses = json.dumps([f"127.0.0.1:{port}" for port in peers])
        file = self.folder / f"c{number}.toml"
        file.write_text(
            f'version = 1\nname = "c{number}"\nlisten = "127.0.0.1:{self._held[number].number}"\n'
            f'folder = "{folder}"\npeers = {addresses}\nsnapshot_rate = "1MiB"\n'
        )
        return file

    async def start(self, *numbers: int) -> None:
        chosen = numbers or tuple(range(self.count))
        for number in chosen:
            hours = self.clocks.get(number)
            program = ("-m", "driftstair") if hours is None else ("-c", CLOCK_OFF.format(hours=hours))
            process = await asyncio.create_subprocess_exec(
                sys.executable, *program, "control", "serve", str(self._settings(number)), cwd=ROOT,
                env={**os.environ, **self.environment}, stderr=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
            self._processes[number] = process
            self.lines[number].append("--- started")
            self._readers.append(asyncio.create_task(self._read(number, process)))
        for number in chosen:
            await self.until(lambda number=number: "serving on" in self._since_start(number), "never ready")

    def _since_start(self, number: int) -> str:
        return "\n".join(self.lines[number]).rsplit("--- started", 1)[-1]

    async def _read(self, number: int, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode().rstrip():
            self.lines[number].append(line)

    def pid(self, number: int) -> int:
        return self._processes[number].pid

    async def kill(self, *numbers: int) -> None:
        for number in numbers:
            self._processes[number].kill()
        await asyncio.gather(*(self._processes[number].wait() for number in numbers))

    async def terminate(self, *numbers: int) -> list[int]:
        for number in numbers:
            self._processes[number].terminate()
        return list(await asyncio.gather(*(self._processes[number].wait() for number in numbers)))

    def stop(self, number: int) -> None:
        self._processes[number].send_signal(signal.SIGSTOP)

    def go_on(self, number: int) -> None:
        self._processes[number].send_signal(signal.SIGCONT)

    def isolate(self, *numbers: int) -> None:
        """No message between these servers and the others."""
        pairs = [Pair(one, other) for one in range(self.count) for other in range(self.count) if one != other]
        self.relay.cut(pair for pair in pairs if (pair.source in numbers) != (pair.target in numbers))

    # Waiting and asking.

    async def until(self, what: Callable[[], object], why: str) -> None:
        """Wait for something that processes do and nobody tells of."""
        try:
            async with asyncio.timeout(SETTLE_S):
                while not what():
                    await asyncio.sleep(LOOK_S)
        except TimeoutError:
            raise AssertionError(why) from None

    async def status(self, number: int) -> ServerStatus:
        return decode_status((await ask(self.address(number), "GET", "/configuration/status")).body)

    async def until_status(
        self, number: int, what: Callable[[ServerStatus], object], why: str
    ) -> ServerStatus:
        """Until a server's status is so."""
        async with asyncio.timeout(SETTLE_S):
            while not what(found := await self.status(number)):
                await asyncio.sleep(LOOK_S)
        return found

    async def leader(self, *among: int) -> int:
        """Whoever one of these says to lead, once it hears a majority and says so itself."""
        async with asyncio.timeout(SETTLE_S):
            while True:
                for number in among or range(self.count):
                    found = await self.status(number)
                    if found.leader == number and not found.age_ms:
                        return number
                await asyncio.sleep(LOOK_S)

    async def put_once(self, change_set: ChangeSet, number: int) -> Answer:
        answer = await ask(
            self.address(number), "POST", "/configuration/changes", msgspec.json.encode(change_set)
        )
        if answer.status == 200:
            revision = answer.said["revision"]
            assert self.committed.setdefault(change_set.id, revision) == revision
        return answer

    async def put(self, change_set: ChangeSet, *numbers: int) -> int:
        """Over these servers in turn until one says that it is committed."""
        async with asyncio.timeout(SETTLE_S):
            while True:
                for number in numbers or range(self.count):
                    try:
                        async with asyncio.timeout(6.0):
                            answer = await self.put_once(change_set, number)
                    except (OSError, TimeoutError, asyncio.IncompleteReadError):
                        continue
                    if answer.status == 200:
                        return int(answer.said["revision"])
                    assert answer.status == 503, answer
                await asyncio.sleep(LOOK_S)

    def add_nodes(self, count: int, *servers: int) -> list[Node]:
        added = []
        for index in range(count):
            name = f"n{len(self.nodes)}"
            node = Node(name, self.addresses(*servers), 7 + index + len(self.nodes))
            self.nodes.append(node)
            node.start()
            added.append(node)
        return added

    async def reached(self, revision: int, nodes: Iterable[Node] = ()) -> None:
        """Until these nodes (left out: all) have a revision."""
        chosen = list(nodes) or self.nodes
        await self.until(
            lambda: all(node.state.revision >= revision for node in chosen),
            f"never at {revision}: {[(node.name, node.state.revision) for node in chosen]}",
        )

    async def until_in_force(self, revision: int, nodes: int) -> None:
        """Until the servers' statuses together say so, as `driftstair control status` merges them."""
        async with asyncio.timeout(SETTLE_S):
            while True:
                answers = [(str(number), await self.status(number)) for number in range(self.count)]
                view = merge(answers)
                counts = {one.revision: one.in_force for one in view.revisions}
                if counts.get(revision) == view.nodes == nodes and not view.lagging:
                    assert not view.differing
                    return
                await asyncio.sleep(LOOK_S)

    # What has to hold.

    async def log_of(self, number: int) -> list[tuple[int, str]]:
        """Revisions and ids of a server's whole log."""
        found: list[tuple[int, str]] = []
        while True:
            after = found[-1][0] if found else 0
            answer = await ask(self.address(number), "GET", f"/configuration/log?from={after}")
            page = decode_log_page(answer.body)
            if not page.change_sets:
                return found
            found += [(one.revision, one.change_set.id) for one in page.change_sets]

    async def check(self, *numbers: int) -> None:
        """No committed change lost, no revision with two contents, each node's applied sequence a prefix."""
        last = max([*self.committed.values(), *(node.state.revision for node in self.nodes)])
        digests = set()
        for number in numbers or range(self.count):
            status = await self.until_status(
                number, lambda one: one.log.committed >= last, f"server {number} never at {last}"
            )
            if status.log.committed == last:
                digests.add(status.digest)
        assert len(digests) <= 1
        logs = [await self.log_of(number) for number in numbers or range(self.count)]
        whole = max(logs, key=len)
        for log in logs:
            assert log == whole[: len(log)]
        assert [revision for revision, _ in whole] == list(range(1, len(whole) + 1))
        ids = dict(whole)
        assert len(set(ids.values())) == len(ids), "one id at two revisions"
        for change_set_id, revision in self.committed.items():
            assert ids.get(revision) == change_set_id
        for node in self.nodes:
            assert not node.faults
            assert node.applied == whole[: len(node.applied)] or node.snapshots
        for lines in self.lines.values():
            assert not [line for line in lines if re.match(r"Traceback|.*Error: ", line)]
