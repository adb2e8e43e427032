"""What crossed the wire, as clients, boxes and the box list saw it: the only evidence that `rules` goes by.

Times are whole nanoseconds since the start of the run; `node` and `box` are names; `request` is the id that
the client gave (`X-Request-Id`); an `attempt` is a number that the fake box gives each request whose
first byte it sees. A carrier of another protocol notes the same things of its own messages.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class HostState(Enum):
    READY = "Ready"
    DRAINING = "Terminating"
    GONE = "Gone"


class Asked(NamedTuple):
    """The last byte of a request is written to a connection that the node's machine accepted."""

    at: int
    request: bytes
    node: str
    kind: str  # the request's class
    patience: int  # ns that the client waits from now on
    connected: int  # when this connection came up
    again: bool = False  # the same request once more: the node had closed the connection between requests


class Answered(NamedTuple):
    """The last byte of a final answer has come to the client."""

    at: int
    request: bytes
    status: int
    token: bytes  # what names the box's answer that this is; empty if it is none


class Cut(NamedTuple):
    """The connection ended, and brought no whole answer to its request."""

    at: int
    request: bytes
    how: str


class LeftOff(NamedTuple):
    """The client closed its connection before it had an answer: nobody waits any more."""

    at: int
    request: bytes


class Unasked(NamedTuple):
    """Somebody got from a node what was not asked for, or what can't be read; `what` says who and which."""

    at: int
    node: str
    what: str


class Sending(NamedTuple):
    """The first byte of a request has come to a box."""

    at: int
    attempt: int
    request: bytes
    box: str
    node: str
    left: (
        int  # the earliest that it can have left the node: before `at`, where a machine was cut off meanwhile
    )


class Sent(NamedTuple):
    """The last byte has come: the box begins it, or turns it away. `work`: the core-seconds it would take."""

    at: int
    attempt: int
    request: bytes
    box: str
    node: str
    work: float


class NotRun(NamedTuple):
    """The box has answered that it did not and will not run the request."""

    at: int
    attempt: int


class Ran(NamedTuple):
    """The box has answered 200; the answer's body carries `token`."""

    at: int
    attempt: int
    request: bytes
    token: bytes


class Listed(NamedTuple):
    """The box list knows of a change, whether or not it can tell anybody."""

    at: int
    box: str
    state: HostState
    started: int  # ns since the start of the run; below 0: before it


class Told(NamedTuple):
    """The box list has written an entry to a node."""

    at: int
    node: str
    box: str
    state: HostState
    started: int


class Contact(NamedTuple):
    """A node asks the box list, or its watch stands (`standing`) or has ended."""

    at: int
    node: str
    standing: bool


class NodeUp(NamedTuple):
    """The node's process serves, or its machine is reachable again (`anew` is False)."""

    at: int
    node: str
    anew: bool = True


class NodeDown(NamedTuple):
    """The node's process was killed, or its machine cut off: what it held is the clients' to ask again.
    `planned` is an end that the node itself made, of which it had been told in time."""

    at: int
    node: str
    planned: bool = False


class BoxUp(NamedTuple):
    """A box's process has started. `capacity`: core-seconds of work a second once it is warm; `cold_share` of
    it at the start, rising evenly for `cold_time` ns."""

    at: int
    box: str
    capacity: float
    cold_share: float
    cold_time: int


class BoxDown(NamedTuple):
    at: int
    box: str
    why: str


Observation = (
    Asked | Answered | Cut | LeftOff | Unasked | Sending | Sent | NotRun | Ran | Listed | Told | Contact
    | NodeUp | NodeDown | BoxUp | BoxDown
)  # fmt: skip
