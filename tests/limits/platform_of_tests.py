"""What a platform tells, for limits to be judged by."""

from __future__ import annotations

from driftstair.limits.validation import Platform
from lichenspring import interface as api
from lichenspring.interface import Group, ListMode, Repeat

MS = 1_000_000
S = 1000 * MS

CLASSES = {
    "page": api.RequestClass(500 * MS, 12.0, 0.0, Repeat.SAFE),
    "order": api.RequestClass(1000 * MS, 1.0, 0.0, Repeat.UNSAFE),
    "cart": api.RequestClass(3 * S, 1.0, 0.0, Repeat.KEYED, Group.ALL, 2 * S),
}
WAITS = {"page": S, "order": 2 * S, "cart": 5 * S}
TENANTS = ("broadcaster", "series")

SETTINGS = api.Settings(
    classes=tuple(CLASSES.values()), tenants=(api.Tenant(0.5), api.Tenant(0.5)), nodes=3,
    list_mode=ListMode.PUSHED, ask_within=10 * S, cold_share=0.2, cold_time=20 * S, max_attempts=5,
    max_retry_after=2 * S, retry_after=True, worth_by_work=False, report_fields=(), idle_close=30 * S,
)  # fmt: skip

PLATFORM = Platform(CLASSES, WAITS, TENANTS, SETTINGS, max_client_connections=541, max_open_requests=20_000)
