"""The lines of a ledger and the chain over them.

A line is the digest in hex, a space, the entry as canonical JSON. The digest is BLAKE2b (RFC 7693) over the
digest of the line before and the text, so that no line can change, go, come or change places without a
later one telling.
"""

from __future__ import annotations

import json
from enum import Enum
from hashlib import blake2b
from typing import Any, NamedTuple

DIGEST = 16  # bytes
FIRST = bytes(DIGEST)  # what stands before the first line
LINE_MOST = 4096  # bytes
TEXT_MOST = 200  # characters of a name, a reason or a reference
COUNT_MOST = 1 << 53  # any JSON reader holds it


class EntryError(ValueError):
    """A line that can't stand where it stands; the text says why."""


class Kind(Enum):
    BEGIN = "begin"
    END = "end"
    USE = "use"
    GAP = "gap"
    CORRECTION = "correction"
    CLOSE = "close"


class Word(Enum):
    """What became of a request, or what else is counted of it."""

    SERVED = "served"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "gone"
    COPY = "copy"
    RETRY = "retry"


OUTCOMES = (Word.SERVED, Word.LATE, Word.REFUSED, Word.FAILED, Word.GONE)
"""Each request has one of them; the other words are counted besides."""


class Entry(NamedTuple):
    node: str
    number: int  # from 1, without a gap through all lives of the node's ledger
    at: int  # ms, Unix time, by the node's clock
    kind: Kind
    period: str = ""  # use, correction, close; of a gap: since when nothing is known is `since`
    tenant: str = ""
    word: str = ""  # one of Word
    quantity: int = 0  # signed for a correction; of a gap: lines that were cut
    since: int = 0  # gap: ms from which on use may be missing; begin: ms that the clock may be off
    author: str = ""
    reason: str = ""
    reference: str = ""


NUMBERS = ("number", "at", "quantity", "since")
FIELDS = Entry._fields
DEFAULTS: dict[str, Any] = Entry._field_defaults
WORDS = frozenset(word.value for word in Word)


def canonical(entry: Entry) -> bytes:
    """One text for one entry: fields in alphabetical order, without those that say nothing."""
    told = {
        name: value.value if isinstance(value, Kind) else value
        for name, value in zip(FIELDS, entry, strict=True)
        if name not in DEFAULTS or value != DEFAULTS[name]
    }
    return json.dumps(told, sort_keys=True, separators=(",", ":"), ensure_ascii=True).encode()


def digest(before: bytes, text: bytes) -> bytes:
    return blake2b(before + text, digest_size=DIGEST).digest()


def line(before: bytes, entry: Entry) -> tuple[bytes, bytes]:
    """The line that follows a digest, with its end, and its own digest. Raises EntryError for what no reader
    would take back."""
    check(entry)
    text = canonical(entry)
    own = digest(before, text)
    whole = own.hex().encode() + b" " + text + b"\n"
    if len(whole) > LINE_MOST:
        raise EntryError(f"entry {entry.number} is too long")
    return whole, own


def read(before: bytes, whole: bytes) -> tuple[Entry, bytes]:
    """An entry and its digest, from a line without its end. Raises EntryError."""
    if len(whole) > LINE_MOST:
        raise EntryError("a line that is too long")
    written, space, text = whole.partition(b" ")
    own = digest(before, text)
    if not space or written != own.hex().encode():
        raise EntryError("a digest that does not fit the line and the one before")
    entry = parse(text)
    if canonical(entry) != text:
        raise EntryError("an entry that is not written as it should be")
    return entry, own


def parse(text: bytes) -> Entry:
    """Raises EntryError."""
    try:
        told = json.loads(text)
    except (ValueError, RecursionError):
        raise EntryError("a line that is no JSON text") from None
    if not isinstance(told, dict) or not {"node", "number", "at", "kind"} <= told.keys() <= set(FIELDS):
        raise EntryError("an entry with other fields than it should have")
    try:
        entry = Entry(**{**told, "kind": Kind(told["kind"])})
    except (ValueError, TypeError):
        raise EntryError("an entry of a kind that is not known") from None
    check(entry)
    return entry


def check(entry: Entry) -> None:
    """Raises EntryError for what no ledger holds, whoever wrote it."""
    for name, value in zip(FIELDS, entry, strict=True):
        if name in NUMBERS:
            if not isinstance(value, int) or isinstance(value, bool) or abs(value) > COUNT_MOST:
                raise EntryError(f"{name} is no whole number that a ledger holds")
        elif name != "kind" and (not isinstance(value, str) or len(value) > TEXT_MOST):
            raise EntryError(f"{name} is no text of at most {TEXT_MOST} characters")
    if entry.number < 1 or not entry.node:
        raise EntryError("an entry without a node or a number from 1")
    uses = entry.kind in (Kind.USE, Kind.CORRECTION)
    if uses and (entry.word not in WORDS or not entry.period or not entry.quantity):
        raise EntryError(f"{entry.kind.value} {entry.number} names no word, no period or no count")
    if entry.kind is Kind.USE and entry.quantity < 0:
        raise EntryError(f"use {entry.number} counts below 0: that is a correction's")
    if entry.kind is Kind.CORRECTION and not (entry.author and entry.reason):
        raise EntryError(f"correction {entry.number} names no author or no reason")
    if entry.kind is Kind.CLOSE and not entry.period:
        raise EntryError(f"close {entry.number} names no period")
