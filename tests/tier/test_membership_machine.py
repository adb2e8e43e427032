"""State machine test: any interleaving of loss, delay, replay, stall, crash and restart on 2 to 5 nodes."""

from __future__ import annotations

from heapq import heappop, heappush
from random import Random
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from driftstair.tier import wire
from driftstair.tier.membership import events as api
from driftstair.tier.membership.core import Membership
from driftstair.tier.membership.members import Traits

PERIOD_NS = 1_000_000_000
MAX_REPLAYABLE = 60  # latest datagrams that may be delivered again at any time


class Tier(RuleBasedStateMachine):
    """A network that delivers, loses, delays and replays datagrams."""

    @initialize(count=st.integers(2, 5))
    def begin(self, count: int) -> None:
        self.now_ns = 0
        self.generations = [0] * count
        self.nodes: list[Membership | None] = [None] * count
        self.in_flight: list[tuple[int, int, api.Message]] = []
        self.sent: list[api.Message] = []
        self.loss, self.delay, self.cut = 0.0, 0, (-1, -1)
        self.random = Random(count)
        self.sequence = 0
        self.ranks: dict[tuple[int, int], Any] = {}
        for number in range(count):
            self._start(number)

    def _start(self, number: int) -> None:
        self.generations[number] += 1
        self.nodes[number] = node = Membership(
            number, len(self.nodes), self.generations[number], Traits(0, 1, 1), PERIOD_NS,
            Random(number), wire.MAX_CLAIMS_BYTES, wire.claim_size,
        )  # fmt: skip
        self.ranks = {pair: rank for pair, rank in self.ranks.items() if pair[0] != number}
        self._handle(node, api.Start())

    def _handle(self, node: Membership, event: api.Event) -> None:
        for action in node.handle(self.now_ns, event):
            if isinstance(action, api.Send):
                message = action.message
                self.sent = [*self.sent[1 - MAX_REPLAYABLE :], message]
                if (
                    self.random.random() >= self.loss
                    and (message.sender_claim.number, message.recipient) != self.cut
                ):
                    self.sequence += 1
                    arrival_ns = self.now_ns + self.random.randint(1, 1 + self.delay)
                    heappush(self.in_flight, (arrival_ns, self.sequence, message))

    def _deliver(self, message: api.Message) -> None:
        node = self.nodes[message.recipient]
        if node is not None:
            self._handle(node, api.Received(message))

    @rule(index=st.integers(0, MAX_REPLAYABLE))
    def replay(self, index: int) -> None:
        if self.sent:
            self._deliver(self.sent[index % len(self.sent)])

    @rule(
        loss=st.sampled_from([0.0, 0.0, 0.4, 0.9, 1.0]), delay=st.sampled_from([0.01, 0.3, 3.0]),
        source=st.integers(-1, 4), destination=st.integers(0, 4),
    )  # fmt: skip
    def change_network(self, loss: float, delay: float, source: int, destination: int) -> None:
        self.loss, self.delay, self.cut = loss, int(delay * PERIOD_NS), (source, destination)

    @rule(periods=st.sampled_from([0.3, 1.0, 2.5, 8.0, 20.0]), stalled=st.integers(0, 9))
    def wait(self, periods: float, stalled: int) -> None:
        """Advances time for all nodes but a stalled one, whose datagrams are queued."""
        until_ns, waiting = self.now_ns + int(periods * PERIOD_NS), []
        while True:
            due = [node for number, node in enumerate(self.nodes)
                   if node is not None and number != stalled and node.wake_at <= until_ns]  # fmt: skip
            node = min(due, key=lambda node: node.wake_at, default=None)
            if self.in_flight and self.in_flight[0][0] <= (until_ns if node is None else node.wake_at):
                arrival_ns, sequence, message = heappop(self.in_flight)
                if message.recipient == stalled:
                    waiting.append((arrival_ns, sequence, message))
                    continue
                self.now_ns = max(self.now_ns, arrival_ns)
                self._deliver(message)
            elif node is not None:
                self.now_ns = max(self.now_ns, node.wake_at)
                self._handle(node, api.Wake())
            else:
                break
        self.now_ns = until_ns
        for entry in waiting:
            heappush(self.in_flight, entry)

    @precondition(lambda self: any(node is not None for node in self.nodes))
    @rule(number=st.integers(0, 4), leaves=st.booleans())
    def end_process(self, number: int, leaves: bool) -> None:
        node = self.nodes[number % len(self.nodes)]
        if node is not None:
            if leaves:
                self._handle(node, api.Leave())
            self.nodes[node.own_number] = None

    @rule(number=st.integers(0, 4))
    def start_process(self, number: int) -> None:
        number %= len(self.nodes)
        if self.nodes[number] is None:
            self._start(number)

    @invariant()
    def claims_only_advance_and_none_are_invented(self) -> None:
        for node in self.nodes:
            if node is None:
                continue
            for member in node.members.values():
                if member.claim is None:
                    continue
                pair, rank = (node.own_number, member.number), member.claim.rank()
                assert rank >= self.ranks.get(pair, rank)
                self.ranks[pair] = rank
                # Only a process raises its own generation and incarnation.
                own = self.nodes[member.number]
                if own is not None and not own.superseded and own.own_claim.generation == rank[0]:
                    assert rank[1] <= own.own_claim.incarnation

    @invariant()
    def every_node_requests_a_wake_up_and_no_datagram_is_too_long(self) -> None:
        codec = wire.Codec(b"sixteen bytes!!!")
        for message in self.sent[-4:]:
            assert len(codec.encode(message)) <= wire.MAX_DATAGRAM_BYTES
        for node in self.nodes:
            if node is not None and not node.superseded and not node.is_leaving():
                assert node.wake_at <= self.now_ns + 30 * PERIOD_NS

    def teardown(self) -> None:
        """Once the network has recovered, all views of the running nodes converge."""
        if not hasattr(self, "nodes"):
            return
        running = [node for node in self.nodes if node is not None]
        self.change_network(0.0, 0.01, -1, 0)
        for _ in range(200):
            if all(self._agrees(node, running) for node in running):
                return
            self.wait(1.0, -1)
        raise AssertionError(
            [(node.own_number, node.own_claim, node.member_views(self.now_ns)) for node in running]
        )

    def _agrees(self, node: Membership, running: list[Membership]) -> bool:
        living = {other.own_number: other.own_claim.rank() for other in running}
        for member in node.members.values():
            rank = member.claim.rank() if member.claim is not None else None
            if member.number in living and rank != living[member.number]:
                return False
            if member.number not in living and len(running) > 1 and rank is not None and rank[2] < 2:
                return False
        return True


Tier.TestCase.settings = settings(
    max_examples=120, stateful_step_count=40, derandomize=True, deadline=None,
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
TestTier = Tier.TestCase
