"""The table of client connections: who holds a place, who is asked to give it up, and who goes first.

Nothing is closed early while there is room. There are two bounds: what the node can hold itself
(`connections_max`), and what clients may hold at it in all (`platform_connections_max`), where the platform
tells one; the second binds the clients, so idle connections that nobody uses keep others from opening any,
and a node only sees that nobody comes. So room is kept for those that are expected
(`Crowd.need`), under both bounds.

Where room is short, connections go in this order, and one with an open request never does:

1. rejected ones, whose answer is out, and those that were told to go and stay (`mark_lingering`,
   `mark_leaving`);
2. newcomers that have brought nothing within their grace;
3. those that have begun a request and don't go on, after `HEAD_LEAST`, in its body after `BODY_LEAST`;
4. idle ones, the least worth first, as long as newcomers bring more in the same place, and newcomers hold no
   more than their lane.

4 is what protects those that ask and read. The lane is as wide as newcomers that ask need it (`_lane`), so a
crowd that says nothing does not widen it: its connections only make room for one another. A client that does
not read its answer has an open request: closing it would lose that, so it stays until its deadline, which the
front sees to.

2 to 4 go by what the node has read. A connection whose client has sent what is unread yet is passed over: the
node may have been held up, and a request that is with the kernel would be lost with its connection.

Work for an event is bounded whatever the count: an idle connection moves through the buckets of its age, once
each, `MOVES` of all in an event; the choice looks at the fronts of buckets only.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum
from itertools import islice, takewhile
from math import ceil
from typing import Generic, TypeVar

from driftstair.admission.arrival_statistics import Crowd
from driftstair.admission.return_statistics import BUCKETS, ENDS, Returns, bucket_of

Connection = TypeVar("Connection", bound=Hashable)

USES = (1, 2, 4)  # requests so far, at least, of each kind of idle connection
MOVES = 32  # connections that one event moves to the next bucket of age, or closes
MOVES_SWEEP = 2048  # the same at a sweep, some times a second
LOOKS = 8  # connections of one kind that a choice asks for what is unread
LEARN_EVERY = 0.25  # s between two reckonings of what idle connections are worth
STAYS_ONE_IN = 16  # answers that keep a connection that should close, or no return would be seen any more
LEAVE_LEAST = 0.3  # s for a client that was told to go to read its answer: a reset would take that with it
BODY_LEAST = 1.0  # s without a piece of a body, likewise
HEAD_LEAST = 0.15  # s for the rest of a request that has begun, where the table is full
LANE_PART = 0.05  # of the table, for newcomers, however few have come of late
SPARE_PART = 0.5  # of the bound: below it room is never short, and nothing is reckoned
HELD_PART = 0.95  # of `platform_connections_max` that is counted on: some stand in the kernel's queue


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Connections and times in s."""

    connections_max: int  # that the node can hold
    platform_connections_max: int = 0  # that clients may hold at the node; 0: as many as they like
    first_head_s_max: float = 2.7  # from connecting to the first whole head; clients may spend 2 s on one
    next_head_s_max: float = 2.7  # for the head of a later request that has begun
    idle_s_max: float = 30.0  # between two requests
    linger_most: float = 1.0  # for a rejected client to take its answer and go
    linger_part: float = 0.1  # of the table, for such ones


class State(IntEnum):
    """Whole numbers: a table is found by its place, at each event, and the hash of an Enum is a call."""

    SILENT = 0  # has brought nothing yet
    HEAD = 1  # has begun its first request
    BUSY = 2  # has an open request
    IDLE = 3  # has been answered
    READING = 4  # has begun a later request
    LEAVING = 5  # has been told to go with its answer
    LINGERING = 6  # is rejected
    BODY = 7  # its request's head is whole, its body is on the way; since the last piece of it


ANSWERED = (State.LINGERING, State.LEAVING)
"""What a client sends after its last answer is not read."""


class CloseMode(Enum):
    """How a connection that is given up is to be closed."""

    CLOSE = "with what is written"
    TIME_OUT = "told that it was too slow, if it had begun a request"
    ABORT = "at once"


