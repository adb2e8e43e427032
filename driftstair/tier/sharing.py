"""Shared state in the daemon: connects its core with the tier's datagrams and with routes that spend
budgets."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, NamedTuple

from driftstair.net.identifiers import digest
from driftstair.tier.observed_module import ObservedModule, server_key
from driftstair.tier.ownership.disruption_controller import LiveNodes
from driftstair.tier.ownership.permit_manager import PERMIT_TASK as PERMITS
from driftstair.tier.ownership.permits import Kind, Rules
from driftstair.tier.shared.budget import BudgetSpec
from driftstair.tier.shared.core import Action, PersistToken, SendItems, SharedState
from driftstair.tier.shared.evidence import OutlierDetector
from lichenspring.interface import DecisionModule


class EvidenceSettings(NamedTuple):
    """Settings of a node that shares evidence on servers. `is_reliable`: whether this node may report
    evidence now; `zones_by_node`: the zones of the live nodes."""

    zone: int
    is_reliable: Callable[[], bool]
    zones_by_node: Callable[[], dict[int, int]]


class PermitSettings(NamedTuple):
    """Settings of a node that requests a permit before it is out. `rules`: the fleet's; `live_nodes`:
    generation and zone of each live node."""

    rules: Rules
    live_nodes: Callable[[], LiveNodes]


class NotOwnerError(Exception):
    """This node can't carry out an order on a task; the text says why."""


class FleetTokens:
    """A budget of the fleet with the interface of a route's own token bucket. Each check reads the clock
    itself, because the time of the event that caused it may be long past."""

    def __init__(
        self, shared: SharedState, name: str, clock: Callable[[], int], on_spent: Callable[[str], None]
    ) -> None:
        self._shared = shared
        self._name = name
        self._clock = clock
        self._on_spent = on_spent
        self._reserved = 0.0  # tokens that `has` took and `take` has yet to confirm

    def has(self, now: int, tokens: float = 1.0) -> bool:
        """Reserves the tokens at once, so that no loan can expire unnoticed between the check and the action
        that it allows."""
        budget = self._shared.budgets.get(self._name)
        if budget is None:
            self._reserved = 0.0
            return False
        current_ns = self._clock()
        if self._reserved:
            budget.refund(current_ns, self._reserved)
            self._reserved = 0.0
        if not budget.spend(current_ns, tokens):
            return False
        self._reserved = tokens
        return True

    def take(self, now: int, tokens: float = 1.0) -> bool:
        """Spends the tokens that the latest `has` reserved, or else reserves and spends them."""
        if self._reserved != tokens and not self.has(now, tokens):
            return False
        self._reserved = 0.0
        budget = self._shared.budgets.get(self._name)
        if budget is not None:
            budget.record_spent(tokens)
        self._on_spent(self._name)
        return True

    def earn(self, now: int, tokens: float) -> None:
        """Has no effect: the budget refills at the fleet's rate, not by the requests of a route."""

    def ns_until(self, now: int, tokens: float = 1.0) -> int:
        """Time until `tokens` are available; 0 if they are, or if this node has no such budget."""
        budget = self._shared.budgets.get(self._name)
        return 0 if budget is None else budget.bucket.ns_until(self._clock(), tokens)

    def carry_over(self, previous: object, now: int) -> None:
        """Has no effect: saved tokens belong to the budget, not to the route."""


