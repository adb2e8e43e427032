"""Change sets on their way into the log: checked at the leader, passed on to it by all others.

The leader checks each set against the state with all sets before it that it has proposed, committed or not.
"""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple, Protocol

import msgspec

from driftstair.configuration.change_sets import ChangeSet, ChangeSetError, parse_change_set
from driftstair.configuration.state import ConfigurationState
from driftstair.control.checker import Checker
from driftstair.control.http import Request, Response, error_response, json_response
from driftstair.control.http_client import HttpClient
from driftstair.control.lines import ChangeSource
from driftstair.net.kept_connection import CallError

COMMIT_S_MAX = 3.0  # s that a put waits for its majority before its client is told that it is not known
FORWARD_S_MAX = COMMIT_S_MAX + 1.0  # s that the leader's answer is waited for
RETRY_AFTER_S = 1
PENDING_MAX = 4_096  # puts at once; the client of one beyond it comes again
VIOLATIONS_MAX = 100  # told of one change set


class Outcome(NamedTuple):
    """What became of a proposal: its revision, or why it is refused with the answer's status."""

    revision: int
    status: int = 200
    why: str = ""


class Proposer(ChangeSource, Protocol):
    """The replica, as puts need it."""

    @property
    def is_leader(self) -> bool: ...

    @property
    def leader_address(self) -> tuple[str, int] | None:
        """Whoever leads, if it is another server that is known."""

    def propose(self, change_set: ChangeSet) -> asyncio.Future[Outcome]:
        """The outcome may be there at once."""


class Puts:
    """All puts of one server. Told of each committed set by `on_committed`."""

    def __init__(self, proposer: Proposer) -> None:
        self._proposer = proposer
        self._checker = Checker(proposer.state)
        self._pending: dict[str, _Pending] = {}  # by id, in the order of the log
        self._turn = asyncio.Lock()  # of whoever checks and proposes

    def __len__(self) -> int:
        return len(self._pending)

    async def put(self, request: Request) -> Response:
        """Answers a `POST /configuration/changes`."""
        try:
            change_set = parse_change_set(request.body)
        except ChangeSetError as problem:
            return json_response(400, {"violations": [_violation("change set", problem.where, problem.why)]})
        if not change_set.created_ms:
            now_ms = time.time_ns() // 1_000_000
            change_set = ChangeSet(change_set.id, change_set.changes, now_ms)
        known = self._known(change_set)
        if known is not None:
            return known
        if self._proposer.is_leader:
            return await self._put_here(change_set)
        if "forwarded" in request.query:  # two servers that take each other for the leader
            return error_response(503, "this server does not lead", RETRY_AFTER_S)
        return await self._forward(change_set)

    def _known(self, change_set: ChangeSet) -> Response | None:
        """The answer to a set that is committed already."""
        revision = self._proposer.state.revision_of(change_set.id)
        if revision is None:
            return None
        if revision > self._proposer.oldest:
            logged = self._proposer.entries(revision - 1, 1)
            if logged and logged[0].change_set.changes != change_set.changes:
                return _other_content(change_set)
        return json_response(200, {"revision": revision})

    async def _forward(self, change_set: ChangeSet) -> Response:
        address = self._proposer.leader_address
        if address is None:
            return error_response(503, "no leader is known", RETRY_AFTER_S)
        client = HttpClient(address)
        body = msgspec.json.encode(change_set)
        try:
            answer = await client.post("/configuration/changes?forwarded=1", body, FORWARD_S_MAX)
        except CallError as problem:
            return error_response(503, f"the leader does not answer: {problem}", RETRY_AFTER_S)
        finally:
            client.close()
        return answer if answer.status != 503 else answer._replace(retry_after_s=RETRY_AFTER_S)

    async def _put_here(self, change_set: ChangeSet) -> Response:
        if len(self._pending) >= PENDING_MAX:
            return error_response(503, f"{PENDING_MAX:,} change sets wait already", RETRY_AFTER_S)
        try:
            async with asyncio.timeout(COMMIT_S_MAX), self._turn:
                await self._checker.wait_until_built()
                answer = self._known(change_set) or self._propose(change_set)
        except TimeoutError:
            return error_response(503, "the configuration is read in, or many puts wait", RETRY_AFTER_S)
        if isinstance(answer, Response):
            return answer
        try:
            outcome = await asyncio.wait_for(asyncio.shield(answer), COMMIT_S_MAX)
        except TimeoutError:
            why = "no majority has answered; not known whether it is committed: put it again with the same id"
            return error_response(503, why, RETRY_AFTER_S)
        return _answer(outcome)

    def _propose(self, change_set: ChangeSet) -> Response | asyncio.Future[Outcome]:
        pending = self._pending.get(change_set.id)
        if pending is not None:
            same = pending.change_set.changes == change_set.changes
            return pending.outcome if same else _other_content(change_set)
        violations = self._checker.check(change_set)
        if violations:
            found = [_violation(str(one.resource), one.where, one.why) for one in violations[:VIOLATIONS_MAX]]
            return json_response(400, {"violations": found})
        outcome = self._proposer.propose(change_set)
        if not outcome.done():
            self._checker.apply_proposed(change_set)
            self._pending[change_set.id] = _Pending(change_set, outcome)
            outcome.add_done_callback(lambda _: self._pending.pop(change_set.id, None))
        return outcome

    def on_resigned(self) -> None:
        """This server leads no more: what it proposed may never be committed."""
        self._checker.drop_proposed()

    def on_committed(self, change_set: ChangeSet) -> None:
        """The replica's state has it now."""
        self._checker.apply_committed(change_set)

    def on_restored(self, state: ConfigurationState) -> None:
        """The replica has another state."""
        self._checker.restore(state)


class _Pending(NamedTuple):
    change_set: ChangeSet
    outcome: asyncio.Future[Outcome]


def _answer(outcome: Outcome) -> Response:
    if outcome.status == 200:
        return json_response(200, {"revision": outcome.revision})
    retry_after_s = RETRY_AFTER_S if outcome.status == 503 else None
    return error_response(outcome.status, outcome.why, retry_after_s)


def _other_content(change_set: ChangeSet) -> Response:
    why = f"another change set has the id {change_set.id}; a new id would do"
    return json_response(409, {"violations": [_violation("change set", "$.id", why)]})


def _violation(resource: str, where: str, why: str) -> dict[str, str]:
    return {"resource": resource, "where": where, "why": why}
