"""Change sets: changes of resources that are applied atomically."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from driftstair.configuration.resources import (
    CONTENT_BYTES_MAX,
    NAME_BYTES_MAX,
    ResourceKey,
    ResourceKind,
    canonical_json,
)

CHANGES_MAX = 1_000  # in one change set
CHANGE_SET_BYTES_MAX = 256 << 10  # of the JSON document of one change set
NULL_CONTENT = msgspec.Raw(b"null")
CHANGE_SET_ID = re.compile(r"[0-9A-Za-z][0-9A-Za-z._-]{0,63}")


class ChangeSetError(Exception):
    """An invalid change set. `where` is the path of the key at fault, `why` names the fault and what is
    accepted."""

    def __init__(self, where: str, why: str) -> None:
        super().__init__(f"{where}: {why}")
        self.where = where
        self.why = why


class Change(msgspec.Struct, frozen=True, gc=False, omit_defaults=True):
    """One resource's new content; the content null deletes it."""

    kind: ResourceKind
    name: str
    content: msgspec.Raw = NULL_CONTENT
    # Refused unless this revision changed the resource last; 0: the resource must not exist.
    expected_revision: int | None = None

    @property
    def key(self) -> ResourceKey:
        """The key of the changed resource."""
        return ResourceKey(self.kind, self.name)

    @property
    def deletes(self) -> bool:
        """Whether the change deletes its resource."""
        return bytes(self.content) == b"null"


class ChangeSet(msgspec.Struct, frozen=True, omit_defaults=True):
    """`id` is the client's: the same set put twice is committed once. A set without changes is what a new
    leader appends to commit what was appended before it."""

    id: str
    changes: tuple[Change, ...] = ()
    # Unix time by the clock of the process that accepted the change set. It is only displayed: clocks differ,
    # so it is never compared.
    created_ms: int = 0


class LoggedChangeSet(msgspec.Struct, frozen=True):
    """A change set at its place in the log. `revision` counts from 1 without gaps."""

    revision: int
    change_set: ChangeSet


_decoder: msgspec.json.Decoder[ChangeSet] = msgspec.json.Decoder(ChangeSet)


def parse_change_set(document: bytes) -> ChangeSet:
    """Parses and checks a change set as operators send it, and makes its contents canonical. Raises
    ChangeSetError."""
    if len(document) > CHANGE_SET_BYTES_MAX:
        raise ChangeSetError(
            "$", f"longer than {CHANGE_SET_BYTES_MAX:,} bytes; several smaller sets would do"
        )
    try:
        change_set = _decoder.decode(document)
    except RecursionError:
        raise ChangeSetError("$", "nested too deeply; a few levels would do") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        why, _, where = str(error).partition(" - at ")
        raise ChangeSetError(where.strip("`") or "$", why) from None
    return normalize_change_set(change_set)


def normalize_change_set(change_set: ChangeSet) -> ChangeSet:
    """Returns the change set with canonical contents. Raises ChangeSetError if its id, names or
    contents are invalid."""
    if not CHANGE_SET_ID.fullmatch(change_set.id):
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
        changes.append(_normalize_change(where, change))
    return ChangeSet(change_set.id, tuple(changes), change_set.created_ms)


def _normalize_change(where: str, change: Change) -> Change:
    size = len(change.name.encode())
    if not 0 < size <= NAME_BYTES_MAX or any(not character.isprintable() for character in change.name):
        raise ChangeSetError(f"{where}.name", f"wants 1 to {NAME_BYTES_MAX} bytes of printable text")
    if change.deletes:
        return change
    content = _parse_object(f"{where}.content", bytes(change.content))
    text = canonical_json(content)
    if len(text) > CONTENT_BYTES_MAX:
        raise ChangeSetError(f"{where}.content", f"longer than {CONTENT_BYTES_MAX:,} bytes")
    return Change(change.kind, change.name, msgspec.Raw(text), change.expected_revision)


def _parse_object(where: str, text: bytes) -> dict[str, Any]:
    try:
        content = msgspec.json.decode(text)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ChangeSetError(where, str(error)) from None
    if not isinstance(content, dict):
        raise ChangeSetError(where, "no JSON object; null would delete the resource")
    return content
