"""The daemons of a run: the processes of each node, the signals sent to them, their logs and event logs."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections import deque
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

from benchmarks.soak.platform import HOST, LONGEST_DEADLINE_S
from benchmarks.soak.records import NodeRecord, Span
from driftstair.rehearsal import ports

ROOT = Path(__file__).parent.parent.parent
START_TIMEOUT_S = 20.0
KILL_GRACE_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline and this time
DEPLOY_COMMAND = ("/bin/sh", "-c", 'trap \'\' HUP; exec "$0" "$@"')  # as in `run` of the deploy file
LAST_LOG_LINES = 3  # of a process that ended by itself; they go into its record
MAX_TRACEBACK_LINES = 30  # of a crash; further lines are dropped
DELAYED_ATTEMPT_MS = 20.0  # between the guard's check and the write; scheduling noise stays below it
PLANTED_MODULE = "benchmarks.soak.planted"


class Daemon:
    """One node. Its process may end, and a new one be started at the same address."""

    def __init__(
        self, number: int, folder: Path, record: NodeRecord, planted: str, environment: dict[str, str]
    ) -> None:
        """`planted`: the name of a defect; if empty, the daemon runs as shipped. `environment`: variables of
        its processes, in addition to those of this process."""
        self.number = number
        self.record = record
        self.accepts_clients = False
        self.discovery_index = 0  # which of discovery's addresses for this node it uses
        self.configuration: dict[str, Any] = {}
        self._folder = folder
        self._planted = planted
        self._environment = environment
        self._port = ports.reserve_tcp()
        self._generation = 0
        self._process: asyncio.subprocess.Process | None = None
        self._log_task: asyncio.Task[None] | None = None
        self._is_ending = False
        self._is_stalled = False

    def address(self) -> tuple[str, int]:
        """The address at which clients reach the node."""
        return HOST, self._port.number

    def listen_address(self) -> str:
        """The node's address as it stands in its configuration."""
        return f"{HOST}:{self._port.number}"

    def _configuration_path(self) -> Path:
        return self._folder / f"n{self.number}.json"

    def _write_configuration(self) -> None:
        new_path = self._configuration_path().with_suffix(".new")
        new_path.write_text(json.dumps(self.configuration))
        new_path.replace(self._configuration_path())

    async def start(self) -> None:
        """Starts a process and returns when it serves. Raises TimeoutError if that takes too long, and
        RuntimeError if the process ends before."""
        self._generation += 1
        self._is_ending = True  # until there is a process that a signal can reach
        self._write_configuration()
        self.record.process_starts.append(monotonic())
        service_path = self._folder / f"n{self.number}-{self._generation}.toml"
        events_path = self._folder / f"n{self.number}-{self._generation}.events"
        service_path.write_text(f'version = 1\n[events]\nlevel = "requests"\nfile = "{events_path}"\n')
        module_arguments = [PLANTED_MODULE, self._planted] if self._planted else ["driftstair"]
        self._process = await asyncio.create_subprocess_exec(
            *DEPLOY_COMMAND, sys.executable, "-m", *module_arguments, cwd=ROOT,
            stderr=asyncio.subprocess.PIPE, env={
                **{key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")},
                **self._environment, "BALANCER_CONFIG": str(self._configuration_path()),
                "DRIFTSTAIR_SERVICE": str(service_path),
            },
        )  # fmt: skip
        self._is_ending = False
        serving = asyncio.get_running_loop().create_future()
        self._log_task = asyncio.get_running_loop().create_task(self._read_log(self._process, serving))
        await asyncio.wait_for(serving, START_TIMEOUT_S)
        self.accepts_clients = True

    async def _read_log(self, process: asyncio.subprocess.Process, serving: asyncio.Future[None]) -> None:
        """Reads the log of a process until it ends, and records crashes. Completes `serving` once the process
        serves, or fails it if the process ends before."""
        assert process.stderr is not None
        traceback_lines: list[str] = []
        last_lines: deque[str] = deque(maxlen=LAST_LOG_LINES)
        while data := await process.stderr.readline():
            line = data.decode("utf-8", "replace").rstrip("\n")
            last_lines.append(line)
            if "serving on" in line and not serving.done():
                serving.set_result(None)
            if line.startswith("Traceback") or traceback_lines:
                traceback_lines.append(line)
        status = await process.wait()
        if traceback_lines:
            self.record.crashes.append("\n".join(traceback_lines[:MAX_TRACEBACK_LINES]))
        if not self._is_ending:
            self.record.crashes.append(f"ended by itself with status {status}: {' / '.join(last_lines)}")
            self.record.kill_times.append(monotonic())
            self.accepts_clients = False
        if not serving.done():
            serving.set_exception(
                RuntimeError(f"node {self.number} ended with {status}: {' / '.join(last_lines)}")
            )

    def _send_signal(self, signal_number: int) -> bool:
        """Returns False if there is no running process."""
        if self._process is None or self._process.returncode is not None:
            return False
        with suppress(ProcessLookupError):
            self._process.send_signal(signal_number)
        return True

    # Faults.

    async def stall(self, duration_s: float) -> None:
        """Stops the process for a time by SIGSTOP. Does nothing if it is already stopped."""
        if self._is_stalled or not self._send_signal(signal.SIGSTOP):
            return
        self._is_stalled = True
        span = Span(monotonic(), float("inf"))
        self.record.stalls.append(span)
        await asyncio.sleep(duration_s)
        self._send_signal(signal.SIGCONT)
        span.end = monotonic()
        self._is_stalled = False

    def reload(self, discovery_index: int, discovery_address: str) -> None:
        """Makes the process reload a configuration with another address of discovery."""
        self.discovery_index = discovery_index
        self.configuration["discovery"] = discovery_address
        self._write_configuration()
        self.record.reload_times.append(monotonic())
        self._send_signal(signal.SIGHUP)

    async def terminate(self, new_clients_s: float) -> None:
        """Sends SIGTERM, and SIGKILL if the process has not ended in time. New clients keep connecting for
        `new_clients_s` after SIGTERM."""
        if self._is_ending or not self._send_signal(signal.SIGTERM):
            return
        self._is_ending = True
        was_serving = self.accepts_clients
        terminated_at = monotonic()
        self.record.sigterm_times.append(terminated_at)
        await asyncio.sleep(new_clients_s)
        self.accepts_clients = False
        assert self._process is not None
        remaining_s = terminated_at + LONGEST_DEADLINE_S + KILL_GRACE_S - monotonic()
        try:
            status = await asyncio.wait_for(self._process.wait(), remaining_s)
        except TimeoutError:
            self._force_end()
        else:
            # Until the interpreter is up it can't handle the signal, and SIGTERM ends the process by default.
            if status and (was_serving or status != -signal.SIGTERM):
                self.record.crashes.append(f"status {status} after SIGTERM")
        await self._wait_for_log_end()

    async def kill(self) -> None:
        """Ends the process by SIGKILL."""
        if not self._is_ending:
            self._is_ending = True
            self._force_end()
            await self._wait_for_log_end()

    def _force_end(self) -> None:
        self.accepts_clients = False
        if self._send_signal(signal.SIGKILL):
            self.record.kill_times.append(monotonic())

    def is_ending(self) -> bool:
        """Whether the process is being started or ended, or has been ended."""
        return self._is_ending

    def close(self) -> None:
        """Ends the process at the end of the run, without waiting for it or recording it."""
        self._is_ending = True
        self._send_signal(signal.SIGKILL)

    async def _wait_for_log_end(self) -> None:
        if self._log_task is not None:
            await self._log_task

    # After the run.

    def read_event_logs(self) -> None:
        """Adds to the record what the event logs of the node's processes contain: the requests that were
        read, the attempts that were delayed between the guard's check and their write, and the violations of
        the guard's invariants, except those of requests with a delayed attempt."""
        for path in sorted(self._folder.glob(f"n{self.number}-*.events")):
            process_events = ProcessEvents()
            for line in path.read_text().splitlines():
                with suppress(ValueError):  # a killed process leaves an incomplete line
                    process_events.add(json.loads(line))
            self.record.delayed_attempts |= process_events.delayed_attempts
            self.record.read_request_ids |= process_events.read_request_ids()
            self.record.invariant_violations += process_events.violations()


@dataclass(slots=True)
class ProcessEvents:
    """The events of one process."""

    delayed_attempts: set[tuple[str, int]] = field(default_factory=set)  # request id, index
    _request_ids: dict[int, str] = field(default_factory=dict)  # by the process's number of the request
    _last_attempts: dict[int, int] = field(default_factory=dict)  # the index of each request's newest attempt
    _violations: list[tuple[int, str]] = field(default_factory=list)  # request number, description

    def add(self, event: dict[str, Any]) -> None:
        """Adds an event. Events must come in the order of the log."""
        number = event.get("request", 0)
        if event["event"] == "request_taken":
            self._request_ids[number] = event["request_id"]
        elif event["event"] == "attempt_started":
            index = self._last_attempts[number] = self._last_attempts.get(number, -1) + 1
            if event["held_ms"] > DELAYED_ATTEMPT_MS and number in self._request_ids:
                self.delayed_attempts.add((self._request_ids[number], index))
        elif event["event"] == "invariant_violated":
            self._violations.append((number, f"{event['invariant']}: {event['detail']}"))

    def read_request_ids(self) -> set[str]:
        """The ids of the requests that the process has read."""
        return set(self._request_ids.values())

    def violations(self) -> list[str]:
        """The violations of invariants, except those of requests with a delayed attempt."""
        delayed_request_ids = {request_id for request_id, _ in self.delayed_attempts}
        return [
            f"{self._request_ids.get(number, number)}: {description}"
            for number, description in self._violations
            if self._request_ids.get(number) not in delayed_request_ids
        ]
