"""The types of the contents of resources. A route's content is a table [[route]] of the service file without
its name, a budget's content a table [tier.budgets.NAME]."""

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

REASON_CHARACTERS_MAX = 200
DEFAULT_BURST_REQUESTS = 10.0  # of a tenant without a burst of its own; equals the default of a route's rate
PARSED_TENANTS_MAX = 64  # cached parsed contents of tenants, 1 KB each: tenants have few distinct limits
CONTENT_ROOT = "$"  # the path of the whole content


class TenantLimits(Table):
    """What one tenant may ask of one node. What is left out is not limited."""

    per_s: Positive | None = None  # requests
    # DEFAULT_BURST_REQUESTS if left out.
    burst: Annotated[float, Field(strict=True, ge=1, allow_inf_nan=False)] | None = None
    in_flight: Annotated[WholeNumber, Field(ge=1)] | None = None  # requests

    @model_validator(mode="after")
    def _require_limit(self) -> TenantLimits:
        if self.per_s is None and self.in_flight is None:
            raise ValueError("limits nothing; per_s or in_flight would do")
        return self


class Drain(Table):
    """A server that is to get no new requests."""

    reason: Annotated[str, Field(max_length=REASON_CHARACTERS_MAX)] = ""


class Fault(NamedTuple):
    """A fault in a content: the path of the key at fault, and why it is one."""

    where: str
    why: str


class ContentError(Exception):
    """A content that does not conform to the schema of its kind. `faults` lists all its faults."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("; ".join(f"{fault.where}: {fault.why}" for fault in faults))
        self.faults = faults


Schema = TypeVar("Schema", bound=Table)

_name_adapter = TypeAdapter[str](Name)


def parse_route(name: str, content: bytes) -> Route:
    """Parses the content of a route. Raises ContentError."""
    fields = _parse_object(content)
    if "name" in fields:
        raise ContentError([Fault("name", "the resource's name is the route's; no such key would do")])
    _check_name(name)
    return _validate(Route, {**fields, "name": name})


def parse_budget(name: str, content: bytes) -> FleetBudget:
    """Parses the content of a budget. Raises ContentError."""
    _check_name(name)
    return _validate(FleetBudget, _parse_object(content))


@lru_cache(maxsize=PARSED_TENANTS_MAX)
def parse_tenant(content: bytes) -> TenantLimits:
    """Parses the content of a tenant. Raises ContentError."""
    return _validate(TenantLimits, _parse_object(content))


def parse_drain(content: bytes) -> Drain:
    """Parses the content of a drain. Raises ContentError."""
    return _validate(Drain, _parse_object(content))


def parse_content(key: ResourceKey, content: bytes) -> Table:
    """Parses a content by the schema of its kind. Raises ContentError."""
    if key.kind is ResourceKind.ROUTE:
        return parse_route(key.name, content)
    if key.kind is ResourceKind.BUDGET:
        return parse_budget(key.name, content)
    if key.kind is ResourceKind.TENANT:
        return parse_tenant(content)
    return parse_drain(content)


def _parse_object(content: bytes) -> dict[str, object]:
    try:
        return msgspec.json.decode(content, type=dict[str, object])
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise ContentError([Fault(CONTENT_ROOT, f"no JSON object: {error}")]) from None


def _check_name(name: str) -> None:
    try:
        _name_adapter.validate_python(name)
    except ValidationError:
        why = f"{name!r:.70} is no name; a letter or digit, then up to 63 of those, '.', '_', '-' would do"
        raise ContentError([Fault(CONTENT_ROOT, why)]) from None


def _validate(schema: type[Schema], fields: dict[str, object]) -> Schema:
    try:
        return schema.model_validate(fields)
    except ValidationError as error:
        raise ContentError([_to_fault(details) for details in error.errors()]) from None


def _to_fault(details: ErrorDetails) -> Fault:
    path = tuple(key for key in details["loc"] if not (isinstance(key, str) and "[" in key))
    where = format_path(path) if path else CONTENT_ROOT
    if details["type"] == "extra_forbidden":
        return Fault(where, "no such key")
    if details["type"] == "missing":
        return Fault(where, "is missing")
    why = details["msg"].removeprefix("Value error, ")
    if details["type"].startswith("value_error"):
        return Fault(where, why)
    return Fault(where, f"{why[:1].lower()}{why[1:]}, not {details['input']!r:.60}")
