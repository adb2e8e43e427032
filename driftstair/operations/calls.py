"""What a call of operators means, by its method and path."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote_to_bytes

PREFIX = b"/control/"
ID_MOST = 256  # bytes of a server's id


class Order(Enum):
    """What is asked; the value is the part of the path behind the prefix, with no server named."""

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


READS = frozenset((Order.READY, Order.COUNTERS, Order.TIER, Order.CONFIGURATION))
OF_A_SERVER = frozenset((Order.SERVER_OUT, Order.SERVER_IN))
OF_THE_TIER = frozenset((Order.PERMIT, Order.HAND_OVER, Order.RELEASE))
_PLAIN = {order.value: order for order in Order if order not in OF_A_SERVER | OF_THE_TIER}
_OF_A_SERVER = {order.value: order for order in OF_A_SERVER}


@dataclass(frozen=True, slots=True)
class Call:
    order: Order
    server: str = ""  # its id, where the order is about one
    arguments: tuple[str, ...] = ()  # of an order on the tier: for what; or the task, and a node or a token


class Refused(Exception):
    """No call that there is; `status` is that of the answer."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def _text(quoted: bytes) -> str:
    """Raises Refused: no id of the list, and no task, is no text."""
    raw = unquote_to_bytes(quoted)
    if not raw or len(raw) > ID_MOST:
        raise Refused(404)
    try:
        return raw.decode()
    except UnicodeDecodeError:
        raise Refused(404) from None


def parse(method: bytes, target: bytes) -> Call:
    """Raises Refused: 404 for a path that is none, 405 for another method than the path's."""
    path = target.split(b"?", 1)[0]
    if not path.startswith(PREFIX):
        raise Refused(404)
    words = path[len(PREFIX) :].split(b"/")
    if len(words) == 1 and words[0] in _PLAIN:
        call = Call(_PLAIN[words[0]])
    elif len(words) == 3 and words[0] == b"servers" and words[2] in _OF_A_SERVER:
        call = Call(_OF_A_SERVER[words[2]], _text(words[1]))
    elif len(words) == 3 and words[:2] == [b"tier", b"permit"]:
        call = Call(Order.PERMIT, arguments=(_text(words[2]),))
    elif len(words) == 5 and words[:2] == [b"tier", b"owners"] and words[3] in (b"hand-over", b"release"):
        call = Call(Order(words[3]), arguments=(_text(words[2]), _text(words[4])))
    else:
        raise Refused(404)
    if method != (b"GET" if call.order in READS else b"POST"):
        raise Refused(405)
    return call
