"""Delivering a node's ledger to the billing side, each entry exactly once in its books.

Two state machines without I/O; whoever carries messages may lose, repeat and reorder them. Entries are named
by node and number and chained, so what comes twice is known, and what comes too early is asked for from where
the books stand. Go-back-N: what is not acknowledged goes again, after a pause that doubles and is spread by
the seed.

    exporter                        collector
    Hello(session)          ->                                   or Claim(session, token)
                            <-      Taken(number, digest)        where its books stand
    Offer(first, lines)     ->
                            <-      Taken(number, digest)        up to there they are kept
                            <-      Refused(why)                 another exporter, or a fork
                            <-      Older(token)                 of a claim: the greatest there was

A claim is of whoever exports for the fleet under a lease: it takes over at once from all claims with lesser
tokens, and one with a lesser token than was ever taken is refused, however late its exporter wakes up.

The collector acknowledges what it has *kept*; the exporter keeps nothing but the ledger itself, so one that
is killed anywhere starts again by asking.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from driftstair.ledger.book import Head
from driftstair.ledger.entries import Entry, EntryError

BATCH = 200  # lines of one offer
PAUSE = 500  # ms until what is not acknowledged goes again
DOUBLINGS = 6  # of that pause at most
LEASE = 30_000  # ms after its last word for which an exporter keeps others out


class Hello(NamedTuple):
    node: str
    session: int  # drawn anew by each exporter


class Claim(NamedTuple):
    node: str
    session: int
    token: int  # of the lease under which it is made


class Older(NamedTuple):
    node: str
    session: int
    token: int


class Offer(NamedTuple):
    node: str
    session: int
    first: int  # the number of the first line
    lines: tuple[bytes, ...]  # without their ends


class Taken(NamedTuple):
    node: str
    session: int
    number: int
    digest: bytes


class Refused(NamedTuple):
    node: str
    session: int
    why: str
    final: bool  # trying again would be no use


Message = Hello | Claim | Offer | Taken | Refused | Older


class Lines(NamedTuple):
    """The ledger as an exporter reads it: lines from a number on, and the digest of one (0: before all)."""

    read: Callable[[int, int], Sequence[bytes]]  # first number, how many at most
    digest: Callable[[int], bytes | None]  # of a number; None: no such line


class Exporter:
    """One node's. `poll` gives what is to be sent now; `wakes` says when to poll again. `token`: of the lease
    under which it exports another node's ledger; 0: it is that node's own, or a hand's."""

    def __init__(self, node: str, lines: Lines, session: int, seed: int, token: int = 0) -> None:
        self.token = token
        self.older = 0  # than this token, by the books' word
        self.node = node
        self.session = session
        self.acknowledged = -1  # the books' number; -1: not heard yet
        self.stopped = ""  # why, once it is no use to go on
        self.wakes = 0  # ms
        self._lines = lines
        self._random = Random(seed)
        self._failures = 0

    def is_done(self) -> bool:
        return self.acknowledged >= 0 and not self._lines.read(self.acknowledged + 1, 1)

    def poll(self, now: int) -> list[Message]:
        if self.stopped or now < self.wakes or self.is_done():
            return []
        # Spread: the exporters of a tier that lost its collector would all come back at once.
        pause = PAUSE << min(self._failures, DOUBLINGS)
        self.wakes = now + int(pause * self._random.uniform(0.5, 1.0))
        self._failures += 1
        return [self._word()]

    def _word(self) -> Message:
        if self.acknowledged < 0:
            if self.token:
                return Claim(self.node, self.session, self.token)
            return Hello(self.node, self.session)
        first = self.acknowledged + 1
        return Offer(self.node, self.session, first, tuple(self._lines.read(first, BATCH)))

    def receive(self, now: int, message: Message) -> list[Message]:
        if self.stopped or message.node != self.node or message.session != self.session:
            return []  # to one that was here before
        if isinstance(message, Older):
            self.older = message.token
            self.stopped = f"the books have had the token {message.token}, and this one's is {self.token}"
            return []
        if isinstance(message, Refused):
            if message.final:
                self.stopped = message.why
            self.acknowledged = -1  # it may be a new life, which knows no session: ask first
            return []
        if not isinstance(message, Taken) or message.number <= self.acknowledged:
            return []  # late, or a repeat
        if self._lines.digest(message.number) != message.digest:
            # The books hold another line of that number, or more than this ledger: a restored old copy.
            self.stopped = f"the books hold another entry {message.number}"
            return []
        self.acknowledged = message.number
        self._failures = 0
        self.wakes = now
        return self.poll(now)


Keep = Callable[[str, list[Entry], Sequence[bytes]], None]
"""A node's entries, and their lines."""


@dataclass(slots=True)
class _Books:
    head: Head = field(default_factory=Head)
    session: int = -1
    heard: int = 0  # ms
    claimed: bool = False  # its session is of a claim


class Collector:
    """The billing side: keeps each node's entries in order, once. `keep` has to have kept them when it
    returns; if it raises, nothing is acknowledged. `heads`, `tokens`: what was kept in an earlier life;
    `claimed` likewise keeps a token of a node's claims before it counts."""

    def __init__(
        self, keep: Keep, heads: dict[str, Head], lease: int = LEASE, tokens: dict[str, int] | None = None,
        claimed: Callable[[str, int], None] = lambda node, token: None,
    ) -> None:  # fmt: skip
        self._tokens = dict(tokens or {})
        self._claimed = claimed
        self._keep = keep
        self._lease = lease
        self._books = {node: _Books(head) for node, head in heads.items()}

    def head(self, node: str) -> Head:
        books = self._books.get(node)
        return Head() if books is None else books.head

    def receive(self, now: int, message: Message) -> list[Message]:
        if not isinstance(message, Hello | Claim | Offer):
            return []
        books = self._books.setdefault(message.node, _Books())
        if isinstance(message, Claim):
            known = self._tokens.get(message.node, 0)
            if message.token < known:
                return [Older(message.node, message.session, known)]
            if not books.claimed and books.session >= 0 and now - books.heard < self._lease:
                return [Refused(message.node, message.session, "another exporter is at work", False)]
            if message.token > known:
                self._claimed(message.node, message.token)
                self._tokens[message.node] = message.token
            books.session, books.claimed = message.session, True
        elif message.session != books.session:
            if isinstance(message, Offer):
                # Of a session that ended, or of one that this life has not met: it has to ask first.
                return [Refused(message.node, message.session, "another exporter is at work", False)]
            if books.session >= 0 and now - books.heard < self._lease:
                return [Refused(message.node, message.session, "another exporter is at work", False)]
            books.session, books.claimed = message.session, False
        books.heard = now
        if isinstance(message, Offer):
            why = self._take(books, message)
            if why:
                return [Refused(message.node, message.session, why, True)]
        return [Taken(message.node, message.session, books.head.number, books.head.digest)]

    def _take(self, books: _Books, offer: Offer) -> str:
        """Why it can't be; empty if all that is new of it is kept, or it comes too early."""
        skipped = books.head.number + 1 - offer.first
        if skipped < 0:
            return ""  # what is before it has been lost on the way
        head, entries, fresh = books.head, [], offer.lines[skipped:]
        for whole in fresh:
            try:
                entry, behind = head.follow(whole)
                if entry.node != offer.node:
                    raise EntryError(f"an entry of {entry.node}")
            except EntryError as problem:
                return f"entry {head.number + 1}: {problem}"
            head = behind
            entries.append(entry)
        if entries:
            self._keep(offer.node, entries, fresh)
            books.head = head
        return ""
