"""Builds the fleet of a scenario and plays it: the rehearsal kit's scenarios, at sizes beyond sockets.

Phases and faults are the kit's own code (`rehearsal.faults`), which turns this world as it turns the
other one. What the model does not hold is refused by name before anything is played.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING, Any

from driftstair.model.clients import Clients, Front
from driftstair.model.clock import Clock
from driftstair.model.membership import Membership
from driftstair.model.node import Node
from driftstair.model.server import Server
from driftstair.rehearsal import load, platform
from driftstair.rehearsal import scenario as kit
from driftstair.rehearsal.account import Account
from driftstair.rehearsal.cold import ColdRule
from driftstair.rehearsal.fakes.clients import ClientFigures, Load
from driftstair.rehearsal.fakes.workload import WeightedChoice, Workload
from driftstair.rehearsal.faults import FaultInjector
from driftstair.rehearsal.fleet_figures import box_kind, draw_figures, kinds_in_order
from driftstair.rehearsal.scenario import Scenario
from driftstair.rehearsal.seeds import random_for, seed_for
from driftstair.rehearsal.tier.stage import TierStage
from driftstair.rehearsal.wire import HostState
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.interface import ServerState
from lichenspring.settings import flatten, parse_settings

if TYPE_CHECKING:
    from driftstair.model.peers import Peers

SECOND = 1_000_000_000
READY = SECOND  # clients come so long after the nodes have started
STILL = 2 * SECOND  # a run goes on so long after its last request
NOT_HELD = (
    kit.SilentCrowd, kit.ListMoves, kit.WatchesFallSilent, kit.NodeVanishes, kit.NodeRestarts,
    kit.NodeStalls, kit.NodeStarves,
)  # fmt: skip
STATES = {
    HostState.READY: ServerState.READY, HostState.DRAINING: ServerState.DRAINING,
    HostState.GONE: ServerState.GONE,
}  # fmt: skip

Policy = Callable[[api.Settings, int], api.DecisionModule]


class ModelError(Exception):
    """A scenario that this model can't play: one line that says why."""


@dataclass(slots=True)
class Second:
    """The state at one second of the run."""

    at: int  # ns
    in_flight: int  # requests that servers hold
    busy: float  # mean part of servers' cores in use
    jammed: int
    connections: int
    held_most: int  # by one server


@dataclass(slots=True)
class Outcome:
    """What a run came to."""

    account: Account
    seconds: list[Second] = field(default_factory=list)
    tries: int = 0
    refused: int = 0  # tries
    handshakes: int = 0
    attempts: int = 0
    jams: int = 0
    fallen: list[str] = field(default_factory=list)  # servers pushed over
    list_calls: int = 0
    list_failed: int = 0
    by_node: dict[str, tuple[int, int]] = field(default_factory=dict)  # taken, refused
    bad_tries: int = 0  # attempts at servers while a fault made them fail
    peer_bytes_s: float = 0.0  # that a node sends to others, each second

    def row(self) -> dict[str, Any]:
        whole = self.account.whole
        asked = max(1, whole.asked)
        return {
            "asked": whole.asked, "service": round(whole.service(), 4),
            "by_class": {
                name: round(one.service(), 3) for name, one in sorted(self.account.by_class.items())
            },
            "refused": round(self.refused / max(1, self.tries), 4), "tries": round(self.tries / asked, 3),
            "attempts": round(self.attempts / asked, 3), "handshakes": round(self.handshakes / asked, 3),
            "connections": round(sum(one.connections for one in self.seconds) / max(1, len(self.seconds)), 1),
            "rt50_ms": whole.percentile(0.5), "rt95_ms": whole.percentile(0.95), "jams": self.jams,
            "fallen": len(self.fallen), "list_calls": self.list_calls, "list_failed": self.list_failed,
            "bad_tries": self.bad_tries, "peer_bytes_s": round(self.peer_bytes_s, 1),
        }  # fmt: skip


