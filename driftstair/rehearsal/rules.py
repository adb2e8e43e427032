"""The four rules, judged only by what crossed the wire.

1. No request is lost: a request that a running node has accepted gets exactly one final answer while its
client waits. If it is a box's answer, the box made it for this very request. After it nothing more is sent
for the request.

2. No effect happens twice: an unsafe request gets another attempt, or a refusal, only when every earlier
attempt is known not to have run; a keyed one only within the time in which its repeats are dropped.

3. Drains are kept: no new request goes to a box later than a grace period after the node was told that it
drains or is gone, or counts as told.

4. No cold box is overloaded by nodes that were told of its start.

`Checker.note` takes observations in the order of their times; `finish` ends the run. The checker does not
depend on sockets, processes or the daemon, and is the same for every environment.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush

from driftstair.rehearsal import wire
from driftstair.rehearsal.cold import ColdBudget, ColdRule
from driftstair.rehearsal.wire import HostState

NS_PER_MS = 1_000_000

RULE_NAMES = {
    1: "no request is lost",
    2: "no effect happens twice",
    3: "drains are kept",
    4: "no cold box is pushed over",
}
REFUSAL_STATUSES = (429, 503)
INFORMED_SHARE = 2 / 3  # share of an overload's work from nodes that knew of the start, to break rule 4


@dataclass(frozen=True, slots=True)
class ClassSemantics:
    """What may be repeated for a class: `effect` is "safe", "keyed" or "unsafe"; `repeat_window_ns` is the
    time in which a keyed request's repeats are dropped."""

    effect: str = "safe"  # or "keyed", "unsafe"
    repeat_window_ns: int = 0


@dataclass(frozen=True, slots=True)
class RuleBook:
    """The figures of the rules."""

    classes: dict[str, ClassSemantics] = field(default_factory=dict)
    answer_grace_ns: int = 50 * NS_PER_MS
    sending_grace_ns: int = 50 * NS_PER_MS  # an attempt may be in transit when the answer is sent
    drain_grace_ns: int = 1_000 * NS_PER_MS
    socket_grace_ns: int = 50 * NS_PER_MS  # added to limits, for delays of real sockets
    ask_within_ns: int = 10_000 * NS_PER_MS
    cold_rule: ColdRule = field(default_factory=ColdRule)


@dataclass(frozen=True, slots=True)
class RuleBreak:
    """One violation of a rule."""

    rule: int
    at: int  # ns
    request: str
    box: str
    node: str
    evidence: str

    @property
    def name(self) -> str:
        """Returns the text of the broken rule."""
        return RULE_NAMES[self.rule]


@dataclass(slots=True)
class _Attempt:
    """One attempt at a box."""

    number: int
    box: str
    began_at: int
    complete_at: int = -1  # when its last byte arrived; below 0: not yet
    rejected_at: int = -1  # when the box answered that it did not run; below 0: never


@dataclass(slots=True)
class _RequestRecord:
    """The state of one request, by its id, over all its attempts."""

    node: str
    kind: str
    asked_at: int
    deadline: int  # when the client stops waiting, plus the grace
    connected_at: int
    open: bool = True
    status: int = 0
    ended_at: int = 0
    excused: bool = False  # held by a node that was killed: no answer is owed
    sent_again: bool = False
    attempts: list[_Attempt] = field(default_factory=list)
    tokens: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class _ColdBox:
    """A box that is not yet warm."""

    budget: ColdBudget
    overloaded: bool = False


