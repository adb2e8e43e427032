"""`driftstair control serve`: the process of one control server, from its file to its end."""

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

ENDED, FAILED, BAD_USE = 0, 1, 2


def run(file: str) -> int:
    """The exit status."""
    log_to_standard_error()
    try:
        settings = read_settings(file)
    except ServiceError as problem:
        for one in problem.problems:
            print(f"driftstair: {one}", file=sys.stderr)
        return BAD_USE
    _raise_descriptor_limit()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_serve(file, settings))


async def _serve(file: str, settings: ServerSettings) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    try:
        runner = ReplicaRunner(settings)
    except StorageError as problem:
        print(f"driftstair: {file}: folder: {problem}", file=sys.stderr)
        return BAD_USE
    except OSError as problem:
        print(f"driftstair: {file}: folder: can't be used: {problem.strerror}", file=sys.stderr)
        return BAD_USE
    server = ControlServer(settings, runner)
    faults: list[str] = []

    def end_by_fault(why: str) -> None:
        faults.append(why)
        stop.set()

    runner.on_fault = end_by_fault
    try:
        host, port = await server.start()
    except OSError as problem:
        print(f"driftstair: {file}: listen: can't be used: {problem.strerror}", file=sys.stderr)
        await server.close()
        return BAD_USE
    runner.start()
    log.info("serving on %s:%d", host, port)
    await stop.wait()
    for why in faults[:1]:
        log.error("%s; what a majority synced has changed on some disk: compare the servers' logs", why)
    log.info("stopping")
    await server.close()
    return FAILED if faults else ENDED


def _raise_descriptor_limit() -> None:
    """A descriptor a watch: the soft limit, often 1,024, is raised to what the machine allows."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
