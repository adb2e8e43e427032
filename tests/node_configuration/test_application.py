"""Applying received configuration: reloads, snapshots, stale servers and bad input, on real sockets."""

from __future__ import annotations

import asyncio
import logging

import msgspec
import pytest
from control_server import BUDGET, DRAIN, ROUTE, TENANT, ChangeLog, ControlServer, change
from harness import PLATFORM, NodeHarness, node_context, route, shorten_pauses, with_class
from rig import run, until

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.messages import LINE_BYTES_MAX, Changes, Freshness, SnapshotPart, encode
from driftstair.configuration.resources import Resource, canonical_json
from driftstair.net.system import SocketSystem
from driftstair.node_configuration import slices
from driftstair.node_configuration.application import LEADER_SILENCE_MAX_MS

IN_FLIGHT_10, IN_FLIGHT_20 = {"in_flight": 10}, {"in_flight": 20}


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten_pauses(monkeypatch)


def log_messages(caplog: pytest.LogCaptureFixture, text: str) -> list[str]:
    return [record.getMessage() for record in caplog.records if text in record.getMessage()]


def test_change_sets_come_into_force_in_order_and_the_later_of_two_on_one_route_remains() -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(change(ROUTE, "r", route(in_flight=1)), change(TENANT, "acme", IN_FLIGHT_10))
        log.put(change(ROUTE, "r", route(in_flight=2)))
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(log.freshness(), log.changes())
            await until(lambda: len(node.effects.applied_keys) == 3)
            assert node.content(ROUTE, "r") == canonical_json(route(in_flight=2))
            assert node.effects.applied_keys == ["route/r", "tenant/acme", "route/r"]
            log.put(change(ROUTE, "r", None), change(TENANT, "acme", IN_FLIGHT_20))
            server.send(log.changes(2))
            await until(lambda: node.in_force.revision == 3)
            assert node.content(ROUTE, "r") is None and node.content(TENANT, "acme") == canonical_json(
                IN_FLIGHT_20
            )
            assert node.digest() == f"{log.state.digest:016x}" and not node.refused_revisions()

    run(test())


