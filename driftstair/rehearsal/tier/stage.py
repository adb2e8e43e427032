"""The runner's part of a rehearsed tier: its links, the nodes separated by link faults, and the final
checks."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from driftstair.rehearsal import scenario as model
from driftstair.rehearsal import wire
from driftstair.rehearsal.tier import budgets, judgements, owners
from driftstair.rehearsal.tier.checks import Bounds, Finding, RunRecord, Span, check
from driftstair.rehearsal.tier.histories import Event, Process, processes
from driftstair.rehearsal.tier.links import Fault, Links

SEVERING_LOSS = 0.5  # share of lost datagrams from which on a link counts as severed
TIER_KEY = b"the key of a rehearsed tier"

Pair = tuple[int, int]


@dataclass(slots=True)
class ActiveFault:
    """A link fault that is active."""

    pairs: list[Pair]
    fault: Fault
    begin: int  # ns
    apart: dict[int, frozenset[int]] = field(default_factory=dict)


class TierMonitor:
    """Tracks the faults of a tier's nodes and judges their histories at the end. `names` are the nodes' by
    number; `boxes` those present at the start."""

    def __init__(self, tier: model.Tier, names: list[str], seed: int, boxes: list[str]) -> None:
        self.links = Links(seed)
        self.names = names
        self.findings: list[Finding] = []
        self.processes: list[Process] = []
        self.boxes = boxes
        self.box_faults: dict[str, list[tuple[int, int]]] = {}  # by box: when it had a fault
        self.held_back: list[judgements.HeldBackServer] = []
        self.spending: dict[str, budgets.Spending] = {}
        self._bounds = Bounds(tier.wrongly_s, tier.settle_s, tier.death_s)
        self._numbers = {name: number for number, name in enumerate(names)}
        self._fault_spans: list[Span] = []
        self._down_since: dict[str, int] = {}  # ns
        self._active_faults: list[ActiveFault] = []

    def note(self, observation: wire.Observation) -> None:
        """Records nodes that end, start, are disconnected or are stopped."""
        if isinstance(observation, wire.NodeDown):
            self._down_since.setdefault(observation.node, observation.at)
        elif isinstance(observation, wire.NodeUp) and observation.node in self._down_since:
            begin = self._down_since.pop(observation.node)
            self._fault_spans.append(Span(self._numbers[observation.node], begin, observation.at, down=True))

    def add_box_fault(self, boxes: list[str], begin: int, end: int) -> None:
        """Records that these boxes have a fault of their own during a time span."""
        for name in boxes:
            self.box_faults.setdefault(name, []).append((begin, end))

    def select_nodes(self, which: model.Selection, random: Random) -> list[int]:
        """Returns the numbers of the nodes that a scenario selects; an integer selects that many at
        random."""
        if which is None:
            return list(range(len(self.names)))
        if isinstance(which, int):
            return sorted(random.sample(range(len(self.names)), which))
        return [self._numbers[name] for name in which]

    def begin(
        self, now: int, senders: list[int], receivers: list[int], fault: Fault, both: bool
    ) -> ActiveFault:
        """Starts a link fault from each sender to each receiver."""
        pairs = {(source, target) for source in senders for target in receivers if source != target}
        if both:
            pairs |= {(target, source) for source, target in pairs}
        active = ActiveFault(sorted(pairs), fault, now)
        self.links.begin(active.pairs, fault)
        self._active_faults.append(active)
        active.apart = self._separated_nodes(
            pair for source in self._active_faults if _is_severing(source.fault) for pair in source.pairs
        )
        return active

    def end(self, now: int, active: ActiveFault) -> None:
        """Ends a link fault."""
        self.links.end(active.pairs, active.fault)
        self._active_faults.remove(active)
        self._fault_spans += [
            Span(node, active.begin, now, apart=others) for node, others in active.apart.items()
        ]

    def _separated_nodes(self, severed_pairs: Iterable[Pair]) -> dict[int, frozenset[int]]:
        """Returns for each node those that it can't reach in both directions, directly or through a third
        node."""
        severed_set, numbers = set(severed_pairs), range(len(self.names))
        neighbours = {
            node: {
                other
                for other in numbers
                if (node, other) not in severed_set and (other, node) not in severed_set
            }
            for node in numbers
        }
        separated = {
            node: frozenset(
                other
                for other in numbers
                if other not in neighbours[node] and not neighbours[node] & neighbours[other]
            )
            for node in numbers
        }
        return {node: others for node, others in separated.items() if others}

    def finish(self, now: int, histories: list[list[Event]]) -> None:
        """Judges the histories that were written until now."""
        events = [event for history in histories for event in history]
        ongoing_spans = [
            Span(self._numbers[name], begin, now + 1, down=True) for name, begin in self._down_since.items()
        ]
        for active in self._active_faults:
            ongoing_spans += [
                Span(node, active.begin, now + 1, apart=others) for node, others in active.apart.items()
            ]
        self.processes = [process for history in histories for process in processes(history)]
        record = RunRecord(self.processes, self._fault_spans + ongoing_spans, now)
        self.findings = (
            check(record, self._bounds) + owners.check(events, record) + owners.check_linearizable(events)
        )
        self.findings += budgets.check(events)
        self.spending = budgets.spending(events)
        self.held_back = judgements.held_back_servers(events, self.boxes)
        self.findings += judgements.check(self.held_back, self.box_faults, self._bounds.settle)


def _is_severing(fault: Fault) -> bool:
    return fault.cut or fault.loss >= SEVERING_LOSS
