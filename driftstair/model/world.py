"""Builds the fleet of a scenario and runs it: the rehearsal kit's scenarios, at sizes beyond sockets.

Phases and faults are applied by the kit's own code (`rehearsal.faults`), as to the kit's own fleet. Faults
and settings that the model does not support are rejected by name before the run.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING, Any

from driftstair.model.clients import Clients, Front
from driftstair.model.clock import Clock
from driftstair.model.membership import ServerListService
from driftstair.model.node import Node
from driftstair.model.server import Server
from driftstair.rehearsal import load, platform
from driftstair.rehearsal import scenario as kit
from driftstair.rehearsal.account import Account
from driftstair.rehearsal.cold import ColdRule
from driftstair.rehearsal.fakes.clients import ClientFigures, Load
from driftstair.rehearsal.fakes.workload import WeightedChoice, Workload
from driftstair.rehearsal.faults import FaultInjector
from driftstair.rehearsal.fleet_figures import box_kind, draw_figures, draw_kind_order
from driftstair.rehearsal.scenario import Scenario
from driftstair.rehearsal.seeds import random_for, seed_for
from driftstair.rehearsal.tier.stage import TierMonitor
from driftstair.rehearsal.wire import HostState
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.interface import ServerState
from lichenspring.settings import flatten, parse_settings

if TYPE_CHECKING:
    from driftstair.model.peers import Peers

NS_PER_S = 1_000_000_000
START_DELAY_NS = NS_PER_S  # from the nodes' start to the first request
SETTLE_TIME_NS = 2 * NS_PER_S  # from the end of the last request to the end of the run
UNSUPPORTED_FAULTS = (
    kit.SilentCrowd, kit.ListMoves, kit.WatchesFallSilent, kit.NodeVanishes, kit.NodeRestarts,
    kit.NodeStalls, kit.NodeStarves,
)  # fmt: skip
SERVER_STATES = {
    HostState.READY: ServerState.READY, HostState.DRAINING: ServerState.DRAINING,
    HostState.GONE: ServerState.GONE,
}  # fmt: skip

Policy = Callable[[api.Settings, int], api.DecisionModule]  # settings, seed


class ModelError(Exception):
    """A scenario that the model can't run; the text is one line with the reason."""


@dataclass(slots=True)
class SecondSample:
    """The state at the end of one second of the run."""

    at: int  # ns
    in_flight: int  # requests at servers
    busy: float  # mean fraction of the servers' cores in use
    jammed: int  # servers
    connections: int
    held_most: int  # the most requests at one server


@dataclass(slots=True)
class Outcome:
    """The results of a run."""

    account: Account
    seconds: list[SecondSample] = field(default_factory=list)
    tries: int = 0
    refused: int = 0  # tries answered with a refusal
    handshakes: int = 0
    attempts: int = 0  # of nodes at servers
    jams: int = 0
    fallen: list[str] = field(default_factory=list)  # cold servers that crashed from overload
    list_calls: int = 0
    list_failed: int = 0
    by_node: dict[str, tuple[int, int]] = field(default_factory=dict)  # requests received, refused
    bad_tries: int = 0  # attempts at servers while a fault made them fail
    peer_bytes_s: float = 0.0  # sent by a node to other nodes, on average

    def row(self) -> dict[str, Any]:
        """Returns the figures as the report has them."""
        whole = self.account.total
        first_tries = max(1, whole.requests)
        return {
            "asked": whole.requests, "service": round(whole.service(), 4),
            "by_class": {
                name: round(figures.service(), 3) for name, figures in sorted(self.account.by_class.items())
            },
            "refused": round(self.refused / max(1, self.tries), 4),
            "tries": round(self.tries / first_tries, 3),
            "attempts": round(self.attempts / first_tries, 3),
            "handshakes": round(self.handshakes / first_tries, 3),
            "connections": round(
                sum(sample.connections for sample in self.seconds) / max(1, len(self.seconds)), 1
            ),
            "rt50_ms": whole.percentile(0.5), "rt95_ms": whole.percentile(0.95), "jams": self.jams,
            "fallen": len(self.fallen), "list_calls": self.list_calls, "list_failed": self.list_failed,
            "bad_tries": self.bad_tries, "peer_bytes_s": round(self.peer_bytes_s, 1),
        }  # fmt: skip


