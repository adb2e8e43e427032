"""Contents of resources as types. A route's is a table [[route]] of the service file without its name, a
budget's a table [tier.budgets.NAME]."""

from __future__ import annotations

from functools import lru_cache
from typing import Annotated, NamedTuple, TypeVar

import msgspec
from pydantic import Field, TypeAdapter, ValidationError, model_validator
from pydantic_core import ErrorDetails

from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.service.load import format_path
from driftstair.service.schema import FleetBudget, Name, Route, Table
from driftstair.service.units import Positive, WholeNumber

REASON_LETTERS_MAX = 200
BURST = 10.0  # requests, where a tenant's limit says nothing; as a route's rate
PLANS = 64  # contents of tenants that are not parsed again, 1 KB each: most tenants have one of few
WHOLE = "$"  # the path of a content itself


class TenantLimits(Table):
    """What one tenant may ask of one node. What is left out is not limited."""

    per_s: Positive | None = None  # requests
    burst: Annotated[float, Field(strict=True, ge=1, allow_inf_nan=False)] | None = None  # BURST if left out
    in_flight: Annotated[WholeNumber, Field(ge=1)] | None = None  # requests

    @model_validator(mode="after")
    def _says_something(self) -> TenantLimits:
        if self.per_s is None and self.in_flight is None:
            raise ValueError("limits nothing; per_s or in_flight would do")
        return self


class Drain(Table):
    """A server that is to get no new requests."""

    reason: Annotated[str, Field(max_length=REASON_LETTERS_MAX)] = ""


class Fault(NamedTuple):
    """What is wrong in a content: the path of a key in it, and why."""

    where: str
    why: str


class ContentError(Exception):
    """A content that is none of its kind. `faults` has all that is wrong."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(f"{one.where}: {one.why}" for one in faults))
        self.faults = faults


Schema = TypeVar("Schema", bound=Table)

_name = TypeAdapter[str](Name)


def parse_route(name: str, content: bytes) -> Route:
    """Raises ContentError."""
    tree = _tree(content)
    if "name" in tree:
        raise ContentError([Fault("name", "the resource's name is the route's; no such key would do")])
    _check_name(name)
    return _validated(Route, {**tree, "name": name})


def parse_budget(name: str, content: bytes) -> FleetBudget:
    """Raises ContentError."""
    _check_name(name)
    return _validated(FleetBudget, _tree(content))


@lru_cache(maxsize=PLANS)
def parse_tenant(content: bytes) -> TenantLimits:
    """Raises ContentError."""
    return _validated(TenantLimits, _tree(content))


def parse_drain(content: bytes) -> Drain:
    """Raises ContentError."""
    return _validated(Drain, _tree(content))


def parse_content(key: ResourceKey, content: bytes) -> Table:
    """A content by the schema of its kind. Raises ContentError."""
    if key.kind is ResourceKind.ROUTE:
        return parse_route(key.name, content)
    if key.kind is ResourceKind.BUDGET:
        return parse_budget(key.name, content)
    if key.kind is ResourceKind.TENANT:
        return parse_tenant(content)
    return parse_drain(content)


def _tree(content: bytes) -> dict[str, object]:
    try:
        return msgspec.json.decode(content, type=dict[str, object])
    except (msgspec.DecodeError, UnicodeError, RecursionError) as problem:
        raise ContentError([Fault(WHOLE, f"no JSON object: {problem}")]) from None


def _check_name(name: str) -> None:
    try:
        _name.validate_python(name)
    except ValidationError:
        why = f"{name!r:.70} is no name; a letter or digit, then up to 63 of those, '.', '_', '-' would do"
        raise ContentError([Fault(WHOLE, why)]) from None


def _validated(schema: type[Schema], tree: dict[str, object]) -> Schema:
    try:
        return schema.model_validate(tree)
    except ValidationError as problem:
        raise ContentError([_fault(one) for one in problem.errors()]) from None


def _fault(problem: ErrorDetails) -> Fault:
    path = tuple(step for step in problem["loc"] if not (isinstance(step, str) and "[" in step))
    where = format_path(path) if path else WHOLE
    if problem["type"] == "extra_forbidden":
        return Fault(where, "no such key")
    if problem["type"] == "missing":
        return Fault(where, "is missing")
    why = problem["msg"].removeprefix("Value error, ")
    if problem["type"].startswith("value_error"):
        return Fault(where, why)
    return Fault(where, f"{why[:1].lower()}{why[1:]}, not {problem['input']!r:.60}")
