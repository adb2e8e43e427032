"""Shared state in the daemon: between its core, the tier's datagrams, and routes that spend on budgets."""

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
    """Of a node that shares judgements: its zone, whether it may speak, the zones of those that live."""

    zone: int
    sound: Callable[[], bool]
    zones: Callable[[], dict[int, int]]


class PermitSettings(NamedTuple):
    """Of a node that asks before it is out: the fleet's rules, and generation and zone of those that live."""

    rules: Rules
    living: Callable[[], LiveNodes]


class NotOwnerError(Exception):
    """An order on a task that this node can't carry out; the text says why."""


class FleetTokens:
    """A budget of the fleet for a route, asked as a bucket of its own would be. Each check reads the clock
    itself, since the time that an event came with may be long past."""

    def __init__(
        self, shared: SharedState, name: str, clock: Callable[[], int], spent: Callable[[str], None]
    ) -> None:
        self._shared = shared
        self._name = name
        self._clock = clock
        self._spent = spent
        self._kept = 0.0  # tokens taken by `has`, which `take` is about to confirm

    def has(self, now: int, tokens: float = 1.0) -> bool:
        """Takes them out at once: between a check and what is done by it no loan may end unseen."""
        budget = self._shared.budgets.get(self._name)
        if budget is None:
            self._kept = 0.0
            return False
        at = self._clock()
        if self._kept:
            budget.refund(at, self._kept)
            self._kept = 0.0
        if not budget.spend(at, tokens):
            return False
        self._kept = tokens
        return True

    def take(self, now: int, tokens: float = 1.0) -> bool:
        if self._kept != tokens and not self.has(now, tokens):
            return False
        self._kept = 0.0
        budget = self._shared.budgets.get(self._name)
        if budget is not None:
            budget.record_spent(tokens)
        self._spent(self._name)
        return True

    def earn(self, now: int, tokens: float) -> None:
        """It is told by the fleet's rate, not by what a route carries."""

    def ns_until(self, now: int, tokens: float = 1.0) -> int:
        budget = self._shared.budgets.get(self._name)
        return 0 if budget is None else budget.bucket.ns_until(self._clock(), tokens)

    def carry_over(self, other: object, now: int) -> None:
        """What is saved up is the budget's."""


