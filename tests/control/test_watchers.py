"""Watches over sockets: changes from the log, snapshots in parts, heartbeats, slow readers."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from control_rig import (
    ScriptedSource,
    Served,
    WatchClient,
    ask,
    change_set,
    content_of,
    drain,
    logged,
)
from rig import run, until

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.messages import LINE_BYTES_MAX
from driftstair.control import lines, watchers
from driftstair.control.http import Request
from driftstair.control.http_server import HttpConnection
from driftstair.control.lines import ChangesLines, SnapshotLines
from driftstair.control.token_bucket import TokenBucket
from driftstair.control.watchers import Watchers

FAST = 100 << 20  # bytes a second: no snapshot waits


class Site:
    """A scripted log, and watches of it over a socket."""

    def __init__(self, served: Served, watchers: Watchers, source: ScriptedSource) -> None:
        self.served = served
        self.watchers = watchers
        self.source = source

    def commit(self, count: int = 1) -> None:
        self.source.commit(count)
        self.watchers.on_committed()

    def watch(self, start: int = 0, query: str = "", limit: int = 4 << 20) -> WatchClient:
        return WatchClient(self.served.address, start, query, limit)


@asynccontextmanager
async def site(rate: int = FAST, committed: int = 0, oldest: int = 0) -> AsyncIterator[Site]:
    source = ScriptedSource()
    source.commit(committed)
    source.oldest = oldest
    served_watchers = Watchers(source, rate)

    async def respond(connection: HttpConnection, request: Request) -> None:
        served_watchers.begin(connection, request)

    async with Served(respond) as served:
        yield Site(served, served_watchers, source)
        served_watchers.close()


def test_a_watch_gets_what_it_lacks_and_then_each_change() -> None:
    async def test() -> None:
        async with site(committed=3) as here, here.watch(1) as node:
            await node.until(lambda: node.has_reached(3))
            for revision in (4, 5, 6):
                here.commit()
                await node.until(lambda revision=revision: node.has_reached(revision))
            assert node.revisions() == [2, 3, 4, 5, 6]
            assert node.freshness()[0].revision == 3
            position = 1
            for message in node.changes():
                assert message.base_revision == position
                position = message.change_sets[-1].revision

    run(test())


def test_a_thousand_changes_are_a_few_lines_in_order_encoded_once() -> None:
    """Guards against a line a change, and against one encoding a watch."""

    async def test() -> None:
        async with site() as here:
            nodes = [here.watch() for _ in range(30)]
            for node in nodes:
                await node.__aenter__()
            for _ in range(1_000):
                here.commit()
            for node in nodes:
                await node.until(lambda node=node: node.has_reached(1_000))
                assert node.revisions() == list(range(1, 1_001))
                assert len(node.changes()) <= 20
            assert here.watchers.changes.encoded <= 20
            for node in nodes:
                await node.__aexit__()
            await until(lambda: len(here.watchers) == 0)

    run(test())


def test_changes_that_come_one_by_one_are_gathered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchers, "COALESCE_S", 0.2)

    async def test() -> None:
        async with site() as here, here.watch() as node:
            for _ in range(200):
                here.commit()
                await asyncio.sleep(0)
            await node.until(lambda: node.has_reached(200))
            assert node.revisions() == list(range(1, 201))
            assert len(node.changes()) <= 4

    run(test())


def test_a_line_holds_one_change_set_of_any_size_or_several_small_ones() -> None:
    source = ScriptedSource()
    source.commit(2, *(drain(f"s{number}", "x" * 3_000) for number in range(80)))
    source.commit(3)
    found = ChangesLines(source)
    position, sizes = 0, []
    while position < source.committed:
        line = found.after(position)
        assert line is not None
        sizes.append((line.last_revision - position, len(line.chunk)))
        position = line.last_revision
    assert [count for count, _ in sizes] == [1, 1, 3]
    assert max(size for _, size in sizes) < LINE_BYTES_MAX


def test_a_line_that_is_not_full_is_encoded_anew_once_there_is_more() -> None:
    source = ScriptedSource()
    source.commit(2)
    found = ChangesLines(source)
    first = found.after(0)
    assert first is not None and first is found.after(0)
    source.commit()
    second = found.after(0)
    assert second is not None and second.last_revision == 3
    assert found.after(3) is None
    source.oldest = 2
    assert found.after(1) is None


def test_the_line_cache_keeps_to_its_bytes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lines, "CHANGES_CACHE_BYTES", 1_000)
    source = ScriptedSource()
    source.commit(100)
    found = ChangesLines(source)
    for position in range(100):
        assert found.after(position) is not None
    cache = found._cache
    assert cache._bytes == sum(len(line.chunk) for line in cache._lines.values())
    assert len(cache._lines) == 1 or cache._bytes <= 1_000


def test_beyond_the_log_a_snapshot_comes_and_then_the_changes_since() -> None:
    async def test() -> None:
        async with site(rate=FAST, committed=500, oldest=400) as here, here.watch(5) as node:
            await node.until(lambda: node.parts() and node.parts()[-1].last)
            here.commit(3)
            await node.until(lambda: node.has_reached(503))
            parts = node.parts()
            assert [part.first for part in parts] == [True] + [False] * (len(parts) - 1)
            assert len(parts) > 1
            assert {part.revision for part in parts} == {500}
            assert node.revisions() == [501, 502, 503]
            assert node.final_state() == content_of(here.source.state)

    run(test())


def test_changes_in_the_middle_of_a_snapshot_are_not_lost() -> None:
    """A part may be newer than the snapshot: the changes since it bring all to the last one's state."""

    async def test() -> None:
        async with site(rate=200_000, committed=2_000, oldest=2_000) as here, here.watch(1) as node:
            await node.until(lambda: node.parts())
            assert not node.parts()[-1].last
            here.source.commit(1, drain("s1", "early"), drain("s999", "late"))
            here.commit(1)
            await node.until(lambda: node.has_reached(2_002))
            assert node.parts()[-1].last
            assert node.final_state() == content_of(here.source.state)

    run(test())


