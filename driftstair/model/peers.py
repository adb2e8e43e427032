"""The tier between the modelled nodes: the shipped cores, with datagrams in their real encoding.

A datagram between two nodes takes the network's delay and is subject to the faults of the scenario's links.
What the daemon adds (sockets, folders, operators) is not modelled; the code that decides is the same.
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


class Environment(Protocol):
    """What the tier needs of the world around it."""

    clock: Clock
    seed: int

    def internal_delay_ns(self) -> int:
        """Draws the one-way network delay between two nodes, in ns."""


class Peers:
    """All nodes of a tier. `node_names` are in the order of the nodes' numbers."""

    def __init__(
        self, tier_settings: kit.Tier, node_names: list[str], world: Environment, stage: TierMonitor
    ) -> None:
        self.tier_settings = tier_settings
        self.world = world
        self.node_names = node_names
        self.stage = stage
        self.codec = Codec(TIER_KEY)
        self.bytes_sent = self.datagrams_sent = 0  # by all nodes
        self.running_peers: dict[int, Peer] = {}
        self._generations = dict.fromkeys(range(len(node_names)), 0)

    def start(self, name: str, module: DecisionModule) -> DecisionModule:
        """Starts a new process of the node.

        Returns the module, wrapped in what the other nodes share if the tier shares evidence.
        """
        number = self.node_names.index(name)
        self._generations[number] += 1
        peer = Peer(self, number, 100 + self._generations[number])
        self.running_peers[number] = peer
        peer.start()
        return module if peer.sharing is None else peer.sharing.wrap_module(module)

    def stop(self, name: str) -> None:
        """Kills the node's process."""
        peer = self.running_peers.pop(self.node_names.index(name), None)
        if peer is not None:
            peer.running = False

    def send_datagram(self, source: int, target: int, data: bytes) -> None:
        """Sends a datagram over a link, whose faults may drop, delay, change or repeat it."""
        self.datagrams_sent += 1
        self.bytes_sent += len(data)
        for delay_s, datagram in self.stage.links.deliver(source, target, data):
            delay_ns = self.world.internal_delay_ns() + int(delay_s * 1e9)
            self.world.clock.call_later(delay_ns, self._deliver, source, target, datagram)

    def _deliver(self, source: int, target: int, data: bytes) -> None:
        peer = self.running_peers.get(target)
        if peer is not None:
            peer.receive(source, data)


class Peer:
    """One process of a node."""

    def __init__(self, peers: Peers, number: int, generation: int) -> None:
        self.running = True
        self._peers, self._number, self._generation = peers, number, generation
        self._clock = peers.world.clock
        self._timer_at_ns = NEVER  # time of the next timer on the clock
        self.zone = 0
        shares_evidence = peers.tier_settings.judge
        random = random_for(peers.world.seed, "peer", str(number), str(generation))
        supports = wire.SUPPORTS_MEMBERSHIP | (wire.SUPPORTS_SHARED if shares_evidence else 0)
        self.core = Membership(
            number, len(peers.node_names), generation, Traits(self.zone, wire.VERSION, supports),
            int(peers.tier_settings.period_ms * 1e6), Random(random.random()), wire.MAX_CLAIMS_BYTES,
            wire.claim_size,
        )  # fmt: skip
        self.sharing: Sharing | None = None
        if shares_evidence:
            self.sharing = Sharing(
                (), Random(random.random()), lambda: self._clock.now, self._sharing_members, self._send_items,
                _discard_event, EvidenceSettings(self.zone, self._is_sound, self._zones),
            )  # fmt: skip

    def start(self) -> None:
        if self.sharing is not None:
            self.sharing.open(self._number, self._generation, len(self._peers.node_names))
        self._handle(api.Start())

    def receive(self, source: int, data: bytes) -> None:
        try:
            message = self._peers.codec.decode(data)
        except InvalidDatagram:
            return
        if message.sender_claim.number == source:
            self._handle(api.Received(message))

    def _send_items(self, to: int, items: bytes) -> None:
        self._handle(api.SendPayload(to, items))

    def _handle(self, event: api.Event) -> None:
        for action in self.core.handle(self._clock.now, event):
            if isinstance(action, api.Send):
                self._peers.send_datagram(
                    self._number, action.message.recipient, self._peers.codec.encode(action.message)
                )
            elif isinstance(action, api.PayloadReceived) and self.sharing is not None:
                self.sharing.receive_items(action.sender, action.generation, action.payload)
            elif isinstance(action, api.Superseded) and self.sharing is not None:
                self.sharing.close()
        self._set_timer()

    def _set_timer(self) -> None:
        wake_at_ns = self.core.wake_at
        if self.sharing is not None:
            wake_at_ns = min(wake_at_ns, self.sharing.core.wake_at)
        if wake_at_ns < self._timer_at_ns:
            self._timer_at_ns = wake_at_ns
            self._clock.call_at(wake_at_ns, self._wake, wake_at_ns)

    def _wake(self, wake_at_ns: int) -> None:
        if not self.running or wake_at_ns != self._timer_at_ns:
            return  # superseded by an earlier timer
        self._timer_at_ns = NEVER
        if self.sharing is not None:
            self.sharing.wake()
        if self._clock.now >= self.core.wake_at:
            self._handle(api.Wake())
        else:
            self._set_timer()

    # Callbacks of the shared state.

    def _sharing_members(self) -> list[int]:
        return [
            number
            for number, claim in self.core.live_claims().items()
            if claim.traits.supports & wire.SUPPORTS_SHARED
        ]

    def _is_sound(self) -> bool:
        return not self.core.is_isolated() and self.core.health.score < DEGRADED_HEALTH_SCORE

    def _zones(self) -> dict[int, int]:
        claims = self.core.live_claims().items()
        return {self._number: self.zone} | {number: claim.traits.zone for number, claim in claims}


def _discard_event(event: str, **fields: Any) -> None:
    """Discards an event for the node's history: the model keeps none."""