class Sharing:
    """`carry(to, items)`; `write(event, **fields)`; `others`: living nodes that understand this; `speaks`:
    where judgements on servers are shared; `permitted`: where nodes ask before they are out;
    `keep(token)`: puts it on the disk and then calls `token_persisted`, or `persist_failed`."""

    def __init__(
        self, specs: Iterable[BudgetSpec], random: Random, clock: Callable[[], int],
        others: Callable[[], list[int]], carry: Callable[[int, bytes], None], write: Callable[..., None],
        speaks: EvidenceSettings | None = None, tasks: Sequence[str] = (),
        permitted: PermitSettings | None = None, keep: Callable[[int], None] = lambda token: None,
    ) -> None:  # fmt: skip
        self.core = SharedState(specs, random, others)
        self._clock = clock
        self._carry = carry
        self._write = write
        self._speaks = speaks
        self._tasks = (*tasks, PERMITS) if permitted is not None else tuple(tasks)
        self._permitted = permitted
        self._keep = keep
        self._others = others
        self._tokens: dict[str, FleetTokens] = {}

    def tokens(self, name: str) -> FleetTokens:
        if name not in self._tokens:
            self._tokens[name] = FleetTokens(self.core, name, self._clock, self._spent)
        return self._tokens[name]

    def _spent(self, name: str) -> None:
        self._write("spend", budget=name, amount=1.0)

    def open(
        self, own: int, generation: int, count: int, lent_until: int | None = None, token: int | None = None
    ) -> None:
        """`token`: that of this voter on the disk; None: it has no disk."""
        self._do(self.core.open(self._clock(), own, generation, count, lent_until))
        if self._speaks is not None:
            self.core.enable_outlier_detection(self._clock(), *self._speaks)
        if self._speaks is not None or self._tasks:
            self.core.enable_leases(self._clock(), self._tasks, lambda: sorted([own, *self._others()]), token)
        if self._permitted is not None:
            self.core.enable_permits(self._clock(), *self._permitted)

    def token(self, task: str) -> int:
        """To act with now; 0: the task is not this node's."""
        leases = self.core.leases
        return 0 if leases is None else leases.token(self._clock(), task)

    # What operators order.

    def request_permit(self, kind: Kind | None) -> dict[str, Any]:
        """A permit to be out, or (None) none any more; what stands. Raises NotOwnerError."""
        if self.core.permits is None:
            raise NotOwnerError("no permits here: [tier.permits] in the service file would do")
        self._do(self.core.request_permit(self._clock(), kind))
        return self._permits()

    def _permits(self) -> dict[str, Any]:
        assert self.core.permits is not None
        return self.core.permits.report(self._clock(), self.token(PERMITS))

    def hand_over(self, task: str, heir: int) -> int:
        """This node's lease on a task to another; the token that is over. Raises NotOwnerError."""
        token = self._owned(task)
        if heir not in self._others():
            raise NotOwnerError(f"node {heir} is not among those that live and could have it")
        return self._release(task, token, heir)

    def release_task(self, task: str, token: int) -> int:
        """This node's lease to whoever asks next, where it has that token. Raises NotOwnerError."""
        held = self._owned(task)
        if held != token:
            raise NotOwnerError(f"the token of {task} is {held}, not {token}")
        return self._release(task, token, -1)

    def _release(self, task: str, token: int, heir: int) -> int:
        self._do(self.core.release(self._clock(), task, heir))
        return token

    def _owned(self, task: str) -> int:
        leases = self.core.leases
        if leases is None or task not in leases.tasks:
            raise NotOwnerError(f"no task {task} here")
        token = self.token(task)
        if not token:
            owner = leases.report(self._clock())[task]["owner"]
            raise NotOwnerError(
                f"{task} is not this node's" + ("" if owner is None else f", but node {owner}'s")
            )
        return token

    def floor(self, task: str, token: int) -> None:
        if self.core.leases is not None:
            self.core.leases.raise_token_floor(task, token)

    def wrap_module(self, module: DecisionModule) -> DecisionModule:
        """The decision module, watched and told on where judgements are shared."""
        return module if self._speaks is None else ObservedModule(module, lambda: self.core.outlier_detector)

    def token_persisted(self, token: int) -> None:
        self._do(self.core.token_persisted(self._clock(), token))

    def persist_failed(self) -> None:
        self.core.persist_failed(self._clock())

    def close(self) -> None:
        self.core.close()

    def set_generation(self, generation: int) -> None:
        self.core.set_generation(generation)

    def update_specs(self, specs: Iterable[BudgetSpec]) -> None:
        self._do(self.core.update_specs(self._clock(), specs))

    def leave(self) -> None:
        self._do(self.core.leave(self._clock()))

    def wake(self) -> None:
        self._do(self.core.wake(self._clock()))

    def heard(self, sender: int, generation: int, items: bytes) -> None:
        self._do(self.core.on_datagram(self._clock(), sender, generation, items))

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendItems):
                self._carry(action.to, action.items)
            elif isinstance(action, PersistToken):
                self._keep(action.token)
            else:
                self._write(action.event, **action.fields)

    def report(self, servers: Iterable[str] = ()) -> dict[str, Any]:
        """As JSON. Rates are tokens a second. `servers`: names of those that the list tells of."""
        now = self._clock()
        budgets = {}
        for name, one in self.core.budgets.items():
            held, lent = one.escrow.held_shares(now), sum(one.escrow.lent_shares_by_borrower().values())
            budgets[name] = {
                "per_s": one.spec.per_s, "held_per_s": round(held * one.share_per_s, 6),
                "home_per_s": round(one.spec.terms.shares * one.share_per_s, 6),
                "lent_per_s": round(lent * one.share_per_s, 6),
                "borrowed_per_s": round(
                    sum(loan.shares for _, loan in one.escrow.borrowed_loans()) * one.share_per_s, 6
                ),
                "wanted_per_s": round(one.demand.per_s, 6), "saved": round(one.bucket.tokens(now), 3),
                **one.counts,
            }  # fmt: skip
        thrown = {f"thrown_{why}": number for why, number in sorted(self.core.discarded.items()) if number}
        judge = self.core.outlier_detector
        judged = {} if judge is None else {
            "state": judge.load_report(now), "held_back": _named(judge, servers),
            "in_flight": _flight(judge, now, servers),
        }  # fmt: skip
        leases = self.core.leases
        led = {} if leases is None else {
            "council": list(leases.voters), "silent": leases.is_silent(now), "tasks": leases.report(now),
        }  # fmt: skip
        permits = {} if self.core.permits is None else {"permits": self._permits()}
        return {"budgets": budgets, "counts": thrown, **judged, **led, **permits}


def _flight(judge: OutlierDetector, now: int, servers: Iterable[str]) -> dict[str, dict[str, int]]:
    names = {server_key(digest(one)): one for one in servers}
    return {names.get(server, f"{server:08x}"): one for server, one in judge.attempts_report(now).items()}


def _named(judge: OutlierDetector, servers: Iterable[str]) -> list[dict[str, Any]]:
    names = {server_key(digest(one)): one for one in servers}
    return [
        {
            "server": names.get(one.server, f"{one.server:08x}"), "reporters": list(one.reporters),
            "share": round(one.failing_share, 3),
        }
        for one in judge.held_back.values()
    ]  # fmt: skip
