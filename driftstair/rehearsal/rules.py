"""The four rules, judged by what crossed the wire and by nothing else.

1. No request is lost: what a running node has taken gets exactly one final answer while its client waits, one
   that a box made for this very request if it is an answer at all; after it nothing more is sent for it.
2. No effect happens twice: an unsafe request gets another attempt, or a refusal, only when every earlier
   attempt is known not to have run; a keyed one only within the time in which its repeats are dropped.
3. Drains are kept: nothing new goes to a box later than a grace after the node was told that it drains or is
   gone, or counts as told.
4. No cold box is pushed over by nodes that were told of its start.

`Checker.note` takes observations in the order of their times; `finish` ends the run. The checker knows
nothing of sockets, processes or the daemon, and is the same for every front.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush

from driftstair.rehearsal import wire
from driftstair.rehearsal.cold import ColdBudget, ColdRule
from driftstair.rehearsal.wire import HostState

MS = 1_000_000  # ns

NAMES = {
    1: "no request is lost",
    2: "no effect happens twice",
    3: "drains are kept",
    4: "no cold box is pushed over",
}
REFUSALS = (429, 503)
TOLD_PART = 2 / 3  # of the work that pushed a cold box over, from nodes that knew of its start


@dataclass(frozen=True, slots=True)
class Repeats:
    """What a class allows. `window`: ns in which a keyed request's repeats are dropped."""

    effect: str = "safe"  # or "keyed", "unsafe"
    window: int = 0


@dataclass(frozen=True, slots=True)
class RuleBook:
    """The figures of the rules; durations in ns."""

    classes: dict[str, Repeats] = field(default_factory=dict)
    answer_grace: int = 50 * MS
    sending_grace: int = 50 * MS  # an attempt may still be on its way when the answer is
    drain_grace: int = 1_000 * MS
    socket_grace: int = 50 * MS  # each limit is so much longer on sockets
    ask_within: int = 10_000 * MS
    cold: ColdRule = field(default_factory=ColdRule)


@dataclass(frozen=True, slots=True)
class Break:
    """One rule broken once."""

    rule: int
    at: int  # ns
    request: str
    box: str
    node: str
    evidence: str

    @property
    def name(self) -> str:
        return NAMES[self.rule]


@dataclass(slots=True)
class _Attempt:
    number: int
    box: str
    began: int
    whole: int = -1  # when its last byte came; below 0: not yet
    not_run: int = -1  # when the box said that it did not run


@dataclass(slots=True)
class _Ask:
    """One request, by its id, over all that became of it."""

    node: str
    kind: str
    asked: int
    until: int  # when the client stops waiting, with the grace
    connected: int
    open: bool = True
    status: int = 0
    ended: int = 0
    voided: bool = False  # held by a node that died
    asked_again: bool = False
    attempts: list[_Attempt] = field(default_factory=list)
    tokens: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class _Cold:
    budget: ColdBudget
    fell: bool = False


