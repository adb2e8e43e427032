"""What rules find in one route, before it is known where the route stands: in a file, or in a change set."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from driftstair.service.schema import Fleet, FleetBudget, Route
from lichenspring import interface as api

MS = 1_000_000  # ns
LOST = "no request is lost"
TWICE = "no effect happens twice"
COLD = "no cold box is pushed over"
FALL_MULTIPLE, FALL_TIME = 3.0, 1_500 * MS  # where the platform does not tell
ATTEMPTS_MAX = 16  # of one request, where the platform does not tell; as the schema's bound


@dataclass(frozen=True, slots=True)
class Platform:
    """What the platform tells, as far as limits have to fit it. Durations in ns."""

    classes: dict[str, api.RequestClass]
    waits: dict[str, int]  # that clients of a class wait at most
    tenants: tuple[str, ...]
    settings: api.Settings
    clients_most: int  # connections of clients that the node may hold
    open_most: int
    multiple: float = FALL_MULTIPLE
    fall_time: int = FALL_TIME


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong in a route, or (a warning) that will hardly do what was meant."""

    path: tuple[str, ...]  # keys below the route's table
    why: str
    rule: str = ""  # that it would break
    instead: str = ""  # a value that would do
    warning: bool = False


@dataclass(frozen=True, slots=True)
class ValidationContext:
    """What a route is judged by beside itself."""

    platform: Platform | None
    fleet: Fleet
    budgets: Mapping[str, FleetBudget] = field(default_factory=dict)  # of the fleet, by name

    @property
    def attempts_max(self) -> int:
        return self.platform.settings.max_attempts if self.platform else ATTEMPTS_MAX


def classes_of(route: Route, given: ValidationContext) -> list[tuple[str, api.RequestClass, int]]:
    """Classes that the route may serve, with their clients' wait in ns; none without a platform."""
    platform = given.platform
    if platform is None:
        return []
    named = route.match.classes or tuple(platform.classes)
    return [
        (name, platform.classes[name], platform.waits[name]) for name in named if name in platform.classes
    ]


def shown_number(value: float) -> str:
    """Without a trailing zero."""
    return f"{value:g}"