def test_a_snapshot_that_was_cut_off_goes_on_behind_the_last_key() -> None:
    async def test() -> None:
        async with site(rate=200_000, committed=2_000, oldest=2_000) as here:
            async with here.watch(1) as node:
                await node.until(lambda: len(node.parts()) >= 2)
            got = node.parts()
            last = got[-1].resources[-1].key
            assert not got[-1].last
            here.commit(2)
            async with here.watch(1, f"&snapshot={got[0].revision}&after={last}") as again:
                await again.until(lambda: again.has_reached(2_002))
            keys = [one.key.sort_key() for part in got + again.parts() for one in part.resources]
            assert keys == sorted(set(keys))
            assert len(keys) >= 2_000
            assert not any(part.first for part in again.parts())
            node.lines += again.lines
            assert node.final_state() == content_of(here.source.state)

    run(test())


@pytest.mark.parametrize("revision", [1_500, 2_500])
def test_a_snapshot_that_can_t_go_on_begins_anew(revision: int) -> None:
    """The log was cut behind it, or this server has not come as far."""

    async def test() -> None:
        query = f"&snapshot={revision}&after=drain/s7"
        async with site(committed=2_000, oldest=1_900) as here, here.watch(1, query) as node:
            await node.until(lambda: node.parts() and node.parts()[-1].last)
            assert node.parts()[0].first
            assert node.final_state() == content_of(here.source.state)

    run(test())


def test_a_snapshot_whose_log_was_cut_meanwhile_begins_anew() -> None:
    async def test() -> None:
        async with site(rate=200_000, committed=2_000, oldest=2_000) as here, here.watch(1) as node:
            await node.until(lambda: node.parts())
            here.commit(300)
            here.source.oldest = 2_300
            await node.until(lambda: node.parts()[-1].last and node.parts()[-1].revision == 2_300)
            assert [part.revision for part in node.parts() if part.first] == [2_000, 2_300]
            assert node.final_state() == content_of(here.source.state)

    run(test())


def test_watches_share_the_parts_of_a_snapshot() -> None:
    source = ScriptedSource()
    source.commit(300)
    source.oldest = 300
    found = SnapshotLines(source, 4_096)
    for _ in range(5):
        revision, after = found.new_revision(), None
        assert revision == 300
        while True:
            part = found.part(revision, after)
            after = part.last_key
            if part.is_last:
                break
        source.commit()  # a snapshot that begins now still shares: the log goes on from there
    assert found.encoded < 20
    source.oldest = source.committed
    assert found.new_revision() == 305


def test_an_empty_state_is_a_snapshot_of_one_part() -> None:
    found = SnapshotLines(ScriptedSource(), 4_096).part(0, None)
    assert found.is_last and found.last_key is None


def test_a_token_bucket_sends_its_rate_and_no_more() -> None:
    bucket = TokenBucket(1_000.0, 5_000.0, 0.0)
    now, sent = 0.0, 0
    for _ in range(1_000):
        if now > 60.0:
            break
        wait = bucket.wait_s(now)
        if wait:
            now += wait
            continue
        bucket.spend(now, 700)
        sent += 700
    assert 60_000 <= sent <= 5_000 + 60_000 + 2 * 700
    assert bucket.wait_s(now + 1_000.0) == 0.0
    bucket.spend(now + 1_000.0, 5_000)
    assert bucket.wait_s(now + 1_000.0) == 0.0
    bucket.spend(now + 1_000.0, 1_000)
    assert bucket.wait_s(now + 1_000.0) == pytest.approx(1.0)


