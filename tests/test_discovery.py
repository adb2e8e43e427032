"""The watch: what its lines become, and how its end is told."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket
from dataclasses import replace
from time import sleep, time

import pytest
from rig import Discovery, FailingDials, LoopBlocker, Rig, Server, configuration, request, run, until

from driftstair.hosts import parse_address
from driftstair.net import discovery, server_directory
from driftstair.net.identifiers import digest
from driftstair.net.watch import LATE_READ_GRACE_S
from lichenspring import interface as api
from lichenspring.interface import ListKind, ServerState


def test_first_line_changes_and_whole_lists_are_told_in_order() -> None:
    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server("s-2") as two,
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
            assert rig.node.servers.ready == {digest("s-1"), digest("s-2")}
            source.push(12, two, full=True)
            await until(lambda: rig.spy.lists(ListKind.FULL))
            assert rig.node.servers.ready == {digest("s-2")}
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
            Discovery() as source,
            Server("s-1") as server,
            Rig(configuration(server, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            source.push_bytes(line + line)
            await until(lambda: rig.spy.lists(ListKind.FAILED))
            source.drop()
            await asyncio.sleep(0.02)
            assert len(rig.spy.lists(ListKind.FAILED)) == 1
            assert rig.node.servers.ready == {digest("s-1")}

    run(test())


@pytest.mark.parametrize("weight", ["Infinity", "NaN", "-3", "0", "1e999"])
def test_a_weight_that_is_none_is_as_any_other(weight: str) -> None:
    """One without end hung the node: no other server could take a place in the table."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server("s-2") as two,
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
        monkeypatch.setattr(server_directory, "ANSWER_TIMEOUT_S", 0.05)  # accepted, and then mute

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
            Discovery() as old,
            Discovery() as new,
            Server("s-1") as server,
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
            assert rig.node.servers.ready == {digest("s-1")}
            assert (len(old.targets), len(new.targets)) == (1, 1)

    run(test())


@pytest.mark.parametrize("answered", [True, False], ids=["a watch", "a call that waits for its answer"])
def test_what_the_old_place_tells_after_a_move_is_read_until_the_new_one_has_told_its_list(
    answered: bool,
) -> None:
    """The old watch was closed at once, with what was on its way: a node sent on to a server that drained."""

    async def test() -> None:
        async with (
            Discovery() as old,
            Discovery() as new,
            Server("s-1") as one,
            Server("s-2") as two,
            Rig(configuration(one, two, discovery=old.address)) as rig,
        ):
            rig.watch()
            await until(lambda: old.targets)
            if answered:
                old.push(8, one, two, full=True)
                await until(lambda: rig.spy.lists(ListKind.FULL))
            rig.node.reload(replace(rig.config, discovery=parse_address(new.address)))
            await until(lambda: new.targets)
            old.push(9, one, full=True)
            await until(lambda: rig.node.servers.ready == {digest("s-1")})
            assert "from=0 " in new.targets[0]
            new.push(2, two, full=True)  # below the old place's: its versions are its own
            await until(lambda: rig.node.servers.ready == {digest("s-2")})
            await until(lambda: old.open == 0)
            assert rig.node.servers.discovery.version == 2 and not rig.spy.lists(ListKind.FAILED)

    run(test())


def test_news_of_the_old_place_are_not_taken_for_a_watch_at_the_new_one() -> None:
    """The module holds that a list shows a watch: it would not ask for another."""

    async def test() -> None:
        async with (
            Discovery() as old,
            Server("s-1") as one,
            Server("s-2") as two,
            Rig(configuration(one, two, discovery=old.address)) as rig,
        ):
            rig.watch()
            await until(lambda: old.targets)
            rig.node.reload(replace(rig.config, discovery=parse_address("127.0.0.1:1")))
            await until(lambda: rig.spy.lists(ListKind.FAILED))
            old.push(9, one, full=True)
            await until(lambda: rig.node.servers.ready == {digest("s-1")})
            asked = len(rig.spy.lists(ListKind.FAILED))
            await until(lambda: len(rig.spy.lists(ListKind.FAILED)) > asked)  # it has asked again
            old.drop()
            await until(lambda: old.open == 0)

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
    monkeypatch.setattr("driftstair.net.server_directory.WATCH_PAUSE", 0.01)

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