class Checker:
    """Judges the rules over a run."""

    def __init__(self, figures: RuleBook) -> None:
        self.breaks: list[RuleBreak] = []
        # Boxes overloaded by nodes that could not know of their start.
        self.excused_overloads: list[tuple[int, str]] = []
        self.requests_judged = 0
        self.first_attempts: dict[str, int] = {}  # at boxes, by class
        self.further_attempts: dict[str, int] = {}
        self._figures = figures
        self._requests: dict[bytes, _RequestRecord] = {}
        self._deadlines: list[tuple[int, bytes]] = []
        self._expiries: list[tuple[int, bytes]] = []
        self._attempts_by_number: dict[int, tuple[bytes, _Attempt]] = {}
        self._is_down: dict[str, bool] = {}
        self._last_exit: dict[str, int] = {}  # when a node's process last ended
        self._told_states: dict[tuple[str, str], tuple[int, HostState, int]] = {}
        self._listed_states: dict[str, tuple[int, HostState, int]] = {}
        self._last_contact: dict[str, tuple[int, bool]] = {}
        self._cold_boxes: dict[str, _ColdBox] = {}
        self._handlers = {
            wire.RequestSent: self._on_asked, wire.ResponseReceived: self._on_answered,
            wire.ConnectionEnded: self._on_cut, wire.RequestAbandoned: self._on_left_off,
            wire.UnexpectedMessage: self._on_unasked, wire.AttemptStarted: self._on_sending,
            wire.AttemptReceived: self._on_sent, wire.AttemptNotRun: self._on_not_run,
            wire.AttemptServed: self._on_ran, wire.ListChanged: self._on_listed,
            wire.ListEntrySent: self._on_told, wire.ListContact: self._on_contact,
            wire.NodeUp: self._on_node_up, wire.NodeDown: self._on_node_down, wire.BoxUp: self._on_box_up,
            wire.BoxDown: self._on_box_down,
        }  # fmt: skip

    def note(self, observation: wire.Observation) -> None:
        """Takes the next observation."""
        if self._deadlines and self._deadlines[0][0] < observation.at:
            self._check_deadlines(observation.at)
        self._handlers[type(observation)](observation)  # type: ignore[operator]

    def finish(self, now: int) -> list[RuleBreak]:
        """Ends the run and returns all violations. `now` must be late enough for every pending request to
        have had its time."""
        self._check_deadlines(now)
        return self.breaks

    def _report_break(
        self, rule: int, at: int, evidence: str, request: bytes = b"", box: str = "", node: str = ""
    ) -> None:
        self.breaks.append(RuleBreak(rule, at, request.decode("latin-1"), box, node, evidence))

    # Rule 1: exactly one final answer, in time.

    def _report_unanswered(self, request: bytes, record: _RequestRecord, at: int, description: str) -> None:
        """Reports a request that ends without a final answer, and ends it."""
        self._report_break(1, at, f"{description}; {_history(record)}", request, node=record.node)
        self._end_request(record, at)

    def _check_deadlines(self, now: int) -> None:
        while self._deadlines and self._deadlines[0][0] < now:
            _, request = heappop(self._deadlines)
            record = self._requests.get(request)
            if record is None or record.deadline >= now:
                continue
            if record.open and not record.excused:
                waited = (record.deadline - record.asked_at) / 1e9
                self._report_unanswered(
                    request, record, record.deadline, f"no final answer within {waited:.3f} s"
                )
            # A later message for the request is still a violation, so its state is kept for another minute.
            heappush(self._expiries, (record.deadline + 60_000 * NS_PER_MS, request))
        while self._expiries and self._expiries[0][0] < now:
            _, request = heappop(self._expiries)
            if (record := self._requests.pop(request, None)) is not None:
                for attempt in record.attempts:
                    self._attempts_by_number.pop(attempt.number, None)

    def _end_request(self, record: _RequestRecord, at: int) -> None:
        record.open = False
        record.ended_at = at

    def _on_asked(self, event: wire.RequestSent) -> None:
        record = self._requests.get(event.request)
        if record is not None:
            # Sent again on another connection; the history of attempts is kept.
            record.sent_again = True
            record.node, record.connected_at, record.open = event.node, event.connected_at, True
            record.asked_at, record.deadline = (
                event.at,
                event.at + event.patience + self._figures.answer_grace_ns,
            )
        else:
            self.requests_judged += 1
            record = self._requests[event.request] = _RequestRecord(
                event.node, event.kind, event.at, event.at + event.patience + self._figures.answer_grace_ns,
                event.connected_at,
            )  # fmt: skip
        # A dead machine accepts nothing, and a connection to an ended process leads nowhere.
        record.excused = self._is_down.get(event.node, False) or event.connected_at < self._last_exit.get(
            event.node, -1
        )
        heappush(self._deadlines, (record.deadline, event.request))

    def _on_answered(self, event: wire.ResponseReceived) -> None:
        record = self._requests.get(event.request)
        if record is None:
            self._report_break(1, event.at, "an answer to a request that nobody made", event.request)
            return
        if not record.open:
            reason = f"answered {record.status} before" if record.status else "its client had stopped waiting"
            if record.status:
                self._report_break(
                    1,
                    event.at,
                    f"a second final answer, {event.status}; {reason}",
                    event.request,
                    node=record.node,
                )
            return
        record.status = event.status
        self._end_request(record, event.at)
        if event.status == 200:
            if event.token not in record.tokens:
                description = f"served with what no box made for it: {event.token!r}; {_history(record)}"
                self._report_break(1, event.at, description, event.request, node=record.node)
        elif event.status in REFUSAL_STATUSES and self._effect_of(record) == "unsafe":
            unconfirmed = [
                attempt for attempt in record.attempts if attempt.complete_at >= 0 and attempt.rejected_at < 0
            ]
            if unconfirmed:
                self._report_break(
                    2,
                    event.at,
                    f"refused, though it may have run: {_history(record)}",
                    event.request,
                    unconfirmed[0].box,
                    record.node,
                )

    def _on_cut(self, event: wire.ConnectionEnded) -> None:
        record = self._requests.get(event.request)
        if record is None or not record.open or record.excused:
            return
        if not record.attempts and not record.sent_again:
            # The node closed the connection between requests while this one was in transit; its client sends
            # it again.
            self._end_request(record, event.at)
            return
        self._report_unanswered(
            event.request, record, event.at, f"its connection ended ({event.reason}) with no answer"
        )

    def _on_left_off(self, event: wire.RequestAbandoned) -> None:
        record = self._requests.get(event.request)
        if record is not None and record.open:
            self._end_request(record, event.at)

    def _on_unasked(self, event: wire.UnexpectedMessage) -> None:
        self._report_break(1, event.at, event.description, node=event.node)

    # Rule 2: no effect twice. Rule 3: drains.

    def _effect_of(self, record: _RequestRecord) -> str:
        semantics = self._figures.classes.get(record.kind)
        return semantics.effect if semantics is not None else "safe"

    def _on_sending(self, event: wire.AttemptStarted) -> None:
        self._check_drain(event)
        record = self._requests.get(event.request)
        if record is None:
            self._report_break(
                1,
                event.at,
                "sent to a box, though no client asked for it",
                event.request,
                event.box,
                event.node,
            )
            return
        if (
            not record.open
            and record.status
            and event.sent_at > record.ended_at + self._figures.sending_grace_ns
        ):
            late_ms = (event.sent_at - record.ended_at) / 1e6
            self._report_break(
                1,
                event.at,
                f"sent to a box {late_ms:.0f} ms after its final answer, {record.status}",
                event.request,
                event.box,
                event.node,
            )
        self._check_repeat(event, record)
        counters = self.further_attempts if record.attempts else self.first_attempts
        counters[record.kind] = counters.get(record.kind, 0) + 1
        attempt = _Attempt(event.attempt, event.box, event.at)
        record.attempts.append(attempt)
        self._attempts_by_number[event.attempt] = (event.request, attempt)

    def _check_repeat(self, event: wire.AttemptStarted, record: _RequestRecord) -> None:
        effect = self._effect_of(record)
        unconfirmed = [
            attempt for attempt in record.attempts if attempt.complete_at >= 0 and attempt.rejected_at < 0
        ]
        if effect == "unsafe" and unconfirmed:
            self._report_break(
                2,
                event.at,
                f"another attempt, though an earlier one may have run: {_history(record)}",
                event.request,
                event.box,
                event.node,
            )
        elif effect == "keyed" and unconfirmed:
            elapsed_ns = event.at - min(attempt.complete_at for attempt in unconfirmed)
            window_ns = self._figures.classes[record.kind].repeat_window_ns
            if elapsed_ns > window_ns:
                self._report_break(
                    2,
                    event.at,
                    f"repeated {elapsed_ns / 1e9:.3f} s after it may have run; repeats are dropped for "
                    f"{window_ns / 1e9:.3f} s: {_history(record)}",
                    event.request,
                    event.box,
                    event.node,
                )

    def _on_sent(self, event: wire.AttemptReceived) -> None:
        entry = self._attempts_by_number.get(event.attempt)
        if entry is not None:
            entry[1].complete_at = event.at
        cold_box = self._cold_boxes.get(event.box)
        if cold_box is not None:
            self._check_cold(event, cold_box)

    def _on_not_run(self, event: wire.AttemptNotRun) -> None:
        entry = self._attempts_by_number.get(event.attempt)
        if entry is not None:
            entry[1].rejected_at = event.at

    def _on_ran(self, event: wire.AttemptServed) -> None:
        record = self._requests.get(event.request)
        if record is not None:
            record.tokens.add(event.token)

    def _check_drain(self, event: wire.AttemptStarted) -> None:
        informed = self._informed_since(event.node, event.box, event.at)
        limit = self._figures.drain_grace_ns + self._figures.socket_grace_ns
        if informed is not None and event.sent_at > informed[0] + limit:
            self._report_break(
                3,
                event.at,
                f"sent {(event.sent_at - informed[0]) / 1e9:.3f} s after the node {informed[1]}; "
                f"{limit / 1e9:.2f} s are allowed",
                event.request,
                event.box,
                event.node,
            )

    def _informed_since(self, node: str, box: str, now: int) -> tuple[int, str] | None:
        """Returns the time from which a node counts as told that a box takes no new requests, and how it was
        told."""
        told = self._told_states.get((node, box))
        if told is not None and told[1] is not HostState.READY:
            return told[0], f"was told that it is {told[1].value}"
        listed = self._listed_states.get(box)
        if listed is None or listed[1] is HostState.READY:
            return None
        last_contact, watching = self._last_contact.get(node, (0, False))
        if watching:
            return None
        since = max(listed[0], last_contact + self._figures.ask_within_ns)
        return (since, f"counts as told that it is {listed[1].value}") if since < now else None

    # Rule 4: cold boxes.

    def _check_cold(self, event: wire.AttemptReceived, cold_box: _ColdBox) -> None:
        if event.at >= cold_box.budget.warm_at():
            del self._cold_boxes[event.box]
            return
        if cold_box.budget.add_arrival(event.at, event.work, event.node) or cold_box.overloaded:
            return
        cold_box.overloaded = True
        total_work = cold_box.budget.work_in_window()
        informed_work = sum(
            work for at, work, node in cold_box.budget.arrivals if self._knows_start(node, event.box, at)
        )
        if informed_work < INFORMED_SHARE * total_work:
            self.excused_overloads.append((event.at, event.box))
            return
        self._report_break(
            4,
            event.at,
            f"{total_work:.2f} core-seconds of work came "
            f"within {self._figures.cold_rule.window_ns / 1e9:.1f} s, "
            f"{cold_box.budget.allowed_work(event.at):.2f} are what it stands; "
            f"{informed_work / total_work:.0%} from nodes told of its start",
            event.request,
            event.box,
            event.node,
        )

    def _knows_start(self, node: str, box: str, now: int) -> bool:
        """Whether a node knew, or counts as told, that this process of a box had started."""
        told = self._told_states.get((node, box))
        listed = self._listed_states.get(box)
        if told is not None and listed is not None and told[2] == listed[2]:
            return True
        last_contact, watching = self._last_contact.get(node, (0, False))
        return (
            listed is not None
            and not watching
            and now > max(listed[0], last_contact + self._figures.ask_within_ns)
        )

    # Events of the box list, the nodes and the boxes.

    def _on_listed(self, event: wire.ListChanged) -> None:
        self._listed_states[event.box] = (event.at, event.state, event.started_at)

    def _on_told(self, event: wire.ListEntrySent) -> None:
        before = self._told_states.get((event.node, event.box))
        is_leaving = event.state is not HostState.READY
        if before is not None and is_leaving and before[1] is not HostState.READY:
            return  # the first notice that the box leaves counts
        self._told_states[(event.node, event.box)] = (event.at, event.state, event.started_at)

    def _on_contact(self, event: wire.ListContact) -> None:
        self._last_contact[event.node] = (event.at, event.watching)

    def _on_node_up(self, event: wire.NodeUp) -> None:
        self._is_down[event.node] = False
        if event.new_process:
            self._last_contact[event.node] = (event.at, False)

    def _on_node_down(self, event: wire.NodeDown) -> None:
        self._is_down[event.node] = True
        self._last_exit[event.node] = event.at
        for request, record in self._requests.items():
            if not record.open or record.excused or record.node != event.node:
                continue
            if event.planned:
                self._report_unanswered(
                    request, record, event.at, "the node ended of itself and left it unanswered"
                )
            else:
                record.excused = True
        # A restarted process knows only what it is told from now on.
        for node, box in [key for key in self._told_states if key[0] == event.node]:
            del self._told_states[(node, box)]

    def _on_box_up(self, event: wire.BoxUp) -> None:
        if event.cold_share < 1.0 and event.cold_time_ns > 0:
            self._cold_boxes[event.box] = _ColdBox(
                ColdBudget(
                    self._figures.cold_rule, event.at, event.capacity, event.cold_share, event.cold_time_ns
                )
            )

    def _on_box_down(self, event: wire.BoxDown) -> None:
        self._cold_boxes.pop(event.box, None)


def _history(record: _RequestRecord) -> str:
    """Describes the attempts of a request."""
    if not record.attempts:
        return "no box saw it"
    parts = []
    for attempt in record.attempts:
        state = (
            "turned away" if attempt.rejected_at >= 0 else "whole" if attempt.complete_at >= 0 else "in part"
        )
        parts.append(f"{attempt.box} at {attempt.began_at / 1e9:.3f} s ({state})")
    return "tried at " + ", ".join(parts)
