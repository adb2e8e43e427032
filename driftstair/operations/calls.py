"""The operators' API: parses a call from its method and path."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote_to_bytes

PATH_PREFIX = b"/control/"
ID_BYTES_MAX = 256  # of a server's id, or a task's


class Order(Enum):
    """The operation; the value is its path segment."""

    READY = b"ready"
    COUNTERS = b"counters"
    TIER = b"tier"
    CONFIGURATION = b"configuration"
    NODE_OUT = b"out-of-service"
    NODE_IN = b"in-service"
    SERVER_OUT = b"offline"
    SERVER_IN = b"online"
    PERMIT = b"permit"
    HAND_OVER = b"hand-over"
    RELEASE = b"release"


READ_ORDERS = frozenset((Order.READY, Order.COUNTERS, Order.TIER, Order.CONFIGURATION))
SERVER_ORDERS = frozenset((Order.SERVER_OUT, Order.SERVER_IN))
TIER_ORDERS = frozenset((Order.PERMIT, Order.HAND_OVER, Order.RELEASE))
_NODE_ORDERS_BY_PATH = {order.value: order for order in Order if order not in SERVER_ORDERS | TIER_ORDERS}
_SERVER_ORDERS_BY_PATH = {order.value: order for order in SERVER_ORDERS}


@dataclass(frozen=True, slots=True)
class Call:
    """A parsed call of the operators' API."""

    order: Order
    server: str = ""  # its id, if the order is about a server
    arguments: tuple[str, ...] = ()  # of an order on the tier: the purpose, or the task and a node or token


class CallError(Exception):
    """The call does not exist; `status` is the HTTP status of the response."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def _decode_segment(quoted: bytes) -> str:
    """Decodes a path segment. Raises CallError if it is empty, too long or not UTF-8, as no id or task is."""
    raw = unquote_to_bytes(quoted)
    if not raw or len(raw) > ID_BYTES_MAX:
        raise CallError(404)
    try:
        return raw.decode()
    except UnicodeDecodeError:
        raise CallError(404) from None


def parse(method: bytes, target: bytes) -> Call:
    """Raises CallError: 404 for an unknown path, 405 for the wrong method."""
    path = target.split(b"?", 1)[0]
    if not path.startswith(PATH_PREFIX):
        raise CallError(404)
    segments = path[len(PATH_PREFIX) :].split(b"/")
    if len(segments) == 1 and segments[0] in _NODE_ORDERS_BY_PATH:
        call = Call(_NODE_ORDERS_BY_PATH[segments[0]])
    elif len(segments) == 3 and segments[0] == b"servers" and segments[2] in _SERVER_ORDERS_BY_PATH:
        call = Call(_SERVER_ORDERS_BY_PATH[segments[2]], _decode_segment(segments[1]))
    elif len(segments) == 3 and segments[:2] == [b"tier", b"permit"]:
        call = Call(Order.PERMIT, arguments=(_decode_segment(segments[2]),))
    elif (
        len(segments) == 5
        and segments[:2] == [b"tier", b"owners"]
        and segments[3] in (b"hand-over", b"release")
    ):
        call = Call(
            Order(segments[3]), arguments=(_decode_segment(segments[2]), _decode_segment(segments[4]))
        )
    else:
        raise CallError(404)
    if method != (b"GET" if call.order in READ_ORDERS else b"POST"):
        raise CallError(405)
    return call
