"""The disruption controller: whoever has the lease on permits, and gives them.

At most `at_once` nodes are out at a time, and all of one zone. What a disruption controller before it has
given it does not know; so until a node has answered its poll, that node counts as out, for as long as a
permit can last. The state is thus with those whom it is about: nothing has to be kept when the owner changes,
and a node that says nothing holds the others back, never the other way round. Counted out are also nodes that
are not alive, for a permit's term from when they were last: who is dead need not be waited for any longer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from driftstair.tier.ownership.messages import outlasting
from driftstair.tier.ownership.permits import (
    ASK_EVERY,
    Ask,
    OutgoingMessages,
    Permit,
    Poll,
    PollReply,
    ReturnConfirmed,
    ReturnPermit,
    Rules,
    Wait,
    WaitReason,
)

POLL_EVERY = 10_000_000_000  # ns between two polls of a node that has answered
POLL_AGAIN = 500_000_000  # ns between two polls of one that has not
FORGOTTEN = 3 * ASK_EVERY  # ns after its last ask, when a wish is none any more
LiveNodes = dict[int, tuple[int, int]]
"""By number: the generation and the zone of nodes that are held alive, this one's own among them."""


@dataclass(slots=True)
class Given:
    generation: int
    seq: int
    kind: int
    until: int  # ns, by the disruption controller's clock
    at: int = 0  # by the holder's clock; 0: an earlier disruption controller has given it


@dataclass(slots=True)
class Wish:
    generation: int
    seq: int
    kind: int
    at: int  # by the asker's clock
    since: int
    heard: int


