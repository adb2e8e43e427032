"""What nodes of the model tell one another: the shipped cores of the tier, in datagrams as they are encoded.

Between two nodes a datagram takes the network's way, and meets the faults of the scenario's links. What the
daemon adds (sockets, folders, operators) is left out; what it decides is the same code.
"""

from __future__ import annotations

from random import Random
from typing import Any, Protocol

from driftstair.model.clock import Clock
from driftstair.rehearsal import scenario as kit
from driftstair.rehearsal.seeds import random_for
from driftstair.rehearsal.tier.stage import TIER_KEY, TierMonitor
from driftstair.tier import wire
from driftstair.tier.membership import events as api
from driftstair.tier.membership.core import NEVER, Membership
from driftstair.tier.membership.members import Traits
from driftstair.tier.service import DEGRADED_HEALTH_SCORE
from driftstair.tier.sharing import EvidenceSettings, Sharing
from driftstair.tier.wire import Codec, InvalidDatagram
from lichenspring.interface import DecisionModule


class Surroundings(Protocol):
    clock: Clock
    seed: int

    def inside(self) -> int:
        """ns, one way between two nodes."""


class Peers:
    """All nodes of a tier; `names` by number."""

    def __init__(self, of: kit.Tier, names: list[str], world: Surroundings, stage: TierMonitor) -> None:
        self.of = of
        self.world = world
        self.names = names
        self.stage = stage
        self.codec = Codec(TIER_KEY)
        self.bytes = self.datagrams = 0  # sent
        self.living: dict[int, Peer] = {}
        self._generations = dict.fromkeys(range(len(names)), 0)

    def start(self, name: str, module: DecisionModule) -> DecisionModule:
        """A new process of that node, with what it is told by the others round its module."""
        number = self.names.index(name)
        self._generations[number] += 1
        peer = Peer(self, number, 100 + self._generations[number])
        self.living[number] = peer
        peer.start()
        return module if peer.sharing is None else peer.sharing.wrap_module(module)

    def stop(self, name: str) -> None:
        """Killed."""
        peer = self.living.pop(self.names.index(name), None)
        if peer is not None:
            peer.running = False

    def carry(self, source: int, target: int, data: bytes) -> None:
        self.datagrams += 1
        self.bytes += len(data)
        for late, what in self.stage.links.deliver(source, target, data):
            wait = self.world.inside() + int(late * 1e9)
            self.world.clock.after(wait, self._arrive, source, target, what)

    def _arrive(self, source: int, target: int, data: bytes) -> None:
        peer = self.living.get(target)
        if peer is not None:
            peer.came(source, data)


class Peer:
    """One process."""

    def __init__(self, peers: Peers, number: int, generation: int) -> None:
        self.running = True
        self._peers, self._number, self._generation = peers, number, generation
        self._clock = peers.world.clock
        self._due = NEVER  # what the clock has been asked for
        self.zone = 0
        shares = peers.of.judge
        random = random_for(peers.world.seed, "peer", str(number), str(generation))
        supports = wire.SUPPORTS_MEMBERSHIP | (wire.SUPPORTS_SHARED if shares else 0)
        self.core = Membership(
            number, len(peers.names), generation, Traits(self.zone, wire.VERSION, supports),
            int(peers.of.period_ms * 1e6), Random(random.random()), wire.MAX_CLAIMS_BYTES, wire.claim_size,
        )  # fmt: skip
        self.sharing: Sharing | None = None
        if shares:
            self.sharing = Sharing(
                (), Random(random.random()), lambda: self._clock.now, self._sharers, self._carry,
                _unwritten, EvidenceSettings(self.zone, self._sound, self._zones),
            )  # fmt: skip

    def start(self) -> None:
        if self.sharing is not None:
            self.sharing.open(self._number, self._generation, len(self._peers.names))
        self._tell(api.Start())

    def came(self, source: int, data: bytes) -> None:
        try:
            message = self._peers.codec.decode(data)
        except InvalidDatagram:
            return
        if message.sender_claim.number == source:
            self._tell(api.Received(message))

    def _carry(self, to: int, items: bytes) -> None:
        self._tell(api.SendPayload(to, items))

    def _tell(self, event: api.Event) -> None:
        for action in self.core.handle(self._clock.now, event):
            if isinstance(action, api.Send):
                self._peers.carry(
                    self._number, action.message.recipient, self._peers.codec.encode(action.message)
                )
            elif isinstance(action, api.PayloadReceived) and self.sharing is not None:
                self.sharing.heard(action.sender, action.generation, action.payload)
            elif isinstance(action, api.Superseded) and self.sharing is not None:
                self.sharing.close()
        self._set_timer()

    def _set_timer(self) -> None:
        wanted = self.core.wake_at
        if self.sharing is not None:
            wanted = min(wanted, self.sharing.core.wake_at)
        if wanted < self._due:
            self._due = wanted
            self._clock.at(wanted, self._wake, wanted)

    def _wake(self, due: int) -> None:
        if not self.running or due != self._due:
            return  # another wish came before it
        self._due = NEVER
        if self.sharing is not None:
            self.sharing.wake()
        if self._clock.now >= self.core.wake_at:
            self._tell(api.Wake())
        else:
            self._set_timer()

    # What the shared state asks.

    def _sharers(self) -> list[int]:
        return [
            number
            for number, one in self.core.live_claims().items()
            if one.traits.supports & wire.SUPPORTS_SHARED
        ]

    def _sound(self) -> bool:
        return not self.core.is_isolated() and self.core.health.score < DEGRADED_HEALTH_SCORE

    def _zones(self) -> dict[int, int]:
        known = self.core.live_claims().items()
        return {self._number: self.zone} | {number: one.traits.zone for number, one in known}


def _unwritten(event: str, **fields: Any) -> None:
    """The model keeps no histories."""
