"""Which requests two routes can both match, and which routes come before others. Pure."""

from __future__ import annotations

from itertools import product

from driftstair.limits.findings import Platform
from driftstair.limits.routes import Pattern
from lichenspring.interface import Repeat

Cell = tuple[str, str, str]
"""Class, tenant and method; "" stands for any that is not named."""


def cells(pattern: Pattern, platform: Platform | None) -> set[Cell]:
    """All that a route may match, as far as classes, tenants and methods tell requests apart."""
    classes = pattern.classes or frozenset(platform.classes if platform else ("",))
    tenants = pattern.tenants or frozenset((*(platform.tenants if platform else ()), ""))
    methods = pattern.methods or frozenset(("GET", "POST"))
    if platform is None:
        return set(product(classes, tenants, methods))
    return {
        (kind, tenant, method)
        for kind, tenant, method in product(classes, tenants, methods)
        if kind not in platform.classes or (method == "GET") is (platform.classes[kind].repeat is Repeat.SAFE)
    }


def is_wider(one: Pattern, other: Pattern) -> bool:
    """Whether `one` asks nothing of path, headers and key that `other` does not ask too."""
    its = dict(other.headers)
    headers = all(name in its and value in (b"*", its[name]) for name, value in one.headers)
    return one.path.covers(other.path) and headers and other.key.startswith(one.key)


def can_meet(one: Pattern, other: Pattern) -> bool:
    """Whether some request matches both, as far as path, headers and key go; classes and the rest do."""
    its = dict(other.headers)
    headers = all(
        name not in its or b"*" in (value, its[name]) or value == its[name] for name, value in one.headers
    )
    keys = one.key.startswith(other.key) or other.key.startswith(one.key)
    return one.path.meets(other.path) and headers and keys
