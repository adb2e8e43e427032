"""The format of datagrams between nodes: at most 256 bytes, the body as MessagePack arrays.

    version (1 byte) | MAC (8 bytes, keyed blake2b over version and body) | body

The body is the array `_Body`; fields that a later version appends are ignored. A datagram with an unknown
kind, another version byte, a wrong MAC, a malformed body or a claim out of range is counted and dropped as a
whole.
"""

from __future__ import annotations

from hashlib import blake2b
from hmac import compare_digest

import msgspec

from driftstair.tier.membership.events import Kind, Message
from driftstair.tier.membership.members import Claim, State, Traits

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # fixed by the protocol
MAC_BYTES = 8
MAX_NUMBER = 0xFFFF
MAX_COUNT = (1 << 32) - 1
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64  # shorter keys can be guessed; blake2b accepts no longer ones

SUPPORTS_MEMBERSHIP, SUPPORTS_SHARED = 1, 2  # bits of `Traits.supports`


class _Claim(msgspec.Struct, array_like=True, frozen=True, gc=False):
    number: int
    generation: int
    incarnation: int
    state: int
    reporter: int
    zone: int
    version: int
    supports: int


class _Body(msgspec.Struct, array_like=True, frozen=True, gc=False):
    kind: int
    sender_claim: _Claim
    recipient: int
    counter: int
    seq: int
    subject: int
    updates: list[_Claim]


class _BodyWithPayload(_Body, array_like=True, frozen=True, gc=False):
    """A message without a payload is encoded as the shorter `_Body`."""

    payload: bytes = b""


def _max_header_bytes() -> int:
    """The longest datagram that contains no claim but the sender's own."""
    sender_claim = _Claim(MAX_NUMBER, MAX_COUNT, MAX_NUMBER, State.LEFT, MAX_NUMBER, 255, 255, MAX_NUMBER)
    body = _Body(Kind.NEWS, sender_claim, MAX_NUMBER, MAX_COUNT, MAX_COUNT, MAX_NUMBER, [])
    return 1 + MAC_BYTES + len(msgspec.msgpack.encode(body))


MAX_CLAIMS_BYTES = MAX_DATAGRAM_BYTES - _max_header_bytes() - 2
"""Space for claims in a datagram, less 2 bytes as an array of more than 15 elements has a longer header."""
MAX_ITEMS_BYTES = MAX_CLAIMS_BYTES - 2
"""Space for `Message.payload`, in a datagram without claims."""


def _int_bytes(value: int) -> int:
    """Encoded length of an integer in MessagePack."""
    return 1 if value < 128 else 2 if value < 256 else 3 if value < 1 << 16 else 5


def claim_size(claim: Claim) -> int:
    """Encoded length in bytes."""
    zone, version, supports = claim.traits
    return (
        2 + _int_bytes(claim.number) + _int_bytes(claim.generation) + _int_bytes(claim.incarnation)
        + _int_bytes(claim.reporter) + _int_bytes(zone) + _int_bytes(version) + _int_bytes(supports)
    )  # fmt: skip


class InvalidDatagram(Exception):
    """The datagram is dropped; the text is the name of the counter for its reason."""


class Codec:
    """Encodes and decodes with one key of MIN_KEY_BYTES to MAX_KEY_BYTES bytes."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder[_BodyWithPayload](_BodyWithPayload).decode

    def _mac(self, version: bytes, body: bytes) -> bytes:
        return blake2b(version + body, digest_size=MAC_BYTES, key=self._key).digest()

    def encode(self, message: Message) -> bytes:
        fields = (
            message.kind, _to_wire(message.sender_claim), message.recipient, message.counter, message.seq,
            message.subject, [_to_wire(claim) for claim in message.updates],
        )  # fmt: skip
        body = self._encode(
            _BodyWithPayload(*fields, payload=message.payload) if message.payload else _Body(*fields)
        )
        version = bytes((VERSION,))
        data = version + self._mac(version, body) + body
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"{len(data)} bytes exceed the maximum size of a datagram")
        return data

    def decode(self, data: bytes) -> Message:
        """Raises InvalidDatagram."""
        if len(data) > MAX_DATAGRAM_BYTES:
            raise InvalidDatagram("too_long")
        if len(data) <= 1 + MAC_BYTES:
            raise InvalidDatagram("too_short")
        if data[0] != VERSION:
            raise InvalidDatagram("other_version")
        version, mac, body = data[:1], data[1 : 1 + MAC_BYTES], data[1 + MAC_BYTES :]
        if not compare_digest(mac, self._mac(version, body)):
            raise InvalidDatagram("wrong_seal")
        try:
            decoded = self._decode(body)
        except (msgspec.DecodeError, RecursionError):
            raise InvalidDatagram("no_message") from None
        try:
            kind = Kind(decoded.kind)
        except ValueError:
            raise InvalidDatagram("other_kind") from None
        numbers = (decoded.recipient, decoded.subject)
        if not all(0 <= number <= MAX_NUMBER for number in numbers) or not (
            0 <= decoded.counter <= MAX_COUNT and 0 <= decoded.seq <= MAX_COUNT
        ):
            raise InvalidDatagram("out_of_range")
        return Message(
            kind, _from_wire(decoded.sender_claim), decoded.recipient, decoded.counter, decoded.seq,
            decoded.subject, tuple(_from_wire(claim) for claim in decoded.updates), decoded.payload,
        )  # fmt: skip


def _to_wire(claim: Claim) -> _Claim:
    return _Claim(*claim[:5], *claim.traits)


def _from_wire(wire_claim: _Claim) -> Claim:
    if not 0 <= wire_claim.state <= State.LEFT:
        raise InvalidDatagram("out_of_range")
    traits = Traits(wire_claim.zone, wire_claim.version, wire_claim.supports)
    claim = Claim(
        wire_claim.number,
        wire_claim.generation,
        wire_claim.incarnation,
        State(wire_claim.state),
        wire_claim.reporter,
        traits,
    )
    if not is_encodable(claim):
        raise InvalidDatagram("out_of_range")
    return claim


def is_encodable(claim: Claim) -> bool:
    """Whether all fields are within the ranges of the datagram format."""
    zone, version, supports = claim.traits
    return (
        0 <= claim.number < MAX_NUMBER and 0 <= claim.generation <= MAX_COUNT
        and 0 <= claim.incarnation <= MAX_NUMBER and 0 <= claim.reporter < MAX_NUMBER and 0 <= zone <= 255
        and 0 <= version <= 255 and 0 <= supports <= MAX_NUMBER
    )  # fmt: skip
