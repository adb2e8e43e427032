"""Hashes that identify servers and request keys in the decision module, the same on every node."""

from __future__ import annotations

from hashlib import blake2b


def digest(text: str | bytes) -> bytes:
    """An eight-byte hash of a name, the same on every node. The module uses only eight bytes of an id."""
    return blake2b(text if isinstance(text, bytes) else text.encode(), digest_size=8).digest()


def key_number(key: bytes) -> int:
    """The hash of a request's key as a number; never 0, which means that there is no key."""
    return int.from_bytes(digest(key), "little") or 1
