"""The list of servers: one service of fixed pace for all nodes, late, sometimes out of reach."""

from __future__ import annotations

from collections.abc import Callable

from driftstair.model.clock import Clock
from driftstair.model.node import Node
from lichenspring import interface as api
from lichenspring.interface import ListKind, ServerState

SECOND = 1_000_000_000


class Membership:
    """`call_lines` and the list's own lines cost a call its time, at `lines_per_s`; calls work in turn."""

    def __init__(
        self, clock: Clock, lines_per_s: float, call_lines: float, timeout: int, way: Callable[[], int]
    ) -> None:
        self.extra_lag = 0.0  # s
        self.calls = self.failed = 0
        self.entries: dict[api.ServerId, api.Server] = {}  # as it would tell them now
        self._clock = clock
        self._line = SECOND / lines_per_s
        self._call_lines = call_lines
        self._timeout = timeout
        self._way = way
        self._busy_until = 0
        self._down = False
        self._generations = 0
        self._watching: dict[Node, int] = {}  # by the generation of the node

    def change(self, entry: api.Server, notice: float) -> None:
        """Told `notice` seconds from now, and what it lags behind besides."""
        self._clock.after(int((notice + self.extra_lag) * SECOND), self._tell, entry)

    def _tell(self, entry: api.Server) -> None:
        if entry.state is ServerState.GONE:
            self.entries.pop(entry.id, None)
        else:
            self.entries[entry.id] = entry
        for node, generation in list(self._watching.items()):
            if node.generation == generation and node.running:
                self._clock.after(self._way(), self._deliver, node, generation, ListKind.DELTA, (entry,))
            else:
                del self._watching[node]

    def _deliver(self, node: Node, generation: int, kind: ListKind, servers: tuple[api.Server, ...]) -> None:
        if node.running and node.generation == generation:
            node.listed(kind, servers)

    def watch(self, node: Node) -> None:
        self.calls += 1
        now = self._clock.now
        lines = self._call_lines + len(self.entries)
        ready = max(now, self._busy_until) + int(lines * self._line)
        if self._down or ready - now > self._timeout:
            self.failed += 1
            wait = self._way() if self._down else self._timeout
            self._clock.after(2 * wait, self._deliver, node, node.generation, ListKind.FAILED, ())
            return
        self._busy_until = ready
        self._clock.at(ready, self._begin, node, node.generation, self._generations)

    def _begin(self, node: Node, generation: int, own_generation: int) -> None:
        if self._down or own_generation != self._generations:
            self._deliver(node, generation, ListKind.FAILED, ())
        elif node.running and node.generation == generation:
            self._watching[node] = generation
            self._deliver(node, generation, ListKind.FULL, tuple(self.entries.values()))

    def go_down(self, silent: bool = False) -> None:
        self._down = True
        self._generations += 1
        watching, self._watching = self._watching, {}
        for node, generation in watching.items():
            self._clock.after(self._way(), self._deliver, node, generation, ListKind.FAILED, ())

    def come_up(self) -> None:
        self._down = False
