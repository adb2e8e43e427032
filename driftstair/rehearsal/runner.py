"""Plays a scenario: builds the fakes on an environment, starts the nodes, applies the faults, and ends.

The same code plays on both environments. Every observation of the fakes goes through `note` to the rule
checker.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from driftstair.daemon import DEADLINE_S_MAX, SIGKILL_DELAY_S
from driftstair.rehearsal import load, platform, wire
from driftstair.rehearsal import scenario as model
from driftstair.rehearsal.account import Account
from driftstair.rehearsal.environment import Environment
from driftstair.rehearsal.fakes.box import Box
from driftstair.rehearsal.fakes.boxlist import BoxList, Entry, ListFigures
from driftstair.rehearsal.fakes.clients import ClientFigures, Clients, Load
from driftstair.rehearsal.fakes.front import FrontLayer
from driftstair.rehearsal.fakes.place import FakeMachine
from driftstair.rehearsal.fakes.workload import WeightedChoice, Workload
from driftstair.rehearsal.faults import FaultInjector
from driftstair.rehearsal.fleet_figures import box_kind, draw_figures, draw_kind_order
from driftstair.rehearsal.rules import Checker
from driftstair.rehearsal.scenario import Scenario
from driftstair.rehearsal.seeds import random_for, seed_for
from driftstair.rehearsal.tier.stage import TierMonitor
from driftstair.rehearsal.wire import HostState

READY_TIMEOUT_S = 30.0  # clients start then, whether or not all nodes are ready
QUIET_PERIOD_S = 2.0  # the run continues after its last request, to observe late messages
RESTART_PAUSE_S = 0.5  # between the end of the old process and the start of the new one
DELIVERY_AFTER_CUT_NS = 1_000_000_000  # time after a cut in which delayed bytes may arrive
# Real sockets accept connections made during a cut only within this time after it.
ACCEPT_AFTER_CUT_NS = 200_000_000
SETTLING_TIME_NS = 1_000_000_000  # a node serves for so long before it is signalled


@dataclass(slots=True)
class Event:
    """An event of the run, shown to readers beside the plots."""

    at: int  # ns
    what: str


@dataclass(slots=True)
class Sample:
    """The state at one second of the run."""

    at: int  # ns
    in_flight: dict[str, int]  # requests that clients have at each node
    # Share of cores busy, requests held, requests waiting, connections.
    boxes: dict[str, tuple[float, int, int, int]]
    descriptors: dict[str, int]


@dataclass(slots=True)
class Crash:
    """A failure of a node's process."""

    at: int  # ns
    node: str
    what: str
    trace: list[str] = field(default_factory=list)


