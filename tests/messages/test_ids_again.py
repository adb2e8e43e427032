"""Request ids that come again: after their client has left, and at the other process of an upgrade."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any, NamedTuple

import pytest
from operations.test_desk_and_upgrade import call, environment, operated_document
from rig import (
    Client,
    Message,
    Rig,
    Server,
    answer,
    configuration,
    free_port,
    grade,
    request,
    run,
    status,
    until,
)
from test_process import Program, program

from driftstair.net.request_ids import ENDED_ID_AGE_NS_MAX, ENDED_IDS_MAX, Claim, RequestIds

IDS = [f"crossed-{number}" for number in range(12)]


class HeldServer(Server):
    """A server that answers once it is released."""

    def __init__(self, name: str) -> None:
        super().__init__(name, self._answer)
        self.release = asyncio.Event()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        await self.release.wait()
        writer.write(answer())

    def runs(self) -> Counter[str]:
        """How many times each id has been received."""
        return Counter(message.headers["x-request-id"] for message in self.seen)


@pytest.mark.parametrize("method", ["close", "reset"])
def test_an_unsafe_id_does_not_run_again_after_its_client_left(method: str) -> None:
    async def test() -> None:
        async with HeldServer("s-1") as server, Rig(configuration(server)) as rig:
            client = await rig.client()
            client.writer.write(request("order", X_Request_Id="again"))
            await until(lambda: server.seen)
            client.writer.transport.abort() if method == "reset" else client.writer.close()
            await until(lambda: not rig.node._open_requests)
            server.release.set()
            other = await rig.client()
            assert status(await other.ask(request("order", X_Request_Id="again"))) == 409
            assert len(server.seen) == 1

    run(test())


def test_an_id_that_never_ran_may_come_again() -> None:
    """Refused without an attempt, and safe to repeat."""

    async def test() -> None:
        async with HeldServer("s-1") as server, Rig(configuration()) as rig:
            client = await rig.client()
            assert status(await client.ask(request("order", X_Request_Id="again"))) == 503
            assert status(await client.ask(request("order", X_Request_Id="again"))) == 503
        server.release.set()
        async with server, Rig(configuration(server)) as rig:
            client = await rig.client()
            for _ in range(2):
                assert status(await client.ask(request(X_Request_Id="again"))) == 200

    run(test())


class TwoProcesses(NamedTuple):
    old: Program
    new: Program
    kept: list[Client]  # each waits for the old process's answer to a read


@asynccontextmanager
async def upgrade(
    server: Server, folder: Path, ids: list[str], readers: int = 0
) -> AsyncIterator[TwoProcesses]:
    """Two processes of a node, the new one ready. In flight at the old one are requests with `ids`, and those
    of `readers` clients."""
    document, _ = operated_document(server)
    document["settings"]["Grades"] = [grade("page", "repeatable"), grade("order", "once")]
    async with program(document, folder, env=environment(folder)) as old:
        kept = [await old.client() for _ in range(readers)]
        for client in kept:
            client.writer.write(request())
        for request_id in ids:
            (await old.client()).writer.write(request("order", X_Request_Id=request_id))
        await until(lambda: len(server.seen) == len(ids) + readers)
        second: dict[str, Any] = {**document, "ops": f"127.0.0.1:{free_port()}"}
        (folder / "beside").mkdir()
        async with program(second, folder / "beside", env=environment(folder)) as new:
            while await call(int(second["ops"][10:]), "GET", "ready") != 200:
                await asyncio.sleep(0.05)
            yield TwoProcesses(old, new, kept)


def test_an_id_in_flight_at_the_old_process_does_not_run_at_the_new_one(tmp_path: Path) -> None:
    async def test() -> None:
        async with HeldServer("s-1") as server, upgrade(server, tmp_path, IDS) as node:
            for request_id in IDS:
                client = await node.new.client()
                assert status(await client.ask(request("order", X_Request_Id=request_id))) == 409
            server.release.set()
            client = await node.new.client()
            assert status(await client.ask(request("order", X_Request_Id="fresh"))) == 200
            assert set(server.runs().values()) == {1}

    run(test())


def test_an_id_in_flight_at_the_new_process_does_not_run_at_the_old_one(tmp_path: Path) -> None:
    ids = IDS[:4]  # the new process counts the readers as load, too

    async def test() -> None:
        async with (
            HeldServer("s-1") as server, upgrade(server, tmp_path, [], readers=len(ids)) as node,
        ):  # fmt: skip
            clients = [await node.new.client() for _ in ids]
            for client, request_id in zip(clients, ids, strict=True):
                client.writer.write(request("order", X_Request_Id=request_id))
            await until(lambda: len(server.seen) == 2 * len(ids))
            for client, request_id in zip(node.kept, ids, strict=True):
                client.writer.write(request("order", X_Request_Id=request_id))
            await asyncio.sleep(0.5)  # read behind the request that is open
            server.release.set()
            for client in node.kept:
                assert status(await client.read()) == 200
                assert status(await client.read()) == 409
            assert set(server.runs().values()) == {1}

    run(test())


def test_ids_of_a_new_process_that_dies_do_not_run_at_the_old_one(tmp_path: Path) -> None:
    async def test() -> None:
        async with HeldServer("s-1") as server, upgrade(server, tmp_path, []) as node:
            clients = [await node.new.client() for _ in IDS]
            for client, request_id in zip(clients, IDS, strict=True):
                client.writer.write(request("order", X_Request_Id=request_id))
            await until(lambda: len(server.seen) == len(IDS))
            node.new.process.kill()
            await node.new.process.wait()
            for request_id in IDS:
                client = await node.old.client()
                assert status(await client.ask(request("order", X_Request_Id=request_id))) == 409
            assert set(server.runs().values()) == {1}
            server.release.set()

    run(test())


def test_ids_of_an_old_process_that_is_killed_do_not_run_at_the_new_one(tmp_path: Path) -> None:
    async def test() -> None:
        async with HeldServer("s-1") as server, upgrade(server, tmp_path, IDS) as node:
            node.old.process.kill()
            await node.old.process.wait()
            for request_id in IDS:
                client = await node.new.client()
                assert status(await client.ask(request("order", X_Request_Id=request_id))) == 409
            assert set(server.runs().values()) == {1}
            server.release.set()
            client = await node.new.client()
            assert status(await client.ask(request("order", X_Request_Id="fresh"))) == 200

    run(test())


def test_beside_an_old_process_that_stands_still_nothing_unsafe_is_started(tmp_path: Path) -> None:
    """Whether it has started the request can't be known, so it is refused; reads are served."""

    async def test() -> None:
        async with HeldServer("s-1") as server, upgrade(server, tmp_path, []) as node:
            server.release.set()
            node.old.process.send_signal(signal.SIGSTOP)
            client = await node.new.client()
            assert status(await client.ask(request("order"))) == 503
            assert not server.seen
            assert status(await client.ask(request())) == 200
            node.old.process.send_signal(signal.SIGCONT)
            answers = [status(await client.ask(request("order"))) for _ in range(40)]
            assert answers[-1] == 200

    run(test())


