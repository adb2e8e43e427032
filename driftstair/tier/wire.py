"""The form of a datagram between nodes: at most 256 bytes, version, seal, and MessagePack arrays in between.

    version (1 byte) | seal (8 bytes, blake2b keyed, over version and body) | body

The body is the array `_Body`; fields that a later version adds at its end are passed over. A kind that is not
known, another version byte, a seal that is not right, a body that is none, or a claim out of range is counted
and thrown away whole.
"""

from __future__ import annotations

from hashlib import blake2b
from hmac import compare_digest

import msgspec

from driftstair.tier.membership.events import Kind, Message
from driftstair.tier.membership.members import Claim, State, Traits

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # bytes, by the protocol page
MAC_BYTES = 8  # bytes
MAX_NUMBER = 0xFFFF
MAX_COUNT = (1 << 32) - 1
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # bytes: fewer can be guessed, blake2b takes no more

MEMBERSHIP, SHARED = 1, 2  # of `supports`


class _Claim(msgspec.Struct, array_like=True, frozen=True, gc=False):
    number: int
    life: int
    incarnation: int
    state: int
    by: int
    zone: int
    version: int
    supports: int


class _Body(msgspec.Struct, array_like=True, frozen=True, gc=False):
    kind: int
    mine: _Claim
    to: int
    order: int
    seq: int
    about: int
    news: list[_Claim]


class _Whole(_Body, array_like=True, frozen=True, gc=False):
    """With what later parts add; a message without it is shorter."""

    items: bytes = b""


def _head() -> int:
    """Bytes of a datagram with no claims but the sender's own, at the most."""
    mine = _Claim(MAX_NUMBER, MAX_COUNT, MAX_NUMBER, State.LEFT, MAX_NUMBER, 255, 255, MAX_NUMBER)
    body = _Body(Kind.NEWS, mine, MAX_NUMBER, MAX_COUNT, MAX_COUNT, MAX_NUMBER, [])
    return 1 + MAC_BYTES + len(msgspec.msgpack.encode(body))


MAX_CLAIMS_BYTES = MAX_DATAGRAM_BYTES - _head() - 2
"""Bytes for claims in a datagram; an array of more than 15 has a longer head."""
MAX_ITEMS_BYTES = MAX_CLAIMS_BYTES - 2
"""Bytes of `items`, in a datagram without claims."""


def _wide(value: int) -> int:
    """Bytes of a whole number in MessagePack."""
    return 1 if value < 128 else 2 if value < 256 else 3 if value < 1 << 16 else 5


def size(claim: Claim) -> int:
    """Bytes of a claim in a datagram."""
    zone, version, supports = claim.traits
    return (
        2 + _wide(claim.number) + _wide(claim.life) + _wide(claim.incarnation) + _wide(claim.by)
        + _wide(zone) + _wide(version) + _wide(supports)
    )  # fmt: skip


class InvalidDatagram(Exception):
    """A datagram that is thrown away; the text is the count that it goes to."""


class Codec:
    """Of one key, in bytes from MIN_KEY_BYTES to MAX_KEY_BYTES of them."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder[_Whole](_Whole).decode

    def _seal(self, version: bytes, body: bytes) -> bytes:
        return blake2b(version + body, digest_size=MAC_BYTES, key=self._key).digest()

    def encode(self, message: Message) -> bytes:
        fields = (
            message.kind, _bare(message.mine), message.to, message.order, message.seq, message.about,
            [_bare(claim) for claim in message.news],
        )  # fmt: skip
        body = self._encode(_Whole(*fields, items=message.items) if message.items else _Body(*fields))
        version = bytes((VERSION,))
        data = version + self._seal(version, body) + body
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"{len(data)} bytes for one datagram")
        return data

    def decode(self, data: bytes) -> Message:
        """Raises InvalidDatagram."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise InvalidDatagram("too_long")
        if len(data) <= 1 + MAC_BYTES:
            raise InvalidDatagram("too_short")
        if data[0] != VERSION:
            raise InvalidDatagram("other_version")
        version, seal, body = data[:1], data[1 : 1 + MAC_BYTES], data[1 + MAC_BYTES :]
        if not compare_digest(seal, self._seal(version, body)):
            raise InvalidDatagram("wrong_seal")
        try:
            found = self._decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise InvalidDatagram("no_message") from None
        try:
            kind = Kind(found.kind)
        except ValueError:
            raise InvalidDatagram("other_kind") from None
        numbers = (found.to, found.about)
        if not all(0 <= one <= MAX_NUMBER for one in numbers) or not (
            0 <= found.order <= MAX_COUNT and 0 <= found.seq <= MAX_COUNT
        ):
            raise InvalidDatagram("out_of_range")
        return Message(
            kind, _claim(found.mine), found.to, found.order, found.seq, found.about,
            tuple(_claim(one) for one in found.news), found.items,
        )  # fmt: skip


def _bare(claim: Claim) -> _Claim:
    return _Claim(*claim[:5], *claim.traits)


def _claim(bare: _Claim) -> Claim:
    if not 0 <= bare.state <= State.LEFT:
        raise InvalidDatagram("out_of_range")
    traits = Traits(bare.zone, bare.version, bare.supports)
    claim = Claim(bare.number, bare.life, bare.incarnation, State(bare.state), bare.by, traits)
    if not fits(claim):
        raise InvalidDatagram("out_of_range")
    return claim


def fits(claim: Claim) -> bool:
    """Whether all its numbers have room in a datagram."""
    zone, version, supports = claim.traits
    return (
        0 <= claim.number < MAX_NUMBER and 0 <= claim.life <= MAX_COUNT
        and 0 <= claim.incarnation <= MAX_NUMBER and 0 <= claim.by < MAX_NUMBER and 0 <= zone <= 255
        and 0 <= version <= 255 and 0 <= supports <= MAX_NUMBER
    )  # fmt: skip
