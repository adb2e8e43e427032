"""One node's part in the tier's membership: a state machine without clock, socket or chance of its own.

`handle(now, event)` gives the actions; `wake_at` says when it wants to be woken. Times are monotonic ns.
SWIM's probes (direct, then through others), suspicion and refutation, and Lifeguard's three corrections: the
local health score with negative answers, suspicion that shortens with each confirmation, and telling a
suspect first. Beyond the papers:

- a node that stood still (it is woken late) judges nobody by what it missed;
- a node that nobody answers judges nobody, and in time holds those it does not hear dead for itself alone;
- no verdict falls on a suspect that goes on speaking to this node, up to the longest suspicion;
- those who hear of a suspicion probe the suspect next, a few of them: it is confirmed or refuted sooner;
- a node in doubt of itself waits longer for answers, but probes as often: else it finds no way out of it;
- each node probes its neighbour by number too, so that each is probed in every period;
- members that are dead, gone or never heard of are called in turn, so that halves find each other again.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from driftstair.tier.membership import events as api
from driftstair.tier.membership.events import Action, Changed, Kind, MemberView, Message, Send
from driftstair.tier.membership.health import Health
from driftstair.tier.membership.members import Claim, Member, State, Traits
from driftstair.tier.membership.probing import Probe, Probing
from driftstair.tier.membership.suspicion import MOST_TIMES, Suspicion, least
from driftstair.tier.membership.update_queue import UpdateQueue
from driftstair.tier.replay import Window

NEVER = 1 << 62

HELPERS = 3  # nodes that are asked to probe one that did not answer (SWIM's k)
FANOUT = 3  # nodes that are told news at once
SPREADS = 5  # times a period that news may go out
IN_TURN = 4  # claims in a probe or an answer that are no news: what was lost is learned from them
LOOKERS = 5  # nodes that probe a suspect beside the one that found it, about
LOOKS_MOST = 2  # of those probes a node sends at most in a period
LATE_BEYOND = 0.4  # of a period: a node woken so late stood still
JOINING = 10  # periods from the start on in which a node that knows nobody calls often
SILENT = 6  # periods in which no probe is answered: this node itself is cut off
LIVES_MOST = 8  # times that a number is claimed back from a later life
QUIET = 60  # periods after which such claims are forgotten
LIFE_MOST = (1 << 32) - 1  # what a datagram holds
INCARNATION_MOST = (1 << 16) - 1
LEAVING = 8  # nodes that are told of a leave at once


class Membership:
    """`life` as in Claim; `period` in ns; a message has `room` bytes for claims, and each takes
    `size(claim)` of them."""

    def __init__(
        self, own: int, count: int, life: int, traits: Traits, period: int, random: Random, room: int,
        size: Callable[[Claim], int],
    ) -> None:  # fmt: skip
        self.own = own
        self.mine = Claim(own, life, 0, State.ALIVE, own, traits)
        self.members: dict[int, Member] = {}
        self.health = Health()
        self.wake_at = NEVER
        self.superseded = False
        self.counts = {"replayed": 0, "old_life": 0, "misdirected": 0, "pauses": 0, "probes": 0,
                       "failed_probes": 0, "refuted": 0, "out": 0}  # fmt: skip
        self._period = period
        self._spread = period // SPREADS
        self._random = random
        self._room = room
        self._size = size
        self._news = UpdateQueue()
        self._order = 0  # datagrams sent in this life
        self._probing = Probing(period, random.randrange(1 << 16))
        self._round: list[int] = []  # numbers to probe, the next one last
        self._calls: list[int] = []  # numbers to call, likewise
        self._rows: list[int] = []  # numbers whose claims go round
        self._next_period = NEVER
        self._neighbour_at = NEVER
        self._next_spread = NEVER
        self._last_spread = -period
        self._looks = 0  # in this period
        self._answered_at = 0
        self._joining_until = 0
        self._alone = False
        self._alone_since = 0
        self._claimed = 0  # times that the own number was claimed by a later life
        self._claimed_at = 0
        self._left = False
        self._started = False
        self._actions: list[Action] = []
        self._suspects: set[int] = set()
        self._living = 0  # others that are alive or suspect
        self._others: list[int] | None = None  # their numbers, once they are asked for
        self._resize(count)

    # What others may ask.

    def living(self) -> list[int]:
        """The numbers held alive or suspect, this node's own among them."""
        return sorted([self.own, *(one.number for one in self.members.values() if one.counts())])

    def known(self) -> dict[int, Claim]:
        """Claims on others that live and that this node hears of, by number."""
        found = {}
        for number in self.living():
            member = self.members.get(number)
            if member is not None and member.claim is not None and not member.unheard:
                found[number] = member.claim
        return found

    def is_isolated(self) -> bool:
        """Whether nobody has answered for so long that this node holds itself cut off."""
        return self._alone

    def leaving(self) -> bool:
        return self._left

    def seen(self, now: int) -> list[MemberView]:
        out = []
        for member in self.members.values():
            claim = member.claim or Claim(member.number, 0, 0, State.ALIVE, member.number)
            suspicion = member.suspicion
            out.append(MemberView(
                member.number, member.state, claim.life, claim.incarnation, *claim.traits, now - member.since,
                now - member.heard if member.heard >= 0 else -1, member.round_trip,
                tuple(sorted(suspicion.by)) if suspicion else (),
                max(0, suspicion.end() - now) if suspicion else -1, member.unheard,
            ))  # fmt: skip
        return out

    def held(self) -> tuple[Claim, ...]:
        """All that is claimed of members, this node first: what a folder keeps."""
        return (self.mine, *(one.claim for one in self.members.values() if one.claim is not None))

    # Events.

    def handle(self, now: int, event: api.Event) -> list[Action]:
        self._actions = []
        if self.superseded:
            return []
        if self._started and not isinstance(event, api.Start):
            self._stood_still(now)
        match event:
            case api.Received(message):
                self._hear(now, message)
            case api.Wake():
                pass
            case api.Start(kept):
                self._start(now, kept)
            case api.Leave():
                self._leave(now)
            case api.SendPayload(to, items):
                if to in self.members:
                    self._send(Kind.SHARED, to, items=items)
            case api.Peers(count, own, moved):
                self._readdress(now, count, own, moved)
        if self._started and not self.superseded:
            self._due(now)
            self._set_wake(now)
        actions, self._actions = self._actions, []
        return actions

    def _start(self, now: int, kept: tuple[Claim, ...]) -> None:
        self._started = True
        self._answered_at = now
        self._joining_until = now + JOINING * self._period
        self._next_period = now
        self._changed(self.mine, "starts")
        for claim in kept:
            if claim.number == self.own:
                if claim.life >= self.mine.life:
                    self._new_life(claim.life + 1)
            elif claim.number in self.members:
                self._merge(now, claim, "kept", spread=False)
        self._news.add(self.mine)
        self._next_spread = now

    def _leave(self, now: int) -> None:
        if self._left:
            return
        self._left = True
        self.mine = self.mine._replace(incarnation=self.mine.incarnation + 1, state=State.LEFT)
        self._probing.clear()
        self._changed(self.mine, "leaves")
        self._news.add(self.mine)
        for number in self._some(LEAVING, ()):
            self._send(Kind.NEWS, number)
        self._next_spread = now + self._spread

    def _readdress(self, now: int, count: int, own: int, moved: frozenset[int]) -> None:
        """Another machine under a number is another member; under the own number, this process is new to the
        tier, and what it was called before is dead to the others until that number's new machine speaks."""
        for number in moved:
            self._drop(number)
        if own != self.own:
            self._drop(own)
            before, self.own = self.own, own
            self._probing.forget(before)
            self.mine = self.mine._replace(number=own, by=own)
            self._new_life(self.mine.life + 1)
        self._resize(count)
        self._news.add(self.mine)
        self._next_spread = now

    def _drop(self, number: int) -> None:
        self.members.pop(number, None)
        self._suspects.discard(number)
        self._news.forget(number)
        self._probing.forget(number)

    def _resize(self, count: int) -> None:
        for number in [number for number in self.members if number >= count]:
            self._drop(number)
        for number in range(count):
            if number != self.own and number not in self.members:
                self.members[number] = Member(number)
        self._round.clear()
        self._calls.clear()
        self._rows.clear()
        self._recount()

    def _counted(self) -> list[int]:
        if self._others is None:
            self._others = [one.number for one in self.members.values() if one.counts()]
        return self._others

    def _recount(self) -> None:
        self._living = sum(one.counts() for one in self.members.values())
        self._others = None

    # A node that stood still, and one that hears nobody.

    def _stood_still(self, now: int) -> None:
        """Guards against verdicts on others by a process that was stopped: what it missed is its own."""
        late = now - self.wake_at
        if late <= int(LATE_BEYOND * self._period):
            return
        self.counts["pauses"] += 1
        self._actions.append(api.ProcessStalled(late))
        self.health.worse(2)
        self._probing.clear()
        for number in self._suspects:
            suspicion = self.members[number].suspicion
            assert suspicion is not None
            suspicion.anew(now)
        self._answered_at = now
        if not self._left:
            self._next_period = now
        if self._next_spread < now:
            self._next_spread = now

    def _hears(self, now: int) -> bool:
        """Whether a probe was answered of late; else the fault may be here, and nobody is judged. That others
        are heard says little: they may not hear this node."""
        return not self._alone and now - self._answered_at <= self._period

    def _check_alone(self, now: int) -> None:
        silent = now - self._answered_at
        if not self._alone and silent > SILENT * self._period:
            self._alone = True
            self._alone_since = now
        if self._alone and now >= self._alone_since + self._patience():
            for member in self.members.values():
                if member.counts() and not member.unheard and member.heard < self._alone_since:
                    assert member.claim is not None
                    member.unheard = True
                    member.since = now
                    held = member.claim._replace(state=State.DEAD, by=self.own)
                    self._actions.append(Changed(held, "nobody answers", told=False))

    def _patience(self) -> int:
        """ns that a node alone waits before it holds the others dead."""
        return MOST_TIMES * least(self._period, self._spread, FANOUT, self._living, self._probing.trip)

    def _company(self, now: int) -> None:
        """Somebody has answered."""
        self._answered_at = now
        if not self._alone:
            return
        self._alone = False
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.anew(now)
            if member.unheard:
                self._heard_again(now, member)

    def _heard_again(self, now: int, member: Member) -> None:
        assert member.claim is not None
        member.unheard = False
        member.since = now
        self._changed(member.claim, "others are there again")

    # What is due.

    def _due(self, now: int) -> None:
        for probe in self._probing.overdue(now):
            self._failed(now, probe)
        for probe in self._probing.unasked(now):
            self._ask_others(probe)
        for errand in self._probing.no_news(now, self.health.times()):
            self._send(Kind.NACK, errand.asker, errand.seq, errand.target)
        if self._next_period <= now:
            self._begin_period(now)
        if self._neighbour_at <= now:
            self._probe_neighbour(now)
        self._check_alone(now)
        if self._hears(now):
            for number in list(self._suspects):
                self._judge(now, self.members[number])
        if self._next_spread <= now:
            self._tell_some(now)

    def _set_wake(self, now: int) -> None:
        times = [self._next_period, self._neighbour_at, self._next_spread]
        times += self._probing.due()
        if self._alone:
            times.append(max(self._alone_since + self._patience(), self._next_period))
        else:
            for number in self._suspects:
                suspicion = self.members[number].suspicion
                assert suspicion is not None
                # What is overdue waits until somebody is heard.
                times.append(max(suspicion.end(), now + self._spread if not self._hears(now) else 0))
        self.wake_at = min(times)

    def _begin_period(self, now: int) -> None:
        if self._left:
            self._next_period = NEVER
            return
        self._next_period = now + self._period
        self._looks = 0
        if self._claimed and now - self._claimed_at > QUIET * self._period:
            self._claimed = 0
        self._neighbour_at = now + self._period // 2
        target = self._next_of(self._round, lambda one: one.counts())
        if target is not None:
            self._probe(now, target)
        called = self._next_of(self._calls, lambda one: not one.counts())
        if called is not None:
            self._send(Kind.PING, called, self._probing.new_seq())

    def _probe_neighbour(self, now: int) -> None:
        """The next number that counts: so each node is probed by one other in every period. Chance alone
        leaves one out for five periods in a hundredth of cases."""
        self._neighbour_at = NEVER
        if self._left or self._living < 2:
            return
        others = self._counted()
        after = [number for number in others if number > self.own]
        target = min(after or others)
        if not self._probing.probes(target):
            self._probe(now, target)

    def _call_many(self) -> None:
        for number in self._random.sample(sorted(self.members), min(FANOUT, len(self.members))):
            self._send(Kind.PING, number, self._probing.new_seq())

    def _next_of(self, order: list[int], wanted: Callable[[Member], bool]) -> int | None:
        """Of a shuffled round over the members: each once, in an order drawn anew for each round."""
        for _ in range(2):
            while order:
                number = order.pop()
                if number in self.members and wanted(self.members[number]):
                    return number
            order.extend(number for number, one in self.members.items() if wanted(one))
            self._random.shuffle(order)
        return None

    # Probes.

    def _probe(self, now: int, target: int) -> None:
        self.counts["probes"] += 1
        self._send(Kind.PING, target, self._probing.begin(now, target, self.health.times()))

    def _ask_others(self, probe: Probe) -> None:
        probe.asked = True
        self._send(Kind.PING, probe.target, probe.seq)  # once more: one datagram may be lost
        helpers = self._some(HELPERS, (probe.target,))
        probe.helpers = len(helpers)
        for helper in helpers:
            self._send(Kind.PING_REQ, helper, probe.seq, probe.target)

    def _failed(self, now: int, probe: Probe) -> None:
        member = self.members[probe.target]
        self.counts["failed_probes"] += 1
        # Helpers that said nothing at all, not even that they have no answer, speak against this node.
        self.health.worse(min(1, probe.helpers) if probe.asked else 1)
        if member.heard >= probe.sent or not member.counts() or member.claim is None or not self._hears(now):
            return
        claim = member.claim
        self._merge(now, claim._replace(state=State.SUSPECT, by=self.own), "it did not answer", spread=True)

    def _answered(self, now: int, message: Message) -> None:
        about = message.mine.number if message.about == api.NO_NODE else message.about
        itself = message.mine.number == about
        found = self._probing.answered(now, message.seq, about, itself)
        if found is None:
            return
        probe, in_time = found
        self._company(now)
        target = self.members[about]
        if itself:
            target.round_trip = now - probe.sent
        else:
            target.heard = max(target.heard, probe.sent)
        if in_time:
            self.health.better()

    # Datagrams.

    def _hear(self, now: int, message: Message) -> None:
        number = message.mine.number
        member = self.members.get(number)
        if message.to != self.own or member is None:
            self.counts["misdirected"] += 1
            return
        known = member.claim
        if known is not None and message.mine.life < known.life:
            # It lives on under a number that a newer process has: it is told so, and believed nothing.
            self.counts["old_life"] += 1
            if message.kind is Kind.PING:
                self._send(Kind.ACK, number, message.seq)
            return
        if message.mine.life > member.window_life:
            member.window, member.window_life = Window(), message.mine.life
        if not member.window.take(message.order):
            self.counts["replayed"] += 1
            return
        self._merge(now, message.mine, "it says so", spread=True)
        if self.superseded:
            return
        member.heard = now
        if member.unheard:
            self._heard_again(now, member)
        for claim in message.news:
            self._take(now, claim, number)
            if self.superseded:
                return
        match message.kind:
            case Kind.PING:
                self._send(Kind.ACK, number, message.seq)
            case Kind.ACK:
                self._answered(now, message)
                errand = self._probing.errands.get(message.seq)
                if errand is not None and errand.target == number:
                    del self._probing.errands[message.seq]
                    self._send(Kind.ACK, errand.asker, errand.seq, number)
            case Kind.NACK:
                self._probing.no_answer(message.seq)
            case Kind.PING_REQ:
                self._run_errand(now, message)
            case Kind.SHARED:
                self._actions.append(api.PayloadReceived(number, message.mine.life, message.items))
            case Kind.NEWS:
                pass

    def _run_errand(self, now: int, message: Message) -> None:
        if message.about not in self.members or message.about == message.mine.number:
            return
        seq = self._probing.run_errand(now, message.about, message.mine.number, message.seq)
        self._send(Kind.PING, message.about, seq)

    def _take(self, now: int, claim: Claim, teller: int) -> None:
        if claim.number == self.own:
            self._answer_claim(now, claim)
        elif claim.number in self.members:
            self._merge(now, claim, f"{teller} says so", spread=True)

    # Claims.

    def _answer_claim(self, now: int, claim: Claim) -> None:
        """On this node itself: refuted where it is not so."""
        if claim.life < self.mine.life:
            return
        ghost = claim.life > self.mine.life or claim.incarnation > self.mine.incarnation
        if ghost or claim.incarnation >= INCARNATION_MOST:
            # Its own process before this one, whose clock was ahead; or another that lives. The former can't
            # answer, so whoever claims the number on and on is alive, and the later one keeps it.
            self._claimed += 1
            self._claimed_at = now
            if self._claimed > LIVES_MOST or claim.life >= LIFE_MOST:
                self.superseded = True
                self.wake_at = NEVER
                self._actions.append(api.Superseded(claim.life))
                return
            self._new_life(claim.life + 1)
        elif claim.rank() > self.mine.rank():
            self.counts["refuted"] += 1
            self.health.worse()
            self.mine = self.mine._replace(incarnation=claim.incarnation + 1)
            self._changed(self.mine, f"{claim.by} held it {claim.state.name.lower()}")
        else:
            return
        self._news.add(self.mine)
        self._next_spread = min(self._next_spread, now)

    def _new_life(self, life: int) -> None:
        state = State.LEFT if self._left else State.ALIVE
        self.mine = self.mine._replace(life=life, incarnation=0, state=state)
        self._order = 0
        self._changed(self.mine, "its number was claimed by another life")

    def _merge(self, now: int, claim: Claim, why: str, spread: bool) -> None:
        """Of another member."""
        member = self.members[claim.number]
        known = member.claim
        if known is not None and claim.rank() <= known.rank():
            if claim.rank() == known.rank() and claim.state is State.SUSPECT:
                self._confirmed(now, member, claim)
            return
        new_life = known is None or claim.life > known.life
        counted = member.counts()
        before = member.state
        member.claim = claim
        if new_life:
            member.heard = -1
            member.round_trip = 0
            self._probing.forget(claim.number)
        if claim.state is State.SUSPECT:
            if member.suspicion is None or (known is not None and known.rank()[:2] != claim.rank()[:2]):
                self._suspect(now, member, claim)
        else:
            member.suspicion = None
            member.unheard = False
            self._suspects.discard(claim.number)
        if member.counts() is not counted:
            self._living += 1 if member.counts() else -1
            self._others = None
        if before is not member.state or new_life:
            member.since = now
        self._changed(claim, why)
        if spread:
            self._tell(now, claim)

    def _tell(self, now: int, claim: Claim) -> None:
        self._news.add(claim)
        self._next_spread = min(self._next_spread, max(now, self._last_spread + self._spread))

    def _suspect(self, now: int, member: Member, claim: Claim) -> None:
        times = least(self._period, self._spread, FANOUT, self._living, self._probing.trip)
        member.suspicion = Suspicion(now, claim.by, times, self._living - 1)
        member.unheard = False
        self._suspects.add(claim.number)
        self._look(now, claim)

    def _look(self, now: int, claim: Claim) -> None:
        """A few of those who hear of a suspicion probe its subject at once."""
        if claim.by == self.own or self._left or self._looks >= LOOKS_MOST:
            return
        if self._random.random() * max(1, self._living) < LOOKERS:
            self._looks += 1
            self._probe(now, claim.number)

    def _confirmed(self, now: int, member: Member, claim: Claim) -> None:
        if member.suspicion is not None and member.suspicion.confirm(claim.by):
            self._tell(now, claim)

    def _judge(self, now: int, member: Member) -> None:
        """Whether a suspect's time is over."""
        suspicion = member.suspicion
        assert suspicion is not None and member.claim is not None
        if suspicion.end() > now:
            return
        if member.heard > suspicion.since and suspicion.defer(member.heard):
            return  # it goes on speaking: what is lost are the answers
        dead = member.claim._replace(state=State.DEAD, by=self.own)
        self._merge(now, dead, "its time was over", spread=True)

    def _changed(self, claim: Claim, why: str) -> None:
        self._actions.append(Changed(claim, why))

    # Telling.

    def _some(self, most: int, besides: tuple[int, ...]) -> list[int]:
        others = self._counted()
        drawn = self._random.sample(others, min(most + len(besides), len(others)))
        return [number for number in drawn if number not in besides][:most]

    def _tell_some(self, now: int) -> None:
        self._last_spread = now
        if not self._living:
            if now < self._joining_until and not self._left:
                self._call_many()
                self._next_spread = now + self._spread
            else:
                self._next_spread = NEVER
            return
        for number in self._some(FANOUT, ()):
            if self._news:
                self._send(Kind.NEWS, number)
        self._next_spread = now + self._spread if self._news else NEVER

    def _send(self, kind: Kind, to: int, seq: int = 0, about: int = api.NO_NODE, items: bytes = b"") -> None:
        """With what is most urgent for whom it goes to: what is held of itself, what of the node that it is
        about, the news, and then claims in turn."""
        claims: list[Claim] = []
        room = self._room
        if items:
            self._emit(Message(kind, self.mine, to, self._order, items=items))
            return
        for number in (to, about):
            claim = self.members[number].claim if number in self.members else None
            if claim is not None:
                room -= self._size(claim)
                claims.append(claim)
        news, room = self._news.take(room, self._size, self._living, (to, about, self.own))
        claims += news
        if kind is not Kind.NEWS:
            claims += self._in_turn(room, {claim.number for claim in claims})
        self._emit(Message(kind, self.mine, to, self._order, seq, about, tuple(claims)))

    def _emit(self, message: Message) -> None:
        self._order += 1
        self.counts["out"] += 1
        self._actions.append(Send(message))

    def _in_turn(self, room: int, told: set[int]) -> list[Claim]:
        out: list[Claim] = []
        for _ in range(min(IN_TURN, len(self.members))):
            if not self._rows:
                self._rows = list(self.members)
                self._random.shuffle(self._rows)
            number = self._rows.pop()
            claim = self.members[number].claim
            if claim is None or number in told:
                continue
            room -= self._size(claim)
            if room < 0:
                break
            out.append(claim)
        return out