class Sharing:
    """The shared state of one process. `live_peers`: live nodes that support shared state; `send(to, items)`:
    sends a payload to a node; `write_event(event, **fields)`: writes to the history; `evidence`: set if
    evidence on servers is shared; `tasks`: to be owned by one node at a time; `permits`: set if nodes request
    permits before they are out; `persist_token(token)`: writes the token to disk and then calls
    `token_persisted` or `persist_failed`."""

    def __init__(
        self, specs: Iterable[BudgetSpec], random: Random, clock: Callable[[], int],
        live_peers: Callable[[], list[int]], send: Callable[[int, bytes], None],
        write_event: Callable[..., None], evidence: EvidenceSettings | None = None,
        tasks: Sequence[str] = (), permits: PermitSettings | None = None,
        persist_token: Callable[[int], None] = lambda token: None,
    ) -> None:  # fmt: skip
        self.core = SharedState(specs, random, live_peers)
        self._clock = clock
        self._send = send
        self._write_event = write_event
        self._evidence = evidence
        self._tasks = (*tasks, PERMITS) if permits is not None else tuple(tasks)
        self._permits = permits
        self._persist_token = persist_token
        self._live_peers = live_peers
        self._tokens_by_budget: dict[str, FleetTokens] = {}

    def fleet_tokens(self, name: str) -> FleetTokens:
        """The tokens of the budget of this name, which need not exist yet."""
        if name not in self._tokens_by_budget:
            self._tokens_by_budget[name] = FleetTokens(self.core, name, self._clock, self._record_spend)
        return self._tokens_by_budget[name]

    def _record_spend(self, name: str) -> None:
        self._write_event("spend", budget=name, amount=1.0)

    def open(
        self, own: int, generation: int, count: int, loans_expire_at_ns: int | None = None,
        stored_token: int | None = None,
    ) -> None:  # fmt: skip
        """Takes part as node number `own` of `count`. `loans_expire_at_ns`: when the last loan of the
        previous process expires, None if unknown; `stored_token`: this voter's token on disk, None without a
        disk."""
        self._execute(self.core.open(self._clock(), own, generation, count, loans_expire_at_ns))
        if self._evidence is not None:
            self.core.enable_outlier_detection(self._clock(), *self._evidence)
        if self._evidence is not None or self._tasks:
            self.core.enable_leases(
                self._clock(), self._tasks, lambda: sorted([own, *self._live_peers()]), stored_token
            )
        if self._permits is not None:
            self.core.enable_permits(self._clock(), *self._permits)

    def lease_token(self, task: str) -> int:
        """The token of this node's lease on the task; 0 if it does not own the task now."""
        leases = self.core.leases
        return 0 if leases is None else leases.token(self._clock(), task)

    # Operators' orders.

    def request_permit(self, kind: Kind | None) -> dict[str, Any]:
        """Requests a permit to be out, or with None gives it back; returns a report. Raises NotOwnerError."""
        if self.core.permits is None:
            raise NotOwnerError("no permits here: [tier.permits] in the service file would do")
        self._execute(self.core.request_permit(self._clock(), kind))
        return self._permit_report()

    def _permit_report(self) -> dict[str, Any]:
        assert self.core.permits is not None
        return self.core.permits.report(self._clock(), self.lease_token(PERMITS))

    def hand_over(self, task: str, successor: int) -> int:
        """Hands this node's lease on a task to another node; returns the token that ended. Raises
        NotOwnerError."""
        token = self._owned_token(task)
        if successor not in self._live_peers():
            raise NotOwnerError(f"node {successor} is not among those that live and could have it")
        return self._release_lease(task, token, successor)

    def release_task(self, task: str, token: int) -> int:
        """Releases this node's lease, if it has that token, to the next node that asks; returns the token
        that ended. Raises NotOwnerError."""
        owned_token = self._owned_token(task)
        if owned_token != token:
            raise NotOwnerError(f"the token of {task} is {owned_token}, not {token}")
        return self._release_lease(task, token, -1)

    def _release_lease(self, task: str, token: int, successor: int) -> int:
        self._execute(self.core.release(self._clock(), task, successor))
        return token

    def _owned_token(self, task: str) -> int:
        """Raises NotOwnerError if this node does not own the task."""
        leases = self.core.leases
        if leases is None or task not in leases.tasks:
            raise NotOwnerError(f"no task {task} here")
        token = self.lease_token(task)
        if not token:
            owner = leases.report(self._clock())[task]["owner"]
            raise NotOwnerError(
                f"{task} is not this node's" + ("" if owner is None else f", but node {owner}'s")
            )
        return token

    def raise_token_floor(self, task: str, token: int) -> None:
        """Makes later leases on the task use tokens greater than this one."""
        if self.core.leases is not None:
            self.core.leases.raise_token_floor(task, token)

    def wrap_module(self, module: DecisionModule) -> DecisionModule:
        """Returns the decision module, wrapped in an ObservedModule if evidence on servers is shared."""
        return (
            module if self._evidence is None else ObservedModule(module, lambda: self.core.outlier_detector)
        )

    def token_persisted(self, token: int) -> None:
        """The token is on disk."""
        self._execute(self.core.token_persisted(self._clock(), token))

    def persist_failed(self) -> None:
        """The token could not be written to disk."""
        self.core.persist_failed(self._clock())

    def close(self) -> None:
        """Stops taking part; this process no longer holds its node's number."""
        self.core.close()

    def set_generation(self, generation: int) -> None:
        """The process continues under a later generation."""
        self.core.set_generation(generation)

    def update_specs(self, specs: Iterable[BudgetSpec]) -> None:
        """Replaces the budgets."""
        self._execute(self.core.update_specs(self._clock(), specs))

    def leave(self) -> None:
        """The process is about to shut down as planned: returns loans and leases."""
        self._execute(self.core.leave(self._clock()))

    def wake(self) -> None:
        """To be called at `core.wake_at`."""
        self._execute(self.core.wake(self._clock()))

    def receive_items(self, sender: int, generation: int, items: bytes) -> None:
        """Handles the payload of a datagram from another node."""
        self._execute(self.core.on_datagram(self._clock(), sender, generation, items))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendItems):
                self._send(action.to, action.items)
            elif isinstance(action, PersistToken):
                self._persist_token(action.token)
            else:
                self._write_event(action.event, **action.fields)

    def report(self, servers: Iterable[str] = ()) -> dict[str, Any]:
        """The state as JSON. Rates are in tokens a second. `servers`: names of the servers on the list."""
        now = self._clock()
        budgets = {}
        for name, budget in self.core.budgets.items():
            held_shares, lent_shares = (
                budget.escrow.held_shares(now),
                sum(budget.escrow.lent_shares_by_borrower().values()),
            )
            budgets[name] = {
                "per_s": budget.spec.per_s, "held_per_s": round(held_shares * budget.share_per_s, 6),
                "home_per_s": round(budget.spec.terms.shares * budget.share_per_s, 6),
                "lent_per_s": round(lent_shares * budget.share_per_s, 6),
                "borrowed_per_s": round(
                    sum(loan.shares for _, loan in budget.escrow.borrowed_loans()) * budget.share_per_s, 6
                ),
                "wanted_per_s": round(budget.demand.per_s, 6), "saved": round(budget.bucket.tokens(now), 3),
                **budget.counts,
            }  # fmt: skip
        discarded = {
            f"thrown_{reason}": number for reason, number in sorted(self.core.discarded.items()) if number
        }
        detector = self.core.outlier_detector
        detector_report = {} if detector is None else {
            "state": detector.load_report(now), "held_back": _held_back_report(detector, servers),
            "in_flight": _in_flight_report(detector, now, servers),
        }  # fmt: skip
        leases = self.core.leases
        lease_report = {} if leases is None else {
            "council": list(leases.voters), "silent": leases.is_silent(now), "tasks": leases.report(now),
        }  # fmt: skip
        permit_report = {} if self.core.permits is None else {"permits": self._permit_report()}
        return {
            "budgets": budgets, "counts": discarded, **detector_report, **lease_report, **permit_report,
        }  # fmt: skip


def _in_flight_report(
    detector: OutlierDetector, now: int, servers: Iterable[str]
) -> dict[str, dict[str, int]]:
    names = {server_key(digest(name)): name for name in servers}
    return {
        names.get(server, f"{server:08x}"): counts for server, counts in detector.attempts_report(now).items()
    }


def _held_back_report(detector: OutlierDetector, servers: Iterable[str]) -> list[dict[str, Any]]:
    names = {server_key(digest(name)): name for name in servers}
    return [
        {
            "server": names.get(verdict.server, f"{verdict.server:08x}"),
            "reporters": list(verdict.reporters), "share": round(verdict.failing_share, 3),
        }
        for verdict in detector.held_back.values()
    ]  # fmt: skip
