"""State that the nodes of a tier share, as one machine: events in, actions out, no clock, socket or chance.

Membership carries its datagrams: they come from a living process, once, and in no other generation's name.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

from driftstair.tier.ownership import wire as lease_wire
from driftstair.tier.ownership.disruption_controller import LiveNodes
from driftstair.tier.ownership.leases import LeaseChange, Leases
from driftstair.tier.ownership.messages import OutgoingMessages
from driftstair.tier.ownership.permit_manager import PERMIT_TASK as DISRUPTION_CONTROLLER
from driftstair.tier.ownership.permit_manager import PermitManager
from driftstair.tier.ownership.permits import Holder, Kind, Rules
from driftstair.tier.ownership.permits import OutgoingMessages as OutgoingPermitMessages
from driftstair.tier.shared import wire
from driftstair.tier.shared.budget import TICKS, Budget, Messages, Spec
from driftstair.tier.shared.escrow import Ask, GiveBack, Grant
from driftstair.tier.shared.evidence import OutlierDetector
from driftstair.tier.shared.facts import Facts
from driftstair.tier.shared.gossip import ROUND, Gossip, Tells
from driftstair.tier.shared.wire import InvalidItem

NEVER = 1 << 62
WISH = 10_000_000_000  # ns for which a permit is wanted, unless operators ask again
PROBING = "probe/"  # and a server's key: the task of trying one that is held back


@dataclass(slots=True, frozen=True)
class SendItems:
    """To a node, in one datagram."""

    to: int
    items: bytes


@dataclass(slots=True, frozen=True)
class RecordEvent:
    """For the history."""

    event: str
    fields: dict[str, Any]


@dataclass(slots=True, frozen=True)
class PersistToken:
    """A token to the disk; then `token_persisted` or `persist_failed`."""

    token: int


Action = SendItems | RecordEvent | PersistToken


class SharedState:
    """`others`: the numbers of living nodes that understand this, but for the node's own. Times are monotonic
    ns. It holds no escrow until `open`: whoever has the node's address among its peers has it."""

    def __init__(self, specs: Iterable[Spec], random: Random, others: Callable[[], list[int]]) -> None:
        self.specs = {spec.name: spec for spec in specs}
        self.budgets: dict[str, Budget] = {}
        self.wake_at = NEVER
        self.discarded: Counter[str] = Counter()
        self._keys: dict[int, Budget] = {}
        self._random = random
        self._others = others
        self.outlier_detector: OutlierDetector | None = None
        self.leases: Leases | None = None
        self.permits: PermitManager | None = None
        self._holder: Holder | None = None  # outlives a change of number
        self._budget_at = self._gossip_at = NEVER
        self._gossip: Gossip | None = None
        self._own = self._generation = self._count = -1
        self._is_open = False

    # Its life.

    def open(
        self, now: int, own: int, generation: int, count: int, lent_until: int | None = None
    ) -> list[Action]:
        """This process is that node from now on; one before it may have lent what is not known here, but for
        `lent_until` (ns), if it has told."""
        self._own, self._generation, self._count, self._is_open = own, generation, count, True
        self.budgets = {}
        for spec in self.specs.values():
            self._add(now, spec)
            if lent_until is not None:
                self.budgets[spec.name].escrow.known(lent_until)
        self._keys = {one.key: one for one in self.budgets.values()}
        self._set_wake(now)
        return [_described(now, one, count) for one in self.budgets.values()]

    def enable_outlier_detection(
        self, now: int, zone: int, sound: Callable[[], bool], zones: Callable[[], dict[int, int]]
    ) -> OutlierDetector:
        """Tell others what is seen of servers, from `open` on, and judge by what all have seen."""
        facts = Facts(self._own, self._generation, self._random)
        self._gossip = Gossip(facts, self._random, self._others, self.discarded)
        before, self.outlier_detector = self.outlier_detector, OutlierDetector(facts, now, zone, sound, zones)
        if before is not None:
            self.outlier_detector.observations, self.outlier_detector.ready = (
                before.observations,
                before.ready,
            )
        self._gossip_at = now
        self._set_wake(now)
        return self.outlier_detector

    def enable_leases(
        self, now: int, tasks: Iterable[str], living: Callable[[], list[int]], kept: int | None = None
    ) -> Leases:
        """Take part in who has which task, from `open` on; `living`: this node's number among them; `kept`:
        the token on its disk, None where it has none."""
        self.leases = Leases(
            tasks, self._own, self._generation, self._count, now, self._random, living, persisted_token=kept
        )
        self._set_wake(now)
        return self.leases

    def enable_permits(self, now: int, rules: Rules, living: Callable[[], LiveNodes]) -> PermitManager:
        """Take part in permits to be out, once it takes part in who has which task."""
        self.permits = PermitManager(rules, self._own, self._generation, self._count, living)
        if self._holder is not None:  # the same process, under another number or address
            self.permits.holder = self._holder
            self._holder.generation = self._generation
        self._holder = self.permits.holder
        self._set_wake(now)
        return self.permits

    def request_permit(self, now: int, kind: Kind | None) -> list[Action]:
        """A permit to be out; None: it is wanted, or needed, no more."""
        if self.permits is None:
            return []
        if kind is None:
            self.permits.give_back(now)
        else:
            self.permits.request_permit(now, kind, now + WISH)
        out = self._permitted(self.permits.tick(now, self._disruption_controller_token(now)))
        self._set_wake(now)
        return out

    def _disruption_controller_token(self, now: int) -> int:
        return 0 if self.leases is None else self.leases.token(now, DISRUPTION_CONTROLLER)

    def _permitted(self, letters: OutgoingPermitMessages) -> list[Action]:
        assert self.permits is not None
        notes: list[Action] = [
            RecordEvent("permit", {
                "what": note.what, "kind": Kind(note.kind).name.lower() if note.kind else "",
                "token": note.token, "until_ns": note.until_ns,
            })
            for note in self.permits.take_events()
        ]  # fmt: skip
        return notes + _sent([(to, lease_wire.encode_permit(message)) for to, message in letters])

    def _add(self, now: int, spec: Spec) -> None:
        self.budgets[spec.name] = Budget(
            spec, self._own, self._generation, self._count, now, self._random, self._others
        )

    def close(self) -> None:
        """Not that node any more: nothing is held."""
        self.budgets, self._keys, self._is_open, self._gossip = {}, {}, False, None
        self.leases = self.outlier_detector = self.permits = None
        self._budget_at = self._gossip_at = self.wake_at = NEVER

    def set_generation(self, generation: int) -> None:
        """The same process under a later generation: it knows all that it has lent."""
        self._generation = generation
        if self._gossip is not None:
            self._gossip.facts.generation = generation
        for one in self.budgets.values():
            one.escrow.generation = generation
        if self.permits is not None:
            self.permits.holder.generation = generation

    def update_specs(self, now: int, specs: Iterable[Spec]) -> list[Action]:
        """The file has been replaced. A budget that was not there begins as after a start."""
        before, self.specs = self.specs, {spec.name: spec for spec in specs}
        if not self._is_open:
            return []
        changed = []
        for name in before.keys() - self.specs.keys():
            self.budgets.pop(name, None)
        for name, spec in self.specs.items():
            known = self.budgets.get(name)
            if known is None:
                self._add(now, spec)
            elif known.spec != spec:
                known.update_spec(now, spec, self._count)
            else:
                continue
            changed.append(self.budgets[name])
        self._keys = {one.key: one for one in self.budgets.values()}
        self._set_wake(now)
        return [_described(now, one, self._count) for one in changed]

    def lent_until(self) -> int | None:
        """ns; to be asked once it lends no more: after `leave`."""
        return max((one.escrow.lent_until() for one in self.budgets.values()), default=None)

    def leave(self, now: int) -> list[Action]:
        out = self._told([(one, one.leave(now)) for one in self.budgets.values()])
        return out if self.leases is None else out + self._led(now, *self.leases.leave(now))

    # Time and datagrams.

    def wake(self, now: int) -> list[Action]:
        out: list[Action] = []
        if now >= self._budget_at:
            self._budget_at = NEVER
            out += self._told([(one, one.tick(now)) for one in self.budgets.values()])
        if now >= self._gossip_at and self._gossip is not None:
            self._gossip_at = now + ROUND
            out += self._judged(now)
            out += _sent(self._gossip.tick(now))
        if self.leases is not None and now >= self.leases.wake_at:
            out += self._led(now, *self.leases.tick(now))
        if self.permits is not None and now >= self.permits.wake_at(self._disruption_controller_token(now)):
            out += self._permitted(self.permits.tick(now, self._disruption_controller_token(now)))
        self._set_wake(now)
        return out

    def _set_wake(self, now: int) -> None:
        times = [one.spec.terms.lent // TICKS for one in self.budgets.values()]
        if times and self._budget_at == NEVER:
            self._budget_at = now + min(times)
        self.wake_at = min(self._budget_at, self._gossip_at)
        if self.leases is not None:
            self.wake_at = min(self.wake_at, self.leases.wake_at)
        if self.permits is not None:
            self.wake_at = min(self.wake_at, self.permits.wake_at(self._disruption_controller_token(now)))

    def token_persisted(self, now: int, token: int) -> list[Action]:
        if self.leases is None:
            return []
        out = self._led(now, *self.leases.token_persisted(now, token))
        self._set_wake(now)
        return out

    def persist_failed(self, now: int) -> None:
        if self.leases is not None:
            self.leases.persist_failed(now)

    def _led(self, now: int, letters: OutgoingMessages, changes: list[LeaseChange]) -> list[Action]:
        out: list[Action] = []
        if self.leases is not None and (token := self.leases.token_to_persist(now)):
            out.append(PersistToken(token))
        for one in changes:
            if one.previous_token:
                out.append(
                    RecordEvent(
                        "lost", {"task": one.task, "token": one.previous_token, "over_ns": one.ended_at_ns}
                    )
                )
            if one.token:
                out.append(RecordEvent("own", {"task": one.task, "token": one.token}))
        return out + _sent([(to, lease_wire.encode(message)) for to, message in letters])

    def release(self, now: int, task: str, heir: int) -> list[Action]:
        """What this process owns, to `heir` next; -1: to whoever asks."""
        assert self.leases is not None
        out = self._led(now, *self.leases.release(now, task, heir))
        self._set_wake(now)
        return out

    def _probe(self, now: int) -> list[Action]:
        """One node tries each server that is held back, for all."""
        judge, leases = self.outlier_detector, self.leases
        if judge is None or leases is None:
            return []
        out: list[Action] = []
        wanted = {f"{PROBING}{server:08x}": server for server in judge.out}
        for name in [name for name in leases.tasks if name.startswith(PROBING) and name not in wanted]:
            out += self._led(now, *leases.remove_task(now, name))
        for name in wanted:
            leases.add_task(now, name)
        judge.probing = {
            server: token for name, server in wanted.items() if (token := leases.token(now, name))
        }
        for server, token in judge.refused:
            out.append(RecordEvent("refused", {"task": f"{PROBING}{server:08x}", "token": token}))
        judge.refused.clear()
        return out

    def _judged(self, now: int) -> list[Action]:
        if self.outlier_detector is None:
            return []
        left_out, back = self.outlier_detector.tick(now)
        return self._probe(now) + [
            RecordEvent("judge", {"server": one.server, "verdict": verdict, "reporters": list(one.reporters)})
            for verdict, some in (("out", left_out), ("back", back)) for one in some
        ]  # fmt: skip

    def heard(self, now: int, sender: int, generation: int, items: bytes) -> list[Action]:
        found, broken = wire.unpack_items(items)
        self.discarded["unreadable"] += broken
        answers: list[tuple[Budget, Messages]] = []
        tells: Tells = []
        led: list[Action] = []
        for item in found:
            try:
                if item[0] in (wire.FACT, wire.DIGEST, wire.DIGEST_BACK) and self._gossip is not None:
                    tells += self._gossip.take(now, sender, item)
                elif item[0] in lease_wire.LEASE_MESSAGES and self.leases is not None:
                    led += self._led(
                        now, *self.leases.on_message(now, sender, generation, lease_wire.decode(item))
                    )
                elif item[0] in lease_wire.PERMIT_MESSAGES and self.permits is not None:
                    said = lease_wire.decode_permit(item)
                    token = self._disruption_controller_token(now)
                    led += self._permitted(self.permits.on_message(now, token, sender, generation, said))
                else:
                    answers += self._take(now, sender, generation, item)
            except InvalidItem as problem:
                self.discarded[str(problem)] += 1
        self._set_wake(now)
        return self._told(answers) + _sent(tells) + led

    def _take(self, now: int, sender: int, generation: int, item: wire.Item) -> list[tuple[Budget, Messages]]:
        if item[0] not in (wire.ASK, wire.GRANT, wire.BACK):
            raise InvalidItem("other_kind")
        key, message = wire.decode_escrow_message(item, sender, generation, self._own)
        budget = self._keys.get(key)
        if budget is None:
            raise InvalidItem("other_budget")
        match message:
            case Ask():
                return [(budget, [(sender, grant) for grant in budget.asked(now, message)])]
            case Grant():
                budget.granted(now, message)
            case GiveBack():
                budget.returned(now, message)
        return [(budget, [])]

    def _told(self, messages: list[tuple[Budget, Messages]]) -> list[Action]:
        out: list[Action] = []
        tells: Tells = []
        for budget, some in messages:
            tells += [(to, wire.encode_escrow_message(message, budget.key)) for to, message in some]
            for note in budget.notes:
                out.append(RecordEvent("right", {"budget": budget.spec.name, **_fields(note)}))
            budget.notes.clear()
        return out + _sent(tells)


def _sent(tells: Tells) -> list[Action]:
    """What is for one node goes together."""
    by_node: dict[int, list[wire.Item]] = {}
    for to, item in tells:
        by_node.setdefault(to, []).append(item)
    return [SendItems(to, data) for to, items in by_node.items() for data in wire.pack_items(items)]


def _fields(note: Any) -> dict[str, Any]:
    return {
        "what": note.what, "other": note.other, "lender_life": note.generation, "loan": note.loan,
        "shares": note.shares, "until_ns": note.until,
    }  # fmt: skip


def _described(now: int, budget: Budget, count: int) -> RecordEvent:
    spec = budget.spec
    return RecordEvent("budget", {
        "budget": spec.name, "per_s": spec.per_s, "burst_ns": spec.burst, "nodes": count,
        "shares": spec.terms.shares, "floor": spec.terms.floor, "lent_ns": spec.terms.lent,
        "drift": spec.terms.drift, "own": budget.escrow.of_own(now),
    })  # fmt: skip