@pytest.mark.parametrize("is_stopped_before_start", [False, True])
def test_an_old_process_that_stands_still_in_the_takeover_may_have_started_any_request(
    is_stopped_before_start: bool, tmp_path: Path
) -> None:
    """Guards against taking its silence for an earlier version that can't be asked, or for its end: an order
    that must not run twice would run at both."""

    async def test() -> None:
        async with HeldServer("s-1") as server:
            document, _ = operated_document(server)
            document["settings"]["Grades"] = [grade("page", "repeatable"), grade("order", "once")]
            async with program(document, tmp_path, env=environment(tmp_path)) as old:
                for request_id in IDS:
                    (await old.client()).writer.write(request("order", X_Request_Id=request_id))
                await until(lambda: len(server.seen) == len(IDS))
                if is_stopped_before_start:
                    old.process.send_signal(signal.SIGSTOP)
                second: dict[str, Any] = {**document, "ops": f"127.0.0.1:{free_port()}"}
                (tmp_path / "beside").mkdir()
                async with program(second, tmp_path / "beside", env=environment(tmp_path)) as new:
                    old.process.send_signal(signal.SIGSTOP)
                    client, *others = [await client_of_new(new) for _ in range(len(IDS) + 1)]
                    for request_id in (*IDS, "fresh"):
                        assert status(await client.ask(request("order", X_Request_Id=request_id))) == 503
                    assert set(server.runs().values()) == {1}
                    old.process.send_signal(signal.SIGCONT)
                    server.release.set()
                    answers: list[int] = []
                    while 200 not in answers:
                        answers.append(status(await client.ask(request("order"))))
                    assert set(answers) <= {200, 503}
                    for other, request_id in zip(others, IDS, strict=True):
                        assert status(await other.ask(request("order", X_Request_Id=request_id))) == 409
                    assert {server.runs()[request_id] for request_id in IDS} == {1}

    run(test())


async def client_of_new(new: Program) -> Client:
    """A client of the new process, while the old one stands still. That may have a listening socket of its
    own, whose clients wait."""
    while True:
        client = await new.client()
        with suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                if status(await client.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")) == 200:
                    return client


def test_ended_ids_are_bounded_by_number_and_age() -> None:
    now = [0]
    ids = RequestIds(lambda: now[0])
    for number in range(ENDED_IDS_MAX + 10):
        ids.remember(b"%d" % number)
    assert len(ids) == ENDED_IDS_MAX and not ids.may_have_run(b"9") and ids.may_have_run(b"10")
    now[0] = ENDED_ID_AGE_NS_MAX + 1
    assert not ids.may_have_run(b"10")
    ids.remember(b"new")
    assert len(ids) == 1


def test_an_id_is_claimed_once() -> None:
    ids = RequestIds(lambda: 0)
    ids.open.add(b"open")
    assert ids.claim(b"open") is Claim.TAKEN
    assert ids.claim(b"free") is Claim.GRANTED
    assert ids.claim(b"free") is Claim.TAKEN and ids.may_have_run(b"free")
