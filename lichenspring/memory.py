"""Exports what one balancer has learned, as plain numbers, and restores it in its successor on the same
clock.

Open requests, key queues and connections stay with the old balancer; its attempts in flight are included as
load. Restored values only replace initial estimates: the new balancer goes on learning from them. Servers
that have started since are treated as new. The terms are those of balance.py, breaker.py and interface.py.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from lichenspring.balance import Backend, Balancer, KindState
from lichenspring.breaker import SECOND

INHERITED_ATTEMPT_FACTOR = 1.5  # of the typical response time, until an inherited attempt is over

State = dict[str, Any]  # text, numbers, lists and dictionaries with text keys, as in JSON

BREAKER_FIELDS = ("target", "base", "alpha", "proven", "typical", "seen")
SERVER_FIELDS = (
    "tokens", "refilled", "busy", "pace", "answered", "doubt", "ejected_until", "doublings",
)  # fmt: skip
KIND_FIELDS = ("share", "busy", "reports")
BALANCER_FIELDS = (
    "_lost_idle", "_lost_others", "_unanswered", "_connect_failures", "_trusted_idle", "_distrusted",
    "_fleet_failures", "_retry_budget", "_rate", "_keyed",
)  # fmt: skip
ATTRIBUTES = {
    "_distrusted": "_distrusted_since", "_keyed": "_keyed_arrivals", "_rate": "_warm_rate",
    "answered": "answered_at", "base": "base_tail", "busy": "utilization", "doubt": "failure_log_odds",
    "pace": "latency_ratio", "proven": "proven_load", "refilled": "refilled_at", "reports": "report_count",
    "seen": "samples", "typical": "typical_time",
}  # fmt: skip
"""Attributes whose name in the exported state differs: exported name to attribute."""


def _read_fields(holder: Any, names: tuple[str, ...]) -> State:
    return {name: getattr(holder, ATTRIBUTES.get(name, name)) for name in names}


def _write_fields(holder: Any, names: tuple[str, ...], state: State) -> None:
    values = {}
    for name in names:
        attribute = ATTRIBUTES.get(name, name)
        field_type = type(getattr(holder, attribute))
        values[attribute] = field_type(state[name])  # raises on text in place of a number
    for name, value in values.items():
        setattr(holder, name, value)


def export_state(balancer: Balancer) -> State:
    """The learned state of a balancer as plain numbers."""
    return {
        "all": _read_fields(balancer, BALANCER_FIELDS),
        "breakers": [_read_fields(breaker, BREAKER_FIELDS) for breaker in balancer._breakers],
        "kinds": {str(kind): _read_fields(known, KIND_FIELDS) for kind, known in balancer._kinds.items()},
        "servers": {
            backend.server.id.hex(): _read_fields(backend, SERVER_FIELDS)
            | {
                "started": backend.server.started,
                "fullness": {str(n): v for n, v in backend.fullness.items()},
            }
            for backend in balancer._subset
        },
        "keys": {str(key): count for key, count in balancer._key_counts.items()},
        "out": [
            [attempt.backend.server.id.hex(), open_request.request.class_index, attempt.sent_at]
            for open_request in balancer._open_requests.values()
            for attempt in open_request.attempts
            if attempt.result is None
        ],
    }


def restore_state(balancer: Balancer, now: int, state: State) -> None:
    """Call once the list is known. Raises KeyError, TypeError, ValueError or AttributeError on a malformed
    state; the parts restored before that are consistent."""
    if len(state["breakers"]) == len(balancer._breakers):  # otherwise another deployment
        for breaker, known in zip(balancer._breakers, state["breakers"], strict=True):
            _write_fields(breaker, BREAKER_FIELDS, known)
    for kind, known in state["kinds"].items():
        _write_fields(balancer._kinds.setdefault(int(kind), KindState()), KIND_FIELDS, known)
    for backend in balancer._subset:
        known = state["servers"].get(backend.server.id.hex())
        # Each process converts the start time to the clock on its own, so small differences are allowed.
        if known is not None and abs(known["started"] - backend.server.started) < SECOND:
            _restore_server(backend, known)
    balancer._key_counts = {int(key): float(count) for key, count in state["keys"].items()}
    balancer._find_hot_keys()
    _write_fields(balancer, BALANCER_FIELDS, state["all"])
    balancer._set_caps(now)
    for name, index, sent in state["out"]:
        _count_inherited_attempt(balancer, now, bytes.fromhex(name), index, sent)


def _count_inherited_attempt(balancer: Balancer, now: int, server: bytes, index: int, sent: int) -> None:
    """Counts an attempt of the old balancer as load for its typical duration. Without it, two balancers each
    fill the same servers up to the cap."""
    backend = balancer._backends.get(server)
    if backend is None:
        return
    breaker = balancer._breakers[index]
    for counter in (balancer._in_flight, breaker.in_flight):
        counter.add(now, 1)
    backend.in_flight += 1
    ends_at = max(now, sent + int(INHERITED_ATTEMPT_FACTOR * breaker.typical_time))
    balancer._defer(ends_at, partial(_end_inherited_attempt, balancer, backend, index))


def _end_inherited_attempt(balancer: Balancer, backend: Backend, index: int, now: int) -> None:
    backend.in_flight -= 1
    for counter in (balancer._in_flight, balancer._breakers[index].in_flight):
        counter.add(now, -1)


def _restore_server(backend: Backend, known: State) -> None:
    _write_fields(backend, SERVER_FIELDS, known)
    for index, fraction in known["fullness"].items():
        backend.fullness[int(index)] = float(fraction)
