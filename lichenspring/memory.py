"""What one balancer has learned, as plain numbers, for the one that takes over from it on the same clock.

Requests, turns and connections are the old one's own; attempts that are out are in it as load. What is taken
in replaces first guesses only: the new one goes on learning from there. Servers that have started since are
strangers again. Its words are those of balance.py, breaker.py and interface.py.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from lichenspring.balance import Backend, Balancer, Kind
from lichenspring.breaker import SECOND

USUAL_TIMES = 1.5  # times the usual time of its class, until an attempt of the old one is held to be over

Memory = dict[str, Any]  # of text, numbers, lists and dictionaries by text: JSON can hold it

OF_A_BREAKER = ("target", "base", "alpha", "proven", "typical", "seen")
OF_A_SERVER = (
    "tokens", "refilled", "busy", "pace", "answered", "doubt", "ejected_until", "doublings",
)  # fmt: skip
OF_A_KIND = ("share", "busy", "reports")
OF_ALL = (
    "_lost_idle", "_lost_others", "_unanswered", "_connect_failures", "_trusted_idle", "_distrusted",
    "_fleet_failures", "_retry_budget", "_rate", "_keyed",
)  # fmt: skip
ATTRIBUTES = {"doubt": "failure_log_odds"}
"""The attributes whose name in the exported state is another one."""


def _taken(holder: Any, names: tuple[str, ...]) -> Memory:
    return {name: getattr(holder, ATTRIBUTES.get(name, name)) for name in names}


def _given(holder: Any, names: tuple[str, ...], memory: Memory) -> None:
    found = {}
    for name in names:
        attribute = ATTRIBUTES.get(name, name)
        kind = type(getattr(holder, attribute))
        found[attribute] = kind(memory[name])  # raises rather than let a text in
    for name, value in found.items():
        setattr(holder, name, value)


def export_state(balancer: Balancer) -> Memory:
    return {
        "all": _taken(balancer, OF_ALL),
        "breakers": [_taken(breaker, OF_A_BREAKER) for breaker in balancer._breakers],
        "kinds": {str(kind): _taken(known, OF_A_KIND) for kind, known in balancer._kinds.items()},
        "servers": {
            backend.entry.id.hex(): _taken(backend, OF_A_SERVER)
            | {"started": backend.entry.started, "fullness": {str(n): v for n, v in backend.fullness.items()}}
            for backend in balancer._subset
        },
        "keys": {str(key): count for key, count in balancer._key_counts.items()},
        "out": [
            [attempt.backend.entry.id.hex(), entry.request.class_index, attempt.sent]
            for entry in balancer._open.values()
            for attempt in entry.attempts
            if attempt.result is None
        ],
    }


def restore_state(balancer: Balancer, now: int, memory: Memory) -> None:
    """Once the list is known. Raises KeyError, TypeError, ValueError or AttributeError on what is no memory;
    what was taken in until then is whole in itself."""
    if len(memory["breakers"]) == len(balancer._breakers):  # other classes are another deployment
        for breaker, known in zip(balancer._breakers, memory["breakers"], strict=True):
            _given(breaker, OF_A_BREAKER, known)
    for kind, known in memory["kinds"].items():
        _given(balancer._kinds.setdefault(int(kind), Kind()), OF_A_KIND, known)
    for backend in balancer._subset:
        known = memory["servers"].get(backend.entry.id.hex())
        # Two processes translate one start to their clock at moments of their own.
        if known is not None and abs(known["started"] - backend.entry.started) < SECOND:
            _recall_server(backend, known)
    balancer._key_counts = {int(key): float(count) for key, count in memory["keys"].items()}
    balancer._find_hot_keys()
    _given(balancer, OF_ALL, memory["all"])
    balancer._set_caps(now)
    for name, index, sent in memory["out"]:
        _carry(balancer, now, bytes.fromhex(name), index, sent)


def _carry(balancer: Balancer, now: int, server: bytes, index: int, sent: int) -> None:
    """The old one's attempts run on: for the time that is usual they count as this one's. Guards against two
    that fill the same servers up to the cap, each by itself."""
    backend = balancer._backends.get(server)
    if backend is None:
        return
    breaker = balancer._breakers[index]
    for counted in (balancer._in_flight, breaker.in_flight):
        counted.add(now, 1)
    backend.in_flight += 1
    over = max(now, sent + int(USUAL_TIMES * breaker.typical))
    balancer._do_later(over, partial(_end, balancer, backend, index))


def _end(balancer: Balancer, backend: Backend, index: int, now: int) -> None:
    backend.in_flight -= 1
    for counted in (balancer._in_flight, balancer._breakers[index].in_flight):
        counted.add(now, -1)


def _recall_server(backend: Backend, known: Memory) -> None:
    _given(backend, OF_A_SERVER, known)
    for index, part in known["fullness"].items():
        backend.fullness[int(index)] = float(part)
