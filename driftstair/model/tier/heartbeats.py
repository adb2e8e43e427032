"""All-to-all heartbeats, for comparison.

Each node sends a heartbeat to every other node once a period, and holds a node dead that it has not heard
from for some periods. Nodes exchange nothing about third nodes.
"""

from __future__ import annotations

from driftstair.model.tier.world import NS_PER_S, Host
from driftstair.tier.membership.members import State
from driftstair.tier.wire import MAC_BYTES

# A version, an authentication code, a node number and a generation, as in the tier's datagrams.
HEARTBEAT_BYTES = 1 + MAC_BYTES + 4 + 5


class Heartbeats:
    """`missed_periods`: periods without a heartbeat from a node until it is held dead."""

    def __init__(self, host: Host, count: int, period: float = 1.0, missed_periods: float = 3.0) -> None:
        self.host = host
        self._others = [number for number in range(count) if number != host.number]
        self._period_ns = int(period * NS_PER_S)
        self._timeout_ns = int(missed_periods * self._period_ns)
        self._next_wake_ns = 0
        self._states: dict[int, State] = {}
        self._last_heard_ns: dict[int, int] = {}

    def start(self) -> None:
        # Drawn from the world's generator, so that the nodes' heartbeats are not in phase.
        self._next_wake_ns = self.host.now() + self.host.world.random.randrange(self._period_ns)

    def wake_at(self) -> int:
        return self._next_wake_ns

    def wake(self) -> None:
        now = self.host.now()
        self._next_wake_ns = now + self._period_ns
        for number in self._others:
            self.host.send(number, self.host.number, HEARTBEAT_BYTES)
        for number, heard_ns in self._last_heard_ns.items():
            if self._states[number] is State.ALIVE and self.is_overdue(number, now - heard_ns):
                self._set_state(number, State.DEAD)

    def receive(self, datagram: int) -> None:
        now = self.host.now()
        previous_ns = self._last_heard_ns.get(datagram)
        self._last_heard_ns[datagram] = now
        if previous_ns is not None:
            self.record_gap(datagram, now - previous_ns)
        if self._states.get(datagram) is not State.ALIVE:
            self._set_state(datagram, State.ALIVE)

    def _set_state(self, number: int, state: State) -> None:
        self._states[number] = state
        self.host.report_state(number, state)

    def is_overdue(self, number: int, silence_ns: int) -> bool:
        """Whether a node that has been silent for so long is to be held dead."""
        return silence_ns > self._timeout_ns

    def record_gap(self, number: int, gap_ns: int) -> None:
        """Called with the time between two consecutive heartbeats of a node."""

    def dead(self) -> set[int]:
        return {number for number, state in self._states.items() if state is State.DEAD}
