"""One budget of the fleet at one node: what it may spend, whom it asks for more, and whom it lends to.

`escrow` keeps the bound, whatever is decided here; this decides for use. Times are monotonic ns.

- A node wants so many shares as its demand needs, and some room. It asks nodes drawn by chance for what is
  missing, more at a time while they give and one at a time while they don't.
- A loan is made longer from half of its time on, as long as it is needed; else it runs out, or goes back.
- A lender keeps what it needs itself, its floor at least. It lends in pieces; where it has none left for one
  that has little of what it needs, it does not make a piece any longer that is with one that has more.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from math import ceil
from random import Random
from typing import NamedTuple

from driftstair.tier.shared.demand import Demand
from driftstair.tier.shared.escrow import Ask, Escrow, GiveBack, Grant, Terms
from driftstair.tier.shared.token_bucket import TokenBucket

TERMS = Terms(shares=32, floor=1, lent=3_000_000_000, drift=0.01)
ROOM = 1.25  # times its demand that a node wants to hold
MAX_EASE = 255
WIDE_LEAST, WIDE_MOST = 2, 32  # nodes that are asked for one budget in one tick
PIECES = 4  # loans that what a node has to lend is cut into
EASIER = 25  # hundredths of its need that one has to have more for a piece to go to another
TICKS = 8  # in the time of a loan
IDLE = 2  # ticks of surplus before a loan goes back


class Spec(NamedTuple):
    """A budget as all nodes are told it. `burst`: ns of the budget that may be saved up. The terms of lending
    are the program's and no file's: a generation with other terms than the one before it would not know
    what is out."""

    name: str
    per_s: float  # tokens a second, of the whole fleet
    burst: int
    terms: Terms = TERMS

    def key(self, count: int) -> int:
        """Names it between nodes. Two that count or lend by other terms don't lend to each other; what a
        share is worth may differ, as while a new file is spread: then the greater bounds what is spent."""
        told = f"{self.name}/{count}/{self.terms!r}".encode()
        return int.from_bytes(blake2b(told, digest_size=4).digest(), "big")


class Note(NamedTuple):
    """Of a loan that moved, for the history. `until`: ns, by this node's clock."""

    what: str  # of the lender: lent, extended, returned; of the borrower: took, renewed, gave
    other: int
    generation: int  # of the lender's process
    loan: int
    shares: int
    until: int


Messages = list[tuple[int, Ask | Grant | GiveBack]]
"""With the number of the node that each is for."""


