"""Encoding of shared state in datagrams: a list of items, which are MessagePack arrays by `msgspec`.

An item of an unknown kind or with a field out of range is counted and ignored; the other items of its
datagram are still used. The space for items is what `driftstair.tier.wire` leaves in a datagram.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from driftstair.tier.shared.escrow import Ask, GiveBack, Grant
from driftstair.tier.wire import MAX_COUNT, MAX_ITEMS_BYTES

MAX_NS = (1 << 63) - 1
MAX_SHARES = 1 << 24
MAX_COVERAGE_PERCENT = 255
MAX_NODE = 0xFFFE
ASK, GRANT, GIVE_BACK = 1, 2, 3
FACT, DIGEST, DIGEST_REPLY = 10, 11, 12

Item = tuple[Any, ...]
"""The number of the item's kind, followed by its fields."""


class InvalidItem(Exception):
    """An item that is ignored. The text is the name of the counter for the reason."""


_encode_msgpack = msgspec.msgpack.Encoder().encode
_split_items = msgspec.msgpack.Decoder[list[msgspec.Raw]](list[msgspec.Raw]).decode
_decode_fields = msgspec.msgpack.Decoder[list[Any]](list[Any]).decode


def pack_items(items: Iterable[Item]) -> list[bytes]:
    """Packs items in order into as few datagrams as possible. Raises ValueError for an item that does not fit
    into one."""
    datagrams: list[bytes] = []
    pending: list[msgspec.Raw] = []
    size = 0
    for item in items:
        data = _encode_msgpack(item)
        if len(data) + 1 > MAX_ITEMS_BYTES:
            raise ValueError(f"{len(data)} bytes of one item do not fit into a datagram")
        if pending and (size + len(data) + 1 > MAX_ITEMS_BYTES or len(pending) >= 15):
            datagrams.append(_encode_msgpack(pending))
            pending, size = [], 0
        pending.append(msgspec.Raw(data))
        size += len(data)
    if pending:
        datagrams.append(_encode_msgpack(pending))
    return datagrams


def unpack_items(data: bytes) -> tuple[list[Item], int]:
    """Returns the items of a datagram, and how many could not be read."""
    try:
        parts = _split_items(data)
    except (msgspec.DecodeError, RecursionError):
        return [], 1
    items, unreadable_count = [], 0
    for part in parts:
        try:
            fields = _decode_fields(part)
        except (msgspec.DecodeError, RecursionError):
            unreadable_count += 1
            continue
        if fields and type(fields[0]) is int:
            items.append(tuple(fields))
        else:
            unreadable_count += 1
    return items, unreadable_count


def checked_int(value: Any, maximum: int, minimum: int = 0) -> int:
    """Returns `value` if it is an integer in the range. Raises InvalidItem otherwise."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise InvalidItem("out_of_range")
    return value


def encode_escrow_message(message: Ask | Grant | GiveBack, budget: int) -> Item:
    """Returns the item for a message. The sender and the recipient are left out, since the datagram states
    them."""
    if isinstance(message, Ask):
        return ASK, budget, message.sent_at, message.shares, message.renewed_loan, message.coverage_percent
    if isinstance(message, Grant):
        return GRANT, budget, message.loan, message.asked_at, message.borrower_generation, message.shares
    return GIVE_BACK, budget, message.loan, message.lender_generation


def decode_escrow_message(
    item: Item, sender: int, generation: int, own_number: int
) -> tuple[int, Ask | Grant | GiveBack]:
    """Returns the key of the budget and the message. `sender` and its `generation` come from the datagram.
    Raises InvalidItem."""
    kind, *fields = item
    if len(fields) < {ASK: 5, GRANT: 5, GIVE_BACK: 3}[kind]:
        raise InvalidItem("too_few_fields")
    budget = checked_int(fields[0], MAX_COUNT)
    if kind == ASK:
        asked_at, shares, renewed_loan, coverage_percent = fields[1:5]
        return budget, Ask(
            sender, generation, checked_int(asked_at, MAX_NS, -MAX_NS), checked_int(shares, MAX_SHARES, 1),
            checked_int(renewed_loan, MAX_COUNT), checked_int(coverage_percent, MAX_COVERAGE_PERCENT),
        )  # fmt: skip
    if kind == GRANT:
        loan, asked_at, borrower_generation, shares = fields[1:5]
        return budget, Grant(
            sender, generation, checked_int(loan, MAX_COUNT), own_number,
            checked_int(borrower_generation, MAX_COUNT), checked_int(asked_at, MAX_NS, -MAX_NS),
            checked_int(shares, MAX_SHARES),
        )  # fmt: skip
    loan, lender_generation = fields[1:3]
    return budget, GiveBack(
        own_number, checked_int(lender_generation, MAX_COUNT), checked_int(loan, MAX_COUNT), sender
    )