class Rehearsal:
    """One run of a scenario. `tick` is called once per second of the run, with the seconds that have
    passed."""

    def __init__(
        self, scenario: Scenario, environment: Environment, tick: Callable[[float], None] = lambda _: None
    ) -> None:
        self.scenario = scenario
        self.environment = environment
        self.checker = Checker(platform.rule_book(scenario))
        self.account = Account()
        self.events: list[Event] = []
        self.samples: list[Sample] = []
        self.crashes: list[Crash] = []
        self.fault_spans: list[tuple[int, int, str]] = []  # begin, end (ns) and kind of faults, for plots
        self.stuck_reason = ""
        self.was_interrupted = False
        self.began_ns = 0  # when the clients started
        self._tick = tick
        self.finished = False
        self.seed = scenario.seed
        self.node_names = load.node_names(scenario.nodes.count)
        self._attempt_numbers = count(1)
        self._box_count = scenario.boxes.count
        self._is_ending: dict[str, bool] = {}
        self._ready_since: dict[str, int] = {}  # when each node became ready, ns
        self._generations = dict.fromkeys(self.node_names, 0)
        self.unreachable_nodes: set[str] = set()
        # Begin and end (ns) of silent disconnections, by machine.
        self.network_cuts: dict[str, tuple[int, int]] = {}
        self._build()

    # Building.

    def _build(self) -> None:
        scenario, environment = self.scenario, self.environment
        random = random_for(self.seed, "fleet")
        self.workload = Workload(load.classes(scenario), random_for(self.seed, "work"))
        self.clients_machine = environment.fake_machine("clients")
        self.front = FrontLayer(
            self.clients_machine, self.node_names, random.uniform(*scenario.front.notice_s),
            random_for(self.seed, "front"),
            dict.fromkeys(
                self.node_names[: round(scenario.front.busy_part * len(self.node_names))],
                round(scenario.front.busy_times),
            ),
        )  # fmt: skip
        kinds = list(self.workload.request_classes.values())
        self.load = Load(scenario.load.rate, kinds, [item.share for item in load.classes(scenario)])
        tenants = load.tenants(scenario)
        clients = scenario.clients
        self.clients = Clients(
            self.clients_machine, self.front, self.workload,
            ClientFigures(
                retries=clients.retries, try_share=random.uniform(*clients.try_share),
                backoff_s=random.uniform(*clients.backoff_ms) / 1e3, retry_after_share=clients.honour,
                mark_retries=clients.mark_retries,
                connections_max=max(1, int(clients.connections_share * scenario.nodes.descriptors)),
                idle_timeout_s=clients.idle_s, answer_grace_s=scenario.rules.answer_grace_ms / 1e3,
                hold_share=clients.hold_share,
            ),
            WeightedChoice([item.share for item in tenants]), [item.name for item in tenants],
            scenario.load.keys, scenario.load.key_skew, self.load, self.account, self.note, self._is_serving,
            seed_for(self.seed, "clients"),
        )  # fmt: skip
        self.list_delay_s = random.uniform(*scenario.list.notice_s)
        self.silent_list_delay_s = random.uniform(*scenario.list.silent_notice_s)
        self.box_list = BoxList(
            environment.fake_machine("list"),
            ListFigures(
                scenario.list.mode == "pushed", scenario.list.lines_per_s, scenario.list.call_lines,
                scenario.list.timeout_ms / 1e3
            ),
            self.node_names, random_for(self.seed, "list"), self.note,
        )  # fmt: skip
        self.boxes: dict[str, Box] = {}
        self.removed_boxes: dict[str, Box] = {}
        server_kinds = load.kinds(scenario)
        names = load.box_names(scenario.boxes.count)
        for name, kind_index in zip(names, draw_kind_order(scenario, random), strict=True):
            self.boxes[name] = self._create_box(
                name, server_kinds[kind_index], environment.fake_machine(name)
            )
        self.nodes = {name: environment.node(name, self._node_ended) for name in self.node_names}
        self.tier: TierMonitor | None = None
        if scenario.nodes.tier is not None:
            self.tier = TierMonitor(
                scenario.nodes.tier, self.node_names, seed_for(self.seed, "links"),
                load.box_names(scenario.boxes.count)
            )  # fmt: skip
            environment.connect_peers(self.tier.links)

    def _create_box(self, name: str, kind: model.Kind, machine: FakeMachine) -> Box:
        figures = draw_figures(self.scenario, kind, random_for(self.seed, "box", name))
        return Box(
            name, box_kind(kind), figures, machine, self.node_names, self.workload,
            platform.rule_book(self.scenario).cold_rule, self.note, self._earliest_send_time,
            seed_for(self.seed, "box", name, "chance"), self._attempt_numbers,
        )  # fmt: skip

    # The run.

    def note(self, observation: wire.Observation) -> None:
        """Passes an observation to the checkers."""
        self.checker.note(observation)
        if self.tier is not None:
            self.tier.note(observation)

    def _earliest_send_time(self, at: int, box: str, node: str, connected_at: int) -> int:
        """Returns the earliest time at which a node can have sent what arrived at a box at `at`. Bytes
        written to a disconnected machine's connections wait and arrive later, while the rules are about when
        a node sends."""
        for name in (box, node):
            cut = self.network_cuts.get(name)
            if (
                cut is not None
                and connected_at < cut[1] + ACCEPT_AFTER_CUT_NS
                and cut[0] < at <= cut[1] + DELIVERY_AFTER_CUT_NS
            ):
                at = cut[0]
        return at

    def now(self) -> int:
        """Returns the time in ns since the start of the run."""
        return self.clients_machine.now()

    def call_later(self, seconds: float, callback: Callable[..., None], *args: object) -> None:
        """Calls a function after a number of seconds."""
        self.clients_machine.loop.call_later(seconds, callback, *args)

    def log_event(self, description: str) -> None:
        """Records an event of the run."""
        self.events.append(Event(self.now(), description))

    def start(self) -> None:
        """Starts the boxes, the box list and the nodes."""
        for box in self.boxes.values():
            box.start(cold=False)
        self.box_list.start([self._list_entry(box, HostState.READY) for box in self.boxes.values()])
        for name in self.node_names:
            self.start_node(name, first=True)
        self._wait_for_nodes(0.0)

    def _wait_for_nodes(self, waited_s: float) -> None:
        """Starts the clients once all nodes are ready."""
        self.stuck_reason = self.environment.find_deadlock()
        if self.stuck_reason:
            self._end()
        elif all(self.front.is_up(name) for name in self.node_names) or waited_s >= READY_TIMEOUT_S:
            self.began_ns = self.account.origin_ns = self.now()
            if waited_s >= READY_TIMEOUT_S:
                self.log_event("clients come, though not all nodes are up")
            self._start_clients()
        else:
            self.call_later(0.05, self._wait_for_nodes, waited_s + 0.05)

    def _start_clients(self) -> None:
        self.load.phase = self.scenario.phases[0].name if self.scenario.phases else "whole run"
        if self.scenario.phases and self.scenario.phases[0].at_s > 0:
            self.load.phase = "before"
        faults = FaultInjector(self)
        for phase in self.scenario.phases:
            self.call_later(phase.at_s, faults.enter_phase, phase)
        for index, fault in enumerate(self.scenario.faults):
            self.call_later(fault.at_s, faults.begin, fault, index)
        self.call_later(self.scenario.seconds, self._stop_arrivals)
        self.clients.start()
        self._sample()

    def _stop_arrivals(self) -> None:
        self.clients.stop()
        longest_wait_s = max(request_class.given_up_ms for request_class in load.classes(self.scenario)) / 1e3
        self._wait_for_answers(longest_wait_s + 1.0)

    def _wait_for_answers(self, remaining_s: float) -> None:
        if self.clients.open_operations and remaining_s > 0:
            self.call_later(0.1, self._wait_for_answers, remaining_s - 0.1)
        else:
            self.call_later(QUIET_PERIOD_S, self._end)

    def _sample(self) -> None:
        if self.finished:
            return
        now = self.now()
        boxes = {}
        for name, box in self.boxes.items():
            if box.running:
                engine = box.engine
                engine.advance_to(now / 1e9)
                boxes[name] = (
                    engine.busy_fraction(),
                    engine.request_count(),
                    engine.queue_length(),
                    box.open_connections,
                )
        self.samples.append(
            Sample(
                now, {name: self.clients.in_flight.get(name, 0) for name in self.node_names}, boxes,
                {name: node.open_descriptors() for name, node in self.nodes.items()},
            )
        )  # fmt: skip
        self.stuck_reason = self.environment.find_deadlock()
        if self.stuck_reason:
            self._end()
            return
        self._tick((now - self.began_ns) / 1e9)
        self.call_later(1.0, self._sample)

    def _end(self) -> None:
        if self.finished:
            return
        self.finished = True
        self.clients.cut_off()
        self._check_rules()
        self.environment.finish()

    def _check_rules(self) -> None:
        self.checker.finish(self.now())
        self._check_tier()

    def _check_tier(self) -> None:
        if self.tier is not None:
            self.tier.finish(self.now(), self.environment.histories())

    def interrupt(self) -> None:
        """Ends the run on a user's request; the report covers the time until then."""
        if not self.finished:
            self.was_interrupted = True
            self.finished = True
            self.clients.stop()
            self.clients.cut_off()
            self._check_tier()
            self.environment.finish()

    def stop_deadlocked(self, reason: str) -> None:
        """Ends a run in which nothing can happen any more."""
        self.stuck_reason = reason
        self.finished = True
        self.clients.cut_off()
        self._check_rules()

    # Nodes.

    def _is_serving(self, name: str) -> bool:
        return self.nodes[name].running and name not in self.unreachable_nodes

    def document(self, name: str) -> dict[str, object]:
        """Returns the configuration document of a node."""
        return platform.document(
            self.scenario, name, self.nodes[name].address(), self.box_list.addresses[name],
            seed_for(self.seed, "node", name, self._generations[name]), self.box_list.last_sent(name),
            None if self.tier is None else self.environment.peers(name),
        )  # fmt: skip

    def start_node(self, name: str, first: bool = False) -> None:
        """Starts a node's process."""
        if self.finished:
            return
        node = self.nodes[name]
        self._generations[name] += 1
        document = self.document(name)
        self._is_ending[name] = False
        if not first:
            self.log_event(f"{name} starts again")
        node.start(document)
        self.note(wire.NodeUp(self.now(), name))
        self._ready_since.pop(name, None)
        self.front.node_starts(name, node.address(), lambda: self._set_ready(name))

    def _set_ready(self, name: str) -> None:
        self._ready_since[name] = self.now()

    def call_when_settled(self, name: str, action: Callable[[str], None]) -> None:
        """Calls `action` once a node has served for a second. The platform promises not to signal a node
        earlier: a signal before its handlers are installed would end it, as happens on sockets, where a
        process takes a while to start."""
        if self.finished or not self.nodes[name].running:
            return
        ready_since = self._ready_since.get(name)
        if ready_since is not None and self.now() - ready_since >= SETTLING_TIME_NS:
            action(name)
        else:
            self.call_later(0.1, self.call_when_settled, name, action)

    def reload_node(self, name: str) -> None:
        """Replaces a node's file and sends it SIGHUP."""
        self.call_when_settled(name, lambda node: self.nodes[node].reload(self.document(node)))

    def _node_ended(self, name: str, why: str) -> None:
        """Handles a process that ended by itself."""
        if self.finished:
            return
        was_planned = self._is_ending.get(name, False) and not why
        self.note(wire.NodeDown(self.now(), name, was_planned))
        if was_planned:
            self.log_event(f"{name} has ended")
            self.call_later(RESTART_PAUSE_S, self.start_node, name)
        else:
            self.record_crash(name, why or "ended by itself, with status 0")
            self.front.node_dies(name)

    def record_crash(self, node: str, description: str, trace: list[str] | None = None) -> None:
        """Records a failure of a node's process."""
        self.crashes.append(Crash(self.now(), node, description, trace or []))

    def kill_node(self, name: str) -> None:
        """Kills a node's process."""
        if self.nodes[name].running:
            self.log_event(f"{name} dies")
            self.nodes[name].kill()
            self.note(wire.NodeDown(self.now(), name))
            self.front.node_dies(name)

    def restart_node(self, name: str) -> None:
        """Restarts a node by SIGTERM."""
        self.call_when_settled(name, self._terminate_node)

    def _terminate_node(self, name: str) -> None:
        self.log_event(f"{name} is told to end")
        self._is_ending[name] = True
        self.front.node_ends(name)
        self.nodes[name].terminate()
        longest_wait_s = min(
            DEADLINE_S_MAX,
            max(request_class.given_up_ms for request_class in load.classes(self.scenario)) / 1e3,
        )
        self.call_later(longest_wait_s + SIGKILL_DELAY_S, self._kill_if_running, name)

    def _kill_if_running(self, name: str) -> None:
        if self.nodes[name].running and self._is_ending[name]:
            self.log_event(f"{name} is killed, as it did not end")
            self.nodes[name].kill()
            self.note(wire.NodeDown(self.now(), name, planned=True))
            self.call_later(RESTART_PAUSE_S, self.start_node, name)

    # Boxes and the list.

    def _list_entry(self, box: Box, state: HostState) -> Entry:
        return Entry(box.name, state, box.kind.name, dict(box.addresses), box.started)

    def update_box_list(self, box: Box, state: HostState, silent: bool = False) -> None:
        """Tells the box list of a box's state, after its delay."""
        self.box_list.change(
            self._list_entry(box, state), self.silent_list_delay_s if silent else self.list_delay_s
        )

    def kill_box(self, box: Box) -> None:
        """Kills a box's process."""
        if self.boxes.get(box.name) is not box:
            return
        self.log_event(f"box {box.name} dies")
        box.stop("killed")
        self.update_box_list(box, HostState.GONE)

    def restart_box(self, box: Box) -> None:
        """Starts a killed box again, cold."""
        # A box that was replaced in the meantime has given up its address and its name.
        if self.finished or box.running or self.boxes.get(box.name) is not box:
            return
        self.log_event(f"box {box.name} starts, cold")
        box.machine.restart()
        box.start(cold=True)
        self.update_box_list(box, HostState.READY)

    def replace_box(self, box: Box, same_address: bool) -> None:
        """Drains a box, removes it after its grace period, and starts another one."""
        if self.finished or not box.running or box.draining or self.boxes.get(box.name) is not box:
            return  # a second replacement of the same box is ignored
        self.log_event(f"box {box.name} drains")
        box.drain()
        self.update_box_list(box, HostState.DRAINING)
        self.call_later(self.scenario.boxes.grace_s, self._finish_replacement, box, same_address)

    def _finish_replacement(self, old: Box, same_address: bool) -> None:
        if self.finished:
            return
        old.stop("replaced")
        self.update_box_list(old, HostState.GONE)
        self._box_count += 1
        width = max(2, len(str(self.scenario.boxes.count)))
        name = f"s-{self._box_count:0{width}d}"
        kind = next(kind for kind in load.kinds(self.scenario) if kind.name == old.kind.name)
        del self.boxes[old.name]
        self.removed_boxes[old.name] = old
        if same_address:
            old.machine.restart()
        box = self.boxes[name] = self._create_box(
            name, kind, old.machine if same_address else self.environment.fake_machine(name)
        )
        self.log_event(
            f"box {old.name} is gone; {name} starts {'at its address' if same_address else 'elsewhere'}"
        )
        box.start(cold=True, addresses=old.addresses if same_address else None)
        self.update_box_list(box, HostState.READY)
