"""`driftstair control serve`: runs one control server as a process, from its settings file to its end."""

from __future__ import annotations

import asyncio
import logging
import resource
import signal
import sys

import uvloop

from driftstair.control.replica_runner import ReplicaRunner
from driftstair.control.server import ControlServer
from driftstair.control.settings import ServerSettings, read_settings
from driftstair.control.storage import StorageError
from driftstair.observability.log_stream import log_to_standard_error
from driftstair.service.load import ServiceError

log = logging.getLogger(__name__)

EXIT_STOPPED, EXIT_FAILED, EXIT_BAD_USE = 0, 1, 2


def run(file: str) -> int:
    """Runs a control server until a signal or a fault stops it. Returns the exit status."""
    log_to_standard_error()
    try:
        settings = read_settings(file)
    except ServiceError as problem:
        for line in problem.problems:
            print(f"driftstair: {line}", file=sys.stderr)
        return EXIT_BAD_USE
    _raise_descriptor_limit()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(file, settings))


async def _serve(file: str, settings: ServerSettings) -> int:
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_event.set)
    try:
        runner = ReplicaRunner(settings)
    except StorageError as problem:
        print(f"driftstair: {file}: folder: {problem}", file=sys.stderr)
        return EXIT_BAD_USE
    except OSError as problem:
        print(f"driftstair: {file}: folder: can't be used: {problem.strerror}", file=sys.stderr)
        return EXIT_BAD_USE
    server = ControlServer(settings, runner)
    faults: list[str] = []

    def stop_on_fault(why: str) -> None:
        faults.append(why)
        stop_event.set()

    runner.on_fault = stop_on_fault
    try:
        host, port = await server.start()
    except OSError as problem:
        print(f"driftstair: {file}: listen: can't be used: {problem.strerror}", file=sys.stderr)
        await server.close()
        return EXIT_BAD_USE
    runner.start()
    log.info("serving on %s:%d", host, port)
    await stop_event.wait()
    for why in faults[:1]:
        log.error("%s; what a majority synced has changed on some disk: compare the servers' logs", why)
    log.info("stopping")
    await server.close()
    return EXIT_FAILED if faults else EXIT_STOPPED


def _raise_descriptor_limit() -> None:
    """Raises the soft limit, often 1,024, to the hard limit, since each watch takes a file descriptor."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
