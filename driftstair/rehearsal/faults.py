"""Phases and faults: each kind of fault turns something on a running rehearsal, and knows how to end
it."""

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

End = Callable[[], None]
FOREVER = 1 << 62  # ns
SEED_LABEL = "trouble"  # as in version 0.1: what a scenario draws depends on it


class FaultInjector:
    def __init__(self, stage: Rehearsal) -> None:
        self._stage = stage
        self._phase_rate = 1.0

    def enter_phase(self, phase: model.Phase) -> None:
        now = self._stage.now()
        before = self._phase_rate
        self._phase_rate = phase.rate
        ramp = int(phase.ramp_s * 1e9)

        def times(at: int) -> float:
            part = 1.0 if at >= now + ramp else (at - now) / ramp
            return float(before + (phase.rate - before) * part)

        self._stage.load.phase = phase.name
        self._stage.load.set_factor("phase", times)
        self._stage.load.set_class_factors("phase", phase.shares)
        self._stage.say(f"phase {phase.name}")

    def _choose_boxes(self, fault: model._AtBoxes, index: int) -> list[Box]:
        chosen = self._boxes_of(fault, index)
        if self._stage.tier is not None:
            now = self._stage.now()
            self._stage.tier.blame([box.name for box in chosen], now, now + int(fault.for_s * 1e9))
        return chosen

    def _boxes_of(self, fault: model._AtBoxes, index: int) -> list[Box]:
        running = [
            box for box in self._stage.boxes.values()
            if box.running and fault.of_kind in (None, box.kind.name)
        ]  # fmt: skip
        if isinstance(fault.boxes, tuple):
            return [box for box in running if box.name in fault.boxes]
        wanted = fault.boxes or max(1, round((fault.part or 0.0) * len(running)))
        random = random_for(self._stage.seed, SEED_LABEL, index)
        return random.sample(running, min(len(running), wanted))

    def _choose_nodes(self, fault: model._AtNodes, index: int) -> list[str]:
        if isinstance(fault.nodes, tuple):
            return list(fault.nodes)
        random = random_for(self._stage.seed, SEED_LABEL, index)
        return random.sample(self._stage.node_names, fault.nodes or 1)

    def begin(self, fault: model.AnyFault, index: int) -> None:
        if self._stage.over:
            return
        now = self._stage.now()
        self._stage.spans.append((now, now + int(fault.for_s * 1e9), fault.kind))
        end = self._HANDLERS[type(fault)](self, fault, index)
        self._stage.after(fault.for_s, self._end, fault, end)

    def _end(self, fault: model.AnyFault, end: End) -> None:
        if not self._stage.over:
            end()

    def _slow_boxes(self, fault: model.SlowBoxes, index: int) -> End:
        boxes = self._choose_boxes(fault, index)
        self._stage.say(f"{_names(boxes)} {fault.times:g} times slower")
        return self._slowed(boxes, fault.times)

    def _everything_slow(self, fault: model.EverythingSlow, index: int) -> End:
        self._stage.say(f"all boxes {fault.times:g} times slower")
        return self._slowed(list(self._stage.boxes.values()), fault.times)

    def _slowed(self, boxes: list[Box], times: float) -> End:
        for box in boxes:
            if box.running:
                box.set_slowdown(box.engine.slowdown * times)

        def end() -> None:
            self._stage.say(f"{_names(boxes)} as fast as before")
            for box in boxes:
                if box.running:
                    box.set_slowdown(max(1.0, box.engine.slowdown / times))

        return end

    def _boxes_die(self, fault: model.BoxDies, index: int) -> End:
        boxes = self._choose_boxes(fault, index)
        for box in boxes:
            self._stage.box_dies(box)

        def end() -> None:
            for box in boxes:
                self._stage.box_starts(box)

        return end

    def _boxes_vanish(self, fault: model.BoxVanishes, index: int) -> End:
        boxes = self._choose_boxes(fault, index)
        for box in boxes:
            self._stage.say(f"box {box.name} is cut off in silence")
            box.machine.vanish()
            self._stage.cuts[box.name] = (self._stage.now(), FOREVER)
            self._stage.tell_list(box, HostState.GONE, silent=True)

        def end() -> None:
            for box in boxes:
                self._end_cut(box.name)
                if self._stage.boxes.get(box.name) is not box:
                    continue  # replaced meanwhile: its name is gone, and its machine is another box's
                self._stage.say(f"box {box.name} is back")
                box.machine.come_back()
                if box.running:
                    self._stage.tell_list(box, HostState.DRAINING if box.draining else HostState.READY)

        return end

    def _end_cut(self, name: str) -> None:
        self._stage.cuts[name] = (self._stage.cuts[name][0], self._stage.now())

    def _boxes_err(self, fault: model.BoxErrors, index: int) -> End:
        boxes = self._choose_boxes(fault, index)
        self._stage.say(f"{_names(boxes)}: {fault.share:.0%} of answers are errors")
        for box in boxes:
            box.answer_faults[index] = (fault.share, 0.0, 0.0)

        def end() -> None:
            for box in boxes:
                box.answer_faults.pop(index, None)

        return end

    def _connections_break(self, fault: model.BrokenConnections, index: int) -> End:
        boxes = self._choose_boxes(fault, index)
        lost = f"{fault.reset:.0%} of answers are lost to resets, {fault.swallowed:.0%} never come"
        self._stage.say(f"{_names(boxes)}: {lost}")
        for box in boxes:
            box.answer_faults[index] = (0.0, fault.reset, fault.swallowed)

        def end() -> None:
            for box in boxes:
                box.answer_faults.pop(index, None)

        return end

    def _crowd_comes(self, fault: model.SilentCrowd, index: int) -> End:
        self._stage.say(f"{fault.per_s:g} strangers a second connect and ask for nothing")
        crowd = SilentCrowd(self._stage.clients_machine, self._stage.front, fault.per_s, fault.begin)
        crowd.start()
        return crowd.stop

    def _replace_boxes(self, fault: model.Replace, index: int) -> End:
        boxes = self._choose_boxes(fault, index)
        for place, box in enumerate(boxes):
            self._stage.after(fault.for_s * place / len(boxes), self._stage.replace, box, fault.same_address)
        return lambda: None

    def _jump(self, fault: model.TrafficJump, index: int) -> End:
        began = self._stage.now()
        ends = began + int(fault.for_s * 1e9)

        def times(at: int) -> float:
            rise = 1.0 if not fault.rise_s else min(1.0, (at - began) / (fault.rise_s * 1e9))
            fall = 1.0 if not fault.fall_s else min(1.0, max(0.0, (ends - at) / (fault.fall_s * 1e9)))
            return 1.0 + (fault.times - 1.0) * min(rise, fall)

        self._stage.say(f"{fault.times:g} times the traffic")
        self._stage.load.set_factor(index, times)
        return lambda: self._stage.load.set_factor(index, None)

    def _surge(self, fault: model.Surge, index: int) -> End:
        self._stage.say(f"{fault.times:g} times the {fault.of_class}")
        self._stage.load.set_class_factors(index, {fault.of_class: fault.times})
        return lambda: self._stage.load.set_class_factors(index, None)

    def _list_out(self, fault: model.ListOutage, index: int) -> End:
        self._stage.say("the box list is out of reach")
        self._stage.box_list.go_down(fault.silent)

        def end() -> None:
            self._stage.say("the box list is back")
            self._stage.box_list.come_up()

        return end

    def _list_lags(self, fault: model.ListLag, index: int) -> End:
        self._stage.say(f"the box list runs {fault.extra_s:g} s further behind")
        self._stage.box_list.extra_lag += fault.extra_s

        def end() -> None:
            self._stage.box_list.extra_lag -= fault.extra_s

        return end

    def _watches_fall_silent(self, fault: model.WatchesFallSilent, index: int) -> End:
        for name in self._choose_nodes(fault, index):
            self._stage.say(f"the watch of {name} falls silent")
            self._stage.box_list.fall_silent(name)
        return lambda: None

    def _list_moves(self, fault: model.ListMoves, index: int) -> End:
        self._stage.say("the box list moves to another address")
        self._stage.box_list.move()
        for name in self._stage.node_names:
            self._stage.reload(name)
        return lambda: None

    def _nodes_die(self, fault: model.NodeDies, index: int) -> End:
        names = self._choose_nodes(fault, index)
        for name in names:
            self._stage.kill(name)

        def end() -> None:
            for name in names:
                if not self._stage.nodes[name].running:
                    self._stage.start_node(name)

        return end

    def _nodes_vanish(self, fault: model.NodeVanishes, index: int) -> End:
        names = self._choose_nodes(fault, index)
        return self._silent(
            names, "is cut off in silence", lambda node: node.vanish(), lambda node: node.come_back()
        )

    def _nodes_stall(self, fault: model.NodeStalls, index: int) -> End:
        names = self._choose_nodes(fault, index)
        return self._silent(names, "stands still", lambda node: node.suspend(), lambda node: node.resume())

    def _silent(
        self, names: list[str], what: str, fall: Callable[[NodeProcess], None],
        come_back: Callable[[NodeProcess], None],
    ) -> End:  # fmt: skip
        for name in names:
            self._stage.say(f"{name} {what}")
            self._stage.vanished.add(name)
            fall(self._stage.nodes[name])
            self._stage.cuts[name] = (self._stage.now(), FOREVER)
            self._stage.note(wire.NodeDown(self._stage.now(), name))
            self._stage.front.node_dies(name)

        def end() -> None:
            for name in names:
                self._stage.say(f"{name} is back")
                self._stage.vanished.discard(name)
                come_back(self._stage.nodes[name])
                self._end_cut(name)
                self._stage.note(wire.NodeUp(self._stage.now(), name, new_process=False))
                self._stage.front.node_starts(name, self._stage.nodes[name].address(), lambda: None)

        return end

    def _nodes_starve(self, fault: model.NodeStarves, index: int) -> End:
        names = self._choose_nodes(fault, index)
        over = False
        self._stage.say(f"{', '.join(names)}: {fault.stands_ms:g} of each "
                        f"{fault.stands_ms + fault.runs_ms:g} ms it stands still")  # fmt: skip

        def stand() -> None:
            if not over and not self._stage.over:
                for name in names:
                    self._stage.nodes[name].suspend()
                self._stage.after(fault.stands_ms / 1e3, run)

        def run() -> None:
            for name in names:
                if name not in self._stage.vanished:
                    self._stage.nodes[name].resume()
            self._stage.after(fault.runs_ms / 1e3, stand)

        def end() -> None:
            nonlocal over
            over = True

        stand()
        return end

    def _links(self, fault: model.Links, index: int) -> End:
        tier, random = self._stage.tier, random_for(self._stage.seed, SEED_LABEL, index)
        assert tier is not None
        senders, receivers = tier.chosen(fault.senders, random), tier.chosen(fault.receivers, random)
        low, high = fault.delay_ms
        link_fault = LinkFault(
            fault.cut, fault.loss, (low / 1e3, high / 1e3), fault.duplicate, fault.reorder,
            fault.garble, fault.truncate,
        )  # fmt: skip
        cut = tier.begin(self._stage.now(), senders, receivers, link_fault, fault.both_ways)
        end_cut = tier.end
        what = "carry nothing" if fault.cut else "are bad"
        self._stage.say(f"{len(cut.pairs)} links between nodes {what}")

        def end() -> None:
            self._stage.say(f"{len(cut.pairs)} links between nodes are sound")
            end_cut(self._stage.now(), cut)

        return end

    def _nodes_restart(self, fault: model.NodeRestarts, index: int) -> End:
        names = self._choose_nodes(fault, index)
        for place, name in enumerate(names):
            self._stage.after(fault.for_s * place / len(names), self._stage.restart, name)
        return lambda: None

    _HANDLERS: ClassVar[dict[type, Callable[[Any, Any, int], End]]] = {
        model.SlowBoxes: _slow_boxes, model.EverythingSlow: _everything_slow, model.BoxDies: _boxes_die,
        model.BoxVanishes: _boxes_vanish, model.BoxErrors: _boxes_err,
        model.BrokenConnections: _connections_break, model.SilentCrowd: _crowd_comes,
        model.Replace: _replace_boxes,
        model.TrafficJump: _jump, model.Surge: _surge, model.ListOutage: _list_out,
        model.ListLag: _list_lags, model.WatchesFallSilent: _watches_fall_silent,
        model.ListMoves: _list_moves, model.NodeDies: _nodes_die,
        model.NodeVanishes: _nodes_vanish, model.NodeRestarts: _nodes_restart,
        model.NodeStalls: _nodes_stall, model.NodeStarves: _nodes_starve, model.Links: _links,
    }  # fmt: skip


def _names(boxes: list[Box]) -> str:
    if len(boxes) > 4:
        return f"{len(boxes)} boxes"
    return "box " + ", ".join(box.name for box in boxes) if boxes else "no box"
