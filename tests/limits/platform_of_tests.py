"""The platform settings that the tests of limits validate against."""

from __future__ import annotations

from driftstair.limits.validation import Platform
from lichenspring import interface as api
from lichenspring.interface import Group, ListMode, Repeat

NS_PER_MS = 1_000_000
NS_PER_S = 1000 * NS_PER_MS

CLASSES = {
    "page": api.RequestClass(500 * NS_PER_MS, 12.0, 0.0, Repeat.SAFE),
    "order": api.RequestClass(1000 * NS_PER_MS, 1.0, 0.0, Repeat.UNSAFE),
    "cart": api.RequestClass(3 * NS_PER_S, 1.0, 0.0, Repeat.KEYED, Group.ALL, 2 * NS_PER_S),
}
CLIENT_WAITS = {"page": NS_PER_S, "order": 2 * NS_PER_S, "cart": 5 * NS_PER_S}
TENANTS = ("broadcaster", "series")

SETTINGS = api.Settings(
    classes=tuple(CLASSES.values()), tenants=(api.Tenant(0.5), api.Tenant(0.5)), nodes=3,
    list_mode=ListMode.PUSHED, ask_within=10 * NS_PER_S, cold_share=0.2, cold_time=20 * NS_PER_S,
    max_attempts=5, max_retry_after=2 * NS_PER_S, retry_after=True, worth_by_work=False, report_fields=(),
    idle_close=30 * NS_PER_S,
)  # fmt: skip

PLATFORM = Platform(
    CLASSES, CLIENT_WAITS, TENANTS, SETTINGS, max_client_connections=541, max_open_requests=20_000
)
