"""Tests of rehearsals in virtual time: repeatable reports, the effect of each fault, and the detection of
failures."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from stage import Run, small_scenario

from driftstair.net import (
    connection_pools,
    frontend,
    node,
    server_attempt,
    server_connection,
    server_directory,
)
from driftstair.net.frontend import ClientConnection, Frontend
from driftstair.net.node import Node
from driftstair.net.request_guard import AttemptPermit
from driftstair.net.server_attempt import Attempt
from driftstair.net.server_directory import ServerDirectory
from driftstair.observability.reasons import AnswerReason
from driftstair.rehearsal import wire
from driftstair.rehearsal.runner import Rehearsal
from driftstair.rehearsal.wire import HostState
from lichenspring import Balancer, balance
from lichenspring.interface import Result, ServerState

ROOT = Path(__file__).parents[2]

MANY_FAULTS = """
version = 1
name = "many"
seconds = 8
[load]
rate = 120
keys = 60
[nodes]
count = 3
[boxes]
count = 5
grace_s = 2
[boxes.jam]
[[fault]]
kind = "slow-boxes"
at_s = 1
for_s = 4
part = 0.4
[[fault]]
kind = "node-dies"
at_s = 2
for_s = 2
[[fault]]
kind = "replace"
at_s = 2
for_s = 2
boxes = 2
[[fault]]
kind = "list-outage"
at_s = 3
for_s = 2
[[fault]]
kind = "box-vanishes"
at_s = 4
for_s = 2
boxes = 1
[[fault]]
kind = "node-restarts"
at_s = 5
for_s = 1
nodes = ["n1"]
"""


def rehearse(path: Path, hash_seed: str, *options: str) -> bytes:
    """Plays a scenario in another process and returns the report."""
    completed = subprocess.run(
        [sys.executable, "-m", "driftstair", "rehearse", str(path), "--json", "-", *options],
        cwd=ROOT, env={**os.environ, "PYTHONHASHSEED": hash_seed}, capture_output=True, timeout=120,
    )  # fmt: skip
    assert completed.returncode == 0, completed.stderr.decode() + completed.stdout.decode()[-2000:]
    return completed.stdout


def test_a_seed_gives_the_same_report_in_every_process(tmp_path: Path) -> None:
    """Reports are equal to the byte. This includes the daemon, in which three iteration orders used to depend
    on a set, and thus on the hash seed or on addresses."""
    path = tmp_path / "many.toml"
    path.write_text(MANY_FAULTS)
    first, second = rehearse(path, "1"), rehearse(path, "4242")
    assert len(first) > 10_000
    assert first == second
    assert rehearse(path, "1", "--seed", "2") != first


def test_a_calm_run_loses_nothing() -> None:
    run = Run(small_scenario())
    assert run.passed() and run.service > 0.99
    assert run.report["verdict"]["requests_judged"] >= run.report["asked"] > 300
    assert len(run.observations(wire.AttemptServed)) == run.report["served"] + run.report["lost"].get(
        "late", {}
    ).get("requests", 0)


# The effect of each fault.


def answered_by(run: Run, begin: float, end: float, box: str) -> int:
    """Returns the number of requests that a box answered between two times of the run."""
    return len(
        [
            observation
            for observation in run.observations(wire.AttemptServed, begin, end)
            if observation.token.startswith(box.encode())
        ]
    )


def test_slow_boxes_take_longer() -> None:
    fault = {"kind": "slow-boxes", "boxes": ["s-01"], "times": 6.0, "for_s": 3.0}
    run, calm = Run(small_scenario(fault)), Run(small_scenario())
    assert run.passed()
    assert answered_by(run, 3, 5, "s-01") < 0.6 * answered_by(calm, 3, 5, "s-01")
    assert run.report["latency_ms"]["p99"] > 1.2 * calm.report["latency_ms"]["p99"]


def test_everything_slow_slows_all_boxes() -> None:
    run, calm = Run(small_scenario({"kind": "everything-slow", "times": 3.0})), Run(small_scenario())
    assert run.passed()
    assert run.report["latency_ms"]["p95"] > 1.2 * calm.report["latency_ms"]["p95"]
    # Requests beyond the capacity are shed, so the latency grows by less than the factor.
    assert run.report["latency_ms"]["p99"] > 1.5 * calm.report["latency_ms"]["p99"]


def test_a_traffic_jump_raises_the_rate_while_it_lasts() -> None:
    run = Run(small_scenario({"kind": "traffic-jump", "times": 3.0, "rise_s": 0.0, "fall_s": 0.0}))
    requests = [item["asked"] for item in run.report["seconds"]]
    assert requests[2] + requests[3] > 2.2 * (requests[0] + requests[1])
    assert requests[5] < 1.5 * requests[0]


def test_a_surge_raises_the_rate_of_one_class() -> None:
    run = Run(small_scenario({"kind": "surge", "of_class": "paid-live", "times": 8.0}))
    before, during = (
        [observation.kind for observation in run.observations(wire.RequestSent, begin, end)]
        for begin, end in ((0, 2), (2, 4))
    )
    assert during.count("paid-live") > 4 * before.count("paid-live")
    assert during.count("track-fetch") < 1.6 * before.count("track-fetch")


def test_a_killed_box_answers_nothing_and_restarts_cold() -> None:
    run = Run(small_scenario({"kind": "box-dies", "boxes": ["s-02"]}))
    assert run.passed()
    assert answered_by(run, 0, 2, "s-02") > 10
    assert answered_by(run, 2.001, 4, "s-02") == 0
    (restart,) = run.observations(wire.BoxUp, 1)
    assert (restart.box, restart.cold_share) == ("s-02", 0.2)
    assert run.observations(wire.ListEntrySent, box="s-02", state=HostState.GONE)


def test_a_disconnected_box_is_silent_and_keeps_its_process() -> None:
    run = Run(small_scenario({"kind": "box-vanishes", "boxes": ["s-02"]}))
    assert run.passed()
    assert run.observations(wire.AttemptStarted, 2.01, 4, box="s-02") == []
    assert not [observation for observation in run.observations(wire.BoxDown) if observation.box == "s-02"]
    assert run.observations(wire.AttemptStarted, 4, box="s-02")


def test_box_errors_make_boxes_answer_with_errors() -> None:
    run = Run(small_scenario({"kind": "box-errors", "part": 1.0, "share": 1.0}))
    assert run.passed()
    assert run.observations(wire.AttemptServed, 2.3, 4) == []
    assert run.service < 0.8


def test_replaced_boxes_drain_and_get_successors_with_new_names() -> None:
    run = Run(small_scenario({"kind": "replace", "boxes": ["s-01"]}, seconds=9.0))
    assert run.passed()
    told = [
        (observation.box, observation.state)
        for observation in run.observations(wire.ListEntrySent, 2, node="n0")
        if observation.box in ("s-01", "s-05")
    ]
    assert told == [
        ("s-01", HostState.DRAINING), ("s-01", HostState.GONE), ("s-05", HostState.READY),
    ]  # fmt: skip
    assert answered_by(run, 4.5, 9, "s-05") > 0


@pytest.mark.parametrize("same_address", [True, False])
def test_a_successor_has_the_old_address_or_one_of_its_own(same_address: bool) -> None:
    boxes: list[dict[str, Any]] = []

    def keep_boxes(rehearsal: Rehearsal) -> None:
        boxes.append(rehearsal.boxes)  # type: ignore[arg-type]

    run = Run(
        small_scenario({"kind": "replace", "boxes": ["s-01"], "same_address": same_address}, seconds=9.0),
        keep_boxes,
    )
    old, new = run.rehearsal.removed_boxes["s-01"], boxes[0]["s-05"]
    assert (old.addresses == new.addresses) is same_address
    assert run.passed()


def test_a_list_outage_ends_watches_and_stops_updates() -> None:
    run = Run(
        small_scenario({"kind": "list-outage"}, {"kind": "box-dies", "boxes": 1, "at_s": 2.5, "for_s": 3.0})
    )
    assert run.passed()
    assert run.observations(wire.ListEntrySent, 2.001, 4) == []
    assert run.observations(wire.ListContact, 2, 4, watching=False)
    assert run.observations(wire.ListEntrySent, 4, 9)


def test_a_silent_list_outage_stops_updates() -> None:
    run = Run(
        small_scenario(
            {"kind": "list-outage", "silent": True}, {"kind": "box-dies", "boxes": 1, "for_s": 3.0}
        )
    )
    assert run.passed()
    assert run.observations(wire.ListEntrySent, 2.001, 4) == []
    assert run.observations(wire.ListEntrySent, 4, 9)


def test_a_lagging_list_delays_changes_by_its_lag() -> None:
    fault = {"kind": "box-dies", "boxes": ["s-01"], "at_s": 2.5, "for_s": 9.0}
    lag = {"kind": "list-lag", "extra_s": 2.0}
    listed_at = [
        next(observation.at - run.began for observation in run.observations(wire.ListChanged, 2, box="s-01"))
        for run in (Run(small_scenario(fault)), Run(small_scenario(lag, fault)))
    ]
    assert listed_at[1] - listed_at[0] == 2_000_000_000


def test_a_silent_watch_is_replaced_before_missed_changes_count_as_told() -> None:
    # Guards against a silent watch that is detected only after 7 s or more: on the whole fleet six requests
    # then went to servers that had drained for 1.1 s. Each node's watch falls silent at another time after
    # its last message.
    silent = [
        {"kind": "watches-fall-silent", "nodes": [f"n{number}"], "at_s": 4.0 + number / 3}
        for number in range(6)
    ]
    run = Run(
        small_scenario(
            *silent, {"kind": "replace", "boxes": 2, "at_s": 6.0, "for_s": 1.0}, seconds=18.0,
            nodes={"count": 6}, boxes={"count": 6, "grace_s": 8.0},
        )
    )  # fmt: skip
    assert run.passed()
    for fault in silent:  # each node opens another watch after its own has fallen silent
        assert run.observations(wire.ListContact, fault["at_s"], node=fault["nodes"][0], watching=True)


@pytest.mark.parametrize("mode", ["pushed", "asked"])
@pytest.mark.parametrize("silent", [True, False])
def test_after_a_long_outage_every_node_learns_of_changes_within_6_s(mode: str, silent: bool) -> None:
    """Five failed calls in a row must not delay the next one: with pauses that double, it would come ten
    seconds later."""
    list_settings = {"mode": mode, "lines_per_s": 4000.0, "notice_s": 0.3, "silent_notice_s": 3.0}
    run = Run(
        small_scenario(
            {"kind": "list-outage", "silent": silent, "for_s": 14.0},
            {"kind": "replace", "boxes": 1, "at_s": 15.0, "for_s": 0.5},
            nodes={"count": 6}, boxes={"count": 6, "grace_s": 9.0}, list=list_settings, seconds=24.0,
        )
    )  # fmt: skip
    assert run.passed()
    assert {observation.node for observation in run.observations(wire.ListEntrySent, 16.0, 22.0)} == {
        f"n{number}" for number in range(6)
    }


def test_nodes_follow_a_moved_list_on_sighup() -> None:
    run = Run(small_scenario({"kind": "list-moves"}, {"kind": "box-dies", "boxes": 1, "at_s": 4.0}))
    assert run.passed()
    assert len([line for line in run.log if "discovery is at" in line[3]]) == 2
    assert len({observation.node for observation in run.observations(wire.ListEntrySent, 4)}) == 2


def test_a_killed_node_loses_its_requests_and_the_front_still_sends_to_it() -> None:
    run = Run(small_scenario({"kind": "node-dies", "nodes": ["n1"]}, front={"notice_s": 1.0}))
    assert run.passed()  # clients ask again for the requests that it held
    down = run.observations(wire.NodeDown, node="n1")
    assert len(down) == 1 and run.observations(wire.ConnectionEnded)
    # Nothing reaches the node, although the front layer still sends to it.
    assert run.observations(wire.RequestSent, 2.01, 4, node="n1") == []
    assert any(observation.at > 4e9 for observation in run.observations(wire.RequestSent, 4, node="n1"))
    tries = [group["tries"] for group in (Run(small_scenario()).report, run.report)]
    assert tries[1] > tries[0]


def test_a_killed_node_restarts_with_its_last_list() -> None:
    documents: list[dict[str, Any]] = []

    def record_documents(rehearsal: Rehearsal) -> None:
        process = rehearsal.nodes["n0"]
        start = process.start
        process.start = lambda document: (documents.append(document), start(document))[1]  # type: ignore[method-assign]

    box_fault = {"kind": "box-dies", "boxes": ["s-03"], "at_s": 0.5, "for_s": 20.0}
    run = Run(small_scenario(box_fault, {"kind": "node-dies", "nodes": ["n0"]}), record_documents)
    assert run.passed()
    first, second = (
        sorted(server["id"] for server in document["known"]["servers"]) for document in documents
    )
    assert first == ["s-01", "s-02", "s-03", "s-04"] and second == ["s-01", "s-02", "s-04"]
    assert documents[0]["seed"] != documents[1]["seed"]


def test_a_disconnected_node_is_silent_and_resumes_afterwards() -> None:
    run = Run(small_scenario({"kind": "node-vanishes", "nodes": ["n0"]}))
    assert run.passed()
    assert run.observations(wire.AttemptStarted, 2.01, 4, node="n0") == []
    assert run.observations(wire.AttemptStarted, 4, node="n0")
    assert run.report["lost"]["gave up"]["requests"] > 0


def test_a_planned_restart_loses_nothing() -> None:
    run = Run(small_scenario({"kind": "node-restarts", "nodes": 2, "for_s": 9.0}, seconds=12.0))
    assert run.passed() and run.service > 0.98
    assert [observation.planned for observation in run.observations(wire.NodeDown)] == [True, True]
    assert len(run.observations(wire.NodeUp, 1)) == 2


def test_phases_change_rate_and_shares_and_are_reported_separately() -> None:
    run = Run(
        small_scenario(phase=[
            {"name": "quiet", "at_s": 0, "rate": 0.5},
            {"name": "goal", "at_s": 3, "rate": 2.0, "shares": {"seek-chunk": 4.0}},
        ])
    )  # fmt: skip
    phases = run.report["phases"]
    assert list(phases) == ["quiet", "goal"]
    assert phases["goal"]["asked"] > 4 * phases["quiet"]["asked"]
    kinds = [observation.kind for observation in run.observations(wire.RequestSent, 3, 6)]
    assert kinds.count("seek-chunk") > kinds.count("track-fetch")


# Hard cases.


def test_all_boxes_of_the_slower_kind_can_fail() -> None:
    fault = {"kind": "box-dies", "part": 1.0, "of_kind": "plain-six", "for_s": 3.0}
    run = Run(small_scenario(fault, seconds=8.0))
    assert run.passed()
    kinds = {name: box["kind"] for name, box in run.report["boxes"].items()}
    assert sorted(kinds.values()) == ["fast-six", "fast-six", "plain-six", "plain-six"]
    assert {kinds[observation.box] for observation in run.observations(wire.BoxDown)} == {"plain-six"}


def test_a_surge_during_a_list_outage() -> None:
    run = Run(small_scenario(
        {"kind": "list-outage"}, {"kind": "surge", "of_class": "paid-live", "times": 6.0},
        {"kind": "replace", "boxes": 1, "at_s": 1.8},
    ))  # fmt: skip
    assert run.passed()


def test_a_draining_box_finishes_its_requests() -> None:
    run = Run(
        small_scenario({"kind": "replace", "boxes": ["s-01"]}, list={"notice_s": 0.02, "ask_within_s": 1.0})
    )
    drained_at = next(
        observation.at
        for observation in run.observations(wire.ListEntrySent, box="s-01", state=HostState.DRAINING)
    )
    late_answers = [
        observation
        for observation in run.observations(wire.AttemptServed)
        if observation.token.startswith(b"s-01/") and observation.at > drained_at
    ]
    assert late_answers  # attempts from before the drain continue
    assert run.passed()


def test_unsafe_and_keyed_requests_are_played() -> None:
    classes = [
        {"name": "order", "share": 1, "work_ms": 60, "effect": "unsafe", "given_up_ms": 3000},
        {"name": "cart", "share": 1, "work_ms": 60, "effect": "keyed", "given_up_ms": 3000},
    ]
    run = Run(small_scenario({"kind": "box-dies", "boxes": 2}, **{"class": classes}))
    assert run.passed() and run.report["served"] > 100


# Planted failures of the daemon that a run must report.


def test_an_exception_in_a_callback_is_reported_as_a_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    def on_idle(self: Frontend, connection: ClientConnection) -> None:
        if self._loop.time() > 3:
            raise KeyError("planted")

    monkeypatch.setattr(Frontend, "on_idle", on_idle)
    run = Run(small_scenario())
    assert run.report["verdict"]["crashes"] > 0 and run.report["ended"] == "whole"
    crash = run.report["crashes"][0]
    assert crash["what"] == "KeyError: 'planted'" and crash["node"] in ("n0", "n1")
    assert any("driftstair/net/client_connection.py" in frame for frame in crash["trace"])


def test_an_exception_that_the_daemon_logs_is_reported_as_a_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    handle = Balancer.handle

    def failing_handle(self: Balancer, now: int, event: Any) -> Any:
        if now > 3_000_000_000 and type(event).__name__ == "Request":
            raise ZeroDivisionError("planted")
        return handle(self, now, event)

    monkeypatch.setattr(Balancer, "handle", failing_handle)
    run = Run(small_scenario())
    assert "ZeroDivisionError" in run.report["crashes"][0]["what"]


def test_a_node_that_ends_by_itself_is_a_crash(monkeypatch: pytest.MonkeyPatch) -> None:
    async def serve_for_3_s(*_: Any, **__: Any) -> int:
        await asyncio.sleep(3)
        return 0

    monkeypatch.setattr("driftstair.rehearsal.virtual.serve", serve_for_3_s)
    run = Run(small_scenario())
    assert run.report["crashes"][0]["what"] == "ended by itself, with status 0"


def test_a_standstill_is_reported_at_once_with_the_waiting_tasks(monkeypatch: pytest.MonkeyPatch) -> None:
    async def waits_for_ever(*_: Any, **__: Any) -> int:
        return int(await asyncio.get_running_loop().create_future())

    monkeypatch.setattr("driftstair.rehearsal.virtual.serve", waits_for_ever)
    run = Run(small_scenario())
    assert run.report["ended"].startswith("stuck: n0 runs, but can never go on")
    assert "waits_for_ever" in run.report["ended"]
    assert run.rehearsal.now() < 1_000_000_000


def test_an_answer_that_never_comes_breaks_rule_1(monkeypatch: pytest.MonkeyPatch) -> None:
    real_answer = ClientConnection.answer
    answer_count = [0]

    def drop_some_answers(self: ClientConnection, status: int, headers: Any, body: bytes) -> None:
        answer_count[0] += 1
        if answer_count[0] % 50:
            real_answer(self, status, headers, body)

    monkeypatch.setattr(ClientConnection, "answer", drop_some_answers)
    run = Run(small_scenario())
    assert run.broken_rules() == {1}
    assert "no final answer" in run.breaks[0].evidence


def test_an_answer_of_another_request_breaks_rule_1(monkeypatch: pytest.MonkeyPatch) -> None:
    real_answer = Node._answer
    previous_body = [b""]

    def answer_with_previous_body(
        self: Node, number: int, status: int, headers: Any, reason: Any, body: bytes = b""
    ) -> None:
        body, previous_body[0] = previous_body[0], body
        real_answer(self, number, status, headers, reason, body)

    monkeypatch.setattr(Node, "_answer", answer_with_previous_body)
    run = Run(small_scenario())
    assert run.broken_rules() == {1}
    assert "no box made" in run.breaks[0].evidence


def test_an_attempt_after_a_refusal_breaks_rule_1(monkeypatch: pytest.MonkeyPatch) -> None:
    """The node answers at once and starts the attempt later all the same. The attempt's permit prevents this
    unless it is disabled."""
    real_start = Attempt.start

    def start_late(self: Attempt) -> None:
        asyncio.get_running_loop().call_later(0.4, real_start, self)

    def send_and_refuse(self: Node, action: Any) -> None:
        real_send(self, action)
        self._answer(action.request, 503, [], AnswerReason.REFUSED)

    real_send = Node._send
    monkeypatch.setattr(Attempt, "start", start_late)
    monkeypatch.setattr(Node, "_send", send_and_refuse)
    assert Run(small_scenario()).passed()
    monkeypatch.setattr(AttemptPermit, "forbids", lambda self, now: None)
    run = Run(small_scenario())
    assert 1 in run.broken_rules()
    assert any("after its final answer" in rule_break.evidence for rule_break in run.breaks)


UNSAFE_CLASS = {
    "class": [{"name": "order", "share": 1, "work_ms": 60, "effect": "unsafe", "given_up_ms": 4000}]
}


def test_a_retry_of_an_unsafe_request_that_may_have_run_breaks_rule_2(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real_end = Attempt.end

    def end_as_connect_failure(self: Attempt, result: Result, answer: Any = None) -> None:
        real_end(self, Result.CONNECT_FAILED if result is Result.RESET else result, answer)

    monkeypatch.setattr(Attempt, "end", end_as_connect_failure)
    run = Run(small_scenario({"kind": "box-dies", "boxes": 2}, **UNSAFE_CLASS))
    assert run.broken_rules() == {2}
    assert Run(small_scenario({"kind": "box-dies", "boxes": 2})).passed()  # safe classes may be retried


def test_a_refusal_of_an_unsafe_request_that_may_have_run_breaks_rule_2(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    real_answer = Node._answer

    def answer_with_refusal(self: Node, number: int, status: int, *arguments: Any) -> None:
        real_answer(self, number, 503 if status == 502 else status, *arguments)

    monkeypatch.setattr(Node, "_answer", answer_with_refusal)
    assert Run(small_scenario({"kind": "box-dies", "boxes": 2}, **UNSAFE_CLASS)).broken_rules() == {2}


def test_a_node_that_ignores_drains_breaks_rule_3(monkeypatch: pytest.MonkeyPatch) -> None:
    real_update = ServerDirectory._update_servers

    def update_as_ready(self: ServerDirectory, kind: Any, hosts: Any) -> None:
        ready_hosts = [
            host._replace(state=ServerState.READY) for host in hosts if host.state is not ServerState.GONE
        ]
        real_update(self, kind, tuple(ready_hosts))

    monkeypatch.setattr(ServerDirectory, "_update_servers", update_as_ready)
    # Otherwise the box's refusals would keep the module away from it.
    monkeypatch.setattr(balance, "FULL_THRESHOLD", 2.0)
    monkeypatch.setattr(balance, "FULL_LOAD_PENALTY", 0.0)
    run = Run(small_scenario({"kind": "replace", "boxes": 1}))
    assert run.broken_rules() == {3}
    assert "was told that it is Terminating" in run.breaks[0].evidence


def test_a_module_that_treats_cold_boxes_as_warm_breaks_rule_4(monkeypatch: pytest.MonkeyPatch) -> None:
    """The planted module also prefers the newest box: otherwise its count of requests in flight would spare a
    slow box."""
    monkeypatch.setattr(Balancer, "_capacity_fraction", lambda *_: 1.0)
    monkeypatch.setattr(Balancer, "_load", lambda self, now, index, backend: -float(backend.server.started))
    kinds = [{"name": "cold", "share": 1, "cold_share": 0.05, "speed": 1.0, "cold_s": 20}]
    tree = small_scenario(
        {"kind": "replace", "boxes": 2, "at_s": 1.0, "for_s": 0.5}, load={"rate": 150.0, "keys": 100},
        boxes={"count": 4, "grace_s": 1.0, "kind": kinds}, seconds=8.0,
        rules={"cold_multiple": 1.1},
    )  # fmt: skip
    run = Run(tree)
    assert 4 in run.broken_rules()
    assert [observation.reason for observation in run.observations(wire.BoxDown)].count("pushed over") >= 1
    monkeypatch.undo()
    assert Run(tree).passed()


def test_the_death_of_all_nodes_breaks_no_rule() -> None:
    run = Run(small_scenario({"kind": "node-dies", "nodes": 2, "for_s": 30.0}))
    assert run.passed() and run.service < 0.6
    assert run.report["lost"]["unreachable"]["requests"] > 50


def test_node_modules_use_no_clocks_or_sockets_of_their_own() -> None:
    """Modules of the node get clocks, sockets and random numbers only through the system interface."""
    for module in (
        frontend, node, connection_pools, server_attempt, server_connection, server_directory,
    ):  # fmt: skip
        text = Path(module.__file__ or "").read_text()
        for forbidden in ("import socket", "import select", "import time", "from time", "import random"):
            assert forbidden not in text, (module.__name__, forbidden)


def test_nodes_with_a_service_file_keep_the_rules_and_retry_limits(tmp_path: Path) -> None:
    service = tmp_path / "service.toml"
    service.write_text(
        'version = 1\n[[route]]\nname = "paid"\nmatch = { class = "paid-live" }\n'
        'retry = { attempts = 1 }\n[[route]]\nname = "rest"\n'
        'retry = { attempts = 2, backoff = "20ms", budget = { share = 0.05, burst = 2.0 } }\n'
    )
    fault = {"kind": "box-errors", "part": 1.0, "share": 0.5}
    run_without_file = Run(small_scenario(fault, seconds=8.0))
    run = Run(small_scenario(fault, seconds=8.0, nodes={"count": 2, "service": str(service)}))
    assert run_without_file.passed() and run.passed()
    first, further = (run.report["verdict"][key] for key in ("first_attempts", "further_attempts"))
    assert (
        further.get("paid-live", 0) == 0 < run_without_file.report["verdict"]["further_attempts"]["paid-live"]
    )
    rest = sum(number for kind, number in first.items() if kind != "paid-live")
    assert 0 < sum(further.values()) <= 2 * 2.0 + 0.05 * rest


def test_an_invalid_service_file_ends_the_run_with_one_line(tmp_path: Path) -> None:
    service = tmp_path / "service.toml"
    service.write_text("version = 1\n[[route]]\nname = 3\n")
    path = tmp_path / "many.toml"
    path.write_text(MANY_FAULTS)
    completed = subprocess.run(
        [sys.executable, "-m", "driftstair", "rehearse", str(path), "--service", str(service)],
        cwd=ROOT, capture_output=True, text=True, timeout=60,
    )  # fmt: skip
    assert completed.returncode == 2 and completed.stdout == ""
    assert (
        completed.stderr.startswith(f"driftstair: {service}:3: route[0].name:")
        and completed.stderr.count("\n") == 1
    )


def test_a_restarted_node_is_signalled_only_after_a_second_of_service() -> None:
    """A signal ends a process whose handlers are not yet installed, so the platform promises not to send one
    before."""
    node_dies = {"kind": "node-dies", "nodes": ["n0"], "at_s": 1.0, "for_s": 1.0}
    list_moves = {"kind": "list-moves", "at_s": 2.05}
    node_restarts = {"kind": "node-restarts", "nodes": ["n0"], "at_s": 2.1}
    run = Run(small_scenario(node_dies, list_moves, node_restarts, seconds=8.0))
    assert run.passed()
    moved_at = [at for at, name, _, text in run.log if name == "n0" and "discovery is at" in text]
    assert min(moved_at) - run.began >= 3_000_000_000
    (restarted_at,) = [event.at for event in run.rehearsal.events if event.what == "n0 is told to end"]
    assert restarted_at - run.began >= 3_000_000_000