def test_a_node_ahead_of_this_server_waits_for_it() -> None:
    """A server that is behind, or cut off, has nothing for a node that is further."""

    async def test() -> None:
        async with site(committed=5) as here, here.watch(7) as node:
            await node.until(lambda: node.freshness())
            assert here.watchers.count_ahead() == 1
            here.commit(2)
            here.commit(1)
            await node.until(lambda: node.has_reached(8))
            assert node.revisions() == [8]
            assert here.watchers.count_ahead() == 0

    run(test())


def test_a_server_that_is_cut_off_says_its_age_and_serves_on(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchers, "HEARTBEAT_S", 0.1)

    async def test() -> None:
        async with site(committed=5) as here, here.watch(0) as node:
            await node.until(lambda: node.has_reached(5))
            here.source.age = 4_000
            await node.until(lambda: [one.age_ms for one in node.freshness()][:2] == [0, 4_000])
            async with here.watch(3) as late:
                await late.until(lambda: late.has_reached(5))
                assert late.freshness()[0].age_ms == 4_000
            here.source.age = 9_000
            await node.until(lambda: node.freshness()[-1].age_ms == 9_000)  # with the 15th heartbeat
            here.source.age = 0
            await node.until(lambda: node.freshness()[-1].age_ms == 0)

    run(test())


def test_heartbeats_come_and_are_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchers, "HEARTBEAT_S", 0.2)

    async def test() -> None:
        async with site() as here:
            nodes = [here.watch() for _ in range(40)]
            for node in nodes:
                await node.__aenter__()
            assert {len(slot) for slot in here.watchers._slots} == {2}
            for node in nodes:
                await node.until(lambda node=node: node.heartbeats >= 2)
            for node in nodes:
                await node.__aexit__()

    run(test())


def test_a_watch_that_takes_nothing_is_closed_and_comes_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a queue without bound for a node that stands still."""
    monkeypatch.setattr(watchers, "HEARTBEAT_S", 0.1)
    monkeypatch.setattr(watchers, "STALL_S", 0.3)

    async def test() -> None:
        async with site() as here:
            _, writer = await asyncio.open_connection(*here.served.address, limit=1)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(b"GET /configuration?watch=1&from=0&node=n1 HTTP/1.1\r\n\r\n")
            await until(lambda: len(here.watchers) == 1)
            (slow,) = [watch for slot in here.watchers._slots for watch in slot]
            with logged() as log:
                here.source.commit(200, *(drain(f"s{number}", "x" * 9_000) for number in range(25)))
                here.watchers.on_committed()
                await until(lambda: not slow.connection.is_writable)
                assert 0 < slow.position < 200
                transport = slow.connection._transport
                assert transport is not None
                assert transport.get_write_buffer_size() < 1 << 20
                await until(lambda: len(here.watchers) == 0)
            assert any("took nothing for" in line.getMessage() for line in log.records)
            writer.transport.abort()
            async with here.watch(slow.position) as again:
                await again.until(lambda: again.has_reached(200))
                assert again.revisions()[0] == slow.position + 1

    run(test())


QUERIES = {
    "from=-1": "from", "from=x": "from", "from=99999999999999999999": "from",
    "from=1&snapshot=a": "snapshot", "from=1&snapshot=1&after=nothing": "after",
    "from=1&snapshot=1&after=moon/a": "after", "node=%00": "node", "node=" + "n" * 200: "node",
}  # fmt: skip


@pytest.mark.parametrize("query", QUERIES)
def test_a_wrong_query_is_refused_with_the_name_of_its_key(query: str) -> None:
    async def test() -> None:
        async with site(committed=5) as here:
            with logged() as log:
                answer = await ask(here.served.address, "GET", f"/configuration?watch=1&{query}")
            assert (answer.status, answer.is_open) == (400, False)
            assert answer.said["error"].startswith(QUERIES[query] + ":")
            assert len(log.warnings()) == 1
            assert len(here.watchers) == 0

    run(test())


def test_bytes_after_the_call_of_a_watch_end_it() -> None:
    async def test() -> None:
        async with site(committed=5) as here:
            data = b"GET /configuration?watch=1 HTTP/1.1\r\n\r\n"
            with logged() as log:
                reader, writer = await asyncio.open_connection(*here.served.address)
                writer.write(data)
                await reader.readuntil(b'"age_ms":0')
                writer.write(b"garbage")
                await reader.read()
                writer.close()
            assert [re.sub(r"^\S+ ", "", line) for line in log.warnings()] == [
                "more after a watch was asked for; closed"
            ]
            await until(lambda: len(here.watchers) == 0)
            async with here.watch(0) as node:
                await node.until(lambda: node.has_reached(5))

    run(test())


def test_what_a_watch_reads_is_what_was_logged() -> None:
    source = ScriptedSource()
    source.commit(3)
    assert source.entries(1, 1) == [LoggedChangeSet(2, change_set(2))]