def test_a_watch_that_fell_silent_is_opened_anew_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Servers were sent requests that had been announced as leaving: the pause after a failed call, and the
    time to the answer, came on top of a silence that was found just before the change counts as told."""
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as server,
            Rig(configuration(server, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            source.push(9, server)
            await until(lambda: len(source.targets) == 2)  # though it has never ended
            assert "from=9 " in source.targets[1]
            assert not rig.spy.lists(ListKind.FAILED)

    run(test())


@pytest.mark.parametrize("pushed", [True, False])
def test_a_call_accepted_and_then_mute_is_given_up_and_made_again(
    pushed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_directory, "ANSWER_PUSHED" if pushed else "ANSWER_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with Discovery() as source:
            source.reply = b""
            document = configuration(discovery=source.address)
            document["settings"]["MembershipMode"] = "pushed" if pushed else "on_request"
            async with Rig(document) as rig:
                if not pushed:
                    rig.watch()
                await until(lambda: len(source.targets) == 3)
                # The module hears of it where it is the one that asks.
                assert len(rig.spy.lists(ListKind.FAILED)) == (0 if pushed else 2)

    run(test())


def test_no_way_to_a_list_takes_longer_than_until_it_counts_as_told() -> None:
    """Of a node whose list is pushed, whose pauses are not the module's: the longest calls and pauses."""
    told, beat = 6.0, 2.0  # s; an open watch brings a line after each beat
    assert (
        told > discovery.SILENCE_TIMEOUT_S + discovery.DIAL_TIMEOUT_S
    )  # a silent watch, and the call after it
    for call in (0.0, discovery.DIAL_TIMEOUT_S, discovery.ANSWER_PUSHED):
        assert (
            told
            > call + server_directory.WATCH_PAUSE_MOST + discovery.DIAL_TIMEOUT_S + discovery.ANSWER_PUSHED
        )
    assert beat + LATE_READ_GRACE_S < discovery.SILENCE_TIMEOUT_S
    # What an agent has counts as told at once: a call that is mute as it comes back, and the pause after it,
    # are shorter than the second that the platform usually gives a node to stop sending.
    assert discovery.ANSWER_PUSHED + server_directory.WATCH_PAUSE_MOST < 1.0


def test_what_came_while_the_node_stood_still_is_read_before_its_watch_counts_as_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer and the silence's timer in one turn of the loop."""
    monkeypatch.setattr(discovery, "SILENCE_TIMEOUT_S", 0.2)

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as source:
            async with Rig(configuration(discovery=f"127.0.0.1:{source.getsockname()[1]}")) as rig:
                rig.watch()
                open_watch, _ = await loop.run_in_executor(None, source.accept)
                line = b'{"version":%d,"full":false,"servers":[]}\n'
                open_watch.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                open_watch.sendall(b"28\r\n" + line % 8 + b"\r\n")
                await until(lambda: rig.spy.lists(ListKind.DELTA))
                watch = rig.node.servers.discovery._watch

                def stands_still() -> None:
                    open_watch.sendall(b"28\r\n" + line % 9 + b"\r\n")
                    sleep(0.4)

                near, far = socket.socketpair()
                await loop.create_connection(lambda: LoopBlocker(stands_still), sock=near)
                far.send(b"now")
                await until(lambda: len(rig.spy.lists(ListKind.DELTA)) == 2)
                assert rig.node.servers.discovery._watch is watch
                far.close()
                open_watch.close()

    run(test())


