"""The service that tells all nodes the list of servers: with a delay, a fixed rate, and outages."""

from __future__ import annotations

from collections.abc import Callable

from driftstair.model.clock import Clock
from driftstair.model.node import Node
from lichenspring import interface as api
from lichenspring.interface import ListKind, ServerState

NS_PER_S = 1_000_000_000


class ServerListService:
    """Answers watch calls one after the other, and sends each change of the list to all watching nodes.

    A call takes the time of `call_lines` and of the list's own lines, at `lines_per_s`.
    """

    def __init__(
        self,
        clock: Clock,
        lines_per_s: float,
        call_lines: float,
        timeout_ns: int,
        network_delay_ns: Callable[[], int],
    ) -> None:
        self.extra_lag = 0.0  # s, added to the delay of each change
        self.calls = self.failed_calls = 0
        self.entries: dict[api.ServerId, api.Server] = {}  # the list as a call would return it now
        self._clock = clock
        self._ns_per_line = NS_PER_S / lines_per_s
        self._call_lines = call_lines
        self._timeout_ns = timeout_ns
        self._network_delay_ns = network_delay_ns
        self._busy_until_ns = 0
        self._down = False
        self._outages = 0
        self._watchers: dict[Node, int] = {}  # the generation that each node had when it called

    def publish(self, entry: api.Server, delay_s: float) -> None:
        """Changes an entry of the list `delay_s` from now, plus the present extra lag."""
        self._clock.call_later(int((delay_s + self.extra_lag) * NS_PER_S), self._apply, entry)

    def _apply(self, entry: api.Server) -> None:
        if entry.state is ServerState.GONE:
            self.entries.pop(entry.id, None)
        else:
            self.entries[entry.id] = entry
        for node, generation in list(self._watchers.items()):
            if node.generation == generation and node.running:
                self._clock.call_later(
                    self._network_delay_ns(), self._deliver, node, generation, ListKind.DELTA, (entry,)
                )
            else:
                del self._watchers[node]

    def _deliver(self, node: Node, generation: int, kind: ListKind, servers: tuple[api.Server, ...]) -> None:
        if node.running and node.generation == generation:
            node.on_server_list(kind, servers)

    def watch(self, node: Node) -> None:
        """A call of a node. It fails during an outage, or if its answer would be later than the timeout."""
        self.calls += 1
        now = self._clock.now
        lines = self._call_lines + len(self.entries)
        ready_ns = max(now, self._busy_until_ns) + int(lines * self._ns_per_line)
        if self._down or ready_ns - now > self._timeout_ns:
            self.failed_calls += 1
            delay_ns = self._network_delay_ns() if self._down else self._timeout_ns
            self._clock.call_later(2 * delay_ns, self._deliver, node, node.generation, ListKind.FAILED, ())
            return
        self._busy_until_ns = ready_ns
        self._clock.call_at(ready_ns, self._answer_watch, node, node.generation, self._outages)

    def _answer_watch(self, node: Node, generation: int, outage: int) -> None:
        if self._down or outage != self._outages:
            self._deliver(node, generation, ListKind.FAILED, ())
        elif node.running and node.generation == generation:
            self._watchers[node] = generation
            self._deliver(node, generation, ListKind.FULL, tuple(self.entries.values()))

    def go_down(self, silent: bool = False) -> None:
        """Begins an outage: all watches end, and calls fail."""
        self._down = True
        self._outages += 1
        watchers, self._watchers = self._watchers, {}
        for node, generation in watchers.items():
            self._clock.call_later(
                self._network_delay_ns(), self._deliver, node, generation, ListKind.FAILED, ()
            )

    def come_up(self) -> None:
        """Ends the outage."""
        self._down = False