class World:
    """Also the stage of the kit's faults: its public names are theirs."""

    def __init__(self, of: Scenario, policy: Policy = Balancer) -> None:
        for index, fault in enumerate(of.faults):
            if isinstance(fault, NOT_HELD):
                raise ModelError(f"{of.name}: fault[{index}].kind: {fault.kind} is not held by the model")
        tier = of.nodes.tier
        if tier is not None and (tier.admitted or tier.retries or tier.liars or tier.clock_rates):
            why = "budgets, liars and clocks are not held by the model; judge would do"
            raise ModelError(f"{of.name}: nodes.tier: {why}")
        if of.list.mode != "asked":
            raise ModelError(f"{of.name}: list.mode: the model's list is asked, not {of.list.mode}")
        self.scenario = of
        self.policy = policy
        self.clock = Clock()
        self.seed = of.seed
        self.settings = parse_settings(dict(flatten(platform.settings(of))))
        self.dial_timeout = int(of.nodes.dial_timeout_ms * 1e6)
        self.dial_trips = 1.5
        self.descriptors = of.nodes.descriptors - int(of.clients.connections_share * of.nodes.descriptors)
        self.handshakes = 0
        self.over = False
        self.spans: list[tuple[int, int, str]] = []
        self.events: list[tuple[int, str]] = []
        self.cuts: dict[str, tuple[int, int]] = {}
        self.account = Account()
        self.outcome = Outcome(self.account)
        self._way_random = random_for(self.seed, "network")
        self._policy_generations: dict[str, int] = {}
        self._build()

    def _build(self) -> None:
        of, clock = self.scenario, self.clock
        random = random_for(self.seed, "fleet")
        self.workload = Workload(load.classes(of), random_for(self.seed, "work"))
        kinds = list(self.workload.request_classes.values())
        self.load = Load(of.load.rate, kinds, [one.share for one in load.classes(of)])
        self.node_names = load.node_names(of.nodes.count)
        self.nodes = {name: Node(name, self) for name in self.node_names}
        notice = int(random.uniform(*of.front.notice_s) * SECOND)
        weights = self._weights(random_for(self.seed, "weights"))
        self.front = Front(list(self.nodes.values()), weights, notice, clock, random_for(self.seed, "front"))
        clients, tenants = of.clients, load.tenants(of)
        self.clients = Clients(
            clock, self.front, self.workload,
            ClientFigures(
                retries=clients.retries, try_share=random.uniform(*clients.try_share),
                backoff_s=random.uniform(*clients.backoff_ms) / 1e3, retry_after_share=clients.honour,
                mark_retries=clients.mark_retries, connections_max=1, idle_timeout_s=clients.idle_s,
                answer_grace_s=of.rules.answer_grace_ms / 1e3,
            ),
            WeightedChoice([one.share for one in tenants]), [one.name for one in tenants], of.load.keys,
            of.load.key_skew, self.load, self.account, self._client_way, seed_for(self.seed, "clients"),
        )  # fmt: skip
        self.list_notice = random.uniform(*of.list.notice_s)
        self.silent_notice = random.uniform(*of.list.silent_notice_s)
        self.box_list = Membership(
            clock, of.list.lines_per_s, of.list.call_lines, int(of.list.timeout_ms * 1e6), self.inside
        )
        self.tier: TierStage | None = None
        self.peers: Peers | None = None
        if of.nodes.tier is not None:
            from driftstair.model.peers import Peers

            seed = seed_for(self.seed, "links")
            names = load.box_names(of.boxes.count)
            self.tier = TierStage(of.nodes.tier, self.node_names, seed, names)
            self.peers = Peers(of.nodes.tier, self.node_names, self, self.tier)
        self.boxes: dict[str, Server] = {}
        self._by_id: dict[api.ServerId, Server] = {}
        self._count = 0
        self._width = max(2, len(str(of.boxes.count)))  # of names, as the kit's
        for kind_index in kinds_in_order(self.scenario, random):
            self._make(kind_index)

    def _weights(self, random: Random) -> list[float]:
        """How much of the traffic comes to each node: a part of them sees several times as much."""
        of = self.scenario
        busy = set(random.sample(self.node_names, round(of.front.busy_part * len(self.node_names))))
        return [of.front.busy_times if name in busy else 1.0 for name in self.node_names]

    def _make(self, kind_index: int) -> Server:
        of = self.scenario
        kind = load.kinds(of)[kind_index]
        self._count += 1
        name = f"s-{self._count:0{self._width}d}"
        figures = draw_figures(of, kind, random_for(self.seed, "box", name))
        rule = ColdRule(of.rules.cold_multiple, int(of.rules.cold_window_s * SECOND))
        seed = seed_for(self.seed, "box", name, "chance")
        server = Server(name, self._count, box_kind(kind), kind_index, figures, self.clock, rule, seed)
        self.boxes[name] = server
        self._by_id[server.id] = server
        return server

    # What nodes meet.

    def inside(self) -> int:
        return self._way(self.scenario.network.inside_ms)

    def _client_way(self) -> int:
        return self._way(self.scenario.network.client_ms)

    def _way(self, mean_ms: float) -> int:
        jitter = self.scenario.network.jitter
        return int(mean_ms * 1e6 * (1.0 + jitter * (2.0 * self._way_random.random() - 1.0)))

    def watch(self, node: Node) -> None:
        self.box_list.watch(node)

    def server(self, server: api.ServerId) -> Server | None:
        return self._by_id.get(server)

    # The run.

    def play(self, tick: Callable[[float], None] = lambda _: None) -> Outcome:
        of = self.scenario
        for box in self.boxes.values():
            box.start(cold=False)
            entry = self._entry(box, HostState.READY)
            self.box_list.entries[entry.id] = entry
        for node in self.nodes.values():
            node.known = dict(self.box_list.entries)
            node.start(self._module(node.name))
        self.clock.run(READY)
        self._begin()
        for second in range(int(of.seconds)):
            self.clock.run(READY + (second + 1) * SECOND)
            self._sample()
            tick(second + 1.0)
        self.clock.run(READY + int(of.seconds * SECOND))
        self.clients.stop()
        longest = max(one.given_up_ms for one in load.classes(of)) / 1e3
        self.clock.run(self.clock.now + int((longest + 1.0) * SECOND) + STILL)
        self.over = True
        self.clients.cut_off()
        return self._counted()

    def _begin(self) -> None:
        self.account.origin = self.clock.now
        self.load.phase = self.scenario.phases[0].name if self.scenario.phases else "whole run"
        if self.scenario.phases and self.scenario.phases[0].at_s > 0:
            self.load.phase = "before"
        faults = FaultInjector(self)  # type: ignore[arg-type]
        for phase in self.scenario.phases:
            self.after(phase.at_s, faults.enter_phase, phase)
        for index, fault in enumerate(self.scenario.faults):
            self.after(fault.at_s, faults.begin, fault, index)
        self.clients.start()

    def _sample(self) -> None:
        now = self.clock.now
        running = [box for box in self.boxes.values() if box.running]
        for box in running:
            box.catch_up()
        held = [box.engine.request_count() for box in running]
        count = max(1, len(running))
        self.outcome.seconds.append(
            Second(
                now, sum(held), sum(box.engine.busy_fraction() for box in running) / count,
                sum(box.engine.is_jammed() for box in running), sum(box.open for box in running),
                max(held, default=0),
            )
        )  # fmt: skip

    def _counted(self) -> Outcome:
        out = self.outcome
        out.tries, out.refused, out.handshakes = self.clients.tries, self.clients.refusals, self.handshakes
        boxes = list(self._by_id.values())
        out.attempts = sum(node.attempts for node in self.nodes.values())
        out.jams = sum(box.engine.jam_count for box in boxes if box.generation)
        out.fallen = [box.name for box in boxes if box.fallen]
        out.list_calls, out.list_failed = self.box_list.calls, self.box_list.failed
        out.bad_tries = sum(box.tries_while_bad for box in boxes)
        if self.peers is not None:
            out.peer_bytes_s = self.peers.bytes / len(self.nodes) / (self.clock.now / SECOND)
        out.by_node = {name: (node.taken, node.refused) for name, node in self.nodes.items()}
        return out

    # The stage of the faults.

    def now(self) -> int:
        return self.clock.now

    def after(self, seconds: float, what: Callable[..., None], *args: Any) -> None:
        self.clock.after(int(seconds * SECOND), what, *args)

    def say(self, what: str) -> None:
        self.events.append((self.clock.now, what))

    def _entry(self, box: Server, state: HostState) -> api.Server:
        started = box.started if box.started >= 0 else 0
        return api.Server(box.id, 0, box.cell, STATES[state], 1.0, started, box.kind_index)

    def tell_list(self, box: Server, state: HostState, silent: bool = False) -> None:
        self.box_list.change(self._entry(box, state), self.silent_notice if silent else self.list_notice)

    def _module(self, name: str) -> api.DecisionModule:
        generation = self._policy_generations[name] = self._policy_generations.get(name, 0) + 1
        settings = replace(self.settings, number=self.node_names.index(name))
        module = self.policy(settings, seed_for(self.seed, "node", name, generation))
        return module if self.peers is None else self.peers.start(name, module)

    def kill(self, name: str) -> None:
        node = self.nodes[name]
        if node.running:
            self.say(f"{name} dies")
            node.stop()
            if self.peers is not None:
                self.peers.stop(name)
            self.front.node_dies(node)

    def start_node(self, name: str) -> None:
        node = self.nodes[name]
        if not self.over and not node.running:
            self.say(f"{name} starts again")
            node.start(self._module(name))
            self.front.node_starts(node)

    def _stop(self, box: Server) -> None:
        box.stop()
        for node in self.nodes.values():
            node.server_died(box)

    def box_dies(self, box: Server) -> None:
        if self.boxes.get(box.name) is box:
            self.say(f"box {box.name} dies")
            self._stop(box)
            self.tell_list(box, HostState.GONE)

    def box_starts(self, box: Server) -> None:
        if not self.over and not box.running and self.boxes.get(box.name) is box:
            self.say(f"box {box.name} starts, cold")
            box.start(cold=True)
            self.tell_list(box, HostState.READY)

    def replace(self, box: Server, same_address: bool) -> None:
        """Drains, then is gone, then another one is there."""
        if self.over or not box.running or box.draining or self.boxes.get(box.name) is not box:
            return
        self.say(f"box {box.name} drains")
        box.drain()
        self.tell_list(box, HostState.DRAINING)
        self.after(self.scenario.boxes.grace_s, self._replaced, box)

    def _replaced(self, old: Server) -> None:
        if self.over:
            return
        self._stop(old)
        self.tell_list(old, HostState.GONE)
        del self.boxes[old.name]
        new = self._make(old.kind_index)
        self.say(f"box {old.name} is gone; {new.name} starts")
        new.start(cold=True)
        self.tell_list(new, HostState.READY)
