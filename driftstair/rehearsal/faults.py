"""Applies the phases and faults of a scenario: each kind of fault changes the running rehearsal and returns a
function that ends it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, ClassVar

from driftstair.rehearsal import scenario as model
from driftstair.rehearsal import wire
from driftstair.rehearsal.environment import NodeProcess
from driftstair.rehearsal.fakes.box import Box
from driftstair.rehearsal.fakes.crowd import SilentCrowd
from driftstair.rehearsal.seeds import random_for
from driftstair.rehearsal.tier.links import Fault as LinkFault
from driftstair.rehearsal.wire import HostState

if TYPE_CHECKING:
    from driftstair.rehearsal.runner import Rehearsal

EndFault = Callable[[], None]
FOREVER_NS = 1 << 62
SEED_LABEL = "trouble"  # the label of version 0.1: the draws of scenarios depend on it


class FaultInjector:
    """Applies phases and faults to a rehearsal, or to the model's `World`, which has the same methods."""

    def __init__(self, rehearsal: Rehearsal) -> None:
        self._rehearsal = rehearsal
        self._phase_rate = 1.0

    def enter_phase(self, phase: model.Phase) -> None:
        """Changes the rate and the shares of classes to those of a phase."""
        now = self._rehearsal.now()
        previous_rate = self._phase_rate
        self._phase_rate = phase.rate
        ramp_ns = int(phase.ramp_s * 1e9)

        def rate_factor(at: int) -> float:
            progress = 1.0 if at >= now + ramp_ns else (at - now) / ramp_ns
            return float(previous_rate + (phase.rate - previous_rate) * progress)

        self._rehearsal.load.phase = phase.name
        self._rehearsal.load.set_factor("phase", rate_factor)
        self._rehearsal.load.set_class_factors("phase", phase.shares)
        self._rehearsal.log_event(f"phase {phase.name}")

    def _choose_boxes(self, fault: model._AtBoxes, index: int) -> list[Box]:
        """Selects the boxes of a fault and records the fault at the tier's monitor."""
        boxes = self._select_boxes(fault, index)
        if self._rehearsal.tier is not None:
            now = self._rehearsal.now()
            self._rehearsal.tier.add_box_fault([box.name for box in boxes], now, now + int(fault.for_s * 1e9))
        return boxes

    def _select_boxes(self, fault: model._AtBoxes, index: int) -> list[Box]:
        running = [
            box for box in self._rehearsal.boxes.values()
            if box.running and fault.of_kind in (None, box.kind.name)
        ]  # fmt: skip
        if isinstance(fault.boxes, tuple):
            return [box for box in running if box.name in fault.boxes]
        box_count = fault.boxes or max(1, round((fault.part or 0.0) * len(running)))
        random = random_for(self._rehearsal.seed, SEED_LABEL, index)
        return random.sample(running, min(len(running), box_count))

    def _choose_nodes(self, fault: model._AtNodes, index: int) -> list[str]:
        if isinstance(fault.nodes, tuple):
            return list(fault.nodes)
        random = random_for(self._rehearsal.seed, SEED_LABEL, index)
        return random.sample(self._rehearsal.node_names, fault.nodes or 1)

    def begin(self, fault: model.AnyFault, index: int) -> None:
        """Starts a fault and schedules its end. `index` is its place in the scenario."""
        if self._rehearsal.finished:
            return
        now = self._rehearsal.now()
        self._rehearsal.fault_spans.append((now, now + int(fault.for_s * 1e9), fault.kind))
        end_fault = self._HANDLERS[type(fault)](self, fault, index)
        self._rehearsal.call_later(fault.for_s, self._end, fault, end_fault)

    def _end(self, fault: model.AnyFault, end_fault: EndFault) -> None:
        if not self._rehearsal.finished:
            end_fault()

    def _slow_boxes(self, fault: model.SlowBoxes, index: int) -> EndFault:
        boxes = self._choose_boxes(fault, index)
        self._rehearsal.log_event(f"{_names(boxes)} {fault.times:g} times slower")
        return self._slow_down(boxes, fault.times)

    def _everything_slow(self, fault: model.EverythingSlow, index: int) -> EndFault:
        self._rehearsal.log_event(f"all boxes {fault.times:g} times slower")
        return self._slow_down(list(self._rehearsal.boxes.values()), fault.times)

    def _slow_down(self, boxes: list[Box], factor: float) -> EndFault:
        for box in boxes:
            if box.running:
                box.set_slowdown(box.engine.slowdown * factor)

        def end() -> None:
            self._rehearsal.log_event(f"{_names(boxes)} as fast as before")
            for box in boxes:
                if box.running:
                    box.set_slowdown(max(1.0, box.engine.slowdown / factor))

        return end

    def _box_dies(self, fault: model.BoxDies, index: int) -> EndFault:
        boxes = self._choose_boxes(fault, index)
        for box in boxes:
            self._rehearsal.kill_box(box)

        def end() -> None:
            for box in boxes:
                self._rehearsal.restart_box(box)

        return end

    def _box_vanishes(self, fault: model.BoxVanishes, index: int) -> EndFault:
        boxes = self._choose_boxes(fault, index)
        for box in boxes:
            self._rehearsal.log_event(f"box {box.name} is cut off in silence")
            box.machine.vanish()
            self._rehearsal.network_cuts[box.name] = (self._rehearsal.now(), FOREVER_NS)
            self._rehearsal.update_box_list(box, HostState.GONE, silent=True)

        def end() -> None:
            for box in boxes:
                self._end_cut(box.name)
                if self._rehearsal.boxes.get(box.name) is not box:
                    continue  # replaced meanwhile: the name is gone, another box has the machine
                self._rehearsal.log_event(f"box {box.name} is back")
                box.machine.come_back()
                if box.running:
                    self._rehearsal.update_box_list(
                        box, HostState.DRAINING if box.draining else HostState.READY
                    )

        return end

    def _end_cut(self, name: str) -> None:
        self._rehearsal.network_cuts[name] = (self._rehearsal.network_cuts[name][0], self._rehearsal.now())

    def _box_errors(self, fault: model.BoxErrors, index: int) -> EndFault:
        boxes = self._choose_boxes(fault, index)
        self._rehearsal.log_event(f"{_names(boxes)}: {fault.share:.0%} of answers are errors")
        for box in boxes:
            box.answer_faults[index] = (fault.share, 0.0, 0.0)

        def end() -> None:
            for box in boxes:
                box.answer_faults.pop(index, None)

        return end

    def _broken_connections(self, fault: model.BrokenConnections, index: int) -> EndFault:
        boxes = self._choose_boxes(fault, index)
        losses = f"{fault.reset:.0%} of answers are lost to resets, {fault.swallowed:.0%} never come"
        self._rehearsal.log_event(f"{_names(boxes)}: {losses}")
        for box in boxes:
            box.answer_faults[index] = (0.0, fault.reset, fault.swallowed)

        def end() -> None:
            for box in boxes:
                box.answer_faults.pop(index, None)

        return end

    def _silent_crowd(self, fault: model.SilentCrowd, index: int) -> EndFault:
        self._rehearsal.log_event(f"{fault.per_s:g} strangers a second connect and ask for nothing")
        crowd = SilentCrowd(self._rehearsal.clients_machine, self._rehearsal.front, fault.per_s, fault.begin)
        crowd.start()
        return crowd.stop

    def _replace(self, fault: model.Replace, index: int) -> EndFault:
        boxes = self._choose_boxes(fault, index)
        for position, box in enumerate(boxes):
            self._rehearsal.call_later(
                fault.for_s * position / len(boxes), self._rehearsal.replace_box, box, fault.same_address
            )
        return lambda: None

    def _traffic_jump(self, fault: model.TrafficJump, index: int) -> EndFault:
        begin_ns = self._rehearsal.now()
        end_ns = begin_ns + int(fault.for_s * 1e9)

        def rate_factor(at: int) -> float:
            rise = 1.0 if not fault.rise_s else min(1.0, (at - begin_ns) / (fault.rise_s * 1e9))
            fall = 1.0 if not fault.fall_s else min(1.0, max(0.0, (end_ns - at) / (fault.fall_s * 1e9)))
            return 1.0 + (fault.times - 1.0) * min(rise, fall)

        self._rehearsal.log_event(f"{fault.times:g} times the traffic")
        self._rehearsal.load.set_factor(index, rate_factor)
        return lambda: self._rehearsal.load.set_factor(index, None)

    def _surge(self, fault: model.Surge, index: int) -> EndFault:
        self._rehearsal.log_event(f"{fault.times:g} times the {fault.of_class}")
        self._rehearsal.load.set_class_factors(index, {fault.of_class: fault.times})
        return lambda: self._rehearsal.load.set_class_factors(index, None)

    def _list_outage(self, fault: model.ListOutage, index: int) -> EndFault:
        self._rehearsal.log_event("the box list is out of reach")
        self._rehearsal.box_list.go_down(fault.silent)

        def end() -> None:
            self._rehearsal.log_event("the box list is back")
            self._rehearsal.box_list.come_up()

        return end

    def _list_lag(self, fault: model.ListLag, index: int) -> EndFault:
        self._rehearsal.log_event(f"the box list runs {fault.extra_s:g} s further behind")
        self._rehearsal.box_list.extra_lag += fault.extra_s

        def end() -> None:
            self._rehearsal.box_list.extra_lag -= fault.extra_s

        return end

    def _watches_fall_silent(self, fault: model.WatchesFallSilent, index: int) -> EndFault:
        for name in self._choose_nodes(fault, index):
            self._rehearsal.log_event(f"the watch of {name} falls silent")
            self._rehearsal.box_list.fall_silent(name)
        return lambda: None

    def _list_moves(self, fault: model.ListMoves, index: int) -> EndFault:
        self._rehearsal.log_event("the box list moves to another address")
        self._rehearsal.box_list.move()
        for name in self._rehearsal.node_names:
            self._rehearsal.reload_node(name)
        return lambda: None

    def _node_dies(self, fault: model.NodeDies, index: int) -> EndFault:
        names = self._choose_nodes(fault, index)
        for name in names:
            self._rehearsal.kill_node(name)

        def end() -> None:
            for name in names:
                if not self._rehearsal.nodes[name].running:
                    self._rehearsal.start_node(name)

        return end

    def _node_vanishes(self, fault: model.NodeVanishes, index: int) -> EndFault:
        names = self._choose_nodes(fault, index)
        return self._disconnect_nodes(
            names, "is cut off in silence", lambda node: node.vanish(), lambda node: node.come_back()
        )

    def _node_stalls(self, fault: model.NodeStalls, index: int) -> EndFault:
        names = self._choose_nodes(fault, index)
        return self._disconnect_nodes(
            names, "stands still", lambda node: node.suspend(), lambda node: node.resume()
        )

    def _disconnect_nodes(
        self, names: list[str], description: str, disconnect: Callable[[NodeProcess], None],
        reconnect: Callable[[NodeProcess], None],
    ) -> EndFault:  # fmt: skip
        """Disconnects or stops nodes by `disconnect`, without any signal to their peers, until
        `reconnect`."""
        for name in names:
            self._rehearsal.log_event(f"{name} {description}")
            self._rehearsal.unreachable_nodes.add(name)
            disconnect(self._rehearsal.nodes[name])
            self._rehearsal.network_cuts[name] = (self._rehearsal.now(), FOREVER_NS)
            self._rehearsal.note(wire.NodeDown(self._rehearsal.now(), name))
            self._rehearsal.front.node_dies(name)

        def end() -> None:
            for name in names:
                self._rehearsal.log_event(f"{name} is back")
                self._rehearsal.unreachable_nodes.discard(name)
                reconnect(self._rehearsal.nodes[name])
                self._end_cut(name)
                self._rehearsal.note(wire.NodeUp(self._rehearsal.now(), name, new_process=False))
                self._rehearsal.front.node_starts(name, self._rehearsal.nodes[name].address(), lambda: None)

        return end

    def _node_starves(self, fault: model.NodeStarves, index: int) -> EndFault:
        names = self._choose_nodes(fault, index)
        ended = False
        self._rehearsal.log_event(f"{', '.join(names)}: {fault.stands_ms:g} of each "
                        f"{fault.stands_ms + fault.runs_ms:g} ms it stands still")  # fmt: skip

        def stop_nodes() -> None:
            if not ended and not self._rehearsal.finished:
                for name in names:
                    self._rehearsal.nodes[name].suspend()
                self._rehearsal.call_later(fault.stands_ms / 1e3, resume_nodes)

        def resume_nodes() -> None:
            for name in names:
                if name not in self._rehearsal.unreachable_nodes:
                    self._rehearsal.nodes[name].resume()
            self._rehearsal.call_later(fault.runs_ms / 1e3, stop_nodes)

        def end() -> None:
            nonlocal ended
            ended = True

        stop_nodes()
        return end

    def _links(self, fault: model.Links, index: int) -> EndFault:
        tier, random = self._rehearsal.tier, random_for(self._rehearsal.seed, SEED_LABEL, index)
        assert tier is not None
        senders, receivers = (
            tier.select_nodes(fault.senders, random),
            tier.select_nodes(fault.receivers, random),
        )
        min_delay_ms, max_delay_ms = fault.delay_ms
        link_fault = LinkFault(
            fault.cut, fault.loss, (min_delay_ms / 1e3, max_delay_ms / 1e3), fault.duplicate, fault.reorder,
            fault.garble, fault.truncate,
        )  # fmt: skip
        active_fault = tier.begin(self._rehearsal.now(), senders, receivers, link_fault, fault.both_ways)
        end_cut = tier.end
        description = "carry nothing" if fault.cut else "are bad"
        self._rehearsal.log_event(f"{len(active_fault.pairs)} links between nodes {description}")

        def end() -> None:
            self._rehearsal.log_event(f"{len(active_fault.pairs)} links between nodes are sound")
            end_cut(self._rehearsal.now(), active_fault)

        return end

    def _node_restarts(self, fault: model.NodeRestarts, index: int) -> EndFault:
        names = self._choose_nodes(fault, index)
        for position, name in enumerate(names):
            self._rehearsal.call_later(
                fault.for_s * position / len(names), self._rehearsal.restart_node, name
            )
        return lambda: None

    _HANDLERS: ClassVar[dict[type, Callable[[Any, Any, int], EndFault]]] = {
        model.SlowBoxes: _slow_boxes, model.EverythingSlow: _everything_slow, model.BoxDies: _box_dies,
        model.BoxVanishes: _box_vanishes, model.BoxErrors: _box_errors,
        model.BrokenConnections: _broken_connections, model.SilentCrowd: _silent_crowd,
        model.Replace: _replace,
        model.TrafficJump: _traffic_jump, model.Surge: _surge, model.ListOutage: _list_outage,
        model.ListLag: _list_lag, model.WatchesFallSilent: _watches_fall_silent,
        model.ListMoves: _list_moves, model.NodeDies: _node_dies,
        model.NodeVanishes: _node_vanishes, model.NodeRestarts: _node_restarts,
        model.NodeStalls: _node_stalls, model.NodeStarves: _node_starves, model.Links: _links,
    }  # fmt: skip


def _names(boxes: list[Box]) -> str:
    if len(boxes) > 4:
        return f"{len(boxes)} boxes"
    return "box " + ", ".join(box.name for box in boxes) if boxes else "no box"
