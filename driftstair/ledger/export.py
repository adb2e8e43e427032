"""Delivers a node's ledger to the billing side, which stores each entry exactly once.

The exporter and the collector are state machines without I/O. Their transport may lose, duplicate and reorder
messages. Entries are identified by node and number and are chained, so the collector recognizes duplicates.
It answers lines that come too early with the number that it has stored so far. The protocol is go-back-N:
unacknowledged lines are sent again, after a pause that doubles and is spread by a random seed.

    exporter                        collector
    Hello(session)          ->                                   or Claim(session, token)
                            <-      Taken(number, digest)        the last entry it has stored
    Offer(first, lines)     ->
                            <-      Taken(number, digest)        stored up to this entry
                            <-      Refused(why)                 another exporter, or a fork
                            <-      Older(token)                 a claim's token is outdated

A claim is made by a process that exports another node's ledger under a lease. It takes over at once from all
claims with smaller tokens. A claim with a smaller token than an earlier one is refused, however late its
exporter resumes.

The collector acknowledges only what it has *stored*. The exporter stores nothing but the ledger itself: after
a restart at any point it asks the collector where to continue.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from driftstair.ledger.book import Head
from driftstair.ledger.entries import Entry, EntryError

MAX_BATCH_LINES = 200
RETRY_PAUSE_MS = 500  # first pause until unacknowledged lines are sent again
MAX_PAUSE_DOUBLINGS = 6
SESSION_LEASE_MS = 30_000  # time after its last message for which an exporter excludes others


class Hello(NamedTuple):
    """Begins a node's own export, or one that an operator started."""

    node: str
    session: int  # a random number, different for each exporter


class Claim(NamedTuple):
    """Begins the export of another node's ledger under a lease."""

    node: str
    session: int
    token: int  # of the lease under which the claim is made


class Older(NamedTuple):
    """Refuses a claim because a greater token, the one given here, was claimed before."""

    node: str
    session: int
    token: int


class Offer(NamedTuple):
    """Lines of the ledger that are to be stored."""

    node: str
    session: int
    first: int  # number of the first line
    lines: tuple[bytes, ...]  # without their newlines


class Taken(NamedTuple):
    """Acknowledges all entries up to a number; gives that entry's digest."""

    node: str
    session: int
    number: int
    digest: bytes


class Refused(NamedTuple):
    """Refuses a message, and gives the reason."""

    node: str
    session: int
    why: str
    final: bool  # a repeated attempt would be refused as well


Message = Hello | Claim | Offer | Taken | Refused | Older


class LineSource(NamedTuple):
    """A ledger as an exporter reads it."""

    read: Callable[[int, int], Sequence[bytes]]  # first number, how many at most
    digest: Callable[[int], bytes | None]  # of the line with a number; None: no such line


class Exporter:
    """Exports one node's ledger. `poll` returns the messages that are to be sent now, and `next_poll_ms` is
    the time of the next call. `token` is that of the lease under which another node's ledger is exported, and
    0 for the node's own export or an operator's."""

    def __init__(self, node: str, source: LineSource, session: int, seed: int, token: int = 0) -> None:
        self.token = token
        self.superseding_token = 0  # greater token for which the collector refused this exporter's
        self.node = node
        self.session = session
        self.acknowledged = -1  # last entry that the collector has stored; -1: unknown
        self.stop_reason = ""  # set when the export can't continue
        self.next_poll_ms = 0
        self._source = source
        self._random = Random(seed)
        self._failures = 0

    def is_done(self) -> bool:
        """Whether the collector has acknowledged the whole ledger."""
        return self.acknowledged >= 0 and not self._source.read(self.acknowledged + 1, 1)

    def poll(self, now_ms: int) -> list[Message]:
        """Returns the message that is due, if any."""
        if self.stop_reason or now_ms < self.next_poll_ms or self.is_done():
            return []
        # Spread because all exporters of a tier that lost its collector would otherwise return at the same
        # time.
        pause_ms = RETRY_PAUSE_MS << min(self._failures, MAX_PAUSE_DOUBLINGS)
        self.next_poll_ms = now_ms + int(pause_ms * self._random.uniform(0.5, 1.0))
        self._failures += 1
        return [self._next_message()]

    def _next_message(self) -> Message:
        """Returns the message that the next step of the protocol requires."""
        if self.acknowledged < 0:
            if self.token:
                return Claim(self.node, self.session, self.token)
            return Hello(self.node, self.session)
        first = self.acknowledged + 1
        return Offer(self.node, self.session, first, tuple(self._source.read(first, MAX_BATCH_LINES)))

    def receive(self, now_ms: int, message: Message) -> list[Message]:
        """Handles a collector's message and returns the answers to it."""
        if self.stop_reason or message.node != self.node or message.session != self.session:
            return []  # for an earlier session of this node
        if isinstance(message, Older):
            self.superseding_token = message.token
            self.stop_reason = f"the books have had the token {message.token}, and this one's is {self.token}"
            return []
        if isinstance(message, Refused):
            if message.final:
                self.stop_reason = message.why
            self.acknowledged = -1  # the collector may have restarted without sessions, so begin again
            return []
        if not isinstance(message, Taken) or message.number <= self.acknowledged:
            return []  # late, or a duplicate
        if self._source.digest(message.number) != message.digest:
            # The collector has a different line with that number, or more lines than this ledger, because an
            # old copy of the ledger was restored.
            self.stop_reason = f"the books hold another entry {message.number}"
            return []
        self.acknowledged = message.number
        self._failures = 0
        self.next_poll_ms = now_ms
        return self.poll(now_ms)


