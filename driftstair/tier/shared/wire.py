"""What nodes tell each other of shared state: items in a datagram, MessagePack arrays by `msgspec`.

An item that is of no known kind, or out of range, is counted and passed over; the others of its datagram
count. Room is what `driftstair.tier.wire` leaves.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from driftstair.tier.shared.escrow import Ask, GiveBack, Grant
from driftstair.tier.wire import MAX_COUNT, MAX_ITEMS_BYTES

MAX_NS = (1 << 63) - 1
MAX_SHARES = 1 << 24
MAX_EASE = 255
MAX_NODE = 0xFFFE
ASK, GRANT, BACK = 1, 2, 3
FACT, DIGEST, DIGEST_BACK = 10, 11, 12

Item = tuple[Any, ...]
"""A kind, then its fields."""


class InvalidItem(Exception):
    """An item that is passed over; the text is the count that it goes to."""


_encode = msgspec.msgpack.Encoder().encode
_split = msgspec.msgpack.Decoder[list[msgspec.Raw]](list[msgspec.Raw]).decode
_fields = msgspec.msgpack.Decoder[list[Any]](list[Any]).decode


def pack_items(items: Iterable[Item]) -> list[bytes]:
    """As few datagrams' bytes as the order allows. Raises ValueError for an item that none can hold."""
    out: list[bytes] = []
    held: list[msgspec.Raw] = []
    size = 0
    for item in items:
        data = _encode(item)
        if len(data) + 1 > MAX_ITEMS_BYTES:
            raise ValueError(f"{len(data)} bytes for one item")
        if held and (size + len(data) + 1 > MAX_ITEMS_BYTES or len(held) >= 15):
            out.append(_encode(held))
            held, size = [], 0
        held.append(msgspec.Raw(data))
        size += len(data)
    if held:
        out.append(_encode(held))
    return out


def unpack_items(data: bytes) -> tuple[list[Item], int]:
    """Items, and how many could not be read."""
    try:
        parts = _split(data)
    except (msgspec.DecodeError, RecursionError):
        return [], 1
    out, broken = [], 0
    for part in parts:
        try:
            fields = _fields(part)
        except (msgspec.DecodeError, RecursionError):
            broken += 1
            continue
        if fields and type(fields[0]) is int:
            out.append(tuple(fields))
        else:
            broken += 1
    return out, broken


def checked_int(value: Any, most: int, least: int = 0) -> int:
    """Raises InvalidItem."""
    if type(value) is not int or not least <= value <= most:
        raise InvalidItem("out_of_range")
    return value


def encode_escrow_message(message: Ask | Grant | GiveBack, budget: int) -> Item:
    """What both ends know by the datagram they leave out: who sends it, and who is to have it."""
    if isinstance(message, Ask):
        return ASK, budget, message.at, message.shares, message.renews, message.ease
    if isinstance(message, Grant):
        return GRANT, budget, message.loan, message.asked_at, message.generation, message.shares
    return BACK, budget, message.loan, message.lender_generation


def decode_escrow_message(
    item: Item, sender: int, generation: int, own: int
) -> tuple[int, Ask | Grant | GiveBack]:
    """The budget's key, and what is said of it; `generation`: the sender's. Raises InvalidItem."""
    kind, *fields = item
    if len(fields) < {ASK: 5, GRANT: 5, BACK: 3}[kind]:
        raise InvalidItem("too_few_fields")
    budget = checked_int(fields[0], MAX_COUNT)
    if kind == ASK:
        at, shares, renews, ease = fields[1:5]
        return budget, Ask(
            sender, generation, checked_int(at, MAX_NS, -MAX_NS), checked_int(shares, MAX_SHARES, 1),
            checked_int(renews, MAX_COUNT), checked_int(ease, MAX_EASE),
        )  # fmt: skip
    if kind == GRANT:
        loan, at, its_generation, shares = fields[1:5]
        return budget, Grant(
            sender, generation, checked_int(loan, MAX_COUNT), own, checked_int(its_generation, MAX_COUNT),
            checked_int(at, MAX_NS, -MAX_NS), checked_int(shares, MAX_SHARES),
        )  # fmt: skip
    loan, lender_generation = fields[1:3]
    return budget, GiveBack(
        own, checked_int(lender_generation, MAX_COUNT), checked_int(loan, MAX_COUNT), sender
    )