class World:
    """The modelled fleet of a scenario. The kit's faults act on it through its public names."""

    def __init__(self, scenario: Scenario, policy: Policy = Balancer) -> None:
        for index, fault in enumerate(scenario.faults):
            if isinstance(fault, UNSUPPORTED_FAULTS):
                raise ModelError(
                    f"{scenario.name}: fault[{index}].kind: {fault.kind} is not held by the model"
                )
        tier = scenario.nodes.tier
        if tier is not None and (tier.admitted or tier.retries or tier.liars or tier.clock_rates):
            reason = "budgets, liars and clocks are not held by the model; judge would do"
            raise ModelError(f"{scenario.name}: nodes.tier: {reason}")
        if scenario.list.mode != "asked":
            raise ModelError(
                f"{scenario.name}: list.mode: the model's list is asked, not {scenario.list.mode}"
            )
        self.scenario = scenario
        self.policy = policy
        self.clock = Clock()
        self.seed = scenario.seed
        self.settings = parse_settings(dict(flatten(platform.settings(scenario))))
        self.dial_timeout_ns = int(scenario.nodes.dial_timeout_ms * 1e6)
        self.connect_round_trips = 1.5
        self.max_sockets = scenario.nodes.descriptors - int(
            scenario.clients.connections_share * scenario.nodes.descriptors
        )
        self.handshakes = 0
        self.finished = False
        self.fault_spans: list[tuple[int, int, str]] = []
        self.events: list[tuple[int, str]] = []
        self.network_cuts: dict[str, tuple[int, int]] = {}
        self.account = Account()
        self.outcome = Outcome(self.account)
        self._network_random = random_for(self.seed, "network")
        self._node_generations: dict[str, int] = {}
        self._build()

    def _build(self) -> None:
        scenario, clock = self.scenario, self.clock
        random = random_for(self.seed, "fleet")
        self.workload = Workload(load.classes(scenario), random_for(self.seed, "work"))
        kinds = list(self.workload.request_classes.values())
        self.load = Load(
            scenario.load.rate, kinds, [request_class.share for request_class in load.classes(scenario)]
        )
        self.node_names = load.node_names(scenario.nodes.count)
        self.nodes = {name: Node(name, self) for name in self.node_names}
        detection_delay_ns = int(random.uniform(*scenario.front.notice_s) * NS_PER_S)
        weights = self._node_weights(random_for(self.seed, "weights"))
        self.front = Front(
            list(self.nodes.values()), weights, detection_delay_ns, clock, random_for(self.seed, "front")
        )
        clients, tenants = scenario.clients, load.tenants(scenario)
        self.clients = Clients(
            clock, self.front, self.workload,
            ClientFigures(
                retries=clients.retries, try_share=random.uniform(*clients.try_share),
                backoff_s=random.uniform(*clients.backoff_ms) / 1e3, retry_after_share=clients.honour,
                mark_retries=clients.mark_retries, connections_max=1, idle_timeout_s=clients.idle_s,
                answer_grace_s=scenario.rules.answer_grace_ms / 1e3,
            ),
            WeightedChoice([tenant.share for tenant in tenants]), [tenant.name for tenant in tenants],
            scenario.load.keys, scenario.load.key_skew, self.load, self.account, self._client_delay_ns,
            seed_for(self.seed, "clients"),
        )  # fmt: skip
        self.list_delay_s = random.uniform(*scenario.list.notice_s)
        self.silent_list_delay_s = random.uniform(*scenario.list.silent_notice_s)
        self.box_list = ServerListService(
            clock,
            scenario.list.lines_per_s,
            scenario.list.call_lines,
            int(scenario.list.timeout_ms * 1e6),
            self.internal_delay_ns,
        )
        self.tier: TierMonitor | None = None
        self.peers: Peers | None = None
        if scenario.nodes.tier is not None:
            from driftstair.model.peers import Peers

            seed = seed_for(self.seed, "links")
            names = load.box_names(scenario.boxes.count)
            self.tier = TierMonitor(scenario.nodes.tier, self.node_names, seed, names)
            self.peers = Peers(scenario.nodes.tier, self.node_names, self, self.tier)
        self.boxes: dict[str, Server] = {}
        self._servers_by_id: dict[api.ServerId, Server] = {}
        self._servers_created = 0
        self._name_width = max(2, len(str(scenario.boxes.count)))  # digits in a server's name, as in the kit
        for kind_index in draw_kind_order(self.scenario, random):
            self._create_server(kind_index)

    def _node_weights(self, random: Random) -> list[float]:
        """Returns the traffic weight of each node; some get several times the traffic of the others."""
        scenario = self.scenario
        busy_nodes = set(
            random.sample(self.node_names, round(scenario.front.busy_part * len(self.node_names)))
        )
        return [scenario.front.busy_times if name in busy_nodes else 1.0 for name in self.node_names]

    def _create_server(self, kind_index: int) -> Server:
        scenario = self.scenario
        kind = load.kinds(scenario)[kind_index]
        self._servers_created += 1
        name = f"s-{self._servers_created:0{self._name_width}d}"
        figures = draw_figures(scenario, kind, random_for(self.seed, "box", name))
        cold_rule = ColdRule(scenario.rules.cold_multiple, int(scenario.rules.cold_window_s * NS_PER_S))
        seed = seed_for(self.seed, "box", name, "chance")
        server = Server(
            name, self._servers_created, box_kind(kind), kind_index, figures, self.clock, cold_rule, seed
        )
        self.boxes[name] = server
        self._servers_by_id[server.id] = server
        return server

    # The environment of the nodes.

    def internal_delay_ns(self) -> int:
        return self._delay_ns(self.scenario.network.inside_ms)

    def _client_delay_ns(self) -> int:
        return self._delay_ns(self.scenario.network.client_ms)

    def _delay_ns(self, mean_ms: float) -> int:
        jitter = self.scenario.network.jitter
        return int(mean_ms * 1e6 * (1.0 + jitter * (2.0 * self._network_random.random() - 1.0)))

    def watch(self, node: Node) -> None:
        self.box_list.watch(node)

    def find_server(self, server: api.ServerId) -> Server | None:
        return self._servers_by_id.get(server)

    # The run.

    def run(self, on_second: Callable[[float], None] = lambda _: None) -> Outcome:
        """Runs the whole scenario. `on_second` is called after each second with the seconds so far."""
        scenario = self.scenario
        for box in self.boxes.values():
            box.start(cold=False)
            entry = self._list_entry(box, HostState.READY)
            self.box_list.entries[entry.id] = entry
        for node in self.nodes.values():
            node.known_servers = dict(self.box_list.entries)
            node.start(self._start_module(node.name))
        self.clock.run(START_DELAY_NS)
        self._start_load()
        for second in range(int(scenario.seconds)):
            self.clock.run(START_DELAY_NS + (second + 1) * NS_PER_S)
            self._sample()
            on_second(second + 1.0)
        self.clock.run(START_DELAY_NS + int(scenario.seconds * NS_PER_S))
        self.clients.stop()
        longest = max(request_class.given_up_ms for request_class in load.classes(scenario)) / 1e3
        self.clock.run(self.clock.now + int((longest + 1.0) * NS_PER_S) + SETTLE_TIME_NS)
        self.finished = True
        self.clients.close_all()
        return self._complete_outcome()

    def _start_load(self) -> None:
        self.account.origin_ns = self.clock.now
        self.load.phase = self.scenario.phases[0].name if self.scenario.phases else "whole run"
        if self.scenario.phases and self.scenario.phases[0].at_s > 0:
            self.load.phase = "before"
        faults = FaultInjector(self)  # type: ignore[arg-type]
        for phase in self.scenario.phases:
            self.call_later(phase.at_s, faults.enter_phase, phase)
        for index, fault in enumerate(self.scenario.faults):
            self.call_later(fault.at_s, faults.begin, fault, index)
        self.clients.start()

    def _sample(self) -> None:
        now = self.clock.now
        running = [box for box in self.boxes.values() if box.running]
        for box in running:
            box.advance()
        in_flight = [box.engine.request_count() for box in running]
        count = max(1, len(running))
        self.outcome.seconds.append(
            SecondSample(
                now, sum(in_flight), sum(box.engine.busy_fraction() for box in running) / count,
                sum(box.engine.is_jammed() for box in running), sum(box.open_connections for box in running),
                max(in_flight, default=0),
            )
        )  # fmt: skip

    def _complete_outcome(self) -> Outcome:
        outcome = self.outcome
        outcome.tries, outcome.refused, outcome.handshakes = (
            self.clients.tries,
            self.clients.refusals,
            self.handshakes,
        )
        boxes = list(self._servers_by_id.values())
        outcome.attempts = sum(node.attempts for node in self.nodes.values())
        outcome.jams = sum(box.engine.jam_count for box in boxes if box.generation)
        outcome.fallen = [box.name for box in boxes if box.crashed_cold]
        outcome.list_calls, outcome.list_failed = self.box_list.calls, self.box_list.failed_calls
        outcome.bad_tries = sum(box.attempts_while_faulty for box in boxes)
        if self.peers is not None:
            outcome.peer_bytes_s = self.peers.bytes_sent / len(self.nodes) / (self.clock.now / NS_PER_S)
        outcome.by_node = {name: (node.received, node.refused) for name, node in self.nodes.items()}
        return outcome

    # Called by the kit's faults.

    def now(self) -> int:
        return self.clock.now

    def call_later(self, seconds: float, callback: Callable[..., None], *args: Any) -> None:
        self.clock.call_later(int(seconds * NS_PER_S), callback, *args)

    def log_event(self, text: str) -> None:
        """Records an event of the run."""
        self.events.append((self.clock.now, text))

    def _list_entry(self, box: Server, state: HostState) -> api.Server:
        started = box.started if box.started >= 0 else 0
        return api.Server(box.id, 0, box.cell, SERVER_STATES[state], 1.0, started, box.kind_index)

    def update_box_list(self, box: Server, state: HostState, silent: bool = False) -> None:
        """Tells the server list of a change, which it publishes after its delay."""
        self.box_list.publish(
            self._list_entry(box, state), self.silent_list_delay_s if silent else self.list_delay_s
        )

    def _start_module(self, name: str) -> api.DecisionModule:
        generation = self._node_generations[name] = self._node_generations.get(name, 0) + 1
        settings = replace(self.settings, number=self.node_names.index(name))
        module = self.policy(settings, seed_for(self.seed, "node", name, generation))
        return module if self.peers is None else self.peers.start(name, module)

    def kill_node(self, name: str) -> None:
        """Kills a node's process."""
        node = self.nodes[name]
        if node.running:
            self.log_event(f"{name} dies")
            node.stop()
            if self.peers is not None:
                self.peers.stop(name)
            self.front.node_dies(node)

    def start_node(self, name: str) -> None:
        node = self.nodes[name]
        if not self.finished and not node.running:
            self.log_event(f"{name} starts again")
            node.start(self._start_module(name))
            self.front.node_starts(node)

    def _stop_server(self, box: Server) -> None:
        box.stop()
        for node in self.nodes.values():
            node.server_died(box)

    def kill_box(self, box: Server) -> None:
        if self.boxes.get(box.name) is box:
            self.log_event(f"box {box.name} dies")
            self._stop_server(box)
            self.update_box_list(box, HostState.GONE)

    def restart_box(self, box: Server) -> None:
        if not self.finished and not box.running and self.boxes.get(box.name) is box:
            self.log_event(f"box {box.name} starts, cold")
            box.start(cold=True)
            self.update_box_list(box, HostState.READY)

    def replace_box(self, box: Server, same_address: bool) -> None:
        """Drains a server, removes it after the grace period, and starts another in its place."""
        if self.finished or not box.running or box.draining or self.boxes.get(box.name) is not box:
            return
        self.log_event(f"box {box.name} drains")
        box.drain()
        self.update_box_list(box, HostState.DRAINING)
        self.call_later(self.scenario.boxes.grace_s, self._finish_replacement, box)

    def _finish_replacement(self, old: Server) -> None:
        if self.finished:
            return
        self._stop_server(old)
        self.update_box_list(old, HostState.GONE)
        del self.boxes[old.name]
        new = self._create_server(old.kind_index)
        self.log_event(f"box {old.name} is gone; {new.name} starts")
        new.start(cold=True)
        self.update_box_list(new, HostState.READY)