StoreEntries = Callable[[str, list[Entry], Sequence[bytes]], None]
"""Stores a node's entries, given with their lines."""


@dataclass(slots=True)
class _NodeState:
    """What the collector holds of one node."""

    head: Head = field(default_factory=Head)
    session: int = -1
    last_heard_ms: int = 0
    is_claimed: bool = False  # the session was begun by a claim


class Collector:
    """The billing side: stores each node's entries in order, each once. `store_entries` must have stored them
    durably when it returns; if it raises, nothing is acknowledged. `heads` and `tokens` are what an earlier
    run of the collector stored. `store_token` likewise stores the token of a node's claim before the claim
    takes effect."""

    def __init__(
        self, store_entries: StoreEntries, heads: dict[str, Head], session_lease_ms: int = SESSION_LEASE_MS,
        tokens: dict[str, int] | None = None,
        store_token: Callable[[str, int], None] = lambda node, token: None,
    ) -> None:  # fmt: skip
        self._tokens = dict(tokens or {})
        self._store_token = store_token
        self._store_entries = store_entries
        self._session_lease_ms = session_lease_ms
        self._nodes = {node: _NodeState(head) for node, head in heads.items()}

    def head(self, node: str) -> Head:
        """Returns the end of what is stored of a node's ledger."""
        state = self._nodes.get(node)
        return Head() if state is None else state.head

    def receive(self, now_ms: int, message: Message) -> list[Message]:
        """Handles an exporter's message and returns the answers to it."""
        if not isinstance(message, Hello | Claim | Offer):
            return []
        state = self._nodes.setdefault(message.node, _NodeState())
        if isinstance(message, Claim):
            stored_token = self._tokens.get(message.node, 0)
            if message.token < stored_token:
                return [Older(message.node, message.session, stored_token)]
            if (
                not state.is_claimed
                and state.session >= 0
                and now_ms - state.last_heard_ms < self._session_lease_ms
            ):
                return [Refused(message.node, message.session, "another exporter is at work", False)]
            if message.token > stored_token:
                self._store_token(message.node, message.token)
                self._tokens[message.node] = message.token
            state.session, state.is_claimed = message.session, True
        elif message.session != state.session:
            if isinstance(message, Offer):
                # The session has ended, or began before the collector's restart. The exporter has to say
                # hello first.
                return [Refused(message.node, message.session, "another exporter is at work", False)]
            if state.session >= 0 and now_ms - state.last_heard_ms < self._session_lease_ms:
                return [Refused(message.node, message.session, "another exporter is at work", False)]
            state.session, state.is_claimed = message.session, False
        state.last_heard_ms = now_ms
        if isinstance(message, Offer):
            why = self._store_offer(state, message)
            if why:
                return [Refused(message.node, message.session, why, True)]
        return [Taken(message.node, message.session, state.head.number, state.head.digest)]

    def _store_offer(self, state: _NodeState, offer: Offer) -> str:
        """Stores the new lines of an offer. Returns the reason if they are invalid. Returns an empty text if
        they are stored or if the offer comes too early."""
        already_stored = state.head.number + 1 - offer.first
        if already_stored < 0:
            return ""  # an earlier offer was lost
        head, entries, new_lines = state.head, [], offer.lines[already_stored:]
        for encoded in new_lines:
            try:
                entry, next_head = head.read_next(encoded)
                if entry.node != offer.node:
                    raise EntryError(f"an entry of {entry.node}")
            except EntryError as problem:
                return f"entry {head.number + 1}: {problem}"
            head = next_head
            entries.append(entry)
        if entries:
            self._store_entries(offer.node, entries, new_lines)
            state.head = head
        return ""
