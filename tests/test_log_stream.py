"""Where the log goes: nobody may read it, and the node serves on."""

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

PAGE = 4096  # bytes: the smallest pipe


def waiting(descriptor: int) -> int:
    """Bytes in a pipe."""
    found = array.array("i", [0])
    fcntl.ioctl(descriptor, termios.FIONREAD, found)
    return found[0]


def test_a_log_that_nobody_reads_holds_up_no_request(tmp_path: Path) -> None:
    """Standard error is a pipe, and it is full as the node has something to say."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        reads, writes = os.pipe()
        async with Server("s-1") as server:
            path = tmp_path / "config.json"
            path.write_text(json.dumps(configuration(server)))
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "driftstair", cwd=ROOT, stderr=writes,
                env={**os.environ, "BALANCER_CONFIG": str(path)},
            )  # fmt: skip
            try:
                told = b""
                while b"serving on" not in told:
                    told += await loop.run_in_executor(None, os.read, reads, PAGE)
                line = next(one for one in told.splitlines() if b"serving on" in one)
                host, port = line.split()[-1].decode().rsplit(":", 1)
                fcntl.fcntl(writes, fcntl.F_SETPIPE_SZ, PAGE)
                while waiting(reads) < PAGE:
                    os.write(writes, b"." * (PAGE - waiting(reads)))
                for _ in range(3):
                    process.send_signal(signal.SIGHUP)  # each is told in the log
                    await asyncio.sleep(0.05)
                client = Client(*await asyncio.open_connection(host, int(port)))
                assert status(await client.ask(request())) == 200
                os.read(reads, PAGE)
                process.send_signal(signal.SIGHUP)
                await until(lambda: waiting(reads))
                assert b"lines were not written" in os.read(reads, PAGE)
                assert status(await client.ask(request())) == 200
            finally:
                process.kill()
                await process.wait()
                os.close(reads)
                os.close(writes)

    run(test())


def test_what_can_not_be_written_at_once_is_dropped_and_counted() -> None:
    reads, writes = os.pipe()
    fcntl.fcntl(writes, fcntl.F_SETPIPE_SZ, PAGE)
    with os.fdopen(reads, "rb"), os.fdopen(writes, "w") as stream:
        handler = LogStreamHandler(stream)
        logger = logging.Logger("one")
        logger.addHandler(handler)
        logger.info("x" * 10 * PAGE)  # a line that no pipe takes at once is cut
        assert waiting(reads) == PAGE
        for _ in range(3):
            logger.info("lost")
        assert handler.dropped == 3
        os.read(reads, PAGE)
        logger.info("kept")
        assert handler.dropped == 0
        assert os.read(reads, PAGE).splitlines() == [
            b"3 lines were not written: nobody read the log",
            b"kept",
        ]


def test_a_file_takes_whole_lines_and_a_reader_that_is_gone_ends_nothing(tmp_path: Path) -> None:
    with (tmp_path / "log").open("w") as stream:
        logger = logging.Logger("one")
        logger.addHandler(LogStreamHandler(stream))
        logger.info("x" * 10 * PAGE)
    assert (tmp_path / "log").stat().st_size == 10 * PAGE + 1
    reads, writes = os.pipe()
    os.close(reads)
    with suppress(BrokenPipeError), os.fdopen(writes, "w") as stream:
        logger = logging.Logger("one")
        logger.addHandler(LogStreamHandler(stream))
        logger.info("to nobody")
