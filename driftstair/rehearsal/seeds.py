"""Derives a seed for each part of a run from the run's seed, so that a change to one part does not affect the
random numbers of another."""

from __future__ import annotations

from hashlib import blake2b
from random import Random


def seed_for(seed: int, *labels: object) -> int:
    """A 64-bit seed derived from the run's seed and from labels that name its use."""
    name = "/".join(str(label) for label in (seed, *labels))
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "little")


def random_for(seed: int, *labels: object) -> Random:
    """A random number generator for the use that the labels name."""
    return Random(seed_for(seed, *labels))
