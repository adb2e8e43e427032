"""Messages of the council as items in a datagram: what both ends know by the datagram is left out."""

from __future__ import annotations

from driftstair.tier.ownership import permits
from driftstair.tier.ownership.messages import (
    TOKEN_MOST,
    Accepted,
    Message,
    Prepare,
    Promise,
    Propose,
    Refused,
    Release,
)
from driftstair.tier.shared.wire import NODE_MOST, NS_MOST, InvalidItem, Item, whole
from driftstair.tier.wire import COUNT_MOST

KINDS: dict[int, type[Message]] = {
    20: Prepare, 21: Promise, 22: Propose, 23: Accepted, 24: Refused, 25: Release,
}  # fmt: skip
_NUMBERS = {kind: number for number, kind in KINDS.items()}

# Of permits: each kind's fields, with the least and the most that they can be.
_TOKEN, _COUNT, _AT = (1, TOKEN_MOST), (0, COUNT_MOST), (-NS_MOST, NS_MOST)
_SEQ, _KIND = (1, COUNT_MOST), (min(permits.Kind), max(permits.Kind))
PERMITS: dict[int, tuple[type[permits.Message], tuple[tuple[int, int], ...]]] = {
    30: (permits.Poll, (_TOKEN,)),
    31: (permits.Held, (_TOKEN, _COUNT, (0, max(permits.Kind)), (0, NS_MOST))),
    32: (permits.Ask, (_SEQ, _KIND, _AT)),
    33: (permits.Permit, (_TOKEN, _COUNT, _SEQ, _AT, (0, NS_MOST))),
    34: (permits.Wait, (_TOKEN, _COUNT, _SEQ, (min(permits.Why), max(permits.Why)), (0, NODE_MOST))),
    35: (permits.Back, (_SEQ,)),
    36: (permits.Done, (_COUNT, _SEQ)),
}
_OF_PERMITS = {kind: number for number, (kind, _) in PERMITS.items()}


def permit_item(message: permits.Message) -> Item:
    return _OF_PERMITS[type(message)], *message


def read_permit(found: Item) -> permits.Message:
    """Raises InvalidItem. What a later version adds behind the fields is passed over."""
    kind, ranges = PERMITS[found[0]]
    if len(found) <= len(ranges):
        raise InvalidItem("too_few_fields")
    return kind(*(whole(value, most, least) for value, (least, most) in zip(found[1:], ranges, strict=False)))


def item(message: Message) -> Item:
    """Node numbers go as one more: -1 says nobody."""
    number = _NUMBERS[type(message)]
    match message:
        case Refused(task, token, known, owner, left):
            return number, task, token, known, owner + 1, left
        case Release(task, token, heir):
            return number, task, token, heir + 1
    return number, *message


def read(found: Item) -> Message:
    """Raises InvalidItem."""
    kind, fields = KINDS[found[0]], found[1:]
    least = {Prepare: 2, Promise: 2, Propose: 3, Accepted: 3, Refused: 5, Release: 3}[kind]
    if len(fields) < least:
        raise InvalidItem("too_few_fields")
    task, token = whole(fields[0], COUNT_MOST), whole(fields[1], TOKEN_MOST)
    if kind is Prepare:
        return Prepare(task, token)
    if kind is Promise:
        return Promise(task, token)
    if kind is Propose:
        return Propose(task, token, whole(fields[2], COUNT_MOST))
    if kind is Accepted:
        return Accepted(task, token, whole(fields[2], COUNT_MOST))
    if kind is Refused:
        known, owner, left = fields[2:5]
        return Refused(
            task, token, whole(known, TOKEN_MOST), whole(owner, NODE_MOST + 1) - 1, whole(left, NS_MOST)
        )
    return Release(task, token, whole(fields[2], NODE_MOST + 1) - 1)