@dataclass(slots=True)
class Place:
    state: State
    since: float  # in this state; for one that never asked, since it connected
    uses: int = 0  # whole requests
    kind: int = 0  # of an idle one, by its uses
    bucket: int = 0  # of an idle one's age


def _since(table: dict[Connection, float], latest: float) -> list[Connection]:
    """Those in their state since then or longer, from the front of a table."""
    return list(takewhile(lambda one: table[one] <= latest, table))


KINDS = tuple(sum(uses >= least for least in USES) - 1 for uses in range(USES[-1] + 1))


def kind_of(uses: int) -> int:
    return KINDS[uses] if uses < USES[-1] else KINDS[-1]


class ConnectionTable(Generic[Connection]):
    """What one node's front asks at each event. `now` in s, of one clock that does not go back."""

    def __init__(
        self, limits: ConnectionLimits, has_unread: Callable[[Connection], bool] = lambda _: False
    ) -> None:
        """`has_unread`: whether a client has sent what the node has not read."""
        self.limits = limits
        self._has_unread = has_unread
        self.crowd = Crowd()
        self.returns = tuple(Returns() for _ in USES)
        # The node is about to end: clients may find no other, and keep what they have.
        self.is_stopping = False
        self.closed_early = 0  # idle ones, for room, and answers that told clients to go
        self._places: dict[Connection, Place] = {}
        # Of those that never asked, in the order in which they came: one that began its head first need not
        # be the one that connected first, and each has its time from connecting.
        self._newcomers: dict[Connection, float] = {}
        # In the order in which they came into that state.
        self._tables: list[dict[Connection, float]] = [{} for _ in State]  # that of IDLE stays empty
        self._idle: list[list[dict[Connection, float]]] = [[{} for _ in range(BUCKETS)] for _ in USES]
        self._idle_count = 0
        self._order: list[tuple[float, int, int]] = []  # of kinds and buckets of idle ones, least worth first
        self._fresh = [0.0] * len(USES)  # worth of one that turns idle now
        self._learned = 0.0
        self._told_to_go = 0
        self._learn(0.0)

    def __len__(self) -> int:
        return len(self._places)

    def idle_count(self) -> int:
        return self._idle_count

    def state(self, connection: Connection) -> State | None:
        place = self._places.get(connection)
        return None if place is None else place.state

    # What happens to a connection.

    def add(self, connection: Connection, now: float) -> None:
        self._places[connection] = Place(State.SILENT, now)
        self._tables[State.SILENT][connection] = self._newcomers[connection] = now

    def mark_reading(self, connection: Connection, now: float) -> None:
        """A part of a request has come. It gives no new time: a slow one's counts from its first byte, a
        newcomer's from when it connected."""
        place = self._places[connection]
        if place.state is State.SILENT:
            self._move(connection, place, State.HEAD, place.since)
        elif place.state is State.IDLE:
            self._move(connection, place, State.READING, now)

    def mark_receiving_body(self, connection: Connection, now: float) -> None:
        """A piece of a body has come. How slowly it may come is not decided here (`body_progress`)."""
        place = self._places[connection]
        self._newcomers.pop(connection, None)
        if place.state is State.BODY:
            del self._tables[State.BODY][connection]  # to the end: the longest without a piece stands first
            place.since = self._tables[State.BODY][connection] = now
        elif place.state is not State.BUSY:
            self._move(connection, place, State.BODY, now)

    def mark_busy(self, connection: Connection, now: float) -> None:
        """A whole request has come, and is served from now on."""
        place = self._places[connection]
        if place.uses == 0:
            self.crowd.asked(now, now - place.since)
            self._newcomers.pop(connection, None)
        place.uses += 1
        self._move(connection, place, State.BUSY, now)

    def mark_idle(self, connection: Connection, now: float) -> None:
        """It has been answered, and nothing more has come. Bytes that are no request give no new time."""
        place = self._places[connection]
        if place.state is State.BUSY:
            self._move(connection, place, State.IDLE, now)

    def mark_leaving(self, connection: Connection, now: float) -> None:
        """It has been answered, and told to go."""
        self._newcomers.pop(connection, None)
        self._move(connection, self._places[connection], State.LEAVING, now)

    def mark_lingering(self, connection: Connection, now: float) -> None:
        """It is rejected, and told so."""
        self._newcomers.pop(connection, None)
        self._move(connection, self._places[connection], State.LINGERING, now)

    def remove(self, connection: Connection, now: float) -> None:
        """It is closed, by whichever side."""
        place = self._places.pop(connection, None)
        self._newcomers.pop(connection, None)
        if place is not None:
            self._leave(connection, place, now, came_back=False)
            if place.uses == 0 and place.state is not State.LINGERING:
                self.crowd.stayed_silent()

    def _move(self, connection: Connection, place: Place, state: State, now: float) -> None:
        if place.state is state:
            return
        self._leave(connection, place, now, came_back=True)
        place.state, place.since = state, now
        if state is State.IDLE:
            place.kind, place.bucket = kind_of(place.uses), 0
            self._idle[place.kind][0][connection] = now
            self._idle_count += 1
        else:
            self._tables[state][connection] = now

    def _leave(self, connection: Connection, place: Place, now: float, came_back: bool) -> None:
        if place.state is not State.IDLE:
            self._tables[place.state].pop(connection, None)
            return
        del self._idle[place.kind][place.bucket][connection]
        self._idle_count -= 1
        returns, age = self.returns[place.kind], now - place.since
        last = bucket_of(age)
        for bucket in range(place.bucket, last):
            returns.pass_through(bucket)
        returns.end(age, last, came_back)

    # What is decided.

    def should_keep(self, connection: Connection, now: float) -> bool:
        """Whether the answer that goes out now should keep the connection, or tell its client to close it.

        Told so, nothing of the client's crosses the end, and the place is free a round trip later. One in
        `STAYS_ONE_IN` is kept all the same: without it no return could be seen any more.
        """
        place = self._places[connection]
        if place.state is State.BUSY:
            self.crowd.served(now - place.since)
        short = self._short(now)
        if not short or self.is_stopping:
            return True
        self._grow_older(now)
        worth = self._fresh[kind_of(place.uses)]
        # Those idle now go first, as far as they are worth less; the rest must not be kept.
        less = sum(len(self._idle[kind][bucket]) for value, kind, bucket in self._order if value < worth)
        if less >= short or worth >= self.crowd.worth():
            return True
        self._told_to_go += 1
        if self._told_to_go % STAYS_ONE_IN == 0:
            return True
        self.closed_early += 1
        return False

    def take_surplus_idle(self, now: float) -> list[Connection]:
        """Idle connections to close now, since their places are wanted; `MOVES` at most in one call."""
        wanted = 0 if self.is_stopping else min(MOVES, self._short(now), self._idle_count)
        given: list[Connection] = []
        if not wanted:
            return given
        self._grow_older(now)
        while len(given) < wanted:
            connection = self._least_worth(self.crowd.worth())
            if connection is None:
                break
            self.remove(connection, now)
            given.append(connection)
        self.closed_early += len(given)
        return given

    def make_room(self, now: float, forced: bool = False) -> tuple[Connection, CloseMode] | None:
        """The connection to close for another that waits at a full table; None: that one has to wait.
        `forced`: no descriptor is left, so an idle one goes whatever it is worth."""
        for state, before in (
            (State.LINGERING, now),
            (State.LEAVING, now - LEAVE_LEAST),
            (State.SILENT, now - self.crowd.grace()),
            (State.HEAD, now - HEAD_LEAST),
            (State.READING, now - HEAD_LEAST),
            (State.BODY, now - BODY_LEAST),
        ):
            connection = self._first_since(state, before)
            if connection is not None:
                self.remove(connection, now)
                return connection, CloseMode.ABORT
        if not forced and len(self._newcomers) >= self._lane(now):
            return None
        self._grow_older(now)
        connection = self._least_worth(float("inf") if forced else self.crowd.worth())
        if connection is None:
            return None
        self.remove(connection, now)
        self.closed_early += 1
        return connection, CloseMode.CLOSE

    def is_full(self) -> bool:
        """No place can be made for another client, but by those that have their answer leaving."""
        held = sum(len(self._tables[state]) for state in (State.BUSY, State.READING, State.BODY))
        return held >= self.limits.connections_max

    def take_expired(self, now: float) -> list[tuple[Connection, CloseMode]]:
        """Those whose time is over, whatever room there is."""
        limits = self.limits
        late = [
            (connection, ending)
            for table, most, ending in (
                (self._tables[State.LINGERING], limits.linger_most, CloseMode.ABORT),
                (self._tables[State.LEAVING], limits.linger_most, CloseMode.ABORT),
                (self._newcomers, limits.first_head_s_max, CloseMode.TIME_OUT),
                (self._tables[State.READING], limits.next_head_s_max, CloseMode.TIME_OUT),
            )
            for connection in _since(table, now - most)
        ]
        self._grow_older(now, MOVES_SWEEP)
        for kind in self._idle:
            for bucket in kind[bucket_of(limits.idle_s_max) :]:
                idle = _since(bucket, now - limits.idle_s_max)
                late += [(one, CloseMode.CLOSE) for one in idle if not self._has_unread(one)]
        for connection, ending in late:
            if ending is not CloseMode.TIME_OUT:  # which is still told so
                self.remove(connection, now)
        return late

    def take_excess_lingering(self, now: float) -> Connection | None:
        """A rejected connection to abort, since too many of them linger."""
        lingering = self._tables[State.LINGERING]
        if len(lingering) <= self.limits.linger_part * self.limits.connections_max:
            return None
        first = next(iter(lingering))
        self.remove(first, now)
        return first

    def connections_without_request(self) -> list[Connection]:
        """Those with no request, at the node's end."""
        idle = [connection for kind in self._idle for bucket in kind for connection in bucket]
        return [*self._tables[State.SILENT], *idle]

    # Room and worth.

    def _lane(self, now: float) -> float:
        """Places for newcomers, that others leave free."""
        return LANE_PART * self.limits.connections_max + self.crowd.need(now)

    def _short(self, now: float) -> int:
        """Places more that the others should leave to newcomers."""
        if len(self._places) < SPARE_PART * (
            self.limits.platform_connections_max or self.limits.connections_max
        ):
            return 0
        others = len(self._places) - len(self._newcomers)
        short = others + self._lane(now) - self.limits.connections_max
        if self.limits.platform_connections_max:
            held = others - len(self._tables[State.LINGERING]) - len(self._tables[State.LEAVING])
            short = max(short, held + self.crowd.need(now) - HELD_PART * self.limits.platform_connections_max)
        return ceil(short) if short > 0 else 0

    def _least_worth(self, below: float) -> Connection | None:
        for worth, kind, bucket in self._order:
            if worth >= below:
                return None
            connection = self._first_read(self._idle[kind][bucket])
            if connection is not None:
                return connection
        return None

    def _first_since(self, state: State, latest: float) -> Connection | None:
        """The longest in a state, since then or longer, that may be closed."""
        table = self._tables[state]
        found = takewhile(lambda one: table[one] <= latest, table)
        if state in ANSWERED:
            return next(found, None)
        return self._first_read(found)

    def _first_read(self, connections: Iterable[Connection]) -> Connection | None:
        """The first of which all is read that its client has sent; a few are asked."""
        return next((one for one in islice(connections, LOOKS) if not self._has_unread(one)), None)

    def _grow_older(self, now: float, moves: int = MOVES) -> None:
        """Idle connections go on to the buckets of their ages; reckons again what they are worth. With room
        to spare only the sweep does so: it would cost each request more than all else here."""
        for kind, returns in zip(self._idle, self.returns, strict=True):
            for bucket in range(BUCKETS - 2, -1, -1):
                table = kind[bucket]
                while table and moves:
                    connection = next(iter(table))
                    if table[connection] > now - ENDS[bucket]:
                        break
                    kind[bucket + 1][connection] = table.pop(connection)
                    self._places[connection].bucket = bucket + 1
                    returns.pass_through(bucket)
                    moves -= 1
        if now - self._learned >= LEARN_EVERY:
            self._learn(now)

    def _learn(self, now: float) -> None:
        self._order = []
        for kind, returns in enumerate(self.returns):
            returns.fade(now - self._learned)
            worth = returns.worth(self.crowd.service)
            self._fresh[kind] = worth[0]
            self._order += [(value, kind, bucket) for bucket, value in enumerate(worth)]
        self._order.sort()
        self._learned = now
