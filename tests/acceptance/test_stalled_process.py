"""A stalled process: what happened during the stall counts from when it happened, not from when it is read.
Complete daemons, stopped by SIGSTOP and resumed by SIGCONT. Each order of events is forced by what the kernel
already has when the process resumes."""

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

STALL_S = 0.6
DEADLINE_SLACK_S = 0.15  # by which a deadline sent to a server may exceed what the client has left
DISCONNECT_SLACK_S = 0.1  # after a client's close, in which an attempt may still begin
LATE_ANSWER_GRACE_S = 0.5  # after the deadline, in which an answer is only worth nothing


@asynccontextmanager
async def stopped(node: Program) -> AsyncIterator[None]:
    """Stops the process. What is done meanwhile is in the kernel when the process resumes."""
    node.process.send_signal(signal.SIGSTOP)
    try:
        await until(lambda: _state(node) == "T")
        yield
    finally:
        node.process.send_signal(signal.SIGCONT)


def _state(node: Program) -> str:
    """State of the process, see proc(5)."""
    return Path(f"/proc/{node.process.pid}/stat").read_text().rsplit(") ", 1)[1][0]


def sent_deadline_s(message: Message) -> float:
    """The deadline that was sent to a server, in s."""
    return int(message.headers["x-deadline"].removesuffix("u")) / 1e6


class TimedScript:
    """A script that records the arrival of each attempt, and answers the first one on `release`."""

    def __init__(self, first: bytes) -> None:
        self.first = first
        self.release = asyncio.Event()
        self.arrivals: list[float] = []

    async def __call__(self, _: Message, writer: asyncio.StreamWriter) -> None:
        self.arrivals.append(monotonic())
        if len(self.arrivals) == 1:
            await self.release.wait()
            writer.write(self.first)
        else:
            writer.write(answer())


@pytest.mark.parametrize("connection", ["kept", "new", "pipelined"])
def test_deadline_sent_to_server_is_the_clients_remaining_time(connection: str, tmp_path: Path) -> None:
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
                await asyncio.sleep(STALL_S)
            for _ in requests:
                assert status(await client.read()) == 200
            for message in server.seen[1:]:
                assert (
                    sent_deadline_s(message) <= 2.0 - STALL_S + DEADLINE_SLACK_S
                ), f"{monotonic() - began:.3f} s after its request"

    run(test())


LONG_BODY = b"y" * 400_000  # more than the node's receive buffer: the rest waits in the client's kernel


async def write_and_drain(client: Client, data: bytes) -> None:
    """Returns when a kernel has all of the data, as far as a client can know."""
    transport = client.writer.transport
    transport.set_write_buffer_limits(high=0)
    client.writer.write(data)
    await client.writer.drain()


def test_long_request_written_during_a_stall_counts_from_its_writing(tmp_path: Path) -> None:
    """Its end reaches the node's kernel only as the node reads, however long ago it was written."""

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            client = await node.client()
            assert status(await client.ask(request())) == 200
            async with stopped(node):
                await write_and_drain(client, request(body=LONG_BODY, X_Deadline="2000m"))
                await asyncio.sleep(STALL_S)
            assert status(await client.read()) == 200
            assert sent_deadline_s(server.seen[1]) <= 2.0 - STALL_S + DEADLINE_SLACK_S
            assert status(await client.ask(request(X_Deadline="2000m"))) == 200
            assert sent_deadline_s(server.seen[2]) > 2.0 - STALL_S  # later requests are not affected

    run(test())


OTHER_CLIENTS = 200  # clients whose requests delay the node between reads of a long body


@pytest.mark.parametrize("size", [100_000, 150_000, 400_000])
def test_long_request_counts_from_its_writing_with_many_other_requests(size: int, tmp_path: Path) -> None:
    """Between two reads of the body, the loop reads what all other clients have sent."""

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            client = await node.client()
            assert status(await client.ask(request())) == 200
            others = [await node.client() for _ in range(OTHER_CLIENTS)]
            async with stopped(node):
                for other in others[::2]:
                    other.writer.write(request())
                await write_and_drain(client, request(body=b"y" * size, X_Deadline="2000m"))
                for other in others[1::2]:
                    other.writer.write(request())
                await asyncio.sleep(STALL_S)
            assert status(await client.read()) == 200
            (long,) = [message for message in server.seen if message.body]
            assert sent_deadline_s(long) <= 2.0 - STALL_S + DEADLINE_SLACK_S

    run(test())


