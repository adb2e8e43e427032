"""The watch: what its lines become, and how its end is told."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from time import time

import pytest
from rig import Discovery, Rig, Server, configuration, request, run, until

from driftstair.hosts import parse_address
from driftstair.net import discovery
from driftstair.net.node import digest
from lichenspring import interface as api
from lichenspring.interface import ListKind, ServerState


def test_first_line_changes_and_whole_lists_are_told_in_order() -> None:
    async def test() -> None:
        async with (
            Discovery() as source, Server("s-1") as one, Server("s-2") as two,
            Rig(configuration(one, discovery=source.address)) as rig,
        ):
            assert [len(told.servers) for told in rig.spy.lists(ListKind.CACHED)] == [1]
            rig.watch()
            await until(lambda: source.targets)
            assert source.targets == ["GET /discovery/hosts?watch=1&from=7 HTTP/1.1"]
            two.started_ms = int(time() * 1000) - 5000
            source.push_bytes(b"\n")
            source.push(9, two)
            await until(lambda: rig.spy.lists(ListKind.DELTA))
            (server,) = rig.spy.lists(ListKind.DELTA)[0].servers
            assert (server.id, server.state) == (digest("s-2"), ServerState.READY)
            age = asyncio.get_running_loop().time() * 1e9 - server.started
            assert 4e9 < age < 30e9
            assert rig.node._ready == {digest("s-1"), digest("s-2")}
            source.push(12, two, full=True)
            await until(lambda: rig.spy.lists(ListKind.FULL))
            assert rig.node._ready == {digest("s-2")}
            source.drop()
            await until(lambda: rig.spy.lists(ListKind.FAILED))
            rig.watch()
            await until(lambda: len(source.targets) == 2)
            assert "from=12 " in source.targets[1]

    run(test())


def test_a_line_that_comes_in_pieces_is_one_line() -> None:
    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            for piece in (b'{"version":8,', b'"full":true,"servers":[]}', b"\n"):
                source.push_bytes(piece)
                await asyncio.sleep(0.01)
            await until(lambda: rig.spy.lists(ListKind.FULL))

    run(test())


@pytest.mark.parametrize(
    "line",
    [
        b"not json\n", b"[]\n", b'{"version":9}\n', b'{"version":9,"full":false,"servers":[{"id":"s-3"}]}\n',
        b'{"version":3,"full":false,"servers":[]}\n', b"[" * 100_000 + b"\n", b"\xff\xfe\n",
        b'{"version":9,"servers":[{"id":"s-3","addr":"host:80","state":"Ready"}]}\n',
        b'{"version":9,"servers":[{"id":"s-3","addr":"10.0.0.1:99999","state":"Ready"}]}\n',
        b'{"version":9,"servers":[{"id":"s-3","addr":"10.0.0.1:80","state":"Asleep"}]}\n',
        b'{"version":true,"servers":[]}\n',
        b'{"version":9,"servers":[{"id":["s-3"],"addr":"10.0.0.1:80","state":"Ready"}]}\n',
        b'{"version":9,"servers":[{"id":"s-3","addr":"10.0.0.1:80","state":"Ready","cell":Infinity}]}\n',
    ],
)  # fmt: skip
def test_a_bad_line_is_one_failure_and_the_old_list_stays(line: bytes) -> None:
    async def test() -> None:
        async with (
            Discovery() as source, Server("s-1") as server,
            Rig(configuration(server, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            source.push_bytes(line + line)
            await until(lambda: rig.spy.lists(ListKind.FAILED))
            source.drop()
            await asyncio.sleep(0.02)
            assert len(rig.spy.lists(ListKind.FAILED)) == 1
            assert rig.node._ready == {digest("s-1")}

    run(test())


@pytest.mark.parametrize("weight", ["Infinity", "NaN", "-3", "0", "1e999"])
def test_a_weight_that_is_none_is_as_any_other(weight: str) -> None:
    """One without end hung the node: no other server could take a place in the table."""

    async def test() -> None:
        async with (
            Discovery() as source, Server("s-1") as one, Server("s-2") as two,
            Rig(configuration(one, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            line = json.dumps({"version": 9, "full": True, "servers": [one.entry(), two.entry()]})
            source.push_bytes(line.replace('"weight": 1.0', f'"weight": {weight}', 1).encode() + b"\n")
            await until(lambda: rig.spy.lists(ListKind.FULL))
            assert [server.weight for server in rig.spy.lists(ListKind.FULL)[0].servers] == [1.0, 1.0]
            client = await rig.client()
            while not (one.seen and two.seen):
                await client.ask(request())

    run(test())


@pytest.mark.parametrize("how", ["503", "end", "garbage", "refused", "silence"])
def test_a_watch_that_ends_is_told_once(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if how == "silence":
        monkeypatch.setattr(discovery, "SILENCE", 0.05)

    async def test() -> None:
        async with Discovery() as source:
            if how == "503":
                source.reply = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            elif how == "garbage":
                source.reply = b"\x00\x01\x02\r\n"
            elif how == "end":
                source.reply += b"0\r\n\r\n"
            async with Rig(
                configuration(discovery="127.0.0.1:1" if how == "refused" else source.address)
            ) as rig:
                rig.watch()
                await until(lambda: rig.spy.lists(ListKind.FAILED))
                source.drop()
                await asyncio.sleep(0.02)
                assert len(rig.spy.lists(ListKind.FAILED)) == 1
                rig.watch()  # when to ask again is the module's affair; each watch has its own end
                await until(lambda: len(rig.spy.lists(ListKind.FAILED)) == 2)

    run(test())


def test_a_moved_watch_is_a_failure_only_if_the_new_one_fails() -> None:
    async def test() -> None:
        async with (
            Discovery() as old, Discovery() as new, Server("s-1") as server,
            Rig(configuration(server, discovery=old.address)) as rig,
        ):
            rig.watch()
            await until(lambda: old.targets)
            rig.node.reload(replace(rig.config, discovery=parse_address(new.address)))
            await until(lambda: new.targets)
            rig.watch()  # one watch is enough
            old.drop()
            new.push(2, server, full=True)  # its versions are its own
            await until(lambda: rig.spy.lists(ListKind.FULL))
            assert not rig.spy.lists(ListKind.FAILED)
            rig.node.reload(replace(rig.config, discovery=parse_address("127.0.0.1:1")))
            await until(lambda: rig.spy.lists(ListKind.FAILED))
            assert rig.node._ready == {digest("s-1")}
            assert (len(old.targets), len(new.targets)) == (1, 1)

    run(test())


def test_the_module_itself_asks_for_the_watch() -> None:
    async def test() -> None:
        async with (
            Discovery() as source,
            Rig(configuration(discovery=source.address)) as rig,  # no server known: it asks soon
        ):
            await until(lambda: source.targets)
            assert any(isinstance(event, api.Timer) for event in rig.spy.events)

    run(test())


def test_pushed_lists_are_watched_without_being_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("driftstair.net.node.WATCH_PAUSE", 0.01)

    async def test() -> None:
        async with Discovery() as source:
            document = configuration(discovery=source.address)
            document["settings"]["MembershipMode"] = "pushed"
            async with Rig(document) as rig:
                await until(lambda: source.targets)
                source.drop()
                await until(lambda: len(source.targets) == 2)
                assert not rig.spy.lists(ListKind.FAILED)

    run(test())
