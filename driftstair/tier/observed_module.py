"""A wrapper of the decision module: the outcomes of attempts become evidence for the tier, and a server that
the tier judges failing is presented to the module as draining. Pure: no I/O, and the clock comes in with each
event.

Only the server list decides which servers exist. Some of those that it names ready are held back for a while.
"""

from __future__ import annotations

from collections.abc import Callable

from driftstair.tier.shared.evidence import OutlierDetector
from lichenspring import interface as api
from lichenspring.interface import ListKind, Result, ServerState

FAILED_RESULTS = frozenset((Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CONNECT_FAILED))


def server_key(server: api.ServerId) -> int:
    """The key of a server in datagrams between nodes: the first 4 bytes of its identity, to save space."""
    return int.from_bytes(server[:4], "big")


class ObservedModule:
    """Passes events to a decision module and records evidence. `detector`: returns the current detector, None
    while this process does not hold its node's number."""

    def __init__(self, module: api.DecisionModule, detector: Callable[[], OutlierDetector | None]) -> None:
        self._module = module
        self._detector = detector
        self._servers: dict[api.ServerId, api.Server] = {}  # as stated by the server list
        self._held_back: frozenset[int] = frozenset()
        self._open_requests: set[int] = set()  # ids of requests without a final answer

    def start(self, now: int) -> list[api.Action]:
        """Starts the module."""
        return self._module.start(now)

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Passes an event to the module, and a changed server list if other servers are held back now."""
        detector = self._detector()
        if isinstance(event, api.ServerList):
            event = self._update_servers(event)
        elif detector is not None:
            if isinstance(event, api.Outcome):
                self._record_outcome(now, detector, event)
            elif isinstance(event, api.Request):
                self._open_requests.add(event.id)
            elif isinstance(event, api.ClientGone):
                self._open_requests.discard(event.request)
        actions = self._module.handle(now, event)
        if detector is not None:
            for action in actions:
                if isinstance(action, api.Send):
                    detector.observations.on_attempt_sent(server_key(action.server))
            self._open_requests.difference_update(
                action.request for action in actions if isinstance(action, api.Refuse | api.Fail)
            )
            detector.observations.in_flight = len(self._open_requests)
            detector.ready_servers = {
                server_key(server.id)
                for server in self._servers.values()
                if server.state is ServerState.READY
            }
        held_back = (
            frozenset() if detector is None else frozenset(detector.hidden_servers()) & detector.ready_servers
        )
        if held_back != self._held_back:
            self._held_back = held_back
            presented = tuple(self._present(server) for server in self._servers.values())
            # The module does not take a cached list for an answer of discovery and keeps asking for one.
            actions = actions + self._module.handle(now, api.ServerList(ListKind.CACHED, presented))
        return actions

    def _record_outcome(self, now: int, detector: OutlierDetector, outcome: api.Outcome) -> None:
        detector.observations.on_attempt_ended(server_key(outcome.server))
        if outcome.closed:
            self._open_requests.discard(outcome.request)
        if outcome.result is Result.OK or outcome.result in FAILED_RESULTS:
            detector.observations.record_outcome(
                now, server_key(outcome.server), outcome.result is Result.OK,
                outcome.result is not Result.CONNECT_FAILED, outcome.elapsed,
            )  # fmt: skip

    def _update_servers(self, event: api.ServerList) -> api.ServerList:
        """Stores a server list and returns it as the module is to see it."""
        if event.kind is ListKind.FAILED:
            return event
        if event.kind is not ListKind.DELTA:
            self._servers.clear()
        for server in event.servers:
            if server.state is ServerState.GONE:
                self._servers.pop(server.id, None)
            else:
                self._servers[server.id] = server
        return event._replace(servers=tuple(self._present(server) for server in event.servers))

    def _present(self, server: api.Server) -> api.Server:
        """Returns the server as the module is to see it: as draining while it is held back."""
        is_held_back = server.state is ServerState.READY and server_key(server.id) in self._held_back
        return server._replace(state=ServerState.DRAINING) if is_held_back else server
