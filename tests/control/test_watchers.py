"""Watches over sockets: changes from the log, snapshots in parts, heartbeats and slow readers."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from control_rig import (
    RunningHttpServer,
    ScriptedSource,
    WatchClient,
    call,
    captured_log,
    change_set,
    content_of,
    drain_change,
)
from rig import run, until

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.messages import LINE_BYTES_MAX, Freshness, decode_watch_message
from driftstair.control import lines, watchers
from driftstair.control.http import Request
from driftstair.control.http_server import HttpConnection
from driftstair.control.lines import ChangesLines, SnapshotLines
from driftstair.control.token_bucket import TokenBucket
from driftstair.control.watchers import Watchers

UNLIMITED_BYTES_PER_S = 100 << 20  # no snapshot has to wait


class WatchSite:
    """A server for watches of a scripted log."""

    def __init__(self, server: RunningHttpServer, watchers: Watchers, source: ScriptedSource) -> None:
        self.server = server
        self.watchers = watchers
        self.source = source

    def commit(self, count: int = 1) -> None:
        """Commits `count` change sets and notifies the watches."""
        self.source.commit(count)
        self.watchers.on_committed()

    def watch(self, after_revision: int = 0, query: str = "", limit: int = 4 << 20) -> WatchClient:
        """A client that watches the changes after a revision."""
        return WatchClient(self.server.address, after_revision, query, limit)


@asynccontextmanager
async def watch_site(
    rate: int = UNLIMITED_BYTES_PER_S, committed: int = 0, oldest: int = 0
) -> AsyncIterator[WatchSite]:
    """Serves watches within the block. `oldest`: the log holds the changes after this revision."""
    source = ScriptedSource()
    source.commit(committed)
    source.oldest = oldest
    served_watchers = Watchers(source, rate)

    async def respond(connection: HttpConnection, request: Request) -> None:
        served_watchers.start_watch(connection, request)

    async with RunningHttpServer(respond) as server:
        yield WatchSite(server, served_watchers, source)
        served_watchers.close()


def test_a_watch_gets_missing_changes_and_then_each_new_one() -> None:
    async def test() -> None:
        async with watch_site(committed=3) as site, site.watch(1) as node:
            await node.wait_until(lambda: node.has_reached(3))
            for revision in (4, 5, 6):
                site.commit()
                await node.wait_until(lambda revision=revision: node.has_reached(revision))
            assert node.revisions() == [2, 3, 4, 5, 6]
            assert node.freshness()[0].revision == 3
            position = 1
            for message in node.changes():
                assert message.base_revision == position
                position = message.change_sets[-1].revision

    run(test())


def test_a_thousand_changes_take_a_few_lines_that_are_encoded_once() -> None:
    """Guards against one line per change, and against one encoding per watch."""

    async def test() -> None:
        async with watch_site() as site:
            nodes = [site.watch() for _ in range(30)]
            for node in nodes:
                await node.__aenter__()
            for _ in range(1_000):
                site.commit()
            for node in nodes:
                await node.wait_until(lambda node=node: node.has_reached(1_000))
                assert node.revisions() == list(range(1, 1_001))
                assert len(node.changes()) <= 20
            assert site.watchers.changes.encoded_count <= 20
            for node in nodes:
                await node.__aexit__()
            await until(lambda: len(site.watchers) == 0)

    run(test())


def test_changes_committed_one_by_one_are_coalesced(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchers, "COALESCE_S", 0.2)

    async def test() -> None:
        async with watch_site() as site, site.watch() as node:
            for _ in range(200):
                site.commit()
                await asyncio.sleep(0)
            await node.wait_until(lambda: node.has_reached(200))
            assert node.revisions() == list(range(1, 201))
            assert len(node.changes()) <= 4

    run(test())


def test_a_line_holds_one_change_set_of_any_size_or_several_small_ones() -> None:
    source = ScriptedSource()
    source.commit(2, *(drain_change(f"s{number}", "x" * 3_000) for number in range(80)))
    source.commit(3)
    changes_lines = ChangesLines(source)
    position, sizes = 0, []
    while position < source.committed:
        line = changes_lines.line_after(position)
        assert line is not None
        sizes.append((line.last_revision - position, len(line.chunk)))
        position = line.last_revision
    assert [count for count, _ in sizes] == [1, 1, 3]
    assert max(size for _, size in sizes) < LINE_BYTES_MAX


def test_a_line_that_is_not_full_is_encoded_again_after_a_commit() -> None:
    source = ScriptedSource()
    source.commit(2)
    changes_lines = ChangesLines(source)
    first = changes_lines.line_after(0)
    assert first is not None and first is changes_lines.line_after(0)
    source.commit()
    second = changes_lines.line_after(0)
    assert second is not None and second.last_revision == 3
    assert changes_lines.line_after(3) is None
    source.oldest = 2
    assert changes_lines.line_after(1) is None


def test_the_line_cache_keeps_its_byte_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lines, "CHANGES_CACHE_BYTES", 1_000)
    source = ScriptedSource()
    source.commit(100)
    changes_lines = ChangesLines(source)
    for position in range(100):
        assert changes_lines.line_after(position) is not None
    cache = changes_lines._cache
    assert cache._bytes == sum(len(line.chunk) for line in cache._lines.values())
    assert len(cache._lines) == 1 or cache._bytes <= 1_000


def test_a_watch_behind_the_log_gets_a_snapshot_and_the_changes_since() -> None:
    async def test() -> None:
        async with (
            watch_site(rate=UNLIMITED_BYTES_PER_S, committed=500, oldest=400) as site,
            site.watch(5) as node,
        ):
            await node.wait_until(lambda: node.parts() and node.parts()[-1].last)
            site.commit(3)
            await node.wait_until(lambda: node.has_reached(503))
            parts = node.parts()
            assert [part.first for part in parts] == [True] + [False] * (len(parts) - 1)
            assert len(parts) > 1
            assert {part.revision for part in parts} == {500}
            assert node.revisions() == [501, 502, 503]
            assert node.applied_state() == content_of(site.source.state)

    run(test())


def test_changes_during_a_snapshot_are_not_lost() -> None:
    """A part may be newer than the snapshot. The changes after the snapshot make all parts consistent."""

    async def test() -> None:
        async with watch_site(rate=200_000, committed=2_000, oldest=2_000) as site, site.watch(1) as node:
            await node.wait_until(lambda: node.parts())
            assert not node.parts()[-1].last
            site.source.commit(1, drain_change("s1", "early"), drain_change("s999", "late"))
            site.commit(1)
            await node.wait_until(lambda: node.has_reached(2_002))
            assert node.parts()[-1].last
            assert node.applied_state() == content_of(site.source.state)

    run(test())


@pytest.mark.parametrize("is_resumed", [False, True])
def test_the_last_part_of_a_snapshot_comes_behind_the_revision_at_which_the_state_is_whole(
    is_resumed: bool,
) -> None:
    """Guards against a node that can't know of deletions made while a snapshot is on its way: it held a
    state without them against the digest from the begin of the watch."""

    async def test() -> None:
        async with watch_site(rate=200_000, committed=2_000, oldest=2_000) as site:
            query = ""
            if is_resumed:
                async with site.watch(1) as first:
                    await first.wait_until(lambda: first.parts())
                    query = f"&snapshot=2000&after={first.parts()[-1].resources[-1].key}"
            async with site.watch(1, query) as node:
                await node.wait_until(lambda: node.parts())
                assert not node.parts()[-1].last
                site.commit(3)
                await node.wait_until(lambda: node.has_reached(2_003))
                messages = [decode_watch_message(line) for line in node.lines]
                last = messages.index(node.parts()[-1])
                freshness = messages[last - 1]
                assert isinstance(freshness, Freshness)
                assert freshness.revision == 2_003 and freshness.digest == f"{site.source.state.digest:016x}"

    run(test())


def test_an_interrupted_snapshot_resumes_after_the_last_key() -> None:
    async def test() -> None:
        async with watch_site(rate=200_000, committed=2_000, oldest=2_000) as site:
            async with site.watch(1) as node:
                await node.wait_until(lambda: len(node.parts()) >= 2)
            received_parts = node.parts()
            last = received_parts[-1].resources[-1].key
            assert not received_parts[-1].last
            site.commit(2)
            async with site.watch(1, f"&snapshot={received_parts[0].revision}&after={last}") as resumed:
                await resumed.wait_until(lambda: resumed.has_reached(2_002))
            keys = [
                resource.key.sort_key()
                for part in received_parts + resumed.parts()
                for resource in part.resources
            ]
            assert keys == sorted(set(keys))
            assert len(keys) >= 2_000
            assert not any(part.first for part in resumed.parts())
            node.lines += resumed.lines
            assert node.applied_state() == content_of(site.source.state)

    run(test())


@pytest.mark.parametrize("revision", [1_500, 2_500])
def test_a_snapshot_that_can_not_be_resumed_restarts(revision: int) -> None:
    """The log no longer reaches back to its revision, or the server has not reached it yet."""

    async def test() -> None:
        query = f"&snapshot={revision}&after=drain/s7"
        async with watch_site(committed=2_000, oldest=1_900) as site, site.watch(1, query) as node:
            await node.wait_until(lambda: node.parts() and node.parts()[-1].last)
            assert node.parts()[0].first
            assert node.applied_state() == content_of(site.source.state)

    run(test())


def test_a_snapshot_restarts_if_the_log_was_compacted_meanwhile() -> None:
    async def test() -> None:
        async with watch_site(rate=200_000, committed=2_000, oldest=2_000) as site, site.watch(1) as node:
            await node.wait_until(lambda: node.parts())
            site.commit(300)
            site.source.oldest = 2_300
            await node.wait_until(lambda: node.parts()[-1].last and node.parts()[-1].revision == 2_300)
            assert [part.revision for part in node.parts() if part.first] == [2_000, 2_300]
            assert node.applied_state() == content_of(site.source.state)

    run(test())


def test_watches_share_the_parts_of_a_snapshot() -> None:
    source = ScriptedSource()
    source.commit(300)
    source.oldest = 300
    snapshot_lines = SnapshotLines(source, 4_096)
    for _ in range(5):
        revision, after = snapshot_lines.new_snapshot_revision(), None
        assert revision == 300
        while True:
            part = snapshot_lines.part_after(revision, after)
            after = part.last_key
            if part.is_last:
                break
        source.commit()  # a new snapshot still shares the parts, as the log holds the changes after them
    assert snapshot_lines.encoded_count < 20
    source.oldest = source.committed
    assert snapshot_lines.new_snapshot_revision() == 305


def test_the_snapshot_of_an_empty_state_has_one_part() -> None:
    part = SnapshotLines(ScriptedSource(), 4_096).part_after(0, None)
    assert part.is_last and part.last_key is None


def test_a_token_bucket_sends_at_its_rate() -> None:
    bucket = TokenBucket(1_000.0, 5_000.0, 0.0)
    now_s, sent_bytes = 0.0, 0
    for _ in range(1_000):
        if now_s > 60.0:
            break
        wait_s = bucket.wait_s(now_s)
        if wait_s:
            now_s += wait_s
            continue
        bucket.spend(now_s, 700)
        sent_bytes += 700
    assert 60_000 <= sent_bytes <= 5_000 + 60_000 + 2 * 700
    assert bucket.wait_s(now_s + 1_000.0) == 0.0
    bucket.spend(now_s + 1_000.0, 5_000)
    assert bucket.wait_s(now_s + 1_000.0) == 0.0
    bucket.spend(now_s + 1_000.0, 1_000)
    assert bucket.wait_s(now_s + 1_000.0) == pytest.approx(1.0)


def test_a_node_ahead_of_the_server_gets_changes_once_the_server_has_caught_up() -> None:
    """The server is behind or cut off, and has no changes for a node at a later revision."""

    async def test() -> None:
        async with watch_site(committed=5) as site, site.watch(7) as node:
            await node.wait_until(lambda: node.freshness())
            assert site.watchers.count_ahead() == 1
            site.commit(2)
            site.commit(1)
            await node.wait_until(lambda: node.has_reached(8))
            assert node.revisions() == [8]
            assert site.watchers.count_ahead() == 0

    run(test())


def test_a_server_that_is_cut_off_reports_its_age_and_still_serves(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchers, "HEARTBEAT_INTERVAL_S", 0.1)

    async def test() -> None:
        async with watch_site(committed=5) as site, site.watch(0) as node:
            await node.wait_until(lambda: node.has_reached(5))
            site.source.leader_age_ms = 4_000
            await node.wait_until(
                lambda: [freshness.age_ms for freshness in node.freshness()][:2] == [0, 4_000]
            )
            async with site.watch(3) as late_watch:
                await late_watch.wait_until(lambda: late_watch.has_reached(5))
                assert late_watch.freshness()[0].age_ms == 4_000
            site.source.leader_age_ms = 9_000
            await node.wait_until(lambda: node.freshness()[-1].age_ms == 9_000)  # with the 15th heartbeat
            site.source.leader_age_ms = 0
            await node.wait_until(lambda: node.freshness()[-1].age_ms == 0)

    run(test())


def test_heartbeats_are_spread_over_slots(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watchers, "HEARTBEAT_INTERVAL_S", 0.2)

    async def test() -> None:
        async with watch_site() as site:
            nodes = [site.watch() for _ in range(40)]
            for node in nodes:
                await node.__aenter__()
            assert {len(slot) for slot in site.watchers._slots} == {2}
            for node in nodes:
                await node.wait_until(lambda node=node: node.heartbeats >= 2)
            for node in nodes:
                await node.__aexit__()

    run(test())


def test_a_stalled_watch_is_closed_and_can_continue_on_a_new_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an unbounded queue for a node that reads nothing."""
    monkeypatch.setattr(watchers, "HEARTBEAT_INTERVAL_S", 0.1)
    monkeypatch.setattr(watchers, "STALL_TIMEOUT_S", 0.3)

    async def test() -> None:
        async with watch_site() as site:
            _, writer = await asyncio.open_connection(*site.server.address, limit=1)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(b"GET /configuration?watch=1&from=0&node=n1 HTTP/1.1\r\n\r\n")
            await until(lambda: len(site.watchers) == 1)
            (stalled_watch,) = [watch for slot in site.watchers._slots for watch in slot]
            with captured_log() as captured:
                site.source.commit(200, *(drain_change(f"s{number}", "x" * 9_000) for number in range(25)))
                site.watchers.on_committed()
                await until(lambda: not stalled_watch.connection.is_writable)
                assert 0 < stalled_watch.position < 200
                transport = stalled_watch.connection._transport
                assert transport is not None
                assert transport.get_write_buffer_size() < 1 << 20
                await until(lambda: len(site.watchers) == 0)
            assert any("took nothing for" in line.getMessage() for line in captured.records)
            writer.transport.abort()
            async with site.watch(stalled_watch.position) as resumed:
                await resumed.wait_until(lambda: resumed.has_reached(200))
                assert resumed.revisions()[0] == stalled_watch.position + 1

    run(test())


