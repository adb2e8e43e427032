"""The persisted list of members: versioned, checksummed, and replaced atomically."""

from __future__ import annotations

import json
from hashlib import blake2b
from pathlib import Path

from driftstair.files import FileError, parse_text, read_text, replace_json
from driftstair.tier.membership.members import Claim, State, Traits
from driftstair.tier.wire import is_encodable

FORMAT = "driftstair.members/1"


class MemberListError(Exception):
    """The file is unusable; the text says why, as a predicate of the file."""


def _checksum(rows: object) -> str:
    return blake2b(json.dumps(rows).encode(), digest_size=16).hexdigest()


def write(path: Path, claims: tuple[Claim, ...]) -> None:
    """Raises OSError."""
    rows = [[*claim[:5], *claim.traits] for claim in claims]
    replace_json(path, {"format": FORMAT, "sum": _checksum(rows), "members": rows})


def read(path: Path) -> tuple[Claim, ...]:
    """Returns no claims if there is no file. Raises MemberListError."""
    if not path.exists():
        return ()
    try:
        document = parse_text(read_text(str(path)), json.loads)
    except (FileError, ValueError) as error:
        raise MemberListError(str(error)) from None
    if not isinstance(document, dict) or document.get("format") != FORMAT:
        raise MemberListError(f"does not have format {FORMAT}")
    rows = document.get("members")
    if not isinstance(rows, list) or document.get("sum") != _checksum(rows):
        raise MemberListError("has a wrong checksum")
    try:
        return tuple(_parse_claim(row) for row in rows)
    except (TypeError, ValueError) as error:
        raise MemberListError(f"contains an invalid claim: {error}") from None


def _parse_claim(row: list[int]) -> Claim:
    number, generation, incarnation, state, reporter, *traits = row
    if not all(type(value) is int for value in row) or len(traits) != len(Traits._fields):
        raise ValueError(f"{row!r}")
    claim = Claim(number, generation, incarnation, State(state), reporter, Traits(*traits))
    if not is_encodable(claim):
        raise ValueError(f"{row!r}")
    return claim
