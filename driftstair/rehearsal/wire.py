"""Observations of the messages between clients, nodes, boxes and the box list, as seen by the fakes.

They are the only input of the rule checker (`rules`). Times are whole nanoseconds since the start of the run;
`node` and `box` are names; `request` is the id that the client set (`X-Request-Id`); `attempt` is the number
that the fake box gives to each request whose first byte it receives. Fakes of another protocol would record
the same observations.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class HostState(Enum):
    """The state of a box in the box list; the values are those of the list's protocol."""

    READY = "Ready"
    DRAINING = "Terminating"
    GONE = "Gone"


class RequestSent(NamedTuple):
    """A client wrote the last byte of a request to an established connection to the node."""

    at: int
    request: bytes
    node: str
    kind: str  # class of the request
    patience: int  # ns that the client waits from `at`
    connected_at: int  # when this connection was established
    resent: bool = False  # sent again, as the node had closed the connection between requests


class ResponseReceived(NamedTuple):
    """A client received the last byte of a final answer."""

    at: int
    request: bytes
    status: int
    token: bytes  # identifies the box's answer in the body; empty without one


class ConnectionEnded(NamedTuple):
    """The connection ended before the whole answer to its request arrived."""

    at: int
    request: bytes
    reason: str


class RequestAbandoned(NamedTuple):
    """The client closed its connection before the answer arrived, and no longer waits."""

    at: int
    request: bytes


class UnexpectedMessage(NamedTuple):
    """A node sent a message that was not requested or can't be parsed; the description names the receiver."""

    at: int
    node: str
    description: str


class AttemptStarted(NamedTuple):
    """A box received the first byte of a request."""

    at: int
    attempt: int
    request: bytes
    box: str
    node: str
    # The earliest time at which the node can have sent it: before `at` if a machine was cut off meanwhile.
    sent_at: int


class AttemptReceived(NamedTuple):
    """A box received the last byte of a request, and starts or rejects it. `work`: core-seconds that it
    takes."""

    at: int
    attempt: int
    request: bytes
    box: str
    node: str
    work: float


class AttemptNotRun(NamedTuple):
    """The box answered that it did not run the request and will not."""

    at: int
    attempt: int


class AttemptServed(NamedTuple):
    """The box answered 200; the body of the answer contains `token`."""

    at: int
    attempt: int
    request: bytes
    token: bytes


class ListChanged(NamedTuple):
    """The box list learned of a change, whether or not it can send it to any node."""

    at: int
    box: str
    state: HostState
    started_at: int  # ns since the start of the run; negative: before it


class ListEntrySent(NamedTuple):
    """The box list sent an entry to a node."""

    at: int
    node: str
    box: str
    state: HostState
    started_at: int


class ListContact(NamedTuple):
    """A node called the box list or its watch ended; with `watching`, its watch was opened."""

    at: int
    node: str
    watching: bool


class NodeUp(NamedTuple):
    """The node's process was started, or its machine is reachable again (`new_process` is False)."""

    at: int
    node: str
    new_process: bool = True


class NodeDown(NamedTuple):
    """The node's process ended or its machine was cut off. Clients have to retry the requests it had, except
    when `planned`: the node ended by itself after a timely notice."""

    at: int
    node: str
    planned: bool = False


class BoxUp(NamedTuple):
    """A box's process started. `capacity`: core-seconds of work per second when warm. The box starts with
    `cold_share` of it and rises linearly to all of it over `cold_time_ns`."""

    at: int
    box: str
    capacity: float
    cold_share: float
    cold_time_ns: int


class BoxDown(NamedTuple):
    """A box's process ended."""

    at: int
    box: str
    reason: str


Observation = (
    RequestSent | ResponseReceived | ConnectionEnded | RequestAbandoned | UnexpectedMessage | AttemptStarted
    | AttemptReceived | AttemptNotRun | AttemptServed | ListChanged | ListEntrySent | ListContact
    | NodeUp | NodeDown | BoxUp | BoxDown
)  # fmt: skip
