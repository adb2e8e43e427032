"""Plays a scenario: builds the fakes on a environment, starts the nodes, turns the faults on and off, and
ends.

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
from driftstair.rehearsal.fleet_figures import box_kind, draw_figures, kinds_in_order
from driftstair.rehearsal.rules import Checker
from driftstair.rehearsal.scenario import Scenario
from driftstair.rehearsal.seeds import random_for, seed_for
from driftstair.rehearsal.tier.stage import TierStage
from driftstair.rehearsal.wire import HostState

READY_WITHIN = 30.0  # s; clients come then, all nodes up or not
STILL = 2.0  # s that a run goes on after its last request, to see what still comes
DOWN_FOR = 0.5  # s between the end of a planned restart's old process and the new one
COMES_LATER = 1_000_000_000  # ns after a cut, in which what it held back may come
TAKEN_IN = 200_000_000  # ns after a cut: on real sockets what connected meanwhile is accepted then
SETTLED = 1_000_000_000  # ns that a node serves before it is signalled


@dataclass(slots=True)
class Event:
    """Something that happened, for people to read beside the plots."""

    at: int  # ns
    what: str


@dataclass(slots=True)
class Sample:
    """The state at one second of the run."""

    at: int  # ns
    in_flight: dict[str, int]  # requests that clients have at each node
    boxes: dict[str, tuple[float, int, int, int]]  # cores busy (0 to 1), held, waiting, connections
    descriptors: dict[str, int]


@dataclass(slots=True)
class Crash:
    at: int  # ns
    node: str
    what: str
    trace: list[str] = field(default_factory=list)


class Rehearsal:
    """`tick` is called once a second of the run, with the seconds that have passed."""

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
        self.spans: list[tuple[int, int, str]] = []  # faults, from and to in ns, for plots
        self.stuck = ""
        self.cut_off = False
        self.began = 0  # ns at which clients came
        self._tick = tick
        self.over = False
        self.seed = scenario.seed
        self.node_names = load.node_names(scenario.nodes.count)
        self._numbers = count(1)
        self._box_count = scenario.boxes.count
        self._ending: dict[str, bool] = {}
        self._ready: dict[str, int] = {}  # since when each node serves, ns
        self._generations = dict.fromkeys(self.node_names, 0)
        self.vanished: set[str] = set()
        self.cuts: dict[str, tuple[int, int]] = {}  # machines that were cut off in silence, from and to
        self._build()

    # Building.

    def _build(self) -> None:
        of, environment = self.scenario, self.environment
        random = random_for(self.seed, "fleet")
        self.workload = Workload(load.classes(of), random_for(self.seed, "work"))
        self.clients_machine = environment.fake_machine("clients")
        self.front = FrontLayer(
            self.clients_machine, self.node_names, random.uniform(*of.front.notice_s),
            random_for(self.seed, "front"),
            dict.fromkeys(
                self.node_names[: round(of.front.busy_part * len(self.node_names))],
                round(of.front.busy_times),
            ),
        )  # fmt: skip
        kinds = list(self.workload.request_classes.values())
        self.load = Load(of.load.rate, kinds, [one.share for one in load.classes(of)])
        tenants = load.tenants(of)
        clients = of.clients
        self.clients = Clients(
            self.clients_machine, self.front, self.workload,
            ClientFigures(
                retries=clients.retries, try_share=random.uniform(*clients.try_share),
                backoff_s=random.uniform(*clients.backoff_ms) / 1e3, retry_after_share=clients.honour,
                mark_retries=clients.mark_retries,
                connections_max=max(1, int(clients.connections_share * of.nodes.descriptors)),
                idle_timeout_s=clients.idle_s, answer_grace_s=of.rules.answer_grace_ms / 1e3,
                hold_share=clients.hold_share,
            ),
            WeightedChoice([one.share for one in tenants]), [one.name for one in tenants], of.load.keys,
            of.load.key_skew, self.load, self.account, self.note, self._serves,
            seed_for(self.seed, "clients"),
        )  # fmt: skip
        self.list_notice = random.uniform(*of.list.notice_s)
        self.silent_notice = random.uniform(*of.list.silent_notice_s)
        self.box_list = BoxList(
            environment.fake_machine("list"),
            ListFigures(
                of.list.mode == "pushed", of.list.lines_per_s, of.list.call_lines, of.list.timeout_ms / 1e3
            ),
            self.node_names, random_for(self.seed, "list"), self.note,
        )  # fmt: skip
        self.boxes: dict[str, Box] = {}
        self.gone: dict[str, Box] = {}
        server_kinds = load.kinds(of)
        names = load.box_names(of.boxes.count)
        for name, kind_index in zip(names, kinds_in_order(of, random), strict=True):
            self.boxes[name] = self._box(name, server_kinds[kind_index], environment.fake_machine(name))
        self.nodes = {name: environment.node(name, self._node_ended) for name in self.node_names}
        self.tier: TierStage | None = None
        if of.nodes.tier is not None:
            self.tier = TierStage(
                of.nodes.tier, self.node_names, seed_for(self.seed, "links"), load.box_names(of.boxes.count)
            )  # fmt: skip
            environment.connect_peers(self.tier.links)

    def _box(self, name: str, kind: model.Kind, machine: FakeMachine) -> Box:
        figures = draw_figures(self.scenario, kind, random_for(self.seed, "box", name))
        return Box(
            name, box_kind(kind), figures, machine, self.node_names, self.workload,
            platform.rule_book(self.scenario).cold, self.note, self._left,
            seed_for(self.seed, "box", name, "chance"), self._numbers,
        )  # fmt: skip

    # The run.

    def note(self, seen: wire.Observation) -> None:
        self.checker.note(seen)
        if self.tier is not None:
            self.tier.note(seen)

    def _left(self, at: int, box: str, node: str, since: int) -> int:
        """While a machine is cut off, what is written to its connections waits and comes later: the rules are
        about when a node sends."""
        for name in (box, node):
            cut = self.cuts.get(name)
            if cut is not None and since < cut[1] + TAKEN_IN and cut[0] < at <= cut[1] + COMES_LATER:
                at = cut[0]
        return at

    def now(self) -> int:
        return self.clients_machine.now()

    def after(self, seconds: float, what: Callable[..., None], *args: object) -> None:
        self.clients_machine.loop.call_later(seconds, what, *args)

    def say(self, what: str) -> None:
        self.events.append(Event(self.now(), what))

    def start(self) -> None:
        for box in self.boxes.values():
            box.start(cold=False)
        self.box_list.start([self._entry(box, HostState.READY) for box in self.boxes.values()])
        for name in self.node_names:
            self.start_node(name, first=True)
        self._wait_for_nodes(0.0)

    def _wait_for_nodes(self, waited: float) -> None:
        """Clients come when all nodes are ready."""
        self.stuck = self.environment.find_deadlock()
        if self.stuck:
            self._end()
        elif all(self.front.is_up(name) for name in self.node_names) or waited >= READY_WITHIN:
            self.began = self.account.origin = self.now()
            if waited >= READY_WITHIN:
                self.say("clients come, though not all nodes are up")
            self._begin()
        else:
            self.after(0.05, self._wait_for_nodes, waited + 0.05)

    def _begin(self) -> None:
        self.load.phase = self.scenario.phases[0].name if self.scenario.phases else "whole run"
        if self.scenario.phases and self.scenario.phases[0].at_s > 0:
            self.load.phase = "before"
        faults = FaultInjector(self)
        for phase in self.scenario.phases:
            self.after(phase.at_s, faults.enter_phase, phase)
        for index, fault in enumerate(self.scenario.faults):
            self.after(fault.at_s, faults.begin, fault, index)
        self.after(self.scenario.seconds, self._last_arrivals)
        self.clients.start()
        self._sample()

    def _last_arrivals(self) -> None:
        self.clients.stop()
        longest = max(one.given_up_ms for one in load.classes(self.scenario)) / 1e3
        self._wait_for_answers(longest + 1.0)

    def _wait_for_answers(self, left: float) -> None:
        if self.clients.open_operations and left > 0:
            self.after(0.1, self._wait_for_answers, left - 0.1)
        else:
            self.after(STILL, self._end)

    def _sample(self) -> None:
        if self.over:
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
        self.stuck = self.environment.find_deadlock()
        if self.stuck:
            self._end()
            return
        self._tick((now - self.began) / 1e9)
        self.after(1.0, self._sample)

    def _end(self) -> None:
        if self.over:
            return
        self.over = True
        self.clients.cut_off()
        self._judge()
        self.environment.finish()

    def _judge(self) -> None:
        self.checker.finish(self.now())
        self._judge_tier()

    def _judge_tier(self) -> None:
        if self.tier is not None:
            self.tier.finish(self.now(), self.environment.histories())

    def interrupt(self) -> None:
        """A person wants no more of it: the report is on what has been."""
        if not self.over:
            self.cut_off = True
            self.over = True
            self.clients.stop()
            self.clients.cut_off()
            self._judge_tier()
            self.environment.finish()

    def deadlocked(self, why: str) -> None:
        self.stuck = why
        self.over = True
        self.clients.cut_off()
        self._judge()

    # Nodes.

    def _serves(self, name: str) -> bool:
        return self.nodes[name].running and name not in self.vanished

    def document(self, name: str) -> dict[str, object]:
        return platform.document(
            self.scenario, name, self.nodes[name].address(), self.box_list.addresses[name],
            seed_for(self.seed, "node", name, self._generations[name]), self.box_list.last_sent(name),
            None if self.tier is None else self.environment.peers(name),
        )  # fmt: skip

    def start_node(self, name: str, first: bool = False) -> None:
        if self.over:
            return
        node = self.nodes[name]
        self._generations[name] += 1
        document = self.document(name)
        self._ending[name] = False
        if not first:
            self.say(f"{name} starts again")
        node.start(document)
        self.note(wire.NodeUp(self.now(), name))
        self._ready.pop(name, None)
        self.front.node_starts(name, node.address(), lambda: self._is_ready(name))

    def _is_ready(self, name: str) -> None:
        self._ready[name] = self.now()

    def when_settled(self, name: str, what: Callable[[str], None]) -> None:
        """A node is signalled only once it has served for a second, as the platform promises: before its
        handlers stand, a signal would end it. Seen on sockets, where a process takes a while to start."""
        if self.over or not self.nodes[name].running:
            return
        ready = self._ready.get(name)
        if ready is not None and self.now() - ready >= SETTLED:
            what(name)
        else:
            self.after(0.1, self.when_settled, name, what)

    def reload(self, name: str) -> None:
        """Its file is replaced, and it gets SIGHUP."""
        self.when_settled(name, lambda one: self.nodes[one].reload(self.document(one)))

    def _node_ended(self, name: str, why: str) -> None:
        """Its process has ended by itself."""
        if self.over:
            return
        planned = self._ending.get(name, False) and not why
        self.note(wire.NodeDown(self.now(), name, planned))
        if planned:
            self.say(f"{name} has ended")
            self.after(DOWN_FOR, self.start_node, name)
        else:
            self.crashed(name, why or "ended by itself, with status 0")
            self.front.node_dies(name)

    def crashed(self, node: str, what: str, trace: list[str] | None = None) -> None:
        self.crashes.append(Crash(self.now(), node, what, trace or []))

    def kill(self, name: str) -> None:
        if self.nodes[name].running:
            self.say(f"{name} dies")
            self.nodes[name].kill()
            self.note(wire.NodeDown(self.now(), name))
            self.front.node_dies(name)

    def restart(self, name: str) -> None:
        self.when_settled(name, self._restart)

    def _restart(self, name: str) -> None:
        self.say(f"{name} is told to end")
        self._ending[name] = True
        self.front.node_ends(name)
        self.nodes[name].terminate()
        longest = min(DEADLINE_S_MAX, max(one.given_up_ms for one in load.classes(self.scenario)) / 1e3)
        self.after(longest + SIGKILL_DELAY_S, self._kill_if_it_stays, name)

    def _kill_if_it_stays(self, name: str) -> None:
        if self.nodes[name].running and self._ending[name]:
            self.say(f"{name} is killed, as it did not end")
            self.nodes[name].kill()
            self.note(wire.NodeDown(self.now(), name, planned=True))
            self.after(DOWN_FOR, self.start_node, name)

    # Boxes and the list.

    def _entry(self, box: Box, state: HostState) -> Entry:
        return Entry(box.name, state, box.kind.name, dict(box.addresses), box.started)

    def tell_list(self, box: Box, state: HostState, silent: bool = False) -> None:
        self.box_list.change(self._entry(box, state), self.silent_notice if silent else self.list_notice)

    def box_dies(self, box: Box) -> None:
        if self.boxes.get(box.name) is not box:
            return
        self.say(f"box {box.name} dies")
        box.stop("killed")
        self.tell_list(box, HostState.GONE)

    def box_starts(self, box: Box) -> None:
        # One that was replaced meanwhile has left its address and its name for good.
        if self.over or box.running or self.boxes.get(box.name) is not box:
            return
        self.say(f"box {box.name} starts, cold")
        box.machine.restart()
        box.start(cold=True)
        self.tell_list(box, HostState.READY)

    def replace(self, box: Box, same_address: bool) -> None:
        """Drains, then is gone, then another one is there."""
        if self.over or not box.running or box.draining or self.boxes.get(box.name) is not box:
            return  # two replacements that meet on one box are one
        self.say(f"box {box.name} drains")
        box.drain()
        self.tell_list(box, HostState.DRAINING)
        self.after(self.scenario.boxes.grace_s, self._replaced, box, same_address)

    def _replaced(self, old: Box, same_address: bool) -> None:
        if self.over:
            return
        old.stop("replaced")
        self.tell_list(old, HostState.GONE)
        self._box_count += 1
        width = max(2, len(str(self.scenario.boxes.count)))
        name = f"s-{self._box_count:0{width}d}"
        kind = next(kind for kind in load.kinds(self.scenario) if kind.name == old.kind.name)
        del self.boxes[old.name]
        self.gone[old.name] = old
        if same_address:
            old.machine.restart()
        box = self.boxes[name] = self._box(
            name, kind, old.machine if same_address else self.environment.fake_machine(name)
        )
        self.say(f"box {old.name} is gone; {name} starts {'at its address' if same_address else 'elsewhere'}")
        box.start(cold=True, addresses=old.addresses if same_address else None)
        self.tell_list(box, HostState.READY)