def test_a_change_set_with_a_class_unknown_here_is_refused_as_a_whole_and_later_ones_are_applied(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The refusal is logged once. A later valid change set on one of its resources ends the refusal for this
    resource."""

    async def test() -> None:
        log = ChangeLog()
        log.put(change(ROUTE, "r", route()), change(TENANT, "acme", IN_FLIGHT_10))
        log.put(change(TENANT, "acme", IN_FLIGHT_20), change(ROUTE, "r", route("elsewhere")))
        log.put(change(ROUTE, "other", route(path="/b")))
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(log.changes(), log.freshness())
            await until(lambda: node.in_force.revision == 3)
            assert node.content(ROUTE, "r") == canonical_json(route())
            assert node.content(TENANT, "acme") == canonical_json(IN_FLIGHT_10)  # of the same change set
            assert node.content(ROUTE, "other") == canonical_json(route(path="/b"))
            assert node.refused_revisions() == [2] and node.digest() == f"{log.state.digest:016x}"
            (refused,) = [refusal.report() for refusal in node.in_force.refusals.values()]
            assert refused.resource == "route/r" and "elsewhere" in refused.reason
            log.put(change(TENANT, "acme", {"in_flight": 30}))
            server.send(log.changes(3))
            await until(lambda: node.in_force.revision == 4)
            assert node.content(TENANT, "acme") == canonical_json(
                {"in_flight": 30}
            ) and node.refused_revisions() == [2]
            log.put(change(ROUTE, "r", route(in_flight=7)))
            server.send(log.changes(4), log.freshness())
            await until(lambda: node.in_force.revision == 5)
            assert (
                node.content(ROUTE, "r") == canonical_json(route(in_flight=7))
                and not node.refused_revisions()
            )
            assert node.digest() == f"{log.state.digest:016x}" and len(server.queries) == 1

    with caplog.at_level(logging.WARNING):
        run(test())
    assert len(log_messages(caplog, "refused here")) == 1


def test_a_reload_with_another_platform_validates_refused_change_sets_again() -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(change(ROUTE, "r", route()), change(ROUTE, "s", route(path="/s")))
        log.put(change(ROUTE, "r", route("elsewhere")))
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(log.changes())
            await until(lambda: node.refused_revisions() == [2])
            node.applier.revalidate(node_context(with_class("elsewhere")))
            await until(lambda: not node.refused_revisions())
            assert node.content(ROUTE, "r") == canonical_json(route("elsewhere"))
            assert node.digest() == f"{log.state.digest:016x}"
            node.applier.revalidate(node_context(PLATFORM))
            await until(lambda: node.refused_revisions() == [2])
            assert node.content(ROUTE, "s") == canonical_json(route(path="/s"))
            assert node.digest() == f"{log.state.digest:016x}"
            log.put(change(TENANT, "acme", IN_FLIGHT_10))
            server.send(log.changes(2))
            await until(lambda: node.in_force.revision == 3)

    run(test())


def test_a_reload_leaves_in_force_what_a_refused_change_set_deletes() -> None:
    """Guards against requests to a server whose drain a refused set moves elsewhere."""

    async def test() -> None:
        log = ChangeLog()
        log.put(change(DRAIN, "s-1", {}))
        log.put(change(DRAIN, "s-1", None), change(DRAIN, "s-2", {}), change(ROUTE, "r", route("elsewhere")))
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(log.changes())
            await until(lambda: node.refused_revisions() == [2])
            node.applier.revalidate(node_context())
            await until(lambda: node.effects.replacement_count)
            assert node.refused_revisions() == [2] and node.digest() == f"{log.state.digest:016x}"
            assert node.content(DRAIN, "s-1") is not None and node.content(DRAIN, "s-2") is None
            node.applier.revalidate(node_context(with_class("elsewhere")))
            await until(lambda: not node.refused_revisions())
            assert node.content(DRAIN, "s-1") is None and node.content(DRAIN, "s-2") is not None
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_a_reload_while_a_snapshot_is_applied_shows_only_whole_states(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each turn of the event loop sees a state validated completely against either the old or the new
    platform."""
    monkeypatch.setattr(slices, "SLICE_NS", 0)  # each step ends a turn of the event loop

    async def test() -> None:
        log = ChangeLog()
        log.put(*(change(ROUTE, f"r{index:03}", route(path=f"/r{index}")) for index in range(100)))
        log.put(*(change(ROUTE, f"r{index:03}", route("late", path=f"/r{index}")) for index in range(50)))
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(*log.snapshot(30, 30, 30))
            await until(lambda: server.queries and node.applier.slicer.steps > 150)
            assert node.in_force.revision == 0  # all parts are received, and some resources are validated
            node.applier.revalidate(node_context(with_class("late")))
            states = []
            while node.in_force.context.platform == PLATFORM:
                state = (len(list(node.in_force.state.resources())), len(node.in_force.refusals))
                states += [state] if state not in states else []
                await asyncio.sleep(0)
            assert states == [(0, 0), (50, 1)]  # empty, then the snapshot validated against the old platform
            assert len(list(node.in_force.state.resources())) == 100 and not node.refused_revisions()
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_a_thousand_change_sets_in_a_second_are_applied_in_order_and_several_in_one_turn() -> None:
    async def test() -> None:
        log = ChangeLog()
        for number in range(1_000):
            log.put(change(TENANT, f"t{number % 10}", {"in_flight": number + 1}))
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            for base in range(0, 1_000, 50):
                server.send(log.changes(base, base + 50))
            await until(lambda: len(node.effects.applied_keys) == 1_000)
            assert node.effects.applied_keys == [f"tenant/t{number % 10}" for number in range(1_000)]
            assert node.effects.turn_count < 500
            assert node.applier.slicer.steps >= 1_000
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


class SteppingClock(SocketSystem):
    """A clock that advances by a fixed time at each call, so that each step has the same length."""

    def __init__(self, step_ns: int) -> None:
        self._step_ns = step_ns
        self._now_ns = 0

    def monotonic_ns(self) -> int:  # type: ignore[override]
        self._now_ns += self._step_ns
        return self._now_ns


def test_a_snapshot_is_built_in_time_slices_and_replaces_the_configuration_in_one_step() -> None:
    """The test counts steps instead of measuring time: each step takes a tenth of a slice."""

    async def test() -> None:
        log = ChangeLog()
        for index in range(10):
            changes = (change(TENANT, f"t{index}-{number}", IN_FLIGHT_10) for number in range(60))
            log.put(*changes, change(ROUTE, f"r{index}", route(path=f"/r{index}")))
        clock = SteppingClock(slices.SLICE_NS // 10)
        async with ControlServer() as server, NodeHarness(server, system=clock) as node:
            await until(lambda: server.queries)
            server.send(*log.snapshot(100, 100, 100, 100, 100), log.freshness())
            resource_counts = set()
            while node.in_force.revision == 0:
                resource_counts.add(len(list(node.in_force.state.resources())))
                await asyncio.sleep(0)
            assert resource_counts == {0}
            assert len(list(node.in_force.state.resources())) == 610
            assert node.effects.replacement_count == 1 and not node.effects.applied_keys
            slicer = node.applier.slicer
            assert slicer.steps >= 2 * 610  # each resource is loaded, then validated
            assert slicer.turns >= slicer.steps // 11

    run(test())


def test_a_node_an_hour_behind_takes_a_snapshot_and_the_changes_made_during_its_transfer() -> None:
    """Parts contain resources newer than the snapshot's revision, so no intermediate state may come into
    force."""

    async def test() -> None:
        log = ChangeLog()
        log.put(
            change(TENANT, "a", IN_FLIGHT_10),
            change(TENANT, "b", IN_FLIGHT_10),
            change(ROUTE, "gone", route(path="/g")),
        )
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(log.changes())
            await until(lambda: node.in_force.revision == 1)
            server.abort_watches()
            await until(lambda: len(server.queries) == 2)
            assert server.queries[1]["from"] == "1"
            for number in range(2, 75):  # an hour's changes, made while the node is disconnected
                log.put(change(TENANT, f"t{number}", {"in_flight": number}), change(ROUTE, "gone", None))
            first = log.snapshot(20)[0]
            revision = first.revision
            log.put(
                change(TENANT, "b", IN_FLIGHT_20), change(BUDGET, "fleet", {"per_s": 100.0, "burst": "5s"})
            )
            log.put(change(TENANT, "z", IN_FLIGHT_20), change(TENANT, "t2", None))
            rest = log.state.resources(first.resources[-1].key)
            server.send(
                log.freshness(), first, SnapshotPart(revision, False, True, tuple(rest)),
                log.changes(revision, revision + 1),
            )  # fmt: skip
            await until(lambda: node.applier.position().revision == revision + 1)
            assert node.in_force.revision == 1  # the snapshot is not complete yet
            server.send(log.changes(revision + 1))
            await until(lambda: node.in_force.revision == revision + 2)
            assert node.digest() == f"{log.state.digest:016x}" and node.effects.replacement_count == 1
            assert node.content(ROUTE, "gone") is None and node.content(TENANT, "t2") is None

    run(test())


@pytest.mark.parametrize("tells_before_the_last_part", [True, False])
def test_a_resource_deleted_while_its_part_is_still_to_be_sent_does_not_end_the_watch(
    tells_before_the_last_part: bool,
) -> None:
    """Guards against holding a state that lacks a deletion's entry against the digest from the begin of the
    watch: the node left the only control server with that entry unread, and nothing reached it any more.
    A server of an earlier version says nothing before the last part."""

    async def test() -> None:
        log = ChangeLog()
        log.put(*(change(TENANT, f"t{index:02}", IN_FLIGHT_10) for index in range(20)))
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            first = log.snapshot(10)[0]
            server.send(log.freshness(), first)
            await until(lambda: node.applier.position().snapshot is not None)
            log.put(change(TENANT, "t15", None))
            last = SnapshotPart(1, False, True, tuple(log.state.resources(first.resources[-1].key)))
            if tells_before_the_last_part:
                server.send(log.freshness(), last)
                await until(lambda: node.applier.position().snapshot is None)
                assert node.in_force.revision == 0  # the deletion's entry is still missing
            else:
                server.send(last)
                await until(lambda: node.in_force.revision == 1)
            server.send(log.changes(1))
            await until(lambda: node.in_force.revision == 2)
            log.put(change(TENANT, "t01", IN_FLIGHT_20))
            server.send(log.freshness(), log.changes(2))
            await until(lambda: node.in_force.revision == 3)
            assert node.digest() == f"{log.state.digest:016x}" and len(server.queries) == 1

    run(test())


def test_a_node_disconnected_during_a_snapshot_continues_after_the_last_part() -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(*(change(TENANT, f"t{index}", IN_FLIGHT_10) for index in range(30)))
        parts = log.snapshot(10, 10)
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(*parts[:2])
            await until(lambda: node.applier.position().snapshot is not None)
            await until(lambda: node.applier.position().snapshot[1] == parts[1].resources[-1].key)  # type: ignore[index]
            server.abort_watches()
            await until(lambda: len(server.queries) == 2)
            after = parts[1].resources[-1].key
            assert (server.queries[1]["snapshot"], server.queries[1]["after"]) == ("1", str(after))
            assert node.in_force.revision == 0
            server.send(parts[2])
            await until(lambda: node.in_force.revision == 1)
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_a_server_that_cannot_continue_a_snapshot_starts_another_one() -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(*(change(TENANT, f"t{index}", IN_FLIGHT_10) for index in range(30)))
        old_parts = log.snapshot(10, 10)
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(*old_parts[:2])
            await until(lambda: node.applier.position().snapshot is not None)
            server.abort_watches()
            log.put(change(TENANT, "t0", None))
            await until(lambda: len(server.queries) == 2)
            server.send(*log.snapshot(10, 10))
            await until(lambda: node.in_force.revision == 2)
            assert node.digest() == f"{log.state.digest:016x}"
            assert len(server.queries) == 2

    run(test())


@pytest.mark.parametrize("fault", ["stale", "behind"])
def test_a_server_that_is_stale_or_behind_is_left_and_the_configuration_stays_in_force(fault: str) -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(change(TENANT, "acme", IN_FLIGHT_10))
        async with (
            ControlServer() as server_a,
            ControlServer() as server_b,
            NodeHarness(server_a, server_b) as node,
        ):
            await until(lambda: server_a.queries or server_b.queries)
            first, second = (server_a, server_b) if server_a.queries else (server_b, server_a)
            first.send(log.changes())
            await until(lambda: node.in_force.revision == 1)
            first.send(Freshness(1, LEADER_SILENCE_MAX_MS + 1) if fault == "stale" else Freshness(0, 0))
            await until(lambda: second.queries)
            assert second.queries[0]["from"] == "1"
            log.put(change(TENANT, "acme", IN_FLIGHT_20))
            second.send(log.freshness(), log.changes(1))
            await until(lambda: node.in_force.revision == 2)
            assert node.content(TENANT, "acme") == canonical_json(IN_FLIGHT_20)

    run(test())


def test_a_server_restored_from_an_old_copy_is_logged_in_one_line_and_a_new_snapshot_is_taken(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Its revision has different content than this node's, so changes after it can't be applied here."""

    async def test() -> None:
        old_log, new_log = ChangeLog(), ChangeLog()
        old_log.put(change(TENANT, "acme", IN_FLIGHT_10), change(TENANT, "lost", IN_FLIGHT_10))
        new_log.put(change(TENANT, "acme", IN_FLIGHT_20))
        async with (
            ControlServer() as server_a,
            ControlServer() as server_b,
            NodeHarness(server_a, server_b) as node,
        ):
            await until(lambda: server_a.queries or server_b.queries)
            first, second = (server_a, server_b) if server_a.queries else (server_b, server_a)
            first.send(old_log.changes())
            await until(lambda: node.in_force.revision == 1)
            first.send(new_log.freshness())
            await until(lambda: second.queries)
            assert second.queries[0]["from"] == "0"
            second.send(new_log.freshness(), *new_log.snapshot())
            # The snapshot is rejected, as its revision is not higher, and the configuration stays in force.
            await until(lambda: len(server_a.queries) + len(server_b.queries) > 2)
            assert node.content(TENANT, "lost") == canonical_json(IN_FLIGHT_10)
            server = first if len(first.queries) > 1 else second
            new_log.put(change(TENANT, "new", IN_FLIGHT_10))
            server.send(new_log.freshness(), *new_log.snapshot())
            await until(lambda: node.in_force.revision == 2)
            assert node.digest() == f"{new_log.state.digest:016x}" and node.content(TENANT, "lost") is None
            assert node.applier.position().revision == 2

    with caplog.at_level(logging.WARNING):
        run(test())
    assert len(log_messages(caplog, "other content")) == 1


def test_a_log_with_different_content_is_accepted_from_its_beginning_like_a_snapshot() -> None:
    async def test() -> None:
        old_log, new_log = ChangeLog(), ChangeLog()
        old_log.put(change(TENANT, "acme", IN_FLIGHT_10))
        new_log.put(change(TENANT, "acme", IN_FLIGHT_20))
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(old_log.changes())
            await until(lambda: node.in_force.revision == 1)
            server.send(new_log.freshness())
            await until(lambda: len(server.queries) == 2)
            server.send(new_log.changes())
            await until(lambda: node.applier.position().revision == 1)
            assert node.content(TENANT, "acme") == canonical_json(IN_FLIGHT_10)
            new_log.put(change(TENANT, "new", IN_FLIGHT_10))
            server.send(new_log.changes(1), new_log.freshness())
            await until(lambda: node.in_force.revision == 2)
            assert node.digest() == f"{new_log.state.digest:016x}" and len(server.queries) == 2

    run(test())


def logged_text(revision: int, kind: str, name: str, content: str) -> str:
    change_text = f'{{"kind":"{kind}","name":"{name}","content":{content}}}'
    return f'{{"revision":{revision},"change_set":{{"id":"s","changes":[{change_text}]}}}}'


def changes_text(base: int, *entries: str) -> bytes:
    return f'{{"type":"changes","base_revision":{base},"change_sets":[{",".join(entries)}]}}'.encode()


BAD_LINES = {
    "no JSON": b"not json",
    "truncated": changes_text(1, logged_text(2, "tenant", "b", "{}"))[:-9],
    "no UTF-8": changes_text(1, logged_text(2, "tenant", "b", "{}")).replace(b'"b"', b'"\xff"'),
    "unknown type": b'{"type":"news"}',
    "deep": b"[" * 100_000,
    "unknown kind": changes_text(1, logged_text(2, "hat", "b", "{}")),
    "revision goes back": changes_text(0, logged_text(1, "tenant", "b", "{}")),
    "gap before": changes_text(2, logged_text(3, "tenant", "b", "{}")),
    "gap within": changes_text(1, logged_text(2, "tenant", "b", "{}"), logged_text(4, "tenant", "c", "{}")),
    "content is no object": changes_text(1, logged_text(2, "tenant", "b", "5")),
    "changed twice": changes_text(
        1, logged_text(2, "tenant", "b", '{}},{"kind":"tenant","name":"b","content":{}')
    ),
    "name": changes_text(1, logged_text(2, "tenant", "b" * 200, "{}")),
    "part without its first": encode(SnapshotPart(5, False, True, ())),
    "snapshot goes back": encode(SnapshotPart(0, True, True, ())),
    "over-long": b'{"type":"changes","base_revision":1,"change_sets":[' + b" " * LINE_BYTES_MAX + b"]}",
}


@pytest.mark.parametrize("line", BAD_LINES.values(), ids=BAD_LINES.keys())
def test_a_bad_line_is_logged_in_one_line_and_leaves_the_state_unchanged(
    line: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(change(TENANT, "a", IN_FLIGHT_10))
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(log.changes(), log.freshness())
            await until(lambda: node.in_force.revision == 1)
            server.send_bytes(line + b"\n" + line + b"\n")
            await until(lambda: len(server.queries) == 2)
            assert server.queries[1]["from"] == "1" and "snapshot" not in server.queries[1]
            assert node.digest() == f"{log.state.digest:016x}" and not node.refused_revisions()
            log.put(change(TENANT, "b", IN_FLIGHT_20))
            server.send(log.changes(1))  # the new watch continues
            await until(lambda: node.in_force.revision == 2)

    with caplog.at_level(logging.WARNING):
        run(test())
    end_messages = log_messages(caplog, "watch ended")
    assert (
        len(end_messages) == 1 and "127.0.0.1:" in end_messages[0] and len(end_messages[0]) < 400
    ), end_messages
    assert "Traceback" not in caplog.text


@pytest.mark.parametrize("fault", ["order", "twice", "content", "other snapshot"])
def test_a_bad_part_of_a_snapshot_ends_the_watch_and_earlier_parts_are_kept(fault: str) -> None:
    async def test() -> None:
        log = ChangeLog()
        log.put(*(change(TENANT, f"t{index}", IN_FLIGHT_10) for index in range(9)))
        parts = log.snapshot(3, 3)
        resources = parts[1].resources
        bad_part = {
            "order": SnapshotPart(1, False, False, resources[::-1]),
            "twice": SnapshotPart(1, False, False, (*resources, resources[-1])),
            "content": SnapshotPart(1, False, False, (Resource(TENANT, "t5", 1, msgspec.Raw(b"[]")),)),
            "other snapshot": SnapshotPart(2, False, False, resources),
        }[fault]
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(parts[0], bad_part)
            await until(lambda: len(server.queries) == 2)
            assert server.queries[1]["after"] == str(parts[0].resources[-1].key)
            server.send(*parts[1:])
            await until(lambda: node.in_force.revision == 1)
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_an_invalid_change_set_is_not_partly_applied_and_earlier_ones_of_its_line_are_applied() -> None:
    """One of its two changes is invalid."""

    async def test() -> None:
        log = ChangeLog()
        good = log.put(change(TENANT, "a", IN_FLIGHT_10), change(DRAIN, "box-1", {}))
        invalid = LoggedChangeSet(
            2, ChangeSet("half", (change(TENANT, "b", IN_FLIGHT_10), change(TENANT, "c", 5)))
        )  # fmt: skip
        async with ControlServer() as server, NodeHarness(server) as node:
            await until(lambda: server.queries)
            server.send(Changes(0, (good, invalid)))
            await until(lambda: len(server.queries) == 2)
            assert server.queries[1]["from"] == "1"
            assert node.digest() == f"{log.state.digest:016x}"
            assert node.content(TENANT, "b") is None

    run(test())
