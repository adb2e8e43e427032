"""What is received becomes what is in force: the node's hard cases and bad input, on real sockets."""

from __future__ import annotations

import asyncio
import logging

import msgspec
import pytest
from control_server import BUDGET, DRAIN, ROUTE, TENANT, ControlServer, Log, change
from harness import PLATFORM, Harness, given, route, soon, with_class
from rig import run, until

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.messages import LINE_BYTES_MAX, Changes, Freshness, SnapshotPart, encode
from driftstair.configuration.resources import Resource, canonical_json
from driftstair.net.system import SocketSystem
from driftstair.node_configuration import slices
from driftstair.node_configuration.application import STALE_MS

TEN, TWENTY = {"in_flight": 10}, {"in_flight": 20}


@pytest.fixture(autouse=True)
def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    soon(monkeypatch)


def messages(caplog: pytest.LogCaptureFixture, word: str) -> list[str]:
    return [record.getMessage() for record in caplog.records if word in record.getMessage()]


def test_changes_come_into_force_in_order_and_two_sets_on_one_route_leave_the_later_one() -> None:
    async def test() -> None:
        log = Log()
        log.put(change(ROUTE, "r", route(in_flight=1)), change(TENANT, "acme", TEN))
        log.put(change(ROUTE, "r", route(in_flight=2)))
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(log.freshness(), log.changes())
            await until(lambda: len(node.effects.changed) == 3)
            assert node.content(ROUTE, "r") == canonical_json(route(in_flight=2))
            assert node.effects.changed == ["route/r", "tenant/acme", "route/r"]
            log.put(change(ROUTE, "r", None), change(TENANT, "acme", TWENTY))
            server.say(log.changes(2))
            await until(lambda: node.in_force.revision == 3)
            assert node.content(ROUTE, "r") is None and node.content(TENANT, "acme") == canonical_json(TWENTY)
            assert node.digest() == f"{log.state.digest:016x}" and not node.refused()

    run(test())


