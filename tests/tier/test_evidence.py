"""Outlier detection: findings of several reporters count; those of a single or faulty reporter do not."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.tier.observed_module import ObservedModule, server_key
from driftstair.tier.shared.evidence import (
    DISSENT_WAIT_NS,
    FAILURE_RUN_LIFETIME_NS,
    MAX_HELD_BACK_SHARE,
    OutlierDetector,
    assess_server,
    probe_token,
)
from driftstair.tier.shared.facts import EVIDENCE, FLIGHT, KINDS, LOAD, NS_PER_MS, PROBE, Fact, FactStore
from lichenspring import interface as api
from lichenspring.interface import ListKind, Result, ServerState

SECOND = 1000 * NS_PER_MS
ZONES = {0: 0, 1: 0, 2: 1, 3: 1, 4: 2, 5: 2}


def evidence_fact(owner: int, tries: int, failed: int, server: int = 7) -> Fact:
    return Fact(owner, 1, 1, EVIDENCE, server, 0, (tries, failed, 0, 0, 0))


@pytest.mark.parametrize(
    ("rows", "is_failing"),
    [
        ([(1, 9, 9), (2, 9, 9), (3, 9, 9)], True),
        ([(1, 9, 9), (2, 9, 9)], False),  # too few reporters
        ([(2, 9, 9), (3, 9, 9)], False),
        ([(0, 9, 9), (1, 9, 9)], False),  # all of one zone
        ([(1, 9, 9), (2, 9, 9), (3, 9, 9), (4, 9, 0), (5, 9, 0), (0, 9, 0)], False),  # half find it healthy
        ([(1, 9, 9), (2, 9, 9), (3, 9, 9), (4, 9, 9), (5, 9, 0), (0, 9, 0)], True),
        ([(1, 1, 1), (2, 1, 1), (3, 1, 1)], False),  # one try each is not enough
        ([(1, 9, 3), (2, 9, 4), (3, 9, 4)], False),
        ([(1, 9, 9), (2, 9, 9), (8, 9, 9)], False),  # one reporter is not live
    ],
)
def test_a_server_is_failing_if_several_reporters_of_more_than_one_zone_find_it_failing(
    rows: list[tuple[int, int, int]], is_failing: bool
) -> None:
    assert (assess_server(7, [evidence_fact(*row) for row in rows], ZONES, set()) is not None) == is_failing


def test_reporters_of_one_zone_are_enough_if_there_is_only_one_zone() -> None:
    rows = [evidence_fact(number, 5, 5) for number in (1, 2, 3)]
    assert assess_server(7, rows, dict.fromkeys(range(4), 0), set()) is not None
    assert assess_server(7, rows, dict.fromkeys(range(4), 0), {2}) is None


class Node:
    """An outlier detector and its facts. Reports of other nodes are added by the test."""

    def __init__(self, ready: int = 10, may_report: bool = True) -> None:
        self.facts = FactStore(0, 1, Random(0))
        self.detector = OutlierDetector(self.facts, 0, 0, lambda: may_report, lambda: ZONES)
        self.detector.ready_servers = set(range(ready))
        self.version = 0

    def receive_evidence(self, now_ns: int, owner: int, server: int, tries: int, failed: int) -> None:
        self.version += 1
        value = (tries, failed, 0, 0, 0)
        self.facts.merge(now_ns, Fact(owner, 1, self.version, EVIDENCE, server, now_ns, value), 6)

    def receive_load(self, now_ns: int, owner: int, tried: int, bad: int) -> None:
        self.version += 1
        self.facts.merge(now_ns, Fact(owner, 1, self.version, LOAD, 0, now_ns, (0, 9, 9, tried, bad)), 6)

    def held_back_after_wait(self, now_ns: int = SECOND) -> set[int]:
        """Returns the servers that are held back once dissenting reporters had time to report."""
        self.detector.tick(now_ns)
        self.detector.tick(now_ns + DISSENT_WAIT_NS)
        return set(self.detector.held_back)


def test_a_server_is_held_back_only_after_dissenting_reporters_had_time_to_report() -> None:
    node = Node()
    for owner in (1, 2, 3, 4):
        node.receive_evidence(SECOND, owner, 3, 9, 9)
    assert node.detector.tick(SECOND) == ([], [])
    (verdict,), none_withdrawn = node.detector.tick(SECOND + DISSENT_WAIT_NS)
    assert (verdict.server, verdict.reporters, none_withdrawn) == (3, (1, 2, 3, 4), [])
    later = SECOND + 6 * SECOND
    new, (withdrawn,) = node.detector.tick(later)
    assert new == [] and withdrawn.server == 3 and node.detector.held_back == {}


def test_a_server_that_this_node_uses_with_success_is_not_held_back() -> None:
    node = Node()
    for owner in (1, 2, 3, 4):
        node.receive_evidence(SECOND, owner, 3, 9, 9)
    for _ in range(5):
        node.detector.observations.record_outcome(SECOND, 3, True, True, 5 * NS_PER_MS)
    assert node.held_back_after_wait() == set()


def test_a_reporter_that_finds_every_server_failing_is_ignored() -> None:
    node = Node()
    for server in range(10):
        for owner in (1, 2, 4):
            node.receive_evidence(SECOND, owner, server, 9, 9)
    assert len(node.held_back_after_wait()) == int(MAX_HELD_BACK_SHARE * 10)
    for owner in (1, 2):
        node.receive_load(SECOND + DISSENT_WAIT_NS, owner, 10, 10)
    node.detector.tick(SECOND + DISSENT_WAIT_NS)
    assert node.detector.held_back == {}


def test_only_a_part_of_the_servers_is_held_back_and_the_worst_first() -> None:
    node = Node(ready=10)
    for server, reporters in ((1, (1, 2, 3)), (2, (1, 2, 3, 4, 5)), (3, (1, 2, 3, 4))):
        for owner in reporters:
            node.receive_evidence(SECOND, owner, server, 9, 9)
    assert node.held_back_after_wait() == {2, 3}
    # Server 1 is now as bad as another one, which stays held back.
    node.receive_evidence(SECOND + DISSENT_WAIT_NS, 4, 1, 9, 9)
    node.detector.tick(SECOND + DISSENT_WAIT_NS)
    assert set(node.detector.held_back) == {2, 3}


def test_a_server_that_is_not_in_the_nodes_own_list_is_not_held_back() -> None:
    node = Node(ready=3)
    for owner in (1, 2, 3, 4):
        node.receive_evidence(SECOND, owner, 9, 9, 9)
    assert node.held_back_after_wait() == set()


def test_a_node_that_may_not_report_publishes_nothing() -> None:
    for may_report in (True, False):
        node = Node(may_report=may_report)
        for _ in range(5):
            node.detector.observations.record_outcome(SECOND, 3, False, False, 0)
        node.detector.tick(SECOND)
        assert bool(node.facts.own_fact(EVIDENCE, 3)) == may_report == bool(node.facts.own_fact(LOAD, 0))


def test_the_last_failures_make_a_server_failing_until_one_success() -> None:
    observations = Node().detector.observations
    for number in range(202):
        observations.record_outcome(SECOND, 3, number < 200, True, 0)
    assert observations.counts_by_server(SECOND)[3].is_failing()
    assert not observations.counts_by_server(SECOND + FAILURE_RUN_LIFETIME_NS).get(3)
    observations.record_outcome(SECOND, 3, True, True, 0)
    assert not observations.counts_by_server(SECOND)[3].is_failing()


def test_observations_expire() -> None:
    node = Node()
    for _ in range(5):
        node.detector.observations.record_outcome(SECOND, 3, False, False, 0)
    assert node.detector.observations.counts_by_server(2 * SECOND)[3].is_failing()
    assert node.detector.observations.counts_by_server(SECOND + FAILURE_RUN_LIFETIME_NS) == {}


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 5), *(st.integers(0, 9) for _ in range(3))), max_size=60),
    st.sets(st.integers(0, 5), max_size=2),
)
def test_two_nodes_cannot_hold_back_a_server_that_others_find_healthy(
    rows: list[tuple[int, int, int, int]], lying_nodes: set[int]
) -> None:
    """Holds for any reports of two nodes if the four other nodes have tried the servers with success."""
    node = Node()
    for owner, server, tries, failed in rows:
        if owner in lying_nodes and owner:
            node.receive_evidence(SECOND, owner, server, tries, min(tries, failed))
    for owner in set(ZONES) - lying_nodes - {0}:
        for server in range(10):
            node.receive_evidence(SECOND, owner, server, 9, 0)
    assert node.held_back_after_wait() == set()


# One node probes a held-back server for all nodes.


def probe_fact(owner: int, version: int, token: int, fails: bool, now_ns: int) -> Fact:
    parts = tuple(token >> shift & 0xFFFF for shift in (48, 32, 16, 0))
    return Fact(owner, 1, version, PROBE, 3, now_ns, (int(fails), *parts))


def node_holding_back_a_server() -> tuple[Node, int]:
    """Returns a node that holds back server 3, and the time."""
    node = Node()
    for owner in (1, 2, 3, 4):
        node.receive_evidence(SECOND, owner, 3, 9, 9)
    assert node.held_back_after_wait() == {3}
    return node, SECOND + DISSENT_WAIT_NS


def test_a_server_is_held_back_as_long_as_its_prober_finds_it_failing() -> None:
    node, now_ns = node_holding_back_a_server()
    for number in range(10):  # long after all other evidence has expired
        now_ns += SECOND
        node.facts.merge(now_ns, probe_fact(2, 50 + number, 7, True, now_ns), 6)
        assert node.detector.tick(now_ns) == ([], [])
    node.facts.merge(now_ns, probe_fact(2, 99, 7, False, now_ns), 6)
    new, (withdrawn,) = node.detector.tick(now_ns)
    assert new == [] and withdrawn.server == 3


def test_a_prober_that_finds_every_server_failing_keeps_no_server_held_back() -> None:
    """A node that finds every server failing may get the task of probing a server. Without this rule it keeps
    that server held back for ever."""
    node, now_ns = node_holding_back_a_server()
    node.receive_load(now_ns, 2, 10, 10)
    for number in range(8):
        now_ns += SECOND
        node.facts.merge(now_ns, probe_fact(2, 50 + number, 7, True, now_ns), 6)
        node.detector.tick(now_ns)
    assert node.detector.held_back == {}


def test_a_prober_alone_keeps_a_server_held_back_for_at_most_a_minute() -> None:
    node, now_ns = node_holding_back_a_server()
    for number in range(70):
        now_ns += SECOND
        node.facts.merge(now_ns, probe_fact(2, 50 + number, 7, True, now_ns), 6)
        node.detector.tick(now_ns)
        if not node.detector.held_back:
            break
    assert 58 <= number <= 60


def test_a_probe_result_with_an_older_token_is_refused() -> None:
    node, now_ns = node_holding_back_a_server()
    node.facts.merge(now_ns, probe_fact(4, 50, 9, True, now_ns), 6)
    node.detector.tick(now_ns)
    # The previous prober reports that the server is healthy.
    node.facts.merge(now_ns, probe_fact(2, 50, 7, False, now_ns), 6)
    assert node.detector.tick(now_ns) == ([], [])
    assert node.detector.refused_probes == [(3, 7)]
    node.facts.remove_owner(4)  # the older token stays refused without the newer result
    node.detector.tick(now_ns + KINDS[EVIDENCE].lifetime_ns)
    assert node.detector.highest_probe_tokens[3] == 9


def test_a_prober_uses_the_server_itself_and_publishes_the_result() -> None:
    node, now_ns = node_holding_back_a_server()
    token = 0x0001_0002_0003_0004
    node.detector.probe_tokens = {3: token}
    assert node.detector.held_back.keys() == {3} and node.detector.hidden_servers() == set()
    node.detector.observations.record_outcome(now_ns, 3, False, True, 0)
    node.detector.tick(now_ns)
    fact = node.facts.own_fact(PROBE, 3)
    assert fact is not None and fact.value[0] == 1 and probe_token(fact) == token
    for number in range(3):
        node.detector.observations.record_outcome(now_ns + SECOND, 3, True, True, 0)
        node.detector.tick(now_ns + SECOND)
        fact = node.facts.own_fact(PROBE, 3)
        assert fact is not None and fact.value[0] == (0 if number == 2 else 1)  # one success is not enough


# The wrapped decision module.


class RecordingModule:
    """Decision module that records its events and returns prepared actions."""

    def __init__(self) -> None:
        self.events: list[api.Event] = []
        self.actions: list[api.Action] = []

    def start(self, now_ns: int) -> list[api.Action]:
        return []

    def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
        self.events.append(event)
        return list(self.actions)


def server(number: int, state: ServerState = ServerState.READY) -> api.Server:
    return api.Server(number.to_bytes(4, "big") + b"rest", 0, 0, state, 1.0, 0)


def test_a_held_back_server_is_shown_to_the_module_as_draining() -> None:
    node, inner_module = Node(), RecordingModule()
    module = ObservedModule(inner_module, lambda: node.detector)
    module.handle(0, api.ServerList(ListKind.FULL, tuple(server(number) for number in range(10))))
    assert node.detector.ready_servers == set(range(10)) and server_key(server(3).id) == 3
    for owner in (1, 2, 3, 4):
        node.receive_evidence(SECOND, owner, 3, 9, 9)
    node.held_back_after_wait()
    module.handle(SECOND, api.Timer(1))
    last = inner_module.events[-1]
    assert isinstance(last, api.ServerList) and last.kind is ListKind.CACHED
    assert [entry.state for entry in last.servers].index(ServerState.DRAINING) == 3
    module.handle(SECOND, api.ServerList(ListKind.DELTA, (server(3),)))
    assert inner_module.events[-1].servers[0].state is ServerState.DRAINING  # type: ignore[union-attr]
    before = len(inner_module.events)
    module.handle(SECOND, api.Timer(1))
    assert len(inner_module.events) == before + 1  # an unchanged list is not repeated
    node.detector.tick(9 * SECOND)
    module.handle(9 * SECOND, api.Timer(1))
    assert all(entry.state is ServerState.READY for entry in inner_module.events[-1].servers)  # type: ignore[union-attr]


def test_a_process_that_loses_its_number_holds_back_no_server() -> None:
    node, inner_module = Node(), RecordingModule()
    detectors = [node.detector]
    module = ObservedModule(inner_module, lambda: detectors[0] if detectors else None)
    module.handle(0, api.ServerList(ListKind.FULL, tuple(server(number) for number in range(10))))
    for owner in (1, 2, 3, 4):
        node.receive_evidence(SECOND, owner, 3, 9, 9)
    node.held_back_after_wait()
    module.handle(SECOND, api.Timer(1))
    assert any(entry.state is ServerState.DRAINING for entry in inner_module.events[-1].servers)  # type: ignore[union-attr]
    detectors.clear()
    module.handle(SECOND, api.Timer(1))
    assert all(entry.state is ServerState.READY for entry in inner_module.events[-1].servers)  # type: ignore[union-attr]


def test_only_outcomes_that_the_server_can_cause_are_evidence() -> None:
    node, inner_module = Node(), RecordingModule()
    module = ObservedModule(inner_module, lambda: node.detector)
    for result in Result:
        module.handle(0, api.Outcome(1, False, result, NS_PER_MS, server(3).id, 0, ()))
    counts = node.detector.observations.counts_by_server(0)[3]
    assert (counts.tries, counts.failed, counts.unreached) == (5, 4, 1)


def test_requests_in_flight_are_counted_down_for_every_kind_of_end() -> None:
    node, inner_module = Node(), RecordingModule()
    module = ObservedModule(inner_module, lambda: node.detector)
    for number in range(1, 5):
        module.handle(0, api.Request(number, 0, 0, 0, False, SECOND))
    assert node.detector.observations.in_flight == 4
    module.handle(0, api.Outcome(1, True, Result.OK, NS_PER_MS, server(3).id, 0, ()))
    module.handle(0, api.ClientGone(2))
    inner_module.actions = [api.Refuse(3, 0)]
    module.handle(0, api.Timer(1))
    assert node.detector.observations.in_flight == 1


def test_attempts_in_flight_at_the_busiest_servers_are_published_as_powers_of_two() -> None:
    node, inner_module = Node(), RecordingModule()
    module = ObservedModule(inner_module, lambda: node.detector)
    for number, count in ((1, 9), (2, 5), (3, 4), (4, 4), (5, 3)):
        inner_module.actions = [api.Send(request, server(number).id, 0) for request in range(count)]
        module.handle(SECOND, api.Timer(1))
    inner_module.actions = []
    module.handle(SECOND, api.Outcome(0, False, Result.CANCELLED, NS_PER_MS, server(1).id, 0, ()))
    node.detector.tick(SECOND)
    for owner, step in ((1, 3), (2, 1)):
        node.facts.merge(SECOND, Fact(owner, 1, 1, FLIGHT, 2, SECOND, (step,)), 6)
    assert node.detector.attempts_report(SECOND) == {
        1: {"at_least": 8, "by": 1}, 2: {"at_least": 4 + 4 + 1, "by": 3}, 3: {"at_least": 4, "by": 1},
    }  # fmt: skip
    for _ in range(9):
        module.handle(SECOND, api.Outcome(0, False, Result.OK, NS_PER_MS, server(1).id, 0, ()))
    assert 1 not in node.detector.observations.attempts_by_server


def test_events_pass_unchanged_while_the_process_is_not_a_node() -> None:
    inner_module = RecordingModule()
    module = ObservedModule(inner_module, lambda: None)
    for event in (api.Timer(1), api.ServerList(ListKind.FULL, (server(1),))):
        module.handle(0, event)
        assert inner_module.events[-1] == event
