"""The last list of members, in a folder that outlives the process: versioned, checksummed, never half
written."""

from __future__ import annotations

import json
import os
from hashlib import blake2b
from pathlib import Path

from driftstair.files import FileError, parse_text, read_text
from driftstair.tier.membership.members import Claim, State, Traits
from driftstair.tier.wire import fits

FORMAT = "driftstair.members/1"


class MemberListError(Exception):
    """A file that tells nothing; the text says why."""


def _sum(rows: object) -> str:
    return blake2b(json.dumps(rows).encode(), digest_size=16).hexdigest()


def write(path: Path, claims: tuple[Claim, ...]) -> None:
    """Raises OSError."""
    rows = [[*claim[:5], *claim.traits] for claim in claims]
    put(path, {"format": FORMAT, "sum": _sum(rows), "members": rows})


def put(path: Path, tree: object) -> None:
    """As JSON, on the disk before it takes the place of what was there. Raises OSError."""
    new = path.with_name(f"{path.name}.new")
    with open(new, "w", encoding="utf-8") as file:
        json.dump(tree, file)
        file.flush()
        os.fsync(file.fileno())
    new.replace(path)


def read(path: Path) -> tuple[Claim, ...]:
    """Nothing if there is no file. Raises MemberListError."""
    if not path.exists():
        return ()
    try:
        tree = parse_text(read_text(str(path)), json.loads)
    except (FileError, ValueError) as problem:
        raise MemberListError(str(problem)) from None
    if not isinstance(tree, dict) or tree.get("format") != FORMAT:
        raise MemberListError(f"is no {FORMAT}")
    rows = tree.get("members")
    if not isinstance(rows, list) or tree.get("sum") != _sum(rows):
        raise MemberListError("its sum is not right")
    try:
        return tuple(_claim(row) for row in rows)
    except (TypeError, ValueError) as problem:
        raise MemberListError(f"holds no claim: {problem}") from None


def _claim(row: list[int]) -> Claim:
    number, life, incarnation, state, by, *traits = row
    if not all(type(one) is int for one in row) or len(traits) != len(Traits._fields):
        raise ValueError(f"{row!r}")
    claim = Claim(number, life, incarnation, State(state), by, Traits(*traits))
    if not fits(claim):
        raise ValueError(f"{row!r}")
    return claim
