"""A process that does not run for a while: what happened meanwhile counts from when it happened, not from
when it is read. Whole daemons, stopped by SIGSTOP and resumed by SIGCONT; each order is forced by what is
already with the kernel when the process goes on."""

from __future__ import annotations

import asyncio
import signal
import socket
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager, suppress
from pathlib import Path
from time import monotonic

import pytest
from rig import (
    TIMEOUT_S,
    Client,
    Message,
    Server,
    answer,
    configuration,
    grade,
    read_message,
    request,
    run,
    silent,
    status,
    until,
)
from test_process import Program, program

STALL = 0.6  # s
SLACK = 0.15  # s that a server may be told beyond what the client has left
GONE = 0.1  # s after a client's close in which an attempt may still begin
GRACE = 0.5  # s after its time in which an answer only earns nothing


@asynccontextmanager
async def stopped(node: Program) -> AsyncIterator[None]:
    """The process does not run within, and all that is done within is with the kernel when it goes on."""
    node.process.send_signal(signal.SIGSTOP)
    try:
        await until(lambda: _state(node) == "T")
        yield
    finally:
        node.process.send_signal(signal.SIGCONT)


def _state(node: Program) -> str:
    """Of the process, as proc(5) names it."""
    return Path(f"/proc/{node.process.pid}/stat").read_text().rsplit(") ", 1)[1][0]


def told(message: Message) -> float:
    """The deadline that a server was told, in s."""
    return int(message.headers["x-deadline"].removesuffix("u")) / 1e6


class Timed:
    """A script that notes when each attempt came, and answers the first one when it is let."""

    def __init__(self, first: bytes) -> None:
        self.first = first
        self.release = asyncio.Event()
        self.came: list[float] = []

    async def __call__(self, _: Message, writer: asyncio.StreamWriter) -> None:
        self.came.append(monotonic())
        if len(self.came) == 1:
            await self.release.wait()
            writer.write(self.first)
        else:
            writer.write(answer())


@pytest.mark.parametrize("connection", ["kept", "new", "pipelined"])
def test_a_server_is_told_what_is_left_of_the_clients_time(connection: str, tmp_path: Path) -> None:
    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            client = await node.client()
            assert status(await client.ask(request())) == 200
            requests = [request(X_Deadline="2000m") for _ in range(2 if connection == "pipelined" else 1)]
            async with stopped(node):
                if connection == "new":
                    client = await node.client()
                began = monotonic()
                client.writer.write(b"".join(requests))
                await asyncio.sleep(STALL)
            for _ in requests:
                assert status(await client.read()) == 200
            for message in server.seen[1:]:
                assert told(message) <= 2.0 - STALL + SLACK, f"{monotonic() - began:.3f} s after its request"

    run(test())


LONG_BODY = b"y" * 400_000  # beyond what the node's machine takes in ahead: the rest waits with the client's


async def write_all(client: Client, data: bytes) -> None:
    """Until it is with a kernel, as far as a client can know."""
    transport = client.writer.transport
    transport.set_write_buffer_limits(high=0)
    client.writer.write(data)
    await client.writer.drain()


def test_a_long_request_that_was_written_meanwhile_counts_from_then(tmp_path: Path) -> None:
    """Its end comes to the node's machine only as the node reads, however long ago it was written."""

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            client = await node.client()
            assert status(await client.ask(request())) == 200
            async with stopped(node):
                await write_all(client, request(body=LONG_BODY, X_Deadline="2000m"))
                await asyncio.sleep(STALL)
            assert status(await client.read()) == 200
            assert told(server.seen[1]) <= 2.0 - STALL + SLACK
            assert status(await client.ask(request(X_Deadline="2000m"))) == 200
            assert told(server.seen[2]) > 2.0 - STALL  # and no later one

    run(test())


OTHERS = 200  # clients whose requests keep the node from one read of a long body to the next


@pytest.mark.parametrize("size", [100_000, 150_000, 400_000])
def test_a_long_request_counts_from_its_writing_also_where_the_node_has_much_else_to_read(
    size: int, tmp_path: Path
) -> None:
    """Between two reads of its body the loop reads what all others have sent meanwhile."""

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            client = await node.client()
            assert status(await client.ask(request())) == 200
            others = [await node.client() for _ in range(OTHERS)]
            async with stopped(node):
                for other in others[::2]:
                    other.writer.write(request())
                await write_all(client, request(body=b"y" * size, X_Deadline="2000m"))
                for other in others[1::2]:
                    other.writer.write(request())
                await asyncio.sleep(STALL)
            assert status(await client.read()) == 200
            (long,) = [message for message in server.seen if message.body]
            assert told(long) <= 2.0 - STALL + SLACK

    run(test())


@pytest.mark.parametrize("size", [150_000, 400_000])
def test_a_long_request_counts_from_its_writing_also_where_many_are_ahead_in_the_accept_queue(
    size: int, tmp_path: Path
) -> None:
    """Its connection is accepted long after the process runs again, behind those of all others."""

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            async with stopped(node):
                for _ in range(OTHERS):
                    other = await node.client()
                    other.writer.write(request())
                client = await node.client()
                await write_all(client, request(body=b"y" * size, X_Deadline="2000m"))
                await asyncio.sleep(STALL)
            assert status(await client.read()) == 200
            (long,) = [message for message in server.seen if message.body]
            assert told(long) <= 2.0 - STALL + SLACK

    run(test())


