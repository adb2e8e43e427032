"""Round the decision module: what attempts came to is evidence for the tier, and a server that the tier finds
bad for all is shown as draining. Pure: no I/O, the clock comes in with each event.

The list alone says which servers there are; of what it names ready, some are held back for a while.
"""

from __future__ import annotations

from collections.abc import Callable

from driftstair.tier.shared.evidence import OutlierDetector
from lichenspring import interface as api
from lichenspring.interface import ListKind, Result, ServerState

FAILURES = frozenset((Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CONNECT_FAILED))


def server_key(server: api.ServerId) -> int:
    """Names a server between nodes: as much of its identity as fits a datagram well."""
    return int.from_bytes(server[:4], "big")


class ObservedModule:
    """`judge`: as it is now; None while this process is not that node."""

    def __init__(self, module: api.DecisionModule, judge: Callable[[], OutlierDetector | None]) -> None:
        self._module = module
        self._judge = judge
        self._servers: dict[api.ServerId, api.Server] = {}  # as the list tells them
        self._out: frozenset[int] = frozenset()
        self._open: set[int] = set()  # requests without a final answer

    def start(self, now: int) -> list[api.Action]:
        return self._module.start(now)

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        judge = self._judge()
        if isinstance(event, api.ServerList):
            event = self._follow(event)
        elif judge is not None:
            if isinstance(event, api.Outcome):
                self._note(now, judge, event)
            elif isinstance(event, api.Request):
                self._open.add(event.id)
            elif isinstance(event, api.ClientGone):
                self._open.discard(event.request)
        actions = self._module.handle(now, event)
        if judge is not None:
            for one in actions:
                if isinstance(one, api.Send):
                    judge.observations.on_attempt_sent(server_key(one.server))
            self._open.difference_update(
                one.request for one in actions if isinstance(one, api.Refuse | api.Fail)
            )
            judge.observations.in_flight = len(self._open)
            judge.ready_servers = {
                server_key(one.id) for one in self._servers.values() if one.state is ServerState.READY
            }
        out = frozenset() if judge is None else frozenset(judge.hidden_servers()) & judge.ready_servers
        if out != self._out:
            self._out = out
            shown = tuple(self._shown(one) for one in self._servers.values())
            # The module takes what a node has kept for no news from discovery, and asks on for that.
            actions = actions + self._module.handle(now, api.ServerList(ListKind.CACHED, shown))
        return actions

    def _note(self, now: int, judge: OutlierDetector, outcome: api.Outcome) -> None:
        judge.observations.on_attempt_ended(server_key(outcome.server))
        if outcome.closed:
            self._open.discard(outcome.request)
        if outcome.result is Result.OK or outcome.result in FAILURES:
            judge.observations.record_outcome(
                now, server_key(outcome.server), outcome.result is Result.OK,
                outcome.result is not Result.CONNECT_FAILED, outcome.elapsed,
            )  # fmt: skip

    def _follow(self, event: api.ServerList) -> api.ServerList:
        if event.kind is ListKind.FAILED:
            return event
        if event.kind is not ListKind.DELTA:
            self._servers.clear()
        for one in event.servers:
            if one.state is ServerState.GONE:
                self._servers.pop(one.id, None)
            else:
                self._servers[one.id] = one
        return event._replace(servers=tuple(self._shown(one) for one in event.servers))

    def _shown(self, server: api.Server) -> api.Server:
        held_back = server.state is ServerState.READY and server_key(server.id) in self._out
        return server._replace(state=ServerState.DRAINING) if held_back else server
