"""Test support: control servers as processes, a TCP relay between each two of them, and the watches of
nodes."""

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
from control_rig import Answer, call

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
SETTLE_TIMEOUT_S = 60.0  # only a failing test waits so long
POLL_INTERVAL_S = 0.02
# A server whose wall clock differs from that of the machine by a number of hours.
SKEWED_CLOCK_PROGRAM = """
import sys, time
true_time_ns = time.time_ns
time.time_ns = lambda: true_time_ns() + {hours} * 3600 * 10**9
from driftstair.__main__ import main
sys.exit(main())
"""


class ServerPair(NamedTuple):
    """The direction from one server to another."""

    source: int
    target: int


class TcpRelay:
    """Relays TCP with a listening port for each pair. A pair that is cut drops all data, as a failed
    switch does."""

    def __init__(self, server_ports: list[int]) -> None:
        self._server_ports = server_ports
        self._listeners: dict[ServerPair, asyncio.Server] = {}
        self._writers: dict[ServerPair, set[asyncio.StreamWriter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._cut: set[ServerPair] = set()
        self._without_answers: set[ServerPair] = set()  # requests pass, answers are dropped

    async def start(self) -> None:
        """Listens on a port for each pair."""
        count = range(len(self._server_ports))
        for pair in (ServerPair(source, target) for source in count for target in count if source != target):
            self._writers[pair] = set()

            async def serve(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter, pair: ServerPair = pair
            ) -> None:
                await self._serve(pair, reader, writer)

            self._listeners[pair] = await asyncio.start_server(serve, "127.0.0.1", 0)

    def port(self, pair: ServerPair) -> int:
        """The port on which the source of a pair reaches the target."""
        return int(self._listeners[pair].sockets[0].getsockname()[1])

    def cut(self, pairs: Iterable[ServerPair]) -> None:
        """Aborts the connections of these pairs and drops all further data."""
        for pair in pairs:
            self._cut.add(pair)
            self._abort_connections(pair)

    def heal(self) -> None:
        """Ends all faults. Connections that were affected are aborted."""
        for pair in self._cut | self._without_answers:
            self._abort_connections(pair)
        self._cut.clear()
        self._without_answers.clear()

    def drop_answers(self, pair: ServerPair) -> None:
        """Drops data from the target of a pair to its source."""
        self._without_answers.add(pair)

    def _abort_connections(self, pair: ServerPair) -> None:
        for writer in list(self._writers[pair]):
            writer.transport.abort()

    async def _serve(
        self, pair: ServerPair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers[pair].add(writer)
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self._server_ports[pair.target])
        except OSError:
            self._writers[pair].discard(writer)
            writer.transport.abort()
            return
        self._writers[pair].add(upstream[1])
        await asyncio.gather(
            self._pump(pair, reader, upstream[1], self._cut),
            self._pump(pair, upstream[0], writer, self._cut, self._without_answers),
        )
        self._writers[pair] -= {writer, upstream[1]}

    async def _pump(
        self,
        pair: ServerPair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *blocked: set[ServerPair],
    ) -> None:
        try:
            while data := await reader.read(1 << 16):
                if not any(pair in pairs for pairs in blocked):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()

    def close(self) -> None:
        """Closes all ports and connections."""
        for listener in self._listeners.values():
            listener.close()
        for pair in self._writers:
            self._abort_connections(pair)


class Node:
    """A node reduced to the real watch and reporter, and a state that nothing uses."""

    def __init__(self, name: str, servers: list[tuple[str, int]], seed: int) -> None:
        self.name = name
        self.state = ConfigurationState()
        self.applied: list[tuple[int, str]] = []  # revisions and ids in order of arrival
        self.inconsistencies: list[str] = []
        self.ages: list[tuple[int, int]] = []  # revision and age in each `Freshness` message
        self.snapshots = 0
        self._parts: dict[str, Any] = {}
        self.watch = ConfigurationWatch(servers, name, self, SOCKET_SYSTEM, seed)
        self.reporter = Reporter(self._report, lambda: self.watch.server, SOCKET_SYSTEM, seed)

    def start(self) -> None:
        """Starts watching and reporting."""
        self.watch.start()
        self.reporter.start()
        self.reporter.report_soon()

    def stop(self) -> None:
        """Stops watching and reporting."""
        self.watch.stop()
        self.reporter.stop()

    def _report(self) -> NodeReport:
        return NodeReport(self.name, 1, self.state.revision, f"{self.state.digest:016x}")

    def position(self) -> WatchPosition:
        """Where the next watch begins."""
        return WatchPosition(self.state.revision, None)

    def on_watch_ended(self) -> None:
        """Discards the parts of an incomplete snapshot."""
        self._parts.clear()

    def on_watch_line(self, line: bytes) -> bool:
        """Applies a line of the watch."""
        message = decode_watch_message(line)
        match message:
            case Changes():
                self._apply(message)
            case Freshness(revision, age_ms, digest):
                self.ages.append((revision, age_ms))
                if revision == self.state.revision and digest != f"{self.state.digest:016x}":
                    self.inconsistencies.append(f"{self.name}: revision {revision} has two contents")
            case SnapshotPart():
                self._apply_part(message)
        self.watch.on_server_current()
        return True

    def _apply_part(self, part: SnapshotPart) -> None:
        if part.first:
            self._parts.clear()
        self._parts |= {str(resource.key): resource for resource in part.resources}
        if part.last:
            self.snapshots += 1
            self.state = ConfigurationState.restore(part.revision, self._parts.values())

    def _apply(self, changes: Changes) -> None:
        if changes.base_revision != self.state.revision:
            self.inconsistencies.append(
                f"{self.name}: changes after {changes.base_revision} at {self.state.revision}"
            )
        for logged in changes.change_sets:
            self.state.apply(logged)
            self.applied.append((logged.revision, logged.change_set.id))
        self.reporter.report_soon()


class ControlFleet:
    """`count` control servers as processes; number i is named `c{i}`."""

    def __init__(self, folder: Path, count: int, clock_offsets_h: dict[int, int] | None = None) -> None:
        self.folder = folder
        self.count = count
        self.clock_offsets_h = clock_offsets_h or {}  # by server: hours by which its wall clock is ahead
        self.environment: dict[str, str] = {}  # added to the environment of processes started from now on
        self.log_lines: dict[int, list[str]] = {number: [] for number in range(count)}
        self.nodes: list[Node] = []
        self.committed: dict[str, int] = {}  # revisions by id, as clients were told
        self._ports = [ports.reserve_tcp() for _ in range(count)]
        self.relay = TcpRelay([port.number for port in self._ports])
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
        for port in self._ports:
            port.release()
        if problem is not None:
            for number, log_lines in self.log_lines.items():
                print(f"server {number}:", *log_lines[-25:], sep="\n  ")

    # Processes.

    def address(self, number: int) -> tuple[str, int]:
        """The address of a server."""
        return "127.0.0.1", self._ports[number].number

    def addresses(self, *numbers: int) -> list[tuple[str, int]]:
        """The addresses of these servers; without numbers, of all."""
        return [self.address(number) for number in numbers or range(self.count)]

    def log_file(self, number: int) -> Path:
        """The log of a server on disk."""
        return self.folder / f"c{number}" / "replica.log"

    def _settings(self, number: int) -> Path:
        folder = self.folder / f"c{number}"
        folder.mkdir(exist_ok=True)
        peers = [
            self._ports[other].number if other == number else self.relay.port(ServerPair(number, other))
            for other in range(self.count)
        ]
        addresses = json.dumps([f"127.0.0.1:{port}" for port in peers])
        file = self.folder / f"c{number}.toml"
        file.write_text(
            f'version = 1\nname = "c{number}"\nlisten = "127.0.0.1:{self._ports[number].number}"\n'
            f'folder = "{folder}"\npeers = {addresses}\nsnapshot_rate = "1MiB"\n'
        )
        return file

    async def start(self, *numbers: int) -> None:
        """Starts these servers, or all, and waits until they serve."""
        chosen = numbers or tuple(range(self.count))
        for number in chosen:
            hours = self.clock_offsets_h.get(number)
            program = (
                ("-m", "driftstair") if hours is None else ("-c", SKEWED_CLOCK_PROGRAM.format(hours=hours))
            )
            process = await asyncio.create_subprocess_exec(
                sys.executable, *program, "control", "serve", str(self._settings(number)), cwd=ROOT,
                env={**os.environ, **self.environment}, stderr=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.DEVNULL,
            )  # fmt: skip
            self._processes[number] = process
            self.log_lines[number].append("--- started")
            self._readers.append(asyncio.create_task(self._read(number, process)))
        for number in chosen:
            await self.wait_until(
                lambda number=number: "serving on" in self._since_start(number), "the server did not start"
            )

    def _since_start(self, number: int) -> str:
        return "\n".join(self.log_lines[number]).rsplit("--- started", 1)[-1]

    async def _read(self, number: int, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := (await process.stderr.readline()).decode().rstrip():
            self.log_lines[number].append(line)

    def pid(self, number: int) -> int:
        """The process id of a server."""
        return self._processes[number].pid

    async def kill(self, *numbers: int) -> None:
        """Kills these servers."""
        for number in numbers:
            self._processes[number].kill()
        await asyncio.gather(*(self._processes[number].wait() for number in numbers))

    async def terminate(self, *numbers: int) -> list[int]:
        """Terminates these servers and returns their exit statuses."""
        for number in numbers:
            self._processes[number].terminate()
        return list(await asyncio.gather(*(self._processes[number].wait() for number in numbers)))

    def pause(self, number: int) -> None:
        """Suspends the process of a server."""
        self._processes[number].send_signal(signal.SIGSTOP)

    def resume(self, number: int) -> None:
        """Resumes the process of a server."""
        self._processes[number].send_signal(signal.SIGCONT)

    def isolate(self, *numbers: int) -> None:
        """Cuts all connections between these servers and the others."""
        pairs = [
            ServerPair(source, target)
            for source in range(self.count)
            for target in range(self.count)
            if source != target
        ]
        self.relay.cut(pair for pair in pairs if (pair.source in numbers) != (pair.target in numbers))

    # Waiting and calls.

    async def wait_until(self, condition: Callable[[], object], message: str) -> None:
        """Polls until a condition holds that has no notification."""
        try:
            async with asyncio.timeout(SETTLE_TIMEOUT_S):
                while not condition():
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise AssertionError(message) from None

    async def status(self, number: int) -> ServerStatus:
        """The status of a server."""
        return decode_status((await call(self.address(number), "GET", "/configuration/status")).body)

    async def wait_for_status(
        self, number: int, condition: Callable[[ServerStatus], object], message: str
    ) -> ServerStatus:
        """Polls the status of a server until a condition holds."""
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while not condition(status := await self.status(number)):
                await asyncio.sleep(POLL_INTERVAL_S)
        return status

    async def wait_for_leader(self, *numbers: int) -> int:
        """Waits until one of these servers, or of all, leads with a majority, and returns its number."""
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while True:
                for number in numbers or range(self.count):
                    status = await self.status(number)
                    if status.leader == number and not status.age_ms:
                        return number
                await asyncio.sleep(POLL_INTERVAL_S)

    async def put_once(self, change_set: ChangeSet, number: int) -> Answer:
        """Puts a change set once, to one server."""
        answer = await call(
            self.address(number), "POST", "/configuration/changes", msgspec.json.encode(change_set)
        )
        if answer.status == 200:
            revision = answer.document["revision"]
            assert self.committed.setdefault(change_set.id, revision) == revision
        return answer

    async def put(self, change_set: ChangeSet, *numbers: int) -> int:
        """Puts a change set to these servers, or to all, in turn until it is committed. Returns its
        revision."""
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while True:
                for number in numbers or range(self.count):
                    try:
                        async with asyncio.timeout(6.0):
                            answer = await self.put_once(change_set, number)
                    except (OSError, TimeoutError, asyncio.IncompleteReadError):
                        continue
                    if answer.status == 200:
                        return int(answer.document["revision"])
                    assert answer.status == 503, answer
                await asyncio.sleep(POLL_INTERVAL_S)

    def add_nodes(self, count: int, *servers: int) -> list[Node]:
        """Starts nodes that use these servers, or all."""
        added = []
        for index in range(count):
            name = f"n{len(self.nodes)}"
            node = Node(name, self.addresses(*servers), 7 + index + len(self.nodes))
            self.nodes.append(node)
            node.start()
            added.append(node)
        return added

    async def wait_for_revision(self, revision: int, nodes: Iterable[Node] = ()) -> None:
        """Waits until these nodes, or all, have a revision."""
        chosen = list(nodes) or self.nodes
        await self.wait_until(
            lambda: all(node.state.revision >= revision for node in chosen),
            f"revision {revision} was not reached: {[(node.name, node.state.revision) for node in chosen]}",
        )

    async def wait_until_in_force(self, revision: int, nodes: int) -> None:
        """Waits until the merged statuses, as `driftstair control status` shows them, have a revision in
        force in all nodes."""
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            while True:
                answers = [(str(number), await self.status(number)) for number in range(self.count)]
                view = merge(answers)
                counts = {recent.revision: recent.in_force for recent in view.revisions}
                if counts.get(revision) == view.nodes == nodes and not view.lagging:
                    assert not view.differing
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    # Invariants.

    async def read_log(self, number: int) -> list[tuple[int, str]]:
        """The revisions and ids of the whole log of a server."""
        entries: list[tuple[int, str]] = []
        while True:
            after = entries[-1][0] if entries else 0
            answer = await call(self.address(number), "GET", f"/configuration/log?from={after}")
            page = decode_log_page(answer.body)
            if not page.change_sets:
                return entries
            entries += [(entry.revision, entry.change_set.id) for entry in page.change_sets]

    async def check_consistency(self, *numbers: int) -> None:
        """Checks that no committed change is lost, that no revision has two contents, and that each node
        has applied a prefix of the log."""
        last = max([*self.committed.values(), *(node.state.revision for node in self.nodes)])
        digests = set()
        for number in numbers or range(self.count):
            status = await self.wait_for_status(
                number,
                lambda status: status.log.committed >= last,
                f"server {number} did not reach revision {last}",
            )
            if status.log.committed == last:
                digests.add(status.digest)
        assert len(digests) <= 1
        logs = [await self.read_log(number) for number in numbers or range(self.count)]
        longest = max(logs, key=len)
        for log in logs:
            assert log == longest[: len(log)]
        assert [revision for revision, _ in longest] == list(range(1, len(longest) + 1))
        ids = dict(longest)
        assert len(set(ids.values())) == len(ids), "one id at two revisions"
        for change_set_id, revision in self.committed.items():
            assert ids.get(revision) == change_set_id
        for node in self.nodes:
            assert not node.inconsistencies
            assert node.applied == longest[: len(node.applied)] or node.snapshots
        for log_lines in self.log_lines.values():
            assert not [line for line in log_lines if re.match(r"Traceback|.*Error: ", line)]
