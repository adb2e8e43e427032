"""Handles puts of change sets: the leader checks and proposes them, other servers forward them to the leader.

The leader checks each set against the committed state plus all sets that it has proposed before.
"""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple, Protocol

import msgspec

from driftstair.configuration.change_sets import ChangeSet, ChangeSetError, parse_change_set
from driftstair.configuration.state import ConfigurationState
from driftstair.control.checker import ChangeSetChecker
from driftstair.control.http import Request, Response, error_response, json_response
from driftstair.control.http_client import HttpClient
from driftstair.control.lines import ChangeSource
from driftstair.net.kept_connection import CallError

COMMIT_TIMEOUT_S = 3.0  # for a majority; then the client is told that the outcome is unknown
FORWARD_TIMEOUT_S = COMMIT_TIMEOUT_S + 1.0  # for the answer of the leader to a forwarded put
RETRY_AFTER_S = 1
PENDING_PUTS_MAX = 4_096  # further puts are answered 503, and their clients retry
VIOLATIONS_MAX = 100  # in the answer to one change set


class ProposalOutcome(NamedTuple):
    """The outcome of a proposal: its revision, or the status of the response and the reason of the
    refusal."""

    revision: int
    status: int = 200
    why: str = ""


class Proposer(ChangeSource, Protocol):
    """The part of the replica that puts need."""

    @property
    def is_leader(self) -> bool:
        """Whether this server leads and can check proposals."""
        ...

    @property
    def leader_address(self) -> tuple[str, int] | None:
        """The address of the leader; None if this server leads or no leader is known."""

    def propose(self, change_set: ChangeSet) -> asyncio.Future[ProposalOutcome]:
        """Proposes a change set. The outcome may be known immediately."""


class PutHandler:
    """Handles all puts of one server. `on_committed` has to be called for each committed set."""

    def __init__(self, proposer: Proposer) -> None:
        self._proposer = proposer
        self._checker = ChangeSetChecker(proposer.state)
        self._pending: dict[str, _PendingPut] = {}  # by id, in log order
        self._proposal_lock = asyncio.Lock()  # held while a set is checked and proposed

    def __len__(self) -> int:
        return len(self._pending)

    async def put(self, request: Request) -> Response:
        """Handles `POST /configuration/changes`."""
        try:
            change_set = parse_change_set(request.body)
        except ChangeSetError as problem:
            return json_response(
                400, {"violations": [_violation_document("change set", problem.where, problem.why)]}
            )
        if not change_set.created_ms:
            now_ms = time.time_ns() // 1_000_000
            change_set = ChangeSet(change_set.id, change_set.changes, now_ms)
        response = self._committed_response(change_set)
        if response is not None:
            return response
        if self._proposer.is_leader:
            return await self._commit_as_leader(change_set)
        if "forwarded" in request.query:  # two servers may regard each other as leader
            return error_response(503, "this server does not lead", RETRY_AFTER_S)
        return await self._forward(change_set)

    def _committed_response(self, change_set: ChangeSet) -> Response | None:
        """The response for a set whose id is already committed; None if it is not. The content can be
        compared only while the log still holds the revision."""
        revision = self._proposer.state.revision_of(change_set.id)
        if revision is None:
            return None
        if revision > self._proposer.oldest:
            logged = self._proposer.entries(revision - 1, 1)
            if logged and logged[0].change_set.changes != change_set.changes:
                return _id_conflict_response(change_set)
        return json_response(200, {"revision": revision})

    async def _forward(self, change_set: ChangeSet) -> Response:
        address = self._proposer.leader_address
        if address is None:
            return error_response(503, "no leader is known", RETRY_AFTER_S)
        client = HttpClient(address)
        body = msgspec.json.encode(change_set)
        try:
            answer = await client.post("/configuration/changes?forwarded=1", body, FORWARD_TIMEOUT_S)
        except CallError as problem:
            return error_response(503, f"the leader does not answer: {problem}", RETRY_AFTER_S)
        finally:
            client.close()
        return answer if answer.status != 503 else answer._replace(retry_after_s=RETRY_AFTER_S)

    async def _commit_as_leader(self, change_set: ChangeSet) -> Response:
        if len(self._pending) >= PENDING_PUTS_MAX:
            return error_response(503, f"{PENDING_PUTS_MAX:,} change sets wait already", RETRY_AFTER_S)
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S), self._proposal_lock:
                await self._checker.wait_until_built()
                result = self._committed_response(change_set) or self._propose(change_set)
        except TimeoutError:
            return error_response(503, "the configuration is read in, or many puts wait", RETRY_AFTER_S)
        if isinstance(result, Response):
            return result
        try:
            outcome = await asyncio.wait_for(asyncio.shield(result), COMMIT_TIMEOUT_S)
        except TimeoutError:
            why = "no majority has answered; not known whether it is committed: put it again with the same id"
            return error_response(503, why, RETRY_AFTER_S)
        return _outcome_response(outcome)

    def _propose(self, change_set: ChangeSet) -> Response | asyncio.Future[ProposalOutcome]:
        pending = self._pending.get(change_set.id)
        if pending is not None:
            is_same = pending.change_set.changes == change_set.changes
            return pending.outcome if is_same else _id_conflict_response(change_set)
        violations = self._checker.check(change_set)
        if violations:
            documents = [
                _violation_document(str(violation.resource), violation.where, violation.why)
                for violation in violations[:VIOLATIONS_MAX]
            ]
            return json_response(400, {"violations": documents})
        outcome = self._proposer.propose(change_set)
        if not outcome.done():
            self._checker.apply_proposed(change_set)
            self._pending[change_set.id] = _PendingPut(change_set, outcome)
            outcome.add_done_callback(lambda _: self._pending.pop(change_set.id, None))
        return outcome

    def on_resigned(self) -> None:
        """This server no longer leads, so what it proposed may never be committed."""
        self._checker.drop_proposed()

    def on_committed(self, change_set: ChangeSet) -> None:
        """A change set was committed and is applied to the state of the replica."""
        self._checker.apply_committed(change_set)

    def on_restored(self, state: ConfigurationState) -> None:
        """The state of the replica was replaced by a snapshot."""
        self._checker.restore(state)


class _PendingPut(NamedTuple):
    change_set: ChangeSet
    outcome: asyncio.Future[ProposalOutcome]


def _outcome_response(outcome: ProposalOutcome) -> Response:
    if outcome.status == 200:
        return json_response(200, {"revision": outcome.revision})
    retry_after_s = RETRY_AFTER_S if outcome.status == 503 else None
    return error_response(outcome.status, outcome.why, retry_after_s)


def _id_conflict_response(change_set: ChangeSet) -> Response:
    why = f"another change set has the id {change_set.id}; a new id would do"
    return json_response(409, {"violations": [_violation_document("change set", "$.id", why)]})


def _violation_document(resource: str, where: str, why: str) -> dict[str, str]:
    return {"resource": resource, "where": where, "why": why}