class Budget:
    """`count` nodes; `others`: the numbers that may be asked now."""

    def __init__(
        self, spec: Spec, own: int, generation: int, count: int, now: int, random: Random,
        others: Callable[[], list[int]],
    ) -> None:  # fmt: skip
        self.spec = spec
        self.key = spec.key(count)
        self.escrow = Escrow(own, generation, spec.terms, now)
        self.share = spec.per_s / (count * spec.terms.shares)  # tokens a second
        self.bucket = TokenBucket(self.escrow, self.share, spec.burst / 1e9, now)
        self.demand = Demand(now)
        self.notes: list[Note] = []
        self.counts = {"asked": 0, "granted": 0, "refused": 0, "lent": 0, "spent": 0, "denied": 0}
        self._most = count * spec.terms.shares
        self._random = random
        self._others = others
        self._again: dict[int, int] = {}  # by number: when it may be asked again
        self._pending: dict[int, tuple[int, int]] = {}  # by number: until when an answer counts, shares
        self._longer: dict[tuple[int, int, int], int] = {}  # by loan: when to ask for more time again
        self._ease: dict[int, int] = {}  # by borrower: what it has of what it needs, by its last word
        self._unmet: dict[int, tuple[int, int]] = {}  # who went without: until when that counts, and its ease
        self._recalled: set[int] = set()  # loans that are not made longer
        self._wide = 4
        self._idle = 0
        self._leaving = False

    def update_spec(self, now: int, spec: Spec, count: int) -> None:
        """Another rate or burst, by the same terms and as many nodes."""
        self.bucket.advance(now)
        self.spec = spec
        self.share = spec.per_s / (count * spec.terms.shares)
        self.bucket.worth(now, self.share, spec.burst / 1e9)

    # Spending.

    def spend(self, now: int, tokens: float = 1.0) -> bool:
        """Whether it may; then it has. What is refused counts as wanted."""
        if self.bucket.spend(now, tokens):
            return True
        self.counts["denied"] += 1
        self.demand.note(tokens)
        return False

    def spent(self, tokens: float = 1.0) -> None:
        """What was taken has been used; else it goes back by `unspent`."""
        self.counts["spent"] += 1
        self.demand.note(tokens)

    def unspent(self, now: int, tokens: float = 1.0) -> None:
        self.bucket.refund(now, tokens)

    # A borrower's part.

    def need(self) -> int:
        """Shares that it wants to hold: with some room, unless it has much saved up."""
        room = 1.0 if self.bucket.fullness() > 0.5 else ROOM
        return min(self._most, ceil(self.demand.per_s * room / self.share)) if self.demand.per_s > 0 else 0

    def tick(self, now: int) -> Messages:
        """To be called `TICKS` times in the time of a loan."""
        self.bucket.advance(now)
        self.demand.tick(now)
        for number in [number for number, until in self._again.items() if until <= now]:
            del self._again[number]
        out: Messages = []
        need, held, lent = self.need(), self.escrow.held(now), self.spec.terms.lent
        surplus, sure = held - need, held
        ease = min(MAX_EASE, held * 100 // max(1, need))
        loans = self.escrow.loans()
        known = {key for key, _ in loans}
        self._longer = {key: at for key, at in self._longer.items() if key in known}
        for key, loan in loans:
            left = loan.until - now
            if left < lent // 4:
                sure -= loan.shares
            if left >= lent // 2:
                break
            if surplus >= loan.shares:
                surplus -= loan.shares
            elif now >= self._longer.get(key, 0):
                self._longer[key] = now + lent // TICKS
                out.append((key[0], self.escrow.ask(now, loan.shares)._replace(renews=key[2], ease=ease)))
        self._pending = {number: one for number, one in self._pending.items() if one[0] > now}
        missing = 0 if self._leaving else need - sure - sum(shares for _, shares in self._pending.values())
        if missing > 0:
            out += self._ask(now, missing, ease)
        if self._leaving:
            return []
        self._idle = self._idle + 1 if held - need > 0 and loans else 0
        if self._idle > IDLE:
            out += self._give_back(now, held - need)
        self.counts["asked"] += len(out)
        return out

    def _ask(self, now: int, missing: int, ease: int) -> Messages:
        terms, out = self.spec.terms, list[tuple[int, Ask | Grant | GiveBack]]()
        free = [number for number in self._others() if number not in self._again]
        for number in self._random.sample(free, min(self._wide, len(free))):
            shares = min(missing, terms.shares - terms.floor)
            if shares <= 0:
                break
            self._again[number] = now + terms.lent // 4
            self._pending[number] = now + terms.lent // TICKS, shares
            out.append((number, self.escrow.ask(now, shares)._replace(ease=ease)))
            missing -= shares
        return out

    def _give_back(self, now: int, shares: int) -> Messages:
        before = dict(self.escrow.loans())
        backs = self.escrow.give_back(now, shares)
        self.bucket.advance(now)
        for back in backs:
            loan = before[back.lender, back.lender_generation, back.loan]
            self.notes.append(Note("gave", back.lender, back.lender_generation, back.loan, loan.shares, now))
        return [(back.lender, back) for back in backs]

    def granted(self, now: int, grant: Grant) -> None:
        lender, loan = grant.lender, grant.loan
        self._pending.pop(lender, None)
        if grant.shares <= 0:
            self.counts["refused"] += 1
            self._again[lender] = now + self.spec.terms.lent // 2
            if loan:  # not to be made longer
                self._longer[lender, grant.lender_generation, loan] = now + self.spec.terms.lent
            else:
                self._wide = max(WIDE_LEAST, self._wide - 1)
            return
        key = lender, grant.lender_generation, loan
        known = self.escrow.borrowed(key) is not None
        self.bucket.advance(now)
        taken = self.escrow.take(now, grant)
        self.bucket.advance(now)
        loan_now = self.escrow.borrowed(key)
        if taken and loan_now is not None:
            self.counts["granted"] += 1
            self._wide = min(WIDE_MOST, self._wide + 1)
            what = "renewed" if known else "took"
            self.notes.append(Note(what, *key, grant.shares, loan_now.until))

    def leave(self, now: int) -> Messages:
        """The process is about to end: what it has borrowed others may use at once."""
        self.bucket.advance(now)
        self._leaving = True
        return self._give_back(now, self._most)

    # A lender's part.

    def asked(self, now: int, ask: Ask) -> list[Grant]:
        """A grant of no shares says that there are none to spare."""
        self.bucket.advance(now)
        terms, borrower = self.spec.terms, ask.borrower
        self._ease[borrower] = ask.ease
        lent = sum(self.escrow.lent_to().values())
        spare = 0 if self._leaving else terms.shares - lent - min(terms.shares, max(terms.floor, self.need()))
        grants: list[Grant | None] = []
        if ask.renews:
            if not self._leaving and not self._wants_back(ask, -spare):
                grants.append(self.escrow.lend(now, ask, 0))
        else:
            piece = -(-(terms.shares - terms.floor) // PIECES)
            wanted = min(ask.shares, max(0, spare)) if self._may_have(now, ask) else 0
            while wanted > 0:
                part = min(piece, wanted)
                grants.append(self.escrow.lend(now, ask._replace(shares=part), part))
                wanted -= part
            if not grants:
                self._unmet[borrower] = now + terms.lent, ask.ease
                self._recall(ask)
            else:
                self._unmet.pop(borrower, None)
        self.bucket.advance(now)
        made = [grant for grant in grants if grant is not None]
        self.counts["lent"] += len(made)
        what, until = "extended" if ask.renews else "lent", now + terms.waited()
        generation = self.escrow.generation
        self.notes += [Note(what, borrower, generation, grant.loan, grant.shares, until) for grant in made]
        return made or [Grant(self.escrow.own, generation, ask.renews, borrower, ask.generation, ask.at, 0)]

    def _wants_back(self, ask: Ask, missing: int) -> bool:
        """Loans that are not made longer, until they are enough for what the lender needs itself."""
        self._recalled &= self.escrow.out().keys()
        if ask.renews not in self._recalled and missing > sum(map(self.escrow.lent_by, self._recalled)):
            self._recalled.add(ask.renews)
        return ask.renews in self._recalled

    def _may_have(self, now: int, ask: Ask) -> bool:
        """Not while one that has far less waits for a piece."""
        self._unmet = {one: kept for one, kept in self._unmet.items() if kept[0] > now}
        least = min((ease for one, (_, ease) in self._unmet.items() if one != ask.borrower), default=ask.ease)
        return ask.ease <= least + EASIER

    def _recall(self, ask: Ask) -> None:
        """One piece, from whoever has the most of what it needs."""
        out = self.escrow.out()
        self._recalled &= out.keys()
        self._ease = {one: ease for one, ease in self._ease.items() if one in out.values()}
        kept = [number for number in out if number not in self._recalled and out[number] != ask.borrower]
        if not kept:
            return
        loan = max(kept, key=lambda number: self._ease.get(out[number], 0))
        more = self._ease.get(out[loan], 0) - ask.ease
        if more > EASIER and self._random.random() * 100 < more:
            self._recalled.add(loan)

    def returned(self, now: int, back: GiveBack) -> None:
        self.bucket.advance(now)
        before = self.escrow.lent_to().get(back.borrower, 0)
        self.escrow.returned(back)
        shares = before - self.escrow.lent_to().get(back.borrower, 0)
        self.bucket.advance(now)
        if shares:
            self.notes.append(Note("returned", back.borrower, back.lender_generation, back.loan, shares, now))
