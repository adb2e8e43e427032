"""The discovery watch: how its lines are applied and how its end is reported."""

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


def test_changes_and_full_lists_are_reported_in_order() -> None:
    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server("s-2") as two,
            Rig(configuration(one, discovery=source.address)) as rig,
        ):
            assert [len(event.servers) for event in rig.spy.lists(ListKind.CACHED)] == [1]
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


def test_line_received_in_pieces_is_one_line() -> None:
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
def test_invalid_line_is_one_failure_and_keeps_the_list(line: bytes) -> None:
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
def test_invalid_weight_counts_as_default_weight(weight: str) -> None:
    """An infinite weight hung the node: no other server got an entry in the balancing table."""

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
def test_end_of_a_watch_is_reported_once(how: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if how == "silence":
        monkeypatch.setattr(server_directory, "ANSWER_TIMEOUT_S", 0.05)  # accepted, but never answered

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
                rig.watch()  # the decision module chooses when; the end of each watch is reported
                await until(lambda: len(rig.spy.lists(ListKind.FAILED)) == 2)

    run(test())


def test_moved_watch_fails_only_if_the_new_one_fails() -> None:
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
            new.push(2, server, full=True)  # versions are specific to an address
            await until(lambda: rig.spy.lists(ListKind.FULL))
            assert not rig.spy.lists(ListKind.FAILED)
            rig.node.reload(replace(rig.config, discovery=parse_address("127.0.0.1:1")))
            await until(lambda: rig.spy.lists(ListKind.FAILED))
            assert rig.node.servers.ready == {digest("s-1")}
            assert (len(old.targets), len(new.targets)) == (1, 1)

    run(test())


@pytest.mark.parametrize("answered", [True, False], ids=["a watch", "a call that waits for its answer"])
def test_old_address_is_read_after_a_move_until_the_new_one_sends_its_list(
    answered: bool,
) -> None:
    """Guards against closing the old watch with data in flight: the node went on using a draining server."""

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
            new.push(2, two, full=True)  # lower than at the old address: versions are specific to an address
            await until(lambda: rig.node.servers.ready == {digest("s-2")})
            await until(lambda: old.open == 0)
            assert rig.node.servers.discovery.version == 2 and not rig.spy.lists(ListKind.FAILED)

    run(test())


def test_update_from_old_address_does_not_count_as_a_watch_at_the_new_one() -> None:
    """The decision module takes a list as proof of an open watch, and would not ask for another one."""

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


def test_decision_module_asks_for_the_watch() -> None:
    async def test() -> None:
        async with (
            Discovery() as source,
            Rig(configuration(discovery=source.address)) as rig,  # no server known: it asks soon
        ):
            await until(lambda: source.targets)
            assert any(isinstance(event, api.Timer) for event in rig.spy.events)

    run(test())


def test_pushed_lists_are_watched_without_a_request(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("driftstair.net.server_directory.WATCH_PAUSE_FIRST_S", 0.01)

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


def test_silent_watch_is_reopened_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests to leaving servers: a pause and an answer time after a silence that is detected
    late would exceed the time from which the node is taken to know a change."""
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
            await until(lambda: len(source.targets) == 2)  # though the first watch has not ended
            assert "from=9 " in source.targets[1]
            assert not rig.spy.lists(ListKind.FAILED)

    run(test())


@pytest.mark.parametrize("pushed", [True, False])
def test_accepted_but_unanswered_call_times_out_and_is_repeated(
    pushed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_directory, "AGENT_ANSWER_TIMEOUT_S" if pushed else "ANSWER_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with Discovery() as source:
            source.reply = b""
            document = configuration(discovery=source.address)
            document["settings"]["MembershipMode"] = "pushed" if pushed else "on_request"
            async with Rig(document) as rig:
                if not pushed:
                    rig.watch()
                await until(lambda: len(source.targets) == 3)
                # The decision module gets an event only where it asks for the watches.
                assert len(rig.spy.lists(ListKind.FAILED)) == (0 if pushed else 2)

    run(test())


def test_each_path_to_a_list_is_shorter_than_the_time_to_know_it() -> None:
    """The longest calls and pauses of a node with pushed lists, which sets the pauses itself."""
    known_after_s, heartbeat_s = 6.0, 2.0  # discovery sends a line on an open watch at each heartbeat
    assert (
        known_after_s > discovery.SILENCE_TIMEOUT_S + discovery.DIAL_TIMEOUT_S
    )  # a silent watch, and the call after it
    for call in (0.0, discovery.DIAL_TIMEOUT_S, discovery.AGENT_ANSWER_TIMEOUT_S):
        assert (
            known_after_s
            > call
            + server_directory.WATCH_PAUSE_MAX_S
            + discovery.DIAL_TIMEOUT_S
            + discovery.AGENT_ANSWER_TIMEOUT_S
        )
    assert heartbeat_s + LATE_READ_GRACE_S < discovery.SILENCE_TIMEOUT_S
    # A node is taken to know at once what its agent knows. An unanswered call as the agent comes back and the
    # pause after it are shorter than the second that the platform usually gives a node to stop sending.
    assert discovery.AGENT_ANSWER_TIMEOUT_S + server_directory.WATCH_PAUSE_MAX_S < 1.0


def test_data_received_during_a_stall_are_read_before_the_silence_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The data and the silence timer are due in one turn of the loop."""
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

                def stalls() -> None:
                    open_watch.sendall(b"28\r\n" + line % 9 + b"\r\n")
                    sleep(0.4)

                near, far = socket.socketpair()
                await loop.create_connection(lambda: LoopBlocker(stalls), sock=near)
                far.send(b"now")
                await until(lambda: len(rig.spy.lists(ListKind.DELTA)) == 2)
                assert rig.node.servers.discovery._watch is watch
                far.close()
                open_watch.close()

    run(test())


@pytest.mark.parametrize("indent", [None, 1], ids=["on one line", "indented"])
@pytest.mark.parametrize("form", ["open", "ended", "cut"])
def test_list_without_a_final_line_end_is_read(form: str, indent: int | None) -> None:
    """Guards against a list that is held back until its line end arrives, and dropped if that never comes."""

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
            inner = text.index(b"}") + 1  # closes an entry, but not the document
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


def test_indented_list_is_one_update(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against splitting an indented document at its line ends, which failed each watch."""

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
def test_truncated_indented_list_is_one_failure(text: bytes) -> None:
    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.watch()
            await until(lambda: source.targets)
            source.push_bytes(text)
            await until(lambda: rig.spy.lists(ListKind.FAILED))
            assert rig.node.servers.discovery.version == 0  # the next watch starts from a full list

    run(test())


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.EMFILE, errno.EADDRNOTAVAIL])
def test_call_that_fails_locally_is_retried_at_once(error: int) -> None:
    """Nothing was sent, so a pause would reduce no load, and would only delay the next change."""

    async def test() -> None:
        async with Discovery() as source, Rig(configuration(discovery=source.address)) as rig:
            rig.node.servers.discovery._system = FailingDials(error, 2)
            rig.watch()
            await until(lambda: source.targets or rig.spy.lists(ListKind.FAILED))
            assert not rig.spy.lists(ListKind.FAILED)

    run(test())


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH])
@pytest.mark.parametrize("answered", [False, True])
def test_call_on_a_dead_connection_is_repeated_at_once(error: int, answered: bool) -> None:
    """The answer may have been sent, and the node is then taken to know it."""

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


def test_repeatedly_dying_connections_lead_to_a_pause() -> None:
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
