"""The table of client connections: which connections are kept, and which is closed first when room is short.

Nothing is closed early while there is room. There are two limits: the connections that the node can hold
(`connections_max`) and, if the platform sets it, the connections that its clients may hold at the node in
total (`platform_connections_max`). The second one applies to the clients: unused idle connections then
prevent other clients from opening any, and the node sees no sign of it except that no new connections arrive.
Therefore room for the expected arrivals (`ArrivalStatistics.required_free`) is kept under both limits.

When room is short, connections are closed in this order; one with an open request is never closed:

1. rejected connections whose response is sent, and connections that were told to close and have not
   (`mark_lingering`, `mark_leaving`);
2. new connections that have sent nothing within the grace period;
3. connections that stopped in the middle of a request: after `HEAD_STALL_S_MIN`, in the body after
   `BODY_STALL_S_MIN`;
4. idle connections, lowest worth first, as long as a new connection is worth more than the idle one and new
   connections hold no more than the share reserved for them.

Rule 4 protects clients that send requests and read the responses. The reserved share (`_reserved_for_new`)
grows only with new connections that send requests, so a flood of silent connections does not widen it: they
only displace one another. A client that does not read its response has an open request, which closing would
lose, so it is kept until its deadline; the frontend enforces that.

Rules 2 to 4 use what the node has read. A connection with unread data is skipped: the node may have been
stalled, and a request in the kernel's buffer would be lost with its connection.

Work per event is bounded whatever the number of connections: an idle connection passes each age bucket once,
at most `MOVES_PER_EVENT_MAX` connections move per event, and a choice looks only at the front of each bucket.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from enum import Enum, IntEnum
from itertools import islice, takewhile
from math import ceil
from typing import Generic, TypeVar

from driftstair.admission.arrival_statistics import ArrivalStatistics
from driftstair.admission.return_statistics import BUCKET_COUNT, BUCKET_ENDS_S, ReturnStatistics, bucket_of

Connection = TypeVar("Connection", bound=Hashable)

REQUEST_COUNT_THRESHOLDS = (1, 2, 4)  # minimum requests so far of each kind of idle connection
MOVES_PER_EVENT_MAX = 32  # connections moved to the next age bucket, or closed
MOVES_PER_SWEEP_MAX = 2048  # a sweep runs a few times per second
UNREAD_CHECKS_MAX = 8  # connections of one kind that a choice checks for unread data
WORTH_UPDATE_INTERVAL_S = 0.25
EXPLORATION_INTERVAL = 16  # one in so many connections is kept anyway, so that returns are still observed
LEAVING_S_MIN = 0.3  # time to read the last response, which a reset would discard
BODY_STALL_S_MIN = 1.0  # without body data, when the table is full
HEAD_STALL_S_MIN = 0.15  # for the rest of a request that has begun, when the table is full
RESERVED_FRACTION_MIN = 0.05  # of the table, for new connections, however low the arrival rate
SHORTAGE_FRACTION_MIN = 0.5  # of the limit; below it room is never short and nothing is computed
PLATFORM_USABLE_FRACTION = 0.95  # of `platform_connections_max`; some wait in the kernel's accept queue


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Numbers of connections, and times in s."""

    connections_max: int  # that the node can hold
    platform_connections_max: int = 0  # that clients may hold at the node; 0: no limit
    first_head_s_max: float = 2.7  # from connecting to the first complete head; clients may take 2 s
    next_head_s_max: float = 2.7  # for the head of a later request, from its first byte
    idle_s_max: float = 30.0  # between two requests
    linger_s_max: float = 1.0  # for a rejected client to read its response and close
    linger_fraction_max: float = 0.1  # of the table, for rejected clients


class State(IntEnum):
    """Integers, since every event indexes a list with them; hashing an Enum member costs a function call."""

    SILENT = 0  # has sent nothing yet
    HEAD = 1  # has begun its first request
    BUSY = 2  # has an open request
    IDLE = 3  # its last request has been answered
    READING = 4  # has begun a later request
    LEAVING = 5  # its last response told the client to close
    LINGERING = 6  # rejected; closes once the response is read
    BODY = 7  # the request head is complete, the body is arriving; entered anew with each part of it


AFTER_LAST_RESPONSE = (State.LINGERING, State.LEAVING)
"""States after the last response: what the client still sends is not read."""


class CloseMode(Enum):
    """How to close a connection."""

    CLOSE = "after writing the buffered data"
    TIME_OUT = "with a timeout response if a request has begun"
    ABORT = "immediately, with a reset"


@dataclass(slots=True)
class ConnectionRecord:
    """The state of one client connection."""

    state: State
    since: float  # entered this state; without a request so far, connected
    request_count: int = 0  # complete requests
    kind: int = 0  # of an idle connection, by its request count
    bucket: int = 0  # age bucket of an idle connection


