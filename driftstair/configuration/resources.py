"""What can be configured: a resource has a kind, a name and a content, which is one JSON object.

Contents are stored as canonical JSON text and parsed when they are first used.
"""

from __future__ import annotations

import json
from enum import Enum
from hashlib import blake2b
from typing import Any, NamedTuple

import msgspec

NAME_BYTES_MAX = 128
CONTENT_BYTES_MAX = 16 << 10  # of one resource's canonical text; a route takes about 300
HASH_BYTES = 8


class ResourceKind(Enum):
    """The kinds of resources, by the word that stands in documents."""

    ROUTE = "route"  # limits of one route: a table [[route]] of the service file without its name
    TENANT = "tenant"  # limits of one tenant
    BUDGET = "budget"  # a token bucket that all nodes share: a table [tier.budgets.NAME]
    DRAIN = "drain"  # a server that operators take out of use, by its id


class ResourceKey(NamedTuple):
    """The identity of a resource. Keys sort by the word of the kind, then by name (see `sort_key`)."""

    kind: ResourceKind
    name: str

    def sort_key(self) -> tuple[str, str]:
        """The sort key of the total order in which snapshots list resources."""
        return self.kind.value, self.name

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.name}"

    @staticmethod
    def parse(text: str) -> ResourceKey:
        """Parses a key from the text that `str` gives. Raises ValueError."""
        kind, slash, name = text.partition("/")
        if not slash or not name:
            raise ValueError(f"{text!r} is no KIND/NAME")
        return ResourceKey(ResourceKind(kind), name)


class Resource(msgspec.Struct, frozen=True, gc=False):
    """A resource as of the revision that last changed it."""

    kind: ResourceKind
    name: str
    revision: int
    content: msgspec.Raw

    @property
    def key(self) -> ResourceKey:
        """The identity of the resource."""
        return ResourceKey(self.kind, self.name)


def canonical_json(content: Any) -> bytes:
    """Encodes a content as its canonical JSON text: sorted keys, no white space, UTF-8."""
    return json.dumps(content, sort_keys=True, separators=(",", ":"), ensure_ascii=False).encode()


def resource_hash(key: ResourceKey, revision: int, content: bytes) -> int:
    """Returns a 64-bit hash of one resource. The digest of a state is the sum of these hashes modulo 2**64,
    so that the cost of its update depends only on the resources changed."""
    hasher = blake2b(f"{key}\0{revision}\0".encode(), digest_size=HASH_BYTES)
    hasher.update(content)
    return int.from_bytes(hasher.digest(), "big")