@pytest.mark.parametrize("indent", [None, 1], ids=["on one line", "indented"])
@pytest.mark.parametrize("form", ["open", "ended", "cut"])
def test_a_list_whose_last_line_has_no_end_is_read(form: str, indent: int | None) -> None:
    """It was held until its line's end came, and thrown away where that never did: told, and not known."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server("s-2") as two,
            Rig(configuration(one, two, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            entries = {"version": 8, "full": True, "servers": [one.entry()]}
            text = json.dumps(entries, indent=indent).encode()
            inner = text.index(b"}") + 1  # closes an entry, and not the whole
            source.push_bytes(text[:inner])
            await asyncio.sleep(0.01)
            source.push_bytes(text[inner:])
            if form == "ended":
                source.push_bytes(b"")
            elif form == "cut":
                source.close()
            await until(lambda: rig.node.servers.ready == {digest("s-1")})
            if form != "open":
                return
            source.push_bytes(b"\n")
            source.push(9, two)
            await until(lambda: len(rig.node.servers.ready) == 2)
            assert not rig.spy.lists(ListKind.FAILED)

    run(test())


def test_an_indented_list_is_one_change(monkeypatch: pytest.MonkeyPatch) -> None:
    """It was cut at its line ends, and each watch failed on its first line."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server('s-"2\\{') as two,
            Rig(configuration(one, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            for version, indent in ((8, 2), (9, 0), (10, None)):
                entries = {"version": version, "full": version == 8, "servers": [two.entry()]}
                text = json.dumps(entries, indent=indent).encode()
                source.push_bytes(b"\n" + text[: version * 7])
                source.push_bytes(text[version * 7 :] + b"\n\n")
            await until(lambda: len(rig.spy.lists(ListKind.DELTA)) == 2)
            assert len(rig.spy.lists(ListKind.FULL)) == 1 and not rig.spy.lists(ListKind.FAILED)
            assert rig.node.servers.ready == {digest(two.name)}

    run(test())


@pytest.mark.parametrize(
    "text",
    [b'{\n "version": 9,\n\n', b'{"version":9,"full":false,"ser\n', b"[\n" * 40, b'{\n"version":9}}\n'],
    ids=["cut off", "cut in a word", "deep", "closed twice"],
)
def test_an_indented_list_that_is_cut_is_one_failure(text: bytes) -> None:
    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            source.push_bytes(text)
            await until(lambda: rig.spy.lists(ListKind.FAILED))
            assert rig.node.servers.discovery.version == 0  # the next one starts from the whole list

    run(test())


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EMFILE, errno.EADDRNOTAVAIL])
def test_a_call_that_this_machine_could_not_make_is_made_at_once(error: int) -> None:
    """Nothing left the machine: no call is spared by a pause, and a change goes on being unknown."""

    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.node.servers.discovery._system = FailingDials(error, 2)
            rig.watch()
            await until(lambda: source.targets or rig.spy.lists(ListKind.FAILED))
            assert not rig.spy.lists(ListKind.FAILED)

    run(test())


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH])
@pytest.mark.parametrize("answered", [False, True])
def test_a_call_whose_connection_dies_is_made_again_at_once(error: int, answered: bool) -> None:
    """Its answer may be written, and counts as told then."""

    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            if answered:
                source.push(8, full=True)
                await until(lambda: rig.spy.lists(ListKind.FULL))
            watch = rig.node.servers.discovery._watch
            assert watch is not None
            watch.connection_lost(OSError(error, os.strerror(error)))
            await until(lambda: len(source.targets) == 2 or rig.spy.lists(ListKind.FAILED))
            assert not rig.spy.lists(ListKind.FAILED)

    run(test())


def test_calls_whose_connections_die_one_after_the_other_are_paused_between() -> None:
    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.watch()
            for calls in range(1, 10):
                await until(
                    lambda calls=calls: len(source.targets) == calls or rig.spy.lists(ListKind.FAILED)
                )
                watch = rig.node.servers.discovery._watch
                if watch is None:
                    break
                watch.connection_lost(OSError(errno.EHOSTUNREACH, "dead"))
            assert rig.spy.lists(ListKind.FAILED)

    run(test())
