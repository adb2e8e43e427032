"""The lines of a ledger and the hash chain over them.

A line is the digest in hex, a space and the entry as canonical JSON. The digest is BLAKE2b (RFC 7693) over
the digest of the previous line and this entry's text. Changing, removing, inserting or reordering lines
therefore breaks the chain at a later line.
"""

from __future__ import annotations

import json
from enum import Enum
from hashlib import blake2b
from typing import Any, NamedTuple

DIGEST_BYTES = 16
INITIAL_DIGEST = bytes(DIGEST_BYTES)  # the digest that the first line is chained to
MAX_LINE_BYTES = 4096
MAX_TEXT_CHARS = 200  # of a name, a reason or a reference
MAX_COUNT = 1 << 53  # JSON readers that use doubles represent integers up to 2^53 exactly


class EntryError(ValueError):
    """An entry or line that is not valid at its place in a ledger; the text gives the reason."""


class Kind(Enum):
    """What an entry records."""

    BEGIN = "begin"
    END = "end"
    USE = "use"
    GAP = "gap"
    CORRECTION = "correction"
    CLOSE = "close"


class UsageWord(Enum):
    """What is counted of a request: its outcome, or an extra attempt."""

    SERVED = "served"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"
    COPY = "copy"
    RETRY = "retry"


OUTCOMES = (UsageWord.SERVED, UsageWord.LATE, UsageWord.REFUSED, UsageWord.FAILED, UsageWord.GONE)
"""Every request has exactly one of these; the other words are counted in addition."""


class Entry(NamedTuple):
    """One entry of a ledger. The fields and their names are the stored format."""

    node: str
    number: int  # from 1, consecutive over all runs of the node
    at: int  # ms of Unix time, by the node's clock
    kind: Kind
    period: str = ""  # of use, correction and close
    tenant: str = ""
    word: str = ""  # value of a UsageWord
    quantity: int = 0  # signed for a correction; for a gap, the number of truncated lines
    since: int = 0  # gap: ms from which on usage may be missing; begin: clock error in ms
    author: str = ""
    reason: str = ""
    reference: str = ""


INTEGER_FIELDS = ("number", "at", "quantity", "since")
FIELD_NAMES = Entry._fields
FIELD_DEFAULTS: dict[str, Any] = Entry._field_defaults
USAGE_WORDS = frozenset(word.value for word in UsageWord)


def canonical_json(entry: Entry) -> bytes:
    """Returns the only valid encoding of an entry: fields in alphabetical order, without those that have
    their default value."""
    fields = {
        name: value.value if isinstance(value, Kind) else value
        for name, value in zip(FIELD_NAMES, entry, strict=True)
        if name not in FIELD_DEFAULTS or value != FIELD_DEFAULTS[name]
    }
    return json.dumps(fields, sort_keys=True, separators=(",", ":"), ensure_ascii=True).encode()


def chain_digest(previous_digest: bytes, text: bytes) -> bytes:
    """Returns the digest of a line from the previous line's digest and this line's text."""
    return blake2b(previous_digest + text, digest_size=DIGEST_BYTES).digest()


def encode_line(previous_digest: bytes, entry: Entry) -> tuple[bytes, bytes]:
    """Returns the line that follows a line with the given digest, including its newline, and its own digest.
    Raises EntryError for an entry that `decode_line` would not accept."""
    check_entry(entry)
    text = canonical_json(entry)
    line_digest = chain_digest(previous_digest, text)
    encoded = line_digest.hex().encode() + b" " + text + b"\n"
    if len(encoded) > MAX_LINE_BYTES:
        raise EntryError(f"entry {entry.number} is too long")
    return encoded, line_digest


def check_digest(previous_digest: bytes, encoded: bytes) -> tuple[bytes, bytes]:
    """Returns the entry's text and the digest of a line without its newline. Raises EntryError if the line
    does not follow the one with the given digest."""
    if len(encoded) > MAX_LINE_BYTES:
        raise EntryError("a line that is too long")
    hex_digest, separator, text = encoded.partition(b" ")
    line_digest = chain_digest(previous_digest, text)
    if not separator or hex_digest != line_digest.hex().encode():
        raise EntryError("a digest that does not fit the line and the one before")
    return text, line_digest


def decode_line(previous_digest: bytes, encoded: bytes) -> tuple[Entry, bytes]:
    """Returns the entry of a line without its newline, and the line's digest. Raises EntryError."""
    text, line_digest = check_digest(previous_digest, encoded)
    entry = parse_entry(text)
    if canonical_json(entry) != text:
        raise EntryError("an entry that is not written as it should be")
    return entry, line_digest


def parse_entry(text: bytes) -> Entry:
    """Returns the entry that a JSON text holds. Raises EntryError."""
    try:
        fields = json.loads(text)
    except (ValueError, RecursionError):
        raise EntryError("a line that is no JSON text") from None
    if not isinstance(fields, dict) or not {"node", "number", "at", "kind"} <= fields.keys() <= set(
        FIELD_NAMES
    ):
        raise EntryError("an entry with other fields than it should have")
    try:
        entry = Entry(**{**fields, "kind": Kind(fields["kind"])})
    except (ValueError, TypeError):
        raise EntryError("an entry of a kind that is not known") from None
    check_entry(entry)
    return entry


def check_entry(entry: Entry) -> None:
    """Raises EntryError for an entry that is invalid in any ledger."""
    for name, value in zip(FIELD_NAMES, entry, strict=True):
        if name in INTEGER_FIELDS:
            if not isinstance(value, int) or isinstance(value, bool) or abs(value) > MAX_COUNT:
                raise EntryError(f"{name} is no whole number that a ledger holds")
        elif name != "kind" and (not isinstance(value, str) or len(value) > MAX_TEXT_CHARS):
            raise EntryError(f"{name} is no text of at most {MAX_TEXT_CHARS} characters")
    if entry.number < 1 or not entry.node:
        raise EntryError("an entry without a node or a number from 1")
    has_usage = entry.kind in (Kind.USE, Kind.CORRECTION)
    if has_usage and (entry.word not in USAGE_WORDS or not entry.period or not entry.quantity):
        raise EntryError(f"{entry.kind.value} {entry.number} names no word, no period or no count")
    if entry.kind is Kind.USE and entry.quantity < 0:
        raise EntryError(f"use {entry.number} counts below 0: that is a correction's")
    if entry.kind is Kind.CORRECTION and not (entry.author and entry.reason):
        raise EntryError(f"correction {entry.number} names no author or no reason")
    if entry.kind is Kind.CLOSE and not entry.period:
        raise EntryError(f"close {entry.number} names no period")
