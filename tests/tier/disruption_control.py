"""A small world around disruption controllers and holders: clocks that drift, letters lost, late and doubled,
crashes, restarts, and disruption controllers that come after one another."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

from driftstair.tier.ownership.disruption_controller import DisruptionController, LiveNodes
from driftstair.tier.ownership.permits import Ask, Holder, Kind, PollReply, ReturnPermit, Rules

SECOND = 1_000_000_000
TERM = 20 * SECOND
RULES = Rules(at_once=2, term=TERM, drift=0.01)
TO_DISRUPTION_CONTROLLER = (PollReply, Ask, ReturnPermit)


@dataclass
class Node:
    """One number; `holder` is None while no process runs."""

    number: int
    zone: int
    rate: float
    offset: int
    generation: int
    holder: Holder | None
    disruption_controller: DisruptionController | None = None
    out_until: float = -1.0  # s of the world: a process that held a permit has ended, and is not back


@dataclass
class World:
    count: int
    zones: int
    random: Random
    rules: Rules = RULES
    holder: type[Holder] = Holder
    disruption_controller: type[DisruptionController] = DisruptionController
    loss: float = 0.1
    late: float = 3.0  # s at most, but for a few
    now: float = 0.0  # s
    nodes: list[Node] = field(default_factory=list)
    letters: list[tuple[float, int, int, int, Any]] = field(default_factory=list)
    owner: int = -1
    token: int = 0
    free_at: float = 0.0
    taken: int = 0
    most: int = 0

    def __post_init__(self) -> None:
        for number in range(self.count):
            rate = 1.0 + self.random.uniform(-1, 1) * self.rules.drift
            offset = self.random.randrange(1000 * SECOND)
            node = Node(number, number % self.zones, rate, offset, 1, None)
            self.nodes.append(node)
            self.start(node)

    # Times and generations.

    def clock(self, node: Node) -> int:
        return node.offset + int(self.now * node.rate * SECOND)

    def start(self, node: Node) -> None:
        node.generation += 1
        node.holder = self.holder(self.rules, node.generation)
        node.out_until = -1.0

    def stop(self, node: Node) -> None:
        if node.holder is not None and node.holder.held(self.clock(node)):
            left = node.holder.left(self.clock(node)) / node.rate / SECOND
            node.out_until = self.now + left
        self.count_taken(node)
        node.holder = node.disruption_controller = None
        if self.owner == node.number:
            self.lapse()

    def lapse(self) -> None:
        """The owner's lease is over; the next one's begins some time later."""
        if self.owner >= 0:
            self.nodes[self.owner].disruption_controller = None
            self.owner, self.free_at = -1, self.now + self.random.uniform(0.0, 2.0)

    def elect(self) -> None:
        running = [one for one in self.nodes if one.holder is not None]
        if self.owner < 0 and self.now >= self.free_at and running:
            node = self.random.choice(running)
            self.owner, self.token = node.number, self.token + 1
            node.disruption_controller = self.disruption_controller(
                self.rules, node.number, self.count, self.living
            )
            node.disruption_controller.lead(self.clock(node), self.token)

    def living(self) -> LiveNodes:
        """As membership would have it; wrong at times, as it may be."""
        return {
            one.number: (one.generation, one.zone) for one in self.nodes
            if one.holder is not None and self.random.random() > 0.02
        }  # fmt: skip

    # Letters.

    def send(self, source: Node, letters: list[tuple[int, Any]]) -> None:
        for to, message in letters:
            copies = 0 if self.random.random() < self.loss else 2 if self.random.random() < 0.1 else 1
            for _ in range(copies):
                late = self.random.uniform(0.0, self.late)
                if self.random.random() < 0.03:
                    late = self.random.uniform(0.0, 2.5 * TERM / SECOND)
                self.letters.append((self.now + late, source.number, source.generation, to, message))

    def deliver(self) -> None:
        due = [one for one in self.letters if one[0] <= self.now]
        self.letters = [one for one in self.letters if one[0] > self.now]
        self.random.shuffle(due)
        for _, source, generation, to, message in due:
            node = self.nodes[to]
            if isinstance(message, TO_DISRUPTION_CONTROLLER):
                if node.disruption_controller is not None:
                    self.send(
                        node, node.disruption_controller.heard(self.clock(node), source, generation, message)
                    )
            elif node.holder is not None:
                self.send(node, node.holder.heard(self.clock(node), source, message))
            self.check()

    def step(self, seconds: float = 0.25) -> None:
        self.now += seconds
        self.elect()
        self.deliver()
        for node in self.nodes:
            if node.holder is not None:
                self.send(node, node.holder.tick(self.clock(node)))
            if node.disruption_controller is not None:
                self.send(node, node.disruption_controller.tick(self.clock(node)))
        self.check()

    def mischief(self) -> None:
        node, chance = self.random.choice(self.nodes), self.random.random()
        if node.holder is None:
            if chance < 0.5:
                self.start(node)
        elif chance < 0.35:
            node.holder.want(self.clock(node), self.random.choice(list(Kind)))
        elif chance < 0.6:
            node.holder.give_back(self.clock(node))
        elif chance < 0.8 and (node.holder.held(self.clock(node)) or chance < 0.65):
            self.stop(node)
        elif chance > 0.93:
            self.lapse()

    # What must hold.

    def out(self) -> list[Node]:
        return [
            one for one in self.nodes
            if (one.holder.held(self.clock(one)) if one.holder is not None else self.now < one.out_until)
        ]  # fmt: skip

    def check(self) -> None:
        out = self.out()
        self.most = max(self.most, len(out))
        told = [(one.number, one.zone, one.generation) for one in out]
        assert len(out) <= self.rules.at_once, f"at {self.now}: {told} out"
        assert len({one.zone for one in out}) <= 1, f"at {self.now}: {told} out"

    def play(self, steps: int) -> None:
        for _ in range(steps):
            if self.random.random() < 0.3:
                self.mischief()
            self.step()
        for node in self.nodes:
            self.count_taken(node)

    def count_taken(self, node: Node) -> None:
        if node.holder is not None:
            self.taken += sum(note.what == "took" for note in node.holder.notes)
            node.holder.notes.clear()