class Checker:
    def __init__(self, book: RuleBook) -> None:
        self.breaks: list[Break] = []
        self.fallen: list[tuple[int, str]] = []  # boxes pushed over by nodes that could not know
        self.judged = 0  # requests
        self.first_attempts: dict[str, int] = {}  # at boxes, by class
        self.further_attempts: dict[str, int] = {}
        self._book = book
        self._asks: dict[bytes, _Ask] = {}
        self._due: list[tuple[int, bytes]] = []
        self._forget: list[tuple[int, bytes]] = []
        self._attempts: dict[int, tuple[bytes, _Attempt]] = {}
        self._down: dict[str, bool] = {}
        self._died: dict[str, int] = {}  # when a node's process last ended
        self._told: dict[tuple[str, str], tuple[int, HostState, int]] = {}
        self._listed: dict[str, tuple[int, HostState, int]] = {}
        self._contact: dict[str, tuple[int, bool]] = {}
        self._cold: dict[str, _Cold] = {}
        self._handlers = {
            wire.RequestSent: self._asked, wire.ResponseReceived: self._answered,
            wire.ConnectionEnded: self._cut, wire.RequestAbandoned: self._left_off,
            wire.UnexpectedMessage: self._unasked, wire.AttemptStarted: self._sending,
            wire.AttemptReceived: self._sent, wire.AttemptNotRun: self._not_run,
            wire.AttemptServed: self._ran, wire.ListChanged: self._list_changed,
            wire.ListEntrySent: self._node_told, wire.ListContact: self._node_asked,
            wire.NodeUp: self._node_up, wire.NodeDown: self._node_down, wire.BoxUp: self._box_up,
            wire.BoxDown: self._box_down,
        }  # fmt: skip

    def note(self, seen: wire.Observation) -> None:
        if self._due and self._due[0][0] < seen.at:
            self._look_at_clock(seen.at)
        self._handlers[type(seen)](seen)  # type: ignore[operator]

    def finish(self, now: int) -> list[Break]:
        """The run is over, and all that was still due has had its time by `now`."""
        self._look_at_clock(now)
        return self.breaks

    def _broken(
        self, rule: int, at: int, evidence: str, request: bytes = b"", box: str = "", node: str = ""
    ) -> None:
        self.breaks.append(Break(rule, at, request.decode("latin-1"), box, node, evidence))

    # Rule 1: exactly one final answer, in time.

    def _look_at_clock(self, now: int) -> None:
        while self._due and self._due[0][0] < now:
            _, request = heappop(self._due)
            ask = self._asks.get(request)
            if ask is None or ask.until >= now:
                continue
            if ask.open and not ask.voided:
                waited = (ask.until - ask.asked) / 1e9
                self._broken(
                    1, ask.until, f"no final answer within {waited:.3f} s; {_history(ask)}", request,
                    node=ask.node,
                )  # fmt: skip
                self._end(ask, ask.until)
            # What comes for it later would still be a break; long after that it can be forgotten.
            heappush(self._forget, (ask.until + 60_000 * MS, request))
        while self._forget and self._forget[0][0] < now:
            _, request = heappop(self._forget)
            if (ask := self._asks.pop(request, None)) is not None:
                for attempt in ask.attempts:
                    self._attempts.pop(attempt.number, None)

    def _end(self, ask: _Ask, at: int) -> None:
        ask.open = False
        ask.ended = at

    def _asked(self, seen: wire.RequestSent) -> None:
        ask = self._asks.get(seen.request)
        if ask is not None:
            # Sent once more on another connection; it keeps its history of attempts.
            ask.asked_again = True
            ask.node, ask.connected, ask.open = seen.node, seen.connected_at, True
            ask.asked, ask.until = seen.at, seen.at + seen.patience + self._book.answer_grace
        else:
            self.judged += 1
            ask = self._asks[seen.request] = _Ask(
                seen.node, seen.kind, seen.at, seen.at + seen.patience + self._book.answer_grace,
                seen.connected_at,
            )  # fmt: skip
        # A dead machine takes nothing, and a connection to a process that has died is none.
        ask.voided = self._down.get(seen.node, False) or seen.connected_at < self._died.get(seen.node, -1)
        heappush(self._due, (ask.until, seen.request))

    def _answered(self, seen: wire.ResponseReceived) -> None:
        ask = self._asks.get(seen.request)
        if ask is None:
            self._broken(1, seen.at, "an answer to a request that nobody made", seen.request)
            return
        if not ask.open:
            how = f"answered {ask.status} before" if ask.status else "its client had stopped waiting"
            if ask.status:
                self._broken(1, seen.at, f"a second final answer, {seen.status}; {how}", seen.request,
                             node=ask.node)  # fmt: skip
            return
        ask.status = seen.status
        self._end(ask, seen.at)
        if seen.status == 200:
            if seen.token not in ask.tokens:
                what = f"served with what no box made for it: {seen.token!r}; {_history(ask)}"
                self._broken(1, seen.at, what, seen.request, node=ask.node)
        elif seen.status in REFUSALS and self._effect(ask) == "unsafe":
            maybe = [one for one in ask.attempts if one.whole >= 0 and one.not_run < 0]
            if maybe:
                self._broken(2, seen.at, f"refused, though it may have run: {_history(ask)}", seen.request,
                             maybe[0].box, ask.node)  # fmt: skip

    def _cut(self, seen: wire.ConnectionEnded) -> None:
        ask = self._asks.get(seen.request)
        if ask is None or not ask.open or ask.voided:
            return
        if not ask.attempts and not ask.asked_again:
            # Closed between requests, and this one crossed that: its client sends it once more.
            self._end(ask, seen.at)
            return
        self._broken(1, seen.at, f"its connection ended ({seen.reason}) with no answer; {_history(ask)}",
                     seen.request, node=ask.node)  # fmt: skip
        self._end(ask, seen.at)

    def _left_off(self, seen: wire.RequestAbandoned) -> None:
        ask = self._asks.get(seen.request)
        if ask is not None and ask.open:
            self._end(ask, seen.at)

    def _unasked(self, seen: wire.UnexpectedMessage) -> None:
        self._broken(1, seen.at, seen.description, node=seen.node)

    # Rule 2: no effect twice. Rule 3: drains.

    def _effect(self, ask: _Ask) -> str:
        found = self._book.classes.get(ask.kind)
        return found.effect if found is not None else "safe"

    def _sending(self, seen: wire.AttemptStarted) -> None:
        self._check_drain(seen)
        ask = self._asks.get(seen.request)
        if ask is None:
            self._broken(1, seen.at, "sent to a box, though no client asked for it", seen.request, seen.box,
                         seen.node)  # fmt: skip
            return
        if not ask.open and ask.status and seen.sent_at > ask.ended + self._book.sending_grace:
            late = (seen.sent_at - ask.ended) / 1e6
            self._broken(1, seen.at, f"sent to a box {late:.0f} ms after its final answer, {ask.status}",
                         seen.request, seen.box, seen.node)  # fmt: skip
        self._check_repeat(seen, ask)
        counted = self.further_attempts if ask.attempts else self.first_attempts
        counted[ask.kind] = counted.get(ask.kind, 0) + 1
        attempt = _Attempt(seen.attempt, seen.box, seen.at)
        ask.attempts.append(attempt)
        self._attempts[seen.attempt] = (seen.request, attempt)

    def _check_repeat(self, seen: wire.AttemptStarted, ask: _Ask) -> None:
        effect = self._effect(ask)
        maybe = [one for one in ask.attempts if one.whole >= 0 and one.not_run < 0]
        if effect == "unsafe" and maybe:
            self._broken(2, seen.at, f"another attempt, though an earlier one may have run: {_history(ask)}",
                         seen.request, seen.box, seen.node)  # fmt: skip
        elif effect == "keyed" and maybe:
            since = seen.at - min(one.whole for one in maybe)
            window = self._book.classes[ask.kind].window
            if since > window:
                self._broken(
                    2, seen.at,
                    f"repeated {since / 1e9:.3f} s after it may have run; repeats are dropped for "
                    f"{window / 1e9:.3f} s: {_history(ask)}", seen.request, seen.box, seen.node,
                )  # fmt: skip

    def _sent(self, seen: wire.AttemptReceived) -> None:
        found = self._attempts.get(seen.attempt)
        if found is not None:
            found[1].whole = seen.at
        cold = self._cold.get(seen.box)
        if cold is not None:
            self._check_cold(seen, cold)

    def _not_run(self, seen: wire.AttemptNotRun) -> None:
        found = self._attempts.get(seen.attempt)
        if found is not None:
            found[1].not_run = seen.at

    def _ran(self, seen: wire.AttemptServed) -> None:
        ask = self._asks.get(seen.request)
        if ask is not None:
            ask.tokens.add(seen.token)

    def _check_drain(self, seen: wire.AttemptStarted) -> None:
        since = self._told_since(seen.node, seen.box, seen.at)
        limit = self._book.drain_grace + self._book.socket_grace
        if since is not None and seen.sent_at > since[0] + limit:
            self._broken(
                3, seen.at,
                f"sent {(seen.sent_at - since[0]) / 1e9:.3f} s after the node {since[1]}; "
                f"{limit / 1e9:.2f} s are allowed", seen.request, seen.box, seen.node,
            )  # fmt: skip

    def _told_since(self, node: str, box: str, now: int) -> tuple[int, str] | None:
        """Since when a node counts as told that a box takes nothing new, and how it was told."""
        told = self._told.get((node, box))
        if told is not None and told[1] is not HostState.READY:
            return told[0], f"was told that it is {told[1].value}"
        listed = self._listed.get(box)
        if listed is None or listed[1] is HostState.READY:
            return None
        last, standing = self._contact.get(node, (0, False))
        if standing:
            return None
        since = max(listed[0], last + self._book.ask_within)
        return (since, f"counts as told that it is {listed[1].value}") if since < now else None

    # Rule 4: cold boxes.

    def _check_cold(self, seen: wire.AttemptReceived, cold: _Cold) -> None:
        if seen.at >= cold.budget.warm_at():
            del self._cold[seen.box]
            return
        if cold.budget.arrive(seen.at, seen.work, seen.node) or cold.fell:
            return
        cold.fell = True
        total = cold.budget.in_window()
        knew = sum(work for at, work, node in cold.budget.arrivals if self._knows_start(node, seen.box, at))
        if knew < TOLD_PART * total:
            self.fallen.append((seen.at, seen.box))
            return
        self._broken(
            4, seen.at,
            f"{total:.2f} core-seconds of work came within {self._book.cold.fall_time / 1e9:.1f} s, "
            f"{cold.budget.allowed(seen.at):.2f} are what it stands; {knew / total:.0%} from nodes told of "
            f"its start", seen.request, seen.box, seen.node,
        )  # fmt: skip

    def _knows_start(self, node: str, box: str, now: int) -> bool:
        told = self._told.get((node, box))
        listed = self._listed.get(box)
        if told is not None and listed is not None and told[2] == listed[2]:
            return True
        last, standing = self._contact.get(node, (0, False))
        return listed is not None and not standing and now > max(listed[0], last + self._book.ask_within)

    # What the list, the nodes and the boxes do.

    def _list_changed(self, seen: wire.ListChanged) -> None:
        self._listed[seen.box] = (seen.at, seen.state, seen.started_at)

    def _node_told(self, seen: wire.ListEntrySent) -> None:
        before = self._told.get((seen.node, seen.box))
        leaves = seen.state is not HostState.READY
        if before is not None and leaves and before[1] is not HostState.READY:
            return  # the first word counts
        self._told[(seen.node, seen.box)] = (seen.at, seen.state, seen.started_at)

    def _node_asked(self, seen: wire.ListContact) -> None:
        self._contact[seen.node] = (seen.at, seen.watching)

    def _node_up(self, seen: wire.NodeUp) -> None:
        self._down[seen.node] = False
        if seen.new_process:
            self._contact[seen.node] = (seen.at, False)

    def _node_down(self, seen: wire.NodeDown) -> None:
        self._down[seen.node] = True
        self._died[seen.node] = seen.at
        for request, ask in self._asks.items():
            if not ask.open or ask.voided or ask.node != seen.node:
                continue
            if seen.planned:
                self._broken(1, seen.at, f"the node ended of itself and left it unanswered; {_history(ask)}",
                             request, node=seen.node)  # fmt: skip
                self._end(ask, seen.at)
            else:
                ask.voided = True
        # A process that starts again has only what it is told from now on.
        for node, box in [key for key in self._told if key[0] == seen.node]:
            del self._told[(node, box)]

    def _box_up(self, seen: wire.BoxUp) -> None:
        if seen.cold_share < 1.0 and seen.cold_time_ns > 0:
            self._cold[seen.box] = _Cold(
                ColdBudget(self._book.cold, seen.at, seen.capacity, seen.cold_share, seen.cold_time_ns)
            )

    def _box_down(self, seen: wire.BoxDown) -> None:
        self._cold.pop(seen.box, None)


def _history(ask: _Ask) -> str:
    if not ask.attempts:
        return "no box saw it"
    parts = []
    for attempt in ask.attempts:
        state = "turned away" if attempt.not_run >= 0 else "whole" if attempt.whole >= 0 else "in part"
        parts.append(f"{attempt.box} at {attempt.began / 1e9:.3f} s ({state})")
    return "tried at " + ", ".join(parts)