def test_a_set_that_only_other_nodes_know_the_class_of_is_refused_whole_and_later_ones_go_on(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """It is told and not tried again; a good set on one of its resources ends the refusal there."""

    async def test() -> None:
        log = Log()
        log.put(change(ROUTE, "r", route()), change(TENANT, "acme", TEN))
        log.put(change(TENANT, "acme", TWENTY), change(ROUTE, "r", route("elsewhere")))
        log.put(change(ROUTE, "other", route(path="/b")))
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(log.changes(), log.freshness())
            await until(lambda: node.in_force.revision == 3)
            assert node.content(ROUTE, "r") == canonical_json(route())
            assert node.content(TENANT, "acme") == canonical_json(TEN)  # of the same set
            assert node.content(ROUTE, "other") == canonical_json(route(path="/b"))
            assert node.refused() == [2] and node.digest() == f"{log.state.digest:016x}"
            (refused,) = [one.report() for one in node.in_force.refusals.values()]
            assert refused.resource == "route/r" and "elsewhere" in refused.reason
            log.put(change(TENANT, "acme", {"in_flight": 30}))
            server.say(log.changes(3))
            await until(lambda: node.in_force.revision == 4)
            assert node.content(TENANT, "acme") == canonical_json({"in_flight": 30}) and node.refused() == [2]
            log.put(change(ROUTE, "r", route(in_flight=7)))
            server.say(log.changes(4), log.freshness())
            await until(lambda: node.in_force.revision == 5)
            assert node.content(ROUTE, "r") == canonical_json(route(in_flight=7)) and not node.refused()
            assert node.digest() == f"{log.state.digest:016x}" and len(server.queries) == 1

    with caplog.at_level(logging.WARNING):
        run(test())
    assert len(messages(caplog, "refused here")) == 1


def test_after_a_reload_with_another_platform_what_was_refused_is_judged_anew() -> None:
    async def test() -> None:
        log = Log()
        log.put(change(ROUTE, "r", route()), change(ROUTE, "s", route(path="/s")))
        log.put(change(ROUTE, "r", route("elsewhere")))
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(log.changes())
            await until(lambda: node.refused() == [2])
            node.application.judge_anew(given(with_class("elsewhere")))
            await until(lambda: not node.refused())
            assert node.content(ROUTE, "r") == canonical_json(route("elsewhere"))
            assert node.digest() == f"{log.state.digest:016x}"
            node.application.judge_anew(given(PLATFORM))
            await until(lambda: node.refused() == [2])
            assert node.content(ROUTE, "s") == canonical_json(route(path="/s"))
            assert node.digest() == f"{log.state.digest:016x}"
            log.put(change(TENANT, "acme", TEN))
            server.say(log.changes(2))
            await until(lambda: node.in_force.revision == 3)

    run(test())


def test_a_reload_in_the_middle_of_an_application_leaves_one_whole_state_or_the_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each turn of the loop sees either all of the old platform's proof or all of the new one's."""
    monkeypatch.setattr(slices, "SLICE_NS", 0)  # each step is a turn

    async def test() -> None:
        log = Log()
        log.put(*(change(ROUTE, f"r{index:03}", route(path=f"/r{index}")) for index in range(100)))
        log.put(*(change(ROUTE, f"r{index:03}", route("late", path=f"/r{index}")) for index in range(50)))
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(*log.snapshot(30, 30, 30))
            await until(lambda: server.queries and node.application.slices.steps > 150)
            assert node.in_force.revision == 0  # all parts are in, and some of it is proved
            node.application.judge_anew(given(with_class("late")))
            seen = []
            while node.in_force.given.platform == PLATFORM:
                found = (len(list(node.in_force.state.resources())), len(node.in_force.refusals))
                seen += [found] if found not in seen else []
                await asyncio.sleep(0)
            assert seen == [(0, 0), (50, 1)]  # nothing, the snapshot by the old platform, and then:
            assert len(list(node.in_force.state.resources())) == 100 and not node.refused()
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_a_thousand_changes_in_a_second_are_applied_in_order_and_batched_by_turns() -> None:
    async def test() -> None:
        log = Log()
        for number in range(1_000):
            log.put(change(TENANT, f"t{number % 10}", {"in_flight": number + 1}))
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            for base in range(0, 1_000, 50):
                server.say(log.changes(base, base + 50))
            await until(lambda: len(node.effects.changed) == 1_000)
            assert node.effects.changed == [f"tenant/t{number % 10}" for number in range(1_000)]
            assert node.effects.turns < 500
            assert node.application.slices.steps >= 1_000
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


class CountedClock(SocketSystem):
    """A clock that goes on by so much each time it is asked, so that steps have a length."""

    def __init__(self, step_ns: int) -> None:
        self._step_ns = step_ns
        self._now_ns = 0

    def monotonic_ns(self) -> int:  # type: ignore[override]
        self._now_ns += self._step_ns
        return self._now_ns


def test_a_snapshot_is_built_beside_what_is_in_force_in_slices_and_swapped_at_once() -> None:
    """Counted, not timed: where a step takes a tenth of a slice, ten make a turn."""

    async def test() -> None:
        log = Log()
        for index in range(10):
            changes = (change(TENANT, f"t{index}-{number}", TEN) for number in range(60))
            log.put(*changes, change(ROUTE, f"r{index}", route(path=f"/r{index}")))
        clock = CountedClock(slices.SLICE_NS // 10)
        async with ControlServer() as server, Harness(server, system=clock) as node:
            await until(lambda: server.queries)
            server.say(*log.snapshot(100, 100, 100, 100, 100), log.freshness())
            held = set()
            while node.in_force.revision == 0:
                held.add(len(list(node.in_force.state.resources())))
                await asyncio.sleep(0)
            assert held == {0}
            assert len(list(node.in_force.state.resources())) == 610
            assert node.effects.replaced == 1 and not node.effects.changed
            work = node.application.slices
            assert work.steps >= 2 * 610  # taken in, and proved
            assert work.turns >= work.steps // 11

    run(test())


def test_a_node_an_hour_behind_takes_a_snapshot_and_the_changes_made_while_it_came() -> None:
    """Parts hold resources that are newer than the snapshot: no state in between may come into force."""

    async def test() -> None:
        log = Log()
        log.put(change(TENANT, "a", TEN), change(TENANT, "b", TEN), change(ROUTE, "gone", route(path="/g")))
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(log.changes())
            await until(lambda: node.in_force.revision == 1)
            server.cut()
            await until(lambda: len(server.queries) == 2)
            assert server.queries[1]["from"] == "1"
            for number in range(2, 75):  # an hour's changes
                log.put(change(TENANT, f"t{number}", {"in_flight": number}), change(ROUTE, "gone", None))
            first = log.snapshot(20)[0]
            revision = first.revision
            log.put(change(TENANT, "b", TWENTY), change(BUDGET, "fleet", {"per_s": 100.0, "burst": "5s"}))
            log.put(change(TENANT, "z", TWENTY), change(TENANT, "t2", None))
            rest = log.state.resources(first.resources[-1].key)
            server.say(
                log.freshness(), first, SnapshotPart(revision, False, True, tuple(rest)),
                log.changes(revision, revision + 1),
            )  # fmt: skip
            await until(lambda: node.application.position().revision == revision + 1)
            assert node.in_force.revision == 1  # not whole yet
            server.say(log.changes(revision + 1))
            await until(lambda: node.in_force.revision == revision + 2)
            assert node.digest() == f"{log.state.digest:016x}" and node.effects.replaced == 1
            assert node.content(ROUTE, "gone") is None and node.content(TENANT, "t2") is None

    run(test())


def test_a_node_cut_off_in_the_middle_of_a_snapshot_goes_on_behind_its_last_part() -> None:
    async def test() -> None:
        log = Log()
        log.put(*(change(TENANT, f"t{index}", TEN) for index in range(30)))
        parts = log.snapshot(10, 10)
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(*parts[:2])
            await until(lambda: node.application.position().snapshot is not None)
            await until(lambda: node.application.position().snapshot[1] == parts[1].resources[-1].key)  # type: ignore[index]
            server.cut()
            await until(lambda: len(server.queries) == 2)
            after = parts[1].resources[-1].key
            assert (server.queries[1]["snapshot"], server.queries[1]["after"]) == ("1", str(after))
            assert node.in_force.revision == 0
            server.say(parts[2])
            await until(lambda: node.in_force.revision == 1)
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_a_server_that_cant_go_on_with_a_snapshot_begins_another_one() -> None:
    async def test() -> None:
        log = Log()
        log.put(*(change(TENANT, f"t{index}", TEN) for index in range(30)))
        old = log.snapshot(10, 10)
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(*old[:2])
            await until(lambda: node.application.position().snapshot is not None)
            server.cut()
            log.put(change(TENANT, "t0", None))
            await until(lambda: len(server.queries) == 2)
            server.say(*log.snapshot(10, 10))
            await until(lambda: node.in_force.revision == 2)
            assert node.digest() == f"{log.state.digest:016x}"
            assert len(server.queries) == 2

    run(test())


@pytest.mark.parametrize("why", ["stale", "behind"])
def test_a_server_that_is_stale_or_behind_is_left_and_what_is_in_force_stays(why: str) -> None:
    async def test() -> None:
        log = Log()
        log.put(change(TENANT, "acme", TEN))
        async with ControlServer() as one, ControlServer() as other, Harness(one, other) as node:
            await until(lambda: one.queries or other.queries)
            first, second = (one, other) if one.queries else (other, one)
            first.say(log.changes())
            await until(lambda: node.in_force.revision == 1)
            first.say(Freshness(1, STALE_MS + 1) if why == "stale" else Freshness(0, 0))
            await until(lambda: second.queries)
            assert second.queries[0]["from"] == "1"
            log.put(change(TENANT, "acme", TWENTY))
            second.say(log.freshness(), log.changes(1))
            await until(lambda: node.in_force.revision == 2)
            assert node.content(TENANT, "acme") == canonical_json(TWENTY)

    run(test())


def test_a_server_restored_from_an_old_copy_is_said_in_one_line_and_a_whole_snapshot_is_taken_anew(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Its revision has other content than this node's: neither of the two can go on from there."""

    async def test() -> None:
        old, new = Log(), Log()
        old.put(change(TENANT, "acme", TEN), change(TENANT, "lost", TEN))
        new.put(change(TENANT, "acme", TWENTY))
        async with ControlServer() as one, ControlServer() as other, Harness(one, other) as node:
            await until(lambda: one.queries or other.queries)
            first, second = (one, other) if one.queries else (other, one)
            first.say(old.changes())
            await until(lambda: node.in_force.revision == 1)
            first.say(new.freshness())
            await until(lambda: second.queries)
            assert second.queries[0]["from"] == "0"
            second.say(new.freshness(), *new.snapshot())
            await until(lambda: len(one.queries) + len(other.queries) > 2)  # it is no higher revision
            assert node.content(TENANT, "lost") == canonical_json(TEN)  # what it has stays in force
            server = first if len(first.queries) > 1 else second
            new.put(change(TENANT, "new", TEN))
            server.say(new.freshness(), *new.snapshot())
            await until(lambda: node.in_force.revision == 2)
            assert node.digest() == f"{new.state.digest:016x}" and node.content(TENANT, "lost") is None
            assert node.application.position().revision == 2

    with caplog.at_level(logging.WARNING):
        run(test())
    assert len(messages(caplog, "other content")) == 1


def test_a_log_of_other_content_from_its_beginning_is_as_good_as_a_snapshot() -> None:
    async def test() -> None:
        old, new = Log(), Log()
        old.put(change(TENANT, "acme", TEN))
        new.put(change(TENANT, "acme", TWENTY))
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(old.changes())
            await until(lambda: node.in_force.revision == 1)
            server.say(new.freshness())
            await until(lambda: len(server.queries) == 2)
            server.say(new.changes())
            await until(lambda: node.application.position().revision == 1)
            assert node.content(TENANT, "acme") == canonical_json(TEN)
            new.put(change(TENANT, "new", TEN))
            server.say(new.changes(1), new.freshness())
            await until(lambda: node.in_force.revision == 2)
            assert node.digest() == f"{new.state.digest:016x}" and len(server.queries) == 2

    run(test())


def raw(revision: int, kind: str, name: str, content: str) -> str:
    changed = f'{{"kind":"{kind}","name":"{name}","content":{content}}}'
    return f'{{"revision":{revision},"change_set":{{"id":"s","changes":[{changed}]}}}}'


def changes_text(base: int, *entries: str) -> bytes:
    return f'{{"type":"changes","base_revision":{base},"change_sets":[{",".join(entries)}]}}'.encode()


BAD_LINES = {
    "no JSON": b"not json",
    "truncated": changes_text(1, raw(2, "tenant", "b", "{}"))[:-9],
    "no UTF-8": changes_text(1, raw(2, "tenant", "b", "{}")).replace(b'"b"', b'"\xff"'),
    "unknown type": b'{"type":"news"}',
    "deep": b"[" * 100_000,
    "unknown kind": changes_text(1, raw(2, "hat", "b", "{}")),
    "revision goes back": changes_text(0, raw(1, "tenant", "b", "{}")),
    "gap before": changes_text(2, raw(3, "tenant", "b", "{}")),
    "gap within": changes_text(1, raw(2, "tenant", "b", "{}"), raw(4, "tenant", "c", "{}")),
    "content is no object": changes_text(1, raw(2, "tenant", "b", "5")),
    "changed twice": changes_text(1, raw(2, "tenant", "b", '{}},{"kind":"tenant","name":"b","content":{}')),
    "name": changes_text(1, raw(2, "tenant", "b" * 200, "{}")),
    "part without its first": encode(SnapshotPart(5, False, True, ())),
    "snapshot goes back": encode(SnapshotPart(0, True, True, ())),
    "over-long": b'{"type":"changes","base_revision":1,"change_sets":[' + b" " * LINE_BYTES_MAX + b"]}",
}


@pytest.mark.parametrize("line", BAD_LINES.values(), ids=BAD_LINES.keys())
def test_a_bad_line_is_one_line_of_the_log_and_the_state_stays(
    line: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        log = Log()
        log.put(change(TENANT, "a", TEN))
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(log.changes(), log.freshness())
            await until(lambda: node.in_force.revision == 1)
            server.say_bytes(line + b"\n" + line + b"\n")
            await until(lambda: len(server.queries) == 2)
            assert server.queries[1]["from"] == "1" and "snapshot" not in server.queries[1]
            assert node.digest() == f"{log.state.digest:016x}" and not node.refused()
            log.put(change(TENANT, "b", TWENTY))
            server.say(log.changes(1))  # and goes on
            await until(lambda: node.in_force.revision == 2)

    with caplog.at_level(logging.WARNING):
        run(test())
    ended = messages(caplog, "watch ended")
    assert len(ended) == 1 and "127.0.0.1:" in ended[0] and len(ended[0]) < 400, ended
    assert "Traceback" not in caplog.text


@pytest.mark.parametrize("fault", ["order", "twice", "content", "other snapshot"])
def test_a_bad_part_of_a_snapshot_ends_the_watch_and_not_what_came_before_it(fault: str) -> None:
    async def test() -> None:
        log = Log()
        log.put(*(change(TENANT, f"t{index}", TEN) for index in range(9)))
        parts = log.snapshot(3, 3)
        good = parts[1].resources
        bad = {
            "order": SnapshotPart(1, False, False, good[::-1]),
            "twice": SnapshotPart(1, False, False, (*good, good[-1])),
            "content": SnapshotPart(1, False, False, (Resource(TENANT, "t5", 1, msgspec.Raw(b"[]")),)),
            "other snapshot": SnapshotPart(2, False, False, good),
        }[fault]
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(parts[0], bad)
            await until(lambda: len(server.queries) == 2)
            assert server.queries[1]["after"] == str(parts[0].resources[-1].key)
            server.say(*parts[1:])
            await until(lambda: node.in_force.revision == 1)
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_a_set_in_a_bad_line_is_not_half_in_force() -> None:
    """The sets before it in the line are whole, and stay."""

    async def test() -> None:
        log = Log()
        good = log.put(change(TENANT, "a", TEN), change(DRAIN, "box-1", {}))
        half = LoggedChangeSet(
            2, ChangeSet("half", (change(TENANT, "b", TEN), change(TENANT, "c", 5)))
        )  # fmt: skip
        async with ControlServer() as server, Harness(server) as node:
            await until(lambda: server.queries)
            server.say(Changes(0, (good, half)))
            await until(lambda: len(server.queries) == 2)
            assert server.queries[1]["from"] == "1"
            assert node.digest() == f"{log.state.digest:016x}"
            assert node.content(TENANT, "b") is None

    run(test())