@pytest.mark.parametrize("size", [150_000, 400_000])
def test_long_request_counts_from_its_writing_behind_a_long_accept_queue(size: int, tmp_path: Path) -> None:
    """Its connection is accepted long after the process has resumed, after those of all other clients."""

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            async with stopped(node):
                for _ in range(OTHER_CLIENTS):
                    other = await node.client()
                    other.writer.write(request())
                client = await node.client()
                await write_and_drain(client, request(body=b"y" * size, X_Deadline="2000m"))
                await asyncio.sleep(STALL_S)
            assert status(await client.read()) == 200
            (long,) = [message for message in server.seen if message.body]
            assert sent_deadline_s(long) <= 2.0 - STALL_S + DEADLINE_SLACK_S

    run(test())


def test_no_attempt_for_a_long_request_of_a_client_that_left_during_a_stall(tmp_path: Path) -> None:
    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            client = await node.client()
            async with stopped(node):
                await write_and_drain(client, request(body=LONG_BODY))
                client.writer.write_eof()
                await asyncio.sleep(STALL_S)
            assert status(await client.read()) == 503
            assert not server.seen

    run(test())


def test_request_that_expired_during_a_stall_is_not_forwarded(tmp_path: Path) -> None:
    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path) as node:
            client = await node.client()
            async with stopped(node):
                client.writer.write(request(X_Deadline="200m"))
                await asyncio.sleep(STALL_S)
            assert status(await client.read()) == 504
            assert not server.seen

    run(test())


@pytest.mark.parametrize("how", ["close", "half-close"])
def test_no_attempt_begins_for_a_client_that_left_during_a_stall(how: str, tmp_path: Path) -> None:
    """The client's close and the failure of its attempt are unread, in this order, and read in one turn."""

    async def test() -> None:
        script = TimedScript(answer(500))
        async with (
            Server("s-1", script) as one,
            Server("s-2", script) as two,
            program(configuration(one, two), tmp_path) as node,
        ):
            client = await node.client()
            client.writer.write(request())
            await until(lambda: script.arrivals)
            async with stopped(node):
                left = monotonic()
                if how == "close":
                    client.writer.close()
                else:
                    client.writer.write_eof()
                await asyncio.sleep(STALL_S / 2)
                script.release.set()
                await asyncio.sleep(STALL_S / 2)
            other = await node.client()
            assert status(await other.ask(request())) == 200  # waiting events are handled before
            late = [at - left for at in script.arrivals[1:-1] if at - left > DISCONNECT_SLACK_S]
            assert not late, "attempts begun so long after the close"

    run(test())


def test_all_requests_are_answered_before_sigkill_may_follow(tmp_path: Path) -> None:
    """SIGKILL may follow 0.7 s after the longest deadline, counted from SIGTERM and not from its handling."""
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


def test_answer_is_in_time_when_a_retry_was_due_during_a_stall(tmp_path: Path) -> None:
    """An attempt fails during the stall: the deadline of the next one is what is left by then."""

    async def test() -> None:
        script = TimedScript(answer(500))
        async with (
            Server("s-1", script) as one,
            Server("s-2", script) as two,
            program(configuration(one, two), tmp_path) as node,
        ):
            client: Client = await node.client()
            client.writer.write(request(X_Deadline="2000m"))
            await until(lambda: script.arrivals)
            async with stopped(node):
                script.release.set()
                await asyncio.sleep(STALL_S)
            async with asyncio.timeout(TIMEOUT_S):
                assert status(await client.read()) in (200, 502, 503)
            for message in (one.seen + two.seen)[1:]:
                assert sent_deadline_s(message) <= 2.0 - STALL_S + DEADLINE_SLACK_S

    run(test())


SYN_SENT = "02"  # in /proc/net/tcp: a connection is being established


def is_dialed(port: int) -> bool:
    """Whether a connection to that port on this machine is still being established."""
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    return any(line.split()[2].endswith(f":{port:04X}") and line.split()[3] == SYN_SENT for line in lines)


def test_deadline_sent_after_a_dial_that_completed_during_a_stall(tmp_path: Path) -> None:
    """The server's accept queue is full, and empties during the stall: the kernel completes the dial then."""

    async def test() -> None:
        with ExitStack() as stack:
            listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
            listener.setblocking(False)
            port = listener.getsockname()[1]
            while not is_dialed(port):  # connections that fill the queue, and one that waits
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", port))
            filler.close()
            await until(lambda: not is_dialed(port))
            document = configuration(Server("s-1"))
            document["known"]["servers"][0]["addr"] = f"127.0.0.1:{port}"
            async with program(document, tmp_path) as node:
                client = await node.client()
                began = monotonic()
                client.writer.write(request(X_Deadline="2500m"))
                await until(lambda: is_dialed(port))
                async with stopped(node):
                    accepted = []
                    while is_dialed(port):
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
                assert (
                    sent_deadline_s(message) <= 2.5 - held + DEADLINE_SLACK_S
                ), f"the dial took {held:.3f} s"
                writer.write(answer())
                assert status(await client.read()) == 200
                writer.close()

    run(test())
