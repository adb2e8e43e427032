"""Findings of the rules for one route, independent of whether the route is in a file or a change set."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from driftstair.service.schema import Fleet, FleetBudget, Route
from lichenspring import interface as api

NS_PER_MS = 1_000_000  # ns
NO_LOST_REQUEST = "no request is lost"
NO_DUPLICATE_EFFECT = "no effect happens twice"
NO_COLD_OVERLOAD = "no cold box is pushed over"
DEFAULT_FALL_MULTIPLE, DEFAULT_FALL_TIME_NS = 3.0, 1_500 * NS_PER_MS  # if the platform sets none
DEFAULT_MAX_ATTEMPTS = 16  # per request, if there is no platform; equals the bound in the schema


@dataclass(frozen=True, slots=True)
class Platform:
    """The platform settings that limits are validated against. Durations in ns."""

    classes: dict[str, api.RequestClass]
    client_waits: dict[str, int]  # the longest that clients of each class wait for an answer
    tenants: tuple[str, ...]
    settings: api.Settings
    max_client_connections: int  # that the node may hold open
    max_open_requests: int
    fall_multiple: float = DEFAULT_FALL_MULTIPLE
    fall_time: int = DEFAULT_FALL_TIME_NS


@dataclass(frozen=True, slots=True)
class Finding:
    """An error in a route, or a warning about a value that is unlikely to have the intended effect."""

    path: tuple[str, ...]  # keys relative to the route's table
    why: str
    rule: str = ""  # that the route could break
    instead: str = ""  # a value that would be accepted
    warning: bool = False


@dataclass(frozen=True, slots=True)
class ValidationContext:
    """Everything besides the route itself that its validation depends on."""

    platform: Platform | None
    fleet: Fleet
    budgets: Mapping[str, FleetBudget] = field(default_factory=dict)  # shared by the fleet, by name

    @property
    def max_attempts(self) -> int:
        return self.platform.settings.max_attempts if self.platform else DEFAULT_MAX_ATTEMPTS


def classes_of(route: Route, context: ValidationContext) -> list[tuple[str, api.RequestClass, int]]:
    """The classes that the route can match, each with its clients' wait in ns; empty without a platform."""
    platform = context.platform
    if platform is None:
        return []
    named = route.match.classes or tuple(platform.classes)
    return [
        (name, platform.classes[name], platform.client_waits[name])
        for name in named
        if name in platform.classes
    ]


def format_number(value: float) -> str:
    """Formats a number without trailing zeros."""
    return f"{value:g}"
