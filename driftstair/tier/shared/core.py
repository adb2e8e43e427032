"""State machine of everything that the nodes of a tier share. It takes events and returns actions; the caller
provides the time and the random source and does all I/O.

Its datagrams are carried by the membership protocol, which ensures that each one comes from a live process,
is delivered at most once, and states the generation of its sender correctly.
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
from driftstair.tier.shared.budget import TICKS_PER_LOAN, Budget, BudgetSpec, EscrowMessages
from driftstair.tier.shared.escrow import Ask, GiveBack, Grant
from driftstair.tier.shared.evidence import OutlierDetector
from driftstair.tier.shared.facts import FactStore
from driftstair.tier.shared.gossip import ROUND_NS, Gossip, OutgoingItems
from driftstair.tier.shared.wire import InvalidItem

NEVER = 1 << 62
PERMIT_REQUEST_LIFETIME_NS = (
    10_000_000_000  # a request for a permit lapses after this time unless operators repeat it
)
PROBE_TASK_PREFIX = "probe/"  # followed by the key of a held-back server: the task of probing it


@dataclass(slots=True, frozen=True)
class SendItems:
    """Send items to a node in one datagram."""

    to: int
    items: bytes


@dataclass(slots=True, frozen=True)
class RecordEvent:
    """Write an event to the history."""

    event: str
    fields: dict[str, Any]


@dataclass(slots=True, frozen=True)
class PersistToken:
    """Write a token to the disk, and then call `token_persisted` or `persist_failed`."""

    token: int


Action = SendItems | RecordEvent | PersistToken


class SharedState:
    """Shared state of one process. Times are monotonic ns.

    `other_nodes` returns the numbers of the other live nodes that support shared state. The process holds no
    escrow until `open` is called: only the process that is bound to the node's peer address has it.
    """

    def __init__(
        self, specs: Iterable[BudgetSpec], random: Random, other_nodes: Callable[[], list[int]]
    ) -> None:
        self.specs = {spec.name: spec for spec in specs}
        self.budgets: dict[str, Budget] = {}
        self.wake_at = NEVER
        self.discarded: Counter[str] = Counter()
        self._budgets_by_key: dict[int, Budget] = {}
        self._random = random
        self._other_nodes = other_nodes
        self.outlier_detector: OutlierDetector | None = None
        self.leases: Leases | None = None
        self.permits: PermitManager | None = None
        self._holder: Holder | None = None  # kept when the number of this process changes
        self._budget_tick_at_ns = self._gossip_tick_at_ns = NEVER
        self._gossip: Gossip | None = None
        self._own_number = self._generation = self._node_count = -1
        self._is_open = False

    # Life cycle.

    def open(
        self, now_ns: int, own_number: int, generation: int, node_count: int, lent_until_ns: int | None = None
    ) -> list[Action]:
        """Starts to act as node `own_number` of `node_count`. An earlier process of the node may have made
        loans that are not known here; if it saved when the last of them expires, that is `lent_until_ns`."""
        self._own_number, self._generation, self._node_count, self._is_open = (
            own_number,
            generation,
            node_count,
            True,
        )
        self.budgets = {}
        for spec in self.specs.values():
            self._add_budget(now_ns, spec)
            if lent_until_ns is not None:
                self.budgets[spec.name].escrow.set_earlier_loans_end(lent_until_ns)
        self._budgets_by_key = {budget.wire_key: budget for budget in self.budgets.values()}
        self._set_wake(now_ns)
        return [_budget_event(now_ns, budget, node_count) for budget in self.budgets.values()]

    def enable_outlier_detection(
        self, now_ns: int, zone: int, may_report: Callable[[], bool], zones: Callable[[], dict[int, int]]
    ) -> OutlierDetector:
        """Starts to publish observations of servers and to detect outliers. Must be called after `open`."""
        facts = FactStore(self._own_number, self._generation, self._random)
        self._gossip = Gossip(facts, self._random, self._other_nodes, self.discarded)
        previous, self.outlier_detector = (
            self.outlier_detector,
            OutlierDetector(facts, now_ns, zone, may_report, zones),
        )
        if previous is not None:
            self.outlier_detector.observations, self.outlier_detector.ready_servers = (
                previous.observations,
                previous.ready_servers,
            )
        self._gossip_tick_at_ns = now_ns
        self._set_wake(now_ns)
        return self.outlier_detector

    def enable_leases(
        self,
        now_ns: int,
        tasks: Iterable[str],
        live_nodes: Callable[[], list[int]],
        persisted_token: int | None = None,
    ) -> Leases:
        """Starts to take part in the leases of tasks. Must be called after `open`. `live_nodes` returns the
        live nodes including this one; `persisted_token` is the token on the disk of this node, or None if it
        has no disk."""
        self.leases = Leases(
            tasks,
            self._own_number,
            self._generation,
            self._node_count,
            now_ns,
            self._random,
            live_nodes,
            persisted_token=persisted_token,
        )
        self._set_wake(now_ns)
        return self.leases

    def enable_permits(self, now_ns: int, rules: Rules, live_nodes: Callable[[], LiveNodes]) -> PermitManager:
        """Starts to take part in permits for being unavailable. Must be called after `enable_leases`."""
        self.permits = PermitManager(rules, self._own_number, self._generation, self._node_count, live_nodes)
        if self._holder is not None:  # the same process with another number or address
            self.permits.holder = self._holder
            self._holder.generation = self._generation
        self._holder = self.permits.holder
        self._set_wake(now_ns)
        return self.permits

    def request_permit(self, now_ns: int, kind: Kind | None) -> list[Action]:
        """Requests a permit for being unavailable. None withdraws the request or gives the permit back."""
        if self.permits is None:
            return []
        if kind is None:
            self.permits.give_back(now_ns)
        else:
            self.permits.request_permit(now_ns, kind, now_ns + PERMIT_REQUEST_LIFETIME_NS)
        actions = self._permit_actions(self.permits.tick(now_ns, self._disruption_controller_token(now_ns)))
        self._set_wake(now_ns)
        return actions

    def _disruption_controller_token(self, now_ns: int) -> int:
        return 0 if self.leases is None else self.leases.token(now_ns, DISRUPTION_CONTROLLER)

    def _permit_actions(self, messages: OutgoingPermitMessages) -> list[Action]:
        assert self.permits is not None
        events: list[Action] = [
            RecordEvent("permit", {
                "what": event.what, "kind": Kind(event.kind).name.lower() if event.kind else "",
                "token": event.token, "until_ns": event.until_ns,
            })
            for event in self.permits.take_events()
        ]  # fmt: skip
        return events + _send_actions([(to, lease_wire.encode_permit(message)) for to, message in messages])

    def _add_budget(self, now_ns: int, spec: BudgetSpec) -> None:
        self.budgets[spec.name] = Budget(
            spec,
            self._own_number,
            self._generation,
            self._node_count,
            now_ns,
            self._random,
            self._other_nodes,
        )

    def close(self) -> None:
        """Stops acting as the node. All shares, leases and permits are dropped."""
        self.budgets, self._budgets_by_key, self._is_open, self._gossip = {}, {}, False, None
        self.leases = self.outlier_detector = self.permits = None
        self._budget_tick_at_ns = self._gossip_tick_at_ns = self.wake_at = NEVER

    def set_generation(self, generation: int) -> None:
        """Continues the same process with a later generation. Its loans stay known."""
        self._generation = generation
        if self._gossip is not None:
            self._gossip.facts.generation = generation
        for budget in self.budgets.values():
            budget.escrow.generation = generation
        if self.permits is not None:
            self.permits.holder.generation = generation

    def update_specs(self, now_ns: int, specs: Iterable[BudgetSpec]) -> list[Action]:
        """Applies the budgets of a new service file. A new budget begins as after a start of the process."""
        previous_specs, self.specs = self.specs, {spec.name: spec for spec in specs}
        if not self._is_open:
            return []
        changed = []
        for name in previous_specs.keys() - self.specs.keys():
            self.budgets.pop(name, None)
        for name, spec in self.specs.items():
            known = self.budgets.get(name)
            if known is None:
                self._add_budget(now_ns, spec)
            elif known.spec != spec:
                known.update_spec(now_ns, spec, self._node_count)
            else:
                continue
            changed.append(self.budgets[name])
        self._budgets_by_key = {budget.wire_key: budget for budget in self.budgets.values()}
        self._set_wake(now_ns)
        return [_budget_event(now_ns, budget, self._node_count) for budget in changed]

    def lent_until(self) -> int | None:
        """Returns when the last loan expires. To be called after `leave`, when no more loans are made."""
        return max((budget.escrow.lent_until() for budget in self.budgets.values()), default=None)

    def leave(self, now_ns: int) -> list[Action]:
        """Returns all loans and releases all leases before the process ends."""
        actions = self._budget_actions([(budget, budget.leave(now_ns)) for budget in self.budgets.values()])
        return (
            actions
            if self.leases is None
            else actions + self._lease_actions(now_ns, *self.leases.leave(now_ns))
        )

    # Timers and datagrams.

    def wake(self, now_ns: int) -> list[Action]:
        """Does everything that is due. Must be called at `wake_at`."""
        actions: list[Action] = []
        if now_ns >= self._budget_tick_at_ns:
            self._budget_tick_at_ns = NEVER
            actions += self._budget_actions(
                [(budget, budget.tick(now_ns)) for budget in self.budgets.values()]
            )
        if now_ns >= self._gossip_tick_at_ns and self._gossip is not None:
            self._gossip_tick_at_ns = now_ns + ROUND_NS
            actions += self._outlier_actions(now_ns)
            actions += _send_actions(self._gossip.tick(now_ns))
        if self.leases is not None and now_ns >= self.leases.wake_at:
            actions += self._lease_actions(now_ns, *self.leases.tick(now_ns))
        if self.permits is not None and now_ns >= self.permits.wake_at(
            self._disruption_controller_token(now_ns)
        ):
            actions += self._permit_actions(
                self.permits.tick(now_ns, self._disruption_controller_token(now_ns))
            )
        self._set_wake(now_ns)
        return actions

    def _set_wake(self, now_ns: int) -> None:
        intervals_ns = [budget.spec.terms.lent // TICKS_PER_LOAN for budget in self.budgets.values()]
        if intervals_ns and self._budget_tick_at_ns == NEVER:
            self._budget_tick_at_ns = now_ns + min(intervals_ns)
        self.wake_at = min(self._budget_tick_at_ns, self._gossip_tick_at_ns)
        if self.leases is not None:
            self.wake_at = min(self.wake_at, self.leases.wake_at)
        if self.permits is not None:
            self.wake_at = min(self.wake_at, self.permits.wake_at(self._disruption_controller_token(now_ns)))

    def token_persisted(self, now_ns: int, token: int) -> list[Action]:
        """Handles a completed `PersistToken`."""
        if self.leases is None:
            return []
        actions = self._lease_actions(now_ns, *self.leases.token_persisted(now_ns, token))
        self._set_wake(now_ns)
        return actions

    def persist_failed(self, now_ns: int) -> None:
        """Handles a failed `PersistToken`."""
        if self.leases is not None:
            self.leases.persist_failed(now_ns)

    def _lease_actions(
        self, now_ns: int, messages: OutgoingMessages, changes: list[LeaseChange]
    ) -> list[Action]:
        actions: list[Action] = []
        if self.leases is not None and (token := self.leases.token_to_persist(now_ns)):
            actions.append(PersistToken(token))
        for change in changes:
            if change.previous_token:
                actions.append(
                    RecordEvent(
                        "lost",
                        {"task": change.task, "token": change.previous_token, "over_ns": change.ended_at_ns},
                    )
                )
            if change.token:
                actions.append(RecordEvent("own", {"task": change.task, "token": change.token}))
        return actions + _send_actions([(to, lease_wire.encode(message)) for to, message in messages])

    def release(self, now_ns: int, task: str, successor: int) -> list[Action]:
        """Releases the lease on a task, which node `successor` may take next; -1 lets any node take it."""
        assert self.leases is not None
        actions = self._lease_actions(now_ns, *self.leases.release(now_ns, task, successor))
        self._set_wake(now_ns)
        return actions

    def _probe_actions(self, now_ns: int) -> list[Action]:
        """Updates the tasks of probing held-back servers; one node probes each of them for all nodes."""
        detector, leases = self.outlier_detector, self.leases
        if detector is None or leases is None:
            return []
        actions: list[Action] = []
        probe_tasks = {f"{PROBE_TASK_PREFIX}{server:08x}": server for server in detector.held_back}
        for name in [
            name for name in leases.tasks if name.startswith(PROBE_TASK_PREFIX) and name not in probe_tasks
        ]:
            actions += self._lease_actions(now_ns, *leases.remove_task(now_ns, name))
        for name in probe_tasks:
            leases.add_task(now_ns, name)
        detector.probe_tokens = {
            server: token for name, server in probe_tasks.items() if (token := leases.token(now_ns, name))
        }
        for server, token in detector.refused_probes:
            actions.append(
                RecordEvent("refused", {"task": f"{PROBE_TASK_PREFIX}{server:08x}", "token": token})
            )
        detector.refused_probes.clear()
        return actions

    def _outlier_actions(self, now_ns: int) -> list[Action]:
        if self.outlier_detector is None:
            return []
        new, withdrawn = self.outlier_detector.tick(now_ns)
        return self._probe_actions(now_ns) + [
            RecordEvent("judge", {
                "server": verdict.server, "verdict": change, "reporters": list(verdict.reporters),
            })
            for change, verdicts in (("out", new), ("back", withdrawn)) for verdict in verdicts
        ]  # fmt: skip

    def on_datagram(self, now_ns: int, sender: int, generation: int, items: bytes) -> list[Action]:
        """Handles the items of a datagram. Invalid items are counted in `discarded` and ignored."""
        decoded_items, unreadable_count = wire.unpack_items(items)
        self.discarded["unreadable"] += unreadable_count
        answers: list[tuple[Budget, EscrowMessages]] = []
        gossip_items: OutgoingItems = []
        actions: list[Action] = []
        for item in decoded_items:
            try:
                if item[0] in (wire.FACT, wire.DIGEST, wire.DIGEST_REPLY) and self._gossip is not None:
                    gossip_items += self._gossip.handle_item(now_ns, sender, item)
                elif item[0] in lease_wire.LEASE_MESSAGES and self.leases is not None:
                    actions += self._lease_actions(
                        now_ns, *self.leases.on_message(now_ns, sender, generation, lease_wire.decode(item))
                    )
                elif item[0] in lease_wire.PERMIT_MESSAGES and self.permits is not None:
                    permit_message = lease_wire.decode_permit(item)
                    token = self._disruption_controller_token(now_ns)
                    actions += self._permit_actions(
                        self.permits.on_message(now_ns, token, sender, generation, permit_message)
                    )
                else:
                    answers += self._handle_escrow_item(now_ns, sender, generation, item)
            except InvalidItem as error:
                self.discarded[str(error)] += 1
        self._set_wake(now_ns)
        return self._budget_actions(answers) + _send_actions(gossip_items) + actions

    def _handle_escrow_item(
        self, now_ns: int, sender: int, generation: int, item: wire.Item
    ) -> list[tuple[Budget, EscrowMessages]]:
        if item[0] not in (wire.ASK, wire.GRANT, wire.GIVE_BACK):
            raise InvalidItem("other_kind")
        key, message = wire.decode_escrow_message(item, sender, generation, self._own_number)
        budget = self._budgets_by_key.get(key)
        if budget is None:
            raise InvalidItem("other_budget")
        match message:
            case Ask():
                return [(budget, [(sender, grant) for grant in budget.on_ask(now_ns, message)])]
            case Grant():
                budget.on_grant(now_ns, message)
            case GiveBack():
                budget.on_give_back(now_ns, message)
        return [(budget, [])]

    def _budget_actions(self, messages: list[tuple[Budget, EscrowMessages]]) -> list[Action]:
        actions: list[Action] = []
        items: OutgoingItems = []
        for budget, budget_messages in messages:
            items += [
                (to, wire.encode_escrow_message(message, budget.wire_key)) for to, message in budget_messages
            ]
            for event in budget.loan_events:
                actions.append(RecordEvent("right", {"budget": budget.spec.name, **_event_fields(event)}))
            budget.loan_events.clear()
        return actions + _send_actions(items)


def _send_actions(items: OutgoingItems) -> list[Action]:
    """Packs the items for each node into as few datagrams as possible."""
    by_node: dict[int, list[wire.Item]] = {}
    for to, item in items:
        by_node.setdefault(to, []).append(item)
    return [SendItems(to, data) for to, node_items in by_node.items() for data in wire.pack_items(node_items)]


def _event_fields(event: Any) -> dict[str, Any]:
    return {
        "what": event.action, "other": event.peer, "lender_life": event.lender_generation, "loan": event.loan,
        "shares": event.shares, "until_ns": event.until_ns,
    }  # fmt: skip


def _budget_event(now_ns: int, budget: Budget, node_count: int) -> RecordEvent:
    spec = budget.spec
    return RecordEvent("budget", {
        "budget": spec.name, "per_s": spec.per_s, "burst_ns": spec.burst_ns, "nodes": node_count,
        "shares": spec.terms.shares, "floor": spec.terms.floor, "lent_ns": spec.terms.lent,
        "drift": spec.terms.drift, "own": budget.escrow.unlent_own_shares(now_ns),
    })  # fmt: skip
