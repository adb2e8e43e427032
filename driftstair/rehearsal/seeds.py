"""One seed for a run; each part of it draws from one of its own, so that a change of one moves no other."""

from __future__ import annotations

from hashlib import blake2b
from random import Random


def seed_for(seed: int, *part: object) -> int:
    """64 bits that depend on the run's seed and on what they are for."""
    text = "/".join(str(one) for one in (seed, *part))
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "little")


def random_for(seed: int, *part: object) -> Random:
    return Random(seed_for(seed, *part))
