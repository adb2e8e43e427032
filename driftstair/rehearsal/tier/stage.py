"""What a rehearsal has besides where its nodes are a tier: the links, and whom they keep apart from whom."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from driftstair.rehearsal import scenario as model
from driftstair.rehearsal import wire
from driftstair.rehearsal.tier import budgets, judgements, owners
from driftstair.rehearsal.tier.checks import Bounds, Finding, Span, Story, check
from driftstair.rehearsal.tier.histories import Event, Process, processes
from driftstair.rehearsal.tier.links import Fault, Links

AS_GOOD_AS_CUT = 0.5  # of the datagrams on a link that are lost
KEY = b"the key of a rehearsed tier"

Pair = tuple[int, int]


@dataclass(slots=True)
class Cut:
    """A fault of links that lasts."""

    pairs: list[Pair]
    fault: Fault
    begin: int  # ns
    apart: dict[int, frozenset[int]] = field(default_factory=dict)


class TierStage:
    """`names` of the nodes, by number; of the boxes at the start."""

    def __init__(self, of: model.Tier, names: list[str], seed: int, boxes: list[str]) -> None:
        self.links = Links(seed)
        self.names = names
        self.findings: list[Finding] = []
        self.processes: list[Process] = []
        self.boxes = boxes
        self.blamed: dict[str, list[tuple[int, int]]] = {}  # by box: when it had trouble
        self.held_back: list[judgements.Judged] = []
        self.spending: dict[str, budgets.Spending] = {}
        self._bounds = Bounds(of.wrongly_s, of.settle_s, of.death_s)
        self._numbers = {name: number for number, name in enumerate(names)}
        self._spans: list[Span] = []
        self._down: dict[str, int] = {}  # since when, ns
        self._cuts: list[Cut] = []

    def note(self, seen: wire.Observation) -> None:
        """Nodes that end, start, are cut off or stand still."""
        if isinstance(seen, wire.NodeDown):
            self._down.setdefault(seen.node, seen.at)
        elif isinstance(seen, wire.NodeUp) and seen.node in self._down:
            begin = self._down.pop(seen.node)
            self._spans.append(Span(self._numbers[seen.node], begin, seen.at, down=True))

    def blame(self, boxes: list[str], begin: int, end: int) -> None:
        """These have trouble themselves for so long."""
        for name in boxes:
            self.blamed.setdefault(name, []).append((begin, end))

    def chosen(self, which: model.Chosen, random: Random) -> list[int]:
        if which is None:
            return list(range(len(self.names)))
        if isinstance(which, int):
            return sorted(random.sample(range(len(self.names)), which))
        return [self._numbers[name] for name in which]

    def begin(self, now: int, senders: list[int], receivers: list[int], fault: Fault, both: bool) -> Cut:
        pairs = {(one, other) for one in senders for other in receivers if one != other}
        if both:
            pairs |= {(other, one) for one, other in pairs}
        cut = Cut(sorted(pairs), fault, now)
        self.links.begin(cut.pairs, fault)
        self._cuts.append(cut)
        cut.apart = self._apart(pair for one in self._cuts if _severs(one.fault) for pair in one.pairs)
        return cut

    def end(self, now: int, cut: Cut) -> None:
        self.links.end(cut.pairs, cut.fault)
        self._cuts.remove(cut)
        self._spans += [Span(node, cut.begin, now, apart=others) for node, others in cut.apart.items()]

    def _apart(self, severed: Iterable[Pair]) -> dict[int, frozenset[int]]:
        """By node: those that it does not reach both ways, directly or through a third one."""
        gone, every = set(severed), range(len(self.names))
        near = {
            one: {other for other in every if (one, other) not in gone and (other, one) not in gone}
            for one in every
        }
        found = {
            one: frozenset(other for other in every if other not in near[one] and not near[one] & near[other])
            for one in every
        }
        return {one: others for one, others in found.items() if others}

    def finish(self, now: int, histories: list[list[Event]]) -> None:
        """Judge what was written down until now."""
        events = [event for one in histories for event in one]
        lasting = [Span(self._numbers[name], begin, now + 1, down=True) for name, begin in self._down.items()]
        for cut in self._cuts:
            lasting += [Span(node, cut.begin, now + 1, apart=others) for node, others in cut.apart.items()]
        self.processes = [process for one in histories for process in processes(one)]
        story = Story(self.processes, self._spans + lasting, now)
        self.findings = check(story, self._bounds) + owners.check(events, story) + owners.linear(events)
        self.findings += budgets.check(events)
        self.spending = budgets.spending(events)
        self.held_back = judgements.held_back(events, self.boxes)
        self.findings += judgements.check(self.held_back, self.blamed, self._bounds.settle)


def _severs(fault: Fault) -> bool:
    return fault.cut or fault.loss >= AS_GOOD_AS_CUT