INVALID_QUERIES = {
    "from=-1": "from", "from=x": "from", "from=99999999999999999999": "from",
    "from=1&snapshot=a": "snapshot", "from=1&snapshot=1&after=nothing": "after",
    "from=1&snapshot=1&after=moon/a": "after", "node=%00": "node", "node=" + "n" * 200: "node",
}  # fmt: skip


@pytest.mark.parametrize("query", INVALID_QUERIES)
def test_an_invalid_query_is_refused_with_the_name_of_its_key(query: str) -> None:
    async def test() -> None:
        async with watch_site(committed=5) as site:
            with captured_log() as captured:
                answer = await call(site.server.address, "GET", f"/configuration?watch=1&{query}")
            assert (answer.status, answer.is_open) == (400, False)
            assert answer.document["error"].startswith(INVALID_QUERIES[query] + ":")
            assert len(captured.warnings()) == 1
            assert len(site.watchers) == 0

    run(test())


def test_data_after_a_watch_request_closes_the_watch() -> None:
    async def test() -> None:
        async with watch_site(committed=5) as site:
            data = b"GET /configuration?watch=1 HTTP/1.1\r\n\r\n"
            with captured_log() as captured:
                reader, writer = await asyncio.open_connection(*site.server.address)
                writer.write(data)
                await reader.readuntil(b'"age_ms":0')
                writer.write(b"garbage")
                await reader.read()
                writer.close()
            assert [re.sub(r"^\S+ ", "", line) for line in captured.warnings()] == [
                "more after a watch was asked for; closed"
            ]
            await until(lambda: len(site.watchers) == 0)
            async with site.watch(0) as node:
                await node.wait_until(lambda: node.has_reached(5))

    run(test())


def test_the_scripted_source_returns_logged_entries() -> None:
    source = ScriptedSource()
    source.commit(3)
    assert source.entries(1, 1) == [LoggedChangeSet(2, change_set(2))]
