"""All-to-all heartbeats, for comparison: each node tells each other one that it lives, once a period, and
holds dead whom it has not heard for some periods. Nobody tells anybody of a third."""

from __future__ import annotations

from driftstair.model.tier.world import SECOND, Host
from driftstair.tier.membership.members import State
from driftstair.tier.wire import MAC_BYTES

# bytes: a version, a seal, a number and a generation, as a tier's datagrams have them
SIZE = 1 + MAC_BYTES + 4 + 5


class Heartbeats:
    """`missed`: periods without a word from a node until it is held dead."""

    def __init__(self, host: Host, count: int, period: float = 1.0, missed: float = 3.0) -> None:
        self.host = host
        self._others = [number for number in range(count) if number != host.number]
        self._period = int(period * SECOND)
        self._missed = int(missed * self._period)
        self._next = 0
        self._held: dict[int, State] = {}
        self._heard: dict[int, int] = {}  # ns

    def start(self) -> None:
        # Each at its own time: drawn by the world, as processes start.
        self._next = self.host.now() + self.host.world.random.randrange(self._period)

    def wake_at(self) -> int:
        return self._next

    def wake(self) -> None:
        now = self.host.now()
        self._next = now + self._period
        for number in self._others:
            self.host.send(number, self.host.number, SIZE)
        for number, heard in self._heard.items():
            if self._held[number] is State.ALIVE and self.gone(number, now - heard):
                self._hold(number, State.DEAD)

    def take(self, datagram: int) -> None:
        now = self.host.now()
        before = self._heard.get(datagram)
        self._heard[datagram] = now
        if before is not None:
            self.gap(datagram, now - before)
        if self._held.get(datagram) is not State.ALIVE:
            self._hold(datagram, State.ALIVE)

    def _hold(self, number: int, state: State) -> None:
        self._held[number] = state
        self.host.held(number, state)

    def gone(self, number: int, silent: int) -> bool:
        """Whether ns without a word are too many."""
        return silent > self._missed

    def gap(self, number: int, ns: int) -> None:
        """Between two words of a node."""

    def dead(self) -> set[int]:
        return {number for number, state in self._held.items() if state is State.DEAD}
