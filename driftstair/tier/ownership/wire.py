"""Messages of leases and permits as items in a datagram: what both ends know by the datagram is left out."""

from __future__ import annotations

from driftstair.tier.ownership import permits
from driftstair.tier.ownership.messages import (
    MAX_TOKEN,
    Accepted,
    Message,
    Prepare,
    Promise,
    Propose,
    Refused,
    Release,
)
from driftstair.tier.shared.wire import MAX_NODE, MAX_NS, InvalidItem, Item, checked_int
from driftstair.tier.wire import MAX_COUNT

KINDS: dict[int, type[Message]] = {
    20: Prepare, 21: Promise, 22: Propose, 23: Accepted, 24: Refused, 25: Release,
}  # fmt: skip
_NUMBERS = {kind: number for number, kind in KINDS.items()}

# Of permits: each kind's fields, with the least and the most that they can be.
_TOKEN, _COUNT, _AT = (1, MAX_TOKEN), (0, MAX_COUNT), (-MAX_NS, MAX_NS)
_SEQ, _KIND = (1, MAX_COUNT), (min(permits.Kind), max(permits.Kind))
PERMITS: dict[int, tuple[type[permits.Message], tuple[tuple[int, int], ...]]] = {
    30: (permits.Poll, (_TOKEN,)),
    31: (permits.PollReply, (_TOKEN, _COUNT, (0, max(permits.Kind)), (0, MAX_NS))),
    32: (permits.Ask, (_SEQ, _KIND, _AT)),
    33: (permits.Permit, (_TOKEN, _COUNT, _SEQ, _AT, (0, MAX_NS))),
    34: (
        permits.Wait,
        (_TOKEN, _COUNT, _SEQ, (min(permits.WaitReason), max(permits.WaitReason)), (0, MAX_NODE)),
    ),
    35: (permits.ReturnPermit, (_SEQ,)),
    36: (permits.ReturnConfirmed, (_COUNT, _SEQ)),
}
_OF_PERMITS = {kind: number for number, (kind, _) in PERMITS.items()}


def encode_permit(message: permits.Message) -> Item:
    return _OF_PERMITS[type(message)], *message


def decode_permit(found: Item) -> permits.Message:
    """Raises InvalidItem. What a later version adds behind the fields is passed over."""
    kind, ranges = PERMITS[found[0]]
    if len(found) <= len(ranges):
        raise InvalidItem("too_few_fields")
    return kind(
        *(checked_int(value, most, least) for value, (least, most) in zip(found[1:], ranges, strict=False))
    )


def encode(message: Message) -> Item:
    """Node numbers go as one more: -1 says nobody."""
    number = _NUMBERS[type(message)]
    match message:
        case Refused(task, token, known, owner, left):
            return number, task, token, known, owner + 1, left
        case Release(task, token, heir):
            return number, task, token, heir + 1
    return number, *message


def decode(found: Item) -> Message:
    """Raises InvalidItem."""
    kind, fields = KINDS[found[0]], found[1:]
    least = {Prepare: 2, Promise: 2, Propose: 3, Accepted: 3, Refused: 5, Release: 3}[kind]
    if len(fields) < least:
        raise InvalidItem("too_few_fields")
    task, token = checked_int(fields[0], MAX_COUNT), checked_int(fields[1], MAX_TOKEN)
    if kind is Prepare:
        return Prepare(task, token)
    if kind is Promise:
        return Promise(task, token)
    if kind is Propose:
        return Propose(task, token, checked_int(fields[2], MAX_COUNT))
    if kind is Accepted:
        return Accepted(task, token, checked_int(fields[2], MAX_COUNT))
    if kind is Refused:
        known, owner, left = fields[2:5]
        return Refused(
            task,
            token,
            checked_int(known, MAX_TOKEN),
            checked_int(owner, MAX_NODE + 1) - 1,
            checked_int(left, MAX_NS),
        )
    return Release(task, token, checked_int(fields[2], MAX_NODE + 1) - 1)
