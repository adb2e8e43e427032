"""The log stream: the node keeps serving when nobody reads its log."""

from __future__ import annotations

import array
import asyncio
import fcntl
import json
import logging
import os
import signal
import sys
import termios
from contextlib import suppress
from pathlib import Path

from rig import Client, Server, configuration, request, run, status, until
from test_process import ROOT

from driftstair.observability.log_stream import LogStreamHandler

PAGE_BYTES = 4096  # the smallest pipe buffer


def unread_bytes(descriptor: int) -> int:
    """The number of unread bytes in a pipe."""
    found = array.array("i", [0])
    fcntl.ioctl(descriptor, termios.FIONREAD, found)
    return found[0]


def test_an_unread_log_delays_no_request(tmp_path: Path) -> None:
    """Guards against a full standard error pipe that blocks the event loop when the node logs."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        read_end, write_end = os.pipe()
        async with Server("s-1") as server:
            path = tmp_path / "config.json"
            path.write_text(json.dumps(configuration(server)))
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "driftstair", cwd=ROOT, stderr=write_end,
                env={**os.environ, "BALANCER_CONFIG": str(path)},
            )  # fmt: skip
            try:
                output = b""
                while b"serving on" not in output:
                    output += await loop.run_in_executor(None, os.read, read_end, PAGE_BYTES)
                line = next(one for one in output.splitlines() if b"serving on" in one)
                host, port = line.split()[-1].decode().rsplit(":", 1)
                fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PAGE_BYTES)
                while unread_bytes(read_end) < PAGE_BYTES:
                    os.write(write_end, b"." * (PAGE_BYTES - unread_bytes(read_end)))
                for _ in range(3):
                    process.send_signal(signal.SIGHUP)  # each writes a log line
                    await asyncio.sleep(0.05)
                client = Client(*await asyncio.open_connection(host, int(port)))
                assert status(await client.ask(request())) == 200
                os.read(read_end, PAGE_BYTES)
                process.send_signal(signal.SIGHUP)
                await until(lambda: unread_bytes(read_end))
                assert b"lines were not written" in os.read(read_end, PAGE_BYTES)
                assert status(await client.ask(request())) == 200
            finally:
                process.kill()
                await process.wait()
                os.close(read_end)
                os.close(write_end)

    run(test())


def test_a_line_that_would_block_is_dropped_and_counted() -> None:
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PAGE_BYTES)
    with os.fdopen(read_end, "rb"), os.fdopen(write_end, "w") as stream:
        handler = LogStreamHandler(stream)
        logger = logging.Logger("one")
        logger.addHandler(handler)
        logger.info("x" * 10 * PAGE_BYTES)  # a line longer than an atomic write is cut
        assert unread_bytes(read_end) == PAGE_BYTES
        for _ in range(3):
            logger.info("lost")
        assert handler.dropped == 3
        os.read(read_end, PAGE_BYTES)
        logger.info("kept")
        assert handler.dropped == 0
        assert os.read(read_end, PAGE_BYTES).splitlines() == [
            b"3 lines were not written: nobody read the log",
            b"kept",
        ]


def test_a_file_gets_complete_lines_and_a_closed_pipe_raises_nothing(tmp_path: Path) -> None:
    with (tmp_path / "log").open("w") as stream:
        logger = logging.Logger("one")
        logger.addHandler(LogStreamHandler(stream))
        logger.info("x" * 10 * PAGE_BYTES)
    assert (tmp_path / "log").stat().st_size == 10 * PAGE_BYTES + 1
    read_end, write_end = os.pipe()
    os.close(read_end)
    with suppress(BrokenPipeError), os.fdopen(write_end, "w") as stream:
        logger = logging.Logger("one")
        logger.addHandler(LogStreamHandler(stream))
        logger.info("to nobody")
