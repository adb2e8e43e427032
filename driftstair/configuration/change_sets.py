"""Change sets: changes of resources that are in force together or not at all."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from driftstair.configuration.resources import (
    CONTENT_BYTES_MAX,
    NAME_BYTES_MAX,
    ResourceKey,
    ResourceKind,
    canonical,
)

CHANGES_MAX = 1_000  # of one set
CHANGE_SET_BYTES_MAX = 256 << 10  # of one set's document
NULL = msgspec.Raw(b"null")
ID = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}")


class ChangeSetError(Exception):
    """A document that is no change set. `where` is the path of the key at fault, `why` says what would do."""

    def __init__(self, where: str, why: str) -> None:
        super().__init__(f"{where}: {why}")
        self.where = where
        self.why = why


class Change(msgspec.Struct, frozen=True, gc=False, omit_defaults=True):
    """One resource's new content; the content null deletes it."""

    kind: ResourceKind
    name: str
    content: msgspec.Raw = NULL
    expected_revision: int | None = (
        None  # refused unless this revision changed the resource last; 0: none did
    )

    @property
    def key(self) -> ResourceKey:
        return ResourceKey(self.kind, self.name)

    @property
    def deletes(self) -> bool:
        return bytes(self.content) == b"null"


class ChangeSet(msgspec.Struct, frozen=True, omit_defaults=True):
    """`id` is the client's: the same set put twice is committed once. A set without changes is what a new
    leader appends to commit what was appended before it."""

    id: str
    changes: tuple[Change, ...] = ()
    created_ms: int = 0  # Unix time by the clock of whoever took it; told to people, never compared


class LoggedChangeSet(msgspec.Struct, frozen=True):
    """A change set at its place in the log. `revision` counts from 1 without gaps."""

    revision: int
    change_set: ChangeSet


_decoder: msgspec.json.Decoder[ChangeSet] = msgspec.json.Decoder(ChangeSet)


def parse_change_set(document: bytes) -> ChangeSet:
    """A change set as operators send it, checked and with canonical contents. Raises ChangeSetError."""
    if len(document) > CHANGE_SET_BYTES_MAX:
        raise ChangeSetError(
            "$", f"longer than {CHANGE_SET_BYTES_MAX:,} bytes; several smaller sets would do"
        )
    try:
        found = _decoder.decode(document)
    except RecursionError:
        raise ChangeSetError("$", "nested too deeply; a few levels would do") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        why, _, where = str(problem).partition(" - at ")
        raise ChangeSetError(where.strip("`") or "$", why) from None
    return checked(found)


def checked(change_set: ChangeSet) -> ChangeSet:
    """The set with canonical contents. Raises ChangeSetError for what no set may hold."""
    if not ID.fullmatch(change_set.id):
        raise ChangeSetError(
            "$.id", f"{change_set.id[:64]!r} is no id; letters, digits, '.', '_', '-' would do"
        )
    if len(change_set.changes) > CHANGES_MAX:
        raise ChangeSetError("$.changes", f"more than {CHANGES_MAX} changes; several smaller sets would do")
    seen: set[ResourceKey] = set()
    changes = []
    for index, change in enumerate(change_set.changes):
        where = f"$.changes[{index}]"
        if change.key in seen:
            raise ChangeSetError(where, f"{change.key} is changed twice; one change of it would do")
        seen.add(change.key)
        changes.append(_checked_change(where, change))
    return ChangeSet(change_set.id, tuple(changes), change_set.created_ms)


def _checked_change(where: str, change: Change) -> Change:
    size = len(change.name.encode())
    if not 0 < size <= NAME_BYTES_MAX or any(not letter.isprintable() for letter in change.name):
        raise ChangeSetError(f"{where}.name", f"wants 1 to {NAME_BYTES_MAX} bytes of printable text")
    if change.deletes:
        return change
    content = _object(f"{where}.content", bytes(change.content))
    text = canonical(content)
    if len(text) > CONTENT_BYTES_MAX:
        raise ChangeSetError(f"{where}.content", f"longer than {CONTENT_BYTES_MAX:,} bytes")
    return Change(change.kind, change.name, msgspec.Raw(text), change.expected_revision)


def _object(where: str, text: bytes) -> dict[str, Any]:
    try:
        content = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise ChangeSetError(where, str(problem)) from None
    if not isinstance(content, dict):
        raise ChangeSetError(where, "no JSON object; null would delete the resource")
    return content
