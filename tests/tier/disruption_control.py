"""Model of disruption controllers and permit holders: clocks that drift, messages that are lost, delayed and
duplicated, crashes, restarts, and changes of the controller."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

from driftstair.tier.ownership.disruption_controller import DisruptionController, LiveNodes
from driftstair.tier.ownership.permits import Holder, Kind, PollReply, RequestPermit, ReturnPermit, Rules

SECOND = 1_000_000_000
TERM_NS = 20 * SECOND
RULES = Rules(at_once=2, term_ns=TERM_NS, drift=0.01)
MESSAGES_TO_CONTROLLER = (PollReply, RequestPermit, ReturnPermit)


@dataclass
class Node:
    """The node with one number; `holder` is None while no process runs."""

    number: int
    zone: int
    clock_rate: float
    clock_offset_ns: int
    generation: int
    holder: Holder | None
    disruption_controller: DisruptionController | None = None
    # In time of the world: a process that held a permit has ended, and no process runs again yet.
    out_until_s: float = -1.0


@dataclass
class World:
    """Nodes and the messages between them. The owner of the lease runs the disruption controller."""

    node_count: int
    zone_count: int
    random: Random
    rules: Rules = RULES
    holder_type: type[Holder] = Holder
    controller_type: type[DisruptionController] = DisruptionController
    loss: float = 0.1
    max_delay_s: float = 3.0  # of most messages
    now_s: float = 0.0
    nodes: list[Node] = field(default_factory=list)
    in_flight: list[tuple[float, int, int, int, Any]] = field(default_factory=list)
    owner: int = -1
    token: int = 0
    lease_free_at_s: float = 0.0
    permits_taken: int = 0
    max_nodes_out: int = 0

    def __post_init__(self) -> None:
        for number in range(self.node_count):
            clock_rate = 1.0 + self.random.uniform(-1, 1) * self.rules.drift
            clock_offset_ns = self.random.randrange(1000 * SECOND)
            node = Node(number, number % self.zone_count, clock_rate, clock_offset_ns, 1, None)
            self.nodes.append(node)
            self.start(node)

    # Clocks, processes and the lease.

    def clock(self, node: Node) -> int:
        return node.clock_offset_ns + int(self.now_s * node.clock_rate * SECOND)

    def start(self, node: Node) -> None:
        node.generation += 1
        node.holder = self.holder_type(self.rules, node.generation)
        node.out_until_s = -1.0

    def stop(self, node: Node) -> None:
        if node.holder is not None and node.holder.has_permit(self.clock(node)):
            remaining_s = node.holder.remaining_ns(self.clock(node)) / node.clock_rate / SECOND
            node.out_until_s = self.now_s + remaining_s
        self.count_permits_taken(node)
        node.holder = node.disruption_controller = None
        if self.owner == node.number:
            self.end_lease()

    def end_lease(self) -> None:
        """Ends the owner's lease; the next one begins some time later."""
        if self.owner >= 0:
            self.nodes[self.owner].disruption_controller = None
            self.owner, self.lease_free_at_s = -1, self.now_s + self.random.uniform(0.0, 2.0)

    def elect_controller(self) -> None:
        running = [candidate for candidate in self.nodes if candidate.holder is not None]
        if self.owner < 0 and self.now_s >= self.lease_free_at_s and running:
            node = self.random.choice(running)
            self.owner, self.token = node.number, self.token + 1
            node.disruption_controller = self.controller_type(
                self.rules, node.number, self.node_count, self.live_nodes
            )
            node.disruption_controller.set_token(self.clock(node), self.token)

    def live_nodes(self) -> LiveNodes:
        """The membership's view, which is wrong at times."""
        return {
            node.number: (node.generation, node.zone) for node in self.nodes
            if node.holder is not None and self.random.random() > 0.02
        }  # fmt: skip

    # Messages.

    def send(self, source: Node, outgoing: list[tuple[int, Any]]) -> None:
        for to, message in outgoing:
            copies = 0 if self.random.random() < self.loss else 2 if self.random.random() < 0.1 else 1
            for _ in range(copies):
                delay_s = self.random.uniform(0.0, self.max_delay_s)
                if self.random.random() < 0.03:
                    delay_s = self.random.uniform(0.0, 2.5 * TERM_NS / SECOND)
                self.in_flight.append((self.now_s + delay_s, source.number, source.generation, to, message))

    def deliver(self) -> None:
        arrived = [entry for entry in self.in_flight if entry[0] <= self.now_s]
        self.in_flight = [entry for entry in self.in_flight if entry[0] > self.now_s]
        self.random.shuffle(arrived)
        for _, source, generation, to, message in arrived:
            node = self.nodes[to]
            if isinstance(message, MESSAGES_TO_CONTROLLER):
                if node.disruption_controller is not None:
                    self.send(
                        node,
                        node.disruption_controller.on_message(self.clock(node), source, generation, message),
                    )
            elif node.holder is not None:
                self.send(node, node.holder.on_message(self.clock(node), source, message))
            self.check()

    def step(self, seconds: float = 0.25) -> None:
        self.now_s += seconds
        self.elect_controller()
        self.deliver()
        for node in self.nodes:
            if node.holder is not None:
                self.send(node, node.holder.tick(self.clock(node)))
            if node.disruption_controller is not None:
                self.send(node, node.disruption_controller.tick(self.clock(node)))
        self.check()

    def random_event(self) -> None:
        """Starts or stops a process, requests or returns a permit, or ends the lease."""
        node, draw = self.random.choice(self.nodes), self.random.random()
        if node.holder is None:
            if draw < 0.5:
                self.start(node)
        elif draw < 0.35:
            node.holder.request(self.clock(node), self.random.choice(list(Kind)))
        elif draw < 0.6:
            node.holder.give_back(self.clock(node))
        elif draw < 0.8 and (node.holder.has_permit(self.clock(node)) or draw < 0.65):
            self.stop(node)
        elif draw > 0.93:
            self.end_lease()

    # What must hold.

    def nodes_out(self) -> list[Node]:
        return [
            node for node in self.nodes
            if (node.holder.has_permit(self.clock(node)) if node.holder is not None
                else self.now_s < node.out_until_s)
        ]  # fmt: skip

    def check(self) -> None:
        out = self.nodes_out()
        self.max_nodes_out = max(self.max_nodes_out, len(out))
        details = [(node.number, node.zone, node.generation) for node in out]
        assert len(out) <= self.rules.at_once, f"at {self.now_s}: {details} out"
        assert len({node.zone for node in out}) <= 1, f"at {self.now_s}: {details} out"

    def run(self, steps: int) -> None:
        for _ in range(steps):
            if self.random.random() < 0.3:
                self.random_event()
            self.step()
        for node in self.nodes:
            self.count_permits_taken(node)

    def count_permits_taken(self, node: Node) -> None:
        if node.holder is not None:
            self.permits_taken += sum(event.what == "took" for event in node.holder.events)
            node.holder.events.clear()