def _entered_before(table: dict[Connection, float], latest: float) -> list[Connection]:
    """The connections at the front of a table that entered it at `latest` or before."""
    return list(takewhile(lambda connection: table[connection] <= latest, table))


KIND_BY_REQUEST_COUNT = tuple(
    sum(request_count >= threshold for threshold in REQUEST_COUNT_THRESHOLDS) - 1
    for request_count in range(REQUEST_COUNT_THRESHOLDS[-1] + 1)
)


def kind_of(request_count: int) -> int:
    """The kind of an idle connection, by the number of its requests so far."""
    return (
        KIND_BY_REQUEST_COUNT[request_count]
        if request_count < REQUEST_COUNT_THRESHOLDS[-1]
        else KIND_BY_REQUEST_COUNT[-1]
    )


class ConnectionTable(Generic[Connection]):
    """The connections of one node, as events change them. `now`: s of one monotonic clock."""

    def __init__(
        self, limits: ConnectionLimits, has_unread: Callable[[Connection], bool] = lambda _: False
    ) -> None:
        """`has_unread`: whether the client has sent data that the node has not read."""
        self.limits = limits
        self._has_unread = has_unread
        self.arrivals = ArrivalStatistics()
        self.returns = tuple(ReturnStatistics() for _ in REQUEST_COUNT_THRESHOLDS)
        # The node is shutting down. Clients may find no other node, so they keep their connections.
        self.is_stopping = False
        self.closed_early = 0  # idle ones closed to make room, and responses that told clients to close
        self._records: dict[Connection, ConnectionRecord] = {}
        # Connections without a complete request, in order of connecting. Their time limit runs from
        # connecting, and the first to begin its head need not be the first that connected.
        self._new_connections: dict[Connection, float] = {}
        # By state, in the order of entering it.
        self._by_state: list[dict[Connection, float]] = [{} for _ in State]  # the one of IDLE stays empty
        self._idle: list[list[dict[Connection, float]]] = [
            [{} for _ in range(BUCKET_COUNT)] for _ in REQUEST_COUNT_THRESHOLDS
        ]
        self._idle_count = 0
        self._worth_order: list[tuple[float, int, int]] = []  # (worth, kind, bucket), lowest worth first
        # Worth of a connection that becomes idle now, by kind.
        self._fresh_worth = [0.0] * len(REQUEST_COUNT_THRESHOLDS)
        self._worth_updated_at = 0.0
        self._close_decisions = 0
        self._update_worth(0.0)

    def __len__(self) -> int:
        return len(self._records)

    def idle_count(self) -> int:
        return self._idle_count

    def state(self, connection: Connection) -> State | None:
        record = self._records.get(connection)
        return None if record is None else record.state

    # Events.

    def add(self, connection: Connection, now: float) -> None:
        self._records[connection] = ConnectionRecord(State.SILENT, now)
        self._by_state[State.SILENT][connection] = self._new_connections[connection] = now

    def mark_reading(self, connection: Connection, now: float) -> None:
        """Part of a request has arrived. This does not restart the time limit, which runs from the first byte
        of the request, or from connecting if the connection is new."""
        record = self._records[connection]
        if record.state is State.SILENT:
            self._change_state(connection, record, State.HEAD, record.since)
        elif record.state is State.IDLE:
            self._change_state(connection, record, State.READING, now)

    def mark_receiving_body(self, connection: Connection, now: float) -> None:
        """Part of a body has arrived. `body_progress` decides how slowly it may arrive."""
        record = self._records[connection]
        self._new_connections.pop(connection, None)
        if record.state is State.BODY:
            # Moves the connection to the end, so that the one longest without data stays first.
            del self._by_state[State.BODY][connection]
            record.since = self._by_state[State.BODY][connection] = now
        elif record.state is not State.BUSY:
            self._change_state(connection, record, State.BODY, now)

    def mark_busy(self, connection: Connection, now: float) -> None:
        """A complete request has arrived and is being served."""
        record = self._records[connection]
        if record.request_count == 0:
            self.arrivals.record_first_request(now, now - record.since)
            self._new_connections.pop(connection, None)
        record.request_count += 1
        self._change_state(connection, record, State.BUSY, now)

    def mark_idle(self, connection: Connection, now: float) -> None:
        """The request has been answered and nothing more has arrived. Bytes that form no request do not
        restart the time limit."""
        record = self._records[connection]
        if record.state is State.BUSY:
            self._change_state(connection, record, State.IDLE, now)

    def mark_leaving(self, connection: Connection, now: float) -> None:
        """The request has been answered, and the client was told to close the connection."""
        self._new_connections.pop(connection, None)
        self._change_state(connection, self._records[connection], State.LEAVING, now)

    def mark_lingering(self, connection: Connection, now: float) -> None:
        """The client has been rejected, with a response."""
        self._new_connections.pop(connection, None)
        self._change_state(connection, self._records[connection], State.LINGERING, now)

    def remove(self, connection: Connection, now: float) -> None:
        """The connection has been closed, by either side."""
        record = self._records.pop(connection, None)
        self._new_connections.pop(connection, None)
        if record is not None:
            self._leave_state(connection, record, now, returned=False)
            if record.request_count == 0 and record.state is not State.LINGERING:
                self.arrivals.record_silent()

    def _change_state(
        self, connection: Connection, record: ConnectionRecord, state: State, now: float
    ) -> None:
        if record.state is state:
            return
        self._leave_state(connection, record, now, returned=True)
        record.state, record.since = state, now
        if state is State.IDLE:
            record.kind, record.bucket = kind_of(record.request_count), 0
            self._idle[record.kind][0][connection] = now
            self._idle_count += 1
        else:
            self._by_state[state][connection] = now

    def _leave_state(
        self, connection: Connection, record: ConnectionRecord, now: float, returned: bool
    ) -> None:
        if record.state is not State.IDLE:
            self._by_state[record.state].pop(connection, None)
            return
        del self._idle[record.kind][record.bucket][connection]
        self._idle_count -= 1
        returns, age = self.returns[record.kind], now - record.since
        last = bucket_of(age)
        for bucket in range(record.bucket, last):
            returns.record_full_bucket(bucket)
        returns.record_end(age, last, returned)

    # Decisions.

    def should_keep(self, connection: Connection, now: float) -> bool:
        """Whether the response that is sent now should keep the connection open or tell the client to close
        it.

        A client that is told to close sends no request that could cross with the close, and its slot is free
        a round trip later. One in `EXPLORATION_INTERVAL` is kept anyway; otherwise no returns would be
        observed.
        """
        record = self._records[connection]
        if record.state is State.BUSY:
            self.arrivals.record_service_time(now - record.since)
        shortage = self._shortage(now)
        if not shortage or self.is_stopping:
            return True
        self._advance_ages(now)
        worth = self._fresh_worth[kind_of(record.request_count)]
        # Idle connections of lower worth are closed first; the rest of the shortage falls on this one.
        closed_first = sum(
            len(self._idle[kind][bucket]) for value, kind, bucket in self._worth_order if value < worth
        )
        if closed_first >= shortage or worth >= self.arrivals.worth():
            return True
        self._close_decisions += 1
        if self._close_decisions % EXPLORATION_INTERVAL == 0:
            return True
        self.closed_early += 1
        return False

    def take_surplus_idle(self, now: float) -> list[Connection]:
        """Removes and returns idle connections to close now to make room, at most `MOVES_PER_EVENT_MAX`."""
        count = 0 if self.is_stopping else min(MOVES_PER_EVENT_MAX, self._shortage(now), self._idle_count)
        surplus: list[Connection] = []
        if not count:
            return surplus
        self._advance_ages(now)
        while len(surplus) < count:
            connection = self._lowest_worth(self.arrivals.worth())
            if connection is None:
                break
            self.remove(connection, now)
            surplus.append(connection)
        self.closed_early += len(surplus)
        return surplus

    def make_room(self, now: float, forced: bool = False) -> tuple[Connection, CloseMode] | None:
        """Removes the connection to close for one that waits at a full table; None: that one has to wait.
        `forced`: no descriptor is left, so an idle connection is closed whatever its worth."""
        for state, latest in (
            (State.LINGERING, now),
            (State.LEAVING, now - LEAVING_S_MIN),
            (State.SILENT, now - self.arrivals.grace()),
            (State.HEAD, now - HEAD_STALL_S_MIN),
            (State.READING, now - HEAD_STALL_S_MIN),
            (State.BODY, now - BODY_STALL_S_MIN),
        ):
            connection = self._first_since(state, latest)
            if connection is not None:
                self.remove(connection, now)
                return connection, CloseMode.ABORT
        if not forced and len(self._new_connections) >= self._reserved_for_new(now):
            return None
        self._advance_ages(now)
        connection = self._lowest_worth(float("inf") if forced else self.arrivals.worth())
        if connection is None:
            return None
        self.remove(connection, now)
        self.closed_early += 1
        return connection, CloseMode.CLOSE

    def is_full(self) -> bool:
        """Whether no room can be made for another client until an open request is answered."""
        occupied = sum(len(self._by_state[state]) for state in (State.BUSY, State.READING, State.BODY))
        return occupied >= self.limits.connections_max

    def take_expired(self, now: float) -> list[tuple[Connection, CloseMode]]:
        """The connections that are over their time limit, whatever room there is."""
        limits = self.limits
        expired = [
            (connection, mode)
            for table, limit, mode in (
                (self._by_state[State.LINGERING], limits.linger_s_max, CloseMode.ABORT),
                (self._by_state[State.LEAVING], limits.linger_s_max, CloseMode.ABORT),
                (self._new_connections, limits.first_head_s_max, CloseMode.TIME_OUT),
                (self._by_state[State.READING], limits.next_head_s_max, CloseMode.TIME_OUT),
            )
            for connection in _entered_before(table, now - limit)
        ]
        self._advance_ages(now, MOVES_PER_SWEEP_MAX)
        for kind in self._idle:
            for bucket in kind[bucket_of(limits.idle_s_max) :]:
                idle = _entered_before(bucket, now - limits.idle_s_max)
                expired += [
                    (connection, CloseMode.CLOSE) for connection in idle if not self._has_unread(connection)
                ]
        for connection, mode in expired:
            if mode is not CloseMode.TIME_OUT:  # which still gets a response
                self.remove(connection, now)
        return expired

    def take_excess_lingering(self, now: float) -> Connection | None:
        """Removes the oldest rejected connection, to be aborted, if too many of them linger."""
        lingering = self._by_state[State.LINGERING]
        if len(lingering) <= self.limits.linger_fraction_max * self.limits.connections_max:
            return None
        first = next(iter(lingering))
        self.remove(first, now)
        return first

    def connections_without_request(self) -> list[Connection]:
        """The connections to close at shutdown: silent and idle ones."""
        idle = [connection for kind in self._idle for bucket in kind for connection in bucket]
        return [*self._by_state[State.SILENT], *idle]

    # Shortage and worth.

    def _reserved_for_new(self, now: float) -> float:
        """Slots that the other connections leave to new ones."""
        return RESERVED_FRACTION_MIN * self.limits.connections_max + self.arrivals.required_free(now)

    def _shortage(self, now: float) -> int:
        """How many more slots the other connections should leave to new ones."""
        if len(self._records) < SHORTAGE_FRACTION_MIN * (
            self.limits.platform_connections_max or self.limits.connections_max
        ):
            return 0
        established = len(self._records) - len(self._new_connections)
        shortage = established + self._reserved_for_new(now) - self.limits.connections_max
        if self.limits.platform_connections_max:
            occupied = established - len(self._by_state[State.LINGERING]) - len(self._by_state[State.LEAVING])
            shortage = max(
                shortage,
                occupied
                + self.arrivals.required_free(now)
                - PLATFORM_USABLE_FRACTION * self.limits.platform_connections_max,
            )
        return ceil(shortage) if shortage > 0 else 0

    def _lowest_worth(self, below: float) -> Connection | None:
        for worth, kind, bucket in self._worth_order:
            if worth >= below:
                return None
            connection = self._first_without_unread(self._idle[kind][bucket])
            if connection is not None:
                return connection
        return None

    def _first_since(self, state: State, latest: float) -> Connection | None:
        """The connection longest in a state, entered at `latest` or before, that may be closed."""
        table = self._by_state[state]
        candidates = takewhile(lambda connection: table[connection] <= latest, table)
        if state in AFTER_LAST_RESPONSE:
            return next(candidates, None)
        return self._first_without_unread(candidates)

    def _first_without_unread(self, connections: Iterable[Connection]) -> Connection | None:
        """The first of a few connections that has no unread data."""
        return next(
            (
                connection
                for connection in islice(connections, UNREAD_CHECKS_MAX)
                if not self._has_unread(connection)
            ),
            None,
        )

    def _advance_ages(self, now: float, moves: int = MOVES_PER_EVENT_MAX) -> None:
        """Moves idle connections to the buckets of their ages, and updates the worth when due. While there is
        room only the sweep calls this: per request it would cost more than everything else here."""
        for kind, returns in zip(self._idle, self.returns, strict=True):
            for bucket in range(BUCKET_COUNT - 2, -1, -1):
                table = kind[bucket]
                while table and moves:
                    connection = next(iter(table))
                    if table[connection] > now - BUCKET_ENDS_S[bucket]:
                        break
                    kind[bucket + 1][connection] = table.pop(connection)
                    self._records[connection].bucket = bucket + 1
                    returns.record_full_bucket(bucket)
                    moves -= 1
        if now - self._worth_updated_at >= WORTH_UPDATE_INTERVAL_S:
            self._update_worth(now)

    def _update_worth(self, now: float) -> None:
        self._worth_order = []
        for kind, returns in enumerate(self.returns):
            returns.decay(now - self._worth_updated_at)
            worth = returns.worth(self.arrivals.service_time)
            self._fresh_worth[kind] = worth[0]
            self._worth_order += [(value, kind, bucket) for bucket, value in enumerate(worth)]
        self._worth_order.sort()
        self._worth_updated_at = now