class DisruptionController:
    """`count` nodes; `living` as membership has it, which may be wrong: it decides whom to ask, and whom to
    count out besides those that the polls tell of."""

    def __init__(self, rules: Rules, own: int, count: int, living: Callable[[], LiveNodes]) -> None:
        self.rules = rules
        self.given: dict[int, Given] = {}
        self._own, self._count = own, count
        self._living = living
        self._token = 0
        self._since = 0  # of its office
        self._answered: dict[int, int] = {}  # by number: the generation that has answered the poll
        # The generation that has said that it holds nothing of an older disruption controller.
        self._cleared: dict[int, int] = {}
        self._polled: dict[int, int] = {}  # when
        self._seen: dict[int, int] = {}  # when a node was last held alive
        self._zones: dict[int, int] = {}  # of all that it ever held alive
        self._wishes: dict[int, Wish] = {}
        self._turn = -1  # the zone that is out, or was last
        self._turn_since = 0

    # Its office.

    def lead(self, now: int, token: int) -> None:
        """The token of its lease from now on; 0: it has none."""
        if token == self._token:
            return
        self._token, self._since = token, now
        for table in (self.given, self._answered, self._cleared, self._polled, self._seen, self._wishes):
            table.clear()

    def tick(self, now: int) -> OutgoingMessages:
        """Polls, and permits that can be given now."""
        if not self._token:
            return []
        living = self._look(now)
        letters: OutgoingMessages = []
        for number, (generation, _) in living.items():
            wait = POLL_EVERY if self._answered.get(number) == generation else POLL_AGAIN
            if now - self._polled.get(number, -wait) >= wait:
                self._polled[number] = now
                letters.append((number, Poll(self._token)))
        for number in [one for one, wish in self._wishes.items() if now - wish.heard > FORGOTTEN]:
            del self._wishes[number]
        return letters + self._give(now, living)

    def _look(self, now: int) -> LiveNodes:
        living = self._living()
        for number, (generation, zone) in living.items():
            self._seen[number], self._zones[number] = now, zone
            # Guards against a wish of the generation before, which nobody waits for.
            if number in self._wishes and self._wishes[number].generation != generation:
                del self._wishes[number]
        for number in [one for one, given in self.given.items() if now >= given.until]:
            del self.given[number]
        return living

    def heard(
        self, now: int, sender: int, generation: int, message: PollReply | Ask | ReturnPermit
    ) -> OutgoingMessages:
        if not self._token:
            return []
        living = self._look(now)
        match message:
            case PollReply(token, seq, kind, left):
                if token != self._token:
                    return []
                self._told(now, sender, generation, seq, kind, left)
                return self._give(now, living)
            case Ask():
                return self._asked(now, living, sender, generation, message)
            case ReturnPermit(seq):
                wish, given = self._wishes.get(sender), self.given.get(sender)
                if wish is not None and (wish.generation, wish.seq) == (generation, seq):
                    del self._wishes[sender]
                if given is not None and (given.generation, given.seq) == (generation, seq):
                    del self.given[sender]
                    self._cleared[sender] = generation
                return [(sender, ReturnConfirmed(generation, seq)), *self._give(now, living)]
        return []

    def _told(self, now: int, sender: int, generation: int, seq: int, kind: int, left: int) -> None:
        """What a node holds, by its own word. A later generation has nothing of the one before it."""
        if generation < self._answered.get(sender, 0):
            return
        known = self.given.get(sender)
        if known is not None and known.generation < generation:
            del self.given[sender]
            known = None
        self._answered[sender] = generation
        if not seq:
            # It takes none of an older disruption controller since it heard the poll, so there is none from
            # here on.
            self._cleared[sender] = generation
            if known is not None and not known.at:
                del self.given[sender]
        elif known is None and self._cleared.get(sender) != generation:
            lasts = min(self.rules.waited(), outlasting(left, self.rules.drift))
            self.given[sender] = Given(generation, seq, kind, now + lasts)

    def _asked(
        self, now: int, living: LiveNodes, sender: int, generation: int, asked: Ask
    ) -> OutgoingMessages:
        if generation < self._answered.get(sender, 0) or sender not in living:
            return []
        given = self.given.get(sender)
        if given is not None and given.generation == generation:
            if asked.seq == given.seq and given.at:
                # Its permit was lost on the way: the same again, no longer than it was.
                return [(sender, Permit(self._token, generation, asked.seq, given.at, self.rules.term))]
            if asked.seq <= given.seq:
                return []
            del self.given[sender]  # it holds one at most: what it had is given back
        wish = self._wishes.get(sender)
        if wish is not None and wish.generation == generation and asked.seq < wish.seq:
            return []
        if wish is None or (wish.generation, wish.seq) != (generation, asked.seq):
            wish = self._wishes[sender] = Wish(generation, asked.seq, asked.kind, asked.at, now, now)
        wish.at, wish.heard = asked.at, now
        letters = self._give(now, living)
        if sender in self._wishes:
            why, before = self._refusal(now, living, sender)
            letters.append((sender, Wait(self._token, generation, asked.seq, int(why), before)))
        return letters

    # Who is out.

    def out(self, now: int) -> dict[int, int]:
        """Who counts as out, and the zone; -1: nobody knows."""
        return self._out(now, self._living())

    def _out(self, now: int, living: LiveNodes) -> dict[int, int]:
        out = {number: self._zones.get(number, -1) for number in self.given}
        for number in range(self._count):
            # Nothing that was given before its office, or held by a node since gone, lasts any longer.
            if now - self._since >= self.rules.waited() and (
                number in living or now - self._seen.get(number, self._since) >= self.rules.waited()
            ):
                continue
            generation = living[number][0] if number in living else -1
            if self._answered.get(number) != generation:
                out.setdefault(number, self._zones.get(number, -1))
        return out

    def waiting(self, now: int) -> list[int]:
        """Those that want to be out, the next one first."""
        return self._order(self.out(now))

    # Who is next.

    def _order(self, out: dict[int, int]) -> list[int]:
        """By when they began to ask; but those of the zone whose turn it is that asked before the turn began
        go first, so that they can be out together and nobody waits for ever."""

        def rank(number: int) -> tuple[bool, int, int]:
            since = self._wishes[number].since
            first = bool(out) and self._zones.get(number) == self._turn and since <= self._turn_since
            return not first, since, number

        return sorted(self._wishes, key=rank)

    def _refused(self, living: LiveNodes, out: dict[int, int], number: int) -> WaitReason | None:
        others = {one: zone for one, zone in out.items() if one != number}
        if self._answered.get(number) != living[number][0]:
            return WaitReason.POLLING
        zone = self._zones[number]
        if len(others) >= self.rules.at_once:
            unknown = any(one in living and self._answered.get(one) != living[one][0] for one in others)
            return WaitReason.POLLING if unknown else WaitReason.OUT
        return WaitReason.ZONE if any(one != zone for one in others.values()) else None

    def _refusal(self, now: int, living: LiveNodes, number: int) -> tuple[WaitReason, int]:
        out = self._out(now, living)
        before = self._order(out).index(number)
        return self._refused(living, out, number) or WaitReason.TURN, before

    def _give(self, now: int, living: LiveNodes) -> OutgoingMessages:
        letters: OutgoingMessages = []
        while self._wishes:
            out = self._out(now, living)
            number = self._order(out)[0]
            if number not in living or self._refused(living, out, number) is not None:
                break
            wish = self._wishes.pop(number)
            zone = self._zones[number]
            if not out or zone != self._turn:
                self._turn, self._turn_since = zone, now
            self.given[number] = Given(
                wish.generation, wish.seq, wish.kind, now + self.rules.waited(), wish.at
            )
            letters.append((number, Permit(self._token, wish.generation, wish.seq, wish.at, self.rules.term)))
        return letters
