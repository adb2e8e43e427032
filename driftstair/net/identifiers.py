"""Names as the decision module takes them: short, and the same on every node."""

from __future__ import annotations

from hashlib import blake2b


def digest(text: str | bytes) -> bytes:
    """Eight bytes that stand for a name on every node alike: the module hashes no more than that of an id."""
    return blake2b(text if isinstance(text, bytes) else text.encode(), digest_size=8).digest()


def key_number(key: bytes) -> int:
    """The number of a request's key; never 0, which stands for none."""
    return int.from_bytes(digest(key), "little") or 1