def test_nothing_begins_for_a_client_that_wrote_a_long_request_and_left_meanwhile(tmp_path: Path) -> None:
    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            client = await node.client()
            async with stopped(node):
                await write_all(client, request(body=LONG_BODY))
                client.writer.write_eof()
                await asyncio.sleep(STALL)
            assert status(await client.read()) == 503
            assert not server.seen

    run(test())


def test_a_request_whose_time_ended_meanwhile_is_not_forwarded(tmp_path: Path) -> None:
    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            client = await node.client()
            async with stopped(node):
                client.writer.write(request(X_Deadline="200m"))
                await asyncio.sleep(STALL)
            assert status(await client.read()) == 504
            assert not server.seen

    run(test())


@pytest.mark.parametrize("how", ["close", "half-close"])
def test_nothing_begins_for_a_client_that_left_meanwhile(how: str, tmp_path: Path) -> None:
    """Its end and the failure of its attempt wait with the kernel, in this order, and are read at once."""

    async def test() -> None:
        script = Timed(answer(500))
        async with (
            Server("s-1", script) as one,
            Server("s-2", script) as two,
            program(configuration(one, two), tmp_path) as node,
        ):
            client = await node.client()
            client.writer.write(request())
            await until(lambda: script.came)
            async with stopped(node):
                left = monotonic()
                if how == "close":
                    client.writer.close()
                else:
                    client.writer.write_eof()
                await asyncio.sleep(STALL / 2)
                script.release.set()
                await asyncio.sleep(STALL / 2)
            other = await node.client()
            assert status(await other.ask(request())) == 200  # what waited has been dealt with before
            late = [at - left for at in script.came[1:-1] if at - left > GONE]
            assert not late, "attempts begun so long after the close"

    run(test())


def test_all_is_answered_before_the_process_may_be_killed(tmp_path: Path) -> None:
    """SIGKILL comes 0.7 s after SIGTERM and the longest deadline at the soonest, not after its handling."""
    longest, killed_after, stall = 3.0, 0.7, 0.87

    async def test() -> None:
        document = configuration()
        document["settings"]["Grades"] = [grade("page", "once", 3000, 3000)]
        async with Server("s-1", silent) as server:
            document["known"]["servers"] = [server.entry()]
            async with program(document, tmp_path) as node:
                client = await node.client()
                async with stopped(node):
                    terminated = monotonic()
                    node.process.send_signal(signal.SIGTERM)
                    await asyncio.sleep(stall)
                client.writer.write(request(method="POST", X_Deadline="3000m"))
                got = await client.read()
                took = monotonic() - terminated
                assert status(got) in (502, 503, 504)
                assert took < longest + killed_after, f"answered {took:.3f} s after SIGTERM"

    run(test())


def test_an_answer_comes_in_time_where_a_retry_was_due_meanwhile(tmp_path: Path) -> None:
    """An attempt fails while the process stands still: the next one is told what is left by then."""

    async def test() -> None:
        script = Timed(answer(500))
        async with (
            Server("s-1", script) as one,
            Server("s-2", script) as two,
            program(configuration(one, two), tmp_path) as node,
        ):
            client: Client = await node.client()
            client.writer.write(request(X_Deadline="2000m"))
            await until(lambda: script.came)
            async with stopped(node):
                script.release.set()
                await asyncio.sleep(STALL)
            async with asyncio.timeout(TIMEOUT_S):
                assert status(await client.read()) in (200, 502, 503)
            for message in (one.seen + two.seen)[1:]:
                assert told(message) <= 2.0 - STALL + SLACK

    run(test())


SYN_SENT = "02"  # in /proc/net/tcp: a connection that is being dialed


def dials(port: int) -> bool:
    """Whether some connection to that port on this machine has not come up yet."""
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    return any(line.split()[2].endswith(f":{port:04X}") and line.split()[3] == SYN_SENT for line in lines)


def test_a_server_is_told_what_is_left_after_a_dial_that_came_up_meanwhile(tmp_path: Path) -> None:
    """Its accept queue is full, and empties while the node stands still: the system dials on without it."""

    async def test() -> None:
        with ExitStack() as stack:
            listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
            listener.setblocking(False)
            port = listener.getsockname()[1]
            while not dials(port):  # connections that fill its queue, and one that waits
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", port))
            filler.close()
            await until(lambda: not dials(port))
            document = configuration(Server("s-1"))
            document["known"]["servers"][0]["addr"] = f"127.0.0.1:{port}"
            async with program(document, tmp_path) as node:
                client = await node.client()
                began = monotonic()
                client.writer.write(request(X_Deadline="2500m"))
                await until(lambda: dials(port))
                async with stopped(node):
                    accepted = []
                    while dials(port):
                        with suppress(BlockingIOError):
                            accepted.append(stack.enter_context(listener.accept()[0]))
                        await asyncio.sleep(0.002)
                    with suppress(BlockingIOError):
                        accepted.append(stack.enter_context(listener.accept()[0]))
                    held = monotonic() - began
                connection = accepted[-1]
                connection.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=connection)
                message = await read_message(reader)
                assert told(message) <= 2.5 - held + SLACK, f"the dial took {held:.3f} s"
                writer.write(answer())
                assert status(await client.read()) == 200
                writer.close()

    run(test())
