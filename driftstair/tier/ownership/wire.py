"""Encodes the messages of leases and permits as items of a datagram. What both ends know from the datagram
itself is left out."""

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

LEASE_MESSAGES: dict[int, type[Message]] = {
    20: Prepare, 21: Promise, 22: Propose, 23: Accepted, 24: Refused, 25: Release,
}  # fmt: skip
_LEASE_MESSAGE_NUMBERS = {message_type: number for number, message_type in LEASE_MESSAGES.items()}

# For each message of permits: its type, and the lowest and the highest value of each field.
_TOKEN_RANGE, _COUNT_RANGE, _CLOCK_RANGE = (1, MAX_TOKEN), (0, MAX_COUNT), (-MAX_NS, MAX_NS)
_SEQ_RANGE, _KIND_RANGE = (1, MAX_COUNT), (min(permits.Kind), max(permits.Kind))
PERMIT_MESSAGES: dict[int, tuple[type[permits.Message], tuple[tuple[int, int], ...]]] = {
    30: (permits.Poll, (_TOKEN_RANGE,)),
    31: (permits.PollReply, (_TOKEN_RANGE, _COUNT_RANGE, (0, max(permits.Kind)), (0, MAX_NS))),
    32: (permits.RequestPermit, (_SEQ_RANGE, _KIND_RANGE, _CLOCK_RANGE)),
    33: (permits.Permit, (_TOKEN_RANGE, _COUNT_RANGE, _SEQ_RANGE, _CLOCK_RANGE, (0, MAX_NS))),
    34: (
        permits.Wait,
        (
            _TOKEN_RANGE,
            _COUNT_RANGE,
            _SEQ_RANGE,
            (min(permits.WaitReason), max(permits.WaitReason)),
            (0, MAX_NODE),
        ),
    ),
    35: (permits.ReturnPermit, (_SEQ_RANGE,)),
    36: (permits.ReturnConfirmed, (_COUNT_RANGE, _SEQ_RANGE)),
}
_PERMIT_MESSAGE_NUMBERS = {message_type: number for number, (message_type, _) in PERMIT_MESSAGES.items()}


def encode_permit(message: permits.Message) -> Item:
    """The item of a message of permits."""
    return _PERMIT_MESSAGE_NUMBERS[type(message)], *message


def decode_permit(item: Item) -> permits.Message:
    """The message of an item of permits. Raises InvalidItem. Ignores fields that a later version appends."""
    message_type, ranges = PERMIT_MESSAGES[item[0]]
    if len(item) <= len(ranges):
        raise InvalidItem("too_few_fields")
    return message_type(
        *(
            checked_int(value, highest, lowest)
            for value, (lowest, highest) in zip(item[1:], ranges, strict=False)
        )
    )


def encode(message: Message) -> Item:
    """The item of a message of leases. Node numbers are encoded as one more, since -1 means no node."""
    number = _LEASE_MESSAGE_NUMBERS[type(message)]
    match message:
        case Refused(task, token, highest_token, owner, remaining_ns):
            return number, task, token, highest_token, owner + 1, remaining_ns
        case Release(task, token, successor):
            return number, task, token, successor + 1
    return number, *message


def decode(item: Item) -> Message:
    """The message of an item of leases. Raises InvalidItem."""
    message_type, fields = LEASE_MESSAGES[item[0]], item[1:]
    field_count = {Prepare: 2, Promise: 2, Propose: 3, Accepted: 3, Refused: 5, Release: 3}[message_type]
    if len(fields) < field_count:
        raise InvalidItem("too_few_fields")
    task, token = checked_int(fields[0], MAX_COUNT), checked_int(fields[1], MAX_TOKEN)
    if message_type is Prepare:
        return Prepare(task, token)
    if message_type is Promise:
        return Promise(task, token)
    if message_type is Propose:
        return Propose(task, token, checked_int(fields[2], MAX_COUNT))
    if message_type is Accepted:
        return Accepted(task, token, checked_int(fields[2], MAX_COUNT))
    if message_type is Refused:
        highest_token, owner, remaining_ns = fields[2:5]
        return Refused(
            task,
            token,
            checked_int(highest_token, MAX_TOKEN),
            checked_int(owner, MAX_NODE + 1) - 1,
            checked_int(remaining_ns, MAX_NS),
        )
    return Release(task, token, checked_int(fields[2], MAX_NODE + 1) - 1)
